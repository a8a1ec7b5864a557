"""Numbered log events; docs/EVENTS.md is their catalogue."""

import dataclasses
import enum
import json
import sys

import logbook

LOGGER = logbook.Logger("mustardswitch")


@dataclasses.dataclass(frozen=True)
class EventKind:
    """Number, level and message of an event."""

    number: int
    level: int
    message: str


class Event(enum.Enum):
    """Everything that is logged."""

    STARTED = EventKind(100, logbook.INFO, "instance started")
    """The instance takes callers."""
    DRAINING = EventKind(101, logbook.INFO, "instance is draining")
    """SIGTERM came; no new connections are taken."""
    STOPPED = EventKind(102, logbook.INFO, "instance stopped")
    """Everything in flight has ended."""
    TASK_FAILED = EventKind(103, logbook.ERROR, "task failed and is restarted")
    """A defect; the task was started again."""
    SECTION_APPLIED = EventKind(200, logbook.INFO, "section applied")
    """A section of the document is in force here."""
    SECTION_REJECTED = EventKind(201, logbook.ERROR, "section rejected")
    """A section fails its checks; the last good one stays in force."""
    STORE_UNAVAILABLE = EventKind(202, logbook.WARNING, "store unavailable")
    """The platform's store gave no answer."""
    STORE_AVAILABLE = EventKind(203, logbook.INFO, "store available")
    """The platform's store answers again."""
    MEMBER_SUSPECTED = EventKind(300, logbook.INFO, "member suspected")
    """An instance answered neither directly nor through others."""
    MEMBER_DEAD = EventKind(301, logbook.WARNING, "member declared dead")
    """An instance stayed suspect."""
    HOME_TAKEN = EventKind(400, logbook.INFO, "home of slot taken")
    """This instance holds the connections to a slot from now on."""
    HOME_RELEASED = EventKind(401, logbook.INFO, "home of slot released")
    """Another instance holds the connections to a slot from now on."""
    SLOT_UNREACHABLE = EventKind(402, logbook.WARNING, "slot unreachable")
    """The control connection to a slot broke."""
    SLOT_REACHABLE = EventKind(403, logbook.INFO, "slot reachable")
    """The control connection to a slot stands."""
    FAILOVER_STARTED = EventKind(500, logbook.WARNING, "failover started")
    """This instance fences the slots of a group."""
    PRIMARY_PROMOTED = EventKind(501, logbook.WARNING, "primary promoted")
    """A slot leads its group at a new term."""
    VIEW_CHANGED = EventKind(502, logbook.INFO, "primary changed")
    """Another primary is known for a group."""
    STATEMENT_UNKNOWN = EventKind(600, logbook.WARNING, "outcome of statement unknown")
    """A caller was told that the outcome is not known."""
    PRUNE_FAILED = EventKind(602, logbook.WARNING, "request records not pruned")
    """Old request ids could not be removed; it is tried again."""
    CALLER_REFUSED = EventKind(601, logbook.INFO, "caller refused")
    """A caller could not log in."""
    KEYS_RELOADED = EventKind(700, logbook.INFO, "keys reloaded")
    """TLS keys were read again."""
    KEYS_REJECTED = EventKind(701, logbook.ERROR, "keys rejected")
    """TLS files cannot be used; the old keys stay in force."""


def log(event: Event, **fields: object) -> None:
    """Log one event with its fields."""
    LOGGER.log(event.value.level, event.value.message, extra={"event": event, "fields": fields})


def format_record(record: logbook.LogRecord, handler: object) -> str:
    """Write a record as one line of JSON."""
    event = record.extra.get("event")
    body = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": logbook.get_level_name(record.level).lower(),
        "event": event.value.number if isinstance(event, Event) else 0,
        "message": record.message,
        **{name: str(value) for name, value in (record.extra.get("fields") or {}).items()},
    }
    return json.dumps(body)


def stderr_handler() -> logbook.StreamHandler:
    """Build the handler that writes events to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
    handler.formatter = format_record
    return handler
