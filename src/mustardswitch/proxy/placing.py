"""Chooses the servers for reads by their answers, and reports what lost its work.

Used with the feature ``placement``; its decisions are in ``internal/placement``. All state is this
instance's own: it judges by the answers to the work that it sent itself, and exchanges no messages.
"""

import collections.abc
import copy
import random

from mustardswitch import events, metrics
from mustardswitch.internal import clock, ids, positions
from mustardswitch.internal.placement import (
    attempt_times,
    health,
    server_choice,
)
from mustardswitch.proxy import server, stalls

EVENT_GAP_S = 1.0
"""Least time between two events that one server or gateway has become slow; the counters of the
metrics are complete."""
FORGET_S = 300.0
"""Time after which a server that failed and is gone is forgotten."""


class Reporter:
    """Reports the changes of one kind of target, "server" or "gateway"."""

    def __init__(self, *, kind: str, registry: metrics.Registry) -> None:
        self.kind = kind
        self.registry = registry
        self.reported_at_s: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"Reporter(kind={self.kind!r})"

    def new_health(self, target: str, *, usual_latency_s: float) -> health.Health:
        """Return the judgement of a target that has not been used yet."""

        def note_change(judged: health.Health, cause: health.Cause, reason: str) -> None:
            self.note_change(target, judged, cause, reason)

        return health.Health(usual_latency_s=usual_latency_s, on_change=note_change)

    def note_change(
        self, target: str, judged: health.Health, cause: health.Cause, reason: str
    ) -> None:
        """Count and log that a target lost its work, or received all of it again."""
        returned = cause is health.Cause.RECOVERED
        if returned and judged.state is health.State.RETURNING:
            return
        self.registry.count(f"{self.kind}s_{'restored' if returned else 'withdrawn'}", target)
        if not returned:
            self.registry.count(f"{self.kind}_work_withdrawn", cause.value)
        now_s = clock.now_s()
        recently = now_s < self.reported_at_s.get(target, float("-inf")) + EVENT_GAP_S
        if recently and (returned or cause is health.Cause.SLOW):
            return
        self.reported_at_s[target] = now_s
        events.log(
            events.Event.WORK_RESTORED if returned else events.Event.WORK_WITHDRAWN,
            kind=self.kind,
            target=target,
            cause=cause.value,
            reason=reason,
            error_rate=round(judged.error_rate, 2),
            latency_s=round(judged.latency_s, 4),
        )

    def note_cut_short(self) -> None:
        """Count an attempt that was given up early."""
        self.registry.count("attempts_cut_short", self.kind)


class SilentReporter(Reporter):
    """Reports nothing, for decisions that are only tried."""

    def note_change(
        self, target: str, judged: health.Health, cause: health.Cause, reason: str
    ) -> None:
        """Ignore the change."""


def judge(
    backend: server.Server, *, leader: server.Server | None, now_s: float
) -> server_choice.JudgedServer:
    """Describe a server for the choice of the server of a read."""
    return server_choice.JudgedServer(
        candidate=backend.read_candidate(leads=backend is leader),
        health=backend.health,
        now_s=now_s,
        silent_s=backend.silent_s(now_s),
        waiting=backend.pool.waiting,
    )


class ServerPlacing:
    """Chooses the servers for the reads of one service."""

    def __init__(self, *, registry: metrics.Registry, meter: stalls.StallMeter) -> None:
        self.reporter = Reporter(kind="server", registry=registry)
        self.stalls = meter
        self.budget = attempt_times.RetryBudget()
        self.times = attempt_times.AttemptTimes()
        """Latencies of all servers, for those that have answered few reads."""
        self.random = random.Random()
        self.withdrawn: dict[ids.ServerId, health.Health] = {}
        """Judgements of servers that were removed before they had recovered."""

    def __repr__(self) -> str:
        return f"ServerPlacing(reporter={self.reporter!r})"

    def preview(self) -> "ServerPlacing":
        """Return a copy that decides as this one would now; for previews of servers only."""
        copied = copy.copy(self)
        copied.stalls = self.stalls.preview()
        copied.random = copy.copy(self.random)
        return copied

    def watch(self, backend: server.Server) -> None:
        """Judge a server from now on; one that failed and was started anew has yet to recover."""
        backend.stalls = self.stalls
        backend.health = self.withdrawn.pop(backend.server, None) or self.reporter.new_health(
            backend.server, usual_latency_s=server.INITIAL_LATENCY_S[backend.distance]
        )

    def note_removed(self, backend: server.Server) -> None:
        """Remember the judgement of a server that may be started anew while it fails."""
        oldest_s = clock.now_s() - FORGET_S
        for name, judged in list(self.withdrawn.items()):
            if judged.withdrawn_at_s < oldest_s:
                del self.withdrawn[name]
        if backend.health.state is not health.State.NORMAL:
            self.withdrawn[backend.server] = backend.health

    def note_read(self, latency_s: float | None) -> None:
        """Record the answer to a read, and its latency if it succeeded."""
        self.budget.note_answer()
        if latency_s is not None:
            self.times.note(latency_s)

    def attempt_s(self, backend: server.Server) -> float:
        """Return how long to wait for a read's answer if another server may be tried early."""
        if backend.health.times.measured:
            return backend.health.times.attempt_s
        way_s = server_choice.ROUND_TRIP_S[backend.distance]
        return min(attempt_times.MAX_ATTEMPT_S, self.times.attempt_s + way_s)

    def order(
        self,
        backends: collections.abc.Collection[server.Server],
        min_position: positions.Position | None,
        *,
        leader: server.Server | None,
        may_probe: bool,
    ) -> list[ids.ServerId]:
        """Return the servers in the order in which to try them for a read."""
        self.stalls.start()
        now_s = clock.now_s()
        order = server_choice.order_for_read(
            [judge(backend, leader=leader, now_s=now_s) for backend in backends],
            min_position,
            now_s=now_s,
            draw=self.random.random(),
            may_probe=may_probe,
        )
        for backend in backends:
            latency_s = max(backend.health.latency_s, backend.silent_s(now_s))
            backend.health.note_displaced(
                backend.server in order.displaced, now_s, reason=f"latency {latency_s:.3f} s"
            )
        return order.servers
