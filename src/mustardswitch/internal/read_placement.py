"""The order in which servers are offered a read.

Answers two load patterns. In calm times reads stay in the zone, since bytes between zones and
regions are paid for; when a server is slow, full or behind, its reads spread over the others before
callers notice. A replica that lacks the position is asked last, also after a server that failed:
while replicas lag for seconds, each question to one costs a read a fifth of its time.
"""

import collections.abc
import dataclasses
import enum

from mustardswitch.internal import ids, positions


class Distance(enum.IntEnum):
    """How far a server is from this instance."""

    ZONE = 0
    """In the same availability zone."""
    REGION = 1
    """In another zone of the same region."""
    OTHER_REGION = 2
    """In another region."""


DISTANCE_COST_S = {Distance.ZONE: 0.0, Distance.REGION: 0.01, Distance.OTHER_REGION: 0.08}
"""Latency that a nearer server may have more before the next distance is used; the price of the
bytes of one read between zones and regions against the price of a late answer."""
PRIMARY_COST_S = 0.004
"""Keeps the primary free for writes when a replica is as near; about half a write's work."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadCandidate:
    """What is known of a server that may serve a read."""

    server: ids.ServerId
    distance: Distance
    latency_s: float
    """Smoothed time of recent answers, including the way."""
    in_flight: int
    """Statements of this instance that the server has not answered."""
    connections: int
    """Connections that this instance may hold to it."""
    leads: bool
    avoided: bool
    """Whether it failed a moment ago."""
    missing_position: positions.Position | None = None
    """A position that it lacked a moment ago."""


def order_for_read(
    candidates: collections.abc.Iterable[ReadCandidate], min_position: positions.Position | None
) -> list[ids.ServerId]:
    """Return the servers in the order in which they are asked."""

    def cost(candidate: ReadCandidate) -> tuple[bool, bool, float, ids.ServerId]:
        behind = (
            candidate.missing_position is not None
            and min_position is not None
            and min_position >= candidate.missing_position
        )
        waiting = 1.0 + candidate.in_flight / max(1, candidate.connections)
        seconds = candidate.latency_s * waiting + DISTANCE_COST_S[candidate.distance]
        if candidate.leads:
            seconds += PRIMARY_COST_S
        return (behind, candidate.avoided, seconds, candidate.server)

    return [candidate.server for candidate in sorted(candidates, key=cost)]
