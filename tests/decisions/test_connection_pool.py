"""The pool of connections: nothing is lost, and transactions leave room for short statements."""

import asyncio
import time

from mustardswitch import connection_pool
from mustardswitch.internal import limits


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


def _use(limit_s: float = 1.0, **changes: object) -> connection_pool.ConnectionRequest:
    fields = {"caller": "", "priority": 1, "deadline_s": time.monotonic() + limit_s}
    return connection_pool.ConnectionRequest(**{**fields, **changes})


async def test_a_connection_handed_out_as_its_waiter_gives_up_is_not_lost():
    """Replays an overload in which waiters give up all the time."""
    pool = _pool(1)
    held = await pool.acquire(_use())
    waiter = asyncio.create_task(pool.acquire(_use(0.05)))
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
        await pool.acquire(_use(holds=True))
    third = asyncio.create_task(pool.acquire(_use(holds=True)))
    await asyncio.sleep(0.01)
    assert not third.done()
    short = await pool.acquire(_use())
    pool.release(short, clean=True)
    third.cancel()


async def test_a_short_statement_that_waits_goes_before_a_transaction_of_its_priority():
    pool = _pool(1)
    held = await pool.acquire(_use())
    order = []

    async def wait(name: str, **changes: object) -> None:
        got = await pool.acquire(_use(**changes))
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


async def test_unused_connections_are_closed():
    pool = _pool(2)
    first, second = await pool.acquire(_use()), await pool.acquire(_use())
    pool.release(first, clean=True)
    pool.release(second, clean=True)
    pool.trim(idle_s=60.0)
    assert len(pool.idle) == 2
    pool.trim(idle_s=-1.0)
    assert first.broken and second.broken and not pool.idle
