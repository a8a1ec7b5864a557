"""Servers whose entries expired before an instance started, as the record of members names them."""

import asyncio
import dataclasses
import json

import pytest

from mustardswitch.internal import clock, former_primary, ids, promotion, revisions
from mustardswitch.proxy import (
    errors,
    failover_watch,
    member_records,
    ports,
    requests,
    server_list,
    unlisted,
)
from mustardswitch_standins import database_group
from tests.common import builders, member_world, platform_records, proxy_world, takeovers

A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
ORDERS = ids.ServiceName("orders")
ENTRY = ports.ServerEntry(
    server=A,
    service=ORDERS,
    host="10.0.0.1",
    port=8080,
    zone=ids.ZoneName("a"),
    slots=3,
    leaving=True,
    role=promotion.Role.PRIMARY,
    started_ms=1700000000000,
)
OTHER_ENTRY = dataclasses.replace(
    ENTRY, server=B, leaving=False, role=promotion.Role.REPLICA, host="::1"
)
ODD_FIELDS = {
    "server": ["", "a b", "a\r\nb", "\ud800", "x" * 201, 5, None],
    "host": ["", "localhost", "10.0.0.1:80", 5, None],
    "port": [0, -1, 65536, 10**30, True, "80", 1.5, None],
    "zone": ["", "\ud800", 5, None],
    "slots": [0, -1, 10**30, True, "3", None],
    "started_ms": [-1, 10**30, 1.5, True, "0", None],
    "role": ["leader", "", 5, None, []],
    "leaving": [0, 1, "no", None],
}
"""Values that no instance writes, by field."""


# Codec


def test_members_are_read_as_they_were_written():
    decoded = member_records.decode(ORDERS, member_records.encode([OTHER_ENTRY, ENTRY]))
    assert decoded == (ENTRY, OTHER_ENTRY)


def test_a_record_without_members_is_sound():
    assert member_records.decode(ORDERS, member_records.encode([])) == ()


@pytest.mark.parametrize("field", ODD_FIELDS)
def test_a_member_with_an_odd_field_is_rejected(field):
    sound = json.loads(member_records.encode([ENTRY]))[0]
    for value in ODD_FIELDS[field]:
        with pytest.raises(errors.FleetRecordError):
            member_records.decode(ORDERS, json.dumps([{**sound, field: value}]).encode())
    del sound[field]
    with pytest.raises(errors.FleetRecordError):
        member_records.decode(ORDERS, json.dumps([sound]).encode())


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"{}",
        b"null",
        b"[5]",
        b"[[]]",
        platform_records.DEEP_NESTING,
        b"[" * 50_000,
        b"[" + b" " * 70_000 + b"]",
        member_records.encode([ENTRY, ENTRY]),
    ],
)
def test_a_record_that_is_no_list_of_members_is_rejected(value):
    with pytest.raises(errors.FleetRecordError):
        member_records.decode(ORDERS, value)


def test_a_record_is_bounded_and_keeps_the_primary():
    many = [
        dataclasses.replace(OTHER_ENTRY, server=ids.ServerId(f"i-{number:0>190}"))
        for number in range(1000)
    ]
    value = member_records.encode([*many, ENTRY])
    decoded = member_records.decode(ORDERS, value)
    assert len(decoded) == member_records.MAX_MEMBERS
    assert decoded[0] == ENTRY


# What an instance learns from a record


async def test_recorded_members_that_are_not_listed_count_and_serve_no_callers():
    world = member_world.MemberWorld(listed=[C])
    assert set(world.service.servers) == {C}
    assert set(world.service.servers_with_commits()) == {A, B, C}
    assert set(world.service.known_servers()) == {A, B, C}


async def test_the_entry_of_a_recorded_member_is_gone_since_this_instance_learned_of_it(
    monkeypatch,
):
    """It counted as gone for ever, so its silence for 3 s sufficed as an end."""
    world = member_world.MemberWorld(listed=[C])
    start_s = clock.now_s()
    assert world.service.unlisted_s(A) < 1.0
    monkeypatch.setattr(clock, "now_s", lambda: start_s + 5.0)
    assert world.service.unlisted_s(A) == pytest.approx(5.0, abs=1.0)
    assert world.service.unlisted_s(C) == 0.0


async def test_a_recorded_member_that_leaves_counts():
    world = member_world.MemberWorld(listed=[C])
    leaving = dataclasses.replace(OTHER_ENTRY, server=ids.ServerId("i-leaving"), leaving=True)
    world.record(member_records.encode([leaving]), revision=6)
    world.directory.refresh()
    assert leaving.server in world.service.servers_with_commits()


async def test_a_member_that_is_listed_later_replaces_what_the_record_told():
    world = member_world.MemberWorld(listed=[C])
    world.listed |= {A}
    world.list_servers()
    assert set(world.service.servers) == {A, C}
    assert set(world.service.unlisted) == {B}


async def test_recorded_members_count_however_long_they_are_silent(monkeypatch):
    """They counted for six seconds, and were forgotten after a minute."""
    world = member_world.MemberWorld(listed=[C])
    start_s = clock.now_s()
    monkeypatch.setattr(clock, "now_s", lambda: start_s + 3600.0)
    world.directory.refresh()
    assert set(world.service.possible_holders()) == {A, B, C}
    world.group.promote(C)
    world.list_servers()
    assert set(world.service.possible_holders()) == {A, B, C}


@pytest.mark.parametrize("forgotten", [False, True], ids=["missing", "forgotten"])
async def test_a_member_counts_no_more_once_a_record_tells_that_it_is_forgotten(forgotten):
    """A record without it may be of an instance that does not know it."""
    world = member_world.MemberWorld(listed=[C])
    entries = {each.server: each for each in world.group.entries()}
    told = [unlisted.member_of(entries.pop(B))] if forgotten else []
    entries.pop(B, None)
    world.record(member_records.encode(entries.values(), forgotten=told), revision=6)
    world.directory.refresh()
    assert set(world.service.possible_holders()) == ({A, C} if forgotten else {A, B, C})


@pytest.mark.parametrize(
    "odd", [[5], ["x"], [" 5"], ["x 9999999999999999"], [None], [["x 5"]], 5, None, "x 5"]
)
def test_a_record_with_odd_forgotten_members_is_rejected(odd):
    record = json.loads(member_records.encode([ENTRY]))
    record[0]["forgotten"] = odd
    with pytest.raises(errors.FleetRecordError):
        member_records.decode_record(ORDERS, json.dumps(record).encode(), revision=1)


async def test_a_member_that_a_record_names_again_counts_again():
    world = member_world.MemberWorld(listed=[C])
    entries = [each for each in world.group.entries() if each.server != B]
    told = [unlisted.member_of(each) for each in world.group.entries() if each.server == B]
    world.record(member_records.encode(entries, forgotten=told), revision=6)
    world.directory.refresh()
    assert set(world.service.possible_holders()) == {A, C}
    world.record(member_records.encode(world.group.entries()), revision=7)
    world.directory.refresh()
    assert set(world.service.possible_holders()) == {A, B, C}


async def test_a_member_that_a_record_of_an_earlier_build_does_not_name_still_counts():
    """Instances of that build drop servers after some seconds without an entry."""
    world = member_world.MemberWorld(listed=[C])
    entries = [each for each in world.group.entries() if each.server != B]
    record = json.loads(member_records.encode(entries))
    for each in record:
        del each["covered"]
    world.record(json.dumps(record).encode(), revision=6)
    world.directory.refresh()
    assert set(world.service.possible_holders()) == {A, B, C}


async def test_a_member_that_the_record_of_a_restored_store_does_not_name_still_counts():
    """The copy may be older than the server's first entry."""
    world = member_world.MemberWorld(listed=[C])
    entries = [each for each in world.group.entries() if each.server != B]
    restored = revisions.join(era=1, number=6)
    world.record(member_records.encode(entries), revision=restored)
    world.directory.refresh()
    assert set(world.service.possible_holders()) == {A, B, C}


async def test_what_a_record_tells_of_covered_members_is_kept():
    world = member_world.MemberWorld(listed=[C])
    entries = world.group.entries()
    end = builders.position(1, 7)
    covered = {unlisted.member_of(each): end for each in entries if each.server == B}
    world.record(member_records.encode(entries, covered=covered), revision=6)
    world.directory.refresh()
    assert world.service.covered_end(B) == end
    assert world.service.covered_end(A) is None


async def test_a_member_that_runs_again_is_covered_no_more_until_it_is_found_ended_again():
    world = member_world.MemberWorld(listed=[C])
    entries = world.group.entries()
    covered = {unlisted.member_of(each): builders.position(1, 7) for each in entries}
    world.record(member_records.encode(entries, covered=covered), revision=6)
    world.directory.refresh()
    world.service.note_running(world.service.unlisted[B].backend)
    assert world.service.covered_end(B) is None
    # Another instance writes the record, and does not know of it.
    world.record(member_records.encode(entries, covered=covered), revision=7)
    world.directory.refresh()
    assert world.service.covered_end(B) is None
    assert unlisted.member_of(world.service.unlisted[B].backend.entry) not in (
        member_records.covered_members(world.service, entries)
    )


@pytest.mark.parametrize("odd", [True, 5, "x", [], {}])
def test_a_member_with_an_odd_covered_position_is_rejected(odd):
    record = json.loads(member_records.encode([ENTRY]))
    record[0]["covered"] = odd or "-"
    with pytest.raises(errors.FleetRecordError):
        member_records.decode_record(ORDERS, json.dumps(record).encode(), revision=1)


async def test_a_server_that_was_listed_and_left_is_not_taken_from_the_record():
    world = member_world.MemberWorld(listed=[A, B, C])
    world.group.servers[C].leaving = True
    world.list_servers()
    world.listed -= {C}
    world.list_servers()
    assert set(world.service.known_servers()) == {A, B}


async def test_a_member_that_started_anew_is_another_one():
    world = member_world.MemberWorld(listed=[A, B, C])
    world.group.servers[C].leaving = True
    world.list_servers()
    world.listed -= {C}
    world.list_servers()
    again = next(each for each in world.group.entries() if each.server == C)
    again = dataclasses.replace(again, started_ms=again.started_ms + 1)
    world.record(member_records.encode([again]), revision=6)
    world.directory.refresh()
    assert set(world.service.servers_with_commits()) == {A, B, C}


async def test_an_odd_record_names_no_member_and_keeps_its_revision_for_the_next_write():
    world = member_world.MemberWorld(listed=[C])
    with pytest.raises(errors.FleetRecordError):
        world.record(b"[5]", revision=6)
    assert world.directory.members.record(database_group.SERVICE) == member_records.MemberRecord(
        revision=6
    )
    world.record(None, revision=7)
    record = world.directory.members.record(database_group.SERVICE)
    assert record == member_records.NO_RECORD


# Changes of primary


async def test_a_former_primary_that_leads_on_is_not_replaced_while_its_entry_is_missing():
    world = member_world.MemberWorld(listed=[C])
    await takeovers.take_over(world, primary=None)
    assert world.promoter.promotion_requests == []
    assert world.coordination.promotions == {}
    assert world.coordination.claimed == set()
    assert not any(each.paused_term for each in world.group.servers.values())


async def test_writes_go_on_once_the_entry_of_a_former_primary_is_back():
    world = member_world.MemberWorld(listed=[C])
    watching = asyncio.create_task(world.watch.run())
    caller = world.open_session(requests.RouteKind.PRIMARY)
    try:
        await asyncio.sleep(2 * failover_watch.RETRY_S)
        assert world.coordination.released
        world.listed |= {A}
        world.list_servers()
        answer = await world.run(caller, proxy_world.WRITE)
    finally:
        watching.cancel()
    assert answer.succeeded
    assert world.promoter.promotion_requests == []


async def test_attempts_that_find_a_primary_that_is_not_listed_are_spaced_out():
    world = member_world.MemberWorld(listed=[C])
    watching = asyncio.create_task(world.watch.run())
    await asyncio.sleep(2.0)
    watching.cancel()
    assert 1 <= len(world.coordination.released) <= 3


async def test_a_primary_that_stays_unlisted_is_stopped_and_replaced(monkeypatch):
    world = member_world.MemberWorld(listed=[B, C])
    now_s = clock.now_s
    await takeovers.take_over(world, primary=None)
    late_s = unlisted.RECENT_S + 0.1
    monkeypatch.setattr(clock, "now_s", lambda: now_s() + late_s)
    world.group.commit(world.group.servers[A], "latest")
    assert await takeovers.take_over(world, primary=None)
    assert world.group.primary in (world.group.servers[B], world.group.servers[C])
    assert world.group.lost == []


async def test_no_server_is_promoted_while_a_recorded_member_gives_no_answer():
    world = member_world.MemberWorld(listed=[C])
    world.group.servers[A].up = False
    world.group.servers[B].silent = True
    assert not await takeovers.take_over(world, primary=None)
    assert world.promoter.promotion_requests == []


async def test_the_recorded_member_with_the_latest_commit_is_promoted():
    world = member_world.MemberWorld(listed=[C])
    world.group.servers[C].not_receiving = True
    world.group.commit(world.group.servers[A], "latest")
    world.group.servers[A].up = False
    # The former primary has not answered for as long as it counts.
    del world.service.unlisted[A]
    assert await takeovers.take_over(world, primary=None)
    assert world.group.primary is world.group.servers[B]
    assert world.group.lost == []


async def _change_while_a_commit_waits(world: member_world.MemberWorld) -> None:
    """Change the primary; the former one runs and executes a commit that it had received.

    Another instance hears from it. A server that is not listed yet confirms the commit.
    """
    world.group.start_server(zone="d")
    world.group.servers[A].silent = True
    heard = former_primary.Report(answered_s=0.1, connected_s=0.1)
    other = ids.InstanceId("two")
    world.coordination.hold_report = ports.HoldReport(
        complete=True, instances=frozenset({other}), primary_reports={other: heard}
    )
    world.promoter.effect_delay_s = 0.3
    changing = asyncio.create_task(takeovers.take_over(world, primary=None))
    ends_s = clock.now_s() + 2.0
    while clock.now_s() < ends_s and not world.promoter.promotion_requests:
        await asyncio.sleep(0.01)
    world.group.commit(world.group.servers[A], "waiting")
    await asyncio.wait({changing}, timeout=0.5)
    changing.cancel()
    await asyncio.gather(changing, return_exceptions=True)


async def test_a_former_primary_that_only_the_record_names_and_that_runs_loses_no_commit():
    world = member_world.MemberWorld(listed=[B, C])
    # It has not answered this instance for as long as it counts.
    del world.service.unlisted[A]
    await _change_while_a_commit_waits(world)
    assert world.group.lost == []


async def test_a_primary_whose_entry_expired_before_the_holder_started_loses_no_commit():
    """The instances that had seen it listed wrote the record without it."""
    earlier = proxy_world.World()
    takeovers.lose_entry(earlier, A, silent_s=server_list.EXPIRY_SILENCE_S)
    recorded = member_records.encode(member_records.counted_entries(earlier.service))
    world = member_world.MemberWorld(listed=[B, C], value=recorded)
    world.service.unlisted.pop(A, None)
    await _change_while_a_commit_waits(world)
    assert world.group.lost == []


async def test_a_former_primary_stays_recorded_as_a_replica_when_another_server_leads():
    """It may go on without an entry, and confirm the commits of its successor."""
    world = proxy_world.World()
    takeovers.lose_entry(world, A, silent_s=server_list.EXPIRY_SILENCE_S)
    recorded = {entry.server for entry in member_records.counted_entries(world.service)}
    assert recorded == {A, B, C}
    world.group.promote(B)
    takeovers.expire_entry(world, A)
    entries = member_records.counted_entries(world.service)
    assert {entry.server for entry in entries} == {A, B, C}
    assert member_records.primaries(entries) == {B}


async def test_a_former_primary_that_has_left_is_not_recorded():
    world = proxy_world.World()
    world.group.servers[A].leaving = True
    world.list_servers()
    takeovers.expire_entry(world, A)
    recorded = {entry.server for entry in member_records.counted_entries(world.service)}
    assert recorded == {B, C}
