"""Tests for admission, the concurrency limit, the retry budget and backoff."""

import random

from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import retries
from mustardswitch.internal.admission import limits


def _waiting(ticket, caller="a", priority=limits.Priority.URGENT, deadline_s=10.0):
    return limits.Waiting(ticket=ticket, caller=caller, priority=priority, deadline_s=deadline_s)


def _offer(queue, waiting, now_s=0.0, service_s=0.01, concurrency=1):
    return queue.offer(waiting, now_s=now_s, service_s=service_s, concurrency=concurrency)


def test_rejects_at_once_what_cannot_finish_in_time():
    queue = limits.AdmissionQueue(max_length=100)
    for number in range(10):
        assert _offer(queue, _waiting(number, deadline_s=1.0), service_s=0.1)
    assert not _offer(queue, _waiting("late", deadline_s=1.0), service_s=0.1)
    assert _offer(queue, _waiting("patient", deadline_s=2.0), service_s=0.1)


def test_rejects_statements_when_the_queue_is_full():
    queue = limits.AdmissionQueue(max_length=2)
    assert [_offer(queue, _waiting(number)) for number in range(3)] == [True, True, False]


def test_takes_turns_between_callers():
    queue = limits.AdmissionQueue(max_length=100)
    for number in range(5):
        _offer(queue, _waiting(f"greedy{number}", caller="greedy"))
    _offer(queue, _waiting("modest", caller="modest"))
    order = [queue.take().ticket for _ in range(3)]
    assert "modest" in order[:2]


def test_serves_stale_listings_last():
    queue = limits.AdmissionQueue(max_length=100)
    _offer(queue, _waiting("listing", priority=limits.Priority.STALE_LISTING))
    _offer(queue, _waiting("order", caller="b"))
    assert queue.take().ticket == "order"
    assert queue.take().ticket == "listing"
    assert queue.take() is None


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30))
def test_serves_every_queued_statement_exactly_once(requests):
    queue = limits.AdmissionQueue(max_length=1000)
    tickets = []
    for number, (caller, stale) in enumerate(requests):
        priority = limits.Priority.STALE_LISTING if stale else limits.Priority.URGENT
        ticket = object()
        tickets.append(ticket)
        assert _offer(queue, _waiting(ticket, caller=caller, priority=priority, deadline_s=1e9))
        if number % 3 == 2:
            removed = tickets.pop()
            assert queue.remove(removed)
            assert not queue.remove(removed)
    taken = [queue.take().ticket for _ in range(queue.length)]
    assert sorted(map(id, taken)) == sorted(map(id, tickets))
    assert queue.length == 0


def test_lowers_concurrency_when_latency_grows_and_raises_it_again():
    limit = limits.ConcurrencyLimit(maximum=10)
    for step in range(50):
        limit.record(latency_s=0.004, now_s=step * 0.01, was_full=True)
    assert limit.allowed == 10
    for step in range(100):
        limit.record(latency_s=0.2, now_s=1.0 + step * 0.05, was_full=True)
    assert limit.allowed < 5
    for step in range(600):
        limit.record(latency_s=0.004, now_s=10.0 + step * 0.01, was_full=True)
    assert limit.allowed == 10


def test_bounds_retries_to_a_fraction_of_first_tries():
    budget = retries.RetryBudget(ratio=0.2, capacity=10.0)
    taken = 0
    for _ in range(1000):
        budget.record_first_try()
        taken += budget.take()
        taken += budget.take()
    assert taken <= 10 + 0.2 * 1000


@given(st.integers(0, 1000), st.floats(0.01, 5.0))
def test_backoff_never_waits_past_the_deadline(seed, deadline_s):
    backoff = retries.Backoff(deadline_s=deadline_s, rng=random.Random(seed))
    now_s = 0.0
    for _ in range(1000):
        delay_s = backoff.next_delay_s(now_s)
        if delay_s is None:
            return
        assert 0 < delay_s <= retries.MAX_BACKOFF_S
        now_s += delay_s
        assert now_s < deadline_s
