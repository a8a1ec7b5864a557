"""Log positions of a database group, and the minimum positions of sessions.

A position is the term and offset of a log entry. Terms order first, as in the election rule of
Raft (Ongaro and Ousterhout, 2014, section 5.4.1): a log whose last entry has a higher term holds
every entry that a majority held under a lower one.
"""

import collections.abc
import dataclasses
import functools

from mustardswitch.internal import errors, ids


@functools.total_ordering
@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Position:
    """The position of one entry in the log of a database group."""

    term: ids.Term
    offset: ids.Offset

    def __lt__(self, other: "Position") -> bool:
        return (self.term, self.offset) < (other.term, other.offset)

    def __str__(self) -> str:
        return f"{self.term}:{self.offset}"


ORIGIN = Position(term=ids.Term(0), offset=ids.Offset(0))


def parse_position(text: str) -> Position:
    """Parse a position written as ``term:offset``; raises ``InvalidPositionError`` otherwise."""
    term, separator, offset = text.partition(":")
    if not separator or not term.isdigit() or not offset.isdigit():
        raise errors.InvalidPositionError(
            f"position {text!r} is not term:offset; give two whole numbers such as 3:120"
        )
    return Position(term=ids.Term(int(term)), offset=ids.Offset(int(offset)))


def majority_size(slot_count: int) -> int:
    """Return how many of ``slot_count`` slots form a majority."""
    return slot_count // 2 + 1


def initial_min_position(
    reported: collections.abc.Sequence[Position], *, slot_count: int
) -> Position | None:
    """Return the lowest position covering every write acknowledged before the slots were queried.

    An acknowledged write is on a majority, so of ``r`` reports at least ``r + majority - n`` come
    from slots that hold it; the report of that rank is therefore at or past the write. None means
    that fewer than a majority reported.
    """
    needed = majority_size(slot_count)
    if len(reported) < needed:
        return None
    rank = len(reported) + needed - slot_count
    return sorted(reported, reverse=True)[rank - 1]


@dataclasses.dataclass(frozen=True, kw_only=True)
class MinPositions:
    """The lowest position per database at which a session may read."""

    by_database: collections.abc.Mapping[ids.DatabaseName, Position] = dataclasses.field(
        default_factory=dict
    )

    def get(self, database: ids.DatabaseName) -> Position | None:
        """Return the minimum position of a database; None if the session never used it."""
        return self.by_database.get(database)

    def raised_to(self, database: ids.DatabaseName, position: Position) -> "MinPositions":
        """Return minimum positions that also cover ``position``; none is ever lowered."""
        current = self.by_database.get(database)
        if current is not None and current >= position:
            return self
        return MinPositions(by_database={**self.by_database, database: position})
