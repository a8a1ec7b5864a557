"""Stateful test of promotions: no acknowledged commit is lost, whatever the order of events.

Runs the decisions against the in-memory group, with replicas that are paused, crashed or receive
nothing, and with several claim holders, of which earlier ones act late.
"""

import dataclasses

from hypothesis import settings, stateful
from hypothesis import strategies as st

from mustardswitch.internal import ids, promotion
from mustardswitch_standins import database_group

NAMES = [ids.ServerId(f"server-{zone}") for zone in "abc"]
names = st.sampled_from(NAMES)


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """One claim holder's change of primary, executed step by step."""

    token: int
    primary: ids.ServerId
    term: int
    paused: dict = dataclasses.field(default_factory=dict)


class Promotions(stateful.RuleBasedStateMachine):
    """Runs writes, faults and attempts to change the primary in any order."""

    compare_logs = True
    need_all_replicas = True

    def __init__(self) -> None:
        super().__init__()
        self.group = database_group.Group()
        self.attempt: Attempt | None = None
        self.tokens = 0
        self.written = 0

    @stateful.rule()
    def write(self) -> None:
        primary = self.group.primary
        if primary.up:
            self.written += 1
            self.group.commit(primary, f"w{self.written}")

    @stateful.rule(name=names)
    def toggle_receiving(self, name: ids.ServerId) -> None:
        server = self.group.servers[name]
        server.not_receiving = not server.not_receiving
        self.group.catch_up(server)

    @stateful.rule(name=names)
    def crash_or_restart(self, name: ids.ServerId) -> None:
        server = self.group.servers[name]
        server.up = not server.up
        server.paused_term = 0
        self.group.catch_up(server)

    @stateful.rule()
    def begin_attempt(self) -> None:
        self.tokens += 1
        if self.attempt is not None:
            self._resume()
        primary = self.group.primary
        self.attempt = Attempt(
            token=self.tokens, primary=primary.name, term=self.group.term + self.tokens
        )

    @stateful.precondition(lambda self: self.attempt is not None)
    @stateful.rule(name=names)
    def pause(self, name: ids.ServerId) -> None:
        server = self.group.servers[name]
        if server.up and name != self.attempt.primary:
            server.paused_term = self.attempt.term
            self.attempt.paused[name] = self.group.status(server)

    def _still_paused(self) -> dict:
        """Return the paused replicas that did not restart: a restart ends pause and connection."""
        return {
            name: status
            for name, status in self.attempt.paused.items()
            if self.group.servers[name].paused_term == self.attempt.term
        }

    @stateful.precondition(lambda self: self.attempt is not None)
    @stateful.rule()
    def promote(self) -> None:
        paused = self._still_paused()
        expected = set(NAMES) - {self.attempt.primary}
        if not self.need_all_replicas:
            expected &= set(paused)
        # Writes go on, so the pauses alone must prove the choice.
        choice = promotion.choose(
            promotion.Evidence(
                expected=expected,
                paused=paused,
                commits_held=True,
                former_primary=promotion.FormerPrimary.GONE,
            ),
            leaving=set(),
        )
        if choice.verdict is promotion.Verdict.PROMOTE:
            chosen = choice.server if self.compare_logs else min(paused)
            self.group.promote(chosen)
        self._resume()

    def _resume(self) -> None:
        for name in NAMES:
            server = self.group.servers[name]
            server.paused_term = 0
            self.group.catch_up(server)
        self.attempt = None

    @stateful.invariant()
    def nothing_acknowledged_is_lost(self) -> None:
        assert self.group.lost == []


class WithoutComparing(Promotions):
    """Promotes any paused replica, without comparing the logs."""

    compare_logs = False


class WithoutWaiting(Promotions):
    """Promotes without an answer from every replica."""

    need_all_replicas = False


TestPromotions = Promotions.TestCase
TestPromotions.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)


def _promote_after_missed_commit(machine: Promotions, *, paused: list[ids.ServerId]) -> Promotions:
    """Let a replica miss a commit, crash the primary, pause some replicas and promote."""
    machine.toggle_receiving(NAMES[1])
    machine.write()
    machine.crash_or_restart(NAMES[0])
    machine.begin_attempt()
    for name in paused:
        machine.pause(name)
    machine.promote()
    return machine


def test_keeps_a_commit_that_one_replica_missed():
    assert _promote_after_missed_commit(Promotions(), paused=NAMES[1:]).group.lost == []


def test_promoting_any_replica_loses_a_commit():
    assert _promote_after_missed_commit(WithoutComparing(), paused=NAMES[1:]).group.lost == ["w1"]


def test_promoting_without_an_answer_from_every_replica_loses_a_commit():
    assert _promote_after_missed_commit(Promotions(), paused=NAMES[1:2]).group.lost == []
    assert _promote_after_missed_commit(WithoutWaiting(), paused=NAMES[1:2]).group.lost == ["w1"]
