"""Days on which servers lose their entries in the store, and go on confirming commits."""

import collections.abc

from mustardswitch_standins.full_run import day_steps, figures


def unlisted_replica_then_dark_primary(
    size: figures.Size,
    *,
    roles: collections.abc.Sequence[str] = ("primary", "replica", "primary"),
    cut_s: float = 4.0,
    cut_for_s: float = 25.0,
    share: float = 0.0,
    reborn_after_s: float | None = None,
    rolls: collections.abc.Sequence[tuple[float, float]] = ((8.5, 1.6),),
    killed_s: float | None = None,
    deaf_s: float = 19.0,
    deaf_for_s: float = 9.0,
    dark_s: float = 21.5,
    dark_for_s: float = 9.0,
    length_s: float = 38.0,
) -> day_steps.Day:
    """Cut a server of each service off from the store; make a replica deaf and a primary dark.

    The server without an entry alone confirms commits while the listed replica is deaf. It is the
    one with the role in ``roles``, in turn for each service, and is cut off from a ``share`` of the
    instances as well; see ``fault_cut_from_store``. All instances restart in each of the ``rolls``,
    which are times and the intervals between two instances, and are killed at once at
    ``killed_s``.
    """
    names = figures.service_names(size)
    steps = [
        day_steps.make_step(
            cut_s,
            "cut_from_store",
            roles=roles,
            for_s=cut_for_s,
            share=share,
            reborn_after_s=reborn_after_s,
        ),
        day_steps.on_servers(deaf_s, "deaf", names, count=1, for_s=deaf_for_s, listed=True),
        day_steps.on_servers(dark_s, "crash", names, for_s=dark_for_s, dark=True),
    ]
    steps += [
        day_steps.make_step(at_s, "roll", share=1.0, gap_s=gap_s * 6 / size.instances)
        for at_s, gap_s in rolls
    ]
    if killed_s is not None:
        steps.append(day_steps.make_step(killed_s, "kill_all", down_s=0.9, servers=False))
    return day_steps.Day(steps=steps, length_s=length_s)


def silent_primary_after_slow_store(
    size: figures.Size,
    *,
    late_s: float = 3.0,
    cut_s: float | None = None,
    deaf_s: float = 13.5,
    silent_s: float = 15.2,
    silent_for_s: float = 7.5,
    length_s: float = 32.0,
) -> day_steps.Day:
    """Make the primaries dark after heartbeats were late, instances restarted and the store slow.

    Heartbeats are up to ``late_s`` late, so that entries expire. A listed replica is deaf as the
    primary becomes dark. From ``cut_s`` on, another server is cut off from the store.
    """
    names = figures.service_names(size)
    steps = [
        day_steps.on_servers(0.6, "late_heartbeats", names, late_s=late_s, for_s=20.0),
        day_steps.make_step(1.0, "roll", share=1.0, gap_s=min(2.0, 18.0 / size.instances)),
        day_steps.make_step(11.0, "slow", for_s=4.1, delay_s=0.4),
        day_steps.on_servers(deaf_s, "deaf", names, count=1, for_s=9.0, listed=True),
        day_steps.on_servers(silent_s, "crash", names, for_s=silent_for_s, dark=True),
    ]
    if cut_s is not None:
        steps.append(
            day_steps.make_step(cut_s, "cut_from_store", roles=("replica",), for_s=20.0, share=0.0)
        )
    return day_steps.Day(steps=steps, length_s=length_s)
