"""The records of what a change of primary waits for, and of what an operator gives up for it.

The holder of a claim records a wait, bound to a lease. An operator who gives commits up records the
decision beside that. It names the change, and what was known to be acknowledged then, so it is void
for a later change, and once more is known.
"""

import collections.abc
import dataclasses
import json
import time
import typing

from mustardswitch.internal import errors as internal_errors
from mustardswitch.internal import ids, positions, promotion
from mustardswitch.proxy import errors

MAX_RECORD_BYTES = 16384
"""Largest record that is decoded; far larger than one that an instance or operator writes."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """What a change of primary waits for."""

    change: int
    """The fencing token of the claim under which the change began to wait."""
    era: int
    """The store's era in which it was recorded."""
    since_ms: int
    """When the change began to wait, in Unix milliseconds."""
    former: ids.ServerId | None
    """The primary that is to be replaced; None if it is not known."""
    state: promotion.FormerPrimary
    """What is known of that primary."""
    missing: frozenset[ids.ServerId]
    """Servers that may have confirmed commits, and whose logs are not known."""
    ended: frozenset[ids.ServerId] = frozenset()
    """Those of them whose processes have ended."""
    above: positions.Position | None = None
    """A position below a commit that an instance has acknowledged; None if none is known."""
    unreached: bool = False
    """Whether no log in reach has that commit."""

    @property
    def waited_s(self) -> float:
        """Seconds since the change began to wait, by the time of day."""
        return max(0.0, time.time() - self.since_ms / 1000)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """What an operator gives up for a change of primary."""

    change: int
    """The change that it is for; see ``Wait``."""
    era: int
    missing: frozenset[ids.ServerId]
    """Servers that need not be waited for; commits that only they have are lost."""
    above: positions.Position | None
    """What was known to be acknowledged at that time; it says nothing of commits above that."""
    acknowledged: bool
    """Whether the commit that was acknowledged above that position is given up."""
    operator: str
    at_ms: int
    """When it was recorded, in Unix milliseconds."""

    def is_for(self, wait: Wait) -> bool:
        """Return whether it is for a change, and was made with all that is known by now."""
        if (self.change, self.era) != (wait.change, wait.era):
            return False
        return wait.above is None or (self.above is not None and wait.above <= self.above)


def encode_wait(wait: Wait) -> bytes:
    """Encode what a change waits for."""
    return _encode(
        {
            "change": wait.change,
            "era": wait.era,
            "since_ms": wait.since_ms,
            "former": wait.former,
            "state": wait.state.value,
            "missing": sorted(wait.missing),
            "ended": sorted(wait.ended),
            "above": None if wait.above is None else str(wait.above),
            "unreached": wait.unreached,
        }
    )


def decode_wait(value: bytes) -> Wait:
    """Decode what a change waits for; raises FleetRecordError."""
    record = _decode(value)
    former, state = record.get("former"), record.get("state")
    if state not in {each.value for each in promotion.FormerPrimary}:
        raise errors.FleetRecordError(f"field state is {state!r:.64}, no state of a primary")
    return Wait(
        change=_number(record, "change"),
        era=_number(record, "era"),
        since_ms=_number(record, "since_ms"),
        former=None if former is None else ids.ServerId(_text(record, "former")),
        state=promotion.FormerPrimary(state),
        missing=_servers(record, "missing"),
        ended=_servers(record, "ended"),
        above=_position(record, "above"),
        unreached=_flag(record, "unreached"),
    )


def encode_decision(decision: Decision) -> bytes:
    """Encode what an operator gives up."""
    return _encode(
        {
            "change": decision.change,
            "era": decision.era,
            "missing": sorted(decision.missing),
            "above": None if decision.above is None else str(decision.above),
            "acknowledged": decision.acknowledged,
            "operator": decision.operator,
            "at_ms": decision.at_ms,
        }
    )


def decode_decision(value: bytes) -> Decision:
    """Decode what an operator gives up; raises FleetRecordError."""
    record = _decode(value)
    return Decision(
        change=_number(record, "change"),
        era=_number(record, "era"),
        missing=_servers(record, "missing"),
        above=_position(record, "above"),
        acknowledged=_flag(record, "acknowledged"),
        operator=_text(record, "operator"),
        at_ms=_number(record, "at_ms"),
    )


Fields = collections.abc.Mapping[str, typing.Any]


def _encode(fields: Fields) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def _decode(value: bytes) -> Fields:
    if len(value) > MAX_RECORD_BYTES:
        raise errors.FleetRecordError(f"longer than {MAX_RECORD_BYTES} bytes")
    try:
        record = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise errors.FleetRecordError("not JSON, or nested deeply") from error
    if not isinstance(record, dict):
        raise errors.FleetRecordError("not an object")
    return record


def _number(record: Fields, field: str) -> int:
    number = record.get(field)
    if not isinstance(number, int) or isinstance(number, bool) or number < 0:
        raise errors.FleetRecordError(f"field {field} is {number!r:.64}, no whole number")
    return number


def _flag(record: Fields, field: str) -> bool:
    flag = record.get(field)
    if not isinstance(flag, bool):
        raise errors.FleetRecordError(f"field {field} is {flag!r:.64}, not true or false")
    return flag


def _text(record: Fields, field: str) -> str:
    text = record.get(field)
    if not isinstance(text, str) or not text.isprintable():
        raise errors.FleetRecordError(f"field {field} is {text!r:.64}, no printable text")
    return text


def _servers(record: Fields, field: str) -> frozenset[ids.ServerId]:
    names = record.get(field)
    if not isinstance(names, list) or not all(isinstance(each, str) for each in names):
        raise errors.FleetRecordError(f"field {field} is {names!r:.64}, no list of servers")
    return frozenset(map(ids.ServerId, names))


def _position(record: Fields, field: str) -> positions.Position | None:
    if record.get(field) is None:
        return None
    try:
        return positions.parse_position(_text(record, field))
    except internal_errors.InvalidPositionError as error:
        raise errors.FleetRecordError(f"field {field}: {error}") from error
