"""What an instance knows of a database group: its slots, their state and its primary."""

import dataclasses
import enum

from mustardswitch.internal import ids, positions


class SlotRole(enum.Enum):
    """What a slot does in its group."""

    PRIMARY = "primary"
    """Takes writes under its term."""
    REPLICA = "replica"
    """Pulls the log of a primary."""
    FENCED = "fenced"
    """Has promised a term and waits for its primary."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotStatus:
    """One answer of a slot to a status question."""

    slot: ids.SlotId
    role: SlotRole
    promised: ids.Term
    log_end: positions.Position
    applied: positions.Position
    following: ids.SlotId | None
    primary_silence_ms: float
    """Milliseconds since the slot last heard its primary; 0 at a primary."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupView:
    """Which slot leads a group, and under which term."""

    database: ids.DatabaseName
    term: ids.Term
    primary: ids.SlotId | None
