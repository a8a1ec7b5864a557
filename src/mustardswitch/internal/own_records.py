"""Compares the records of an instance in the store with those that it means to have there.

A store that was restored from a copy may lack records that an instance wrote, and may hold again
records that it removed. Its registration may also be removed while its lease lives.
"""

import collections.abc
import dataclasses

from mustardswitch.internal import ids, revisions

Vote = tuple[ids.ServiceName, ids.ServerId]
"""A primary that the instance votes to replace."""
Promotion = tuple[ids.ServiceName, ids.ServerId]
"""A server whose promotion may take effect."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Records:
    """Records of one instance, and the unfinished changes of primary of all services."""

    votes: collections.abc.Set[Vote] = frozenset()
    claims: collections.abc.Set[ids.ServiceName] = frozenset()
    unfinished: collections.abc.Set[ids.ServiceName] = frozenset()
    promotions: collections.abc.Set[Promotion] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Repair:
    """What to write again and what to remove, so that the store holds what it should."""

    cast: collections.abc.Set[Vote] = frozenset()
    withdraw: collections.abc.Set[Vote] = frozenset()
    release: collections.abc.Set[ids.ServiceName] = frozenset()
    mark_unfinished: collections.abc.Set[ids.ServiceName] = frozenset()
    record_promotions: collections.abc.Set[Promotion] = frozenset()

    def __bool__(self) -> bool:
        marks = self.mark_unfinished or self.record_promotions
        return bool(self.cast or self.withdraw or self.release or marks)


NOTHING = Repair()
"""No difference."""


class OwnRecords:
    """Decides about repairs from what the store is seen to hold, revision by revision."""

    def __init__(self) -> None:
        self.votes: set[Vote] = set()
        """Votes that are cast."""
        self.claims: set[ids.ServiceName] = set()
        """Services that are claimed."""
        self.registered_revision: int | None = None
        """Revision of the registration; None without one."""
        self.checked_revision = 0
        self.seen = Records()
        """What the store was seen to hold last."""

    def note_seen(self, held: Records, *, registered: bool, revision: int) -> tuple[bool, Repair]:
        """Compare what the store holds at a revision with what it should hold.

        Returns whether the registration is lost, and the repair, which is only needed in a new era.
        """
        lost = False
        if self.registered_revision is not None and revision > self.registered_revision:
            lost = not registered
        before, self.seen = self.seen, held
        known_era, self.checked_revision = self.checked_revision, revision
        if not 0 < revisions.era_of(known_era) < revisions.era_of(revision):
            return lost, NOTHING
        recorded = {service for service, _ in held.promotions}
        return lost, Repair(
            cast=self.votes - held.votes,
            withdraw=held.votes - self.votes,
            release=held.claims - self.claims,
            mark_unfinished=before.unfinished - held.unfinished,
            record_promotions={
                (service, promoted)
                for service, promoted in before.promotions
                if service not in recorded
            },
        )
