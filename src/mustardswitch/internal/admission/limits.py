"""Admission to a backend server: a bounded, fair queue and an adaptive concurrency limit."""

import collections
import collections.abc
import dataclasses
import enum
import math
import typing

LATENCY_WEIGHT = 0.1
"""Weight of the newest sample in the moving average of the latency."""
LIMIT_INCREASE = 1.0
"""Statements by which the limit grows each time that a full limit's worth has been answered."""
LIMIT_DECREASE = 0.7
"""Factor by which the limit shrinks."""
LATENCY_TOLERANCE = 3.0
"""Multiple of the baseline latency above which the limit shrinks."""
BASELINE_DRIFT = 1.002
"""Factor by which the baseline latency grows with each answer, so that an old minimum fades."""
MIN_BASELINE_S = 0.002
"""Lower bound in seconds of the baseline latency."""
DECREASE_INTERVAL_S = 0.1
"""Shortest time in seconds between two decreases."""


class Priority(enum.IntEnum):
    """Order in which waiting work is served under overload."""

    URGENT = 0
    """Writes, transactions and reads bound to a session."""
    STALE_LISTING = 1
    """Reads that accept data up to a stated age."""


class ConcurrencyLimit:
    """Adapts the number of concurrent statements to a server's latency.

    The limit grows additively and shrinks multiplicatively. The smallest latency seen, drifting up
    slowly, serves as the baseline of the unloaded server. A fixed limit was rejected: it either
    leaves a healthy server idle or keeps loading a slow one.
    """

    def __init__(self, *, maximum: int) -> None:
        self.maximum = maximum
        self.limit = float(maximum)
        self.average_s = 0.0
        self.baseline_s = 0.0
        self.decreased_at_s = float("-inf")

    def __repr__(self) -> str:
        return f"ConcurrencyLimit(maximum={self.maximum!r})"

    @property
    def allowed(self) -> int:
        """Number of statements that may run at once; at least 1."""
        return max(1, int(self.limit))

    def record(self, *, latency_s: float, now_s: float, was_full: bool) -> None:
        """Update the limit from one answered statement.

        The limit grows only if it ``was_full``: an unused limit says nothing about the server.
        """
        self.average_s = self.average_s or latency_s
        self.average_s += LATENCY_WEIGHT * (latency_s - self.average_s)
        drifted_baseline_s = self.baseline_s * BASELINE_DRIFT
        self.baseline_s = min(latency_s, drifted_baseline_s) if self.baseline_s else latency_s
        ceiling_s = LATENCY_TOLERANCE * max(self.baseline_s, MIN_BASELINE_S)
        if self.average_s > ceiling_s:
            self._decrease(now_s)
        elif was_full:
            self.limit = min(self.maximum, self.limit + LIMIT_INCREASE / self.limit)

    def resize(self, maximum: int) -> None:
        """Set the upper bound of the limit; unless lowered, the bound also becomes the limit."""
        self.limit = min(self.limit, maximum) if maximum < self.maximum else float(maximum)
        self.maximum = maximum

    def record_timeout(self, now_s: float) -> None:
        """Lower the limit because a statement was not answered in time."""
        self._decrease(now_s)

    def _decrease(self, now_s: float) -> None:
        if now_s - self.decreased_at_s < DECREASE_INTERVAL_S:
            return
        self.decreased_at_s = now_s
        self.limit = max(1.0, self.limit * LIMIT_DECREASE)


Ticket = typing.TypeVar("Ticket")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Waiting(typing.Generic[Ticket]):
    """A statement that waits for admission."""

    ticket: Ticket
    """Identifies the statement; compared by identity."""
    caller: str
    priority: int
    """Lower values are served first, for example a ``Priority``."""
    deadline_s: float
    """Time in seconds by which the statement has to be finished."""
    holds: bool = False
    """Whether it keeps its connection while its user pauses, as a transaction does."""
    since_s: float = 0.0
    """Time in seconds at which it began to wait."""
    due_s: float = math.inf
    """Time in seconds by which its operation has to be answered to meet the target of its route."""


MIN_CONNECTIONS_TO_RESERVE = 3
"""Number of connections from which on one is reserved for statements outside transactions."""


def max_transaction_connections(connections: int) -> int:
    """Return how many connections transactions may hold at once.

    While replicas lag, everything needs the primary, and transactions that pause hold most of its
    connections. Without a reserved connection, short statements would be rejected, although a
    connection serves ten times as many of them as of transactions.
    """
    return connections - 1 if connections >= MIN_CONNECTIONS_TO_RESERVE else connections


def transaction_goes_first(*, statement: int | None, transaction: int | None) -> bool:
    """Return whether the next waiting transaction is served before the next short statement.

    Both are given as the priority of the next one, None when none waits. At the same
    priority the short statement is served first.
    """
    return transaction is not None and (statement is None or transaction < statement)


class AdmissionQueue(typing.Generic[Ticket]):
    """Queue of waiting statements, by priority and round robin between callers.

    A statement that is not expected to finish before its deadline is rejected at once, when it is
    still certain that it has not run, instead of timing out later.
    """

    def __init__(self, *, max_length: int) -> None:
        self.max_length = max_length
        self.length = 0
        self.queues: dict[
            typing.Any, collections.OrderedDict[str, collections.deque[Waiting[Ticket]]]
        ] = {}
        """Waiting statements by rank, which is their priority unless a subclass refines it."""

    def __repr__(self) -> str:
        return f"AdmissionQueue(max_length={self.max_length!r})"

    def offer(
        self,
        waiting: Waiting[Ticket],
        *,
        now_s: float,
        service_s: float,
        concurrency: int,
    ) -> bool:
        """Queue a statement; return False if it is rejected.

        It is rejected if the queue is full, or if it would miss its deadline when each statement
        ahead takes ``service_s`` seconds on one of ``concurrency`` connections.
        """
        ahead = sum(
            len(queue)
            for priority, callers in self.queues.items()
            if priority <= waiting.priority
            for queue in callers.values()
        )
        expected_s = (ahead + 1) * service_s / max(1, concurrency)
        if self.length >= self.max_length or now_s + expected_s > waiting.deadline_s:
            return False
        self.put(waiting.priority, waiting)
        return True

    def restore(self, waiting: Waiting[Ticket]) -> None:
        """Queue a statement without checking its deadline or the length of the queue."""
        self.put(waiting.priority, waiting)

    def put_back(self, waiting: Waiting[Ticket]) -> None:
        """Queue a statement again that was taken and could not be served: it is the next one."""
        self.restore(waiting)
        for callers in self.queues.values():
            queue = callers.get(waiting.caller)
            if queue and queue[-1] is waiting:
                queue.rotate(1)
                callers.move_to_end(waiting.caller, last=False)
                return

    def put(self, rank: typing.Any, waiting: Waiting[Ticket]) -> None:
        """Queue a statement at a rank; smaller ranks are served first, usually priorities."""
        callers = self.queues.get(rank)
        if callers is None:
            callers = self.queues[rank] = collections.OrderedDict()
            self.queues = dict(sorted(self.queues.items()))
        callers.setdefault(waiting.caller, collections.deque()).append(waiting)
        self.length += 1

    def next_priority(self) -> typing.Any:
        """Return the rank of the next statement; None if none waits."""
        return next((priority for priority, callers in self.queues.items() if callers), None)

    def take(
        self, *, preferred: collections.abc.Container[str] = frozenset()
    ) -> Waiting[Ticket] | None:
        """Remove and return the next statement; None if none waits.

        Among those of the highest priority, one of a ``preferred`` caller goes first.
        """
        for callers in self.queues.values():
            if not callers:
                continue
            first = next(iter(callers))
            caller = next((each for each in callers if each in preferred), first)
            queue = callers[caller]
            waiting = queue.popleft()
            if not queue:
                del callers[caller]
            elif caller == first:
                callers.move_to_end(caller)
            self.length -= 1
            return waiting
        return None

    def remove(self, ticket: Ticket) -> bool:
        """Remove a statement that no longer waits; return whether it was queued."""
        for callers in self.queues.values():
            for caller, queue in callers.items():
                for waiting in queue:
                    if waiting.ticket is ticket:
                        queue.remove(waiting)
                        self.length -= 1
                        if not queue:
                            del callers[caller]
                        return True
        return False
