"""When a server without an entry is known to hold no commit alone."""

import dataclasses

import pytest

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, gateways, ids
from mustardswitch.internal.placement import forwarding
from mustardswitch.proxy import connected_instances, directory, server_list
from tests.common import coverage_world, member_world, proxy_world, takeovers

A, B, C = takeovers.A, takeovers.B, takeovers.C


@pytest.fixture
def world(monkeypatch):
    return coverage_world.build(monkeypatch)


async def _lose(world: proxy_world.World, *, up: bool) -> None:
    """Remove the entry of a replica that confirms a commit right before."""
    world.group.commit(world.group.primary, "latest")
    world.group.servers[C].up = up
    takeovers.lose_entry(world, C, silent_s=server_list.EXPIRY_SILENCE_S)


def _is_covered(world: proxy_world.World) -> bool:
    return world.service.covered_end(C) is not None


def _entry(world: proxy_world.World, name: ids.ServerId):
    return next(each for each in world.group.entries() if each.server == name)


async def test_a_server_that_ended_is_covered_by_a_replica_with_the_primarys_end(world):
    await _lose(world, up=False)
    await coverage_world.check(world)
    assert _is_covered(world)


async def test_a_server_that_ended_is_not_covered_while_all_others_lag(world):
    world.group.servers[B].not_receiving = True
    await _lose(world, up=False)
    await coverage_world.check(world)
    assert not _is_covered(world)
    world.group.servers[B].not_receiving = False
    world.group.catch_up(world.group.servers[B])
    await coverage_world.check(world)
    assert _is_covered(world)


async def test_a_server_that_ended_is_not_covered_by_the_primary_alone(world):
    del world.group.servers[B]
    world.list_servers()
    await _lose(world, up=False)
    await coverage_world.check(world)
    assert not _is_covered(world)


async def test_a_server_that_runs_without_an_entry_is_not_covered(world):
    await _lose(world, up=True)
    await coverage_world.check(world)
    assert not _is_covered(world)
    assert C in world.service.possible_holders()


async def test_a_silent_server_is_not_covered_however_long_it_lasts(world, monkeypatch):
    await _lose(world, up=True)
    world.group.servers[C].silent = True
    now_s = clock.now_s
    monkeypatch.setattr(clock, "now_s", lambda: now_s() + 3600.0)
    await coverage_world.check(world, times=2)
    assert not _is_covered(world)
    assert C in world.service.possible_holders()


async def test_a_server_whose_place_an_unlisted_one_has_taken_is_not_covered(world, monkeypatch):
    """It was started again behind a cut from the store, under a name that nobody knows."""
    await _lose(world, up=True)
    open_link = world.group.open_link

    async def open_renamed(entry, *args):
        if entry.server == C:
            raise backend_errors.AddressReusedError("another server has its address")
        named = C if entry.server == ids.ANY_SERVER else entry.server
        return await open_link(_entry(world, named), *args)

    backend = world.service.unlisted[C].backend
    backend.entry = dataclasses.replace(backend.entry, port=2)
    backend.opener = open_renamed
    await coverage_world.check(world)
    assert not _is_covered(world)


async def test_a_covered_server_is_forgotten_once_no_server_is_missing(world):
    await _lose(world, up=False)
    await coverage_world.check(world)
    assert C in world.service.possible_holders()
    replacement = world.group.start_server(zone="d")
    takeovers.expire_entry(world, C)
    await coverage_world.check(world, times=1)
    # Other instances are to learn first that it is covered.
    assert C in world.service.possible_holders()
    member_world.note_recorded(world)
    await coverage_world.check(world, times=1)
    assert set(world.service.possible_holders()) == {A, B, replacement.name}


async def test_a_server_that_is_not_covered_stays_though_no_server_is_missing(world):
    await _lose(world, up=True)
    world.group.start_server(zone="d")
    takeovers.expire_entry(world, C)
    await coverage_world.check(world, times=1)
    assert C in world.service.possible_holders()


async def test_a_change_of_primary_waits_for_no_covered_server(world):
    await _lose(world, up=False)
    await coverage_world.check(world)
    world.group.servers[A].up = False
    assert await takeovers.take_over(world)
    assert world.group.primary is world.group.servers[B]
    assert world.group.lost == []


async def test_a_change_of_primary_waits_for_a_server_that_ended_and_is_not_covered(world):
    """It may alone have received the last commits; the primary may come back with them."""
    world.group.servers[B].not_receiving = True
    await _lose(world, up=False)
    await coverage_world.check(world)
    world.group.servers[A].up = False
    assert not await takeovers.take_over(world)
    assert world.promoter.promotion_requests == []


async def test_a_covered_server_that_runs_again_counts_at_a_change_of_primary(world):
    await _lose(world, up=False)
    await coverage_world.check(world)
    world.group.servers[C].up = True
    world.group.catch_up(world.group.servers[C])
    world.group.servers[B].not_receiving = True
    world.group.commit(world.group.primary, "confirmed by it alone")
    world.group.servers[A].up = False
    assert await takeovers.take_over(world)
    assert world.group.primary is world.group.servers[C]
    assert world.group.lost == []


async def test_instances_that_hold_connections_are_ranked_to_ask_and_to_write(world):
    """In a large fleet the others ask no server, and could not tell that one is covered."""
    names = [ids.InstanceId(f"instance-{number}") for number in range(6)]
    for name in names:
        world.directory.instances.put(name, directory.Peer(zone=ids.ZoneName("a")))
    first = gateways.ranked(world.directory.candidates(), world.service.name)[0]
    holders = [name for name in names if name != first][:3]
    world.directory.plans[world.service.name] = forwarding.GatewayPlan(
        gateways_by_zone={ids.ZoneName("a"): tuple(holders)}, connections=2
    )
    assert set(connected_instances.ranked(world.directory, world.service.name)) == set(holders)
    world.directory.instance = first
    assert connected_instances.rank(world.directory, world.service.name) is None
