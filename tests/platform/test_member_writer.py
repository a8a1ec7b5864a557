"""The record of a service's members in the store: when and how it is written."""

import asyncio
import collections.abc

import pytest

from mustardswitch.internal import gateways, ids, unlisted_servers
from mustardswitch.peers import datagrams
from mustardswitch.platform import records
from mustardswitch.proxy import directory, errors, fleet_records, member_records, member_writer
from tests.common import platform_records, store_world

SERVICE = ids.ServiceName(platform_records.ENTRY["service"])
KEY = f"{fleet_records.MEMBERS}{SERVICE}"
REGISTRATION = f"{fleet_records.INSTANCES}one"
A, B, C = (ids.ServerId(f"i-{name}") for name in "abc")
SEVERAL_CHECKS_S = 0.8
"""Time in which a record that is due would be written."""
PEER = directory.Peer(
    zone=ids.ZoneName("puget-a"), address=datagrams.PeerAddress(host="127.0.0.1", port=1)
)


class WriterWorld(store_world.StoreWorld):
    """A store with servers, and one instance that writes the records of members."""

    def __init__(self) -> None:
        super().__init__()
        self.writer = member_writer.MemberWriter(client=self.client, directory=self.directory)

    async def start_writing(self) -> None:
        """Register the instance, and let it write when records are due."""
        self.store.put(REGISTRATION, fleet_records.encode_peer(PEER))
        await self.follow()
        self.tasks.append(asyncio.create_task(self.writer.run()))

    def recorded_size(self) -> bytes | None:
        """Return the recorded number of servers."""
        found = self.store.keys.get(f"{fleet_records.SIZES}{SERVICE}")
        return found.value if found is not None else None

    def recorded(self) -> set[ids.ServerId]:
        """Return the servers that the record names."""
        if KEY not in self.store.keys:
            return set()
        return {each.server for each in member_records.decode(SERVICE, self.store.keys[KEY].value)}

    async def wait_for(self, *servers: ids.ServerId) -> None:
        """Wait until the record names exactly these servers."""
        await store_world.wait_until(lambda: self.recorded() == set(servers))

    def end_start(self) -> None:
        """Let the list of servers count as complete."""
        self.directory.servers.first_read_at_s -= 10.0


def _record(*servers: ids.ServerId) -> bytes:
    entries = [
        records.decode_server(f"servers/{server}", platform_records.server_entry(), 1)
        for server in servers
    ]
    return member_records.encode(entries)


@pytest.fixture
async def world() -> collections.abc.AsyncIterator[WriterWorld]:
    started = WriterWorld()
    await started.start()
    yield started
    await started.stop()


async def test_the_members_are_recorded_as_servers_appear(world):
    world.put_server(A, db_role="primary")
    await world.start_writing()
    await world.wait_for(A)
    world.put_server(B)
    await world.wait_for(A, B)


async def test_a_change_of_the_primary_is_recorded_once(world):
    """An instance that starts while the primary has no entry knows it from the record only."""
    world.put_server(A, db_role="primary")
    world.put_server(B)
    await world.start_writing()
    await world.wait_for(A, B)
    world.put_server(A, seq=5)
    world.put_server(B, seq=5, db_role="primary")
    await store_world.wait_until(
        lambda: member_records.primaries(
            member_records.decode(SERVICE, world.store.keys[KEY].value)
        )
        == {B}
    )
    written = world.store.keys[KEY].revision
    await asyncio.sleep(SEVERAL_CHECKS_S)
    assert world.store.keys[KEY].revision == written


async def test_heartbeats_and_reports_of_leaving_servers_write_nothing(world):
    world.put_server(A, db_role="primary")
    world.put_server(B)
    await world.start_writing()
    await world.wait_for(A, B)
    written = world.store.keys[KEY].revision
    world.put_server(A, seq=5, db_role="primary")
    world.put_server(B, seq=5, state="draining")
    await world.follow()
    await asyncio.sleep(SEVERAL_CHECKS_S)
    assert world.store.keys[KEY].revision == written


async def test_a_server_that_started_anew_is_recorded_anew(world):
    world.put_server(A)
    await world.start_writing()
    await world.wait_for(A)
    born = platform_records.ENTRY["born"] + 1
    world.put_server(A, born=born, seq=0)
    await store_world.wait_until(
        lambda: member_records.decode(SERVICE, world.store.keys[KEY].value)[0].started_ms == born
    )


async def test_a_server_that_has_left_is_removed(world):
    world.end_start()
    world.put_server(A)
    world.put_server(B, state="draining")
    await world.start_writing()
    await world.wait_for(A, B)
    world.store.delete(f"servers/{B}")
    await world.wait_for(A)


async def test_a_fleet_that_starts_does_not_overwrite_the_record_by_what_is_listed_first(world):
    """Its members would be forgotten by an instance that starts a moment later."""
    world.store.put(KEY, _record(A, B))
    world.put_server(C)
    await world.start_writing()
    assert set(world.directory.services[SERVICE].servers_with_commits()) == {A, B, C}
    await world.wait_for(A, B, C)
    world.end_start()
    await asyncio.sleep(SEVERAL_CHECKS_S)
    assert world.recorded() == {A, B, C}
    world.directory.services[SERVICE].unlisted.clear()
    await world.wait_for(C)


async def test_a_record_that_another_instance_has_just_written_is_not_overwritten(world):
    world.put_server(A)
    await world.start_writing()
    await world.wait_for(A)
    await world.follow()
    world.store.not_receiving = True
    world.store.put(KEY, _record(A, B))
    world.put_server(C)
    calls = world.store.calls.copy()
    await world.coordination.refresh_servers()
    await asyncio.sleep(SEVERAL_CHECKS_S)
    assert (world.store.calls - calls)["/kv-txn"] >= 1
    assert world.recorded() == {A, B}
    world.store.not_receiving = False
    await world.wait_for(A, B, C)


async def test_nothing_is_written_while_the_store_is_away(world):
    world.put_server(A)
    await world.start_writing()
    await world.wait_for(A)
    await world.follow()
    world.directory.servers.note_outage()
    changes = []

    async def change(**call):
        changes.append(call)

    world.writer.client = type("NoStore", (), {"change": staticmethod(change)})()
    world.directory.members.records.clear()
    for _ in range(10):
        await world.writer.check()
        await asyncio.sleep(0.05)
    assert changes == []


async def test_a_write_that_fails_is_repeated(world, monkeypatch):
    world.put_server(A)
    change = world.client.change
    failures = []

    async def fail_first(**call):
        if not failures:
            failures.append(call)
            raise errors.StoreError("no answer")
        return await change(**call)

    monkeypatch.setattr(world.client, "change", fail_first)
    await world.start_writing()
    await world.wait_for(A)
    assert failures


async def test_an_odd_record_is_replaced(world):
    world.store.put(KEY, b'{"odd"')
    world.put_server(A)
    await world.start_writing()
    await store_world.wait_until(lambda: world.store.keys[KEY].value != b'{"odd"')
    await world.wait_for(A)


async def test_a_record_that_a_restored_store_lacks_is_written_again(world):
    world.put_server(A)
    world.store.put(REGISTRATION, fleet_records.encode_peer(PEER))
    copy = world.store.copy()
    await world.start_writing()
    await world.wait_for(A)
    await world.follow()
    world.store.restore(copy)
    assert KEY not in world.store.keys
    await world.wait_for(A)


async def test_an_instance_that_is_not_registered_writes_nothing(world):
    world.put_server(A)
    await world.follow()
    world.tasks.append(asyncio.create_task(world.writer.run()))
    await asyncio.sleep(SEVERAL_CHECKS_S)
    assert KEY not in world.store.keys


async def test_the_next_instance_writes_if_the_first_one_does_not(world):
    world.put_server(A)
    for number in range(2):
        world.store.put(f"{fleet_records.INSTANCES}i{number}", fleet_records.encode_peer(PEER))
    await world.start_writing()
    assert gateways.ranked(world.directory.candidates(), SERVICE)[0] != "one"
    await world.wait_for(A)


async def test_the_most_servers_that_were_listed_at_a_time_are_recorded(world):
    """An instance that starts after a loss knows from it that a server is missing."""
    for name in (A, B, C):
        world.put_server(name)
    await world.start_writing()
    world.end_start()
    await store_world.wait_until(lambda: world.recorded_size() == b"3")
    world.store.delete(f"servers/{C}")
    await world.follow()
    await asyncio.sleep(SEVERAL_CHECKS_S)
    assert world.recorded_size() == b"3"


@pytest.mark.parametrize("value", [b"", b"0", b"-1", b"3.0", b"99999", b"\xff"])
async def test_a_size_that_cannot_be_read_is_replaced(world, value):
    world.store.put(f"{fleet_records.SIZES}{SERVICE}", value)
    world.put_server(A)
    await world.start_writing()
    world.end_start()
    await store_world.wait_until(lambda: world.recorded_size() == b"1")


async def test_a_larger_size_is_not_overwritten_by_what_is_listed(world):
    world.store.put(f"{fleet_records.SIZES}{SERVICE}", b"3")
    world.put_server(A)
    await world.start_writing()
    world.end_start()
    await asyncio.sleep(SEVERAL_CHECKS_S)
    assert world.recorded_size() == b"3"
    assert world.directory.services[SERVICE].server_count.missing == 2


async def test_a_list_that_may_lack_servers_is_not_recorded_as_the_size(world):
    """All instances had restarted before a size was recorded; one of them listed one of three
    servers, recorded that, took it for the whole service, and promoted the server.
    """
    world.put_server(B)
    await world.start_writing()
    world.directory.servers.first_read_at_s -= unlisted_servers.RELISTED_S - 2.0
    await asyncio.sleep(SEVERAL_CHECKS_S)
    assert world.recorded_size() is None
    world.end_start()
    await store_world.wait_until(lambda: world.recorded_size() == b"1")


async def test_the_sizes_of_all_services_are_written_in_one_call(world):
    """Each call of its own ended the watches of all instances."""
    services = [ids.ServiceName(f"service-{number}") for number in range(5)]
    for number, name in enumerate(services):
        world.put_server(ids.ServerId(f"i-{number}"), service=name)
    await world.start_writing()
    world.end_start()
    keys = [f"{fleet_records.SIZES}{name}" for name in services]
    await store_world.wait_until(lambda: all(key in world.store.keys for key in keys))
    assert len({world.store.keys[key].revision for key in keys}) == 1
