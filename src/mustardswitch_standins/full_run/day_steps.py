"""The steps of a day: faults and planned changes at their times, varied by a seed."""

import collections.abc
import dataclasses
import random

VARIATION_S = 0.4
"""Limit on the change of each time by the seed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """A fault or a planned change and its time in seconds from the start of the callers."""

    at_s: float
    name: str
    fields: dict = dataclasses.field(default_factory=dict)
    follows: bool = False
    """Whether its time changes with that of the step before, so that the interval is kept."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Day:
    """The steps of a day and the time in seconds at which it ends."""

    steps: list[Step]
    length_s: float


Make = collections.abc.Callable[..., Day]
"""Makes a day for a size; some take further arguments that replace their defaults."""


def make_step(at_s: float, name: str, **fields: object) -> Step:
    """Return a step."""
    return Step(at_s=at_s, name=name, fields=fields)


def keep_intervals(steps: list[Step], *, length_s: float) -> Day:
    """Return a day whose steps all change their times with the first one."""
    first, *others = sorted(steps, key=lambda step: step.at_s)
    followed = [dataclasses.replace(each, follows=True) for each in others]
    return Day(steps=[first, *followed], length_s=length_s)


def on_servers(at_s: float, fault: str, services: list[str], **fields: object) -> Step:
    """Return a step with a fault of the servers of some services."""
    return make_step(at_s, "on_servers", fault=fault, services=services, **fields)


def vary(day: Day, source: random.Random) -> Day:
    """Return a day whose steps have changed times, in their order."""
    steps = []
    shift_s = 0.0
    for step in day.steps:
        if not step.follows:
            shift_s = source.uniform(-VARIATION_S, VARIATION_S)
        steps.append(dataclasses.replace(step, at_s=max(0.5, step.at_s + shift_s)))
    return Day(steps=sorted(steps, key=lambda step: step.at_s), length_s=day.length_s)
