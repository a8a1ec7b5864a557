"""No acknowledged commit is above the position that the instances' reports prove."""

import dataclasses

import pytest
from hypothesis import given, settings

from mustardswitch.internal import acknowledged_end
from tests.common import acknowledged_model, builders

UNHEARD_S = 100.0
DROPPED_S = acknowledged_end.DROPPED_S


def sample(sent_after_s, offset, *, answered_by_s=None, term=1):
    return acknowledged_end.Sample(
        sent_after_s=sent_after_s,
        answered_by_s=sent_after_s if answered_by_s is None else answered_by_s,
        position=builders.position(term, offset),
    )


SEEN = sample(100.0, 1)
"""The primary was seen to run after the others had ended."""


def told(*samples, shown=None, answered_since_s=0.0):
    return acknowledged_end.Told(
        shown=None if shown is None else builders.position(1, shown),
        answered_since_s=answered_since_s,
        samples=samples,
    )


def find(*reports):
    return acknowledged_end.find(reports, unheard_until_s=UNHEARD_S)


def test_without_a_query_nothing_is_known_of_instances_that_ended():
    assert find(told(shown=9), told(shown=7)) is None


def test_a_query_sent_after_the_primary_has_dropped_what_the_others_sent_covers_it():
    assert find(told(SEEN, sample(100.0 + DROPPED_S, 5))) == builders.position(1, 5)


def test_a_query_sent_while_the_primary_may_execute_what_the_others_sent_covers_nothing():
    assert find(told(SEEN, sample(99.999 + DROPPED_S, 5))) is None


def test_a_primary_that_was_seen_before_the_others_ended_may_have_been_frozen_since():
    assert find(told(sample(99.999, 1), sample(110.0, 5))) is None


def test_a_primary_that_answered_late_is_seen_to_run_as_of_its_answer():
    late = sample(100.0, 1, answered_by_s=104.0)
    assert find(told(late, sample(104.0, 5))) is None
    assert find(told(late, sample(104.0 + DROPPED_S, 6))) == builders.position(1, 6)


def test_two_instances_may_see_the_primary_run_and_its_end():
    first, second = told(SEEN), told(sample(100.0 + DROPPED_S, 5))
    assert find(first, second) == builders.position(1, 5)


@pytest.mark.parametrize("starting", [0, 1])
def test_a_query_before_all_that_a_reporting_instance_sent_was_answered_covers_nothing(starting):
    reports = [told(sample(110.0, 5), sample(119.9, 6)), told(sample(119.0, 6))]
    reports[starting] = dataclasses.replace(reports[starting], answered_since_s=120.0)
    assert find(*reports) is None
    reports[1 - starting] = told(sample(120.0, 7), sample(120.0 + DROPPED_S, 8))
    assert find(*reports) == builders.position(1, 8)


def test_the_lowest_position_of_the_sufficient_queries_is_taken():
    reports = [told(SEEN, sample(104.0, 7)), told(sample(103.5, 5), sample(109.0, 9))]
    assert find(*reports) == builders.position(1, 5)


def test_what_reporting_instances_have_sent_since_is_covered():
    reports = [told(SEEN, sample(104.0, 5)), told(shown=8), told(shown=6)]
    assert find(*reports) == builders.position(1, 8)


def test_a_later_term_is_above_any_offset_of_an_earlier_one():
    later = acknowledged_end.Told(shown=builders.position(2, 3), answered_since_s=0.0)
    assert find(told(SEEN, sample(104.0, 50)), later) == builders.position(2, 3)


def test_two_reports_of_one_instance_tell_what_both_processes_have_sent():
    first = told(SEEN, sample(104.0, 5), shown=8, answered_since_s=90.0)
    second = told(sample(104.0, 6), sample(130.0, 9), answered_since_s=125.0)
    for merged in (first.merge(second), second.merge(first)):
        assert (merged.shown, merged.answered_since_s) == (builders.position(1, 8), 90.0)
        assert {each.position.offset for each in merged.samples} == {1, 5, 6, 9}
        assert find(merged) == builders.position(1, 8)


def test_of_two_reports_of_one_position_the_one_of_the_narrowest_time_is_kept():
    wide, narrow = sample(101.0, 5, answered_by_s=106.0), sample(102.0, 5, answered_by_s=105.0)
    assert told(wide).merge(told(narrow)).samples == (narrow,)
    assert told(narrow).merge(told(wide)).samples == (narrow,)


# Against a model in which the acknowledged commits are known


@settings(max_examples=600, deadline=None)
@given(steps=acknowledged_model.STEPS)
def test_no_acknowledged_commit_is_above_the_end_that_is_found(steps):
    world = acknowledged_model.World()
    world.play(steps)
    found = world.find()
    assert found is None or found >= world.acknowledged()


@settings(max_examples=200, deadline=None)
@given(steps=acknowledged_model.STEPS)
def test_queries_after_a_calm_time_prove_an_end_that_the_primary_has_reached(steps):
    world = acknowledged_model.World()
    world.play([*steps, ("thaw",)])
    for _ in range(2):
        world.pass_time(acknowledged_model.LIMIT_S + 1.0)
        world.query(0)
    found = world.find()
    assert world.acknowledged() <= found <= max(world.end, _highest_shown(world))


def _highest_shown(world):
    shown = [each.shown for each in world.processes.values() if each.shown is not None]
    return max(shown, default=world.end)


@pytest.mark.parametrize("part", acknowledged_model.PARTS)
def test_each_part_of_the_rule_is_needed(part, monkeypatch):
    complete = acknowledged_model.World()
    complete.play(acknowledged_model.LOSING[part])
    found = complete.find()
    assert found is None or found >= complete.acknowledged()
    if part == "dropped":
        monkeypatch.setattr(acknowledged_end, "DROPPED_S", 0.0)
    world = acknowledged_model.World(without=part)
    world.play(acknowledged_model.LOSING[part])
    assert world.find() < world.acknowledged()
