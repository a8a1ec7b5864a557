"""Limits the processor use of instances, as a quota of a container does."""

import asyncio
import collections.abc
import contextlib
import os
import pathlib
import signal

from mustardswitch_standins.full_run import processes

PERIOD_S = 0.1
"""Period of the quota."""
CHECK_S = 0.01
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


async def keep_throttled(
    instances: collections.abc.Sequence[processes.InstanceProcess], share: float
) -> None:
    """Stop each instance that has used its share of a period until the next one, until cancelled.

    Use is known in units of 10 ms; what exceeds the share counts towards the next periods.
    """
    loop = asyncio.get_running_loop()
    budgets_s: dict[int, float] = {}
    used_s: dict[int, float] = {}
    stopped: set[int] = set()
    period_ends_s = loop.time() + PERIOD_S
    try:
        while True:
            await asyncio.sleep(CHECK_S)
            pids = [each.pid for each in instances if each.pid is not None and not each.suspended]
            renews = loop.time() >= period_ends_s
            if renews:
                period_ends_s = loop.time() + PERIOD_S
            for pid in pids:
                with contextlib.suppress(OSError):
                    now_s = _read_use_s(pid)
                    before_s = used_s.setdefault(pid, now_s)
                    budget_s = budgets_s.get(pid, share * PERIOD_S) - (now_s - before_s)
                    used_s[pid] = now_s
                    if renews:
                        budget_s = min(share * PERIOD_S, budget_s + share * PERIOD_S)
                    budgets_s[pid] = budget_s
                    if budget_s <= 0 and pid not in stopped:
                        os.kill(pid, signal.SIGSTOP)
                        stopped.add(pid)
                    elif budget_s > 0 and pid in stopped:
                        os.kill(pid, signal.SIGCONT)
                        stopped.discard(pid)
    finally:
        for pid in stopped.intersection(each.pid for each in instances):
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGCONT)


def _read_use_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S
