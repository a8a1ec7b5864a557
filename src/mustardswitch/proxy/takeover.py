"""Changes the primary of one service: pauses replicas, promotes one, resumes the others.

Decisions are in ``internal.promotion``; the fencing token of the claim makes the platform refuse
orders of an earlier holder.
"""

import asyncio
import collections.abc
import contextlib

from mustardswitch import events
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, promotion
from mustardswitch.proxy import errors, ports, server, service

ASK_TIMEOUT_S = 0.5
"""An opened connection and ten round trips between regions."""
HANDOVER_LIMIT_S = 2.5
"""Time for a successor to catch up; a leaving primary stays for several times as long."""
GATHER_LIMIT_S = 1.2
"""Time for all replicas to answer; past it they are resumed and the attempt is given up."""
POLL_S = 0.05
"""Pause between questions to a server that is catching up or about to lead."""
LEAD_LIMIT_S = 4.0
"""Time for a promoted server to lead; a few times the platform's usual time."""
CLAIM_MARGIN_S = 0.5
"""How long before its claim lapses a holder acts for the last time; an order on its way between
regions or to a slow platform."""


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
        self.order_unanswered = False

    def __repr__(self) -> str:
        return (
            f"Takeover(target={self.target!r}, claim={self.claim!r},"
            f" coordination={self.coordination!r}, promoter={self.promoter!r})"
        )

    async def run(self, primary: ids.ServerId | None, *, silent: bool = False) -> bool:
        """Replace a primary; True when another server leads.

        A silent one is known to give this instance no answer and is not asked.
        All others are resumed however it ends, also those that an earlier holder left paused; but
        not once the claim has lapsed, since they may be paused for the next holder by then.
        """
        events.log(
            events.Event.TAKEOVER_STARTED,
            service=self.target.name,
            primary=primary,
            fencing_token=self.claim.fencing_token,
        )
        choice = promotion.Choice(verdict=promotion.Verdict.WAIT, reason="not decided")
        try:
            choice = await self._decide(primary, silent)
            done = False
            if choice.verdict is promotion.Verdict.PROMOTE:
                done = await self._promote(choice.server)
            elif choice.verdict is promotion.Verdict.ALREADY_LED:
                await self.target.find_leader()
                done = True
        finally:
            await asyncio.shield(self._resume(self._answering(primary, silent)))
        events.log(
            events.Event.TAKEOVER_ENDED,
            service=self.target.name,
            server=choice.server,
            verdict=choice.verdict.value,
            reason=choice.reason,
            done=done,
        )
        return done

    async def resume_leftovers(self) -> None:
        """Resume replicas that an instance left paused when it died."""
        await self._resume(set(self.target.servers))

    def _holds_claim(self) -> bool:
        """Tell whether no other instance can have claimed the service yet."""
        return clock.now_s() + CLAIM_MARGIN_S < self.claim.expires_at_s

    # Deciding

    def _answering(self, primary: ids.ServerId | None, silent: bool) -> set[ids.ServerId]:
        """Return the servers listed now, without a primary that is known to be silent."""
        return set(self.target.servers) - ({primary} if silent else set())

    async def _decide(self, primary: ids.ServerId | None, silent: bool) -> promotion.Choice:
        statuses = await self._ask_all(self._answering(primary, silent))
        led_by = [
            known for known, status in statuses.items() if status.role is promotion.Role.PRIMARY
        ]
        others = [known for known in led_by if known != primary]
        if others:
            return promotion.Choice(
                verdict=promotion.Verdict.ALREADY_LED,
                server=others[0],
                reason="another server leads already",
            )
        term = ids.Term(1 + max((status.term for status in statuses.values()), default=0))
        if primary in led_by:
            return await self._decide_handover(primary, statuses, term)
        return await self._decide_after_failure(primary, term)

    async def _decide_handover(
        self,
        primary: ids.ServerId,
        statuses: collections.abc.Mapping[ids.ServerId, promotion.ServerStatus],
        term: ids.Term,
    ) -> promotion.Choice:
        expected = set(self.target.servers) - {primary}
        replicas = {known: status for known, status in statuses.items() if known != primary}
        successor = promotion.choose_successor(replicas=replicas, leaving=self._leaving())
        if successor is None:
            return promotion.Choice(
                verdict=promotion.Verdict.WAIT, reason="no replica answered that stays"
            )
        paused = await self._pause_all(expected - {successor}, term)
        started_s = clock.now_s()
        while True:
            latest = await self._ask_all({successor})
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
            if not waiting or clock.now_s() - started_s > HANDOVER_LIMIT_S:
                return choice
            await asyncio.sleep(POLL_S)
            missing = expected - {successor} - set(paused)
            paused = {**paused, **await self._pause_all(missing, term)}

    async def _decide_after_failure(
        self, primary: ids.ServerId | None, term: ids.Term
    ) -> promotion.Choice:
        expected = set(self.target.servers) - {primary}
        paused: dict[ids.ServerId, promotion.ServerStatus] = {}
        started_s = clock.now_s()
        while True:
            paused = self._still_paused(paused)
            paused |= await self._pause_all(expected - set(paused), term)
            choice = promotion.choose_after_failure(
                expected=expected, paused=paused, leaving=self._leaving()
            )
            waiting = choice.verdict is promotion.Verdict.WAIT
            if not waiting or clock.now_s() - started_s > GATHER_LIMIT_S:
                return choice
            await asyncio.sleep(POLL_S)

    def _still_paused(
        self, paused: collections.abc.Mapping[ids.ServerId, promotion.ServerStatus]
    ) -> dict[ids.ServerId, promotion.ServerStatus]:
        """Leave out replicas that may have restarted, which ends a pause."""
        return {
            name: status
            for name, status in paused.items()
            if name in self.links and not self.links[name].broken
        }

    def _leaving(self) -> set[ids.ServerId]:
        return {known.server for known in self.target.servers.values() if known.entry.leaving}

    # Talking to servers

    async def _link(self, known: server.Server) -> ports.Link:
        link = self.links.get(known.server)
        if link is None or link.broken:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                link = await known.opener(known.entry)
            self.links[known.server] = link
        return link

    async def _ask_all(
        self, servers: collections.abc.Set[ids.ServerId]
    ) -> dict[ids.ServerId, promotion.ServerStatus]:
        async def ask(link: ports.Link) -> promotion.ServerStatus:
            return await link.status(ASK_TIMEOUT_S)

        return await self._gather(servers, ask)

    async def _pause_all(
        self, servers: collections.abc.Set[ids.ServerId], term: ids.Term
    ) -> dict[ids.ServerId, promotion.ServerStatus]:
        async def pause(link: ports.Link) -> promotion.ServerStatus:
            return await link.pause(term, ASK_TIMEOUT_S)

        if not self._holds_claim():
            return {}
        return await self._gather(servers, pause)

    async def _gather(
        self,
        servers: collections.abc.Set[ids.ServerId],
        ask: collections.abc.Callable[
            [ports.Link], collections.abc.Awaitable[promotion.ServerStatus]
        ],
    ) -> dict[ids.ServerId, promotion.ServerStatus]:
        """Ask servers at once; those without an answer are left out."""
        answers: dict[ids.ServerId, promotion.ServerStatus] = {}

        async def ask_one(name: ids.ServerId) -> None:
            known = self.target.servers.get(name)
            if known is None:
                return
            try:
                answers[name] = await ask(await self._link(known))
            except (backend_errors.BackendError, TimeoutError) as error:
                events.log(
                    events.Event.TAKEOVER_UNANSWERED,
                    service=self.target.name,
                    server=name,
                    reason=str(error) or type(error).__name__,
                )

        async with asyncio.TaskGroup() as group:
            for name in servers:
                group.create_task(ask_one(name))
        return answers

    async def _resume(self, servers: collections.abc.Set[ids.ServerId]) -> None:
        """Resume servers, and close the connections of this attempt."""

        async def resume(name: ids.ServerId) -> None:
            known = self.target.servers.get(name)
            if known is None:
                return
            try:
                link = await self._link(known)
                await link.resume(ASK_TIMEOUT_S)
            except (backend_errors.BackendError, TimeoutError) as error:
                events.log(
                    events.Event.TAKEOVER_UNANSWERED,
                    service=self.target.name,
                    server=name,
                    reason=f"not resumed: {error}",
                )

        if self._holds_claim():
            async with asyncio.TaskGroup() as group:
                for name in servers:
                    group.create_task(resume(name))
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

    # Promoting

    async def _promote(self, successor: ids.ServerId) -> bool:
        """Order a promotion; without an answer the order is repeated for the same server only."""
        while self._holds_claim():
            outcome = await self.promoter.promote(
                service=self.target.name,
                server=successor,
                fencing_token=self.claim.fencing_token,
            )
            events.log(
                events.Event.PROMOTION_ORDERED,
                service=self.target.name,
                server=successor,
                fencing_token=self.claim.fencing_token,
                outcome=outcome.value,
            )
            if outcome is ports.PromotionOutcome.UNKNOWN:
                await self._note_unanswered()
            if outcome is ports.PromotionOutcome.REJECTED:
                return False
            if outcome is ports.PromotionOutcome.ACCEPTED:
                return await self._await_lead(successor)
            await asyncio.sleep(POLL_S)
            if await self._leads(successor):
                return True
        return False

    async def _note_unanswered(self) -> None:
        if self.order_unanswered:
            return
        self.order_unanswered = True
        try:
            await self.coordination.note_promotion_requested(self.claim)
        except errors.StoreError as error:
            events.log(events.Event.CLAIM_FAILED, service=self.target.name, reason=str(error))

    async def _await_lead(self, successor: ids.ServerId) -> bool:
        started_s = clock.now_s()
        while clock.now_s() - started_s < LEAD_LIMIT_S:
            if await self._leads(successor):
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def _leads(self, successor: ids.ServerId) -> bool:
        query_sent_at_s = clock.now_s()
        status = (await self._ask_all({successor})).get(successor)
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
    """Claim a service and change its primary; False when it was not changed here.

    ``unfinished`` is what an earlier change is known to have left behind.
    """
    claim = await _claim(target, coordination)
    if claim is None:
        return False
    attempt = Takeover(target=target, claim=claim, coordination=coordination, promoter=promoter)
    done = False
    try:
        done = await attempt.run(primary, silent=silent)
        return done
    finally:
        ordered = (
            attempt.order_unanswered or unfinished is ports.UnfinishedChange.PROMOTION_REQUESTED
        )
        await _release(
            coordination,
            claim,
            ports.UnfinishedChange.PROMOTION_REQUESTED if ordered and not done else None,
        )


async def clean_up(
    *,
    target: service.Service,
    coordination: ports.Coordination,
    promoter: ports.Promoter,
    unfinished: ports.UnfinishedChange,
) -> None:
    """End what the holder of an earlier claim did not.

    An order without an answer may still be carried out, and would promote a replica that lacks
    what was committed since. Only a later promotion, with a higher fencing token, prevents that.
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
    claim = await _claim(target, coordination)
    if claim is None:
        return
    try:
        await Takeover(
            target=target, claim=claim, coordination=coordination, promoter=promoter
        ).resume_leftovers()
    finally:
        await _release(coordination, claim, None)


async def _claim(target: service.Service, coordination: ports.Coordination) -> ports.Claim | None:
    try:
        return await coordination.claim(target.name)
    except errors.StoreError as error:
        events.log(events.Event.CLAIM_FAILED, service=target.name, reason=str(error))
        return None


async def _release(
    coordination: ports.Coordination, claim: ports.Claim, unfinished: ports.UnfinishedChange | None
) -> None:
    try:
        await coordination.release(claim, unfinished=unfinished)
    except errors.StoreError as error:
        events.log(events.Event.CLAIM_FAILED, service=claim.service, reason=str(error))
