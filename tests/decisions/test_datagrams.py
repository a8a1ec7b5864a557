"""Datagrams between instances: what is sent arrives, and anything else raises one error."""

import contextlib
import dataclasses
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import former_primary, ids, positions
from mustardswitch.peers import datagram_fields, datagrams, errors
from tests.common import datagram_values


@st.composite
def updates(draw):
    """Draw an update that fits into a datagram; a summary belongs to a promotion."""
    new_primary, proved = draw(st.none() | datagram_values.PRIMARIES), draw(
        st.none() | datagram_values.PROVED
    )
    return datagrams.PeerUpdate(
        instance=ids.InstanceId(draw(datagram_values.NAMES)),
        suspected_primaries=tuple(
            draw(st.lists(datagram_values.PRIMARIES, max_size=datagrams.MAX_VOTES // 2))
        ),
        new_primary=new_primary,
        summary="" if new_primary is None and proved is None else draw(datagram_values.TEXTS),
        proved=proved,
        stale=draw(st.booleans()),
        promotions=tuple(
            draw(st.lists(datagram_values.PROMOTIONS, max_size=datagrams.MAX_PROMOTIONS // 2))
        ),
        held=tuple(draw(st.lists(datagram_values.HELD, max_size=datagrams.MAX_PROMOTIONS // 2))),
        stop_orders=tuple(draw(st.lists(datagram_values.ORDERS, max_size=1))),
        primary_reports=tuple(draw(st.lists(datagram_values.REPORTS, max_size=1))),
    )


@given(update=updates())
def test_all_fields_of_an_update_arrive_as_they_were_sent(update):
    assert datagrams.decode(datagrams.encode(update)) == update


@given(held=st.lists(datagram_values.HELD, max_size=datagrams.MAX_PROMOTIONS))
def test_as_many_confirmations_as_are_permitted_arrive(held):
    update = datagrams.PeerUpdate(instance=ids.InstanceId("one"), held=tuple(held))
    assert datagrams.decode(datagrams.encode(update)) == update


@given(orders=st.lists(datagram_values.ORDERS, max_size=datagrams.MAX_PROMOTIONS))
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


@given(field=st.sampled_from(sorted(datagram_values.VALID)), value=datagram_values.VALUES)
def test_a_field_of_any_value_is_decoded_fully_or_raises_one_error(field, value):
    data = json.dumps({**datagram_values.VALID, field: value}).encode()
    with contextlib.suppress(errors.InvalidDatagramError):
        update = datagrams.decode(data)
        if update.new_primary is None and update.proved is None:
            update = dataclasses.replace(update, summary="")
        assert datagrams.decode(datagrams.encode(update)) == update


@given(data=st.binary() | datagram_values.VALUES.map(lambda value: json.dumps(value).encode()))
def test_a_datagram_that_names_no_instance_raises_one_error(data):
    with pytest.raises(errors.InvalidDatagramError):
        datagrams.decode(data)


POSITION = [1, 2]
REPORT = datagram_values.VALID["primaries"][0]


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
    datagrams.decode(json.dumps(datagram_values.VALID).encode())
    with pytest.raises(errors.InvalidDatagramError):
        datagrams.decode(json.dumps({**datagram_values.VALID, **changes}).encode())


@pytest.mark.parametrize("value", [None, False, 0, 1, "true", [True], {}], ids=str)
def test_only_true_means_stale(value):
    assert not datagrams.decode(
        json.dumps({**datagram_values.VALID, "stale": value}).encode()
    ).stale


def test_a_datagram_of_an_earlier_build_has_no_new_statements():
    update = datagrams.decode(b'{"instance":"one","lacking":[["s","a"]]}')
    assert update == datagrams.PeerUpdate(
        instance=ids.InstanceId("one"),
        suspected_primaries=(
            datagrams.PrimaryRef(service=ids.ServiceName("s"), server=ids.ServerId("a")),
        ),
    )


def test_a_datagram_that_is_too_long_raises_one_error():
    data = json.dumps(datagram_values.VALID).encode()
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
