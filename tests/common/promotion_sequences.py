"""Sequences of the machine for promotions, each of which a part of the rule keeps from a loss."""

from tests.common import promotion_attempt, promotion_servers
from tests.proxy import test_promotion_rule_machine as rule_machine

A, B, C, D = rule_machine.A, rule_machine.B, rule_machine.C, rule_machine.D


def _complete(machine: rule_machine.Promotions) -> None:
    machine.advance_to(promotion_attempt.Step.REQUEST)
    machine.request(0)
    let_take_effect(machine)


def prepare_without_primary(machine: rule_machine.Promotions) -> None:
    """Prepare a promotion while the holder is cut off from the primary."""
    machine.cut_or_heal(0, A)
    machine.prepare(0, silent=True)


def let_take_effect(machine: rule_machine.Promotions) -> None:
    """Execute all requests, and let them take effect."""
    while machine.late_requests:
        machine.execute_late_request()
    while machine.world.accepted:
        machine.take_effect()


def commit_precedes_the_stop(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.begin(0)
    machine.advance_to(promotion_attempt.Step.STOP)
    machine.commit_to(1, D)
    _complete(machine)


def commit_follows_the_choice(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.prepare(0)
    machine.commit_to(1, D)
    _complete(machine)


def only_holder_gives_no_answer(machine: rule_machine.Promotions) -> None:
    machine.commit_to(1, B)
    machine.cut_or_heal(0, B)
    prepare_without_primary(machine)
    _complete(machine)


def one_replica_lags(machine: rule_machine.Promotions) -> None:
    machine.commit_to(1, B)
    prepare_without_primary(machine)
    _complete(machine)


def entry_of_the_only_holder_expires(machine: rule_machine.Promotions) -> None:
    machine.commit_to(1, B)
    machine.expire_entry(B)
    machine.read_store(0)
    prepare_without_primary(machine)
    _complete(machine)


def holder_dies_in_its_request(machine: rule_machine.Promotions) -> None:
    prepare_without_primary(machine)
    machine.request(0, late=True)
    machine.die(0)
    machine.expire_claim()
    machine.read_store(1)
    machine.begin(1)
    machine.end(1)
    machine.commit_to(1, B)
    let_take_effect(machine)


def holder_dies_beside_an_instance_without_the_store(machine: rule_machine.Promotions) -> None:
    machine.lose_or_reach_store(2)
    prepare_without_primary(machine)
    machine.request(0, late=True)
    machine.die(0)
    machine.expire_claim()
    machine.begin(1, silent=True)
    machine.end(1)
    machine.commit_to(2, B)
    let_take_effect(machine)


def pause_ends_before_the_second_record(machine: rule_machine.Promotions) -> None:
    """Another server than the likely successor is chosen, and recorded."""
    machine.lose_or_reach_store(1)
    machine.cut_or_heal(0, A)
    machine.begin(0, silent=True)
    machine.advance(0, steps=2)
    machine.commit_to(1, B)
    machine.advance(0, steps=2)
    machine.restart(C)
    machine.commit(1)
    machine.deliver(C)
    _complete(machine)


def pause_ends_after_the_record_is_read(machine: rule_machine.Promotions) -> None:
    prepare_without_primary(machine)
    machine.read_store(1)
    machine.request(0)
    machine.restart(B)
    machine.commit_to(1, B)
    let_take_effect(machine)


def pause_ends_before_the_effect(machine: rule_machine.Promotions) -> None:
    machine.lose_or_reach_store(1)
    prepare_without_primary(machine)
    machine.request(0)
    machine.restart(B)
    machine.advance(0)
    machine.commit_to(1, B)
    let_take_effect(machine)


def primary_is_kept(machine: rule_machine.Promotions) -> None:
    prepare_without_primary(machine)
    machine.request(0, late=True)
    machine.die(0)
    machine.expire_claim()
    machine.cut_or_heal(1, C)
    machine.begin(1)
    machine.advance_to(promotion_attempt.Step.AWAIT_KEPT, instance=1)
    while machine.world.accepted:
        machine.take_effect()
    machine.advance_to(promotion_attempt.Step.END, instance=1)
    machine.end(1)
    machine.read_store(1)
    machine.commit_to(1, B)
    let_take_effect(machine)


def commit_follows_the_record(machine: rule_machine.Promotions) -> None:
    """The instance was not told of the record and has not read it."""
    machine.start_server()
    machine.cut_or_heal_datagrams(1)
    prepare_without_primary(machine)
    machine.commit_to(1, D)
    _complete(machine)


def list_of_the_holder_is_behind(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.write_entry(D)
    machine.commit_to(1, D)
    machine.crash_or_return(A)
    machine.prepare(0)
    _complete(machine)


def commit_follows_the_period(machine: rule_machine.Promotions) -> None:
    """The instance has lost the store, and cannot be told of the record."""
    machine.start_server()
    machine.lose_or_reach_store(1)
    machine.cut_or_heal_datagrams(1)
    prepare_without_primary(machine)
    machine.let_period_pass()
    machine.advance_to(promotion_attempt.Step.REQUEST)
    machine.commit_to(1, D)
    _complete(machine)


def silent_primary_takes_the_order_to_stop(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.prepare(0, silent=True)
    machine.commit_to(1, D)
    _complete(machine)


def holder_dies_after_the_stop(machine: rule_machine.Promotions) -> None:
    """A server that is not listed has confirmed the last commit, and the primary is lost then."""
    machine.start_server()
    machine.begin(0)
    machine.advance_to(promotion_attempt.Step.STOP)
    machine.commit_to(1, D)
    machine.advance(0, steps=2)
    machine.die(0)
    machine.expire_claim()
    machine.crash_or_return(A)
    machine.prepare(1)
    machine.request(1)
    let_take_effect(machine)


def unlisted_server_confirms_without_the_store(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.lose_or_reach_store(1)
    prepare_without_primary(machine)
    machine.commit_to(1, D)
    _complete(machine)


def primary_dies_beside_an_unlisted_server(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.commit_to(1, D)
    machine.crash_or_return(A)
    machine.prepare(0)
    _complete(machine)


def all_instances_start_anew(machine: rule_machine.Promotions) -> None:
    machine.commit_to(1, C)
    machine.expire_entry(C)
    machine.restart_all_instances()
    machine.crash_or_return(A)
    machine.prepare(0)
    _complete(machine)


def resume_confirms_a_waiting_commit(machine: rule_machine.Promotions) -> None:
    """The commit was sent before the promotion was recorded, and waits at the primary."""
    machine.commit(1)
    prepare_without_primary(machine)
    machine.request(0)
    machine.late_orders.append(
        promotion_servers.Order(kind=promotion_servers.OrderKind.RESUME, server=B)
    )
    machine.execute_late_order()
    machine.deliver(B)
    let_take_effect(machine)


def resume_confirms_a_commit_without_the_store(machine: rule_machine.Promotions) -> None:
    machine.lose_or_reach_store(1)
    prepare_without_primary(machine)
    machine.request(0)
    machine.late_orders.append(
        promotion_servers.Order(kind=promotion_servers.OrderKind.RESUME, server=B)
    )
    machine.execute_late_order()
    machine.commit_to(1, B)
    let_take_effect(machine)


def restart_confirms_a_waiting_commit(machine: rule_machine.Promotions) -> None:
    machine.commit(1)
    prepare_without_primary(machine)
    machine.request(0)
    machine.restart(B)
    machine.deliver(B)
    let_take_effect(machine)


def server_starts_anew_before_a_late_request(machine: rule_machine.Promotions) -> None:
    """The primary was stopped, and the successor had reached its end."""
    machine.commit_to(1, B)
    machine.deliver(C)
    machine.prepare(0)
    machine.request(0, late=True)
    machine.lose_or_start_anew(C)
    machine.lose_or_start_anew(C)
    let_take_effect(machine)


def stopped_primary_leads_again_before_a_late_request(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.lose_or_reach_store(1)
    machine.prepare(0)
    machine.request(0, late=True)
    machine.restart(A)
    machine.commit_to(1, D)
    let_take_effect(machine)


def stopped_primary_leads_again_for_an_instance_cut_off(
    machine: rule_machine.Promotions,
) -> None:
    """The instance has lost the store, and cannot be told of the record."""
    machine.cut_or_heal_datagrams(1)
    stopped_primary_leads_again_before_a_late_request(machine)


def abandoned_commit_waits_at_the_primary(machine: rule_machine.Promotions) -> None:
    """Its instance confirms the hold; the primary executes it once the promotion is requested."""
    machine.start_server()
    machine.commit(1, late=True)
    prepare_without_primary(machine)
    _execute_waiting_before_the_effect(machine)


def commit_of_an_ended_instance_waits_at_the_primary(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.commit(1, late=True)
    machine.restart_all_instances()
    prepare_without_primary(machine)
    _execute_waiting_before_the_effect(machine)


def _execute_waiting_before_the_effect(machine: rule_machine.Promotions) -> None:
    machine.request(0)
    while machine.world.waiting:
        machine.execute_waiting_commit()
    machine.deliver(D)
    let_take_effect(machine)


def first_commit_is_confirmed_by_an_unlisted_server(machine: rule_machine.Promotions) -> None:
    """The instance had seen no position of the primary before."""
    machine.commit_to(0, B)
    machine.deliver(C)
    primary_dies_beside_an_unlisted_server(machine)


def earlier_request_takes_effect_after_the_choice(machine: rule_machine.Promotions) -> None:
    """The next holder does not know the server that was requested, and chooses the primary."""
    machine.prepare(0)
    machine.request(0, late=True)
    machine.expire_entry(C)
    machine.restart_all_instances()
    machine.expire_claim()
    machine.prepare(0)
    machine.execute_late_request()
    machine.take_effect()
    machine.commit_to(1, B)
    _complete(machine)


def successor_of_a_stale_primary_is_lost(machine: rule_machine.Promotions) -> None:
    machine.prepare(0)
    machine.deliver(B)
    machine.deliver(C)
    machine.request(0)
    let_take_effect(machine)
    machine.commit_to(0, A)
    machine.lose_or_start_anew(C)
    machine.lose_or_start_anew(C)
    machine.expire_claim()
    machine.prepare(1, silent=True)
    machine.request(1)
    let_take_effect(machine)


def stale_primary_answers_the_order_to_stop(machine: rule_machine.Promotions) -> None:
    """A server that was replaced reports the end of its log, and its successor has crashed.

    The new holder has not read of the change, and does not reach the server with the last commit.
    """
    machine.start_server()
    machine.write_entry(D)
    machine.read_store(0)
    machine.read_store(1)
    machine.begin(0)
    machine.advance_to(promotion_attempt.Step.REQUEST)
    machine.request(0)
    let_take_effect(machine)
    machine.end(0)
    successor = machine.world.leader().name
    holder = next(name for name in (D, C) if name != successor)
    machine.commit_to(0, holder)
    machine.crash_or_return(successor)
    machine.cut_or_heal(1, holder)
    machine.begin(1, silent=True, stop_answered=True)
    machine.advance_to(promotion_attempt.Step.REQUEST, instance=1)
    machine.request(1)
    let_take_effect(machine)


def replica_without_an_entry_confirms_beyond_a_restart(machine: rule_machine.Promotions) -> None:
    """It is cut off from the store only; the instances that knew it have ended."""
    machine.expire_entry(B)
    machine.read_store(0)
    machine.let_retention_pass(0)
    machine.commit_to(0, B)
    machine.restart_all_instances()
    machine.crash_or_return(A)
    machine.prepare(0)
    _complete(machine)
