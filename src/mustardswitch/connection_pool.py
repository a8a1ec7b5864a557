"""A bounded pool of connections to one backend server.

Short statements and transactions wait for a connection in two separate fair queues.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import math
import time
import typing

from mustardswitch.backends import errors
from mustardswitch.internal.admission import connection_use, in_turn, limits, queueing

REOPEN_DELAY_S = 0.05
"""Base of the pause before a connection is opened again, which doubles with each failure in a row,
up to five times."""
MAX_REOPEN_DELAY_S = 1.0
"""Longest pause before a connection is opened again."""
MAX_DEMAND_DELAY_S = 0.25
"""Longest pause after a failure before a waiting statement may cause another attempt."""
RECHECK_S = 0.05
"""Interval at which work that waits beside free connections is tried again."""
QUEUE_PER_CONNECTION = 64
"""Statements that may wait in each of the two queues, per connection of the pool's size."""


class Connection(typing.Protocol):
    """The interface of pooled connections."""

    broken: bool
    """Whether the connection can no longer be used."""

    def close(self) -> None:
        """Close the connection without waiting."""


Held = typing.TypeVar("Held", bound=Connection)
Opener = collections.abc.Callable[[], collections.abc.Awaitable[Held]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionRequest:
    """A request for a connection: its caller, priority and deadline."""

    caller: str
    """Callers of one priority are served in turn."""
    priority: int
    """Smaller is served first."""
    deadline_s: float
    """Time by which a connection must be handed out, on the monotonic clock of this instance."""
    waits_for_server: bool = False
    """Whether to wait while the server is unreachable, until it is known to have lost its role."""
    holds: bool = False
    """Whether the connection is kept while its user pauses, as by a transaction."""
    due_s: float = math.inf
    """Time by which its operation has to be answered to meet the target of its route, on the
    monotonic clock of this instance."""
    fitness: collections.abc.Callable[[typing.Any], int] | None = None
    """Rates the idle connections; the highest is chosen, and with None the last one used."""


RefusalCallback = collections.abc.Callable[[in_turn.Reason, ConnectionRequest], None]


def _leave(connection: object) -> None:
    """Leave an unused connection as it is."""


class ConnectionPool(typing.Generic[Held]):
    """Holds up to ``size`` connections to a backend server.

    ``opener`` opens one connection, or raises a ``BackendError``. After failures in a row the pause
    before the next attempt doubles up to ``reopen_limit_s``. With ``by_target`` work is admitted
    and ordered by what its callers need; ``on_refusal`` is called for what is refused.
    """

    def __init__(
        self,
        *,
        name: str,
        opener: Opener[Held],
        size: int,
        reopen_limit_s: float = MAX_REOPEN_DELAY_S,
        by_target: bool = False,
        on_refusal: RefusalCallback = lambda reason, request: None,
    ) -> None:
        self.name = name
        self.opener = opener
        self.size = size
        self.reopen_limit_s = reopen_limit_s
        self.idle: collections.deque[Held] = collections.deque()
        self.use = connection_use.ConnectionUse(
            outlier_factor=queueing.OUTLIER_FACTOR if by_target else math.inf
        )
        """What the connections are used for, by their ``id``; one that is opened for a waiting
        statement is in use from then on."""
        self.on_unused: collections.abc.Callable[[Held], None] = _leave
        """Called with a connection that returns to the pool, before it may be handed out again."""
        self.returned_at_s: dict[int, float] = {}
        """When each idle connection was last returned (``time.monotonic``), by its ``id``."""
        self.busy = 0
        """Number of connections that are handed out."""
        self.opening = 0
        """Number of connections that are being opened."""
        self.limit = limits.ConcurrencyLimit(maximum=size)
        self.by_target = by_target
        self.on_refusal = on_refusal
        order = queueing.ByTarget if by_target else in_turn.InTurn
        self.admission: in_turn.InTurn[asyncio.Future[Held]] = order(
            max_length=size * QUEUE_PER_CONNECTION
        )
        self.recheck: asyncio.TimerHandle | None = None
        self.waiting_for_server: set[asyncio.Future[Held]] = set()
        """Waiters whose request has ``waits_for_server``."""
        self.closed = False
        self.failures = 0
        """Attempts to open a connection that failed in a row."""
        self.retry_at_s = float("-inf")
        """Earliest time of the next attempt after one that failed (``time.monotonic``)."""
        self.reopens_unused = True
        """Whether to open a connection again although no statement waits for one. An instance that
        only stands in for the gateways of a service does not, since a server counts attempts."""
        self.tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f"ConnectionPool(name={self.name!r}, opener={self.opener!r}, size={self.size!r})"

    @property
    def held(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self.idle) + self.busy + self.opening

    @property
    def waiting(self) -> int:
        """Number of statements that wait for a connection."""
        return self.admission.length

    @property
    def room(self) -> int:
        """Number of waiting requests that may be served now."""
        return max(0, min(len(self.idle), self.limit.allowed - self.busy))

    def warm(self) -> None:
        """Open up to two connections ahead of the first statement."""
        self._open_missing(min(self.size, 2))

    def would_open(self, wanted: int) -> bool:
        """Return whether a connection is opened now so that ``wanted`` are held."""
        if self.closed or self.opening or self.held >= min(wanted, self.size):
            return False
        return time.monotonic() >= self.retry_at_s

    def _open_missing(self, wanted: int) -> None:
        """Start opening connections, one at a time to avoid a stampede on a returning server."""
        if not self.would_open(wanted):
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
                self.reject_waiters("the server is unreachable", include_waiting_for_server=False)
            await self._wait_and_reopen(wanted)
            return
        except BaseException:
            self.opening -= 1
            raise
        self.opening -= 1
        self.failures = 0
        self.retry_at_s = float("-inf")
        if self.closed or self.held >= self.size:
            opened.close()
            return
        self.idle.append(opened)
        self._serve_queue()
        self._open_missing(max(wanted, self.busy + self.waiting))

    async def _wait_and_reopen(self, wanted: int) -> None:
        delay_s = min(self.reopen_limit_s, REOPEN_DELAY_S * 2 ** min(self.failures, 5))
        self.retry_at_s = time.monotonic() + min(delay_s, MAX_DEMAND_DELAY_S)
        await asyncio.sleep(delay_s)
        self.retry_at_s = float("-inf")
        if self.waiting or (self.held < 1 and self.reopens_unused):
            self._open_missing(wanted)

    async def acquire(self, request: ConnectionRequest) -> Held:
        """Return a connection.

        Raises PoolRefusedError: as PoolFullError when the deadline cannot be met, and as
        PoolUnreachableError when the server is unreachable or the pool is closed.
        """
        if self.closed:
            raise errors.PoolUnreachableError("this instance is no longer connected to the server")
        self._check_time_left(request)
        chosen = self.free_connection(request)
        if chosen is not None:
            self._note_served_at_once(request)
            return self._hand_out(chosen, holds=request.holds, priority=request.priority)
        self._open_missing(self.busy + self.waiting + 1)
        return await self._wait_in_queue(request)

    def free_connection(self, request: ConnectionRequest) -> Held | None:
        """Return the idle connection that a request gets at once; None if it has to wait."""
        free = self.busy < self.limit.allowed and not self.waiting
        if not (self.idle and free and self._has_room(request)):
            return None
        if request.fitness is None:
            return self.idle[-1]
        return max(reversed(self.idle), key=request.fitness)

    def is_unreachable_for(self, request: ConnectionRequest) -> bool:
        """Return whether a request that would have to wait is refused as unreachable."""
        unreachable = bool(self.failures) and self.held <= self.opening
        return unreachable and not request.waits_for_server

    async def _wait_in_queue(self, request: ConnectionRequest) -> Held:
        if self.is_unreachable_for(request):
            raise errors.PoolUnreachableError("the server is unreachable")
        future = asyncio.get_running_loop().create_future()
        if request.waits_for_server:
            self.waiting_for_server.add(future)
        now_s = time.monotonic()
        reason = self.offer(self.admission, request, future, now_s)
        self._shed(now_s)
        if reason is not None:
            self.waiting_for_server.discard(future)
            self.on_refusal(reason, request)
            count = self.admission.queue(holds=request.holds).length
            raise errors.PoolFullError(f"{count} statements are waiting")
        self._serve_queue()
        self._recheck_later()
        received: Held | None = None
        try:
            async with asyncio.timeout(request.deadline_s - now_s):
                received = await future
            return received
        except errors.PoolFullError:
            self.on_refusal(in_turn.Reason.DISPLACED, request)
            raise
        except TimeoutError as error:
            self.on_refusal(in_turn.Reason.WAITED, request)
            raise errors.PoolFullError("no connection became free before the deadline") from error
        finally:
            self.waiting_for_server.discard(future)
            if received is None:
                self._abandon(future)

    def offer(
        self,
        admission: in_turn.InTurn[asyncio.Future[Held]],
        request: ConnectionRequest,
        ticket: asyncio.Future[Held],
        now_s: float,
    ) -> in_turn.Reason | None:
        """Queue a request in ``admission``, or return the reason for which it is refused."""
        waiting = limits.Waiting(
            ticket=ticket,
            caller=request.caller,
            priority=request.priority,
            deadline_s=request.deadline_s,
            holds=request.holds,
            since_s=now_s,
            due_s=request.due_s,
        )
        return admission.admit(
            waiting,
            use=self.use,
            allowed=self.limit.allowed,
            average_s=self.limit.average_s,
            now_s=now_s,
        )

    def _check_time_left(self, request: ConnectionRequest) -> None:
        if not self.admission.has_time(request.deadline_s, time.monotonic()):
            self.on_refusal(in_turn.Reason.TIME_LIMIT, request)
            raise errors.PoolFullError("too little time is left for an answer")

    def _has_room(self, request: ConnectionRequest) -> bool:
        return self.admission.has_room(
            self.use,
            priority=request.priority,
            holds=request.holds,
            allowed=self.limit.allowed,
            now_s=time.monotonic(),
        )

    def _note_served_at_once(self, request: ConnectionRequest) -> None:
        self.admission.note_served_at_once(
            request.caller,
            priority=request.priority,
            holds=request.holds,
            now_s=time.monotonic(),
        )

    def _shed(self, now_s: float) -> None:
        """Refuse waiting statements that will certainly miss their time limits."""
        for waiting in self.admission.shed(self.use, allowed=self.limit.allowed, now_s=now_s):
            if not waiting.ticket.done():
                waiting.ticket.set_exception(errors.PoolFullError("other statements go first"))

    def _abandon(self, future: asyncio.Future[Held]) -> None:
        """Remove a waiter that stopped waiting, and release a connection that it was given.

        A connection may be handed out at the moment at which the waiter's deadline passes.
        """
        if self.admission.remove(future):
            return
        if future.done() and not future.cancelled() and future.exception() is None:
            self.release(future.result(), clean=True)

    def reject_waiters(self, why: str, *, include_waiting_for_server: bool) -> None:
        """Fail waiting statements with PoolUnreachableError, so that they are run elsewhere.

        Those that wait while the server is unreachable (``ConnectionRequest.waits_for_server``) are
        failed only when ``include_waiting_for_server`` is true.
        """
        for waiting in self.admission.take_all():
            if waiting.ticket in self.waiting_for_server and not include_waiting_for_server:
                self.admission.restore(waiting)
            elif not waiting.ticket.done():
                waiting.ticket.set_exception(errors.PoolUnreachableError(why))

    def _hand_out(
        self, chosen: Held, *, holds: bool, priority: int, since_s: float | None = None
    ) -> Held:
        """Hand out a connection; it counts as used from ``since_s``, by default from now on."""
        now_s = time.monotonic()
        self.busy += 1
        self.idle.remove(chosen)
        self.returned_at_s.pop(id(chosen), None)
        hold = connection_use.Hold(
            at_s=now_s if since_s is None else since_s, holds=holds, priority=priority
        )
        self.use.begin(id(chosen), hold)
        self.admission.note_use(self.use, now_s)
        return chosen

    def _take_waiting(
        self, preferred: collections.abc.Container[str] = frozenset()
    ) -> limits.Waiting[asyncio.Future[Held]] | None:
        return self.admission.take(
            self.use,
            allowed=self.limit.allowed,
            now_s=time.monotonic(),
            preferred=preferred,
        )

    def serve_waiting(self) -> None:
        """Hand out connections to waiting statements after the limit may have risen."""
        if not self.closed:
            self._serve_queue()

    def _serve_queue(self) -> None:
        while self.room:
            waiting = self._take_waiting()
            if waiting is None:
                return
            if not waiting.ticket.done():
                link = self._hand_out(self.idle[-1], holds=waiting.holds, priority=waiting.priority)
                waiting.ticket.set_result(link)

    def _recheck_later(self) -> None:
        """Serve the queue again soon if work waits beside connections that are kept free.

        What is kept free shrinks with time, so that no release may come before that.
        """
        free = self.by_target and self.busy + self.opening < self.limit.allowed
        if free and self.waiting and self.recheck is None and not self.closed:
            self.recheck = asyncio.get_running_loop().call_later(RECHECK_S, self._recheck)

    def _recheck(self) -> None:
        self.recheck = None
        self._serve_queue()
        self._recheck_later()

    def release(self, connection: Held, *, clean: bool) -> None:
        """Return a connection to the pool; one that is not known to be clean is closed."""
        self.busy -= 1
        now_s = time.monotonic()
        self.use.end(id(connection), now_s)
        self.admission.note_use(self.use, now_s)
        surplus = self.held >= self.size
        if not clean or connection.broken or self.closed or surplus:
            self._close(connection)
            self._open_missing(max(1, self.busy + self.waiting))
        else:
            self.on_unused(connection)
            self.returned_at_s[id(connection)] = time.monotonic()
            self.idle.append(connection)
        self._serve_queue()
        self._recheck_later()

    def _close(self, connection: Held) -> None:
        """Close a connection that is in use by no one, and forget it."""
        self.returned_at_s.pop(id(connection), None)
        connection.close()

    def trim(self, *, idle_s: float) -> None:
        """Close connections that were not used for ``idle_s``, the longest unused first."""
        oldest_s = time.monotonic() - idle_s
        while self.idle and self.returned_at_s.get(id(self.idle[0]), oldest_s) < oldest_s:
            self._close(self.idle.popleft())

    def close_idle(self) -> None:
        """Close all connections that nobody uses."""
        while self.idle:
            self._close(self.idle.popleft())

    def resize(self, size: int) -> None:
        """Hold up to ``size`` connections from now on.

        Surplus idle ones are closed, and those in use when they are released.
        """
        self.size = size
        self.limit.resize(size)
        self.admission.resize(size * QUEUE_PER_CONNECTION)
        while self.idle and self.held > size:
            self._close(self.idle.popleft())
        self._serve_queue()

    def record(self, latency_s: float) -> None:
        """Adapt the concurrency limit to the latency of an answered statement."""
        full = self.busy >= self.limit.allowed
        self.limit.record(latency_s=latency_s, now_s=time.monotonic(), was_full=full)

    def record_timeout(self) -> None:
        """Decrease the concurrency limit after a missing answer."""
        self.limit.record_timeout(time.monotonic())

    def close(self) -> None:
        """Close idle connections and reject waiters; busy connections are closed on release."""
        self.closed = True
        for task in self.tasks:
            task.cancel()
        self.close_idle()
        self.reject_waiters(
            "this instance is no longer connected to the server", include_waiting_for_server=True
        )
