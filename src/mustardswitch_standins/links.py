"""Fault-injecting links: forward TCP between zones and cut, delay, reset or throttle it.

Each direction between two zones has its own rule. A cut direction forwards nothing, like a network
that drops every packet: connections stay open, and the bytes arrive late, after the cut has ended.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import time

READ_BYTES = 65536
CUT_CHECK_S = 0.005
"""Interval between checks whether a cut has ended."""


@dataclasses.dataclass(kw_only=True)
class Rule:
    """The faults and the byte count of one direction."""

    cut: bool = False
    refuses: bool = False
    """Whether connections are reset as they open in this direction."""
    delay_s: float = 0.0
    jitter: collections.abc.Callable[[], float] | None = None
    """Returns a further delay in seconds for each chunk."""
    bytes_per_s: float | None = None
    forwarded_bytes: int = 0
    free_at_s: float = 0.0
    """When a throttled direction has sent all accepted bytes."""


@dataclasses.dataclass(kw_only=True)
class _Connection:
    """The writers to both ends of a forwarded connection."""

    listener: "Listener"
    source_writer: asyncio.StreamWriter
    target_writer: asyncio.StreamWriter


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listener:
    """A port of a link, with its source and target zones and the port it forwards to."""

    source: str
    target: str
    port: int
    target_port: int


class LinkSet:
    """The links of a test or experiment, with the rules of all directions."""

    def __init__(self, *, host: str = "127.0.0.1") -> None:
        self.host = host
        self.rules: collections.defaultdict[str, Rule] = collections.defaultdict(Rule)
        self.servers: list[asyncio.Server] = []
        self.connections: list[_Connection] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def rule(self, source: str, target: str) -> Rule:
        """Return the rule of one direction."""
        return self.rules[f"{source}>{target}"]

    def cut(self, source: str, target: str) -> None:
        """Forward nothing from one zone to another until ``heal``."""
        self.rule(source, target).cut = True

    def cut_both(self, first: str, second: str) -> None:
        """Forward nothing between two zones until ``heal``."""
        self.cut(first, second)
        self.cut(second, first)

    def isolate(self, zone: str, others: collections.abc.Iterable[str]) -> None:
        """Forward nothing between a zone and the others until ``heal``."""
        for other in others:
            self.cut_both(zone, other)

    def heal(self) -> None:
        """End all cuts; the bytes that they held back arrive now."""
        for rule in self.rules.values():
            rule.cut = False

    def break_connections(self, source: str, target: str) -> None:
        """Reset the open connections from one zone to another."""
        for connection in list(self.connections):
            listener = connection.listener
            if (listener.source, listener.target) == (source, target):
                connection.source_writer.transport.abort()
                connection.target_writer.transport.abort()

    async def listen(self, listener: Listener) -> None:
        """Listen on a link's port and forward its connections."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._forward(listener, reader, writer)

        server = await asyncio.start_server(accept, self.host, listener.port, backlog=256)
        self.servers.append(server)

    async def _forward(
        self, listener: Listener, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        forward_rule = self.rule(listener.source, listener.target)
        return_rule = self.rule(listener.target, listener.source)
        try:
            while forward_rule.cut or return_rule.cut:
                await asyncio.sleep(CUT_CHECK_S)
            if forward_rule.refuses:
                raise ConnectionResetError("the link refuses connections")
            target_reader, target_writer = await asyncio.open_connection(
                self.host, listener.target_port
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        connection = _Connection(
            listener=listener, source_writer=writer, target_writer=target_writer
        )
        self.connections.append(connection)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(_pump(reader, target_writer, forward_rule))
                tasks.create_task(_pump(target_reader, writer, return_rule))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.remove(connection)
            writer.close()
            target_writer.close()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        for server in self.servers:
            server.close()
        for connection in list(self.connections):
            connection.source_writer.transport.abort()
            connection.target_writer.transport.abort()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Chunk:
    """Bytes in transit and their earliest delivery time; None ends the stream."""

    data: bytes | None
    due_s: float


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rule: Rule) -> None:
    """Read without waiting for delivery, so that a delay doesn't reduce the link's throughput."""
    chunks: asyncio.Queue[_Chunk] = asyncio.Queue(maxsize=1024)
    delivery = asyncio.create_task(_deliver(chunks, writer, rule))
    last_due_s = 0.0
    try:
        while True:
            data = await reader.read(READ_BYTES)
            extra_s = rule.jitter() if rule.jitter else 0.0
            last_due_s = max(last_due_s, time.monotonic() + rule.delay_s + extra_s)
            await chunks.put(_Chunk(data=data or None, due_s=last_due_s))
            if not data:
                break
        await delivery
    finally:
        delivery.cancel()


async def _deliver(chunks: asyncio.Queue[_Chunk], writer: asyncio.StreamWriter, rule: Rule) -> None:
    while True:
        chunk = await chunks.get()
        wait_s = chunk.due_s - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        while rule.cut:
            await asyncio.sleep(CUT_CHECK_S)
        if chunk.data is None:
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
            return
        await _throttle(rule, len(chunk.data))
        rule.forwarded_bytes += len(chunk.data)
        writer.write(chunk.data)
        await writer.drain()


async def _throttle(rule: Rule, size_bytes: int) -> None:
    if not rule.bytes_per_s:
        return
    now_s = time.monotonic()
    rule.free_at_s = max(rule.free_at_s, now_s) + size_bytes / rule.bytes_per_s
    await asyncio.sleep(rule.free_at_s - now_s)
