"""A primary is stopped before its successor is promoted; what if it does not, or is lost then."""

import asyncio
import collections.abc
import contextlib
import dataclasses

import pytest

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, promotion, server_contact
from mustardswitch.proxy import (
    directory,
    end_of_commits,
    failover_watch,
    successor_choice,
    takeover,
)
from mustardswitch_standins import database_group
from tests.common import proxy_world, takeovers

OTHER = ids.InstanceId("two")
A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")


@contextlib.asynccontextmanager
async def _commits_going_on(
    world: proxy_world.World,
    may_commit: collections.abc.Callable[[], bool] = lambda: True,
) -> collections.abc.AsyncIterator[None]:
    """Commit at the primary all the time, as an instance does that has lost the store."""

    async def commit() -> None:
        number = 0
        while True:
            number += 1
            if may_commit():
                world.group.commit(world.group.servers[A], f"w{number}")
            await asyncio.sleep(0.01)

    committing = asyncio.create_task(commit())
    try:
        yield
    finally:
        committing.cancel()


def _leaving_world() -> proxy_world.World:
    world = proxy_world.World()
    world.group.commit(world.group.primary, "old")
    world.group.servers[A].leaving = True
    world.list_servers()
    return world


def _commit_on_an_unlisted_server_at_the_stop(monkeypatch, world, after_stop) -> None:
    """Let a server that is not listed alone confirm a commit right before the primary is stopped.

    ``after_stop`` is called after each order to stop, with the number of orders so far.
    """
    started = world.group.start_server(zone="d")
    started.not_receiving = True
    step_down = database_group.FakeLink.step_down
    orders = []

    async def commit_and_step_down(link, term, timeout_s):
        if not orders:
            world.group.servers[B].not_receiving = world.group.servers[C].not_receiving = True
            started.not_receiving = False
            world.group.catch_up(started)
            assert world.group.commit(world.group.servers[A], "x")
        orders.append(term)
        status = await step_down(link, term, timeout_s)
        after_stop(len(orders))
        return status

    monkeypatch.setattr(database_group.FakeLink, "step_down", commit_and_step_down)


async def test_a_listed_server_that_gives_no_answer_confirms_no_commit_of_a_handover():
    """Nothing waited for it, since the primary leaves, and nothing had ended the commits."""
    world = _leaving_world()
    world.group.servers[C].silent = True
    world.promoter.effect_delay_s = 0.3
    async with _commits_going_on(world):
        changing = asyncio.create_task(takeovers.take_over(world))
        while not world.promoter.promotion_requests:
            await asyncio.sleep(0.005)
        world.group.servers[B].not_receiving = True
        assert await changing
    assert world.group.lost == []


async def test_a_leaving_primary_that_refuses_the_order_to_stop_is_kept(monkeypatch):
    """It was replaced as if it had given no answer, while it took commits of other callers."""
    monkeypatch.setattr(successor_choice, "HANDOVER_TIMEOUT_S", 0.3)
    world = _leaving_world()
    world.group.start_server(zone="d")
    world.promoter.effect_delay_s = 0.2

    async def refuse(link, term, timeout_s):
        raise backend_errors.BackendError("server server-a: BUSY")

    monkeypatch.setattr(database_group.FakeLink, "step_down", refuse)
    async with _commits_going_on(world):
        assert not await takeovers.take_over(world)
        await asyncio.sleep(0.3)
    assert takeovers.requested_successors(world) == [] and world.group.lost == []


async def test_a_leaving_primary_that_refuses_queries_is_kept_until_it_answers(monkeypatch):
    """An overloaded primary was replaced as if it had given no answer."""
    monkeypatch.setattr(end_of_commits, "PAUSE_TIMEOUT_S", 0.2)
    world = _leaving_world()
    world.group.start_server(zone="d")
    status = database_group.FakeLink.status
    refused = 0

    async def refuse_at_first(link, timeout_s):
        nonlocal refused
        if link.server.name == A and refused < 20:
            refused += 1
            raise backend_errors.BackendError("server server-a: BUSY")
        return await status(link, timeout_s)

    monkeypatch.setattr(database_group.FakeLink, "status", refuse_at_first)
    async with _commits_going_on(world):
        await takeovers.watch_until(
            world, lambda: world.group.servers[A].role is promotion.Role.REPLICA
        )
    assert world.group.lost == []


async def test_a_leaving_primary_that_one_instance_alone_suspects_is_stopped(monkeypatch):
    """No votes are needed to replace a primary that leaves, and it was not queried."""
    world = proxy_world.World()
    monkeypatch.setattr(failover_watch.suspicion, "suspects", lambda contact: True)
    monkeypatch.setattr(failover_watch.suspicion, "votes_suffice", lambda **counts: False)
    world.group.servers[A].leaving = True
    world.list_servers()
    world.group.start_server(zone="d")
    world.promoter.effect_delay_s = 0.2
    async with _commits_going_on(world):
        await takeovers.watch_until(
            world, lambda: world.group.servers[A].role is promotion.Role.REPLICA
        )
    assert world.group.lost == []


async def test_a_stopped_primary_that_starts_anew_under_its_id_proves_nothing(monkeypatch):
    """It holds and knows nothing of before, so its end was below that of any log."""
    world = _leaving_world()
    _commit_on_an_unlisted_server_at_the_stop(
        monkeypatch, world, lambda orders: world.group.servers[A].log.clear()
    )
    await takeovers.take_over(world)
    assert world.group.lost == []


async def test_no_server_below_the_end_of_a_stopped_primary_that_died_is_promoted(monkeypatch):
    """The holder knew the end, which only a server that was not listed yet held."""
    monkeypatch.setattr(successor_choice, "HANDOVER_TIMEOUT_S", 0.4)
    world = _leaving_world()

    def die_after_the_second(orders: int) -> None:
        if orders == 2:
            world.group.servers[A].up = False

    _commit_on_an_unlisted_server_at_the_stop(monkeypatch, world, die_after_the_second)
    assert not await takeovers.take_over(world)
    assert world.group.lost == []


async def test_a_former_primary_that_stepped_down_counts_after_its_entry_expired():
    """Its last entry named it the primary, and no server leads since."""
    world = proxy_world.World()
    world.service.note_not_leading(A, query_sent_at_s=clock.now_s() + 0.1)
    assert world.service.leader is None
    takeovers.lose_entry(world, A, silent_s=10.0)
    assert A in world.service.servers_with_commits()


async def test_replicas_of_a_primary_that_is_promoted_again_are_not_paused(monkeypatch):
    """A server that was stopped may report the term of the order, above which no PAUSE may be."""
    world = _leaving_world()
    _commit_on_an_unlisted_server_at_the_stop(monkeypatch, world, lambda orders: None)
    status = world.group.status
    world.promoter.effect_delay_s = 0.2

    def status_with_term(server):
        found = status(server)
        if server.name == A and "step_down" in server.received_commands:
            found = dataclasses.replace(found, term=max(found.term, ids.Term(2)))
        return found

    monkeypatch.setattr(world.group, "status", status_with_term)
    pauses = []
    pause = database_group.FakeLink.pause

    async def note_pause(link, term, timeout_s):
        pauses.append((int(term), world.group.term))
        return await pause(link, term, timeout_s)

    monkeypatch.setattr(database_group.FakeLink, "pause", note_pause)
    await takeovers.take_over(world)
    assert world.group.primary.name == A and world.group.lost == []
    assert not [pause for pause in pauses if pause[1] == 2]
    assert max(term for term, _ in pauses) <= world.group.term


async def test_a_stopped_primary_is_compared_by_the_next_holder(monkeypatch):
    """The first holder dies after it stopped the primary, which then gives no answer and alone,
    beside a server that is not listed, holds the last commit.
    """
    world = _leaving_world()
    world.share_marks()
    monkeypatch.setattr(end_of_commits, "SUCCESSOR_LAG_S", 5.0)
    _commit_on_an_unlisted_server_at_the_stop(monkeypatch, world, lambda orders: None)
    dying = asyncio.create_task(takeovers.take_over(world))
    while world.group.primary is not None:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    dying.cancel()
    await asyncio.gather(dying, return_exceptions=True)
    world.coordination.claimed.clear()
    world.group.servers[A].up = False
    await takeovers.take_over(world)
    assert world.group.lost == []


async def test_a_primary_that_is_kept_under_a_late_request_takes_no_commits():
    """An earlier request for B may be executed until that for the primary is. Commits of an
    instance that had lost the store were confirmed by a server that is not listed yet. It has
    not heard from the store since the claim under which B was recorded, which has expired.
    """
    other = proxy_world.World()
    other.directory.permission.note_current(clock.now_s() - database_group.CLAIM_S)
    other.directory.instances.put(OTHER, directory.Peer(zone=ids.ZoneName("a")))
    world = proxy_world.World()
    world.share_marks()
    world.coordination.promotions[database_group.SERVICE] = B
    world.group.servers[B].silent = True
    world.group.servers[B].paused_term = world.group.servers[C].paused_term = 2
    world.group.start_server(zone="d")
    world.promoter.delayed = [(B, 0)]
    world.promoter.lose_answers, world.promoter.executes = 2, False
    async with _commits_going_on(world, other.directory.may_send_commits):
        changing = asyncio.create_task(takeovers.take_over(world))
        while not world.promoter.promotion_requests:
            await asyncio.sleep(0.01)
        world.promoter._execute(*world.promoter.delayed.pop(0))
    await changing
    assert world.group.lost == []


async def test_a_crashed_primary_whose_address_another_process_has_is_replaced_at_once():
    """Orders to stop that the other process accepted kept the service without a primary."""
    world = proxy_world.World()
    world.group.commit(world.group.primary, "old")
    world.group.servers[A].up = False
    world.service.servers[A].contacts.note(server_contact.Sign.ANSWERED)

    async def open_order(entry, on_connected):
        on_connected()
        await asyncio.sleep(0.005)
        raise backend_errors.AddressReusedError("another")

    world.service.order_opener = open_order
    assert await asyncio.wait_for(takeovers.take_over(world, silent=True), 5.0)
    assert takeovers.another_leads(world) and world.group.lost == []


def _let_recorded_leave(monkeypatch, world: proxy_world.World) -> list[ids.ServerId]:
    """Let the first server that is recorded begin to leave then, and another be listed for it.

    Returns all recorded servers.
    """
    record, recorded = world.coordination.record_promotion, []

    async def record_and_leave(claim, server):
        if not recorded:
            world.group.servers[server].leaving = True
            world.group.start_server(zone="d")
            world.list_servers()
        recorded.append(server)
        return await record(claim, server)

    monkeypatch.setattr(world.coordination, "record_promotion", record_and_leave)
    return recorded


async def test_a_recorded_server_that_leaves_is_not_promoted_beside_one_that_stays(monkeypatch):
    """It ended before it led, and the service waited for the next promotion."""
    world = proxy_world.World()
    world.group.commit(world.group.primary, "old")
    world.group.servers[A].up = False
    recorded = _let_recorded_leave(monkeypatch, world)
    assert await asyncio.wait_for(takeovers.take_over(world, silent=True), 5.0)
    assert not world.group.primary.leaving and world.group.lost == []
    assert len(recorded) == 2 and recorded[1] == world.group.primary.name


async def test_a_recorded_server_that_leaves_is_promoted_if_it_alone_has_the_last_commit(
    monkeypatch,
):
    world = proxy_world.World()
    world.group.servers[B].not_receiving = True
    world.group.commit(world.group.primary, "last")
    world.group.servers[A].up = False
    recorded = _let_recorded_leave(monkeypatch, world)
    assert await asyncio.wait_for(takeovers.take_over(world, silent=True), 5.0)
    assert world.group.primary.name == C and recorded == [C] and world.group.lost == []


@pytest.fixture
def long_wait_for_effect(monkeypatch):
    """Let a holder wait for long until a promoted server leads."""
    monkeypatch.setattr(takeover, "PROMOTION_TIMEOUT_S", 30.0)
    monkeypatch.setattr(takeover, "RENEWAL_LIMIT_S", 30.0)
    monkeypatch.setattr(takeover, "PROMOTION_DELAY_S", 0.3)


async def _request_promotion(world: proxy_world.World) -> tuple[asyncio.Task, ids.ServerId]:
    """Promote a server after a crash; returns once the promotion is requested."""
    world.group.commit(world.group.primary, "old")
    world.group.servers[A].up = False
    world.promoter.effect_delay_s = 1.0
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    while not world.promoter.promotion_requests:
        await asyncio.sleep(0.01)
    return changing, world.promoter.promotion_requests[0][0]


@pytest.mark.parametrize("has_left", [False, True])
async def test_a_promoted_server_whose_process_has_ended_is_not_waited_for(
    long_wait_for_effect, has_left
):
    """The service waited as long as for one that is late."""
    world = proxy_world.World()
    changing, requested = await _request_promotion(world)
    world.group.servers[requested].up = False
    if has_left:
        world.service.servers[requested].entry = dataclasses.replace(
            world.service.servers[requested].entry, leaving=True
        )
        takeovers.expire_entry(world, requested)
    assert not await asyncio.wait_for(changing, 5.0)
    # The promotion may take effect once the server is back.
    assert world.coordination.promotions[database_group.SERVICE] == requested
    others = [each for name, each in world.group.servers.items() if name not in (A, requested)]
    assert others and all(each.paused_term for each in others)


async def test_a_promoted_server_that_is_back_before_its_promotion_takes_effect_is_waited_for(
    long_wait_for_effect,
):
    world = proxy_world.World()
    changing, requested = await _request_promotion(world)
    world.group.servers[requested].up = False
    await asyncio.sleep(0.15)
    world.group.servers[requested].up = True
    assert await asyncio.wait_for(changing, 5.0)
    assert world.group.primary.name == requested and world.group.lost == []


async def test_a_promoted_server_that_gives_no_answer_is_waited_for(long_wait_for_effect):
    world = proxy_world.World()
    changing, requested = await _request_promotion(world)
    world.group.servers[requested].silent = True
    await asyncio.sleep(1.5)
    assert not changing.done()
    world.group.servers[requested].silent = False
    assert await asyncio.wait_for(changing, 5.0)
