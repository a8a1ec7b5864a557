"""Admission to a backend server: a bounded, fair queue and an adaptive concurrency limit."""

import collections
import dataclasses
import enum
import typing

LATENCY_WEIGHT = 0.1
LIMIT_INCREASE = 1.0
LIMIT_DECREASE = 0.7
LATENCY_TOLERANCE = 3.0
MIN_LATENCY_DRIFT = 1.002
LATENCY_FLOOR_S = 0.002
DECREASE_INTERVAL_S = 0.1


class Priority(enum.IntEnum):
    """Which waiting work goes first under overload."""

    URGENT = 0
    """Writes, transactions and reads bound to a session."""
    STALE_LISTING = 1
    """Reads that accept data of a stated age."""


class ConcurrencyLimit:
    """Follows a server's latency: additive increase, multiplicative decrease.

    The smallest latency seen, drifting up slowly, stands for the unloaded server. Weighed against
    a fixed limit, which either leaves a healthy server idle or keeps loading a slow one.
    """

    def __init__(self, *, maximum: int) -> None:
        self.maximum = maximum
        self.limit = float(maximum)
        self.average_s = 0.0
        self.smallest_s = 0.0
        self.decreased_at_s = float("-inf")

    def __repr__(self) -> str:
        return f"ConcurrencyLimit(maximum={self.maximum!r})"

    @property
    def allowed(self) -> int:
        """How many statements may be out at once."""
        return max(1, int(self.limit))

    def record(self, *, latency_s: float, now_s: float, was_full: bool) -> None:
        """Take one answered statement into account."""
        self.average_s = self.average_s or latency_s
        self.average_s += LATENCY_WEIGHT * (latency_s - self.average_s)
        drifted_s = self.smallest_s * MIN_LATENCY_DRIFT
        self.smallest_s = min(latency_s, drifted_s) if self.smallest_s else latency_s
        ceiling_s = LATENCY_TOLERANCE * max(self.smallest_s, LATENCY_FLOOR_S)
        if self.average_s > ceiling_s:
            self._decrease(now_s)
        elif was_full:
            self.limit = min(self.maximum, self.limit + LIMIT_INCREASE / self.limit)

    def resize(self, maximum: int) -> None:
        """Allow up to ``maximum`` from now on."""
        self.limit = min(self.limit, maximum) if maximum < self.maximum else float(maximum)
        self.maximum = maximum

    def record_timeout(self, now_s: float) -> None:
        """Take a statement into account that was not answered in time."""
        self._decrease(now_s)

    def _decrease(self, now_s: float) -> None:
        if now_s - self.decreased_at_s < DECREASE_INTERVAL_S:
            return
        self.decreased_at_s = now_s
        self.limit = max(1.0, self.limit * LIMIT_DECREASE)


Ticket = typing.TypeVar("Ticket")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Waiting(typing.Generic[Ticket]):
    """One statement in the queue."""

    ticket: Ticket
    caller: str
    priority: int
    """Smaller goes first, for example a ``Priority``."""
    deadline_s: float


HOLDERS_FROM = 3
"""Connections from which on one is left to statements that do not hold it."""


def max_transaction_connections(connections: int) -> int:
    """Return how many connections transactions may hold at once.

    Answers the load pattern of replicas that lag: everything needs the primary, transactions pause
    on most of its connections, and short statements, of which a connection serves ten times as
    many, would be refused.
    """
    return connections - 1 if connections >= HOLDERS_FROM else connections


def transaction_goes_first(*, short: int | None, holder: int | None) -> bool:
    """Tell whether a transaction that waits is served before a short statement that waits.

    Both are given by the priority of the next one, None when none waits; at the same priority the
    short statement goes first.
    """
    return holder is not None and (short is None or holder < short)


class AdmissionQueue(typing.Generic[Ticket]):
    """Waiting statements by priority, round robin between callers.

    A statement is refused at once when its expected wait passes its deadline, so that it is
    certainly not run, instead of timing out later.
    """

    def __init__(self, *, max_length: int) -> None:
        self.max_length = max_length
        self.length = 0
        self.queues: dict[int, collections.OrderedDict[str, collections.deque[Waiting[Ticket]]]] = (
            {}
        )

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
        """Queue a statement; False refuses it."""
        ahead = sum(
            len(queue)
            for priority, callers in self.queues.items()
            if priority <= waiting.priority
            for queue in callers.values()
        )
        expected_s = (ahead + 1) * service_s / max(1, concurrency)
        if self.length >= self.max_length or now_s + expected_s > waiting.deadline_s:
            return False
        self.restore(waiting)
        return True

    def restore(self, waiting: Waiting[Ticket]) -> None:
        """Queue a statement without asking whether it can be served in time."""
        callers = self.queues.get(waiting.priority)
        if callers is None:
            callers = self.queues[waiting.priority] = collections.OrderedDict()
            self.queues = dict(sorted(self.queues.items()))
        callers.setdefault(waiting.caller, collections.deque()).append(waiting)
        self.length += 1

    def next_priority(self) -> int | None:
        """Return the priority of the statement whose turn it is; None when none waits."""
        return next((priority for priority, callers in self.queues.items() if callers), None)

    def take(self) -> Waiting[Ticket] | None:
        """Remove the statement whose turn it is."""
        for callers in self.queues.values():
            if not callers:
                continue
            caller, queue = next(iter(callers.items()))
            waiting = queue.popleft()
            if queue:
                callers.move_to_end(caller)
            else:
                del callers[caller]
            self.length -= 1
            return waiting
        return None

    def remove(self, ticket: Ticket) -> bool:
        """Remove a statement that no longer waits."""
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
