"""A leaving primary gets new work although all instances start anew during its notice.

Guards against seconds without a primary: no instance could tell when the notice had begun, so none
sent anything until another server led.
"""

import pytest

from mustardswitch.internal import clock, leave_notices
from mustardswitch.platform import store as platform_store
from mustardswitch.proxy import errors, fleet_records, leave_records
from tests.common import leaving_world, store_world

A = leaving_world.A
KEY = f"{fleet_records.LEAVING}{A}"


@pytest.fixture
async def store():
    found = store_world.StoreWorld()
    await found.store.start(found.port)
    yield found
    found.client.close()
    found.store.close()


def _start(store, monkeypatch, *, leaving: bool = False) -> leaving_world.World:
    """Start an instance, which finds the primary staying or ``leaving``."""
    world = leaving_world.World(monkeypatch)
    if leaving:
        world.directory.services.clear()
        world.directory.permission.as_of_s = float("-inf")
        world.leave()
        world.confirm_records()
    world.records = leave_records.LeaveRecords(client=store.client, directory=world.directory)
    return world


def _accepts(world) -> bool:
    return world.service.accepts_new_work(world.service.servers[A])


async def _record(store, monkeypatch) -> leaving_world.World:
    """Let an instance read that the primary leaves, and record it."""
    world = _start(store, monkeypatch)
    world.leave()
    await world.records.check()
    assert KEY not in store.store.keys
    world.skip(leave_records.SETTLE_S)
    await world.records.check()
    assert KEY in store.store.keys
    return world


async def test_an_instance_that_starts_when_no_other_can_tell_reads_the_record(store, monkeypatch):
    await _record(store, monkeypatch)
    started = _start(store, monkeypatch, leaving=True)
    assert not _accepts(started)
    await started.records.check()
    assert _accepts(started)
    started.skip(leave_notices.RECORDED_LEFT_S)
    assert not _accepts(started)
    await started.records.check()
    assert _accepts(started)
    store.store.end_lease_of(KEY)
    started.skip(leave_notices.RECORDED_LEFT_S)
    await started.records.check()
    assert not _accepts(started)


async def test_a_record_ends_before_the_new_work_of_the_instance_that_wrote_it(store, monkeypatch):
    world = await _record(store, monkeypatch)
    ((ttl_s, _),) = store.store.leases.values()
    ends_s = world.service.work_ends_s(world.service.servers[A])
    left_s = float(store.store.keys[KEY].value.split()[1])
    assert clock.now_s() + ttl_s + left_s <= ends_s + 0.001
    assert 0.0 < left_s <= leave_notices.RECORDED_LEFT_S


async def test_a_record_of_another_start_or_an_odd_one_tells_nothing(store, monkeypatch):
    started = _start(store, monkeypatch, leaving=True)
    (member,) = started.service.leave_notices.notices
    for value in (f"{member[1] + 1} 0.5", "", "x", f"{member[1]} nan", f"{member[1]} 60", "\xff"):
        store.store.put(KEY, value.encode("latin-1"))
        started.skip(leave_records.READ_INTERVAL_S)
        await started.records.check()
        assert not _accepts(started)


async def test_an_instance_that_knows_the_time_reads_no_record(store, monkeypatch):
    world = await _record(store, monkeypatch)
    store.store.calls.clear()
    world.end_new_work()
    await world.records.check()
    assert not store.store.calls


async def test_a_store_that_lets_leases_last_longer_gets_no_record(store, monkeypatch):
    world = _start(store, monkeypatch)

    async def grant_lease(ttl_s, *, exact=False):
        assert exact
        raise errors.StoreError("/kv-lease: lasts 9000 ms instead of 4000")

    monkeypatch.setattr(store.client, "grant_lease", grant_lease)
    world.leave()
    world.skip(leave_records.SETTLE_S)
    await world.records.check()
    assert KEY not in store.store.keys


async def test_a_notice_that_is_nearly_over_is_not_recorded(store, monkeypatch):
    world = _start(store, monkeypatch)
    world.leave()
    world.skip(leaving_world.DRAIN_S - leave_notices.TRANSIT_S - 2.0)
    await world.records.check()
    assert KEY not in store.store.keys


def test_a_lease_ends_before_the_new_work():
    assert leave_notices.lease_s(4.0) == pytest.approx(4.0 - leave_notices.RECORDED_LEFT_S)
    assert leave_notices.lease_s(1.7) is None
    assert leave_notices.lease_s(float("inf")) is None


async def test_a_lease_that_lasts_longer_than_asked_is_an_error_where_that_matters(
    store, monkeypatch
):
    async def call(*request, **fields):
        return platform_store._Answer(status=200, body={"lease": 5, "ttl_ms": 9000}, era=1)

    monkeypatch.setattr(store.client, "_call", call)
    assert await store.client.grant_lease(4.0) == 5
    with pytest.raises(errors.StoreError, match="9000 ms instead of 4000"):
        await store.client.grant_lease(4.0, exact=True)
