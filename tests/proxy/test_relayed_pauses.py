"""Servers that the holder of a claim does not reach are paused by instances that reach them."""

import asyncio
import dataclasses
import itertools

import pytest

from mustardswitch.internal import ids, promotion
from mustardswitch.peers import datagrams, pauses
from mustardswitch.proxy import claimed_changes, ports, relayed_pauses, server_commands, takeover
from mustardswitch_standins import database_group
from tests.common import builders, peer_world, relay_world, takeovers

ONE, TWO, THREE = relay_world.ONE, relay_world.TWO, relay_world.THREE
A, B, C = relay_world.A, relay_world.B, relay_world.C
SERVICE = database_group.SERVICE
TERM = ids.Term(2)
PAUSED = promotion.ServerStatus(
    role=promotion.Role.REPLICA, term=TERM, received=builders.position(1, 9), paused=True
)


# Three instances


@pytest.fixture
def worlds():
    return relay_world.Worlds()


async def change(worlds, limit_s: float = 3.0) -> None:
    """Let the first instance change the primary, for a while at most."""
    changing = asyncio.create_task(takeovers.take_over(worlds.holder, A, silent=True))
    await asyncio.wait({changing}, timeout=limit_s)
    changing.cancel()
    await asyncio.gather(changing, return_exceptions=True)


async def test_a_commit_on_a_server_that_only_another_instance_reaches_is_kept(worlds):
    worlds.cut(ONE, C)
    worlds.cut(THREE, C)
    worlds.commit_at(C)
    await change(worlds)
    assert worlds.group.lost == [] and worlds.group.primary is worlds.group.servers[C]


async def test_a_server_in_reach_is_preferred_to_one_that_another_instance_reaches(worlds):
    worlds.cut(ONE, C)
    worlds.commit_at(B, C)
    await change(worlds)
    assert worlds.group.lost == [] and worlds.group.primary is worlds.group.servers[B]


async def test_a_server_that_no_instance_reaches_is_waited_for(worlds):
    for instance in (ONE, TWO, THREE):
        worlds.cut(instance, C)
    worlds.commit_at(C)
    await change(worlds)
    assert worlds.group.lost == [] and worlds.group.primary is worlds.group.servers[A]


async def test_a_server_is_waited_for_while_answers_of_other_instances_are_lost(worlds):
    worlds.network.lost_to.add(ONE)
    worlds.cut(ONE, C)
    worlds.commit_at(C)
    await change(worlds)
    assert worlds.group.lost == [] and worlds.group.primary is worlds.group.servers[A]


async def test_nothing_is_asked_of_others_while_all_servers_answer(worlds):
    worlds.commit_at(B, C)
    await change(worlds)
    assert worlds.group.primary is not worlds.group.servers[A]
    assert not any(update.pause_orders for update in worlds.network.sent)


async def test_a_server_that_was_paused_through_others_is_resumed_after_a_failed_change(
    worlds, monkeypatch
):
    """It is left to the clean-up of unfinished changes, by an instance that reaches it."""
    monkeypatch.setattr(takeover, "RENEWAL_LIMIT_S", 0.5)
    worlds.cut(ONE, C)
    worlds.group.servers[A].silent = True
    await change(worlds, limit_s=8.0)
    assert worlds.group.servers[C].paused_term
    marks = worlds.holder.coordination
    assert SERVICE in marks.unfinished and worlds.group.primary is worlds.group.servers[A]
    worlds.group.servers[A].silent = False
    marks.claimed.clear()
    await claimed_changes.clean_up(
        target=worlds.worlds[TWO].service,
        coordination=marks,
        promoter=worlds.worlds[TWO].promoter,
        unfinished=marks.unfinished[SERVICE],
    )
    assert not worlds.group.servers[C].paused_term and worlds.group.lost == []


# The holder


@pytest.fixture
def world(monkeypatch):
    built = peer_world.World(monkeypatch)
    built.updates.note_instances()
    return built


def ask(world, *servers, term=TERM):
    return world.updates.relay_pauses(SERVICE, set(servers), term)


def answer(world, *, server=C, term=TERM, asked_at_s=None, status=PAUSED):
    """Receive the answer of another instance to an order."""
    order = pauses.PauseOrder(
        service=SERVICE,
        server=server,
        term=term,
        asked_at_s=world.now_s if asked_at_s is None else asked_at_s,
    )
    report = pauses.PauseReport(order=order, status=status)
    world.updates.receive(datagrams.PeerUpdate(instance=TWO, pause_reports=(report,)))


def test_orders_are_repeated_to_all_instances(world):
    ask(world, C)
    ask(world, C)
    assert [len(update.pause_orders) for update in world.peers.sent] == [1]
    assert world.peers.hosts == [{TWO, THREE}]
    world.now_s += relayed_pauses.REPEAT_S
    ask(world, C)
    asked = [update.pause_orders[0].asked_at_s for update in world.peers.sent]
    assert asked == [1000.0, 1000.0 + relayed_pauses.REPEAT_S]


def test_orders_for_many_servers_are_sent_in_several_datagrams(world):
    servers = {ids.ServerId(f"server-{number}") for number in range(6)}
    ask(world, *servers)
    assert [len(update.pause_orders) for update in world.peers.sent] == [4, 2]
    assert all(len(datagrams.encode(update)) <= datagrams.MAX_BYTES for update in world.peers.sent)


def test_nothing_is_sent_without_a_server_to_pause(world):
    assert ask(world) == {} and world.peers.sent == []


def test_the_status_of_a_paused_server_is_as_old_as_the_order(world):
    ask(world, C)
    world.now_s += 0.4
    answer(world, asked_at_s=1000.0)
    found = {C: ports.RelayedStatus(status=PAUSED, read_after_s=1000.0)}
    assert ask(world, C) == found
    assert ask(world, B) == {}
    world.now_s = 1000.0 + relayed_pauses.REPORT_TTL_S
    assert ask(world, C) == {}


@pytest.mark.parametrize(
    "changes",
    [
        {"term": 3},
        {"server": B},
        {"asked_at_s": 1000.1},
        {"status": dataclasses.replace(PAUSED, paused=False)},
        {"status": dataclasses.replace(PAUSED, role=promotion.Role.PRIMARY)},
    ],
    ids=str,
)
def test_other_answers_do_not_count(world, changes):
    ask(world, C)
    answer(world, **changes)
    assert ask(world, C) == {}


def test_an_answer_that_nobody_asked_for_does_not_count(world):
    answer(world)
    assert ask(world, C) == {}


def test_a_late_answer_does_not_replace_a_newer_one(world):
    ask(world, C)
    world.now_s += 0.5
    newer = dataclasses.replace(PAUSED, received=builders.position(1, 8))
    answer(world, status=newer)
    answer(world, asked_at_s=1000.0)
    assert ask(world, C)[C].status == newer


def test_a_pause_that_has_ended_does_not_count_any_more(world):
    ask(world, C)
    answer(world)
    world.now_s += 0.1
    answer(world, status=dataclasses.replace(PAUSED, paused=False))
    assert ask(world, C) == {}


def test_answers_to_an_ended_change_do_not_count_for_a_later_one(world):
    ask(world, C)
    answer(world)
    world.updates.end_hold(SERVICE)
    answer(world)
    assert ask(world, C) == {}


# The other instances


async def order(world, *, server=C, term=TERM, asked_at_s=1000.0):
    """Receive an order; returns the answers after the server was asked."""
    asked = pauses.PauseOrder(service=SERVICE, server=server, term=term, asked_at_s=asked_at_s)
    world.updates.receive(datagrams.PeerUpdate(instance=TWO, pause_orders=(asked,)))
    await world.settle()
    return [report for update in world.peers.sent for report in update.pause_reports]


@pytest.fixture
def receiver(world):
    world.directory.note_recorded_promotion(SERVICE, B, revision=10)
    return world


async def test_an_instance_pauses_the_server_and_tells_its_status(receiver):
    (found,) = await order(receiver)
    assert receiver.group.servers[C].paused_term == TERM
    assert found.order.asked_at_s == 1000.0 and found.status.paused
    assert receiver.peers.hosts == [{TWO}]


async def test_a_promotion_that_was_announced_is_enough(world):
    world.directory.note_announced_promotion(peer_world.promotion_of(), by=TWO)
    assert len(await order(world)) == 1


async def test_nothing_is_paused_without_a_recorded_promotion(world):
    assert await order(world) == []
    assert receiver_commands(world) == []


def receiver_commands(world):
    return world.group.servers[C].received_commands


async def test_an_instance_without_connections_pauses_nothing(receiver):
    receiver.service.holds_connections = False
    assert await order(receiver) == []


async def test_a_primary_is_not_paused(receiver):
    (found,) = await order(receiver, server=A)
    assert found.status.leads and not receiver.group.servers[A].paused_term


async def test_a_server_that_has_taken_part_in_the_promotion_is_not_paused(receiver):
    receiver.group.term = TERM
    (found,) = await order(receiver)
    assert not found.status.paused and not receiver.group.servers[C].paused_term


async def test_a_server_that_gives_no_answer_is_not_reported(receiver):
    receiver.group.servers[C].up = False
    assert await order(receiver) == []


async def test_an_order_that_arrives_late_is_dropped(receiver):
    await order(receiver, asked_at_s=1001.0)
    receiver.now_s += relayed_pauses.ACT_INTERVAL_S
    assert len(await order(receiver, asked_at_s=1000.0)) == 1


async def test_a_server_is_asked_at_intervals(receiver):
    await order(receiver, asked_at_s=1000.0)
    receiver.now_s += 0.1
    assert len(await order(receiver, asked_at_s=1000.1)) == 1
    receiver.now_s += relayed_pauses.ACT_INTERVAL_S
    assert len(await order(receiver, asked_at_s=1000.4)) == 2


async def test_a_server_is_not_paused_once_no_order_follows(receiver, monkeypatch):
    """The claim of the holder may have ended while the server was queried."""
    status = database_group.FakeLink.status

    async def status_late(link, timeout_s):
        receiver.now_s += relayed_pauses.PAUSE_WITHIN_S
        return await status(link, timeout_s)

    monkeypatch.setattr(database_group.FakeLink, "status", status_late)
    (found,) = await order(receiver)
    assert not found.status.paused and not receiver.group.servers[C].paused_term


async def test_connections_are_closed_once_no_order_follows(receiver):
    await order(receiver)
    links = receiver.group.servers[C].links
    receiver.updates.check()
    assert not any(link.broken for link in links)
    receiver.now_s += relayed_pauses.ORDER_TTL_S + 0.1
    receiver.updates.check()
    assert links and all(link.broken for link in links)


async def test_a_server_that_gives_no_answer_is_asked_less_often(receiver, monkeypatch):
    asked = []

    async def note(commands, servers):
        asked.append(receiver.now_s)
        return {}

    monkeypatch.setattr(server_commands.ServerCommands, "query", note)
    for _ in range(100):
        receiver.now_s += 0.1
        await order(receiver, asked_at_s=receiver.now_s)
    pauses_s = [later - earlier for earlier, later in itertools.pairwise(asked)]
    assert pauses_s == sorted(pauses_s) and max(pauses_s) < 2.6 and len(asked) < 8


async def test_nothing_is_paused_while_the_recorded_server_leads(world):
    """The record outlasts a change whose request may still come, and commits go on."""
    world.directory.note_recorded_promotion(SERVICE, A, revision=10)
    assert await order(world) == [] and receiver_commands(world) == []
