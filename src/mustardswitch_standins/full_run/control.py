"""Requests and responses as lines of JSON over a loopback connection, between the programs."""

import asyncio
import collections.abc
import json
import sys

HOST = "127.0.0.1"
CALL_TIMEOUT_S = 10.0
MAX_BYTES = 1 << 24
Handler = collections.abc.Callable[[dict], collections.abc.Awaitable[dict]]
"""Answers a request; the fields of both are those of a JSON object."""


async def serve(port: int, handle: Handler) -> asyncio.Server:
    """Answer requests on a port; those of one connection are handled one by one."""

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                answer = await handle(json.loads(line))
                writer.write(json.dumps(answer).encode() + b"\n")
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(accept, HOST, port, limit=MAX_BYTES)


class Client:
    """A connection to a program's control port, opened by the first call."""

    def __init__(self, *, port: int) -> None:
        self.port = port
        self.lock = asyncio.Lock()
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def call(self, operation: str, **fields: object) -> dict:
        """Send a request and return the response.

        Raises ``OSError`` without a connection and ``TimeoutError`` after ``CALL_TIMEOUT_S``.
        """
        async with self.lock, asyncio.timeout(CALL_TIMEOUT_S):
            if self.writer is None or self.writer.is_closing():
                self.reader, self.writer = await asyncio.open_connection(
                    HOST, self.port, limit=MAX_BYTES
                )
            self.writer.write(json.dumps({"operation": operation, **fields}).encode() + b"\n")
            line = await self.reader.readline()
        if not line:
            self.close()
            raise ConnectionResetError(f"port {self.port} closed the connection")
        return json.loads(line)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


async def wait_for_end_of_input() -> None:
    """Wait until standard input ends, which is when the program that started this one has ended."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    await reader.read()
