"""The byte stream of a caller's connection: whole lines in, bounded buffers in both directions."""

import asyncio
import collections.abc

from mustardswitch.clients import errors
from mustardswitch.internal.admission import memory

READ_BYTES = 64 * 1024
"""Size of the buffer into which all connections of a process are read, one at a time."""
AHEAD_BYTES = 64 * 1024
"""Bytes that are kept of statements that were sent ahead of the one that is running."""


class CallerStream(asyncio.BufferedProtocol):
    """Reads lines and writes answers on one connection.

    While nobody waits for a line, reading pauses at ``AHEAD_BYTES``. Writing counts as blocked as
    long as the system has not taken all bytes.
    """

    def __init__(
        self,
        *,
        read_buffer: memoryview,
        end_of_line: bytes,
        max_line_bytes: int,
        on_connected: collections.abc.Callable[["CallerStream"], None],
        on_lost: collections.abc.Callable[["CallerStream"], None],
        on_held: collections.abc.Callable[["CallerStream"], None],
    ) -> None:
        self.read_buffer = read_buffer
        self.end_of_line = end_of_line
        self.max_line_bytes = max_line_bytes
        self.on_connected = on_connected
        self.on_lost = on_lost
        self.on_held = on_held
        """Called when the received or unread bytes have changed much."""
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.searched = 0
        """Bytes of ``received`` before this contain no line end."""
        self.line_end = -1
        """Where the first line in ``received`` ends, if that is known; otherwise -1."""
        self.counted_bytes = 0
        """Size of ``received`` when it was last counted; 0 for a small one."""
        self.message_s = 0.0
        """Time for which the next line is incomplete, as counted by its user."""
        self.unread_bytes = 0
        """Bytes of answers that the system has not taken yet, at most."""
        self.unread_s = 0.0
        """Time for which ``unread_bytes`` is not 0, as counted by its user."""
        self.paused = False
        self.ended = False
        """Whether the caller sends nothing more."""
        self.failure: str | None = None
        """Why nothing can be read or written any more. No exception is kept: its traceback would
        refer to this object, and what it holds would stay until the next garbage collection."""
        self.line_waiter: asyncio.Future[None] | None = None
        self.write_waiter: asyncio.Future[None] | None = None

    def __repr__(self) -> str:
        return f"CallerStream(received={len(self.received)}, unread_bytes={self.unread_bytes})"

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start to serve a connection."""
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        self.on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes; they are copied before another call."""
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were read."""
        if self.failure is not None:
            return
        received = self.received
        received += self.read_buffer[:nbytes]
        size = len(received)
        if self.line_waiter is not None:
            self._find_line_end()
            if self.line_end >= 0 or size > self.max_line_bytes + 1:
                self._wake(self.line_waiter)
        elif size > AHEAD_BYTES and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        if size - self.counted_bytes > memory.UNCOUNTED_BYTES:
            self._note_received()

    def _note_received(self) -> None:
        size = len(self.received)
        self.counted_bytes = size if size > memory.UNCOUNTED_BYTES else 0
        self.on_held(self)

    def _find_line_end(self) -> None:
        self.line_end = self.received.find(self.end_of_line, self.searched)
        if self.line_end < 0 and self.received:
            self.searched = len(self.received) - 1

    def eof_received(self) -> bool:
        """Note that the caller sends nothing more; it may still read."""
        self.ended = True
        self._wake(self.line_waiter)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what waits for the connection."""
        self.ended = True
        self.fail("the connection is closed" if exc is None else str(exc))
        self.unread_bytes = 0
        self.on_lost(self)

    def fail(self, reason: str) -> None:
        """Drop what was received, and fail what waits for the connection."""
        if self.failure is None:
            self.failure = reason
            self.received = bytearray()
            self.searched, self.line_end = 0, -1
        self._wake(self.line_waiter)
        self._wake(self.write_waiter)

    def pause_writing(self) -> None:
        """Note that the caller has not read all answers."""
        self.unread_bytes = self.transport.get_write_buffer_size()
        self.on_held(self)

    def resume_writing(self) -> None:
        """Note that the system has taken all answers."""
        self.unread_bytes = 0
        self.unread_s = 0.0
        self._wake(self.write_waiter)
        self.on_held(self)

    @staticmethod
    def _wake(waiter: asyncio.Future[None] | None) -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def read_line(self) -> bytes:
        """Return the next line without its end.

        Raises LineTooLongError, EOFError, or OSError when the connection is closed.
        """
        if self.received:
            self._find_line_end()
        while self.line_end < 0:
            if len(self.received) > self.max_line_bytes + 1:
                raise errors.LineTooLongError("the line is too long")
            self.check()
            if self.ended:
                raise EOFError("the caller sends nothing more")
            if self.paused:
                self.paused = False
                self.transport.resume_reading()
            self.line_waiter = self.loop.create_future()
            await self.line_waiter
            self.line_waiter = None
        end = self.line_end
        if end > self.max_line_bytes:
            raise errors.LineTooLongError("the line is too long")
        received, rest = self.received, end + len(self.end_of_line)
        if rest == len(received):
            self.received = bytearray()
            del received[end:]
            line = bytes(received)
        else:
            line = bytes(memoryview(received)[:end])
            del received[:rest]
        self.searched, self.line_end = 0, -1
        self.message_s = 0.0
        if self.counted_bytes:
            self._note_received()
        return line

    def write(self, data: bytes) -> None:
        """Send bytes; nothing happens on a closed connection."""
        if not self.transport.is_closing():
            self.transport.write(data)

    async def flushed(self) -> None:
        """Wait until the system has taken all bytes; raises OSError on a closed connection."""
        while self.unread_bytes and self.failure is None:
            self.write_waiter = self.loop.create_future()
            try:
                await self.write_waiter
            finally:
                self.write_waiter = None
        self.check()

    def check(self) -> None:
        """Raise ConnectionResetError when the connection has failed."""
        if self.failure is not None:
            raise ConnectionResetError(self.failure)

    def close(self) -> None:
        """Close the connection once its answers are sent."""
        self.transport.close()

    def abort(self) -> None:
        """Close the connection now."""
        self.fail("the connection is closed")
        self.transport.abort()
