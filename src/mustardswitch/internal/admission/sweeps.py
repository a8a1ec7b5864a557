"""How much time the sweeps over clients' connections count."""

INTERVAL_S = 1.0
"""Time between two sweeps."""
MAX_STEP_S = 2.0
"""Longest time that one sweep counts: a process that was stopped must not end the connections whose
messages arrived meanwhile."""


def elapsed_s(*, last_sweep_s: float | None, now_s: float) -> float:
    """Return the time that a sweep counts; ``last_sweep_s`` is None for the first one."""
    since_s = INTERVAL_S if last_sweep_s is None else now_s - last_sweep_s
    return min(MAX_STEP_S, since_s)
