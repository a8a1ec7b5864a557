"""Limits retries by a budget and a deadline.

The budget is a token bucket that first tries fill, so that retries stay a fixed fraction of the
load when everything fails at once. A fixed number of retries per statement alone would multiply the
load during an outage.
"""

import random

INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25
BUDGET_RATIO = 0.2
"""Retries earned by each first try."""
BUDGET_CAPACITY = 100.0
"""Largest number of retries that can be saved up."""


class RetryBudget:
    """Token bucket that allows ``ratio`` retries per first try and bursts of up to ``capacity``."""

    def __init__(self, *, ratio: float = BUDGET_RATIO, capacity: float = BUDGET_CAPACITY) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self.tokens = capacity

    def __repr__(self) -> str:
        return f"RetryBudget(ratio={self.ratio!r}, capacity={self.capacity!r})"

    def record_first_try(self) -> None:
        """Add the fraction of a retry that a first try earns."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Backoff:
    """Exponential backoff with equal jitter, bounded by a deadline.

    A delay is drawn between half of the current limit and the limit, which doubles each time.
    """

    def __init__(self, *, deadline_s: float, rng: random.Random) -> None:
        self.deadline_s = deadline_s
        self.rng = rng
        self.limit_s = INITIAL_BACKOFF_S

    def next_delay_s(self, now_s: float) -> float | None:
        """Return the seconds to wait before the next try; None if it would miss the deadline."""
        delay_s = self.rng.uniform(self.limit_s / 2, self.limit_s)
        self.limit_s = min(MAX_BACKOFF_S, self.limit_s * 2)
        if now_s + delay_s >= self.deadline_s:
            return None
        return delay_s
