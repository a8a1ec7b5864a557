"""A fleet never runs more of a tenant than its limit and tolerance, whatever fails."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from tests.common import limits_world

NAMES = [f"{zone}{number}" for zone in limits_world.ZONES for number in range(2)]
MAX_OTHERS = 2
"""Instances that are used in place of homes within a window: the allowance is sized for as many as
there are homes."""

names = st.sampled_from(NAMES)
rates = st.sampled_from([0.0, 4.0, 60.0, 300.0])


class Fleet(stateful.RuleBasedStateMachine):
    """Operations, and everything that may go wrong around them."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.world = limits_world.LimitsWorld(self.patch, rate_per_s=60.0, burst=40.0)
        self.others_at_s: dict[str, float] = {}
        """When operations were last started at instances that are not homes."""

    @stateful.initialize(warm=st.booleans())
    def start(self, warm):
        if warm:
            self.world.advance(12.0)

    def teardown(self):
        self.world.close()
        self.patch.undo()

    def _usable(self, name: str) -> bool:
        if name in self.world.homes():
            return True
        now_s = self.world.clock.true_s
        recent = {other for other, at_s in self.others_at_s.items() if at_s > now_s - 5.0}
        return name in recent or len(recent) < MAX_OTHERS

    @stateful.rule(demand=st.dictionaries(names, rates, max_size=3), steps=st.integers(1, 40))
    def run_operations(self, demand, steps):
        for _ in range(steps):
            usable = {name: rate for name, rate in demand.items() if self._usable(name)}
            homes = self.world.homes()
            self.world.advance(limits_world.STEP_S, usable)
            for name in usable:
                if name not in homes:
                    self.others_at_s[name] = self.world.clock.true_s

    @stateful.rule(steps=st.integers(1, 40))
    def run_operations_at_the_homes(self, steps):
        for _ in range(steps):
            self.world.advance(limits_world.STEP_S, dict.fromkeys(self.world.homes(), 300.0))

    @stateful.rule(count=st.integers(1, 100))
    def hold_operations_back(self, count):
        for name in self.world.homes():
            self.world.nodes[name].run_operations(count, held=True)

    @stateful.rule()
    def send_what_was_held_back(self):
        for name in self.world.homes():
            self.world.nodes[name].send_held()

    @stateful.rule(duration_s=st.sampled_from([0.3, 1.0, 2.5, 6.5, 16.0]))
    def wait(self, duration_s):
        self.world.advance(duration_s)

    @stateful.rule(name=names)
    def kill(self, name):
        self.world.kill(name)

    @stateful.rule(name=names)
    def start_again(self, name):
        if not self.world.nodes[name].alive:
            self.world.nodes[name].start()

    @stateful.rule(name=names)
    def leave(self, name):
        if self.world.nodes[name].alive:
            self.world.leave(name)

    @stateful.rule(name=names, frozen=st.booleans())
    def freeze_or_thaw(self, name, frozen):
        self.world.nodes[name].frozen = frozen

    @stateful.rule(name=names, cut=st.booleans())
    def cut_or_heal(self, name, cut):
        self.world.nodes[name].cut = cut

    @stateful.rule(name=names, lag_s=st.sampled_from([0.0, 1.0, 3.0, 14.0]))
    def follow_late(self, name, lag_s):
        self.world.nodes[name].lag_s = lag_s

    @stateful.rule(instant=st.booleans())
    def deliver_at_once_or_late(self, instant):
        self.world.instant_messages = instant

    @stateful.rule(data=st.data(), kind=st.sampled_from(["answer", "deliver", "lose"]))
    def move_a_message(self, data, kind):
        if not self.world.messages:
            return
        message = data.draw(st.sampled_from(self.world.messages))
        if kind == "lose":
            self.world.lose(message)
        elif not message.answered:
            self.world.answer(message)
        elif kind == "deliver":
            self.world.deliver(message)

    @stateful.rule(limit=st.sampled_from([(60.0, 40.0), (20.0, 5.0), (150.0, 40.0)]))
    def configure(self, limit):
        self.world.configure(*limit)

    @stateful.invariant()
    def no_window_has_more_than_is_allowed(self):
        assert self.world.excess() <= 0.0


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
