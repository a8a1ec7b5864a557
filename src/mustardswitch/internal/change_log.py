"""Keeps the latest change of every key of the store, and tells which came after a revision.

An instance that follows the store answers with it the instances that follow it. Removed keys are
kept as changes too, up to a number; a follower that is further behind receives all keys again.
"""

import collections.abc
import dataclasses

from mustardswitch.internal import revisions

MAX_REMOVED_KEYS = 4096
"""Removed keys that are remembered; several times the instances of a large fleet."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """The last write of a key, or its removal."""

    key: str
    value: bytes | None
    """None when the key was removed."""
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """Items, and a revision; a watch that starts after it misses no change."""

    items: tuple[Item, ...]
    revision: int
    complete: bool = False
    """Whether keys without an item do not exist; otherwise they have not changed."""


class ChangeLog:
    """The latest change of every key up to ``revision``."""

    def __init__(self, *, max_removed_keys: int = MAX_REMOVED_KEYS) -> None:
        self.max_removed_keys = max_removed_keys
        self.items: dict[str, Item] = {}
        self.removed: dict[str, Item] = {}
        """Removed keys, the longest removed first."""
        self.revision: int | None = None
        """None until the first listing."""
        self.forgotten_revision = 0
        """Removals up to this revision may have been forgotten."""

    def __repr__(self) -> str:
        return f"ChangeLog(max_removed_keys={self.max_removed_keys!r})"

    def record(self, listing: Listing) -> None:
        """Record the items of a listing or of a watch."""
        restored = revisions.era_of(listing.revision) > revisions.era_of(self.revision or 0)
        if listing.complete and restored:
            # What was removed in an earlier era may be known to the followers of that era only.
            self.items, self.removed, self.revision = {}, {}, None
        if self.revision is None:
            self.forgotten_revision = listing.revision
        if listing.complete:
            listed = {item.key for item in listing.items}
            for key in set(self.items) - listed:
                self._record_item(Item(key=key, value=None, revision=listing.revision))
        for item in listing.items:
            self._record_item(item)
        self.revision = max(self.revision or 0, listing.revision)

    def _record_item(self, item: Item) -> None:
        known = self.items.get(item.key) or self.removed.get(item.key)
        if known is not None and item.revision < known.revision:
            return
        self.removed.pop(item.key, None)
        if item.value is not None:
            self.items[item.key] = item
            return
        self.items.pop(item.key, None)
        self.removed[item.key] = item
        while len(self.removed) > self.max_removed_keys:
            oldest = self.removed.pop(next(iter(self.removed)))
            self.forgotten_revision = max(self.forgotten_revision, oldest.revision)

    def since(self, after: int | None) -> Listing | None:
        """Return the changes after a revision, or all keys when those are not known any more.

        Returns None before the first listing.
        """
        if self.revision is None:
            return None
        if after is None or after < self.forgotten_revision:
            return Listing(items=tuple(self.items.values()), revision=self.revision, complete=True)
        changed: collections.abc.Iterable[Item] = (*self.items.values(), *self.removed.values())
        return Listing(
            items=tuple(item for item in changed if item.revision > after), revision=self.revision
        )
