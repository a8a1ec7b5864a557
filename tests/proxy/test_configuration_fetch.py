"""An instance that learns of a newer version fetches the configuration from another one."""

import asyncio

import pytest

from mustardswitch import metrics
from mustardswitch.internal import change_log, clock, ids
from mustardswitch.peers import datagrams, record_relay, relay_server
from mustardswitch.platform import follower, records
from mustardswitch.proxy import (
    configuration_fetch,
    directory,
    record_source,
    requests,
    route_versions,
)
from mustardswitch_standins import fleet
from tests.common import proxy_world

DATABASE = ids.DatabaseName("db")
OLD, NEW = ids.ServiceName("old"), ids.ServiceName("new")
OTHERS = [ids.InstanceId(name) for name in ("two", "three")]


def _record(version, service, revision):
    value = (
        f'{{"version":{version},"routes":[{{"name":"r","host":"db","service":"{service}",'
        f'"type":"primary","timeout_ms":800}}],"services":[],"limits":{{"tx_idle_ms":3000}}}}'
    )
    return change_log.Item(key=records.CONFIGURATION_KEY, value=value.encode(), revision=revision)


def _listing(*items, revision):
    return change_log.Listing(items=items, revision=revision, complete=True)


class Instances:
    """An instance that is cut off from the store, and others that pass on its records."""

    def __init__(self) -> None:
        self.known = proxy_world.World().directory
        self.known.configuration = None
        self.feeds = {name: record_relay.RecordFeed() for name in OTHERS}
        self.servers = []
        source = record_source.RecordSource(directory=self.known)
        self.follower = follower.Follower(client=None, directory=self.known, record_relays=source)
        self.follower.apply(_record(3, OLD, 10))
        self.follower.applied_revision = 10
        self.fetch = configuration_fetch.ConfigurationFetch(
            directory=self.known,
            source=source,
            key=records.CONFIGURATION_KEY,
            apply=self.follower.apply,
            applied_revision=lambda: self.follower.applied_revision,
        )
        self.known.on_behind = self.fetch.start

    async def start(self):
        for name, port in zip(OTHERS, fleet.free_ports(len(OTHERS)), strict=True):
            address = datagrams.PeerAddress(host=fleet.HOST, port=port)
            self.known.instances.put(name, directory.Peer(zone=ids.ZoneName("a"), address=address))
            server = relay_server.RelayServer(
                directory=None, registry=metrics.Registry(), feed=self.feeds[name]
            )
            await server.start(address)
            self.servers.append(server)

    def tell(self, name, listing):
        self.feeds[name].publish(listing, confirmed_at_s=clock.now_s())

    def learn(self, version=7):
        told = route_versions.Routing(
            version=version, service=NEW, kind=requests.RouteKind.PRIMARY, max_staleness_s=0.0
        )
        self.known.learn_routing(DATABASE, told)

    async def wait_until_fetched(self):
        assert self.fetch.tasks
        await asyncio.wait(set(self.fetch.tasks), timeout=5.0)


@pytest.fixture
async def instances():
    started = Instances()
    await started.start()
    yield started
    for server in started.servers:
        server.close()


async def test_the_newer_version_is_applied_as_a_whole(instances):
    """Guards against an instance that follows a version for one database and not for the others."""
    instances.tell(OTHERS[0], _listing(_record(3, OLD, 10), revision=10))
    instances.tell(OTHERS[1], _listing(_record(7, NEW, 20), revision=20))
    instances.learn()
    await instances.wait_until_fetched()
    assert instances.known.configuration.version == 7
    assert not instances.known.is_behind
    assert instances.follower.applied_revision == 10


async def test_what_was_learned_stays_in_force_while_no_instance_has_the_version(instances):
    instances.tell(OTHERS[0], _listing(_record(3, OLD, 10), revision=10))
    instances.learn()
    await instances.wait_until_fetched()
    assert instances.known.configuration.version == 3
    assert instances.known.route(DATABASE).service == NEW


async def test_an_invalid_record_of_another_instance_is_not_applied(instances):
    item = change_log.Item(key=records.CONFIGURATION_KEY, value=b"{}", revision=20)
    instances.tell(OTHERS[0], _listing(item, revision=20))
    instances.learn()
    await instances.wait_until_fetched()
    assert instances.known.configuration.version == 3


async def test_nothing_is_fetched_if_the_store_tells_of_the_version_first(instances):
    instances.learn()
    instances.follower.apply(_record(7, NEW, 20))
    await instances.wait_until_fetched()
    assert all(not server.sessions for server in instances.servers)
