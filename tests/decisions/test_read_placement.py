"""Where reads go in calm times, and when a server is slow, full, behind or failing."""

from mustardswitch.internal import clock, ids, positions, read_placement, session_sync
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


def test_a_calm_read_stays_in_the_zone():
    order = _order(
        _candidate("far", OTHER_REGION), _candidate("near", ZONE), _candidate("mid", REGION)
    )
    assert order == ["near", "mid", "far"]


def test_a_read_spares_the_primary_of_the_zone_for_a_replica_as_near():
    assert _order(_candidate("p", ZONE, leads=True), _candidate("r", ZONE))[0] == "r"


def test_reads_leave_a_server_that_turned_slow():
    slow = _candidate("near", ZONE, latency_s=0.2)
    assert _order(slow, _candidate("mid", REGION))[0] == "mid"


def test_a_burst_spreads_over_the_region_before_it_queues():
    full = _candidate("near", ZONE, in_flight=6, latency_s=0.02)
    assert _order(full, _candidate("mid", REGION))[0] == "mid"


def test_a_server_that_failed_is_asked_last():
    assert (
        _order(_candidate("near", ZONE, avoided=True), _candidate("far", OTHER_REGION))[0] == "far"
    )


def test_a_replica_that_lacks_the_floor_is_asked_after_those_that_may_hold_it():
    min_position = positions.Position(term=ids.Term(1), offset=ids.Offset(9))
    lower = positions.Position(term=ids.Term(1), offset=ids.Offset(4))
    near = _candidate("near", ZONE, missing_position=min_position)
    assert _order(near, _candidate("mid", REGION), min_position=min_position)[0] == "mid"
    assert _order(near, _candidate("mid", REGION), min_position=lower)[0] == "near"


def test_a_replica_that_lacks_the_floor_is_asked_after_a_primary_that_just_was_full():
    min_position = positions.Position(term=ids.Term(1), offset=ids.Offset(9))
    primary = _candidate("p", OTHER_REGION, leads=True, avoided=True)
    assert (
        _order(
            _candidate("r", ZONE, missing_position=min_position), primary, min_position=min_position
        )[0]
        == "p"
    )


def test_a_connection_that_matches_needs_nothing():
    found = session_sync.plan_sync(
        held_values={"a": "1"}, held_shapes={"s"}, values={"a": "1"}, shape="s"
    )
    assert found.cost == 0


def test_values_of_another_session_are_cleared_first():
    found = session_sync.plan_sync(
        held_values={"a": "1", "b": "2"}, held_shapes={"s"}, values={"a": "1"}, shape="s"
    )
    assert found.reset
    assert dict(found.values) == {"a": "1"}
    assert found.shape == "s"
    assert (
        found.cost
        > session_sync.plan_sync(
            held_values={}, held_shapes=set(), values={"a": "1"}, shape="s"
        ).cost
    )


def test_replicas_that_stay_behind_are_asked_less_and_less_until_one_has_caught_up(monkeypatch):
    """Replays a replica that lags for seconds: reads went to it again every 0.15 s."""
    now = [100.0]
    monkeypatch.setattr(clock, "now_s", lambda: now[0])
    min_position = positions.Position(term=ids.Term(1), offset=ids.Offset(9))
    known = _server()
    asked = 0
    for _ in range(600):
        now[0] += 0.01
        if known.read_candidate(leads=False).missing_position is None:
            asked += 1
            known.note_lagging(min_position)
    assert asked <= 8
    known.note_caught_up(min_position)
    known.note_lagging(min_position)
    assert known.recheck_at_s - now[0] < 0.2


def _position(offset):
    return positions.Position(term=ids.Term(1), offset=ids.Offset(offset))


def test_reads_of_different_age_keep_off_a_replica_that_lacks_the_lower_position(monkeypatch):
    """Replays Solarloaf grown scale-1: reads accept 1.5 and 2.5 s, replicas lag 4 s."""
    now = [100.0]
    monkeypatch.setattr(clock, "now_s", lambda: now[0])
    known = _server()
    asked = 0
    for step in range(400):
        now[0] += 0.02
        written = 20_000 + 100 * step
        min_position = _position(written - (7_500 if step % 2 else 12_500))
        candidate = known.read_candidate(leads=False)
        if candidate.missing_position is not None and min_position >= candidate.missing_position:
            continue
        asked += 1
        known.note_read_attempt(min_position)
        known.note_lagging(min_position)
    windows = 3 + 8.0 / server.MAX_RECHECK_DELAY_S
    assert asked <= 2 * windows


def test_one_read_at_a_time_finds_out_whether_a_replica_has_caught_up(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(clock, "now_s", lambda: now[0])
    known = _server()
    known.note_lagging(_position(9))
    now[0] = known.recheck_at_s + 0.01
    assert known.read_candidate(leads=False).missing_position is None
    known.note_read_attempt(_position(12))
    assert known.read_candidate(leads=False).missing_position == _position(12)
    known.note_caught_up(_position(12))
    assert known.read_candidate(leads=False).missing_position is None


def test_a_read_of_an_older_position_does_not_tell_that_a_replica_has_caught_up(monkeypatch):
    monkeypatch.setattr(clock, "now_s", lambda: 100.0)
    known = _server()
    known.note_lagging(_position(9))
    known.note_caught_up(_position(8))
    assert known.read_candidate(leads=False).missing_position == _position(9)
