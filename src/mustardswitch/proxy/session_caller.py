"""The caller of a session, as each version of the configuration identifies it."""

import typing

from mustardswitch import events, metrics
from mustardswitch.internal import ids, transaction_callers
from mustardswitch.proxy import errors, routes

NO_KEY = ids.CallerKey("")


class Directory(typing.Protocol):
    """The routes and tenants that identify callers."""

    registry: metrics.Registry

    def route(self, database: ids.DatabaseName) -> routes.Route | None:
        """Return the route of a database, or None."""

    def identify(self, key: ids.CallerKey, route: routes.Route) -> ids.TenantName:
        """Return the tenant of a caller on a route; raises UnknownKeyError."""


class SessionCaller:
    """A key on a database, and the tenant for which the open transaction runs."""

    def __init__(
        self, *, directory: Directory, database: ids.DatabaseName, key: ids.CallerKey = NO_KEY
    ) -> None:
        self.directory = directory
        self.database = database
        self.key = key
        """Identifies the caller's tenant; a secret, which stays in this object."""
        self.transaction_tenant: ids.TenantName | None = None
        """Tenant of the transaction's first statement; None before that statement."""

    def __repr__(self) -> str:
        return f"SessionCaller(directory={self.directory!r}, database={self.database!r})"

    def identify(self, route: routes.Route) -> ids.TenantName:
        """Return the tenant of the caller on a route; raises UnknownKeyError."""
        return self.directory.identify(self.key, route)

    def find_change(self, tenant: ids.TenantName) -> transaction_callers.Change | None:
        """Return why a statement must not run for a tenant any more; None if it may."""
        route = self.directory.route(self.database)
        if route is None:
            return transaction_callers.Change.DATABASE_REMOVED
        try:
            return transaction_callers.find_change(tenant, self.identify(route))
        except errors.UnknownKeyError:
            return transaction_callers.Change.KEY_REQUIRED

    def find_refusal(self, *, is_open: bool) -> transaction_callers.Change | None:
        """Return why the next statement must not run; None if it may.

        ``is_open`` tells whether a transaction is open, which has to run for its first caller.
        """
        if is_open and self.transaction_tenant is not None:
            return self.find_change(self.transaction_tenant)
        route = self.directory.route(self.database)
        if route is None:
            return None
        try:
            self.identify(route)
        except errors.UnknownKeyError:
            return transaction_callers.Change.KEY_REQUIRED
        return None

    def note_rolled_back(self, request: ids.RequestId, change: transaction_callers.Change) -> None:
        """Count and log that the open transaction was rolled back since its caller has changed."""
        self.directory.registry.count("transactions_of_changed_callers", change.name.lower())
        events.log(
            events.Event.CALLER_CHANGED,
            request=request,
            database=self.database,
            reason=change.value,
        )
