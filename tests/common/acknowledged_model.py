"""A service whose acknowledged commits are known, and what its instances tell of them."""

import dataclasses

from hypothesis import strategies as st

from mustardswitch.internal import acknowledged_end, position_history, positions
from tests.common import builders

LIMIT_S = 4.5
"""Time for which an instance may acknowledge commits after it was removed from the list."""
TRANSIT_S = 0.2
"""Longest time that a question or its answer takes."""
NAMES = 3
PARTS = ("shown", "start", "removal", "limit", "transit", "watched")

Step = tuple
STEPS = st.lists(
    st.tuples(st.just("commit"), st.integers(0, NAMES - 1), st.booleans())
    | st.tuples(st.just("query"), st.integers(0, NAMES - 1))
    | st.tuples(st.just("restart"), st.integers(0, NAMES - 1))
    | st.tuples(st.just("remove"), st.integers(0, NAMES - 1))
    | st.tuples(st.just("unlisted_commit"))
    | st.tuples(st.just("promote"), st.integers(0, 3))
    | st.tuples(st.just("pass_time"), st.sampled_from([0.05, 0.1, 0.5, 2.0, 5.0])),
    max_size=30,
)
LOSING = {
    "shown": [("pass_time", 1.0), ("query", 0), ("commit", 1, True)],
    "start": [("query", 2), ("commit", 1, True), ("restart", 1)],
    "removal": [("query", 0), ("commit", 1, True), ("remove", 1)],
    "limit": [("remove", 1), ("pass_time", 0.1), ("query", 0), ("unlisted_commit",)],
    "transit": [
        ("remove", 2),
        ("pass_time", 4.35),
        ("query", 1),
        ("pass_time", 0.05),
        ("unlisted_commit",),
    ],
    "watched": [
        ("remove", 2),
        ("restart", 0),
        ("pass_time", 0.5),
        ("query", 1),
        ("unlisted_commit",),
    ],
}
"""Steps that lose a commit without one part of the rule."""


@dataclasses.dataclass(kw_only=True)
class Process:
    """A process of an instance, and all that it knows."""

    started_s: float
    shown: positions.Position | None = None
    samples: list[position_history.PositionSample] = dataclasses.field(default_factory=list)


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

    def play(self, steps) -> None:
        """Take steps in their order."""
        for name, *arguments in steps:
            getattr(self, name)(*arguments)

    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self.now_s += seconds

    def _append(self) -> None:
        self.end = builders.position(self.term, self.end.offset + 1)

    def commit(self, name: int, acknowledged: bool) -> None:
        """Execute a commit of a listed instance; its answer may be lost."""
        self._append()
        process = self.processes.get(name)
        if process is not None and acknowledged:
            self.acked.append(self.end)
            process.shown = self.end

    def unlisted_commit(self) -> None:
        """Execute and acknowledge a commit of an instance that was removed a short time ago."""
        if any(self.now_s < at_s + LIMIT_S for at_s in self.removed.values()):
            self._append()
            self.acked.append(self.end)

    def query(self, name: int) -> None:
        """Query the primary's end."""
        process = self.processes.get(name)
        if process is not None:
            process.samples.append(
                position_history.PositionSample(query_sent_at_s=self.now_s, position=self.end)
            )
        self.now_s += 0.01

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

    def promote(self, unacknowledged: int) -> None:
        """Begin another term with a log that may lack commits that are not acknowledged."""
        kept = max([builders.position(1, 0), *self.acked])
        if kept.term == self.end.term:
            offset = max(kept.offset, self.end.offset - unacknowledged)
            self.end = builders.position(self.end.term, offset)
        self.term += 1

    def acknowledged(self) -> positions.Position:
        """Return the position of the highest acknowledged commit."""
        return max(self.acked, default=builders.position(1, 0))

    def _told(self, process: Process) -> acknowledged_end.Told:
        asked_s = self.now_s
        answered_s = asked_s + TRANSIT_S
        received_s = answered_s + TRANSIT_S
        known = [process.samples[0], process.samples[-1]] if process.samples else []
        counted_from_s = received_s if self.without == "transit" else asked_s
        return acknowledged_end.Told(
            shown=None if self.without == "shown" else process.shown,
            started_by_s=(
                float("-inf")
                if self.without == "start"
                else received_s - (answered_s - process.started_s)
            ),
            samples=tuple(
                position_history.PositionSample(
                    query_sent_at_s=counted_from_s - (answered_s - each.query_sent_at_s),
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
                started_by_s=own.started_s,
                samples=tuple(own.samples),
            )
        )
        return acknowledged_end.find(reports, unheard_until_s=unheard_until_s)
