"""How instances hold commits back for a promotion that another instance has recorded."""

import asyncio
import dataclasses

import pytest

from mustardswitch.internal import (
    commit_permission,
    former_primary,
    ids,
    revisions,
    server_contact,
)
from mustardswitch.peers import datagrams, told_commits
from mustardswitch.proxy import peer_updates, ports, requests
from mustardswitch_standins import database_group
from tests.common import builders, peer_world, proxy_world, stop_orders

ONE, TWO, THREE = peer_world.ONE, peer_world.TWO, peer_world.THREE
A, B, C = peer_world.A, peer_world.B, peer_world.C
REVISION = peer_world.REVISION
LIMIT_S = commit_permission.HOLD_LIMIT_S
ORDER = stop_orders.ORDER
STOPPED = former_primary.Report(
    order=former_primary.Order.STOPPED, end=builders.position(1, 7), answered_s=1.0, connected_s=0.5
)


@pytest.fixture
def world(monkeypatch):
    return peer_world.World(monkeypatch)


# The holder of a claim


def test_a_hold_is_complete_when_every_other_instance_has_confirmed_it(world):
    assert world.report().unconfirmed == {TWO, THREE}
    world.confirm(TWO)
    partial = world.report()
    assert not partial.complete and partial.unconfirmed == {THREE}
    world.confirm(THREE)
    assert world.report() == ports.HoldReport(complete=True, instances=frozenset({TWO, THREE}))


@pytest.mark.parametrize(
    "changes",
    [
        {"revision": REVISION - 1},
        {"revision": REVISION + 1},
        {"server": C},
        {"service": ids.ServiceName("another")},
    ],
)
def test_confirmations_of_another_record_do_not_count(world, changes):
    world.report()
    world.confirm(TWO, THREE, **changes)
    assert world.report().unconfirmed == {TWO, THREE}


def test_confirmations_that_nobody_asked_for_do_not_count(world):
    world.confirm(TWO, THREE)
    assert world.report().unconfirmed == {TWO, THREE}


def test_confirmations_of_an_ended_change_do_not_count_for_a_later_one(world):
    world.report()
    world.confirm(TWO, THREE)
    world.updates.end_hold(database_group.SERVICE)
    assert world.report().unconfirmed == {TWO, THREE}


def test_a_hold_is_not_complete_before_the_holders_own_commits_have_ended(world):
    world.report()
    world.confirm(TWO, THREE)
    with world.commit_under_way(A):
        own = world.report()
        assert not own.complete and own.unconfirmed == {ONE}
    with world.commit_under_way(B):
        assert world.report().complete
    assert world.report().complete


def test_an_instance_that_was_removed_lately_may_still_send_commits(world):
    world.updates.note_instances()
    world.remove_instance(THREE)
    world.report()
    world.confirm(TWO)
    world.now_s += LIMIT_S - 0.01
    world.recorded_at_s = world.now_s
    assert world.report().unconfirmed == {THREE}
    world.confirm(THREE)
    assert world.report().complete


def test_an_instance_that_was_removed_while_the_holder_was_frozen_may_still_send_commits(world):
    """It was forgotten at once, since the holder had listed it last before it froze."""
    world.updates.note_instances()
    world.now_s += 2 * LIMIT_S
    world.remove_instance(THREE)
    world.recorded_at_s = world.now_s
    world.report()
    world.confirm(TWO)
    assert world.report().unconfirmed == {THREE}
    world.now_s += LIMIT_S + 0.01
    world.recorded_at_s = world.now_s
    assert world.report().complete


def test_an_instance_that_was_removed_long_ago_is_not_waited_for(world):
    world.updates.note_instances()
    world.remove_instance(THREE)
    world.updates.note_instances()
    world.now_s += LIMIT_S + 0.01
    world.recorded_at_s = world.now_s
    world.report()
    world.confirm(TWO)
    assert world.report().complete


def test_an_instance_that_registers_during_the_change_is_waited_for(world):
    world.report()
    world.confirm(TWO, THREE)
    world.list_instance(ids.InstanceId("four"))
    assert world.report().unconfirmed == {"four"}


def test_a_holder_that_has_just_started_waits_since_it_does_not_know_who_was_removed(world):
    world.directory.instances.first_read_at_s = world.now_s
    world.report()
    world.confirm(TWO, THREE)
    assert not world.report().complete
    world.now_s += LIMIT_S - 0.01
    assert not world.report().complete
    world.now_s += 0.01
    assert world.report().complete


def test_a_hold_is_complete_without_confirmations_once_no_permission_can_last(world):
    world.now_s += LIMIT_S - 0.01
    assert not world.report().complete
    world.now_s += 0.01
    late = world.report()
    assert late.complete and late.unconfirmed == {TWO, THREE}


def test_a_report_tells_the_highest_acknowledged_position(world):
    assert world.report().above is None
    world.confirm(TWO, above=builders.position(1, 7))
    world.confirm(THREE, above=builders.position(1, 5))
    assert world.report().above == builders.position(1, 7)
    world.note_acknowledged(A, above=builders.position(1, 9))
    assert world.report().above == builders.position(1, 9)


def test_a_report_leaves_out_what_the_promoted_server_has_acknowledged(world):
    world.note_acknowledged(B, above=builders.position(2, 9))
    assert world.report().above is None


def test_a_promotion_is_announced_again_to_those_that_have_not_confirmed_it(world):
    world.report()
    assert world.peers.sent == [
        datagrams.PeerUpdate(instance=ONE, promotions=(peer_world.promotion_of(),))
    ]
    assert world.peers.hosts == [{TWO, THREE}]
    world.confirm(TWO)
    world.now_s += peer_updates.ANNOUNCE_REPEAT_S / 2
    world.report()
    assert len(world.peers.sent) == 1
    world.now_s += peer_updates.ANNOUNCE_REPEAT_S
    world.report()
    assert world.peers.hosts[1:] == [{THREE}]


def test_an_instance_that_was_removed_lately_is_sent_the_announcement(world):
    world.updates.note_instances()
    world.remove_instance(THREE)
    world.report()
    assert world.peers.hosts == [{TWO, THREE}]


def test_the_holder_learns_what_the_others_know_of_the_primary_as_of_now(world):
    assert world.report(order=ORDER).primary_reports == {}
    world.tell_primary(TWO, STOPPED, ORDER)
    world.now_s += 2.0
    world.tell_primary(THREE, former_primary.Report(), ORDER)
    aged = dataclasses.replace(STOPPED, answered_s=3.0, connected_s=2.5)
    known = world.report(order=ORDER).primary_reports
    assert known == {TWO: aged, THREE: former_primary.Report()}
    newer = dataclasses.replace(STOPPED, answered_s=0.0, connected_s=0.0)
    world.tell_primary(TWO, newer, ORDER)
    assert world.report(order=ORDER).primary_reports[TWO] == newer


@pytest.mark.parametrize(
    "changes",
    [
        {"term": stop_orders.TERM - 1},
        {"term": stop_orders.TERM + 1},
        {"server": C},
        {"service": ids.ServiceName("another")},
    ],
)
def test_reports_that_answer_another_order_do_not_count(world, changes):
    world.report(order=ORDER)
    world.tell_primary(TWO, STOPPED, dataclasses.replace(ORDER, **changes))
    assert world.report(order=ORDER).primary_reports == {}


def test_reports_that_nobody_asked_for_do_not_count(world):
    world.tell_primary(TWO, STOPPED, ORDER)
    assert world.report(order=ORDER).primary_reports == {}


def test_reports_of_an_ended_change_do_not_count_for_a_later_one(world):
    world.report(order=ORDER)
    world.tell_primary(TWO, STOPPED, ORDER)
    world.updates.end_hold(ids.ServiceName("another"))
    assert world.report(order=ORDER).primary_reports
    world.updates.end_hold(ORDER.service)
    assert world.report(order=ORDER).primary_reports == {}


def test_all_instances_are_asked_to_stop_the_primary_also_those_that_have_confirmed(world):
    world.updates.note_instances()
    world.remove_instance(THREE)
    world.report()
    world.confirm(TWO, THREE)
    world.now_s += peer_updates.ANNOUNCE_REPEAT_S
    world.report(order=ORDER)
    assert world.peers.sent[-1].stop_orders == (ORDER,)
    assert world.peers.hosts[-1] == {TWO, THREE}


# The other instances


def test_an_instance_holds_commits_back_and_confirms_that_to_the_holder(world):
    world.note_acknowledged(A, above=builders.position(1, 9))
    world.announce(peer_world.promotion_of())
    assert not world.service.may_commit(world.service.servers[A])
    held = datagrams.HeldCommits(
        service=database_group.SERVICE,
        server=B,
        revision=REVISION,
        above=builders.position(1, 9),
        told=told_commits.ToldCommits(shown=builders.position(1, 10), answered_s=0.0),
    )
    assert world.peers.sent == [datagrams.PeerUpdate(instance=ONE, held=(held,))]
    assert world.peers.hosts == [{TWO}]


def test_an_instance_confirms_only_after_its_commits_under_way_have_ended(world):
    with world.commit_under_way(A):
        world.announce(peer_world.promotion_of())
        assert not world.service.may_commit(world.service.servers[A])
        assert world.peers.sent == []
    world.announce(peer_world.promotion_of())
    assert [update.held[0].revision for update in world.peers.sent] == [REVISION]


def test_commits_under_way_to_the_promoted_server_do_not_delay_a_confirmation(world):
    with world.commit_under_way(B):
        world.announce(peer_world.promotion_of())
        assert len(world.peers.sent) == 1


def test_an_instance_that_has_read_the_record_confirms_it(world):
    world.directory.servers.note_confirmed(world.now_s, revision=REVISION)
    world.directory.note_recorded_promotion(database_group.SERVICE, B, revision=REVISION)
    world.announce(peer_world.promotion_of())
    assert [update.held[0].server for update in world.peers.sent] == [B]


def test_a_promotion_that_newer_records_do_not_have_is_not_confirmed(world):
    world.directory.servers.note_confirmed(world.now_s, revision=REVISION)
    world.announce(peer_world.promotion_of())
    assert world.peers.sent == []
    assert world.service.may_commit(world.service.servers[A])


def test_an_older_promotion_than_the_announced_one_is_not_confirmed(world):
    world.announce(peer_world.promotion_of(C, revision=REVISION + 1))
    world.peers.sent.clear()
    world.announce(peer_world.promotion_of(B))
    assert world.peers.sent == []


def test_an_instance_without_a_service_does_not_confirm_and_then_commit(world):
    """An instance that starts has read no servers yet, and its first records may be older."""
    world.directory.services.clear()
    world.announce(peer_world.promotion_of())
    world.directory.refresh()
    confirmed = bool(world.peers.sent)
    assert not (confirmed and world.service.may_commit(world.service.servers[A]))


async def test_an_instance_answers_an_order_to_stop_with_what_it_knows_of_the_primary(world):
    world.service.servers[A].contacts.note(server_contact.Sign.REFUSED)
    world.now_s += 2.0
    asked = datagrams.PeerUpdate(instance=TWO, stop_orders=(ORDER,))
    world.updates.receive(asked)
    known = former_primary.Report(answered_s=2.0, connected_s=2.0)
    told = datagrams.PrimaryReport(order=ORDER, report=known)
    assert world.peers.sent == [datagrams.PeerUpdate(instance=ONE, primary_reports=(told,))]
    assert world.peers.hosts == [{TWO}]
    await world.settle()
    world.updates.receive(asked)
    assert world.peers.sent[-1].primary_reports[0].report.order is former_primary.Order.STOPPED


async def test_an_order_that_the_holder_does_not_repeat_is_ended_by_the_regular_check(world):
    world.group.servers[A].silent = True
    world.updates.receive(datagrams.PeerUpdate(instance=TWO, stop_orders=(ORDER,)))
    [(_, task)] = world.updates.stop_orders.running.values()
    world.now_s += 1.1
    await world.check()
    await asyncio.gather(task, return_exceptions=True)
    assert task.cancelled()


async def test_the_holder_abandons_its_own_commits_as_soon_as_the_others_do(world):
    """They kept the hold open until the records that had allowed them were too old."""

    class Link:
        closed = False

        def close(self) -> None:
            self.closed = True

    link = Link()
    with world.service.commits.tracking(link, A):
        passed_s = 0.0
        while not link.closed and passed_s < LIMIT_S:
            world.report()
            world.now_s += commit_permission.CHECK_S
            passed_s += commit_permission.CHECK_S
            await world.check()
    assert link.closed and passed_s < 2 * commit_permission.ABANDON_S


async def test_a_hold_that_was_confirmed_before_the_store_was_restored_loses_no_commit(world):
    """The holder does not know of the restore until its next call to the store."""
    group = world.group
    group.servers[B].not_receiving = group.servers[C].not_receiving = True
    group.start_server(zone="d")
    world.announce(peer_world.promotion_of(B))
    assert world.peers.sent[-1].held
    world.service.commits.note_restored()
    world.directory.servers.note_confirmed(world.now_s, revision=revisions.join(era=1, number=5))
    caller = world.open_session(requests.RouteKind.PRIMARY)
    await world.run(caller, proxy_world.WRITE)
    group.promote(B)
    assert group.lost == []


async def test_an_instance_that_was_removed_while_the_holder_was_frozen_loses_no_commit(
    monkeypatch, world
):
    """Its registration was revoked just before, and it reads nothing more."""
    world.updates.note_instances()
    # Both worlds read the clock of the second one.
    other = peer_world.World(monkeypatch)
    other.directory.instance = THREE
    other.now_s = world.now_s + 2 * LIMIT_S
    other.directory.permission.note_current(other.now_s)
    world.remove_instance(THREE)
    world.recorded_at_s = other.now_s
    world.report()
    world.confirm(TWO)
    while not world.report().complete:
        other.now_s += 0.01
    group = other.group
    group.servers[B].not_receiving = group.servers[C].not_receiving = True
    group.start_server(zone="d")
    caller = other.open_session(requests.RouteKind.PRIMARY)
    await other.run(caller, proxy_world.WRITE)
    group.promote(B)
    assert group.lost == []
