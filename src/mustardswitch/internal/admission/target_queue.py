"""Queue of work that waits for a server, by priority, target and callers' turns."""

import collections
import collections.abc
import dataclasses
import math
import typing

from mustardswitch.internal.admission import in_turn, limits, recent

RATE_DECAY_S = 0.5
"""Age of the arrivals that the rates reflect; below the length of the shortest bursts (3 s) and
above the time between the arrivals of a busy pool."""
CALLER_MEMORY_S = 2.0
"""Time after its latest work for which a caller counts among those that take turns."""
MIN_SHARE = 0.5
"""Least number of connections that a kind of work is taken to have."""
MAX_BETTER_LOAD = 0.95
"""Share of a server's capacity that work of better ranks takes, from which on work behind it is
expected to wait without end."""
CHEAP_REFUSAL_SHARE = 0.25
"""Part of the time to its target for which late work waits for the end of a burst; a later refusal
costs its caller much more than one at once."""
SHED_INTERVAL_S = 0.02
"""Shortest time between two searches for waiting work that will miss its time limit."""

Rank = tuple[int, bool]
"""Priority, and whether the target will be missed; smaller goes first."""
Ticket = typing.TypeVar("Ticket")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Supply:
    """What a server gives the work of one kind at present."""

    hold_s: float
    """Time for which work is expected to hold its connection, which is also that to its answer."""
    connections: float
    """Connections that serve this kind, on average."""
    reserved: int
    """Those of them that only priority 0 may use."""
    delay_s: float = 0.0
    """Time until they serve this kind."""

    def interval_s(self, priority: int) -> float:
        """Return the expected time between two connections that become free for a priority."""
        reserved = self.reserved if priority else 0
        return self.hold_s / max(MIN_SHARE, self.connections - reserved)


class Arrivals:
    """Rates at which work of one rank arrives, and of each of its callers."""

    def __init__(self) -> None:
        self.all = recent.RecentRate(decay_s=RATE_DECAY_S)
        self.by_caller: dict[str, recent.RecentRate] = {}

    def __repr__(self) -> str:
        return f"Arrivals(by_caller={self.by_caller!r})"

    def note(self, caller: str, now_s: float) -> None:
        """Record work of a caller."""
        self.all.note(now_s)
        if caller not in self.by_caller:
            self.by_caller[caller] = recent.RecentRate(decay_s=RATE_DECAY_S)
        self.by_caller[caller].note(now_s)

    def of_others(self, caller: str, now_s: float) -> float:
        """Return the rate of all callers but one."""
        own = self.by_caller.get(caller)
        return max(0.0, self.all.per_s(now_s) - (own.per_s(now_s) if own is not None else 0.0))

    def forget_former(self, now_s: float) -> None:
        """Forget callers without recent work."""
        self.by_caller = {
            caller: rate
            for caller, rate in self.by_caller.items()
            if rate.at_s > now_s - CALLER_MEMORY_S
        }


class TargetQueue(limits.AdmissionQueue[Ticket]):
    """Queue of waiting work of one kind, by rank and in turn between callers.

    ``hold_s`` is the expected time from a connection to the answer; it is updated by ``admit`` and
    decides whether waiting work can still meet its target.
    """

    def __init__(self, *, max_length: int) -> None:
        super().__init__(max_length=max_length)
        self.hold_s = 0.0
        self.arrivals: dict[Rank, Arrivals] = {}
        self.searched_at_s = float("-inf")

    def restore(self, waiting: limits.Waiting[Ticket]) -> None:
        """Queue work again without deciding on it."""
        self.put((waiting.priority, False), waiting)

    def note_arrival(self, rank: Rank, caller: str, now_s: float) -> None:
        """Record work that was admitted, whether or not it has to wait."""
        self.arrivals.setdefault(rank, Arrivals()).note(caller, now_s)

    def admit(
        self, waiting: limits.Waiting[Ticket], *, now_s: float, supply: Supply
    ) -> in_turn.Reason | None:
        """Queue work, or return the reason for which it is refused."""
        self.hold_s = supply.hold_s
        if self.length >= self.max_length:
            return in_turn.Reason.TIME_LIMIT
        own = len(self.queues.get((waiting.priority, False), {}).get(waiting.caller, ()))
        rank = self._rank(waiting, own=own, now_s=now_s, supply=supply)
        if rank is None:
            wait_s = self._expected_wait_s(
                waiting.caller, (waiting.priority, False), own, supply, now_s
            )
            in_time = now_s + wait_s <= waiting.deadline_s
            return in_turn.Reason.LATE if in_time else in_turn.Reason.TIME_LIMIT
        self.put(rank, waiting)
        self.note_arrival(rank, waiting.caller, now_s)
        return None

    def _rank(
        self,
        waiting: limits.Waiting[Ticket],
        *,
        own: int,
        now_s: float,
        supply: Supply,
    ) -> Rank | None:
        """Return the rank at which work is expected to be served in time, or None.

        ``own`` is the number of its caller's statements ahead of it among those that can meet their
        target.
        """
        on_time, late = (waiting.priority, False), (waiting.priority, True)
        wait_s = self._expected_wait_s(waiting.caller, on_time, own, supply, now_s)
        if now_s + wait_s <= min(waiting.deadline_s, waiting.due_s - supply.hold_s):
            return on_time
        own = len(self.queues.get(late, {}).get(waiting.caller, ()))
        wait_s = self._expected_wait_s(waiting.caller, late, own, supply, now_s)
        return late if now_s + wait_s <= waiting.deadline_s else None

    def _expected_wait_s(
        self,
        caller: str,
        rank: Rank,
        own: int,
        supply: Supply,
        now_s: float,
        *,
        lasts: bool = False,
    ) -> float:
        """Return the expected time to a connection behind ``own`` statements of the same caller.

        What arrives meanwhile goes first if its priority is better, or if it is another caller's
        turn. Callers of a rank take turns, so that at most ``own`` + 1 of each other one go first.
        For late work, that is also what arrives in time to meet its target; it is counted only if
        it ``lasts``, since a burst may end at any time.
        """
        interval_s = supply.interval_s(rank[0])
        same = self.queues.get(rank, {})
        better = sum(
            len(queue)
            for other, callers in self.queues.items()
            if other < rank
            for queue in callers.values()
        )
        ahead = better + own
        ahead += sum(min(len(queue), own + 1) for name, queue in same.items() if name != caller)
        load = interval_s * sum(
            arrivals.all.per_s(now_s)
            for other, arrivals in self.arrivals.items()
            if other[0] < rank[0] or (lasts and other < rank)
        )
        if math.isinf(supply.delay_s) or (ahead and load >= MAX_BETTER_LOAD):
            return math.inf
        arrivals = self.arrivals.get(rank)
        others = arrivals.of_others(caller, now_s) if arrivals is not None else 0.0
        turns = (own + 1) * (len(arrivals.by_caller) if arrivals is not None else 1)
        wait_s = min(
            (better + turns) * interval_s / (1.0 - min(load, MAX_BETTER_LOAD)),
            (ahead + 1) * interval_s / (1.0 - min(load + interval_s * others, MAX_BETTER_LOAD)),
        )
        return supply.delay_s + wait_s

    def drain_s(self, supply: Supply, now_s: float) -> float:
        """Return the time in which the queue is expected to become empty."""
        interval_s = supply.interval_s(0)
        load = interval_s * sum(arrivals.all.per_s(now_s) for arrivals in self.arrivals.values())
        if self.length and load >= MAX_BETTER_LOAD:
            return math.inf
        return self.length * interval_s / (1.0 - min(load, MAX_BETTER_LOAD))

    def demote(self, now_s: float) -> None:
        """Move work whose turn has come, and which can no longer meet its target, to a later rank.

        Called before the next work is chosen.
        """
        for rank, callers in list(self.queues.items()):
            if rank[1]:
                continue
            for caller in list(callers):
                while caller in callers and callers[caller][0].due_s < now_s + self.hold_s:
                    waiting = callers[caller][0]
                    self.remove(waiting.ticket)
                    self.put((rank[0], True), waiting)

    def shed(self, *, now_s: float, supply: Supply) -> list[limits.Waiting[Ticket]]:
        """Remove and return waiting work that is no longer expected to be served in time.

        The latest of each caller is looked at first: it has waited least, so that its refusal
        costs least.
        """
        self.hold_s = supply.hold_s
        if now_s < self.searched_at_s + SHED_INTERVAL_S:
            return []
        self.searched_at_s = now_s
        for arrivals in self.arrivals.values():
            arrivals.forget_former(now_s)
        found = []
        for rank, callers in list(self.queues.items()):
            for queue in list(callers.values()):
                if rank[1]:
                    found += self._decide(queue, rank, now_s=now_s, supply=supply)
                while queue:
                    waiting, own = queue[-1], len(queue) - 1
                    kept = self._kept_rank(waiting, rank, own=own, now_s=now_s, supply=supply)
                    if kept == rank:
                        break
                    self.remove(waiting.ticket)
                    if kept is None:
                        found.append(waiting)
                    else:
                        self.put(kept, waiting)
        return found

    def _decide(
        self,
        queue: collections.deque[limits.Waiting[Ticket]],
        rank: Rank,
        *,
        now_s: float,
        supply: Supply,
    ) -> list[limits.Waiting[Ticket]]:
        """Remove and return the late work of a caller that hopes in vain for an end of a burst.

        This is decided once, when its refusal is about to become expensive.
        """
        found = []
        for own, waiting in enumerate(list(queue)):
            left_s = max(0.0, waiting.due_s - waiting.since_s)
            decided_s = waiting.since_s + CHEAP_REFUSAL_SHARE * left_s
            if not decided_s - SHED_INTERVAL_S <= now_s < decided_s + SHED_INTERVAL_S:
                continue
            wait_s = self._expected_wait_s(
                waiting.caller, rank, own - len(found), supply, now_s, lasts=True
            )
            if now_s + wait_s > waiting.deadline_s:
                self.remove(waiting.ticket)
                found.append(waiting)
        return found

    def _kept_rank(
        self,
        waiting: limits.Waiting[Ticket],
        rank: Rank,
        *,
        own: int,
        now_s: float,
        supply: Supply,
    ) -> Rank | None:
        if not rank[1]:
            return self._rank(waiting, own=own, now_s=now_s, supply=supply)
        wait_s = self._expected_wait_s(waiting.caller, rank, own, supply, now_s)
        return rank if now_s + wait_s <= waiting.deadline_s else None
