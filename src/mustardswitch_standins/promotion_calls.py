"""The platform's promotion call and the claims of services, in memory."""

import asyncio
import collections.abc
import dataclasses

from mustardswitch.internal import clock, ids, revisions
from mustardswitch.proxy import ports, wait_records
from mustardswitch_standins import database_group


class FakePromoter:
    """Emulates the platform's promotion call, which rejects outdated fencing tokens."""

    def __init__(self, *, group: database_group.Group) -> None:
        self.group = group
        self.highest_token = 0
        self.promotion_requests: list[tuple[ids.ServerId, int]] = []
        self.lose_answers = 0
        """Number of further requests that get no answer."""
        self.delayed: list[tuple[ids.ServerId, int]] = []
        """Promotion requests without an answer that were not executed yet."""
        self.executes = True
        """Whether a promotion request whose answer is lost is executed nevertheless."""
        self.effect_delay_s = 0.0
        """Time from the answer to a request until its server leads."""
        self.hang_requests = False
        """Whether requests are delayed and never return."""

    async def promote(
        self, *, service: ids.ServiceName, server: ids.ServerId, fencing_token: int
    ) -> ports.PromotionOutcome:
        """Promote a server, unless a request with a higher token was executed before."""
        self.promotion_requests.append((server, fencing_token))
        if self.hang_requests:
            self.delayed.append((server, fencing_token))
            await asyncio.Event().wait()
        if self.lose_answers:
            self.lose_answers -= 1
            if self.executes:
                self._execute(server, fencing_token)
            else:
                self.delayed.append((server, fencing_token))
            return ports.PromotionOutcome.UNKNOWN
        return self._execute(server, fencing_token)

    def execute_delayed(self) -> None:
        """Execute the delayed promotion requests in their order."""
        while self.delayed:
            self._execute(*self.delayed.pop(0))

    def _execute(self, server: ids.ServerId, fencing_token: int) -> ports.PromotionOutcome:
        if fencing_token < self.highest_token:
            return ports.PromotionOutcome.REJECTED
        self.highest_token = fencing_token
        if self.effect_delay_s:
            done = self.group.request_promotion(server, self.effect_delay_s)
        else:
            done = self.group.promote(server)
        return ports.PromotionOutcome.ACCEPTED if done else ports.PromotionOutcome.REJECTED


class FakeCoordination:
    """Claims, votes and marks of unfinished changes in memory."""

    def __init__(self) -> None:
        self.revision = 0
        self.claimed: set[ids.ServiceName] = set()
        self.votes: list[tuple[ids.ServiceName, ids.ServerId]] = []
        self.released: list[ports.Claim] = []
        self.claim_s = database_group.CLAIM_S
        self.ends: dict[ids.ServiceName, ports.StoppedPrimary] = {}
        """Primaries that were stopped in changes which are not complete."""
        self.final_ends: dict[ids.ServiceName, frozenset[ports.FinalEnd]] = {}
        """Ends that were read after commits had ended in changes which are not complete."""
        self.hold_report = ports.HoldReport(complete=True)
        self.unfinished: dict[ids.ServiceName, ports.UnfinishedChange] = {}
        """Marks of unfinished changes; may be shared with a directory."""
        self.promotions: dict[ids.ServiceName, ids.ServerId] = {}
        """Servers whose promotion was recorded; may be shared with a directory."""
        self.waits: dict[ids.ServiceName, wait_records.Wait] = {}
        """What changes of primary wait for."""
        self.decisions: dict[ids.ServiceName, wait_records.Decision] = {}
        """What an operator gives up for them."""

    async def claim(self, service: ids.ServiceName) -> ports.Claim | None:
        """Claim a service and mark its change as unfinished; None when it is claimed already."""
        if service in self.claimed:
            return None
        self.claimed.add(service)
        self.revision += 1
        self.unfinished[service] = ports.UnfinishedChange.PAUSED
        return ports.Claim(
            service=service,
            fencing_token=self.revision,
            expires_at_s=clock.now_s() + self.claim_s,
        )

    async def renew(self, claim: ports.Claim) -> ports.Claim | None:
        """Extend a claim unless it has expired."""
        now_s = clock.now_s()
        if now_s >= claim.expires_at_s:
            return None
        return dataclasses.replace(claim, expires_at_s=now_s + self.claim_s)

    async def refresh_servers(self) -> None:
        """Leave the directory as it is; a test may replace this to list servers."""

    async def refresh_members(self, service: ids.ServiceName) -> None:
        """Leave the record of members as it is."""

    async def refresh_instances(self) -> None:
        """Leave the list of instances as it is."""

    async def record_promotion(
        self, claim: ports.Claim, server: ids.ServerId
    ) -> revisions.Revision | None:
        """Record the server whose promotion will be requested, and mark the change."""
        if clock.now_s() >= claim.expires_at_s:
            return None
        self.unfinished[claim.service] = ports.UnfinishedChange.PROMOTION_REQUESTED
        self.promotions[claim.service] = server
        self.final_ends.pop(claim.service, None)
        self.revision += 1
        return revisions.Revision(self.revision)

    def hold_commits(
        self,
        claim: ports.Claim,
        server: ids.ServerId,
        *,
        revision: revisions.Revision,
        recorded_at_s: float,
        stop: ports.StopRequest | None = None,
    ) -> ports.HoldReport:
        """Return the report that a test has set; by default there is no other instance."""
        return self.hold_report

    def relay_pauses(
        self,
        claim: ports.Claim,
        servers: collections.abc.Set[ids.ServerId],
        *,
        term: ids.Term,
    ) -> collections.abc.Mapping[ids.ServerId, ports.RelayedStatus]:
        """Return nothing; there is no other instance."""
        return {}

    async def recorded_promotion(self, service: ids.ServiceName) -> ids.ServerId | None:
        """Return the recorded server."""
        return self.promotions.get(service)

    async def record_end(self, claim: ports.Claim, stopped: ports.StoppedPrimary) -> None:
        """Record the end of a stopped primary."""
        self.ends[claim.service] = stopped

    async def recorded_end(self, service: ids.ServiceName) -> ports.StoppedPrimary | None:
        """Return the recorded end."""
        return self.ends.get(service)

    async def record_final_ends(
        self,
        claim: ports.Claim,
        ends: collections.abc.Set[ports.FinalEnd],
        *,
        revision: revisions.Revision,
    ) -> None:
        """Record final ends unless the claim has expired."""
        if clock.now_s() < claim.expires_at_s:
            self.final_ends[claim.service] = frozenset(ends)

    async def recorded_final_ends(self, service: ids.ServiceName) -> frozenset[ports.FinalEnd]:
        """Return the recorded final ends."""
        return self.final_ends.get(service, frozenset())

    async def record_wait(self, claim: ports.Claim, wait: wait_records.Wait) -> None:
        """Record a wait unless the claim has expired."""
        if clock.now_s() < claim.expires_at_s:
            self.waits[claim.service] = wait

    async def recorded_wait(self, service: ids.ServiceName) -> wait_records.Wait | None:
        """Return the recorded wait."""
        return self.waits.get(service)

    async def given_up(self, service: ids.ServiceName) -> wait_records.Decision | None:
        """Return the operator's decision."""
        return self.decisions.get(service)

    async def release(
        self,
        claim: ports.Claim,
        *,
        unfinished: ports.UnfinishedChange | None = None,
        promoted: ids.ServerId | None = None,
        stopped: ports.StoppedPrimary | None = None,
        complete: bool = False,
    ) -> None:
        """Release a claim and set or clear its marks; an expired claim changes no mark."""
        self.claimed.discard(claim.service)
        self.released.append(claim)
        if clock.now_s() >= claim.expires_at_s:
            return
        self.unfinished.pop(claim.service, None)
        self.promotions.pop(claim.service, None)
        if promoted is None:
            self.final_ends.pop(claim.service, None)
        if stopped is None:
            self.ends.pop(claim.service, None)
        if complete:
            self.waits.pop(claim.service, None)
            self.decisions.pop(claim.service, None)
        if unfinished is not None:
            self.unfinished[claim.service] = unfinished
        if promoted is not None:
            self.promotions[claim.service] = promoted

    async def vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Record a vote against a server of a service."""
        self.votes.append((service, server))

    async def withdraw_vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Withdraw a vote."""
        self.votes.remove((service, server))
