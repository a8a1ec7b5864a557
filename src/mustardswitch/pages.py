"""A small HTTP server: readiness for a load balancer and metrics for scrapers."""

import asyncio
import collections.abc

import h11

from mustardswitch import metrics

READ_BYTES = 16384

Page = tuple[int, str]
"""Status code and body text."""
Headers = collections.abc.Sequence[tuple[str, str]]


class PageServer:
    """Answers each request with the page that ``page`` returns for its path.

    A connection without a request for ``idle_timeout_s`` seconds is closed.
    """

    def __init__(
        self,
        *,
        page: collections.abc.Callable[[str], Page],
        headers: Headers,
        idle_timeout_s: float,
        registry: metrics.Registry,
    ) -> None:
        self.page = page
        self.headers = headers
        self.idle_timeout_s = idle_timeout_s
        self.registry = registry
        self.servers: list[asyncio.Server] = []

    def __repr__(self) -> str:
        return (
            f"PageServer(page={self.page!r}, headers={self.headers!r},"
            f" idle_timeout_s={self.idle_timeout_s!r}, registry={self.registry!r})"
        )

    async def start(self, host: str, port: int) -> None:
        """Start listening on an address; raises OSError when it cannot be bound."""
        self.servers.append(await asyncio.start_server(self._serve, host, port))

    def close(self) -> None:
        """Stop accepting connections."""
        for server in self.servers:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        protocol = h11.Connection(h11.SERVER)
        try:
            while True:
                async with asyncio.timeout(self.idle_timeout_s):
                    path = await self._read_request(protocol, reader)
                if path is None:
                    return
                writer.write(self._respond(protocol, path))
                await writer.drain()
                if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
                    return
                protocol.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError):
            self.registry.count("health_connections_broken")
        finally:
            writer.close()

    async def _read_request(
        self, protocol: h11.Connection, reader: asyncio.StreamReader
    ) -> str | None:
        path = None
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                path = event.target.partition(b"?")[0].decode("ascii", "replace")
            elif isinstance(event, h11.EndOfMessage):
                return path
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _respond(self, protocol: h11.Connection, path: str) -> bytes:
        status, text = self.page(path)
        body = text.encode()
        headers = [("Content-Length", str(len(body))), *self.headers]
        data = protocol.send(h11.Response(status_code=status, headers=headers))
        if body:
            data += protocol.send(h11.Data(data=body))
        return data + protocol.send(h11.EndOfMessage())
