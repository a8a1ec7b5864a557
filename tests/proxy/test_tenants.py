"""Tenants: keys are checked, servers are told the tenant, and connections are shared in turn."""

import asyncio
import collections
import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch import connection_pool, metrics
from mustardswitch.internal import ids
from mustardswitch.internal.admission import in_turn
from mustardswitch.internal.tenants import homes
from mustardswitch.peers import relay_client
from mustardswitch.platform import errors as platform_errors
from mustardswitch.platform import lines, records
from mustardswitch.proxy import (
    directory,
    feature_set,
    forwarded,
    requests,
    routes,
    server_list,
    session_opening,
    tenant_pool,
)
from mustardswitch_standins import database_group
from tests.common import proxy_world, tenant_builders

PRIMARY, BOUNDED, OWN = requests.RouteKind
ACME, BOLT = tenant_builders.ACME, tenant_builders.BOLT
ACME_KEY, BOLT_KEY = tenant_builders.ACME_KEY, tenant_builders.BOLT_KEY


def _world(**changes):
    world = proxy_world.World()
    world.directory.configure(tenant_builders.configuration(**changes))
    return world


def _open(world, key, kind=PRIMARY):
    return session_opening.open_session(world.directory, proxy_world.DATABASES[kind], key)


async def test_an_unknown_key_opens_no_session():
    refused = _open(_world(), ids.CallerKey("key-of-nobody"))
    assert refused.refusal is requests.Refusal.UNAUTHORIZED
    assert "key-of-nobody" not in refused.detail


async def test_a_public_route_needs_no_key():
    world = _world(public=True)
    opened = _open(world, ids.CallerKey("key-of-nobody"))
    assert (await world.run(opened, proxy_world.WRITE)).succeeded


async def test_each_server_connection_serves_one_tenant():
    world = _world()
    for key in (ACME_KEY, BOLT_KEY, ACME_KEY):
        assert (await world.run(_open(world, key), proxy_world.WRITE)).succeeded
    assert [each.link.tenant for each in world.group.statements] == [ACME, BOLT, ACME]
    assert world.group.statements[0].link is world.group.statements[2].link


async def test_a_removed_key_ends_the_statements_of_an_open_session():
    world = _world()
    caller = _open(world, ACME_KEY)
    assert (await world.run(caller, proxy_world.WRITE)).succeeded
    world.directory.configure(
        tenant_builders.configuration(3, keys={BOLT_KEY: tenant_builders.BOLT})
    )
    refused = await world.run(caller, proxy_world.WRITE)
    assert refused.refusal is requests.Refusal.UNAUTHORIZED
    assert len(world.group.executed) == 1


async def test_a_removed_key_rolls_back_the_transaction_in_progress():
    world = _world()
    caller = _open(world, ACME_KEY)
    await world.run(caller, requests.Begin(read_only=False))
    assert (await world.run(caller, proxy_world.WRITE)).succeeded
    world.directory.configure(tenant_builders.configuration(3, keys={}))
    refused = await world.run(caller, requests.Commit())
    assert refused.refusal is requests.Refusal.ABORTED
    assert refused.state is requests.TransactionState.IDLE
    await world.settle()
    assert world.group.acknowledged == []


async def test_keys_are_shown_nowhere():
    world = _world()
    caller = _open(world, ACME_KEY)
    await world.run(caller, proxy_world.WRITE)
    shown = [repr(caller), repr(world.directory.configuration), world.directory.registry.render()]
    shown.append(repr(lines.parse_caller_line(f"STARTUP db {ACME_KEY}".encode())))
    assert all(ACME_KEY not in text for text in shown)


async def test_refusals_are_counted_by_reason_and_tenant_where_admission_is_on():
    """Guards against refusals that no metric leads to their cause."""
    world = _world()
    assert type(world.service.leader.pool.admission) is in_turn.InTurn
    world.directory.features = feature_set.Features(admission=True)
    world.directory.services.clear()
    world.directory.configure(tenant_builders.configuration(3, statement_timeout_s=0.4))
    pool = world.service.leader.pool
    held = [await pool.acquire(_request(ACME)) for _ in range(pool.size)]
    refused = await world.run(_open(world, BOLT_KEY), proxy_world.WRITE)
    assert refused.refusal is requests.Refusal.OVERLOADED
    registry = world.directory.registry
    assert registry.total("admission_refused_tenant", BOLT) == 1
    assert sum(registry.total("admission_refused", each.value) for each in in_turn.Reason) == 1
    for link in held:
        pool.release(link, clean=True)


def test_reads_tenants_with_their_keys_and_limits():
    configuration = records.decode_configuration(
        b'{"version":1,"routes":[],"services":[],"limits":{"tx_idle_ms":3000},"tenants":'
        b'[{"name":"acme","api_keys":["k1","k2"],"priority":1,"rate_per_s":115,"burst":30}]}'
    )
    tenant = configuration.tenants[ACME]
    assert (tenant.rate_per_s, tenant.burst) == (115, 30)
    assert configuration.tenant_by_key == {"k1": ACME, "k2": ACME}


@pytest.mark.parametrize(
    "tenants",
    [
        '[{"name":"acme","api_keys":"SECRET"}]',
        '[{"name":"acme","api_keys":{"SECRET":1}}]',
        '[{"name":["SECRET"],"api_keys":[]}]',
        '{"acme":{"api_keys":["SECRET"]}}',
        '"SECRET"',
    ],
)
def test_errors_about_tenants_show_no_keys(tenants):
    """Guards against keys in the event that reports an invalid configuration."""
    record = (
        f'{{"version":1,"routes":[],"services":[],"limits":{{"tx_idle_ms":1}},"tenants":{tenants}}}'
    )
    with pytest.raises(platform_errors.InvalidRecordError) as raised:
        records.decode_configuration(record.encode())
    assert "SECRET" not in str(raised.value)


async def test_a_transaction_whose_key_now_belongs_to_another_tenant_is_rolled_back():
    """Guards against statements of a tenant on a connection that was opened for another one."""
    world = _world()
    caller = _open(world, ACME_KEY)
    await world.run(caller, requests.Begin(read_only=False))
    assert (await world.run(caller, proxy_world.WRITE)).succeeded
    moved = {ACME_KEY: BOLT, BOLT_KEY: BOLT}
    world.directory.configure(tenant_builders.configuration(3, keys=moved))
    refused = await world.run(caller, proxy_world.WRITE)
    assert refused.refusal is requests.Refusal.ABORTED
    await world.run(caller, requests.Rollback())
    assert (await world.run(caller, proxy_world.WRITE)).succeeded
    assert [each.link.tenant for each in world.group.statements][-1] == BOLT


# Connections


async def _pool(size):
    group = database_group.Group()
    entry = next(iter(group.entries()))
    opened = collections.Counter()

    async def open_link(tenant):
        opened[tenant] += 1
        return await group.open_link(entry, tenant)

    return tenant_pool.TenantPool(name="s", opener=open_link, size=size), opened


def _request(tenant, *, holds=False, within_s=1.0):
    return connection_pool.ConnectionRequest(
        caller=tenant,
        priority=0,
        deadline_s=asyncio.get_running_loop().time() + within_s,
        holds=holds,
    )


async def test_a_full_pool_closes_the_longest_idle_connection_for_another_tenant():
    pool, opened = await _pool(2)
    for tenant in ("a", "b", "b", "c", "b"):
        pool.release(await pool.acquire(_request(tenant)), clean=True)
    assert opened == {"a": 1, "b": 1, "c": 1}
    assert pool.held == 2


async def test_tenants_that_wait_get_a_connection_in_turn():
    pool, opened = await _pool(1)
    served = []

    async def run(tenant):
        link = await pool.acquire(_request(tenant, within_s=5.0))
        served.append(tenant)
        await asyncio.sleep(0)
        pool.release(link, clean=True)

    await asyncio.gather(*(run("a") for _ in range(12)), run("b"))
    assert served.index("b") <= tenant_pool.TURN_LENGTH
    assert opened["a"] + opened["b"] <= 4


async def test_transactions_of_one_tenant_leave_a_connection_to_the_others():
    pool, _ = await _pool(3)
    held = [await pool.acquire(_request("a", holds=True)) for _ in range(2)]
    waiting = asyncio.create_task(pool.acquire(_request("a", holds=True)))
    await asyncio.sleep(0.01)
    assert not waiting.done()
    other = await pool.acquire(_request("b"))
    assert other.tenant == "b"
    for link in [*held, other]:
        pool.release(link, clean=True)
    await waiting


async def test_a_waiter_that_gives_up_leaves_its_opened_connection_to_the_others():
    pool, _ = await _pool(1)
    held = await pool.acquire(_request("a"))
    waiting = asyncio.create_task(pool.acquire(_request("b")))
    await asyncio.sleep(0.01)
    pool.release(held, clean=True)
    waiting.cancel()
    await asyncio.sleep(0.01)
    assert (await pool.acquire(_request("a"))).tenant == "a"
    assert pool.held == 1


# Homes


@given(per_zone=st.integers(1, 15), connections=st.integers(20, 200))
def test_gateways_for_tenants_never_exceed_the_connections_of_a_server(per_zone, connections):
    plan = homes.plan_gateways(
        tenant_builders.candidates(per_zone), group=0, connections=connections, usable=connections
    )
    assert plan.gateway_count * plan.connections <= connections


def test_a_tenant_keeps_its_homes_when_another_instance_leaves():
    fleet = tenant_builders.candidates(10)

    def find(candidates):
        plan = homes.plan_gateways(candidates, group=0, connections=79, usable=79)
        return homes.homes(plan, ACME, rate_per_s=10, regions=tenant_builders.REGIONS)

    before = find(fleet)
    assert {len(each) for each in before.values()} == {1}
    gone = before[ids.RegionName("north")][0]
    after = find([each for each in fleet if each.instance != gone])
    assert after[ids.RegionName("south")] == before[ids.RegionName("south")]
    assert after[ids.RegionName("north")] != before[ids.RegionName("north")]


def test_tenants_spread_over_the_gateways_of_a_region():
    plan = homes.plan_gateways(tenant_builders.candidates(14), group=0, connections=79, usable=79)
    used = collections.Counter(
        homes.homes(plan, ids.TenantName(f"t{n}"), rate_per_s=1, regions=tenant_builders.REGIONS)[
            ids.RegionName("north")
        ][0]
        for n in range(86)
    )
    assert len(used) == 6
    assert max(used.values()) <= 3 * 86 / 6


async def test_a_forwarded_statement_of_an_unknown_tenant_is_not_run():
    world = _world()
    route = world.directory.route(proxy_world.DATABASES[PRIMARY])
    assert world.directory.serves_tenant(ACME, route)
    assert not world.directory.serves_tenant(ids.TenantName("carp"), route)
    assert not world.directory.serves_tenant(ids.TenantName(""), route)


def test_services_of_a_large_fleet_are_spread_over_groups():
    groups = collections.Counter(
        homes.group_of(ids.ServiceName(f"service-{n}"), 800) for n in range(800)
    )
    assert len(groups) == 100
    assert {homes.group_of(ids.ServiceName("any"), 4)} == {0}


@pytest.mark.parametrize("placement", [False, True])
def test_a_zone_that_is_cut_off_always_tries_a_gateway_of_its_own(placement):
    """Guards against a large tenant, with two homes in each region, that a zone which is cut off
    serves from none of its gateways: the four that were tried were all in other zones.
    """
    for zone in tenant_builders.REGIONS:
        world = proxy_world.World()
        known = directory.Directory(
            instance=ids.InstanceId("entry"),
            location=server_list.Location(zone=zone, regions=tenant_builders.REGIONS),
            opener=world.group.open_link,
            registry=metrics.Registry(),
            forwarder=forwarded.Forwarder(client=relay_client.RelayClient()),
            features=feature_set.Features(admission=False, placement=placement, pace=False),
        )
        for each in tenant_builders.candidates(9):
            known.instances.put(each.instance, directory.Peer(zone=each.zone))
        tenants = [ids.TenantName(f"t{number}") for number in range(60)]
        known.configuration = dataclasses.replace(
            tenant_builders.configuration(),
            tenants={name: routes.Tenant(name=name, rate_per_s=200.0) for name in tenants},
        )
        plan = homes.plan_gateways(known.candidates(), group=0, connections=79, usable=79)
        for tenant in tenants:
            order = known._gateways_of_tenant(plan, tenant, single_read=False)
            assert any(gateway in plan.gateways_by_zone[zone] for gateway in order)


@pytest.mark.parametrize("without_self", [False, True])
def test_the_services_of_a_group_are_planned_once(monkeypatch, without_self):
    """Guards against stalls of a large fleet at each change of its list: the gateways of a group
    were ranked again for each service (1,000 instances and 40 services: 0.16 s).
    """
    world = _world()
    known = world.directory
    known.forwarder = forwarded.Forwarder(client=relay_client.RelayClient())
    limits = known.configuration.services[database_group.SERVICE]
    names = [ids.ServiceName(f"s{number}") for number in range(homes.SERVICES_PER_GROUP)]
    known.configuration = dataclasses.replace(
        known.configuration,
        services={name: dataclasses.replace(limits, service=name) for name in names},
    )
    known.services = dict.fromkeys(names, known.services[database_group.SERVICE])
    known.refresh()
    assert set(known.plans) >= set(names)
    planned = []
    plan = homes.plan_gateways
    monkeypatch.setattr(homes, "plan_gateways", lambda *a, **k: planned.append(k) or plan(*a, **k))
    if without_self:
        known.plans_without_self()
    else:
        known.refresh()
    assert len(planned) == 1
