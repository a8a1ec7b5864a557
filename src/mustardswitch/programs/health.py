"""A small HTTP endpoint: readiness for the balancer and metrics for scrapers."""

import asyncio
import collections.abc
import contextlib

import h11

REQUEST_TIMEOUT_S = 5.0
READ_BYTES = 4096


class HealthServer:
    """Serves ``/ready``, ``/live`` and ``/metrics``."""

    def __init__(
        self,
        *,
        is_ready: collections.abc.Callable[[], bool],
        render_metrics: collections.abc.Callable[[], str],
    ) -> None:
        self.is_ready = is_ready
        self.render_metrics = render_metrics
        self.server: asyncio.Server | None = None

    async def start(self, *, host: str, port: int) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(
            TimeoutError, ConnectionError, h11.RemoteProtocolError, h11.LocalProtocolError
        ):
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await self._answer(reader, writer)
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = h11.Connection(h11.SERVER)
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                break
            else:
                return
        status, body = self._page(event.target.decode("ascii", "replace"))
        headers = [("content-type", "text/plain; version=0.0.4"), ("connection", "close")]
        response = h11.Response(status_code=status, headers=headers)
        writer.write(parser.send(response) or b"")
        writer.write(parser.send(h11.Data(data=body.encode())) or b"")
        writer.write(parser.send(h11.EndOfMessage()) or b"")
        await writer.drain()

    def _page(self, target: str) -> tuple[int, str]:
        if target == "/live":
            return 200, "live\n"
        if target == "/ready":
            return (200, "ready\n") if self.is_ready() else (503, "not ready\n")
        if target == "/metrics":
            return 200, self.render_metrics()
        return 404, "pages are /ready, /live and /metrics\n"

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()
