"""Judges a server or gateway by its answers to the work that this instance gave it.

Only answers to callers' work count: a server in grey failure answers status queries and accepts
connections while it fails a part of its requests. One that fails often loses its work at once and
is probed by single reads; after consecutive good answers its share of the work grows in steps, as
long as it does not fail again, so that one that recovers is not given all of its work at once.
"""

import collections.abc
import copy
import enum

from mustardswitch.internal.placement import attempt_times

ERROR_WEIGHT = 0.2
"""Weight of one outcome in the moving average of errors: two errors in a row exceed
``ERROR_LIMIT``, a single lost packet doesn't."""
ERROR_LIMIT = 0.3
"""Error rate above which work is withdrawn; a server that fails 45 % of its requests exceeds it
after a few answers."""
RETURNING_ERROR_LIMIT = 0.15
"""The same while it returns: one error is too much, one rejection as overloaded is not."""
REJECTION_COST = 0.7
"""Part of an error that a rejection as overloaded counts: it is immediate and costs the caller
little, but a server that rejects 45 % of its requests is to be passed over as well."""
LATENCY_WEIGHT = 0.25
"""Weight of a new latency in the moving average: a server that turns 8 times slower has reached 4
times its latency after two answers."""
BASELINE_WEIGHT = 0.01
"""Weight of the average in the lowest latency, which otherwise one quick answer would set for
good."""
LATENCY_HALF_LIFE_S = 1.0
"""Half-life of a latency that is not measured again: one of twice the others' is tried again after
some seconds."""
PROBE_WEIGHT = 0.5
"""The same for a probe that shows that a slow server has become faster; they are few."""
FASTER_RATIO = 0.6
"""A probe that took less than this part of the average shows that a slow server is faster."""
TIMEOUT_RATIO = 2.0
"""Multiple of its average latency for which an answer must have been waited for, so that its
absence counts: a statement that waited long for a connection has little time for the answer."""
LONG_WAIT_S = 0.3
"""A wait of this length always counts; only the longest usual work of a read takes as long."""
SILENT_S = 0.1
"""Age of an unanswered command from which it makes a server or gateway count as slow; several times
the usual work of a read."""
MIN_HOLD_S = 0.25
"""Pause before the first probe after work was withdrawn: a quarter of the time within which a
server that has recovered is to be used again."""
MAX_HOLD_S = 1.0
"""Longest such pause, which doubles up to this each time that a server fails again: it bounds both
the cost of probes of a flapping server and the delay with which a recovered one is used."""
STABLE_S = 8.0
"""Time without withdrawal after which the pause starts from ``MIN_HOLD_S`` again; several periods
of a server that flaps each second or two."""
PROBE_GAP_S = 0.1
"""Least time between two probes: ten a second are few for any server, and show within half a second
whether one has recovered."""
LOST_PROBE_S = 1.0
"""Time after which another probe is sent although the previous one has not ended."""
PROBES_TO_RETURN = 4
"""Consecutive good probes that end a withdrawal; a server that fails 45 % of its requests gives
them once in eleven times."""
FIRST_SHARE = 0.25
"""Share of its usual work that a returning server or gateway receives first."""
ANSWERS_PER_STEP = 3
"""Good answers after which the share doubles: six in all, which a server with 20 reads a second
gives within a second."""


class State(enum.Enum):
    """How much of its usual work a server or gateway is given."""

    NORMAL = "normal"
    """All of it."""
    WITHDRAWN = "withdrawn"
    """Single probes."""
    RETURNING = "returning"
    """A growing share."""


class Cause(enum.Enum):
    """Why the work of a server or gateway changed."""

    ERRORS = "errors"
    """It failed too many of its requests."""
    UNREACHABLE = "unreachable"
    """It cannot be reached, closed a connection or announced its end."""
    SLOW = "slow"
    """It is slower than the others."""
    RECOVERED = "recovered"
    """It answers its probes well."""


class Health:
    """Recent latency, errors and state of one server or gateway; times are on one clock."""

    def __init__(
        self,
        *,
        usual_latency_s: float,
        on_change: collections.abc.Callable[
            ["Health", Cause, str], None
        ] = lambda health, cause, reason: None,
    ) -> None:
        self.on_change = on_change
        """Called with the cause and a text when the state or ``displaced`` has changed."""
        self.latency_s = usual_latency_s
        """Moving average of the latency, in seconds, when it was last measured."""
        self.baseline_s = usual_latency_s
        """The lowest that ``latency_s`` has been; it rises slowly."""
        self.measured_at_s = float("-inf")
        self.times = attempt_times.AttemptTimes()
        self.error_rate = 0.0
        self.state = State.NORMAL
        self.share = 1.0
        """Share of its usual work that it receives; 0 at ``WITHDRAWN``."""
        self.hold_s = MIN_HOLD_S
        self.withdrawn_at_s = float("-inf")
        self.next_probe_s = float("-inf")
        self.probing_since_s: float | None = None
        self.good_answers = 0
        """Consecutive good answers in the present state or step."""
        self.displaced = False
        """Whether another one has its work only because it has become slow."""

    def __repr__(self) -> str:
        return (
            f"Health(state={self.state!r}, latency_s={self.latency_s!r},"
            f" error_rate={self.error_rate!r}, share={self.share!r})"
        )

    def preview(self) -> "Health":
        """Return a copy on which decisions can be tried; it reports no changes."""
        copied = copy.copy(self)
        copied.on_change = lambda health, cause, reason: None
        return copied

    def admits(self, draw: float) -> bool:
        """Return whether it is given a piece of work; ``draw`` is random between 0 and 1."""
        return draw < self.share

    def probe_due(self, now_s: float) -> bool:
        """Return whether a read should find out whether it has recovered."""
        if self.state is not State.WITHDRAWN and not self.displaced:
            return False
        waiting = self.probing_since_s is not None and now_s < self.probing_since_s + LOST_PROBE_S
        return now_s >= self.next_probe_s and not waiting

    def current_latency_s(self, now_s: float) -> float:
        """Return the expected latency.

        While nothing is measured it approaches the lowest one, so that what is only a little slower
        than others is tried again; what is much slower is probed instead.
        """
        if self.displaced or self.latency_s <= self.baseline_s:
            return self.latency_s
        decay = 0.5 ** ((now_s - self.measured_at_s) / LATENCY_HALF_LIFE_S)
        return self.baseline_s + (self.latency_s - self.baseline_s) * decay

    def expected_latency_s(self, now_s: float, *, silent_s: float) -> float:
        """Return the expected latency while the oldest command has had no answer for ``silent_s``.

        An unanswered command shows that it has grown before any answer.
        """
        return max(self.current_latency_s(now_s), silent_s)

    def steady_latency_s(self, now_s: float, *, silent_s: float) -> float:
        """The same without the waits that are usual between two answers."""
        counted_s = silent_s if silent_s > SILENT_S else 0.0
        return self.expected_latency_s(now_s, silent_s=counted_s)

    # Observations

    def note_attempt(self, now_s: float) -> None:
        """Record that work is about to be sent to it, which is a probe if one is due."""
        if self.probe_due(now_s):
            self.probing_since_s = now_s
            self.next_probe_s = now_s + PROBE_GAP_S

    def note_neutral(self) -> None:
        """Record an answer that tells nothing about it, such as the rejection of bad input."""
        self.probing_since_s = None

    def note_answer(self, latency_s: float, now_s: float) -> None:
        """Record a successful answer to a caller's work."""
        self._note_latency(latency_s, now_s)
        self.times.note(latency_s)
        self.error_rate -= ERROR_WEIGHT * self.error_rate
        self.probing_since_s = None
        if self.state is State.NORMAL:
            return
        self.good_answers += 1
        if self.state is State.WITHDRAWN:
            if self.good_answers >= PROBES_TO_RETURN:
                self.error_rate = 0.0
                self._enter(State.RETURNING, FIRST_SHARE, Cause.RECOVERED, "it answers again")
        elif self.good_answers >= ANSWERS_PER_STEP:
            self.good_answers = 0
            self.share = min(1.0, 2 * self.share)
            if self.share >= 1.0:
                self._enter(State.NORMAL, 1.0, Cause.RECOVERED, "it has recovered")

    def _note_latency(self, latency_s: float, now_s: float) -> None:
        weight = LATENCY_WEIGHT
        if self.displaced and self.probing_since_s is not None:
            if latency_s < FASTER_RATIO * self.latency_s:
                weight = PROBE_WEIGHT
                self.hold_s = MIN_HOLD_S
            else:
                self.hold_s = min(MAX_HOLD_S, 2 * self.hold_s)
                self.next_probe_s = now_s + self.hold_s
        current_s = self.current_latency_s(now_s)
        self.latency_s = current_s + weight * (latency_s - current_s)
        self.baseline_s += BASELINE_WEIGHT * (self.latency_s - self.baseline_s)
        self.baseline_s = min(self.baseline_s, self.latency_s)
        self.measured_at_s = now_s

    def note_error(self, now_s: float, *, reason: str, cost: float = 1.0) -> None:
        """Record that it failed a piece of work; ``cost`` is the part of an error it counts as."""
        self.probing_since_s = None
        self.error_rate += ERROR_WEIGHT * (cost - self.error_rate)
        limit = RETURNING_ERROR_LIMIT if self.state is State.RETURNING else ERROR_LIMIT
        if self.state is State.WITHDRAWN or self.error_rate > limit:
            self._withdraw(now_s, Cause.ERRORS, reason)

    def note_rejection(self, now_s: float, *, reason: str) -> None:
        """Record that it rejected a piece of work at once as overloaded."""
        self.note_error(now_s, reason=reason, cost=REJECTION_COST)

    def note_timeout(self, waited_s: float, now_s: float, *, reason: str) -> None:
        """Record that no answer came within ``waited_s``; the latency is at least as long.

        A short wait before the deadline of a statement says nothing.
        """
        if waited_s < min(LONG_WAIT_S, self.times.attempt_s, TIMEOUT_RATIO * self.latency_s):
            self.note_neutral()
            return
        self._note_latency(max(waited_s, self.latency_s), now_s)
        self.times.note_timeout(waited_s)
        self.note_error(now_s, reason=reason)

    def note_unreachable(self, now_s: float, *, reason: str) -> None:
        """Record that it cannot be reached or announced its end; its work is withdrawn at once."""
        self.probing_since_s = None
        self.error_rate = max(self.error_rate, ERROR_LIMIT)
        self._withdraw(now_s, Cause.UNREACHABLE, reason)

    def note_reachable(self, now_s: float) -> None:
        """Record that it can be reached again; a probe follows soon."""
        if self.state is State.WITHDRAWN:
            self.probing_since_s = None
            self.next_probe_s = min(self.next_probe_s, now_s + PROBE_GAP_S)

    def note_displaced(self, displaced: bool, now_s: float, *, reason: str) -> None:
        """Record whether it is passed over since it has become slow."""
        if displaced == self.displaced or self.state is State.WITHDRAWN:
            return
        self.displaced = displaced
        if displaced:
            self.hold_s = MIN_HOLD_S
            self.next_probe_s = now_s + self.hold_s
        self.on_change(self, Cause.SLOW if displaced else Cause.RECOVERED, reason)

    # States

    def _withdraw(self, now_s: float, cause: Cause, reason: str) -> None:
        if self.state is State.WITHDRAWN:
            # What was sent before the withdrawal may still fail from the same cause; only a failed
            # probe makes the pause longer.
            if now_s >= self.next_probe_s - PROBE_GAP_S:
                self.hold_s = min(MAX_HOLD_S, 2 * self.hold_s)
                self.next_probe_s = now_s + self.hold_s
            self.good_answers = 0
            return
        failed_again = now_s < self.withdrawn_at_s + STABLE_S
        self.hold_s = min(MAX_HOLD_S, 2 * self.hold_s) if failed_again else MIN_HOLD_S
        self.withdrawn_at_s = now_s
        self.displaced = False
        self.next_probe_s = now_s + self.hold_s
        self._enter(State.WITHDRAWN, 0.0, cause, reason)

    def _enter(self, state: State, share: float, cause: Cause, reason: str) -> None:
        self.state = state
        self.share = share
        self.good_answers = 0
        self.on_change(self, cause, reason)
