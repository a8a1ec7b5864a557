"""Exploration of changes of primary in which promotions take effect some time later."""

import dataclasses

import pytest

from tests.common import exploration_rules, exploration_starts, promotion_exploration
from tests.common.exploration_state import A, B, C
from tests.proxy import test_promotion_exploration

MENDED = dataclasses.replace(
    test_promotion_exploration.MENDED,
    effect_at_once=False,
    voids_before_stop=False,
    end_after_hold=True,
    record_unanswered=True,
    keep_first=True,
    keep_recorded=True,
    hold_for_all=True,
)
"""The rule with all that the exploration has shown to be missing."""
IN_FORCE = MENDED
"""The rule of the code under test."""
STEPS = {
    "send",
    "commit",
    "execute commit",
    "receive",
    "begin",
    "hand over",
    "confirm",
    "decide",
    "decide, stopped",
    "execute request",
    "effect",
}
"""Steps of all explorations here."""
KEEPING = {"already led", "begin to keep", "keep", "finish"}


def explore(rules, allowed=(), *, start=None, without=(), **bounds):
    """Explore up to the first loss with the steps of all explorations and the ``allowed`` ones."""
    left_out = exploration_rules.LINES.keys() - STEPS - set(allowed) | set(without)
    defaults = {"commits": 1, "requests": 1, "steps": 11, "faults": 0, "waits": 0}
    bounds = exploration_rules.Bounds(**(defaults | bounds), without=frozenset(left_out))
    return promotion_exploration.explore(rules, bounds, first_only=True, start=start)


@pytest.mark.parametrize("in_order", [True, False], ids=["in_order", "in_any_order"])
def test_a_stopped_primary_that_was_promoted_before_its_stop_loses_no_commit(in_order):
    """The promotion that is to void earlier requests makes the stopped primary lead again."""
    result = explore(dataclasses.replace(IN_FORCE, effects_in_order=in_order), without=["begin"])
    assert not result.losses, promotion_exploration.describe(result.losses[0])


def test_a_kept_primary_loses_no_commit_of_the_recorded_server():
    """Commits go to the recorded server once it leads, until the kept primary leads again."""
    start = exploration_starts.recorded_without_answer(C, pending=(C,))
    rules = dataclasses.replace(IN_FORCE, effects_in_order=True)
    result = explore(rules, KEEPING, start=start, without=["begin"])
    assert not result.losses, promotion_exploration.describe(result.losses[0])


def test_a_primary_that_is_stopped_while_its_promotion_is_under_way_loses_no_commit():
    """The holder finds the record of an earlier one, and the primary does not answer it."""
    start = exploration_starts.recorded(B, pending=(A,), waiting=True)
    rules = dataclasses.replace(IN_FORCE, effects_in_order=True)
    result = explore(rules, start=start, without=["hand over"])
    assert not result.losses, promotion_exploration.describe(result.losses[0])


def test_a_recorded_server_that_leads_unnoticed_loses_no_commit():
    """It gives the holder no answer, which chooses another server by the end of the primary."""
    start = exploration_starts.recorded_without_answer(C, pending=(C,))
    rules = dataclasses.replace(IN_FORCE, effects_in_order=True)
    result = explore(rules, start=start, without=["hand over"], steps=10)
    assert not result.losses, promotion_exploration.describe(result.losses[0])


def test_a_primary_that_leads_again_after_its_end_was_read_loses_no_commit():
    """It crashes and returns as the primary before all instances have confirmed the hold."""
    faults = {"crash", "return", "restart replica"}
    result = explore(IN_FORCE, faults, faults=2, without=["hand over", "send"])
    assert not result.losses, promotion_exploration.describe(result.losses[0])


LOSING = [
    ("voids_before_stop", {"voids_before_stop": True}, {}),
    (
        "keep_first, request is late",
        {"keep_first": False},
        {"start": exploration_starts.recorded(B, requests=(A,), waiting=True)},
    ),
    (
        "keep_first, effect is late",
        {"keep_first": False},
        {"start": exploration_starts.recorded(B, pending=(A,), waiting=True)},
    ),
    (
        "hold_for_all, primary is kept",
        {"hold_for_all": False},
        {
            "start": exploration_starts.recorded_without_answer(C, requests=(C,)),
            "without": ["begin"],
        },
    ),
    (
        "hold_for_all, another server is chosen",
        {"hold_for_all": False},
        {
            "start": exploration_starts.recorded_without_answer(C, pending=(C,)),
            "without": ["hand over"],
            "steps": 10,
        },
    ),
    (
        "record_unanswered",
        {"record_unanswered": False},
        {"start": exploration_starts.repeated(), "requests": 2, "steps": 12},
    ),
    (
        "keep_recorded",
        {"keep_recorded": False},
        {
            "start": exploration_starts.recorded(A, requests=(A,), waiting=True),
            "requests": 2,
        },
    ),
    (
        "end_after_hold",
        {"end_after_hold": False},
        {
            "allowed": {"crash", "return", "restart replica"},
            "faults": 2,
            "without": ["hand over", "send"],
        },
    ),
    (
        "effect_in_time",
        {"effect_in_time": False},
        {"start": exploration_starts.recorded(C, pending=(A,)), "requests": 2, "steps": 13},
    ),
    (
        "stopped_confirms_nothing",
        {"stopped_confirms_nothing": False, "stop_ends_running": False},
        {"allowed": {"restart replica"}, "faults": 1},
    ),
]
"""Each part of the rule, and assumption, with the steps and bounds within which it is needed."""


@pytest.mark.parametrize(("part", "off", "bounds"), LOSING, ids=[each[0] for each in LOSING])
def test_the_rule_loses_a_commit_without_each_part(part, off, bounds):
    bounds = bounds | {"allowed": KEEPING | bounds.get("allowed", set())}
    assert explore(dataclasses.replace(MENDED, **off), **bounds).losses


@pytest.mark.parametrize(("part", "off", "bounds"), LOSING, ids=[each[0] for each in LOSING])
def test_the_whole_rule_loses_no_commit(part, off, bounds):
    bounds = bounds | {"allowed": KEEPING | bounds.get("allowed", set())}
    result = explore(MENDED, **bounds)
    assert result.complete
    assert not result.losses, promotion_exploration.describe(result.losses[0])


@pytest.mark.parametrize("awaits", [True, False], ids=["awaited", "not_awaited"])
def test_a_promotion_of_the_primary_beside_a_record_loses_commits_of_its_server(awaits):
    """To wait for its effect before the stop is no substitute for the hold."""
    rules = dataclasses.replace(
        MENDED, keep_first=False, hold_for_all=False, await_void=awaits, effects_in_order=True
    )
    start = exploration_starts.recorded(C, pending=(C,))
    assert explore(rules, {"await effect"}, start=start, without=["begin"]).losses


def test_a_commit_that_runs_as_its_primary_is_stopped_is_not_lost():
    rules = dataclasses.replace(MENDED, stop_ends_running=False)
    result = explore(rules, {"restart replica", "confirm late"}, faults=1, steps=10)
    assert result.complete
    assert not result.losses, promotion_exploration.describe(result.losses[0])
