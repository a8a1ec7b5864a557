"""The list of servers during a change of primary, while the watch of the store is behind."""

import pytest

from mustardswitch.internal import ids
from mustardswitch.proxy import errors
from tests.common import store_world

STARTED = ids.ServerId("i-started")


@pytest.fixture
async def world():
    started = store_world.StoreWorld()
    await started.start()
    yield started
    await started.stop()


async def test_a_refresh_lists_a_server_that_the_watch_has_not_reported(world):
    world.store.not_receiving = True
    world.put_server(STARTED)
    assert STARTED not in world.directory.servers.entries
    await world.coordination.refresh_servers()
    assert STARTED in world.directory.servers.entries


async def test_a_watch_that_is_behind_brings_no_older_entry_back(world):
    world.put_server(STARTED, state="ready")
    await world.follow()
    world.store.not_receiving = True
    world.put_server(STARTED, state="draining", seq=5)
    await world.coordination.refresh_servers()
    world.store.not_receiving = False
    await world.follow()
    assert world.directory.servers.entries[STARTED].leaving


async def test_a_refresh_fails_while_the_store_is_away(world):
    world.store.down = True
    with pytest.raises(errors.StoreError):
        await world.coordination.refresh_servers()


async def test_a_server_that_was_removed_while_it_was_listed_stays_removed(world):
    """It came back until the next complete listing, and every failover waited for its answer."""
    world.put_server(STARTED)
    await world.follow()
    list_servers = world.coordination.list_servers

    async def answer_late():
        listing = await list_servers()
        world.store.delete(f"servers/{STARTED}")
        await world.follow()
        assert STARTED not in world.directory.servers.entries
        return listing

    world.coordination.list_servers = answer_late
    await world.coordination.refresh_servers()
    assert STARTED not in world.directory.servers.entries
