"""The operators' configuration as the proxy uses it; it never goes back to an older version."""

import collections.abc
import dataclasses

from mustardswitch.internal import ids
from mustardswitch.proxy import requests


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How the statements for a database are served."""

    database: ids.DatabaseName
    service: ids.ServiceName
    kind: requests.RouteKind
    statement_timeout_s: float
    max_staleness_s: float
    """Oldest data that reads accept; 0 on primary routes."""
    priority: int
    """0 goes first."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLimits:
    """What a service's servers allow."""

    service: ids.ServiceName
    max_connections: int
    """Connections of all callers together to one server."""
    synchronous_replicas: int
    """Replicas that receive a commit before it is acknowledged."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: collections.abc.Mapping[ids.DatabaseName, Route]
    services: collections.abc.Mapping[ids.ServiceName, ServiceLimits]
    transaction_idle_s: float
    """How long a transaction may stay idle."""
