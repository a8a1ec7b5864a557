"""Explanations are the decisions that follow, and change nothing."""

import asyncio
import contextlib
import json
import time
import urllib.parse

import pytest

from mustardswitch import connection_pool
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids
from mustardswitch.internal.placement import forwarding, health
from mustardswitch.operators import explanations
from mustardswitch.peers import datagrams, relay_client
from mustardswitch.proxy import (
    directory,
    explain_page,
    explanation,
    feature_set,
    forwarded,
    pool_forecast,
    requests,
    tenant_pool,
)
from mustardswitch_standins import database_group
from tests.common import proxy_world, state_walk, tenant_builders

PRIMARY, BOUNDED, OWN = requests.RouteKind
ACME = tenant_builders.ACME
ALL = feature_set.Features(admission=True, placement=True, pace=True)
FEATURES = pytest.mark.parametrize("features", [feature_set.NO_FEATURES, ALL])
Kind = explanation.Kind
Action = pool_forecast.Action
NO_TENANT = ids.TenantName("")
ZONE = ids.ZoneName("a")


def _explain(world, kind=Kind.READ, *, route=BOUNDED, tenant=NO_TENANT):
    return explanation.explain(world.directory, proxy_world.DATABASES[route], tenant, kind)


async def _used_world(features, **changes):
    world = proxy_world.World(features=features, **changes)
    for route in (BOUNDED, PRIMARY):
        for statement in (proxy_world.WRITE, proxy_world.READ):
            assert (await world.run(world.open_session(route), statement)).succeeded
    await world.settle()
    return world


def _add_gateways(world, count=4):
    world.directory.forwarder = forwarded.Forwarder(client=relay_client.RelayClient())
    if world.directory.stall_meter is not None:
        world.directory.forwarder.place_by_answers(
            world.directory.registry, world.directory.stall_meter
        )
    found = tuple(ids.InstanceId(f"g{number}") for number in range(count))
    for number, gateway in enumerate(found):
        address = datagrams.PeerAddress(host="127.0.0.1", port=1000 + number)
        world.directory.instances.put(gateway, directory.Peer(zone=ZONE, address=address))
    world.directory.plans[world.service.name] = forwarding.GatewayPlan(
        gateways_by_zone={ZONE: found}, connections=3
    )


# What is explained is what happens


@FEATURES
async def test_a_read_runs_at_the_server_that_was_named(features):
    world = await _used_world(features)
    for _ in range(20):
        named = _explain(world).servers[0]
        assert (await world.run(world.open_session(BOUNDED), proxy_world.READ)).succeeded
        assert world.group.statements[-1].server == named.server
        await world.settle()


@FEATURES
async def test_a_write_runs_at_the_leader_that_was_named(features):
    world = await _used_world(features)
    for kind in (Kind.WRITE, Kind.TRANSACTION):
        explained = _explain(world, kind)
        assert [each.server for each in explained.servers] == [world.service.leader.server]
        assert explained.servers[0].pool.action == Action.IDLE.value
        assert f"server {explained.leader}" in explained.verdict


@FEATURES
@pytest.mark.parametrize("tenants", [False, True])
async def test_the_gateways_are_those_that_the_next_statement_tries(features, tenants):
    """Guards against an explanation that takes a turn of the rotation, or ignores it."""
    world = await _used_world(features)
    if tenants:
        world.directory.configure(tenant_builders.configuration(rate_per_s=200.0))
    _add_gateways(world)
    tenant = ACME if tenants else NO_TENANT
    placing = world.directory.forwarder.placing
    for number in range(30):
        explained = _explain(world, tenant=tenant)
        context = explanation._Explainer(
            found=world.directory,
            route=world.directory.route(proxy_world.DATABASES[BOUNDED]),
            tenant=tenant,
            kind=Kind.READ,
        )._context(world.service)
        tried = world.directory.gateways_for(context, single_read=True)
        assert [each.instance for each in explained.gateways] == [each.instance for each in tried]
        assert tried[0].instance in explained.verdict
        if placing is not None and number == 10:
            placing.note_unreachable(tried[0].instance, "refused")
        elif number == 10:
            world.directory.forwarder.recent_failures.add(tried[0].instance, now_s=clock.now_s())


@FEATURES
async def test_explanations_change_no_state(features):
    world = await _used_world(features)
    world.directory.limits.started_s -= 1000.0
    world.directory.configure(tenant_builders.configuration(rate_per_s=5.0, burst=3.0))
    world.directory.limits.admit(ACME, clock.now_s())
    _add_gateways(world)
    names = [*world.directory.instances.entries, "g-unknown"]
    if features.placement:
        for gateway in names[:3]:
            world.directory.forwarder.placing.note_unreachable(gateway, "refused")
        judged = next(iter(world.service.servers.values())).health
        judged.note_unreachable(clock.now_s(), reason="refused")
    world.directory.forwarder.recent_failures.add(ids.InstanceId("g1"), now_s=clock.now_s() - 60)
    before = state_walk.describe(world.directory)
    for kind in Kind:
        for route in (PRIMARY, BOUNDED, OWN):
            for tenant in (ACME, tenant_builders.BOLT):
                assert _explain(world, kind, route=route, tenant=tenant).verdict
    assert state_walk.describe(world.directory) == before
    world.directory.plans.clear()
    plans = state_walk.describe(world.directory)
    for kind in Kind:
        assert _explain(world, kind, tenant=ACME).verdict
    assert state_walk.describe(world.directory) == plans
    assert len(before) > 500


async def test_a_gateway_that_an_explanation_finds_slow_is_not_reported():
    """Guards against events and counters of work that has not moved."""
    world = await _used_world(feature_set.Features(placement=True))
    _add_gateways(world)
    quick = world.directory.forwarder.placing.record(ids.InstanceId("g3"))
    for _ in range(30):
        quick.health.note_answer(0.001, clock.now_s())
    before = state_walk.describe(world.directory)
    explained = _explain(world)
    assert any("slower" in reason for each in explained.gateways for reason in each.reasons)
    assert state_walk.describe(world.directory) == before


# Reasons


async def test_the_reasons_name_what_moves_a_server_back():
    world = await _used_world(ALL)
    chosen = world.service.servers[_explain(world).servers[0].server]
    chosen.health.note_unreachable(clock.now_s(), reason="refused")
    explained = _explain(world)
    assert explained.servers[0].server != chosen.server
    moved = next(each for each in explained.servers if each.server == chosen.server)
    assert any(health.State.WITHDRAWN.value in reason for reason in moved.reasons)


@FEATURES
async def test_a_lagging_replica_is_last_and_named_as_such(features):
    world = await _used_world(features)
    chosen = world.service.servers[_explain(world).servers[0].server]
    chosen.note_lagging(world.service.history.samples[0].position)
    explained = _explain(world)
    assert explained.servers[-1].server == chosen.server
    assert any("lags" in reason for reason in explained.servers[-1].reasons)
    assert explained.min_position is not None


async def test_a_primary_that_is_replaced_and_one_that_is_missing_are_told():
    world = await _used_world(ALL)
    world.service.note_recorded_promotion(ids.ServerId("another"))
    assert "being replaced" in _explain(world, Kind.WRITE).verdict
    for server in list(world.service.servers):
        world.service.leadership.forget(server)
    assert "no server leads" in _explain(world, Kind.WRITE).verdict


async def test_the_limit_of_a_tenant_is_told_as_it_would_be_applied():
    world = proxy_world.World()
    world.directory.limits.started_s -= 100_000
    world.directory.configure(tenant_builders.configuration(rate_per_s=0.001, burst=3.0))
    limits = world.directory.limits
    admitted = 0
    while _explain(world, Kind.WRITE, tenant=ACME).limit.admits:
        assert limits.admit(ACME, clock.now_s())
        admitted += 1
    assert admitted >= 3
    assert not limits.admit(ACME, clock.now_s())
    refused = _explain(world, Kind.WRITE, tenant=ACME)
    assert "rate limit" in refused.verdict
    assert refused.limit.retry_s > 0


# Pools


def _request(tenant, **changes):
    fields = {"priority": 1, "deadline_s": time.monotonic() + 5.0, "holds": False}
    return connection_pool.ConnectionRequest(caller=tenant, **{**fields, **changes})


async def _acquire(pool, request):
    """Return how a request is served: the action, and a connection if there is one."""
    idle, opening, held = len(pool.idle), pool.opening, pool.held
    acquiring = asyncio.create_task(pool.acquire(request))
    await asyncio.sleep(0)
    if acquiring.done():
        if acquiring.exception() is not None:
            assert isinstance(acquiring.exception(), backend_errors.BackendError)
            return Action.REFUSED, None
        assert len(pool.idle) == idle - 1
        return Action.IDLE, acquiring
    if pool.opening > opening:
        return (Action.EXCHANGES if pool.held == held else Action.OPENS), acquiring
    return Action.WAITS, acquiring


@pytest.mark.parametrize("kind", [connection_pool.ConnectionPool, tenant_pool.TenantPool])
@pytest.mark.parametrize("by_target", [False, True])
async def test_a_pool_does_what_was_forecast(kind, by_target):
    group = database_group.Group()
    entry = next(iter(group.entries()))
    is_tenants = kind is tenant_pool.TenantPool
    may_open = asyncio.Event()

    async def open_link(tenant=NO_TENANT):
        await may_open.wait()
        return await group.open_link(entry, tenant)

    pool = kind(name="server", opener=open_link, size=3, by_target=by_target)
    tenants = [ACME, tenant_builders.BOLT, ids.TenantName("third"), ids.TenantName("fourth")]
    seen, running = set(), []
    for step in range(120):
        holds = step % 5 == 0
        request = _request(tenants[step % 4 if is_tenants else 0], holds=holds)
        if step % 11 == 7:
            request = _request(request.caller, deadline_s=time.monotonic() - 1.0)
        expected = pool_forecast.forecast(pool, request)
        assert pool_forecast.forecast(pool, request) == expected
        action, acquiring = await _acquire(pool, request)
        assert action is expected.action, (step, expected)
        seen.add(action)
        if acquiring is not None:
            running.append(acquiring)
        if step % 4 == 3 or step > 60:
            may_open.set()
            await asyncio.sleep(0.004)
            may_open.clear()
            for each in [each for each in running if each.done()][
                : 1 + step % 3 if step < 90 else 99
            ]:
                running.remove(each)
                pool.release(each.result(), clean=True)
    for each in running:
        each.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    pool.close()
    await asyncio.sleep(0)
    assert {Action.IDLE, Action.OPENS, Action.WAITS, Action.REFUSED} <= seen
    assert (Action.EXCHANGES in seen) == is_tenants


async def test_a_pool_whose_server_is_unreachable_is_told():
    async def refuse():
        raise backend_errors.BackendUnreachableError("refused")

    pool = connection_pool.ConnectionPool(name="server", opener=refuse, size=3)
    with contextlib.suppress(backend_errors.BackendError):
        await pool.acquire(_request("caller"))
    found = pool_forecast.forecast(pool, _request("caller"))
    assert (found.action, found.reason) == (Action.REFUSED, "the server is unreachable")
    pool.close()
    assert "closed" in pool_forecast.forecast(pool, _request("caller")).reason


# The page


def _page(world, **fields):
    status, text = explain_page.answer(world.directory, urllib.parse.urlencode(fields))
    return status, json.loads(text), text


async def test_the_page_tells_unknown_names_and_shows_no_key():
    """Guards against a key that was given in place of a tenant's name and is shown again."""
    world = proxy_world.World()
    world.directory.configure(tenant_builders.configuration(rate_per_s=5.0))
    database = proxy_world.DATABASES[BOUNDED]
    key = tenant_builders.ACME_KEY
    asked = [
        ({"database": database, "tenant": key, "kind": "read"}, 404, "no such tenant"),
        ({"database": key, "tenant": ACME, "kind": "read"}, 404, "no such database"),
        ({"database": database, "kind": "read"}, 404, "needs a tenant's name"),
        ({"database": database, "tenant": ACME, "kind": key}, 400, "give database"),
        ({str(number): key for number in range(50)}, 400, "give database"),
    ]
    for fields, expected, why in asked:
        status, found, text = _page(world, **fields)
        assert status == expected and why in found["error"]
        assert key not in text
    for kind in Kind:
        status, found, text = _page(world, database=database, tenant=ACME, kind=kind.value)
        assert status == 200 and found["tenant"] == ACME
        shown = explanations.render(found)
        assert ACME in shown and found["verdict"] in shown
        assert not any(each in text + shown for each in world.directory.configuration.tenant_by_key)


async def test_an_answer_is_bounded():
    """Guards against answers that grow with the fleet or with names in the store."""
    world = await _used_world(ALL)
    entries = {
        ids.ServerId(f"{number:03}{'s' * 5000}"): each
        for each in world.directory.servers.entries.values()
        for number in range(100)
    }
    for name, entry in entries.items():
        entries[name] = type(entry)(
            **{
                field: getattr(entry, field)
                for field in entry.__dataclass_fields__
                if field != "server"
            },
            server=name,
        )
    world.directory.servers.replace(entries, clock.now_s())
    world.directory.refresh()
    _add_gateways(world, count=2000)
    status, found, text = _page(world, database=proxy_world.DATABASES[BOUNDED], kind="read")
    assert status == 200
    assert len(found["servers"]) == len(found["gateways"]) == explanation.MAX_LISTED
    assert found["servers_found"] == 100 and found["gateways_found"] == 2000
    assert len(text) < 64_000
