"""When a primary that was not stopped executes nothing any more."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import former_primary
from mustardswitch.internal.former_primary import GONE_S, NEVER_S, UNREACHED_S, Order
from mustardswitch.internal.promotion import FormerPrimary
from tests.common import builders

HELD_S = 10.0
LISTED = 0.0
SILENT = former_primary.Report()
AGES = st.sampled_from([0.0, 1.0, GONE_S, 3.0, UNREACHED_S, 5.0, HELD_S, 20.0, NEVER_S])


def _heard(answered_s: float = NEVER_S, connected_s: float = NEVER_S, refused_s: float = NEVER_S):
    return former_primary.Report(
        answered_s=answered_s, connected_s=min(answered_s, connected_s), refused_s=refused_s
    )


def _state(*reports: former_primary.Report, unlisted_s: float = LISTED, **changes) -> FormerPrimary:
    known = {"held_s": HELD_S, "all_report": True, "confirmed_report": True, **changes}
    return former_primary.state_of(reports, unlisted_s=unlisted_s, **known)


@pytest.mark.parametrize("age_s", [0.0, UNREACHED_S, HELD_S + 1, 1e9, NEVER_S])
def test_silence_of_a_listed_primary_that_accepts_connections_is_never_an_end(age_s):
    state = _state(_heard(age_s), _heard(connected_s=UNREACHED_S - 0.1))
    assert state is FormerPrimary.MAY_RUN


@pytest.mark.parametrize(
    ("reports", "all_report", "gone"),
    [
        ([_heard(UNREACHED_S)], True, True),
        ([SILENT, _heard(connected_s=UNREACHED_S)], True, True),
        ([SILENT, _heard(connected_s=UNREACHED_S)], False, False),
        ([SILENT, _heard(connected_s=UNREACHED_S - 0.1)], True, False),
        ([SILENT, _heard(answered_s=UNREACHED_S - 0.1)], True, False),
        ([_heard(HELD_S), _heard(connected_s=0.1)], True, False),
    ],
)
def test_a_listed_primary_has_ended_once_no_instance_has_reached_it_for_long(
    reports, all_report, gone
):
    expected = FormerPrimary.GONE if gone else FormerPrimary.MAY_RUN
    assert _state(*reports, all_report=all_report) is expected


@pytest.mark.parametrize("order", [Order.STOPPED, Order.REPLICA])
@pytest.mark.parametrize("unlisted_s", [LISTED, GONE_S], ids=["listed", "unlisted"])
def test_an_answer_as_a_replica_to_one_instance_is_an_end(order, unlisted_s):
    answered = dataclasses.replace(_heard(0.0), order=order)
    assert (
        _state(_heard(0.0), answered, unlisted_s=unlisted_s, all_report=False)
        is FormerPrimary.REPLICA
    )


@pytest.mark.parametrize(
    ("reports", "changes", "ended"),
    [
        ([_heard(refused_s=9.9)], {}, True),
        ([_heard(refused_s=9.9), SILENT], {"all_report": False}, True),
        ([_heard(answered_s=10.1, refused_s=9.9)], {}, True),
        ([_heard(refused_s=9.9)], {"unlisted_s": 0.0}, True),
        ([_heard(answered_s=0.1, refused_s=9.9)], {"unlisted_s": 0.0}, False),
        ([_heard(refused_s=HELD_S)], {"all_report": False}, False),
        ([_heard(refused_s=10.1)], {"all_report": False}, False),
        ([_heard(refused_s=1.0), _heard(connected_s=9.9)], {}, True),
        ([_heard(refused_s=1.0), _heard(connected_s=0.5)], {}, False),
        ([_heard(refused_s=1.0), _heard(answered_s=0.5)], {}, False),
        ([_heard(refused_s=1.0)], {"all_report": False, "confirmed_report": False}, False),
    ],
)
def test_a_refused_connection_is_an_end_only_if_newer_than_the_hold_and_without_contact_since(
    reports, changes, ended
):
    expected = FormerPrimary.NOT_LISTENING if ended else FormerPrimary.MAY_RUN
    assert _state(*reports, **changes) is expected


@pytest.mark.parametrize(
    ("reports", "unlisted_s", "all_report", "gone"),
    [
        ([_heard(UNREACHED_S)], GONE_S, False, True),
        ([_heard(connected_s=0.1)], GONE_S, False, True),
        ([_heard(connected_s=0.1)], GONE_S - 0.1, True, False),
        ([SILENT], GONE_S - 0.1, False, False),
        ([SILENT, _heard(UNREACHED_S - 0.1)], GONE_S, True, False),
        ([SILENT, _heard(0.1)], HELD_S, True, False),
        ([SILENT, _heard(UNREACHED_S)], 0.0, True, True),
        ([SILENT, _heard(connected_s=UNREACHED_S)], 0.0, True, True),
        ([SILENT, _heard(connected_s=UNREACHED_S - 0.1)], 0.0, True, False),
        ([_heard(0.1)], GONE_S, False, False),
        ([SILENT], LISTED, False, False),
    ],
)
def test_a_removed_entry_is_an_end_only_after_silence(reports, unlisted_s, all_report, gone):
    expected = FormerPrimary.GONE if gone else FormerPrimary.MAY_RUN
    assert _state(*reports, unlisted_s=unlisted_s, all_report=all_report) is expected


@pytest.mark.parametrize("unlisted_s", [LISTED, 1e9], ids=str)
@pytest.mark.parametrize("report", [SILENT, _heard(refused_s=0.0), _heard(1e9)], ids=str)
def test_no_silence_is_an_end_while_commits_are_not_held(report, unlisted_s):
    assert _state(report, unlisted_s=unlisted_s, held_s=None) is FormerPrimary.MAY_RUN


@given(
    reports=st.lists(st.builds(_heard, AGES, AGES, AGES), min_size=1, max_size=3),
    later=st.builds(_heard, AGES, AGES),
    unlisted_s=AGES,
    held_s=st.none() | AGES,
    all_report=st.booleans(),
    confirmed_report=st.booleans(),
)
def test_a_later_sign_of_life_never_makes_a_primary_ended(reports, later, **known):
    first, *others = reports
    changed = dataclasses.replace(
        first,
        answered_s=min(first.answered_s, later.answered_s),
        connected_s=min(first.connected_s, later.connected_s),
    )
    if not _state(*reports, **known).has_ended:
        assert not _state(changed, *others, **known).has_ended
        assert not _state(*reports, later, **known).has_ended


def test_the_highest_end_of_the_asked_result_counts():
    def report(order: Order, offset: int | None) -> former_primary.Report:
        end = None if offset is None else builders.position(1, offset)
        return former_primary.Report(order=order, end=end)

    reports = [report(Order.STOPPED, 5), report(Order.STOPPED, 7), report(Order.REPLICA, 9)]
    reports += [report(Order.STOPPED, None), report(Order.PENDING, 11)]
    assert former_primary.end_of(reports, Order.STOPPED) == builders.position(1, 7)
    assert former_primary.end_of(reports, Order.REPLICA) == builders.position(1, 9)
    assert former_primary.end_of(reports[3:4], Order.STOPPED) is None
    assert former_primary.end_of([], Order.STOPPED) is None


def test_a_report_ages_but_a_sign_that_never_was_stays_so():
    report = former_primary.Report(
        order=Order.STOPPED, end=builders.position(1, 2), answered_s=2.0, connected_s=1.0
    )
    expected = dataclasses.replace(report, answered_s=2.5, connected_s=1.5)
    assert report.aged(0.5) == expected
