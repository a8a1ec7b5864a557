"""Servers that confirmed commits alone, and have ended, or are not known, by the next change."""

import contextlib

import pytest

from mustardswitch.internal import acknowledged_end, clock, positions, promotion
from mustardswitch.peers import datagrams
from mustardswitch.proxy import acknowledged_ends, coverage, member_records, ports, server_list
from tests.common import member_world, proxy_world, takeovers

A, B, C = takeovers.A, takeovers.B, takeovers.C


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    monkeypatch.setattr(coverage, "RETRY_S", 0.05)


async def _cover_without_entry(world: proxy_world.World) -> coverage.Coverage:
    """Let a replica lose its entry and end; another one has all commits."""
    world.directory.instances.first_read_at_s = clock.now_s()
    world.group.servers[C].up = False
    takeovers.lose_entry(world, C, silent_s=server_list.EXPIRY_SILENCE_S)
    checking = coverage.Coverage(directory=world.directory)
    checking.check()
    await world.settle()
    assert [server for server, _ in world.service.covered.ends] == [C]
    return checking


def _confirm_alone(world: proxy_world.World) -> None:
    """Let a replica run again, without an entry, and alone confirm a commit."""
    world.group.servers[C].up = True
    world.group.catch_up(world.group.servers[C])
    for server in world.group.servers.values():
        server.not_receiving = server.name not in (A, C)
    assert world.group.commit(world.group.primary, "confirmed by it alone")


def _start_instance(world: proxy_world.World) -> member_world.MemberWorld:
    """Start an instance that knows what the store tells."""
    counted = member_records.counted_entries(world.service)
    recorded = member_records.encode(
        counted, covered=member_records.covered_members(world.service, counted)
    )
    started = member_world.MemberWorld(listed={A, B}, value=recorded, group=world.group)
    started.service.server_count.note_recorded(2)
    return started


async def test_a_covered_server_that_ran_again_and_ended_again_loses_no_commit():
    """It may come back with the commit."""
    world = proxy_world.World()
    await _cover_without_entry(world)
    _confirm_alone(world)
    world.group.servers[C].up = world.group.servers[A].up = False
    await takeovers.take_over(_start_instance(world))
    assert world.group.lost == []


async def test_a_covered_server_that_was_replaced_and_runs_again_loses_no_commit():
    """It is cut off from the store only, and runs at the change of primary."""
    world = proxy_world.World()
    checking = await _cover_without_entry(world)
    world.group.start_server(zone="d")
    takeovers.expire_entry(world, C)
    member_world.note_recorded(world)
    checking.check()
    assert C not in world.service.possible_holders()
    _confirm_alone(world)
    world.group.servers[A].up = False
    await takeovers.take_over(world)
    assert world.group.lost == []


async def test_a_replica_that_confirmed_alone_and_left_loses_no_commit():
    """The primary crashes, and may come back with the commit; no other replica has received it."""
    world = proxy_world.World()
    world.group.servers[B].not_receiving = True
    world.group.servers[C].leaving = True
    world.list_servers()
    assert world.group.commit(world.group.primary, "confirmed by it alone")
    world.group.servers[C].up = False
    takeovers.expire_entry(world, C)
    world.group.servers[A].up = False
    await takeovers.take_over(_start_instance(world))
    assert world.group.lost == []


async def test_a_stale_primary_that_confirmed_as_a_replica_and_ended_loses_no_commit():
    """The holder reads of its successor, which has started anew, during the change only."""
    world = proxy_world.World()
    world.group.promote(C)
    world.group.servers[B].not_receiving = True
    assert world.group.commit(world.group.primary, "confirmed by it alone")
    successor, former = world.group.servers[C], world.group.servers[A]
    successor.log, successor.role = [], promotion.Role.REPLICA
    successor.born_ms += 1
    former.up = False

    async def list_servers() -> None:
        world.list_servers()

    world.coordination.refresh_servers = list_servers
    await takeovers.take_over(world, A, silent=True)
    assert world.group.lost == []


async def test_a_commit_whose_answer_reached_no_instance_is_not_lost():
    """It was acknowledged as a replica received it; that replica gives no answer now."""
    world = proxy_world.World()
    world.group.servers[C].not_receiving = True
    before = world.group.primary.position
    assert _end_of_one_instance(world, before) == before
    assert world.group.commit(world.group.primary, "not answered")
    with contextlib.suppress(ConnectionError), world.service.commits.tracking(object(), A):
        raise ConnectionError
    world.coordination.hold_report = ports.HoldReport(
        complete=True, acknowledged_end=_end_of_one_instance(world, before)
    )
    world.group.servers[B].silent, world.group.servers[A].up = True, False
    await takeovers.take_over(world, silent=True)
    assert world.group.lost == []


def _end_of_one_instance(
    world: proxy_world.World, shown: positions.Position
) -> positions.Position | None:
    """Return the end that an instance finds that has run alone, and queried the primary."""
    now_s = clock.now_s()
    for at_s in (now_s - 2 * acknowledged_end.DROPPED_S, now_s - 0.5):
        sample = acknowledged_end.Sample(sent_after_s=at_s, answered_by_s=at_s, position=shown)
        world.service.samples.note(sample)
    world.directory.instances.first_read_at_s = now_s - 60.0
    world.directory.permission.started_s = now_s - 60.0
    world.directory.permission.note_current(now_s)
    ends = acknowledged_ends.AcknowledgedEnds(directory=world.directory)
    ends.watched_since_s, ends.checked_at_s = now_s - 60.0, now_s
    promoted = datagrams.RecordedPromotion(service=world.service.name, server=C, revision=1)
    return ends.find(promoted, instances=())
