"""Replays loads of tenants with a limit: what is within the limit is served, the rest is refused.

An operation counts as within the limit if one token bucket for the whole fleet would admit it.
"""

import dataclasses
import random

import pytest

from mustardswitch.internal import ids
from mustardswitch.internal.tenants import handover, limits
from mustardswitch.proxy import coordination
from tests.common import limits_world


@pytest.fixture
def build(monkeypatch):
    """Build worlds; their clock replaces the real one during the test."""
    built = []

    def build_world(**options):
        world = limits_world.LimitsWorld(monkeypatch, **options)
        built.append(world)
        world.advance(20.0)
        return world

    yield build_world
    for world in built:
        world.close()


@dataclasses.dataclass(kw_only=True)
class Figures:
    """Counts of operations."""

    offered: int = 0
    admitted: int = 0
    within: int = 0
    """Admitted by one bucket for the fleet."""
    behind: int = 0
    """Most operations that the fleet was behind the one bucket at any time."""
    refused_within: int = 0
    """Refused although one bucket for the fleet would have admitted them. Above the limit others
    are admitted instead."""

    @property
    def refused_within_share(self) -> float:
        """Fraction of the operations within the limit that were refused."""
        return self.refused_within / max(1, self.within)


class Replay:
    """Offers operations at random times to the homes of a tenant."""

    def __init__(self, world, tenant=limits_world.TENANT) -> None:
        self.world, self.tenant = world, tenant
        self.random = random.Random(tenant)
        self.figures = Figures()
        limit = world.limit_changes[-1][1]
        self.fleet = limits.Bucket(now_s=world.clock.true_s)
        self.fleet.resize(
            rate_per_s=limit.rate_per_s, capacity=limit.burst, now_s=world.clock.true_s
        )
        self.fleet.level = limit.burst

    def offer(self, rates) -> None:
        """Offer one step's operations at some instances; the simulated time stays."""
        self.fleet.advance(self.world.clock.true_s)
        arrivals = [
            name
            for name, rate in rates.items()
            for _ in range(40)
            if self.random.random() < rate * limits_world.STEP_S / 40
        ]
        self.random.shuffle(arrivals)
        for name in arrivals:
            self.figures.offered += 1
            within = self.fleet.level >= 1.0
            if within:
                self.fleet.level -= 1.0
                self.figures.within += 1
            if self.world.nodes[name].run_operations(1, self.tenant):
                self.figures.admitted += 1
            elif within:
                self.figures.refused_within += 1
            behind = self.figures.within - self.figures.admitted
            self.figures.behind = max(self.figures.behind, behind)


def _run(world, duration_s, offers) -> None:
    for _ in range(round(duration_s / limits_world.STEP_S)):
        world.advance(limits_world.STEP_S)
        for replay, rates in offers:
            replay.offer(rates)


def _print(name, figures, capsys):
    with capsys.disabled():
        print(f"\n{name}: {figures}, {figures.refused_within_share:.4f} of those within")


def test_a_tenant_at_seven_and_a_half_times_its_rate_gets_its_limit(build, capsys):
    world = build(rate_per_s=40.0, burst=40.0)
    homes = world.homes()
    replay = Replay(world)
    _run(world, 10.0, [(replay, dict.fromkeys(homes, 12.0))])
    assert replay.figures.refused_within == 0
    replay.figures = Figures()
    _run(world, 6.5, [(replay, dict.fromkeys(homes, 90.0))])
    _print("7.5 times", replay.figures, capsys)
    assert replay.figures.behind <= 2
    replay.figures = Figures()
    _run(world, 10.0, [(replay, dict.fromkeys(homes, 12.0))])
    _print("after it", replay.figures, capsys)
    assert replay.figures.refused_within_share < 0.01
    assert world.excess() <= 0.0


@pytest.mark.parametrize("load", [0.5, 0.8, 0.95])
def test_all_callers_in_one_region_get_the_whole_limit(build, capsys, load):
    world = build(rate_per_s=40.0, burst=20.0)
    home = world.homes()[0]
    replay = Replay(world)
    _run(world, 60.0, [(replay, {home: 40.0 * load})])
    _print(f"one region at {load}", replay.figures, capsys)
    assert replay.figures.refused_within_share < 0.01
    assert world.excess() <= 0.0


def test_many_small_tenants_are_served(build, capsys):
    tenants = [ids.TenantName(f"t{number}") for number in range(86)]
    world = build(rate_per_s=2.0, burst=4.0, tenants=tenants)
    replays = [Replay(world, tenant) for tenant in tenants]
    offers = [(replay, dict.fromkeys(world.homes(replay.tenant), 0.8)) for replay in replays]
    _run(world, 20.0, offers)
    total = Figures(
        offered=sum(each.figures.offered for each in replays),
        admitted=sum(each.figures.admitted for each in replays),
        within=sum(each.figures.within for each in replays),
        refused_within=sum(each.figures.refused_within for each in replays),
    )
    _print("86 small tenants", total, capsys)
    assert total.refused_within_share < 0.01


def test_a_killed_home_leaves_its_region_most_of_what_it_asks_for(build, capsys):
    """The next instance in the ranking borrows until the registration of the home has ended."""
    world = build(rate_per_s=40.0, burst=20.0)
    home, other = sorted(world.homes(), key=lambda name: world.nodes[name].zone == "c")
    replay = Replay(world)
    world.kill(home)
    stand_in = next(
        name
        for name, node in world.nodes.items()
        if node.alive and node.limits.roles.role(limits_world.TENANT).is_next and node.zone != "c"
    )
    waits_s = coordination.REGISTRATION_TTL_S + handover.WAIT_S
    _run(world, waits_s, [(replay, {stand_in: 8.0, other: 8.0})])
    _print("killed home, until its share is taken over", replay.figures, capsys)
    assert replay.figures.refused_within_share < 0.05
    assert world.excess() <= 0.0
    replay.figures = Figures()
    home = next(name for name in world.homes() if world.nodes[name].zone != "c")
    _run(world, 10.0, [(replay, {home: 8.0, other: 8.0})])
    _print("killed home, then", replay.figures, capsys)
    assert replay.figures.refused_within_share < 0.01


def test_a_home_that_the_store_turns_away_lends_its_share_to_its_successor(build, capsys):
    """Guards against refusals for as long as the former home may still spend the share."""
    world = build(rate_per_s=40.0, burst=20.0)
    home, other = sorted(world.homes(), key=lambda name: world.nodes[name].zone == "c")
    world.nodes[home].renews, world.nodes[home].lag_s = False, float("inf")
    while home in world.homes():
        world.advance(limits_world.STEP_S)
    successor = next(name for name in world.homes() if world.nodes[name].zone != "c")
    replay = Replay(world)
    _run(world, 8.5, [(replay, {successor: 16.0, other: 16.0})])
    _print("successor of a home without the store", replay.figures, capsys)
    assert replay.figures.refused_within_share < 0.05
    assert world.excess() <= 0.0
