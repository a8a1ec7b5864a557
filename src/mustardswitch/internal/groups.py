"""State of a database group as an instance knows it: slots, their status and the primary."""

import dataclasses
import enum

from mustardswitch.internal import ids, positions


class SlotRole(enum.Enum):
    """Role of a slot in its group."""

    PRIMARY = "primary"
    """Accepts writes under its term."""
    REPLICA = "replica"
    """Pulls the log of a primary."""
    FENCED = "fenced"
    """Has promised a term and waits for the primary of that term."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotStatus:
    """A slot's answer to a status query."""

    slot: ids.SlotId
    role: SlotRole
    promised: ids.Term
    """Highest term that the slot has promised; it accepts no primary of a lower one."""
    log_end: positions.Position
    applied: positions.Position
    """Position up to which the log has been applied, so that reads see it."""
    following: ids.SlotId | None
    """Slot whose log a replica pulls; None unless it is a replica."""
    primary_silence_ms: float
    """Milliseconds since the slot last received an answer from its primary; 0 at a primary."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupView:
    """The slot that leads a group and its term; ``primary`` is None while it is unknown."""

    database: ids.DatabaseName
    term: ids.Term
    primary: ids.SlotId | None
