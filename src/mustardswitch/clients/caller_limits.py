"""Keeps the callers of a process within its memory and descriptors, and ends those that stall."""

import asyncio
import collections
import dataclasses
import enum
import os
import resource
import typing

from mustardswitch import events, metrics
from mustardswitch.internal.admission import descriptors, memory, sweeps

FIRST_LINE_S = 10.0
"""Time for a connection's first line."""
MESSAGE_S = 30.0
"""Time for a message that has begun."""
UNREAD_S = 30.0
"""Time in which a caller must read an answer."""
LARGE_WAIT_S = 2.0
"""Longest wait of a large statement for memory; half of what callers wait for an answer."""
DESCRIPTOR_DIRECTORY = "/proc/self/fd"


def allowed_descriptors(max_fds: int) -> int:
    """Return a limit of descriptors, or the process's own limit if that is lower."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max_fds if soft == resource.RLIM_INFINITY else min(max_fds, soft)


class Reason(enum.Enum):
    """Why a connection was ended."""

    FIRST_LINE = "first_line_late"
    MESSAGE = "message_late"
    UNREAD = "answer_unread"
    MEMORY = "memory"
    TOO_MANY = "too_many"


class Connection(typing.Protocol):
    """What the limits know of a caller's connection."""

    started: bool
    """Whether its first line has arrived."""
    in_transaction: bool
    idle: bool
    """Whether it waits for a statement outside of a transaction."""
    served: bool
    """Whether it has run a statement."""
    idle_since_s: float
    """When it began to wait for its next line (``clock.now_s``)."""
    held_bytes: int

    def overdue(self, elapsed_s: float) -> Reason | None:
        """Count time that has passed; return the limit that the connection exceeds."""

    def end(self, reason: Reason) -> None:
        """Free what is held for the connection, and close it."""


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class _Waiting:
    """A large statement that waits for memory."""

    connection: Connection
    wanted_bytes: int
    ticket: asyncio.Future[None]


class CallerLimits:
    """Limits of all callers of a process."""

    def __init__(self, *, shares: memory.Shares, max_fds: int, registry: metrics.Registry) -> None:
        self.shares = shares
        self.max_fds = max_fds
        self.registry = registry
        self.held: memory.Budget[Connection] = memory.Budget(limit_bytes=shares.held)
        self.served: memory.Budget[Connection] = memory.Budget(limit_bytes=shares.served)
        self.waiting: collections.deque[_Waiting] = collections.deque()
        self.others = 0
        """Descriptors that are open for other purposes, when they were last measured."""
        self.last_sweep_s: float | None = None

    def __repr__(self) -> str:
        return f"CallerLimits(shares={self.shares!r}, max_fds={self.max_fds!r})"

    # Connections

    def accept(self, connection: Connection) -> bool:
        """Count a new connection; return whether it is accepted.

        If there is no other room, it takes the place of the oldest one without a first line, then
        of the oldest session that has run nothing, then of the one that has been idle longest: a
        caller opens another session, and loses no work. Others are never ended for it.
        """
        allowed = descriptors.callers_allowed(max_fds=self.max_fds, others=self.others)
        if len(self.held.held) >= min(allowed, memory.connections_allowed(self.held.limit_bytes)):
            replaced = self._least_active()
            if replaced is None:
                self._note_ended(connection, Reason.TOO_MANY)
                return False
            self.end(replaced, Reason.TOO_MANY)
        self.held.hold(connection, connection.held_bytes)
        self.note(connection)
        return True

    def _least_active(self) -> Connection | None:
        """Return the connection whose place a new one may take; None if all are in use."""
        silent = next((each for each in self.held.held if not each.started), None)
        if silent is not None:
            return silent
        idle = [each for each in self.held.held if each.idle]
        unused = next((each for each in idle if not each.served), None)
        return unused or min(idle, key=lambda each: each.idle_since_s, default=None)

    def drop(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self.held.drop(connection)

    def note(self, connection: Connection) -> None:
        """Count what is held for a connection now, and close some if it is too much."""
        if connection not in self.held.held:
            return
        self.held.hold(connection, connection.held_bytes)
        if self.held.exceeded:
            for victim in self.held.victims(lambda each: each.in_transaction):
                self.end(victim, Reason.MEMORY)

    def end(self, connection: Connection, reason: Reason) -> None:
        """Close a connection; it is not counted any more."""
        self._note_ended(connection, reason)
        self.held.drop(connection)
        connection.end(reason)

    def _note_ended(self, connection: Connection, reason: Reason) -> None:
        self.registry.count("callers_ended", reason.value)
        events.log(events.Event.CALLER_ENDED, reason=reason.value, held_bytes=connection.held_bytes)

    # Large statements

    async def admit(self, connection: Connection, wanted_bytes: int) -> bool:
        """Wait for memory to serve a large statement; return whether there is.

        ``finish`` must be called in any case, also when the wait is cancelled.
        """
        if not self.waiting and self.served.has_room(wanted_bytes):
            self.served.hold(connection, wanted_bytes)
            return True
        entry = _Waiting(
            connection=connection,
            wanted_bytes=wanted_bytes,
            ticket=asyncio.get_running_loop().create_future(),
        )
        self.waiting.append(entry)
        try:
            async with asyncio.timeout(LARGE_WAIT_S):
                await entry.ticket
        except TimeoutError:
            self.registry.count("large_statements_refused")
            return False
        finally:
            if entry in self.waiting:
                self.waiting.remove(entry)
        return True

    def finish(self, connection: Connection) -> None:
        """Count a large statement as answered, and start those that waited for its memory."""
        self.served.drop(connection)
        while self.waiting and self.served.has_room(self.waiting[0].wanted_bytes):
            entry = self.waiting.popleft()
            if not entry.ticket.done():
                self.served.hold(entry.connection, entry.wanted_bytes)
                entry.ticket.set_result(None)

    def measure_descriptors(self) -> None:
        """Count the descriptors that are open for other purposes than callers."""
        self.others = len(os.listdir(DESCRIPTOR_DIRECTORY)) - len(self.held.held)

    # Time limits

    async def run(self) -> None:
        """Check all connections again and again."""
        while True:
            await asyncio.sleep(sweeps.INTERVAL_S)
            self.sweep(asyncio.get_running_loop().time())

    def sweep(self, now_s: float) -> None:
        """End the connections that take too long, and measure what else is open."""
        elapsed_s = sweeps.elapsed_s(last_sweep_s=self.last_sweep_s, now_s=now_s)
        self.last_sweep_s = now_s
        for connection in list(self.held.held):
            reason = connection.overdue(elapsed_s)
            if reason is not None:
                self.end(connection, reason)
        self.measure_descriptors()
        self.registry.set_gauge("caller_bytes_held", self.held.total_bytes)
        self.registry.set_gauge("caller_bytes_served", self.served.total_bytes)
        self.registry.set_gauge("callers", len(self.held.held))
