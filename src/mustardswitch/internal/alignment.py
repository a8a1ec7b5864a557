"""Brings a connection into the state of a caller's session, with as few commands as possible.

Answers the load pattern of many callers with values and prepared statements of their own on few
connections: a connection that already matches is chosen before commands are spent on another.
"""

import collections.abc
import dataclasses
import typing

Shape = typing.TypeVar("Shape")

FORGETTING_COST = 4
"""Clearing a connection also costs setting up what other callers still need on it."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Alignment(typing.Generic[Shape]):
    """What a connection lacks for a session."""

    forget: bool
    """Whether it has values that the session has not, and must be cleared first."""
    values: collections.abc.Mapping[str, str]
    """Values to set."""
    shape: Shape | None
    """The shape to prepare."""

    @property
    def cost(self) -> int:
        """How many commands it takes, weighed."""
        own = FORGETTING_COST if self.forget else 0
        return own + len(self.values) + (self.shape is not None)


def align(
    *,
    held_values: collections.abc.Mapping[str, str],
    held_shapes: collections.abc.Collection[Shape],
    values: collections.abc.Mapping[str, str],
    shape: Shape | None,
) -> Alignment[Shape]:
    """Return what a connection that holds some values and shapes lacks for a session's."""
    forget = any(name not in values for name in held_values)
    if forget:
        held_values, held_shapes = {}, frozenset()
    lacking = {name: value for name, value in values.items() if held_values.get(name) != value}
    return Alignment(
        forget=forget,
        values=lacking,
        shape=shape if shape is not None and shape not in held_shapes else None,
    )
