"""A replica that lost its entry goes on confirming commits, and may alone hold the latest ones."""

import asyncio

import pytest

from mustardswitch.internal import clock, ids, positions
from mustardswitch.proxy import end_of_commits, member_records, ports, server_list
from mustardswitch_standins import database_group
from tests.common import member_world, proxy_world, takeovers

A, B, C = takeovers.A, takeovers.B, takeovers.C


async def _hand_over_without_an_entry() -> tuple[proxy_world.World, bytes]:
    """Replace a primary that lost its entry; returns what its instance records afterwards."""
    world = proxy_world.World()
    takeovers.lose_entry(world, A, silent_s=server_list.EXPIRY_SILENCE_S)
    world.service.note_not_leading(A, query_sent_at_s=clock.now_s())
    world.group.promote(B)
    takeovers.expire_entry(world, A)
    return world, member_records.encode(member_records.counted_entries(world.service))


def _commit_on_replica_without_an_entry(group: database_group.Group) -> None:
    """Let the former primary alone confirm a commit, and the primary go dark."""
    group.servers[C].not_receiving = True
    assert group.commit(group.servers[B], "confirmed without an entry")
    group.servers[B].silent = True


def _start_instance(group: database_group.Group, recorded: bytes) -> member_world.MemberWorld:
    """Start an instance that sees the entry of one replica only, and reads the record."""
    world = member_world.MemberWorld(listed={C}, value=recorded, group=group)
    world.service.server_count.note_recorded(3)
    return world


async def _attempt(world: proxy_world.World, primary: ids.ServerId | None = None) -> None:
    """Let a holder try to change a silent primary, for as long as a claim is renewed."""
    changing = asyncio.create_task(takeovers.take_over(world, primary, silent=True))
    await asyncio.wait({changing}, timeout=12.0)
    changing.cancel()
    await asyncio.gather(changing, return_exceptions=True)


@pytest.mark.parametrize("age_s", [0.0, 120.0], ids=["at_once", "two_minutes_later"])
async def test_a_former_primary_without_an_entry_stays_recorded(monkeypatch, age_s):
    world, _ = await _hand_over_without_an_entry()
    now_s = clock.now_s
    monkeypatch.setattr(clock, "now_s", lambda: now_s() + age_s)
    recorded = {entry.server for entry in member_records.counted_entries(world.service)}
    assert recorded == {A, B, C}


async def test_an_instance_that_starts_promotes_no_server_that_lacks_what_it_confirmed():
    earlier, recorded = await _hand_over_without_an_entry()
    _commit_on_replica_without_an_entry(earlier.group)
    world = _start_instance(earlier.group, recorded)
    await _attempt(world)
    assert world.group.lost == []


async def test_it_is_promoted_once_the_primary_is_gone():
    earlier, recorded = await _hand_over_without_an_entry()
    _commit_on_replica_without_an_entry(earlier.group)
    world = _start_instance(earlier.group, recorded)
    for _ in range(3):
        await _attempt(world)
    assert earlier.group.primary is earlier.group.servers[A]


async def test_acknowledged_commits_that_no_server_in_reach_has_are_not_given_up(monkeypatch):
    """The primary is silent for longer than any bound; the server that has them is cut off."""
    monkeypatch.setattr(end_of_commits, "PAUSE_TIMEOUT_S", 0.2)
    world = proxy_world.World()
    world.group.servers[B].not_receiving = True
    above = world.group.primary.position
    assert world.group.commit(world.group.primary, "held by a server out of reach")
    takeovers.cut_off(world)
    world.group.servers[C].silent = True
    takeovers.expire_entry(world, C)
    world.service.unlisted.pop(C, None)
    world.coordination.hold_report = ports.HoldReport(
        complete=True, above=positions.Position(term=above.term, offset=above.offset)
    )
    for _ in range(2):
        await _attempt(world, A)
    assert world.group.lost == []
