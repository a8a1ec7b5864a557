"""A TCP proxy that forwards, and passes nothing on while it is silent."""

import asyncio

HOST = "127.0.0.1"
CHECK_S = 0.02
READ_BYTES = 65536


class Proxy:
    """Forwards connections to a port; while ``silent`` they stay open and nothing passes."""

    def __init__(self):
        self.silent = False
        self.writers = set()

    async def start(self, target):
        self.target = target
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self):
        """Reset the connections that are open."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        try:
            await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers -= {writer, far_writer}
            writer.close()
            far_writer.close()

    async def _pump(self, reader, writer):
        while True:
            data = await reader.read(READ_BYTES)
            while self.silent:
                await asyncio.sleep(CHECK_S)
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()
