"""Orders the servers for a read by what they answered lately (feature ``placement``).

A service has few servers, so all of them are compared instead of two drawn at random. Instances
don't follow each other to the same server: each compares only what it has observed itself, and its
own work in flight counts.
"""

import collections.abc
import dataclasses

from mustardswitch.internal import ids, positions
from mustardswitch.internal.placement import health, read_placement

ROUND_TRIP_S = {
    read_placement.Distance.ZONE: 0.001,
    read_placement.Distance.REGION: 0.006,
    read_placement.Distance.OTHER_REGION: 0.042,
}
"""Part of the latency that is due to the distance and not to the server."""
ERROR_COST_S = 0.3
"""Seconds that an error rate of 1 adds to the cost: about the time that a failed attempt costs a
read. It decides among servers that have all lost their work; for others it would leave a server
that failed twice without reads, and so without answers that show that it recovered."""

SLOW_RATIO = 2.0
STILL_SLOW_RATIO = 1.5
SLOW_MARGIN_S = 0.01
"""A server counts as slow when its work takes this multiple of the fastest one's and this much
longer, until it falls below the lower multiple; the work of usual reads varies by less."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JudgedServer:
    """A server that may serve a read, with the judgement of its answers."""

    candidate: read_placement.ReadCandidate
    health: health.Health
    now_s: float
    silent_s: float
    """Age of its oldest command that no answer has followed; 0 without one."""
    waiting: int = 0
    """Statements that wait for a connection to it. Without them a server with few connections never
    seems loaded, and reads wait behind a hundred others while another server is idle."""

    @property
    def latency_s(self) -> float:
        """Estimated latency: an unanswered command shows that it has grown before any answer."""
        return self.health.expected_latency_s(self.now_s, silent_s=self.silent_s)

    @property
    def steady_latency_s(self) -> float:
        """The same without the waits that are usual between two answers."""
        return self.health.steady_latency_s(self.now_s, silent_s=self.silent_s)

    @property
    def work_s(self) -> float:
        """Estimated latency without the way to the server."""
        return max(0.0, self.steady_latency_s - ROUND_TRIP_S[self.candidate.distance])


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadOrder:
    """The servers in the order in which to try them."""

    servers: list[ids.ServerId]
    displaced: frozenset[ids.ServerId]
    """Servers that come later than they would if they were as fast as the fastest one."""


def _unloaded_cost_s(judged: JudgedServer, latency_s: float) -> float:
    cost_s = latency_s + read_placement.DISTANCE_COST_S[judged.candidate.distance]
    if judged.candidate.leads:
        cost_s += read_placement.PRIMARY_COST_S
    return cost_s


def cost_s(judged: JudgedServer) -> float:
    """Return the estimated cost of a read at a server, in seconds."""
    candidate = judged.candidate
    load = (candidate.in_flight + judged.waiting) / max(1, candidate.connections)
    found_s = _unloaded_cost_s(judged, judged.latency_s * (1.0 + load))
    if judged.health.state is health.State.WITHDRAWN:
        found_s += ERROR_COST_S * judged.health.error_rate
    return found_s


def order_for_read(
    servers: collections.abc.Collection[JudgedServer],
    min_position: positions.Position | None,
    *,
    now_s: float,
    draw: float,
    may_probe: bool,
) -> ReadOrder:
    """Order the servers for a read.

    Servers known to be below ``min_position`` come last, those that lost their work before them,
    and among the others the estimated cost decides. ``draw`` is random between 0 and 1. With
    ``may_probe`` a server whose probe is due comes first.
    """
    usable = [
        each for each in servers if not read_placement.is_lagging(each.candidate, min_position)
    ]
    lagging = [each for each in servers if read_placement.is_lagging(each.candidate, min_position)]

    def sort_key(judged: JudgedServer) -> tuple[bool, float, ids.ServerId]:
        return (
            not judged.health.admits(draw),
            cost_s(judged),
            judged.candidate.server,
        )

    order = sorted(usable, key=sort_key)
    displaced = _displaced(order)
    if may_probe:
        due = [each for each in order if each.health.probe_due(now_s)]
        order = [*due[:1], *(each for each in order if each not in due[:1])]
    order += sorted(lagging, key=sort_key)
    return ReadOrder(servers=[each.candidate.server for each in order], displaced=displaced)


def _displaced(
    servers: collections.abc.Sequence[JudgedServer],
) -> frozenset[ids.ServerId]:
    """Return the servers that would come first if they were as fast as the fastest one.

    Work in flight is left out, since it changes with each statement.
    """
    if not servers:
        return frozenset()
    least_work_s = min(each.work_s for each in servers)
    lowest_s = min(_unloaded_cost_s(each, each.steady_latency_s) for each in servers)
    found: set[ids.ServerId] = set()
    for judged in servers:
        ratio = STILL_SLOW_RATIO if judged.health.displaced else SLOW_RATIO
        is_slow = judged.work_s > ratio * least_work_s + SLOW_MARGIN_S
        as_fast_s = least_work_s + ROUND_TRIP_S[judged.candidate.distance]
        is_first = _unloaded_cost_s(judged, judged.steady_latency_s) <= lowest_s
        if is_slow and not is_first and _unloaded_cost_s(judged, as_fast_s) < lowest_s:
            found.add(judged.candidate.server)
    return frozenset(found)
