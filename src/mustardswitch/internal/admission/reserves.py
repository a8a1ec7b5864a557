"""Keeps connections of a pool free for priority 0 and for short statements."""

import math

from mustardswitch.internal.admission import connection_use, limits, recent

USE_DECAY_S = 1.0
"""Age of the use of connections by which reserves are sized."""
URGENT_MEMORY_S = 5.0
"""Time after its latest work of priority 0 in which a pool keeps a reserve for it."""
MIN_CONNECTIONS_TO_DIVIDE = 4
"""Connections from which on one is reserved for priority 0; of fewer, one is too large a part."""
URGENT_DIVISOR = 4
"""Largest reserve for priority 0, as a divisor of the connections."""
STATEMENT_DIVISOR = 2
"""Largest reserve for short statements, as a divisor of the connections."""


class Reserves:
    """Keeps connections free for priority 0 and for short statements, by their recent use."""

    def __init__(self) -> None:
        self.urgent = recent.RecentLevel(decay_s=USE_DECAY_S)
        self.statements = recent.RecentLevel(decay_s=USE_DECAY_S)
        self.transactions = recent.RecentLevel(decay_s=USE_DECAY_S)
        self.urgent_at_s = float("-inf")

    def __repr__(self) -> str:
        return "Reserves()"

    def note(self, use: connection_use.ConnectionUse, now_s: float) -> None:
        """Record a change of what the connections are used for."""
        urgent = sum(hold.priority == 0 for hold in use.held.values())
        self.urgent.note(urgent, now_s)
        self.statements.note(len(use.held) - use.transactions, now_s)
        self.transactions.note(use.transactions, now_s)
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
        used = round(self.statements.average(now_s)) + 1
        return allowed - max(1, min(used, allowed // STATEMENT_DIVISOR))
