"""Servers that are taken for ended, or for left, and run; and promotions that callers wait for."""

import dataclasses
import json

import pytest

from mustardswitch.internal import clock, ids, positions, revisions, server_contact
from mustardswitch.proxy import (
    coverage,
    directory,
    member_records,
    ports,
    routes,
    server_list,
    unlisted,
)
from mustardswitch_standins import database_group
from tests.common import coverage_world, member_world, proxy_world, takeovers

A, B, C = takeovers.A, takeovers.B, takeovers.C


@pytest.fixture
def world(monkeypatch):
    return coverage_world.build(monkeypatch)


async def test_a_listed_server_that_was_covered_and_runs_again_is_waited_for(world):
    """It starts again before its entry expires, while the store is down, for instance."""
    assert world.group.commit(world.group.primary, "before its end")
    world.group.servers[C].up = False
    await world.service.probe(world.service.servers[C])
    await coverage_world.check(world)
    assert world.service.covered_end(C) is not None
    coverage_world.confirm_alone(world, C)
    await world.service.probe(world.service.servers[C])
    await coverage_world.check(world)
    world.group.servers[C].up = False
    world.group.servers[A].up = False
    await coverage_world.change_primary(world)
    assert world.group.lost == []


async def test_a_listed_server_is_promoted_rather_than_one_without_an_entry(world):
    """One without an entry serves no callers until it is listed, or replaced."""
    assert world.group.commit(world.group.primary, "received by all")
    takeovers.lose_entry(world, C, silent_s=server_list.EXPIRY_SILENCE_S)
    world.group.servers[A].up = False
    assert await takeovers.take_over(world)
    assert world.group.primary is world.group.servers[B]


async def test_a_server_that_has_answered_is_kept_although_another_instance_dropped_it():
    """That one had found it ended, and covered, and none missing."""
    world = member_world.MemberWorld(listed=[A, B])
    assert C in world.service.possible_holders()
    world.directory.members.seed(world.service)
    backend = world.service.unlisted[C].backend
    world.service.covered.add(unlisted.member_of(backend.entry), positions.ORIGIN)
    world.service.note_running(backend)
    without = [each for each in world.group.entries() if each.server != C]
    world.record(member_records.encode(without), revision=6)
    world.directory.members.seed(world.service)
    assert C in world.service.possible_holders()


def _encode_as_before(entries) -> bytes:
    """Encode a record as builds do that have no covered servers."""
    record = json.loads(member_records.encode(entries))
    for each in record:
        del each["covered"]
    return json.dumps(record).encode()


async def test_a_record_by_an_instance_that_learned_from_an_earlier_build_drops_no_member():
    """The earlier build drops a server after seconds; one that starts then has never known it."""
    world = member_world.MemberWorld(listed=[A, B])
    world.directory.members.seed(world.service)
    without = [each for each in world.group.entries() if each.server != C]
    world.record(_encode_as_before(without), revision=6)
    world.directory.members.seed(world.service)
    assert C in world.service.possible_holders()

    started = member_world.MemberWorld(listed=[A, B], value=_encode_as_before(without))
    counted = member_records.counted_entries(started.service)
    world.record(member_records.encode(counted), revision=7)
    world.directory.members.seed(world.service)
    assert C in world.service.possible_holders()


async def test_a_leaving_server_whose_report_was_read_late_counts():
    """The store was not heard for two seconds; the entry expires 3.6 s after it was written."""
    world = proxy_world.World()
    world.service.servers[C].entry_written_at_s -= 60.0
    world.directory.servers.note_confirmed(clock.now_s() - 2.0, revision=10)
    entries = {each.server: each for each in world.group.entries()}
    entries[C] = dataclasses.replace(entries[C], leaving=True, revision=11)
    world.directory.servers.replace(entries, clock.now_s())
    world.directory.refresh()
    takeovers.lose_entry(world, C, silent_s=1.6)
    assert C in world.service.possible_holders()


async def test_a_record_of_an_earlier_build_takes_no_coverage_back():
    """It tells nothing of it; without a primary the server could not be covered again."""
    world = member_world.MemberWorld(listed=[A, B])
    entries = world.group.entries()
    covered = {unlisted.member_of(each): positions.ORIGIN for each in entries if each.server == C}
    world.record(member_records.encode(entries, covered=covered), revision=6)
    world.directory.members.seed(world.service)
    assert world.service.covered_end(C) is not None
    world.record(_encode_as_before(entries), revision=7)
    world.directory.members.seed(world.service)
    assert world.service.covered_end(C) is not None


async def test_the_record_of_a_restored_store_covers_no_server_that_has_run_again_since():
    world = member_world.MemberWorld(listed=[A, B])
    entries = world.group.entries()
    covered = {unlisted.member_of(each): positions.ORIGIN for each in entries if each.server == C}
    world.record(member_records.encode(entries, covered=covered), revision=6)
    world.directory.refresh()
    world.service.note_running(world.service.unlisted[C].backend)
    world.record(member_records.encode(entries), revision=7)
    world.directory.refresh()
    restored = revisions.join(era=1, number=6)
    world.record(member_records.encode(entries, covered=covered), revision=restored)
    world.directory.refresh()
    assert world.service.covered_end(C) is None


async def test_the_last_primary_counts_when_an_earlier_one_loses_its_entry_with_it():
    """The earlier one was cut off from the store, so its entry still names it as the primary."""
    world = proxy_world.World()
    entries = {each.server: each for each in world.group.entries()}
    world.directory.servers.replace({C: entries[C]}, clock.now_s())
    world.directory.refresh()
    listed = [dataclasses.replace(entries[B], role=entries[A].role, revision=8)]
    listed += [dataclasses.replace(entries[A], revision=9), entries[C]]
    world.directory.servers.replace({each.server: each for each in listed}, clock.now_s())
    world.directory.refresh()
    world.service.note_leading(B, query_sent_at_s=clock.now_s(), position=None)
    assert world.service.leader.server == B
    world.directory.servers.replace({C: entries[C]}, clock.now_s())
    world.directory.refresh()
    assert set(world.service.known_servers()) == {A, B, C}


async def test_a_server_whose_entry_goes_as_tenants_are_configured_counts():
    """Both changes may arrive in one answer of the store."""
    world = proxy_world.World()
    world.service.servers[C].entry_written_at_s -= 60.0
    world.directory.servers.remove(C, clock.now_s())
    tenant = routes.Tenant(name=ids.TenantName("tenant"), rate_per_s=10.0)
    configured = dataclasses.replace(
        proxy_world.configuration(version=2), tenants={tenant.name: tenant}
    )
    world.directory.configure(configured)
    assert C in world.service.possible_holders()


async def test_the_recorded_end_is_required_of_a_server_that_was_back_before_it_went_silent():
    """Its crash was seen, and it has come back with its log since, out of reach."""
    world = proxy_world.World()
    lost = takeovers.commit_on_unlisted_server(world)
    primary = world.group.servers[A]
    primary.up, primary.silent = True, True
    del world.group.servers[lost.name]
    world.coordination.ends[database_group.SERVICE] = ports.StoppedPrimary(
        server=A, end=primary.position
    )
    contacts = world.service.servers[A].contacts
    takeovers.cut_off(world)
    contacts.note(server_contact.Sign.NOT_LISTENING, clock.now_s() - 30.0)
    world.service.removed_at_s[A] -= 3.0
    await coverage_world.change_primary(world)
    assert world.group.lost == []


@pytest.mark.parametrize("ended", [False, True], ids=["runs", "covered"])
async def test_one_instance_at_a_time_asks_for_a_server_without_an_entry(monkeypatch, ended):
    """Each attempt is a connection, which takes a place at the server or one in its stead."""
    started_s = now_s = clock.now_s()
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    names = [ids.InstanceId(f"instance-{number}") for number in range(8)]
    asked_by: list[tuple[float, ids.InstanceId]] = []
    checks = []
    for name in names:
        world = proxy_world.World()
        world.directory.instance = name
        for each in names:
            world.directory.instances.put(each, directory.Peer(zone=ids.ZoneName("a")))
        takeovers.lose_entry(world, C, silent_s=server_list.EXPIRY_SILENCE_S)
        world.group.servers[C].up = not ended
        backend = world.service.unlisted[C].backend
        if ended:
            world.service.covered.add(unlisted.member_of(backend.entry), positions.ORIGIN)

        async def open_counted(entry, open_link=backend.opener, name=name):
            asked_by.append((now_s, name))
            return await open_link(entry)

        backend.opener = open_counted
        world.service.server_count.note_recorded(3)
        checks.append((coverage.Coverage(directory=world.directory), world))
    while now_s < started_s + 40.0:
        now_s += coverage.CHECK_S
        for checking, world in checks:
            checking.check()
            await world.settle()
    late = {name for at_s, name in asked_by if at_s > started_s + 30.0}
    assert len(late) == 1


async def test_an_instance_that_holds_no_connections_to_a_service_opens_none_to_cover(world):
    """In a large fleet there are more instances than connections to a server."""
    world.service.resize(1, holds_connections=False)
    takeovers.lose_entry(world, C, silent_s=server_list.EXPIRY_SILENCE_S)
    world.service.resize(1, holds_connections=False)
    world.group.servers[C].up = False
    await coverage_world.check(world)
    assert [len(world.group.servers[name].links) for name in (A, B)] == [0, 0]


async def test_a_recorded_server_that_went_silent_keeps_no_other_one_from_being_promoted():
    """The other one has all that was acknowledged, as the instances tell."""
    world = proxy_world.World()
    group, coordination = world.group, world.coordination
    assert group.commit(group.primary, "received by all")
    entry = database_group.LogEntry(term=1, data="not acknowledged")
    group.servers[A].log.append(entry)
    group.servers[C].log.append(entry)
    group.servers[A].up = False
    end = group.servers[B].position
    coordination.hold_report = ports.HoldReport(complete=True, acknowledged_end=end)
    record_promotion = coordination.record_promotion

    async def record_and_lose(claim, server):
        group.servers[C].silent = True
        return await record_promotion(claim, server)

    coordination.record_promotion = record_and_lose
    await coverage_world.change_primary(world, times=4)
    assert group.primary is group.servers[B]
