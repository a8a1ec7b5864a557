"""The days of a run: faults and planned changes at their times, varied by a seed."""

import collections.abc
import dataclasses
import functools
import random

from mustardswitch_standins.full_run import figures

VARIATION_S = 0.4
"""Limit on the change of each time by the seed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """A fault or a planned change and its time in seconds from the start of the callers."""

    at_s: float
    name: str
    fields: dict = dataclasses.field(default_factory=dict)
    follows: bool = False
    """Whether its time changes with that of the step before, so that the interval is kept."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Day:
    """The steps of a day and the time in seconds at which it ends."""

    steps: list[Step]
    length_s: float


Make = collections.abc.Callable[..., Day]
"""Makes a day for a size; some take further arguments that replace their defaults."""


def _step(at_s: float, name: str, **fields: object) -> Step:
    return Step(at_s=at_s, name=name, fields=fields)


def release(size: figures.Size) -> Day:
    """Release a primary while instances restart in turn; short."""
    del size
    return Day(
        steps=[
            _step(3.0, "release", services=1),
            _step(2.0, "roll", share=0.5, gap_s=1.4),
        ],
        length_s=14.0,
    )


def trouble_1(size: figures.Size) -> Day:
    """Turn instances away while replicas are deaf, then cut the primary, then lose power."""
    del size
    return Day(
        steps=[
            _step(1.94, "deaf", count=1, for_s=6.0),
            _step(1.94, "lag", count=1, factor=65.0, for_s=6.0),
            _step(2.5, "turn_away", share=0.35, for_s=9.0, silent=False),
            _step(7.0, "crash", for_s=4.0, dark=False),
            _step(18.5, "turn_away", share=0.0, for_s=7.0, silent=True),
            _step(28.9, "cut", share=0.592, for_s=4.62, one_way=True),
            _step(34.0, "kill_all", down_s=1.3, servers=False),
        ],
        length_s=44.0,
    )


def trouble_2(size: figures.Size) -> Day:
    """Restart all instances in turn twice; release the primaries during the second time."""
    released_s = 23.3 if size.services < 4 else 25.3
    return Day(
        steps=[
            _step(1.0, "roll", share=1.0, gap_s=min(2.0, 18.0 / size.instances)),
            _step(11.0, "slow", for_s=4.1, delay_s=0.4),
            _step(released_s, "release", services=size.services),
            _step(released_s - 1.0, "roll", share=0.7, gap_s=1.4),
            _step(25.2, "add", count=max(1, size.instances // 4)),
            _step(34.0, "kill_all", down_s=1.3, servers=True),
        ],
        length_s=44.0,
    )


def release_at_worst(
    size: figures.Size,
    *,
    base: str = "release",
    rolled: bool = False,
    late_s: float = 1.0,
    late_orders: bool = False,
    holder_s: collections.abc.Sequence[float] = (),
    lag: float = 0.0,
    lost_answers: int = 0,
    frozen: float = 0.0,
    frozen_s: float = 1.9,
    slow_s: float = 0.0,
    slow_after_s: float = 1.9,
    added: int = 1,
    configured: bool = True,
) -> Day:
    """Release the primaries of another day while writes wait in them.

    From the report that it leaves on, a primary executes what may commit ``late_s`` late on
    average, and with ``late_orders`` all else as well. Each holder of a claim is suspended for a
    time in ``holder_s`` once its promotion of the present primary was accepted. A ``frozen`` share
    of the instances is suspended for ``frozen_s`` from the first report on, so that these do not
    learn of the change. From ``slow_after_s`` on, primaries answer ``slow_s`` late. Instances
    restart in turn if the base day is ``rolled``.
    """
    day = {"release": release, "trouble-2": trouble_2}[base](size)
    at_s = next(each.at_s for each in day.steps if each.name == "release")
    steps = [_step(at_s, "release", services=size.services)]
    if holder_s:
        steps.append(_step(at_s, "slow_holder", for_s=holder_s, after_s=(0.0, 0.2), until_s=8.0))
    if configured:
        steps += [
            _step(at_s - 0.9, "configure", version=7, timeout_factor=1.2, added=True),
            _step(at_s + 0.6, "configure", version=12, timeout_factor=0.9, added=False),
        ]
    if late_s:
        steps.append(
            _step(
                at_s + 0.8,
                "slow_primary",
                delay_s=late_s,
                for_s=8.0,
                executes_late=True,
                orders=late_orders,
            )
        )
    if lag:
        steps.append(_step(at_s - 0.5, "lag", count=1, factor=lag, for_s=6.0))
    if lost_answers:
        steps.append(_step(at_s + 0.5, "lose_answers", count=lost_answers))
    if slow_s:
        steps.append(
            _step(
                at_s + slow_after_s,
                "slow_primary",
                delay_s=slow_s,
                for_s=3.0,
                executes_late=False,
            )
        )
    if frozen:
        steps.append(_step(at_s + 1.0, "freeze", share=frozen, for_s=frozen_s))
    if added:
        steps.append(_step(at_s + 1.9, "add", count=added))
    others = [each for each in day.steps if each.name != "release"]
    if not rolled:
        others = [each for each in others if each.name != "roll"]
    around = _keep_intervals(steps, length_s=day.length_s)
    return Day(steps=[*others, *around.steps], length_s=day.length_s)


def trouble_3(size: figures.Size) -> Day:
    """Split the primaries off; let the entries lapse in an outage as all instances are killed."""
    split_s = 7.33 if size.services < 4 else 2.94
    return Day(
        steps=[
            _step(split_s - 2.0, "lag", count=1, factor=77.0, for_s=6.0),
            _step(split_s, "split", for_s=7.0),
            _step(31.0, "outage", for_s=4.5, silent=True, lapses=True),
            _step(34.0, "kill_all", down_s=0.9, servers=False),
        ],
        length_s=46.0,
    )


def scale_2(size: figures.Size) -> Day:
    """Crash the primaries while replicas are deaf or lag and instances are turned away."""
    return Day(
        steps=[
            _step(1.0, "turn_away", share=0.35, for_s=12.0, silent=True),
            _step(2.63, "lag", count=2, factor=60.0, for_s=7.0),
            _step(4.7, "deaf", count=1, for_s=6.3),
            _step(9.62, "crash", for_s=7.16, dark=size.services < 4),
            _step(10.0, "reset", share=0.73),
            _step(23.7, "release", services=size.services),
            _step(30.1, "roll", share=0.42, gap_s=1.49),
            _step(34.0, "kill_all", down_s=0.63, servers=False),
        ],
        length_s=44.0,
    )


def slow_release(size: figures.Size) -> Day:
    """Release primaries that answer late, while the store turns some instances away."""
    return Day(
        steps=[
            _step(3.0, "turn_away", share=0.35, for_s=9.0, silent=True),
            _step(4.5, "slow_primary", delay_s=0.8, for_s=9.0, executes_late=False),
            _step(6.0, "release", services=size.services),
        ],
        length_s=22.0,
    )


def late_release(size: figures.Size) -> Day:
    """Release primaries that execute requests late, while some instances are frozen."""
    return Day(
        steps=[
            _step(3.0, "turn_away", share=0.35, for_s=9.0, silent=True),
            _step(4.5, "slow_primary", delay_s=0.8, for_s=9.0, executes_late=True),
            _step(6.0, "release", services=size.services),
            _step(6.5, "freeze", share=0.35, for_s=3.0),
        ],
        length_s=24.0,
    )


def stalled_release(size: figures.Size) -> Day:
    """Release primaries that execute nothing for a while, and then what was sent to them."""
    return Day(
        steps=[
            _step(5.0, "release", services=size.services),
            _step(5.3, "stall_primary", for_s=2.0),
        ],
        length_s=20.0,
    )


def unanswered_release(size: figures.Size) -> Day:
    """Release primaries while promotion calls get no answer and are executed late."""
    return Day(
        steps=[
            _step(5.0, "release", services=size.services),
            _step(5.5, "delay_promotions", for_s=2.5, delay_s=2.0),
            _step(7.5, "freeze", share=0.35, for_s=3.5),
        ],
        length_s=24.0,
    )


def replaced_replica_then_end_of_primary(
    size: figures.Size,
    *,
    killed: float = 0.65,
    killed_at_end: float = 0.0,
    down_s: float = 2.0,
    lag: collections.abc.Sequence[float] = (60.0, 80.0, 70.0, 60.0),
    deaf_s: collections.abc.Sequence[float] = (),
    end: str = "crash",
    end_after_s: collections.abc.Sequence[float] = (0.3, 0.6, 1.0, 2.0),
    end_fields: dict | None = None,
    drain_s: float | None = None,
    turned_away: float = 0.0,
    lost_s: float = 4.0,
    killed_s: float = 4.0,
    replaced_s: float = 10.0,
    length_s: float = 30.0,
) -> Day:
    """End the primaries while a replacement that is not listed confirms what the others miss.

    A replica of each service is lost and some instances are killed; its replacement starts after
    the instances have. The listed replicas lag by a factor, or receive nothing from some seconds
    before the ``end`` of the primary on, which comes some seconds after the start of the
    replacement. Sequences give a value for each service, in turn. With ``drain_s``, it is the
    primary that is replaced, and it ends that long after its report.
    """
    names = figures.service_names(size)
    followed = [_on_servers(lost_s, "lose", names)]
    if killed:
        followed.append(_step(killed_s, "kill", share=killed, down_s=3.0))
    if turned_away:
        followed.append(
            _step(
                lost_s + 1.0,
                "turn_away",
                share=turned_away,
                for_s=9.0,
                silent=False,
                revokes=True,
            )
        )
    if drain_s is None:
        followed.append(_on_servers(replaced_s, "replace", names))
    else:
        followed.append(_on_servers(replaced_s, "release", names, drain_s=drain_s))
    for number, name in enumerate(names):
        ends_s = replaced_s + end_after_s[number % len(end_after_s)]
        if deaf_s:
            deaf_from_s = ends_s - deaf_s[number % len(deaf_s)]
            followed.append(
                _on_servers(deaf_from_s, "deaf", [name], count=2, for_s=6.5, listed=True)
            )
        else:
            factor = lag[number % len(lag)]
            followed.append(
                _on_servers(
                    ends_s - 2.0, "lag", [name], count=2, factor=factor, for_s=6.5, listed=True
                )
            )
        if end:
            followed.append(_on_servers(ends_s, end, [name], **(end_fields or ENDS[end])))
    if killed_at_end:
        at_s = replaced_s + min(end_after_s)
        followed.append(_step(at_s, "kill", share=killed_at_end, down_s=down_s))
    return _keep_intervals(followed, length_s=length_s)


def two_ends_of_primaries(
    size: figures.Size,
    *,
    killed: float = 0.0,
    replaced_s: float = 11.0,
    deaf_s: collections.abc.Sequence[float] = (0.05, 0.1, 0.15, 0.25),
    end_after_s: collections.abc.Sequence[float] = (1.0, 2.0, 3.0, 4.0),
) -> Day:
    """Lose the primaries, and then their successors while replacements are not listed yet.

    The only other listed replica receives nothing from some seconds before the second end on.
    Sequences give a value for each service, in turn.
    """
    names = figures.service_names(size)
    followed = [_on_servers(5.0, "end_primary", names), _on_servers(replaced_s, "replace", names)]
    if killed:
        followed.append(_step(5.0, "kill", share=killed, down_s=0.5))
    for number, name in enumerate(names):
        ends_s = replaced_s + end_after_s[number % len(end_after_s)]
        deaf_from_s = ends_s - deaf_s[number % len(deaf_s)]
        followed += [
            _on_servers(deaf_from_s, "deaf", [name], count=2, for_s=6.5, listed=True),
            _on_servers(ends_s, "end_primary", [name]),
        ]
    return _keep_intervals(followed, length_s=replaced_s + 19.0)


ENDS: dict[str, dict] = {
    "crash": {"for_s": 7.0},
    "end_primary": {},
    "stall": {"for_s": 2.0},
    "slow": {"delay_s": 0.8, "for_s": 6.0, "executes_late": True},
}
"""Faults of a primary that is replaced, and their fields."""


def _keep_intervals(steps: list[Step], *, length_s: float) -> Day:
    """Return a day whose steps all change their times with the first one."""
    first, *others = sorted(steps, key=lambda step: step.at_s)
    followed = [dataclasses.replace(each, follows=True) for each in others]
    return Day(steps=[first, *followed], length_s=length_s)


def _on_servers(at_s: float, fault: str, services: list[str], **fields: object) -> Step:
    return _step(at_s, "on_servers", fault=fault, services=services, **fields)


DAYS: dict[str, Make] = {
    "release": release,
    "trouble-1": trouble_1,
    "trouble-2": trouble_2,
    "trouble-3": trouble_3,
    "release-at-worst": release_at_worst,
    "scale-2": scale_2,
    "slow-release": slow_release,
    "late-release": late_release,
    "stalled-release": stalled_release,
    "unanswered-release": unanswered_release,
    "replaced-replica-then-crash": replaced_replica_then_end_of_primary,
    "replaced-replica-then-lost-primary": functools.partial(
        replaced_replica_then_end_of_primary, end="end_primary"
    ),
    "deaf-replica-then-crash": functools.partial(
        replaced_replica_then_end_of_primary, deaf_s=(0.05, 0.1, 0.2, 0.4)
    ),
    "deaf-replica-then-lost-primary": functools.partial(
        replaced_replica_then_end_of_primary, deaf_s=(0.05, 0.1, 0.2, 0.4), end="end_primary"
    ),
    "lost-replica-then-early-leave": functools.partial(
        replaced_replica_then_end_of_primary, drain_s=3.0, end=""
    ),
    "lost-replica-then-late-leave": functools.partial(
        replaced_replica_then_end_of_primary, drain_s=10.0, end="slow"
    ),
    "lost-replica-then-stalled-leave": functools.partial(
        replaced_replica_then_end_of_primary, drain_s=10.0, end="stall"
    ),
    "late-replacement-then-lost-primary": functools.partial(
        replaced_replica_then_end_of_primary,
        killed=1.0,
        killed_s=9.0,
        replaced_s=18.0,
        deaf_s=(0.05, 0.1, 0.2, 0.4),
        end_after_s=(2.0, 3.0, 4.0, 5.0),
        end="end_primary",
        length_s=38.0,
    ),
    "two-lost-primaries": two_ends_of_primaries,
    "turned-away-then-crash": functools.partial(
        replaced_replica_then_end_of_primary, turned_away=0.33
    ),
}


def vary(day: Day, source: random.Random) -> Day:
    """Return a day whose steps have changed times, in their order."""
    steps = []
    shift_s = 0.0
    for step in day.steps:
        if not step.follows:
            shift_s = source.uniform(-VARIATION_S, VARIATION_S)
        steps.append(dataclasses.replace(step, at_s=max(0.5, step.at_s + shift_s)))
    return Day(steps=sorted(steps, key=lambda step: step.at_s), length_s=day.length_s)
