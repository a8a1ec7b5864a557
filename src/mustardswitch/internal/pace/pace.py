"""The number of statements in flight that a server gets after its start.

A new server starts with one or two statements. As long as its answers show no queue, the number
doubles with each round of answers, as the congestion window of TCP does. It shrinks when answers
take twice as long as at the server's best, which means that they wait for each other, and on
errors. The limit ends when the server answers about as fast as its best peer.

No step depends on the time since the start: a cold server that is given work by a timer is flooded
when it warms up later than assumed, and left idle when it does so earlier.
"""

import math
import sys

from mustardswitch.internal import ids
from mustardswitch.internal.pace import references

UNBOUNDED = sys.maxsize
"""What ``Pace.allowed`` returns while a server is not limited."""
FAMILIAR_START = 2
"""Statements in flight at first for a server that does not report a warm-up; one for others."""
MIN_WORK_S = 0.001
"""Lower bound of the duration of work after the usual time of the network is subtracted."""
ASSUMED_WORK_S = 0.02
"""Duration of work that slowdowns are relative to while no server of the service is known."""
FAST_WEIGHT = 0.1
"""Weight of an answer in the average that shows queues; reacts within 10 answers."""
SLOW_WEIGHT = 0.04
"""Weight of an answer in the average that ends the limit. A server that takes 1.6 times as long
appears as fast as its peers once in 7,400 answers by chance, with the weight above in 130."""
SPARSE_GAP = 16.0
"""Multiple of an answer's latency after which nothing of an earlier average is kept. A server that
is only measured from time to time would otherwise count as slow long after it has warmed up."""
MAX_WEIGHT = 0.5
"""Largest weight of an answer after a pause; one answer alone may be a short statement."""
GROWTH_TOLERANCE = 1.3
"""Multiple of the best slowdown up to which the limit of a slow server grows. All instances raise
theirs at the same time, and each sees the queue only after its next round."""
GROWTH_BEYOND_SHARE = 0.1
"""Part of the usual growth that a slow server's limit has beyond this instance's share of its
slots, which leaves the other instances time to use theirs. After a power failure in the simulation
at full load, 59 % of the answers are within the target instead of 49 %."""
QUEUE_TOLERANCE = 1.6
"""Multiple of the best slowdown above which statements wait for each other in the server."""
PEER_TOLERANCE = 1.25
"""Slowdown up to which a server answers as well as its peers."""
FAST_ENOUGH = 2.0
"""Slowdown below which the limit doubles with each round, also before the server's best is known.
Above, it grows by one, since a queue shows only after a round that takes as many times as long."""
MIN_ROUND = 4
"""Least number of answers between two decreases, and from which on a best is known."""
MIN_COMPARED = 24
"""Least number of answers that are compared with peers before the limit ends."""
STEADY_ANSWERS = 128
"""Answers without a decrease and without a better best after which the limit of a server ends that
there is nothing to compare with."""
IMPROVEMENT = 0.9
"""Fraction of the best slowdown below which a server still warms up."""
BEST_DRIFT = 1.002
"""Factor by which the best slowdown grows with each answer, so that a lucky one is forgotten."""
FLOOR_DRIFT = 1.02
"""The same factor at the floor, where a queue is not of this instance's making, or the server is
slower than before: the limit of a single instance grows again after a few dozen answers."""
MAX_DECREASE, MIN_DECREASE = 0.5, 0.9
"""Bounds of the factor by which the limit shrinks when answers show a queue."""
ERROR_DECREASE = 0.5
"""Factor by which the limit shrinks on an error."""
ERRORS_TO_FLOOR = 3
"""Errors without an answer between them after which the limit is at its floor."""


class Pace:
    """The limit of one server; not limited until ``note_start``.

    ``network_s`` is the usual time that the network adds to an answer, in seconds; ``floor`` is the
    least number of statements that the server is always allowed; ``share`` is this instance's part
    of the server's slots.
    """

    def __init__(
        self,
        *,
        server: ids.ServerId,
        known: references.References,
        network_s: float = 0.0,
        floor: int = 1,
        share: int = 1,
    ) -> None:
        self.server = server
        self.known = known
        self.network_s = network_s
        self.floor = floor
        self.share = share
        self.limit: float | None = None
        """Statements allowed in flight; None while the server is not limited."""
        self.threshold = math.inf
        """Limit up to which it doubles with each round; above, it grows by one."""
        self.compared = False
        """Whether slowdowns are relative to known durations instead of ``ASSUMED_WORK_S``."""
        self.answered_at_s = -math.inf
        self.answers = 0
        """Answers since the start, or since ``compared`` changed."""
        self.slowdown = 1.0
        """Average of how many times as long as expected the latest answers took."""
        self.slow_average = 1.0
        """The same average over more answers."""
        self.best: float | None = None
        """Least recent slowdown, and ``steady_best`` its value when it last improved clearly."""
        self.steady_best = math.inf
        self.steady_answers = 0
        self.answers_since_decrease = 0
        self.errors_in_row = 0

    def __repr__(self) -> str:
        return f"Pace(server={self.server!r}, limit={self.limit!r}, slowdown={self.slowdown!r})"

    @property
    def limited(self) -> bool:
        """Whether the server is limited."""
        return self.limit is not None

    def allowed(self, now_s: float) -> int:
        """Return how many statements may be in flight; at least 1."""
        if self.limit is None:
            return UNBOUNDED
        return max(1, self.floor, int(self.limit))

    def latency_s(self, now_s: float) -> float | None:
        """Return how long a read takes at a limited server; None before its first answer."""
        if self.limit is None or not self.answers:
            return None
        expected_s = self.known.expected_s(self.server, references.Work.READ, now_s)
        return self.network_s + self.slowdown * (expected_s or ASSUMED_WORK_S)

    def note_start(self, now_s: float, hint_s: float) -> None:
        """Limit a server that has started; ``hint_s`` is for how long it expects to be slow."""
        start = 1 if hint_s > 0 else FAMILIAR_START
        self.limit = float(start * max(1, self.floor))
        self.threshold = math.inf
        self.compared = False
        self._restart_averages()

    def _restart_averages(self) -> None:
        self.answers = self.steady_answers = self.answers_since_decrease = self.errors_in_row = 0
        self.slowdown = self.slow_average = 1.0
        self.best = None
        self.steady_best = math.inf

    def note_answer(
        self,
        latency_s: float,
        now_s: float,
        *,
        work: references.Work = references.Work.READ,
        in_flight: int | None = None,
    ) -> None:
        """Record an answer that took ``latency_s``.

        ``in_flight`` is the number of statements in flight, including this one; None means as many
        as are allowed. The limit grows only when it is used.
        """
        work_s = max(MIN_WORK_S, latency_s - self.network_s)
        if self.limit is None:
            self.known.record(self.server, work, work_s, now_s)
            return
        expected_s = self.known.expected_s(self.server, work, now_s)
        if expected_s is not None and not self.compared:
            self.compared = True
            self._restart_averages()
        pause = (now_s - self.answered_at_s) / (SPARSE_GAP * max(latency_s, MIN_WORK_S))
        self.answered_at_s = now_s
        self._average(work_s / (expected_s or ASSUMED_WORK_S), min(MAX_WEIGHT, pause))
        self.errors_in_row = 0
        if self._is_settled():
            self.limit = None
        elif self._shows_queue():
            self._decrease(QUEUE_TOLERANCE * self.best / self.slowdown)
        else:
            self._grow(self.allowed(now_s) if in_flight is None else in_flight)

    def _average(self, slowdown: float, least_weight: float) -> None:
        self.answers += 1
        self.answers_since_decrease += 1
        self.steady_answers += 1
        least_weight = max(least_weight, 1 / self.answers)
        self.slowdown += max(FAST_WEIGHT, least_weight) * (slowdown - self.slowdown)
        self.slow_average += max(SLOW_WEIGHT, least_weight) * (slowdown - self.slow_average)
        if self.answers < MIN_ROUND:
            return
        if self.best is None:
            self.best = self.slowdown
        drift = FLOOR_DRIFT if self.limit <= max(1, self.floor) else BEST_DRIFT
        self.best = min(self.best * drift, self.slowdown)
        if self.best < IMPROVEMENT * self.steady_best:
            self.steady_best = self.best
            self.steady_answers = 0

    def _is_settled(self) -> bool:
        if self.compared:
            return self.answers >= MIN_COMPARED and self.slow_average <= PEER_TOLERANCE
        return self.steady_answers >= STEADY_ANSWERS

    def _shows_queue(self) -> bool:
        return (
            self.best is not None
            and self.answers_since_decrease >= max(MIN_ROUND, self.limit)
            and self.slowdown > QUEUE_TOLERANCE * self.best
        )

    def _decrease(self, factor: float) -> None:
        factor = min(MIN_DECREASE, max(MAX_DECREASE, factor))
        self.limit = max(1.0, float(self.floor), factor * self.limit)
        self.threshold = self.limit
        self.answers_since_decrease = self.steady_answers = 0

    def _grow(self, in_flight: int) -> None:
        fast = self.slowdown < FAST_ENOUGH
        if not fast and self.best is None:
            return
        if not fast and self.slowdown > GROWTH_TOLERANCE * self.best:
            self.limit = max(1.0, float(self.floor), self.limit - 1.0 / self.limit)
            return
        if fast and self.limit < self.threshold and 2 * in_flight >= self.limit:
            self.limit += 1.0
        elif in_flight >= int(self.limit):
            beyond = not fast and self.limit >= self.share
            self.limit += (GROWTH_BEYOND_SHARE if beyond else 1.0) / self.limit

    def note_error(self, now_s: float) -> None:
        """Record a missing or failed answer; no effect on a server that is not limited."""
        if self.limit is None:
            return
        self.errors_in_row += 1
        if self.errors_in_row == 1:
            self._decrease(ERROR_DECREASE)
        elif self.errors_in_row == ERRORS_TO_FLOOR:
            self.limit = max(1.0, float(self.floor))
            self.answers_since_decrease = self.steady_answers = 0
