"""Tests that no acknowledged write is lost, whatever the order of faults and steps."""

import pathlib

import pytest
import ruamel.yaml
from hypothesis import HealthCheck, settings, stateful
from hypothesis import strategies as st

from mustardswitch.internal import ids
from tests.common import builders, group_world


def _load(path):
    return ruamel.yaml.YAML(typ="safe").load(path)


TRACES = sorted((pathlib.Path(__file__).parents[1] / "traces").glob("group_*.yaml"))
MUTATED_TRACES = [path for path in TRACES if "without" in _load(path)]
GATEWAYS = st.sampled_from([0, 1])
SLOTS = st.sampled_from([str(slot) for slot in builders.SLOTS])


class GroupMachine(stateful.RuleBasedStateMachine):
    """Two gateways and three slots with network cuts, pauses and any order of steps."""

    def __init__(self) -> None:
        super().__init__()
        self.world = group_world.GroupWorld()

    @stateful.rule(gateway=GATEWAYS, slot=SLOTS)
    def poll(self, gateway, slot):
        self.world.poll(gateway, slot)

    @stateful.rule(gateway=GATEWAYS)
    def tick(self, gateway):
        self.world.tick(gateway)

    @stateful.rule(gateway=GATEWAYS)
    def execute_next_command(self, gateway):
        self.world.execute_next_command(gateway)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.2, 0.7, 2.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @stateful.rule(gateway=GATEWAYS)
    def write(self, gateway):
        self.world.write(gateway)

    @stateful.rule(slot=SLOTS)
    def replicate(self, slot):
        self.world.replicate(slot)

    @stateful.rule(gateway=GATEWAYS)
    def run_gateway(self, gateway):
        self.world.run(gateway, 1.2)

    @stateful.rule(gateway=GATEWAYS, slot=SLOTS)
    def cut(self, gateway, slot):
        self.world.cut(gateway, slot)

    @stateful.rule(first=SLOTS, second=SLOTS)
    def cut_slots(self, first, second):
        self.world.cut_slots(first, second)

    @stateful.rule(slot=SLOTS)
    def pause(self, slot):
        self.world.pause(slot)

    @stateful.rule(slot=SLOTS)
    def resume(self, slot):
        self.world.resume(slot)

    @stateful.rule()
    def heal(self):
        self.world.heal()

    @stateful.invariant()
    def holds_every_acknowledged_write(self):
        assert self.world.lost() == []

    @stateful.invariant()
    def initial_min_position_covers_acknowledged_writes(self):
        primary = self.world.latest_primary()
        if primary is None:
            return
        acknowledged = set(self.world.acknowledged)
        last = max(
            (
                builders.position(term, offset)
                for offset, (term, operation) in enumerate(primary.log, start=1)
                if operation in acknowledged
            ),
            default=builders.position(0, 0),
        )
        for gateway in self.world.gateways:
            tracker = group_world.builders.tracker()
            for slot in self.world.slots.values():
                if not slot.paused:
                    tracker.observe(builders.observation(slot.status(), query_sent_at_s=1.0))
            min_position = tracker.initial_min_position(since_s=1.0)
            assert min_position is None or min_position >= last, gateway


GroupMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
test_loses_no_acknowledged_write = GroupMachine.TestCase


def _replay(trace, mechanisms):
    world = group_world.GroupWorld(mechanisms=mechanisms)
    for step in trace["steps"]:
        ((name, arguments),) = step.items()
        getattr(world, name)(*arguments)
    return world


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_replays_trace_with_its_stated_outcome(path):
    trace = _load(path)
    world = _replay(trace, group_world.Mechanisms())
    expected = trace["outcome"]
    assert world.lost() == expected["lost"]
    assert world.acknowledged == expected["acknowledged"]
    primary = world.latest_primary()
    assert (primary.slot if primary else None) == expected["primary"]


@pytest.mark.parametrize("path", MUTATED_TRACES, ids=lambda path: path.stem)
def test_trace_fails_without_its_mechanism(path):
    trace = _load(path)
    world = _replay(trace, group_world.Mechanisms(**{trace["without"]: False}))
    assert world.lost() != []


def test_elects_a_first_primary_without_a_store():
    world = group_world.GroupWorld()
    world.run(0, 1.0)
    assert world.latest_primary() is not None


def test_promotes_the_slot_with_the_highest_log():
    world = group_world.GroupWorld()
    world.run(0, 1.0)
    primary = world.latest_primary().slot
    others = [slot for slot in builders.SLOTS if slot != primary]
    world.cut_slots(primary, others[0])
    world.write(0)
    world.replicate(others[1])
    world.poll(0, others[1])
    assert world.acknowledged == ["op1"]
    world.pause(primary)
    world.run(0, 3.0)
    assert world.latest_primary().slot == others[1]


def test_starts_no_failover_while_a_replica_reaches_the_primary():
    world = group_world.GroupWorld()
    world.run(0, 1.0)
    primary = world.latest_primary().slot
    tracker = world.gateways[0].tracker
    replica = next(slot for slot in builders.SLOTS if slot != primary)
    world.cut(0, primary)
    for _ in range(60):
        for slot in builders.SLOTS:
            if slot == primary:
                continue
            status = builders.status(
                slot,
                promised=world.slots[slot].promised,
                following=primary,
                log_end=(world.slots[slot].end.term, world.slots[slot].end.offset),
                silence_ms=30.0,
            )
            tracker.observe(builders.observation(status, query_sent_at_s=world.now_s))
        world.tick(0)
        world.advance(0.05)
    assert world.gateways[0].commands == []
    assert ids.SlotId(replica) in tracker.observations


def test_does_not_take_over_a_fence_whose_promotion_is_not_visible_yet():
    world = group_world.GroupWorld()
    second = world.gateways[1]
    for slot in builders.SLOTS:
        world.slots[slot].fence(1, world.gateways[0].name)
    for _ in range(10):
        for slot in builders.SLOTS:
            world.poll(1, slot)
        world.tick(1)
        world.advance(0.05)
    assert second.commands == []
    world.slots[builders.SLOTS[0]].promote(1, world.gateways[0].name)
    world.run(1, 2.0)
    assert {world.slots[slot].promised for slot in builders.SLOTS} == {1}


def test_takes_over_a_fence_whose_proposer_never_promotes():
    world = group_world.GroupWorld()
    for slot in builders.SLOTS:
        world.slots[slot].fence(1, world.gateways[0].name)
    world.run(1, 2.5)
    assert world.latest_primary() is not None


def test_does_not_raise_terms_without_a_majority():
    world = group_world.GroupWorld()
    world.run(0, 1.0)
    primary = world.latest_primary().slot
    for slot in builders.SLOTS:
        if slot != primary:
            world.cut(0, slot)
    before = {slot: world.slots[slot].promised for slot in builders.SLOTS}
    world.pause(primary)
    world.run(0, 5.0)
    assert {slot: world.slots[slot].promised for slot in builders.SLOTS} == before
