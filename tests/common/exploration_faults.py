"""Faults in the exploration of changes of primary, and the passing of time."""

import collections.abc

from mustardswitch.internal import handover
from tests.common import (
    exploration_former,
    exploration_holder,
    exploration_rules,
    exploration_state,
)
from tests.common.exploration_state import (
    FRESH,
    NAMES,
    NOBODY,
    NUMBERS,
    A,
    Acked,
    D,
    Reach,
    Run,
    Server,
    State,
    change_instance,
    change_server,
    older,
    put,
)

Step = tuple[str, str, State]
"""The kind of a step, what it is about, and the state after it."""
Steps = collections.abc.Iterator[Step]
LETTERS = "ABCD"


def end_process(state: State, number: int, *, entry: bool) -> State:
    """End a process for good; a planned end removes its ``entry``."""
    state = exploration_former.end_commits(state, number, waiting=True)
    listed = state.servers[number].listed and not entry
    state = change_server(
        state, number, run=Run.GONE, log=(), leads=False, paused=False, listed=listed, unlisted=0
    )
    return state._replace(upstream=NOBODY) if number == state.upstream else state


def remove_entry(state: State, number: int) -> State:
    """Remove a server's entry."""
    return change_server(state, number, listed=False, unlisted=0)


def resume(state: State, *, late: int) -> State:
    """End the attempt; paused servers are resumed, one of them late."""
    holder = state.holder
    requested = holder.requested if holder.sent else holder.requested_before
    asked = exploration_holder.ask(state, exploration_holder.confirming(holder))
    statuses = {n: each for n, each in enumerate(asked) if each is not None}
    resumed = handover.servers_to_resume(
        exploration_holder.real_statuses(statuses),
        requested=NAMES[requested] if requested != NOBODY else None,
    )
    for name in resumed:
        if NUMBERS[name] == late:
            state = state._replace(late=(*state.late, ("RESUME", late, 0)))
        else:
            state = change_server(state, NUMBERS[name], paused=False)
    recorded = requested != NOBODY
    return state._replace(
        holder=None,
        record=requested,
        held=state.held and recorded,
        marked=state.marked and recorded,
    )


def faults(state: State, rules: exploration_rules.Rules) -> Steps:
    """Yield the faults that are possible in a state."""
    for number, server in enumerate(state.servers):
        name = LETTERS[number]
        if server.run == Run.UP and number == A:
            after = exploration_former.end_commits(state, A, waiting=True)
            yield "crash", name, change_server(after, A, run=Run.DOWN, paused=False)
        if server.run in (Run.UP, Run.DOWN):
            yield "lose", name, end_process(state, number, entry=False)
        if server.run == Run.UP and number != A and not server.silent:
            yield "replica is silent", name, change_server(state, number, silent=True)
        if server.run == Run.UP and server.paused:
            yield "restart replica", name, change_server(state, number, paused=False)
        if server.run == Run.UP and server.listed and not server.leaving and number != D:
            yield "leave", name, change_server(state, number, leaving=True)
        if server.run == Run.UP and server.listed:
            yield "entry gone", f"{name}, which runs", remove_entry(state, number)
        if server.run == Run.GONE and not rules.keeps_log:
            anew = Server(starts=server.starts + 1, listed=server.listed)
            yield "start anew", name, state._replace(servers=put(state.servers, number, anew))
    if state.reach == Reach.OK and state.servers[A].run in (Run.UP, Run.DOWN):
        yield "stalled", "A", state._replace(reach=Reach.STALLED)
        yield "cut off", "A, but from instance 0", state._replace(reach=Reach.CUT)
    for number, instance in enumerate(state.instances):
        if not instance.up:
            after = change_instance(
                state,
                number,
                up=True,
                age=0,
                requested=state.record,
                held=state.held,
                knows_all=False,
                acks=(),
                shown=(0, 0),
            )
            yield "start instance", str(number), after
            continue
        after = change_instance(state, number, up=False)
        if state.holder is not None and state.holder.instance == number:
            after = after._replace(holder=None)
        yield "kill instance", str(number), after
    yield from _late_orders(state)


def _late_orders(state: State) -> Steps:
    holder = state.holder
    if holder is None:
        return
    if holder.instance == FRESH:
        yield "holder dies", "", state._replace(holder=None)
    primary = holder.primary
    if primary != NOBODY and state.servers[primary].leads:
        order = ("STEPDOWN", primary, holder.term)
        if order not in state.late:
            yield "decide, stop is late", "", state._replace(late=(*state.late, order))
    for number, server in enumerate(state.servers):
        if server.run == Run.UP and server.paused:
            after = resume(state, late=number)
            if after.late != state.late:
                yield "holder ends, late", f"RESUME {LETTERS[number]}", after


def _older_seen(
    state: State, number: int, seen: exploration_state.Seen, tenths: int
) -> exploration_state.Seen:
    """Let time pass for what the holder knows; one that answers goes on counting."""
    if seen.gone == NOBODY or exploration_state.status_of(state, number) is not None:
        return seen
    return seen._replace(gone=older(seen.gone, tenths))


def wait(state: State, rules: exploration_rules.Rules, tenths: int) -> State:
    """Let time pass, with what must have happened at its end."""
    servers = []
    for number, server in enumerate(state.servers):
        if not server.listed:
            server = server._replace(unlisted=older(server.unlisted, tenths))
            if server.run == Run.UP:
                limit = exploration_state.LISTING if number == D else exploration_state.GONE_AGE
                since = older(state.started, tenths) if number == D else server.unlisted
                in_time = rules.listed_in_time if number == D else rules.entry_back
                # A primary that is cut off may not reach the store either.
                cut_off = number == A and state.reach == Reach.CUT
                if in_time and since >= limit and not cut_off:
                    server = server._replace(listed=True, unlisted=0)
        servers.append(server)
    first = state.servers[A]
    answers = first.run == Run.UP and state.reach == Reach.OK
    connects = first.run == Run.UP and state.reach != Reach.CUT
    unconnected = 0 if connects else older(state.unconnected, tenths)
    commits = state.commits
    if rules.drops_unreachable and unconnected >= exploration_state.UNREACHED:
        commits = tuple(
            (
                each._replace(state=Acked.ENDED)
                if each.state == Acked.WAITING and each.server == A and each.sender != 0
                else each
            )
            for each in commits
        )
    holder = state.holder
    if holder is not None:
        holder = holder._replace(
            seen=tuple(
                _older_seen(state, number, each, tenths) for number, each in enumerate(holder.seen)
            ),
            knows=older(holder.knows, tenths),
            record_age=older(holder.record_age, tenths),
            ended=older(holder.ended, tenths),
        )
    return state._replace(
        servers=tuple(servers),
        instances=tuple(each._replace(age=older(each.age, tenths)) for each in state.instances),
        commits=commits,
        silent=0 if answers else older(state.silent, tenths),
        unconnected=unconnected,
        started=older(state.started, tenths),
        holder=holder,
        waits=state.waits + 1,
    )
