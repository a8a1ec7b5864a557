"""Decides above which position of a log no commit was acknowledged.

A commit is acknowledged once a replica has received it, whether an instance hears of it or not.
Instances that report tell the highest position with a commit of their own, and since when all that
they have sent was answered. Others may have existed: they ended, were removed or replaced, before
or while the holder of a claim ran.

What was sent without an answer may wait in the primary. It drops a connection whose remote end is
closed, or cannot be reached for 3 s. So it executes nothing of it later than that after it was seen
to run, and a query that is sent then shows all that it has executed.
"""

import collections.abc
import dataclasses

from mustardswitch.internal import clock, former_primary, positions

SPACING_S = 1.0
"""Least time between the samples of a log that are kept beside the latest one."""
MAX_KEPT = 12
"""Samples that are kept; a change of primary waits about as long for a silent one."""
DROPPED_S = former_primary.UNREACHED_S
"""Time in which a primary that runs drops a connection that has ended at its other side."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """A position that the primary has shown in answer to a query."""

    sent_after_s: float
    """A time before the query was sent (``clock.now_s``)."""
    answered_by_s: float
    """A time after it was answered."""
    position: positions.Position


class RecentSamples:
    """Samples of the log of a service's primary, from the last seconds in which it answered."""

    def __init__(self) -> None:
        self.kept: list[Sample] = []
        self.latest: Sample | None = None

    def __repr__(self) -> str:
        return f"RecentSamples(kept={self.kept!r}, latest={self.latest!r})"

    def note_answer(self, position: positions.Position, *, sent_at_s: float) -> None:
        """Add a position that came just now, in answer to a query sent at a time."""
        self.note(Sample(sent_after_s=sent_at_s, answered_by_s=clock.now_s(), position=position))

    def note(self, sample: Sample) -> None:
        """Add a sample, unless a later query was answered before."""
        if self.latest is not None and sample.sent_after_s <= self.latest.sent_after_s:
            return
        self.latest = sample
        if not self.kept or sample.sent_after_s >= self.kept[-1].sent_after_s + SPACING_S:
            self.kept = [*self.kept, sample][-MAX_KEPT:]

    def all(self) -> list[Sample]:
        """Return the samples by time."""
        if self.latest is None or self.latest is self.kept[-1]:
            return self.kept
        return [*self.kept, self.latest]

    def spread(self, count: int) -> list[Sample]:
        """Return ``count`` samples at most, spread over the time, with the first and the last."""
        known = self.all()
        if len(known) <= count:
            return known
        return [known[(len(known) - 1) * rank // (count - 1)] for rank in range(count)]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Told:
    """What one instance tells of a service, after it has ended its commits for a promotion."""

    shown: positions.Position | None
    """The highest position that came with a commit that it has sent; None without any."""
    answered_since_s: float
    """A time at or after which its process has run and had an answer to each commit that it has
    sent (``clock.now_s``); an earlier process of its name may have sent others."""
    samples: tuple[Sample, ...] = ()

    def merge(self, other: "Told") -> "Told":
        """Return what two reports for the same promotion tell together.

        No process of the instance sends commits between them: the first one holds them back, and
        the next one reads the record as it starts.
        """
        shown = [each.shown for each in (self, other) if each.shown is not None]
        return Told(
            shown=max(shown, default=None),
            answered_since_s=min(self.answered_since_s, other.answered_since_s),
            samples=_without_repetition(self.samples + other.samples),
        )


def _without_repetition(samples: tuple[Sample, ...]) -> tuple[Sample, ...]:
    """Return one sample for each position, which was read in the narrowest time."""
    narrowest: dict[positions.Position, Sample] = {}
    for each in sorted(samples, key=lambda each: each.sent_after_s - each.answered_by_s):
        narrowest[each.position] = each
    return tuple(narrowest.values())


def find(
    told: collections.abc.Collection[Told], *, unheard_until_s: float
) -> positions.Position | None:
    """Return a position that no acknowledged commit is above; None if none is known.

    ``told`` holds a report of every instance that may have sent commits since ``unheard_until_s``
    (``clock.now_s``).
    """
    ended_s = max([unheard_until_s, *(each.answered_since_s for each in told)])
    samples = [sample for each in told for sample in each.samples]
    seen_s = min(
        (each.answered_by_s for each in samples if each.sent_after_s >= ended_s), default=None
    )
    if seen_s is None:
        return None
    covering = [each.position for each in samples if each.sent_after_s >= seen_s + DROPPED_S]
    if not covering:
        return None
    return max([min(covering), *(each.shown for each in told if each.shown is not None)])
