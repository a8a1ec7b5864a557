"""Remembers for a while what failed a moment ago, so that it is asked last."""

import typing

Key = typing.TypeVar("Key")


class RecentFailures(typing.Generic[Key]):
    """Keys to avoid, each for ``duration_s`` from its latest failure."""

    def __init__(self, *, duration_s: float) -> None:
        self.duration_s = duration_s
        self.until_s: dict[Key, float] = {}

    def __repr__(self) -> str:
        return f"RecentFailures(duration_s={self.duration_s!r})"

    def add(self, key: Key, *, now_s: float) -> None:
        """Note a failure."""
        self.until_s[key] = now_s + self.duration_s

    def active(self, *, now_s: float) -> frozenset[Key]:
        """Return what is to be avoided now, and forget the rest."""
        for key in [key for key, until_s in self.until_s.items() if until_s <= now_s]:
            del self.until_s[key]
        return frozenset(self.until_s)
