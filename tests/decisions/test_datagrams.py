"""Datagrams between instances: what is sent arrives, and anything else raises one error."""

import contextlib
import dataclasses
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import former_primary, ids, positions
from mustardswitch.peers import datagram_fields, datagrams, errors, told_commits

ALPHABET = 'ab-/"\\é\n\0\U0001f600'
NAMES = st.text(alphabet=ALPHABET, min_size=1, max_size=2)
TEXTS = st.text(alphabet=ALPHABET, max_size=5)
NUMBERS = st.integers(0, datagram_fields.MAX_NUMBER - 1)
PRIMARIES = st.builds(datagrams.PrimaryRef, service=NAMES, server=NAMES)
PROMOTIONS = st.builds(
    datagrams.RecordedPromotion, service=NAMES, server=NAMES, revision=st.integers(0, 10**6)
)
POSITIONS = st.builds(positions.Position, term=NUMBERS, offset=NUMBERS)
HELD = st.builds(
    datagrams.HeldCommits,
    service=NAMES,
    server=NAMES,
    revision=NUMBERS,
    above=st.none() | POSITIONS,
)
SECONDS = st.floats(0, 1e9)
TOLD = st.builds(
    told_commits.ToldCommits,
    shown=st.none() | POSITIONS,
    running_s=SECONDS,
    samples=st.lists(
        st.builds(told_commits.AgedSample, age_s=SECONDS, position=POSITIONS),
        max_size=told_commits.MAX_SAMPLES,
    ).map(tuple),
)
PROVED = st.builds(
    datagrams.ProvedPromotion, service=NAMES, server=NAMES, end=st.none() | POSITIONS
)
ORDERS = st.builds(datagrams.StopOrder, service=NAMES, server=NAMES, term=NUMBERS)
AGES = st.just(former_primary.NEVER_S) | st.integers(0, 10**9).map(lambda age_ms: age_ms / 1000)
REPORTS = st.builds(
    datagrams.PrimaryReport,
    order=ORDERS,
    report=st.builds(
        former_primary.Report,
        order=st.sampled_from(former_primary.Order),
        end=st.none() | POSITIONS,
        answered_s=AGES,
        connected_s=AGES,
        refused_s=AGES,
    ),
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXTS,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(TEXTS, inner),
    max_leaves=8,
)
VALID = {
    "instance": "one",
    "lacking": [["s", "a"]],
    "leading": ["s", "b"],
    "summary": "b all_paused",
    "proved": ["s", "b", [1, 2]],
    "stale": True,
    "recorded": [["s", "b", 7]],
    "held": [["s", "b", 7, [1, 2]], ["t", "b", 7, None]],
    "stop": [["s", "a", 3]],
    "primaries": [["s", "a", 3, "stopped", [1, 2], 0.5, 0, None]],
}
ACKNOWLEDGED = [[[1, 3], 12.5, [[0.5, [1, 3]], [0.1, [1, 4]]]], None]
"""What was acknowledged, for the rows of "held"."""


@st.composite
def updates(draw):
    """Draw an update that fits into a datagram; a summary belongs to a promotion."""
    new_primary, proved = draw(st.none() | PRIMARIES), draw(st.none() | PROVED)
    return datagrams.PeerUpdate(
        instance=ids.InstanceId(draw(NAMES)),
        suspected_primaries=tuple(draw(st.lists(PRIMARIES, max_size=datagrams.MAX_VOTES // 2))),
        new_primary=new_primary,
        summary="" if new_primary is None and proved is None else draw(TEXTS),
        proved=proved,
        stale=draw(st.booleans()),
        promotions=tuple(draw(st.lists(PROMOTIONS, max_size=datagrams.MAX_PROMOTIONS // 2))),
        held=tuple(draw(st.lists(HELD, max_size=datagrams.MAX_PROMOTIONS // 2))),
        stop_orders=tuple(draw(st.lists(ORDERS, max_size=1))),
        primary_reports=tuple(draw(st.lists(REPORTS, max_size=1))),
    )


@given(update=updates())
def test_all_fields_of_an_update_arrive_as_they_were_sent(update):
    assert datagrams.decode(datagrams.encode(update)) == update


@given(held=st.lists(HELD, max_size=datagrams.MAX_PROMOTIONS))
def test_as_many_confirmations_as_are_permitted_arrive(held):
    update = datagrams.PeerUpdate(instance=ids.InstanceId("one"), held=tuple(held))
    assert datagrams.decode(datagrams.encode(update)) == update


@given(held=HELD, told=st.none() | TOLD, reports=st.lists(REPORTS, max_size=1))
def test_what_an_instance_has_acknowledged_arrives_as_it_was_sent(held, told, reports):
    update = datagrams.PeerUpdate(
        instance=ids.InstanceId("one"),
        held=(dataclasses.replace(held, told=told),),
        primary_reports=tuple(reports),
    )
    assert datagrams.decode(datagrams.encode(update)) == update


def test_what_is_acknowledged_belongs_to_its_confirmation():
    held = datagrams.HeldCommits(service=ids.ServiceName("s"), server=ids.ServerId("b"), revision=7)
    told = told_commits.ToldCommits(shown=None, running_s=2.5)
    rows = (held, dataclasses.replace(held, revision=8, told=told))
    update = datagrams.PeerUpdate(instance=ids.InstanceId("one"), held=rows)
    assert datagrams.decode(datagrams.encode(update)).held == rows


def test_an_earlier_build_finds_confirmations_in_the_rows_that_it_knows():
    """It knows rows of four values only, and ignores fields that it does not know."""
    told = told_commits.ToldCommits(shown=None, running_s=2.5)
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
    sample = told_commits.AgedSample(age_s=1234.567890123456, position=end)
    told = told_commits.ToldCommits(
        shown=end,
        running_s=12345678.901234567,
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


@given(orders=st.lists(ORDERS, max_size=datagrams.MAX_PROMOTIONS))
def test_as_many_orders_to_stop_as_are_permitted_arrive(orders):
    update = datagrams.PeerUpdate(instance=ids.InstanceId("one"), stop_orders=tuple(orders))
    assert datagrams.decode(datagrams.encode(update)) == update


@given(age_s=st.floats(0, 1e9))
def test_an_age_arrives_to_the_millisecond(age_s):
    report = former_primary.Report(answered_s=age_s)
    order = datagrams.StopOrder(service="s", server="a", term=3)
    told = datagrams.PrimaryReport(order=order, report=report)
    update = datagrams.PeerUpdate(instance=ids.InstanceId("one"), primary_reports=(told,))
    arrived = datagrams.decode(datagrams.encode(update)).primary_reports[0].report
    assert arrived.answered_s == pytest.approx(age_s, abs=0.0006)
    assert (arrived.connected_s, arrived.refused_s) == (former_primary.NEVER_S,) * 2


def test_the_answer_to_as_many_orders_as_are_sent_at_once_fits_into_a_datagram():
    """The names are as long as those of the platform, the numbers as long as in years."""
    order = datagrams.StopOrder(service="orders-" + "x" * 20, server="y" * 36, term=10**6)
    end = positions.Position(term=10**6, offset=10**12)
    report = former_primary.Report(
        order=former_primary.Order.STOPPED,
        end=end,
        answered_s=1234.567,
        connected_s=1234.567,
        refused_s=1234.567,
    )
    told = datagrams.PrimaryReport(order=order, report=report)
    update = datagrams.PeerUpdate(
        instance=ids.InstanceId("z" * 36), primary_reports=(told,) * datagrams.MAX_PROMOTIONS
    )
    assert len(datagrams.encode(update)) <= datagrams.MAX_BYTES


@given(field=st.sampled_from(sorted(VALID)), value=VALUES)
def test_a_field_of_any_value_is_decoded_fully_or_raises_one_error(field, value):
    data = json.dumps({**VALID, field: value}).encode()
    with contextlib.suppress(errors.InvalidDatagramError):
        update = datagrams.decode(data)
        if update.new_primary is None and update.proved is None:
            update = dataclasses.replace(update, summary="")
        assert datagrams.decode(datagrams.encode(update)) == update


@given(value=VALUES, index=st.integers(0, 3))
def test_anything_told_as_acknowledged_is_decoded_fully_or_raises_one_error(value, index):
    rows = value if index == 3 else [[*ACKNOWLEDGED[0][:index], value], None]
    data = json.dumps({**VALID, "acknowledged": rows}).encode()
    with contextlib.suppress(errors.InvalidDatagramError):
        update = datagrams.decode(data)
        assert datagrams.decode(datagrams.encode(update)) == update


@given(data=st.binary() | VALUES.map(lambda value: json.dumps(value).encode()))
def test_a_datagram_that_names_no_instance_raises_one_error(data):
    with pytest.raises(errors.InvalidDatagramError):
        datagrams.decode(data)


POSITION = [1, 2]
REPORT = VALID["primaries"][0]


@pytest.mark.parametrize(
    "changes",
    [
        {"instance": None},
        {"instance": ["one"]},
        {"lacking": {"s": "a"}},
        {"lacking": [["s", "a"]] * (datagrams.MAX_VOTES + 1)},
        {"leading": 0},
        {"leading": ["s", ""]},
        {"proved": 0},
        {"proved": ["s", "b"]},
        {"proved": ["s", "", None]},
        {"proved": ["s", "b", [1]]},
        {"summary": None},
        {"summary": 5},
        {"recorded": None},
        {"recorded": "ab"},
        {"recorded": [["s", "b", 7]] * (datagrams.MAX_PROMOTIONS + 1)},
        {"recorded": [["s", "b"]]},
        {"recorded": [["s", "b", 7, None]]},
        {"recorded": [["", "b", 7]]},
        {"recorded": [["s", 5, 7]]},
        {"recorded": [["s", "b", True]]},
        {"recorded": [["s", "b", 7.0]]},
        {"recorded": [["s", "b", "7"]]},
        {"recorded": [["s", "b", -1]]},
        {"recorded": [["s", "b", datagram_fields.MAX_NUMBER]]},
        {"recorded": [["s", "b", float("nan")]]},
        {"held": [["s", "b", 7, None]] * (datagrams.MAX_PROMOTIONS + 1)},
        {"held": [["s", "b", 7]]},
        {"held": [["s", "b", None, POSITION]]},
        {"held": [["s", "b", 7, 2]]},
        {"held": [["s", "b", 7, []]]},
        {"held": [["s", "b", 7, [1]]]},
        {"held": [["s", "b", 7, [1, 2, 3]]]},
        {"held": [["s", "b", 7, [1, -2]]]},
        {"held": [["s", "b", 7, [1, None]]]},
        {"held": [["s", "b", 7, "12"]]},
        {"stop": {"s": "a"}},
        {"stop": [["s", "a", 3]] * (datagrams.MAX_PROMOTIONS + 1)},
        {"stop": [["s", "a"]]},
        {"stop": [["s", "", 3]]},
        {"stop": [["s", "a", -1]]},
        {"stop": [["s", "a", 3.0]]},
        {"primaries": None},
        {"primaries": [REPORT] * (datagrams.MAX_PROMOTIONS + 1)},
        {"primaries": [REPORT[:-1]]},
        {"primaries": [[*REPORT, None]]},
        {"primaries": [["s", 5, *REPORT[2:]]]},
        {"primaries": [[*REPORT[:2], None, *REPORT[3:]]]},
        {"primaries": [[*REPORT[:3], "STOPPED", *REPORT[4:]]]},
        {"primaries": [[*REPORT[:3], None, *REPORT[4:]]]},
        {"primaries": [[*REPORT[:3], ["stopped"], *REPORT[4:]]]},
        {"primaries": [[*REPORT[:4], [1], *REPORT[5:]]]},
        {"primaries": [[*REPORT[:5], -0.1, 0, 0]]},
        {"primaries": [[*REPORT[:5], 0, "0", 0]]},
        {"primaries": [[*REPORT[:5], 0, 0, float("nan")]]},
        {"primaries": [[*REPORT[:5], 0, True, 0]]},
    ],
    ids=str,
)
def test_an_odd_value_raises_one_error(changes):
    datagrams.decode(json.dumps(VALID).encode())
    with pytest.raises(errors.InvalidDatagramError):
        datagrams.decode(json.dumps({**VALID, **changes}).encode())


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
        [None, [SHOWN, RUNNING, SAMPLES * 2]],
        [None, [SHOWN, RUNNING, [[0.5]]]],
        [None, [SHOWN, RUNNING, [[0.5, None]]]],
        [None, [SHOWN, RUNNING, [[None, [1, 3]]]]],
        [None, [SHOWN, RUNNING, [[-1, [1, 3]]]]],
    ],
    ids=str,
)
def test_an_odd_value_of_what_is_acknowledged_raises_one_error(rows):
    datagrams.decode(json.dumps({**VALID, "acknowledged": ACKNOWLEDGED}).encode())
    with pytest.raises(errors.InvalidDatagramError):
        datagrams.decode(json.dumps({**VALID, "acknowledged": rows}).encode())


@pytest.mark.parametrize("value", [None, False, 0, 1, "true", [True], {}], ids=str)
def test_only_true_means_stale(value):
    assert not datagrams.decode(json.dumps({**VALID, "stale": value}).encode()).stale


def test_a_datagram_of_an_earlier_build_has_no_new_statements():
    update = datagrams.decode(b'{"instance":"one","lacking":[["s","a"]]}')
    assert update == datagrams.PeerUpdate(
        instance=ids.InstanceId("one"),
        suspected_primaries=(
            datagrams.PrimaryRef(service=ids.ServiceName("s"), server=ids.ServerId("a")),
        ),
    )


def test_a_datagram_that_is_too_long_raises_one_error():
    data = json.dumps(VALID).encode()
    padded = data + b" " * (datagrams.MAX_BYTES - len(data))
    assert datagrams.decode(padded) == datagrams.decode(data)
    with pytest.raises(errors.InvalidDatagramError):
        datagrams.decode(padded + b" ")


@pytest.mark.parametrize("data", [b"[" * 1200, b"9" * 1200, b'{"instance":"\xff"}', b""])
def test_what_is_no_json_raises_one_error(data):
    with pytest.raises(errors.InvalidDatagramError):
        datagrams.decode(data)


@pytest.mark.parametrize("number", ["1" + 400 * "0", "1e400", "NaN", "true", '"1"'])
@pytest.mark.parametrize("field", ["asked", "answers"])
def test_an_odd_time_is_rejected(field, number):
    data = f'{{"instance":"one","{field}":{number}}}'.encode()
    with pytest.raises(errors.InvalidDatagramError):
        datagrams.decode(data)
