"""Instances that follow the store through a relay, over real connections."""

import asyncio

import pytest

from mustardswitch import metrics
from mustardswitch.internal import (
    change_log,
    clock,
    gateways,
    ids,
    record_relays,
    revisions,
)
from mustardswitch.peers import (
    datagrams,
    record_codec,
    record_relay,
    relay_codec,
    relay_server,
)
from mustardswitch.proxy import directory, record_source
from mustardswitch_standins import fleet
from tests.common import proxy_world

ZONE = ids.ZoneName("a")
NAMES = [ids.InstanceId(f"i{number}") for number in range(6)]
RELAYS = record_relays.relays_in_zone(
    [gateways.Candidate(instance=name, zone=ZONE, region=ids.RegionName("r")) for name in NAMES],
    ZONE,
)
FOLLOWER = next(name for name in NAMES if name not in RELAYS)


def _item(key, revision, value=b"v"):
    return change_log.Item(key=key, value=value, revision=revision)


def _listing(*items, revision, complete=False):
    return change_log.Listing(items=items, revision=revision, complete=complete)


class Fleet:
    """Two relays with servers of their own, and a follower."""

    def __init__(self) -> None:
        self.addresses = {
            name: datagrams.PeerAddress(host=fleet.HOST, port=port)
            for name, port in zip(RELAYS, fleet.free_ports(len(RELAYS)), strict=True)
        }
        self.feeds = {name: record_relay.RecordFeed() for name in RELAYS}
        self.servers = {}
        world = proxy_world.World()
        world.directory.instance = FOLLOWER
        for name in NAMES:
            peer = directory.Peer(zone=ZONE, address=self.addresses.get(name))
            world.directory.instances.put(name, peer)
        world.directory.instances.entries.pop("one")
        self.source = record_source.RecordSource(directory=world.directory)

    async def start(self, name) -> None:
        server = relay_server.RelayServer(
            directory=None, registry=metrics.Registry(), feed=self.feeds[name]
        )
        await server.start(self.addresses[name])
        self.servers[name] = server

    def publish(self, listing, *, age_s=0.0) -> None:
        for feed in self.feeds.values():
            feed.publish(listing, confirmed_at_s=clock.now_s() - age_s)

    @property
    def followed(self):
        return self.source.follower.relay


@pytest.fixture
async def running():
    started = Fleet()
    for name in RELAYS:
        await started.start(name)
    yield started
    started.source.close()
    for server in started.servers.values():
        server.close()


async def test_a_follower_receives_all_records_and_then_each_change(running):
    running.publish(_listing(_item("a", 1), _item("b", 2), revision=2, complete=True))
    loaded = await running.source.load(not_before=0)
    assert {item.key for item in loaded.items} == {"a", "b"}
    watching = asyncio.create_task(running.source.watch(2))
    await asyncio.sleep(0.05)
    assert not watching.done()
    running.publish(_listing(_item("a", 3, None), revision=3))
    changed = await watching
    assert changed == _listing(_item("a", 3, None), revision=3)


async def test_a_follower_moves_to_the_other_relay_when_its_own_has_lost_the_store(running):
    """Reproduces Himshilp grown scale-2: half of a zone was cut off from the store. Followers asked
    the store, which they did not reach either, for three seconds before the other relay.
    """
    running.publish(_listing(revision=1, complete=True))
    watching = asyncio.create_task(running.source.watch(1))
    await asyncio.sleep(0.05)
    first = running.followed
    running.feeds[first].note_outage()
    assert await watching is not None
    assert running.followed not in (None, first)


async def test_a_follower_asks_the_store_when_no_relay_follows_it(running):
    running.publish(_listing(revision=1, complete=True))
    for feed in running.feeds.values():
        feed.note_outage()
    assert await running.source.watch(1) is None
    assert running.source.follower.avoided() == set(RELAYS)


async def test_a_follower_leaves_a_relay_that_runs_but_does_not_hear_from_the_store(running):
    running.publish(_listing(revision=1, complete=True), age_s=record_relays.MAX_AGE_S)
    assert await running.source.watch(1) is None


async def test_a_follower_leaves_a_frozen_relay_for_the_other_one(monkeypatch, running):
    monkeypatch.setattr(record_relay, "MAX_WAIT_S", 0.1)
    monkeypatch.setattr(record_relay, "ANSWER_SLACK_S", 0.1)
    running.publish(_listing(revision=1, complete=True))
    assert await running.source.watch(1) is not None
    frozen = running.followed

    async def never(request):
        await asyncio.sleep(60)

    running.feeds[frozen].answer = never
    assert await running.source.watch(1) is not None
    assert running.followed not in (None, frozen)


async def test_an_instance_that_starts_waits_for_a_relay_that_starts_too(monkeypatch):
    started = Fleet()
    loading = asyncio.create_task(started.source.load(not_before=0))
    await asyncio.sleep(0.3)
    for name in RELAYS:
        await started.start(name)
    await asyncio.sleep(0.3)
    started.publish(_listing(_item("a", 1), revision=1, complete=True))
    loaded = await loading
    assert [item.key for item in loaded.items] == ["a"]
    started.source.close()


async def test_an_instance_lists_the_store_itself_when_no_relay_starts(monkeypatch):
    monkeypatch.setattr(record_source, "LOAD_WAIT_S", 0.1)
    started = Fleet()
    assert await started.source.load(not_before=0) is None


async def test_a_relay_behind_this_instance_does_not_bring_removed_keys_back(monkeypatch, running):
    monkeypatch.setattr(record_source, "LOAD_WAIT_S", 0.1)
    running.publish(_listing(_item("gone", 3), revision=5, complete=True))
    assert await running.source.load(not_before=6) is None


async def test_a_follower_of_an_earlier_build_is_not_sent_all_records_again_and_again(running):
    """It names no era; its revision would be below all of the relay's."""
    latest = revisions.join(era=2, number=7)
    running.publish(_listing(_item("a", latest), revision=latest, complete=True))
    address = next(iter(running.addresses.values()))
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(relay_codec.encode_fields({"records": {"after": 7, "wait_s": 0.1}}))
    header = record_codec.decode_header(await relay_codec.read_frame(reader))
    assert not header.complete
    assert record_codec.decode_items(await relay_codec.read_frame(reader)) == ()
    writer.close()


async def test_a_malformed_request_ends_its_connection_only(running):
    running.publish(_listing(revision=1, complete=True))
    address = next(iter(running.addresses.values()))
    for body in (b'{"records":5}', b"\xff" * 20, b"[]"):
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(len(body).to_bytes(4, "big") + body)
        assert await reader.read() == b""
        writer.close()
    assert await running.source.watch(1) is not None


async def test_followers_at_the_same_revision_share_one_encoding():
    feed = record_relay.RecordFeed()
    feed.publish(_listing(_item("a", 1), revision=1, complete=True), confirmed_at_s=clock.now_s())
    request = record_codec.RecordRequest(after=None, wait_s=0.0)
    await feed.answer(request)
    encoded = feed.encoded
    await feed.answer(request)
    assert feed.encoded is encoded


async def test_a_list_counts_as_old_as_the_question_that_it_answers(running):
    """Guards against shares of tenants' limits that are spent by a list that is too old: an answer
    that waited, with a frozen instance or on a slow link, counted as new when it was received.
    """
    asked_at_s = clock.now_s() - 2.5
    for name in RELAYS:
        direct = record_source.RecordSource(directory=None, feed=running.feeds[name])
        direct.publish(_listing(revision=1, complete=True), asked_at_s=asked_at_s)
        assert direct.feed.as_of_s == asked_at_s
        assert direct.feed.confirmed_at_s > asked_at_s + 2.0
    assert await running.source.watch(1) is not None
    assert running.source.feed.as_of_s <= asked_at_s + 0.01
