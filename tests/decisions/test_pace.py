"""New servers get as much work as they answer well: neither flooded nor left idle."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import ids
from mustardswitch.internal.pace import pace, references
from tests.common import pace_scenarios

SERVER, PEER = ids.ServerId("new"), ids.ServerId("peer")
WORK_S = 0.02


def _pace(*, with_peer: bool = True, **changes: object) -> pace.Pace:
    known = references.References()
    for number in range(references.MIN_ANSWERS if with_peer else 0):
        known.record(PEER, references.Work.READ, WORK_S, 0.01 * number)
    return pace.Pace(server=SERVER, known=known, **changes)


def _answer(machine: pace.Pace, count: int, factor: float, now_s: float = 1.0) -> float:
    for _ in range(count):
        now_s += factor * WORK_S
        machine.note_answer(factor * WORK_S, now_s)
    return now_s


def test_a_server_that_was_never_new_is_not_limited():
    machine = _pace()
    _answer(machine, 50, 8.0)
    for _ in range(5):
        machine.note_error(2.0)
    assert machine.allowed(2.0) == pace.UNBOUNDED


def test_a_new_server_that_answers_as_its_peers_is_soon_not_limited():
    machine = _pace()
    machine.note_start(1.0, 0.0)
    assert machine.allowed(1.0) == pace.FAMILIAR_START
    _answer(machine, 6, 1.0)
    assert machine.allowed(1.2) >= 8
    _answer(machine, pace.MIN_COMPARED, 1.0)
    assert machine.allowed(2.0) == pace.UNBOUNDED


def test_time_alone_changes_nothing():
    """Guards against a limit that ends with the announced warm-up of a server that stays slow."""
    machine = _pace()
    machine.note_start(1.0, 6.0)
    now_s = _answer(machine, 3, 8.0)
    assert machine.allowed(now_s) == machine.allowed(now_s + 3600.0) == 1


def test_a_server_without_known_peers_is_not_limited_for_good():
    machine = _pace(with_peer=False)
    machine.note_start(1.0, 6.0)
    _answer(machine, pace.STEADY_ANSWERS + pace.MIN_ROUND + 1, 3.0)
    assert not machine.limited


def test_answers_that_wait_for_each_other_lower_the_limit():
    machine = _pace(share=5)
    machine.note_start(1.0, 6.0)
    now_s = _answer(machine, 40, 4.0)
    assert machine.allowed(now_s) >= 5
    now_s = _answer(machine, 40, 12.0, now_s)
    assert machine.allowed(now_s) <= 2


def test_errors_lower_the_limit_to_its_floor_and_answers_raise_it_again():
    machine = _pace(floor=2)
    machine.note_start(1.0, 0.0)
    now_s = _answer(machine, 10, 1.0)
    for _ in range(pace.ERRORS_TO_FLOOR):
        machine.note_error(now_s)
    assert machine.allowed(now_s) == 2
    now_s = _answer(machine, 8, 1.0, now_s)
    assert machine.allowed(now_s) > 2


def test_a_limit_that_is_not_used_does_not_grow():
    machine = _pace()
    machine.note_start(1.0, 0.0)
    for number in range(20):
        machine.note_answer(WORK_S, 1.0 + 0.1 * number, in_flight=1)
    assert machine.allowed(3.0) <= 3


def test_kinds_of_work_are_not_compared_with_each_other():
    """A write that waits for a replica takes longer than a read on the fastest server."""
    machine = _pace()
    machine.note_start(1.0, 0.0)
    for number in range(60):
        now_s = 1.0 + 0.1 * number
        for _ in range(2):
            machine.known.record(PEER, references.Work.WRITE, 5 * WORK_S, now_s)
        machine.note_answer(5 * WORK_S, now_s, work=references.Work.WRITE)
    assert not machine.limited


def test_a_slow_server_gets_more_than_the_share_only_slowly():
    """Guards against all instances raising their limits together after a power failure."""
    grown = []
    for share in (1, 5):
        machine = _pace(share=share)
        machine.note_start(1.0, 6.0)
        now_s = _answer(machine, 24, 8.0)
        grown.append(machine.allowed(now_s))
    assert grown[0] <= 3 < 5 <= grown[1]


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("answer"), st.floats(0.0, 10.0)),
            st.tuples(st.just("error"), st.just(0.0)),
            st.tuples(st.just("start"), st.floats(0.0, 60.0)),
        ),
        max_size=200,
    ),
    st.integers(1, 5),
)
def test_at_least_the_floor_is_always_allowed(steps, floor):
    machine = _pace(floor=floor)
    for number, (kind, value) in enumerate(steps):
        now_s = 1.0 + 0.01 * number
        if kind == "answer":
            machine.note_answer(value, now_s)
        elif kind == "error":
            machine.note_error(now_s)
        else:
            machine.note_start(now_s, value)
        assert machine.allowed(now_s) >= floor


@pytest.fixture(scope="module")
def replayed():
    figures = {}

    def replay(name):
        if name not in figures:
            figures[name] = [pace_scenarios.replay(name, paced=paced) for paced in (False, True)]
        return figures[name]

    return replay


@pytest.mark.parametrize(
    "name, late_share",
    [
        ("1.6 times, never warms up, busy", 0.1),
        ("8 times, warms up, busy", 0.4),
        ("8 times, warms up, no hint, busy", 0.4),
        ("8 times, never warms up, busy", 0.6),
        ("8 times, one gateway, busy", 0.7),
        ("8 times, one of six gateways used, busy", 0.8),
        ("power failure, 8 times", 0.6),
        ("new primary, 3 times", 0.6),
    ],
)
def test_fewer_answers_are_late_than_without_the_limit(replayed, name, late_share):
    without, paced = replayed(name)
    failed = paced.late + paced.refused + paced.errors
    assert failed <= late_share * (without.late + without.refused + without.errors)
    assert paced.max_in_flight < without.max_in_flight


@pytest.mark.parametrize(
    "name",
    ["8 times, fails half-way", "8 times, flaps", "8 times, warms up", "8 times, never warms up"],
)
def test_a_slow_server_beside_free_peers_costs_no_answers(replayed, name):
    without, paced = replayed(name)
    assert paced.late + paced.refused + paced.errors <= without.late + without.refused
    assert paced.within_share >= 0.998


@pytest.mark.parametrize("name", ["healthy restart", "healthy restart, busy", "new primary, warm"])
def test_a_healthy_server_is_not_left_idle(replayed, name):
    without, paced = replayed(name)
    assert paced.within_share >= 0.999
    assert paced.idle_share <= without.idle_share + 0.01
    assert paced.at_server >= 0.95 * without.at_server


@pytest.mark.parametrize("name", ["power failure, 8 times, busy", "new primary, 8 times"])
def test_servers_that_nothing_can_stand_in_for_serve_no_less(replayed, name):
    without, paced = replayed(name)
    assert paced.within_share >= without.within_share
    assert paced.idle_share <= without.idle_share + 0.05
    assert paced.worst_s < 0.75 * without.worst_s
