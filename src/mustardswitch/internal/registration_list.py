"""The platform's list of servers, across outages of its store.

Answers the load pattern after an outage: entries of living servers lapsed meanwhile and come back
within two seconds. Dropping them at once would take all servers away from all callers. An instance
that starts then has nothing to remember: what it reads first may lack servers that live.
"""

import collections.abc
import typing

Key = typing.TypeVar("Key")
Entry = typing.TypeVar("Entry")

REREGISTRATION_S = 2.0
"""Time within which entries that lapsed during an outage are back, as the platform promises."""


class RegistrationList(typing.Generic[Key, Entry]):
    """Entries in force, and those that may only have lapsed with the store."""

    def __init__(self) -> None:
        self.entries: dict[Key, Entry] = {}
        self.lapsed: set[Key] = set()
        self.outage = False
        self.returned_at_s = float("-inf")
        self.read_since_s = float("inf")

    def is_complete(self, now_s: float) -> bool:
        """Tell whether every living server has had time to be listed since the first reading."""
        return now_s >= self.read_since_s + REREGISTRATION_S

    def note_outage(self) -> None:
        """Take into account that the store does not answer."""
        self.outage = True

    def note_recovery(self, now_s: float) -> None:
        """Take into account that the store answers."""
        self.read_since_s = min(self.read_since_s, now_s)
        if self.outage:
            self.outage = False
            self.returned_at_s = now_s

    def put(self, key: Key, entry: Entry) -> None:
        """Add or change an entry."""
        self.entries[key] = entry
        self.lapsed.discard(key)

    def remove(self, key: Key, now_s: float) -> None:
        """Remove an entry, or keep it for a while if the store was out a moment ago."""
        if key not in self.entries:
            return
        if self.outage or now_s < self.returned_at_s + REREGISTRATION_S:
            self.lapsed.add(key)
        else:
            del self.entries[key]

    def replace(self, entries: collections.abc.Mapping[Key, Entry], now_s: float) -> None:
        """Take over a whole listing."""
        for key in set(self.entries) - set(entries):
            self.remove(key, now_s)
        for key, entry in entries.items():
            self.put(key, entry)

    def expire(self, now_s: float) -> bool:
        """Drop what did not come back in time; True when anything was dropped."""
        if not self.lapsed or self.outage or now_s < self.returned_at_s + REREGISTRATION_S:
            return False
        for key in self.lapsed:
            self.entries.pop(key, None)
        self.lapsed = set()
        return True
