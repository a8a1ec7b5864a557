"""Servers and positions that a change of primary passes over although they may hold commits."""

import pytest

from mustardswitch import metrics
from mustardswitch.internal import ids, positions, promotion, unlisted_servers
from mustardswitch.proxy import acknowledged, ports, server_list
from mustardswitch_standins import database_group
from tests.common import coverage_world, member_world, proxy_world, takeovers

A, B, C = takeovers.A, takeovers.B, takeovers.C


def _at(offset: int) -> positions.Position:
    return positions.Position(term=ids.Term(1), offset=ids.Offset(offset))


@pytest.fixture
def world(monkeypatch):
    return coverage_world.build(monkeypatch)


async def _end_without_an_entry(world: proxy_world.World, name: ids.ServerId) -> None:
    """Let a replica end that has confirmed the last commit, and be found without a process."""
    assert world.group.commit(world.group.primary, "before its end")
    world.group.servers[name].up = False
    takeovers.lose_entry(world, name, silent_s=server_list.EXPIRY_SILENCE_S)
    await coverage_world.check(world)


async def test_a_covered_server_that_ran_again_and_ended_is_waited_for(world):
    await _end_without_an_entry(world, C)
    coverage_world.confirm_alone(world, C)
    await coverage_world.check(world)
    world.group.servers[C].up = False
    world.group.servers[A].up = False
    await coverage_world.change_primary(world)
    assert world.group.lost == []


async def test_a_covered_server_that_was_replaced_and_runs_again_counts(world):
    """It is cut off from the store, so no list names it."""
    await _end_without_an_entry(world, C)
    replacement = world.group.start_server(zone="d")
    world.group.catch_up(replacement)
    takeovers.expire_entry(world, C)
    member_world.note_recorded(world)
    await coverage_world.check(world)
    assert C not in world.service.possible_holders()
    coverage_world.confirm_alone(world, C)
    world.group.servers[A].up = False
    await coverage_world.change_primary(world)
    assert world.group.lost == []


async def test_a_server_is_not_passed_over_once_the_one_that_had_its_commits_has_left(world):
    world.group.start_server(zone="d").not_receiving = True
    world.group.servers[B].leaving = True
    world.list_servers()
    await _end_without_an_entry(world, C)
    del world.group.servers[B]
    world.list_servers()
    takeovers.expire_entry(world, C)
    world.group.servers[A].up = False
    await coverage_world.change_primary(world)
    assert world.group.lost == []


@pytest.mark.parametrize("removed", [False, True], ids=["listed", "entry_removed"])
async def test_the_recorded_end_of_a_stopped_primary_is_required_until_a_log_reaches_it(removed):
    """The server that had confirmed its last commit was never listed, and is lost."""
    world = proxy_world.World()
    lost = takeovers.commit_on_unlisted_server(world)
    primary = world.group.servers[A]
    primary.up, primary.silent = True, True
    del world.group.servers[lost.name]
    world.coordination.ends[database_group.SERVICE] = ports.StoppedPrimary(
        server=A, end=primary.position
    )
    if removed:
        takeovers.cut_off(world)
        world.service.removed_at_s[A] -= 3.0
    await coverage_world.change_primary(world)
    assert world.group.lost == []


def test_a_leaving_server_whose_entry_expires_after_short_heartbeats_counts():
    """Three intervals of half a second have passed since it was written."""
    world = proxy_world.World()
    world.service.listing_s = unlisted_servers.time_to_list_s(0.5)
    world.group.servers[C].leaving = True
    world.list_servers()
    takeovers.lose_entry(world, C, silent_s=1.6)
    assert C in world.service.possible_holders()


def test_the_end_of_a_stopped_primary_below_an_acknowledged_commit_proves_nothing():
    status = promotion.ServerStatus(
        role=promotion.Role.REPLICA, term=ids.Term(1), received=_at(5), paused=True
    )
    evidence = promotion.Evidence(
        expected={B},
        paused={B: status},
        commits_held=True,
        stopped_end=_at(3),
        acknowledged_above=_at(6),
    )
    assert promotion.proof(B, evidence) is None


def test_the_position_that_commits_under_way_together_show_outlasts_the_primarys_entry():
    commits = acknowledged.AcknowledgedCommits(
        service=database_group.SERVICE, registry=metrics.Registry()
    )
    commits.note_shown(A, _at(100))
    before = commits.shown_by(A)
    for offset in (101, 102):
        commits.note_acknowledged(
            A, above=before, shown=_at(offset), request=ids.RequestId(str(offset))
        )
    commits.forget(A)
    assert commits.highest_above(but=B) == _at(101)
