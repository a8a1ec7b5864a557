"""How long the servers of one service usually take, by kind of work.

A server that has just started is compared with what its peers take at the same time. When no peer
has answered lately, for example after a power failure, it is compared with what any of them,
itself included, took before.
"""

import dataclasses
import enum

from mustardswitch.internal import ids

REFERENCE_WEIGHT = 0.05
"""Weight of a new measurement in an average: the work of single statements varies by several times
its mean, and 40 of them bring the deviation of the average below a tenth."""
MIN_ANSWERS = 8
"""Answers from which on an average is compared with."""
RECENT_S = 10.0
"""Age up to which an average tells how busy its server is now; earlier ones are used only when no
peer has a recent one."""


class Work(enum.Enum):
    """Kinds of work whose durations are not comparable with each other."""

    READ = "read"
    """A read, in or outside of a transaction."""
    WRITE = "write"
    """A write outside of a transaction, which is committed before the answer."""
    STATEMENT = "statement"
    """A write inside a transaction."""
    COMMIT = "commit"


@dataclasses.dataclass(kw_only=True, slots=True)
class _Average:
    work_s: float
    answers: int
    measured_at_s: float


class References:
    """Average durations of work at the servers of one service that were not limited then."""

    def __init__(self) -> None:
        self.averages: dict[ids.ServerId, dict[Work, _Average]] = {}

    def __repr__(self) -> str:
        return f"References(averages={self.averages!r})"

    def record(self, server: ids.ServerId, work: Work, work_s: float, now_s: float) -> None:
        """Record that a server needed ``work_s`` seconds, without the network, for some work."""
        averages = self.averages.setdefault(server, {})
        known = averages.get(work)
        if known is None:
            averages[work] = _Average(work_s=work_s, answers=1, measured_at_s=now_s)
            return
        known.answers += 1
        weight = max(REFERENCE_WEIGHT, 1 / known.answers)
        known.work_s += weight * (work_s - known.work_s)
        known.measured_at_s = now_s

    def expected_s(self, server: ids.ServerId, work: Work, now_s: float) -> float | None:
        """Return how long the work takes at the best peer; None if nothing is known."""
        recent, earlier = [], []
        for name, averages in self.averages.items():
            known = averages.get(work)
            if known is None or known.answers < MIN_ANSWERS:
                continue
            is_recent = name != server and now_s - known.measured_at_s <= RECENT_S
            (recent if is_recent else earlier).append(known.work_s)
        return min(recent or earlier, default=None)

    def forget(self, server: ids.ServerId) -> None:
        """Remove what is known of a server."""
        self.averages.pop(server, None)
