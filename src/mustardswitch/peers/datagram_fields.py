"""Fields of datagrams between instances that occur in several parts of them."""

from mustardswitch.internal import former_primary, ids, positions
from mustardswitch.peers import errors

MAX_NUMBER = 1 << 63


def encode_position(position: positions.Position | None) -> list[int] | None:
    """Encode a position, or None."""
    return None if position is None else [position.term, position.offset]


def decode_position(value: object) -> positions.Position | None:
    """Decode a position, or None; raises InvalidDatagramError."""
    if value is None:
        return None
    if not isinstance(value, list) or len(value) != 2:
        raise errors.InvalidDatagramError("expected a term and an offset")
    term, offset = map(decode_number, value)
    return positions.Position(term=ids.Term(term), offset=ids.Offset(offset))


def decode_list(value: object, limit: int) -> list:
    """Return a list of at most ``limit`` items; raises InvalidDatagramError."""
    if not isinstance(value, list) or len(value) > limit:
        raise errors.InvalidDatagramError(f"expected a list of at most {limit} items")
    return value


def decode_number(value: object) -> int:
    """Decode a whole number; raises InvalidDatagramError."""
    if type(value) is not int or not 0 <= value < MAX_NUMBER:
        raise errors.InvalidDatagramError(f"expected a whole number below {MAX_NUMBER}")
    return value


def decode_server(service: object, server: object) -> tuple[ids.ServiceName, ids.ServerId]:
    """Decode the names of a service and of one of its servers; raises InvalidDatagramError."""
    if not all(isinstance(part, str) and part for part in (service, server)):
        raise errors.InvalidDatagramError("service and server must be non-empty strings")
    return ids.ServiceName(service), ids.ServerId(server)


def decode_asked_at(value: object) -> float:
    """Decode when a sender asked, in seconds of its own clock; raises InvalidDatagramError."""
    asked_at_s = decode_time(value)
    if asked_at_s is None:
        raise errors.InvalidDatagramError("expected the time at which it was asked")
    return asked_at_s


def decode_time(value: object) -> float | None:
    """Decode a time in seconds, or None; raises InvalidDatagramError."""
    if value is None:
        return None
    if type(value) not in (int, float) or not -MAX_NUMBER < value < MAX_NUMBER:
        raise errors.InvalidDatagramError("expected a time in seconds")
    return float(value)


def encode_age(age_s: float) -> float | None:
    """Encode an age in seconds, or that something never happened."""
    return None if age_s == former_primary.NEVER_S else round(age_s, 3)


def decode_age(value: object) -> float:
    """Decode an age in seconds; raises InvalidDatagramError."""
    age_s = decode_time(value)
    if age_s is None:
        return former_primary.NEVER_S
    if age_s < 0:
        raise errors.InvalidDatagramError("expected an age in seconds")
    return age_s
