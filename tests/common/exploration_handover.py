"""Hand-over of a primary that answers in the exploration, and a primary that is kept."""

from mustardswitch.internal import handover, promotion
from tests.common import (
    exploration_faults,
    exploration_holder,
    exploration_platform,
    exploration_rules,
    exploration_state,
)
from tests.common.exploration_holder import NAMES, NOBODY, NUMBERS, SERVERS, State, names

LETTERS = exploration_faults.LETTERS


def begin(
    state: State,
    rules: exploration_rules.Rules,
    asked: exploration_holder.Statuses,
    *,
    answered: bool,
) -> State | None:
    """Record the successor of a primary that answers, and void earlier requests.

    A request for that which is not ``answered`` ends the attempt, and is executed later.
    """
    if not _leads(state):
        return None
    found = _successor(state, asked)
    if found is None:
        keeps = answered and state.holder.requested != NOBODY
        return begin_to_keep(state, asked) if keeps else None
    prepared = _prepare(state, found, asked)
    if prepared is None:
        return None
    state = exploration_holder.record(prepared, found, (None,) * len(NAMES))
    beside_record = state.holder.requested_before != NOBODY and not rules.keep_first
    if not beside_record and not rules.voids_before_stop:
        return state if answered else None
    return _void(state, rules) if answered else _void_without_answer(state)


def _void_without_answer(state: State) -> State:
    holder = state.holder
    request = (holder.primary, holder.token, state.servers[holder.primary].starts)
    state = state._replace(requests=(*state.requests, request))
    return exploration_faults.resume(state, late=NOBODY)


def _void(state: State, rules: exploration_rules.Rules) -> State:
    """Promote the present primary, so that requests of earlier claims are rejected."""
    holder = state.holder
    state = exploration_platform.accept(state, holder.primary, holder.token)
    state = state._replace(holder=holder._replace(awaits=rules.await_void))
    return exploration_platform.settle(state, rules)


def steps(state: State, rules: exploration_rules.Rules) -> exploration_faults.Steps:
    """Yield what a holder does that has requested a promotion of the present primary."""
    holder = state.holder
    if holder.sent:
        yield from _sent_steps(state, rules)
        return
    if holder.keeps:
        if exploration_holder.is_held(state, rules) and _may_be_kept(state):
            request = (holder.primary, holder.token, state.servers[holder.primary].starts)
            sent = holder._replace(sent=True)
            after = state._replace(holder=sent, requests=(*state.requests, request))
            yield "keep", LETTERS[holder.primary], after
    elif not state.pending or not rules.effect_in_time:
        if not _leads(state):
            return
        asked = exploration_holder.ask(
            state, exploration_holder.confirming(holder) - {holder.primary}
        )
        term = state._replace(holder=holder._replace(term=state.term + 1))
        after = _prepare(term, holder.requested, asked)
        if after is not None:
            after = after._replace(holder=after.holder._replace(awaits=False))
            yield "await effect", LETTERS[holder.primary], after


def _sent_steps(state: State, rules: exploration_rules.Rules) -> exploration_faults.Steps:
    holder = state.holder
    own = [each for each in state.requests if each[1] == holder.token]
    if own and not holder.repeated:
        after = state._replace(holder=holder._replace(repeated=True))
        yield "request again", LETTERS[own[0][0]], after._replace(
            requests=(*state.requests, own[0])
        )
    stays = rules.record_unanswered and (holder.repeated or own)
    record = holder.requested if stays else NOBODY
    awaited = not state.pending or not rules.effect_in_time
    if holder.keeps:
        # The first request may be unanswered, and the second one accepted.
        answered = len(own) < 1 + holder.repeated
        if answered and awaited and _leads(state):
            after = state._replace(holder=holder._replace(requested=NOBODY))
            after = exploration_faults.resume(after, late=NOBODY)
            held = record != NOBODY and state.held
            after = after._replace(record=record, held=held, marked=bool(stays))
            yield "finish", "", after._replace(recorded_end=None)
    elif state.upstream == holder.requested and (awaited or not holder.holds_all):
        after = state._replace(holder=None, record=record, recorded_end=None)
        held = record != NOBODY and state.held
        yield "finish", "", after._replace(held=held, marked=bool(stays))


def _may_be_kept(state: State) -> bool:
    """Return whether the primary leads, or led last, as the terms of all the others tell."""
    holder = state.holder
    if _leads(state):
        return True
    others = exploration_holder.confirming(holder) - {holder.primary}
    asked = exploration_holder.ask(state, others)
    led_last = state.upstream == holder.primary and all(asked[n] for n in others)
    return holder.marked and led_last and not any(asked[n].leads for n in others)


def _leads(state: State) -> bool:
    leader = exploration_state.status_of(state, state.holder.primary)
    return leader is not None and leader.leads


def _successor(state: State, asked: exploration_holder.Statuses) -> int | None:
    holder = state.holder
    replicas = _replicas(state, asked)
    requested = NAMES[holder.requested] if holder.requested != NOBODY else None
    found = handover.choose_successor(
        replicas=exploration_holder.real_statuses(replicas),
        leaving=names(exploration_holder.leaving(holder)),
        requested=requested,
    )
    return None if found is None else NUMBERS[found]


def _replicas(
    state: State, asked: exploration_holder.Statuses
) -> dict[int, exploration_state.Status]:
    holder = state.holder
    return {
        n: asked[n]
        for n in SERVERS
        if asked[n] is not None and (holder.seen[n].listed or n == holder.requested)
    }


def begin_to_keep(state: State, asked: exploration_holder.Statuses) -> State:
    """Record the earlier request anew; the primary is promoted once the hold is complete."""
    holder = state.holder
    state = state._replace(holder=holder._replace(keeps=True), marked=True)
    return exploration_holder.record(state, holder.requested, asked)


def _prepare(state: State, successor: int, asked: exploration_holder.Statuses) -> State | None:
    """Pause all but the successor of a primary that answers; None if it may not be stopped."""
    holder, primary = state.holder, state.holder.primary
    leader = exploration_state.status_of(state, primary)
    replicas = _replicas(state, asked)
    if successor not in replicas or replicas[successor].end < leader.end:
        return None
    state = exploration_state.change_server(state, successor, paused=False)
    confirming = exploration_holder.confirming(holder)
    state, paused = exploration_holder.pause(state, replicas, confirming - {primary, successor})
    choice = handover.evaluate_handover(
        expected=names(confirming - {primary}),
        paused=exploration_holder.real_statuses(paused),
        successor=NAMES[successor],
        successor_status=exploration_state.real_status(
            exploration_state.status_of(state, successor)
        ),
        primary_leaves=primary in exploration_holder.leaving(holder),
    )
    if choice.verdict is not promotion.Verdict.PROMOTE:
        return None
    return state._replace(holder=holder._replace(primary_end=leader.end, handover=True))
