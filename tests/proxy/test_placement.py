"""Replays of uneven servers, gateways and demand, without and with the feature ``placement``."""

import asyncio

import pytest

from mustardswitch.internal import clock, ids
from mustardswitch.proxy import gateway_placing, requests, stalls
from mustardswitch_standins import database_group
from tests.common import placement_scenarios, proxy_world, replayed_load

FAULT_S, END_S = placement_scenarios.FAULT_S, placement_scenarios.END_S


def _replay(monkeypatch, name, placement, seed=1):
    return placement_scenarios.replay(monkeypatch, name, placement=placement, seed=seed)


@pytest.fixture(params=["off", "on"])
def placement(request):
    return request.param == "on"


def test_without_a_fault_reads_stay_in_the_zone(monkeypatch, placement):
    run = _replay(monkeypatch, "no fault", placement)
    assert run.share_at(run.target, 0.0, END_S) > 0.85
    assert run.served(0.0, END_S) == 1.0
    assert run.attempts_per_read(0.0, END_S) < 1.01


@pytest.mark.parametrize(
    "name",
    [
        "server 8 times slower",
        "server fails 45 %",
        "server rejects 45 %",
        "server fails all, answers status",
        "server silent",
        "server flaps",
        "gateway 5.5 times slower",
        "gateway silent",
    ],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_what_is_slow_or_fails_loses_its_work_within_a_second_and_regains_it(
    monkeypatch, name, seed
):
    """Guards against a failure that is forgotten after 0.5 s, so that a server that fails a part of
    its requests, or a gateway that is only slow, kept its work.
    """
    run = _replay(monkeypatch, name, True, seed)
    usual = run.share_at(run.target, -3.0, 0.0)
    assert run.share_at(run.target, 1.0, FAULT_S) < 0.2 * usual
    assert run.share_at(run.target, FAULT_S + 3.0, END_S) > 0.5 * usual
    assert run.served(0.0, END_S) > 0.999


def test_a_grey_server_receives_fewer_reads_and_regains_them_in_steps(monkeypatch):
    off = _replay(monkeypatch, "server fails 45 %", False)
    on = _replay(monkeypatch, "server fails 45 %", True)
    assert on.share_at(on.target, 1.0, FAULT_S) < off.share_at(off.target, 1.0, FAULT_S)
    first_half_s = on.share_at(on.target, FAULT_S, FAULT_S + 0.5)
    assert first_half_s < 0.7 * on.share_at(on.target, FAULT_S + 3.0, END_S)


def test_a_silent_server_costs_a_read_one_bounded_attempt(monkeypatch):
    """Guards against reads that waited until their deadline for one lost answer."""
    off = _replay(monkeypatch, "server silent", False)
    on = _replay(monkeypatch, "server silent", True)
    assert on.served(0.0, FAULT_S) > off.served(0.0, FAULT_S)
    assert on.latency_s(1.0, 0.0, FAULT_S) < 0.45
    assert on.latency_s(0.99, 0.0, FAULT_S) < 0.5 * off.latency_s(0.99, 0.0, FAULT_S)


def test_reads_that_wait_for_a_connection_count_as_load(monkeypatch):
    """Guards against a hundred reads that wait at one server while another one is idle."""
    off = _replay(monkeypatch, "the same with 150 reads/s", False)
    on = _replay(monkeypatch, "the same with 150 reads/s", True)
    assert on.served(0.0, FAULT_S) == 1.0
    assert on.latency_s(0.95, 0.0, FAULT_S) < 0.4 * off.latency_s(0.95, 0.0, FAULT_S)


def test_a_slow_gateway_delays_few_reads(monkeypatch):
    off = _replay(monkeypatch, "gateway 5.5 times slower", False)
    on = _replay(monkeypatch, "gateway 5.5 times slower", True)
    assert on.latency_s(0.95, 0.0, FAULT_S) < 0.2 * off.latency_s(0.95, 0.0, FAULT_S)


def test_a_lost_answer_of_a_gateway_is_asked_for_elsewhere(monkeypatch):
    """Guards against reads that failed since their gateway answered other statements."""
    name = "gateway loses 5 % of the answers"
    off = _replay(monkeypatch, name, False)
    on = _replay(monkeypatch, name, True)
    assert off.served(0.0, FAULT_S) < 1.0
    assert on.served(0.0, FAULT_S) == 1.0
    assert on.latency_s(1.0, 0.0, FAULT_S) < 0.6


def test_the_loss_of_few_packets_withdraws_no_work(monkeypatch):
    """A loss of 0.15 %, the usual one between zones, is no failure of a server."""

    def lose(replay, now_s):
        for model in replay.group.models.values():
            model.faults = replayed_load.Faults(loss=0.0015)

    run = replayed_load.replay(monkeypatch, lose, placement=True, duration_s=30.0)
    assert run.world.directory.registry.total("server_work_withdrawn", "errors") == 0
    assert run.latency_s(1.0, 0.0, 30.0) < 0.5


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_lost_answer_of_a_server_costs_the_time_that_its_reads_usually_take(monkeypatch, seed):
    """Guards against a fixed time to wait, 0.35 s, which is 15 times as long as a usual read."""

    def lose(replay, now_s):
        for model in replay.group.models.values():
            model.faults = replayed_load.Faults(loss=0.01)

    run = replayed_load.replay(monkeypatch, lose, placement=True, duration_s=10.0, seed=seed)
    assert run.world.directory.registry.total("attempts_cut_short", "server") > 0
    assert run.served(0.0, 10.0) == 1.0
    assert run.latency_s(1.0, 0.0, 10.0) < 0.3


@pytest.mark.parametrize("gateways", [None, placement_scenarios.GATEWAYS])
def test_a_stall_of_the_instance_itself_withdraws_no_work(monkeypatch, gateways):
    """Guards against timers that are late together with the answers, which have arrived."""
    stalls = [1.0, 2.0, 3.0, 4.0]

    def stall(replay, now_s):
        if stalls and now_s > stalls[0]:
            stalls.pop(0)
            asyncio.get_running_loop().selector.now_s += 0.6

    run = replayed_load.replay(
        monkeypatch,
        stall,
        placement=True,
        duration_s=5.0,
        rate_per_s=150.0,
        gateways=gateways,
        target="b0" if gateways else "server-b",
    )
    counters = run.world.directory.registry.counters
    withdrawn = {key: count for key, count in counters.items() if "withdrawn" in key.name}
    assert not withdrawn
    assert not stalls


def test_demand_beyond_the_zone_uses_the_gateways_of_the_region(monkeypatch):
    off = _replay(monkeypatch, "demand swings by 0.55", False)
    on = _replay(monkeypatch, "demand swings by 0.55", True)
    assert on.latency_s(0.95, 0.0, END_S) < 0.2 * off.latency_s(0.95, 0.0, END_S)
    low = [on.gateways[name] for name in ("a0", "a1")]
    assert sum(on.share_at(each, 3.0, 5.0) for each in low) < 0.1


def test_overload_is_not_amplified(monkeypatch):
    """Guards against a second attempt for each read while all gateways are late."""
    on = _replay(monkeypatch, "demand 2.5 times what all serve", True)
    off = _replay(monkeypatch, "demand 2.5 times what all serve", False)
    assert on.attempts_per_read(0.0, 3.0) < 1.1
    assert on.served(0.0, 3.0) >= off.served(0.0, 3.0)


def test_writes_leave_a_silent_gateway_and_are_never_sent_twice(monkeypatch):
    def silence(replay, now_s):
        replay.target.faults = replayed_load.Faults(silent=now_s >= 0)

    written = []

    async def ask(replay):
        kind = requests.RouteKind.PRIMARY
        caller = replay.world.open_session(kind)
        written.append(await replay.world.run(caller, proxy_world.WRITE))

    monkeypatch.setattr(replayed_load.Replay, "_ask", ask)
    run = replayed_load.replay(
        monkeypatch,
        silence,
        placement=True,
        duration_s=3.0,
        rate_per_s=60.0,
        gateways=placement_scenarios.GATEWAYS,
        target=placement_scenarios.GATEWAY,
    )
    received = sum(len(model.received) for model in run.gateways.values())
    assert received == len(written)
    assert run.share_at(run.target, 0.3, 3.0) < 0.05
    unknown = [each for each in written if each.refusal is requests.Refusal.OUTCOME_UNKNOWN]
    assert 0 < len(unknown) < 12
    assert all(each.succeeded for each in written if each not in unknown)


class StillMeter(stalls.StallMeter):
    """Without an event loop there is nothing to measure."""

    def start(self):
        pass


class Homes:
    """Gateways of a tenant in the order of its ranking; the first one is its home."""

    def __init__(self, monkeypatch, count=3):
        self.now_s = 100.0
        monkeypatch.setattr(clock, "now_s", lambda: self.now_s)
        registry = proxy_world.World().directory.registry
        self.placing = gateway_placing.GatewayPlacing(registry=registry, meter=StillMeter())
        self.ranking = [ids.InstanceId(f"g{number}") for number in range(count)]

    def answer(self, gateway, latency_s, times=12, refusal=None):
        for _ in range(times):
            with self.placing._attempt(
                gateway, database_group.SERVICE, proxy_world.READ
            ) as attempt:
                self.now_s += latency_s
                attempt.note_answer(requests.Answer(refusal=refusal))

    def order(self, homes=1, may_probe=False):
        return self.placing.order_homes(self.ranking, homes=homes, may_probe=may_probe)


def test_a_tenant_keeps_its_home_that_is_somewhat_slower(monkeypatch):
    homes = Homes(monkeypatch)
    homes.answer("g1", 0.02)
    homes.answer("g0", 0.1)
    assert homes.order() == ["g0", "g1", "g2"]


def test_a_tenant_leaves_a_home_that_is_clearly_worse(monkeypatch):
    homes = Homes(monkeypatch)
    homes.answer("g0", 0.02)
    homes.answer("g1", 0.02)
    homes.answer("g0", 0.4, times=3)
    assert homes.order()[0] == "g1"


def test_under_overload_a_tenant_stays_although_unused_gateways_seem_faster(monkeypatch):
    homes = Homes(monkeypatch)
    homes.answer("g0", 0.02)
    homes.answer("g0", 0.5)
    assert homes.order()[0] == "g0"


def test_the_refusals_of_a_tenants_limit_do_not_move_other_tenants(monkeypatch):
    """Guards against a home that loses all its tenants since one is above its limit."""
    homes = Homes(monkeypatch)
    homes.answer("g0", 0.001, times=50, refusal=requests.Refusal.OVERLOADED)
    assert homes.order()[0] == "g0"


def test_two_homes_are_used_in_turn_until_one_is_slow(monkeypatch):
    homes = Homes(monkeypatch)
    homes.answer("g0", 0.02)
    homes.answer("g1", 0.02)
    assert homes.order(homes=2) == ["g0", "g1", "g2"]
    homes.answer("g0", 0.1, times=4)
    assert homes.order(homes=2) == ["g1", "g0", "g2"]


def test_a_home_that_cannot_be_reached_is_left_and_probed_by_reads_only(monkeypatch):
    homes = Homes(monkeypatch)
    homes.placing.note_unreachable("g0", "refused")
    homes.placing.note_unreachable("g2", "refused")
    assert homes.order() == ["g1", "g0", "g2"]
    homes.now_s += 0.3
    assert homes.order(may_probe=False)[0] == "g1"
    # The other gateway may not spend the tenant's rate limit, so the tenant does not probe it.
    assert homes.order(may_probe=True) == ["g0", "g1", "g2"]
    homes.answer("g0", 0.02, times=20)
    assert homes.order()[0] == "g0"


def test_homes_without_any_sound_one_are_tried_up_to_the_last(monkeypatch):
    homes = Homes(monkeypatch, count=9)
    for gateway in homes.ranking[:8]:
        homes.placing.note_unreachable(gateway, "refused")
    assert homes.order()[0] == "g8"
