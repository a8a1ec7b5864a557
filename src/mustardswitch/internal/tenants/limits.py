"""Decides whether an instance may start an operation of a tenant under the tenant's rate limit.

The limit is split evenly among the tenant's homes, so that no instance needs to ask another one, or
the store, about an operation. Each home has a token bucket for its share. Each instance has in
addition an allowance, a token bucket that is filled from the tolerance in the users' rule: in any
window of ``WINDOW_S`` at most ``TOLERATED_EXCESS`` times (rate x window + burst), plus
``TOLERATED_OPERATIONS``.
"""

import dataclasses
import math

from mustardswitch.internal import ids
from mustardswitch.internal.tenants import handover

WINDOW_S = 5.0
"""Window of the users' rule."""
TOLERATED_EXCESS = 0.1
"""Tolerance of the rule, as a fraction of the limit."""
TOLERATED_OPERATIONS = 20.0
"""Tolerance of the rule in operations, whatever the limit."""
HOME_ALLOWANCE = 0.4
"""Fraction of the tolerance that the homes may spend together."""
OTHER_ALLOWANCE = 0.3
"""Fraction of the tolerance for instances that run operations in place of the homes: those that are
used when no home can be reached, and homes that are cut off from the store. It is sized for as many
of them at a time as there are homes. They are rarely used, so the fraction is usually left for
reads that two servers run. A fifth of the tolerance is left for ``SENDING_S``."""
MIN_CAPACITY = 1.0
"""Least capacity in operations of the bucket of a home's share, without which a small share would
never reach one operation."""
MIN_CAPACITY_FRACTION = 0.1
"""Fraction of the tolerance that the least capacities of all homes may take."""
DEMAND_WINDOW_S = 1.0
"""Time constant of the demand by which shares are lent and borrowed."""
BORROW_AHEAD_S = 0.25
"""Time for which what an instance has must suffice, otherwise it borrows; a few round trips between
regions."""
SENDING_S = 0.1
"""Variation of the time for which operations wait before they are sent that does not matter. Those
that waited longer, for a new primary for instance, are sent only as fast as the limit allows;
otherwise they would run in one window with those that are admitted in it. What a tenant's rate adds
to a window in this time is at most a fifth of the tolerance."""
BORROW_MARGIN = 1.2
"""Multiple of the recent demand that an instance keeps or borrows."""
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


class Demand:
    """Recent operations per second, those that were refused included."""

    def __init__(self, *, now_s: float) -> None:
        self.rate_per_s = 0.0
        self.at_s = now_s

    def __repr__(self) -> str:
        return f"Demand(rate_per_s={self.rate_per_s!r})"

    def note(self, now_s: float) -> None:
        """Count one operation."""
        self.rate_per_s = self.at(now_s) + 1.0 / DEMAND_WINDOW_S
        self.at_s = max(self.at_s, now_s)

    def at(self, now_s: float) -> float:
        """Return the rate, in which older operations count exponentially less."""
        return self.rate_per_s * math.exp(-max(0.0, now_s - self.at_s) / DEMAND_WINDOW_S)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Loan:
    """Part of a home's share that another instance uses until ``until_s``.

    The lender counts it as its own spending until its ``until_s``, which is later.
    """

    rate_per_s: float
    capacity: float
    """Part of the bucket's capacity."""
    level: float
    """Operations that were in the lender's bucket; at most ``capacity``."""
    until_s: float


class TenantLimit:
    """One tenant's limit as one instance applies it."""

    def __init__(self, *, limit: Limit, started_s: float) -> None:
        self.limit = limit
        self.role = Role()
        self.grant = handover.Grant()
        self.connected = False
        """Whether the registration and the list of this instance are certainly valid."""
        self.share = Bucket(now_s=started_s)
        self.borrowed = Bucket(now_s=started_s)
        self.allowance = Bucket(now_s=started_s)
        """It fills up from the instance's start on, whether or not the instance is a home."""
        self.demand = Demand(now_s=started_s)
        self.loans_given: dict[ids.InstanceId, list[Loan]] = {}
        """Loans to each borrower. It uses one of them at a time, since each replaces the last."""
        self.loans_taken: dict[ids.InstanceId, Loan] = {}
        """The last loan of each lender."""
        self.sending = Bucket(now_s=started_s)
        """What may be sent; it holds what the other buckets do together, and is charged later."""

    def __repr__(self) -> str:
        return f"TenantLimit(limit={self.limit!r}, role={self.role!r})"

    def update(self, *, limit: Limit, role: Role, connected: bool, now_s: float) -> None:
        """Apply the limit, role and validity that are in force from now on.

        Must be called before the other methods after any of them has changed. Loans that were taken
        under another limit are dropped.
        """
        self.advance(now_s)
        if limit != self.limit:
            self.loans_taken.clear()
        self.limit, self.role, self.connected = limit, role, connected
        self.grant.note_list(role.fraction if connected else 0.0, now_s=now_s)
        self._resize(now_s)

    def advance(self, now_s: float) -> None:
        """Apply what has changed by the passage of time."""
        while (at_s := self._next_change_s()) <= now_s:
            self.loans_given = {
                borrower: [loan for loan in loans if loan.until_s > at_s]
                for borrower, loans in self.loans_given.items()
                if loans[-1].until_s > at_s
            }
            self.loans_taken = {
                lender: loan for lender, loan in self.loans_taken.items() if loan.until_s > at_s
            }
            self.grant.advance(at_s)
            self._resize(at_s)
        for bucket in (*self._buckets, self.sending):
            bucket.advance(now_s)

    def _next_change_s(self) -> float:
        """Return when the next loan ends or the waiting for the share does."""
        ends = [loan.until_s for loans in self.loans_given.values() for loan in loans]
        ends += [loan.until_s for loan in self.loans_taken.values()]
        if self.grant.waiting:
            ends.append(self.grant.ready_at_s)
        return min(ends, default=math.inf)

    def _resize(self, now_s: float) -> None:
        limit, role, fraction = self.limit, self.role, self.grant.fraction
        tolerance = limit.tolerance / max(1, role.homes)
        least = min(MIN_CAPACITY, MIN_CAPACITY_FRACTION * tolerance) if fraction else 0.0
        self.share.resize(
            rate_per_s=max(0.0, limit.rate_per_s * fraction - self.lent_per_s),
            capacity=max(0.0, limit.burst * fraction + least - self._lent_capacity),
            now_s=now_s,
        )
        self.borrowed.resize(
            rate_per_s=self.borrowed_per_s,
            capacity=sum(loan.capacity for loan in self.loans_taken.values()),
            now_s=now_s,
        )
        if role.is_home and self.connected:
            half = HOME_ALLOWANCE * tolerance / 2
        elif role.is_home or role.is_next:
            # The limit may have been lowered since this instance was cut off.
            known = tolerance if self.connected else TOLERATED_OPERATIONS / max(1, role.homes)
            half = OTHER_ALLOWANCE * known / 2
        else:
            half = 0.0
        self.allowance.resize(rate_per_s=half / WINDOW_S, capacity=half, now_s=now_s)
        self.sending.resize(
            rate_per_s=self.inflow_per_s,
            capacity=sum(bucket.capacity for bucket in self._buckets)
            + SENDING_S * self.inflow_per_s,
            now_s=now_s,
        )

    @property
    def lent_per_s(self) -> float:
        """Rate of the loans that this instance gave."""
        given = self.loans_given.values()
        return sum(max(loan.rate_per_s for loan in loans) for loans in given)

    @property
    def _lent_capacity(self) -> float:
        given = self.loans_given.values()
        return sum(max(loan.capacity for loan in loans) for loans in given)

    @property
    def borrowed_per_s(self) -> float:
        """Rate of the loans that this instance uses."""
        return sum(loan.rate_per_s for loan in self.loans_taken.values())

    @property
    def _buckets(self) -> tuple[Bucket, ...]:
        """The buckets in the order in which they are used: what is lost soonest comes first."""
        return self.borrowed, self.share, self.allowance

    @property
    def available(self) -> float:
        """Operations that may start at once, at the time of the last ``advance``."""
        return sum(bucket.level for bucket in self._buckets)

    @property
    def inflow_per_s(self) -> float:
        """Operations per second that may start now in the long run."""
        return sum(bucket.rate_per_s for bucket in self._buckets)

    def admit(self, now_s: float) -> bool:
        """Return whether an operation may start, and count it if so."""
        self.advance(now_s)
        self.demand.note(now_s)
        if self.available < 1.0 - EPSILON:
            return False
        wanted = 1.0
        for bucket in self._buckets:
            wanted -= bucket.take(wanted)
        return True

    def admit_sending(self, now_s: float) -> bool:
        """Return whether an operation that was admitted may be sent now, and count it if so."""
        self.advance(now_s)
        if self.sending.level < 1.0 - EPSILON:
            return False
        self.sending.take(1.0)
        return True

    def wait_s(self, now_s: float) -> float:
        """Return in how many seconds the next operation may start; infinite if it may not."""
        self.advance(now_s)
        missing = 1.0 - self.available
        if missing <= EPSILON:
            return 0.0
        return missing / self.inflow_per_s if self.inflow_per_s > 0 else math.inf

    # Loans

    def is_short(self, now_s: float) -> bool:
        """Return whether what this instance has of its own may soon not suffice."""
        self.advance(now_s)
        ahead = self.demand.at(now_s) * BORROW_AHEAD_S
        return self.share.level + self.allowance.level < max(1.0, ahead)

    def wanted_per_s(self, lender: ids.InstanceId, now_s: float) -> float:
        """Return the rate that a lender's loan should have, if ``is_short``."""
        other_loans = sum(
            loan.rate_per_s for other, loan in self.loans_taken.items() if other != lender
        )
        own = self.share.rate_per_s + self.allowance.rate_per_s
        return max(0.0, BORROW_MARGIN * self.demand.at(now_s) - own - other_loans)

    def lend(
        self,
        borrower: ids.InstanceId,
        *,
        wanted_per_s: float,
        valid_until_s: float,
        now_s: float,
    ) -> Loan | None:
        """Lend what is left of the share beyond the own demand.

        The loan replaces the last one of the borrower. It ends no later than ``valid_until_s``, to
        which this instance's own share is valid.
        """
        self.advance(now_s)
        term_s = min(handover.LOAN_S, valid_until_s - now_s)
        if term_s <= 0.0 or not self.connected:
            return None
        former = self.loans_given.get(borrower, [])
        lent_rate = max((loan.rate_per_s for loan in former), default=0.0)
        lent_capacity = max((loan.capacity for loan in former), default=0.0)
        own = BORROW_MARGIN * self.demand.at(now_s)
        rate = min(wanted_per_s, max(0.0, self.share.rate_per_s + lent_rate - own))
        spare = max(0.0, self.share.level - own * handover.LOAN_S)
        level = min(wanted_per_s * handover.LOAN_S, spare)
        if rate <= EPSILON and level <= EPSILON:
            return None
        most = self.share.capacity + lent_capacity
        if own > EPSILON:
            most /= 2
        part = rate / max(rate, self.share.rate_per_s + lent_rate, EPSILON)
        capacity = max(level, min(most, max(MIN_CAPACITY, part * most)))
        loan = Loan(rate_per_s=rate, capacity=capacity, level=level, until_s=now_s + term_s)
        counted = dataclasses.replace(loan, until_s=loan.until_s + handover.LOAN_MARGIN_S)
        self.share.level -= level
        self.sending.level = max(0.0, self.sending.level - level)
        self.loans_given[borrower] = [*former, counted]
        self._resize(now_s)
        return loan

    def borrow(self, lender: ids.InstanceId, loan: Loan, *, now_s: float) -> None:
        """Use a loan; one that has ended, or that the tenant's limit cannot hold, is ignored."""
        self.advance(now_s)
        if now_s >= loan.until_s or not self._is_possible(loan):
            return
        self.loans_taken[lender] = loan
        self._resize(now_s)
        for bucket in (self.borrowed, self.sending):
            bucket.level = min(bucket.capacity, bucket.level + loan.level)

    def _is_possible(self, loan: Loan) -> bool:
        return (
            loan.rate_per_s <= self.limit.rate_per_s + EPSILON
            and loan.level <= loan.capacity + EPSILON
            and loan.capacity <= self.limit.burst + MIN_CAPACITY + EPSILON
        )

    @property
    def loans_until_s(self) -> float:
        """When the last loan that this instance gave is over."""
        ends = [loan.until_s for loans in self.loans_given.values() for loan in loans]
        return max(ends, default=-math.inf)

    def ceiling(self, now_s: float) -> handover.Ceiling:
        """Return what to answer to an instance that waits for this one."""
        self.advance(now_s)
        return self.grant.ceiling(loans_until_s=self.loans_until_s, now_s=now_s)
