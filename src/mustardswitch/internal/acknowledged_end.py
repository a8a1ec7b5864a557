"""Decides above which position of a log no commit was acknowledged.

Instances that report tell the highest position with a commit of their own. Others may have existed:
they ended, were removed or replaced, before or while the holder of a claim ran. What they have
acknowledged, the primary had executed before they ended. So it is at or below what the primary
showed in answer to any query that was sent after their end.
"""

import collections.abc
import dataclasses

from mustardswitch.internal import position_history, positions


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Told:
    """What one instance tells of a service, after it has ended its commits for a promotion."""

    shown: positions.Position | None
    """The highest position that came with a commit that it has acknowledged; None without any."""
    started_by_s: float
    """A time at or after the start of its process (``clock.now_s``); an earlier process of its
    name may have acknowledged commits before."""
    samples: tuple[position_history.PositionSample, ...] = ()
    """What the primary has shown; the queries were sent at the given times or later."""

    def merge(self, other: "Told") -> "Told":
        """Return what two reports for the same promotion tell together.

        No process of the instance sends commits between them: the first one holds them back, and
        the next one reads the record as it starts.
        """
        shown = [each.shown for each in (self, other) if each.shown is not None]
        latest = {each.position: each for each in sorted(self.samples + other.samples, key=_age)}
        return Told(
            shown=max(shown, default=None),
            started_by_s=min(self.started_by_s, other.started_by_s),
            samples=tuple(latest.values()),
        )


def _age(sample: position_history.PositionSample) -> float:
    return sample.query_sent_at_s


def find(
    told: collections.abc.Collection[Told], *, unheard_until_s: float
) -> positions.Position | None:
    """Return a position that no acknowledged commit is above; None if none is known.

    ``told`` holds a report of every instance that may have sent commits since ``unheard_until_s``
    (``clock.now_s``).
    """
    ended_s = max([unheard_until_s, *(each.started_by_s for each in told)])
    covering = [
        sample.position
        for each in told
        for sample in each.samples
        if sample.query_sent_at_s >= ended_s
    ]
    if not covering:
        return None
    return max([min(covering), *(each.shown for each in told if each.shown is not None)])
