"""Remembers recent failures for a while, so that what failed is tried last."""

import copy
import typing

Key = typing.TypeVar("Key")


class RecentFailures(typing.Generic[Key]):
    """Keys to avoid, each for ``duration_s`` seconds from its latest failure."""

    def __init__(self, *, duration_s: float) -> None:
        self.duration_s = duration_s
        self.until_s: dict[Key, float] = {}

    def __repr__(self) -> str:
        return f"RecentFailures(duration_s={self.duration_s!r})"

    def preview(self) -> "RecentFailures[Key]":
        """Return a copy on which decisions can be tried."""
        copied = copy.copy(self)
        copied.until_s = dict(self.until_s)
        return copied

    def add(self, key: Key, *, now_s: float) -> None:
        """Record a failure of ``key``."""
        self.until_s[key] = now_s + self.duration_s

    def active(self, *, now_s: float) -> frozenset[Key]:
        """Return the keys to avoid now and drop the expired ones."""
        for key in [key for key, until_s in self.until_s.items() if until_s <= now_s]:
            del self.until_s[key]
        return frozenset(self.until_s)
