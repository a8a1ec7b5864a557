"""No acknowledged commit is above the position that the instances' reports prove."""

import dataclasses

import pytest
from hypothesis import given, settings

from mustardswitch.internal import acknowledged_end, position_history
from tests.common import acknowledged_model, builders

UNHEARD_S = 100.0


def sample(query_sent_at_s, offset, *, term=1):
    return position_history.PositionSample(
        query_sent_at_s=query_sent_at_s, position=builders.position(term, offset)
    )


def told(*samples, shown=None, started_by_s=0.0):
    return acknowledged_end.Told(
        shown=None if shown is None else builders.position(1, shown),
        started_by_s=started_by_s,
        samples=samples,
    )


def find(*reports):
    return acknowledged_end.find(reports, unheard_until_s=UNHEARD_S)


def test_without_a_query_nothing_is_known_of_instances_that_ended():
    assert find(told(shown=9), told(shown=7)) is None


def test_a_query_sent_when_all_others_had_ended_covers_them():
    assert find(told(sample(100.0, 5))) == builders.position(1, 5)


def test_a_query_sent_before_the_last_of_the_others_ended_covers_nothing():
    assert find(told(sample(99.999, 5))) is None


@pytest.mark.parametrize("starting", [0, 1])
def test_a_query_sent_before_any_reporting_instance_started_covers_nothing(starting):
    reports = [told(sample(110.0, 5), sample(119.9, 6)), told(sample(119.0, 6))]
    reports[starting] = dataclasses.replace(reports[starting], started_by_s=120.0)
    assert find(*reports) is None
    reports[1 - starting] = told(sample(120.0, 8))
    assert find(*reports) == builders.position(1, 8)


def test_the_lowest_position_of_the_sufficient_queries_is_taken():
    reports = [told(sample(99.0, 2), sample(103.0, 7)), told(sample(101.0, 5), sample(109.0, 9))]
    assert find(*reports) == builders.position(1, 5)


def test_what_reporting_instances_have_acknowledged_since_is_covered():
    assert find(told(sample(101.0, 5)), told(shown=8), told(shown=6)) == builders.position(1, 8)


def test_a_later_term_is_above_any_offset_of_an_earlier_one():
    later = acknowledged_end.Told(shown=builders.position(2, 3), started_by_s=0.0)
    assert find(told(sample(101.0, 50)), later) == builders.position(2, 3)


def test_two_reports_of_one_instance_tell_what_both_processes_have_acknowledged():
    first = told(sample(101.0, 5), shown=8, started_by_s=90.0)
    second = told(sample(101.0, 6), sample(130.0, 9), shown=None, started_by_s=125.0)
    for merged in (first.merge(second), second.merge(first)):
        assert (merged.shown, merged.started_by_s) == (builders.position(1, 8), 90.0)
        assert {each.position.offset for each in merged.samples} == {5, 6, 9}
        assert find(merged) == builders.position(1, 8)


def test_of_two_reports_of_one_position_the_later_query_is_kept():
    merged = told(sample(101.0, 5)).merge(told(sample(105.0, 5)))
    assert merged.samples == (sample(105.0, 5),)


# Against a model in which the acknowledged commits are known


@settings(max_examples=400, deadline=None)
@given(steps=acknowledged_model.STEPS)
def test_no_acknowledged_commit_is_above_the_end_that_is_found(steps):
    world = acknowledged_model.World()
    world.play(steps)
    found = world.find()
    assert found is None or found >= world.acknowledged()


@settings(max_examples=200, deadline=None)
@given(steps=acknowledged_model.STEPS)
def test_a_query_after_a_calm_time_proves_an_end_that_the_primary_has_reached(steps):
    world = acknowledged_model.World()
    world.play(steps)
    world.pass_time(acknowledged_model.LIMIT_S + 1.0)
    world.query(0)
    found = world.find()
    assert world.acknowledged() <= found <= max(world.end, world.acknowledged())


@pytest.mark.parametrize("part", acknowledged_model.PARTS)
def test_each_part_of_the_rule_is_needed(part):
    world = acknowledged_model.World(without=part)
    world.play(acknowledged_model.LOSING[part])
    assert world.find() < world.acknowledged()
    complete = acknowledged_model.World()
    complete.play(acknowledged_model.LOSING[part])
    found = complete.find()
    assert found is None or found >= complete.acknowledged()
