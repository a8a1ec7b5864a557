"""Decides which version of the configuration says where the statements of a database run.

Instances apply a version at different times, and one that is cut off from the store much later. A
forwarded statement therefore names what its entry instance knows of the route, and the answer what
the gateway knows. The newest version that either of them knows is followed, and remembered: an
instance never goes back behind a version by which it has had a statement run. Versions that do not
differ in where and how a statement runs are equal here, apart from their number.
"""

import dataclasses
import typing

from mustardswitch.internal import ids
from mustardswitch.proxy import requests, routes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Routing:
    """What a version of the configuration says of where and how a database's statements run."""

    version: int
    service: ids.ServiceName
    kind: requests.RouteKind
    max_staleness_s: float
    """Largest age of the data that reads accept, in seconds."""

    def differs(self, other: "Routing") -> bool:
        """Return whether statements run elsewhere or otherwise by another version."""
        return (self.service, self.kind, self.max_staleness_s) != (
            other.service,
            other.kind,
            other.max_staleness_s,
        )


class KnownRoutings(typing.Protocol):
    """The newest version that an instance knows of each database's routing."""

    configuration: routes.Configuration | None
    """The configuration in force."""

    def routing(self, database: ids.DatabaseName) -> Routing | None:
        """Return the newest routing of a database; None without a route."""

    def learn_routing(self, database: ids.DatabaseName, told: Routing) -> None:
        """Follow what another instance knows of a database's routing, if that is newer."""


class LearnedRoutings:
    """Routings of versions that are newer than this instance's configuration."""

    def __init__(self) -> None:
        self.newer: dict[ids.DatabaseName, Routing] = {}
        self.configured: routes.Configuration | None = None
        """The configuration of ``by_database``, which is computed once for each version."""
        self.by_database: dict[ids.DatabaseName, Routing] = {}

    def __repr__(self) -> str:
        return f"LearnedRoutings(newer={self.newer!r})"

    def preview(self) -> "LearnedRoutings":
        """Return a copy that finds the same routings; what it computes is kept in the copy."""
        copied = LearnedRoutings()
        copied.newer = dict(self.newer)
        return copied

    @property
    def newest_version(self) -> int | None:
        """The newest version that was learned; None if the configuration is as new."""
        return max((each.version for each in self.newer.values()), default=None)

    def routing(
        self, configured: routes.Configuration, database: ids.DatabaseName
    ) -> Routing | None:
        """Return the newest routing of a database; None without a configured route.

        It is the same object until another one is in force.
        """
        if configured is not self.configured:
            self.configured, self.by_database = configured, {}
        known = self.by_database.get(database)
        if known is None:
            route = configured.routes.get(database)
            if route is None:
                return None
            known = self.by_database[database] = Routing(
                version=configured.version,
                service=route.service,
                kind=route.kind,
                max_staleness_s=route.max_staleness_s,
            )
        return self.newer.get(database, known) if self.newer else known

    def route(
        self, configured: routes.Configuration, database: ids.DatabaseName
    ) -> routes.Route | None:
        """Return the configured route of a database, with the newest routing."""
        route = configured.routes.get(database)
        learned = self.newer.get(database)
        if route is None or learned is None:
            return route
        return dataclasses.replace(
            route,
            service=learned.service,
            kind=learned.kind,
            max_staleness_s=learned.max_staleness_s,
        )

    def learn(
        self, configured: routes.Configuration, database: ids.DatabaseName, told: Routing
    ) -> bool:
        """Note a routing that another instance knows; return whether statements run otherwise now.

        Nothing changes unless its version is newer than the known one, and the database configured.
        """
        known = self.routing(configured, database)
        if known is None or told.version <= known.version:
            return False
        self.newer[database] = told
        return told.differs(known)

    def note_configured(self, version: int) -> None:
        """Forget routings that a version of the configuration, in force from now on, includes."""
        self.newer = {
            database: each for database, each in self.newer.items() if each.version > version
        }
