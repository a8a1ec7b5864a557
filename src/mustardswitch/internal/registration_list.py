"""Keeps registrations, such as those of servers, through outages of the platform's store.

During an outage the entries of running servers expire; they are listed again within two seconds
after it. Dropping them at once would leave all callers without servers. An instance that starts in
that time has no earlier entries to keep: its first reading may miss running servers.
"""

import collections.abc
import typing

Key = typing.TypeVar("Key")
Entry = typing.TypeVar("Entry")

MAX_REMOVED = 256
"""Removed entries whose keys are kept."""

OVERWRITTEN_RETENTION_S = 4.0
"""Seconds after which an entry that another writer has overwritten is dropped; as long as an entry
that is not written again takes to expire. A server that runs writes its own again before that."""
REREGISTRATION_S = 2.0
"""Seconds after an outage until expired entries are listed again, as the platform promises."""


class RegistrationList(typing.Generic[Key, Entry]):
    """Entries in force, and those that may have expired only because the store was down."""

    def __init__(self) -> None:
        self.entries: dict[Key, Entry] = {}
        self.expired: set[Key] = set()
        self.kept_since_s = float("inf")
        """Since when entries are kept that have expired (``clock.now_s``); infinite without any."""
        self.overwritten: dict[Key, float] = {}
        """Entries that another writer has overwritten, and when (``clock.now_s``)."""
        self.outage = False
        self.recovered_at_s = float("-inf")
        self.first_read_at_s = float("inf")
        self.confirmed_at_s = float("-inf")
        """When the store last confirmed the list, to this instance or its relay
        (``clock.now_s``)."""
        self.revision = 0
        """The highest revision of the store that was received."""
        self.removed_at_s: dict[Key, float] = {}
        """When entries were removed that were not written again (``clock.now_s``), oldest first."""
        self.others_removed_by_s = float("-inf")
        """By when those were removed that are not kept."""

    @property
    def last_removed_s(self) -> float:
        """When an entry was removed last that was not written again; minus infinite if none was."""
        return max([self.others_removed_by_s, *self.removed_at_s.values()])

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the store last confirmed the list; infinite before that."""
        return now_s - self.confirmed_at_s

    def note_confirmed(self, confirmed_at_s: float, *, revision: int) -> None:
        """Record when the store confirmed the list, and at which revision."""
        self.confirmed_at_s = max(self.confirmed_at_s, confirmed_at_s)
        self.revision = max(self.revision, revision)

    def is_complete(self, now_s: float) -> bool:
        """Return whether every running server has had time to be listed since the first reading."""
        return not self.is_recent(now_s, REREGISTRATION_S)

    def is_recent(self, now_s: float, duration_s: float) -> bool:
        """Return whether the first reading is less than ``duration_s`` ago."""
        return now_s < self.first_read_at_s + duration_s

    def note_outage(self) -> None:
        """Record that the store does not answer."""
        self.outage = True

    def note_recovery(self, now_s: float) -> None:
        """Record that the store answers."""
        self.first_read_at_s = min(self.first_read_at_s, now_s)
        if self.outage:
            self.outage = False
            self.recovered_at_s = now_s

    def put(self, key: Key, entry: Entry) -> None:
        """Add or change an entry."""
        self.entries[key] = entry
        self.expired.discard(key)
        self.removed_at_s.pop(key, None)
        if not self.expired:
            self.kept_since_s = float("inf")
        self.overwritten.pop(key, None)

    def note_overwritten(self, key: Key, now_s: float) -> None:
        """Record that an entry cannot be read any more; the last valid one is kept for a while."""
        if key in self.entries:
            self.overwritten.setdefault(key, now_s)

    def remove(self, key: Key, now_s: float) -> None:
        """Remove an entry, or keep it until ``expire`` if the store is or was recently down."""
        self.overwritten.pop(key, None)
        if key not in self.entries:
            return
        if self.outage or now_s < self.recovered_at_s + REREGISTRATION_S:
            self.kept_since_s = min(self.kept_since_s, now_s)
            self.expired.add(key)
        else:
            self._drop(key, now_s)

    def _drop(self, key: Key, now_s: float) -> None:
        self.overwritten.pop(key, None)
        if self.entries.pop(key, None) is None:
            return
        self.removed_at_s[key] = now_s
        if len(self.removed_at_s) > MAX_REMOVED:
            oldest = next(iter(self.removed_at_s))
            removed_at_s = self.removed_at_s.pop(oldest)
            self.others_removed_by_s = max(self.others_removed_by_s, removed_at_s)

    def is_listed(self, key: Key) -> bool:
        """Return whether the latest reading had an entry."""
        return key in self.entries and key not in self.expired

    def replace(self, entries: collections.abc.Mapping[Key, Entry], now_s: float) -> None:
        """Replace all entries by those of a complete listing."""
        for key in set(self.entries) - set(entries):
            self.remove(key, now_s)
        for key, entry in entries.items():
            self.put(key, entry)

    def expire(self, now_s: float) -> bool:
        """Drop the entries that were not written again in time; return whether there were any."""
        if self.outage or now_s < self.recovered_at_s + REREGISTRATION_S:
            return False
        dropped = self.expired | {
            key
            for key, since_s in self.overwritten.items()
            if now_s >= since_s + OVERWRITTEN_RETENTION_S
        }
        for key in dropped:
            self._drop(key, now_s)
        self.expired = set()
        self.kept_since_s = float("inf")
        return bool(dropped)
