"""Sequences of the machine for promotions in which a stopped primary leads again."""

from tests.common import promotion_attempt, promotion_sequences
from tests.common.promotion_sequences import A, B, C, D
from tests.proxy import test_promotion_rule_machine as rule_machine


def void_takes_effect_after_the_stop(machine: rule_machine.Promotions) -> None:
    """A commit waits in the primary, which was promoted to void earlier requests."""
    machine.start_server()
    machine.commit(1, late=True)
    machine.prepare(0)
    machine.request(0)
    machine.take_effect()
    machine.execute_waiting_commit()
    machine.deliver(D)
    promotion_sequences.let_take_effect(machine)


def repeated_request_for_the_stopped_primary(machine: rule_machine.Promotions) -> None:
    """The first request got no answer, and is executed when its server is replaced itself."""
    machine.start_server()
    machine.prepare(0)
    machine.request(0, late=True)
    machine.request(0)
    machine.take_effect()
    machine.end(0)
    machine.read_store(1)
    machine.commit(1, late=True)
    machine.prepare(1)
    _lead_again(machine)
    machine.request(1)
    promotion_sequences.let_take_effect(machine)


def promotion_of_the_primary_is_late(machine: rule_machine.Promotions) -> None:
    """A holder that keeps the primary dies before its request is executed."""
    machine.start_server()
    machine.commit(2, late=True)
    promotion_sequences.prepare_without_primary(machine)
    machine.die(0)
    machine.expire_claim()
    machine.cut_or_heal(1, C)
    machine.begin(1)
    machine.advance_to(promotion_attempt.Step.KEEP, instance=1)
    machine.advance(1, late=A)
    machine.advance(1, late=A)
    machine.die(1)
    machine.expire_claim()
    machine.cut_or_heal(0, A)
    machine.begin(0, silent=True, stop_answered=True)
    machine.advance_to(promotion_attempt.Step.REQUEST)
    _lead_again(machine)
    machine.request(0)
    promotion_sequences.let_take_effect(machine)


def recorded_server_leads_before_the_kept_primary(machine: rule_machine.Promotions) -> None:
    promotion_sequences.prepare_without_primary(machine)
    machine.request(0, late=True)
    machine.die(0)
    machine.expire_claim()
    machine.read_store(2)
    machine.cut_or_heal(1, C)
    machine.begin(1)
    machine.advance_to(promotion_attempt.Step.KEEP, instance=1)
    machine.execute_late_request()
    machine.advance(1, steps=3)
    machine.take_effect()
    machine.commit_to(2, B)
    promotion_sequences.let_take_effect(machine)


def stopped_primary_leads_again_before_the_hold(machine: rule_machine.Promotions) -> None:
    """It crashes and returns, and an instance that was told of nothing commits there."""
    machine.start_server()
    machine.cut_or_heal_datagrams(1)
    machine.cut_or_heal(0, A)
    machine.begin(0, silent=True, stop_answered=True)
    machine.advance(0, steps=4)
    machine.restart(A)
    machine.commit_to(1, D)
    machine.let_period_pass()
    machine.advance_to(promotion_attempt.Step.REQUEST)
    machine.request(0)
    promotion_sequences.let_take_effect(machine)


def _lead_again(machine: rule_machine.Promotions) -> None:
    """Execute a late request; the server executes what waits in it, and another one confirms."""
    machine.execute_late_request()
    if machine.world.accepted:
        machine.take_effect()
    machine.execute_waiting_commit()
    machine.deliver(D)
