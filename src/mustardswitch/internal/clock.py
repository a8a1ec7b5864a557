"""The clock that measures how old cached state is."""

import time


def now_s() -> float:
    """Return seconds on a clock that also runs while the process or machine is suspended.

    ``time.monotonic`` does not run meanwhile, so state would look younger than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
