"""HTTP/1.1 client for the platform: one call at a time on a persistent connection."""

import asyncio
import collections.abc
import dataclasses

import h11

READ_BYTES = 65536
MAX_BODY_BYTES = 8 << 20
"""Holds eight of the store's largest values."""


class CallError(Exception):
    """Raised when an HTTP call got no response; the server may still execute it."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """Status, body and headers of an HTTP response; the names of headers are in lower case."""

    status: int
    body: bytes
    headers: collections.abc.Mapping[str, str] = dataclasses.field(default_factory=dict)


class Connection:
    """A persistent connection that is opened on demand and dropped after any failure."""

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.protocol: h11.Connection | None = None
        self.lock = asyncio.Lock()

    def __repr__(self) -> str:
        return f"Connection(host={self.host!r}, port={self.port!r})"

    def close(self) -> None:
        """Drop the connection; a call in progress loses its response and fails."""
        if self.reader is not None:
            self.reader.feed_eof()
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = self.protocol = None

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: collections.abc.Sequence[tuple[str, str]] = (),
        timeout_s: float,
    ) -> Response:
        """Send a request and return the response.

        Raises CallError when the connection fails or nothing arrives for ``timeout_s``. A large
        response may take longer on a narrow link; sending it again would only add to the traffic.
        """
        async with self.lock:
            try:
                async with asyncio.timeout(timeout_s) as timer:
                    return await self._exchange(method, target, body, headers, timer, timeout_s)
            except TimeoutError as error:
                self.close()
                raise CallError(f"{method} {target}: no response in time") from error
            except (OSError, EOFError, h11.ProtocolError) as error:
                self.close()
                raise CallError(f"{method} {target}: {error!r}") from error
            except BaseException:
                self.close()
                raise

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: collections.abc.Sequence[tuple[str, str]],
        timer: asyncio.Timeout,
        timeout_s: float,
    ) -> Response:
        if self.writer is None or self.reader is None or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
            self.protocol = h11.Connection(h11.CLIENT)
        reader, protocol = self.reader, self.protocol
        fields = [("Host", f"{self.host}:{self.port}"), ("Content-Length", str(len(body)))]
        if body:
            fields.append(("Content-Type", "application/json"))
        request = h11.Request(method=method, target=target, headers=[*fields, *headers])
        data = protocol.send(request)
        if body:
            data += protocol.send(h11.Data(data=body))
        data += protocol.send(h11.EndOfMessage())
        self.writer.write(data)
        response = await self._read_response(reader, protocol, timer, timeout_s)
        if protocol.our_state is h11.DONE and protocol.their_state is h11.DONE:
            protocol.start_next_cycle()
        else:
            self.close()
        return response

    async def _read_response(
        self,
        reader: asyncio.StreamReader,
        protocol: h11.Connection,
        timer: asyncio.Timeout,
        timeout_s: float,
    ) -> Response:
        loop = asyncio.get_running_loop()
        status = 0
        headers: dict[str, str] = {}
        parts: list[bytes] = []
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await reader.read(READ_BYTES))
                timer.reschedule(loop.time() + timeout_s)
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode("ascii"): value.decode("latin-1") for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                if sum(map(len, parts)) > MAX_BODY_BYTES:
                    raise EOFError("the response is too large")
            elif isinstance(event, h11.EndOfMessage):
                return Response(status=status, body=b"".join(parts), headers=headers)
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("the connection was closed")
