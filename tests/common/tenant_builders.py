"""Builds tenants, fleets of instances and configurations with tenants."""

from mustardswitch.internal import gateways, ids
from mustardswitch.proxy import routes
from tests.common import proxy_world

ACME, BOLT = ids.TenantName("acme"), ids.TenantName("bolt")
ACME_KEY, BOLT_KEY = ids.CallerKey("key-of-acme"), ids.CallerKey("key-of-bolt")
ZONES_BY_REGION = {
    ids.RegionName("north"): ("a", "b", "c"),
    ids.RegionName("south"): ("d", "e", "f"),
}
REGIONS = {
    ids.ZoneName(zone): region for region, zones in ZONES_BY_REGION.items() for zone in zones
}


def candidates(per_zone: int) -> list[gateways.Candidate]:
    """Build the instances of a fleet in two regions of three availability zones each."""
    return [
        gateways.Candidate(instance=ids.InstanceId(f"{zone}{n}"), zone=zone, region=region)
        for zone, region in REGIONS.items()
        for n in range(per_zone)
    ]


def configuration(
    version: int = 2,
    *,
    keys: dict[ids.CallerKey, ids.TenantName] | None = None,
    rate_per_s: float | None = None,
    burst: float = 0.0,
    **changes: object,
) -> routes.Configuration:
    """Build a configuration with a database of each kind and two tenants."""
    base = proxy_world.configuration(version, **changes)
    return routes.Configuration(
        version=version,
        routes=base.routes,
        services=base.services,
        transaction_idle_s=base.transaction_idle_s,
        tenants={
            name: routes.Tenant(name=name, rate_per_s=rate_per_s, burst=burst)
            for name in (ACME, BOLT)
        },
        tenant_by_key={ACME_KEY: ACME, BOLT_KEY: BOLT} if keys is None else keys,
    )
