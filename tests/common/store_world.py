"""A follower of a stand-in store, over real connections."""

import asyncio
import collections.abc
import functools

from mustardswitch import metrics
from mustardswitch.internal import clock, ids, revisions
from mustardswitch.peers import datagrams
from mustardswitch.platform import follower, records, store
from mustardswitch.proxy import coordination, directory, fleet_records, server_list
from mustardswitch_standins import fleet, http_store
from tests.common import platform_records


async def fail_to_open(entry):
    """Reject a connection to a server."""
    raise AssertionError("these tests open no connection")


def build_directory(instance: str = "one") -> directory.Directory:
    """Build the empty directory of an instance."""
    return directory.Directory(
        instance=ids.InstanceId(instance),
        location=server_list.Location(zone=ids.ZoneName("puget-a"), regions={}),
        opener=fail_to_open,
        registry=metrics.Registry(),
    )


class StoreWorld:
    """A stand-in store with a configuration, and one instance's follower of it."""

    def __init__(self) -> None:
        self.port = fleet.free_ports(1)[0]
        self.store = http_store.HttpStore(promote=lambda service, server, token: False)
        self.directory = build_directory()
        self.client = self.open_client()
        self.follower = follower.Follower(client=self.client, directory=self.directory)
        self.coordination = self.build_coordination(self.directory, self.client)
        self.follower.on_applied = self.coordination.note_seen
        self.tasks: list[asyncio.Task[None]] = []
        self.clients = [self.client]

    def open_client(self) -> store.Store:
        """Return another client of the store."""
        return store.Store(host="127.0.0.1", port=self.port)

    def build_coordination(
        self, known: directory.Directory, client: store.Store
    ) -> coordination.Coordination:
        """Build the coordination of the instance that a directory belongs to."""
        return coordination.Coordination(
            client=client,
            directory=known,
            zone=ids.ZoneName("puget-a"),
            peer_address=datagrams.PeerAddress(host="127.0.0.1", port=1),
            list_servers=functools.partial(client.list_all, records.SERVERS_PREFIX),
            apply_item=self.follower.apply,
        )

    def join(self, instance: str) -> coordination.Coordination:
        """Return the coordination of another instance, which does not follow the store."""
        self.clients.append(self.open_client())
        return self.build_coordination(build_directory(instance), self.clients[-1])

    async def start(self) -> None:
        """Start the store and the follower, and wait until the configuration is in force."""
        await self.store.start(self.port)
        self.configure(version=7)
        self.tasks.append(asyncio.create_task(self.follower.run()))
        await self.follower.loaded.wait()

    async def stop(self) -> None:
        """Stop everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for client in self.clients:
            client.close()
        self.store.close()

    def allow_claims(self, *known: directory.Directory) -> None:
        """Write the record of the store's era, as if it had lasted, and make it known."""
        self.store.put(f"{fleet_records.ERAS}{self.store.era}", b"")
        record = revisions.join(era=self.store.era, number=self.store.revision)
        for each in known:
            each.claim_eras = {self.store.era: record}

    def configure(self, *, version: int) -> None:
        """Write a version of the configuration to the store."""
        configuration = platform_records.configuration(version=version)
        self.store.put("op/config", configuration)

    def put_server(self, name: str, **changes: object) -> None:
        """Write the entry of a server to the store."""
        entry = platform_records.server_entry(**changes)
        self.store.put(f"servers/{name}", entry)

    async def follow(self) -> None:
        """Wait until the follower has applied everything in the store."""
        latest = revisions.join(era=self.store.era, number=self.store.revision)
        await wait_until(lambda: self.follower.applied_revision >= latest)


async def wait_until(reached: collections.abc.Callable[[], bool], *, within_s: float = 4.0) -> None:
    """Wait until a condition holds; raises AssertionError if it does not within a time."""
    ends_s = clock.now_s() + within_s
    while not reached():
        assert clock.now_s() < ends_s, f"not reached within {within_s} s"
        await asyncio.sleep(0.02)
