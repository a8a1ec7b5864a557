"""Days on which primaries end while replacements are not listed yet."""

import collections.abc

from mustardswitch_standins.full_run import day_steps, figures


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
) -> day_steps.Day:
    """End the primaries while a replacement that is not listed confirms what the others miss.

    A replica of each service is lost and some instances are killed; its replacement starts after
    the instances have. The listed replicas lag by a factor, or receive nothing from some seconds
    before the ``end`` of the primary on, which comes some seconds after the start of the
    replacement. Sequences give a value for each service, in turn. With ``drain_s``, it is the
    primary that is replaced, and it ends that long after its report.
    """
    names = figures.service_names(size)
    followed = [day_steps.on_servers(lost_s, "lose", names)]
    if killed:
        followed.append(day_steps.make_step(killed_s, "kill", share=killed, down_s=3.0))
    if turned_away:
        followed.append(
            day_steps.make_step(
                lost_s + 1.0,
                "turn_away",
                share=turned_away,
                for_s=9.0,
                silent=False,
                revokes=True,
            )
        )
    if drain_s is None:
        followed.append(day_steps.on_servers(replaced_s, "replace", names))
    else:
        followed.append(day_steps.on_servers(replaced_s, "release", names, drain_s=drain_s))
    for number, name in enumerate(names):
        ends_s = replaced_s + end_after_s[number % len(end_after_s)]
        if deaf_s:
            deaf_from_s = ends_s - deaf_s[number % len(deaf_s)]
            followed.append(
                day_steps.on_servers(deaf_from_s, "deaf", [name], count=2, for_s=6.5, listed=True)
            )
        else:
            factor = lag[number % len(lag)]
            followed.append(
                day_steps.on_servers(
                    ends_s - 2.0, "lag", [name], count=2, factor=factor, for_s=6.5, listed=True
                )
            )
        if end:
            followed.append(day_steps.on_servers(ends_s, end, [name], **(end_fields or ENDS[end])))
    if killed_at_end:
        at_s = replaced_s + min(end_after_s)
        followed.append(day_steps.make_step(at_s, "kill", share=killed_at_end, down_s=down_s))
    return day_steps.keep_intervals(followed, length_s=length_s)


def two_ends_of_primaries(
    size: figures.Size,
    *,
    killed: float = 0.0,
    replaced_s: float = 11.0,
    deaf_s: collections.abc.Sequence[float] = (0.05, 0.1, 0.15, 0.25),
    end_after_s: collections.abc.Sequence[float] = (1.0, 2.0, 3.0, 4.0),
) -> day_steps.Day:
    """Lose the primaries, and then their successors while replacements are not listed yet.

    The only other listed replica receives nothing from some seconds before the second end on.
    Sequences give a value for each service, in turn.
    """
    names = figures.service_names(size)
    followed = [
        day_steps.on_servers(5.0, "end_primary", names),
        day_steps.on_servers(replaced_s, "replace", names),
    ]
    if killed:
        followed.append(day_steps.make_step(5.0, "kill", share=killed, down_s=0.5))
    for number, name in enumerate(names):
        ends_s = replaced_s + end_after_s[number % len(end_after_s)]
        deaf_from_s = ends_s - deaf_s[number % len(deaf_s)]
        followed += [
            day_steps.on_servers(deaf_from_s, "deaf", [name], count=2, for_s=6.5, listed=True),
            day_steps.on_servers(ends_s, "end_primary", [name]),
        ]
    return day_steps.keep_intervals(followed, length_s=replaced_s + 19.0)


ENDS: dict[str, dict] = {
    "crash": {"for_s": 7.0},
    "end_primary": {},
    "stall": {"for_s": 2.0},
    "slow": {"delay_s": 0.8, "for_s": 6.0, "executes_late": True},
}
"""Faults of a primary that is replaced, and their fields."""
