"""How long to wait for an answer before the work is tried elsewhere, and how often to do so.

A fixed time is too long for a lost packet on a fast server and too short for a server whose
statements take longer. The time follows the latencies that were observed; an attempt that was given
up counts with the time waited, so that the time grows when it is too short for more than a few
percent. A budget limits the attempts that are given up to a part of all answers: under overload,
when all answers are late, further attempts would only add load.
"""

import collections

WINDOW = 128
"""Latencies that are remembered; a few seconds of one server's answers on one instance."""
MIN_SAMPLES = 16
"""Latencies needed before the observed ones are used; below that the quantile says little."""
QUANTILE = 0.97
MULTIPLE = 2.0
"""Multiple of the high quantile to wait; jitter of 0.3 and one server queue stay within it."""
MIN_ATTEMPT_S = 0.12
"""Least time to wait; three round trips between regions, and longer than the longest usual work of
a read at a quick server."""
MAX_ATTEMPT_S = 0.5
"""Longest time to wait before a read is tried elsewhere."""
REFRESH_EVERY = 8
"""Latencies after which the quantile is computed again; sorting the window each time would cost
more than choosing a server."""

BUDGET_PER_ANSWER = 0.1
"""Attempts that may be given up early per answer: at most a tenth is added to the load."""
BUDGET_CAP = 5.0
"""Attempts that may be given up early at once."""


class AttemptTimes:
    """Recent latencies of one server or gateway, and the time to wait that follows from them."""

    def __init__(self) -> None:
        self.latencies: collections.deque[float] = collections.deque(maxlen=WINDOW)
        self.unread = 0
        self.attempt_s = MAX_ATTEMPT_S
        """How long to wait for an answer before the work is tried elsewhere."""

    def __repr__(self) -> str:
        return f"AttemptTimes(attempt_s={self.attempt_s!r})"

    @property
    def measured(self) -> bool:
        """Whether there are enough latencies to follow."""
        return len(self.latencies) >= MIN_SAMPLES

    def note(self, latency_s: float) -> None:
        """Record the latency of an answer."""
        self.latencies.append(latency_s)
        self.unread += 1
        if self.unread >= REFRESH_EVERY:
            self._refresh()

    def note_timeout(self, waited_s: float) -> None:
        """Record an attempt without an answer.

        If these are more than a few percent, twice the time waited is the next time to wait.
        Counting them with more made the loss of four packets in 128 triple it.
        """
        self.latencies.append(waited_s)
        self._refresh()

    def _refresh(self) -> None:
        self.unread = 0
        if not self.measured:
            self.attempt_s = MAX_ATTEMPT_S
            return
        ordered = sorted(self.latencies)
        high_s = ordered[min(len(ordered) - 1, int(QUANTILE * len(ordered)))]
        self.attempt_s = min(MAX_ATTEMPT_S, max(MIN_ATTEMPT_S, MULTIPLE * high_s))


class RetryBudget:
    """Limits the attempts that are given up early to a part of the answers."""

    def __init__(self) -> None:
        self.tokens = BUDGET_CAP

    def __repr__(self) -> str:
        return f"RetryBudget(tokens={self.tokens!r})"

    @property
    def available(self) -> bool:
        """Whether an attempt may be given up now."""
        return self.tokens >= 1.0

    def note_answer(self) -> None:
        """Record an answer."""
        self.tokens = min(BUDGET_CAP, self.tokens + BUDGET_PER_ANSWER)

    def spend(self) -> None:
        """Record an attempt that was given up early."""
        self.tokens = max(0.0, self.tokens - 1.0)
