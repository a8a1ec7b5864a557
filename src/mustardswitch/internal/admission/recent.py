"""Averages over the recent past, with the time passed in."""

import math


class RecentRate:
    """Events per second, weighted by an age that decays with ``decay_s``."""

    def __init__(self, *, decay_s: float) -> None:
        self.decay_s = decay_s
        self.value = 0.0
        self.at_s = 0.0

    def __repr__(self) -> str:
        return f"RecentRate(decay_s={self.decay_s!r})"

    def note(self, now_s: float) -> None:
        """Record an event."""
        self.value = self.per_s(now_s) + 1.0 / self.decay_s
        self.at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the rate."""
        return self.value * math.exp(min(0.0, (self.at_s - now_s) / self.decay_s))


class RecentLevel:
    """Average of a number that holds until it is changed, such as connections in use."""

    def __init__(self, *, decay_s: float) -> None:
        self.decay_s = decay_s
        self.level = 0.0
        self.value = 0.0
        self.at_s = 0.0

    def __repr__(self) -> str:
        return f"RecentLevel(decay_s={self.decay_s!r})"

    def note(self, level: float, now_s: float) -> None:
        """Record that the number changes to ``level``."""
        self.value = self.average(now_s)
        self.level, self.at_s = level, now_s

    def average(self, now_s: float) -> float:
        """Return the average."""
        kept = math.exp(min(0.0, (self.at_s - now_s) / self.decay_s))
        return self.level + (self.value - self.level) * kept
