"""The clock by which the age of knowledge is judged."""

import time


def now_s() -> float:
    """Return seconds on a clock that also counts while the process or machine is suspended.

    A monotonic clock stands still meanwhile, so that knowledge would look younger than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
