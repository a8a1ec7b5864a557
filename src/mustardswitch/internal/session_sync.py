"""Brings a connection into the state of a caller's session, with as few commands as possible.

Answers the load pattern of many callers with values and prepared statements of their own on few
connections: a connection that already matches is chosen before commands are spent on another.
"""

import collections.abc
import dataclasses
import typing

Shape = typing.TypeVar("Shape")

RESET_COST = 4
"""Clearing a connection also costs setting up what other callers still need on it."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncPlan(typing.Generic[Shape]):
    """What a connection lacks for a session."""

    reset: bool
    """Whether it has values that the session has not, and must be cleared first."""
    values: collections.abc.Mapping[str, str]
    """Values to set."""
    shape: Shape | None
    """The shape to prepare."""

    @property
    def cost(self) -> int:
        """How many commands it takes, weighed."""
        own = RESET_COST if self.reset else 0
        return own + len(self.values) + (self.shape is not None)


def plan_sync(
    *,
    held_values: collections.abc.Mapping[str, str],
    held_shapes: collections.abc.Collection[Shape],
    values: collections.abc.Mapping[str, str],
    shape: Shape | None,
) -> SyncPlan[Shape]:
    """Return what a connection that holds some values and shapes lacks for a session's."""
    reset = any(name not in values for name in held_values)
    if reset:
        held_values, held_shapes = {}, frozenset()
    lacking = {name: value for name, value in values.items() if held_values.get(name) != value}
    return SyncPlan(
        reset=reset,
        values=lacking,
        shape=shape if shape is not None and shape not in held_shapes else None,
    )
