"""Sequences of the machine for promotions: what each part of the rule prevents, and its limits."""

import dataclasses

import pytest

from tests.common import (
    promotion_limits,
    promotion_sequences,
    promotion_sequences_effects,
    promotion_sequences_members,
    promotion_servers,
)
from tests.proxy import test_promotion_rule_machine as rule_machine

UNCOMPARED = {"compare_acknowledged": False, "acknowledged_end": False}
"""Instances whose acknowledged positions are not known, for example after their restart."""
UNHELD = {"hold_commits": False}
"""Commits of instances that have not read the record."""
SPARED = {"pause_replaced": False}
"""The list names a server that has stopped or was replaced as the primary."""
ALONE = {"any_instance_stops": False}
"""Instances that reach the primary, and cannot stop it."""
MAY_RUN = {"end_primary": False, "any_instance_stops": False}
"""The holder is cut off from the primary, of which nothing more is known."""
SEQUENCES = [
    ("end_primary", promotion_sequences.abandoned_commit_waits_at_the_primary, ALONE),
    ("end_primary", promotion_sequences.commit_of_an_ended_instance_waits_at_the_primary, ALONE),
    ("end_primary", promotion_sequences.resume_confirms_a_waiting_commit, ALONE),
    ("end_primary", promotion_sequences.restart_confirms_a_waiting_commit, ALONE),
    (
        "hold_after_stop",
        promotion_sequences.stopped_primary_leads_again_for_an_instance_cut_off,
        {},
    ),
    (
        "compare_end",
        promotion_sequences.commit_precedes_the_stop,
        {"record_end": False} | UNCOMPARED,
    ),
    ("stop_primary", promotion_sequences.commit_follows_the_choice, {}),
    ("wait_for_hold", promotion_sequences.commit_follows_the_record, MAY_RUN),
    ("need_permission", promotion_sequences.commit_follows_the_period, MAY_RUN),
    ("compare_acknowledged", promotion_sequences.primary_dies_beside_an_unlisted_server, {}),
    (
        "stop_silent_primary",
        promotion_sequences.silent_primary_takes_the_order_to_stop,
        UNHELD | MAY_RUN,
    ),
    (
        "stop_leaders_only",
        promotion_sequences.stale_primary_answers_the_order_to_stop,
        SPARED | MAY_RUN | UNCOMPARED,
    ),
    (
        "pause_replaced",
        promotion_sequences.successor_of_a_stale_primary_is_lost,
        UNCOMPARED | MAY_RUN,
    ),
    ("never_void_before_stop", promotion_sequences_effects.void_takes_effect_after_the_stop, {}),
    ("record_unanswered", promotion_sequences_effects.repeated_request_for_the_stopped_primary, {}),
    ("keep_first", promotion_sequences_effects.promotion_of_the_primary_is_late, ALONE),
    (
        "hold_for_all",
        promotion_sequences_effects.recorded_server_leads_before_the_kept_primary,
        MAY_RUN,
    ),
    (
        "end_after_hold",
        promotion_sequences_effects.stopped_primary_leads_again_before_the_hold,
        {},
    ),
    ("record_end", promotion_sequences.holder_dies_after_the_stop, UNCOMPARED | SPARED),
    ("durable_list", promotion_sequences.all_instances_start_anew, {}),
    ("read_list", promotion_sequences.list_of_the_holder_is_behind, UNCOMPARED),
    ("need_all_paused", promotion_sequences.only_holder_gives_no_answer, UNCOMPARED | MAY_RUN),
    ("choose_highest", promotion_sequences.one_replica_lags, UNCOMPARED | MAY_RUN),
    ("count_expired", promotion_sequences.entry_of_the_only_holder_expires, UNCOMPARED | MAY_RUN),
    ("record", promotion_sequences.holder_dies_in_its_request, MAY_RUN),
    ("record_outlives_claim", promotion_sequences.holder_dies_in_its_request, MAY_RUN),
    ("decide_again", promotion_sequences.pause_ends_before_the_second_record, UNHELD | MAY_RUN),
    ("hold_commits", promotion_sequences.pause_ends_after_the_record_is_read, MAY_RUN),
    (
        "resume_requested_only",
        promotion_sequences.holder_dies_beside_an_instance_without_the_store,
        UNHELD | MAY_RUN,
    ),
    ("keep_paused", promotion_sequences.pause_ends_before_the_effect, UNHELD | MAY_RUN),
    ("fence_requests", promotion_sequences.primary_is_kept, MAY_RUN),
    ("void_request", promotion_sequences.primary_is_kept, MAY_RUN),
    (
        "keep_members",
        promotion_sequences_members.replica_without_an_entry_confirms_beyond_a_restart,
        {},
    ),
    ("keep_members", promotion_sequences_members.lost_replica_confirmed_alone, {}),
    ("await_silent", promotion_sequences_members.silent_replica_without_an_entry_confirmed, {}),
    ("cover_by_end", promotion_sequences_members.ended_replica_confirmed_alone, {}),
    ("cover_ended", promotion_sequences_members.covered_replica_runs_again, {}),
    (
        "acknowledged_end_of_all",
        promotion_sequences_members.instance_that_acknowledged_tells_nothing,
        {},
    ),
    (
        "acknowledged_end_of_all",
        promotion_sequences_members.instances_that_acknowledged_have_ended,
        {},
    ),
    (
        "answers_to_all",
        promotion_sequences_members.answer_is_lost_and_the_confirming_replica_is_silent,
        {},
    ),
]


@pytest.mark.parametrize("leads_from", promotion_servers.LeadsFrom)
@pytest.mark.parametrize("part, sequence, off", SEQUENCES)
def test_a_sequence_loses_a_commit_only_without_its_part(part, sequence, off, leads_from):
    """Others that are ``off`` would keep the commit as well."""
    parts = dataclasses.replace(rule_machine.Promotions.parts, **off)
    whole = type("Whole", (rule_machine.Promotions,), {"leads_from": leads_from, "parts": parts})()
    sequence(whole)
    assert whole.world.losses == []
    parts = dataclasses.replace(parts, **{part: False})
    without = type(
        "Without", (rule_machine.Promotions,), {"leads_from": leads_from, "parts": parts}
    )()
    sequence(without)
    assert without.world.losses != []


KNOWN_LIMITS = [
    (
        promotion_limits.Limit.UNKNOWN,
        promotion_sequences.first_commit_is_confirmed_by_an_unlisted_server,
    ),
]
OPEN_LIMITS = [
    (
        promotion_limits.Limit.STARTED_ANEW,
        promotion_sequences.server_starts_anew_before_a_late_request,
    ),
    (
        promotion_limits.Limit.COVERED_BEFORE,
        promotion_sequences_members.covered_replica_runs_and_ends_again,
    ),
    (
        promotion_limits.Limit.COVERED_BEFORE,
        promotion_sequences_members.covered_replica_was_replaced_and_runs_again,
    ),
    (
        promotion_limits.Limit.STALE_PRIMARY,
        promotion_sequences_members.stale_primary_confirms_as_a_replica_and_ends,
    ),
    (promotion_limits.Limit.LEFT, promotion_sequences_members.replica_confirms_alone_and_leaves),
]
FORMER_LIMITS = [
    promotion_sequences.primary_dies_beside_an_unlisted_server,
    promotion_sequences.unlisted_server_confirms_without_the_store,
    promotion_sequences.all_instances_start_anew,
    promotion_sequences.resume_confirms_a_waiting_commit,
    promotion_sequences.resume_confirms_a_commit_without_the_store,
    promotion_sequences.restart_confirms_a_waiting_commit,
    promotion_sequences.abandoned_commit_waits_at_the_primary,
    promotion_sequences.commit_of_an_ended_instance_waits_at_the_primary,
    promotion_sequences.stopped_primary_leads_again_before_a_late_request,
    promotion_sequences.stopped_primary_leads_again_for_an_instance_cut_off,
    promotion_sequences.earlier_request_takes_effect_after_the_choice,
    promotion_sequences.stale_primary_answers_the_order_to_stop,
    promotion_sequences.successor_of_a_stale_primary_is_lost,
]


@pytest.mark.parametrize("limit, sequence", KNOWN_LIMITS)
def test_a_limit_in_the_design_note_is_the_only_cause_of_its_loss(limit, sequence):
    machine = rule_machine.Promotions()
    sequence(machine)
    assert {promotion_limits.limit_of(loss) for loss in machine.world.losses} == {limit}


@pytest.mark.parametrize("limit, sequence", OPEN_LIMITS)
def test_the_whole_rule_keeps_all_commits(limit, sequence):
    machine = rule_machine.Promotions()
    sequence(machine)
    assert {promotion_limits.limit_of(loss) for loss in machine.world.losses} <= {limit}
    assert machine.world.losses == []


@pytest.mark.parametrize("leads_from", promotion_servers.LeadsFrom)
@pytest.mark.parametrize("sequence", FORMER_LIMITS)
def test_a_former_limit_loses_no_commit(sequence, leads_from):
    machine = type("Whole", (rule_machine.Promotions,), {"leads_from": leads_from})()
    sequence(machine)
    assert machine.world.losses == []


@pytest.mark.parametrize("leads_from", promotion_servers.LeadsFrom)
def test_a_replica_without_an_entry_that_outlasts_all_instances_loses_no_commit(leads_from):
    machine = type("Whole", (rule_machine.Promotions,), {"leads_from": leads_from})()
    sequence = promotion_sequences_members.replica_without_an_entry_confirms_beyond_a_restart
    sequence(machine)
    assert machine.world.losses == []


USUAL = [
    promotion_sequences_members.primary_crashes,
    promotion_sequences_members.primary_crashes_beside_a_covered_server,
    promotion_sequences_members.primary_crashes_beside_a_silent_server,
    promotion_sequences_members.primary_runs_and_leaves,
]


@pytest.mark.parametrize("leads_from", promotion_servers.LeadsFrom)
@pytest.mark.parametrize("sequence", USUAL)
def test_the_whole_rule_promotes_a_server_in_a_usual_case(sequence, leads_from):
    machine = type("Whole", (rule_machine.Promotions,), {"leads_from": leads_from})()
    sequence(machine)
    assert machine.world.leader().name != rule_machine.A
    assert machine.world.losses == []
