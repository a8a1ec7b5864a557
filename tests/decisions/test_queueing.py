"""Admission by target: who is refused at once, who goes first, and what is kept free."""

from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal.admission import (
    connection_use,
    in_turn,
    limits,
    queueing,
    target_queue,
)

SUPPLY = target_queue.Supply(hold_s=0.02, connections=1, reserved=0)


def _waiting(ticket, caller="a", priority=1, deadline_s=1.0, due_s=0.5, **changes):
    return limits.Waiting(
        ticket=ticket,
        caller=caller,
        priority=priority,
        deadline_s=deadline_s,
        due_s=due_s,
        **changes,
    )


def _use(*, statements=0, transactions=0, urgent=0):
    use = connection_use.ConnectionUse()
    kinds = [(False, 1)] * statements + [(True, 1)] * transactions + [(False, 0)] * urgent
    for number, (holds, priority) in enumerate(kinds):
        use.begin(number, connection_use.Hold(at_s=0.0, holds=holds, priority=priority))
    return use


def _queue(waiting, *, now_s=0.0):
    queue = target_queue.TargetQueue(max_length=1000)
    reasons = [queue.admit(each, now_s=now_s, supply=SUPPLY) for each in waiting]
    return queue, reasons


def _order(queue):
    return [queue.take().ticket for _ in range(queue.length)]


def test_what_can_meet_its_target_goes_before_what_cannot():
    queue, _ = _queue([_waiting("late", due_s=0.0), _waiting("on time")])
    assert _order(queue) == ["on time", "late"]


def test_late_work_of_a_better_priority_goes_first():
    queue, _ = _queue([_waiting("on time"), _waiting("late", priority=0, due_s=0.0)])
    assert _order(queue) == ["late", "on time"]


def test_waiting_work_whose_target_passes_moves_behind():
    queue, _ = _queue([_waiting("first", due_s=0.1), _waiting("second")])
    queue.demote(0.2)
    assert _order(queue) == ["second", "first"]


def test_late_work_is_refused_when_what_is_ahead_fills_its_time():
    queue, reasons = _queue([_waiting(number) for number in range(60)])
    assert None in reasons and set(reasons[24:]) <= {None, in_turn.Reason.LATE}
    assert reasons[-1] is in_turn.Reason.LATE
    assert queue.length < 55


def test_a_caller_with_few_statements_is_admitted_beside_a_long_queue():
    """Guards against refusals of a tenant because of the queue of another, behind which it would
    not wait.
    """
    queue, _ = _queue([_waiting(number, caller="loud") for number in range(60)])
    assert queue.admit(_waiting("modest", caller="b"), now_s=0.0, supply=SUPPLY) is None
    assert "modest" in _order(queue)[:2]


def test_waiting_work_is_refused_once_a_slower_server_cannot_serve_it():
    queue, _ = _queue([_waiting(number, due_s=float("inf")) for number in range(30)])
    slow = target_queue.Supply(hold_s=0.1, connections=1, reserved=0)
    shed = [waiting.ticket for waiting in queue.shed(now_s=0.0, supply=slow)]
    assert sorted(shed + _order(queue)) == list(range(30))
    assert 0 not in shed and 29 in shed and len(shed) >= 15


def test_late_work_stops_waiting_while_its_refusal_is_cheap_if_the_burst_lasts():
    now_s = 4.0
    ahead = [_waiting(n, deadline_s=now_s + 1.0, due_s=now_s + 0.5) for n in range(24)]
    queue, _ = _queue(ahead, now_s=now_s)
    late = _waiting("late", since_s=now_s, deadline_s=now_s + 2.0, due_s=now_s + 0.4)
    assert queue.admit(late, now_s=now_s, supply=SUPPLY) is None
    while queue.next_priority() == (1, False) and len(queue.queues[(1, False)]["a"]) > 18:
        queue.take()
    for step in range(30):
        queue.note_arrival((1, False), "a", now_s + step * 0.003)
    assert queue.shed(now_s=now_s + 0.05, supply=SUPPLY) == []
    assert queue.shed(now_s=now_s + 0.1, supply=SUPPLY) == [late]


def test_priority_0_keeps_a_connection_that_transactions_do_not_take():
    admission = queueing.ByTarget(max_length=100)
    admission.note_use(_use(urgent=1), 0.0)
    full = _use(transactions=4)
    assert not admission.has_room(full, priority=1, holds=True, allowed=6, now_s=0.1)
    assert admission.has_room(full, priority=0, holds=False, allowed=6, now_s=0.1)


def test_short_statements_that_hold_long_leave_priority_0_its_connection():
    admission, use = queueing.ByTarget(max_length=100), _use(statements=5)
    admission.note_use(_use(urgent=1), 0.0)
    assert admission.has_room(use, priority=1, holds=False, allowed=6, now_s=0.1)
    use.average_holding_s[False] = 1.0
    assert not admission.has_room(use, priority=1, holds=False, allowed=6, now_s=0.1)
    assert admission.has_room(use, priority=0, holds=False, allowed=6, now_s=0.1)


def test_work_that_finds_a_free_connection_is_never_refused():
    """Guards against refusals by an average that an outage has raised, while nothing waits."""
    admission, use = queueing.ByTarget(max_length=100), connection_use.ConnectionUse()
    use.average_holding_s = {False: 9.0, True: 9.0}
    for holds in (False, True):
        waiting = _waiting(holds, holds=holds)
        assert admission.admit(waiting, use=use, allowed=4, average_s=0.0, now_s=0.0) is None
        assert admission.take(use, allowed=4, now_s=0.0) is waiting


requests = st.lists(
    st.tuples(
        st.sampled_from("abc"), st.integers(0, 2), st.booleans(), st.floats(0.0, 1.0), st.booleans()
    ),
    max_size=40,
)


@given(requests)
def test_everything_is_served_refused_or_shed_exactly_once(offered):
    admission, use = queueing.ByTarget(max_length=30), _use(statements=2)
    now_s, ended = 0.0, []
    for number, (caller, priority, holds, due_s, serve) in enumerate(offered):
        now_s += 0.013
        waiting = _waiting(
            number, caller, priority, now_s + 0.8, now_s + due_s, since_s=now_s, holds=holds
        )
        options = {"use": use, "allowed": 4, "now_s": now_s}
        if admission.admit(waiting, average_s=0.0, **options) is not None:
            ended.append(number)
        ended += [shed.ticket for shed in admission.shed(use, allowed=4, now_s=now_s)]
        taken = admission.take(use, allowed=4, now_s=now_s) if serve else None
        ended += [taken.ticket] if taken is not None else []
    ended += [waiting.ticket for waiting in admission.take_all()]
    assert sorted(ended) == list(range(len(offered)))
    assert admission.length == 0
