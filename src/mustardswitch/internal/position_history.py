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
class PositionSample:
    """The leading primary's answer to a status query sent at ``query_sent_at_s`` seconds.

    Every commit acknowledged before ``query_sent_at_s`` is at or below ``position``, or was
    rolled back.
    """

    query_sent_at_s: float
    position: positions.Position


class PositionHistory:
    """Position samples of one service by time, each later one at a higher position.

    Keeps samples for ``retention_s`` seconds.
    """

    def __init__(self, *, retention_s: float) -> None:
        self.retention_s = retention_s
        self.samples: list[PositionSample] = []

    def __repr__(self) -> str:
        return f"PositionHistory(retention_s={self.retention_s!r})"

    def record(self, sample: PositionSample) -> None:
        """Add the answer of a server that was proved to lead after ``query_sent_at_s``.

        A later query with a lower position replaces earlier ones: it is valid for more reads, and
        positions above it were rolled back by a promotion or did not exist yet.
        """
        index = bisect.bisect_left(
            self.samples, sample.query_sent_at_s, key=lambda other: other.query_sent_at_s
        )
        if any(other.position <= sample.position for other in self.samples[index:]):
            return
        kept = [
            other
            for other in self.samples[:index]
            if other.position < sample.position
            and other.query_sent_at_s >= sample.query_sent_at_s - self.retention_s
        ]
        self.samples = [*kept, sample, *self.samples[index:]]

    def min_position(self, *, not_before_s: float) -> positions.Position | None:
        """Return the lowest position that covers all commits acknowledged before ``not_before_s``.

        None means that the primary was not queried since then.
        """
        index = bisect.bisect_left(
            self.samples, not_before_s, key=lambda other: other.query_sent_at_s
        )
        if index == len(self.samples):
            return None
        return self.samples[index].position

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the latest recorded query was sent; infinite without one."""
        return now_s - self.samples[-1].query_sent_at_s if self.samples else float("inf")

    def min_position_for_commit(
        self, position: positions.Position, *, acknowledged_s: float
    ) -> positions.Position:
        """Return the minimum position of a session for a commit of its own.

        If the primary, queried after the acknowledgement, shows a lower position, a promotion has
        rolled the commit back, and the lower position covers what is left of it.
        """
        shown = self.min_position(not_before_s=acknowledged_s)
        return position if shown is None else min(position, shown)


def highest(
    min_positions: collections.abc.Iterable[positions.Position | None],
) -> positions.Position | None:
    """Return the highest known minimum position; None if none is known."""
    known = [min_position for min_position in min_positions if min_position is not None]
    return max(known) if known else None
