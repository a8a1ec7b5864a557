"""Decides whether commits of a service may be sent, and ends those under way when they may not."""

import collections
import collections.abc
import contextlib
import dataclasses
import typing

from mustardswitch.internal import clock, commit_permission, ids, promotion
from mustardswitch.peers import datagrams
from mustardswitch.proxy import ports

MAX_GIVEN_UP = 64
"""Commits without an answer that are counted for each server."""
GIVEN_UP_S = 60.0
"""Time for which they are counted; several times as long as a change of primary takes."""


class Records(typing.Protocol):
    """The records of the store that were applied last."""

    revision: int
    """The highest revision of the store that was received."""
    outage: bool
    """Whether the store does not answer."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CommitUnderWay:
    """A commit that was sent and is not answered yet."""

    server: ids.ServerId
    interruptions: int
    """``CommitPermission.interruptions`` as it was sent."""
    sent_at_s: float = dataclasses.field(default_factory=clock.now_s)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnansweredCommits:
    """Commits to one server of which this instance has heard nothing; the server may run them."""

    count: int
    oldest_s: float
    """Seconds since the first of them was sent; 0 without any."""


class CommitGate:
    """What this instance knows about recorded promotions of one service beside its records."""

    def __init__(
        self,
        *,
        records: Records,
        permission: commit_permission.CommitPermission,
        permitted: collections.abc.Callable[[], bool],
    ) -> None:
        self.records = records
        self.permission = permission
        self.permitted = permitted
        """Returns whether the instance would know of a recorded promotion."""
        self.announced: datagrams.RecordedPromotion | None = None
        """The promotion that another instance has announced last."""
        self.under_way: dict[ports.Link, CommitUnderWay] = {}
        """Commits that are not answered yet, by their connections."""
        self.given_up: dict[ids.ServerId, collections.deque[float]] = {}
        """When the latest commits were sent whose connections were closed before an answer."""
        self.unanswered_at_s = float("-inf")
        """When a connection was closed last on which a commit had no answer."""
        self.requested: ids.ServerId | None = None
        """The server whose promotion is in the records; None without one."""
        self.requested_revision = 0
        """The revision of that record; 0 if it is not known."""
        self.unrecorded_as_of_s = float("-inf")
        """As of when the records lacked the promotion that they hold now."""
        self.kept: ids.ServerId | None = None
        self.kept_until_s = float("-inf")
        """Until when commits are held for ``kept``, which a restored store may lack."""
        self.abandoned: tuple[CommitUnderWay, ...] = ()
        """The commits whose connections the latest call of ``abandon`` has closed."""
        self.closed_since_s: float | None = None
        """Since when a commit is under way that may not be sent any more; None without one."""

    def __repr__(self) -> str:
        return f"CommitGate(announced={self.announced!r}, under_way={len(self.under_way)})"

    @property
    def awaited(self) -> ids.ServerId | None:
        """The server whose promotion was announced and is not in the records yet, or not any more.

        Records of the same or a later revision tell more than the announcement.
        """
        if self.announced is None or self.announced.revision <= self.records.revision:
            return None
        return self.announced.server

    def note_announced(self, promoted: datagrams.RecordedPromotion) -> None:
        """Hold commits to other servers back until the records are as new as the announcement."""
        if self.announced is None or promoted.revision >= self.announced.revision:
            self.announced = promoted

    def is_cut_off(self) -> bool:
        """Return whether the store does not answer, and others may hear from it."""
        return self.records.outage and not self.permitted()

    def note_requested(
        self, requested: ids.ServerId | None, *, revision: int | None = None
    ) -> None:
        """Record which promotion the records hold from now on."""
        if self.requested is None:
            self.unrecorded_as_of_s = self.permission.as_of_s
        self.requested, self.requested_revision = requested, revision or 0

    def note_restored(self) -> None:
        """Record that the store was restored from a copy that may lack a recorded promotion.

        Its holder may act until its claim expires. Must be called before the records are noted as
        those of the restored store.
        """
        known = self.awaited or self.requested
        if known is not None:
            self.kept = known
            self.kept_until_s = clock.now_s() + commit_permission.PERMISSION_S

    @property
    def confirmation_asked(self) -> ids.ServerId | None:
        """The server for whose promotion the hold is to be confirmed; None if it is not asked."""
        if self.awaited is not None or self.announced is None:
            return self.awaited
        same = self.announced.server == self.requested
        known_before = self.announced.revision >= self.requested_revision
        return self.requested if same and known_before else None

    def allows(self, leader: ids.ServerId) -> bool:
        """Return whether commits may be sent to a leader."""
        kept = self.kept if clock.now_s() < self.kept_until_s else None
        known = all(
            promotion.may_take_commits(leader, requested=each)
            for each in (self.requested, self.awaited, kept)
        )
        return known and self.permitted()

    @contextlib.contextmanager
    def tracking(
        self, link: ports.Link, server: ids.ServerId, *, counts: bool = True
    ) -> collections.abc.Iterator[CommitUnderWay]:
        """Count a commit as under way while the context is open, if the statement ``counts``."""
        commit = CommitUnderWay(server=server, interruptions=self.permission.interruptions)
        if counts:
            self.under_way[link] = commit
        answered = False
        try:
            yield commit
            answered = True
        finally:
            self.under_way.pop(link, None)
            if counts and not answered:
                known = self.given_up.setdefault(server, collections.deque(maxlen=MAX_GIVEN_UP))
                known.append(commit.sent_at_s)
                self.note_unanswered()

    def note_unanswered(self) -> None:
        """Record that the outcome of a commit is not known, and its connection is closed."""
        self.unanswered_at_s = clock.now_s()

    def unanswered(self, server: ids.ServerId) -> UnansweredCommits:
        """Return the commits that were sent to a server lately and never answered."""
        now_s = clock.now_s()
        sent = [each.sent_at_s for each in self.under_way.values() if each.server == server]
        sent += [at_s for at_s in self.given_up.get(server, ()) if now_s < at_s + GIVEN_UP_S]
        return UnansweredCommits(count=len(sent), oldest_s=now_s - min(sent, default=now_s))

    def may_acknowledge(self, commit: CommitUnderWay) -> bool:
        """Return whether the answer to a commit that was under way may be passed on.

        Another instance may have promoted a server without it once the permission under which it
        was sent has ended for ``commit_permission.ABANDON_S``.
        """
        if commit.interruptions != self.permission.interruptions:
            return False
        if not promotion.may_take_commits(commit.server, requested=self.requested):
            as_of_s = self.unrecorded_as_of_s
        elif self.permitted():
            return True
        else:
            as_of_s = self.permission.as_of_s
        ended_s = as_of_s + commit_permission.PERMISSION_S
        return clock.now_s() < ended_s + commit_permission.ABANDON_S

    def is_clear_for(self, promoted: ids.ServerId) -> bool:
        """Return whether no commit to another server than the promoted one is under way."""
        return all(commit.server == promoted for commit in self.under_way.values())

    def abandon(self) -> int:
        """Close connections on which commits have been under way for too long.

        Must be called every ``commit_permission.CHECK_S``. Returns how many were closed.
        """
        now_s = clock.now_s()
        permitted, asked = self.permitted(), self.confirmation_asked
        closed = [
            link
            for link, commit in self.under_way.items()
            if not permitted or not promotion.may_take_commits(commit.server, requested=asked)
        ]
        if not closed:
            self.closed_since_s = None
        elif self.closed_since_s is None:
            self.closed_since_s = now_s
        if closed and now_s < self.closed_since_s + commit_permission.ABANDON_S:
            closed = []
        closed += [
            link
            for link, commit in self.under_way.items()
            if link not in closed and not self.may_acknowledge(commit)
        ]
        for link in closed:
            link.close()
        self.abandoned = tuple(self.under_way[link] for link in closed)
        return len(closed)
