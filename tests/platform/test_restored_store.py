"""The store is restored from a copy: later changes are lost, and revisions are given out again."""

import pytest

from mustardswitch.internal import promotion
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
