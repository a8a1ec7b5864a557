"""What an instance wrote to the store, after the store was restored from a copy."""

import asyncio

import pytest

from mustardswitch.internal import ids
from mustardswitch.proxy import fleet_records, ports
from tests.common import store_world

ORDERS, PRIMARY = ids.ServiceName("orders"), ids.ServerId("i-1")
REGISTRATION = f"{fleet_records.INSTANCES}one"
VOTE = f"{fleet_records.VOTES}orders/i-1/one"
CLAIM = f"{fleet_records.CLAIMS}orders"
MARKER = f"{fleet_records.UNFINISHED}orders"
PROMOTION = f"{fleet_records.PROMOTIONS}orders"


@pytest.fixture
async def world():
    started = store_world.StoreWorld()
    await started.start()
    started.allow_claims(started.directory)
    started.tasks.append(asyncio.create_task(started.coordination.run()))
    await store_world.wait_until(lambda: REGISTRATION in started.store.keys)
    await started.follow()
    yield started
    await started.stop()


async def test_a_registration_that_the_copy_lacks_is_written_again_although_its_lease_lives(world):
    """The instance would be invisible for good: its lease was renewed each time."""
    copy = world.store.copy()
    del copy.keys[REGISTRATION]
    world.store.restore(copy)
    await store_world.wait_until(lambda: REGISTRATION in world.store.keys)


async def test_a_registration_that_was_removed_is_written_again_before_its_lease_is_renewed(world):
    world.store.delete(REGISTRATION)
    await store_world.wait_until(lambda: REGISTRATION in world.store.keys, within_s=1.0)


async def test_a_vote_withdrawn_since_the_copy_is_withdrawn_again(world):
    """A vote that comes back would count against a primary that is well."""
    await world.coordination.vote(ORDERS, PRIMARY)
    copy = world.store.copy()
    await world.coordination.withdraw_vote(ORDERS, PRIMARY)
    await world.follow()
    world.store.restore(copy)
    await store_world.wait_until(lambda: VOTE not in world.store.keys)


async def test_a_vote_that_the_copy_lacks_is_cast_again(world):
    copy = world.store.copy()
    await world.coordination.vote(ORDERS, PRIMARY)
    await world.follow()
    world.store.restore(copy)
    await store_world.wait_until(lambda: VOTE in world.store.keys)


async def test_votes_are_cast_again_with_a_registration_that_had_expired(world):
    await world.coordination.vote(ORDERS, PRIMARY)
    world.store._end_lease(world.coordination.lease)
    await store_world.wait_until(lambda: VOTE in world.store.keys)


async def test_a_claim_released_since_the_copy_is_released_again(world):
    """It would keep all instances from replacing a primary until its lease ends."""
    claim = await world.coordination.claim(ORDERS)
    copy = world.store.copy()
    await world.coordination.release(claim)
    await world.follow()
    world.store.restore(copy)
    await store_world.wait_until(lambda: CLAIM not in world.store.keys, within_s=2.0)


async def test_an_unfinished_change_that_the_copy_lacks_is_recorded_again(world):
    """Replicas would stay paused: the instance that paused them may have died."""
    copy = world.store.copy()
    world.store.put(MARKER, b"two abc")
    await world.follow()
    world.store.restore(copy)
    await store_world.wait_until(lambda: MARKER in world.store.keys)


async def test_an_unanswered_promotion_request_is_recorded_although_the_copy_lacks_the_claim(world):
    """The request may be executed later, and would promote a log that lacks commits."""
    copy = world.store.copy()
    claim = await world.coordination.claim(ORDERS)
    assert await world.coordination.record_promotion(claim, PRIMARY)
    world.store.restore(copy)
    requested = ports.UnfinishedChange.PROMOTION_REQUESTED
    await world.coordination.release(claim, unfinished=requested, promoted=PRIMARY)
    assert fleet_records.decode_unfinished(world.store.keys[MARKER].value) is requested
    assert world.store.keys[PROMOTION].value == b"i-1"


async def test_a_recorded_promotion_that_the_copy_lacks_is_recorded_again(world):
    """Its holder may have died; the next one has to know which server may be promoted late."""
    copy = world.store.copy()
    world.store.put(PROMOTION, b"i-1")
    await world.follow()
    world.store.restore(copy)
    await store_world.wait_until(lambda: PROMOTION in world.store.keys)
    assert world.store.keys[PROMOTION].value == b"i-1"


async def test_no_promotion_is_recorded_under_a_claim_that_the_copy_lacks(world):
    copy = world.store.copy()
    claim = await world.coordination.claim(ORDERS)
    world.store.restore(copy)
    assert not await world.coordination.record_promotion(claim, PRIMARY)


async def test_an_instance_that_leaves_is_not_registered_again(world):
    await world.coordination.leave()
    await world.follow()
    assert not world.directory.instances.is_listed(ids.InstanceId("one"))
    await asyncio.sleep(0.5)
    assert REGISTRATION not in world.store.keys
