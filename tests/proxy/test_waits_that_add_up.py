"""Times without a primary that grow by waits which no server can end."""

import asyncio

import pytest

from mustardswitch.internal import change_log, clock, former_primary, ids
from mustardswitch.proxy import fleet_records, member_records, ports, takeover
from mustardswitch_standins import database_group
from tests.common import proxy_world, takeovers

A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
SLACK_S = 0.4
"""Time of a change that waits for nothing, and of its queries."""


def _start_instance_anew(
    world: proxy_world.World, entries: list[ports.ServerEntry], *, servers: int
) -> None:
    """Let the instance know what the records tell, and what is listed."""
    world.directory.services.clear()
    world.directory.members = member_records.MemberBook()
    records = {
        fleet_records.MEMBERS: member_records.encode(entries),
        fleet_records.SIZES: member_records.encode_size(servers),
    }
    for revision, (prefix, value) in enumerate(records.items(), start=5):
        item = change_log.Item(
            key=f"{prefix}{database_group.SERVICE}", value=value, revision=revision
        )
        fleet_records.apply(world.directory, item)
    world.directory.refresh()


async def test_a_stopped_primary_that_answers_needs_no_wait_for_unlisted_servers():
    """The next holder finds it as a replica, with its whole log, and its end is recorded."""
    world = proxy_world.World()
    world.service.listing_s = 1.5
    world.group.servers[A].leaving = True
    assert world.group.commit(world.group.primary, "x")
    end = world.group.servers[A].position
    world.group.step_down(world.group.servers[A], 2)
    world.coordination.ends[database_group.SERVICE] = ports.StoppedPrimary(server=A, end=end)
    world.list_servers()
    started_s = clock.now_s()
    assert await takeovers.take_over(world)
    assert clock.now_s() - started_s < SLACK_S and world.group.lost == []


def _crash(world: proxy_world.World) -> None:
    world.group.servers[A].up = False


@pytest.mark.parametrize("end_primary", [_crash, takeovers.cut_off])
async def test_a_missing_server_prolongs_a_change_by_no_more_than_it_needs_to_be_listed(
    end_primary,
):
    world = proxy_world.World()
    takeovers.lose_replica(world)
    end_primary(world)
    started_s = clock.now_s()
    assert await takeovers.take_over(world, silent=True)
    waited_s = clock.now_s() - started_s
    assert world.service.listing_s <= waited_s < world.service.listing_s + SLACK_S


async def test_an_instance_that_starts_after_a_crash_does_not_prolong_the_wait():
    """It has never heard the primary, and reports how long it has run."""
    world = proxy_world.World()
    world.service.listing_s = 1.0
    takeovers.lose_replica(world)
    world.group.servers[A].up = False
    started_s = clock.now_s()

    def report(*_: object, **__: object) -> ports.HoldReport:
        age_s = clock.now_s() - started_s - 0.8
        known = former_primary.Report(answered_s=age_s, connected_s=age_s, refused_s=0.0)
        return ports.HoldReport(
            complete=True,
            instances=frozenset({ids.InstanceId("two")}),
            primary_reports={ids.InstanceId("two"): known} if age_s > 0 else {},
        )

    world.coordination.hold_commits = report
    assert await takeovers.take_over(world, silent=True)
    assert clock.now_s() - started_s < world.service.listing_s + SLACK_S


async def test_an_instance_that_starts_after_a_crash_expects_no_answer_from_the_crashed_primary():
    """It is a recorded member, its entry has expired, and its address refuses connections."""
    world = proxy_world.World()
    takeovers.expire_entry(world, A)
    recorded = member_records.counted_entries(world.service)
    world.group.servers[A].up = False
    _start_instance_anew(world, recorded, servers=3)
    assert world.service.former_primary.server == A
    # Only an answer of the primary would be waited for.
    world.service.listing_s = 0.0
    async with asyncio.timeout(SLACK_S):
        assert await takeovers.take_over(world, None)


async def test_waits_without_a_known_former_primary_do_not_start_anew_with_each_attempt(
    monkeypatch,
):
    """The instances have started after the primary had left, and one server is missing."""
    monkeypatch.setattr(takeover, "RENEWAL_LIMIT_S", 0.6)
    monkeypatch.setattr(takeover, "CLAIM_RENEWAL_S", 0.1)
    world = proxy_world.World()
    world.coordination.claim_s = 1.0
    for name in (A, C):
        world.group.servers[name].up = False
    del world.group.servers[C]
    takeovers.expire_entry(world, A)
    _start_instance_anew(world, [], servers=3)
    assert world.service.former_primary is None
    world.service.listing_s = 1.5
    started_s = clock.now_s()
    while not await takeovers.take_over(world, None):
        assert clock.now_s() - started_s < 2 * world.service.listing_s
    assert clock.now_s() - started_s < 2 * world.service.listing_s


async def test_a_recorded_server_that_lags_is_paused_once_another_has_all_acknowledged_commits():
    """It was left to receive what nobody sent it, so that no other could be chosen."""
    world = proxy_world.World()
    takeovers.lose_replica(world)
    lagging = world.group.servers[B]
    started = world.group.start_server(zone="d")
    above = lagging.position
    lagging.not_receiving = True
    assert world.group.commit(world.group.primary, "x")
    world.group.servers[A].up = False
    world.coordination.hold_commits = lambda *args, **changes: ports.HoldReport(
        complete=True, above=above
    )
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.sleep(SLACK_S)
    world.list_servers()
    async with asyncio.timeout(SLACK_S):
        assert await changing
    assert world.group.primary is started and world.group.lost == []


async def test_a_stopped_primary_is_promoted_itself_beside_a_server_that_ended():
    """It has all that was acknowledged; the server that ended cannot be covered without it."""
    world = proxy_world.World()
    group = world.group
    assert group.commit(group.primary, "received by all")
    group.servers[C].up = False
    takeovers.expire_entry(world, C)
    group.servers[B].not_receiving = True
    group.commit(group.servers[A], "received by none")
    end = group.servers[A].position
    group.step_down(group.servers[A], 2)
    world.coordination.ends[database_group.SERVICE] = ports.StoppedPrimary(server=A, end=end)
    assert await takeovers.take_over(world)
    assert group.primary is group.servers[A]


async def test_a_primary_without_an_entry_is_promoted_again_once_it_was_stopped():
    """It answers only after a while, and no replica has its end."""
    world = proxy_world.World()
    group = world.group
    assert group.commit(group.primary, "received by all")
    group.servers[C].up = False
    group.servers[B].not_receiving = True
    group.commit(group.servers[A], "received by none")
    group.servers[A].silent = True
    world.directory.servers.replace(
        {each.server: each for each in group.entries() if each.server == B}, clock.now_s()
    )
    world.directory.refresh()
    changing = asyncio.create_task(takeovers.take_over(world, None))
    await asyncio.sleep(0.8)
    group.servers[A].silent = False
    async with asyncio.timeout(6.0):
        await changing
    assert group.primary is group.servers[A]


async def test_a_stopped_primary_proves_nothing_once_another_server_may_have_led():
    """The promotion of another one was requested, and may have taken effect in between."""
    world = proxy_world.World()
    group = world.group
    group.servers[C].up = False
    takeovers.expire_entry(world, C)
    end = group.servers[A].position
    group.step_down(group.servers[A], 2)
    world.coordination.ends[database_group.SERVICE] = ports.StoppedPrimary(server=A, end=end)
    world.coordination.promotions[database_group.SERVICE] = B
    changing = asyncio.create_task(takeovers.take_over(world))
    await asyncio.wait({changing}, timeout=3.0)
    changing.cancel()
    await asyncio.gather(changing, return_exceptions=True)
    assert world.promoter.promotion_requests == []
