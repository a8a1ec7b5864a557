"""Computes the commands that bring a connection into the state of a caller's session.

Many callers, with values and prepared statements of their own, share few connections. To send as
few commands as possible, a connection that already matches is chosen before others.
"""

import collections.abc
import dataclasses
import typing

Shape = typing.TypeVar("Shape")
"""Identifies a prepared statement regardless of the name that a session gives it."""

RESET_COST = 4
"""Cost of a reset, in commands; it includes setting up again what other callers need on the
connection."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncPlan(typing.Generic[Shape]):
    """The commands that a connection needs before it can serve a session."""

    reset: bool
    """Whether it has values that the session has not, so that it must be reset first."""
    values: collections.abc.Mapping[str, str]
    """Values to set."""
    shape: Shape | None
    """The shape to prepare; None if there is none or the connection holds it."""

    @property
    def cost(self) -> int:
        """Number of commands needed, a reset weighted by its cost."""
        own = RESET_COST if self.reset else 0
        return own + len(self.values) + (self.shape is not None)


def plan_sync(
    *,
    held_values: collections.abc.Mapping[str, str],
    held_shapes: collections.abc.Collection[Shape],
    values: collections.abc.Mapping[str, str],
    shape: Shape | None,
) -> SyncPlan[Shape]:
    """Return what a connection with the held values and shapes needs to serve a session."""
    reset = any(name not in values for name in held_values)
    if reset:
        held_values, held_shapes = {}, frozenset()
    missing = {name: value for name, value in values.items() if held_values.get(name) != value}
    return SyncPlan(
        reset=reset,
        values=missing,
        shape=shape if shape is not None and shape not in held_shapes else None,
    )
