"""Changes the primary of one service: pauses replicas, promotes one, resumes the others.

The decisions are made by ``internal.promotion``. The fencing token of the claim makes the platform
reject promotion requests of an earlier holder.

A request without an answer may be executed seconds later. So the server is recorded in the store
before its promotion is requested, and until the record is removed only this server may confirm
commits: the others stay paused, and whoever holds the claim next promotes the same server.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses

from mustardswitch import events, tasks
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, promotion
from mustardswitch.proxy import errors, ports, server, service

QUERY_TIMEOUT_S = 0.5
"""Time for opening a connection, and for the answer to a query over it; the work of opening one and
ten round trips between regions."""
HANDOVER_TIMEOUT_S = 2.5
"""Time for the successor to catch up; a leaving primary keeps running for several times as long."""
PAUSE_TIMEOUT_S = 1.2
"""Time for all replicas to answer, after which they are resumed and the attempt is abandoned."""
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
        self.links: dict[ids.ServerId, ports.Link] = {}
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
        )
        choice = promotion.Choice(verdict=promotion.Verdict.WAIT, reason="not decided")
        try:
            choice = await self._decide(primary, silent)
            done = False
            if choice.verdict is promotion.Verdict.PROMOTE:
                done = await self._promote(choice.server)
            elif choice.verdict is promotion.Verdict.KEEP:
                await self._keep(choice.server)
            elif choice.verdict is promotion.Verdict.ALREADY_LED:
                await self.target.find_leader()
                done = True
            if done:
                self.requested = None
        finally:
            resumed = self._answering(primary, silent)
            if self.requested is not None:
                resumed &= {self.requested}
            await asyncio.shield(self._resume(resumed))
        events.log(
            events.Event.TAKEOVER_ENDED,
            service=self.target.name,
            server=choice.server,
            verdict=choice.verdict.value,
            reason=choice.reason,
            done=done,
        )
        return done

    async def resume_all(self) -> None:
        """Resume all servers, since another instance left replicas paused when it died."""
        await self._resume(set(self.target.servers_with_commits()))

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
        return set(self.target.servers_with_commits()) - ({primary} if silent else set())

    async def _decide(self, primary: ids.ServerId | None, silent: bool) -> promotion.Choice:
        statuses = await self._query_all(self._answering(primary, silent))
        term = ids.Term(1 + max((status.term for status in statuses.values()), default=0))
        led_by = [
            name for name, status in statuses.items() if status.role is promotion.Role.PRIMARY
        ]
        others = [name for name in led_by if name != primary]
        if others and self.requested in (None, *others):
            return promotion.Choice(
                verdict=promotion.Verdict.ALREADY_LED,
                server=self.requested or others[0],
                reason="another server already leads",
            )
        if led_by:
            return await self._decide_handover((others or led_by)[0], statuses, term)
        return await self._decide_after_failure(primary, term)

    async def _decide_handover(
        self,
        primary: ids.ServerId,
        statuses: collections.abc.Mapping[ids.ServerId, promotion.ServerStatus],
        term: ids.Term,
    ) -> promotion.Choice:
        expected = set(self.target.servers_with_commits()) - {primary}
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
        if self.requested is not None:
            # The holder that requested its promotion may have left it paused.
            await self._resume_one(successor)
        paused = await self._pause_all(expected - {successor}, term)
        started_s = clock.now_s()
        while True:
            latest = await self._query_all({successor})
            status = latest.get(successor)
            paused = self._still_paused(paused)
            choice = promotion.Choice(
                verdict=promotion.Verdict.WAIT, reason="the successor does not answer"
            )
            if status is not None:
                choice = promotion.evaluate_handover(
                    expected=expected,
                    paused=paused,
                    successor=successor,
                    successor_status=status,
                )
            waiting = choice.verdict is promotion.Verdict.WAIT
            if not waiting or clock.now_s() - started_s > HANDOVER_TIMEOUT_S:
                return choice
            await asyncio.sleep(POLL_S)
            missing = expected - {successor} - set(paused)
            paused = {**paused, **await self._pause_all(missing, term)}

    async def _decide_after_failure(
        self, primary: ids.ServerId | None, term: ids.Term
    ) -> promotion.Choice:
        expected = set(self.target.servers_with_commits()) - {primary}
        paused: dict[ids.ServerId, promotion.ServerStatus] = {}
        started_s = clock.now_s()
        while True:
            paused = self._still_paused(paused)
            paused |= await self._pause_all(expected - set(paused), term)
            choice = promotion.choose_after_failure(
                expected=expected,
                paused=paused,
                leaving=self._leaving(),
                requested=self.requested,
            )
            waiting = choice.verdict is promotion.Verdict.WAIT
            if not waiting or clock.now_s() - started_s > PAUSE_TIMEOUT_S:
                return choice
            await asyncio.sleep(POLL_S)

    def _still_paused(
        self, paused: collections.abc.Mapping[ids.ServerId, promotion.ServerStatus]
    ) -> dict[ids.ServerId, promotion.ServerStatus]:
        """Return the replicas whose connection is intact; a restart would have ended the pause."""
        return {
            name: status
            for name, status in paused.items()
            if name in self.links and not self.links[name].broken
        }

    def _leaving(self) -> set[ids.ServerId]:
        return {backend.server for backend in self.target.servers.values() if backend.entry.leaving}

    # Commands to servers

    async def _link(self, backend: server.Server) -> ports.Link:
        link = self.links.get(backend.server)
        if link is None or link.broken:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                link = await backend.opener(backend.entry)
            self.links[backend.server] = link
        return link

    async def _query_all(
        self, servers: collections.abc.Set[ids.ServerId]
    ) -> dict[ids.ServerId, promotion.ServerStatus]:
        async def query(link: ports.Link) -> promotion.ServerStatus:
            return await link.status(QUERY_TIMEOUT_S)

        return await self._gather(servers, query)

    async def _pause_all(
        self, servers: collections.abc.Set[ids.ServerId], term: ids.Term
    ) -> dict[ids.ServerId, promotion.ServerStatus]:
        async def pause(link: ports.Link) -> promotion.ServerStatus:
            return await link.pause(term, QUERY_TIMEOUT_S)

        if not self.holds_claim():
            return {}
        return await self._gather(servers, pause)

    async def _gather(
        self,
        servers: collections.abc.Set[ids.ServerId],
        query: collections.abc.Callable[
            [ports.Link], collections.abc.Awaitable[promotion.ServerStatus]
        ],
    ) -> dict[ids.ServerId, promotion.ServerStatus]:
        """Run ``query`` on servers concurrently and return their answers, by server.

        Servers that did not answer are left out.
        """
        answers: dict[ids.ServerId, promotion.ServerStatus] = {}

        async def query_one(name: ids.ServerId) -> None:
            backend = self.target.servers_with_commits().get(name)
            if backend is None:
                return
            try:
                answers[name] = await query(await self._link(backend))
            except (backend_errors.BackendError, TimeoutError) as error:
                events.log(
                    events.Event.TAKEOVER_UNANSWERED,
                    service=self.target.name,
                    server=name,
                    reason=str(error) or type(error).__name__,
                )

        async with asyncio.TaskGroup() as group:
            for name in servers:
                group.create_task(query_one(name))
        return answers

    async def _resume(self, servers: collections.abc.Set[ids.ServerId]) -> None:
        """Resume servers while the claim holds, and close the connections of this attempt."""

        if self.holds_claim():
            async with asyncio.TaskGroup() as group:
                for name in servers:
                    group.create_task(self._resume_one(name))
        else:
            events.log(
                events.Event.CLAIM_LAPSED,
                service=self.target.name,
                fencing_token=self.claim.fencing_token,
            )
        for link in self.links.values():
            with contextlib.suppress(backend_errors.BackendError):
                link.close()
        self.links = {}

    async def _resume_one(self, name: ids.ServerId) -> None:
        backend = self.target.servers_with_commits().get(name)
        if backend is None:
            return
        try:
            link = await self._link(backend)
            await link.resume(QUERY_TIMEOUT_S)
        except (backend_errors.BackendError, TimeoutError) as error:
            events.log(
                events.Event.TAKEOVER_UNANSWERED,
                service=self.target.name,
                server=name,
                reason=f"not resumed: {error}",
            )

    # Promoting

    async def _promote(self, successor: ids.ServerId) -> bool:
        """Record and request a promotion; returns whether the successor leads.

        Without an answer the request is repeated for the same server only.
        """
        if not await self._record(successor):
            return False
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
        outcome = await self.promoter.promote(
            service=self.target.name, server=server, fencing_token=self.claim.fencing_token
        )
        events.log(
            events.Event.PROMOTION_ORDERED,
            service=self.target.name,
            server=server,
            fencing_token=self.claim.fencing_token,
            outcome=outcome.value,
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
            if not recorded:
                self._note_claim_lost()
            return recorded
        return False

    async def _keep(self, primary: ids.ServerId) -> None:
        """Void an earlier request to promote another server, by showing the platform a higher token.

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

    async def _leads(self, successor: ids.ServerId) -> bool:
        query_sent_at_s = clock.now_s()
        status = (await self._query_all({successor})).get(successor)
        if status is None or status.role is not promotion.Role.PRIMARY:
            return False
        self.target.note_leading(
            successor, query_sent_at_s=query_sent_at_s, position=status.received
        )
        return True


async def run_claimed(
    *,
    target: service.Service,
    coordination: ports.Coordination,
    promoter: ports.Promoter,
    primary: ids.ServerId | None,
    silent: bool = False,
    unfinished: ports.UnfinishedChange | None = None,
) -> bool:
    """Claim a service and change its primary; False when this instance did not change it.

    For ``primary`` and ``silent`` see ``Takeover.run``. ``unfinished`` is the state that an
    earlier, unfinished change is known to have left.
    """
    attempt = await _begin(target, coordination, promoter)
    if attempt is None:
        return False
    # Instances of an earlier build mark a request without naming its server.
    unnamed = unfinished is ports.UnfinishedChange.PROMOTION_REQUESTED and attempt.requested is None
    done = False
    try:
        async with attempt.renewing():
            done = await attempt.run(primary, silent=silent)
        return done
    finally:
        await _release(attempt, unnamed=unnamed and not done)


async def _begin(
    target: service.Service, coordination: ports.Coordination, promoter: ports.Promoter
) -> Takeover | None:
    """Claim a service, and read which promotion an earlier holder may have requested."""
    try:
        claim = await coordination.claim(target.name)
    except errors.StoreError as error:
        events.log(events.Event.CLAIM_FAILED, service=target.name, reason=str(error))
        return None
    if claim is None:
        return None
    attempt = Takeover(target=target, claim=claim, coordination=coordination, promoter=promoter)
    while attempt.holds_claim():
        try:
            attempt.requested = await coordination.recorded_promotion(target.name)
        except errors.StoreError as error:
            events.log(events.Event.CLAIM_FAILED, service=target.name, reason=str(error))
            await asyncio.sleep(POLL_S)
        else:
            return attempt
    # Not released, which would remove a record that was not read.
    return None


async def clean_up(
    *,
    target: service.Service,
    coordination: ports.Coordination,
    promoter: ports.Promoter,
    unfinished: ports.UnfinishedChange,
) -> None:
    """Complete a change of primary that the holder of an earlier claim left unfinished.

    A promotion that was requested may still be executed, and would promote a replica whose log is
    missing the commits made since. Only a later request, with a higher fencing token, prevents
    that.
    """
    events.log(events.Event.TAKEOVER_CLEANED, service=target.name, leftover=unfinished.value)
    if unfinished is ports.UnfinishedChange.PROMOTION_REQUESTED:
        if target.leader is not None:
            await run_claimed(
                target=target,
                coordination=coordination,
                promoter=promoter,
                primary=target.leader.server,
                unfinished=unfinished,
            )
        return
    attempt = await _begin(target, coordination, promoter)
    if attempt is None:
        return
    try:
        async with attempt.renewing():
            if attempt.requested is None:
                await attempt.resume_all()
    finally:
        await _release(attempt)


async def _release(attempt: Takeover, *, unnamed: bool = False) -> None:
    """Release the claim of an attempt; the record of a promotion that may take effect stays.

    ``unnamed`` means that a promotion of an unknown server may have been requested.
    """
    unfinished = None
    if unnamed or attempt.requested is not None:
        unfinished = ports.UnfinishedChange.PROMOTION_REQUESTED
    try:
        await attempt.coordination.release(
            attempt.claim, unfinished=unfinished, promoted=attempt.requested
        )
    except errors.StoreError as error:
        events.log(events.Event.CLAIM_FAILED, service=attempt.claim.service, reason=str(error))
