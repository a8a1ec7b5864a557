"""An entry instance and gateways in front of the in-memory groups of two services."""

import asyncio
import dataclasses

from mustardswitch import connection_pool
from mustardswitch.internal import ids
from mustardswitch.internal.placement import forwarding
from mustardswitch.peers import datagrams, relay_client, relay_server
from mustardswitch.proxy import directory, forwarded, ports, requests, route_versions, routes
from mustardswitch_standins import database_group, fleet
from tests.common import proxy_world

OLD, NEW = ids.ServiceName("old"), ids.ServiceName("new")
KINDS = requests.RouteKind
ZONE = ids.ZoneName("b")
"""Zone of all instances; the primaries are in another one, so that reads go to a replica."""


class Groups:
    """The groups of the services, behind one opener of connections."""

    def __init__(self) -> None:
        self.by_service = {name: database_group.Group() for name in (OLD, NEW)}

    def entries(self) -> list[ports.ServerEntry]:
        """Return the servers of all services as they are listed."""
        return [
            dataclasses.replace(entry, service=name, server=ids.ServerId(f"{name}-{entry.server}"))
            for name, group in self.by_service.items()
            for entry in group.entries()
        ]

    async def open_link(
        self, entry: ports.ServerEntry, tenant: ids.TenantName = routes.NO_TENANT
    ) -> database_group.FakeLink:
        """Open a connection to a server of the service that its entry names."""
        server = ids.ServerId(entry.server.removeprefix(f"{entry.service}-"))
        group = self.by_service[entry.service]
        return await group.open_link(dataclasses.replace(entry, server=server), tenant)

    def ran_at(self, request: str) -> ids.ServiceName | None:
        """Return the service at which a statement ran last; None if it has not run."""
        found = [name for name, group in self.by_service.items() if request in group.executed]
        return found[-1] if found else None


def configuration(
    version: int, service: ids.ServiceName = OLD, **changes: object
) -> routes.Configuration:
    """Build a configuration whose databases are served by one of the two services."""
    base = proxy_world.configuration(version, service=service, **changes)
    limits = {
        name: routes.ServiceLimits(service=name, max_connections=80, synchronous_replicas=1)
        for name in (OLD, NEW)
    }
    return dataclasses.replace(base, services=limits, transaction_idle_s=30.0)


def moved(version: int, service: ids.ServiceName = NEW, **changes: object) -> routes.Configuration:
    """Build a version whose reads accept old data, so that only own commits raise their minimum."""
    return configuration(version, service, **{"max_staleness_s": 60.0, **changes})


def routing(version: int, service: ids.ServiceName = OLD) -> route_versions.Routing:
    """Build what a version says of a database that reads its sessions' own writes."""
    return route_versions.Routing(
        version=version, service=service, kind=KINDS.READ_YOUR_WRITES, max_staleness_s=1.5
    )


def pool_request(tenant: str = "") -> connection_pool.ConnectionRequest:
    """Build a request for a connection of a tenant, or of none."""
    return connection_pool.ConnectionRequest(
        caller=tenant,
        priority=0,
        deadline_s=asyncio.get_running_loop().time() + 5.0,
        holds=False,
    )


def _world(groups: Groups, instance: str, first: routes.Configuration) -> proxy_world.World:
    world = proxy_world.World(group=groups, zone=ZONE)
    world.directory.instances.remove(ids.InstanceId("one"), 0.0)
    world.directory.instance = ids.InstanceId(instance)
    # The plans are the test's own, and stay as they are when the configuration changes.
    world.directory._plan = lambda names: None
    world.directory.configure(first)
    return world


class Fleet:
    """An instance that forwards, unless ``forwards`` is False, and its gateways."""

    def __init__(
        self,
        first: routes.Configuration | None = None,
        *,
        gateways: int = 1,
        forwards: bool = True,
    ) -> None:
        first = first or configuration(2)
        self.groups = Groups()
        self.entry = _world(self.groups, "entry", first)
        self.gateways = [
            _world(self.groups, f"gateway-{number}", first) for number in range(gateways)
        ]
        addresses = [
            datagrams.PeerAddress(host="127.0.0.1", port=port)
            for port in fleet.free_ports(gateways)
        ]
        self.servers = [
            relay_server.RelayServer(directory=each.directory, registry=each.directory.registry)
            for each in self.gateways
        ]
        self.addresses = addresses
        self.forwarder = forwarded.Forwarder(client=relay_client.RelayClient())
        known = self.entry.directory
        known.forwarder = self.forwarder
        for gateway, address in zip(self.gateways, addresses, strict=True):
            known.instances.put(
                gateway.directory.instance, directory.Peer(zone=ZONE, address=address)
            )
        if forwards:
            self.plan_gateways(range(gateways))

    def plan_gateways(self, numbers) -> None:
        """Forward the statements of both services to these gateways from now on."""
        chosen = tuple(self.gateways[number].directory.instance for number in numbers)
        for name in (OLD, NEW):
            self.entry.directory.plans[name] = forwarding.GatewayPlan(
                gateways_by_zone={ZONE: chosen}, connections=3
            )

    def run_all_here(self) -> None:
        """Let the entry instance run all statements itself from now on."""
        self.entry.directory.plans.clear()

    async def __aenter__(self) -> "Fleet":
        for server, address in zip(self.servers, self.addresses, strict=True):
            await server.start(address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the connections between the instances."""
        self.forwarder.client.close()
        for server in self.servers:
            server.close()


def restart_gateway(fleet: Fleet, number: int, first: routes.Configuration) -> None:
    """Start a gateway again, which then knows only a configuration and the listed servers."""
    started = _world(fleet.groups, fleet.gateways[number].directory.instance, first)
    fleet.gateways[number] = started
    server = fleet.servers[number]
    server.directory, server.registry = started.directory, started.directory.registry
    # Connections to the former process are lost.
    fleet.forwarder.client.close()


def restart_entry(fleet: Fleet, first: routes.Configuration) -> None:
    """Start the entry instance again; its gateways are the same."""
    former = fleet.entry.directory
    fleet.entry = _world(fleet.groups, former.instance, first)
    known = fleet.entry.directory
    known.forwarder, known.plans = former.forwarder, former.plans
    for instance, peer in former.instances.entries.items():
        known.instances.put(instance, peer)


class Caller:
    """A session at the entry instance of a fleet."""

    def __init__(self, fleet: Fleet, kind: requests.RouteKind = KINDS.READ_YOUR_WRITES) -> None:
        self.fleet = fleet
        self.session = fleet.entry.open_session(kind)

    async def run(self, *statements: requests.Statement) -> requests.Answer:
        """Run statements, each of which must succeed; returns the last answer."""
        for statement in statements:
            answer = await self.fleet.entry.run(self.session, statement)
            assert answer.succeeded, answer
        return answer

    def commits(self) -> dict[ids.ServiceName, int]:
        """Return the position of the session's latest commit at each service."""
        return {name: each.position.offset for name, each in self.session.state.commits.items()}


def commit_before(fleet: Fleet, service: ids.ServiceName, count: int) -> None:
    """Let a service's log have commits of others."""
    group = fleet.groups.by_service[service]
    for number in range(count):
        group.commit(group.primary, f"earlier-{number}")


def let_lag(fleet: Fleet, service: ids.ServiceName, *zones: str) -> None:
    """Let the replicas of a service in some zones receive nothing from now on."""
    for zone in zones:
        fleet.groups.by_service[service].servers[f"server-{zone}"].not_receiving = True
