"""A caller's transaction that runs at a gateway."""

import dataclasses

from mustardswitch.peers import errors, relay_client
from mustardswitch.proxy import errors as proxy_errors
from mustardswitch.proxy import forwarded, forwarded_messages, ports, requests, statement_context

OPEN, FAILED = requests.TransactionState.OPEN, requests.TransactionState.FAILED


class ForwardedTransaction:
    """A caller's transaction at a gateway; it begins with its first statement."""

    def __init__(
        self, *, forwarder: forwarded.Forwarder, gateways: list[forwarded.Gateway], read_only: bool
    ) -> None:
        self.forwarder = forwarder
        self.gateways = gateways
        self.read_only = read_only
        self.failed = False
        self.wrote = False
        """Whether a write of the transaction has succeeded, and may be kept."""
        self.service = None
        self.gateway: forwarded.Gateway | None = None
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
        answer = await self._begin_or_continue(context, command)
        if answer.succeeded:
            self.wrote = self.wrote or command.access is requests.Access.WRITE
            return dataclasses.replace(answer, state=OPEN)
        self._end()
        self.failed = True
        return dataclasses.replace(answer, state=FAILED)

    async def _begin_or_continue(
        self,
        context: statement_context.StatementContext,
        command: requests.Plain | ports.RunPrepared | requests.Commit,
    ) -> requests.Answer:
        """Execute a statement.

        The first one begins the transaction, past gateways that leave or do not serve its database.
        """
        if self.connection is not None:
            return await self._execute(context, command)
        self.service = context.service
        while True:
            refused = self.forwarder.refuse(self.gateways[0], context) if self.gateways else None
            if refused is not None:
                return refused
            await self._connect(context)
            answer = await self._execute(
                context, command, begin="read" if self.read_only else "write"
            )
            if self.connection is None or answer.refusal not in forwarded.NOT_SERVED:
                if self.gateway is not None:
                    self.forwarder.note_refusal(self.gateway, context, answer)
                return answer
            self.forwarder.note_failure(self.gateway, context, answer.detail)
            self.gateways = [gateway for gateway in self.gateways if gateway != self.gateway]
            self._end()

    async def _connect(self, context: statement_context.StatementContext) -> None:
        for gateway in self.gateways:
            try:
                self.connection = await self.forwarder.client.acquire(gateway.address)
            except errors.PeerError as error:
                self.forwarder.note_failure(gateway, context, str(error))
                continue
            self.gateway = gateway
            return

    async def _execute(
        self,
        context: statement_context.StatementContext,
        command: requests.Plain | ports.RunPrepared | requests.Commit,
        *,
        begin: str = "",
    ) -> requests.Answer:
        if self.connection is None:
            return requests.refuse(requests.Refusal.OVERLOADED, "no gateway can be reached")
        try:
            context.check_current()
        except proxy_errors.CallerChangedError as error:
            self.fail()
            self.wrote = False
            context.note_rolled_back(error.change)
            return requests.refuse(requests.Refusal.ABORTED, str(error))
        context.sent = True
        answering = forwarded_messages.exchange(
            self.connection,
            context,
            command,
            timeout_s=context.remaining_s + forwarded_messages.ANSWER_SLACK_S,
            begin=begin,
        )
        if self.forwarder.placing is not None:
            answering = self.forwarder.placing.execute(
                self.gateway.instance, context.service.name, command, answering
            )
        try:
            answer = await answering
        except errors.PeerError as error:
            self.forwarder.note_failure(self.gateway, context, str(error), judged=True)
            self.connection = None
            return requests.refuse(requests.Refusal.ABORTED, str(error))
        if answer.refusal is requests.Refusal.UNKNOWN_DATABASE and not begin:
            # The gateway's configuration differs from this instance's and has no such database; the
            # gateway has rolled back the transaction.
            self.forwarder.note_failure(self.gateway, context, answer.detail)
            return requests.refuse(requests.Refusal.ABORTED, answer.detail)
        return answer

    async def commit(self, context: statement_context.StatementContext) -> requests.Answer:
        """Commit; without an answer the outcome is unknown if the transaction has written."""
        answer = await self._begin_or_continue(context, requests.Commit())
        sent = self.gateway is not None
        if sent and self.connection is None and self.wrote:
            answer = dataclasses.replace(answer, refusal=requests.Refusal.OUTCOME_UNKNOWN)
        if answer.succeeded and self.wrote:
            context.session.note_commit(context.ran_at, answer.position)
        self._end()
        return dataclasses.replace(answer, state=requests.TransactionState.IDLE)

    def _end(self) -> None:
        """Return the connection to the client's pool; the gateway has ended the transaction."""
        if self.connection is not None:
            connection, self.connection = self.connection, None
            self.forwarder.client.release(self.gateway.address, connection)

    def fail(self) -> None:
        """Roll back, which the gateway does when the connection is closed."""
        self.failed = True
        if self.connection is not None:
            connection, self.connection = self.connection, None
            connection.close()
