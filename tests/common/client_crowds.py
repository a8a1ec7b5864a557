"""Clients that misbehave, as raw connections, and what an instance process uses meanwhile."""

import asyncio
import collections.abc
import contextlib
import pathlib

from mustardswitch.platform import lines
from mustardswitch_standins import platform_deployment

MIB = 1 << 20
NEARLY_LIMIT = lines.MAX_LINE_BYTES - 100
SMALL_PIECE_BYTES = 4096
SAMPLE_INTERVAL_S = 0.02
SETTLE_S = 4.0
"""Time in which a crowd that is slowed down may go on before the instance is checked."""
SERVED_WITHIN_S = 40.0
"""Limit on the ordinary request, which is repeated while it is refused; ends a hanging test."""
START = b"STARTUP db-primary tester\r\n"


def message(head: str, size_bytes: int, *, end: bytes = lines.END) -> bytes:
    """Build a message of a size, without its line end, that begins with ``head``."""
    return head.encode() + b"x" * (size_bytes - len(head)) + end


def split(data: bytes, piece_bytes: int) -> list[bytes]:
    """Cut data into pieces that are sent one at a time."""
    return [data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes)]


class Crowd:
    """Connections to one port of an instance that stay open until ``close``."""

    def __init__(self, *, port: int) -> None:
        self.port = port
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def join(
        self,
        count: int,
        pieces: collections.abc.Sequence[bytes],
        *,
        reads: bool = False,
        pause_s: float = 0.0,
    ) -> None:
        """Let connections send pieces each; return when all have sent them, or are slowed down.

        ``reads`` is set for clients that read their answers; ``pause_s`` is between pieces.
        """
        new = [asyncio.create_task(self._misbehave(pieces, reads, pause_s)) for _ in range(count)]
        self.tasks += new
        await asyncio.wait(new, timeout=SETTLE_S)

    async def _misbehave(
        self, pieces: collections.abc.Sequence[bytes], reads: bool, pause_s: float
    ) -> None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1024)
            self.writers.append(writer)
            if not reads:
                writer.transport.pause_reading()
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
            while reads and await reader.read(MIB):
                pass

    async def close(self) -> None:
        """End all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)


class Usage:
    """Samples the descriptors of a process; its memory peak is kept by the system."""

    def __init__(self, pid: int) -> None:
        self.directory = pathlib.Path(f"/proc/{pid}")
        self.descriptors = 0
        self.task = asyncio.create_task(self._sample())

    async def _sample(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                self.descriptors = max(
                    self.descriptors, sum(1 for _ in (self.directory / "fd").iterdir())
                )
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def memory_mb(self) -> float:
        """Return the largest resident memory so far, in units of 1,000,000 bytes."""
        status = (self.directory / "status").read_text()
        (peak,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(peak.split()[1]) * 1024 / 1e6


async def serve_until_answered(caller: platform_deployment.Caller) -> None:
    """Write and read with an open session; an answer that nothing was run is tried again."""
    for statement in ("WRITE item x", "READ item"):
        async with asyncio.timeout(SERVED_WITHIN_S):
            answer = await caller.query(statement)
            while answer[0].startswith("ERROR BUSY"):
                await asyncio.sleep(0.2)
                answer = await caller.query(statement)
        assert answer[-2].startswith("COMPLETE sig"), answer


async def open_session(
    instance: platform_deployment.Instance,
) -> platform_deployment.Caller:
    """Open an ordinary session; a connection that is refused is opened again."""
    async with asyncio.timeout(SERVED_WITHIN_S):
        while True:
            with contextlib.suppress(OSError):
                caller = await instance.session("db-primary")
                if caller.greeting == "READY I -":
                    return caller
            await asyncio.sleep(0.2)
