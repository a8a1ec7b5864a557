"""Chooses the gateways of a fleet with tenants, and those that run the statements of each tenant.

A connection to a server serves one tenant. If every gateway served every tenant, most statements
would need a new connection, which costs a server as much as many statements. The statements of a
tenant from one region therefore go to few gateways of the region, its homes. The services of a
group share their gateways, so that the homes, which share the tenant's rate limit, stay few.
Homes in one region for the callers of all regions were rejected: the traffic between regions costs
four times that between zones, and takes ten times as long.
"""

import collections.abc

import xxhash

from mustardswitch.internal import gateways, ids
from mustardswitch.internal.placement import forwarding

CONNECTIONS_PER_GATEWAY = 6
"""Connections of a gateway to each server: room for the tenants that are active there at once and
for their transactions, which keep a connection while they pause."""
SERVICES_PER_GROUP = 8
"""Services whose connections one gateway can hold without becoming a bottleneck."""
LARGE_RATE_PER_S = 100.0
"""Rate limit in operations per second above which a tenant has two homes in each region, so that
the loss of one leaves it half of its limit."""


def group_of(service: ids.ServiceName, services: int) -> int:
    """Return the group of a service among ``services`` services."""
    groups = -(-services // SERVICES_PER_GROUP)
    return xxhash.xxh64_intdigest(service.encode(errors="surrogatepass")) % max(1, groups)


def plan_gateways(
    candidates: collections.abc.Sequence[gateways.Candidate],
    *,
    group: int,
    connections: int,
    usable: int,
) -> forwarding.GatewayPlan | None:
    """Return the gateways of a group of services; None without candidates.

    ``connections`` is the least that any server of the group accepts from all instances, and sets
    the number of gateways; ``usable`` of those to the servers of one service may be held now.
    """
    if not candidates:
        return None
    zones = {candidate.zone for candidate in candidates}
    per_zone = max(1, connections // (CONNECTIONS_PER_GATEWAY * len(zones)))
    by_zone = forwarding.choose_in_zones(candidates, key=f"tenants/{group}", per_zone=per_zone)
    count = sum(len(zone_gateways) for zone_gateways in by_zone.values())
    return forwarding.GatewayPlan(gateways_by_zone=by_zone, connections=max(1, usable // count))


def homes_per_region(rate_per_s: float | None) -> int:
    """Return how many gateways of a region run the statements of a tenant with a rate limit."""
    return 2 if rate_per_s is not None and rate_per_s > LARGE_RATE_PER_S else 1


def order_for_tenant(
    plan: forwarding.GatewayPlan,
    tenant: ids.TenantName,
    *,
    region: ids.RegionName,
    regions: collections.abc.Mapping[ids.ZoneName, ids.RegionName],
) -> list[ids.InstanceId]:
    """Rank the gateways of a region for a tenant, and then those of the other regions."""
    candidates = _gateways(plan, regions)
    near = [candidate for candidate in candidates if candidate.region == region]
    far = [candidate for candidate in candidates if candidate.region != region]
    return [*gateways.ranked(near, tenant), *gateways.ranked(far, tenant)]


def _gateways(
    plan: forwarding.GatewayPlan,
    regions: collections.abc.Mapping[ids.ZoneName, ids.RegionName],
) -> list[gateways.Candidate]:
    return [
        gateways.Candidate(
            instance=gateway, zone=zone, region=regions.get(zone, ids.RegionName(""))
        )
        for zone, zone_gateways in plan.gateways_by_zone.items()
        for gateway in zone_gateways
    ]


def homes(
    plan: forwarding.GatewayPlan,
    tenant: ids.TenantName,
    *,
    rate_per_s: float | None,
    regions: collections.abc.Mapping[ids.ZoneName, ids.RegionName],
) -> dict[ids.RegionName, tuple[ids.InstanceId, ...]]:
    """Return the homes of a tenant in each region that has gateways."""
    count = homes_per_region(rate_per_s)
    candidates = _gateways(plan, regions)
    return {
        region: tuple(
            gateways.ranked([each for each in candidates if each.region == region], tenant)[:count]
        )
        for region in sorted({candidate.region for candidate in candidates})
    }


def homes_of_plans(
    plans: collections.abc.Iterable[forwarding.GatewayPlan],
    tenant: ids.TenantName,
    *,
    rate_per_s: float | None,
    regions: collections.abc.Mapping[ids.ZoneName, ids.RegionName],
) -> list[ids.InstanceId]:
    """Return the homes of a tenant in all regions and for all groups of services, in order."""
    found = {
        home
        for plan in plans
        for region_homes in homes(plan, tenant, rate_per_s=rate_per_s, regions=regions).values()
        for home in region_homes
    }
    return sorted(found)


def is_next_home(
    plan: forwarding.GatewayPlan,
    tenant: ids.TenantName,
    *,
    instance: ids.InstanceId,
    rate_per_s: float | None,
    regions: collections.abc.Mapping[ids.ZoneName, ids.RegionName],
) -> bool:
    """Return whether an instance is used when the homes of its region cannot be reached.

    These are the next ones in the ranking, and the first one in each zone, for callers in a zone
    that is cut off.
    """
    zone = next((zone for zone, found in plan.gateways_by_zone.items() if instance in found), None)
    if zone is None:
        return False
    region = regions.get(zone, ids.RegionName(""))
    count = homes_per_region(rate_per_s)
    order = order_for_tenant(plan, tenant, region=region, regions=regions)
    in_zone = set(plan.gateways_by_zone[zone])
    first_in_zone = next(gateway for gateway in order if gateway in in_zone)
    return instance == first_in_zone or instance in order[count : 2 * count]
