"""Decides whether a primary that was not stopped may still execute what it had received.

A primary that is slow, full or cut off from some instances runs: commits that were sent to it
before they were held back may wait in it, whether their connections are still open or not. Each
instance that sends it statements orders it to stop, and reports what it has heard of it. A primary
that runs is stopped; silence is no evidence that it has ended, unless the platform has removed its
entry as well. If no instance can even open a connection, the primary has dropped theirs.
"""

import collections.abc
import dataclasses
import enum

from mustardswitch.internal import positions, promotion

UNREACHED_S = 3.1
"""Time without any contact after which a server has dropped a connection whose remote end cannot be
reached, and rolled its statements back; the platform's servers do so after 3 s."""
GONE_S = 2.5
"""Time after which a server whose entry was removed is gone; one that runs and reaches the store is
listed again within about two seconds."""
NEVER_S = float("inf")


class Order(enum.Enum):
    """Result of the order to stop that one instance sends."""

    PENDING = "pending"
    """It is not answered yet."""
    STOPPED = "stopped"
    """The server led the newest term, and is a replica now."""
    REPLICA = "replica"
    """The server answered as a replica before it was ordered to stop."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What one instance knows of the primary; ages in seconds, ``NEVER_S`` without such a sign."""

    order: Order = Order.PENDING
    end: positions.Position | None = None
    """End of its log, read after it was a replica."""
    answered_s: float = NEVER_S
    """Since it has answered, or refused a session or a query."""
    connected_s: float = NEVER_S
    """Since a connection to it was opened, or it has answered."""
    refused_s: float = NEVER_S
    """Since its machine has refused a connection: no process listened at its address."""

    def aged(self, age_s: float) -> "Report":
        """Return this report as of ``age_s`` later."""
        return dataclasses.replace(
            self,
            answered_s=self.answered_s + age_s,
            connected_s=self.connected_s + age_s,
            refused_s=self.refused_s + age_s,
        )


def end_of(reports: collections.abc.Iterable[Report], order: Order) -> positions.Position | None:
    """Return the highest end in the reports with a result; None without one."""
    ends = [report.end for report in reports if report.order is order]
    return max((end for end in ends if end is not None), default=None)


def state_of(
    reports: collections.abc.Collection[Report],
    *,
    held_s: float | None,
    all_report: bool,
    confirmed_report: bool,
    unlisted_s: float,
) -> promotion.FormerPrimary:
    """Return what is known of a primary.

    ``reports`` are of the same moment. ``held_s`` is for how long no instance has sent commits;
    None while some may. ``all_report`` tells whether the reports are those of all instances that
    may have sent statements, ``confirmed_report`` of all that have confirmed the hold.
    ``unlisted_s`` is the seconds since the primary's entry was removed; 0 while it is listed.
    """
    if any(report.order is not Order.PENDING for report in reports):
        return promotion.FormerPrimary.REPLICA
    if held_s is None:
        return promotion.FormerPrimary.MAY_RUN
    connected_s = min((report.connected_s for report in reports), default=NEVER_S)
    refused_s = min((report.refused_s for report in reports), default=NEVER_S)
    if confirmed_report and refused_s < min(held_s, connected_s):
        return promotion.FormerPrimary.NOT_LISTENING
    if gone_s(reports, all_report=all_report, unlisted_s=unlisted_s) >= 0.0:
        return promotion.FormerPrimary.GONE
    return promotion.FormerPrimary.MAY_RUN


def gone_s(
    reports: collections.abc.Collection[Report], *, all_report: bool, unlisted_s: float
) -> float:
    """Return the seconds for which a primary has been gone; below 0 while it may run.

    The arguments are those of ``state_of``.
    """
    answered_s = min((report.answered_s for report in reports), default=NEVER_S)
    unreached_s = -NEVER_S
    if all_report:
        heard_s = (min(report.connected_s, report.refused_s) for report in reports)
        unreached_s = min(heard_s, default=NEVER_S) - UNREACHED_S
    return max(unreached_s, min(unlisted_s - GONE_S, answered_s - UNREACHED_S))
