"""One holder's change of primary, with the decisions of ``internal.promotion``.

The steps are those of ``proxy.successor_choice`` and ``proxy.takeover``, in their order. Anything
else may happen between two steps. Each part of the rule can be switched off.
"""

import collections.abc

from mustardswitch.internal import handover, ids, positions, promotion
from tests.common import (
    promotion_claim,
    promotion_instances,
    promotion_request,
    promotion_servers,
)

OrderKind = promotion_servers.OrderKind
Statuses = promotion_claim.Statuses
Step = promotion_claim.Step


class Attempt(promotion_request.RequestingHolder):
    """An attempt to change the primary under a claim."""

    def advance(self, late: ids.ServerId | None) -> None:
        """Take the next step; orders to the ``late`` server are executed later."""
        steps = {
            Step.QUERY: lambda: self._query(),
            Step.DECIDE: lambda: self._settle(self._decide(late)),
            Step.STOP: lambda: self._stop(late),
            Step.COMPARE: lambda: self._compare(late),
            Step.WAIT_FOR_EFFECT: lambda: self._keep_paused(late),
            Step.KEEP: lambda: self._keep(late),
            Step.AWAIT_KEPT: lambda: self._await_kept(),
        }
        if self.step in steps:
            steps[self.step]()

    # Deciding

    def _query(self) -> None:
        asked = self._answering()
        if self.pausing_all:
            asked = self._confirming() - self.spared
        self.pause_ends = len(self.world.pause_ends)
        self.statuses = self._ask(asked)
        self.step = Step.DECIDE

    def _decide(self, late: ids.ServerId | None) -> promotion.Choice:
        if self.pausing_all:
            return self._decide_without_primary(late)
        terms = [status.term for status in self.statuses.values() if not status.paused]
        terms += [status.received.term for status in self.statuses.values()]
        self.term = ids.Term(max([self.term, *(1 + term for term in terms)]))
        leader = promotion.leading_server(
            self.statuses, known=self.primary, requested=self.requested
        )
        if self.marked and (kept := self._kept_first(leader)) is not None:
            return kept
        if leader is None:
            return self._decide_without_primary(late)
        self.stopped_end = None
        if leader != self.primary and self.requested in (None, leader):
            found = self.requested_before is not None and self.parts.record_unanswered
            verdict = promotion.Verdict.KEEP if found else promotion.Verdict.ALREADY_LED
            return promotion.Choice(verdict=verdict, server=leader)
        return self._decide_handover(leader, late)

    def _decide_without_primary(self, late: ids.ServerId | None) -> promotion.Choice:
        primary = self.led_by or self.primary
        if not self.listed_anew:
            return self._begin_to_end_commits(primary)
        self._announce()
        in_time = self.stopped_end is None
        if self.spared and self.stop_status is None and self.parts.stop_silent_primary:
            self._order_to_stop(primary, late)
            if self.step is Step.END:
                return promotion.Choice(verdict=promotion.Verdict.WAIT)
        held = self._commits_held()
        if held and self.stop_status is not None and self.parts.end_after_hold:
            self._read_end_again(primary)
        former = self._former_primary(primary, held)
        ended = held and former.has_ended
        receives = {self.requested} if in_time and (self.stop_status or not ended) else set()
        paused = self._pause_others(self.statuses, spared=self.spared | receives, late=late)
        statuses = dict(self.statuses)
        if self.stop_status is not None and not in_time:
            statuses[primary] = self.stop_status
        expected = self._confirming() - self.spared
        ended = {primary or self.instance.led_last} if former.is_process_gone else set()
        self.uncounted = self.spared | ended
        expected -= ended
        if not self.parts.await_silent:
            expected -= self.instance.expired - statuses.keys()
        if not self.parts.need_all_paused:
            expected = set(paused)
        if not self.parts.choose_highest and paused and expected <= paused.keys():
            lowest = min(paused, key=lambda name: paused[name].received)
            expected, paused = {lowest}, {lowest: paused[lowest]}
        receiving = {
            name: status
            for name, status in statuses.items()
            if name not in paused and not status.leads
        }
        return self._choose(
            expected=expected,
            paused=paused,
            receiving=receiving,
            held=held,
            avoided={primary},
            former=former,
        )

    def _former_primary(self, primary: ids.ServerId | None, held: bool) -> promotion.FormerPrimary:
        """Return what the instances that exchange datagrams with the holder know of the primary."""
        primary = primary or self.instance.led_last
        server = self.world.servers.get(primary)
        if server is None or primary in self.statuses or not self.parts.end_primary:
            return promotion.FormerPrimary.UNKNOWN
        if held and not server.runs:
            return promotion.FormerPrimary.NOT_LISTENING
        if any(not self.world.status(primary).leads for _ in self._carriers(primary)):
            return promotion.FormerPrimary.REPLICA
        passed = self.hold is not None and self.world.periods > self.hold.since
        unreached = all(primary in each.unreachable for each in self.world.instances)
        if passed and unreached and primary not in self.world.listed:
            return promotion.FormerPrimary.GONE
        return promotion.FormerPrimary.MAY_RUN

    def _carriers(self, primary: ids.ServerId) -> list[promotion_instances.Instance]:
        """Return the instances that reach the primary and report to the holder."""
        reporting = [
            each
            for each in self.world.instances
            if each is self.instance
            or (
                self.parts.any_instance_stops
                and each.reaches_instances
                and self.instance.reaches_instances
            )
        ]
        runs = self.world.servers[primary].runs
        return [each for each in reporting if runs and primary not in each.unreachable]

    def _begin_to_end_commits(self, primary: ids.ServerId | None) -> promotion.Choice:
        """Record the likely successor; the instances are asked to hold commits from then on."""
        choice = promotion.Choice(verdict=promotion.Verdict.WAIT)
        if not self.instance.reaches_store:
            return choice
        self.listed = frozenset(self.world.listed)
        if self.parts.read_list:
            self.world.read_list(self.instance)
        likely = self.requested or handover.choose_successor(
            replicas=self.statuses, leaving=self._leaving()
        )
        likely = likely or next(iter(sorted(self.statuses)), None)
        if likely is not None and self._write_record(likely):
            self.pausing_all = self.listed_anew = True
            self.spared = frozenset({primary} - set(self.statuses) - {None})
            listed = self.world.servers.get(primary) if primary in self.instance.listed else None
            replaced = listed is not None and listed.role is promotion.Role.REPLICA
            if replaced and self.parts.pause_replaced:
                self.spared = frozenset()
        return choice

    def _order_to_stop(self, primary: ids.ServerId, late: ids.ServerId | None) -> None:
        """Order a primary that has not answered to stop; its end counts if it answers now.

        That is so only if it led the newest term before the order.
        """
        if not self._carriers(primary):
            return
        before = self.world.status(primary)
        led = before.leads and before.term >= self.term - 1
        if self.parts.stop_leaders_only and not led:
            return
        order = promotion_servers.Order(kind=OrderKind.STEP_DOWN, server=primary, term=self.term)
        if primary == late:
            self.late_orders.append(order)
            return
        self.world.execute(order)
        status = self.world.status(primary)
        if status.leads or not self.stop_answered:
            return
        if status.received < self.primary_end:
            self.step = Step.END
            return
        self.stop_status, self.stopped_end = status, status.received
        self.replaced_before = self.world.upstream not in (primary, None)
        self.primary_end = status.received
        self._record_end(primary, status.received)

    def _read_end_again(self, primary: ids.ServerId) -> None:
        """Read the end after the hold; a primary that leads, or was replaced, is stopped anew."""
        if self.end_held:
            return
        status = self.world.status(primary) if self._carriers(primary) else None
        if status is None or status.leads or status.term >= self.term:
            self.stop_status = self.stopped_end = None
        elif status.received >= self.primary_end:
            self.stop_status, self.stopped_end = status, status.received
            self.primary_end, self.end_held = status.received, True
            self._record_end(primary, status.received)

    def _choose(
        self,
        *,
        expected: collections.abc.Set[ids.ServerId],
        paused: Statuses,
        receiving: Statuses,
        held: bool = False,
        avoided: collections.abc.Set[ids.ServerId | None] = frozenset(),
        former: promotion.FormerPrimary = promotion.FormerPrimary.MAY_RUN,
    ) -> promotion.Choice:
        end = self.stopped_end
        if end is not None and not self.parts.compare_end:
            end = positions.ORIGIN
        evidence = promotion.Evidence(
            expected=expected,
            paused=paused,
            receiving=receiving,
            stopped_end=end,
            required_end=self._required_end(),
            commits_held=held,
            former_primary=former,
            acknowledged_above=(
                self.hold.above() if self.hold and self.parts.compare_acknowledged else None
            ),
            acknowledged_end=self._acknowledged_end(),
            covered=self._covered(expected),
            recorded=self._recorded(),
        )
        choice = promotion.choose(
            evidence,
            leaving=self._leaving() | avoided,
            requested=self.requested,
            may_be_sent=self.requested_before is not None,
        )
        if choice.verdict is promotion.Verdict.PROMOTE:
            self._note_request(choice)
        return choice

    def _note_request(self, choice: promotion.Choice) -> None:
        known = frozenset(self._confirming())
        uncounted = self.uncounted if self.pausing_all else set()
        primary = self.world.upstream
        stopped = choice.proof is promotion.Proof.PRIMARY_STOPPED
        unanswered = not stopped and primary not in self.statuses
        self.request = promotion_servers.Request(
            server=choice.server,
            token=self.token,
            starts=self.world.servers[choice.server].starts,
            proof=choice.proof,
            expected=known - uncounted,
            known=known,
            listed=self.listed,
            term=self.world.term,
            pause_ends=self.pause_ends,
            unanswered=unanswered,
            primary=primary,
            acknowledged=self.world.acknowledgements,
            replaced_before=self.replaced_before,
            left=frozenset(self.world.left),
            ever_listed=frozenset(self.world.entry_starts),
        )

    def _decide_handover(
        self, primary: ids.ServerId, late: ids.ServerId | None
    ) -> promotion.Choice:
        replicas = {
            name: status
            for name, status in self.statuses.items()
            if name != primary and (name in self.instance.listed or name == self.requested)
        }
        successor = handover.choose_successor(
            replicas=replicas, leaving=self._leaving(), requested=self.requested
        )
        if successor is None:
            keeps = self.requested is not None
            verdict = promotion.Verdict.KEEP if keeps else promotion.Verdict.WAIT
            return promotion.Choice(verdict=verdict, server=primary)
        if replicas[successor].paused:
            self._order(promotion_servers.Order(kind=OrderKind.RESUME, server=successor), late)
        self.primary_end = max(self.primary_end, self.statuses[primary].received)
        latest = self._ask({successor})
        if successor not in latest or latest[successor].received < self.statuses[primary].received:
            return promotion.Choice(verdict=promotion.Verdict.WAIT)
        paused = self._pause_others(self.statuses, spared={primary, successor}, late=late)
        choice = handover.evaluate_handover(
            expected=self._confirming() - {primary},
            paused=paused,
            successor=successor,
            successor_status=latest[successor],
            primary_leaves=primary in self._leaving(),
        )
        self.led_by = primary
        if choice.verdict is promotion.Verdict.PROMOTE and not self.parts.stop_primary:
            self._note_request(choice)
        return choice

    def _settle(self, choice: promotion.Choice) -> None:
        """Go on as the choice says; a server that was not recorded is, and decided on again."""
        if self.step is Step.END:
            return
        if choice.verdict is promotion.Verdict.WAIT:
            self.step = Step.QUERY
        elif choice.verdict is promotion.Verdict.KEEP:
            self.led_by, self.step = choice.server, Step.KEEP
        elif choice.verdict is promotion.Verdict.ALREADY_LED:
            self.done, self.step = True, Step.END
        elif choice.server != self.requested:
            led_by = self.led_by
            if self._record(choice.server) and not self.parts.decide_again:
                self.led_by = led_by
                self._proceed(choice)
        else:
            self._proceed(choice)

    def _record(self, server: ids.ServerId) -> bool:
        self.hold = None
        if not self._write_record(server):
            return False
        self.pausing_all = self.listed_anew = False
        self.led_by, self.step = None, Step.QUERY
        return True

    def _proceed(self, choice: promotion.Choice) -> None:
        stops = choice.proof is None and self.parts.stop_primary
        self.step = Step.STOP if stops else Step.REQUEST

    # Stopping the primary

    def _stop(self, late: ids.ServerId | None) -> None:
        if not self._write_record(self.requested) or not self._void_earlier_requests(late):
            self.step = Step.END
            return
        self._announce()
        order = promotion_servers.Order(
            kind=OrderKind.STEP_DOWN, server=self.led_by, term=self.term
        )
        self._order(order, late)
        self.step = Step.COMPARE

    def _compare(self, late: ids.ServerId | None) -> None:
        """Compare the successor with the stopped primary.

        Any server may be chosen if the successor is late: ``late`` is the primary then.
        """
        held = self._commits_held()
        others = self._confirming() if late == self.led_by else set()
        statuses = self._ask({self.led_by, self.requested} | others)
        status = statuses.get(self.led_by)
        if status is not None and status.received < self.primary_end:
            self.stopped_end, self.step = None, Step.END
            return
        if status is not None:
            self.primary_end = status.received
            replaced = self.parts.end_after_hold and status.term >= self.term
            stopped = not status.leads and not replaced
            self.stopped_end = status.received if stopped else None
            if stopped:
                self._record_end(self.led_by, status.received)
        self.step = Step.STOP
        if self.stopped_end is None:
            return
        if not others:
            statuses.pop(self.led_by, None)
        self._announce()
        choice = self._choose(
            expected=self._confirming(),
            paused={},
            receiving=statuses,
            held=(held if self.parts.end_after_hold else self._commits_held())
            or not self.parts.hold_after_stop,
        )
        if choice.verdict is not promotion.Verdict.WAIT:
            self._settle(choice)

    def give_up_stopping(self) -> None:
        """Pause all servers, since the primary did not stop or the successor is late."""
        if self.step in (Step.STOP, Step.COMPARE):
            self.pausing_all, self.listed_anew = True, False
            self.statuses, self.step = {}, Step.DECIDE
