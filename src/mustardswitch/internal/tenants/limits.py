"""Decides whether an instance may start an operation of a tenant under the tenant's rate limit.

The limit is split evenly among the tenant's homes, so that no instance needs to ask another one, or
the store, about an operation. Each home has a token bucket for its share. Each instance has in
addition an allowance, a token bucket that is filled from the tolerance in the users' rule: in any
window of ``WINDOW_S`` at most ``TOLERATED_EXCESS`` times (rate x window + burst), plus
``TOLERATED_OPERATIONS``.
"""

import dataclasses
import math

WINDOW_S = 5.0
"""Window of the users' rule."""
TOLERATED_EXCESS = 0.1
"""Tolerance of the rule, as a fraction of the limit."""
TOLERATED_OPERATIONS = 20.0
"""Tolerance of the rule in operations, whatever the limit."""
HOME_ALLOWANCE = 0.5
"""Fraction of the tolerance that the homes may spend together."""
OTHER_ALLOWANCE = 0.4
"""Fraction of the tolerance for instances that run operations in place of the homes: those that are
used when no home can be reached, and homes that are cut off from the store. It is sized for as many
of them at a time as there are homes. They are rarely used, so the fraction is usually left for
reads that two servers run."""
MIN_CAPACITY = 1.0
"""Least capacity in operations of the bucket of a home's share, without which a small share would
never reach one operation."""
MIN_CAPACITY_FRACTION = 0.1
"""Fraction of the tolerance that the least capacities of all homes may take."""
EPSILON = 1e-9
"""Rounding error that a level may have when it reaches one operation."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limit:
    """Limit of a tenant's operations over all instances."""

    rate_per_s: float
    burst: float

    @property
    def tolerance(self) -> float:
        """Operations beyond the limit that the rule tolerates in a window."""
        in_window = self.rate_per_s * WINDOW_S + self.burst
        return TOLERATED_EXCESS * in_window + TOLERATED_OPERATIONS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Role:
    """What an instance is for a tenant by a list of instances."""

    homes: int = 1
    """Homes of the tenant in all regions."""
    is_home: bool = False
    is_next: bool = False
    """Whether it is used when no home can be reached."""

    @property
    def fraction(self) -> float:
        """Fraction of the tenant's limit that is the instance's share."""
        return 1.0 / max(1, self.homes) if self.is_home else 0.0


class Bucket:
    """A token bucket: ``rate_per_s`` flows in up to ``capacity``; it is empty at the start."""

    def __init__(self, *, now_s: float) -> None:
        self.rate_per_s = 0.0
        self.capacity = 0.0
        self.level = 0.0
        self.at_s = now_s

    def __repr__(self) -> str:
        return f"Bucket(rate_per_s={self.rate_per_s!r}, level={self.level!r})"

    def advance(self, now_s: float) -> None:
        """Add what has flowed in since the last call."""
        if now_s > self.at_s:
            inflow = self.rate_per_s * (now_s - self.at_s)
            self.level = min(self.capacity, self.level + inflow)
            self.at_s = now_s

    def resize(self, *, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Change rate and capacity from now on; what no longer fits is lost."""
        self.advance(now_s)
        self.rate_per_s, self.capacity = rate_per_s, capacity
        self.level = min(self.level, capacity)

    def take(self, wanted: float) -> float:
        """Take up to ``wanted`` and return how much."""
        taken = max(0.0, min(wanted, self.level))
        self.level -= taken
        return taken


class TenantLimit:
    """One tenant's limit as one instance applies it."""

    def __init__(self, *, limit: Limit, started_s: float) -> None:
        self.limit = limit
        self.role = Role()
        self.share = Bucket(now_s=started_s)
        self.allowance = Bucket(now_s=started_s)
        """It fills up from the instance's start on, whether or not the instance is a home."""

    def __repr__(self) -> str:
        return f"TenantLimit(limit={self.limit!r}, role={self.role!r})"

    def update(self, *, limit: Limit, role: Role, now_s: float) -> None:
        """Apply the limit and the role that are in force now."""
        self.limit, self.role = limit, role
        self._resize(now_s)

    def _resize(self, now_s: float) -> None:
        limit, role = self.limit, self.role
        tolerance = limit.tolerance / max(1, role.homes)
        least = min(MIN_CAPACITY, MIN_CAPACITY_FRACTION * tolerance) if role.fraction else 0.0
        self.share.resize(
            rate_per_s=limit.rate_per_s * role.fraction,
            capacity=limit.burst * role.fraction + least,
            now_s=now_s,
        )
        part = HOME_ALLOWANCE if role.is_home else OTHER_ALLOWANCE if role.is_next else 0.0
        half = part * tolerance / 2
        self.allowance.resize(rate_per_s=half / WINDOW_S, capacity=half, now_s=now_s)

    def admit(self, now_s: float) -> bool:
        """Return whether an operation may start, and count it if so."""
        buckets = (self.share, self.allowance)
        for bucket in buckets:
            bucket.advance(now_s)
        if sum(bucket.level for bucket in buckets) < 1.0 - EPSILON:
            return False
        wanted = 1.0
        for bucket in buckets:
            wanted -= bucket.take(wanted)
        return True

    def wait_s(self, now_s: float) -> float:
        """Return in how many seconds the next operation may start; infinite if it may not."""
        buckets = (self.share, self.allowance)
        for bucket in buckets:
            bucket.advance(now_s)
        missing = 1.0 - sum(bucket.level for bucket in buckets)
        inflow = sum(bucket.rate_per_s for bucket in buckets)
        if missing <= EPSILON:
            return 0.0
        return missing / inflow if inflow > 0 else math.inf
