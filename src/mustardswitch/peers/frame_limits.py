"""Bounds what connections to the peers' port take: their number, bytes and time."""

import asyncio

from mustardswitch import events, metrics
from mustardswitch.internal.admission import descriptors, memory, sweeps
from mustardswitch.peers import errors, relay_codec

FIRST_FRAME_S = 10.0
"""Time for the first frame; an instance connects when it has one to send."""
FRAME_S = 10.0
"""Time for a frame that has begun; a statement waits for its answer for a few seconds."""
UNREAD_S = 30.0
"""Time in which an answer must be read."""
CHUNK_BYTES = 64 * 1024
"""Frames up to this are not counted."""
SERVED_FACTOR = 3
"""Copies of a frame while its statement is served: the frame, its texts, and what is sent on."""


class FrameConnection:
    """What is known of one connection."""

    def __init__(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, limits: "FrameLimits"
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.limits = limits
        self.frames = 0
        """Frames that were read."""
        self.begun = False
        """Whether a frame has begun and is not complete."""
        self.waited_s = 0.0
        """Time for which the next step is awaited: the first frame, the rest of one, a reader."""

    def __repr__(self) -> str:
        return f"FrameConnection(frames={self.frames!r}, begun={self.begun!r})"

    async def read_frame(self) -> bytes:
        """Read the body of a frame; raises InvalidFrameError, EOFError or OSError."""
        self.limits.release(self)
        length = relay_codec.decode_length(await self.reader.readexactly(relay_codec.LENGTH_BYTES))
        self.begun, self.waited_s = True, 0.0
        if length <= CHUNK_BYTES:
            body = await self.reader.readexactly(length)
        else:
            body = await self._read_large(length)
        self.frames += 1
        self.begun, self.waited_s = False, 0.0
        return body

    async def _read_large(self, length: int) -> bytes:
        body = bytearray()
        try:
            while len(body) < length:
                chunk = await self.reader.read(min(CHUNK_BYTES, length - len(body)))
                if not chunk:
                    raise EOFError("the connection ended within a frame")
                body += chunk
                self.limits.hold(self, len(body))
            self.limits.hold(self, SERVED_FACTOR * length)
            return bytes(body)
        finally:
            # The reader keeps an exception, whose traceback refers to this frame.
            body.clear()

    async def send(self, data: bytes) -> None:
        """Send an answer; raises OSError."""
        self.writer.write(data)
        self.waited_s = 0.0
        unread_bytes = self.writer.transport.get_write_buffer_size()
        if unread_bytes:
            self.limits.hold(self, unread_bytes)
        await self.writer.drain()

    def overdue(self, elapsed_s: float) -> str | None:
        """Count time that has passed; return the limit that is exceeded."""
        unread = self.writer.transport.get_write_buffer_size() > 0
        if self.frames and not self.begun and not unread:
            return None
        self.waited_s += elapsed_s
        if unread:
            return "answer_unread" if self.waited_s > UNREAD_S else None
        if self.begun:
            return "frame_late" if self.waited_s > FRAME_S else None
        return "first_frame_late" if self.waited_s > FIRST_FRAME_S else None


class FrameLimits:
    """Limits of all connections to the peers' port."""

    def __init__(
        self,
        *,
        registry: metrics.Registry,
        limit_bytes: int = memory.divide(memory.DEFAULT_MB * memory.MB).peers,
        max_fds: int = descriptors.DEFAULT_MAX_FDS,
    ) -> None:
        self.registry = registry
        self.budget: memory.Budget[FrameConnection] = memory.Budget(limit_bytes=limit_bytes)
        self.max_connections = descriptors.peers_allowed(max_fds)
        self.connections: dict[FrameConnection, None] = {}
        self.last_sweep_s: float | None = None

    def __repr__(self) -> str:
        return f"FrameLimits(budget={self.budget!r}, max_connections={self.max_connections!r})"

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> FrameConnection | None:
        """Count a connection; None, and it is closed, if there are too many.

        One that has never sent a frame is closed for it, the oldest first.
        """
        connection = FrameConnection(reader=reader, writer=writer, limits=self)
        if len(self.connections) >= self.max_connections:
            silent = next((each for each in self.connections if not each.frames), None)
            self.end(silent or connection, "too_many")
            if silent is None:
                return None
        self.connections[connection] = None
        return connection

    def drop(self, connection: FrameConnection) -> None:
        """Forget a connection that is closed."""
        self.connections.pop(connection, None)
        self.budget.drop(connection)

    def end(self, connection: FrameConnection, reason: str) -> None:
        """Close a connection at a limit."""
        self.drop(connection)
        self.registry.count("peer_connections_ended", reason)
        events.log(events.Event.PEER_ENDED, reason=reason, frames=connection.frames)
        connection.writer.transport.abort()

    def hold(self, connection: FrameConnection, held_bytes: int) -> None:
        """Count what is held for a connection, and close some if it is too much."""
        if connection not in self.connections:
            raise errors.InvalidFrameError("the connection was ended at a limit")
        self.budget.hold(connection, held_bytes)
        for victim in self.budget.victims(lambda each: False):
            self.end(victim, "memory")

    def release(self, connection: FrameConnection) -> None:
        """Count nothing for a connection that waits for a frame."""
        self.budget.drop(connection)

    async def run(self) -> None:
        """Check all connections again and again."""
        while True:
            await asyncio.sleep(sweeps.INTERVAL_S)
            self.sweep(asyncio.get_running_loop().time())

    def sweep(self, now_s: float) -> None:
        """End the connections that take too long."""
        elapsed_s = sweeps.elapsed_s(last_sweep_s=self.last_sweep_s, now_s=now_s)
        self.last_sweep_s = now_s
        for connection in list(self.connections):
            reason = connection.overdue(elapsed_s)
            if reason is not None:
                self.end(connection, reason)
        self.registry.set_gauge("peer_bytes_held", self.budget.total_bytes)
        self.registry.set_gauge("peer_connections", len(self.connections))
