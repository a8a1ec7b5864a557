"""Builds a directory, sessions and watches in front of an in-memory group."""

import asyncio
import itertools

from mustardswitch import metrics
from mustardswitch.internal import clock, ids
from mustardswitch.proxy import (
    directory,
    failover_watch,
    feature_set,
    requests,
    routes,
    server_list,
    service,
    session,
)
from mustardswitch_standins import database_group, promotion_calls

REGIONS = {
    ids.ZoneName("a"): ids.RegionName("north"),
    ids.ZoneName("b"): ids.RegionName("north"),
    ids.ZoneName("c"): ids.RegionName("south"),
}
DATABASES = {kind: ids.DatabaseName(f"db-{kind.value}") for kind in requests.RouteKind}
READ = requests.Plain(access=requests.Access.READ, arguments="item")
WRITE = requests.Plain(access=requests.Access.WRITE, arguments="item data")


def route(kind: requests.RouteKind, **changes: object) -> routes.Route:
    """Build a route of a kind."""
    fields = {
        "database": DATABASES[kind],
        "service": database_group.SERVICE,
        "kind": kind,
        "statement_timeout_s": 1.0,
        "max_staleness_s": 0.0 if kind is requests.RouteKind.PRIMARY else 1.5,
        "priority": 1,
    }
    return routes.Route(**{**fields, **changes})


def configuration(version: int = 1, **changes: object) -> routes.Configuration:
    """Build a configuration with a database of each kind."""
    built = [route(kind, **changes) for kind in requests.RouteKind]
    return routes.Configuration(
        version=version,
        routes={each.database: each for each in built},
        services={
            database_group.SERVICE: routes.ServiceLimits(
                service=database_group.SERVICE, max_connections=80, synchronous_replicas=1
            )
        },
        transaction_idle_s=0.3,
    )


class World:
    """One instance in front of an in-memory group of servers."""

    def __init__(
        self,
        *,
        zone: str = "a",
        features: feature_set.Features = feature_set.NO_FEATURES,
        group: database_group.Group | None = None,
        **changes: object,
    ) -> None:
        self.group = database_group.Group() if group is None else group
        self.promoter = promotion_calls.FakePromoter(group=self.group)
        self.coordination = promotion_calls.FakeCoordination()
        self.directory = directory.Directory(
            instance=ids.InstanceId("one"),
            location=server_list.Location(zone=ids.ZoneName(zone), regions=REGIONS),
            opener=self.group.open_link,
            registry=metrics.Registry(),
            features=features,
        )
        self.directory.instances.put(ids.InstanceId("one"), directory.Peer(zone=ids.ZoneName(zone)))
        self.watch = failover_watch.FailoverWatch(
            directory=self.directory, coordination=self.coordination, promoter=self.promoter
        )
        self.requests = itertools.count(1)
        started_s = clock.now_s() - failover_watch.RECENT_START_S
        self.directory.servers.note_recovery(started_s)
        self.list_servers()
        self.directory.configure(configuration(**changes))

    def list_servers(self) -> None:
        """Put the group's server entries, in their present state, into the directory."""
        listed = {entry.server: entry for entry in self.group.entries()}
        self.directory.servers.replace(listed, clock.now_s())
        self.directory.refresh()

    def share_marks(self) -> None:
        """Let the directory follow the marks of unfinished changes."""
        self.directory.unfinished = self.coordination.unfinished
        self.directory.promotions = self.coordination.promotions

    @property
    def service(self) -> service.Service:
        """The only service of the group."""
        return self.directory.services[database_group.SERVICE]

    def open_session(self, kind: requests.RouteKind) -> session.Session:
        """Open a session of a kind."""
        return session.Session(directory=self.directory, database=DATABASES[kind])

    async def run(self, caller: session.Session, statement: requests.Statement) -> requests.Answer:
        """Run one statement of a session."""
        request = ids.RequestId(f"r{next(self.requests)}")
        return await caller.handle(request, statement, first_byte_s=clock.now_s())

    async def settle(self) -> None:
        """Wait until the service's background tasks have ended."""
        while self.service.tasks:
            await asyncio.wait(set(self.service.tasks))
