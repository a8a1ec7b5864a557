"""The store is restored from a copy: later changes are lost, and revisions are given out again."""

import asyncio

import pytest

from mustardswitch.internal import clock, ids, promotion, revisions
from mustardswitch.platform import follower
from mustardswitch.proxy import coordination, fleet_records, ports, service_claims
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


async def test_a_listing_of_the_store_is_applied_although_a_later_revision_was(world):
    """A read that may be stale, or a store that names no era, can leave such a revision."""
    world.follower.applied_revision = revisions.join(era=1, number=10**6)
    world.follower.revisions["op/config"] = world.follower.applied_revision
    world.store.history_lost = True
    world.follower.interrupt_watch()
    world.configure(version=9)
    await store_world.wait_until(lambda: world.directory.configuration.version == 9)


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


async def test_a_server_that_left_is_not_used_again_although_the_copy_has_it_as_ready(world):
    world.put_server("i-1", seq=4)
    copy = world.store.copy()
    world.put_server("i-1", seq=5, state="draining")
    await world.follow()
    world.store.restore(copy)
    await world.follow()
    assert world.directory.servers.entries["i-1"].leaving
    world.put_server("i-1", seq=6, state="draining", slots=5)
    await world.follow()
    assert world.directory.servers.entries["i-1"].slots == 5


async def test_a_server_that_started_again_does_not_count_as_its_predecessor(world):
    world.put_server("i-1", seq=40, db_role="primary", born=1000)
    copy = world.store.copy()
    world.put_server("i-1", seq=2, born=2000)
    await world.follow()
    world.store.restore(copy)
    await world.follow()
    assert world.directory.servers.entries["i-1"].started_ms == 2000


async def test_a_server_whose_clock_was_set_back_before_it_started_again_is_used(world):
    world.put_server("i-1", seq=40, born=2000)
    await world.follow()
    world.put_server("i-1", seq=1, born=1000)
    await world.follow()
    assert world.directory.servers.entries["i-1"].started_ms == 1000


async def test_a_store_that_answers_no_watch_is_not_listed_without_a_pause(world):
    """Reproduces restored.toml on Qafaz: one instance listed all records 369 times in 4.5 s."""
    world.store.history_lost = True
    world.follower.interrupt_watch()
    calls = world.store.calls["/kv-range"]
    await asyncio.sleep(2.0)
    assert world.store.calls["/kv-range"] - calls <= 2 + 2.0 / (follower.RETRY_S / 2)


ORDERS = ids.ServiceName("orders")


async def _claim_once_allowed(holder: coordination.Coordination) -> ports.Claim:
    """Claim the service as soon as the store's era allows it."""
    ends_s = clock.now_s() + 4.0
    while (claim := await holder.claim(ORDERS)) is None:
        assert clock.now_s() < ends_s, "the service cannot be claimed"
        await asyncio.sleep(0.02)
    return claim


async def test_no_service_is_claimed_while_a_claim_that_the_copy_lacks_is_held(monkeypatch, world):
    """Two holders at once could resume each other's paused replicas and lose commits."""
    monkeypatch.setattr(service_claims, "CLAIM_TTL_S", 1.0)
    first, second, started = world.coordination, world.join("two"), world.join("three")
    copy = world.store.copy()
    former = await _claim_once_allowed(first)
    world.store.restore(copy)
    for holder in (second, started):
        claim = await _claim_once_allowed(holder)
        assert clock.now_s() >= former.expires_at_s
        assert claim.fencing_token > former.fencing_token
        await holder.release(claim)


async def test_a_claim_of_an_earlier_era_does_not_release_a_later_one(monkeypatch, world):
    """Both claims have the same number in the store, and the first holder does not know the era."""
    monkeypatch.setattr(service_claims, "CLAIM_TTL_S", 1.0)
    first, second = world.join("two"), world.join("three")
    await first.release(await _claim_once_allowed(first))
    copy = world.store.copy()
    # Takes the number that the record of the next era will have.
    world.configure(version=8)
    former = await _claim_once_allowed(first)
    world.store.restore(copy)
    await second.client.read("op/config")
    later = await _claim_once_allowed(second)
    assert revisions.number_of(later.fencing_token) == revisions.number_of(former.fencing_token)
    await first.release(former)
    assert await second.client.read(f"{fleet_records.CLAIMS}{ORDERS}") is not None
