"""Chooses the server to promote under a claim, and ends the commits that its log would lack.

The decisions are made by ``internal.promotion``. The server is recorded in the store first, and
instances that see the record send no commits to another primary. Others may not have read it, or
have lost the store, so the primary is stopped, and all instances confirm that they hold commits
back, or may send none without newer records. If the primary does not answer this instance, the
others order it to stop as well; without any answer a choice is made only once its process has
ended.
"""

import asyncio
import collections.abc
import dataclasses

from mustardswitch import events, tasks
from mustardswitch.internal import clock, former_primary, ids, positions, promotion
from mustardswitch.proxy import claimed_attempt, errors, ports, server_commands, stop_orders

HANDOVER_TIMEOUT_S = 2.5
"""Time for the other servers to be paused, and for the primary to be stopped; a leaving primary
keeps running for several times as long."""
STOP_ORDERS = 2
"""Orders to stop which a primary answers without stopping, after which it is asked no more."""
SUCCESSOR_LAG_S = 0.6
"""Time for the successor to reach the primary's end, several times the usual lag of a replica."""
PAUSE_TIMEOUT_S = 1.2
"""Time for all replicas to answer, after which they are resumed and the attempt is abandoned."""
ACKNOWLEDGED_WAIT_S = 6.0
"""Time to wait for a server that has an acknowledged commit which all known servers lack; as long
as a server that has started takes to be listed."""
UNLIKELY_ANSWER_S = 0.15
"""Time that a replica whose entry expired long ago gets to answer after the others; a new
connection and a query between regions."""

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
NOT_VOIDED = promotion.Choice(
    verdict=promotion.Verdict.WAIT, reason="requests of earlier claims may be executed"
)
IGNORED = promotion.Choice(
    verdict=promotion.Verdict.WAIT, reason="the primary runs and does not take the order to stop"
)


class SuccessorChoice(claimed_attempt.Attempt):
    """The choice of the next primary of a service by the holder of a claim."""

    # Deciding

    def answering(self, primary: ids.ServerId | None, silent: bool) -> set[ids.ServerId]:
        """Return the servers that may answer: all but a ``silent`` primary."""
        return self.confirming() - ({primary} if silent else set())

    async def decide(self, primary: ids.ServerId | None, silent: bool) -> promotion.Choice:
        """Decide, and record a server that is to be promoted.

        The servers are queried once more after that: a pause may have ended, or a server may have
        started, while the record was written.
        """
        choice = await self._decide_once(primary, silent)
        while choice.verdict is promotion.Verdict.PROMOTE and choice.server != self.requested:
            if not await self._record(choice.server):
                return NOT_RECORDED
            choice = await self._decide_once(primary, silent)
        return choice

    async def _decide_once(self, primary: ids.ServerId | None, silent: bool) -> promotion.Choice:
        statuses = await self._query_known(self.answering(primary, silent))
        started_s = clock.now_s()
        while primary in self._refusing_to_leave() and clock.now_s() - started_s < PAUSE_TIMEOUT_S:
            await asyncio.sleep(claimed_attempt.POLL_S)
            statuses = await self._query_known(self.answering(primary, silent))
        self._raise_term(statuses)
        if primary in self._refusing_to_leave():
            if self.requested is None:
                return IGNORED
            # Commits are held for an earlier change, so it is stopped however long that takes.
            return await self._decide_without_primary(primary, statuses)
        leader = promotion.leading_server(statuses, known=primary, requested=self.requested)
        if leader is None:
            return await self._decide_without_primary(primary, statuses)
        # Its replicas may receive more of its log.
        if not await self.withdraw_final_ends():
            return NOT_RECORDED
        # A primary that was stopped may lead again after a crash.
        self.stopped_end = None
        # A leader that is not listed serves no callers; it is replaced if that lasts.
        awaited = self.requested == leader or self.target.may_be_listed_again(leader)
        if leader != primary and self.requested in (None, leader) and awaited:
            return promotion.Choice(
                verdict=promotion.Verdict.ALREADY_LED,
                server=leader,
                reason="another server already leads",
            )
        return await self._decide_handover(leader, statuses)

    async def _query_known(
        self, servers: collections.abc.Set[ids.ServerId]
    ) -> server_commands.Statuses:
        """Query servers, and those that are most likely gone, which get little time to answer."""
        unlikely = set(self.target.known_servers()) - self.confirming()
        looking = asyncio.create_task(self.commands.query(unlikely))
        try:
            statuses = await self.commands.query(servers)
            done, _ = await asyncio.wait({looking}, timeout=UNLIKELY_ANSWER_S)
            return statuses | (looking.result() if done else {})
        finally:
            await tasks.cancel_and_wait([looking])

    async def _decide_handover(
        self, primary: ids.ServerId, statuses: server_commands.Statuses
    ) -> promotion.Choice:
        replicas = {
            name: status
            for name, status in statuses.items()
            if name != primary and (name in self.target.servers or name == self.requested)
        }
        successor = promotion.choose_successor(
            replicas=replicas, leaving=self._leaving(), requested=self.requested
        )
        if successor is None and self.requested is not None:
            return promotion.Choice(
                verdict=promotion.Verdict.KEEP,
                server=primary,
                reason=f"server {self.requested}, whose promotion was requested, does not answer",
            )
        if successor is None:
            return promotion.Choice(
                verdict=promotion.Verdict.WAIT, reason="no replica that is not leaving answered"
            )
        if replicas[successor].paused:
            await self.commands.resume({successor})
        self.primary_end = max(self.primary_end, statuses[primary].received)
        if not await self._reaches(successor, statuses[primary].received):
            return promotion.Choice(
                verdict=promotion.Verdict.WAIT,
                reason=f"the successor lags behind the primary's end {statuses[primary].received}",
            )
        choice = await self._decide_successor(primary, successor, statuses)
        if choice.verdict is promotion.Verdict.PROMOTE and self.requested == successor:
            return await self._stop_primary(primary, successor)
        return choice

    async def _decide_successor(
        self, primary: ids.ServerId, successor: ids.ServerId, statuses: server_commands.Statuses
    ) -> promotion.Choice:
        """Pause the other servers until the successor alone confirms commits and lacks none."""
        started_s = clock.now_s()
        while True:
            paused = await self.pause_others(statuses, spared={primary, successor})
            latest = await self.commands.query({successor})
            choice = promotion.Choice(
                verdict=promotion.Verdict.WAIT, reason="the successor does not answer"
            )
            if successor in latest:
                choice = promotion.evaluate_handover(
                    expected=self.confirming() - {primary},
                    paused=paused,
                    successor=successor,
                    successor_status=latest[successor],
                    primary_leaves=primary in self._leaving(),
                )
            waiting = choice.verdict is promotion.Verdict.WAIT
            if not waiting or clock.now_s() - started_s > HANDOVER_TIMEOUT_S:
                return choice
            await asyncio.sleep(claimed_attempt.POLL_S)
            statuses = await self.commands.query(self.confirming() - {primary, successor})

    async def _reaches(self, server: ids.ServerId, end: positions.Position) -> bool:
        """Return whether a server receives a position within ``SUCCESSOR_LAG_S``."""
        started_s = clock.now_s()
        while True:
            status = (await self.commands.query({server})).get(server)
            if status is not None and status.received >= end:
                return True
            if clock.now_s() - started_s > SUCCESSOR_LAG_S:
                return False
            await asyncio.sleep(claimed_attempt.POLL_S)

    async def _stop_primary(
        self, primary: ids.ServerId, successor: ids.ServerId
    ) -> promotion.Choice:
        """Stop a primary, and choose a server that has reached the end of its log.

        If the successor does not reach the end in time, any server that has may be chosen, also the
        primary itself: what the successor lacks may have been confirmed by a server that is not
        known. A primary that runs and does not stop is kept.
        """
        started_s = clock.now_s()
        orders_ignored = 0
        statuses: server_commands.Statuses = {}
        if not await self.ensure_recorded(successor):
            return NOT_RECORDED
        if not await self.void_earlier_requests(primary):
            return NOT_VOIDED
        self.ordered_to_stop = True
        while clock.now_s() - started_s < HANDOVER_TIMEOUT_S and orders_ignored < STOP_ORDERS:
            if not self.holds_claim():
                break
            answers = await self.commands.step_down({primary}, self.term)
            orders_ignored += any(status.leads for status in answers.values())
            in_time = clock.now_s() - started_s < SUCCESSOR_LAG_S
            others = set() if in_time else self.confirming()
            statuses = await self.commands.query({primary, successor} | others)
            if primary in statuses and not self._note_stopped(primary, statuses[primary]):
                return STARTED_ANEW
            if self.stopped_end is not None:
                await self._record_end(primary, self.stopped_end)
                proved = {successor} if in_time else set(statuses)
                choice = self._choose(
                    expected=self.confirming(),
                    paused={},
                    receiving={name: statuses[name] for name in proved & set(statuses)},
                    report=self.hold_commits(),
                )
                if choice.verdict is not promotion.Verdict.WAIT:
                    return choice
            await asyncio.sleep(claimed_attempt.POLL_S)
        runs = primary in statuses or primary in self.commands.refusing
        if runs and self.stopped_end is None:
            return IGNORED
        return await self._decide_without_primary(primary, {})

    async def void_earlier_requests(self, primary: ids.ServerId) -> bool:
        """Make the platform reject the requests of earlier claims; return whether it does now."""
        raise NotImplementedError

    def _refusing_to_leave(self) -> set[ids.ServerId]:
        """Return the leaving servers that run, but refuse to answer, for example as overloaded."""
        return self.commands.refusing & self._leaving()

    def _note_stopped(self, primary: ids.ServerId, status: promotion.ServerStatus) -> bool:
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
        return True

    def _choose(
        self,
        *,
        expected: collections.abc.Set[ids.ServerId],
        paused: server_commands.Statuses,
        receiving: server_commands.Statuses,
        report: ports.HoldReport = NOT_HELD,
        avoided: collections.abc.Set[ids.ServerId | None] = frozenset(),
        former: promotion.FormerPrimary = promotion.FormerPrimary.MAY_RUN,
    ) -> promotion.Choice:
        """Choose a server; one that leaves, or is ``avoided``, only if there is no other."""
        evidence = promotion.Evidence(
            expected=expected,
            paused=paused,
            receiving=receiving,
            stopped_end=self.stopped_end,
            required_end=self._required_end(),
            commits_held=report.complete,
            former_primary=former,
            final_ends=self.final_ends.of_others(paused.keys() | receiving.keys()),
            acknowledged_above=report.above,
        )
        return promotion.choose(
            evidence, leaving=self._leaving() | avoided, requested=self.requested
        )

    async def _decide_without_primary(
        self, primary: ids.ServerId | None, statuses: server_commands.Statuses
    ) -> promotion.Choice:
        """End commits at a primary that gives no answer, and choose a server that lacks none.

        It may still lead for instances that reach it, or have stopped and be one of the servers
        that answer. Whether it can be stopped or not, the instances are asked to hold commits back.
        """
        if not await self._refresh(self.coordination.refresh_servers()):
            return NOT_LISTED
        likely = self.requested or promotion.choose_successor(
            replicas=statuses, leaving=self._leaving()
        )
        likely = likely or next(iter(sorted(statuses)), None)
        if likely is None:
            return promotion.Choice(
                verdict=promotion.Verdict.WAIT, reason="no replica has answered"
            )
        if not await self.ensure_recorded(likely):
            return NOT_RECORDED
        if not await self._refresh(self.coordination.refresh_instances()):
            return NOT_LISTED
        order = self._order_to_stop(primary, statuses)
        sending = asyncio.create_task(order.run()) if order is not None else None
        try:
            return await self._end_commits(primary, statuses, order)
        finally:
            if sending is not None:
                await tasks.cancel_and_wait([sending])

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
        """Return the order to a primary that has not answered; None without one.

        A primary whose entry is gone is the last one that led.
        """
        unlisted = self.target.former_primary
        if primary is None and unlisted is not None:
            primary = unlisted.server
        backend = self.target.known_servers().get(primary)
        if primary in statuses or backend is None:
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
            all_report=report.instances <= reporting and not report.unconfirmed,
            confirmed_report=report.instances - report.unconfirmed <= reporting,
            listing=self.target.listing_of(order.backend.server),
        )

    async def _end_commits(
        self,
        primary: ids.ServerId | None,
        statuses: server_commands.Statuses,
        order: stop_orders.StopOrder | None,
    ) -> promotion.Choice:
        """Wait until a choice is proved: the primary has stopped, or its process has ended.

        The likely successor receives until then, and all others are paused.
        """
        # One that the list, read anew, names as a replica may confirm commits of its successor.
        spared = {primary} - set(statuses) if self._is_listed_primary(primary) else set()
        stop = None
        if order is not None:
            stop = ports.StopRequest(server=order.backend.server, term=self.term)
        held_since_s = ended_since_s = stopped_since_s = None
        queried_s = float("-inf")
        while True:
            report = self.hold_commits(stop)
            if held_since_s is None and report.complete:
                held_since_s = clock.now_s()
            if order is not None and self.stopped_end is None:
                if not self._note_stopped_by_any(order, report):
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
            if ended_since_s is not None and clock.now_s() - ended_since_s > ACKNOWLEDGED_WAIT_S:
                report = self._ignore_acknowledged(report)
            status = statuses.get(self.requested)
            behind = status is not None and promotion.lacks_acknowledged(status, report.above)
            receives = {self.requested} if in_time or ended_since_s is None or behind else set()
            if in_time and status is not None and status.paused and self.holds_claim():
                await self.commands.resume(receives)
            paused = await self.pause_others(statuses, spared=spared | receives)
            if stopped_since_s is not None and not in_time:
                statuses = statuses | await self.commands.query({primary} & spared)
            choice = self._choose(
                expected=self.confirming() - spared,
                paused=paused,
                receiving={
                    name: status
                    for name, status in statuses.items()
                    if name not in paused and not status.leads
                },
                report=report,
                avoided={primary},
                former=former,
            )
            if choice.verdict is not promotion.Verdict.WAIT or not self.holds_claim():
                return choice
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
            if ended_since_s is not None and self._gives_up(ended_since_s, paused, report):
                return choice
            await asyncio.sleep(claimed_attempt.POLL_S)
            queried_s = clock.now_s()
            statuses = await self.commands.query(self.confirming() - spared)

    def _note_stopped_by_any(self, order: stop_orders.StopOrder, report: ports.HoldReport) -> bool:
        """Note the end of a primary that any instance has stopped.

        One that answered as a replica was stopped or replaced before; its end is required, and
        does not prove a choice. Returns False if its log is shorter than it was.
        """
        reports = [order.report(), *report.primary_reports.values()]
        self.replica_end = former_primary.end_of(reports, former_primary.Order.REPLICA)
        end = former_primary.end_of(reports, former_primary.Order.STOPPED)
        return end is None or self.note_end(order.backend.server, end)

    def _gives_up(
        self, ended_since_s: float, paused: server_commands.Statuses, report: ports.HoldReport
    ) -> bool:
        """Return whether to end an attempt in which commits have ended and no choice is proved.

        If the servers lack an acknowledged commit, one may receive it, or another that has it may
        be listed soon.
        """
        lacking = any(promotion.lacks_acknowledged(each, report.above) for each in paused.values())
        lacking = lacking or self.requested not in paused
        limit_s = ACKNOWLEDGED_WAIT_S if lacking and report.above is not None else 0.0
        return clock.now_s() - ended_since_s > limit_s + PAUSE_TIMEOUT_S

    def _ignore_acknowledged(self, report: ports.HoldReport) -> ports.HoldReport:
        """Return a report without the acknowledged positions, which no known server reaches.

        The servers that had them are gone: without this, the service would stay without a primary.
        """
        if report.above is not None and not self.ignores_acknowledged:
            self.ignores_acknowledged = True
            events.log(
                events.Event.ACKNOWLEDGED_IGNORED, service=self.target.name, above=report.above
            )
        return dataclasses.replace(report, above=None)
