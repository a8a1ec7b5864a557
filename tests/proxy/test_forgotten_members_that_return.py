"""Servers that were forgotten, held nothing alone then, and are members again."""

import pytest

from mustardswitch.internal import clock, gateways, ids, positions
from mustardswitch.proxy import coverage, directory, member_records, server_list, unlisted
from tests.common import member_world, proxy_world, takeovers

A, B, C = takeovers.A, takeovers.B, takeovers.C


def _forget(world: member_world.MemberWorld) -> unlisted.UnlistedServer:
    """Let another instance forget a server without an entry; returns what was known of it."""
    known = world.service.unlisted[C]
    entries = [each for each in world.group.entries() if each.server != C]
    forgotten = [unlisted.member_of(known.backend.entry)]
    world.record(member_records.encode(entries, forgotten=forgotten), revision=6)
    world.directory.refresh()
    assert C not in world.service.possible_holders()
    return known


async def test_a_forgotten_server_that_was_listed_again_counts_without_its_entry():
    """The record is not written between, for instance since the store is slow."""
    world = member_world.MemberWorld(listed=[A, B])
    _forget(world)
    world.listed.add(C)
    world.list_servers()
    assert C in world.service.servers
    world.listed.discard(C)
    world.list_servers()
    assert C in world.service.possible_holders()


async def test_a_forgotten_server_that_a_later_record_names_counts():
    world = member_world.MemberWorld(listed=[A, B])
    _forget(world)
    world.record(member_records.encode(world.group.entries()), revision=7)
    world.directory.refresh()
    assert C in world.service.possible_holders()


@pytest.mark.parametrize("covered", [False, True], ids=["not_covered", "covered"])
async def test_a_server_that_answered_before_it_was_forgotten_elsewhere_counts(covered):
    """This instance has heard it since the other one found it ended."""
    world = member_world.MemberWorld(listed=[A, B])
    known = world.service.unlisted[C]
    member: tuple[ids.ServerId, int] = unlisted.member_of(known.backend.entry)
    if covered:
        world.service.covered.add(member, positions.ORIGIN)
    world.service.note_running(known.backend)
    entries = [each for each in world.group.entries() if each.server != C]
    world.record(member_records.encode(entries, forgotten=[member]), revision=6)
    world.directory.refresh()
    assert C in world.service.possible_holders()


async def test_the_next_instance_asks_once_the_first_one_has_left(monkeypatch):
    """It had asked before, while the server ran."""
    now_s = clock.now_s()
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    world = proxy_world.World()
    names = [ids.InstanceId(f"instance-{number}") for number in range(2)]
    for each in (world.directory.instance, *names):
        world.directory.instances.remove(each, now_s)
    for each in names:
        world.directory.instances.put(each, directory.Peer(zone=ids.ZoneName("a")))
    first, second = gateways.ranked(world.directory.candidates(), world.service.name)
    world.directory.instance = second
    takeovers.lose_entry(world, C, silent_s=server_list.EXPIRY_SILENCE_S)
    checking = coverage.Coverage(directory=world.directory)
    for _ in range(2):
        checking.check()
        await world.settle()
        now_s += coverage.RANK_DELAY_S + coverage.CHECK_S
    world.group.servers[C].up = False
    world.directory.instances.remove(first, now_s)
    ends_s = now_s + coverage.RETRY_LIMIT_S
    while now_s < ends_s:
        now_s += coverage.CHECK_S
        checking.check()
        await world.settle()
    assert world.service.covered_end(C) is not None
