"""Sequences of the machine for changes of primary, and the mechanism that each of them needs."""

import pytest

from tests.common.change_of_primary_attempt import A, B, C, LateOrder
from tests.proxy import test_change_of_primary_machine


def _hand_over(machine: test_change_of_primary_machine.Changes, *, late: bool = False) -> None:
    """Decide, record, decide again and request the promotion of the recorded server."""
    machine.begin(leaves=False)
    machine.decide(late=None)
    machine.decide(late=None)
    machine.request(late=late)


def _server_starts_before_the_effect(machine: test_change_of_primary_machine.Changes) -> None:
    _hand_over(machine)
    machine.start_server()
    machine.toggle_receiving(C)
    machine.write()
    machine.take_effect()


def _holder_dies_in_its_request(machine: test_change_of_primary_machine.Changes) -> None:
    machine.cut_or_heal(A)
    _hand_over(machine, late=True)
    requested = machine.attempt.requested
    machine.die()
    machine.cut_or_heal(A)
    machine.begin(leaves=False)
    machine.end(late=None)
    machine.toggle_receiving(requested)
    machine.write()
    machine.execute_late_request()
    machine.take_effect()


def _server_starts_before_the_decision(machine: test_change_of_primary_machine.Changes) -> None:
    machine.toggle_receiving(B)
    machine.toggle_receiving(C)
    machine.start_server()
    machine.write()
    machine.begin(leaves=False)
    machine.decide(late=None)
    machine.decide(late=None)
    if machine.attempt.confirmed:
        machine.request(late=False)
        machine.take_effect()


def _entry_of_the_only_holder_expires(machine: test_change_of_primary_machine.Changes) -> None:
    machine.toggle_receiving(C)
    machine.write()
    machine.expire_entry(B)
    machine.crash_or_restart(A)
    _hand_over(machine)
    machine.take_effect()


def _commit_follows_the_comparison(machine: test_change_of_primary_machine.Changes) -> None:
    machine.start_server()
    machine.begin(leaves=False)
    machine.decide(late=None)
    machine.decide(late=None)
    machine.toggle_receiving(C)
    machine.write()
    machine.request(late=False)
    machine.take_effect()


def _late_resume_ends_a_pause(machine: test_change_of_primary_machine.Changes) -> None:
    machine.late_orders.append(LateOrder(server=B))
    _hand_over(machine)
    machine.execute_late_order()
    machine.keep_paused(late=None)
    machine.toggle_receiving(C)
    machine.write()
    machine.take_effect()


def _void_takes_effect_after_the_stop(machine: test_change_of_primary_machine.Changes) -> None:
    machine.start_server()
    machine.prepare(leaves=False)
    machine.toggle_receiving(C)
    machine.request(late=False)
    machine.take_effect()
    machine.write()
    while machine.effects:
        machine.take_effect()


def _repeated_request_for_the_stopped_primary(
    machine: test_change_of_primary_machine.Changes,
) -> None:
    """The first request got no answer, and is executed when its server is replaced itself."""
    _hand_over(machine, late=True)
    machine.request(late=False)
    machine.take_effect()
    machine.end(late=None)
    machine.start_server()
    machine.prepare(leaves=False)
    machine.execute_late_request()
    while machine.effects:
        machine.take_effect()
    machine.toggle_receiving(B)
    machine.write()
    machine.request(late=False)
    machine.take_effect()


def _recorded_server_leads_before_the_kept_primary(
    machine: test_change_of_primary_machine.Changes,
) -> None:
    machine.cut_or_heal(A)
    _hand_over(machine, late=True)
    machine.die()
    machine.cut_or_heal(A)
    machine.cut_or_heal(C)
    machine.begin(leaves=False)
    machine.decide(late=None)
    machine.execute_late_request()
    machine.cut_or_heal(C)
    machine.keep_primary()
    machine.take_effect()
    machine.toggle_receiving(A)
    machine.write()
    machine.take_effect()


NOT_STOPPED = {"stop_primary": False}
UNREAD = {"hold_commits": False}
"""Commits of instances that have not read the record, or have lost the store."""
SEQUENCES = [
    ("hold_commits", _server_starts_before_the_effect, NOT_STOPPED),
    ("record_requests", _holder_dies_in_its_request, {}),
    ("compare_ends", _server_starts_before_the_decision, NOT_STOPPED),
    ("stop_primary", _commit_follows_the_comparison, UNREAD),
    ("count_expired", _entry_of_the_only_holder_expires, {}),
    ("check_pauses", _late_resume_ends_a_pause, {**UNREAD, **NOT_STOPPED}),
    ("resume_requested_only", _holder_dies_in_its_request, UNREAD),
    ("never_void_before_stop", _void_takes_effect_after_the_stop, UNREAD),
    ("hold_for_all", _recorded_server_leads_before_the_kept_primary, {}),
    ("record_unanswered", _repeated_request_for_the_stopped_primary, UNREAD),
]


@pytest.mark.parametrize("mechanism, sequence, changes", SEQUENCES)
def test_a_sequence_loses_a_commit_only_without_its_mechanism(mechanism, sequence, changes):
    whole = type("Whole", (test_change_of_primary_machine.Changes,), dict(changes))()
    sequence(whole)
    assert whole.group.lost == []
    without = type(
        "Without", (test_change_of_primary_machine.Changes,), {**changes, mechanism: False}
    )()
    sequence(without)
    assert without.group.lost != []
