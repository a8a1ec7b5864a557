"""The store is restored from a copy: later changes are lost, and revisions are given out again."""

import asyncio

import pytest

from mustardswitch.internal import promotion
from mustardswitch.platform import follower
from tests.common import store_world


@pytest.fixture
async def world():
    started = store_world.StoreWorld()
    await started.start()
    yield started
    await started.stop()


async def test_a_configuration_at_a_revision_given_out_again_is_in_force(world):
    """Reproduces restored.toml on Qafaz: the watch continued after the configuration's revision."""
    copy = world.store.copy()
    world.configure(version=11)
    await world.follow()
    world.store.down = True
    world.store.restore(copy)
    world.configure(version=14)
    world.store.down = False
    await store_world.wait_until(lambda: world.directory.configuration.version == 14)


async def test_a_configuration_is_in_force_while_the_store_is_at_an_earlier_revision(world):
    copy = world.store.copy()
    for version in range(8, 30):
        world.configure(version=version)
    await world.follow()
    world.store.restore(copy)
    world.configure(version=31)
    await store_world.wait_until(lambda: world.directory.configuration.version == 31)


async def test_an_entry_at_an_earlier_revision_than_the_lost_one_is_in_force(world):
    copy = world.store.copy()
    for sequence in range(20):
        world.put_server("i-1", seq=sequence)
    await world.follow()
    world.store.restore(copy)
    world.put_server("i-1", seq=20, db_role="primary")
    await store_world.wait_until(
        lambda: world.directory.servers.entries["i-1"].role is promotion.Role.PRIMARY
    )


async def test_a_store_that_answers_no_watch_is_not_listed_without_a_pause(world):
    """Reproduces restored.toml on Qafaz: one instance listed all records 369 times in 4.5 s."""
    world.store.history_lost = True
    world.follower.interrupt_watch()
    calls = world.store.calls["/kv-range"]
    await asyncio.sleep(2.0)
    assert world.store.calls["/kv-range"] - calls <= 2 + 2.0 / (follower.RETRY_S / 2)
