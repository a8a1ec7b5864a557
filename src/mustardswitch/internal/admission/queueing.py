"""Decides which work for a server is admitted, and in which order it gets a connection.

Order: by the priority of the route; within a priority, work that can still be answered within its
target before work that cannot; then short statements before transactions, which have a small share;
then in turn between callers. Work that would miss its time limit is refused at once, when a refusal
costs its caller least. Late work waits while a refusal is cheap, and longer only when the work
ahead of it leaves capacity. Connections are kept free for priority 0 and for short statements, so
that work which holds its connection for long does not stop the rest.

What the server answers now is derived from how long connections are held: while all are in use,
their number divided by that time is the number of statements that it answers per second.
"""

import collections.abc
import dataclasses
import typing

from mustardswitch.internal.admission import (
    connection_use,
    in_turn,
    limits,
    reserves,
    target_queue,
)

INITIAL_HOLD_S = {False: 0.02, True: 0.2}
"""Time for which a single statement, and a transaction (True), is assumed to hold a connection
until one was measured: the usual work of a statement, and ten times as long."""
UNFINISHED_SHARE = 0.5
"""Fraction of the mean age of the holds in progress by which the expected hold rises at least. The
moving average knows only holds that have ended, which a server that stalls and transactions that
stay idle do not reach for seconds."""
OUTLIER_FACTOR = 2.0
"""Largest measured hold that counts, as a multiple of the average. After a stall of one second a
few long holds raised the average so far that work was refused which the server had time for."""
MAX_URGENT_WAIT_S = 0.02
"""Time between two connections that short statements free, up to which they may use the reserve as
well: priority 0 goes first then and waits about that long, while a connection that is kept free is
capacity that the others lack."""
TRANSACTION_SHARE = 0.08
"""Part of the connections that transactions are served ahead of short statements of their rank.
Without it short statements keep them waiting for as long as they fill the server. Each transaction
takes the time of several short statements, which are refused instead; this is the least part with
which no replayed load (docs/design/admission.md) serves fewer transactions than the present order.
"""

Ticket = typing.TypeVar("Ticket")


def expected_hold_s(
    *, average_s: float, holds: bool, ages_s: collections.abc.Sequence[float]
) -> float:
    """Return the expected time of a hold, from those that ended and those in progress."""
    ended_s = average_s or INITIAL_HOLD_S[holds]
    unfinished_s = sum(ages_s) / len(ages_s) if ages_s else 0.0
    return max(ended_s, UNFINISHED_SHARE * unfinished_s)


class ByTarget(in_turn.InTurn[Ticket]):
    """Admission and order by what the callers need; see the module."""

    def __init__(self, *, max_length: int) -> None:
        super().__init__(max_length=max_length)
        self.reserves = reserves.Reserves()

    @staticmethod
    def queue_type() -> type[limits.AdmissionQueue]:
        """Return the type of the queues."""
        return target_queue.TargetQueue

    def _supply(
        self, use: connection_use.ConnectionUse, *, holds: bool, allowed: int, now_s: float
    ) -> target_queue.Supply:
        hold_s = expected_hold_s(
            average_s=use.average_holding_s[holds],
            holds=holds,
            ages_s=use.ages_s(now_s, holds=holds),
        )
        reserved = self._reserved(use, holds=holds, allowed=allowed, now_s=now_s)
        if not holds:
            connections = allowed - max(use.transactions, round(use.average_transactions))
            return target_queue.Supply(hold_s=hold_s, connections=connections, reserved=reserved)
        room = self.reserves.transaction_room(allowed, now_s)
        afterwards = target_queue.Supply(hold_s=hold_s, connections=room, reserved=reserved)
        if not self.statements.length:
            return afterwards
        # While short statements wait, transactions have their share, and the rest once none waits.
        ahead = self._supply(use, holds=False, allowed=allowed, now_s=now_s)
        afterwards = dataclasses.replace(afterwards, delay_s=self.statements.drain_s(ahead, now_s))
        share = target_queue.Supply(
            hold_s=hold_s, connections=TRANSACTION_SHARE * allowed, reserved=0
        )
        return min(share, afterwards, key=lambda each: each.delay_s + each.interval_s(1))

    def _reserved(
        self, use: connection_use.ConnectionUse, *, holds: bool, allowed: int, now_s: float
    ) -> int:
        """Return how many connections transactions, or short statements, leave to priority 0."""
        interval_s = use.average_holding_s[False] / max(1, allowed - use.transactions)
        if not holds and interval_s <= MAX_URGENT_WAIT_S:
            return 0
        return self.reserves.for_urgent(allowed, now_s)

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
        room = self.has_room(
            use, priority=waiting.priority, holds=waiting.holds, allowed=allowed, now_s=now_s
        )
        if room and not self.length and len(use.held) < allowed:
            # It waits only until a connection is open.
            self.restore(waiting)
            self.note_served_at_once(
                waiting.caller, priority=waiting.priority, holds=waiting.holds, now_s=now_s
            )
            return None
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
        room = self.reserves.transaction_room(allowed, now_s) if holds else allowed
        if holds and use.transactions >= room:
            return False
        if not priority:
            return True
        reserved = self._reserved(use, holds=holds, allowed=allowed, now_s=now_s)
        others = sum(hold.priority > 0 and (hold.holds or not holds) for hold in use.held.values())
        return others < max(1, room - reserved)

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
            holds = self.reserves.transactions.average(now_s) < TRANSACTION_SHARE * allowed
        return self.queue(holds=holds).take(preferred=preferred)
