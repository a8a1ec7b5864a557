"""A history of what callers asked and were told, and the checker that judges it afterwards.

The checker knows nothing of the system: it looks at the log of invocations and answers and at the
rows that are in the database at the end.
"""

import collections
import collections.abc
import dataclasses
import enum


class Told(enum.Enum):
    """What a caller was told about a write."""

    RAN = "ran"
    """Acknowledged."""
    NOT_RUN = "not run"
    """Certainly without effect."""
    UNKNOWN = "unknown"
    """Perhaps with effect."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Write:
    """A write of one operation; ``parts`` rows in one transaction."""

    session: str
    operation: str
    asked_s: float
    answered_s: float
    told: Told
    parts: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Read:
    """A read of all operations of one session; ``seen`` holds them."""

    session: str
    asked_s: float
    answered_s: float
    seen: frozenset[str]
    arrived_s: float | None = None
    """When the session connected without a token, for reads of a roaming session."""
    max_age_s: float | None = None


class Promise(enum.Enum):
    """What a violation breaks."""

    DURABLE = "an acknowledged write is in the database"
    NOT_RUN = "a write told as not run has no effect"
    ONCE = "a write has its effect at most once"
    ATOMIC = "a transaction has all its rows or none"
    OWN_WRITES = "a session reads its own writes"
    MONOTONIC = "a session does not go back in time"
    AGE = "a read with a stated age is not older"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """One broken promise."""

    promise: Promise
    session: str
    detail: str


@dataclasses.dataclass(kw_only=True)
class History:
    """All writes and reads of a run."""

    writes: list[Write] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)

    def acknowledged(self) -> list[Write]:
        """Return the acknowledged writes in the order of their answers."""
        ran = [write for write in self.writes if write.told is Told.RAN]
        return sorted(ran, key=lambda write: write.answered_s)


def check(history: History, final_rows: collections.abc.Iterable[str]) -> list[Violation]:
    """Judge a history against the rows at the end, one entry per row with its operation."""
    rows = collections.Counter(final_rows)
    return [
        *_check_rows(history, rows),
        *_check_own_writes(history),
        *_check_monotonic(history),
        *_check_age(history),
    ]


def _check_rows(
    history: History, rows: collections.Counter[str]
) -> collections.abc.Iterator[Violation]:
    for write in history.writes:
        count = rows[write.operation]
        if write.told is Told.RAN and count < write.parts:
            yield _violation(Promise.DURABLE, write, f"{count} of {write.parts} rows")
        if write.told is Told.NOT_RUN and count > 0:
            yield _violation(Promise.NOT_RUN, write, f"{count} rows")
        if count > write.parts:
            yield _violation(Promise.ONCE, write, f"{count} rows, wanted {write.parts}")
        if write.told is Told.UNKNOWN and 0 < count < write.parts:
            yield _violation(Promise.ATOMIC, write, f"{count} of {write.parts} rows")


def _violation(promise: Promise, write: Write, detail: str) -> Violation:
    return Violation(promise=promise, session=write.session, detail=f"{write.operation}: {detail}")


def _check_own_writes(history: History) -> collections.abc.Iterator[Violation]:
    """A read asked after a write was acknowledged shows it, also in a new connection."""
    by_session = collections.defaultdict(list)
    for write in history.acknowledged():
        by_session[write.session].append(write)
    for read in history.reads:
        for write in by_session[read.session]:
            before = write.answered_s < read.asked_s
            if before and write.operation not in read.seen:
                yield Violation(
                    promise=Promise.OWN_WRITES,
                    session=read.session,
                    detail=f"{write.operation}, acknowledged {read.asked_s - write.answered_s:.3f}"
                    " s before, is missing",
                )


def _check_monotonic(history: History) -> collections.abc.Iterator[Violation]:
    by_session = collections.defaultdict(list)
    for read in history.reads:
        by_session[read.session].append(read)
    for session, reads in by_session.items():
        seen: frozenset[str] = frozenset()
        for read in sorted(reads, key=lambda read: read.asked_s):
            lost = seen - read.seen
            if lost:
                yield Violation(
                    promise=Promise.MONOTONIC,
                    session=session,
                    detail=f"{sorted(lost)[0]} was shown before and is missing",
                )
            seen |= read.seen


def _check_age(history: History) -> collections.abc.Iterator[Violation]:
    """A read with a stated age shows every write acknowledged before that age."""
    acknowledged = history.acknowledged()
    for read in history.reads:
        if read.max_age_s is None:
            continue
        for write in acknowledged:
            old_enough = write.answered_s < read.asked_s - read.max_age_s
            concerns = write.session == read.session
            if old_enough and concerns and write.operation not in read.seen:
                yield Violation(promise=Promise.AGE, session=read.session, detail=write.operation)


def longest_gap_s(history: History, *, after_s: float) -> float:
    """Return the longest time between two acknowledged writes, the later one past ``after_s``."""
    answered = [write.answered_s for write in history.acknowledged()]
    gaps = [
        later - earlier
        for earlier, later in zip(answered, answered[1:], strict=False)
        if later >= after_s
    ]
    return max(gaps, default=float("inf"))
