"""Decides whether a transaction may go on for its caller while keys, tenants and routes change.

A transaction runs on a connection that was opened for the tenant of its first statement. It goes on
only while its caller still is that tenant, or still is none. Before the first statement there is
nothing to compare: that statement decides for whom the transaction runs.
"""

import enum

from mustardswitch.internal import ids


class Change(enum.Enum):
    """Why a transaction is rolled back; the value is what the caller and the log are told."""

    KEY_REMOVED = "the key belongs to no tenant any more"
    """It began for a tenant, and the caller has none now; the route is public, or no tenants are
    configured any more."""
    KEY_MOVED = "the key belongs to another tenant now"
    """It began for a tenant, and the caller is another one now."""
    KEY_ADDED = "the key belongs to a tenant now"
    """It began without a tenant, and the caller has one now."""
    KEY_REQUIRED = "the key belongs to no tenant"
    """The caller has no tenant, and the route is not public."""
    DATABASE_REMOVED = "the database is no longer configured"
    """No route has the name of the database any more."""


def find_change(began: ids.TenantName, now: ids.TenantName) -> Change | None:
    """Return why a transaction must not go on; None if it may.

    ``began`` is the tenant of its first statement, and ``now`` that of its caller by the
    configuration in force. An empty name stands for none.
    """
    if began == now:
        return None
    if not began:
        return Change.KEY_ADDED
    return Change.KEY_MOVED if now else Change.KEY_REMOVED
