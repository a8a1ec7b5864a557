"""The operators' configuration as the proxy uses it; its version never decreases."""

import collections.abc
import dataclasses

from mustardswitch.internal import ids
from mustardswitch.proxy import errors, requests


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How the statements for a database are served."""

    database: ids.DatabaseName
    service: ids.ServiceName
    kind: requests.RouteKind
    statement_timeout_s: float
    max_staleness_s: float
    """Largest age of the data that reads accept; 0 on primary routes."""
    priority: int
    """Smaller is served first; 0 is the smallest."""
    target_latency_s: float | None = None
    """Time in which an operation should be answered; None without a target."""
    public: bool = False
    """Whether callers need no key of a tenant."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLimits:
    """Limits and replication of a service's servers."""

    service: ids.ServiceName
    max_connections: int
    """Connections to one server, of all instances together."""
    synchronous_replicas: int
    """Replicas that receive a commit before it is acknowledged."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tenant:
    """A tenant and the limit of its operations over all instances."""

    name: ids.TenantName
    rate_per_s: float | None = None
    """Operations per second; None without a limit."""
    burst: float = 0.0
    """Operations beyond the rate that may come at once."""


NO_TENANT = ids.TenantName("")
"""Stands for callers without a tenant; servers are told the name of the proxy instead."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: collections.abc.Mapping[ids.DatabaseName, Route]
    services: collections.abc.Mapping[ids.ServiceName, ServiceLimits]
    transaction_idle_s: float
    """How long a transaction may stay idle."""
    tenants: collections.abc.Mapping[ids.TenantName, Tenant] = dataclasses.field(
        default_factory=dict
    )
    """Tenants of the callers; empty where callers need no key and servers are told no tenant."""
    tenant_by_key: collections.abc.Mapping[ids.CallerKey, ids.TenantName] = dataclasses.field(
        default_factory=dict, repr=False
    )
    """The tenant of each key; not shown, since keys are secret."""

    def serves_tenant(self, tenant: ids.TenantName, route: Route) -> bool:
        """Return whether a tenant that another instance identified may use a route.

        An instance with an older configuration may name no tenant, or one that no longer exists.
        """
        if tenant:
            return tenant in self.tenants
        return not self.tenants or route.public

    def identify(self, key: ids.CallerKey, route: Route) -> ids.TenantName:
        """Return the tenant whose name servers are told for a caller on a route.

        It is NO_TENANT without configured tenants, and for an unknown key on a public route. Raises
        UnknownKeyError on any other route.
        """
        if not self.tenants:
            return NO_TENANT
        tenant = self.tenant_by_key.get(key)
        if tenant is None and not route.public:
            raise errors.UnknownKeyError("the key belongs to no tenant")
        return NO_TENANT if tenant is None else tenant
