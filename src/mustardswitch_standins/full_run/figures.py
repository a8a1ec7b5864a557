"""Sizes of the deployments that are run: zones, servers, callers and time limits."""

import dataclasses
import json
import math
import random

REGIONS = {"a": "north", "b": "south", "c": "north", "d": "south", "e": "north", "f": "south"}
"""Regions of the availability zones; the servers of a service are in the first three."""
SERVER_ZONES = ("a", "b", "c")
HEARTBEAT_S = 1.2
ENTRY_EXPIRY_S = 3.6
RELISTED_S = 2.5
"""Limit on the time from an outage of the store until a running server is listed again."""
HANDSHAKE_S = 0.027
"""Time that a new connection occupies a slot."""
STATUS_S = 0.0005
"""Time that a status query or an order occupies a slot."""
LEAVE_DELAY_S = 1.0
"""Time from the start of a replacement until the server that it replaces reports that it leaves."""
DARK_S = 3.0
"""Time after which a server drops a connection whose remote end cannot be reached."""
PROMOTION_EFFECTS_S = (0.2, 1.0)
"""Range of the time from the call of a promotion until its server leads."""
STOP_GRACE_S = 6.0
"""Time from SIGTERM to SIGKILL."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteKind:
    """Operations of one type of route; times in seconds."""

    name: str
    type: str
    weight: float
    work_s: float
    writes: float
    """Share of writes among single statements and among the statements of a transaction."""
    transactions: float
    timeout_s: float
    max_staleness_ms: int | None = None


ROUTE_KINDS = (
    RouteKind(
        name="checkout",
        type="primary",
        weight=1.5,
        work_s=0.008,
        writes=0.35,
        transactions=0.25,
        timeout_s=1.0,
    ),
    RouteKind(
        name="queue",
        type="bounded_staleness",
        weight=1.5,
        work_s=0.040,
        writes=0.0,
        transactions=0.10,
        timeout_s=2.0,
        max_staleness_ms=1500,
    ),
    RouteKind(
        name="ledger",
        type="read_your_writes",
        weight=7.0,
        work_s=0.024,
        writes=0.12,
        transactions=0.12,
        timeout_s=1.0,
        max_staleness_ms=2500,
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Size:
    """A deployment; times in seconds, rates in operations per second of all zones."""

    instances: int
    zones: tuple[str, ...]
    services: int
    slots: int
    queue: int
    max_connections: int
    replication_s: float
    drain_s: float
    rate: float
    sessions: int
    """Limit on the open sessions of each zone."""
    completes_running: bool = True
    """Whether a statement in a slot of a primary that steps down completes there."""
    completes_queued: bool = False
    """Whether one that waits for a slot of it does as well; needs ``completes_running``."""
    runs_closed: bool = True
    """Whether servers run a received statement although its connection was closed meanwhile."""


SIZES = {
    "small": Size(
        instances=6,
        zones=("a", "b", "c"),
        services=3,
        slots=3,
        queue=24,
        max_connections=34,
        replication_s=0.020,
        drain_s=7.0,
        rate=225.0,
        sessions=100,
    ),
    "grown": Size(
        instances=12,
        zones=("a", "b", "c", "d", "e", "f"),
        services=4,
        slots=5,
        queue=40,
        max_connections=274,
        replication_s=0.012,
        drain_s=10.0,
        rate=400.0,
        sessions=80,
    ),
}


def encode_size(size: Size) -> str:
    """Return a size as the programs take it as an argument."""
    return json.dumps(dataclasses.asdict(size))


def decode_size(text: str) -> Size:
    """Return the size that ``encode_size`` has encoded."""
    fields = json.loads(text)
    return Size(**{**fields, "zones": tuple(fields["zones"])})


def service_names(size: Size) -> list[str]:
    """Return the names of the services of a deployment."""
    return [f"service-{number}" for number in range(size.services)]


def lognormal_s(source: random.Random, mean_s: float, spread: float = 0.7) -> float:
    """Draw a time with a lognormal distribution of the given mean, at most six times the mean."""
    drawn_s = source.lognormvariate(math.log(mean_s) - spread**2 / 2, spread)
    return min(drawn_s, 6.0 * mean_s)


def configuration(
    size: Size, *, version: int = 3, timeout_factor: float = 1.0, added: bool = False
) -> dict:
    """Return the operator's configuration: one route of each kind for each service.

    The time-outs are multiplied by a factor; with ``added``, there is a route that nobody uses.
    """
    names = service_names(size)
    routes = [
        {
            "name": f"{kind.name}-{service}",
            "host": f"{kind.name}-{service}",
            "type": kind.type,
            "timeout_ms": int(kind.timeout_s * timeout_factor * 1000),
            "priority": 1,
            "service": service,
            "max_staleness_ms": kind.max_staleness_ms,
        }
        for service in names
        for kind in ROUTE_KINDS
    ]
    if added:
        routes.append({**routes[0], "name": f"added-{version}", "host": f"added-{version}"})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": service, "max_conns": size.max_connections, "sync_replicas": 1}
            for service in names
        ],
        "limits": {"tx_idle_ms": 3000},
    }
