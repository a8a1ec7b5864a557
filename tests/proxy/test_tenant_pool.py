"""The pool of tenants' connections keeps its size, loses no waiter, and mixes no tenants."""

import asyncio
import time

import pytest

from mustardswitch import connection_pool
from mustardswitch.backends import errors
from mustardswitch.proxy import tenant_pool


class Link:
    """A connection that does nothing."""

    def __init__(self, tenant: str) -> None:
        self.tenant = tenant
        self.broken = False

    def close(self) -> None:
        """Close it."""
        self.broken = True


class Server:
    """Opens connections, unless it fails with ``failure``; ``gate`` holds up openings."""

    def __init__(self) -> None:
        self.links: list[Link] = []
        self.failure: Exception | None = None
        self.gate = asyncio.Event()
        self.gate.set()

    async def open(self, tenant: str) -> Link:
        """Open a connection."""
        await self.gate.wait()
        if self.failure is not None:
            raise self.failure
        self.links.append(Link(tenant))
        return self.links[-1]

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return sum(not link.broken for link in self.links)


def _pool(server, size, **options):
    return tenant_pool.TenantPool(name="s", opener=server.open, size=size, **options)


def _request(tenant, limit_s=5.0, **changes):
    fields = {"caller": tenant, "priority": 1, "deadline_s": time.monotonic() + limit_s}
    return connection_pool.ConnectionRequest(**{**fields, **changes})


async def _settle():
    for _ in range(10):
        await asyncio.sleep(0)


@pytest.mark.parametrize("tenants", [True, False])
async def test_a_pool_that_shrinks_while_it_is_busy_closes_what_is_returned(tenants):
    """Guards against more connections of all instances than a server accepts: the surplus of a pool
    that shrank while its connections were in use returned to it and stayed.
    """
    server = Server()
    if tenants:
        pool = _pool(server, 6)
    else:
        pool = connection_pool.ConnectionPool(name="s", opener=lambda: server.open(""), size=6)
    held = [await pool.acquire(_request("a")) for _ in range(6)]
    pool.resize(2)
    for link in held:
        pool.release(link, clean=True)
    assert pool.held <= 2
    assert server.connections <= 2


async def test_a_pool_that_shrinks_while_it_opens_closes_what_no_one_waits_for():
    """Guards against a surplus connection whose opening ends after the pool has shrunk."""
    server = Server()
    server.gate.clear()
    pool = _pool(server, 4)
    waiters = [asyncio.create_task(pool.acquire(_request("a"))) for _ in range(4)]
    await _settle()
    pool.resize(1)
    for waiter in waiters:
        waiter.cancel()
    server.gate.set()
    await _settle()
    assert (pool.held, server.connections) == (1, 1)


async def test_a_waiter_whose_pool_closes_before_its_connection_is_opened_is_rejected_at_once():
    """Guards against a waiter that hangs until its deadline: a task that is cancelled before its
    first step runs none of its code.
    """
    pool = _pool(Server(), 1)
    task = asyncio.create_task(pool.acquire(_request("a")))
    asyncio.get_running_loop().call_soon(pool.close)
    with pytest.raises(errors.PoolUnreachableError):
        await asyncio.wait_for(task, 1.0)
    assert (pool.opening, pool.use.held) == (0, {})


async def test_a_waiter_is_rejected_when_its_connection_opens_as_the_pool_closes():
    """Guards against a waiter that hangs because an opening ended although it was cancelled."""
    server = Server()
    server.gate.clear()

    async def open_link(tenant):
        try:
            return await server.open(tenant)
        except asyncio.CancelledError:
            return Link(tenant)

    pool = tenant_pool.TenantPool(name="s", opener=open_link, size=1)
    task = asyncio.create_task(pool.acquire(_request("a")))
    await _settle()
    pool.close()
    with pytest.raises(errors.PoolUnreachableError):
        await asyncio.wait_for(task, 1.0)


async def test_a_waiter_is_rejected_when_opening_fails_in_an_unexpected_way():
    """Guards against a waiter that hangs after an error that no layer has translated."""
    server = Server()
    server.failure = RuntimeError("unexpected")
    pool = _pool(server, 1)
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    with pytest.raises(errors.PoolUnreachableError):
        await asyncio.wait_for(pool.acquire(_request("a")), 1.0)
    assert pool.opening == 0


async def test_a_failed_opening_leaves_its_place_to_a_tenant_with_an_idle_connection():
    """Guards against a statement that waits for the next attempt beside a connection of its tenant,
    for example at a server that has reached its limit of connections.
    """
    server = Server()
    pool = _pool(server, 2)
    first, second = [await pool.acquire(_request("a")) for _ in range(2)]
    pool.release(second, clean=True)
    server.gate.clear()
    server.failure = errors.ConnectionLimitError("too many connections")
    pool.limit.limit = 2.0
    pool.size = 3
    refused = asyncio.create_task(pool.acquire(_request("b")))
    await _settle()
    waiting = asyncio.create_task(pool.acquire(_request("a")))
    await _settle()
    assert not waiting.done()
    server.gate.set()
    await _settle()
    assert waiting.done()
    assert waiting.result() is second
    with pytest.raises(errors.PoolUnreachableError):
        await refused
    pool.release(first, clean=True)


async def test_no_tenant_s_name_stands_for_all_tenants():
    """Guards against statements of a tenant named ``*`` on the connections of the others."""
    server = Server()
    pool = _pool(server, 2)
    pool.release(await pool.acquire(_request("a")), clean=True)
    assert (await pool.acquire(_request("*"))).tenant == "*"


async def test_nothing_is_kept_about_connections_that_were_closed():
    """Guards against growth, and against a new connection that takes over the turns of a closed one
    whose ``id`` it has.
    """
    server = Server()
    pool = _pool(server, 4)
    for link in [await pool.acquire(_request(tenant)) for tenant in "abcd"]:
        pool.release(link, clean=True)
    pool.resize(3)
    assert len(pool.turns) == len(pool.returned_at_s) == 3
    pool.trim(idle_s=-1.0)
    assert not pool.turns and not pool.returned_at_s


async def test_work_that_waits_beside_a_reserve_is_served_after_a_failed_opening():
    """Guards against work that nothing tries again: its place was taken by an opening that failed
    when it began to wait, and the reserve ends without a release.
    """
    server = Server()
    pool = _pool(server, 4, by_target=True)
    for _ in range(3):
        await pool.acquire(_request("a"))
    pool.use.average_holding_s[False] = 0.5
    reserves = pool.admission.reserves
    server.gate.clear()
    server.failure = errors.ConnectionLimitError("too many connections")
    urgent = asyncio.create_task(pool.acquire(_request("b", priority=0)))
    await _settle()
    waiting = asyncio.create_task(pool.acquire(_request("a", 8.0)))
    await _settle()
    reserves.urgent_at_s = time.monotonic() - 4.6
    server.gate.set()
    await _settle()
    server.failure = None
    with pytest.raises(errors.PoolUnreachableError):
        await urgent
    assert not waiting.done()
    await asyncio.wait_for(waiting, 2.0)


async def test_connections_are_used_while_as_many_others_are_opened_as_may_be():
    """Guards against idle connections of tenants that wait, as after a mass kill: nothing was
    handed out as long as a server was opening the most connections at once.
    """
    server = Server()
    pool = _pool(server, 4)
    pool.max_openings = 1
    link = await pool.acquire(_request("a"))
    server.gate.clear()
    opening = [asyncio.create_task(pool.acquire(_request(tenant))) for tenant in "bc"]
    await _settle()
    waiting = asyncio.create_task(pool.acquire(_request("a")))
    await _settle()
    pool.release(link, clean=True)
    await _settle()
    assert waiting.done() and pool.opening == 1
    server.gate.set()
    await asyncio.gather(*opening)


async def test_work_that_is_put_back_keeps_its_turn():
    """Guards against work that loses its place because nothing can be opened for it now."""
    server = Server()
    pool = _pool(server, 4)
    pool.max_openings = 1
    link = await pool.acquire(_request("a"))
    server.gate.clear()
    order = []

    async def wait(name, tenant):
        got = await pool.acquire(_request(tenant))
        order.append(name)
        pool.release(got, clean=True)

    tasks = [
        asyncio.create_task(wait(name, tenant))
        for name, tenant in (("b1", "b"), ("c1", "c"), ("c2", "c"), ("d1", "d"))
    ]
    await _settle()
    pool.release(link, clean=True)
    await _settle()
    server.gate.set()
    await asyncio.gather(*tasks)
    assert order.index("c1") < order.index("c2")
