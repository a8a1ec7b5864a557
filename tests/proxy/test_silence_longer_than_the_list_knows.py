"""Waits for an unlisted server that end although the server may have confirmed commits."""

import asyncio

from mustardswitch.internal import clock, ids
from mustardswitch_standins import database_group
from tests.common import proxy_world, takeovers

A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
SETTLE_S = 0.3
"""Time in which a promotion is requested that waits for nothing."""


def _lose_replica(world: proxy_world.World) -> None:
    """End a replica for good, long ago."""
    del world.group.servers[C]
    world.list_servers()
    world.service.unlisted.clear()


def _commit_on_unlisted_server(world: proxy_world.World) -> database_group.FakeServer:
    """Let a server that has started confirm a commit that the listed replicas lack."""
    started = world.group.start_server(zone="d")
    for name in {B, C} & world.group.servers.keys():
        world.group.servers[name].not_receiving = True
    assert world.group.commit(world.group.primary, "x")
    world.group.servers[A].up = False
    return started


async def test_a_replacement_that_is_listed_while_the_watch_is_behind_loses_no_commit():
    """The store lists it in time; the holder would hear of it later."""
    world = proxy_world.World()
    world.service.listing_s = 0.6
    _lose_replica(world)
    started = _commit_on_unlisted_server(world)
    is_in_store = asyncio.Event()

    async def list_servers() -> None:
        if is_in_store.is_set():
            world.list_servers()

    world.coordination.refresh_servers = list_servers
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.sleep(SETTLE_S)
    is_in_store.set()
    assert await changing
    assert world.group.primary is started and world.group.lost == []


async def test_a_holder_without_connections_to_the_primary_does_not_take_its_silence_for_an_end():
    """Its gateways were killed right after their last answers; the holder has never asked it."""
    world = proxy_world.World()
    world.service.listing_s = 1.5
    _lose_replica(world)
    world.service.resize(1, holds_connections=False)
    contacts = world.service.servers[A].contacts
    contacts.at_s, contacts.since_s = {}, clock.now_s() - 100.0
    _commit_on_unlisted_server(world)
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.sleep(SETTLE_S)
    requested = takeovers.requested_successors(world)
    world.list_servers()
    await changing
    assert requested == [] and world.group.lost == []


async def test_a_server_that_started_in_an_outage_is_waited_for_beside_a_whole_service():
    """A replica could not report that it leaves while the store was down."""
    world = proxy_world.World()
    world.directory.servers.note_outage()
    _commit_on_unlisted_server(world)
    world.directory.servers.note_recovery(clock.now_s())
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.sleep(SETTLE_S)
    requested = takeovers.requested_successors(world)
    world.list_servers()
    await changing
    assert requested == [] and world.group.lost == []
