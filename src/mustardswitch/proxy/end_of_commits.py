"""Ends the commits that a promoted server's log would lack, and chooses the server by what is left.

All instances hold commits back, and the former primary is stopped, by whichever instance reaches
it, or its process has ended. Until one of these is known, nothing is chosen.
"""

import asyncio
import collections.abc

from mustardswitch import events, tasks
from mustardswitch.internal import clock, former_primary, handover, ids, positions, promotion
from mustardswitch.proxy import (
    claimed_attempt,
    earlier_requests,
    errors,
    listing_wait,
    ports,
    server_commands,
    stop_orders,
)

SUCCESSOR_LAG_S = 0.6
"""Time for the successor to reach the primary's end, several times the usual lag of a replica."""
PAUSE_TIMEOUT_S = 1.2
"""Time for all replicas to answer, after which they are resumed and the attempt is abandoned."""

NOT_HELD = ports.HoldReport(complete=False)
NOT_RECORDED = promotion.Choice(
    verdict=promotion.Verdict.WAIT, reason="the promotion cannot be recorded"
)
NOT_LISTED = promotion.Choice(
    verdict=promotion.Verdict.WAIT, reason="the store did not list the servers and instances"
)
STARTED_ANEW = promotion.Choice(
    verdict=promotion.Verdict.WAIT, reason="the primary has started anew; its end is not known"
)


class EndOfCommits(earlier_requests.EarlierRequests):
    """The end of commits in an attempt to change a primary, and the choice that it proves."""

    evidence: promotion.Evidence
    """What the latest choice rests on."""

    def note_stopped(self, primary: ids.ServerId, status: promotion.ServerStatus) -> bool:
        """Note the status of a primary that was ordered to stop; see ``note_end``."""
        if status.leads:
            self.stopped_end = None
            started_anew = status.received < self.primary_end
            self.primary_end = max(self.primary_end, status.received)
            return not started_anew
        return self.note_end(primary, status.received)

    def note_end(self, primary: ids.ServerId, end: positions.Position) -> bool:
        """Note the end of a stopped primary's log.

        Returns False if its log is shorter than it was: it has started anew and proves nothing.
        """
        if end < self.primary_end:
            self.stopped_end = None
            return False
        self.primary_end = end
        if self.stopped_end is None:
            events.log(
                events.Event.PRIMARY_STOPPED,
                service=self.target.name,
                server=primary,
                term=self.term,
                end=end,
            )
        self.stopped_end = end
        self.commands.log.note_stopped(primary, end)
        return True

    def choose(
        self,
        *,
        expected: collections.abc.Set[ids.ServerId],
        paused: server_commands.Statuses,
        receiving: server_commands.Statuses,
        report: ports.HoldReport = NOT_HELD,
        avoided: collections.abc.Set[ids.ServerId | None] = frozenset(),
        former: promotion.FormerPrimary = promotion.FormerPrimary.MAY_RUN,
        unlisted_may_hold: bool = False,
        covered: collections.abc.Mapping[ids.ServerId, positions.Position] | None = None,
    ) -> promotion.Choice:
        """Choose a server; one that leaves, or is ``avoided``, only if there is no other."""
        self.commands.former_state = former
        self.evidence = promotion.Evidence(
            expected=expected,
            paused=paused,
            receiving=receiving,
            stopped_end=self.stopped_end,
            required_end=self._required_end(),
            commits_held=report.complete,
            former_primary=former,
            final_ends=self.final_ends.of_others(paused.keys() | receiving.keys()),
            acknowledged_above=report.above,
            acknowledged_end=report.acknowledged_end,
            recorded=None if self.record is None else self.record.server,
            unlisted_may_hold=unlisted_may_hold,
            covered=covered or {},
            unnamed=self.commands.unnamed,
        )
        return promotion.choose(
            self.evidence,
            leaving=self._leaving() | avoided,
            requested=self.requested,
            may_be_sent=not self.final_ends.allowed,
        )

    async def decide_without_primary(
        self, primary: ids.ServerId | None, statuses: server_commands.Statuses
    ) -> promotion.Choice:
        """End commits at a primary that gives no answer, and choose a server that lacks none.

        It may still lead for instances that reach it, or have stopped and be one of the servers
        that answer. Whether it can be stopped or not, the instances are asked to hold commits back.
        """
        if not await self._read_list():
            return NOT_LISTED
        awaited = self.kept_earlier(primary, statuses)
        if awaited is not None and self.record is None:
            if not await self.await_earlier_effect(awaited):
                return earlier_requests.NOT_VOIDED
            silent = {awaited} - statuses.keys()
            statuses = await self.commands.query(self.possible_holders() - silent)
            self._raise_term(statuses)
            if any(status.leads for status in statuses.values()):
                return earlier_requests.LEADS_AGAIN
        kept = promotion.kept_primary(self.requested)
        likely = self.requested if kept is None else None
        if likely is None or (self._record_is_free and likely in self._leaving()):
            staying = handover.choose_successor(
                replicas=statuses, leaving=self._leaving() | self.target.unlisted.keys()
            )
            likely = staying or likely or next(iter(sorted(statuses)), None)
        if likely is None:
            return promotion.Choice(
                verdict=promotion.Verdict.WAIT, reason="no replica has answered"
            )
        if not await self.ensure_recorded(likely):
            return NOT_RECORDED
        if not await self._refresh(self.coordination.refresh_instances()):
            return NOT_LISTED
        order = self._order_to_stop(primary, statuses)
        # It is read again after commits are held; the primary may have led again until then.
        self.was_stopped, self.stopped_end = self.stopped_end is not None, None
        if order is not None and self.was_stopped:
            order.led_newest = True
        sending: list[asyncio.Task[None]] = []
        try:
            return await self._end_commits(primary, statuses, order, sending)
        finally:
            await tasks.cancel_and_wait(sending)

    @property
    def _record_is_free(self) -> bool:
        """Whether the record is an earlier holder's, and its request was never sent."""
        return self.record is None and self.final_ends.allowed

    async def _read_list(self) -> bool:
        """Read the list of servers from the store; return whether it has answered."""
        self.list_read_at_s = clock.now_s()
        members = self.coordination.refresh_members(self.target.name)
        return await self._refresh(members) and await self._refresh(
            self.coordination.refresh_servers()
        )

    async def _refresh(self, listing: collections.abc.Awaitable[None]) -> bool:
        """Return whether the store has answered with a listing."""
        try:
            await listing
        except errors.StoreError as error:
            events.log(events.Event.CLAIM_FAILED, service=self.target.name, reason=str(error))
            return False
        return True

    def _order_to_stop(
        self, primary: ids.ServerId | None, statuses: server_commands.Statuses
    ) -> stop_orders.StopOrder | None:
        """Return the order to a primary that has not answered; None without one."""
        backend = self.former_server(primary)
        if backend is None or backend.server in statuses:
            return None
        self.ordered_to_stop = True
        return stop_orders.StopOrder(target=self.target, backend=backend, term=self.term)

    def _former_primary(
        self,
        order: stop_orders.StopOrder | None,
        report: ports.HoldReport,
        *,
        held_since_s: float | None,
    ) -> promotion.FormerPrimary:
        """Return whether a primary that was ordered to stop may execute commits."""
        if order is None:
            return promotion.FormerPrimary.UNKNOWN
        reporting = report.primary_reports.keys()
        return former_primary.state_of(
            [order.report(), *report.primary_reports.values()],
            held_s=None if held_since_s is None else clock.now_s() - held_since_s,
            all_report=report.all_report,
            confirmed_report=report.instances - report.unconfirmed <= reporting,
            unlisted_s=self.target.unlisted_s(order.backend.server),
        )

    async def _end_commits(
        self,
        primary: ids.ServerId | None,
        statuses: server_commands.Statuses,
        order: stop_orders.StopOrder | None,
        sending: list[asyncio.Task[None]],
    ) -> promotion.Choice:
        """Wait until a choice is proved: the primary has stopped, or its process has ended.

        The likely successor receives until then, and all others are paused. The order is sent once
        commits are held: a primary that crashes after an earlier answer may lead again, and take
        commits beyond its end. ``sending`` receives the task.
        """
        # One that the list, read anew, names as a replica may confirm commits of its successor.
        spared = {primary} - set(statuses) if self._is_listed_primary(primary) else set()
        stop = None
        held_since_s = ended_since_s = stopped_since_s = None
        queried_s = awaited_s = float("-inf")
        listing = listing_wait.ListingWait(target=self.target, recorded_at_s=self.record.at_s)
        sending.append(asyncio.create_task(self._pause_through_others()))
        while True:
            report = self.wait.without_given_up(self.hold_commits(stop))
            if held_since_s is None and report.complete:
                held_since_s = clock.now_s()
                if order is not None:
                    stop = ports.StopRequest(server=order.backend.server, term=self.term)
                    sending.append(asyncio.create_task(order.run()))
            if order is not None and self.stopped_end is None:
                if not self.note_stopped_by_any(order, report):
                    return STARTED_ANEW
                if self.stopped_end is not None:
                    await self._record_end(order.backend.server, self.stopped_end)
            replica = self.stopped_end is not None or self.replica_end is not None
            if stopped_since_s is None and replica:
                stopped_since_s = clock.now_s()
            former = self._former_primary(order, report, held_since_s=held_since_s)
            if ended_since_s is None and held_since_s is not None and former.has_ended:
                ended_since_s = clock.now_s()
            in_time = stopped_since_s is not None and (
                clock.now_s() - stopped_since_s < SUCCESSOR_LAG_S
            )
            ended_s = 0.0 if ended_since_s is None else clock.now_s() - ended_since_s
            silent_s = listing.primary_silent_s(order, report, former=former, ended_s=ended_s)
            executes_nothing_s = listing.executes_nothing_s(
                order, report, former=former, ended_s=ended_s
            )
            unlisted_may_hold = listing.may_hold_commits(executes_nothing_s)
            if ended_since_s is not None and listing.needs_list(
                self.list_read_at_s,
                ended_at_s=ended_since_s,
                executes_nothing_s=executes_nothing_s,
            ):
                if not await self._read_list():
                    return NOT_LISTED
                queried_s = float("-inf")
                continue
            if ended_since_s is not None and queried_s < ended_since_s:
                # A pause may have ended after an earlier query, and before commits did.
                queried_s = clock.now_s()
                statuses = await self.commands.query(self.possible_holders() - spared)
            stopped = self._stopped_before(primary)
            former_status = statuses.get(stopped)
            if former_status is not None and held_since_s is not None:
                read_again = queried_s >= held_since_s and not former_status.leads
                if read_again and not self.note_end(stopped, former_status.received):
                    return STARTED_ANEW
            status = statuses.get(self.requested)
            relayed = self._paused_through_others(since_s=ended_since_s)
            # Another one that lacks nothing is chosen once all are paused.
            behind = status is not None and all(
                promotion.lacks_acknowledged(each, report.above)
                for each in [*statuses.values(), *relayed.values()]
                if not each.leads
            )
            receives = {self.requested} if in_time or ended_since_s is None or behind else set()
            if in_time and status is not None and status.paused and self.holds_claim():
                await self.commands.resume(receives)
            paused = await self.pause_others(statuses, spared=spared | receives, await_silent=True)
            if stopped_since_s is not None and not in_time:
                # If no other server reaches its end, the stopped primary is promoted itself.
                former_names = {primary} if order is None else {primary, order.backend.server}
                known = spared | self.target.known_servers().keys()
                statuses = statuses | await self.commands.query(former_names & known)
            ended = set()
            if former.is_process_gone and self._is_listed_primary(order.backend.server):
                # One that is listed as a replica was replaced, and may have confirmed commits.
                ended = {order.backend.server}
            covered = {} if ended_since_s is None else self.covered(since_s=ended_since_s)
            expected = self.possible_holders() - spared - ended
            self.silent = expected - receives - set(paused) - set(statuses)
            relayed = self._paused_through_others(since_s=ended_since_s)
            paused |= relayed
            choice = self.choose(
                expected=expected,
                paused=paused,
                receiving={
                    name: status
                    for name, status in statuses.items()
                    if name not in paused and not status.leads
                },
                report=report,
                # One without an entry serves no callers until it is replaced.
                avoided={primary} | set(relayed) | self.target.unlisted.keys(),
                former=former,
                unlisted_may_hold=unlisted_may_hold,
                covered=covered | dict.fromkeys(self.wait.given_up(self.report), positions.ORIGIN),
            )
            if choice.verdict is not promotion.Verdict.WAIT or not self.holds_claim():
                self.wait.note_choice(choice, self.evidence, self.report)
                return choice
            backend = self.former_server(primary)
            reviewing = self.wait.review(
                self.claim,
                choice,
                self.evidence,
                self.report,
                former=None if backend is None else backend.server,
                silent_s=silent_s,
            )
            if await reviewing:
                awaited_s = clock.now_s()
            if ended_since_s is not None and report.complete and former.has_ended:
                await self.final_ends.add(
                    self.claim,
                    # Those that were paused before may have been queried before commits ended.
                    {
                        name: status
                        for name, status in paused.items()
                        if queried_s > ended_since_s
                        or name not in statuses
                        or not statuses[name].paused
                    },
                    revision=self.record.revision,
                    primary_end=self.stopped_end or self.replica_end,
                )
            if ended_since_s is not None:
                if unlisted_may_hold or self._awaits_acknowledged(paused, report):
                    awaited_s = clock.now_s()
                if clock.now_s() - max(ended_since_s, awaited_s) > PAUSE_TIMEOUT_S:
                    await self.wait.record(self.claim)
                    return choice
            await asyncio.sleep(claimed_attempt.POLL_S)
            queried_s = clock.now_s()
            statuses = await self.commands.query(self.possible_holders() - spared)

    def _stopped_before(self, primary: ids.ServerId | None) -> ids.ServerId | None:
        """Return the last primary if it was stopped before and no other has led since.

        Its log then has all that was ever acknowledged. None if that is not known.
        """
        former, stopped = self.former_server(primary), self.recorded_end
        if former is None:
            return None
        by_earlier = stopped is not None and stopped.server == former.server
        known = self.was_stopped or (by_earlier and self.final_ends.allowed)
        return former.server if known else None

    async def _pause_through_others(self) -> None:
        """Have other instances pause the servers that give no answer, until this is cancelled."""
        while True:
            if self.silent and self.holds_claim():
                self.coordination.relay_pauses(self.claim, self.silent, term=self.term)
            await asyncio.sleep(claimed_attempt.POLL_S)

    def _paused_through_others(self, *, since_s: float | None) -> server_commands.Statuses:
        """Return the statuses of paused servers that others have read since commits ended."""
        if since_s is None or not self.silent or not self.holds_claim():
            return {}
        found = self.coordination.relay_pauses(self.claim, self.silent, term=self.term)
        found = {name: each for name, each in found.items() if each.read_after_s >= since_s}
        for name, each in found.items():
            self.commands.note_relayed(name, each)
        return {name: each.status for name, each in found.items()}

    def note_stopped_by_any(self, order: stop_orders.StopOrder, report: ports.HoldReport) -> bool:
        """Note the end of a primary that any instance has stopped.

        One that answered as a replica was stopped or replaced before; its end is required, and
        does not prove a choice. Returns False if its log is shorter than it was.
        """
        reports = [order.report(), *report.primary_reports.values()]
        self.replica_end = former_primary.end_of(reports, former_primary.Order.REPLICA)
        end = former_primary.end_of(reports, former_primary.Order.STOPPED)
        return end is None or self.note_end(order.backend.server, end)

    def _awaits_acknowledged(
        self, paused: server_commands.Statuses, report: ports.HoldReport
    ) -> bool:
        """Return whether a server may still receive, or be listed with, an acknowledged commit."""
        if report.above is None:
            return False
        return all(promotion.lacks_acknowledged(each, report.above) for each in paused.values())
