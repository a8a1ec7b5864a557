"""Records which commits were acknowledged, and compares them with the log of a new primary.

The result is logged and counted; no decision depends on it. An answer to a commit shows the end of
the primary's log, which may hold later commits of others that were never acknowledged. So two
positions are kept for the acknowledged commits of a primary: one that the latest commit is
certainly above, since the primary had shown it before the commit was sent, and one that the commit
is certainly not above, which came with its answer. Both presume that a write or COMMIT that
succeeds appends an entry of its own.
"""

import collections
import dataclasses
import enum

from mustardswitch import events, metrics
from mustardswitch.internal import ids, positions, promotion

REPORT_INTERVAL_S = 1.0
"""Least time between reports of one change, and longest wait for the end of the new log; longer
than most commits that are under way at a change take to be answered."""


RECENT_COMMITS = 64
"""Acknowledged commits of a server whose positions are kept; more than are under way at once."""


PROMOTED_END_S = 5.0
"""Time from the proof of a promotion until its server is seen to lead, several times as long as a
promotion takes to be effective."""


class Comparison(enum.Enum):
    """What the log of a new primary tells about the commits acknowledged before it."""

    UNKNOWN = "unknown"
    """No end of the log is known that is comparable."""
    HELD = "held"
    """It reaches the last position that the former primary has shown with a commit."""
    POSSIBLY_MISSING = "possibly missing"
    """It ends below a position that may hold unacknowledged commits only."""
    MISSING_BY_OFFSET = "missing by offset"
    """It is shorter than a log with an acknowledged commit, although it has later entries."""
    MISSING = "missing"
    """It ends below an acknowledged commit."""


EVENTS = {
    Comparison.POSSIBLY_MISSING: events.Event.COMMITS_POSSIBLY_MISSING,
    Comparison.MISSING_BY_OFFSET: events.Event.COMMITS_MISSING_BY_OFFSET,
    Comparison.MISSING: events.Event.COMMITS_MISSING,
}
"""Events of the comparisons that show a loss, the least certain first."""
COUNTERS = {
    Comparison.MISSING_BY_OFFSET: "commits_missing_by_offset",
    Comparison.MISSING: "commits_missing",
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Acknowledged:
    """The last commit that a primary acknowledged through this instance in one term."""

    server: ids.ServerId
    above: positions.Position
    """A position that the commit is above."""
    request: ids.RequestId
    """The commit that is above it; the first one if there are several."""
    shown: positions.Position
    """The end of the log in the answer; the commit is at or below it."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromotedEnd:
    """The end that a server's log had when its promotion was proved."""

    server: ids.ServerId
    end: positions.Position
    told_at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderEnd:
    """The lowest end that a server's log had in a term, as far as this instance has seen it."""

    term: ids.Term
    """The term in which the server leads, or an earlier one if no answer named it yet."""
    end: positions.Position


def compare(acknowledged: Acknowledged, found: LeaderEnd | None) -> Comparison:
    """Compare acknowledged commits with the log of another server that leads later.

    Once the log has entries of the later term, its end before them is not known. Then only a log
    that is shorter in all shows a loss.
    """
    shown, above = acknowledged.shown, acknowledged.above
    if found is None or found.term <= shown.term:
        return Comparison.UNKNOWN
    if found.end.term > shown.term:
        if found.end.offset <= above.offset:
            return Comparison.MISSING_BY_OFFSET
        shorter = found.end.offset < shown.offset
        return Comparison.POSSIBLY_MISSING if shorter else Comparison.UNKNOWN
    if found.end <= above:
        return Comparison.MISSING
    return Comparison.POSSIBLY_MISSING if found.end < shown else Comparison.HELD


def least_missing(acknowledged: Acknowledged, found: LeaderEnd) -> int:
    """Return the least number of commits above the end of a log that lacks an acknowledged one."""
    return max(1, 1 + acknowledged.above.offset - found.end.offset)


def _by_shown(last: Acknowledged) -> tuple[positions.Position, ids.ServerId]:
    return last.shown, last.server


@dataclasses.dataclass(kw_only=True, slots=True)
class ReportedChange:
    """A change of primary, and what was logged about it."""

    before: ids.ServerId
    leader: ids.ServerId
    term: ids.Term
    """The term of the former primary's commits."""
    since_s: float
    reported: Acknowledged | None = None
    reported_at_s: float = float("-inf")
    comparison: Comparison = Comparison.UNKNOWN
    missing: int = 0
    """Commits that were counted as missing, by this comparison."""


class AcknowledgedCommits:
    """The commits of one service that were acknowledged through this instance."""

    def __init__(self, *, service: ids.ServiceName, registry: metrics.Registry) -> None:
        self.service = service
        self.registry = registry
        self.ends: dict[ids.ServerId, LeaderEnd] = {}
        self.shown: dict[ids.ServerId, positions.Position] = {}
        """The highest position that each server has shown while it led."""
        self.latest: dict[ids.ServerId, Acknowledged] = {}
        """The last acknowledged commit by server."""
        self.recent: dict[ids.ServerId, collections.deque[positions.Position]] = {}
        """Positions below the latest acknowledged commits, one for each, by server."""
        self.highest: positions.Position | None = None
        """The highest position that came with an acknowledged commit, whoever led; None without
        any."""
        self.has_unplaced = False
        """Whether a commit was acknowledged by an answer that shows no position."""
        self.change: ReportedChange | None = None
        self.promoted: PromotedEnd | None = None
        """What was told about the latest promotion; None once it does not apply."""
        self.promoted_led = False
        """Whether that server was seen to lead since."""

    def __repr__(self) -> str:
        return f"AcknowledgedCommits(service={self.service!r})"

    def shown_by(self, leader: ids.ServerId) -> positions.Position:
        """Return a position that every commit that is sent from now on will be above."""
        return self.shown.get(leader, positions.ORIGIN)

    def note_shown(
        self,
        leader: ids.ServerId,
        position: positions.Position,
        *,
        term: ids.Term | None = None,
    ) -> None:
        """Record the end of the log in an answer that only a leading primary gives.

        ``term`` is the term in which it leads; None when the answer does not name it.
        """
        if position > self.shown_by(leader):
            self.shown[leader] = position
        found = LeaderEnd(term=position.term if term is None else term, end=position)
        known = self.ends.get(leader)
        if known is None or (known.term, found.end) < (found.term, known.end):
            self.ends[leader] = found

    def latest_term(self, leader: ids.ServerId | None) -> ids.Term | None:
        """Return the term in which a server leads; None unless it is the latest one known."""
        known = self.ends.get(leader)
        latest = max((found.term for found in self.ends.values()), default=None)
        return known.term if known is not None and known.term == latest else None

    def led_term(self, server: ids.ServerId) -> ids.Term | None:
        """Return the latest term in which a server is known to have led.

        None if it has acknowledged no commit; another leader may have written the entries that it
        has shown.
        """
        last, found = self.latest.get(server), self.ends.get(server)
        if last is None:
            return None
        return max(last.shown.term, found.term) if found is not None else last.shown.term

    def note_status(self, server: ids.ServerId, status: promotion.ServerStatus) -> None:
        """Record a server's answer to a status query."""
        if status.leads:
            self.note_shown(server, status.received, term=status.term)

    def note_acknowledged(
        self,
        leader: ids.ServerId,
        *,
        above: positions.Position,
        shown: positions.Position | None,
        request: ids.RequestId,
    ) -> None:
        """Record the acknowledged commit of a request.

        ``above`` is the result of ``shown_by`` before the commit was sent, ``shown`` the position
        in its answer. A commit that shows no higher position has written nothing.
        """
        self.note_answer(shown)
        if shown is None or shown <= above:
            return
        recent = self.recent.setdefault(leader, collections.deque(maxlen=RECENT_COMMITS))
        recent.append(above)
        known = self.latest.get(leader)
        if known is not None and known.shown.term == shown.term:
            shown = max(shown, known.shown)
            if above <= known.above:
                above, request = known.above, known.request
        elif known is not None and known.shown.term > shown.term:
            return
        self.latest[leader] = Acknowledged(server=leader, above=above, shown=shown, request=request)

    def note_answer(self, shown: positions.Position | None) -> None:
        """Record the position in the answer to an acknowledged commit, whoever led."""
        if shown is None:
            self.has_unplaced = True
        elif self.highest is None or shown > self.highest:
            self.highest = shown

    def highest_above(self, *, but: ids.ServerId) -> positions.Position | None:
        """Return the highest position that an acknowledged commit is certainly above.

        Of commits that were under way together each has a position of its own. Leaves out those of
        the server ``but``, which holds its own. None without any.
        """
        found = []
        for server, last in self.latest.items():
            if server == but:
                continue
            recent = [each for each in self.recent.get(server, ()) if each.term == last.shown.term]
            found.append(last.above)
            for rank, above in enumerate(sorted(recent, reverse=True)):
                found.append(dataclasses.replace(above, offset=ids.Offset(above.offset + rank)))
        return max(found, default=None)

    def highest_shown(self, *, but: ids.ServerId) -> positions.Position | None:
        """Return the highest position that came with an acknowledged commit; None without any.

        Leaves out the commits of the server ``but``.
        """
        shown = [each.shown for each in self.latest.values() if each.server != but]
        return max(shown, default=None)

    def forget(self, server: ids.ServerId) -> None:
        """Drop what a server has shown, since it may return with another log.

        What it has acknowledged is kept.
        """
        self.shown.pop(server, None)
        self.ends.pop(server, None)

    def note_promoted(self, server: ids.ServerId, end: positions.Position, *, now_s: float) -> None:
        """Record the end of a log with which a server is about to be promoted."""
        self.promoted = PromotedEnd(server=server, end=end, told_at_s=now_s)
        self.promoted_led = False

    def _review_promoted(self, leader: ids.ServerId, now_s: float) -> None:
        """Drop the end of a promotion that came to nothing, or that another one has followed."""
        told = self.promoted
        if told is None:
            return
        in_time = now_s < told.told_at_s + PROMOTED_END_S
        leads = leader == told.server
        self.promoted_led |= leads and in_time
        if not (leads if self.promoted_led else in_time):
            self.promoted = None

    def _found(self, leader: ids.ServerId, last: Acknowledged) -> LeaderEnd | None:
        """Return the end of a new primary's log before its own entries, if known or told."""
        found = self.ends.get(leader)
        if found is None or found.end.term <= last.shown.term:
            return found
        told = self.promoted
        if told is None or told.server != leader or told.end.term > last.shown.term:
            return found
        return dataclasses.replace(found, end=told.end)

    # Reporting

    def review(self, leader: ids.ServerId | None, now_s: float) -> None:
        """Report a change of primary, and acknowledged commits that the new log may not hold.

        Must be called at short intervals. A change is reported again while commits that the former
        primary has answered late raise the positions, at most every ``REPORT_INTERVAL_S``.
        """
        others = [each for each in self.latest.values() if each.server != leader]
        anew = [each for each in self.latest.values() if self._leads_anew(leader, each)]
        if leader is not None:
            self._review_promoted(leader, now_s)
        if leader is None or not others + anew:
            return
        last = max(others + anew, key=_by_shown)
        if others:
            kept = {leader, max(others, key=_by_shown).server}
            self.latest = {name: self.latest[name] for name in self.latest.keys() & kept}
            self.recent = {name: self.recent[name] for name in self.recent.keys() & kept}
        change = self._change_to(leader, last, now_s)
        found = self._found(leader, last)
        if found is None and now_s < change.since_s + REPORT_INTERVAL_S:
            return
        comparison = compare(last, found)
        if last != change.reported and now_s >= change.reported_at_s + REPORT_INTERVAL_S:
            self._log(events.Event.COMMITS_BEFORE_CHANGE, last, leader, comparison.value)
            change.reported, change.reported_at_s = last, now_s
        if comparison in EVENTS:
            self._note_missing(change, last, found, comparison)

    def _leads_anew(self, leader: ids.ServerId | None, last: Acknowledged) -> bool:
        """Return whether a server leads in a later term than that of its own last commit."""
        found = self.ends.get(leader)
        return found is not None and last.server == leader and found.term > last.shown.term

    def _change_to(self, leader: ids.ServerId, last: Acknowledged, now_s: float) -> ReportedChange:
        known = self.change
        key = (last.server, leader, last.shown.term)
        if known is None or key != (known.before, known.leader, known.term):
            known = ReportedChange(
                before=last.server, leader=leader, term=last.shown.term, since_s=now_s
            )
            self.change = known
        return known

    def _note_missing(
        self,
        change: ReportedChange,
        last: Acknowledged,
        found: LeaderEnd,
        comparison: Comparison,
    ) -> None:
        """Log a loss unless a more certain one was logged, and count the commits."""
        order = list(EVENTS)
        known = order.index(change.comparison) if change.comparison in EVENTS else -1
        if order.index(comparison) > known:
            change.comparison, change.missing = comparison, 0
            fields = {"missing": least_missing(last, found)} if comparison in COUNTERS else {}
            self._log(EVENTS[comparison], last, change.leader, comparison.value, **fields)
        if comparison is change.comparison and comparison in COUNTERS:
            missing = least_missing(last, found)
            self.registry.count(
                COUNTERS[comparison], self.service, max(0, missing - change.missing)
            )
            change.missing = max(change.missing, missing)

    def _log(
        self,
        event: events.Event,
        last: Acknowledged,
        leader: ids.ServerId,
        comparison: str,
        **fields: object,
    ) -> None:
        found = self._found(leader, last)
        events.log(
            event,
            service=self.service,
            server=leader,
            above=last.above,
            end=found.end if found else None,
            **fields,
            before=last.server,
            shown=last.shown,
            request=last.request,
            term=found.term if found else None,
            comparison=comparison,
        )
