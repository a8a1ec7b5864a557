"""A hand-over that nothing disturbs is over long before the notice of its primary."""

from mustardswitch.internal import clock, ids
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
