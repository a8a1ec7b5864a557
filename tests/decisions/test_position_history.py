"""Tests for the minimum positions of reads that follow from the leading primary's answers."""

from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import ids, position_history, positions


def _position(offset: int, term: int = 1) -> positions.Position:
    return positions.Position(term=ids.Term(term), offset=ids.Offset(offset))


def _history(*samples: tuple[float, positions.Position]) -> position_history.PositionHistory:
    history = position_history.PositionHistory(retention_s=100.0)
    for query_sent_at_s, position in samples:
        history.record(
            position_history.PositionSample(query_sent_at_s=query_sent_at_s, position=position)
        )
    return history


def test_returns_no_minimum_position_before_the_primary_was_queried():
    assert _history().min_position(not_before_s=0.0) is None
    assert _history((1.0, _position(5))).min_position(not_before_s=1.1) is None


def test_takes_the_lowest_position_that_is_fresh_enough():
    history = _history((1.0, _position(5)), (2.0, _position(8)), (3.0, _position(9)))
    assert history.min_position(not_before_s=1.5) == _position(8)
    assert history.min_position(not_before_s=0.0) == _position(5)


def test_drops_positions_that_a_promotion_rolled_back():
    history = _history((1.0, _position(9)), (2.0, _position(7)))
    assert history.min_position(not_before_s=0.5) == _position(7)


def test_an_own_commit_that_was_rolled_back_delays_no_read():
    history = _history((5.0, _position(7, term=1)))
    own = _position(9, term=1)
    assert history.min_position_for_commit(own, acknowledged_s=4.0) == _position(7, term=1)
    assert history.min_position_for_commit(own, acknowledged_s=6.0) == own


def test_a_sample_of_an_earlier_query_at_a_lower_position_is_kept_in_order():
    history = _history((3.0, _position(9)), (1.0, _position(4)), (2.0, _position(9)))
    assert [sample.query_sent_at_s for sample in history.samples] == [1.0, 3.0]


@given(
    commits=st.lists(st.floats(0, 10), max_size=30),
    query_times_s=st.lists(st.floats(0, 10), min_size=1, max_size=20),
    not_before_s=st.floats(0, 10),
    order=st.randoms(use_true_random=False),
)
def test_the_minimum_position_covers_every_commit_acknowledged_before(
    commits, query_times_s, not_before_s, order
):
    commits = sorted(commits)
    samples = [
        (at_s, _position(sum(commit_s < at_s for commit_s in commits))) for at_s in query_times_s
    ]
    order.shuffle(samples)
    min_position = _history(*samples).min_position(not_before_s=not_before_s)
    if min_position is not None:
        assert min_position.offset >= sum(commit_s < not_before_s for commit_s in commits)
