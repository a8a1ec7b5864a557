"""Decodes what operators and backend servers write into the store.

A record that cannot be used raises InvalidRecordError with the field and the remedy; it names
nothing and takes nothing away that was known.
"""

import collections.abc
import ipaddress
import json

from mustardswitch.internal import ids, promotion
from mustardswitch.platform import errors
from mustardswitch.proxy import ports, requests, routes

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"

_ROLES = {role.value: role for role in promotion.Role}
_LEAVING = {"ready": False, "draining": True}
_KINDS = {kind.value: kind for kind in requests.RouteKind}
LOWEST_PRIORITY = 100
"""Priority of a route that states none."""

Record = collections.abc.Mapping[str, object]


def _parse(value: bytes, what: str) -> Record:
    try:
        record = json.loads(value)
    except ValueError as error:
        raise errors.InvalidRecordError(f"{what} is not JSON; write an object") from error
    if not isinstance(record, dict):
        raise errors.InvalidRecordError(f"{what} is no object; write one")
    return record


def _field(record: Record, name: str, kind: type, what: str) -> object:
    value = record.get(name)
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise errors.InvalidRecordError(
            f"{what}: field {name} is {value!r:.64}; give a value of type"
            f" {getattr(kind, '__name__', kind)}"
        )
    return value


def _word(record: Record, name: str, words: collections.abc.Mapping, what: str) -> object:
    value = record.get(name)
    if not isinstance(value, str) or value not in words:
        raise errors.InvalidRecordError(
            f"{what}: field {name} is {value!r:.64}; give one of {', '.join(words)}"
        )
    return words[value]


def parse_address(text: str, what: str) -> tuple[str, int]:
    """Read an IP address and port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError as error:
        raise errors.InvalidRecordError(
            f"{what}: address {text!r:.64} is unusable; give IP:PORT"
        ) from error
    if not 0 < number < 65536:
        raise errors.InvalidRecordError(f"{what}: port {number} is unusable; give 1 to 65535")
    return host, number


def decode_server(key: str, value: bytes, revision: int) -> ports.ServerEntry:
    """Read the entry of a backend server."""
    server = ids.ServerId(key.removeprefix(SERVERS_PREFIX))
    what = f"entry of server {server}"
    record = _parse(value, what)
    host, port = parse_address(_field(record, "addr", str, what), what)
    slots = _field(record, "slots", int, what)
    service = _field(record, "service", str, what)
    if not service or " " in service or not server or " " in server:
        raise errors.InvalidRecordError(f"{what}: names have no blanks; give service and id")
    return ports.ServerEntry(
        server=server,
        service=ids.ServiceName(service),
        host=host,
        port=port,
        zone=ids.ZoneName(_field(record, "zone", str, what)),
        slots=max(1, slots),
        leaving=_word(record, "state", _LEAVING, what),
        role=_word(record, "db_role", _ROLES, what),
        # The time of the server's start, not of its data's creation.
        started_ms=_field(record, "born", int, what) if "born" in record else 0,
        revision=revision,
    )


def decode_configuration(value: bytes) -> routes.Configuration:
    """Read the operators' configuration."""
    what = "configuration"
    record = _parse(value, what)
    limits = record.get("limits")
    idle_ms = limits.get("tx_idle_ms") if isinstance(limits, dict) else None
    if not isinstance(idle_ms, int | float) or idle_ms <= 0:
        raise errors.InvalidRecordError(
            f"{what}: field limits.tx_idle_ms is {idle_ms!r:.64}; give a positive number"
        )
    decoded = [_decode_route(route) for route in _field(record, "routes", list, what)]
    services = [_decode_service(entry) for entry in _field(record, "services", list, what)]
    return routes.Configuration(
        version=_field(record, "version", int, what),
        routes={route.database: route for route in decoded},
        services={entry.service: entry for entry in services},
        transaction_idle_s=idle_ms / 1000,
    )


def _decode_route(record: object) -> routes.Route:
    if not isinstance(record, dict):
        raise errors.InvalidRecordError("a route is no object; write one")
    what = f"route {record.get('name')!r:.64}"
    staleness_ms = record.get("max_staleness_ms", 0)
    priority = record.get("priority", LOWEST_PRIORITY)
    return routes.Route(
        # The wire calls the name of a database its host.
        database=ids.DatabaseName(_field(record, "host", str, what)),
        service=ids.ServiceName(_field(record, "service", str, what)),
        kind=_word(record, "type", _KINDS, what),
        statement_timeout_s=_field(record, "timeout_ms", int | float, what) / 1000,
        max_staleness_s=staleness_ms / 1000 if isinstance(staleness_ms, int | float) else 0.0,
        priority=priority if isinstance(priority, int) else LOWEST_PRIORITY,
    )


def _decode_service(record: object) -> routes.ServiceLimits:
    if not isinstance(record, dict):
        raise errors.InvalidRecordError("a service is no object; write one")
    what = f"service {record.get('name')!r:.64}"
    replicas = record.get("sync_replicas", 0)
    return routes.ServiceLimits(
        service=ids.ServiceName(_field(record, "name", str, what)),
        max_connections=_field(record, "max_conns", int, what),
        synchronous_replicas=replicas if isinstance(replicas, int) else 0,
    )
