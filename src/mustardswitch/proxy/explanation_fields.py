"""The fields of an explanation (``explanation``)."""

import dataclasses

from mustardswitch.internal import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteState:
    """The route of the database."""

    service: ids.ServiceName
    type: str
    priority: int
    timeout_s: float
    max_staleness_s: float
    target_latency_s: float | None
    public: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitState:
    """This instance's part of the tenant's rate limit; rates in operations per second."""

    rate_per_s: float
    burst: float
    admits: bool
    """Whether one operation would be admitted here now."""
    retry_s: float | None
    """Time until the next operation may start; None if it never may as things are."""
    available: float
    """Operations that may start at once."""
    held_per_s: float
    """Share of the limit that may be used, without what is lent."""
    lent_per_s: float
    borrowed_per_s: float
    is_home: bool
    waiting: bool
    """Whether a former home may still use the share."""
    connected: bool
    """Whether the list of instances is certainly valid."""
    homes: list[ids.InstanceId]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewayState:
    """A gateway, in the order in which it would be tried."""

    instance: ids.InstanceId
    address: str
    reasons: list[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PoolState:
    """The connections to a server, and what a request for one would meet."""

    action: str
    ahead: int
    reason: str
    size: int
    allowed: int
    """Connections that may be in use now."""
    idle: int
    busy: int
    opening: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerState:
    """A server, in the order in which it would be tried."""

    server: ids.ServerId
    zone: ids.ZoneName
    leads: bool
    cost_s: float
    """Estimated cost by which reads are ordered."""
    latency_s: float
    in_flight: int
    reasons: list[str]
    pool: PoolState


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """Where a statement would go, and why."""

    instance: ids.InstanceId
    zone: ids.ZoneName
    version: int
    """Version of the configuration in force."""
    database: ids.DatabaseName
    tenant: ids.TenantName
    kind: str
    route: RouteState
    verdict: str
    """What would happen, in one sentence."""
    limit: LimitState | None
    gateways: list[GatewayState]
    gateways_found: int
    """Gateways in the order, the first of which are listed."""
    min_position: str | None
    """Log position that a replica must hold for the read; None if none applies or it is unknown."""
    leader: ids.ServerId | None
    servers: list[ServerState]
    """Servers in the order for this instance, also if gateways are tried first."""
    servers_found: int
    notes: list[str]
