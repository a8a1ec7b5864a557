"""Interface to the store that holds the records of all instances."""

import collections.abc
import dataclasses
import typing

from mustardswitch.internal import change_log, revisions


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """A key to write, bound to a lease unless ``lease`` is 0."""

    key: str
    value: bytes
    lease: int = 0


class RecordStore(typing.Protocol):
    """The platform's store; calls raise ``StoreError``."""

    era: int
    """Latest era that an answer carried; it rises when the store is restored from a copy."""
    era_since_s: float
    """When an answer first carried this era (``clock.now_s``)."""

    async def read(self, key: str) -> change_log.Item | None:
        """Return the item of a key, or None when the key does not exist."""

    async def change(
        self,
        *,
        expected: collections.abc.Mapping[str, int],
        puts: collections.abc.Sequence[Put] = (),
        deletes: collections.abc.Sequence[str] = (),
    ) -> revisions.Revision | None:
        """Write and delete keys atomically if the expected keys have their revisions (0: absent).

        Returns the new revision, or None when a revision differs or is of an earlier era, or a
        lease has expired.
        """

    async def grant_lease(self, ttl_s: float, *, exact: bool = False) -> int:
        """Create a lease that expires after ``ttl_s`` unless renewed, and return its id.

        With ``exact``, raises StoreError if the store lets it last longer.
        """

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False when it has expired."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease; the store removes its keys."""
