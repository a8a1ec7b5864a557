"""The connections to one backend server: bounded, opened on demand, handed out in fair order."""

import asyncio
import collections
import collections.abc
import dataclasses
import time
import typing

from mustardswitch.backends import errors
from mustardswitch.internal import limits

REOPEN_DELAY_S = 0.05
MAX_REOPEN_DELAY_S = 1.0
QUEUE_PER_CONNECTION = 64
INITIAL_SERVICE_S = 0.001
HOLDING_WEIGHT = 0.1


class Connection(typing.Protocol):
    """What a pool needs to know of a connection."""

    broken: bool
    """Whether it can no longer be used."""

    def close(self) -> None:
        """Close it without waiting."""


Held = typing.TypeVar("Held", bound=Connection)
Opener = collections.abc.Callable[[], collections.abc.Awaitable[Held]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionRequest:
    """Who wants a connection, how urgently and until when (on this instance's clock)."""

    caller: str
    priority: int
    """Smaller goes first."""
    deadline_s: float
    patient: bool = False
    """Whether to wait while the server is out of reach, until its role is known to be lost."""
    holds: bool = False
    """Whether the connection is kept while its user pauses, as a transaction does."""
    fitness: collections.abc.Callable[[typing.Any], int] | None = None
    """Ranks idle connections for this use, the largest first; None takes the last one used."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Taken:
    at_s: float
    holds: bool


class ConnectionPool(typing.Generic[Held]):
    """Holds up to ``size`` connections to a backend server.

    ``opener`` opens one connection, or raises a ``BackendError``.
    """

    def __init__(
        self,
        *,
        name: str,
        opener: Opener[Held],
        size: int,
        reopen_limit_s: float = MAX_REOPEN_DELAY_S,
    ) -> None:
        self.name = name
        self.opener = opener
        self.size = size
        self.reopen_limit_s = reopen_limit_s
        self.idle: collections.deque[Held] = collections.deque()
        self.holding_s = {False: 0.0, True: 0.0}
        self.taken: dict[int, _Taken] = {}
        self.held_by_holders = 0
        self.usual_holders = 0.0
        self.returned_at_s: dict[int, float] = {}
        self.busy = 0
        self.opening = 0
        self.limit = limits.ConcurrencyLimit(maximum=size)
        self.queue: limits.AdmissionQueue[asyncio.Future[Held]] = limits.AdmissionQueue(
            max_length=size * QUEUE_PER_CONNECTION
        )
        self.holders: limits.AdmissionQueue[asyncio.Future[Held]] = limits.AdmissionQueue(
            max_length=size * QUEUE_PER_CONNECTION
        )
        self.patient: set[asyncio.Future[Held]] = set()
        self.closed = False
        self.failures = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f"ConnectionPool(name={self.name!r}, opener={self.opener!r}, size={self.size!r})"

    @property
    def held(self) -> int:
        """How many connections are open or being opened."""
        return len(self.idle) + self.busy + self.opening

    @property
    def waiting(self) -> int:
        """How many statements wait for a connection."""
        return self.queue.length + self.holders.length

    def warm(self) -> None:
        """Open the first connections ahead of the first statement."""
        self._open_missing(min(self.size, 2))

    def _open_missing(self, wanted: int) -> None:
        """Open one connection at a time, so that a returning server meets no stampede."""
        if self.closed or self.opening or self.held >= min(wanted, self.size):
            return
        self.opening += 1
        task = asyncio.create_task(self._open(wanted))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open(self, wanted: int) -> None:
        try:
            opened = await self.opener()
        except errors.BackendError:
            self.opening -= 1
            self.failures += 1
            if self.held == 0:
                self.reject_waiters("the server is out of reach", patient=False)
            await self._wait_and_reopen(wanted)
            return
        except BaseException:
            self.opening -= 1
            raise
        self.opening -= 1
        self.failures = 0
        if self.closed:
            opened.close()
            return
        self.idle.append(opened)
        self._serve_queue()
        self._open_missing(max(wanted, self.busy + self.waiting))

    async def _wait_and_reopen(self, wanted: int) -> None:
        delay_s = min(self.reopen_limit_s, REOPEN_DELAY_S * 2 ** min(self.failures, 5))
        await asyncio.sleep(delay_s)
        if self.waiting or self.held < 1:
            self._open_missing(wanted)

    async def acquire(self, use: ConnectionRequest) -> Held:
        """Return a connection; PoolRefusedError means the deadline cannot be met."""
        if self.closed:
            raise errors.PoolUnreachableError("this instance is no longer connected to the server")
        room = self.busy < self.limit.allowed and not self.waiting
        if self.idle and room and (not use.holds or self._holder_room()):
            return self._hand_out(use)
        self._open_missing(self.busy + self.waiting + 1)
        return await self._wait_in_queue(use)

    async def _wait_in_queue(self, use: ConnectionRequest) -> Held:
        if not use.patient and self.failures and self.held <= self.opening:
            raise errors.PoolUnreachableError("the server is out of reach")
        future = asyncio.get_running_loop().create_future()
        if use.patient:
            self.patient.add(future)
        waiting = limits.Waiting(
            ticket=future, caller=use.caller, priority=use.priority, deadline_s=use.deadline_s
        )
        service_s = self.holding_s[use.holds] or self.limit.average_s or INITIAL_SERVICE_S
        now_s = time.monotonic()
        queue = self.holders if use.holds else self.queue
        holders = 0 if use.holds else max(self.held_by_holders, round(self.usual_holders))
        concurrency = max(1, self.limit.allowed - holders)
        if not queue.offer(waiting, now_s=now_s, service_s=service_s, concurrency=concurrency):
            raise errors.PoolFullError(f"{queue.length} statements are waiting")
        self._serve_queue()
        received: Held | None = None
        try:
            async with asyncio.timeout(use.deadline_s - now_s):
                received = await future
            return received
        except TimeoutError as error:
            raise errors.PoolFullError("no connection became free in time") from error
        finally:
            self.patient.discard(future)
            if received is None:
                self._abandon(future)

    def _abandon(self, future: asyncio.Future[Held]) -> None:
        """Take back what a waiter that left did not take.

        A connection may be handed out in the moment in which the waiter's time ends.
        """
        if self.queue.remove(future) or self.holders.remove(future):
            return
        if future.done() and not future.cancelled() and future.exception() is None:
            self.release(future.result(), clean=True)

    def reject_waiters(self, why: str, *, patient: bool) -> None:
        """Send waiting statements elsewhere; patient ones only when ``patient`` is true."""
        for queue in (self.queue, self.holders):
            kept = []
            while (waiting := queue.take()) is not None:
                if waiting.ticket in self.patient and not patient:
                    kept.append(waiting)
                elif not waiting.ticket.done():
                    waiting.ticket.set_exception(errors.PoolUnreachableError(why))
            for waiting in kept:
                queue.restore(waiting)

    def _holder_room(self) -> bool:
        """Whether one more user may hold a connection for long."""
        return self.held_by_holders < limits.max_transaction_connections(self.limit.allowed)

    def _hand_out(self, use: ConnectionRequest | None = None, *, holds: bool = False) -> Held:
        holds = use.holds if use is not None else holds
        self.busy += 1
        chosen = self.idle[-1]
        if use is not None and use.fitness is not None:
            chosen = max(reversed(self.idle), key=use.fitness)
        self.idle.remove(chosen)
        self.returned_at_s.pop(id(chosen), None)
        self.taken[id(chosen)] = _Taken(at_s=time.monotonic(), holds=holds)
        self.held_by_holders += holds
        return chosen

    def _record_holding(self, used: Held) -> None:
        taken = self.taken.pop(id(used), None)
        if taken is None:
            return
        self.usual_holders += HOLDING_WEIGHT * (self.held_by_holders - self.usual_holders)
        self.held_by_holders -= taken.holds
        held_s = time.monotonic() - taken.at_s
        known_s = self.holding_s[taken.holds] or held_s
        self.holding_s[taken.holds] = known_s + HOLDING_WEIGHT * (held_s - known_s)

    def _serve_queue(self) -> None:
        while self.idle and self.busy < self.limit.allowed:
            holds = limits.transaction_goes_first(
                short=self.queue.next_priority(),
                holder=self.holders.next_priority() if self._holder_room() else None,
            )
            waiting = (self.holders if holds else self.queue).take()
            if waiting is None:
                return
            if not waiting.ticket.done():
                waiting.ticket.set_result(self._hand_out(holds=holds))

    def release(self, used: Held, *, clean: bool) -> None:
        """Give a connection back; one that is not provably clean is closed."""
        self.busy -= 1
        self._record_holding(used)
        if not clean or used.broken or self.closed:
            used.close()
            self._open_missing(max(1, self.busy + self.waiting))
        else:
            self.returned_at_s[id(used)] = time.monotonic()
            self.idle.append(used)
        self._serve_queue()

    def trim(self, *, idle_s: float) -> None:
        """Close connections that were not used for a while, the longest unused first."""
        oldest_s = time.monotonic() - idle_s
        while self.idle and self.returned_at_s.get(id(self.idle[0]), oldest_s) < oldest_s:
            closed = self.idle.popleft()
            self.returned_at_s.pop(id(closed), None)
            closed.close()

    def resize(self, size: int) -> None:
        """Hold up to ``size`` connections from now on; surplus idle ones are closed."""
        self.size = size
        self.limit.resize(size)
        self.queue.max_length = self.holders.max_length = size * QUEUE_PER_CONNECTION
        while self.idle and self.held > size:
            self.idle.popleft().close()
        self._serve_queue()

    def record(self, latency_s: float) -> None:
        """Let the concurrency limit follow the server's latency."""
        full = self.busy >= self.limit.allowed
        self.limit.record(latency_s=latency_s, now_s=time.monotonic(), was_full=full)

    def record_timeout(self) -> None:
        """Let the concurrency limit follow a missing answer."""
        self.limit.record_timeout(time.monotonic())

    def close(self) -> None:
        """Close idle connections and refuse waiters; busy ones close on release."""
        self.closed = True
        for task in self.tasks:
            task.cancel()
        while self.idle:
            self.idle.pop().close()
        self.reject_waiters("this instance is no longer connected to the server", patient=True)
