"""The holder of a claim in the exploration: what it gathers, and the real decisions on that."""

from mustardswitch.internal import handover, ids, promotion
from tests.common import exploration_former, exploration_rules, exploration_state
from tests.common.exploration_state import (
    FRESH,
    MAX_AGE,
    NAMES,
    NOBODY,
    NUMBERS,
    Acked,
    Holder,
    Position,
    Run,
    Seen,
    State,
    Status,
)

Statuses = tuple[Status | None, ...]
SERVERS = range(len(NAMES))


def names(numbers: set[int]) -> frozenset[ids.ServerId]:
    """Return the names of servers."""
    return frozenset(NAMES[number] for number in numbers)


def real_statuses(statuses: dict[int, Status]) -> dict[ids.ServerId, promotion.ServerStatus]:
    """Return the statuses that the code under test uses."""
    return {NAMES[n]: exploration_state.real_status(each) for n, each in statuses.items()}


def read_list(state: State, known: tuple[Seen, ...], *, first: bool = False) -> tuple[Seen, ...]:
    """Return what the list tells; entries that are gone count, unless their servers have left.

    The ``first`` reading is that of an instance that has watched the list all the time.
    """
    return tuple(
        _seen(server, before, first) for server, before in zip(state.servers, known, strict=True)
    )


def _seen(server: exploration_state.Server, before: Seen, first: bool) -> Seen:
    if server.listed:
        return Seen(True, server.leaving, server.leads, NOBODY)
    if not before.listed:
        return before
    has_left = server.leaving and server.run == Run.GONE
    gone = server.unlisted if first else 0
    return Seen(False, before.leaving, before.leads, NOBODY if has_left or before.leads else gone)


def confirming(holder: Holder) -> set[int]:
    """Return the servers that may have confirmed a commit, as far as the holder knows."""
    retention = MAX_AGE + 1 if holder.keeps_members else exploration_state.RETENTION
    return {n for n in SERVERS if holder.seen[n].listed or 0 <= holder.seen[n].gone < retention}


def leaving(holder: Holder) -> set[int]:
    """Return the servers that leave."""
    return {n for n in SERVERS if holder.seen[n].listed and holder.seen[n].leaving}


def present(rules: exploration_rules.Rules, seen: tuple[Seen, ...], primary: int) -> int:
    """Return how many servers are listed and stay, with a primary whose entry is gone."""
    if rules.removed_primary_missing:
        primary = NOBODY
    counted = [each for n, each in enumerate(seen) if each.listed or (n == primary and each.leads)]
    return sum(not each.leaving for each in counted)


def _first_count(rules: exploration_rules.Rules, seen: tuple[Seen, ...], primary: int) -> int:
    """Return the number of servers that an instance takes for the usual one when it starts."""
    listed = sum(each.listed for each in seen)
    return listed if rules.count_leaving else present(rules, seen, primary)


def ask(state: State, numbers: set[int]) -> Statuses:
    """Return the answers of some servers."""
    return tuple(exploration_state.status_of(state, n) if n in numbers else None for n in SERVERS)


def spared(holder: Holder) -> set[int]:
    """Return the primary, if it gave no answer and is not listed as a replica."""
    primary = holder.primary
    if primary == NOBODY or holder.statuses[primary] is not None:
        return set()
    seen = holder.seen[primary]
    return {primary} if seen.leads or not seen.listed else set()


def _recorded(state: State, rules: exploration_rules.Rules) -> set[int]:
    """Return the servers in the durable record of members."""
    members = set(SERVERS) - {exploration_state.D}
    if rules.keep_members:
        return members
    return {n for n in members if state.servers[n].unlisted < exploration_state.RETENTION}


def claim(
    state: State, rules: exploration_rules.Rules, instance: int, primary: int
) -> tuple[State, Statuses] | None:
    """Claim the service, read the list, and query all servers but the primary."""
    fresh = instance == FRESH
    if fresh:
        # Servers of the durable record count from the start of the instance.
        known = tuple(Seen(n in _recorded(state, rules), False, False) for n in SERVERS)
    else:
        known = tuple(
            Seen(n != exploration_state.D, False, n == exploration_state.A) for n in SERVERS
        )
    seen = read_list(state, known, first=not fresh)
    if fresh and (primary == NOBODY) == any(each.leads for each in seen):
        return None
    holder = Holder(
        instance=instance,
        token=state.tokens + 1,
        requested=state.record,
        requested_before=state.record,
        primary=primary,
        term=state.term + 1,
        seen=seen,
        statuses=(None,) * len(NAMES),
        usual=_first_count(rules, seen, primary) if fresh else 3,
        knows=0 if fresh else MAX_AGE,
        holds_all=rules.hold_for_all and state.record != NOBODY,
        marked=rules.keep_first and state.marked,
        keeps_members=rules.keep_members,
    )
    state = state._replace(tokens=state.tokens + 1, holder=holder)
    asked = ask(state, confirming(holder) - {primary})
    if any(status is not None and status.leads for status in asked):
        return None
    return state, asked


def record_likely(state: State, asked: Statuses) -> State | None:
    """Record the likely successor of a primary that gives no answer."""
    holder = state.holder
    replicas = {n: each for n, each in enumerate(asked) if each is not None}
    likely = NAMES[holder.requested] if holder.requested != NOBODY else None
    likely = likely or handover.choose_successor(
        replicas=real_statuses(replicas), leaving=names(leaving(holder))
    )
    likely = likely or next(iter(sorted(names(set(replicas)))), None)
    if likely is None:
        return None
    return record(state, NUMBERS[likely], asked)


def record(state: State, server: int, asked: Statuses) -> State:
    """Record the server that is to be promoted; confirmations count for one record only."""
    holder = state.holder._replace(
        requested=server,
        statuses=asked,
        confirmed=(),
        ended=NOBODY,
        replica_end=None,
        end_held=False,
    )
    state = state._replace(record=server, held=holder.holds_all, holder=holder)
    return hold_back(state, holder.instance)


def hold_back(state: State, instance: int) -> State:
    """Let an instance know of the record; it waits for no answer of another server any more."""
    if instance == FRESH:
        return state
    commits = tuple(
        (
            each._replace(open=False)
            if each.sender == instance and (state.held or each.server != state.record)
            else each
        )
        for each in state.commits
    )
    state = state._replace(commits=commits)
    return exploration_state.change_instance(
        state, instance, requested=state.record, held=state.held, age=0
    )


def pause(
    state: State, statuses: dict[int, Status], expected: set[int]
) -> tuple[State, dict[int, Status]]:
    """Pause servers that may be receiving; returns the statuses of those that are paused."""
    receiving = handover.servers_to_pause(
        expected=names(expected),
        statuses=real_statuses(statuses),
        term=ids.Term(state.holder.term),
    )
    statuses = dict(statuses)
    for name in receiving:
        number = NUMBERS[name]
        if exploration_state.status_of(state, number) is None:
            continue
        if not state.servers[number].leads and state.holder.term > state.term:
            state = exploration_state.change_server(state, number, paused=True)
        statuses[number] = exploration_state.status_of(state, number)
    paused = {
        n: each for n, each in statuses.items() if n in expected and (each.paused or each.leads)
    }
    return state, paused


def is_held(state: State, rules: exploration_rules.Rules) -> bool:
    """Return whether no instance sends commits any more."""
    holder = state.holder
    unconfirmed = {0, 1} - {holder.instance} - dict(holder.confirmed).keys()
    starting = holder.knows < exploration_state.HOLD_LIMIT
    held = holder.record_age >= exploration_state.HOLD_LIMIT or not (unconfirmed or starting)
    return held or not rules.wait_for_hold


def decide(state: State, rules: exploration_rules.Rules) -> State | None:
    """Evaluate the evidence once, and request or record a promotion; None if nothing changes."""
    before = state
    if rules.list_after_end:
        state = read(state, rules)
    held = is_held(state, rules)
    if rules.end_after_hold and held:
        state = exploration_former.read_end_again(state)
    holder = state.holder
    found = exploration_former.former(state, held=held)
    if not rules.end_primary:
        found = promotion.FormerPrimary.UNKNOWN
    if held and found.has_ended and holder.ended == NOBODY:
        holder = holder._replace(ended=0)
    silent = state.silent
    if rules.silence_of_process or found in (
        promotion.FormerPrimary.REPLICA,
        promotion.FormerPrimary.UNKNOWN,
    ):
        silent = max(0, holder.ended)
    missing = holder.usual - present(rules, holder.seen, holder.primary)
    young = holder.knows < exploration_state.LISTING
    may_hold = (
        rules.await_unlisted and silent < exploration_state.LISTING and (missing > 0 or young)
    )
    limit = silent >= exploration_state.LISTING if rules.await_unlisted else holder.ended > 60
    above = None
    gives_up = holder.ended != NOBODY and limit and not rules.keep_acknowledged
    if rules.compare_acknowledged and not gives_up:
        above = _above(state)
    own = holder.statuses[holder.requested]
    real_above = exploration_state.optional(above)
    behind = own is not None and promotion.lacks_acknowledged(
        exploration_state.real_status(own), real_above
    )
    receives = {holder.requested} if holder.ended == NOBODY or behind else set()
    statuses = {n: each for n, each in enumerate(holder.statuses) if each is not None}
    if rules.query_after_end and holder.ended != NOBODY:
        asked = ask(state, confirming(holder) - spared(holder))
        statuses = {n: each for n, each in enumerate(asked) if each is not None}
    expected = confirming(holder) - spared(holder)
    state, paused = pause(state, statuses, expected - receives)
    if holder.stopped_end is not None and holder.primary not in paused:
        for number in {holder.primary} | confirming(holder):
            status = exploration_state.status_of(state, number)
            if status is not None and number not in paused:
                statuses[number] = status
    choice = _choose(state, holder, rules, expected, paused, statuses, held, found, above, may_hold)
    state = state._replace(holder=holder)
    if choice.verdict is promotion.Verdict.ALREADY_LED:
        return None
    if choice.verdict is not promotion.Verdict.PROMOTE:
        return state if state != before else None
    chosen = NUMBERS[choice.server]
    if chosen != holder.requested:
        asked = ask(state, confirming(holder) - {holder.primary})
        return None if any(each and each.leads for each in asked) else record(state, chosen, asked)
    request = (chosen, holder.token, state.servers[chosen].starts)
    holder = holder._replace(sent=True)
    return state._replace(holder=holder, requests=(*state.requests, request))


def _choose(
    state: State,
    holder: Holder,
    rules: exploration_rules.Rules,
    expected: set[int],
    paused: dict[int, Status],
    statuses: dict[int, Status],
    held: bool,
    found: promotion.FormerPrimary,
    above: Position | None,
    may_hold: bool,
) -> promotion.Choice:
    ends = [holder.replica_end]
    if state.recorded_end is not None and state.recorded_end[0] in confirming(holder):
        ends.append(state.recorded_end[1])
    required = max((each for each in ends if each is not None), default=None)
    stopped = holder.stopped_end
    if stopped is not None and not rules.compare_end:
        stopped = (0, 0)
    evidence = promotion.Evidence(
        expected=names(expected if rules.need_all_paused else set(paused)),
        paused=real_statuses(paused),
        receiving=real_statuses(
            {n: each for n, each in statuses.items() if n not in paused and not each.leads}
        ),
        stopped_end=exploration_state.optional(stopped),
        required_end=exploration_state.optional(required if rules.require_recorded_end else None),
        commits_held=held,
        former_primary=found,
        acknowledged_above=exploration_state.optional(above),
        acknowledged_end=exploration_state.optional(_acknowledged_end(state, rules)),
        unlisted_may_hold=may_hold,
        covered={
            NAMES[n]: exploration_state.real_position(each.covered)
            for n, each in enumerate(state.servers)
            if each.covered is not None and each.run in (Run.DOWN, Run.GONE)
        },
        recorded=_recorded_name(holder),
    )
    avoided = names({holder.primary} - {NOBODY})
    return promotion.choose(
        evidence, leaving=names(leaving(holder)) | avoided, requested=NAMES[holder.requested]
    )


def _recorded_name(holder: Holder) -> ids.ServerId:
    name = NAMES[holder.requested]
    return promotion.holding(name) if holder.holds_all else name


def _acknowledged_end(state: State, rules: exploration_rules.Rules) -> Position | None:
    """Return a position that no commit is above that an instance has acknowledged."""
    if not rules.acknowledged_end:
        return None
    told = {number for number, _ in state.holder.confirmed} | {state.holder.instance}
    told = {n for n in told - {FRESH} if state.instances[n].knows_all}
    if rules.acknowledged_end_of_all and len(told) < len(state.instances):
        return None
    without = (each for each in state.commits if each.state != Acked.ANSWERED)
    if rules.answers_to_all and any(each.sender in told for each in without):
        return None
    shown = [shown for n in told for _, _, shown in state.instances[n].acks]
    return max(shown, default=(0, 0)) if told else None


def _above(state: State) -> Position | None:
    holder = state.holder
    known = [above for _, above in holder.confirmed if above is not None]
    if holder.instance != FRESH:
        own = above_of(state, holder.instance)
        known += [own] if own is not None else []
    return max(known, default=None)


def above_of(state: State, instance: int) -> Position | None:
    """Return the position that an instance tells with its confirmation."""
    forgotten = frozenset(n for n in SERVERS if not state.servers[n].listed)
    acks = state.instances[instance].acks
    return exploration_state.highest_above(acks, state.record, forgotten) if acks else None


def read(state: State, rules: exploration_rules.Rules) -> State:
    """Let the holder read the list."""
    holder = state.holder
    seen = read_list(state, holder.seen)
    usual = max(holder.usual, present(rules, seen, holder.primary))
    return state._replace(holder=holder._replace(seen=seen, usual=usual))


def query(state: State) -> State:
    """Let the holder query all servers that may have confirmed a commit."""
    holder = state.holder
    asked = ask(state, confirming(holder) - spared(holder))
    return state._replace(holder=holder._replace(statuses=asked))
