"""Every instance orders a primary that is to be replaced to stop, until it has."""

import asyncio
import dataclasses

import pytest

from mustardswitch import tasks
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import former_primary, ids, promotion, server_contact
from mustardswitch.peers import datagrams
from mustardswitch.proxy import requests, stop_orders
from mustardswitch_standins import database_group
from tests.common import builders, peer_world, proxy_world
from tests.common.stop_orders import (
    ORDER,
    TERM,
    A,
    answer_late,
    order_of,
    refuse_first,
    reuse_address,
    run_briefly,
)

Order, Role = former_primary.Order, promotion.Role
REVISION = 7


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    monkeypatch.setattr(stop_orders, "RETRY_S", 0.005)
    monkeypatch.setattr(stop_orders, "FOLLOWING_ORDER_S", 0.02)


@pytest.fixture
def world():
    built = proxy_world.World()
    built.group.commit(built.group.primary, "old")
    return built


async def test_a_primary_that_answers_late_is_stopped_by_an_order_that_is_not_given_up(
    world, monkeypatch
):
    answer_late(monkeypatch, late_s=8.0, scale=100)
    order = order_of(world)
    await asyncio.wait_for(order.run(), 2.0)
    assert world.group.servers[A].role is Role.REPLICA
    assert not order.is_pending and order.report().end == world.group.servers[A].position
    links = world.group.servers[A].links
    assert len(links) == stop_orders.MAX_ORDERS and all(link.broken for link in links)


async def test_a_slow_primary_that_was_stopped_is_not_reported_as_found_a_replica(
    world, monkeypatch
):
    # The second order finds it a replica before the first has read the end.
    answer_late(monkeypatch, late_s=8.0, scale=100)
    order = order_of(world)
    await asyncio.wait_for(order.run(), 2.0)
    assert order.report().order is Order.STOPPED


async def test_the_reported_end_has_a_commit_that_was_under_way_at_the_stop(world, monkeypatch):
    step_down = database_group.FakeLink.step_down

    async def step_down_and_append(link, term, timeout_s):
        stopped = await step_down(link, term, timeout_s)
        link.server.log.append(database_group.LogEntry(term=1, data="late"))
        return stopped

    monkeypatch.setattr(database_group.FakeLink, "step_down", step_down_and_append)
    order = order_of(world)
    await order.run()
    assert order.report().end == builders.position(1, 2)


@pytest.mark.parametrize(
    "error",
    [
        backend_errors.BackendError("BUSY"),
        backend_errors.ConnectionLimitError("full"),
        backend_errors.ServerRefusedError("down"),
        TimeoutError(),
    ],
    ids=repr,
)
async def test_a_primary_that_refuses_the_order_is_asked_again_until_it_accepts(world, error):
    errors = [error] * 5
    refuse_first(world, errors)
    order = order_of(world)
    await asyncio.wait_for(order.run(), 2.0)
    assert errors == [] and order.report().order is Order.STOPPED


@pytest.mark.parametrize("command", ["status", "step_down"])
async def test_a_primary_that_refuses_a_command_is_asked_again(world, monkeypatch, command):
    accepted, refusals = getattr(database_group.FakeLink, command), iter(range(5))

    async def refuse_first_times(link, *arguments):
        if next(refusals, None) is not None:
            raise backend_errors.BackendError("BUSY")
        return await accepted(link, *arguments)

    monkeypatch.setattr(database_group.FakeLink, command, refuse_first_times)
    order = order_of(world)
    await asyncio.wait_for(order.run(), 2.0)
    assert order.report().order is Order.STOPPED


async def test_a_server_that_answers_as_a_replica_reports_its_end_and_was_not_stopped(world):
    world.group.servers[A].role = Role.REPLICA
    order = order_of(world)
    await order.run()
    assert order.report().order is Order.REPLICA
    assert order.report().end == world.group.servers[A].position
    assert world.group.servers[A].received_commands == ["status", "status"]


async def test_a_primary_of_an_older_term_that_was_stopped_did_not_lead_the_newest(world):
    order = order_of(world, term=TERM + 1)
    await order.run()
    assert world.group.servers[A].role is Role.REPLICA
    assert order.report().order is Order.REPLICA


@pytest.mark.parametrize("term", [TERM, TERM + 3])
async def test_a_primary_that_leads_the_term_of_the_order_or_a_newer_one_is_not_stopped(
    world, term
):
    world.group.term = term
    order = order_of(world)
    await run_briefly(order)
    assert world.group.servers[A].role is Role.PRIMARY
    assert order.is_pending and "step_down" not in world.group.servers[A].received_commands


async def test_idle_connections_make_room_for_the_session_of_the_order(world):
    caller = world.open_session(requests.RouteKind.PRIMARY)
    await world.run(caller, proxy_world.WRITE)
    await world.settle()
    used = list(world.group.servers[A].links)
    assert used and not all(link.broken for link in used)
    await order_of(world).run()
    assert all(link.broken for link in used)


async def test_idle_connections_that_were_never_used_make_room_for_the_order(world):
    backend = world.service.servers[A]
    backend.pool.idle.append(await world.group.open_link(backend.entry))
    await run_briefly(order_of(world))
    assert world.group.servers[A].links[0].broken


async def test_a_report_tells_the_latest_signs_of_the_primary(monkeypatch):
    world = peer_world.World(monkeypatch)
    order, contacts = order_of(world), world.service.servers[A].contacts
    world.now_s += 1.0
    # The server may have been heard right before its signs were recorded.
    assert order.report() == former_primary.Report(answered_s=1.0, connected_s=1.0)
    contacts.note(server_contact.Sign.ANSWERED)
    world.now_s += 1.0
    contacts.note(server_contact.Sign.REFUSED)
    world.now_s += 1.0
    contacts.note(server_contact.Sign.CONNECTED)
    world.now_s += 1.0
    contacts.note(server_contact.Sign.NOT_LISTENING)
    world.now_s += 1.0
    contacts.note(server_contact.Sign.UNREACHABLE)
    assert order.report() == former_primary.Report(answered_s=3.0, connected_s=2.0, refused_s=1.0)


async def test_an_open_connection_is_a_contact_until_it_ends_though_it_is_unanswered(monkeypatch):
    world = peer_world.World(monkeypatch)
    monkeypatch.setattr(stop_orders, "MAX_ORDERS", 1)
    refuse_first(world, [])
    answer_late(monkeypatch, late_s=8.0, scale=1)
    order = order_of(world)
    running = asyncio.create_task(order.run())
    await asyncio.sleep(0.01)
    world.now_s += 5.0
    assert order.report() == former_primary.Report(answered_s=5.0, connected_s=0.0)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    assert order.connected == 0 and order.report().connected_s == 0.0
    world.now_s += 1.0
    assert order.report().connected_s == 1.0


async def test_a_crashed_primary_whose_address_is_used_again_is_no_contact(monkeypatch):
    """Each order connected to the other process, which counted as a contact of the primary."""
    world = peer_world.World(monkeypatch)
    monkeypatch.setattr(stop_orders, "RETRY_S", 10.0)
    monkeypatch.setattr(stop_orders, "MAX_ORDERS", 1)
    answers = reuse_address(world)
    world.service.servers[A].contacts.note(server_contact.Sign.ANSWERED)
    world.now_s += 1.0
    order = order_of(world)
    running = asyncio.create_task(order.run())
    await asyncio.sleep(0.01)
    assert order.report().connected_s == 0.0
    world.now_s += 2.0
    assert order.report() == former_primary.Report(answered_s=3.0, connected_s=0.0)
    answers.put_nowait(backend_errors.AddressReusedError("another"))
    await asyncio.sleep(0.01)
    # The other process may have answered right after the connection was opened.
    report = former_primary.Report(answered_s=3.0, connected_s=3.0, refused_s=2.0)
    assert order.report() == report
    await tasks.cancel_and_wait([running])
    assert order.report() == report


async def test_a_connection_that_is_unanswered_after_the_address_was_used_again_is_a_contact(
    monkeypatch,
):
    """The primary may have started again there."""
    world = peer_world.World(monkeypatch)
    answers = reuse_address(world)
    order = order_of(world)
    running = asyncio.create_task(order.run())
    answers.put_nowait(backend_errors.AddressReusedError("another"))
    await asyncio.sleep(0.1)
    assert order.connected and order.report().connected_s == 0.0
    world.now_s += 1.0
    answers.put_nowait(backend_errors.SessionUnansweredError("late"))
    await asyncio.sleep(0.1)
    world.now_s += 1.0
    await tasks.cancel_and_wait([running])
    assert order.report().connected_s == 0.0 and order.report().refused_s == 2.0


async def test_an_unanswered_connection_of_one_order_is_a_contact_to_the_order_of_a_later_term(
    monkeypatch,
):
    world = peer_world.World(monkeypatch)
    reuse_address(world)
    first, second = order_of(world), order_of(world, term=TERM + 1)
    running = asyncio.create_task(first.run())
    await asyncio.sleep(0.01)
    world.now_s += 5.0
    assert second.report().connected_s == 0.0
    await tasks.cancel_and_wait([running])


# Orders of other instances


async def test_an_order_of_another_instance_ends_when_it_is_not_repeated(monkeypatch):
    world, orders = peer_world.World(monkeypatch), stop_orders.StopOrders()
    world.group.servers[A].silent = True
    orders.receive(ORDER, world.service, revision=REVISION)
    _, task = orders.running[REVISION, ORDER]
    for _ in range(3):
        world.now_s += stop_orders.ORDER_TTL_S - 0.01
        orders.expire()
        orders.receive(ORDER, world.service, revision=REVISION)
        await asyncio.sleep(0)
    assert orders.running[REVISION, ORDER][1] is task and not task.done()
    world.now_s += stop_orders.ORDER_TTL_S + 0.01
    orders.expire()
    await asyncio.gather(task, return_exceptions=True)
    assert task.cancelled() and not orders.running and not orders.asked_at_s


async def test_a_repeated_order_tells_its_result(world):
    orders = stop_orders.StopOrders()
    assert orders.receive(ORDER, world.service, revision=REVISION).report.order is Order.PENDING
    await world.settle()
    told = orders.receive(ORDER, world.service, revision=REVISION)
    assert told.order == ORDER and told.report.order is Order.STOPPED


async def test_an_order_for_a_later_record_is_sent_anew(world):
    """A primary that was stopped for the earlier one may have led again, and has a later end."""
    orders = stop_orders.StopOrders()
    orders.receive(ORDER, world.service, revision=REVISION)
    await world.settle()
    world.group.servers[A].role = Role.PRIMARY
    world.group.commit(world.group.servers[A], "later")
    told = orders.receive(ORDER, world.service, revision=REVISION + 1)
    assert told.report.order is Order.PENDING
    await world.settle()
    told = orders.receive(ORDER, world.service, revision=REVISION + 1)
    assert told.report.end == world.group.servers[A].position
    assert world.group.servers[A].role is Role.REPLICA


async def test_an_end_proves_nothing_once_another_server_was_promoted_in_the_term_of_the_order(
    world, monkeypatch
):
    """Its log may lack what that server has committed."""
    step_down = database_group.FakeLink.step_down

    async def step_down_and_promote(link, term, timeout_s):
        answer = await step_down(link, term, timeout_s)
        world.group.promote(ids.ServerId("server-b"))
        return answer

    monkeypatch.setattr(database_group.FakeLink, "step_down", step_down_and_promote)
    order = order_of(world)
    await asyncio.wait_for(order.run(), 2.0)
    assert order.report().order is Order.REPLICA


async def test_signs_of_a_primary_that_is_listed_again_are_reported(monkeypatch):
    world, orders = peer_world.World(monkeypatch), stop_orders.StopOrders()
    world.group.servers[A].silent = True
    orders.receive(ORDER, world.service, revision=REVISION)
    world.directory.servers.remove(A, world.now_s)
    world.directory.refresh()
    world.list_servers()
    world.now_s += 1.0
    world.service.servers[A].contacts.note(server_contact.Sign.ANSWERED)
    told = orders.receive(ORDER, world.service, revision=REVISION)
    for _, task in orders.running.values():
        task.cancel()
    assert told.report.answered_s == 0.0


async def test_an_instance_without_connections_reports_its_contacts_and_sends_no_order(monkeypatch):
    world, orders = peer_world.World(monkeypatch), stop_orders.StopOrders()
    world.service.resize(1, holds_connections=False)
    world.now_s += 1.0
    world.service.servers[A].contacts.note(server_contact.Sign.ANSWERED)
    world.now_s += 2.0
    told = orders.receive(ORDER, world.service, revision=REVISION)
    report = former_primary.Report(answered_s=2.0, connected_s=2.0)
    assert told == datagrams.PrimaryReport(order=ORDER, report=report)
    assert not orders.running and not orders.asked_at_s


@pytest.mark.parametrize("knows_service", [True, False])
async def test_an_instance_that_knows_nothing_of_the_primary_reports_nothing(world, knows_service):
    orders, order = stop_orders.StopOrders(), ORDER
    if knows_service:
        order = dataclasses.replace(ORDER, server=ids.ServerId("x"))
    assert (
        orders.receive(order, world.service if knows_service else None, revision=REVISION) is None
    )
    assert not orders.running and not orders.asked_at_s
