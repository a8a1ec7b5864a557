"""A history of callers' operations and their outcomes, and a checker of consistency guarantees.

The checker is independent of the implementation: its only inputs are the recorded operations with
their answers, and the rows that the database holds at the end.
"""

import collections
import collections.abc
import dataclasses
import enum


class Outcome(enum.Enum):
    """The outcome of a write as its caller learned it."""

    RAN = "ran"
    """Acknowledged."""
    NOT_RUN = "not run"
    """Certainly without effect: the answer says so, or no commit was sent."""
    UNKNOWN = "unknown"
    """The write may or may not have had an effect."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Write:
    """A write that inserts ``parts`` rows of one operation in one transaction; times in seconds."""

    session: str
    operation: str
    sent_at_s: float
    answered_at_s: float
    outcome: Outcome
    parts: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Read:
    """A read of all operations of one session; ``seen`` is the result, times are in seconds."""

    session: str
    sent_at_s: float
    answered_at_s: float
    seen: frozenset[str]
    connected_at_s: float | None = None
    """When the session connected without a token, for reads after a change of instance."""
    max_age_s: float | None = None
    """Staleness bound that the read stated; None without one."""


class Guarantee(enum.Enum):
    """A consistency guarantee that the checker verifies."""

    DURABLE = "an acknowledged write is in the database"
    NOT_RUN = "a write answered as not run has no effect"
    AT_MOST_ONCE = "a write has its effect at most once"
    ATOMIC = "a transaction has all its rows or none"
    READ_YOUR_WRITES = "a session reads its own writes"
    MONOTONIC_READS = "a session's reads never lose what an earlier read showed"
    MAX_AGE = "a read with a maximum age is not older than it"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """One violation of a guarantee."""

    guarantee: Guarantee
    session: str
    detail: str


@dataclasses.dataclass(kw_only=True)
class History:
    """All recorded writes and reads of a run."""

    writes: list[Write] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)

    def acknowledged(self) -> list[Write]:
        """Return the acknowledged writes, ordered by the time of their answers."""
        ran = [write for write in self.writes if write.outcome is Outcome.RAN]
        return sorted(ran, key=lambda write: write.answered_at_s)


def check(history: History, final_rows: collections.abc.Iterable[str]) -> list[Violation]:
    """Check a history against the final rows, given as the operation of each row."""
    rows = collections.Counter(final_rows)
    return [
        *_check_rows(history, rows),
        *_check_read_your_writes(history),
        *_check_monotonic(history),
        *_check_age(history),
    ]


def _check_rows(
    history: History, rows: collections.Counter[str]
) -> collections.abc.Iterator[Violation]:
    for write in history.writes:
        count = rows[write.operation]
        if write.outcome is Outcome.RAN and count < write.parts:
            yield _violation(Guarantee.DURABLE, write, f"{count} of {write.parts} rows")
        if write.outcome is Outcome.NOT_RUN and count > 0:
            yield _violation(Guarantee.NOT_RUN, write, f"{count} rows")
        if count > write.parts:
            yield _violation(Guarantee.AT_MOST_ONCE, write, f"{count} rows, wanted {write.parts}")
        if write.outcome is Outcome.UNKNOWN and 0 < count < write.parts:
            yield _violation(Guarantee.ATOMIC, write, f"{count} of {write.parts} rows")


def _violation(guarantee: Guarantee, write: Write, detail: str) -> Violation:
    return Violation(
        guarantee=guarantee, session=write.session, detail=f"{write.operation}: {detail}"
    )


def _check_read_your_writes(history: History) -> collections.abc.Iterator[Violation]:
    """Check that a read sent after a write's acknowledgement shows it, also in a new connection."""
    by_session = collections.defaultdict(list)
    for write in history.acknowledged():
        by_session[write.session].append(write)
    for read in history.reads:
        for write in by_session[read.session]:
            before = write.answered_at_s < read.sent_at_s
            if before and write.operation not in read.seen:
                yield Violation(
                    guarantee=Guarantee.READ_YOUR_WRITES,
                    session=read.session,
                    detail=f"{write.operation}, acknowledged"
                    f" {read.sent_at_s - write.answered_at_s:.3f} s before the read, is missing",
                )


def _check_monotonic(history: History) -> collections.abc.Iterator[Violation]:
    by_session = collections.defaultdict(list)
    for read in history.reads:
        by_session[read.session].append(read)
    for session, reads in by_session.items():
        seen: frozenset[str] = frozenset()
        for read in sorted(reads, key=lambda read: read.sent_at_s):
            lost = seen - read.seen
            if lost:
                yield Violation(
                    guarantee=Guarantee.MONOTONIC_READS,
                    session=session,
                    detail=f"{sorted(lost)[0]} was in an earlier read and is missing",
                )
            seen |= read.seen


def _check_age(history: History) -> collections.abc.Iterator[Violation]:
    """Check that a read with a maximum age shows each own write acknowledged before that age."""
    acknowledged = history.acknowledged()
    for read in history.reads:
        if read.max_age_s is None:
            continue
        for write in acknowledged:
            old_enough = write.answered_at_s < read.sent_at_s - read.max_age_s
            same_session = write.session == read.session
            if old_enough and same_session and write.operation not in read.seen:
                yield Violation(
                    guarantee=Guarantee.MAX_AGE, session=read.session, detail=write.operation
                )


def longest_gap_s(history: History, *, after_s: float) -> float:
    """Return the longest gap in seconds between two successive acknowledgements.

    Only gaps that end at or after ``after_s`` count; infinity if there is none.
    """
    answered = [write.answered_at_s for write in history.acknowledged()]
    gaps = [
        later - earlier
        for earlier, later in zip(answered, answered[1:], strict=False)
        if later >= after_s
    ]
    return max(gaps, default=float("inf"))
