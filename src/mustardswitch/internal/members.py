"""Decides when the record of a service's members is written, and by which instance.

The record lists the servers that may hold acknowledged commits. Instances that start while entries
of servers have expired know such servers from the record only.
"""

import collections.abc
import dataclasses
import typing

from mustardswitch.internal import ids

Member = tuple[ids.ServerId, int]
"""A server and its start in milliseconds; it has none of the state of its earlier starts."""

SETTLE_S = 0.2
"""Time for which the members must differ from the record before it is written; servers that start
together then share one write."""
RANK_DELAY_S = 1.0
"""Delay per rank before an instance writes, so that the instances ranked before it write first."""
WRITERS = 3
"""Instances that write the record of one service."""
RETRY_S = 1.0
"""Pause after the first write that did not succeed; it doubles up to the limit."""
RETRY_LIMIT_S = 8.0


def needs_write(
    recorded: collections.abc.Set[Member],
    counted: collections.abc.Set[Member],
    *,
    any_listed: bool,
    complete: bool,
) -> bool:
    """Return whether the members that count are to replace the recorded ones.

    Until the list of servers is ``complete``, members are only added or replaced by a later start.
    A record is kept while no server is ``any_listed``: it may be all that is left of the service.
    """
    if not any_listed or recorded == counted:
        return False
    return complete or {server for server, _ in recorded} <= {server for server, _ in counted}


@dataclasses.dataclass(kw_only=True, slots=True)
class _Difference:
    revision: int
    since_s: float
    retry_at_s: float = float("-inf")
    retry_s: float = RETRY_S


class WriteSchedule:
    """When this instance writes the records that differ from the members that count."""

    def __init__(self) -> None:
        self.differences: dict[ids.ServiceName, _Difference] = {}

    def __repr__(self) -> str:
        return f"WriteSchedule(differences={self.differences!r})"

    def note_equal(self, service: ids.ServiceName) -> None:
        """Record that the service's record needs no write."""
        self.differences.pop(service, None)

    def is_due(
        self,
        service: ids.ServiceName,
        *,
        revision: int,
        rank: collections.abc.Callable[[], int | None],
        now_s: float,
    ) -> bool:
        """Return whether this instance is to write a record that differs.

        The delays begin anew when another instance has written, at another ``revision``. ``rank``
        returns the rank of this instance for the service; None if it is not registered.
        """
        new = _Difference(revision=revision, since_s=now_s)
        difference = self.differences.setdefault(service, new)
        if difference.revision != revision:
            difference.revision, difference.since_s = revision, now_s
        if now_s < max(difference.since_s + SETTLE_S, difference.retry_at_s):
            return False
        found = rank()
        if found is None or found >= WRITERS:
            return False
        return now_s >= difference.since_s + SETTLE_S + RANK_DELAY_S * found

    def note_failed(self, service: ids.ServiceName, *, now_s: float) -> None:
        """Record that a write failed, or that another instance has changed the record."""
        difference = self.differences.get(service)
        if difference is not None:
            difference.retry_at_s = now_s + difference.retry_s
            difference.retry_s = min(RETRY_LIMIT_S, 2 * difference.retry_s)


class KnownMembers:
    """The members of one service that were known lately, the latest ones up to a limit."""

    LIMIT: typing.ClassVar[int] = 512

    def __init__(self) -> None:
        self.known: dict[Member, None] = {}

    def __repr__(self) -> str:
        return f"KnownMembers(known={len(self.known)})"

    def __contains__(self, member: Member) -> bool:
        return member in self.known

    def discard(self, member: Member) -> None:
        """Forget a member if it is known."""
        self.known.pop(member, None)

    def add(self, member: Member) -> None:
        """Add a member, or make it the latest one."""
        self.known.pop(member, None)
        self.known[member] = None
        if len(self.known) > self.LIMIT:
            del self.known[next(iter(self.known))]
