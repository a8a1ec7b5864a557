"""Applies the rate limits of tenants to the operations that start on this instance."""

import math
import typing

from mustardswitch import metrics
from mustardswitch.internal import clock, ids
from mustardswitch.internal.placement import forwarding
from mustardswitch.internal.tenants import homes, limits
from mustardswitch.proxy import requests, routes, service

MAX_RETRY_MS = 1000
"""Longest time after which a caller is told to retry; homes may have changed by then."""


class Directory(typing.Protocol):
    """What the limits depend on."""

    instance: ids.InstanceId
    location: service.Location
    configuration: routes.Configuration | None
    plans: dict[ids.ServiceName, forwarding.GatewayPlan]
    refreshed_s: float
    registry: metrics.Registry

    def homes_of(self, tenant: ids.TenantName) -> list[ids.InstanceId]:
        """Return the instances that run a tenant's statements by the present list, in order."""


class TenantLimits:
    """Admits the operations of tenants that start on this instance."""

    def __init__(self, *, directory: Directory) -> None:
        self.directory = directory
        self.started_s = clock.now_s()
        self.tenants: dict[ids.TenantName, limits.TenantLimit] = {}
        """Limits of the tenants that had operations here since the list changed last."""
        self.roles: dict[ids.TenantName, limits.Role] = {}
        self.seen_s = float("-inf")
        """``refreshed_s`` of the directory's state that is applied here."""
        self.seen_gateways: list[object] = []

    def __repr__(self) -> str:
        return f"TenantLimits(directory={self.directory!r})"

    def limit_of(self, tenant: ids.TenantName) -> limits.Limit | None:
        """Return a tenant's limit, or None if it has none."""
        configuration = self.directory.configuration
        known = configuration.tenants.get(tenant) if configuration is not None else None
        if known is None or known.rate_per_s is None:
            return None
        return limits.Limit(rate_per_s=known.rate_per_s, burst=known.burst)

    def admit(self, tenant: ids.TenantName, now_s: float) -> bool:
        """Return whether an operation of a tenant may start here now, and count it if so."""
        return self._admit(tenant, now_s) is None

    def refuse(self, tenant: ids.TenantName) -> requests.Answer | None:
        """Count an operation that starts now; returns the refusal if it may not."""
        wait_s = self._admit(tenant, clock.now_s())
        if wait_s is None:
            return None
        retry_ms = min(MAX_RETRY_MS, math.ceil(wait_s * 1000)) if wait_s < MAX_RETRY_MS else None
        return requests.refuse(
            requests.Refusal.OVERLOADED,
            f"the rate limit of tenant {tenant} is reached;"
            f" retry after {MAX_RETRY_MS if retry_ms is None else retry_ms} ms",
        )

    def _admit(self, tenant: ids.TenantName, now_s: float) -> float | None:
        """Return None for an operation that may start, otherwise the time to the next one."""
        limit = self.limit_of(tenant)
        if limit is None:
            return None
        self._follow_directory()
        known = self._tenant(tenant, limit, now_s)
        if known.admit(now_s):
            self.directory.registry.count("tenant_operations_admitted", tenant)
            return None
        self.directory.registry.count("tenant_operations_refused", tenant)
        return known.wait_s(now_s)

    def _tenant(
        self, tenant: ids.TenantName, limit: limits.Limit, now_s: float
    ) -> limits.TenantLimit:
        known = self.tenants.get(tenant)
        if known is None:
            known = limits.TenantLimit(limit=limit, started_s=self.started_s)
            # The instance has had the role since it started or the list changed.
            known.update(limit=limit, role=self._role(tenant), now_s=self.started_s)
            self.tenants[tenant] = known
        role = self._role(tenant)
        if known.limit != limit or known.role != role:
            known.update(limit=limit, role=role, now_s=now_s)
        return known

    def _follow_directory(self) -> None:
        """Forget the roles when the list of gateways or the configuration has changed."""
        directory = self.directory
        if directory.refreshed_s == self.seen_s:
            return
        self.seen_s = directory.refreshed_s
        gateways = [
            directory.configuration.version,
            *(plan.gateways_by_zone for plan in directory.plans.values()),
        ]
        if gateways != self.seen_gateways:
            self.seen_gateways = gateways
            self.roles.clear()

    def _role(self, tenant: ids.TenantName) -> limits.Role:
        role = self.roles.get(tenant)
        if role is None:
            role = self.roles[tenant] = self._find_role(tenant)
        return role

    def _find_role(self, tenant: ids.TenantName) -> limits.Role:
        directory = self.directory
        found = directory.homes_of(tenant)
        if not found:
            return limits.Role(is_home=True)
        known = directory.configuration.tenants[tenant]
        return limits.Role(
            homes=len(found),
            is_home=directory.instance in found,
            is_next=any(
                homes.is_next_home(
                    plan,
                    tenant,
                    instance=directory.instance,
                    rate_per_s=known.rate_per_s,
                    regions=directory.location.regions,
                )
                for plan in directory.plans.values()
            ),
        )
