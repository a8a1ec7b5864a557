"""Orders the servers to which a read is offered.

Under normal load reads stay in the zone, because traffic between zones and regions is charged by
volume. When a server is slow, full or lagging, its reads spread over the others before callers
notice. A replica without the minimum position is tried last, even after a server that failed: while
replicas lag for seconds, each attempt at one costs a read a fifth of its time.
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
"""Seconds of extra latency that a nearer server may have before a farther one is preferred. Weighs
the price of one read's traffic between zones and regions against the price of a late answer."""
PRIMARY_COST_S = 0.004
"""Seconds added for the primary, which keeps it free for writes when a replica is at the same
distance; about half the work of a write."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadCandidate:
    """A server that may serve a read, with its recent load and failures."""

    server: ids.ServerId
    distance: Distance
    latency_s: float
    """Moving average of recent response times in seconds, including the network."""
    in_flight: int
    """Statements of this instance that the server has not answered yet."""
    connections: int
    """Maximum number of connections that this instance may hold to it."""
    leads: bool
    avoided: bool
    """Whether it failed recently."""
    missing_position: positions.Position | None = None
    """A position that it was recently found not to have reached."""


def is_lagging(candidate: ReadCandidate, min_position: positions.Position | None) -> bool:
    """Return whether a server is known to be below a minimum position."""
    return (
        candidate.missing_position is not None
        and min_position is not None
        and min_position >= candidate.missing_position
    )


def cost_s(candidate: ReadCandidate) -> float:
    """Return the estimated cost of a read at a server, in seconds."""
    load_factor = 1.0 + candidate.in_flight / max(1, candidate.connections)
    found_s = candidate.latency_s * load_factor + DISTANCE_COST_S[candidate.distance]
    return found_s + PRIMARY_COST_S if candidate.leads else found_s


def order_for_read(
    candidates: collections.abc.Iterable[ReadCandidate], min_position: positions.Position | None
) -> list[ids.ServerId]:
    """Return the servers in the order in which to try them.

    Servers known to be below ``min_position`` come last, and those that failed recently just before
    them. Otherwise the estimated cost decides: latency times load, plus the costs of distance and
    of using the primary.
    """

    def sort_key(candidate: ReadCandidate) -> tuple[bool, bool, float, ids.ServerId]:
        lagging = is_lagging(candidate, min_position)
        return (lagging, candidate.avoided, cost_s(candidate), candidate.server)

    return [candidate.server for candidate in sorted(candidates, key=sort_key)]
