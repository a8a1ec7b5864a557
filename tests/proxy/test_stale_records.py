"""What an instance that does not hear from the store tells the others, and what follows from it."""

import dataclasses

import pytest

from mustardswitch.internal import commit_permission, ids
from mustardswitch.peers import datagrams
from mustardswitch.proxy import requests
from mustardswitch_standins import database_group
from tests.common import peer_world, proxy_world

ONE, TWO, THREE = peer_world.ONE, peer_world.TWO, peer_world.THREE
A, B, C = peer_world.A, peer_world.B, peer_world.C


@pytest.fixture
def world(monkeypatch):
    return peer_world.World(monkeypatch)


async def test_an_instance_with_fresh_records_says_nothing(world):
    await world.check()
    world.now_s += commit_permission.STALE_S - 0.01
    await world.check()
    assert world.peers.sent == []


async def test_a_stale_instance_tells_all_others_its_recorded_promotions(world):
    world.directory.note_recorded_promotion(database_group.SERVICE, B, revision=9)
    world.now_s += commit_permission.STALE_S
    await world.check()
    promoted = peer_world.promotion_of(B, revision=9)
    assert world.peers.sent == [
        datagrams.PeerUpdate(
            instance=ONE, stale=True, promotions=(promoted,), asked_at_s=world.now_s
        )
    ]
    assert world.peers.hosts == [None]


async def test_a_stale_instance_passes_on_what_was_announced_to_it(world):
    world.announce(peer_world.promotion_of())
    world.peers.sent.clear()
    world.now_s += commit_permission.STALE_S
    await world.check()
    assert [update.promotions for update in world.peers.sent] == [(peer_world.promotion_of(),)]


async def test_a_stale_instance_repeats_itself_at_intervals(world):
    world.now_s += commit_permission.STALE_S
    await world.check()
    await world.check()
    assert len(world.peers.sent) == 1
    world.now_s += commit_permission.STALE_REPEAT_S
    await world.check()
    assert len(world.peers.sent) == 2


@pytest.mark.parametrize("count", [datagrams.MAX_PROMOTIONS, datagrams.MAX_PROMOTIONS + 1])
async def test_a_stale_instance_that_cannot_tell_all_promotions_stays_silent(world, count):
    """Receivers would rely on a statement that lacks a promotion."""
    services = [ids.ServiceName(f"service-{number}") for number in range(count)]
    for name in services:
        world.directory.services[name] = world.directory.services[database_group.SERVICE]
    world.directory.services.pop(database_group.SERVICE)
    world.directory.services[services[0]].note_recorded_promotion(B)
    world.now_s += commit_permission.STALE_S
    await world.check()
    assert len(world.peers.sent) == (count <= datagrams.MAX_PROMOTIONS)


def test_an_instance_holds_commits_for_the_promotions_of_a_stale_one(world):
    world.announce(peer_world.promotion_of(), stale=True)
    assert not world.service.may_commit(world.service.servers[A])
    assert world.service.may_commit(world.service.servers[B])


def test_a_stale_statement_is_not_answered(world):
    world.announce(peer_world.promotion_of(), stale=True)
    assert world.peers.sent == []


def test_instances_that_are_all_stale_go_on_with_commits(world):
    world.now_s += commit_permission.PERMISSION_S
    assert not world.directory.may_send_commits()
    world.announce(stale=True)
    assert not world.directory.may_send_commits()
    world.updates.receive(datagrams.PeerUpdate(instance=THREE, stale=True, answers_s=world.now_s))
    assert world.directory.may_send_commits()


async def test_a_stale_instance_answers_a_question_and_a_current_one_does_not(world):
    question = datagrams.PeerUpdate(instance=TWO, stale=True, asked_at_s=7.0)
    world.updates.receive(question)
    assert world.peers.sent == []
    world.now_s += commit_permission.STALE_S
    world.updates.receive(question)
    assert world.peers.sent == [datagrams.PeerUpdate(instance=ONE, stale=True, answers_s=7.0)]
    assert world.peers.hosts == [{TWO}]


def test_an_answer_counts_from_its_question_on(world):
    asked_at_s = world.now_s
    world.now_s += commit_permission.PERMISSION_S
    for name in (TWO, THREE):
        world.updates.receive(datagrams.PeerUpdate(instance=name, stale=True, answers_s=asked_at_s))
    assert not world.directory.may_send_commits()


def test_an_update_that_is_not_stale_permits_nothing(world):
    world.now_s += commit_permission.PERMISSION_S
    for name in (TWO, THREE):
        world.updates.receive(datagrams.PeerUpdate(instance=name))
    assert not world.directory.may_send_commits()


async def test_commits_that_are_held_back_are_abandoned_by_the_checks(world):
    link = database_group.FakeLink(group=world.group, server=world.group.servers[A])
    with world.service.commits.tracking(link, A):
        world.announce(peer_world.promotion_of())
        await world.check()
        assert not link.broken
        world.now_s += commit_permission.ABANDON_S
        await world.check()
        assert link.broken


def test_promotions_that_a_stale_holder_has_recorded_itself_hold_the_commits_of_others(
    monkeypatch, world
):
    """Its record is newer than the records that it has read, and those of the receiver."""
    other = peer_world.World(monkeypatch)
    world.service.note_recorded_promotion(B, revision=peer_world.REVISION)
    world.report(peer_world.promotion_of(B))
    told = world.service.recorded_promotions()
    other.announce(*told, stale=True)
    assert not other.service.may_commit(other.service.servers[A])


@pytest.mark.parametrize("announced", [False, True])
async def test_a_stale_instance_tells_the_promotions_of_services_that_it_does_not_know(
    monkeypatch, world, announced
):
    """One that knows the service relied on the statement, and its commit was lost."""
    other = peer_world.World(monkeypatch)
    other.now_s = world.now_s
    world.directory.services.clear()
    promoted = peer_world.promotion_of(B)
    if announced:
        world.announce(promoted)
    else:
        world.directory.servers.note_confirmed(world.now_s, revision=promoted.revision)
        world.directory.note_recorded_promotion(promoted.service, B, revision=promoted.revision)
    other.now_s += commit_permission.PERMISSION_S
    for name in (TWO, THREE):
        world.updates.receive(datagrams.PeerUpdate(instance=name, asked_at_s=other.now_s))
        told = dataclasses.replace(world.peers.sent[-1], instance=name)
        other.updates.receive(told)
    assert other.directory.may_send_commits()
    group = other.group
    group.servers[B].not_receiving = group.servers[C].not_receiving = True
    group.start_server(zone="d")
    caller = other.open_session(requests.RouteKind.PRIMARY)
    await other.run(caller, proxy_world.WRITE)
    group.promote(B)
    assert group.lost == []


async def test_an_instance_that_started_after_the_others_lost_the_store_loses_no_commit(
    monkeypatch, world
):
    """The others do not know of it, and it knows none whose registration has expired."""
    world.remove_instance(THREE)
    started = peer_world.World(monkeypatch)
    started.now_s = world.now_s
    started.directory.instance = THREE
    for name in (ONE, TWO):
        started.remove_instance(name)
    group = started.group = world.group
    group.servers[B].not_receiving = group.servers[C].not_receiving = True
    group.start_server(zone="d")
    # Both worlds read the clock of the second one.
    started.now_s += 20.0
    world.updates.receive(datagrams.PeerUpdate(instance=TWO, stale=True, answers_s=started.now_s))
    started.recorded_at_s = started.now_s
    while not started.report().complete:
        started.now_s += 0.01
    caller = world.open_session(requests.RouteKind.PRIMARY)
    await world.run(caller, proxy_world.WRITE)
    group.promote(B)
    assert group.lost == []
