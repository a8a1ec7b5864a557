"""A small HTTP server: readiness for a load balancer and metrics for scrapers."""

import asyncio
import collections.abc

import h11

from mustardswitch import listening, metrics

READ_BYTES = 16384
MAX_BODY_BYTES = 16384
"""Bytes of a request's body, which is not used, after which the connection is closed."""
MAX_CONNECTIONS = 32
"""Open connections of one server: a load balancer's, a few scrapers', and those of people."""

Page = tuple[int, str]
"""Status code and body text."""
Headers = collections.abc.Sequence[tuple[str, str]]


class PageServer:
    """Answers each request with the page that ``page`` returns for its path and query.

    A connection without a request, or whose answer is not read, for ``idle_timeout_s`` seconds is
    closed, and so is one that sends requests ahead. Above ``MAX_CONNECTIONS``, a new connection
    takes the place of the oldest one without a request, or of the one whose last request is longest
    ago.
    """

    def __init__(
        self,
        *,
        page: collections.abc.Callable[[str, str], Page],
        headers: Headers,
        idle_timeout_s: float,
        registry: metrics.Registry,
    ) -> None:
        self.page = page
        self.headers = headers
        self.idle_timeout_s = idle_timeout_s
        self.registry = registry
        self.servers: list[asyncio.Server] = []
        self.connections: dict[asyncio.StreamWriter, int] = {}
        """Number of the last request of each open connection, 0 without one; oldest first."""
        self.requests = 0

    def __repr__(self) -> str:
        return (
            f"PageServer(page={self.page!r}, headers={self.headers!r},"
            f" idle_timeout_s={self.idle_timeout_s!r}, registry={self.registry!r})"
        )

    async def start(self, host: str, port: int) -> None:
        """Start listening on an address; raises OSError when it cannot be bound."""
        listener = listening.bind(host, port)
        self.servers.append(
            await asyncio.start_server(
                self._serve, sock=listener, limit=READ_BYTES, backlog=listening.ACCEPTED_AT_ONCE
            )
        )
        listener.listen(listening.BACKLOG)

    def close(self) -> None:
        """Stop accepting connections."""
        for server in self.servers:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.connections) >= MAX_CONNECTIONS:
            replaced = min(self.connections, key=self.connections.__getitem__)
            del self.connections[replaced]
            replaced.transport.abort()
            self.registry.count("health_connections_replaced")
        self.connections[writer] = 0
        writer.transport.set_write_buffer_limits(high=0)
        protocol = h11.Connection(h11.SERVER)
        try:
            while True:
                async with asyncio.timeout(self.idle_timeout_s):
                    target = await self._read_request(protocol, reader)
                    if target is None:
                        return
                    self._note_request(writer)
                    writer.write(self._respond(protocol, target))
                    await writer.drain()
                if protocol.trailing_data[0]:
                    return
                if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
                    return
                protocol.start_next_cycle()
        except (OSError, h11.ProtocolError):
            self.registry.count("health_connections_broken")
        except TimeoutError:
            self.registry.count("health_connections_broken")
            writer.transport.abort()
        except asyncio.CancelledError:
            # Only the end of the event loop cancels it. Some versions of asyncio write a cancelled
            # handler to standard error.
            writer.transport.abort()
        finally:
            self.connections.pop(writer, None)
            writer.close()

    def _note_request(self, writer: asyncio.StreamWriter) -> None:
        self.requests += 1
        if writer in self.connections:
            self.connections[writer] = self.requests

    async def _read_request(
        self, protocol: h11.Connection, reader: asyncio.StreamReader
    ) -> str | None:
        target, body_bytes = None, 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                target = event.target.decode("ascii", "replace")
            elif isinstance(event, h11.Data):
                body_bytes += len(event.data)
                if body_bytes > MAX_BODY_BYTES:
                    return None
            elif isinstance(event, h11.EndOfMessage):
                return target
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _respond(self, protocol: h11.Connection, target: str) -> bytes:
        path, _, query = target.partition("?")
        status, text = self.page(path, query)
        body = text.encode()
        headers = [("Content-Length", str(len(body))), *self.headers]
        data = protocol.send(h11.Response(status_code=status, headers=headers))
        if body:
            data += protocol.send(h11.Data(data=body))
        return data + protocol.send(h11.EndOfMessage())
