"""What each part of the limits is for: a sequence of faults that exceeds the limit without it."""

import dataclasses

import pytest

from mustardswitch.internal.tenants import handover, limits
from mustardswitch.proxy import tenant_roles
from tests.common import limits_world

FLOOD_PER_S = 400.0
LATE_LIST_S = handover.LIST_MAX_AGE_S - 0.2
"""Age to which a list may fall behind while it still counts as valid."""


@pytest.fixture
def build(monkeypatch):
    """Build worlds; their clock replaces the real one during the test."""
    built = []

    def build_world(*, rate_per_s=90.0, burst=60.0):
        world = limits_world.LimitsWorld(monkeypatch, rate_per_s=rate_per_s, burst=burst)
        built.append(world)
        return world

    yield build_world
    for world in built:
        world.close()


def _ranking(world):
    """Return the instances of the northern region in the order in which they become homes."""
    world.advance(12.0)
    ranking = []
    while len(ranking) < 3:
        home = next(name for name in world.homes() if world.nodes[name].zone != "c")
        ranking.append(home)
        world.leases.pop(home)
        world.nodes[home].renews = False
    for name in world.nodes:
        world.nodes[name].renews = True
        world.leases[name] = world.clock.true_s + 6.0
    world.advance(12.0)
    return ranking


def _flood(world, duration_s, *names):
    world.advance(duration_s, dict.fromkeys(names, FLOOD_PER_S))


def _south(world):
    return next(name for name in world.homes() if world.nodes[name].zone == "c")


def new_home_with_silent_former_home(world):
    """A home has an old list and doesn't answer the instance that takes its place."""
    first, second, _ = _ranking(world)
    world.kill(first)
    world.advance(30.0)
    world.instant_messages = False
    world.nodes[second].lag_s = LATE_LIST_S
    world.nodes[first].start()
    _flood(world, 5.0, first, second, _south(world))


def new_home_with_answering_former_home(world):
    """A home has an old list and answers that it uses its share."""
    first, second, _ = _ranking(world)
    world.kill(first)
    world.advance(30.0)
    world.nodes[second].lag_s = LATE_LIST_S
    world.nodes[first].start()
    _flood(world, 5.0, first, second, _south(world))


def chain_of_new_homes(world):
    """A new home takes the place of one that still waits for a home with an old list."""
    first, second, third = _ranking(world)
    world.kill(first)
    world.kill(second)
    world.advance(30.0)
    world.nodes[third].lag_s = LATE_LIST_S
    world.instant_messages = False
    world.nodes[second].start()
    world.advance(0.3)
    world.nodes[first].start()
    for _ in range(20):
        _flood(world, 0.25, first, third, _south(world))
        for message in [each for each in world.messages if each.receiver == second]:
            world.answer(message)
            world.deliver(message)


def home_with_an_old_list(world):
    """A home renews its registration, but reads no list any more."""
    first, second, _ = _ranking(world)
    world.kill(first)
    world.advance(30.0)
    world.instant_messages = False
    world.nodes[second].lag_s = float("inf")
    world.nodes[first].start()
    world.advance(handover.WAIT_S + 0.5)
    _flood(world, 6.0, first, second, _south(world))


def home_whose_renewals_fail(world):
    """A home reads its list seldom, its registration ends meanwhile, and it answers nobody."""
    first, second, _ = _ranking(world)
    home = world.nodes[first]
    home.renews = False
    while world.clock.true_s < home.renewed_s + 5.5:
        world.advance(limits_world.STEP_S)
    home.lag_s = LATE_LIST_S
    world.instant_messages = False
    _flood(world, 6.0, first, second, _south(world))


def frozen_home(world):
    """A home is suspended for longer than its list is valid, and then reaches only callers."""
    first, second, _ = _ranking(world)
    world.nodes[first].frozen = True
    world.advance(9.0 + handover.WAIT_S)
    world.nodes[first].frozen, world.nodes[first].cut = False, True
    _flood(world, 5.0, first, second, _south(world))


def lender_that_becomes_busy(world):
    """A home lends, and then has operations of its own."""
    first, _, _ = _ranking(world)
    _flood(world, 0.3, first)
    _flood(world, 1.0, first, _south(world))
    _flood(world, 4.0, first, _south(world))


def loans_that_arrive_late(world):
    """Answers with loans arrive seconds after they were asked for."""
    first, _, _ = _ranking(world)
    world.instant_messages = False
    for _ in range(20):
        _flood(world, 0.25, first)
        for message in world.messages:
            if not message.answered:
                world.answer(message)
    for _ in range(20):
        for message in list(world.messages)[:1]:
            world.deliver(message)
        _flood(world, 0.25, first, _south(world))


def lender_that_is_restarted(world):
    """A home lends, is killed, and starts again while its loan is used."""
    first, _, _ = _ranking(world)
    south = _south(world)
    _flood(world, 1.0, first)
    for _ in range(6):
        for duration_s, flooded in ((0.8, [first]), (0.9, [first, south])):
            world.kill(south)
            world.nodes[south].start()
            _flood(world, duration_s, *flooded)


def burst_at_both_homes(world):
    """The home that gives up its share and the one that takes it over both have a burst."""
    first, second, _ = _ranking(world)
    _flood(world, 1.0, first, _south(world))
    world.leave(first)
    _flood(world, 4.0, first, second, _south(world))


def home_that_starts_again_and_again(world):
    """A home ends and starts several times within a window."""
    first, _, _ = _ranking(world)
    for _ in range(19):
        _flood(world, 0.2, first)
        world.kill(first)
        world.nodes[first].start()


def operations_that_wait(world):
    """Operations of two seconds wait for a new primary and are sent together."""
    first, _, _ = _ranking(world)
    nodes = [world.nodes[name] for name in (first, _south(world))]
    for _ in range(40):
        world.advance(limits_world.STEP_S)
        for node in nodes:
            node.run_operations(20, held=True)
    for node in nodes:
        node.send_held()
    _flood(world, 4.9, *(node.name for node in nodes))


# What is switched off


def _without_counting_what_is_sent(patch):
    patch.setattr(limits.TenantLimit, "admit_sending", lambda limit, now_s: True)


def _without_waiting(patch):
    patch.setattr(handover, "WAIT_S", 0.0)


def _without_list_age(patch):
    patch.setattr(handover, "LIST_MAX_AGE_S", float("inf"))


def _without_waiting_for_unlisted_homes(patch):
    former_homes = tenant_roles.Roles.former_homes

    def listed_former_homes(roles, tenant, now_s):
        return former_homes(roles, tenant, now_s) & set(roles.directory.instances.entries)

    patch.setattr(tenant_roles.Roles, "former_homes", listed_former_homes)


def _with_a_clock_that_stops(patch):
    advance = limits_world.LimitsWorld.advance

    def advance_without_frozen(world, duration_s, demand=()):
        for node in world.nodes.values():
            node.offset_s -= duration_s * node.frozen
        advance(world, duration_s, demand)

    patch.setattr(limits_world.LimitsWorld, "advance", advance_without_frozen)


def _without_chains(patch):
    ceiling = handover.Grant.ceiling

    def ceiling_of_its_own(grant, **times):
        return dataclasses.replace(ceiling(grant, **times), clear_in_s=0.0)

    patch.setattr(handover.Grant, "ceiling", ceiling_of_its_own)


def _with_any_answer(patch):
    ceiling = handover.Grant.ceiling

    def nothing(grant, **times):
        return dataclasses.replace(ceiling(grant, **times), fraction=0.0)

    patch.setattr(handover.Grant, "ceiling", nothing)


def _without_counting_loans(patch):
    lend = limits.TenantLimit.lend

    def lend_without_counting(limit, borrower, **terms):
        levels = limit.share.level, limit.sending.level
        loan = lend(limit, borrower, **terms)
        limit.loans_given.clear()
        limit._resize(terms["now_s"])
        limit.share.level, limit.sending.level = levels
        return loan

    patch.setattr(limits.TenantLimit, "lend", lend_without_counting)


def _with_loans_from_their_arrival(patch):
    borrow = limits.TenantLimit.borrow

    def borrow_from_now(limit, lender, loan, *, now_s):
        until_s = now_s + handover.LOAN_S
        borrow(limit, lender, dataclasses.replace(loan, until_s=until_s), now_s=now_s)

    patch.setattr(limits.TenantLimit, "borrow", borrow_from_now)


def _without_wait_after_a_start(patch):
    patch.setattr(handover, "UNLISTED_WAIT_S", 0.0)


def _with_a_full_bucket_at_the_start(patch):
    class FullBucket(limits.Bucket):
        def resize(self, *, rate_per_s, capacity, now_s):
            grown = max(0.0, capacity - self.capacity)
            super().resize(rate_per_s=rate_per_s, capacity=capacity, now_s=now_s)
            self.level = min(capacity, self.level + grown)

    patch.setattr(limits, "Bucket", FullBucket)


SEQUENCES = [
    (new_home_with_silent_former_home, _without_waiting, {}),
    (new_home_with_answering_former_home, _with_any_answer, {}),
    (chain_of_new_homes, _without_chains, {}),
    (home_with_an_old_list, _without_list_age, {}),
    (home_whose_renewals_fail, _without_waiting_for_unlisted_homes, {}),
    (frozen_home, _with_a_clock_that_stops, {}),
    (lender_that_becomes_busy, _without_counting_loans, {"rate_per_s": 20, "burst": 400}),
    (loans_that_arrive_late, _with_loans_from_their_arrival, {}),
    (
        lender_that_is_restarted,
        _without_wait_after_a_start,
        {"rate_per_s": 99, "burst": 10},
    ),
    (operations_that_wait, _without_counting_what_is_sent, {}),
    (burst_at_both_homes, _with_a_full_bucket_at_the_start, {"rate_per_s": 20, "burst": 400}),
    (
        home_that_starts_again_and_again,
        _with_a_full_bucket_at_the_start,
        {"rate_per_s": 2, "burst": 1},
    ),
]


@pytest.mark.parametrize("sequence, switch_off, limit", SEQUENCES, ids=lambda each: str(each)[:60])
def test_a_sequence_exceeds_the_limit_only_without_its_mechanism(
    sequence, switch_off, limit, build, monkeypatch
):
    world = build(**limit)
    sequence(world)
    assert world.excess() <= 0.0
    with monkeypatch.context() as patch:
        switch_off(patch)
        world = build(**limit)
        sequence(world)
        assert world.excess() > 0.0
