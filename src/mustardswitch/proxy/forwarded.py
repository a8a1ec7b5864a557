"""Forwards callers' statements to the gateways of a service, which hold its connections.

The outcomes follow the same rules as for a server: a statement that was not sent was not run; a
read, or a statement of an open transaction, without an answer has left no effect; a write or commit
without an answer has an unknown outcome.
"""

import asyncio
import copy
import dataclasses

from mustardswitch import events, metrics
from mustardswitch.internal import clock, ids, recent_failures
from mustardswitch.internal.placement import forwarding
from mustardswitch.peers import datagrams, errors, relay_client
from mustardswitch.proxy import errors as proxy_errors
from mustardswitch.proxy import (
    forwarded_messages,
    gateway_placing,
    ports,
    requests,
    server_list,
    stalls,
    statement_context,
    tenant_state,
)

RECENT_FAILURE_DURATION_S = 2.0
"""How long a gateway that failed is tried last; one that is dead leaves the list soon after."""
READ_ATTEMPT_TIMEOUT_S = 0.5
"""Time after which a read is sent to another gateway, unless this one has answered other statements
since: a gateway that answers rejects the reads that it cannot serve before their deadline, and a
second attempt would only add to an overload."""
MAX_HOMES_TRIED = 4
"""Gateways that are tried for a statement of a tenant; each may take up to the time to connect."""

MAX_REFUSAL_S = 0.1
"""Longest time for which an instance refuses a tenant without asking its gateway again."""
MAX_REFUSALS = 4096
"""Refusals that are kept; all are forgotten beyond that."""

NOT_SERVED = (requests.Refusal.UNKNOWN_DATABASE, requests.Refusal.LEAVING)
"""Refusals of a gateway that has not run the statement, while another one may run it."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gateway:
    """An instance that runs statements of a service for other instances."""

    instance: ids.InstanceId
    address: datagrams.PeerAddress


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A tenant that a gateway refuses by its rate limit."""

    gateway: ids.InstanceId
    tenant: ids.TenantName


class Forwarder:
    """Chooses gateways and forwards statements that run outside of transactions."""

    def __init__(self, *, client: relay_client.RelayClient) -> None:
        self.client = client
        self.recent_failures: recent_failures.RecentFailures[ids.InstanceId] = (
            recent_failures.RecentFailures(duration_s=RECENT_FAILURE_DURATION_S)
        )
        self.answered_at_s: dict[ids.InstanceId, float] = {}
        """When each gateway last answered a statement (``clock.now_s``)."""
        self.placing: gateway_placing.GatewayPlacing | None = None
        """Judges the gateways; None without the feature ``placement``."""
        self.rotation = 0
        """Counts forwarded statements, so that the gateways of a zone are tried in turn."""
        self.refusals: dict[Refused, float] = {}
        """Gateways that refuse a tenant by its rate limit, and until when (``clock.now_s``)."""

    def __repr__(self) -> str:
        return f"Forwarder(client={self.client!r})"

    def place_by_answers(self, registry: metrics.Registry, meter: stalls.StallMeter) -> None:
        """Choose gateways by their answers from now on."""
        self.placing = gateway_placing.GatewayPlacing(registry=registry, meter=meter)

    def preview(self) -> "Forwarder":
        """Return a copy that orders gateways as this one would now; nothing may be sent by it."""
        copied = copy.copy(self)
        copied.recent_failures = self.recent_failures.preview()
        copied.refusals = dict(self.refusals)
        copied.placing = self.placing.preview() if self.placing is not None else None
        return copied

    def order(
        self,
        plan: forwarding.GatewayPlan,
        *,
        location: server_list.Location,
        single_read: bool = False,
    ) -> list[ids.InstanceId]:
        """Return the gateways in the order in which they are tried."""
        if self.placing is not None:
            return self.placing.order(
                plan, zone=location.zone, regions=location.regions, may_probe=single_read
            )
        self.rotation += 1
        return forwarding.order_gateways(
            plan,
            zone=location.zone,
            regions=location.regions,
            avoided=self.recent_failures.active(now_s=clock.now_s()),
            start=self.rotation,
        )

    def order_homes(
        self, ranking: list[ids.InstanceId], *, homes: int, single_read: bool = False
    ) -> list[ids.InstanceId]:
        """Return a tenant's gateways in the order in which they are tried.

        The first ``homes`` are tried in turn, and gateways that failed recently last.
        """
        self.rotation += 1
        turn = self.rotation % max(1, min(homes, len(ranking)))
        order = [*ranking[turn:homes], *ranking[:turn], *ranking[homes:]]
        if self.placing is not None:
            order = self.placing.order_homes(order, homes=homes, may_probe=single_read)
            return order[:MAX_HOMES_TRIED]
        avoided = self.recent_failures.active(now_s=clock.now_s())
        return sorted(order, key=lambda gateway: gateway in avoided)[:MAX_HOMES_TRIED]

    def note_refusal(
        self, gateway: Gateway, context: statement_context.StatementContext, answer: requests.Answer
    ) -> None:
        """Refuse a tenant here as long as its gateway would, so that the gateway has less work."""
        if answer.retry_s:
            now_s = clock.now_s()
            if len(self.refusals) >= MAX_REFUSALS:
                self.refusals.clear()
            refused = Refused(gateway=gateway.instance, tenant=context.tenant)
            self.refusals[refused] = now_s + min(MAX_REFUSAL_S, answer.retry_s)

    def refuse(
        self, gateway: Gateway, context: statement_context.StatementContext
    ) -> requests.Answer | None:
        """Return the refusal that the gateway would give an operation now; None if it may run."""
        if not self.refusals:
            return None
        refused = Refused(gateway=gateway.instance, tenant=context.tenant)
        left_s = self.refusals.get(refused, float("-inf")) - clock.now_s()
        if left_s <= 0:
            self.refusals.pop(refused, None)
            return None
        return tenant_state.refusal(context.tenant, left_s)

    def note_failure(
        self,
        gateway: Gateway,
        context: statement_context.StatementContext,
        why: str,
        *,
        judged: bool = False,
    ) -> None:
        """Record that a gateway failed; it is tried last for ``RECENT_FAILURE_DURATION_S``.

        ``judged`` means that the failure of a statement was noted where it was sent.
        """
        self.recent_failures.add(gateway.instance, now_s=clock.now_s())
        if self.placing is not None and not judged:
            self.placing.note_unreachable(gateway.instance, why)
        events.log(
            events.Event.HOME_SKIPPED,
            request=context.request,
            service=context.service.name,
            home=gateway.instance,
            reason=why,
        )

    async def run_single(
        self,
        gateways: list[Gateway],
        context: statement_context.StatementContext,
        command: requests.Plain | ports.RunPrepared,
    ) -> requests.Answer | None:
        """Forward a statement that runs outside of a transaction.

        Returns the answer, or None when no gateway gave one: a write was not run then, and the
        statement may be run elsewhere. Raises OutdatedError before it is sent.
        """
        may_cut_short = True
        for gateway in gateways:
            if context.remaining_s <= 0:
                break
            refused = self.refuse(gateway, context)
            if refused is not None:
                return refused
            try:
                connection = await self.client.acquire(gateway.address)
            except errors.PeerError as error:
                self.note_failure(gateway, context, str(error))
                continue
            try:
                context.check_current()
            except proxy_errors.OutdatedError:
                self.client.release(gateway.address, connection)
                raise
            try:
                answer = await self._execute(
                    gateway, connection, context, command, may_cut_short=may_cut_short
                )
            except errors.PeerError as error:
                may_cut_short = False
                self.note_failure(gateway, context, str(error), judged=True)
                if command.access is requests.Access.WRITE:
                    return requests.refuse(requests.Refusal.OUTCOME_UNKNOWN, str(error))
                continue
            self.answered_at_s[gateway.instance] = clock.now_s()
            self.client.release(gateway.address, connection)
            if answer.refusal in NOT_SERVED:
                self.note_failure(gateway, context, answer.detail)
                continue
            self.note_refusal(gateway, context, answer)
            if answer.succeeded and command.access is requests.Access.WRITE:
                context.session.note_commit(context.ran_at, answer.position)
            return answer
        return None

    async def _execute(
        self,
        gateway: Gateway,
        connection: relay_client.RelayConnection,
        context: statement_context.StatementContext,
        command: requests.Plain | ports.RunPrepared,
        *,
        may_cut_short: bool,
    ) -> requests.Answer:
        """Send a statement to a gateway and return the answer; raises PeerError.

        A read is abandoned after ``READ_ATTEMPT_TIMEOUT_S`` if the gateway has answered nothing
        since it was sent, or by ``placing`` if it ``may_cut_short``.
        """
        sent_s = clock.now_s()
        context.sent = True
        timeout_s = max(0.001, context.remaining_s) + forwarded_messages.ANSWER_SLACK_S
        if self.placing is not None:
            return await self.placing.execute(
                gateway.instance,
                context.service.name,
                command,
                forwarded_messages.exchange(connection, context, command, timeout_s=timeout_s),
                may_cut_short=may_cut_short and timeout_s > READ_ATTEMPT_TIMEOUT_S,
            )
        pending = asyncio.create_task(
            forwarded_messages.exchange(connection, context, command, timeout_s=timeout_s)
        )
        try:
            if command.access is requests.Access.READ and timeout_s > READ_ATTEMPT_TIMEOUT_S:
                await asyncio.wait({pending}, timeout=READ_ATTEMPT_TIMEOUT_S)
                silent = self.answered_at_s.get(gateway.instance, float("-inf")) < sent_s
                if not pending.done() and silent:
                    raise errors.PeerBrokenError("the gateway does not answer")
            return await pending
        finally:
            pending.cancel()
