"""Serves callers over the line protocol: one task per connection, one statement at a time."""

import asyncio

from mustardswitch import events, metrics, tasks
from mustardswitch.internal import clock
from mustardswitch.platform import errors, lines
from mustardswitch.proxy import requests, session

BACKLOG = 1024
"""Connections waiting to be accepted; callers of a failed instance reconnect all at once."""


class CallerConnection:
    """Opens the session of one caller's connection and runs its statements."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        opener: session.SessionOpener,
        registry: metrics.Registry,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.opener = opener
        self.registry = registry
        self.idle = False
        """Whether it waits for a statement outside of a transaction; a drain closes it then."""
        self.session: session.Session | None = None
        self.closing = False

    def __repr__(self) -> str:
        return f"CallerConnection(reader={self.reader!r}, writer={self.writer!r})"

    async def run(self) -> None:
        """Serve until the caller disconnects, ends its session or sends an invalid line."""
        try:
            if await self._start():
                await self._serve()
        except (OSError, EOFError):
            self.registry.count("callers_vanished")
        except asyncio.LimitOverrunError:
            self._reject(requests.Refusal.TOO_LARGE, "the line is too long")
        except errors.InvalidLineError as error:
            self._reject(requests.Refusal.MALFORMED, str(error))
        finally:
            if self.session is not None:
                self.session.close()
            self.writer.close()

    def _reject(self, refusal: requests.Refusal, detail: str) -> None:
        """Report an invalid line; ``run`` then closes, as the start of the next one is unknown."""
        self.registry.count("lines_rejected", refusal.value)
        events.log(events.Event.LINE_REJECTED, outcome=refusal.value, reason=detail)
        if not self.writer.is_closing():
            self.writer.write(lines.encode_error(refusal, detail).encode() + lines.END)

    async def _read(self) -> tuple[lines.CallerMessage, float]:
        line = await self.reader.readuntil(lines.END)
        return lines.parse_caller_line(line[: -len(lines.END)]), clock.now_s()

    async def _start(self) -> bool:
        message, _ = await self._read()
        if not isinstance(message, lines.StartSession):
            raise errors.InvalidLineError("the first line must open a session on a database")
        opened = self.opener(message.database, message.key)
        if isinstance(opened, requests.Answer):
            self.registry.count("sessions_refused", opened.refusal.value)
            events.log(
                events.Event.SESSION_REFUSED,
                database=message.database,
                outcome=opened.refusal.value,
            )
            error = lines.encode_error(opened.refusal, opened.detail)
            self.writer.write(error.encode() + lines.END)
            return False
        self.session = opened
        self.writer.write(lines.READY)
        return True

    async def _serve(self) -> None:
        while True:
            self.idle = self.session.transaction is None
            if self.closing and self.idle:
                return
            message, first_byte_s = await self._read()
            self.idle = False
            if isinstance(message, lines.EndSession):
                return
            if not isinstance(message, lines.RunStatement):
                raise errors.InvalidLineError("the session is already open")
            try:
                answer = await self.session.handle(
                    message.request, message.statement, first_byte_s=first_byte_s
                )
            except asyncio.CancelledError:
                self.writer.write(lines.encode_answer(self.session.give_up()))
                raise
            self.writer.write(lines.encode_answer(answer))
            await self.writer.drain()
            if answer.refusal is requests.Refusal.UNAUTHORIZED:
                return

    def close_when_idle(self) -> None:
        """Close at once when idle, otherwise after the current statement or transaction.

        A statement that was already received counts as current.
        """
        self.closing = True
        if self.idle and not self.reader._buffer:
            self.writer.close()


class CallerServer:
    """Accepts callers' connections, and drains them when the instance stops."""

    def __init__(self, *, opener: session.SessionOpener, registry: metrics.Registry) -> None:
        self.opener = opener
        self.registry = registry
        self.connections: dict[asyncio.Task[None], CallerConnection] = {}
        self.server: asyncio.Server | None = None
        self.draining = False

    def __repr__(self) -> str:
        return f"CallerServer(opener={self.opener!r})"

    async def start(self, host: str, port: int) -> None:
        """Listen for callers at an address; raises OSError."""
        self.server = await asyncio.start_server(
            self._accept, host, port, limit=lines.MAX_LINE_BYTES, backlog=BACKLOG
        )

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = CallerConnection(
            reader=reader, writer=writer, opener=self.opener, registry=self.registry
        )
        connection.closing = self.draining
        task = asyncio.current_task()
        self.connections[task] = connection
        try:
            await connection.run()
        finally:
            del self.connections[task]

    def drain(self) -> None:
        """Close idle connections at once, and the others when their work has ended."""
        self.draining = True
        for connection in list(self.connections.values()):
            connection.close_when_idle()

    def abort_transactions(self) -> None:
        """Roll back open transactions, each as soon as its running statement is answered."""
        for connection in list(self.connections.values()):
            if connection.session is not None:
                connection.session.abort_transaction()

    async def end(self) -> None:
        """Stop accepting callers, and answer the statements that are still running."""
        self.close()
        await tasks.cancel_and_wait(list(self.connections))

    def close(self) -> None:
        """Stop accepting callers; open connections stay."""
        if self.server is not None:
            self.server.close()

    async def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait for all callers to disconnect; return whether they did within ``timeout_s``."""
        if self.connections:
            await asyncio.wait(set(self.connections), timeout=timeout_s)
        return not self.connections
