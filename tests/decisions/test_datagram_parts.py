"""Parts of datagrams that tell what was acknowledged, and that ask for pauses and notices."""

import contextlib
import dataclasses
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import former_primary, ids, positions, promotion
from mustardswitch.peers import datagrams, errors, leave_questions, pauses, told_commits
from tests.common import datagram_values

SECONDS = st.floats(0, 1e9)
TOLD = st.builds(
    told_commits.ToldCommits,
    shown=st.none() | datagram_values.POSITIONS,
    answered_s=SECONDS,
    samples=st.lists(
        st.builds(
            told_commits.AgedSample,
            sent_s=SECONDS,
            answered_s=SECONDS,
            position=datagram_values.POSITIONS,
        ),
        max_size=told_commits.MAX_SAMPLES,
    ).map(tuple),
)
PAUSES = st.builds(
    pauses.PauseOrder,
    service=datagram_values.NAMES,
    server=datagram_values.NAMES,
    term=datagram_values.NUMBERS,
    asked_at_s=SECONDS,
)
PAUSED = st.builds(
    pauses.PauseReport,
    order=PAUSES,
    status=st.builds(
        promotion.ServerStatus,
        role=st.sampled_from(promotion.Role),
        term=datagram_values.NUMBERS,
        received=datagram_values.POSITIONS,
        paused=st.booleans(),
        running=datagram_values.NUMBERS,
    ),
)
QUESTIONS = st.builds(
    leave_questions.LeaveQuestion,
    service=datagram_values.NAMES,
    server=datagram_values.NAMES,
    started_ms=datagram_values.NUMBERS,
    asked_at_s=SECONDS,
)
PAUSE = ["s", "c", 3, 12.5]
QUESTION = ["s", "a", 5, 12.5]
PAUSE_REPORT = [*PAUSE, "replica", 3, [1, 2], True, 0]
ACKNOWLEDGED = [[[1, 3], 12.5, [[0.5, 0.4, [1, 3]], [0.1, 0, [1, 4]]]], None]
"""What was acknowledged, for the rows of "held"."""


@given(
    held=datagram_values.HELD,
    told=st.none() | TOLD,
    reports=st.lists(datagram_values.REPORTS, max_size=1),
)
def test_what_an_instance_has_acknowledged_arrives_as_it_was_sent(held, told, reports):
    update = datagrams.PeerUpdate(
        instance=ids.InstanceId("one"),
        held=(dataclasses.replace(held, told=told),),
        primary_reports=tuple(reports),
    )
    assert datagrams.decode(datagrams.encode(update)) == update


@given(orders=st.lists(PAUSES, max_size=4), reports=st.lists(PAUSED, max_size=2))
def test_orders_to_pause_and_their_answers_arrive_as_they_were_sent(orders, reports):
    update = datagrams.PeerUpdate(
        instance=ids.InstanceId("one"),
        pause_orders=tuple(orders),
        pause_reports=tuple(reports),
    )
    assert datagrams.decode(datagrams.encode(update)) == update


@given(
    value=datagram_values.VALUES,
    field=st.sampled_from(["pause", "paused"]),
    index=st.integers(0, 9),
)
def test_anything_told_about_pauses_is_decoded_fully_or_raises_one_error(value, field, index):
    row = PAUSE if field == "pause" else PAUSE_REPORT
    rows = value if index == 9 else [[*row[:index], value, *row[index + 1 :]]]
    data = json.dumps({"instance": "one", field: rows}).encode()
    with contextlib.suppress(errors.InvalidDatagramError):
        update = datagrams.decode(data)
        assert datagrams.decode(datagrams.encode(update)) == update


@pytest.mark.parametrize(
    "changes",
    [
        {"pause": None},
        {"pause": [PAUSE] * (datagrams.MAX_PROMOTIONS + 1)},
        {"pause": [PAUSE[:-1]]},
        {"pause": [["", *PAUSE[1:]]]},
        {"pause": [["s", 5, *PAUSE[2:]]]},
        {"pause": [["s", "c", -1, 12.5]]},
        {"pause": [["s", "c", 3, None]]},
        {"pause": [["s", "c", 3, float("nan")]]},
        {"paused": {}},
        {"paused": [PAUSE_REPORT] * (datagrams.MAX_PROMOTIONS + 1)},
        {"paused": [PAUSE_REPORT[:-1]]},
        {"paused": [[*PAUSE_REPORT[:4], "leader", *PAUSE_REPORT[5:]]]},
        {"paused": [[*PAUSE_REPORT[:4], ["replica"], *PAUSE_REPORT[5:]]]},
        {"paused": [[*PAUSE_REPORT[:6], None, *PAUSE_REPORT[7:]]]},
        {"paused": [[*PAUSE_REPORT[:7], 1, 0]]},
        {"paused": [[*PAUSE_REPORT[:8], -1]]},
    ],
    ids=str,
)
def test_an_odd_value_about_pauses_raises_one_error(changes):
    sound = {"instance": "one", "pause": [PAUSE], "paused": [PAUSE_REPORT]}
    datagrams.decode(json.dumps(sound).encode())
    with pytest.raises(errors.InvalidDatagramError):
        datagrams.decode(json.dumps({**sound, **changes}).encode())


def test_what_is_acknowledged_belongs_to_its_confirmation():
    held = datagrams.HeldCommits(service=ids.ServiceName("s"), server=ids.ServerId("b"), revision=7)
    told = told_commits.ToldCommits(shown=None, answered_s=2.5)
    rows = (held, dataclasses.replace(held, revision=8, told=told))
    update = datagrams.PeerUpdate(instance=ids.InstanceId("one"), held=rows)
    assert datagrams.decode(datagrams.encode(update)).held == rows


def test_an_earlier_build_finds_confirmations_in_the_rows_that_it_knows():
    """It knows rows of four values only, and ignores fields that it does not know."""
    told = told_commits.ToldCommits(shown=None, answered_s=2.5)
    held = datagrams.HeldCommits(
        service=ids.ServiceName("s"), server=ids.ServerId("b"), revision=7, told=told
    )
    update = datagrams.PeerUpdate(instance=ids.InstanceId("one"), held=(held,))
    assert json.loads(datagrams.encode(update))["held"] == [["s", "b", 7, None]]


def test_a_confirmation_of_an_earlier_build_does_not_tell_what_is_acknowledged():
    update = datagrams.decode(b'{"instance":"one","held":[["s","b",7,[1,2]]]}')
    assert [each.told for each in update.held] == [None]


def test_a_confirmation_with_what_is_acknowledged_and_a_report_fit_into_a_datagram():
    """The names are as long as those of the platform, the numbers as long as in years."""
    end = positions.Position(term=10**6, offset=10**12)
    sample = told_commits.AgedSample(
        sent_s=1234.567890123456, answered_s=1234.567890123456, position=end
    )
    told = told_commits.ToldCommits(
        shown=end,
        answered_s=12345678.901234567,
        samples=(sample,) * told_commits.MAX_SAMPLES,
    )
    service, server = ids.ServiceName("orders-" + "x" * 20), ids.ServerId("y" * 36)
    held = datagrams.HeldCommits(
        service=service, server=server, revision=10**12, above=end, told=told
    )
    order = datagrams.StopOrder(service=service, server=server, term=10**6)
    report = former_primary.Report(order=former_primary.Order.STOPPED, end=end)
    update = datagrams.PeerUpdate(
        instance=ids.InstanceId("z" * 36),
        held=(held,),
        primary_reports=(datagrams.PrimaryReport(order=order, report=report),),
    )
    assert len(datagrams.encode(update)) <= datagrams.MAX_BYTES


@given(value=datagram_values.VALUES, index=st.integers(0, 3))
def test_anything_told_as_acknowledged_is_decoded_fully_or_raises_one_error(value, index):
    rows = value if index == 3 else [[*ACKNOWLEDGED[0][:index], value], None]
    data = json.dumps({**datagram_values.VALID, "acknowledged": rows}).encode()
    with contextlib.suppress(errors.InvalidDatagramError):
        update = datagrams.decode(data)
        assert datagrams.decode(datagrams.encode(update)) == update


SHOWN, RUNNING, SAMPLES = ACKNOWLEDGED[0]


@pytest.mark.parametrize(
    "rows",
    [
        None,
        5,
        [],
        [None],
        [None, None, None],
        [None, 5],
        [None, [SHOWN, RUNNING]],
        [None, [[1], RUNNING, SAMPLES]],
        [None, [SHOWN, None, SAMPLES]],
        [None, [SHOWN, -0.1, SAMPLES]],
        [None, [SHOWN, "1", SAMPLES]],
        [None, [SHOWN, float("nan"), SAMPLES]],
        [None, [SHOWN, RUNNING, None]],
        [None, [SHOWN, RUNNING, SAMPLES * 3]],
        [None, [SHOWN, RUNNING, [[0.5, 0.4]]]],
        [None, [SHOWN, RUNNING, [[0.5, 0.4, None]]]],
        [None, [SHOWN, RUNNING, [[None, 0.4, [1, 3]]]]],
        [None, [SHOWN, RUNNING, [[0.5, -1, [1, 3]]]]],
    ],
    ids=str,
)
def test_an_odd_value_of_what_is_acknowledged_raises_one_error(rows):
    datagrams.decode(json.dumps({**datagram_values.VALID, "acknowledged": ACKNOWLEDGED}).encode())
    with pytest.raises(errors.InvalidDatagramError):
        datagrams.decode(json.dumps({**datagram_values.VALID, "acknowledged": rows}).encode())


@given(questions=st.lists(QUESTIONS, max_size=datagrams.MAX_QUESTIONS))
def test_questions_about_leaving_servers_arrive_as_they_were_sent(questions):
    update = datagrams.PeerUpdate(instance=ids.InstanceId("one"), leave_asked=tuple(questions))
    assert datagrams.decode(datagrams.encode(update)) == update


@given(question=QUESTIONS, age_s=st.floats(0, 1e5))
def test_the_age_of_an_announcement_is_never_told_too_small(question, age_s):
    """A receiver would send statements for as much longer."""
    told = leave_questions.LeaveAnswer(question=question, age_s=age_s)
    update = datagrams.PeerUpdate(instance=ids.InstanceId("one"), leave_told=(told,))
    (decoded,) = datagrams.decode(datagrams.encode(update)).leave_told
    assert decoded.question == question
    assert age_s <= decoded.age_s <= age_s + 0.002


@given(
    value=datagram_values.VALUES,
    field=st.sampled_from(["leaving", "left"]),
    index=st.integers(0, 5),
)
def test_anything_told_about_leaving_servers_is_decoded_fully_or_raises_one_error(
    value, field, index
):
    row = QUESTION if field == "leaving" else [*QUESTION, 0.5]
    rows = value if index == 5 else [[*row[:index], value, *row[index + 1 :]]]
    data = json.dumps({"instance": "one", field: rows}).encode()
    with contextlib.suppress(errors.InvalidDatagramError):
        update = datagrams.decode(data)
        assert datagrams.decode(datagrams.encode(update)).leave_asked == update.leave_asked


@pytest.mark.parametrize(
    "changes",
    [
        {"leaving": None},
        {"leaving": [QUESTION] * (datagrams.MAX_QUESTIONS + 1)},
        {"leaving": [QUESTION[:-1]]},
        {"leaving": [["", *QUESTION[1:]]]},
        {"leaving": [["s", None, *QUESTION[2:]]]},
        {"leaving": [["s", "a", -1, 12.5]]},
        {"leaving": [["s", "a", 5, None]]},
        {"left": [QUESTION]},
        {"left": [[*QUESTION, None]]},
        {"left": [[*QUESTION, -0.1]]},
        {"left": [[*QUESTION, "0.1"]]},
    ],
    ids=str,
)
def test_an_odd_value_about_a_leaving_server_raises_one_error(changes):
    sound = {"instance": "one", "leaving": [QUESTION], "left": [[*QUESTION, 0.5]]}
    datagrams.decode(json.dumps(sound).encode())
    with pytest.raises(errors.InvalidDatagramError):
        datagrams.decode(json.dumps({**sound, **changes}).encode())
