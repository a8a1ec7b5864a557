"""The connection pool loses no connection, and transactions leave one to short statements."""

import asyncio
import time

import pytest

from mustardswitch import connection_pool
from mustardswitch.backends import errors
from mustardswitch.internal.admission import limits


class Connection:
    """A connection that does nothing."""

    broken = False

    def close(self) -> None:
        """Close it."""
        self.broken = True


async def _open() -> Connection:
    return Connection()


def _pool(size: int) -> connection_pool.ConnectionPool[Connection]:
    return connection_pool.ConnectionPool(name="s", opener=_open, size=size)


def _request(limit_s: float = 1.0, **changes: object) -> connection_pool.ConnectionRequest:
    fields = {"caller": "", "priority": 1, "deadline_s": time.monotonic() + limit_s}
    return connection_pool.ConnectionRequest(**{**fields, **changes})


async def test_a_connection_handed_out_as_its_waiter_times_out_is_not_lost():
    """Guards against a leak under overload, when waiters time out all the time.

    The connection is handed out at the moment at which the waiter's deadline passes.
    """
    pool = _pool(1)
    held = await pool.acquire(_request())
    waiter = asyncio.create_task(pool.acquire(_request(0.05)))
    asyncio.get_running_loop().call_later(0.04, lambda: pool.release(held, clean=True))
    await asyncio.sleep(0.01)
    time.sleep(0.06)
    (got,) = await asyncio.gather(waiter, return_exceptions=True)
    if isinstance(got, Connection):
        pool.release(got, clean=True)
    assert pool.busy == 0
    assert len(pool.idle) == 1


async def test_transactions_leave_a_connection_to_short_statements():
    pool = _pool(3)
    for _ in range(limits.max_transaction_connections(3)):
        await pool.acquire(_request(holds=True))
    third = asyncio.create_task(pool.acquire(_request(holds=True)))
    await asyncio.sleep(0.01)
    assert not third.done()
    short = await pool.acquire(_request())
    pool.release(short, clean=True)
    third.cancel()


async def test_a_short_statement_that_waits_goes_before_a_transaction_of_its_priority():
    pool = _pool(1)
    held = await pool.acquire(_request())
    order = []

    async def wait(name: str, **changes: object) -> None:
        got = await pool.acquire(_request(**changes))
        order.append(name)
        pool.release(got, clean=True)

    tasks = [
        asyncio.create_task(wait("transaction", holds=True)),
        asyncio.create_task(wait("short")),
        asyncio.create_task(wait("urgent transaction", holds=True, priority=0)),
    ]
    await asyncio.sleep(0.01)
    pool.release(held, clean=True)
    await asyncio.gather(*tasks)
    assert order == ["urgent transaction", "short", "transaction"]


async def test_a_transaction_gets_what_short_statements_no_longer_use():
    """Guards against work that waits beside a free connection until another one is released."""
    pool = connection_pool.ConnectionPool(name="s", opener=_open, size=4, by_target=True)
    pool.admission.reserves.statements.value = 1.0
    pool.admission.reserves.statements.at_s = time.monotonic()
    for _ in range(2):
        await pool.acquire(_request(holds=True))
    assert await pool.acquire(_request(2.0, holds=True)) is not None
    assert pool.busy == 3


async def test_unused_connections_are_closed():
    pool = _pool(2)
    first, second = await pool.acquire(_request()), await pool.acquire(_request())
    pool.release(first, clean=True)
    pool.release(second, clean=True)
    pool.trim(idle_s=60.0)
    assert len(pool.idle) == 2
    pool.trim(idle_s=-1.0)
    assert first.broken and second.broken and not pool.idle


class FullServer:
    """A server that accepts no more connections; counts the attempts."""

    def __init__(self) -> None:
        self.attempts = 0

    async def open(self) -> Connection:
        self.attempts += 1
        raise errors.ConnectionLimitError("too many connections")


async def test_statements_before_a_full_server_share_an_attempt():
    """Reproduces Himshilp grown scale-2: each statement tried to open a connection to a server over
    its limit, which rejected 6,837 connections in twelve seconds.
    """
    server = FullServer()
    pool = connection_pool.ConnectionPool(name="s", opener=server.open, size=3, reopen_limit_s=0.25)
    ends_s = time.monotonic() + 0.6
    rejected = 0
    while time.monotonic() < ends_s:
        try:
            await pool.acquire(_request(0.05))
        except errors.PoolRefusedError:
            rejected += 1
        await asyncio.sleep(0.001)
    assert server.attempts <= 5
    assert rejected > server.attempts
    pool.close()


async def test_a_pool_that_stands_in_opens_nothing_unless_a_statement_waits():
    server = FullServer()
    pool = connection_pool.ConnectionPool(name="s", opener=server.open, size=1, reopen_limit_s=0.05)
    pool.reopens_unused = False
    with pytest.raises(errors.PoolRefusedError):
        await pool.acquire(_request(0.05))
    before = server.attempts
    await asyncio.sleep(0.4)
    assert server.attempts <= before + 1
    pool.close()


async def test_a_waiting_write_gets_a_connection_once_the_server_has_room():
    server = FullServer()
    openers = [server.open, server.open, _open]

    async def open_next() -> Connection:
        return await openers.pop(0)()

    pool = connection_pool.ConnectionPool(name="s", opener=open_next, size=1, reopen_limit_s=0.25)
    connection = await pool.acquire(_request(10.0, waits_for_server=True))
    assert openers == []
    pool.release(connection, clean=True)
