"""Waits for an unlisted server that end although the server may have confirmed commits."""

import asyncio

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, server_contact
from mustardswitch.proxy import ports
from mustardswitch_standins import database_group
from tests.common import proxy_world, takeovers

A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
SETTLE_S = 0.3
"""Time in which a promotion is requested that waits for nothing."""


async def test_a_replacement_that_is_listed_while_the_watch_is_behind_loses_no_commit():
    """The store lists it in time; the holder would hear of it later."""
    world = proxy_world.World()
    world.service.listing_s = 0.6
    takeovers.lose_replica(world)
    started = takeovers.commit_on_unlisted_server(world)
    is_in_store = asyncio.Event()

    async def list_servers() -> None:
        if is_in_store.is_set():
            world.list_servers()

    world.coordination.refresh_servers = list_servers
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.sleep(SETTLE_S)
    is_in_store.set()
    assert await changing
    assert world.group.primary is started and world.group.lost == []


async def test_a_holder_without_connections_to_the_primary_does_not_take_its_silence_for_an_end():
    """Its gateways were killed right after their last answers; the holder has never asked it."""
    world = proxy_world.World()
    world.service.listing_s = 1.5
    takeovers.lose_replica(world)
    world.service.resize(1, holds_connections=False)
    contacts = world.service.servers[A].contacts
    contacts.at_s, contacts.since_s = {}, clock.now_s() - 100.0
    takeovers.commit_on_unlisted_server(world)
    assert await _requested_before_the_listing(world) == []
    assert world.group.lost == []


async def test_a_server_that_started_in_an_outage_is_waited_for_beside_a_whole_service():
    """A replica could not report that it leaves while the store was down."""
    world = proxy_world.World()
    world.directory.servers.note_outage()
    takeovers.commit_on_unlisted_server(world)
    world.directory.servers.note_recovery(clock.now_s())
    assert await _requested_before_the_listing(world) == []
    assert world.group.lost == []


async def test_a_replica_that_reports_to_leave_after_the_list_was_read_loses_no_commit():
    """The holder read the list when it began, and its replacement confirmed a commit meanwhile."""
    world = proxy_world.World()
    world.service.listing_s = 1.5
    is_held = False
    world.coordination.hold_commits = lambda *args, **changes: ports.HoldReport(complete=is_held)
    started = world.group.start_server(zone="d")
    unlisted = [started.name]
    world.coordination.refresh_servers = _as_task(lambda: _list_but(world, unlisted))
    world.group.servers[B].not_receiving = world.group.servers[C].not_receiving = True
    primary = world.group.servers[A]
    _answer_no_orders(world)
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.sleep(SETTLE_S)
    world.group.servers[C].leaving = True
    assert world.group.commit(primary, "x")
    primary.up = False
    is_held = True
    await asyncio.sleep(2 * SETTLE_S)
    assert takeovers.requested_successors(world) == []
    unlisted.clear()
    _list_but(world, unlisted)
    assert await changing
    assert world.group.lost == []


async def test_a_primary_that_answers_nothing_and_replicates_on_loses_no_commit():
    """It accepted connections, and executed a commit after a server had started that is not listed
    yet; its last answer was long ago.
    """
    world = proxy_world.World()
    world.service.listing_s = 1.0
    takeovers.lose_replica(world)
    contacts = world.service.servers[A].contacts
    contacts.since_s = clock.now_s() - 100.0
    contacts.at_s = {server_contact.Sign.CONNECTED: clock.now_s()}
    has_ended = asyncio.Event()

    async def open_order(entry, on_connected):
        on_connected()
        await has_ended.wait()
        raise backend_errors.ServerRefusedError("no process listens")

    world.service.order_opener = open_order
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.sleep(SETTLE_S)
    started = takeovers.commit_on_unlisted_server(world)
    has_ended.set()
    await asyncio.sleep(2 * SETTLE_S)
    assert takeovers.requested_successors(world) == []
    world.list_servers()
    assert await changing
    assert world.group.primary is started and world.group.lost == []


async def test_a_pause_that_ends_before_commits_do_loses_no_commit(monkeypatch):
    """A server restarted after its answer to a query, and received the last commit, while another
    one took its time to answer the same query.
    """
    world = proxy_world.World()
    _answer_no_orders(world)
    status, has_ended = database_group.FakeLink.status, False

    async def answer_late(link, timeout_s):
        nonlocal has_ended
        if link.server.name == C and world.group.servers[B].paused_term and not has_ended:
            has_ended = True
            await asyncio.sleep(0.1)
            world.group.servers[B].paused_term = 0
            world.group.servers[C].not_receiving = True
            assert world.group.commit(world.group.servers[A], "x")
            world.group.servers[A].up = False
            await asyncio.sleep(SETTLE_S)
        return await status(link, timeout_s)

    monkeypatch.setattr(database_group.FakeLink, "status", answer_late)
    assert await takeovers.take_over(world, silent=True)
    assert has_ended and world.group.lost == []


async def _requested_before_the_listing(world: proxy_world.World) -> list[ids.ServerId]:
    """Change the primary; return what was requested before all servers were listed."""
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.sleep(SETTLE_S)
    requested = takeovers.requested_successors(world)
    world.list_servers()
    await changing
    return requested


def _answer_no_orders(world: proxy_world.World) -> None:
    """Let orders to the primary stay without an answer, and be refused once it has ended."""

    async def open_order(entry, on_connected):
        if world.group.servers[A].up:
            raise backend_errors.BackendUnreachableError("no answer")
        raise backend_errors.ServerRefusedError("no process listens")

    world.service.order_opener = open_order


def _as_task(function):
    async def run() -> None:
        function()

    return run


def _list_but(world: proxy_world.World, unlisted: list[ids.ServerId]) -> None:
    """List all servers but some."""
    listed = {each.server: each for each in world.group.entries() if each.server not in unlisted}
    world.directory.servers.replace(listed, clock.now_s())
    world.directory.refresh()


async def test_a_server_that_is_listed_long_after_its_start_loses_no_commit():
    """It alone has the last commit, and the wait for it is one and a quarter heartbeats."""
    world = proxy_world.World()
    takeovers.lose_replica(world)
    started = takeovers.commit_on_unlisted_server(world)
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.sleep(world.service.listing_s + SETTLE_S)
    world.list_servers()
    await changing
    assert world.group.lost == [] and world.group.primary is started
