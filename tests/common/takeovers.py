"""Changes of primary by one instance in front of the in-memory group."""

import asyncio

from mustardswitch.internal import clock, ids
from mustardswitch.proxy import claimed_changes
from mustardswitch_standins import database_group
from tests.common import proxy_world

A = ids.ServerId("server-a")
"""The first primary."""
B, C = ids.ServerId("server-b"), ids.ServerId("server-c")


async def take_over(
    world: proxy_world.World, primary: ids.ServerId | None = A, *, silent: bool = False
) -> bool:
    """Change the primary under a claim; returns whether another server leads."""
    return await claimed_changes.run_claimed(
        target=world.service,
        coordination=world.coordination,
        promoter=world.promoter,
        primary=primary,
        silent=silent,
    )


def expire_entry(world: proxy_world.World, server: ids.ServerId) -> None:
    """List all servers but one."""
    world.directory.servers.replace(
        {entry.server: entry for entry in world.group.entries() if entry.server != server},
        clock.now_s(),
    )
    world.directory.refresh()


def lose_replica(world: proxy_world.World) -> None:
    """End a replica for good, long ago."""
    del world.group.servers[C]
    world.list_servers()
    world.service.unlisted.clear()


def commit_on_unlisted_server(world: proxy_world.World) -> database_group.FakeServer:
    """Let a server that has started confirm a commit that the listed replicas lack.

    The primary ends then.
    """
    started = world.group.start_server(zone="d")
    for name in {B, C} & world.group.servers.keys():
        world.group.servers[name].not_receiving = True
    assert world.group.commit(world.group.primary, "x")
    world.group.servers[A].up = False
    return started


def cut_off(world: proxy_world.World, server: ids.ServerId = A) -> None:
    """Let a server reach nobody for long: it gives no answer, and its entry expires."""
    contacts = world.service.servers[server].contacts
    contacts.at_s, contacts.since_s = {}, float("-inf")
    world.group.servers[server].silent = True
    world.directory.servers.remove(server, clock.now_s())
    world.directory.refresh()


def lose_entry(world: proxy_world.World, server: ids.ServerId, *, silent_s: float) -> None:
    """Remove an entry some time after it was written last."""
    world.service.servers[server].entry_written_at_s -= silent_s
    expire_entry(world, server)


async def hand_over_slowly(
    world: proxy_world.World, *, silent: bool = False
) -> tuple[asyncio.Task, ids.ServerId]:
    """Start to replace a primary; returns once the promotion of another was requested.

    The primary leaves, or with ``silent`` it is cut off from this instance and from the store.
    """
    world.group.servers[A].leaving = not silent
    world.list_servers()
    if silent:
        cut_off(world)
    world.promoter.effect_delay_s = 0.6
    changing = asyncio.create_task(take_over(world, silent=silent))
    while not requested_successors(world):
        await asyncio.sleep(0.01)
    return changing, requested_successors(world)[0]


def requested_successors(world: proxy_world.World) -> list[ids.ServerId]:
    """Return the servers whose promotion was requested, without requests for the first primary.

    Those change nothing, and void the requests of earlier claims.
    """
    return [server for server, _ in world.promoter.promotion_requests if server != A]


def another_leads(world: proxy_world.World) -> bool:
    """Return whether another server than the first primary leads; none does during a change."""
    return world.group.primary is not None and world.group.primary.name != A


async def watch_until(world: proxy_world.World, reached, limit_s: float = 4.0) -> None:
    """Run the watch until a condition holds; fails if it does not in time."""
    watching = asyncio.create_task(world.watch.run())
    try:
        started_s = clock.now_s()
        while not reached() and clock.now_s() - started_s < limit_s:
            await asyncio.sleep(0.02)
        assert reached()
    finally:
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)
