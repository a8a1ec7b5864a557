"""Bounds retries by a budget and a deadline.

The budget is a token bucket filled by first tries, so that retries stay a fixed fraction of the
load when everything fails at once; a fixed number of retries per statement alone would multiply
the load of an outage.
"""

import random

INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25
BUDGET_RATIO = 0.2
BUDGET_CAPACITY = 100.0


class RetryBudget:
    """Allows about ``ratio`` retries per first try."""

    def __init__(self, *, ratio: float = BUDGET_RATIO, capacity: float = BUDGET_CAPACITY) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self.tokens = capacity

    def __repr__(self) -> str:
        return f"RetryBudget(ratio={self.ratio!r}, capacity={self.capacity!r})"

    def record_first_try(self) -> None:
        """Earn a fraction of a retry."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry, or return False when none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Backoff:
    """Exponential delays with full jitter, cut off by a deadline."""

    def __init__(self, *, deadline_s: float, rng: random.Random) -> None:
        self.deadline_s = deadline_s
        self.rng = rng
        self.limit_s = INITIAL_BACKOFF_S

    def next_delay_s(self, now_s: float) -> float | None:
        """Return how long to wait before the next try; None when it would miss the deadline."""
        delay_s = self.rng.uniform(self.limit_s / 2, self.limit_s)
        self.limit_s = min(MAX_BACKOFF_S, self.limit_s * 2)
        if now_s + delay_s >= self.deadline_s:
            return None
        return delay_s
