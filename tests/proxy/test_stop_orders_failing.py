"""Faults found in orders to stop; not committed."""

import asyncio

from mustardswitch.internal import former_primary, server_contact
from mustardswitch.proxy import stop_orders
from tests.common import peer_world, proxy_world
from tests.common.stop_orders import ORDER, A, answer_late, order_of, run_briefly


async def test_a_slow_primary_that_was_stopped_is_not_reported_as_found_a_replica(monkeypatch):
    """The second order finds it a replica before the first has read the end."""
    monkeypatch.setattr(stop_orders, "FOLLOWING_ORDER_S", 0.02)
    world = proxy_world.World()
    answer_late(monkeypatch, late_s=8.0, scale=100)
    order = order_of(world)
    await asyncio.wait_for(order.run(), 2.0)
    assert order.report().order is former_primary.Order.STOPPED


async def test_idle_connections_that_were_never_used_make_room_for_the_order():
    world = proxy_world.World()
    pool = world.service.servers[A].pool
    pool.idle.append(await world.group.open_link(world.service.servers[A].entry))
    await run_briefly(order_of(world))
    assert world.group.servers[A].links[0].broken


async def test_signs_of_a_primary_that_is_listed_again_are_reported(monkeypatch):
    world, orders = peer_world.World(monkeypatch), stop_orders.StopOrders()
    world.group.servers[A].silent = True
    orders.receive(ORDER, world.service)
    world.directory.servers.remove(A, world.now_s)
    world.directory.refresh()
    world.list_servers()
    world.service.servers[A].contacts.note(server_contact.Sign.ANSWERED)
    told = orders.receive(ORDER, world.service)
    for _, task in orders.running.values():
        task.cancel()
    assert told.report.answered_s == 0.0
