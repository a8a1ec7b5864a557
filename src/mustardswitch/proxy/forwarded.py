"""Statements of callers whose service is held by other instances.

The rules of outcomes are those of a server: what was not sent was not run; a read or a statement of
an open transaction without an answer kept nothing; a write or commit without one is unknown.
"""

import asyncio
import dataclasses

from mustardswitch import events
from mustardswitch.internal import clock, forwarding, ids, recent_failures
from mustardswitch.peers import datagrams, errors, relay_client, relay_codec
from mustardswitch.proxy import ports, requests, service, statement_context

AVOIDANCE_S = 2.0
"""How long a home that failed is asked last; it leaves the list soon after."""
ANSWER_SLACK_S = 0.1
"""Time over a statement's limit for the way to a home and back."""
READ_PATIENCE_S = 0.5
"""Time after which a read is given to another home, unless this one has answered others since: a
home that is alive refuses in time itself, and a second try would only feed an overload."""

OPEN, FAILED = requests.TransactionState.OPEN, requests.TransactionState.FAILED


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Gateway:
    """An instance that runs statements of a service for others."""

    instance: ids.InstanceId
    address: datagrams.PeerAddress


class Forwarder:
    """Finds homes and forwards single statements."""

    def __init__(self, *, client: relay_client.RelayClient) -> None:
        self.client = client
        self.avoided: recent_failures.RecentFailures[ids.InstanceId] = (
            recent_failures.RecentFailures(duration_s=AVOIDANCE_S)
        )
        self.heard_at_s: dict[ids.InstanceId, float] = {}
        self.turn = 0

    def __repr__(self) -> str:
        return f"Forwarder(client={self.client!r})"

    def order(
        self, plan: forwarding.GatewayPlan, *, location: service.Location
    ) -> list[ids.InstanceId]:
        """Return the homes to ask, in order."""
        self.turn += 1
        return forwarding.order_gateways(
            plan,
            zone=location.zone,
            regions=location.regions,
            avoided=self.avoided.active(now_s=clock.now_s()),
            start=self.turn,
        )

    def note_failure(
        self, gateway: Gateway, context: statement_context.StatementContext, why: str
    ) -> None:
        """Ask a home last for a while."""
        self.avoided.add(gateway.instance, now_s=clock.now_s())
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
        """Return the answer to a statement outside of a transaction; None when it was not sent."""
        for gateway in gateways:
            if context.left_s <= 0:
                break
            try:
                connection = await self.client.acquire(gateway.address)
            except errors.PeerError as error:
                self.note_failure(gateway, context, str(error))
                continue
            try:
                answer = await self._ask(gateway, connection, context, command)
            except errors.PeerError as error:
                self.note_failure(gateway, context, str(error))
                if command.access is requests.Access.WRITE:
                    return requests.refuse(requests.Refusal.OUTCOME_UNKNOWN, str(error))
                continue
            self.heard_at_s[gateway.instance] = clock.now_s()
            self.client.release(gateway.address, connection)
            if answer.refusal is requests.Refusal.UNKNOWN_DATABASE:
                self.note_failure(gateway, context, answer.detail)
                continue
            if answer.succeeded and command.access is requests.Access.WRITE:
                context.session.note_commit(context.service.name, answer.position)
            return answer
        return None

    async def _ask(
        self,
        gateway: Gateway,
        connection: relay_client.RelayConnection,
        context: statement_context.StatementContext,
        command: requests.Plain | ports.RunPrepared,
    ) -> requests.Answer:
        """Forward a statement; a read gives a silent home up early. Raises PeerError."""
        sent_s = clock.now_s()
        timeout_s = max(0.001, context.left_s) + ANSWER_SLACK_S
        asking = asyncio.create_task(connection.execute(build_message(context, command), timeout_s))
        try:
            if command.access is requests.Access.READ and timeout_s > READ_PATIENCE_S:
                await asyncio.wait({asking}, timeout=READ_PATIENCE_S)
                silent = self.heard_at_s.get(gateway.instance, float("-inf")) < sent_s
                if not asking.done() and silent:
                    raise errors.PeerBrokenError("the home is silent")
            return await asking
        finally:
            asking.cancel()


def build_message(
    context: statement_context.StatementContext,
    command: requests.Plain | ports.RunPrepared | requests.Commit | requests.Rollback,
    begin: str = "",
) -> relay_codec.ForwardedStatement:
    """Build what a home needs to run a statement."""
    now_s = clock.now_s()
    own = context.session.commits.get(context.service.name)
    session_commit = None
    if own is not None:
        session_commit = relay_codec.SessionCommit(
            position=own.position, age_s=now_s - own.acknowledged_s
        )
    return relay_codec.ForwardedStatement(
        request=context.request,
        database=context.route.database,
        command=command,
        age_s=now_s - context.first_byte_s,
        values=context.session.values,
        session_commit=session_commit,
        begin=begin,
    )


class ForwardedTransaction:
    """A caller's transaction at a home; it begins at its first statement."""

    def __init__(self, *, forwarder: Forwarder, gateways: list[Gateway], read_only: bool) -> None:
        self.forwarder = forwarder
        self.gateways = gateways
        self.read_only = read_only
        self.failed = False
        self.wrote = False
        self.service = None
        self.gateway: Gateway | None = None
        self.connection: relay_client.RelayConnection | None = None

    def __repr__(self) -> str:
        return (
            f"ForwardedTransaction(forwarder={self.forwarder!r}, gateways={self.gateways!r},"
            f" read_only={self.read_only!r})"
        )

    async def run(
        self,
        context: statement_context.StatementContext,
        command: requests.Plain | ports.RunPrepared,
    ) -> requests.Answer:
        """Run one statement of the transaction."""
        begin = ""
        if self.connection is None:
            self.service = context.service
            begin = "read" if self.read_only else "write"
            await self._connect(context)
        answer = await self._ask(context, command, begin)
        if answer.succeeded:
            self.wrote = self.wrote or command.access is requests.Access.WRITE
            return dataclasses.replace(answer, state=OPEN)
        self._end()
        self.failed = True
        return dataclasses.replace(answer, state=FAILED)

    async def _connect(self, context: statement_context.StatementContext) -> None:
        for gateway in self.gateways:
            try:
                self.connection = await self.forwarder.client.acquire(gateway.address)
            except errors.PeerError as error:
                self.forwarder.note_failure(gateway, context, str(error))
                continue
            self.gateway = gateway
            return

    async def _ask(
        self,
        context: statement_context.StatementContext,
        command: requests.Plain | ports.RunPrepared | requests.Commit,
        begin: str,
    ) -> requests.Answer:
        if self.connection is None:
            return requests.refuse(requests.Refusal.OVERLOADED, "no home is in reach")
        try:
            answer = await self.connection.execute(
                build_message(context, command, begin), context.left_s + ANSWER_SLACK_S
            )
        except errors.PeerError as error:
            self.forwarder.note_failure(self.gateway, context, str(error))
            self.connection = None
            return requests.refuse(requests.Refusal.ABORTED, str(error))
        if answer.refusal is requests.Refusal.UNKNOWN_DATABASE:
            # The home's configuration is another one than this instance's; it has rolled back.
            self.forwarder.note_failure(self.gateway, context, answer.detail)
            return requests.refuse(requests.Refusal.ABORTED, answer.detail)
        return answer

    async def commit(self, context: statement_context.StatementContext) -> requests.Answer:
        """Commit; without an answer the outcome is unknown if anything was written."""
        begin = ""
        if self.connection is None:
            begin = "read" if self.read_only else "write"
            await self._connect(context)
        sent = self.connection is not None
        answer = await self._ask(context, requests.Commit(), begin)
        if sent and self.connection is None and self.wrote:
            answer = dataclasses.replace(answer, refusal=requests.Refusal.OUTCOME_UNKNOWN)
        if answer.succeeded and self.wrote:
            context.session.note_commit(context.service.name, answer.position)
        self._end()
        return dataclasses.replace(answer, state=requests.TransactionState.IDLE)

    def _end(self) -> None:
        """Give the connection back; the home has ended the transaction."""
        if self.connection is not None:
            connection, self.connection = self.connection, None
            self.forwarder.client.release(self.gateway.address, connection)

    def fail(self) -> None:
        """Roll back; the home does so when the connection is closed."""
        self.failed = True
        if self.connection is not None:
            connection, self.connection = self.connection, None
            connection.close()
