"""A service whose acknowledged commits are known, and what its instances tell of them."""

import dataclasses

from hypothesis import strategies as st

from mustardswitch.internal import acknowledged_end, positions
from tests.common import builders

LIMIT_S = 4.5
"""Time for which an instance may send commits after it was removed from the list."""
DROPPED_S = 3.0
"""Time in which a primary that runs drops a connection that has ended."""
TRANSIT_S = 0.2
"""Longest time that a question or its answer takes."""
NAMES = 3
PARTS = (
    "shown",
    "start",
    "unanswered",
    "removal",
    "limit",
    "watched",
    "transit",
    "dropped",
    "seen",
)

_NAME = st.integers(0, NAMES - 1)
STEPS = st.lists(
    st.tuples(st.just("commit"), _NAME, st.booleans())
    | st.tuples(st.sampled_from(["query", "restart", "remove", "abandon"]), _NAME)
    | st.tuples(
        st.sampled_from(["unlisted_commit", "unlisted_abandon", "late_commit", "freeze", "thaw"])
    )
    | st.tuples(st.just("promote"), st.integers(0, 3))
    | st.tuples(st.just("pass_time"), st.sampled_from([0.05, 0.5, 2.0, 3.5, 5.0])),
    max_size=30,
)
_CALM = [("query", 0), ("pass_time", 5.0), ("query", 0)]
LOSING = {
    "shown": [("pass_time", 5.0), *_CALM, ("commit", 1, True)],
    "start": [("pass_time", 5.0), *_CALM, ("commit", 1, True), ("restart", 1)],
    "unanswered": [("pass_time", 5.0), *_CALM, ("abandon", 1), ("late_commit",)],
    "removal": [("pass_time", 5.0), *_CALM, ("commit", 1, True), ("remove", 1)],
    "limit": [
        ("remove", 1),
        ("pass_time", 0.5),
        ("query", 0),
        ("pass_time", 3.5),
        ("query", 0),
        ("unlisted_commit",),
    ],
    "watched": [
        ("remove", 2),
        ("restart", 0),
        ("pass_time", 0.5),
        ("query", 0),
        ("pass_time", 3.5),
        ("query", 0),
        ("unlisted_commit",),
    ],
    "transit": [
        ("remove", 2),
        ("pass_time", 4.35),
        ("query", 1),
        ("pass_time", 0.09),
        ("unlisted_abandon",),
        ("pass_time", 2.65),
        ("query", 1),
        ("late_commit",),
    ],
    "dropped": [
        ("abandon", 1),
        ("pass_time", 0.5),
        ("query", 0),
        ("query", 0),
        ("late_commit",),
    ],
    "seen": [
        ("freeze",),
        ("abandon", 1),
        ("pass_time", 0.5),
        ("query", 0),
        ("pass_time", 5.0),
        ("thaw",),
        ("query", 0),
        ("late_commit",),
    ],
}
"""Steps that lose a commit without one part of the rule."""


@dataclasses.dataclass(kw_only=True)
class Process:
    """A process of an instance, and all that it knows."""

    started_s: float
    unanswered_s: float = float("-inf")
    shown: positions.Position | None = None
    samples: list[acknowledged_end.Sample] = dataclasses.field(default_factory=list)


class World:
    """Instance 0 is the holder; the others may be restarted, or removed and run on for a while."""

    def __init__(self, *, without: str = "") -> None:
        self.without = without
        self.now_s = 100.0
        self.term, self.end = 1, builders.position(1, 0)
        self.acked: list[positions.Position] = []
        self.processes = {name: Process(started_s=0.0) for name in range(NAMES)}
        self.removed: dict[int, float] = {}
        """Instances that may run on, and when they were removed."""
        self.seen_removed: dict[int, float] = {}
        """Those that the holder has seen to be removed."""
        self.watched_since_s = 0.0
        self.frozen = False
        self.waiting: list[float] = []
        """Until when the primary may execute commits whose connections have ended."""
        self.asked: list[tuple[Process, float]] = []
        """Queries that a frozen primary has not answered."""

    def play(self, steps) -> None:
        """Take steps in their order."""
        for name, *arguments in steps:
            getattr(self, name)(*arguments)

    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self.now_s += seconds

    # The primary

    def _append(self) -> None:
        self.end = builders.position(self.term, self.end.offset + 1)

    def freeze(self) -> None:
        """Stop the primary, with all that it has received."""
        self.frozen = True

    def thaw(self) -> None:
        """Let it go on; what it has received is executed in any order."""
        if self.frozen:
            self.frozen = False
            self.waiting = [min(each, self.now_s + DROPPED_S) for each in self.waiting]
            for process, sent_s in self.asked:
                self._answer(process, sent_s)
            self.asked = []

    def late_commit(self) -> None:
        """Execute a commit whose connection has ended, and that a replica confirms."""
        if not self.frozen and any(self.now_s <= each for each in self.waiting):
            self._append()
            self.acked.append(self.end)

    def promote(self, unacknowledged: int) -> None:
        """Begin another term with a log that may lack commits that are not acknowledged."""
        kept = max([builders.position(1, 0), *self.acked])
        if kept.term == self.end.term:
            offset = max(kept.offset, self.end.offset - unacknowledged)
            self.end = builders.position(self.end.term, offset)
        self.term += 1
        self.waiting, self.asked, self.frozen = [], [], False

    # The instances

    def commit(self, name: int, acknowledged: bool) -> None:
        """Execute a commit of a listed instance, which a replica may confirm."""
        process = self.processes.get(name)
        if process is not None and not self.frozen:
            self._append()
            process.shown = self.end
            if acknowledged:
                self.acked.append(self.end)

    def _leave_waiting(self) -> None:
        until_s = float("inf") if self.frozen else self.now_s + DROPPED_S
        self.waiting.append(until_s)

    def abandon(self, name: int) -> None:
        """Send a commit, and close its connection without an answer."""
        process = self.processes.get(name)
        if process is not None:
            self._leave_waiting()
            process.unanswered_s = self.now_s

    @property
    def _unlisted_run(self) -> bool:
        return any(self.now_s < at_s + LIMIT_S for at_s in self.removed.values())

    def unlisted_commit(self) -> None:
        """Execute a commit of an instance that was removed a short time ago."""
        if self._unlisted_run and not self.frozen:
            self._append()
            self.acked.append(self.end)

    def unlisted_abandon(self) -> None:
        """Let such an instance send a commit, and end."""
        if self._unlisted_run:
            self._leave_waiting()

    def query(self, name: int) -> None:
        """Query the primary's end."""
        process = self.processes.get(name)
        if process is None:
            return
        if self.frozen:
            self.asked.append((process, self.now_s))
        else:
            sent_s = self.now_s
            self.now_s += 0.01
            self._answer(process, sent_s)

    def _answer(self, process: Process, sent_s: float) -> None:
        process.samples.append(
            acknowledged_end.Sample(
                sent_after_s=sent_s,
                answered_by_s=sent_s if self.without == "seen" else self.now_s,
                position=self.end,
            )
        )

    def restart(self, name: int) -> None:
        """Start a new process of an instance; the holder's own knows the list from then on."""
        self.now_s += 0.01
        self.processes[name] = Process(started_s=self.now_s)
        self.removed.pop(name, None)
        self.seen_removed.pop(name, None)
        if name == 0:
            self.seen_removed.clear()
            self.watched_since_s = self.now_s

    def remove(self, name: int) -> None:
        """Remove an instance from the list; it runs on for a while, and does not report."""
        if name and name in self.processes:
            del self.processes[name]
            self.removed[name] = self.seen_removed[name] = self.now_s

    def acknowledged(self) -> positions.Position:
        """Return the position of the highest acknowledged commit."""
        return max(self.acked, default=builders.position(1, 0))

    # What they tell

    def _answered_since_s(self, process: Process) -> float:
        known = []
        if self.without != "start":
            known.append(process.started_s)
        if self.without != "unanswered":
            known.append(process.unanswered_s)
        return max(known)

    def _told(self, process: Process) -> acknowledged_end.Told:
        asked_s = self.now_s
        answered_s = asked_s + TRANSIT_S
        received_s = answered_s + TRANSIT_S
        from_s, by_s = asked_s, received_s
        if self.without == "transit":
            from_s, by_s = received_s, asked_s
        known = [process.samples[0], process.samples[-1]] if process.samples else []
        return acknowledged_end.Told(
            shown=None if self.without == "shown" else process.shown,
            answered_since_s=received_s - (answered_s - self._answered_since_s(process)),
            samples=tuple(
                acknowledged_end.Sample(
                    sent_after_s=from_s - (answered_s - each.sent_after_s),
                    answered_by_s=by_s - (answered_s - each.answered_by_s),
                    position=each.position,
                )
                for each in known
            ),
        )

    def find(self) -> positions.Position | None:
        """Return the end that the holder finds by the reports of all listed instances."""
        known_s = list(self.seen_removed.values()) if self.without != "removal" else []
        if self.without != "watched":
            known_s.append(self.watched_since_s)
        limit_s = 0.0 if self.without == "limit" else LIMIT_S
        unheard_until_s = max(known_s, default=float("-inf")) + limit_s
        own, *others = (self.processes[name] for name in sorted(self.processes))
        reports = [self._told(each) for each in others]
        reports.append(
            acknowledged_end.Told(
                shown=None if self.without == "shown" else own.shown,
                answered_since_s=self._answered_since_s(own),
                samples=tuple(own.samples),
            )
        )
        return acknowledged_end.find(reports, unheard_until_s=unheard_until_s)
