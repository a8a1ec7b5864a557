"""The days of a run: faults and planned changes at their times."""

import collections.abc
import functools

from mustardswitch_standins.full_run import day_steps, figures, replacement_days, unlisted_days


def release(size: figures.Size) -> day_steps.Day:
    """Release a primary while instances restart in turn; short."""
    del size
    return day_steps.Day(
        steps=[
            day_steps.make_step(3.0, "release", services=1),
            day_steps.make_step(2.0, "roll", share=0.5, gap_s=1.4),
        ],
        length_s=14.0,
    )


def trouble_1(size: figures.Size) -> day_steps.Day:
    """Turn instances away while replicas are deaf, then cut the primary, then lose power."""
    del size
    return day_steps.Day(
        steps=[
            day_steps.make_step(1.94, "deaf", count=1, for_s=6.0),
            day_steps.make_step(1.94, "lag", count=1, factor=65.0, for_s=6.0),
            day_steps.make_step(2.5, "turn_away", share=0.35, for_s=9.0, silent=False),
            day_steps.make_step(7.0, "crash", for_s=4.0, dark=False),
            day_steps.make_step(18.5, "turn_away", share=0.0, for_s=7.0, silent=True),
            day_steps.make_step(28.9, "cut", share=0.592, for_s=4.62, one_way=True),
            day_steps.make_step(34.0, "kill_all", down_s=1.3, servers=False),
        ],
        length_s=44.0,
    )


def trouble_2(size: figures.Size) -> day_steps.Day:
    """Restart all instances in turn twice; release the primaries during the second time."""
    released_s = 23.3 if size.services < 4 else 25.3
    return day_steps.Day(
        steps=[
            day_steps.make_step(1.0, "roll", share=1.0, gap_s=min(2.0, 18.0 / size.instances)),
            day_steps.make_step(11.0, "slow", for_s=4.1, delay_s=0.4),
            day_steps.make_step(released_s, "release", services=size.services),
            day_steps.make_step(released_s - 1.0, "roll", share=0.7, gap_s=1.4),
            day_steps.make_step(25.2, "add", count=max(1, size.instances // 4)),
            day_steps.make_step(34.0, "kill_all", down_s=1.3, servers=True),
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
) -> day_steps.Day:
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
    steps = [day_steps.make_step(at_s, "release", services=size.services)]
    if holder_s:
        steps.append(
            day_steps.make_step(
                at_s, "slow_holder", for_s=holder_s, after_s=(0.0, 0.2), until_s=8.0
            )
        )
    if configured:
        steps += [
            day_steps.make_step(at_s - 0.9, "configure", version=7, timeout_factor=1.2, added=True),
            day_steps.make_step(
                at_s + 0.6, "configure", version=12, timeout_factor=0.9, added=False
            ),
        ]
    if late_s:
        steps.append(
            day_steps.make_step(
                at_s + 0.8,
                "slow_primary",
                delay_s=late_s,
                for_s=8.0,
                executes_late=True,
                orders=late_orders,
            )
        )
    if lag:
        steps.append(day_steps.make_step(at_s - 0.5, "lag", count=1, factor=lag, for_s=6.0))
    if lost_answers:
        steps.append(day_steps.make_step(at_s + 0.5, "lose_answers", count=lost_answers))
    if slow_s:
        steps.append(
            day_steps.make_step(
                at_s + slow_after_s,
                "slow_primary",
                delay_s=slow_s,
                for_s=3.0,
                executes_late=False,
            )
        )
    if frozen:
        steps.append(day_steps.make_step(at_s + 1.0, "freeze", share=frozen, for_s=frozen_s))
    if added:
        steps.append(day_steps.make_step(at_s + 1.9, "add", count=added))
    others = [each for each in day.steps if each.name != "release"]
    if not rolled:
        others = [each for each in others if each.name != "roll"]
    around = day_steps.keep_intervals(steps, length_s=day.length_s)
    return day_steps.Day(steps=[*others, *around.steps], length_s=day.length_s)


def trouble_3(size: figures.Size) -> day_steps.Day:
    """Split the primaries off; let the entries lapse in an outage as all instances are killed."""
    split_s = 7.33 if size.services < 4 else 2.94
    return day_steps.Day(
        steps=[
            day_steps.make_step(split_s - 2.0, "lag", count=1, factor=77.0, for_s=6.0),
            day_steps.make_step(split_s, "split", for_s=7.0),
            day_steps.make_step(31.0, "outage", for_s=4.5, silent=True, lapses=True),
            day_steps.make_step(34.0, "kill_all", down_s=0.9, servers=False),
        ],
        length_s=46.0,
    )


def scale_2(size: figures.Size) -> day_steps.Day:
    """Crash the primaries while replicas are deaf or lag and instances are turned away."""
    return day_steps.Day(
        steps=[
            day_steps.make_step(1.0, "turn_away", share=0.35, for_s=12.0, silent=True),
            day_steps.make_step(2.63, "lag", count=2, factor=60.0, for_s=7.0),
            day_steps.make_step(4.7, "deaf", count=1, for_s=6.3),
            day_steps.make_step(9.62, "crash", for_s=7.16, dark=size.services < 4),
            day_steps.make_step(10.0, "reset", share=0.73),
            day_steps.make_step(23.7, "release", services=size.services),
            day_steps.make_step(30.1, "roll", share=0.42, gap_s=1.49),
            day_steps.make_step(34.0, "kill_all", down_s=0.63, servers=False),
        ],
        length_s=44.0,
    )


def slow_release(size: figures.Size) -> day_steps.Day:
    """Release primaries that answer late, while the store turns some instances away."""
    return day_steps.Day(
        steps=[
            day_steps.make_step(3.0, "turn_away", share=0.35, for_s=9.0, silent=True),
            day_steps.make_step(4.5, "slow_primary", delay_s=0.8, for_s=9.0, executes_late=False),
            day_steps.make_step(6.0, "release", services=size.services),
        ],
        length_s=22.0,
    )


def late_release(size: figures.Size) -> day_steps.Day:
    """Release primaries that execute requests late, while some instances are frozen."""
    return day_steps.Day(
        steps=[
            day_steps.make_step(3.0, "turn_away", share=0.35, for_s=9.0, silent=True),
            day_steps.make_step(4.5, "slow_primary", delay_s=0.8, for_s=9.0, executes_late=True),
            day_steps.make_step(6.0, "release", services=size.services),
            day_steps.make_step(6.5, "freeze", share=0.35, for_s=3.0),
        ],
        length_s=24.0,
    )


def stalled_release(size: figures.Size) -> day_steps.Day:
    """Release primaries that execute nothing for a while, and then what was sent to them."""
    return day_steps.Day(
        steps=[
            day_steps.make_step(5.0, "release", services=size.services),
            day_steps.make_step(5.3, "stall_primary", for_s=2.0),
        ],
        length_s=20.0,
    )


def unanswered_release(size: figures.Size) -> day_steps.Day:
    """Release primaries while promotion calls get no answer and are executed late."""
    return day_steps.Day(
        steps=[
            day_steps.make_step(5.0, "release", services=size.services),
            day_steps.make_step(5.5, "delay_promotions", for_s=2.5, delay_s=2.0),
            day_steps.make_step(7.5, "freeze", share=0.35, for_s=3.5),
        ],
        length_s=24.0,
    )


DAYS: dict[str, day_steps.Make] = {
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
    "replaced-replica-then-crash": replacement_days.replaced_replica_then_end_of_primary,
    "replaced-replica-then-lost-primary": functools.partial(
        replacement_days.replaced_replica_then_end_of_primary, end="end_primary"
    ),
    "deaf-replica-then-crash": functools.partial(
        replacement_days.replaced_replica_then_end_of_primary, deaf_s=(0.05, 0.1, 0.2, 0.4)
    ),
    "deaf-replica-then-lost-primary": functools.partial(
        replacement_days.replaced_replica_then_end_of_primary,
        deaf_s=(0.05, 0.1, 0.2, 0.4),
        end="end_primary",
    ),
    "lost-replica-then-early-leave": functools.partial(
        replacement_days.replaced_replica_then_end_of_primary, drain_s=3.0, end=""
    ),
    "lost-replica-then-late-leave": functools.partial(
        replacement_days.replaced_replica_then_end_of_primary, drain_s=10.0, end="slow"
    ),
    "lost-replica-then-stalled-leave": functools.partial(
        replacement_days.replaced_replica_then_end_of_primary, drain_s=10.0, end="stall"
    ),
    "late-replacement-then-lost-primary": functools.partial(
        replacement_days.replaced_replica_then_end_of_primary,
        killed=1.0,
        killed_s=9.0,
        replaced_s=18.0,
        deaf_s=(0.05, 0.1, 0.2, 0.4),
        end_after_s=(2.0, 3.0, 4.0, 5.0),
        end="end_primary",
        length_s=38.0,
    ),
    "two-lost-primaries": replacement_days.two_ends_of_primaries,
    "unlisted-replica-then-dark-primary": unlisted_days.unlisted_replica_then_dark_primary,
    "unlisted-replica-then-restarts": functools.partial(
        unlisted_days.unlisted_replica_then_dark_primary,
        rolls=((8.5, 0.8), (20.2, 0.3)),
        cut_for_s=38.0,
        deaf_for_s=20.0,
        dark_for_s=14.0,
        length_s=45.0,
    ),
    "unlisted-replica-cut-off-from-some": functools.partial(
        unlisted_days.unlisted_replica_then_dark_primary, roles=("replica",), share=0.4
    ),
    "unlisted-replica-reborn": functools.partial(
        unlisted_days.unlisted_replica_then_dark_primary, roles=("replica",), reborn_after_s=10.0
    ),
    "unlisted-replica-then-power-loss": functools.partial(
        unlisted_days.unlisted_replica_then_dark_primary, rolls=(), killed_s=20.5
    ),
    "silent-primary-after-slow-store": unlisted_days.silent_primary_after_slow_store,
    "silent-primary-beside-unlisted-replica": functools.partial(
        unlisted_days.silent_primary_after_slow_store, cut_s=6.0
    ),
    "turned-away-then-crash": functools.partial(
        replacement_days.replaced_replica_then_end_of_primary, turned_away=0.33
    ),
}
