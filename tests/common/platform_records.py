"""Builders of the records that operators and backend servers write to the platform's store."""

import json

ENTRY = {
    "service": "huvo11a",
    "addr": "10.128.0.9:8080",
    "zone": "puget-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "warmup_left_ms": 0,
    "db_role": "replica",
    "born": 1700000000000,
    "seq": 4,
}
DEEP_NESTING = b'{"service":' + b"[" * 100_000
"""Nested more deeply than any decoder follows."""
ODD_VALUES = {
    "service": ["\ud800", "a b", "a\r\nb", "", 5, None, "x" * 1000],
    "addr": ["10.128.0.9:70000", "10.128.0.9:0", "10.128.0.9:" + "9" * 5000, "10.128.0.9", 5],
    "zone": ["\ud800", "", 5, None],
    "version": ["\ud800", 5, None],
    "slots": [0, -1, 10**30, 1e300, True, "3"],
    "state": ["resting", "\ud800", 5],
    "warmup_left_ms": [-1, 10**30, float("inf"), float("nan"), "0", True],
    "db_role": ["leader", 5, None],
    "born": [-1, 10**30, 1.5, float("nan"), "0", None],
    "seq": [-1, 10**30, 1.5, None],
}
"""Values that no server writes, by field."""
ROUTE = {
    "name": "r-1",
    "host": "fiti832",
    "prefix": "/",
    "type": "read_your_writes",
    "timeout_ms": 800,
    "target_latency_ms": 1000,
    "priority": 2,
    "service": "huvo11a",
    "max_staleness_ms": 2500,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "huvo11a", "max_conns": 23, "sync_replicas": 1}],
    "limits": {"tx_idle_ms": 3000},
}


def server_entry(**changes: object) -> bytes:
    """Build the entry of a server with some of its fields changed."""
    return json.dumps({**ENTRY, **changes}).encode()


def odd_entries(**changes: object) -> list[bytes]:
    """Build entries of another writer, each with one field odd or missing."""
    sound = {**ENTRY, **changes}
    odd = [
        json.dumps({**sound, field: value}).encode()
        for field, values in ODD_VALUES.items()
        for value in values
    ]
    missing = [
        json.dumps({name: value for name, value in sound.items() if name != field}).encode()
        for field in sound
        if field != "born"
    ]
    return [*odd, *missing, DEEP_NESTING]


def configuration(**changes: object) -> bytes:
    """Build a configuration with some of its fields changed."""
    return json.dumps({**CONFIGURATION, **changes}).encode()
