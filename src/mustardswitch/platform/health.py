"""Answers the balancer's question whether this instance takes callers, and serves metrics."""

import asyncio
import collections.abc

import h11

from mustardswitch import metrics

READY_PATH = b"/readiness"
METRICS_PATH = b"/metrics"
IDLE_TIMEOUT_S = 30.0
"""Longer than the platform's pause between questions."""
READ_BYTES = 16384


class HealthServer:
    """A small HTTP server."""

    def __init__(
        self, *, is_ready: collections.abc.Callable[[], bool], registry: metrics.Registry
    ) -> None:
        self.is_ready = is_ready
        self.registry = registry
        self.servers: list[asyncio.Server] = []

    def __repr__(self) -> str:
        return f"HealthServer(is_ready={self.is_ready!r}, registry={self.registry!r})"

    async def start(self, host: str, port: int) -> None:
        """Answer on an address from now on."""
        self.servers.append(await asyncio.start_server(self._serve, host, port))

    def close(self) -> None:
        """Stop accepting."""
        for server in self.servers:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        protocol = h11.Connection(h11.SERVER)
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
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
    ) -> bytes | None:
        path = None
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                path = event.target.partition(b"?")[0]
            elif isinstance(event, h11.EndOfMessage):
                return path
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _respond(self, protocol: h11.Connection, path: bytes) -> bytes:
        status, body = 404, b""
        if path == READY_PATH:
            status = 200 if self.is_ready() else 503
        elif path == METRICS_PATH:
            status, body = 200, self.registry.render().encode()
        headers = [("Content-Length", str(len(body))), ("Content-Type", "text/plain")]
        data = protocol.send(h11.Response(status_code=status, headers=headers))
        if body:
            data += protocol.send(h11.Data(data=body))
        return data + protocol.send(h11.EndOfMessage())
