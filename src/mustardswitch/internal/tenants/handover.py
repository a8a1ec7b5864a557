"""Decides from when on an instance may use its share of a tenant's limit.

Instances may have lists of different ages, so two of them may take themselves for the same home. A
share therefore falls as soon as the list says so, and rises only after ``WAIT_S``: until then a
former home that still has an older list may spend it. The wait ends early when every former home
has answered that it does not.

The wait is longer than most outages of the store. With a wait of a registration's time to live the
homes that the store turned away refused most of their tenants' operations, for as long as it did;
the share of a home that was killed is missing for longer now, and the other homes lend meanwhile.
"""

import dataclasses

WAIT_S = 10.0
"""Longest time for which an instance spends a share by a list that has changed."""
LIST_MAX_AGE_S = 9.5
"""Age of the list above which no share is spent by it. It is below ``WAIT_S`` since an answer of
the store may travel for a few hundred milliseconds."""
LOAN_S = 1.0
"""Duration of a loan on the borrower's clock, from before it asked."""
LOAN_MARGIN_S = 0.1
"""Time for which the lender counts a loan as spent beyond its end, since clocks differ in speed."""
UNLISTED_WAIT_S = LOAN_S + LOAN_MARGIN_S
"""Time after which the loans of an instance that was restarted are over."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ceiling:
    """What an instance answers about its share of a tenant's limit."""

    fraction: float
    """It uses no larger fraction in the next ``WAIT_S``."""
    clear_in_s: float
    """Time until no loan of its share, and no former home that it knows of, spends more."""


class Grant:
    """The fraction of a tenant's limit that an instance may use, by what its lists said."""

    def __init__(self) -> None:
        self.fraction = 0.0
        """What may be used."""
        self.target = 0.0
        """What the present list says."""
        self.ready_at_s = float("-inf")
        """When ``target`` may be used."""
        self.others_until_s = float("-inf")
        """When former homes for which this instance has waited are certain to have stopped."""

    def __repr__(self) -> str:
        return f"Grant(fraction={self.fraction!r}, target={self.target!r})"

    @property
    def waiting(self) -> bool:
        """Whether the list says more than may be used."""
        return self.target > self.fraction

    def note_list(self, fraction: float, *, now_s: float) -> None:
        """Apply what a list says."""
        self.advance(now_s)
        if fraction <= self.fraction:
            self._note_abandoned_wait()
            self.fraction = self.target = fraction
        elif fraction != self.target:
            # A smaller rise than the one that is waited for needs no longer wait.
            if fraction > self.target:
                self._note_abandoned_wait()
                self.ready_at_s = now_s + WAIT_S
            self.target = fraction

    def _note_abandoned_wait(self) -> None:
        if self.waiting:
            self.others_until_s = max(self.others_until_s, self.ready_at_s)

    def advance(self, now_s: float) -> bool:
        """Use the list's fraction if its time has come; return whether the fraction has changed."""
        if not self.waiting or now_s < self.ready_at_s:
            return False
        self.fraction = self.target
        return True

    def note_cleared(self, at_s: float) -> None:
        """Record that the former homes of the present list spend nothing after a time."""
        if self.waiting:
            self.ready_at_s = min(self.ready_at_s, max(at_s, self.others_until_s))

    def ceiling(self, *, loans_until_s: float, now_s: float) -> Ceiling:
        """Return what to answer to another instance that waits for this one."""
        waits_until_s = self.ready_at_s if self.waiting else float("-inf")
        until_s = max(waits_until_s, self.others_until_s, loans_until_s)
        return Ceiling(fraction=self.target, clear_in_s=max(0.0, until_s - now_s))
