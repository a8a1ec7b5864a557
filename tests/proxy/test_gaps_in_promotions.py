"""Ways in which a promotion could lose acknowledged commits, or never come."""

import asyncio

import pytest

from mustardswitch import metrics
from mustardswitch.internal import (
    clock,
    commit_permission,
    former_primary,
    ids,
    positions,
    promotion,
)
from mustardswitch.peers import datagrams
from mustardswitch.proxy import acknowledged, end_of_commits, ports
from mustardswitch_standins import database_group
from tests.common import peer_world, proxy_world, takeovers

A, B, C = peer_world.A, peer_world.B, peer_world.C
ONE, TWO, THREE = peer_world.ONE, peer_world.TWO, peer_world.THREE


def at(offset: int) -> positions.Position:
    """Build a position of the first term."""
    return positions.Position(term=ids.Term(1), offset=ids.Offset(offset))


@pytest.fixture
def world(monkeypatch):
    return peer_world.World(monkeypatch)


def test_a_log_without_the_later_of_two_commits_under_way_together_is_not_promoted():
    """A server that is not listed yet has confirmed both; the paused replica has the first one."""
    commits = acknowledged.AcknowledgedCommits(
        service=database_group.SERVICE, registry=metrics.Registry()
    )
    commits.note_shown(A, at(100))
    shown_before = commits.shown_by(A)
    for offset in (101, 102):
        commits.note_acknowledged(
            A, above=shown_before, shown=at(offset), request=ids.RequestId(str(offset))
        )
    replica = promotion.ServerStatus(
        role=promotion.Role.REPLICA, term=ids.Term(1), received=at(101), paused=True
    )
    evidence = promotion.Evidence(
        expected={B},
        paused={B: replica},
        commits_held=True,
        former_primary=promotion.FormerPrimary.NOT_LISTENING,
        acknowledged_above=commits.highest_above(but=B),
    )
    choice = promotion.choose(evidence, leaving=set())
    assert choice.verdict is promotion.Verdict.WAIT


def test_a_stale_statement_that_arrives_late_permits_no_commits(world):
    """Updates are doubled by networks, and wait in the socket of an instance that is suspended."""
    statements = [datagrams.PeerUpdate(instance=name, stale=True) for name in (TWO, THREE)]
    for statement in statements:
        world.updates.receive(statement)
    world.now_s += 20.0
    assert not world.directory.may_send_commits()
    for statement in statements:
        world.updates.receive(statement)
    assert not world.directory.may_send_commits()


def test_an_instance_sends_no_commits_by_records_of_before_its_start(monkeypatch):
    """Its earlier start may have confirmed a hold that a relay with older records does not tell."""
    now_s = 1000.0
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    permission = commit_permission.CommitPermission()
    permission.note_current(now_s - commit_permission.PERMISSION_S + 0.5)
    assert not permission.allows(now_s, registered=True, others=[TWO])
    permission.note_current(now_s)
    assert permission.allows(now_s, registered=True, others=[TWO])


async def test_commits_that_no_known_server_has_are_waited_for_however_long(monkeypatch):
    """They were given up after six seconds; the server that has them may be reached again."""
    monkeypatch.setattr(end_of_commits, "PAUSE_TIMEOUT_S", 0.2)
    world = proxy_world.World()
    above = positions.Position(term=ids.Term(1), offset=ids.Offset(1000))
    world.service.acknowledged.note_acknowledged(
        A,
        above=above,
        shown=positions.Position(term=ids.Term(1), offset=ids.Offset(1001)),
        request=ids.RequestId("r"),
    )
    world.coordination.hold_commits = lambda *args, **changes: ports.HoldReport(
        complete=True, above=world.service.acknowledged.highest_above(but=B)
    )
    world.group.servers[A].up = False
    now_s = clock.now_s
    monkeypatch.setattr(clock, "now_s", lambda: now_s() + 3600.0)
    for _ in range(3):
        changing = asyncio.create_task(takeovers.take_over(world, silent=True))
        await asyncio.wait({changing}, timeout=2.0)
        changing.cancel()
        await asyncio.gather(changing, return_exceptions=True)
    assert world.promoter.promotion_requests == []


async def test_a_replica_that_lacks_acknowledged_commits_goes_on_receiving_them():
    """The primary gives this instance no answer, and replicates on, a moment late."""
    world = proxy_world.World()
    takeovers.expire_entry(world, C)
    world.service.unlisted.clear()
    primary, late = world.group.servers[A], world.group.servers[B]
    before = primary.position
    late.not_receiving = True
    world.group.commit(primary, "confirmed by a server that is not listed yet")
    contacts = world.service.servers[A].contacts
    takeovers.cut_off(world)
    contacts.since_s = clock.now_s() - former_primary.UNREACHED_S
    world.service.listing_s = 1.0
    world.coordination.hold_commits = lambda *args, **changes: ports.HoldReport(
        complete=True, above=before
    )
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.sleep(0.3)
    paused_before = late.paused_term > 0
    late.not_receiving = False
    world.group.catch_up(late)
    done = await changing
    assert (done, paused_before) == (True, False)
    assert world.group.primary is late and world.group.lost == []
