"""Starts and failures of servers, replayed with the limit and without it.

``python -m tests.common.pace_scenarios`` prints the table of docs/design/pace.md.
"""

import collections.abc

from tests.common import pace_world

SEEDS = (1, 2, 3)
SETTLED_S = 5.0
"""Time for which the servers answer before anything happens."""
OUTAGE_S, OBSERVED_S = 1.0, 10.0

Scenario = collections.abc.Callable[[pace_world.World], None]


def constant(factor: float) -> pace_world.Factor:
    """Return the factor of a server that does not warm up."""
    return lambda since_s: factor


def warming(factor: float, duration_s: float = 6.0) -> pace_world.Factor:
    """Return the factor of a server that warms up evenly."""
    return lambda since_s: factor - (factor - 1.0) * min(1.0, since_s / duration_s)


def restart(factor: pace_world.Factor, hint_s: float = 6.0) -> Scenario:
    """A replica crashes and starts again."""

    def play(world: pace_world.World) -> None:
        world.crash(2)
        world.run(world.now_s + OUTAGE_S)
        world.observe(2)
        world.start(2, factor, hint_s=hint_s)
        world.run(world.now_s + OBSERVED_S)

    return play


def fails_half_way(world: pace_world.World) -> None:
    """A replica crashes again while it warms up."""
    world.crash(2)
    world.run(world.now_s + OUTAGE_S)
    world.observe(2)
    world.start(2, warming(8.0), hint_s=6.0)
    world.run(world.now_s + 3.0)
    world.crash(2)
    world.run(world.now_s + OUTAGE_S)
    world.start(2, warming(8.0), hint_s=6.0)
    world.run(world.now_s + OBSERVED_S)


def power_failure(world: pace_world.World) -> None:
    """All servers lose power and start together."""
    for server in range(3):
        world.crash(server)
    world.run(world.now_s + 2.0)
    world.observe(2)
    for server in range(3):
        world.start(server, warming(8.0), hint_s=6.0)
    world.run(world.now_s + OBSERVED_S)


def flapping(world: pace_world.World) -> None:
    """A replica starts cold and crashes, eight times."""
    world.observe(2)
    for _ in range(8):
        world.crash(2)
        world.run(world.now_s + 0.7)
        world.start(2, warming(8.0), hint_s=6.0)
        world.run(world.now_s + 0.7)
    world.run(world.now_s + 5.0)


def new_primary(factor: float) -> Scenario:
    """The primary crashes, and a replica leads whose work takes longer from then on."""

    def play(world: pace_world.World) -> None:
        world.crash(0)
        world.observe(1)
        world.servers[1].factor = warming(factor)
        world.servers[1].started_s = world.now_s
        world.lead(1)
        world.run(world.now_s + OBSERVED_S)

    return play


SCENARIOS: dict[str, tuple[Scenario, dict[str, float]]] = {
    "healthy restart": (restart(constant(1.0), 0.0), {}),
    "healthy restart, busy": (restart(constant(1.0), 0.0), {"reads_per_s": 520}),
    "1.6 times, warms up": (restart(warming(1.6)), {}),
    "1.6 times, never warms up, busy": (restart(constant(1.6)), {"reads_per_s": 560}),
    "8 times, warms up": (restart(warming(8.0)), {}),
    "8 times, warms up, busy": (restart(warming(8.0)), {"reads_per_s": 520}),
    "8 times, warms up, no hint, busy": (restart(warming(8.0), 0.0), {"reads_per_s": 520}),
    "8 times, never warms up": (restart(constant(8.0)), {}),
    "8 times, never warms up, busy": (restart(constant(8.0)), {"reads_per_s": 520}),
    "8 times, one gateway, busy": (restart(warming(8.0)), {"reads_per_s": 520, "gateways": 1}),
    "8 times, one of six gateways used, busy": (
        restart(warming(8.0)),
        {"reads_per_s": 520, "gateways": 1, "unused_gateways": 5},
    ),
    "8 times, fails half-way": (fails_half_way, {}),
    "8 times, flaps": (flapping, {}),
    "power failure, 8 times": (power_failure, {"reads_per_s": 150}),
    "power failure, 8 times, busy": (power_failure, {"reads_per_s": 400}),
    "new primary, warm": (new_primary(1.0), {"reads_per_s": 300, "writes_per_s": 40}),
    "new primary, 3 times": (new_primary(3.0), {"reads_per_s": 300, "writes_per_s": 40}),
    "new primary, 8 times": (new_primary(8.0), {"reads_per_s": 300, "writes_per_s": 40}),
}


def replay(name: str, *, paced: bool) -> pace_world.Figures:
    """Play a scenario with each seed; return the figures of all together."""
    play, changes = SCENARIOS[name]
    total = pace_world.Figures()
    for seed in SEEDS:
        world = pace_world.World(paced=paced, seed=seed, **changes)
        world.run(SETTLED_S)
        play(world)
        total.add(world.figures)
    return total


def main() -> None:
    """Print the table."""
    print(
        "| case | limit | within 0.25 s | late | rejected | errors | p99 | idle | most in flight |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for name in SCENARIOS:
        for paced in (False, True):
            figures = replay(name, paced=paced)
            print(f"| {name} | {'on' if paced else 'off'} | {figures.row()} |")


if __name__ == "__main__":
    main()
