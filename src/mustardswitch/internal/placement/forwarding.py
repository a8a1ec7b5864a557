"""Chooses which instances of a large fleet hold the connections to a service's servers.

There may be more instances than a server accepts connections. If each opened one when it needs it,
servers would spend their time on connections that are refused or used once. Some instances of each
availability zone are gateways of a service and share its connections; the others forward to a
gateway in their zone, where traffic is free of charge. Connections on demand were rejected: opening
one costs a server more than the statement that it carries.
"""

import collections.abc
import dataclasses

from mustardswitch.internal import gateways, ids

MIN_CONNECTIONS = 2
"""Connections to each server below which one caller's transaction delays all other callers."""
CONNECTIONS_PER_GATEWAY = 3
"""Connections of a gateway to each server; as many statements as a small server runs at once."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GatewayPlan:
    """Assignment of one service's connections to gateways."""

    gateways_by_zone: collections.abc.Mapping[ids.ZoneName, tuple[ids.InstanceId, ...]]
    connections: int
    """Connections of each gateway to each server."""

    @property
    def gateway_count(self) -> int:
        """Number of instances that are gateways."""
        return sum(len(zone_gateways) for zone_gateways in self.gateways_by_zone.values())

    def is_gateway(self, instance: ids.InstanceId) -> bool:
        """Return whether an instance is a gateway and holds connections."""
        return any(instance in zone_gateways for zone_gateways in self.gateways_by_zone.values())


def choose_in_zones(
    candidates: collections.abc.Sequence[gateways.Candidate], *, key: str, per_zone: int
) -> dict[ids.ZoneName, tuple[ids.InstanceId, ...]]:
    """Return the first ``per_zone`` instances of each zone in the ranking for ``key``."""
    return {
        zone: tuple(
            gateways.ranked([each for each in candidates if each.zone == zone], key)[:per_zone]
        )
        for zone in sorted({candidate.zone for candidate in candidates})
    }


def plan(
    candidates: collections.abc.Sequence[gateways.Candidate],
    *,
    service: ids.ServiceName,
    connections: int,
    instances: int,
) -> GatewayPlan | None:
    """Return the gateways of a service, or None if every instance holds connections itself.

    ``connections`` of each server are shared by ``instances``, which may be more than the present
    candidates for a while.
    """
    if not candidates or connections // max(1, instances) >= MIN_CONNECTIONS:
        return None
    zones = sorted({candidate.zone for candidate in candidates})
    per_zone = max(1, connections // (CONNECTIONS_PER_GATEWAY * len(zones)))
    return GatewayPlan(
        gateways_by_zone=choose_in_zones(candidates, key=service, per_zone=per_zone),
        connections=max(1, connections // (per_zone * len(zones))),
    )


def order_gateways(
    gateway_plan: GatewayPlan,
    *,
    zone: ids.ZoneName,
    regions: collections.abc.Mapping[ids.ZoneName, ids.RegionName],
    avoided: collections.abc.Container[ids.InstanceId],
    start: int,
) -> list[ids.InstanceId]:
    """Return the gateways in the order in which to try them.

    Those of the zone come first, rotated by ``start``, then those of the region's other zones, and
    ``avoided`` ones last. Gateways in other regions are left out.
    """
    own = list(gateway_plan.gateways_by_zone.get(zone, ()))
    if own:
        turn = start % len(own)
        own = own[turn:] + own[:turn]
    region = regions.get(zone)
    others = [
        gateway
        for other, zone_gateways in gateway_plan.gateways_by_zone.items()
        if other != zone and regions.get(other) == region
        for gateway in zone_gateways
    ]
    return sorted([*own, *others], key=lambda gateway: gateway in avoided)
