"""The platform in the exploration: requests, promotions that take effect later, and late orders."""

from tests.common import exploration_faults, exploration_former, exploration_rules
from tests.common.exploration_state import Acked, Run, State, change_server

LETTERS = exploration_faults.LETTERS


def steps(state: State, rules: exploration_rules.Rules) -> exploration_faults.Steps:
    """Yield the requests, effects and late orders that are possible in a state."""
    for rank, (number, token, _) in enumerate(state.requests):
        rest = state.requests[:rank] + state.requests[rank + 1 :]
        if token < state.seen_token or state.servers[number].run != Run.UP:
            continue
        after = accept(state._replace(requests=rest), number, token)
        yield "execute request", LETTERS[number], settle(after, rules)
    following = state.pending[:1] if rules.effects_in_order else sorted(set(state.pending))
    for number in following:
        yield "effect", LETTERS[number], take_effect(state, number)
    for rank, (kind, number, term) in enumerate(state.late):
        after = state._replace(late=state.late[:rank] + state.late[rank + 1 :])
        server = state.servers[number]
        if server.run == Run.UP and kind == "RESUME":
            after = change_server(after, number, paused=False)
        elif server.run == Run.UP and server.leads and state.term < term:
            after = exploration_former.stop(after, rules, number)
        yield "execute late", f"{kind} {LETTERS[number]}", after


def accept(state: State, number: int, token: int) -> State:
    """Accept a request; the token is compared now, and not when it takes effect."""
    pending = (*state.pending, number)
    return state._replace(pending=pending, seen_token=max(state.seen_token, token))


def settle(state: State, rules: exploration_rules.Rules) -> State:
    """Let promotions take effect that are not delayed."""
    if rules.effect_at_once:
        for number in state.pending:
            state = take_effect(state, number)
    return state


def take_effect(state: State, number: int) -> State:
    """Let an accepted promotion take effect; one of the server that leads changes nothing."""
    rank = state.pending.index(number)
    state = state._replace(pending=state.pending[:rank] + state.pending[rank + 1 :])
    server = state.servers[number]
    return state if server.leads or server.run != Run.UP else _promote(state, number)


def _promote(state: State, number: int) -> State:
    promoted = state.servers[number]
    losses = []
    for rank, commit in enumerate(state.commits):
        confirmed = commit.state in (Acked.CONFIRMED, Acked.ANSWERED)
        if confirmed and rank not in promoted.log:
            losses.append((rank, _holders(state, rank)))
    servers = []
    for rank, server in enumerate(state.servers):
        log = server.log if server.run == Run.DOWN else shared(server.log, promoted.log)
        servers.append(server._replace(log=log, leads=rank == number, paused=False))
        if rank != number:
            state = exploration_former.end_commits(state, rank, waiting=False)
    return state._replace(
        servers=tuple(servers), upstream=number, term=state.term + 1, losses=tuple(losses)
    )


def shared(log: tuple[int, ...], other: tuple[int, ...]) -> tuple[int, ...]:
    """Return what two logs have in common."""
    length = 0
    while length < min(len(log), len(other)) and log[length] == other[length]:
        length += 1
    return log[:length]


def _holders(state: State, commit: int) -> str:
    found = []
    for number, server in enumerate(state.servers):
        if commit not in server.log:
            continue
        if server.run == Run.DOWN:
            found.append(f"{LETTERS[number]} (returns)")
        elif server.leads or number == 0:
            found.append(f"{LETTERS[number]} (runs)")
        else:
            found.append(f"{LETTERS[number]} ({'listed' if server.listed else 'not listed'})")
    return ", ".join(found) or "nobody"
