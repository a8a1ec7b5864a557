"""Judgement of servers and gateways by their answers, and the time to wait for them."""

import random

from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal.placement import attempt_times, health

State = health.State


def _health():
    changes = []
    judged = health.Health(
        usual_latency_s=0.02, on_change=lambda _, cause, reason: changes.append(cause)
    )
    return judged, changes


def test_a_single_lost_packet_withdraws_no_work_and_two_in_a_row_do():
    judged, changes = _health()
    judged.note_timeout(0.2, 1.0, reason="lost")
    assert judged.state is State.NORMAL
    judged.note_timeout(0.2, 1.1, reason="lost")
    assert judged.state is State.WITHDRAWN
    assert changes == [health.Cause.ERRORS]


def test_a_server_that_fails_45_percent_is_withdrawn_within_a_second_of_30_reads():
    slow = 0
    for seed in range(200):
        judged, _ = _health()
        drawn = random.Random(seed)
        for step in range(30):
            if drawn.random() < 0.45:
                judged.note_error(step / 30, reason="failed")
            else:
                judged.note_answer(0.02, step / 30)
            if judged.state is State.WITHDRAWN:
                break
        else:
            slow += 1
    assert slow <= 2


def test_work_returns_in_steps_after_consecutive_good_probes():
    judged, _ = _health()
    judged.note_unreachable(1.0, reason="refused")
    assert not judged.admits(0.0)
    assert not judged.probe_due(1.2)
    shares, now_s = [], 1.3
    while judged.state is not State.NORMAL:
        judged.note_attempt(now_s)
        judged.note_answer(0.02, now_s)
        shares.append(judged.share)
        now_s += 0.1
    assert shares == [0, 0, 0, 0.25, 0.25, 0.25, 0.5, 0.5, 0.5, 1.0]


def test_one_probe_is_sent_at_a_time():
    judged, _ = _health()
    judged.note_unreachable(1.0, reason="refused")
    judged.note_attempt(1.3)
    assert not judged.probe_due(1.5)
    judged.note_error(1.5, reason="failed")
    assert not judged.probe_due(1.9)
    assert judged.probe_due(2.01)


def test_a_server_that_flaps_is_probed_less_often():
    judged, _ = _health()
    probes, now_s = 0, 0.0
    while now_s < 20.0:
        now_s += 0.02
        if judged.state is State.WITHDRAWN and not judged.probe_due(now_s):
            continue
        judged.note_attempt(now_s)
        if int(now_s) % 2 == 0:
            judged.note_unreachable(now_s, reason="refused")
            probes += 1
        else:
            judged.note_answer(0.02, now_s)
    assert probes <= 30


@given(st.lists(st.tuples(st.sampled_from("aeutrn"), st.floats(0.001, 0.5)), max_size=200))
def test_a_withdrawn_server_is_always_probed_again_within_the_longest_pause(events):
    judged, _ = _health()
    now_s = 0.0
    for kind, step_s in events:
        now_s += step_s
        judged.note_attempt(now_s)
        if kind == "a":
            judged.note_answer(step_s, now_s)
        elif kind == "e":
            judged.note_error(now_s, reason="")
        elif kind == "u":
            judged.note_unreachable(now_s, reason="")
        elif kind == "t":
            judged.note_timeout(step_s, now_s, reason="")
        elif kind == "r":
            judged.note_rejection(now_s, reason="")
        assert 0.0 <= judged.share <= 1.0
        assert (judged.state is State.WITHDRAWN) == (judged.share == 0.0)
    longest_s = health.MAX_HOLD_S + health.LOST_PROBE_S
    assert judged.state is not State.WITHDRAWN or judged.probe_due(now_s + longest_s)


def test_the_time_to_wait_follows_the_latencies_and_grows_when_it_was_too_short():
    times = attempt_times.AttemptTimes()
    assert times.attempt_s == attempt_times.MAX_ATTEMPT_S
    for _ in range(64):
        times.note(0.08)
    assert abs(times.attempt_s - 0.16) < 0.001
    for _ in range(6):
        times.note_timeout(times.attempt_s)
    assert times.attempt_s > 0.4
    for _ in range(200):
        times.note(0.001)
    assert times.attempt_s == attempt_times.MIN_ATTEMPT_S


def test_attempts_given_up_early_are_a_tenth_of_the_answers():
    budget = attempt_times.RetryBudget()
    given_up = 0
    for _ in range(1000):
        budget.note_answer()
        while budget.available:
            budget.spend()
            given_up += 1
    assert given_up <= 106
