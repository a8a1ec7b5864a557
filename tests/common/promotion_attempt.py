"""One holder's change of primary, with the decisions of ``internal.promotion``.

The steps are those of ``proxy.successor_choice`` and ``proxy.takeover``, in their order. Anything
else may happen between two steps. Each part of the rule can be switched off.
"""

import collections.abc
import enum

from mustardswitch.internal import ids, positions, promotion
from tests.common import promotion_parts, promotion_world

OrderKind = promotion_world.OrderKind

Statuses = dict[ids.ServerId, promotion.ServerStatus]


class Step(enum.Enum):
    """What a holder does next."""

    QUERY = "query"
    DECIDE = "decide"
    STOP = "stop"
    COMPARE = "compare"
    REQUEST = "request"
    WAIT_FOR_EFFECT = "wait_for_effect"
    KEEP = "keep"
    END = "end"


class Attempt:
    """An attempt to change the primary under a claim."""

    def __init__(
        self,
        *,
        world: promotion_world.World,
        instance: promotion_world.Instance,
        token: int,
        silent: bool,
        parts: promotion_parts.Parts,
    ) -> None:
        self.world = world
        self.instance = instance
        self.token = token
        self.parts = parts
        self.silent = silent
        self.primary = instance.leader
        """The primary that is replaced; None if it is not listed."""
        self.led_by: ids.ServerId | None = None
        """The server that leads by its own account, and is to be stopped."""
        self.requested_before = self.requested = world.record
        self.valid = True
        """Whether the claim is in force by the holder's clock."""
        self.step = Step.QUERY
        self.term = ids.Term(0)
        self.statuses: Statuses = {}
        self.pause_ends = 0
        """Number of pauses that had ended before the latest query."""
        self.stopped_end: positions.Position | None = None
        self.primary_end = positions.ORIGIN
        """The highest end of the log that a primary has shown to this holder."""
        self.listed: frozenset[ids.ServerId] = frozenset()
        """The servers in the store's list when it was read."""
        self.listed_anew = False
        """Whether the list was read since the latest decision to pause all servers."""
        self.pausing_all = False
        """Whether all servers are being paused, after the primary gave no answer."""
        self.request: promotion_world.Request | None = None
        self.request_sent = False
        self.done = False
        self.late_orders: list[promotion_world.Order] = []
        """Orders that were sent and are executed later."""

    def advance(self, late: ids.ServerId | None) -> None:
        """Take the next step; orders to the ``late`` server are executed later."""
        steps = {
            Step.QUERY: lambda: self._query(),
            Step.DECIDE: lambda: self._settle(self._decide(late)),
            Step.STOP: lambda: self._stop(late),
            Step.COMPARE: lambda: self._compare(late),
            Step.WAIT_FOR_EFFECT: lambda: self._keep_paused(late),
            Step.KEEP: lambda: self._keep(),
        }
        if self.step in steps:
            steps[self.step]()

    # Queries and orders

    def _ask(self, names: collections.abc.Iterable[ids.ServerId | None]) -> Statuses:
        return {name: self.world.status(name) for name in names if self._reaches(name)}

    def _reaches(self, name: ids.ServerId | None) -> bool:
        server = self.world.servers.get(name)
        return server is not None and server.runs and name not in self.instance.unreachable

    def _confirming(self) -> set[ids.ServerId]:
        return self.instance.known() if self.parts.count_expired else set(self.instance.listed)

    def _answering(self) -> set[ids.ServerId]:
        return self._confirming() - ({self.primary} if self.silent else set())

    def _leaving(self) -> set[ids.ServerId]:
        return {name for name, leaving in self.instance.listed.items() if leaving}

    def _order(self, order: promotion_world.Order, late: ids.ServerId | None) -> None:
        if order.server == late:
            self.late_orders.append(order)
        elif self._reaches(order.server):
            self.world.execute(order)

    def _pause_others(
        self,
        statuses: Statuses,
        *,
        spared: collections.abc.Set[ids.ServerId | None],
        late: ids.ServerId | None,
    ) -> Statuses:
        expected = self._confirming() - spared
        ordered = promotion.servers_to_pause(expected=expected, statuses=statuses, term=self.term)
        if self.valid:
            for name in sorted(ordered):
                self._order(
                    promotion_world.Order(kind=OrderKind.PAUSE, server=name, term=self.term), late
                )
            statuses = statuses | self._ask(ordered - {late})
        return {
            name: status
            for name, status in statuses.items()
            if name in expected and (status.paused or status.leads)
        }

    # Deciding

    def _query(self) -> None:
        asked = self._answering()
        if self.pausing_all:
            asked = self._confirming() - ({self.primary} - set(self.statuses))
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
        if leader is None:
            return self._decide_without_primary(late)
        self.stopped_end = None
        if leader != self.primary and self.requested in (None, leader):
            return promotion.Choice(verdict=promotion.Verdict.ALREADY_LED, server=leader)
        return self._decide_handover(leader, late)

    def _decide_without_primary(self, late: ids.ServerId | None) -> promotion.Choice:
        spared = {self.led_by or self.primary} - set(self.statuses)
        if not self.listed_anew:
            if not self.instance.reaches_store:
                return promotion.Choice(verdict=promotion.Verdict.WAIT)
            self.listed = frozenset(self.world.listed)
            if self.parts.read_list:
                self.world.read_list(self.instance)
            likely = promotion.choose_successor(replicas=self.statuses, leaving=self._leaving())
            self.pausing_all = self.listed_anew = True
            if self.parts.hold_first and self.requested is None and likely is not None:
                return self._hold_commits(likely)
        paused = self._pause_others(self.statuses, spared=spared, late=late)
        expected = self._confirming() - spared
        if not self.parts.need_all_paused:
            expected = set(paused)
        if not self.parts.choose_highest and paused and expected <= paused.keys():
            lowest = min(paused, key=lambda name: paused[name].received)
            expected, paused = {lowest}, {lowest: paused[lowest]}
        receiving = {
            name: status
            for name, status in self.statuses.items()
            if name not in paused and not status.leads
        }
        return self._choose(expected=expected, paused=paused, receiving=receiving)

    def _hold_commits(self, likely: ids.ServerId) -> promotion.Choice:
        self.requested = likely
        if self._record(likely):
            self.pausing_all = self.listed_anew = True
            for instance in self.world.instances:
                if instance.reaches_store and self.parts.record:
                    instance.requested = likely
        return promotion.Choice(verdict=promotion.Verdict.WAIT)

    def _choose(
        self,
        *,
        expected: collections.abc.Set[ids.ServerId],
        paused: Statuses,
        receiving: Statuses,
    ) -> promotion.Choice:
        end = self.stopped_end
        if end is not None and not self.parts.compare_end:
            end = positions.ORIGIN
        evidence = promotion.Evidence(
            expected=expected, paused=paused, receiving=receiving, stopped_end=end
        )
        choice = promotion.choose(evidence, leaving=self._leaving(), requested=self.requested)
        if choice.verdict is promotion.Verdict.PROMOTE:
            self._note_request(choice)
        return choice

    def _note_request(self, choice: promotion.Choice) -> None:
        known = frozenset(self._confirming())
        spared = {self.led_by or self.primary} - set(self.statuses) if self.pausing_all else set()
        primary = self.world.upstream
        unanswered = choice.proof is promotion.Proof.ALL_PAUSED and primary not in self.statuses
        self.request = promotion_world.Request(
            server=choice.server,
            token=self.token,
            starts=self.world.servers[choice.server].starts,
            proof=choice.proof,
            expected=known - spared,
            known=known,
            listed=self.listed,
            term=self.world.term,
            pause_ends=self.pause_ends,
            unanswered=unanswered,
            primary=primary,
            primary_returns=self.world.servers[primary].returns if primary is not None else 0,
            given_up=primary if unanswered else None,
        )

    def _decide_handover(
        self, primary: ids.ServerId, late: ids.ServerId | None
    ) -> promotion.Choice:
        replicas = {
            name: status
            for name, status in self.statuses.items()
            if name != primary and (name in self.instance.listed or name == self.requested)
        }
        successor = promotion.choose_successor(
            replicas=replicas, leaving=self._leaving(), requested=self.requested
        )
        if successor is None:
            keeps = self.requested is not None
            verdict = promotion.Verdict.KEEP if keeps else promotion.Verdict.WAIT
            return promotion.Choice(verdict=verdict, server=primary)
        if replicas[successor].paused:
            self._order(promotion_world.Order(kind=OrderKind.RESUME, server=successor), late)
        self.primary_end = max(self.primary_end, self.statuses[primary].received)
        latest = self._ask({successor})
        if successor not in latest or latest[successor].received < self.statuses[primary].received:
            return promotion.Choice(verdict=promotion.Verdict.WAIT)
        paused = self._pause_others(self.statuses, spared={primary, successor}, late=late)
        choice = promotion.evaluate_handover(
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
        if choice.verdict is promotion.Verdict.WAIT:
            self.step = Step.QUERY
        elif choice.verdict is promotion.Verdict.KEEP:
            self.led_by, self.step = choice.server, Step.KEEP
        elif choice.verdict is promotion.Verdict.ALREADY_LED:
            self.done, self.step = True, Step.END
        elif choice.server != self.requested:
            self.requested, led_by = choice.server, self.led_by
            if self._record(choice.server) and not self.parts.decide_again:
                self.led_by = led_by
                self._proceed(choice)
        else:
            self._proceed(choice)

    def _record(self, server: ids.ServerId) -> bool:
        holds = self.valid and self.instance.reaches_store and self.world.claim == self.token
        if not holds:
            self.valid, self.step = False, Step.END
            return False
        if self.parts.record:
            self.world.record = self.instance.requested = server
        self.pausing_all = self.listed_anew = False
        self.led_by, self.step = None, Step.QUERY
        return True

    def _proceed(self, choice: promotion.Choice) -> None:
        stops = choice.proof is None and self.parts.stop_primary
        self.step = Step.STOP if stops else Step.REQUEST

    # Stopping the primary

    def _stop(self, late: ids.ServerId | None) -> None:
        order = promotion_world.Order(kind=OrderKind.STEP_DOWN, server=self.led_by, term=self.term)
        self._order(order, late)
        self.step = Step.COMPARE

    def _compare(self, late: ids.ServerId | None) -> None:
        """Compare the successor with the stopped primary.

        Any server may be chosen if the successor is late: ``late`` is the primary then.
        """
        others = self._confirming() if late == self.led_by else set()
        statuses = self._ask({self.led_by, self.requested} | others)
        status = statuses.get(self.led_by)
        if status is not None and status.received < self.primary_end:
            self.stopped_end, self.step = None, Step.END
            return
        if status is not None:
            self.primary_end = status.received
            self.stopped_end = None if status.leads else status.received
        self.step = Step.STOP
        if self.stopped_end is None:
            return
        if not others:
            statuses.pop(self.led_by, None)
        choice = self._choose(expected=self._confirming(), paused={}, receiving=statuses)
        if choice.verdict is not promotion.Verdict.WAIT:
            self._settle(choice)

    def give_up_stopping(self) -> None:
        """Pause all servers, since the primary did not stop or the successor is late."""
        if self.step in (Step.STOP, Step.COMPARE):
            self.pausing_all, self.listed_anew = True, False
            self.statuses, self.step = {}, Step.DECIDE

    # Promoting

    def send_request(self, *, late: bool) -> promotion_world.Request | None:
        """Send the request; returns it if it is to be executed late."""
        if self.step is not Step.REQUEST or not self.valid:
            return None
        self.request_sent = True
        if late:
            return self.request
        accepted = self.world.accept(self.request, fenced=self.parts.fence_requests)
        self.step = Step.WAIT_FOR_EFFECT if accepted else Step.END
        return None

    def _keep_paused(self, late: ids.ServerId | None) -> None:
        if not self.parts.keep_paused:
            return
        primary = self.primary
        stopped = {primary} - {self.requested} if self.stopped_end is not None else set()
        statuses = self._ask(self._confirming() - {self.requested, primary} | stopped)
        self._pause_others(statuses, spared={self.requested, primary}, late=late)
        if any(statuses[name].leads for name in stopped & set(statuses)):
            self._order(
                promotion_world.Order(kind=OrderKind.STEP_DOWN, server=primary, term=self.term),
                late,
            )

    def _keep(self) -> None:
        """Promote the present primary again, and wait until accepted requests took effect."""
        self.step = Step.END
        if not self.valid:
            return
        self.request_sent = True
        request = promotion_world.Request(
            server=self.led_by, token=self.token, term=self.world.term
        )
        if self.parts.void_request:
            if not self.world.accept(request, fenced=self.parts.fence_requests):
                return
            while self.world.accepted:
                self.world.take_effect()
        if self.valid and self._leads(self.led_by):
            self.requested = None

    def _leads(self, name: ids.ServerId | None) -> bool:
        return any(status.leads for status in self._ask({name}).values())

    # Ending

    def end(self, late: ids.ServerId | None) -> None:
        """Resume servers and release the claim; the record stays while a promotion may come."""
        if self.done or (self.step is Step.WAIT_FOR_EFFECT and self._leads(self.requested)):
            self.requested = None
        elif not self.request_sent:
            self.requested = self.requested_before
        if self.valid:
            requested = self.requested if self.parts.resume_requested_only else None
            statuses = self._ask(self._answering())
            for name in sorted(promotion.servers_to_resume(statuses, requested=requested)):
                self._order(promotion_world.Order(kind=OrderKind.RESUME, server=name), late)
        if self.instance.reaches_store and self.world.claim == self.token:
            kept = self.requested if self.parts.record_outlives_claim else None
            self.world.record = kept if self.parts.record else None
            self.world.claim = None
