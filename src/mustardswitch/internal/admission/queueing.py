"""Decides which work for a server is admitted, and in which order it gets a connection.

Order: by the priority of the route; within a priority, work that can still be answered within its
target before work that cannot; then in turn between callers. Work that would miss its time limit is
refused at once, when a refusal costs its caller least, and so is late work for which the work ahead
of it leaves no capacity. Connections are kept free for priority 0 and for short statements, so that
work which holds its connection for long does not stop the rest.
"""

import collections.abc
import dataclasses
import math
import typing

from mustardswitch.internal.admission import connection_use, in_turn, limits, recent

INITIAL_HOLD_S = {False: 0.02, True: 0.2}
"""Time for which a single statement, and a transaction (True), is assumed to hold a connection
until one was measured: the usual work of a statement, and ten times as long."""
UNFINISHED_SHARE = 0.5
"""Fraction of the mean age of the holds in progress by which the expected hold rises at least. The
moving average knows only holds that have ended, which a server that stalls and transactions that
stay idle do not reach for seconds."""
RATE_DECAY_S = 0.5
"""Age of the arrivals that the rates reflect; below the length of the shortest bursts (3 s) and
above the time between the arrivals of a busy pool."""
CALLER_MEMORY_S = 2.0
"""Time after its latest work for which a caller counts among those that take turns."""
USE_DECAY_S = 1.0
"""Age of the use of connections by which reserves are sized."""
URGENT_MEMORY_S = 5.0
"""Time after its latest work of priority 0 in which a pool keeps a reserve for it."""
MIN_CONNECTIONS_TO_DIVIDE = 4
"""Connections from which on one is reserved for priority 0, and one is the transactions' turn."""
URGENT_DIVISOR = 4
"""Largest reserve for priority 0, as a divisor of the connections."""
STATEMENT_DIVISOR = 2
"""Largest reserve for short statements, as a divisor of the connections."""
TRANSACTION_TURN_DIVISOR = 4
"""While transactions hold less than this part of the connections, a waiting transaction goes before
short statements of its rank, which otherwise keep it waiting as long as they fill the server."""
MAX_BETTER_LOAD = 0.95
"""Share of a server's capacity that work of better ranks takes, from which on work behind it is
expected to wait without end."""
SHED_INTERVAL_S = 0.02
"""Shortest time between two searches for waiting work that will miss its time limit."""
ADMISSION_SLACK = 1.2
"""Factor on the expected wait of work that arrives; only when it can meet its target even so, it is
queued with what can. The moving averages vary by about this factor, and what is admitted in vain is
refused only after it has waited."""

Rank = tuple[int, bool]
"""Priority, and whether the target will be missed; smaller goes first."""
Ticket = typing.TypeVar("Ticket")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Supply:
    """What a server gives the work of one kind at present."""

    hold_s: float
    """Time for which work is expected to hold its connection, which is also that to its answer."""
    connections: int
    """Connections that serve this kind."""
    reserved: int
    """Those of them that only priority 0 may use."""

    def interval_s(self, priority: int) -> float:
        """Return the expected time between two connections that become free for a priority."""
        reserved = self.reserved if priority else 0
        return self.hold_s / max(1, self.connections - reserved)


def expected_hold_s(
    *, average_s: float, holds: bool, ages_s: collections.abc.Sequence[float]
) -> float:
    """Return the expected time of a hold, from those that ended and those in progress."""
    ended_s = average_s or INITIAL_HOLD_S[holds]
    unfinished_s = sum(ages_s) / len(ages_s) if ages_s else 0.0
    return max(ended_s, UNFINISHED_SHARE * unfinished_s)


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
        rank = self._rank(waiting, own=own, now_s=now_s, supply=supply, slack=ADMISSION_SLACK)
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
        slack: float,
    ) -> Rank | None:
        """Return the rank at which work is expected to be served in time, or None.

        ``own`` is the number of its caller's statements ahead of it among those that can meet their
        target, ``slack`` the factor on the expected wait from which on it counts as one of them.
        """
        on_time, late = (waiting.priority, False), (waiting.priority, True)
        wait_s = self._expected_wait_s(waiting.caller, on_time, own, supply, now_s)
        if now_s + wait_s <= waiting.deadline_s and (
            now_s + slack * wait_s + supply.hold_s <= waiting.due_s
        ):
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
    ) -> float:
        """Return the expected time to a connection behind ``own`` statements of the same caller.

        What arrives meanwhile goes first if its rank is better, or if it is another caller's turn.
        Callers of a rank take turns, so that at most ``own`` + 1 of each other one go first.
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
            arrivals.all.per_s(now_s) for other, arrivals in self.arrivals.items() if other < rank
        )
        if ahead and load >= MAX_BETTER_LOAD:
            return math.inf
        arrivals = self.arrivals.get(rank)
        others = arrivals.of_others(caller, now_s) if arrivals is not None else 0.0
        turns = (own + 1) * (len(arrivals.by_caller) if arrivals is not None else 1)
        wait_s = min(
            (better + turns) * interval_s / (1.0 - min(load, MAX_BETTER_LOAD)),
            (ahead + 1) * interval_s / (1.0 - min(load + interval_s * others, MAX_BETTER_LOAD)),
        )
        return wait_s

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
            return self._rank(waiting, own=own, now_s=now_s, supply=supply, slack=1.0)
        wait_s = self._expected_wait_s(waiting.caller, rank, own, supply, now_s)
        return rank if now_s + wait_s <= waiting.deadline_s else None


class Reserves:
    """Keeps connections free for priority 0 and for short statements, by their recent use."""

    def __init__(self) -> None:
        self.urgent = recent.RecentLevel(decay_s=USE_DECAY_S)
        self.statements = recent.RecentLevel(decay_s=USE_DECAY_S)
        self.urgent_at_s = float("-inf")

    def __repr__(self) -> str:
        return "Reserves()"

    def note(self, use: connection_use.ConnectionUse, now_s: float) -> None:
        """Record a change of what the connections are used for."""
        urgent = sum(hold.priority == 0 for hold in use.held.values())
        self.urgent.note(urgent, now_s)
        self.statements.note(len(use.held) - use.transactions, now_s)
        if urgent:
            self.urgent_at_s = now_s

    def for_urgent(self, allowed: int, now_s: float) -> int:
        """Return how many connections only priority 0 may use."""
        if allowed < MIN_CONNECTIONS_TO_DIVIDE or now_s > self.urgent_at_s + URGENT_MEMORY_S:
            return 0
        used = math.ceil(self.urgent.average(now_s))
        return max(1, min(used, allowed // URGENT_DIVISOR))

    def transaction_room(self, allowed: int, now_s: float) -> int:
        """Return how many connections transactions may hold.

        One more stays free than the short statements have used lately, so that their reserve
        can grow with their number.
        """
        if allowed < limits.MIN_CONNECTIONS_TO_RESERVE:
            return allowed
        used = math.ceil(self.statements.average(now_s)) + 1
        return allowed - max(1, min(used, allowed // STATEMENT_DIVISOR))


class ByTarget(in_turn.InTurn[Ticket]):
    """Admission and order by what the callers need; see the module."""

    def __init__(self, *, max_length: int) -> None:
        super().__init__(max_length=max_length)
        self.reserves = Reserves()

    @staticmethod
    def queue_type() -> type[limits.AdmissionQueue]:
        """Return the type of the queues."""
        return TargetQueue

    def _supply(
        self, use: connection_use.ConnectionUse, *, holds: bool, allowed: int, now_s: float
    ) -> Supply:
        if not holds:
            connections = allowed - max(use.transactions, round(use.average_transactions))
        elif self.statements.length:
            connections = allowed // TRANSACTION_TURN_DIVISOR
        else:
            connections = self.reserves.transaction_room(allowed, now_s)
        hold_s = expected_hold_s(
            average_s=use.average_holding_s[holds],
            holds=holds,
            ages_s=use.ages_s(now_s, holds=holds),
        )
        return Supply(
            hold_s=hold_s,
            connections=connections,
            reserved=self.reserves.for_urgent(allowed, now_s),
        )

    def admit(
        self,
        waiting: limits.Waiting[Ticket],
        *,
        use: connection_use.ConnectionUse,
        allowed: int,
        average_s: float,
        now_s: float,
    ) -> in_turn.Reason | None:
        """Queue work, or return the reason for which it is refused."""
        supply = self._supply(use, holds=waiting.holds, allowed=allowed, now_s=now_s)
        return self.queue(holds=waiting.holds).admit(waiting, now_s=now_s, supply=supply)

    def has_time(self, deadline_s: float, now_s: float) -> bool:
        """Return whether work with a time limit may use a connection that is free."""
        return now_s < deadline_s

    def has_room(
        self,
        use: connection_use.ConnectionUse,
        *,
        priority: int,
        holds: bool,
        allowed: int,
        now_s: float,
    ) -> bool:
        """Return whether work may use one of the free connections."""
        reserved = self.reserves.for_urgent(allowed, now_s) if priority else 0
        others = [hold for hold in use.held.values() if hold.priority]
        if priority and len(others) >= allowed - reserved:
            return False
        if not holds:
            return True
        room = self.reserves.transaction_room(allowed, now_s)
        if use.transactions >= room:
            return False
        return not priority or sum(hold.holds for hold in others) < max(1, room - reserved)

    def note_use(self, use: connection_use.ConnectionUse, now_s: float) -> None:
        """Record that the use of the connections has changed."""
        self.reserves.note(use, now_s)

    def note_served_at_once(self, caller: str, *, priority: int, holds: bool, now_s: float) -> None:
        """Record work that found a free connection."""
        self.queue(holds=holds).note_arrival((priority, False), caller, now_s)

    def shed(
        self, use: connection_use.ConnectionUse, *, allowed: int, now_s: float
    ) -> list[limits.Waiting[Ticket]]:
        """Remove and return waiting work that will certainly miss its time limit."""
        return [
            waiting
            for holds in (False, True)
            for waiting in self.queue(holds=holds).shed(
                now_s=now_s,
                supply=self._supply(use, holds=holds, allowed=allowed, now_s=now_s),
            )
        ]

    def take(
        self,
        use: connection_use.ConnectionUse,
        *,
        allowed: int,
        now_s: float,
        preferred: collections.abc.Container[str] = frozenset(),
    ) -> limits.Waiting[Ticket] | None:
        """Remove and return what is served next; None when nothing waits or may be served."""
        ranks = {}
        for holds in (False, True):
            queue = self.queue(holds=holds)
            queue.demote(now_s)
            rank = queue.next_priority()
            if rank is not None and self.has_room(
                use, priority=rank[0], holds=holds, allowed=allowed, now_s=now_s
            ):
                ranks[holds] = rank
        if not ranks:
            return None
        holds = limits.transaction_goes_first(
            statement=ranks.get(False), transaction=ranks.get(True)
        )
        if ranks.get(False) == ranks.get(True):
            # Transactions have a turn, so that short statements do not keep them waiting for as
            # long as they fill the server.
            holds = use.transactions < allowed // TRANSACTION_TURN_DIVISOR
        return self.queue(holds=holds).take(preferred=preferred)
