"""The judge's report: each promotion with the acknowledged commits that it lost."""

import collections.abc
import dataclasses
import datetime

from mustardswitch_standins.full_run import measured_group

MAX_GAP_S = 10.0
"""Longest permitted time without an acknowledged write."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Gap:
    """The longest time without an acknowledged write of a service, in seconds."""

    service: str
    starts_s: float
    """Unix time at which it starts."""
    length_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """The result of a run."""

    promotions: list[measured_group.Promotion]
    gaps: list[Gap]
    """One for each service."""
    acknowledged: int
    """Acknowledged commits."""
    lost_of_callers: list[str]
    """Lost commits that were answered to their callers with success."""

    @property
    def gap(self) -> Gap:
        """The longest time without an acknowledged write of all services."""
        return max(self.gaps, key=lambda gap: gap.length_s)

    @property
    def lost(self) -> int:
        """Acknowledged commits that promotions discarded."""
        return sum(len(each.lost) for each in self.promotions)

    @property
    def rolled_back(self) -> int:
        """Commits that promotions discarded, acknowledged or not."""
        return sum(each.rolled_back for each in self.promotions)

    @property
    def passes(self) -> bool:
        """Whether no commit was lost and no service was without writes for too long."""
        return not self.lost and self.gap.length_s <= MAX_GAP_S


def judge(
    reports: collections.abc.Mapping[str, dict],
    *,
    from_s: float,
    until_s: float,
    written: collections.abc.Collection[str] = (),
) -> Verdict:
    """Judge the reports of the services' processes; the times are those of the callers.

    ``written`` are the writes that were answered to their callers with success.
    """
    promotions = [
        measured_group.Promotion(**fields)
        for report in reports.values()
        for fields in report["promotions"]
    ]
    gaps = [
        _longest_gap(service, report["acknowledged_at_s"], from_s, until_s)
        for service, report in reports.items()
    ]
    return Verdict(
        promotions=sorted(promotions, key=lambda each: each.effective_s),
        gaps=gaps,
        acknowledged=sum(len(report["acknowledged_at_s"]) for report in reports.values()),
        lost_of_callers=[data for each in promotions for data in each.lost if data in written],
    )


def _longest_gap(
    service: str, times_s: collections.abc.Sequence[float], from_s: float, until_s: float
) -> Gap:
    bounds = [from_s, *sorted(time for time in times_s if from_s < time < until_s), until_s]
    pairs = zip(bounds, bounds[1:], strict=False)
    length_s, starts_s = max((after - before, before) for before, after in pairs)
    return Gap(service=service, starts_s=starts_s, length_s=length_s)


def describe(verdict: Verdict, *, from_s: float) -> list[str]:
    """Return a line for each promotion and a summary."""
    lines = [_describe_promotion(each, from_s) for each in verdict.promotions]
    gap = verdict.gap
    lengths = ", ".join(f"{each.service} {each.length_s:.1f}" for each in verdict.gaps)
    lines.append(f"longest times without an acknowledged write in s: {lengths}")
    lines.append(
        f"{len(verdict.promotions)} promotions, {verdict.lost} commits lost"
        f" ({len(verdict.lost_of_callers)} answered to callers),"
        f" {verdict.rolled_back} commits rolled back, longest time without an acknowledged write"
        f" {gap.length_s:.1f} s ({gap.service}, from {gap.starts_s - from_s:.1f} s),"
        f" {verdict.acknowledged} acknowledged"
    )
    return lines


def _describe_promotion(promotion: measured_group.Promotion, from_s: float) -> str:
    line = (
        f"{_clock(promotion.called_s)} (at {promotion.called_s - from_s:.2f} s):"
        f" {promotion.service}: {promotion.server} called, effective"
        f" {_clock(promotion.effective_s)}, term {promotion.term}, former {promotion.former},"
        f" log ends at {promotion.end}, {promotion.rolled_back} rolled back"
    )
    if not promotion.lost:
        return f"{line}, nothing lost"
    holders = ", ".join(f"{name} {count}" for name, count in promotion.holders.items())
    return (
        f"{line}, {len(promotion.lost)} LOST, {promotion.lost[0]} to {promotion.lost[-1]};"
        f" held by {holders or 'no server'}"
    )


def _clock(unix_s: float) -> str:
    return f"{datetime.datetime.fromtimestamp(unix_s, datetime.UTC):%H:%M:%S.%f}"[:-3]
