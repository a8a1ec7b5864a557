"""What the connections of a pool are used for, and for how long."""

import dataclasses
import math

HOLDING_WEIGHT = 0.1
"""Weight of a new measurement in the moving averages."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """The use of one connection."""

    at_s: float
    """When it began."""
    holds: bool
    """Whether the connection is kept while its user pauses, as by a transaction."""
    priority: int


class ConnectionUse:
    """Tracks the connections in use; each is named by a number, its ``id`` for example.

    ``outlier_factor`` limits how much of a measurement counts, as a multiple of the average.
    """

    def __init__(self, *, outlier_factor: float = math.inf) -> None:
        self.outlier_factor = outlier_factor
        self.held: dict[int, Hold] = {}
        self.transactions = 0
        """Connections that are kept while their user pauses."""
        self.average_holding_s = {False: 0.0, True: 0.0}
        """Moving averages of the time for which a connection is used, by whether it is kept while
        its user pauses; 0 until one was measured."""
        self.average_transactions = 0.0
        """Moving average of ``transactions``."""

    def __repr__(self) -> str:
        return f"ConnectionUse(held={self.held!r})"

    def begin(self, connection: int, hold: Hold) -> None:
        """Record that a connection is used, or is being opened for its use."""
        self.held[connection] = hold
        self.transactions += hold.holds

    def cancel(self, connection: int) -> Hold | None:
        """Forget a use without measuring it, and return it."""
        hold = self.held.pop(connection, None)
        self.transactions -= hold is not None and hold.holds
        return hold

    def end(self, connection: int, now_s: float) -> None:
        """Record that the use of a connection has ended."""
        transactions = self.transactions
        hold = self.cancel(connection)
        if hold is None:
            return
        self.average_transactions += HOLDING_WEIGHT * (transactions - self.average_transactions)
        held_s = now_s - hold.at_s
        average_s = self.average_holding_s[hold.holds] or held_s
        held_s = min(held_s, self.outlier_factor * average_s)
        self.average_holding_s[hold.holds] = average_s + HOLDING_WEIGHT * (held_s - average_s)

    def ages_s(self, now_s: float, *, holds: bool) -> list[float]:
        """Return how long the uses of one kind have lasted."""
        return [now_s - hold.at_s for hold in self.held.values() if hold.holds == holds]
