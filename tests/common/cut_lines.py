"""The lines of events as collected logs keep them, and names that are as long as the users'."""

import json

import logbook

from mustardswitch import events
from mustardswitch.internal import ids

CUT = 200
"""Characters of a line that are kept."""
SERVICE = ids.ServiceName("woyy70f")
FORMER, PROMOTED = ids.ServerId("i-30a0e682"), ids.ServerId("i-940e7b62")
HOLDER = ids.InstanceId("edge-kamchatka-c-123")


def lines(handler: logbook.TestHandler, event: events.Event) -> list[str]:
    """Return the lines of an event as collected logs keep them."""
    return [
        events.format_record(record, None)[:CUT]
        for record in handler.records
        if record.extra["event"] is event
    ]


def fields(line: str) -> dict[str, str]:
    """Return the fields that are complete in a cut line."""
    for end in range(len(line), 0, -1):
        if line[end - 1] == '"':
            try:
                return json.loads(f"{line[:end]}}}")
            except ValueError:
                continue
    raise AssertionError(f"no complete field in {line!r}")
