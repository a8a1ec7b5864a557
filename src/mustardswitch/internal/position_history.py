"""What the leading primary's log held at known moments, and the floors that follow for reads.

Answers the load pattern of many reads that accept data of a stated age: a replica that is known to
hold an old enough position serves them without a question to the primary. Weighed against trusting
the lag that replicas report, which is measured by the replica itself and wrong when it is cut off.
"""

import bisect
import collections.abc
import dataclasses

from mustardswitch.internal import positions


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PositionSample:
    """The leading primary's answer to a question.

    Every commit acknowledged before ``query_sent_at_s`` is at or below ``position``, or was
    rolled back.
    """

    query_sent_at_s: float
    position: positions.Position


class PositionHistory:
    """Observations of one service, each later one at a higher position."""

    def __init__(self, *, retention_s: float) -> None:
        self.retention_s = retention_s
        self.observations: list[PositionSample] = []

    def __repr__(self) -> str:
        return f"PositionHistory(retention_s={self.retention_s!r})"

    def record(self, observation: PositionSample) -> None:
        """Add what a server answered that was proved to lead after ``query_sent_at_s``.

        A later question with a lower position replaces earlier ones: it holds for more reads, and
        positions above it were rolled back by a promotion or did not exist yet.
        """
        index = bisect.bisect_left(
            self.observations, observation.query_sent_at_s, key=lambda known: known.query_sent_at_s
        )
        if any(known.position <= observation.position for known in self.observations[index:]):
            return
        kept = [
            known
            for known in self.observations[:index]
            if known.position < observation.position
            and known.query_sent_at_s >= observation.query_sent_at_s - self.retention_s
        ]
        self.observations = [*kept, observation, *self.observations[index:]]

    def min_position(self, *, not_before_s: float) -> positions.Position | None:
        """Return the lowest position that covers all commits acknowledged before a moment.

        None means that the primary was not asked since then.
        """
        index = bisect.bisect_left(
            self.observations, not_before_s, key=lambda known: known.query_sent_at_s
        )
        if index == len(self.observations):
            return None
        return self.observations[index].position

    def age_s(self, now_s: float) -> float:
        """Return how long ago the latest question was sent."""
        return now_s - self.observations[-1].query_sent_at_s if self.observations else float("inf")

    def min_position_for_commit(
        self, position: positions.Position, *, acknowledged_s: float
    ) -> positions.Position:
        """Return the floor of a session for a commit of its own.

        When the primary, asked after the acknowledgement, shows a lower position, the commit was
        rolled back by a promotion and what is left of it is covered by the lower one.
        """
        shown = self.min_position(not_before_s=acknowledged_s)
        return position if shown is None else min(position, shown)


def highest(
    min_positions: collections.abc.Iterable[positions.Position | None],
) -> positions.Position | None:
    """Return the highest known floor; None when none is known."""
    known = [min_position for min_position in min_positions if min_position is not None]
    return max(known) if known else None
