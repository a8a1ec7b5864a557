"""Orders the gateways for a forwarded statement by their answers (feature ``placement``).

Statements of different services and kinds take different times, so a gateway's latencies are
compared after dividing each by the usual one of its kind. For a statement without a tenant two
gateways of the zone and two of the region's other zones are drawn at random and compared; comparing
all would send the work of many instances to the same one. A tenant keeps its home, which holds its
connections and its share of the rate limit, unless the home fails or is clearly worse.
"""

import collections.abc
import dataclasses
import typing

from mustardswitch.internal import ids
from mustardswitch.internal.placement import health

USUAL_LATENCY_S = 0.03
"""Latency assumed until one is measured: the usual work of a statement, and two round trips."""
USUAL_WEIGHT = 0.02
"""Weight of a new latency in the usual one of its kind; it follows the load of the day, and not a
gateway that is slow for some seconds."""
OUTLIER_RATIO = 3.0
"""A longer latency counts as this multiple of the usual one, so that a gateway that is slow does
not become the usual case."""
LEAST_USUAL_S = 1e-4
"""Keeps the scale above 0 where clocks are coarse."""
IN_FLIGHT_AT_EASE = 6
"""Statements in flight at which a gateway's cost doubles: connections of a gateway to a server."""
OTHER_ZONE_COST_S = 0.01
"""Seconds that a gateway of another zone of the region must be faster: the price of the traffic."""
ERROR_COST_S = 0.3
"""Seconds that an error rate of 1 adds to the cost of a withdrawn gateway, as
``server_choice.ERROR_COST_S``."""
DRAWN = 2
"""Gateways that are compared of the zone, and of the region's other zones."""
SLOW_RATIO = 2.0
STILL_SLOW_RATIO = 1.5
SLOW_MARGIN_S = 0.01
"""A gateway counts as slow when its latency is this multiple of the best one's and this much
longer, until it falls below the lower multiple."""
HOME_RATIO = 4.0
STILL_WORSE_RATIO = 2.0
HOME_MARGIN_S = 0.15
"""The same for the home of a tenant: at another gateway the tenant's connections have to be opened
first, and its rate limit is not there."""
RECENT_S = 3.0
"""A gateway that was not measured for longer is no standard for others: under overload those that
are in use would seem slow against one that is not."""


class KindOfWork(typing.NamedTuple):
    """What the latency of a statement depends on besides its gateway."""

    service: ids.ServiceName
    access: str


class UsualLatencies:
    """The usual latency of each kind of work, by which those of a gateway are scaled."""

    def __init__(self) -> None:
        self.by_kind: dict[KindOfWork, float] = {}

    def __repr__(self) -> str:
        return f"UsualLatencies(by_kind={self.by_kind!r})"

    def scale(self, kind: KindOfWork) -> float:
        """Return by how much a kind of work takes longer than ``USUAL_LATENCY_S``."""
        return self.by_kind.get(kind, USUAL_LATENCY_S) / USUAL_LATENCY_S

    def note(self, kind: KindOfWork, latency_s: float) -> float:
        """Record a latency; returns it scaled to a kind of work that usually takes
        ``USUAL_LATENCY_S``."""
        scaled_s = latency_s / self.scale(kind) if kind in self.by_kind else USUAL_LATENCY_S
        usual_s = self.by_kind.setdefault(kind, latency_s)
        bounded_s = min(latency_s, OUTLIER_RATIO * usual_s)
        self.by_kind[kind] = max(LEAST_USUAL_S, usual_s + USUAL_WEIGHT * (bounded_s - usual_s))
        return scaled_s


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JudgedGateway:
    """A gateway with the judgement of its answers."""

    instance: ids.InstanceId
    health: health.Health
    in_flight: int
    """Statements that this instance has sent to it and that are not answered."""
    now_s: float
    silent_s: float
    """Age of the oldest of these if no answer has followed it, else 0."""
    measured: bool = True
    """Whether its latency was measured within ``RECENT_S``."""
    other_zone: bool = False

    @property
    def latency_s(self) -> float:
        """Estimated latency of a usual statement."""
        return self.health.expected_latency_s(self.now_s, silent_s=self.silent_s)

    @property
    def steady_latency_s(self) -> float:
        """The same without the waits that are usual between two answers."""
        return self.health.steady_latency_s(self.now_s, silent_s=self.silent_s)

    @property
    def cost_s(self) -> float:
        """Estimated cost of a usual statement in seconds."""
        load_factor = 1.0 + self.in_flight / IN_FLIGHT_AT_EASE
        distance_s = OTHER_ZONE_COST_S if self.other_zone else 0.0
        cost_s = self.latency_s * load_factor + distance_s
        if self.health.state is health.State.WITHDRAWN:
            cost_s += ERROR_COST_S * self.health.error_rate
        return cost_s


Draw = collections.abc.Callable[[], float]
"""Returns random numbers between 0 and 1."""


def order_gateways(
    gateways: collections.abc.Sequence[JudgedGateway],
    *,
    now_s: float,
    draw: Draw,
    may_probe: bool,
) -> list[ids.InstanceId]:
    """Order the gateways of a zone and region for a statement without a tenant."""
    admitted = [each for each in gateways if each.health.admits(draw())]
    drawn: list[JudgedGateway] = []
    for other_zone in (False, True):
        shuffled = sorted(
            (draw(), index) for index, each in enumerate(admitted) if each.other_zone is other_zone
        )
        drawn += [admitted[index] for _, index in shuffled[:DRAWN]]
    drawn.sort(key=lambda each: (each.cost_s, each.instance))
    rest = sorted(
        (each for each in gateways if each not in drawn),
        key=lambda each: (each not in admitted, each.cost_s, each.instance),
    )
    order = [*drawn, *rest]
    due = [each for each in order if may_probe and each.health.probe_due(now_s)][:1]
    return [each.instance for each in [*due, *(each for each in order if each not in due)]]


def order_homes(
    ranking: collections.abc.Sequence[JudgedGateway],
    *,
    homes: int,
    now_s: float,
    draw: Draw,
    may_probe: bool,
) -> list[ids.InstanceId]:
    """Order a tenant's gateways, the first ``homes`` of which are its homes.

    The home whose turn it is comes first: their shares of the rate limit are equal, so they are
    used evenly unless one is slow. Homes keep the tenant's statements unless they fail or are
    clearly worse than the best one of the others. Only homes are probed, since other gateways may
    not spend the tenant's rate limit.
    """
    admitted = {each.instance for each in ranking if each.health.admits(draw())}
    least_s = min((each.cost_s for each in ranking[:homes]), default=0.0)
    own = sorted(
        ranking[:homes], key=lambda each: each.cost_s > SLOW_RATIO * least_s + SLOW_MARGIN_S
    )
    worse = worse_homes(ranking)

    def badness(judged: JudgedGateway) -> int:
        if judged.instance not in admitted:
            return 2
        return int(judged.instance in worse)

    order = sorted([*own, *ranking[homes:]], key=badness)
    due = [each for each in own if may_probe and each.health.probe_due(now_s)][:1]
    return [each.instance for each in [*due, *(each for each in order if each not in due)]]


def worse_homes(
    gateways: collections.abc.Sequence[JudgedGateway],
) -> frozenset[ids.InstanceId]:
    """Return the gateways that are so slow that tenants leave their homes there."""
    return _slow(gateways, HOME_RATIO, STILL_WORSE_RATIO, HOME_MARGIN_S)


def slow_gateways(
    gateways: collections.abc.Sequence[JudgedGateway],
) -> frozenset[ids.InstanceId]:
    """Return the gateways that are slow, so that other work than probes passes them over."""
    return _slow(gateways, SLOW_RATIO, STILL_SLOW_RATIO, SLOW_MARGIN_S)


def _slow(
    gateways: collections.abc.Sequence[JudgedGateway],
    ratio: float,
    still_ratio: float,
    margin_s: float,
) -> frozenset[ids.InstanceId]:
    best_s = min(
        (
            each.health.current_latency_s(each.now_s)
            for each in gateways
            if each.measured and each.health.state is health.State.NORMAL
        ),
        default=float("inf"),
    )
    return frozenset(
        each.instance
        for each in gateways
        if each.steady_latency_s
        > (still_ratio if each.health.displaced else ratio) * best_s + margin_s
    )
