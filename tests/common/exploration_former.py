"""The former primary in the exploration: what it executes, and what the holder knows of it."""

import functools

from mustardswitch.internal import former_primary, promotion
from tests.common import exploration_rules, exploration_state
from tests.common.exploration_state import (
    NOBODY,
    Acked,
    Reach,
    Run,
    State,
)


def end_commits(state: State, number: int, *, waiting: bool) -> State:
    """End the commits of a server that no replica has received, and with ``waiting`` those sent."""
    ended = (Acked.IN_LOG, Acked.WAITING) if waiting else (Acked.IN_LOG,)
    commits = tuple(
        each._replace(state=Acked.ENDED) if each.server == number and each.state in ended else each
        for each in state.commits
    )
    return state._replace(commits=commits)


def stop(state: State, rules: exploration_rules.Rules, number: int) -> State:
    """Let a primary execute a STEPDOWN; what is in its log may be confirmed once it leads again."""
    state = exploration_state.change_server(state, number, leads=False)
    if rules.stop_ends_running:
        return state
    commits = tuple(
        (
            each._replace(running=True)
            if each.server == number and each.state == exploration_state.Acked.WAITING
            else each
        )
        for each in state.commits
    )
    return state._replace(commits=commits)


def can_answer(state: State) -> bool:
    """Return whether the former primary may answer an order to stop."""
    holder = state.holder
    if holder.primary == NOBODY or state.servers[holder.primary].run != Run.UP:
        return False
    return (
        holder.primary != exploration_state.A
        or _reaches_first(state)
        and (state.reach != Reach.STALLED)
    )


def _reaches_first(state: State) -> bool:
    if state.reach != Reach.CUT:
        return True
    told = dict(state.holder.confirmed)
    return state.instances[0].up and (0 in told or state.holder.instance == 0)


def note_stopped(state: State, rules: exploration_rules.Rules, *, held: bool) -> State | None:
    """Let the former primary answer the order to stop; None if that proves nothing."""
    holder = state.holder
    number = holder.primary
    server = state.servers[number]
    if server.leads and state.term >= holder.term:
        return None
    led_newest = holder.handover or (server.leads and state.term >= holder.term - 1)
    if rules.end_after_hold and state.term >= holder.term:
        # Another server was promoted since, and its commits are not in this log.
        led_newest = False
    if server.leads:
        state = stop(state, rules, number)
    end = exploration_state.position(state, server.log)
    if not led_newest:
        return state._replace(holder=holder._replace(replica_end=end))
    if end < holder.primary_end:
        return None
    holder = holder._replace(primary_end=end, stopped_end=end, end_held=held)
    return state._replace(holder=holder, recorded_end=(number, end))


def read_end_again(state: State) -> State:
    """Read the end of a stopped primary after the hold; one read before it proves nothing."""
    holder = state.holder
    if holder.stopped_end is None or holder.end_held:
        return state
    server = state.servers[holder.primary]
    end = exploration_state.position(state, server.log)
    promoted = server.leads or state.term >= holder.term
    if not can_answer(state) or promoted or end < holder.primary_end:
        # One that leads again is stopped anew; the recorded end stays required.
        return state._replace(holder=holder._replace(stopped_end=None))
    holder = holder._replace(primary_end=end, stopped_end=end, end_held=True)
    return state._replace(holder=holder, recorded_end=(holder.primary, end))


def former(state: State, *, held: bool) -> promotion.FormerPrimary:
    """Return what is known of the former primary."""
    holder = state.holder
    number = holder.primary
    if number == NOBODY or holder.statuses[number] is not None:
        return promotion.FormerPrimary.UNKNOWN
    if holder.stopped_end is not None or holder.replica_end is not None:
        report = former_primary.Report(order=former_primary.Order.REPLICA)
        return former_primary.state_of(
            [report], held_s=None, all_report=False, confirmed_report=False, unlisted_s=0.0
        )
    server, reached = state.servers[number], _reaches_first(state) or number != exploration_state.A
    silent, unconnected = state.silent, state.unconnected
    if number != exploration_state.A or (reached and server.run == Run.UP):
        unconnected = 0 if server.run == Run.UP else unconnected
        silent = 0 if state.reach != Reach.STALLED and server.run == Run.UP else silent
    removed = not holder.seen[number].listed
    return _state_of(
        refused=reached and server.run != Run.UP,
        silent=silent,
        unconnected=unconnected,
        held=held,
        all_report={0, 1} - {holder.instance} <= dict(holder.confirmed).keys(),
        unlisted=server.unlisted if removed else 0,
    )


@functools.cache
def _state_of(
    *, refused: bool, silent: int, unconnected: int, held: bool, all_report: bool, unlisted: int
) -> promotion.FormerPrimary:
    report = former_primary.Report(
        answered_s=silent / 10 + 0.02,
        connected_s=unconnected / 10 + 0.02,
        refused_s=0.0 if refused else former_primary.NEVER_S,
    )
    return former_primary.state_of(
        [report],
        held_s=0.01 if held else None,
        all_report=all_report,
        confirmed_report=True,
        unlisted_s=unlisted / 10,
    )
