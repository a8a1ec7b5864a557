"""Changes the primary of one service: pauses replicas, promotes one, resumes the others.

The decisions are made by ``internal.promotion``. The fencing token of the claim makes the platform
reject promotion requests of an earlier holder.

A request without an answer may be executed seconds later. So the server is recorded in the store
before its promotion is requested, and until the record is removed only this server may confirm
commits: the others stay paused, and whoever holds the claim next promotes the same server.
Instances that see the record send no commits to another primary. Others may not have read it, or
have lost the store, so a primary that answers is stopped before the request.
"""

import asyncio
import collections.abc
import contextlib
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
UNLIKELY_ANSWER_S = 0.15
"""Time that a replica whose entry expired long ago gets to answer after the others; a new
connection and a query between regions."""
POLL_S = 0.05
"""Pause between queries to a server that is catching up or is being promoted."""
PROMOTION_TIMEOUT_S = 4.0
"""Time for a promoted server to lead; longer than the platform usually takes."""
PROMOTION_DELAY_S = 1.5
"""Time after which an accepted promotion has taken effect; it takes up to a second."""
CLAIM_MARGIN_S = 0.5
"""Time before the claim's expiry from which its holder does nothing more; a promotion request may
be under way for this long, between regions or to a slow platform."""
CLAIM_RENEWAL_S = 0.8
"""Pause between renewals of a claim; two may fail before it expires."""
RENEWAL_LIMIT_S = 4.0
"""Time for which a claim is renewed. An attempt that takes longer ends with its claim, and another
instance may try."""


class Takeover:
    """One attempt to change the primary of a service under a claim."""

    def __init__(
        self,
        *,
        target: service.Service,
        claim: ports.Claim,
        coordination: ports.Coordination,
        promoter: ports.Promoter,
    ) -> None:
        self.target = target
        self.claim = claim
        self.coordination = coordination
        self.promoter = promoter
        self.commands = takeover_report.RecordedCommands(target=target)
        self.term = ids.Term(0)
        """The term under which replicas are paused and the primary is stopped."""
        self.stopped_end: positions.Position | None = None
        """End of the log of the primary, which takes no commits any more; None before that."""
        self.may_be_paused: set[ids.ServerId] = set()
        """Servers that may be paused and have not been resumed."""
        self.requested_before: ids.ServerId | None = None
        """The server whose promotion an earlier holder recorded; None without one."""
        self.request_sent = False
        """Whether this holder has requested a promotion."""
        self.requested: ids.ServerId | None = None
        """The server whose promotion was recorded, by this holder or an earlier one, and may take
        effect; None without one."""

    def __repr__(self) -> str:
        return (
            f"Takeover(target={self.target!r}, claim={self.claim!r},"
            f" coordination={self.coordination!r}, promoter={self.promoter!r})"
        )

    async def run(self, primary: ids.ServerId | None, *, silent: bool = False) -> bool:
        """Replace a primary; returns whether another server leads.

        ``primary`` is None when the former primary is no longer listed. A ``silent`` primary is
        known not to answer this instance and is not queried. All other servers are resumed at the
        end, including those that an earlier holder left paused, with two exceptions: a promotion
        that may still take effect leaves all but its server paused, and nothing is resumed once the
        claim has expired, since the servers may be paused for its next holder.
        """
        events.log(
            events.Event.TAKEOVER_STARTED,
            service=self.target.name,
            primary=primary,
            fencing_token=self.claim.fencing_token,
            requested=self.requested,
            **self.commands.note_start(primary),
        )
        choice = promotion.Choice(verdict=promotion.Verdict.WAIT, reason="not decided")
        done = False
        try:
            choice = await self._decide_and_record(primary, silent)
            if choice.verdict is promotion.Verdict.PROMOTE:
                async with self._kept_paused(choice.server, primary=primary):
                    done = await self._promote(choice.server)
            elif choice.verdict is promotion.Verdict.KEEP:
                async with self._kept_paused(choice.server):
                    await self._keep(choice.server)
            elif choice.verdict is promotion.Verdict.ALREADY_LED:
                await self.target.find_leader()
                done = True
        finally:
            if done:
                self.requested = None
                # A promotion ends all pauses.
                self.may_be_paused = set()
            elif not self.request_sent:
                self.requested = self.requested_before
            await asyncio.shield(self._end(self._answering(primary, silent)))
        events.log(
            events.Event.TAKEOVER_ENDED,
            service=self.target.name,
            server=choice.server,
            verdict=choice.verdict.value,
            reason=choice.reason,
            done=done,
            **self.commands.end_fields(),
        )
        return done

    async def resume_all(self) -> None:
        """Resume all servers, since another instance left replicas paused when it died."""
        self.may_be_paused = self._confirming()
        await self._end(self._confirming())

    @contextlib.asynccontextmanager
    async def renewing(self) -> collections.abc.AsyncIterator[None]:
        """Renew the claim while the context is open."""
        renewals = asyncio.create_task(self._renew())
        try:
            yield
        finally:
            await tasks.cancel_and_wait([renewals])

    async def _renew(self) -> None:
        ends_s = clock.now_s() + RENEWAL_LIMIT_S
        while clock.now_s() + CLAIM_RENEWAL_S < ends_s:
            await asyncio.sleep(CLAIM_RENEWAL_S)
            try:
                renewed = await self.coordination.renew(self.claim)
            except errors.StoreError as error:
                events.log(events.Event.CLAIM_FAILED, service=self.target.name, reason=str(error))
                continue
            if renewed is None:
                self._note_claim_lost()
                return
            self.claim = renewed

    def _note_claim_lost(self) -> None:
        self.claim = dataclasses.replace(self.claim, expires_at_s=clock.now_s())

    def holds_claim(self) -> bool:
        """Return whether no other instance can hold the claim yet."""
        return clock.now_s() + CLAIM_MARGIN_S < self.claim.expires_at_s

    # Deciding

    def _answering(self, primary: ids.ServerId | None, silent: bool) -> set[ids.ServerId]:
        """Return the servers that may answer: all but a ``silent`` primary."""
        return self._confirming() - ({primary} if silent else set())

    async def _decide_and_record(
        self, primary: ids.ServerId | None, silent: bool
    ) -> promotion.Choice:
        """Decide, and record a server that is to be promoted.

        The servers are queried once more after that: a pause may have ended, or a server may have
        started, while the record was written.
        """
        choice = await self._decide(primary, silent)
        while choice.verdict is promotion.Verdict.PROMOTE and choice.server != self.requested:
            if not await self._record(choice.server):
                return promotion.Choice(
                    verdict=promotion.Verdict.WAIT, reason="the promotion cannot be recorded"
                )
            choice = await self._decide(primary, silent)
        return choice

    async def _decide(self, primary: ids.ServerId | None, silent: bool) -> promotion.Choice:
        statuses = await self._query_known(self._answering(primary, silent))
        self._raise_term(statuses)
        leader = promotion.leading_server(statuses, known=primary, requested=self.requested)
        if leader is None:
            return await self._decide_without_primary(primary, statuses)
        # A primary that was stopped leads again after a crash.
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
        unlikely = set(self.target.known_servers()) - self._confirming()
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
        promotion must not be above the term that it began.
        """
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
            paused = await self._pause_others(statuses, spared={primary, successor})
            latest = await self.commands.query({successor})
            choice = promotion.Choice(
                verdict=promotion.Verdict.WAIT, reason="the successor does not answer"
            )
            if successor in latest:
                choice = promotion.evaluate_handover(
                    expected=self._confirming() - {primary},
                    paused=paused,
                    successor=successor,
                    successor_status=latest[successor],
                    primary_leaves=primary in self._leaving(),
                )
            waiting = choice.verdict is promotion.Verdict.WAIT
            if not waiting or clock.now_s() - started_s > HANDOVER_TIMEOUT_S:
                return choice
            await asyncio.sleep(POLL_S)
            statuses = await self.commands.query(self._confirming() - {primary, successor})

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

        That is the primary itself if the successor does not reach the end in time: what the
        successor lacks may have been confirmed by a server that is not known. A primary that does
        not stop is treated like one that gives no answer.
        """
        started_s = clock.now_s()
        orders_ignored = 0
        while clock.now_s() - started_s < HANDOVER_TIMEOUT_S and orders_ignored < STOP_ORDERS:
            if not self.holds_claim():
                break
            answers = await self.commands.step_down({primary}, self.term)
            orders_ignored += any(status.leads for status in answers.values())
            statuses = await self.commands.query({primary, successor})
            if primary in statuses:
                self._note_stopped(primary, statuses[primary])
            if self.stopped_end is not None:
                if clock.now_s() - started_s < SUCCESSOR_LAG_S:
                    statuses.pop(primary, None)
                choice = self._choose(expected=self._confirming(), paused={}, receiving=statuses)
                if choice.verdict is not promotion.Verdict.WAIT:
                    return choice
            await asyncio.sleep(POLL_S)
        return await self._decide_without_primary(primary, {})

    def _note_stopped(self, primary: ids.ServerId, status: promotion.ServerStatus) -> None:
        """Note the end of a primary's log if it has stopped; it leads again after a crash."""
        if not status.leads and self.stopped_end is None:
            events.log(
                events.Event.PRIMARY_STOPPED,
                service=self.target.name,
                server=primary,
                term=self.term,
                end=status.received,
            )
        self.stopped_end = None if status.leads else status.received

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

        The former primary is one of them if it answers: it has been stopped, or was replaced.
        """
        started_s = clock.now_s()
        try:
            await self.coordination.refresh_servers()
        except errors.StoreError as error:
            events.log(events.Event.CLAIM_FAILED, service=self.target.name, reason=str(error))
            return promotion.Choice(
                verdict=promotion.Verdict.WAIT, reason="the store did not list the servers"
            )
        while True:
            spared = {primary} - set(statuses)
            paused = await self._pause_others(statuses, spared=spared)
            choice = self._choose(expected=self._confirming() - spared, paused=paused, receiving={})
            waiting = choice.verdict is promotion.Verdict.WAIT
            if not waiting or clock.now_s() - started_s > PAUSE_TIMEOUT_S:
                return choice
            await asyncio.sleep(POLL_S)
            statuses = await self.commands.query(self._confirming() - spared)

    def _confirming(self) -> set[ids.ServerId]:
        """Return the servers that may confirm commits, as far as they are known now."""
        return set(self.target.servers_with_commits())

    async def _pause_others(
        self,
        statuses: server_commands.Statuses,
        *,
        spared: collections.abc.Set[ids.ServerId | None],
    ) -> server_commands.Statuses:
        """Pause all servers but the ``spared`` ones; return the statuses of those that are paused.

        ``statuses`` must have been queried just now: a restart, or a RESUME of an earlier change
        that was delayed, may end a pause at any time. A server that leads is returned as well.
        """
        expected = self._confirming() - spared
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

    # Ending

    async def _end(self, servers: collections.abc.Set[ids.ServerId]) -> None:
        """Resume servers that are left paused, and close the connections.

        Nothing is sent once the claim may have expired, since the servers may be paused for its
        next holder.
        """
        if self.holds_claim():
            statuses = await self.commands.query(servers)
            resumed = await self.commands.resume(
                promotion.servers_to_resume(statuses, requested=self.requested)
            )
            receiving = {name for name, status in statuses.items() if not status.paused}
            self.may_be_paused -= receiving | resumed
        else:
            events.log(
                events.Event.CLAIM_LAPSED,
                service=self.target.name,
                fencing_token=self.claim.fencing_token,
            )
        self.commands.close()

    # Promoting

    async def _promote(self, successor: ids.ServerId) -> bool:
        """Request a promotion that is recorded; returns whether the successor leads.

        Without an answer the request is repeated for the same server only.
        """
        while self.holds_claim():
            outcome = await self._request(successor)
            if outcome is ports.PromotionOutcome.REJECTED:
                return False
            if outcome is ports.PromotionOutcome.ACCEPTED:
                return await self._wait_until_leading(successor)
            await asyncio.sleep(POLL_S)
            if await self._leads(successor):
                return True
        return False

    async def _request(self, server: ids.ServerId) -> ports.PromotionOutcome:
        self.request_sent = True
        fields = self.commands.note_request(server)
        outcome = await self.promoter.promote(
            service=self.target.name, server=server, fencing_token=self.claim.fencing_token
        )
        events.log(
            events.Event.PROMOTION_ORDERED,
            service=self.target.name,
            server=server,
            fencing_token=self.claim.fencing_token,
            outcome=outcome.value,
            **fields,
        )
        return outcome

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
                self._note_claim_lost()
            return recorded
        return False

    async def _keep(self, primary: ids.ServerId) -> None:
        """Void an earlier request to promote another server, under a higher token.

        A promotion of the present primary changes nothing. A request that was accepted before may
        take effect a little later, until which the record stays.
        """
        while self.holds_claim():
            outcome = await self._request(primary)
            if outcome is ports.PromotionOutcome.REJECTED:
                return
            if outcome is ports.PromotionOutcome.ACCEPTED:
                await asyncio.sleep(PROMOTION_DELAY_S)
                if self.holds_claim() and await self._leads(primary):
                    self.requested = None
                return
            await asyncio.sleep(POLL_S)

    async def _wait_until_leading(self, successor: ids.ServerId) -> bool:
        started_s = clock.now_s()
        while clock.now_s() - started_s < PROMOTION_TIMEOUT_S:
            if await self._leads(successor):
                return True
            await asyncio.sleep(POLL_S)
        return False

    @contextlib.asynccontextmanager
    async def _kept_paused(
        self, promoted: ids.ServerId, *, primary: ids.ServerId | None = None
    ) -> collections.abc.AsyncIterator[None]:
        """Keep other servers from confirming commits, and a stopped primary from leading again.

        A promotion takes effect some time after its request. Until then a restart, a delayed
        RESUME or a server that has just started may end or evade a pause.
        """

        async def keep_paused() -> None:
            stopped = {primary} - {promoted} if self.stopped_end is not None else set()
            while True:
                await asyncio.sleep(POLL_S)
                statuses = await self.commands.query(
                    self._confirming() - {promoted, primary} | stopped
                )
                await self._pause_others(statuses, spared={promoted, primary})
                leads_again = any(statuses[name].leads for name in stopped & set(statuses))
                if leads_again and self.holds_claim():
                    await self.commands.step_down(stopped, self.term)

        keeping = asyncio.create_task(keep_paused())
        try:
            yield
        finally:
            await tasks.cancel_and_wait([keeping])

    async def _leads(self, successor: ids.ServerId) -> bool:
        query_sent_at_s = clock.now_s()
        status = (await self.commands.query({successor})).get(successor)
        if status is None or not status.leads:
            return False
        self.target.note_leading(
            successor, query_sent_at_s=query_sent_at_s, position=status.received
        )
        return True
