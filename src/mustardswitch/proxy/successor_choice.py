"""Chooses the server to promote under a claim, and ends the commits that its log would lack.

The decisions are made by ``internal.promotion``. Commits are held back before the servers that
confirm them are paused or the primary is stopped: the server is recorded in the store first, and
instances that see the record send no commits to another primary. Others may not have read it, or
have lost the store, so a primary that answers is stopped.
"""

import asyncio
import collections.abc
import dataclasses

from mustardswitch import events, tasks
from mustardswitch.internal import clock, ids, positions, promotion
from mustardswitch.proxy import errors, ports, server_commands, service, takeover_report

HANDOVER_TIMEOUT_S = 2.5
"""Time for the other servers to be paused, and for the primary to be stopped; a leaving primary
keeps running for several times as long."""
STOP_ORDERS = 2
"""Orders to stop which a primary answers without stopping, after which it is asked no more."""
SUCCESSOR_LAG_S = 0.6
"""Time for the successor to reach the primary's end, several times the usual lag of a replica."""
PAUSE_TIMEOUT_S = 1.2
"""Time for all replicas to answer, after which they are resumed and the attempt is abandoned."""
HOLD_S = 0.15
"""Time in which most instances read a record and hold commits back."""
UNLIKELY_ANSWER_S = 0.15
"""Time that a replica whose entry expired long ago gets to answer after the others; a new
connection and a query between regions."""
POLL_S = 0.05
"""Pause between queries to a server that is catching up or is being promoted."""
CLAIM_MARGIN_S = 0.5
"""Time before the claim's expiry from which its holder does nothing more; a promotion request may
be under way for this long, between regions or to a slow platform."""

NOT_RECORDED = promotion.Choice(
    verdict=promotion.Verdict.WAIT, reason="the promotion cannot be recorded"
)
STARTED_ANEW = promotion.Choice(
    verdict=promotion.Verdict.WAIT, reason="the primary has started anew; its end is not known"
)
IGNORED = promotion.Choice(
    verdict=promotion.Verdict.WAIT, reason="the primary runs and does not take the order to stop"
)


class SuccessorChoice:
    """The choice of the next primary of a service by the holder of a claim."""

    def __init__(
        self,
        *,
        target: service.Service,
        claim: ports.Claim,
        coordination: ports.Coordination,
    ) -> None:
        self.target = target
        self.claim = claim
        self.coordination = coordination
        self.commands = takeover_report.RecordedCommands(target=target)
        self.term = ids.Term(0)
        """The term under which replicas are paused and the primary is stopped."""
        self.stopped_end: positions.Position | None = None
        """End of the log of the primary, which takes no commits any more; None before that."""
        self.primary_end = positions.ORIGIN
        """The highest end of the log that a primary has shown to this holder."""
        self.ordered_to_stop = False
        """Whether a primary was ordered to stop under ``term``."""
        self.may_be_paused: set[ids.ServerId] = set()
        """Servers that may be paused and have not been resumed."""
        self.requested: ids.ServerId | None = None
        """The server whose promotion was recorded, by this holder or an earlier one, and may take
        effect; None without one."""

    def __repr__(self) -> str:
        return f"{type(self).__name__}(target={self.target!r}, claim={self.claim!r})"

    # The claim

    def note_claim_lost(self) -> None:
        """Act from now on as if the claim had expired."""
        self.claim = dataclasses.replace(self.claim, expires_at_s=clock.now_s())

    def holds_claim(self) -> bool:
        """Return whether no other instance can hold the claim yet."""
        return clock.now_s() + CLAIM_MARGIN_S < self.claim.expires_at_s

    async def _record(self, successor: ids.ServerId) -> bool:
        """Record the server in the store; False when that is not possible under the claim."""
        while self.holds_claim():
            # Set before the call, which may be executed although its answer is lost.
            self.requested = successor
            try:
                recorded = await self.coordination.record_promotion(self.claim, successor)
            except errors.StoreError as error:
                events.log(events.Event.CLAIM_FAILED, service=self.target.name, reason=str(error))
                await asyncio.sleep(POLL_S)
                continue
            if recorded:
                self.target.note_recorded_promotion(successor)
            else:
                self.note_claim_lost()
            return recorded
        return False

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
            await asyncio.sleep(POLL_S)
            statuses = await self._query_known(self.answering(primary, silent))
        self._raise_term(statuses)
        if primary in self._refusing_to_leave():
            return IGNORED
        leader = promotion.leading_server(statuses, known=primary, requested=self.requested)
        if leader is None:
            return await self._decide_without_primary(primary, statuses)
        # A primary that was stopped may lead again after a crash.
        self.stopped_end = None
        if leader != primary and self.requested in (None, leader):
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

    def _raise_term(self, statuses: server_commands.Statuses) -> None:
        """Raise the term of this change above those of the servers that are not paused.

        The term under which a server is paused does not count: a PAUSE that is executed after the
        promotion must not be above the term that it began. A stopped primary may report the term
        of the order.
        """
        if self.ordered_to_stop:
            return
        known = [status.term for status in statuses.values() if not status.paused]
        known += [status.received.term for status in statuses.values()]
        self.term = ids.Term(max([self.term, *(1 + term for term in known)]))

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
            await asyncio.sleep(POLL_S)
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
            await asyncio.sleep(POLL_S)

    async def _stop_primary(
        self, primary: ids.ServerId, successor: ids.ServerId
    ) -> promotion.Choice:
        """Stop a primary, and choose a server that has reached the end of its log.

        If the successor does not reach the end in time, any server that has may be chosen, also the
        primary itself: what the successor lacks may have been confirmed by a server that is not
        known. A primary that refuses the order is kept. One that accepts it and leads on, or is
        lost, leaves the pauses to prove a choice.
        """
        started_s = clock.now_s()
        orders_ignored = 0
        statuses: server_commands.Statuses = {}
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
                proved = {successor} if in_time else set(statuses)
                choice = self._choose(
                    expected=self.confirming(),
                    paused={},
                    receiving={name: statuses[name] for name in proved & set(statuses)},
                )
                if choice.verdict is not promotion.Verdict.WAIT:
                    return choice
            await asyncio.sleep(POLL_S)
        runs = primary in statuses or primary in self.commands.refusing
        if runs and self.stopped_end is None and orders_ignored < STOP_ORDERS:
            return IGNORED
        return await self._decide_without_primary(primary, {})

    def _refusing_to_leave(self) -> set[ids.ServerId]:
        """Return the leaving servers that run, but refuse to answer, for example as overloaded."""
        return self.commands.refusing & self._leaving()

    def _note_stopped(self, primary: ids.ServerId, status: promotion.ServerStatus) -> bool:
        """Note the end of a primary's log once it has stopped; it leads again after a crash.

        Returns False if its log is shorter than it was: it has started anew and proves nothing.
        """
        if status.received < self.primary_end:
            self.stopped_end = None
            return False
        self.primary_end = status.received
        if not status.leads and self.stopped_end is None:
            events.log(
                events.Event.PRIMARY_STOPPED,
                service=self.target.name,
                server=primary,
                term=self.term,
                end=status.received,
            )
        self.stopped_end = None if status.leads else status.received
        return True

    def _choose(
        self,
        *,
        expected: collections.abc.Set[ids.ServerId],
        paused: server_commands.Statuses,
        receiving: server_commands.Statuses,
    ) -> promotion.Choice:
        evidence = promotion.Evidence(
            expected=expected, paused=paused, receiving=receiving, stopped_end=self.stopped_end
        )
        return promotion.choose(evidence, leaving=self._leaving(), requested=self.requested)

    async def _decide_without_primary(
        self, primary: ids.ServerId | None, statuses: server_commands.Statuses
    ) -> promotion.Choice:
        """Pause all servers, and choose one when no other may hold more.

        The former primary is one of them if it answers: it has been stopped, or was replaced. It
        may still lead for instances that reach it, so commits are held back first: what is
        committed once the known servers are paused would be confirmed by unknown ones only.
        """
        spared = {primary} - set(statuses)
        try:
            await self.coordination.refresh_servers()
        except errors.StoreError as error:
            events.log(events.Event.CLAIM_FAILED, service=self.target.name, reason=str(error))
            return promotion.Choice(
                verdict=promotion.Verdict.WAIT, reason="the store did not list the servers"
            )
        likely = promotion.choose_successor(replicas=statuses, leaving=self._leaving())
        if self.requested is None and likely is not None:
            if not await self._record(likely):
                return NOT_RECORDED
            await asyncio.sleep(HOLD_S)
            statuses = await self.commands.query(self.confirming() - spared)
        started_s = clock.now_s()
        while True:
            paused = await self.pause_others(statuses, spared=spared)
            choice = self._choose(
                expected=self.confirming() - spared,
                paused=paused,
                receiving={
                    name: status
                    for name, status in statuses.items()
                    if name not in paused and not status.leads
                },
            )
            waiting = choice.verdict is promotion.Verdict.WAIT
            if not waiting or clock.now_s() - started_s > PAUSE_TIMEOUT_S:
                return choice
            await asyncio.sleep(POLL_S)
            statuses = await self.commands.query(self.confirming() - spared)

    def confirming(self) -> set[ids.ServerId]:
        """Return the servers that may confirm commits, as far as they are known now."""
        return set(self.target.servers_with_commits())

    async def pause_others(
        self,
        statuses: server_commands.Statuses,
        *,
        spared: collections.abc.Set[ids.ServerId | None],
    ) -> server_commands.Statuses:
        """Pause all servers but the ``spared`` ones; return the statuses of those that are paused.

        ``statuses`` must have been queried just now: a restart, or a RESUME of an earlier change
        that was delayed, may end a pause at any time. A server that leads is returned as well.
        """
        expected = self.confirming() - spared
        receiving = promotion.servers_to_pause(expected=expected, statuses=statuses, term=self.term)
        self.may_be_paused |= expected
        if receiving and self.holds_claim():
            statuses = statuses | await self.commands.pause(receiving, self.term)
        return {
            name: status
            for name, status in statuses.items()
            if name in expected and (status.paused or status.leads)
        }

    def _leaving(self) -> set[ids.ServerId]:
        return {backend.server for backend in self.target.servers.values() if backend.entry.leaving}
