"""The steps of the exploration of changes of primary: all that may happen next in a state."""

from mustardswitch.internal import promotion
from tests.common import (
    exploration_faults,
    exploration_former,
    exploration_handover,
    exploration_holder,
    exploration_platform,
    exploration_rules,
    exploration_state,
)
from tests.common.exploration_state import (
    FRESH,
    NAMES,
    NOBODY,
    A,
    Acked,
    Commit,
    D,
    Reach,
    Run,
    State,
    change_instance,
    change_server,
    position,
    put,
)

LETTERS = exploration_faults.LETTERS
Step = exploration_faults.Step
Steps = exploration_faults.Steps


def steps(state: State, rules: exploration_rules.Rules, bounds: exploration_rules.Bounds) -> Steps:
    """Yield all steps that are possible in a state."""
    yield from _commit_steps(state, rules, bounds)
    yield from _server_steps(state, rules)
    yield from _entry_steps(state, rules)
    yield from _instance_steps(state)
    yield from _holder_steps(state, rules, bounds)
    yield from exploration_platform.steps(state, rules)
    if state.faults < bounds.faults:
        for kind, about, after in exploration_faults.faults(state, rules):
            yield kind, about, after._replace(faults=state.faults + 1)
    if state.waits < bounds.waits:
        for tenths in bounds.times:
            yield "wait", f"{tenths / 10} s", exploration_faults.wait(state, rules, tenths)


# Commits


def _commit_steps(
    state: State, rules: exploration_rules.Rules, bounds: exploration_rules.Bounds
) -> Steps:
    leader = next((n for n, each in enumerate(state.servers) if each.leads), None)
    if leader is not None and len(state.commits) < bounds.commits:
        for number in range(len(state.instances)):
            yield from _send(state, number, leader)
    for number, commit in enumerate(state.commits):
        server = state.servers[commit.server]
        if commit.state == Acked.WAITING and server.run == Run.UP:
            if server.leads:
                yield "execute commit", f"c{number}", _execute(state, number)
            else:
                ended = put(state.commits, number, commit._replace(state=Acked.ENDED))
                yield "execute commit", f"c{number}, rejected", state._replace(commits=ended)
                if commit.running:
                    about = f"c{number}, which ran at the stop"
                    yield "execute commit", about, _execute(state, number)
    for number in range(len(state.servers)):
        yield from _receive(state, rules, number)
    yield from _confirm(state)


def _send(state: State, number: int, leader: int) -> Steps:
    instance = state.instances[number]
    requested = NAMES[instance.requested] if instance.requested != NOBODY else None
    allowed = promotion.may_take_commits(NAMES[leader], requested=requested)
    reached = leader != A or state.reach != Reach.CUT or number == 0
    runs = state.servers[leader].run == Run.UP
    if instance.held or not (instance.up and allowed and reached and runs):
        return
    if not exploration_state.permits(instance.age):
        return
    commit = Commit(sender=number, server=leader, above=instance.shown)
    sent = state._replace(commits=(*state.commits, commit))
    about = f"c{len(state.commits)} by instance {number} to {LETTERS[leader]}"
    yield "send", about, sent
    if leader != A or state.reach != Reach.STALLED:
        yield "commit", about, _execute(sent, len(state.commits))


def _execute(state: State, number: int) -> State:
    commit = state.commits[number]
    made = commit._replace(state=Acked.IN_LOG, term=state.term)
    state = state._replace(commits=put(state.commits, number, made))
    return change_server(state, commit.server, log=(*state.servers[commit.server].log, number))


def _receive(state: State, rules: exploration_rules.Rules, number: int) -> Steps:
    replica = state.servers[number]
    if state.upstream in (NOBODY, number) or replica.run != Run.UP or replica.paused:
        return
    source = state.servers[state.upstream]
    shared = len(replica.log)
    if source.run != Run.UP or len(source.log) <= shared or source.log[:shared] != replica.log:
        return
    made = source.log[shared]
    commit = state.commits[made]
    state = change_server(state, number, log=(*replica.log, made))
    about = f"{LETTERS[number]} c{made}"
    acknowledges = source.leads or (commit.running and not rules.stopped_confirms_nothing)
    if commit.state != Acked.IN_LOG or not acknowledges:
        yield "receive", about, state
        return
    yield from _answer(state, "receive", made, about)


def _confirm(state: State) -> Steps:
    """Confirm a commit that a replica has received while its primary did not lead."""
    for number, commit in enumerate(state.commits):
        received = any(
            number in each.log and rank != commit.server and each.run == Run.UP
            for rank, each in enumerate(state.servers)
        )
        if commit.state == Acked.IN_LOG and state.servers[commit.server].leads and received:
            yield from _answer(state, "confirm late", number, f"c{number}")


def _answer(state: State, kind: str, made: int, about: str) -> Steps:
    commit = state.commits[made]
    source = state.servers[commit.server]
    confirmed = put(state.commits, made, commit._replace(state=Acked.CONFIRMED))
    yield kind, about, state._replace(commits=confirmed)
    sender = state.instances[commit.sender]
    reached = (
        state.upstream != A
        or state.reach == Reach.OK
        or (state.reach == Reach.CUT and commit.sender == 0)
    )
    if commit.open and sender.up and reached:
        shown = position(state, source.log)
        answered = put(state.commits, made, commit._replace(state=Acked.ANSWERED, open=False))
        acks = (*sender.acks, (state.upstream, commit.above, shown))
        state = change_instance(state, commit.sender, acks=acks, shown=shown)
        yield f"{kind}, answered", about, state._replace(commits=answered)


# Servers


def _server_steps(state: State, rules: exploration_rules.Rules) -> Steps:
    first, spare = state.servers[A], state.servers[D]
    if first.run == Run.DOWN:
        leads = state.upstream == A
        log = first.log
        if not leads and state.upstream != NOBODY:
            log = exploration_platform.shared(log, state.servers[state.upstream].log)
        back = change_server(state, A, run=Run.UP, leads=leads, log=log)
        if state.reach == Reach.OK:
            back = back._replace(silent=0, unconnected=0)
        yield "return", "A", back
    if state.reach != Reach.OK:
        after = state._replace(reach=Reach.OK)
        if first.run == Run.UP:
            after = after._replace(silent=0, unconnected=0)
        yield "reachable", "A", after
    replaces = any(each.leaving or each.run == Run.GONE for each in state.servers)
    if spare.run == Run.ABSENT and (replaces or not rules.only_replacements):
        yield "start server", "D", change_server(state, D, run=Run.UP)._replace(started=0)
    for number, server in enumerate(state.servers):
        if server.run == Run.GONE and server.covered is None and _has_all(state, rules, number):
            end = position(state, state.servers[A].log) if rules.cover_by_end else (0, 0)
            yield "cover", LETTERS[number], change_server(state, number, covered=end)
        if server.leaving and server.run in (Run.UP, Run.DOWN):
            yield "end", LETTERS[number], exploration_faults.end_process(state, number, entry=True)
            if spare.run == Run.ABSENT:
                after = change_server(
                    exploration_faults.end_process(state, number, entry=True),
                    D,
                    run=Run.UP,
                    log=server.log,
                    listed=not rules.transfers_late,
                )
                yield "end, log transferred", f"{LETTERS[number]} to D", after._replace(started=0)


def _has_all(state: State, rules: exploration_rules.Rules, ended: int) -> bool:
    """Return whether the first primary answers, and a listed replica has the end of its log."""
    first = state.servers[A]
    if not first.leads or first.run != Run.UP or state.reach != Reach.OK:
        return False
    others = [
        each
        for number, each in enumerate(state.servers)
        if number not in (A, ended) and each.listed and each.run == Run.UP and not each.silent
    ]
    return not rules.cover_by_end or any(len(each.log) >= len(first.log) for each in others)


def _entry_steps(state: State, rules: exploration_rules.Rules) -> Steps:
    for number, server in enumerate(state.servers):
        if server.listed and server.run in (Run.DOWN, Run.GONE):
            yield "entry gone", LETTERS[number], exploration_faults.remove_entry(state, number)
        elif not server.listed and server.run == Run.UP:
            kind = "list server" if number == D else "entry back"
            yield kind, LETTERS[number], change_server(state, number, listed=True, unlisted=0)


# Instances


def _instance_steps(state: State) -> Steps:
    holder = state.holder
    for number, instance in enumerate(state.instances):
        if not instance.up:
            continue
        known = instance.requested, instance.held
        if instance.age or known != (state.record, state.held):
            after = exploration_holder.hold_back(state, number)
            yield "read record", f"instance {number}", after
        asked = holder is not None and not holder.sent and holder.instance != number
        if asked and number not in dict(holder.confirmed):
            after = exploration_holder.hold_back(state, number)
            above = exploration_holder.above_of(after, number)
            told = tuple(sorted([*holder.confirmed, (number, above)], key=lambda each: each[0]))
            after = after._replace(holder=holder._replace(confirmed=told))
            yield "confirm", f"instance {number}, above {above}", after


# The holder and the platform


def _holder_steps(
    state: State, rules: exploration_rules.Rules, bounds: exploration_rules.Bounds
) -> Steps:
    holder = state.holder
    if holder is None:
        if state.tokens < bounds.requests:
            yield from _begin_steps(state, rules)
        return
    after = exploration_holder.read(state, rules)
    if after != state:
        yield "read list", "holder", after
    if holder.sent or holder.keeps or holder.awaits:
        yield from exploration_handover.steps(state, rules)
        yield "holder ends", "", exploration_faults.resume(state, late=NOBODY)
        return
    after = exploration_holder.query(state)
    if after != state:
        yield "query", "holder", after
    after = exploration_holder.decide(state, rules)
    if after is not None:
        yield "decide", _chosen(state, after), after
    pending = holder.stopped_end is None and holder.replica_end is None
    if pending and exploration_former.can_answer(state):
        held = exploration_holder.is_held(state, rules)
        stopped = exploration_former.note_stopped(state, rules, held=held)
        after = exploration_holder.decide(stopped, rules) if stopped is not None else None
        if after is not None or stopped is not None:
            yield "decide, stopped", _chosen(state, after or stopped), after or stopped
    yield "holder ends", "", exploration_faults.resume(state, late=NOBODY)


def _chosen(before: State, after: State) -> str:
    if len(after.requests) > len(before.requests):
        return f"requests {LETTERS[after.requests[-1][0]]}"
    if after.record != before.record:
        return f"records {LETTERS[after.record]}"
    return "waits"


def _begin_steps(state: State, rules: exploration_rules.Rules) -> Steps:
    leader = next((n for n, each in enumerate(state.servers) if each.listed and each.leads), NOBODY)
    if not rules.keep_recorded and NOBODY != leader == state.record:
        led = state._replace(record=NOBODY, held=False, marked=False, recorded_end=None)
        yield "already led", LETTERS[leader], led._replace(tokens=state.tokens + 1)
    for number in (0, 1, FRESH):
        if number != FRESH and not state.instances[number].up:
            continue
        primaries = {leader} if number == FRESH else {A} | ({leader} - {NOBODY})
        for primary in sorted(primaries):
            name = "fresh instance" if number == FRESH else f"instance {number}"
            claimed = exploration_holder.claim(state, rules, number, primary)
            if claimed is None:
                continue
            about = f"{name}: {LETTERS[primary] if primary != NOBODY else 'no primary'}"
            begun, asked = claimed
            runs = primary != NOBODY and state.servers[primary].run == Run.UP
            if begun.holder.marked and runs:
                after = exploration_handover.begin_to_keep(begun, asked)
                yield "begin to keep", about, after
                continue
            found = [("begin", exploration_holder.record_likely(*claimed))]
            if primary != NOBODY:
                for kind, answered in (("hand over", True), ("hand over, no answer", False)):
                    after = exploration_handover.begin(begun, rules, asked, answered=answered)
                    found.append((kind, after))
            for kind, after in found:
                if after is not None:
                    recorded = LETTERS[after.record] if after.record != NOBODY else "nothing"
                    yield kind, f"{about}, records {recorded}", after
