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


def configuration(**changes: object) -> bytes:
    """Build a configuration with some of its fields changed."""
    return json.dumps({**CONFIGURATION, **changes}).encode()
