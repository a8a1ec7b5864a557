"""Which instances of a large fleet hold the connections to a service's servers.

Answers the load pattern of more instances than a server takes connections: if each opened one when
it needs it, servers would spend their time on connections that are refused or used once. Some
instances of each availability zone are homes of a service and share its connections; the others
forward to a home in their zone, where bytes are free. Weighed against connections on demand, which
cost a server more than the statement that they carry.
"""

import collections.abc
import dataclasses

from mustardswitch.internal import gateways, ids

MIN_CONNECTIONS = 2
"""With fewer to each server, one transaction of a caller holds up every other one."""
CONNECTIONS_PER_GATEWAY = 3
"""Connections of a home to each server; as many statements as a small server runs at once."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewayPlan:
    """How one service's connections are held."""

    gateways_by_zone: collections.abc.Mapping[ids.ZoneName, tuple[ids.InstanceId, ...]]
    connections: int
    """Connections of each home to each server."""

    @property
    def gateway_count(self) -> int:
        """How many instances are homes."""
        return sum(len(zone_homes) for zone_homes in self.gateways_by_zone.values())

    def is_gateway(self, instance: ids.InstanceId) -> bool:
        """Tell whether an instance holds connections."""
        return any(instance in zone_homes for zone_homes in self.gateways_by_zone.values())


def plan(
    candidates: collections.abc.Sequence[gateways.Candidate],
    *,
    service: ids.ServiceName,
    connections: int,
    instances: int,
) -> GatewayPlan | None:
    """Return the homes of a service, or None when every instance holds connections itself.

    ``connections`` of each server are shared by ``instances``, which may be more than the present
    candidates for a while.
    """
    if not candidates or connections // max(1, instances) >= MIN_CONNECTIONS:
        return None
    zones = sorted({candidate.zone for candidate in candidates})
    per_zone = max(1, connections // (CONNECTIONS_PER_GATEWAY * len(zones)))
    by_zone = {
        zone: tuple(
            gateways.ranked([each for each in candidates if each.zone == zone], service)[:per_zone]
        )
        for zone in zones
    }
    return GatewayPlan(
        gateways_by_zone=by_zone,
        connections=max(1, connections // (per_zone * len(zones))),
    )


def order_gateways(
    chosen: GatewayPlan,
    *,
    zone: ids.ZoneName,
    regions: collections.abc.Mapping[ids.ZoneName, ids.RegionName],
    avoided: collections.abc.Container[ids.InstanceId],
    start: int,
) -> list[ids.InstanceId]:
    """Return the homes to ask, the zone's first in turn, then the region's; avoided ones last."""
    own = list(chosen.gateways_by_zone.get(zone, ()))
    if own:
        turn = start % len(own)
        own = own[turn:] + own[:turn]
    region = regions.get(zone)
    others = [
        gateway
        for other, zone_homes in chosen.gateways_by_zone.items()
        if other != zone and regions.get(other) == region
        for gateway in zone_homes
    ]
    return sorted([*own, *others], key=lambda gateway: gateway in avoided)
