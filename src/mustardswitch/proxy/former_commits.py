"""Reports commits that a former primary took although a successor's promotion was recorded.

The result is logged and counted; no decision depends on it.
"""

import collections
import dataclasses
import enum

from mustardswitch import events, metrics
from mustardswitch.internal import clock, ids, positions

LATE_S = 5.0
"""Time after a hold for which answers of the former primary count; longer than commits are under
way."""


class Kind(enum.Enum):
    """How a commit came to a former primary."""

    ANSWERED = "answered"
    """It was sent before this instance knew of the record, and answered after it."""
    SENT = "sent"
    """It was sent although this instance knew of the record."""
    LATER_TERM = "later_term"
    """Its answer is of a later term than the one in which it was sent."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SentCommit:
    """A commit, and what this instance knew as it was sent."""

    server: ids.ServerId
    request: ids.RequestId
    term: ids.Term | None
    """The term of the server's lead as far as it was known."""
    recorded: bool
    """Whether another server's promotion was recorded."""
    at_s: float
    """When it was sent (``clock.now_s``)."""


class FormerCommits:
    """Commits of one service at a server while, or after, another one's promotion is recorded."""

    def __init__(self, *, service: ids.ServiceName, registry: metrics.Registry) -> None:
        self.service = service
        self.registry = registry
        self.promoted: ids.ServerId | None = None
        """The server whose promotion was recorded last."""
        self.since_s = 0.0
        """When that was learned (``clock.now_s``)."""
        self.counts: collections.Counter[Kind] = collections.Counter()
        self.acknowledged = 0
        """How many of them the callers are told as successes."""
        self.first: SentCommit | None = None
        """The first commit of the present change."""
        self.last_s = 0.0
        """Time from ``since_s`` to the last of its commits, in seconds."""
        self.end: positions.Position | None = None
        """The highest position that came with one of them."""
        self.ended_s: float | None = None
        """When the hold ended, with ``promoted`` as the leader; None if it has not."""
        self.kept_since_s: float | None = None
        """When the hold ended, with another server as the leader, which may have a later term."""
        self.logged: collections.Counter[Kind] = collections.Counter()
        """The counts that the latest line told."""
        self.late_logged = False
        """Whether a line was logged since the hold ended."""

    def __repr__(self) -> str:
        return f"FormerCommits(service={self.service!r}, promoted={self.promoted!r})"

    def begin(self, promoted: ids.ServerId) -> None:
        """Begin with a recorded promotion; the change before it is told."""
        self.report()
        self.promoted, self.since_s = promoted, clock.now_s()
        self.counts = collections.Counter()
        self.logged = collections.Counter()
        self.acknowledged = 0
        self.first = self.end = self.ended_s = self.kept_since_s = None
        self.last_s, self.late_logged = 0.0, False

    def finish(self, leader: ids.ServerId | None) -> None:
        """End with the hold; tell what came since the last line. ``leader`` leads from now on."""
        self.report()
        if leader is not None and leader == self.promoted:
            self.ended_s = clock.now_s()
        elif leader is not None:
            self.kept_since_s = clock.now_s()

    def report(self) -> None:
        """Log the commits of this change unless the latest line has told them."""
        if self.counts == self.logged:
            return
        self.logged = self.counts.copy()
        sent, later, answered = (
            self.counts[each] for each in (Kind.SENT, Kind.LATER_TERM, Kind.ANSWERED)
        )
        event = events.Event.COMMITS_ANSWERED
        if sent or later:
            event = events.Event.COMMITS_TAKEN
        events.log(
            event,
            service=self.service,
            server=self.first.server,
            taken=(
                f"{sent} {later} {answered} {self.acknowledged} {self.last_s:.1f}"
                f" {self.first.request}"
            ),
            end=self.end,
            promoted=self.promoted,
        )

    def note_sent(
        self,
        server: ids.ServerId,
        request: ids.RequestId,
        *,
        term: ids.Term | None,
        recorded: ids.ServerId | None,
    ) -> SentCommit:
        """Record that a commit is sent; ``recorded`` is the promotion known now, if any."""
        sent = SentCommit(
            server=server,
            request=request,
            term=term,
            recorded=recorded not in (None, server),
            at_s=clock.now_s(),
        )
        if sent.recorded:
            self._count(sent, Kind.SENT)
        return sent

    def note_answered(
        self,
        sent: SentCommit,
        position: positions.Position | None,
        *,
        recorded: ids.ServerId | None,
        acknowledged: bool,
    ) -> None:
        """Record that a commit has succeeded, with the end of the log in its answer.

        ``acknowledged`` is whether its caller is told so.
        """
        is_later = None not in (sent.term, position) and position.term > sent.term
        is_held = recorded not in (None, sent.server) or self._is_late(sent.server)
        is_kept = self.kept_since_s is not None and sent.at_s >= self.kept_since_s
        if is_later and sent.server != self.promoted and not is_kept:
            kind = Kind.LATER_TERM
        elif is_held and not sent.recorded:
            kind = Kind.ANSWERED
        else:
            self.acknowledged += sent.recorded and acknowledged
            return
        self.acknowledged += acknowledged
        self._count(sent, kind, position)

    def _is_late(self, server: ids.ServerId) -> bool:
        """Return whether a server answers shortly after another one was seen to lead."""
        ended_s = self.ended_s
        return ended_s is not None and server != self.promoted and clock.now_s() < ended_s + LATE_S

    def _count(
        self, sent: SentCommit, kind: Kind, position: positions.Position | None = None
    ) -> None:
        self.counts[kind] += 1
        self.registry.count("commits_at_former_primary", kind.value)
        self.last_s = clock.now_s() - self.since_s
        self.end = max((each for each in (self.end, position) if each is not None), default=None)
        if self.first is None:
            self.first = sent
        is_grave = kind is not Kind.ANSWERED
        is_first = is_grave and not (self.logged[Kind.SENT] or self.logged[Kind.LATER_TERM])
        is_late = self.ended_s is not None and not self.late_logged
        if is_first or is_late:
            self.late_logged = self.ended_s is not None
            self.report()
