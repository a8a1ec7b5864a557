"""Tests for positions and minimum positions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import errors, ids, positions
from tests.common import builders


def test_orders_positions_by_term_first():
    assert builders.position(2, 1) > builders.position(1, 9)


@pytest.mark.parametrize("text", ["", "1", "1:", ":1", "a:b", "1:-2", "1:2:3"])
def test_rejects_what_is_not_a_position(text):
    with pytest.raises(errors.InvalidPositionError, match="give two whole numbers"):
        positions.parse_position(text)


def test_never_lowers_a_minimum_position():
    database = ids.DatabaseName("orders")
    min_positions = positions.MinPositions().raised_to(database, builders.position(1, 5))
    assert min_positions.raised_to(database, builders.position(1, 3)).get(database) == (
        builders.position(1, 5)
    )


def test_returns_no_initial_minimum_position_without_a_majority():
    assert positions.initial_min_position([builders.position(1, 1)], slot_count=3) is None


@given(
    slot_count=st.integers(min_value=1, max_value=7),
    data=st.data(),
)
def test_initial_minimum_position_covers_every_acknowledged_position(slot_count, data):
    offsets = data.draw(
        st.lists(st.integers(0, 9), min_size=slot_count, max_size=slot_count), label="offsets"
    )
    majority = positions.majority_size(slot_count)
    acknowledged = sorted(offsets, reverse=True)[majority - 1]
    queried = data.draw(
        st.lists(st.sampled_from(range(slot_count)), min_size=majority, unique=True),
        label="queried",
    )
    reported = [builders.position(1, offsets[slot]) for slot in queried]
    min_position = positions.initial_min_position(reported, slot_count=slot_count)
    assert min_position >= builders.position(1, acknowledged)
