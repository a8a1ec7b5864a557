"""Tests for the order of servers for reads, and for matching connections to sessions."""

from mustardswitch.internal import clock, ids, positions, session_sync
from mustardswitch.internal.placement import read_placement
from mustardswitch.proxy import server
from mustardswitch_standins import database_group

ZONE, REGION, OTHER_REGION = read_placement.Distance


def _candidate(server, distance, **changes):
    fields = {
        "server": ids.ServerId(server),
        "distance": distance,
        "latency_s": 0.02,
        "in_flight": 0,
        "connections": 3,
        "leads": False,
        "avoided": False,
    }
    return read_placement.ReadCandidate(**{**fields, **changes})


def _server():
    group = database_group.Group()
    return server.Server(
        entry=group.entries()[1], distance=ZONE, opener=group.open_link, connections=1
    )


def _order(*candidates, min_position=None):
    return read_placement.order_for_read(candidates, min_position)


def test_a_read_stays_in_the_zone_under_normal_load():
    order = _order(
        _candidate("far", OTHER_REGION), _candidate("near", ZONE), _candidate("mid", REGION)
    )
    assert order == ["near", "mid", "far"]


def test_a_read_prefers_a_replica_to_the_primary_at_the_same_distance():
    assert _order(_candidate("p", ZONE, leads=True), _candidate("r", ZONE))[0] == "r"


def test_reads_leave_a_server_that_turned_slow():
    slow = _candidate("near", ZONE, latency_s=0.2)
    assert _order(slow, _candidate("mid", REGION))[0] == "mid"


def test_a_burst_spreads_over_the_region_before_it_queues():
    full = _candidate("near", ZONE, in_flight=6, latency_s=0.02)
    assert _order(full, _candidate("mid", REGION))[0] == "mid"


def test_a_server_that_failed_is_tried_last():
    assert (
        _order(_candidate("near", ZONE, avoided=True), _candidate("far", OTHER_REGION))[0] == "far"
    )


def test_a_replica_below_the_minimum_position_is_tried_after_those_that_may_hold_it():
    min_position = positions.Position(term=ids.Term(1), offset=ids.Offset(9))
    lower = positions.Position(term=ids.Term(1), offset=ids.Offset(4))
    near = _candidate("near", ZONE, missing_position=min_position)
    assert _order(near, _candidate("mid", REGION), min_position=min_position)[0] == "mid"
    assert _order(near, _candidate("mid", REGION), min_position=lower)[0] == "near"


def test_a_replica_below_the_minimum_position_is_tried_after_a_primary_that_just_was_full():
    min_position = positions.Position(term=ids.Term(1), offset=ids.Offset(9))
    primary = _candidate("p", OTHER_REGION, leads=True, avoided=True)
    assert (
        _order(
            _candidate("r", ZONE, missing_position=min_position), primary, min_position=min_position
        )[0]
        == "p"
    )


def test_a_connection_that_matches_needs_nothing():
    plan = session_sync.plan_sync(
        held_values={"a": "1"}, held_shapes={"s"}, values={"a": "1"}, shape="s"
    )
    assert plan.cost == 0


def test_a_connection_with_values_of_another_session_is_reset_first():
    plan = session_sync.plan_sync(
        held_values={"a": "1", "b": "2"}, held_shapes={"s"}, values={"a": "1"}, shape="s"
    )
    assert plan.reset
    assert dict(plan.values) == {"a": "1"}
    assert plan.shape == "s"
    assert (
        plan.cost
        > session_sync.plan_sync(
            held_values={}, held_shapes=set(), values={"a": "1"}, shape="s"
        ).cost
    )


def test_a_replica_that_keeps_lagging_is_tried_less_and_less_until_it_has_caught_up(monkeypatch):
    """Reproduces a replica that lags for seconds: reads were sent to it again every 0.15 s."""
    clock_s = [100.0]
    monkeypatch.setattr(clock, "now_s", lambda: clock_s[0])
    min_position = positions.Position(term=ids.Term(1), offset=ids.Offset(9))
    lagging = _server()
    attempts = 0
    for _ in range(600):
        clock_s[0] += 0.01
        if lagging.read_candidate(leads=False).missing_position is None:
            attempts += 1
            lagging.note_lagging(min_position)
    assert attempts <= 8
    lagging.note_caught_up(min_position)
    lagging.note_lagging(min_position)
    assert lagging.recheck_at_s - clock_s[0] < 0.2


def _position(offset):
    return positions.Position(term=ids.Term(1), offset=ids.Offset(offset))


def test_reads_of_different_age_avoid_a_replica_that_is_below_the_lower_position(monkeypatch):
    """Reproduces the scenario Solarloaf grown scale-1: reads accept an age of 1.5 and 2.5 s while
    replicas lag 4 s, so that a replica without the lower position has not reached the higher one.
    """
    clock_s = [100.0]
    monkeypatch.setattr(clock, "now_s", lambda: clock_s[0])
    lagging = _server()
    attempts = 0
    for step in range(400):
        clock_s[0] += 0.02
        written = 20_000 + 100 * step
        min_position = _position(written - (7_500 if step % 2 else 12_500))
        candidate = lagging.read_candidate(leads=False)
        if candidate.missing_position is not None and min_position >= candidate.missing_position:
            continue
        attempts += 1
        lagging.note_read_attempt(min_position)
        lagging.note_lagging(min_position)
    windows = 3 + 8.0 / server.MAX_RECHECK_DELAY_S
    assert attempts <= 2 * windows


def test_one_read_at_a_time_finds_out_whether_a_replica_has_caught_up(monkeypatch):
    clock_s = [100.0]
    monkeypatch.setattr(clock, "now_s", lambda: clock_s[0])
    lagging = _server()
    lagging.note_lagging(_position(9))
    clock_s[0] = lagging.recheck_at_s + 0.01
    assert lagging.read_candidate(leads=False).missing_position is None
    lagging.note_read_attempt(_position(12))
    assert lagging.read_candidate(leads=False).missing_position == _position(12)
    lagging.note_caught_up(_position(12))
    assert lagging.read_candidate(leads=False).missing_position is None


def test_a_read_of_an_older_position_does_not_show_that_a_replica_has_caught_up(monkeypatch):
    monkeypatch.setattr(clock, "now_s", lambda: 100.0)
    lagging = _server()
    lagging.note_lagging(_position(9))
    lagging.note_caught_up(_position(8))
    assert lagging.read_candidate(leads=False).missing_position == _position(9)
