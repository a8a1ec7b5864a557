"""Connections to backend servers over the line protocol."""

import asyncio
import collections

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, promotion
from mustardswitch.platform import errors, lines
from mustardswitch.proxy import ports, requests

CONNECT_TIMEOUT_S = 0.5
"""A new connection's work at a server (12 to 27 ms) and several round trips between regions."""


class BackendLink:
    """One connection; commands are answered in the order in which they were sent."""

    def __init__(
        self,
        *,
        name: ids.ServerId,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.name = name
        self.reader = reader
        self.writer = writer
        self.failed = False
        self.values: dict[str, str] = {}
        self.names = lines.ShapeNames()
        self.sent_at_s: collections.deque[float] = collections.deque()

    def __repr__(self) -> str:
        return f"BackendLink(name={self.name!r}, reader={self.reader!r}, writer={self.writer!r})"

    @property
    def broken(self) -> bool:
        """Whether it failed, or the server has closed it."""
        return self.failed or self.reader.at_eof() or self.writer.is_closing()

    @property
    def shapes(self) -> dict[requests.Shape, str]:
        """Shapes prepared on the connection."""
        return self.names.names

    @property
    def unanswered_since_s(self) -> float | None:
        """When the oldest command without an answer was sent."""
        return self.sent_at_s[0] if self.sent_at_s else None

    def close(self) -> None:
        """Close the connection; the server rolls back what is open on it."""
        self.failed = True
        self.writer.transport.abort()

    def send(self, command: ports.Command, request: ids.RequestId | None = None) -> None:
        """Send a command; raises NothingSentError on a connection that is closed already."""
        self._send(lines.encode_command(command, request, self.names))
        if isinstance(command, requests.SetValue):
            self.values[command.name] = command.value
        elif isinstance(command, ports.ResetSession):
            self.values.clear()

    def _send(self, data: bytes) -> None:
        if self.broken:
            raise backend_errors.NothingSentError(f"server {self.name} closed the connection")
        self.writer.write(data)
        self.sent_at_s.append(clock.now_s())

    async def receive(self, timeout_s: float) -> requests.Answer:
        """Return the next answer; raises ConnectionBrokenError."""
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._read_answer()
        except TimeoutError as error:
            self.close()
            raise backend_errors.ConnectionBrokenError(
                f"server {self.name} gave no answer within {timeout_s:.2f} s"
            ) from error
        except (OSError, EOFError, asyncio.LimitOverrunError) as error:
            self.close()
            raise backend_errors.ConnectionBrokenError(
                f"the connection to server {self.name} broke: {error}"
            ) from error
        except errors.InvalidLineError as error:
            self.close()
            raise backend_errors.ConnectionBrokenError(
                f"server {self.name} gave an answer that cannot be read: {error}"
            ) from error
        if self.sent_at_s:
            self.sent_at_s.popleft()
        return answer

    async def _read_answer(self) -> requests.Answer:
        decoder = lines.AnswerDecoder()
        while True:
            line = await self.reader.readuntil(lines.END)
            answer = decoder.feed(line[: -len(lines.END)])
            if answer is not None:
                return answer

    async def receive_start(self, timeout_s: float) -> requests.Answer | None:
        """Return the refusal of a server that took no connection, or None when it did."""
        decoder = lines.AnswerDecoder()
        try:
            async with asyncio.timeout(timeout_s):
                line = await self.reader.readuntil(lines.END)
            answer = decoder.feed(line[: -len(lines.END)])
        except (OSError, TimeoutError, EOFError, asyncio.LimitOverrunError) as error:
            raise backend_errors.ConnectionBrokenError(f"server {self.name}: {error!r}") from error
        except errors.InvalidLineError as error:
            raise backend_errors.ConnectionBrokenError(f"server {self.name}: {error}") from error
        if answer is not None:
            return None
        return requests.refuse(decoder.refusal or requests.Refusal.FAILED, decoder.detail)

    async def _ask(self, data: bytes, timeout_s: float) -> requests.Answer:
        self._send(data)
        answer = await self.receive(timeout_s)
        if not answer.succeeded:
            raise backend_errors.BackendError(f"server {self.name}: {answer.detail}")
        return answer

    async def _ask_status(self, data: bytes, timeout_s: float) -> promotion.ServerStatus:
        answer = await self._ask(data, timeout_s)
        if not answer.rows:
            raise backend_errors.BackendError(f"server {self.name} gave no status")
        try:
            return lines.parse_status(answer.rows[0])
        except errors.InvalidLineError as error:
            raise backend_errors.BackendError(f"server {self.name}: {error}") from error

    async def status(self, timeout_s: float) -> promotion.ServerStatus:
        """Ask the server about itself."""
        return await self._ask_status(lines.STATUS, timeout_s)

    async def pause(self, term: ids.Term, timeout_s: float) -> promotion.ServerStatus:
        """Stop a replica from receiving."""
        return await self._ask_status(lines.encode_pause(term), timeout_s)

    async def resume(self, timeout_s: float) -> None:
        """Let a replica receive again."""
        await self._ask(lines.RESUME, timeout_s)


async def open_link(entry: ports.ServerEntry) -> BackendLink:
    """Open a connection to a server; raises a BackendError."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                entry.host, entry.port, limit=lines.MAX_LINE_BYTES
            )
    except ConnectionRefusedError as error:
        raise backend_errors.ServerRefusedError(
            f"nothing listens for server {entry.server}"
        ) from error
    except (OSError, TimeoutError) as error:
        raise backend_errors.BackendUnreachableError(
            f"server {entry.server} is out of reach: {error!r}"
        ) from error
    link = BackendLink(name=entry.server, reader=reader, writer=writer)
    try:
        await _start(link, entry)
    except BaseException:
        link.close()
        raise
    return link


async def _start(link: BackendLink, entry: ports.ServerEntry) -> None:
    link.writer.write(lines.encode_start(entry.service, entry.server))
    try:
        refused = await link.receive_start(CONNECT_TIMEOUT_S)
    except backend_errors.ConnectionBrokenError as error:
        raise backend_errors.BackendUnreachableError(str(error)) from error
    if refused is not None:
        kind = backend_errors.BackendUnreachableError
        if refused.refusal is requests.Refusal.TOO_MANY_CONNECTIONS:
            kind = backend_errors.ConnectionLimitError
        raise kind(f"server {entry.server} took no connection: {refused.detail}")
