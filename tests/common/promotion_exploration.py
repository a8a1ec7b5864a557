"""Explores all changes of primary within bounds, breadth first, and shows those that lose commits.

The decisions are those of the code under test; servers, instances, the store and what a holder
gathers are modelled in ``exploration_state``, ``exploration_steps`` and ``exploration_holder``.
Run it by hand with larger bounds::

    python -m tests.common.promotion_exploration --commits 2 --steps 12 --faults 4
"""

import argparse
import dataclasses
import gc
import time

from tests.common import exploration_rules, exploration_state, exploration_steps
from tests.common.exploration_state import Acked, State

FREEDOMS = frozenset(
    {
        "send",
        "crash",
        "return",
        "lose",
        "restart replica",
        "replica is silent",
        "leave",
        "end",
        "end, log transferred",
        "start server",
        "stalled",
        "cut off",
        "kill instance",
        "start instance",
        "start anew",
        "hand over",
        "execute late",
        "hand over, no answer",
        "request again",
        "holder ends",
        "holder ends, late",
        "holder dies",
    }
)
"""Kinds of steps by which losing sequences are told apart."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loss:
    """A sequence that loses commits."""

    steps: tuple[tuple[str, str], ...]
    commits: tuple[tuple[int, str, bool], ...]
    """Each lost commit, who holds it, and whether its caller was answered."""
    state: State

    @property
    def held_by(self) -> str:
        """Who holds the last lost commit."""
        return self.commits[-1][1]

    @property
    def freedoms(self) -> frozenset[str]:
        """The kinds of steps that the sequence rests on."""
        kinds = {kind for kind, _ in self.steps} & FREEDOMS
        running = any(kind == "entry gone" and "runs" in about for kind, about in self.steps)
        return frozenset(kinds | ({"entry gone, runs"} if running else set()))


@dataclasses.dataclass(kw_only=True)
class Result:
    """What an exploration found."""

    states: int = 0
    depth: int = 0
    """The number of steps within which all sequences were explored."""
    complete: bool = False
    """Whether all states within the bounds were explored."""
    losses: list[Loss] = dataclasses.field(default_factory=list)
    """One for each class, the shortest first."""
    promotions: int = 0
    """Steps with which a promotion took effect that loses no commit."""
    losing: int = 0
    """States in which a commit is lost."""


def explore(
    rules: exploration_rules.Rules,
    bounds: exploration_rules.Bounds,
    *,
    first_only: bool = False,
    start: State | None = None,
) -> Result:
    """Explore all states within the bounds; with ``first_only`` up to the first loss."""
    start = exploration_state.first_state() if start is None else start
    parents: dict[State, tuple[State, str, str] | None] = {start: None}
    result = Result()
    frontier = [start]
    while frontier and result.depth < bounds.steps:
        following = []
        for state in frontier:
            for kind, about, after in exploration_steps.steps(state, rules, bounds):
                if kind in bounds.without or after in parents:
                    continue
                result.promotions += after.term > state.term and not after.losses
                if (
                    result.depth + 1 + least_steps(after, effect_at_once=rules.effect_at_once)
                    > bounds.steps
                ):
                    continue
                parents[after] = state, kind, about
                if not after.losses:
                    following.append(after)
                    continue
                result.losing += 1
                _add(result.losses, _loss(parents, after))
                if first_only:
                    result.states = len(parents)
                    return result
            if len(parents) > bounds.states:
                result.states = len(parents)
                return result
        result.depth += 1
        frontier = following
    result.states, result.complete = len(parents), True
    return result


def least_steps(state: State, *, effect_at_once: bool = True) -> int:
    """Return the least number of steps after which a commit may be lost."""
    if state.losses:
        return 0
    states = {commit.state for commit in state.commits}
    acknowledged = 2
    if states & {Acked.CONFIRMED, Acked.ANSWERED}:
        acknowledged = 0
    elif Acked.IN_LOG in states:
        acknowledged = 1
    # The server that leads by its own log loses nothing of it before another one was promoted.
    effects = 0 if effect_at_once else 1
    if any(number != state.upstream for number in state.pending):
        return acknowledged + 1
    if any(number != state.upstream for number, _, _ in state.requests):
        return acknowledged + 1 + effects
    holder = state.holder
    acknowledged += effects
    if holder is None or holder.sent:
        # A claim, the end of the hold, a decision and the execution of its request.
        return acknowledged + 4
    told = len(holder.confirmed) + (holder.instance != exploration_state.FRESH)
    held = told == 2 or holder.record_age >= exploration_state.HOLD_LIMIT
    return acknowledged + (2 if held else 3)


def _loss(parents: dict[State, tuple[State, str, str] | None], state: State) -> Loss:
    taken = []
    before = parents[state]
    while before is not None:
        taken.append(before[1:])
        before = parents[before[0]]
    commits = tuple(
        (number, held, state.commits[number].state == Acked.ANSWERED)
        for number, held in state.losses
    )
    return Loss(steps=tuple(reversed(taken)), commits=commits, state=state)


def _add(losses: list[Loss], found: Loss) -> None:
    """Add a loss unless a shorter one rests on no other freedoms."""
    for known in losses:
        if known.freedoms <= found.freedoms and known.commits[-1][1:] == found.commits[-1][1:]:
            return
    losses.append(found)


def describe(loss: Loss) -> str:
    """Describe a losing sequence, with the line of the page for each step."""
    lines = [
        f"{len(loss.steps)} steps; "
        + "; ".join(
            f"c{number} held by {held}, caller {'answered' if answered else 'not answered'}"
            for number, held, answered in loss.commits
        )
    ]
    lines += [
        f"  {kind}{': ' if about else ''}{about}   [{exploration_rules.LINES[kind]}]"
        for kind, about in loss.steps
    ]
    return "\n".join(lines)


def main() -> None:
    """Explore with the bounds of the command line, and print what loses."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--without", nargs="*", choices=list(exploration_rules.LINES), default=[])
    for field in dataclasses.fields(exploration_rules.Bounds):
        if field.name in ("without", "times"):
            continue
        parser.add_argument(f"--{field.name}", type=int, default=field.default)
    names = [field.name for field in dataclasses.fields(exploration_rules.Rules)]
    parser.add_argument("--on", nargs="*", choices=names, default=[])
    parser.add_argument("--off", nargs="*", choices=names, default=[])
    parser.add_argument("--first", action="store_true", help="end at the first loss")
    args = vars(parser.parse_args())
    switches = dict.fromkeys(args.pop("on"), True) | dict.fromkeys(args.pop("off"), False)
    first_only = args.pop("first")
    args["without"] = frozenset(args["without"])
    # All states are kept, and none refers to itself.
    gc.disable()
    began_s = time.monotonic()
    result = explore(
        exploration_rules.Rules(**switches),
        exploration_rules.Bounds(**args),
        first_only=first_only,
    )
    for loss in result.losses:
        print(describe(loss), end="\n\n")
    print(
        f"{result.states} states, all sequences of {result.depth} steps"
        f"{'' if result.complete else ' (bounds not exhausted)'}, {result.losing} losing states in "
        f"{len(result.losses)} classes, {time.monotonic() - began_s:.0f} s; {switches}, {args}"
    )


if __name__ == "__main__":
    main()
