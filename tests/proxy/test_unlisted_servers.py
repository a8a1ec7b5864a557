"""Commits that only a server which is not listed yet has confirmed, and the end of the primary."""

import asyncio

import pytest

from mustardswitch.internal import change_log, clock, ids, unlisted_servers
from mustardswitch.proxy import fleet_records, member_records
from mustardswitch_standins import database_group
from tests.common import proxy_world, takeovers

A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
SIZE = f"{fleet_records.SIZES}{database_group.SERVICE}"
SETTLE_S = 0.3
"""Time in which a promotion is requested that waits for nothing."""


def _announce_end_of_primary(world: proxy_world.World) -> None:
    world.group.servers[A].leaving = True
    world.list_servers()


def _lose_replica_before_the_start(world: proxy_world.World) -> None:
    """Let an instance know the list for long that has started after a replica was lost."""
    takeovers.lose_replica(world)
    world.directory.services.clear()
    item = change_log.Item(key=SIZE, value=member_records.encode_size(3), revision=5)
    fleet_records.apply(world.directory, item)
    world.directory.refresh()


def _start_instance_anew(world: proxy_world.World) -> None:
    """Let the instance know the list for a moment only."""
    world.directory.servers.first_read_at_s = clock.now_s()


@pytest.mark.parametrize(
    "prepare",
    [
        takeovers.lose_replica,
        _lose_replica_before_the_start,
        _announce_end_of_primary,
        _start_instance_anew,
    ],
)
async def test_a_primary_that_ends_before_its_only_confirming_server_is_listed_loses_no_commit(
    prepare,
):
    world = proxy_world.World()
    world.service.listing_s = 1.5
    prepare(world)
    started = takeovers.commit_on_unlisted_server(world)
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.sleep(SETTLE_S)
    assert takeovers.requested_successors(world) == []
    world.list_servers()
    assert await changing
    assert world.group.primary is started and world.group.lost == []


async def test_an_instance_that_starts_while_entries_have_lapsed_promotes_no_lagging_replica():
    """All instances had started anew, and knew one replica only, which had not received the last
    commits. The primary and the replica that had confirmed them ran, and were listed later.
    """
    world = proxy_world.World()
    world.service.listing_s = 1.5
    world.group.servers[B].not_receiving = True
    assert world.group.commit(world.group.primary, "x")
    listed = {entry.server: entry for entry in world.group.entries() if entry.server == B}
    world.directory.servers.replace(listed, clock.now_s())
    world.directory.services.clear()
    world.directory.refresh()
    _start_instance_anew(world)
    changing = asyncio.create_task(takeovers.take_over(world, None))
    await asyncio.sleep(SETTLE_S)
    world.list_servers()
    await changing
    assert world.group.lost == []


async def test_a_service_with_all_its_servers_is_not_kept_waiting_for_others():
    world = proxy_world.World()
    world.group.servers[A].up = False
    async with asyncio.timeout(SETTLE_S):
        assert await takeovers.take_over(world, silent=True)


async def test_a_server_that_is_not_listed_in_time_is_not_waited_for_any_longer():
    world = proxy_world.World()
    world.service.listing_s = 0.5
    takeovers.lose_replica(world)
    world.group.servers[A].up = False
    assert await takeovers.take_over(world, silent=True)


def _count(*present: int, recorded: int = 0) -> unlisted_servers.ServerCount:
    count = unlisted_servers.ServerCount()
    count.note_recorded(recorded)
    for moment, number in enumerate(present):
        started_s = 10.0 * moment
        count.note(number, started_s)
        count.note(number, started_s + unlisted_servers.SETTLED_S)
    return count


def test_a_server_that_replaces_a_lost_one_completes_the_service():
    assert _count(2, 3, 2).missing == 1
    assert _count(2, 3, 2, 3).missing == 0


def test_a_server_that_was_lost_before_the_instance_started_is_missing():
    assert _count(2, recorded=3).missing == 1


@pytest.mark.parametrize(
    "count, knows_since_s, store_back_s, executes_nothing_s, may_hold",
    [
        (_count(3, 2), 100.0, 100.0, 1.4, True),
        (_count(3, 2), 100.0, 100.0, 1.5, False),
        (_count(3), 2.4, 100.0, 1.0, True),
        (_count(3), 2.5, 100.0, 1.0, False),
        (_count(3), 1.0, 100.0, 1.5, False),
        (_count(3, recorded=3), 1.0, 100.0, 1.0, False),
        (_count(2, recorded=3), 100.0, 100.0, 1.0, True),
        (_count(3, 2), 100.0, 2.0, 9.0, True),
        (_count(3, 2), 100.0, 2.5, 9.0, False),
        (_count(3), 100.0, 2.0, 9.0, True),
    ],
)
def test_servers_that_started_while_the_primary_executed_are_listed_in_time(
    count, knows_since_s, store_back_s, executes_nothing_s, may_hold
):
    complete = unlisted_servers.is_complete(count, knows_since_s=knows_since_s, listing_s=1.5)
    found = unlisted_servers.may_hold_commits(
        is_complete=complete,
        store_back_s=store_back_s,
        executes_nothing_s=executes_nothing_s,
        listing_s=1.5,
    )
    assert found is may_hold
