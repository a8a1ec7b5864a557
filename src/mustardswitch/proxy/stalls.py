"""Measures for how long this instance itself did not run, so that others are not blamed for it."""

import asyncio
import collections
import copy

from mustardswitch.internal import clock

BEAT_S = 0.05
"""Interval of the timer that measures; the time between two beats may stay unnoticed."""
STALL_S = 0.03
"""Lateness of the timer above which the instance has stalled; usual bursts take less."""
RETENTION_S = 10.0
"""Time for which stalls are remembered; longer than any statement takes."""


class StallMeter:
    """Remembers recent stalls of the event loop; starts by itself at its first use."""

    def __init__(self) -> None:
        self.loop: asyncio.AbstractEventLoop | None = None
        self.expected_s = 0.0
        self.stalls: collections.deque[tuple[float, float]] = collections.deque()
        """When each stall ended, and how long it was."""

    def __repr__(self) -> str:
        return f"StallMeter(stalls={len(self.stalls)})"

    def preview(self) -> "StallMeter":
        """Return a copy that knows the same stalls and starts no timer."""
        copied = copy.copy(self)
        copied.loop = asyncio.get_running_loop()
        return copied

    def start(self) -> None:
        """Measure on the running loop from now on."""
        running = asyncio.get_running_loop()
        if self.loop is not running:
            self.loop = running
            self._schedule()

    def _schedule(self) -> None:
        # A callback runs before the tasks that the same turn of the loop wakes up.
        self.expected_s = clock.now_s() + BEAT_S
        self.loop.call_later(BEAT_S, self._beat)

    def _beat(self) -> None:
        now_s = clock.now_s()
        late_s = now_s - self.expected_s
        if late_s > STALL_S:
            self.stalls.append((now_s, late_s))
        while self.stalls and self.stalls[0][0] < now_s - RETENTION_S:
            self.stalls.popleft()
        self._schedule()

    def stalled_s(self, since_s: float) -> float:
        """Return for how long the instance stalled after ``since_s`` (``clock.now_s``)."""
        return sum(
            min(late_s, ended_s - since_s) for ended_s, late_s in self.stalls if ended_s > since_s
        )
