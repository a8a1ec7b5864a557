"""Changes the primary of one service: promotes the server that was chosen, resumes the others.

The fencing token of the claim makes the platform reject promotion requests of an earlier holder.

A request without an answer may be executed seconds later. So the server is recorded in the store
before its promotion is requested, and until the record is removed only this server may confirm
commits: the others stay paused, and whoever holds the claim next promotes the same server.
"""

import asyncio
import collections.abc
import contextlib

from mustardswitch import events, tasks
from mustardswitch.internal import clock, handover, ids, promotion, server_contact
from mustardswitch.proxy import (
    change_waits,
    claimed_attempt,
    errors,
    ports,
    service,
    successor_choice,
)

PROMOTION_TIMEOUT_S = 4.0
"""Time for a promoted server to lead; longer than the platform usually takes."""
PROMOTION_DELAY_S = 1.5
"""Time after which an accepted promotion has taken effect; it takes up to a second."""
CLAIM_RENEWAL_S = 0.8
"""Pause between renewals of a claim; two may fail before it expires."""
RENEWAL_LIMIT_S = 10.0
"""Time for which a claim is renewed. An attempt that takes longer ends with its claim, and another
instance may try."""


NO_TERM = ids.Term(0)
"""Lower than any term that a server leads."""


class Takeover(successor_choice.SuccessorChoice):
    """One attempt to change the primary of a service under a claim."""

    def __init__(
        self,
        *,
        target: service.Service,
        claim: ports.Claim,
        coordination: ports.Coordination,
        promoter: ports.Promoter,
    ) -> None:
        super().__init__(target=target, claim=claim, coordination=coordination)
        self.promoter = promoter
        self.requested_before: ids.ServerId | None = None
        """The record of an earlier holder; None without one."""
        self.request_sent = False
        """Whether this holder has requested a promotion."""
        self.is_complete = False
        """Whether another server leads by this attempt, or was found to lead."""
        self.request_unanswered = False
        """Whether a request of this holder got no answer, so that it may be executed later."""

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
            choice = await self.decide(primary, silent)
            if choice.verdict in (promotion.Verdict.PROMOTE, promotion.Verdict.KEEP):
                events.log(
                    events.Event.PROMOTION_PROVED,
                    summary=self.commands.summarize(
                        choice.server, choice, hold=self.describe_hold()
                    ),
                    service=self.target.name,
                    fencing_token=self.claim.fencing_token,
                )
            if choice.proof is not None:
                self.target.registry.count("promotions_proved", choice.proof.value)
            if choice.verdict is promotion.Verdict.PROMOTE:
                async with self._kept_paused(choice.server, primary=primary):
                    done = await self._promote(choice.server, primary=primary)
            elif choice.verdict is promotion.Verdict.KEEP and choice.server == self.requested:
                await self._keep(choice.server)
            elif choice.verdict is promotion.Verdict.KEEP:
                async with self._kept_paused(choice.server):
                    await self._keep(choice.server)
            elif choice.verdict is promotion.Verdict.ALREADY_LED:
                await self.target.find_leader()
                done = True
        finally:
            if done:
                change_waits.remove_gauges(self.target.registry, self.target.name)
                self.is_complete = True
                self.requested = self._left_to_settle(choice)
                self.recorded_end = None
                # A promotion ends all pauses.
                self.may_be_paused = set()
            elif not self.request_sent and not self.final_ends.known:
                self.requested = self.requested_before
            asked = self.answering(primary, silent) & self.confirming()
            await asyncio.shield(self._end(asked | self.may_be_paused))
        events.log(
            events.Event.TAKEOVER_ENDED,
            service=self.target.name,
            server=choice.server,
            verdict=choice.verdict.value,
            reason=choice.reason,
            done=done,
            **self.commands.end_fields(),
        )
        recorded_at_s = self.record.at_s if self.record is not None else None
        self.commands.log.finish(recorded_at_s=recorded_at_s)
        return done

    def _left_to_settle(self, choice: promotion.Choice) -> ids.ServerId | None:
        """Return the server whose promotion stays recorded although another leads; None without.

        A request for it may still be executed, or take effect, and would make it lead after it was
        replaced: one without an answer, or one of an earlier holder. The next holder voids it while
        nothing else changes.
        """
        if choice.verdict is promotion.Verdict.ALREADY_LED:
            return self.requested_before
        may_come = self.request_unanswered or choice.server == self.earlier_request
        return choice.server if may_come else None

    async def resume_all(self) -> None:
        """Resume all servers, since another instance left replicas paused when it died."""
        self.may_be_paused = self.possible_holders()
        await self._end(self.possible_holders())

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
                self.note_claim_lost()
                return
            self.claim = renewed

    # Ending

    async def _end(self, servers: collections.abc.Set[ids.ServerId]) -> None:
        """Resume servers that are left paused, and close the connections.

        Nothing is sent once the claim may have expired, since the servers may be paused for its
        next holder.
        """
        try:
            await self._resume_left_paused(servers)
        finally:
            self.commands.close()

    async def _resume_left_paused(self, servers: collections.abc.Set[ids.ServerId]) -> None:
        if self.holds_claim():
            statuses = await self.commands.query(servers)
            resumed = await self.commands.resume(
                handover.servers_to_resume(statuses, requested=self.requested)
            )
            receiving = {name for name, status in statuses.items() if not status.paused}
            self.may_be_paused -= receiving | resumed
        else:
            events.log(
                events.Event.CLAIM_LAPSED,
                service=self.target.name,
                fencing_token=self.claim.fencing_token,
            )

    # Promoting

    async def void_earlier_requests(self, primary: ids.ServerId) -> ports.PromotionOutcome:
        """Promote the present primary under this claim's token, and wait until that is effective.

        A server that leads at that time leads on. One that was stopped before would lead again, in
        the next term, and end all pauses. Only if that is accepted, requests with lower tokens are
        rejected from now on; without an answer, the next claim's token voids this request, too.
        """
        token, outcome = self.claim.fencing_token, ports.PromotionOutcome.LIMITED
        while outcome is ports.PromotionOutcome.LIMITED and self.holds_claim():
            self.commands.log.note_request(primary, void=True)
            outcome = await self.promoter.promote(
                service=self.target.name, server=primary, fencing_token=token
            )
            self.commands.log.note_void(primary, token=token, outcome=outcome.value)
            if outcome is ports.PromotionOutcome.LIMITED:
                await asyncio.sleep(claimed_attempt.POLL_S)
        if outcome is ports.PromotionOutcome.ACCEPTED:
            await asyncio.sleep(PROMOTION_DELAY_S)
        return outcome if self.holds_claim() else ports.PromotionOutcome.UNKNOWN

    async def _promote(self, successor: ids.ServerId, *, primary: ids.ServerId | None) -> bool:
        """Request a promotion that is recorded; returns whether the successor leads.

        Without an answer the request is repeated for the same server only. A stopped ``primary``
        that crashes may lead its former term again before its own promotion takes effect.
        """
        from_term = self.term if successor == primary else NO_TERM
        if not await self.withdraw_final_ends():
            return False
        while self.holds_claim():
            outcome = await self._request(successor)
            if outcome is ports.PromotionOutcome.REJECTED:
                return False
            if outcome is ports.PromotionOutcome.ACCEPTED:
                return await self._wait_until_leading(successor, from_term=from_term)
            await asyncio.sleep(claimed_attempt.POLL_S)
            if await self._leads(successor, from_term=from_term):
                return await self._wait_until_leading(successor, from_term=from_term)
        return False

    async def _request(self, server: ids.ServerId) -> ports.PromotionOutcome:
        self.request_sent = True
        fields = self.commands.note_request(server)
        outcome = await self.promoter.promote(
            service=self.target.name, server=server, fencing_token=self.claim.fencing_token
        )
        self.request_unanswered |= outcome is ports.PromotionOutcome.UNKNOWN
        events.log(
            events.Event.PROMOTION_ORDERED,
            service=self.target.name,
            server=server,
            fencing_token=self.claim.fencing_token,
            outcome=outcome.value,
            **fields,
        )
        return outcome

    async def _keep(self, primary: ids.ServerId) -> None:
        """Void earlier requests, under a higher token, while the primary leads on.

        A promotion of the present primary changes nothing, unless an earlier request, which was
        accepted before, takes effect a little later: then the primary leads again. Until both are
        over nobody may take commits. If the earlier request is for the primary itself, no other
        server can lead.
        """
        kept = primary
        if primary != self.requested:
            # No commits pass from this record on; the server that it names may lead until then.
            kept = promotion.keeping(primary)
            if not await self.ensure_recorded(promotion.holding_all(self.requested)):
                return
            await self.await_hold()
        if not await self._leads(primary) or not await self.ensure_recorded(kept):
            return
        while self.holds_claim():
            outcome = await self._request(primary)
            if outcome is ports.PromotionOutcome.REJECTED:
                return
            if outcome is ports.PromotionOutcome.ACCEPTED:
                await asyncio.sleep(PROMOTION_DELAY_S)
                if not self.holds_claim() or not await self._leads(primary):
                    return
                self.earlier_request = None
                if not self.request_unanswered:
                    self.requested = None
                elif self.requested != primary:
                    await self._record(primary)
                return
            await asyncio.sleep(claimed_attempt.POLL_S)

    @property
    def _awaits_effects(self) -> bool:
        """Whether promotions that were accepted before may take effect after the present one."""
        return promotion.lets_no_commits_pass(self.record.server)

    async def _wait_until_leading(
        self, successor: ids.ServerId, *, from_term: ids.Term = NO_TERM
    ) -> bool:
        """Wait until a server leads whose promotion was accepted; returns whether it does.

        While the record lets no commits pass, all promotions that were accepted before have taken
        effect, too. A server that has ended, and was not back by that time, will not lead. The
        record stays: a delayed effect is possible, so others stay paused for the next attempt.
        """
        started_s = clock.now_s()
        while clock.now_s() - started_s < PROMOTION_TIMEOUT_S:
            leads = await self._leads(successor, from_term=from_term)
            waited_s = clock.now_s() - started_s
            if leads and (waited_s > PROMOTION_DELAY_S or not self._awaits_effects):
                if self._awaits_effects:
                    # The request was executed, and has voided all others.
                    self.earlier_request = None
                return True
            if waited_s > PROMOTION_DELAY_S and self._has_left(successor, within_s=waited_s):
                return False
            await asyncio.sleep(claimed_attempt.POLL_S)
        return False

    def _has_left(self, server: ids.ServerId, *, within_s: float) -> bool:
        """Return whether a server has left, or was last found without a process ``within_s``."""
        backend = self.target.known_servers().get(server)
        if backend is None:
            return True
        contact = backend.contacts.latest()
        ended = contact is not None and contact.sign is server_contact.Sign.NOT_LISTENING
        return ended and contact.age_s < within_s

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
                await asyncio.sleep(claimed_attempt.POLL_S)
                if self.record is not None:
                    self.hold_commits()
                answering = self.confirming() | self.commands.answers.keys()
                statuses = await self.commands.query(
                    (self.possible_holders() & answering) - {promoted, primary} | stopped
                )
                await self.pause_others(statuses, spared={promoted, primary})
                for name in stopped & set(statuses):
                    if statuses[name].leads and self.holds_claim():
                        term = max(self.term, ids.Term(1 + statuses[name].term))
                        await self.commands.step_down({name}, term)

        keeping = asyncio.create_task(keep_paused())
        try:
            yield
        finally:
            await tasks.cancel_and_wait([keeping])

    async def _leads(self, successor: ids.ServerId, *, from_term: ids.Term = NO_TERM) -> bool:
        """Return whether a server leads a term, which is not below ``from_term``."""
        query_sent_at_s = clock.now_s()
        status = (await self.commands.query({successor})).get(successor)
        if status is None or not status.leads or status.term < from_term:
            return False
        self.target.note_leading(
            successor, query_sent_at_s=query_sent_at_s, position=status.received
        )
        return True
