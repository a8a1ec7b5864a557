"""One instance that looks for servers without a process, in front of the in-memory group."""

import asyncio

from mustardswitch.internal import clock, ids
from mustardswitch.proxy import coverage
from tests.common import proxy_world, takeovers

ATTEMPT_LIMIT_S = 4.0
"""Time for one change of primary, after which it is cancelled."""


def build(monkeypatch) -> proxy_world.World:
    """Build the instance; the pauses between its questions are short."""
    monkeypatch.setattr(coverage, "RETRY_S", 0.05)
    monkeypatch.setattr(coverage, "RECEIVE_S", 0.1)
    world = proxy_world.World()
    world.directory.instances.first_read_at_s = clock.now_s()
    return world


async def check(world: proxy_world.World, times: int = 4) -> None:
    """Let the instance look for servers that have ended, a few times."""
    checking = coverage.Coverage(directory=world.directory)
    for _ in range(times):
        checking.check()
        await world.settle()
        await asyncio.sleep(0.06)
    checking.check()


def confirm_alone(world: proxy_world.World, name: ids.ServerId) -> None:
    """Let a replica run with the primary's log, and confirm a commit that no other receives."""
    world.group.servers[name].up = True
    world.group.catch_up(world.group.servers[name])
    for server in world.group.servers.values():
        server.not_receiving = server.name not in (name, world.group.primary.name)
    assert world.group.commit(world.group.primary, "confirmed by it alone")


async def change_primary(world: proxy_world.World, times: int = 2) -> None:
    """Let the instance try to change a silent primary."""
    for _ in range(times):
        changing = asyncio.create_task(takeovers.take_over(world, silent=True))
        await asyncio.wait({changing}, timeout=ATTEMPT_LIMIT_S)
        changing.cancel()
        await asyncio.gather(changing, return_exceptions=True)
