"""Rate limits of tenants where operations start: counted once, refused at once."""

import asyncio

from mustardswitch.internal import clock, ids
from mustardswitch.internal.placement import forwarding
from mustardswitch.proxy import requests, session_opening
from tests.common import proxy_world, tenant_builders

PRIMARY = requests.RouteKind.PRIMARY
LIMIT = {"rate_per_s": 0.001, "burst": 3.0}
"""A limit that admits the burst and then, for the time of a test, the allowance."""


def _world(**limit):
    world = proxy_world.World()
    world.directory.limits.started_s -= 100_000
    world.directory.configure(tenant_builders.configuration(**limit))
    return world


def _open(world, key=tenant_builders.ACME_KEY):
    return session_opening.open_session(world.directory, proxy_world.DATABASES[PRIMARY], key)


async def _run_until_refused(world, caller):
    for ran in range(100):
        answer = await world.run(caller, proxy_world.WRITE)
        if not answer.succeeded:
            return ran, answer
    raise AssertionError("no operation was refused")


async def test_operations_beyond_the_limit_are_refused_with_the_time_to_retry():
    world = _world(**LIMIT)
    ran, refused = await _run_until_refused(world, _open(world))
    assert 3 <= ran <= 3 + 1 + 0.4 * 20.3 / 2
    assert refused.refusal is requests.Refusal.OVERLOADED
    assert "retry after" in refused.detail
    assert len(world.group.executed) == ran


async def test_the_limit_of_one_tenant_leaves_the_others_alone():
    world = _world(**LIMIT)
    await _run_until_refused(world, _open(world))
    other = _open(world, tenant_builders.BOLT_KEY)
    assert (await world.run(other, proxy_world.WRITE)).succeeded


async def test_a_transaction_is_counted_once():
    world = _world(**LIMIT)
    caller = _open(world)
    await world.run(caller, requests.Begin(read_only=False))
    for _ in range(20):
        assert (await world.run(caller, proxy_world.WRITE)).succeeded
    assert (await world.run(caller, requests.Commit())).succeeded


async def test_a_refused_transaction_has_not_begun():
    world = _world(**LIMIT)
    caller = _open(world)
    await _run_until_refused(world, caller)
    await world.run(caller, requests.Begin(read_only=False))
    refused = await world.run(caller, proxy_world.WRITE)
    assert refused.refusal is requests.Refusal.OVERLOADED
    assert refused.state is requests.TransactionState.FAILED
    assert (await world.run(caller, requests.Rollback())).succeeded


async def test_a_tenant_without_a_limit_is_never_refused():
    world = _world()
    caller = _open(world)
    for _ in range(200):
        assert (await world.run(caller, proxy_world.WRITE)).succeeded
    assert world.directory.limits.tenants == {}


async def test_an_instance_that_is_no_home_has_no_share_of_the_limit():
    world = _world(rate_per_s=1000.0, burst=1000.0)
    world.directory.plans[world.service.name] = forwarding.GatewayPlan(
        gateways_by_zone={ids.ZoneName("a"): (ids.InstanceId("another"),)}, connections=3
    )
    assert not world.directory.limits.admit(tenant_builders.ACME, clock.now_s())


async def test_operations_that_waited_run_only_as_far_as_the_limit_allows_when_they_are_sent():
    """Those that wait for a new primary would otherwise all run at once with later ones."""
    world = _world(rate_per_s=40.0, burst=3.0)
    await world.run(_open(world, tenant_builders.BOLT_KEY), proxy_world.WRITE)
    world.service.note_recorded_promotion(ids.ServerId("another"))
    waiting = []
    for _ in range(8):
        callers = [_open(world) for _ in range(20)]
        waiting += [asyncio.create_task(world.run(each, proxy_world.WRITE)) for each in callers]
        await asyncio.sleep(0.1)
    registry = world.directory.registry
    admitted = registry.total("tenant_operations_admitted", tenant_builders.ACME)
    world.service.note_recorded_promotion(None)
    answers = await asyncio.gather(*waiting)
    succeeded = sum(answer.succeeded for answer in answers)
    refused = {answer.refusal for answer in answers if not answer.succeeded}
    assert refused == {requests.Refusal.OVERLOADED}
    limit = world.directory.limits.tenants[tenant_builders.ACME].limit
    assert 0 < succeeded < admitted
    assert succeeded <= limit.sending.capacity + 40.0 * 1.0
    assert len(world.group.executed) == 1 + succeeded
