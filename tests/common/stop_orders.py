"""Orders to stop the primary of an in-memory group, and faults of the sessions that carry them."""

import asyncio
import contextlib

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import ids
from mustardswitch.peers import datagrams
from mustardswitch.proxy import stop_orders
from mustardswitch_standins import database_group
from tests.common import proxy_world

A = ids.ServerId("server-a")
"""The first primary."""
TERM = ids.Term(2)
"""The term after that of the first primary."""
ORDER = datagrams.StopOrder(service=database_group.SERVICE, server=A, term=TERM)


def order_of(world: proxy_world.World, term: int = TERM) -> stop_orders.StopOrder:
    """Build an instance's order to the first primary."""
    backend = world.service.known_servers()[A]
    return stop_orders.StopOrder(target=world.service, backend=backend, term=ids.Term(term))


async def run_briefly(order: stop_orders.StopOrder, limit_s: float = 0.1) -> None:
    """Run an order, and cancel it after a limit."""
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(order.run(), limit_s)


def answer_late(monkeypatch, *, late_s: float, scale: float) -> None:
    """Let status queries be answered ``late_s`` late; a query that does not wait so long fails.

    Time passes ``scale`` times as fast.
    """
    status = database_group.FakeLink.status

    async def status_late(link, timeout_s):
        await asyncio.sleep(min(late_s, timeout_s) / scale)
        if timeout_s < late_s:
            raise backend_errors.ConnectionBrokenError("no answer in time")
        return await status(link, timeout_s)

    monkeypatch.setattr(database_group.FakeLink, "status", status_late)


def refuse_first(world: proxy_world.World, errors: list[Exception]) -> None:
    """Let the opener of sessions for orders raise errors before it opens any."""

    async def open_order(entry, on_connected):
        if errors:
            raise errors.pop(0)
        on_connected()
        return await world.group.open_link(entry)

    world.service.order_opener = open_order


def reuse_address(world: proxy_world.World) -> asyncio.Queue[Exception]:
    """Let another process accept the connections of orders.

    It answers each with the next error of the returned queue, once there is one.
    """
    answers: asyncio.Queue[Exception] = asyncio.Queue()

    async def open_order(entry, on_connected):
        on_connected()
        raise await answers.get()

    world.service.order_opener = open_order
    return answers
