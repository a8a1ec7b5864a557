"""Decides what may still be sent to backend servers that have announced that they leave.

A leaving server serves for a time after the platform's store has accepted its announcement. An
instance reads the announcement later than that: it knows an interval in which it was accepted, and
lets new work end by the beginning of it, less the time that a statement may be on its way. What
becomes of the change of primary makes no difference. New work is a statement outside of
transactions, or the first one of a transaction; what a transaction runs after that, and the
commands of a change of primary, are not new work.

All times are seconds of ``clock.now_s``, which counts the time that an instance is suspended.
"""

import dataclasses
import enum
import math

from mustardswitch.internal import commit_permission, members

TRANSIT_S = 0.6
"""Time that a statement may be on its way to a server: half a second in the queue of a link, above
which the platform counts an instance as slowed, and the way between regions."""
CHANGE_WAIT_S = 2.5
"""Time for which statements wait for a change of primary, from the reading of the announcement or
of the record of a promotion; a change that nothing disturbs takes less."""
RECORDED_RETRY_S = 0.5
STAYING_RETRY_S = 1.0
ALONE_RETRY_S = 2.0
"""Times after which refused callers may try again: while a promotion is recorded, while another
server could be promoted, and while none is listed."""
RECORDED_LEFT_S = 0.8
"""Time for which new work may be sent after a record of an announcement has ended; it is read
several times within it."""
MIN_LEASE_S = 1.0
"""Shortest lease of such a record."""
RETENTION_S = 60.0
"""Time for which a server is remembered without an entry, which may come back."""


@dataclasses.dataclass(kw_only=True, slots=True)
class DrainSettings:
    """What the deployment's settings say of leaving servers."""

    drain_s: float | None = None
    """Seconds for which a leaving server may get new work; None for no limit."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaveNotice:
    """The announcement of a server that it leaves."""

    not_before_s: float
    """A time before which the store has not accepted it; minus infinite if none is known."""
    read_at_s: float
    """When this instance read it."""


def lease_s(left_s: float) -> float | None:
    """Return for how long to record that a server gets new work; None if it is not worth it.

    New work may be sent for ``left_s`` from now on.
    """
    lease = left_s - RECORDED_LEFT_S
    return lease if MIN_LEASE_S <= lease < math.inf else None


class Verdict(enum.Enum):
    """What becomes of new work for a server."""

    SEND = "send"
    """It may be sent now."""
    WAIT = "wait"
    """It may not be sent; another server may lead within ``CHANGE_WAIT_S``."""
    REFUSE = "refuse"
    """It may not be sent; the caller is told at once that it was not run."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Succession:
    """What an instance knows of the server that will take the work over."""

    staying: int
    """Listed servers of the service that have not announced that they leave."""
    recorded_at_s: float = -math.inf
    """When the instance learned of the recorded promotion; minus infinite without one."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """What becomes of new work for a server, and what a refused caller is told."""

    verdict: Verdict
    reason: str = ""
    retry_s: float = 0.0
    """Seconds after which a refused caller may try again; 0 if it is not refused."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Listing:
    """When a server was listed, as far as the entries that were read tell."""

    listed_at_s: float
    """When its entry was last seen."""
    staying_as_of_s: float = -math.inf
    """The latest time as of which the records showed it as staying."""
    is_sound: bool = True
    """Whether its entry could be read, and was not overwritten by another writer."""
    is_undated: bool = False
    """Whether nothing that this instance has read tells when its announcement was accepted."""


class LeaveNotices:
    """The announcements of the servers of one service, each bound to one start of its server."""

    def __init__(self, *, drain: DrainSettings | None = None) -> None:
        self.drain = drain or DrainSettings()
        self.notices: dict[members.Member, LeaveNotice] = {}
        self.listings: dict[members.Member, _Listing] = {}

    def __repr__(self) -> str:
        return f"LeaveNotices(drain={self.drain!r})"

    # Reading

    def note_entry(
        self,
        member: members.Member,
        *,
        leaving: bool,
        listed_before: bool,
        as_of_s: float,
        now_s: float,
        is_sound: bool = True,
    ) -> LeaveNotice | None:
        """Record an entry that was read; return the announcement if it is new.

        The records held everything as of ``as_of_s`` before this reading, and ``listed_before``
        tells whether they listed the server as staying. An entry of a staying server takes an
        announcement back. One that was removed and is back does not begin anew. An entry is not
        ``is_sound`` if another writer has overwritten it, which may hide an announcement.
        """
        listing = self.listings.setdefault(member, _Listing(listed_at_s=now_s))
        listing.listed_at_s = now_s
        was_sound, listing.is_sound = listing.is_sound, is_sound
        if not leaving:
            self.notices.pop(member, None)
            if was_sound:
                listing.staying_as_of_s = max(listing.staying_as_of_s, as_of_s)
            return None
        if member in self.notices:
            return None
        not_before_s = listing.staying_as_of_s
        listing.is_undated = not listed_before and not_before_s == -math.inf
        if listed_before and was_sound:
            not_before_s = max(not_before_s, as_of_s)
        # Watches may have missed a change for some time.
        not_before_s -= commit_permission.WATCH_LAG_S
        self.notices[member] = LeaveNotice(not_before_s=not_before_s, read_at_s=now_s)
        return self.notices[member]

    def note_told(self, member: members.Member, not_before_s: float) -> bool:
        """Record what another instance tells of an announcement; return whether it was news.

        Each such time is one before which the store has not accepted it, so the latest counts.
        """
        notice = self.notices.get(member)
        if notice is None or not_before_s <= notice.not_before_s:
            return False
        self.notices[member] = dataclasses.replace(notice, not_before_s=not_before_s)
        return True

    def needs_record(self, member: members.Member, now_s: float) -> bool:
        """Return whether an instance is to read the record of an announcement that it cannot date.

        That is so until new work may be sent for some time, and no longer than the notice lasts.
        """
        notice, listing = self.notices.get(member), self.listings.get(member)
        if notice is None or listing is None or self.drain.drain_s is None:
            return False
        in_time = now_s < notice.read_at_s + self.drain.drain_s
        ends_soon = self.work_ends_s(member) < now_s + RECORDED_LEFT_S
        return listing.is_undated and in_time and ends_soon

    def note_recorded(self, member: members.Member, left_s: float, *, asked_at_s: float) -> None:
        """Note that a record was there, by which new work may be sent for ``left_s``.

        It was read after ``asked_at_s``.
        """
        ends_s = asked_at_s + min(left_s, RECORDED_LEFT_S)
        self.note_told(member, ends_s + TRANSIT_S - self.drain.drain_s)

    def forget_old(self, now_s: float) -> None:
        """Forget servers that had no entry for ``RETENTION_S``; call at intervals."""
        oldest_s = now_s - RETENTION_S
        for member in [each for each, kept in self.listings.items() if kept.listed_at_s < oldest_s]:
            del self.listings[member]
            self.notices.pop(member, None)

    # Deciding

    def notice_of(self, member: members.Member) -> LeaveNotice | None:
        """Return the announcement of a server; None without one."""
        return self.notices.get(member)

    def work_ends_s(self, member: members.Member) -> float:
        """Return the time from which a server gets no new work; infinite if none is known."""
        notice = self.notice_of(member)
        if notice is None or self.drain.drain_s is None:
            return math.inf
        return notice.not_before_s + self.drain.drain_s - TRANSIT_S

    def accepts(self, member: members.Member, now_s: float) -> bool:
        """Return whether new work may be sent to a server now."""
        return now_s < self.work_ends_s(member)

    def recent(self, now_s: float, *, within_s: float) -> list[members.Member]:
        """Return the servers about whose announcements other instances are to be asked.

        These are the ones that were read within ``within_s``, and those that may be older than
        this instance can tell, while their callers wait.
        """
        return [
            member
            for member, notice in self.notices.items()
            if now_s < notice.read_at_s + within_s
            or (now_s < notice.read_at_s + CHANGE_WAIT_S and not self.accepts(member, now_s))
        ]

    def decide(self, member: members.Member, succession: Succession, now_s: float) -> Decision:
        """Decide what becomes of new work for the primary now."""
        if self.accepts(member, now_s):
            return Decision(verdict=Verdict.SEND)
        notice = self.notice_of(member)
        since_s = max(notice.read_at_s, succession.recorded_at_s)
        if succession.staying and now_s < since_s + CHANGE_WAIT_S:
            return Decision(verdict=Verdict.WAIT, reason="another server is about to lead")
        if succession.recorded_at_s > -math.inf:
            return Decision(
                verdict=Verdict.REFUSE,
                reason="the promotion of another server takes long",
                retry_s=RECORDED_RETRY_S,
            )
        if succession.staying:
            return Decision(
                verdict=Verdict.REFUSE,
                reason="no other server could be promoted yet",
                retry_s=STAYING_RETRY_S,
            )
        return Decision(
            verdict=Verdict.REFUSE, reason="no other server is listed", retry_s=ALONE_RETRY_S
        )
