"""Connections to backend servers over the line protocol."""

import asyncio
import collections
import collections.abc

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, promotion
from mustardswitch.platform import errors, lines
from mustardswitch.proxy import ports, requests, routes

STATE_BYTES = 256 * 1024
"""Values and shapes that stay on an unused connection; usual sessions have a few hundred bytes.
More is dropped by a reset, so that it does not outlive its session."""
CONNECT_TIMEOUT_S = 0.5
"""Covers a server's work on a new connection (12 to 27 ms) and several inter-region round trips."""

ORDER_SESSION_TIMEOUT_S = 10.0
"""Time for a slow server to accept the session of an order; as long as a claim is renewed."""


class BackendLink:
    """A connection to a backend server; answers come in the order of the commands."""

    def __init__(
        self,
        *,
        name: ids.ServerId,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        tenant: ids.TenantName = routes.NO_TENANT,
    ) -> None:
        self.name = name
        self.tenant = tenant
        self.reader = reader
        self.writer = writer
        self.failed = False
        self.values: dict[str, str] = {}
        self.shape_names = lines.ShapeNames()
        self.sent_at_s: collections.deque[float] = collections.deque()
        self.state_bytes = 0
        """Size of the texts of values and shapes that were sent since the last reset."""
        self.unread_resets = 0
        """Resets whose answers were not read yet, and that nobody waits for."""

    def __repr__(self) -> str:
        return f"BackendLink(name={self.name!r}, reader={self.reader!r}, writer={self.writer!r})"

    @property
    def broken(self) -> bool:
        """Whether the connection failed or the server has closed it."""
        return self.failed or self.reader.at_eof() or self.writer.is_closing()

    @property
    def shapes(self) -> dict[requests.Shape, str]:
        """Statement shapes prepared on the connection, and their names there."""
        return self.shape_names.by_shape

    @property
    def unanswered_since_s(self) -> float | None:
        """When the oldest unanswered command was sent (``clock.now_s``); None without one."""
        return self.sent_at_s[0] if self.sent_at_s else None

    def close(self) -> None:
        """Close the connection; the server rolls back the transaction open on it."""
        self.failed = True
        self.writer.transport.abort()

    def send(self, command: ports.Command, request: ids.RequestId | None = None) -> None:
        """Send a command; ``request`` is None for the proxy's own commands.

        Raises NothingSentError when the connection is already closed.
        """
        self._send(lines.encode_command(command, request, self.shape_names))
        if isinstance(command, requests.SetValue):
            self.values[command.name] = command.value
            self.state_bytes += len(command.value)
        elif isinstance(command, ports.PrepareShape):
            self.state_bytes += len(command.shape.text)
        elif isinstance(command, ports.ResetSession):
            self.values.clear()
            self.state_bytes = 0

    def shed(self) -> None:
        """Drop values and shapes above ``STATE_BYTES``; called when nobody uses the connection.

        The answer to the reset is read before that of the next command, and is no sign of a server
        that does not answer.
        """
        if self.state_bytes <= STATE_BYTES or self.broken:
            return
        self.writer.write(lines.encode_command(ports.ResetSession(), None, self.shape_names))
        self.unread_resets += 1
        self.values.clear()
        self.state_bytes = 0

    def _send(self, data: bytes) -> None:
        if self.broken:
            raise backend_errors.NothingSentError(f"server {self.name} closed the connection")
        self.writer.write(data)
        self.sent_at_s.append(clock.now_s())

    async def receive(self, timeout_s: float) -> requests.Answer:
        """Return the answer to the oldest unanswered command.

        Raises ConnectionBrokenError and closes the connection when it fails, when ``timeout_s``
        passes or when the answer is invalid.
        """
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._read_answer()
        except TimeoutError as error:
            raise self._break(f"did not answer within {timeout_s:.2f} s") from error
        except (OSError, EOFError, asyncio.LimitOverrunError, errors.InvalidLineError) as error:
            raise self._break(f"gave no valid answer: {error}") from error
        if self.sent_at_s:
            self.sent_at_s.popleft()
        return answer

    def _break(self, reason: str) -> backend_errors.ConnectionBrokenError:
        """Close the connection, and return the error that is to be raised."""
        self.close()
        return backend_errors.ConnectionBrokenError(f"server {self.name} {reason}")

    async def _read_answer(self) -> requests.Answer:
        while self.unread_resets:
            answer = await self._read_next_answer()
            self.unread_resets -= 1
            if not answer.succeeded:
                raise errors.InvalidLineError(f"a reset was rejected: {answer.detail}")
        return await self._read_next_answer()

    async def _read_next_answer(self) -> requests.Answer:
        decoder = lines.AnswerDecoder()
        while True:
            line = await self.reader.readuntil(lines.END)
            answer = decoder.feed(line[: -len(lines.END)])
            if answer is not None:
                return answer

    async def receive_start(self, timeout_s: float) -> requests.Answer | None:
        """Return the refusal of a server that rejected the session; None when it accepted.

        Raises ConnectionBrokenError.
        """
        decoder = lines.AnswerDecoder()
        try:
            async with asyncio.timeout(timeout_s):
                line = await self.reader.readuntil(lines.END)
            answer = decoder.feed(line[: -len(lines.END)])
        except (OSError, EOFError, asyncio.LimitOverrunError, errors.InvalidLineError) as error:
            raise backend_errors.ConnectionBrokenError(f"server {self.name}: {error!r}") from error
        if answer is not None:
            return None
        return requests.refuse(decoder.refusal or requests.Refusal.FAILED, decoder.detail)

    async def _query(self, data: bytes, timeout_s: float) -> requests.Answer:
        self._send(data)
        answer = await self.receive(timeout_s)
        if not answer.succeeded:
            raise backend_errors.BackendError(f"server {self.name}: {answer.detail}")
        return answer

    async def _query_status(self, data: bytes, timeout_s: float) -> promotion.ServerStatus:
        answer = await self._query(data, timeout_s)
        if not answer.rows:
            raise backend_errors.BackendError(f"server {self.name} answered without a status row")
        try:
            return lines.parse_status(answer.rows[0])
        except errors.InvalidLineError as error:
            raise backend_errors.BackendError(f"server {self.name}: {error}") from error

    async def status(self, timeout_s: float) -> promotion.ServerStatus:
        """Query the status of the server; raises BackendError."""
        return await self._query_status(lines.STATUS, timeout_s)

    async def pause(self, term: ids.Term, timeout_s: float) -> promotion.ServerStatus:
        """Stop a replica from receiving under any lower term; raises BackendError."""
        return await self._query_status(lines.encode_pause(term), timeout_s)

    async def step_down(self, term: ids.Term, timeout_s: float) -> promotion.ServerStatus:
        """Make a primary of a lower term a replica; raises BackendError."""
        return await self._query_status(lines.encode_step_down(term), timeout_s)

    async def resume(self, timeout_s: float) -> None:
        """Let a replica receive again; raises BackendError."""
        await self._query(lines.RESUME, timeout_s)


async def open_for_order(
    entry: ports.ServerEntry, on_connected: collections.abc.Callable[[], None]
) -> BackendLink:
    """Open a connection for an order; see ``ports.OrderOpener``."""
    return await open_link(
        entry, session_timeout_s=ORDER_SESSION_TIMEOUT_S, on_connected=on_connected
    )


async def open_link(
    entry: ports.ServerEntry,
    tenant: ids.TenantName = routes.NO_TENANT,
    *,
    session_timeout_s: float = CONNECT_TIMEOUT_S,
    on_connected: collections.abc.Callable[[], None] = lambda: None,
) -> BackendLink:
    """Open a connection to a server and start a session of a tenant on it.

    The server may take ``session_timeout_s`` to accept the session. Raises BackendError.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                entry.host, entry.port, limit=lines.MAX_LINE_BYTES
            )
    except ConnectionRefusedError as error:
        raise backend_errors.ServerRefusedError(
            f"server {entry.server} refused the connection: no process listens at its address"
        ) from error
    except (OSError, TimeoutError) as error:
        raise backend_errors.BackendUnreachableError(
            f"server {entry.server} is unreachable: {error!r}"
        ) from error
    on_connected()
    link = BackendLink(name=entry.server, reader=reader, writer=writer, tenant=tenant)
    try:
        await _start_session(link, entry, session_timeout_s)
    except BaseException:
        link.close()
        raise
    return link


async def _start_session(link: BackendLink, entry: ports.ServerEntry, timeout_s: float) -> None:
    link.writer.write(lines.encode_start(entry.service, entry.server, link.tenant))
    try:
        rejection = await link.receive_start(timeout_s)
    except backend_errors.ConnectionBrokenError as error:
        raise backend_errors.SessionUnansweredError(str(error)) from error
    if rejection is not None:
        error_type = backend_errors.BackendUnreachableError
        if rejection.refusal is requests.Refusal.TOO_MANY_CONNECTIONS:
            error_type = backend_errors.ConnectionLimitError
        elif rejection.refusal is requests.Refusal.WRONG_SERVER:
            error_type = backend_errors.AddressReusedError
        raise error_type(f"server {entry.server} rejected the session: {rejection.detail}")
