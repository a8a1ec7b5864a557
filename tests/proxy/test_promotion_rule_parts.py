"""Sequences of the machine for promotions: what each part of the rule prevents, and its limits."""

import dataclasses

import pytest

from tests.common import promotion_attempt, promotion_world
from tests.proxy import test_promotion_rule_machine as rule_machine

A, B, C, D = rule_machine.A, rule_machine.B, rule_machine.C, rule_machine.D


def _complete(machine: rule_machine.Promotions) -> None:
    machine.advance_to(promotion_attempt.Step.REQUEST)
    machine.request(0)
    _let_take_effect(machine)


def _let_take_effect(machine: rule_machine.Promotions) -> None:
    while machine.late_requests:
        machine.execute_late_request()
    while machine.world.accepted:
        machine.take_effect()


def _commit_precedes_the_stop(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.begin(0)
    machine.advance_to(promotion_attempt.Step.STOP)
    machine.commit_to(1, D)
    _complete(machine)


def _commit_follows_the_choice(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.prepare(0)
    machine.commit_to(1, D)
    _complete(machine)


def _only_holder_gives_no_answer(machine: rule_machine.Promotions) -> None:
    machine.commit_to(1, B)
    machine.cut_or_heal(0, B)
    machine.prepare(0, silent=True)
    _complete(machine)


def _one_replica_lags(machine: rule_machine.Promotions) -> None:
    machine.commit_to(1, B)
    machine.prepare(0, silent=True)
    _complete(machine)


def _entry_of_the_only_holder_expires(machine: rule_machine.Promotions) -> None:
    machine.commit_to(1, B)
    machine.expire_entry(B)
    machine.read_store(0)
    machine.prepare(0, silent=True)
    _complete(machine)


def _holder_dies_in_its_request(machine: rule_machine.Promotions) -> None:
    machine.prepare(0, silent=True)
    machine.request(0, late=True)
    machine.die(0)
    machine.expire_claim()
    machine.read_store(1)
    machine.begin(1)
    machine.end(1)
    machine.commit_to(1, B)
    _let_take_effect(machine)


def _holder_dies_beside_an_instance_without_the_store(machine: rule_machine.Promotions) -> None:
    machine.lose_or_reach_store(2)
    machine.prepare(0, silent=True)
    machine.request(0, late=True)
    machine.die(0)
    machine.expire_claim()
    machine.begin(1, silent=True)
    machine.end(1)
    machine.commit_to(2, B)
    _let_take_effect(machine)


def _pause_ends_before_the_second_record(machine: rule_machine.Promotions) -> None:
    """Another server than the likely successor is chosen, and recorded."""
    machine.lose_or_reach_store(1)
    machine.begin(0, silent=True)
    machine.advance(0, steps=2)
    machine.commit_to(1, B)
    machine.advance(0, steps=2)
    machine.restart(C)
    machine.commit(1)
    machine.deliver(C)
    _complete(machine)


def _pause_ends_after_the_record_is_read(machine: rule_machine.Promotions) -> None:
    machine.prepare(0, silent=True)
    machine.read_store(1)
    machine.request(0)
    machine.restart(B)
    machine.commit_to(1, B)
    _let_take_effect(machine)


def _pause_ends_before_the_effect(machine: rule_machine.Promotions) -> None:
    machine.lose_or_reach_store(1)
    machine.prepare(0, silent=True)
    machine.request(0)
    machine.restart(B)
    machine.advance(0)
    machine.commit_to(1, B)
    _let_take_effect(machine)


def _primary_is_kept(machine: rule_machine.Promotions) -> None:
    machine.prepare(0, silent=True)
    machine.request(0, late=True)
    machine.die(0)
    machine.expire_claim()
    machine.cut_or_heal(1, C)
    machine.begin(1)
    machine.advance_to(promotion_attempt.Step.END, instance=1)
    machine.end(1)
    machine.read_store(1)
    machine.commit_to(1, B)
    _let_take_effect(machine)


def _commit_follows_the_record(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.prepare(0, silent=True)
    machine.commit_to(1, D)
    _complete(machine)


def _list_of_the_holder_is_behind(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.write_entry(D)
    machine.commit_to(1, D)
    machine.crash_or_return(A)
    machine.prepare(0)
    _complete(machine)


SEQUENCES = [
    ("compare_end", _commit_precedes_the_stop),
    ("stop_primary", _commit_follows_the_choice),
    ("hold_first", _commit_follows_the_record),
    ("read_list", _list_of_the_holder_is_behind),
    ("need_all_paused", _only_holder_gives_no_answer),
    ("choose_highest", _one_replica_lags),
    ("count_expired", _entry_of_the_only_holder_expires),
    ("record", _holder_dies_in_its_request),
    ("record_outlives_claim", _holder_dies_in_its_request),
    ("decide_again", _pause_ends_before_the_second_record),
    ("hold_commits", _pause_ends_after_the_record_is_read),
    ("resume_requested_only", _holder_dies_beside_an_instance_without_the_store),
    ("keep_paused", _pause_ends_before_the_effect),
    ("fence_requests", _primary_is_kept),
    ("void_request", _primary_is_kept),
]


@pytest.mark.parametrize("leads_from", promotion_world.LeadsFrom)
@pytest.mark.parametrize("part, sequence", SEQUENCES)
def test_a_sequence_loses_a_commit_only_without_its_part(part, sequence, leads_from):
    whole = type("Whole", (rule_machine.Promotions,), {"leads_from": leads_from})()
    sequence(whole)
    assert whole.world.losses == []
    parts = dataclasses.replace(rule_machine.Promotions.parts, **{part: False})
    without = type(
        "Without", (rule_machine.Promotions,), {"leads_from": leads_from, "parts": parts}
    )()
    sequence(without)
    assert without.world.losses != []


def _unlisted_server_confirms_without_the_store(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.lose_or_reach_store(1)
    machine.prepare(0, silent=True)
    machine.commit_to(1, D)
    _complete(machine)


def _primary_dies_beside_an_unlisted_server(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.commit_to(1, D)
    machine.crash_or_return(A)
    machine.prepare(0)
    _complete(machine)


def _all_instances_start_anew(machine: rule_machine.Promotions) -> None:
    machine.commit_to(1, C)
    machine.expire_entry(C)
    machine.restart_all_instances()
    machine.crash_or_return(A)
    machine.prepare(0)
    _complete(machine)


def _resume_confirms_a_waiting_commit(machine: rule_machine.Promotions) -> None:
    """The commit was sent before the promotion was recorded, and waits at the primary."""
    machine.commit(1)
    machine.prepare(0, silent=True)
    machine.request(0)
    machine.late_orders.append(
        promotion_world.Order(kind=promotion_world.OrderKind.RESUME, server=B)
    )
    machine.execute_late_order()
    machine.deliver(B)
    _let_take_effect(machine)


def _resume_confirms_a_commit_without_the_store(machine: rule_machine.Promotions) -> None:
    machine.lose_or_reach_store(1)
    machine.prepare(0, silent=True)
    machine.request(0)
    machine.late_orders.append(
        promotion_world.Order(kind=promotion_world.OrderKind.RESUME, server=B)
    )
    machine.execute_late_order()
    machine.commit_to(1, B)
    _let_take_effect(machine)


def _restart_confirms_a_waiting_commit(machine: rule_machine.Promotions) -> None:
    machine.commit(1)
    machine.prepare(0, silent=True)
    machine.request(0)
    machine.restart(B)
    machine.deliver(B)
    _let_take_effect(machine)


def _server_starts_anew_before_a_late_request(machine: rule_machine.Promotions) -> None:
    """The primary was stopped, and the successor had reached its end."""
    machine.commit_to(1, B)
    machine.deliver(C)
    machine.prepare(0)
    machine.request(0, late=True)
    machine.lose_or_start_anew(C)
    machine.lose_or_start_anew(C)
    _let_take_effect(machine)


def _stopped_primary_leads_again_before_a_late_request(machine: rule_machine.Promotions) -> None:
    machine.start_server()
    machine.lose_or_reach_store(1)
    machine.prepare(0)
    machine.request(0, late=True)
    machine.restart(A)
    machine.commit_to(1, D)
    _let_take_effect(machine)


def _earlier_request_takes_effect_after_the_choice(machine: rule_machine.Promotions) -> None:
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


def _successor_of_a_stale_primary_is_lost(machine: rule_machine.Promotions) -> None:
    machine.prepare(0)
    machine.deliver(B)
    machine.deliver(C)
    machine.request(0)
    _let_take_effect(machine)
    machine.commit_to(0, A)
    machine.lose_or_start_anew(C)
    machine.lose_or_start_anew(C)
    machine.expire_claim()
    machine.prepare(1, silent=True)
    machine.request(1)
    _let_take_effect(machine)


KNOWN_LIMITS = [
    (rule_machine.Limit.RESUMED, _resume_confirms_a_waiting_commit),
    (rule_machine.Limit.UNKNOWN, _primary_dies_beside_an_unlisted_server),
    (rule_machine.Limit.UNKNOWN_WITHOUT_STORE, _unlisted_server_confirms_without_the_store),
    (rule_machine.Limit.FORGOTTEN, _all_instances_start_anew),
    (rule_machine.Limit.RESUMED_WITHOUT_STORE, _resume_confirms_a_commit_without_the_store),
]
OPEN_LIMITS = [
    (rule_machine.Limit.RESTARTED, _restart_confirms_a_waiting_commit),
    (rule_machine.Limit.STARTED_ANEW, _server_starts_anew_before_a_late_request),
    (rule_machine.Limit.LED_AGAIN, _stopped_primary_leads_again_before_a_late_request),
    (rule_machine.Limit.EARLIER_REQUEST, _earlier_request_takes_effect_after_the_choice),
    (rule_machine.Limit.STALE_PRIMARY, _successor_of_a_stale_primary_is_lost),
]


@pytest.mark.parametrize("limit, sequence", KNOWN_LIMITS)
def test_a_limit_in_the_design_note_is_the_only_cause_of_its_loss(limit, sequence):
    machine = rule_machine.Promotions()
    sequence(machine)
    causes = {rule_machine.limit_of(loss, machine.forgotten) for loss in machine.world.losses}
    assert causes == {limit}


@pytest.mark.parametrize("limit, sequence", OPEN_LIMITS)
def test_the_whole_rule_keeps_all_commits(limit, sequence):
    machine = rule_machine.Promotions()
    sequence(machine)
    causes = {rule_machine.limit_of(loss, machine.forgotten) for loss in machine.world.losses}
    assert causes <= {limit}
    assert machine.world.losses == []
