"""A hand-over that nothing disturbs is over long before the notice of its primary."""

import asyncio

from mustardswitch.internal import clock, ids
from mustardswitch.proxy import ports
from tests.common import proxy_world, takeovers

A, D = takeovers.A, ids.ServerId("server-d")
SHORT_HANDOVER_S = 1.2
"""Longest hand-over in memory beside one silent server; its steps took 0.5 s each."""


async def test_a_handover_asks_a_server_without_an_entry_that_gives_no_answer_for_a_short_time():
    """Statements reached a leaving primary later than allowed: each of four steps of its hand-over
    waited half a second for servers that had left before.
    """
    world = proxy_world.World()
    world.group.start_server(zone="d")
    world.list_servers()
    takeovers.lose_entry(world, D, silent_s=10.0)
    world.group.servers[D].silent = True
    world.group.servers[A].leaving = True
    world.list_servers()
    takeovers.expire_entry(world, D)
    assert D in world.service.servers_with_commits()
    started_s = clock.now_s()
    assert await takeovers.take_over(world)
    assert world.group.lost == []
    assert clock.now_s() - started_s < SHORT_HANDOVER_S


async def test_a_primary_that_has_left_before_it_is_stopped_is_not_asked_to_stop_again():
    """The service had no primary for 10.5 s: all instances were killed as the primary left, and the
    hold of commits was complete only after its end. It was ordered to stop for 2.5 s then.
    """
    world = proxy_world.World()
    world.group.servers[A].leaving = True
    world.list_servers()
    # Only the primary is waited for.
    world.service.listing_s = 0.0
    world.coordination.hold_report = ports.HoldReport(complete=False)
    changing = asyncio.create_task(takeovers.take_over(world))
    while world.service.requested is None:
        await asyncio.sleep(0.01)
    world.group.servers[A].up = False
    takeovers.expire_entry(world, A)
    world.coordination.hold_report = ports.HoldReport(complete=True)
    ended_s = clock.now_s()
    assert await changing
    assert world.group.lost == [] and takeovers.another_leads(world)
    assert clock.now_s() - ended_s < SHORT_HANDOVER_S
