"""What the sessions of callers look up."""

import typing

from mustardswitch.internal import ids
from mustardswitch.proxy import (
    feature_set,
    forwarded,
    placements,
    route_versions,
    routes,
    session_caller,
    statement_context,
    tenant_limits,
)


class Directory(session_caller.Directory, route_versions.KnownRoutings, typing.Protocol):
    """The services, routes and gateways that sessions look up."""

    features: feature_set.Features
    forwarder: forwarded.Forwarder | None
    limits: tenant_limits.TenantLimits

    def place(self, database: ids.DatabaseName) -> placements.Placement | None:
        """Return where the statements of a database run now; None without a route or service."""

    def serves_tenant(self, tenant: ids.TenantName, route: routes.Route) -> bool:
        """Return whether a forwarded statement of a tenant may run on a route."""

    def gateways_for(
        self, context: statement_context.StatementContext, *, single_read: bool = False
    ) -> list[forwarded.Gateway] | None:
        """Return the gateways to forward a statement to; None when this instance runs it itself."""

    @property
    def transaction_idle_s(self) -> float:
        """How long a transaction may stay idle."""
