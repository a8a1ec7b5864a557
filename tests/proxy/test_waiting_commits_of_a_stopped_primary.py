"""What waits in a primary, or is sent to it late, while its successor is recorded."""

import asyncio

import pytest

from mustardswitch.internal import ids
from mustardswitch.proxy import ports, server_commands
from tests.common import proxy_world, takeovers

EFFECT_S = 0.3
HOLD_S = 0.2
"""Time until the commits that wait in the primary are given up, and the hold is confirmed."""


async def _run_what_waits(world: proxy_world.World) -> None:
    """Commit at the former primary as soon as any server leads again after its stop."""
    former = world.group.servers[takeovers.A]
    while world.group.primary is former:
        await asyncio.sleep(0.001)
    while world.group.primary is None:
        await asyncio.sleep(0.001)
    world.group.commit(former, "waited")


def _leaving_world() -> proxy_world.World:
    """Return a world whose primary leaves, and in which nobody confirms the hold yet."""
    world = proxy_world.World()
    world.group.commit(world.group.primary, "old")
    world.group.servers[takeovers.A].leaving = True
    world.list_servers()
    world.promoter.effect_delay_s = EFFECT_S
    world.coordination.hold_report = ports.HoldReport(complete=False)
    return world


async def _wait_until_recorded(world: proxy_world.World) -> None:
    while not world.coordination.promotions:
        await asyncio.sleep(0.001)


async def test_a_stopped_primary_does_not_lead_again_and_run_what_waited_in_it():
    world = _leaving_world()
    changing = asyncio.create_task(takeovers.take_over(world))
    waiting = asyncio.create_task(_run_what_waits(world))
    await _wait_until_recorded(world)
    await asyncio.sleep(HOLD_S)
    world.coordination.hold_report = ports.HoldReport(complete=True)
    while not takeovers.requested_successors(world):
        await asyncio.sleep(0.001)
    # It leads with what it had received as its promotion was requested.
    world.group.servers[takeovers.requested_successors(world)[0]].not_receiving = True
    assert await changing
    await waiting
    assert world.group.lost == []


async def test_a_hold_that_takes_longer_than_a_promotion_does_not_end_a_handover():
    """The order to stop was repeated under the term that the primary led again, in vain."""
    world = _leaving_world()
    changing = asyncio.create_task(takeovers.take_over(world))
    await _wait_until_recorded(world)
    await asyncio.sleep(2 * EFFECT_S)
    world.coordination.hold_report = ports.HoldReport(complete=True)
    assert await changing
    assert takeovers.another_leads(world)


async def test_a_holder_that_is_suspended_does_not_rely_on_an_end_of_before_a_second_lead(
    monkeypatch,
):
    """An instance that was suspended as well sends a commit before it confirms the hold."""
    world = _leaving_world()
    goes_on = asyncio.Event()
    goes_on.set()
    query = server_commands.ServerCommands.query

    async def query_and_wait(commands, servers):
        statuses = await query(commands, servers)
        await goes_on.wait()
        return statuses

    monkeypatch.setattr(server_commands.ServerCommands, "query", query_and_wait)
    changing = asyncio.create_task(takeovers.take_over(world))
    await _wait_until_recorded(world)
    goes_on.clear()
    await asyncio.sleep(2 * EFFECT_S)
    (successor,) = world.coordination.promotions.values()
    world.group.servers[successor].not_receiving = True
    world.group.commit(world.group.servers[takeovers.A], "answered")
    world.coordination.hold_report = ports.HoldReport(complete=True)
    goes_on.set()
    await changing
    assert world.group.lost == []


@pytest.mark.parametrize("as_of_request", [True, False])
async def test_a_write_that_completes_after_the_stop_is_not_lost(as_of_request):
    """Its instance has given it up, and the successor leads with what it had at the request."""
    world = _leaving_world()
    world.coordination.hold_report = ports.HoldReport(complete=True)
    world.group.completes_running = True
    world.group.promotes_as_of_request = as_of_request
    former = world.group.servers[takeovers.A]
    (entry,) = [each for each in world.group.entries() if each.server == takeovers.A]
    link = await world.group.open_link(entry)
    link.send(proxy_world.WRITE, ids.RequestId("given up"))
    former.answer_delay_s = HOLD_S
    running = asyncio.create_task(link.receive(5.0))
    await asyncio.sleep(0)
    former.answer_delay_s = 0.0
    assert await takeovers.take_over(world)
    await running
    assert "given up" in world.group.acknowledged and world.group.lost == []
