"""The operators' configuration as the proxy uses it; its version never decreases."""

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
    """Largest age of the data that reads accept; 0 on primary routes."""
    priority: int
    """Smaller is served first; 0 is the smallest."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLimits:
    """Limits and replication of a service's servers."""

    service: ids.ServiceName
    max_connections: int
    """Connections to one server, of all instances together."""
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
