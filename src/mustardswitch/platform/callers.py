"""Serves callers over the line protocol: one task per connection, one statement at a time."""

import asyncio

from mustardswitch import events, listening, metrics, tasks
from mustardswitch.clients import caller_limits, caller_stream
from mustardswitch.clients import errors as client_errors
from mustardswitch.internal import clock
from mustardswitch.internal.admission import memory
from mustardswitch.platform import errors, lines
from mustardswitch.proxy import requests, session, session_opening

LARGE_LINE_BYTES = 64 * 1024
"""Lines longer than this wait until there is memory to serve them."""
YIELD_INTERVAL = 8
"""Statements of one caller, sent ahead, after which other callers get their turn."""


class CallerConnection:
    """Opens the session of one caller's connection and runs its statements."""

    def __init__(
        self,
        *,
        stream: caller_stream.CallerStream,
        opener: session_opening.SessionOpener,
        registry: metrics.Registry,
        limits: caller_limits.CallerLimits,
    ) -> None:
        self.stream = stream
        self.opener = opener
        self.registry = registry
        self.limits = limits
        self.task: asyncio.Task[None] | None = None
        self.idle = False
        """Whether it waits for a statement outside of a transaction; a drain closes it then."""
        self.idle_since_s = clock.now_s()
        self.served = False
        """Whether it has run a statement."""
        self.session: session.Session | None = None
        self.closing = False
        self.started = False
        """Whether its first line has arrived."""
        self.waited_s = 0.0
        """Time without a first line."""
        self.running = False
        """Whether the session runs a statement."""
        self.line_bytes = 0
        """Size of the large statement that waits for memory."""
        self.ended: caller_limits.Reason | None = None
        """The limit because of which it is closed."""

    def __repr__(self) -> str:
        return f"CallerConnection(stream={self.stream!r})"

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self.session is not None and self.session.transaction is not None

    @property
    def held_bytes(self) -> int:
        """Bytes held for the connection, apart from the statement that is running."""
        state_bytes = 0 if self.session is None else self.session.state.held_bytes
        stream = self.stream
        return (
            memory.CONNECTION_BYTES
            + stream.counted_bytes
            + stream.unread_bytes
            + self.line_bytes
            + state_bytes
        )

    def overdue(self, elapsed_s: float) -> caller_limits.Reason | None:
        """Count time that has passed; return the limit that the connection exceeds."""
        stream = self.stream
        if stream.unread_bytes:
            stream.unread_s += elapsed_s
            if stream.unread_s > caller_limits.UNREAD_S:
                return caller_limits.Reason.UNREAD
        if not self.started:
            self.waited_s += elapsed_s
            if self.waited_s > caller_limits.FIRST_LINE_S:
                return caller_limits.Reason.FIRST_LINE
        elif stream.line_waiter is not None and stream.received:
            stream.message_s += elapsed_s
            if stream.message_s > caller_limits.MESSAGE_S:
                return caller_limits.Reason.MESSAGE
        return None

    def end(self, reason: caller_limits.Reason) -> None:
        """Free what is held for the connection, and close it.

        The answer to a statement that is running tells what may have become of it; a message that
        is not complete was not run.
        """
        self.ended = reason
        if self.running and not self.stream.unread_bytes:
            self.task.cancel()
            return
        if not self.stream.unread_bytes:
            self._write_error(
                requests.Refusal.OVERLOADED, f"the connection is ended: {reason.value}"
            )
        self.stream.fail(reason.value)
        self._close()

    def _write_error(self, refusal: requests.Refusal, detail: str) -> None:
        self.stream.write(lines.encode_error(refusal, detail).encode() + lines.END)

    def _close(self) -> None:
        """Close the connection; answers that the caller does not take are dropped at a limit."""
        if self.ended is not None and self.stream.unread_bytes:
            self.stream.abort()
        else:
            self.stream.close()

    async def run(self) -> None:
        """Serve until the caller disconnects, ends its session or sends an invalid line."""
        try:
            if await self._start():
                await self._serve()
        except (OSError, EOFError):
            if self.ended is None:
                self.registry.count("callers_vanished")
        except client_errors.LineTooLongError as error:
            self._reject(requests.Refusal.TOO_LARGE, str(error))
        except errors.InvalidLineError as error:
            self._reject(requests.Refusal.MALFORMED, str(error))
        finally:
            if self.session is not None:
                self.session.close()
            self.stream.fail("the session has ended")
            self._close()

    def _reject(self, refusal: requests.Refusal, detail: str) -> None:
        """Report an invalid line; ``run`` then closes, as the start of the next one is unknown."""
        self.registry.count("lines_rejected", refusal.value)
        events.log(events.Event.LINE_REJECTED, outcome=refusal.value, reason=detail)
        self._write_error(refusal, detail)

    async def _start(self) -> bool:
        message = lines.parse_caller_line(await self.stream.read_line())
        self.started = True
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
            self._write_error(opened.refusal, opened.detail)
            return False
        opened.state.limit_bytes = memory.SESSION_STATE_BYTES
        self.session = opened
        self.stream.write(lines.READY)
        return True

    async def _serve(self) -> None:
        served = 0
        while True:
            self.idle = self.session.transaction is None
            if self.closing and self.idle:
                return
            self.idle_since_s = clock.now_s()
            line = await self.stream.read_line()
            first_byte_s = clock.now_s()
            self.idle = False
            serve = self._serve_line if len(line) <= LARGE_LINE_BYTES else self._serve_large
            goes_on = await serve(line, first_byte_s)
            del line
            if self.stream.unread_bytes:
                await self.stream.flushed()
            if not goes_on:
                return
            served += 1
            if self.stream.received and served % YIELD_INTERVAL == 0:
                await asyncio.sleep(0)

    async def _serve_large(self, line: bytes, first_byte_s: float) -> bool:
        """Serve a large statement once there is memory for it."""
        self.line_bytes = len(line)
        self.limits.note(self)
        try:
            admitted = await self.limits.admit(self, memory.statement_bytes(line))
            self.stream.check()
            if admitted:
                self.line_bytes = 0
                return await self._serve_line(line, first_byte_s)
            answer = self.session.reject(
                requests.Refusal.OVERLOADED, "too many large statements are being served"
            )
            self.stream.write(lines.encode_answer(answer))
            return True
        finally:
            self.line_bytes = 0
            self.limits.finish(self)
            self.limits.note(self)

    async def _serve_line(self, line: bytes, first_byte_s: float) -> bool:
        """Answer one line; return whether the session goes on."""
        message = lines.parse_caller_line(line)
        if isinstance(message, lines.EndSession):
            return False
        if not isinstance(message, lines.RunStatement):
            raise errors.InvalidLineError("the session is already open")
        state_bytes = self.session.state.held_bytes
        self.running = self.served = True
        try:
            answer = await self.session.handle(
                message.request, message.statement, first_byte_s=first_byte_s
            )
        except asyncio.CancelledError:
            answer = (
                self.session.give_up()
                if self.ended is None
                else self.session.give_up(f"the connection is ended: {self.ended.value}")
            )
            self.stream.write(lines.encode_answer(answer))
            raise
        finally:
            self.running = False
        self.stream.write(lines.encode_answer(answer))
        if self.session.state.held_bytes != state_bytes:
            self.limits.note(self)
        return answer.refusal is not requests.Refusal.UNAUTHORIZED

    def close_when_idle(self) -> None:
        """Close at once when idle, otherwise after the current statement or transaction.

        A statement that was already received counts as current.
        """
        self.closing = True
        if self.idle and not self.stream.received:
            self.stream.close()


class CallerServer:
    """Accepts callers' connections, and drains them when the instance stops."""

    def __init__(
        self,
        *,
        opener: session_opening.SessionOpener,
        registry: metrics.Registry,
        limits: caller_limits.CallerLimits,
    ) -> None:
        self.opener = opener
        self.registry = registry
        self.limits = limits
        self.connections: dict[asyncio.Task[None], CallerConnection] = {}
        self.by_stream: dict[caller_stream.CallerStream, CallerConnection] = {}
        self.read_buffer = memoryview(bytearray(caller_stream.READ_BYTES))
        self.server: asyncio.Server | None = None
        self.draining = False
        self.sweeper: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f"CallerServer(opener={self.opener!r})"

    async def start(self, host: str, port: int) -> None:
        """Listen for callers at an address; raises OSError."""
        self.limits.measure_descriptors()
        listener = listening.bind(host, port)
        self.server = await asyncio.get_running_loop().create_server(
            self._build_stream, sock=listener, backlog=listening.ACCEPTED_AT_ONCE
        )
        listener.listen(listening.BACKLOG)
        self.sweeper = asyncio.create_task(tasks.keep_running("caller limits", self.limits.run))

    def _build_stream(self) -> caller_stream.CallerStream:
        return caller_stream.CallerStream(
            read_buffer=self.read_buffer,
            end_of_line=lines.END,
            max_line_bytes=lines.MAX_LINE_BYTES,
            on_connected=self._accept,
            on_lost=self._lose,
            on_held=self._note,
        )

    def _accept(self, stream: caller_stream.CallerStream) -> None:
        connection = CallerConnection(
            stream=stream, opener=self.opener, registry=self.registry, limits=self.limits
        )
        if not self.limits.accept(connection):
            stream.abort()
            return
        connection.closing = self.draining
        self.by_stream[stream] = connection
        connection.task = asyncio.create_task(connection.run())
        self.connections[connection.task] = connection
        connection.task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        # A cancelled task keeps its traceback, which refers to the connection.
        self.connections.pop(task).task = None
        if not task.cancelled() and task.exception() is not None:
            events.log(events.Event.TASK_FAILED, task="caller", error=repr(task.exception()))

    def _lose(self, stream: caller_stream.CallerStream) -> None:
        connection = self.by_stream.pop(stream, None)
        if connection is not None:
            self.limits.drop(connection)

    def _note(self, stream: caller_stream.CallerStream) -> None:
        connection = self.by_stream.get(stream)
        if connection is not None:
            self.limits.note(connection)

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
        await tasks.cancel_and_wait([*self.connections, *([self.sweeper] if self.sweeper else [])])

    def close(self) -> None:
        """Stop accepting callers; open connections stay."""
        if self.server is not None:
            self.server.close()

    async def wait_until_empty(self, timeout_s: float) -> bool:
        """Wait for all callers to disconnect; return whether they did within ``timeout_s``."""
        if self.connections:
            await asyncio.wait(set(self.connections), timeout=timeout_s)
        return not self.connections
