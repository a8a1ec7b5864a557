"""Describes all state that can be reached from an object, to show that nothing has changed it."""

import asyncio
import collections.abc
import enum
import random
import types
import typing

ATOMS = (str, bytes, int, float, type(None), enum.Enum, type, types.ModuleType)
OPAQUE = (asyncio.AbstractEventLoop, asyncio.Future, asyncio.Event, asyncio.Lock)


def describe(root: object) -> list[str]:
    """Return a line for each value that can be reached from ``root``, in a fixed order."""
    lines: list[str] = []
    seen: dict[int, int] = {}
    kept: list[object] = []
    pending: list[tuple[str, object]] = [("", root)]
    while pending:
        path, value = pending.pop()
        if isinstance(value, ATOMS):
            lines.append(f"{path} {value!r}")
            continue
        if id(value) in seen:
            lines.append(f"{path} as {seen[id(value)]}")
            continue
        seen[id(value)] = len(seen)
        kept.append(value)
        children = list(_children(value))
        lines.append(f"{path} {type(value).__name__} {len(children)}")
        pending += [(f"{path}.{name}", child) for name, child in children]
    return lines


def _children(value: object) -> collections.abc.Iterator[tuple[str, object]]:
    if isinstance(value, random.Random):
        yield "state", repr(value.getstate())
    elif isinstance(value, types.MethodType):
        yield "self", value.__self__
    elif isinstance(value, OPAQUE) or callable(value) and not hasattr(value, "__dict__"):
        return
    elif isinstance(value, collections.abc.Mapping):
        for number, (key, child) in enumerate(value.items()):
            yield f"{number}k", key
            yield f"{number}v", child
    elif isinstance(value, set | frozenset):
        yield "set", repr(sorted(map(repr, value)))
    elif isinstance(value, list | tuple | collections.deque):
        yield from ((str(number), child) for number, child in enumerate(value))
    else:
        for name in _names(value):
            if hasattr(value, name):
                yield name, getattr(value, name)


def _names(value: typing.Any) -> list[str]:
    slots = [
        name
        for each in type(value).__mro__
        for name in getattr(each, "__slots__", ())
        if name != "__weakref__"
    ]
    return sorted({*getattr(value, "__dict__", ()), *slots})
