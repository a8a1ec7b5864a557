"""Which servers count as new, and what their limit does to reads, writes and transactions."""

import asyncio
import dataclasses

from mustardswitch import connection_pool
from mustardswitch.internal import ids
from mustardswitch.proxy import feature_set, requests, server_pace
from mustardswitch_standins import database_group
from tests.common import proxy_world, tenant_builders

PRIMARY, BOUNDED, OWN = requests.RouteKind
A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
PACED = feature_set.Features(pace=True)


def _world(**changes):
    world = proxy_world.World(features=PACED, **changes)
    world.directory.paces.first_listed_s -= 1.0
    return world


def _list(world, server, **changes):
    entries = {entry.server: entry for entry in world.group.entries()}
    entries[server] = dataclasses.replace(entries[server], **changes)
    world.directory.servers.replace(entries, 0.0)
    world.directory.refresh()


def _limited(world):
    return {name for name, each in world.service.servers.items() if each.pace.limited}


def _limit(world, server, limit):
    backend = world.service.servers[server]
    backend.pace.start("test")
    backend.pace.machine.floor, backend.pace.machine.limit = 1, float(limit)
    return backend


async def test_without_the_feature_no_server_has_a_pace():
    world = proxy_world.World()
    assert all(each.pace is None for each in world.service.servers.values())


async def test_servers_of_the_list_at_the_start_are_not_new():
    assert _limited(_world()) == set()


async def test_a_server_that_is_listed_later_is_new():
    world = _world()
    started = world.group.start_server(zone="d")
    world.list_servers()
    assert _limited(world) == {started.name}


async def test_a_server_that_warms_up_when_this_instance_starts_is_new():
    world = _world()
    world.directory.paces.started_ms.clear()
    world.directory.paces.first_listed_s = None
    _list(world, B, started_ms=2, warmup_left_ms=4000)
    assert _limited(world) == {B}


async def test_a_server_that_started_anew_is_new():
    world = _world()
    _list(world, B, started_ms=2)
    assert _limited(world) == {B}
    assert 'server_pace{service="svc",server="server-b"}'.replace(
        "svc", database_group.SERVICE
    ) in (world.directory.registry.gauges)


async def test_a_server_whose_entry_lapsed_is_not_new():
    """Guards against limiting all servers when an outage of the store ends."""
    world = _world()
    world.directory.servers.replace({}, 0.0)
    world.directory.refresh()
    assert not world.service.servers
    world.list_servers()
    assert len(world.service.servers) == 3 and _limited(world) == set()


async def test_a_server_that_becomes_reachable_again_is_new():
    world = _world(zone="b")
    caller = world.open_session(BOUNDED)
    await world.run(caller, proxy_world.READ)
    replica = world.group.servers[B]
    replica.up = False
    for _ in range(3):
        await world.run(caller, proxy_world.READ)
    assert _limited(world) == set()
    replica.up = True
    await asyncio.sleep(0.4)
    assert _limited(world) == {B}


async def test_a_server_that_becomes_the_leader_is_new_and_keeps_its_share_of_slots():
    world = _world()
    await world.run(world.open_session(PRIMARY), proxy_world.WRITE)
    world.group.promote(B)
    world.list_servers()
    assert _limited(world) == {B}
    assert world.service.servers[B].pace.allowed() >= 3


async def test_a_read_goes_to_a_far_peer_when_the_limit_is_reached():
    world = _world(zone="c")
    await world.run(world.open_session(BOUNDED), proxy_world.READ)
    backend = _limit(world, C, 1)
    world.group.servers[C].answer_delay_s = 0.05
    first = asyncio.create_task(world.run(world.open_session(BOUNDED), proxy_world.READ))
    await asyncio.sleep(0.02)
    assert backend.pool.busy == backend.pool.limit.allowed == 1
    second = await world.run(world.open_session(BOUNDED), proxy_world.READ)
    assert second.signature != "sig-server-c"
    assert (await first).signature == "sig-server-c"


async def test_a_write_waits_when_the_limit_is_reached():
    world = _world()
    backend = _limit(world, A, 1)
    world.group.servers[A].answer_delay_s = 0.05
    writes = [
        asyncio.create_task(world.run(world.open_session(PRIMARY), proxy_world.WRITE))
        for _ in range(2)
    ]
    await asyncio.sleep(0.02)
    assert backend.pool.busy == 1 and backend.pool.waiting == 1
    assert all(answer.succeeded for answer in await asyncio.gather(*writes))


async def test_a_transaction_that_pauses_keeps_no_statement_from_a_limited_server():
    """Guards against a server with a limit of one that an idle transaction occupies for seconds."""
    world = _world()
    _limit(world, A, 1)
    caller = world.open_session(PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    assert (await world.run(caller, proxy_world.WRITE)).succeeded
    world.service.servers[A].pace.machine.limit = 1.0
    async with asyncio.timeout(0.2):
        assert (await world.run(world.open_session(PRIMARY), proxy_world.WRITE)).succeeded
    backend = world.service.servers[A]
    assert len(backend.paused_transactions) == 1
    assert (await world.run(caller, requests.Commit())).succeeded
    assert len(backend.paused_transactions) == 0


async def test_a_statement_that_waited_runs_as_soon_as_a_transaction_pauses():
    world = _world()
    _limit(world, A, 1)
    world.group.servers[A].answer_delay_s = 0.05
    caller = world.open_session(PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    first = asyncio.create_task(world.run(caller, proxy_world.WRITE))
    await asyncio.sleep(0.02)
    other = asyncio.create_task(world.run(world.open_session(PRIMARY), proxy_world.WRITE))
    assert (await first).succeeded
    async with asyncio.timeout(0.25):
        assert (await other).succeeded


async def test_connections_for_tenants_are_opened_two_at_a_time():
    """Guards against all instances occupying a server with new connections after a mass kill."""
    world = _world()
    world.directory.configure(tenant_builders.configuration())
    backend = world.service.servers[A]
    backend.pool.resize(9)
    opening, most = 0, 0

    async def open_slowly(tenant):
        nonlocal opening, most
        opening += 1
        most = max(most, opening)
        await asyncio.sleep(0.005)
        opening -= 1
        return database_group.FakeLink(
            group=world.group, server=world.group.servers[A], tenant=tenant
        )

    backend.pool.tenant_opener = open_slowly
    requested = connection_pool.ConnectionRequest(
        caller=tenant_builders.ACME,
        priority=1,
        deadline_s=asyncio.get_running_loop().time() + 2.0,
    )
    links = await asyncio.gather(*(backend.pool.acquire(requested) for _ in range(9)))
    assert len(links) == 9
    assert most == server_pace.MAX_OPENINGS
