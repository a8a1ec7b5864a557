"""Each part of the rule about members is needed: without it, a commit may be lost."""

import asyncio
import dataclasses

import pytest

from mustardswitch.internal import clock, ids, promotion
from mustardswitch.proxy import (
    claimed_attempt,
    coverage,
    member_records,
    server_list,
    unlisted,
)
from mustardswitch_standins import database_group
from tests.common import builders, member_world, proxy_world, takeovers

A, B, C = takeovers.A, takeovers.B, takeovers.C
END = builders.position(1, 5)


def _replica(offset: int) -> promotion.ServerStatus:
    return promotion.ServerStatus(
        role=promotion.Role.REPLICA,
        term=ids.Term(1),
        received=builders.position(1, offset),
        paused=True,
    )


def _evidence(**changes: object) -> promotion.Evidence:
    known = promotion.Evidence(
        expected={B, C},
        paused={B: _replica(5), C: _replica(5)},
        commits_held=True,
        former_primary=promotion.FormerPrimary.NOT_LISTENING,
        recorded=B,
    )
    return dataclasses.replace(known, **changes)


async def _change_primary(world: proxy_world.World) -> None:
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.wait({changing}, timeout=6.0)
    changing.cancel()
    await asyncio.gather(changing, return_exceptions=True)


async def test_a_covered_server_that_gives_no_answer_is_waited_for(monkeypatch):
    """It has started again out of the reach of the instances, and confirmed alone."""
    monkeypatch.setattr(coverage, "RECEIVE_S", 0.1)
    world = proxy_world.World()
    group = world.group
    assert group.commit(group.primary, "before its end")
    group.servers[C].up = False
    takeovers.lose_entry(world, C, silent_s=server_list.EXPIRY_SILENCE_S)
    checking = coverage.Coverage(directory=world.directory)
    checking.check()
    await world.settle()
    assert world.service.covered_end(C) is not None
    group.servers[C].up = True
    group.catch_up(group.servers[C])
    group.servers[B].not_receiving = True
    assert group.commit(group.primary, "confirmed by it alone")
    group.servers[C].silent = True
    group.servers[A].up = False
    for _ in range(2):
        await _change_primary(world)
    assert group.lost == []


@pytest.mark.parametrize("unnamed", [set(), {C}], ids=["named", "unnamed"])
def test_a_server_in_whose_place_another_one_answers_is_not_promoted(unnamed):
    evidence = _evidence(paused={B: _replica(4), C: _replica(5)}, unnamed=unnamed)
    choice = promotion.choose(evidence, leaving=set())
    assert choice.server == (None if unnamed else C)


async def test_a_server_in_whose_place_another_one_has_answered_is_not_covered():
    world = proxy_world.World()
    world.group.servers[C].up = False
    takeovers.lose_entry(world, C, silent_s=server_list.EXPIRY_SILENCE_S)
    member = unlisted.member_of(world.service.unlisted[C].backend.entry)
    world.service.covered.add(member, END)
    attempt = claimed_attempt.Attempt(
        target=world.service,
        claim=await world.coordination.claim(database_group.SERVICE),
        coordination=world.coordination,
    )
    started_s = clock.now_s()
    await attempt.commands.query({C})
    assert attempt.covered(since_s=started_s) == {C: END}
    attempt.commands.unnamed.add(C)
    assert attempt.covered(since_s=started_s) == {}


@pytest.mark.parametrize("former", promotion.FormerPrimary)
def test_the_acknowledged_end_proves_nothing_while_the_primary_may_execute_commits(former):
    evidence = _evidence(paused={B: _replica(5)}, acknowledged_end=END, former_primary=former)
    found = promotion.proof(B, evidence)
    assert found is (promotion.Proof.ALL_ACKNOWLEDGED if former.has_ended else None)


async def test_a_member_that_was_recorded_lately_is_waited_for():
    """The record arrives with the store's answer to the holder, before the watch tells of it."""
    world = member_world.MemberWorld(listed=[A, B], value=member_records.encode([]))
    group = world.group
    world.directory.members.seed(world.service)
    assert C not in world.service.possible_holders()
    group.servers[B].not_receiving = True
    assert group.commit(group.primary, "confirmed by a member alone")
    group.servers[A].up = False

    async def refresh_members(service: ids.ServiceName) -> None:
        del service
        world.record(member_records.encode(group.entries()), revision=6)
        world.directory.refresh()

    world.coordination.refresh_members = refresh_members
    await _change_primary(world)
    assert group.lost == []
