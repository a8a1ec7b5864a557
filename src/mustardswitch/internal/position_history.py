"""Records the leading primary's log end over time and derives minimum positions for reads from it.

Many reads accept data up to a stated age. A replica that is known to hold the position of that age
serves them without a query to the primary. Trusting the lag that replicas report was rejected: a
replica measures it itself, and it is wrong when the replica is cut off.
"""

import bisect
import collections.abc
import dataclasses

from mustardswitch.internal import positions


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Observation:
    """The leading primary's answer to a status query sent at ``asked_s`` seconds.

    Every commit acknowledged before ``asked_s`` is at or below ``position``, or was rolled back.
    """

    asked_s: float
    position: positions.Position


class PositionHistory:
    """Observations of one service by time, each later one at a higher position.

    Keeps observations for ``kept_s`` seconds.
    """

    def __init__(self, *, kept_s: float) -> None:
        self.kept_s = kept_s
        self.observations: list[Observation] = []

    def __repr__(self) -> str:
        return f"PositionHistory(kept_s={self.kept_s!r})"

    def record(self, observation: Observation) -> None:
        """Add the answer of a server that was proved to lead after ``asked_s``.

        A later query with a lower position replaces earlier ones: it is valid for more reads, and
        positions above it were rolled back by a promotion or did not exist yet.
        """
        index = bisect.bisect_left(
            self.observations, observation.asked_s, key=lambda known: known.asked_s
        )
        if any(known.position <= observation.position for known in self.observations[index:]):
            return
        kept = [
            known
            for known in self.observations[:index]
            if known.position < observation.position
            and known.asked_s >= observation.asked_s - self.kept_s
        ]
        self.observations = [*kept, observation, *self.observations[index:]]

    def floor(self, *, not_before_s: float) -> positions.Position | None:
        """Return the lowest position that covers all commits acknowledged before ``not_before_s``.

        None means that the primary was not queried since then.
        """
        index = bisect.bisect_left(self.observations, not_before_s, key=lambda known: known.asked_s)
        if index == len(self.observations):
            return None
        return self.observations[index].position

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the latest recorded query was sent; infinite without one."""
        return now_s - self.observations[-1].asked_s if self.observations else float("inf")

    def surviving(
        self, position: positions.Position, *, acknowledged_s: float
    ) -> positions.Position:
        """Return the minimum position of a session for a commit of its own.

        If the primary, queried after the acknowledgement, shows a lower position, a promotion has
        rolled the commit back, and the lower position covers what is left of it.
        """
        shown = self.floor(not_before_s=acknowledged_s)
        return position if shown is None else min(position, shown)


def highest(
    floors: collections.abc.Iterable[positions.Position | None],
) -> positions.Position | None:
    """Return the highest known minimum position; None if none is known."""
    known = [floor for floor in floors if floor is not None]
    return max(known) if known else None
