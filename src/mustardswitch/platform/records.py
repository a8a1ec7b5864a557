"""Decodes the records that operators and backend servers write to the store.

An invalid record raises InvalidRecordError, which names the field and the remedy. No part of such a
record is used; the last valid record of its key stays in effect, that of a server until it would
have expired.
"""

import collections.abc
import dataclasses
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
MAX_NAME_LENGTH = 200
"""Characters of a name; the store's limit for a key is 200 bytes."""
MAX_SLOTS = 65535
"""Largest number of statements that a server can run at once; one for each of its connections."""
MAX_WARM_UP_MS = 24 * 3600 * 1000
"""Longest time in milliseconds for which a server may be slow after its start."""
MAX_TIME_MS = 10**14
"""Latest time of day in milliseconds, thousands of years from now."""
MAX_SEQUENCE = 2**53
"""Largest number of an entry, the largest whole number that all JSON libraries keep."""
MAX_RATE_PER_S = 10**9
"""Largest limit of a tenant, in operations per second; far more than a fleet serves."""
DEFAULT_PRIORITY = 100
"""Priority of a route without one; the lowest."""

Record = collections.abc.Mapping[str, object]


def _parse(value: bytes, subject: str) -> Record:
    try:
        record = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidRecordError(
            f"{subject} is not JSON or nested too deeply; write an object"
        ) from error
    if not isinstance(record, dict):
        raise errors.InvalidRecordError(f"{subject} is not an object; write one")
    return record


def _field(record: Record, name: str, kind: type, subject: str) -> object:
    value = record.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise errors.InvalidRecordError(
            f"{subject}: field {name} is {value!r:.64}; give a value of type"
            f" {getattr(kind, '__name__', kind)}"
        )
    return value


def _number(
    record: Record, name: str, subject: str, *, least: int = 0, most: int, kind: type = int
) -> int | float:
    number = _field(record, name, kind, subject)
    if not least <= number <= most:
        raise errors.InvalidRecordError(
            f"{subject}: field {name} is out of range; give {least} to {most}"
        )
    return number


def _name(record: Record, name: str, subject: str) -> str:
    return _check_name(_field(record, name, str, subject), f"{subject}: field {name}")


def _check_name(text: str, subject: str) -> str:
    """Return a name that can be encoded as one field of a line; raises InvalidRecordError."""
    if not text or len(text) > MAX_NAME_LENGTH or not text.isprintable() or " " in text:
        raise errors.InvalidRecordError(
            f"{subject} is {ascii(text):.64}; names must be printable and have no blanks"
        )
    return text


def _choice(record: Record, name: str, choices: collections.abc.Mapping, subject: str) -> object:
    value = record.get(name)
    if not isinstance(value, str) or value not in choices:
        raise errors.InvalidRecordError(
            f"{subject}: field {name} is {value!r:.64}; give one of {', '.join(choices)}"
        )
    return choices[value]


def parse_address(text: str, subject: str) -> tuple[str, int]:
    """Parse ``IP:PORT``; raises InvalidRecordError, whose message names ``subject``."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        number = int(port) if port.isascii() else 0
    except ValueError as error:
        raise errors.InvalidRecordError(
            f"{subject}: address {text!r:.64} is invalid; give IP:PORT"
        ) from error
    if not 0 < number < 65536:
        raise errors.InvalidRecordError(
            f"{subject}: port {number} is out of range; give 1 to 65535"
        )
    return host, number


def decode_server(key: str, value: bytes, revision: int) -> ports.ServerEntry:
    """Decode the entry of a backend server; raises InvalidRecordError.

    ``revision`` is the store's revision of the entry. Fields that are not used are checked, too:
    an entry of which any is missing or out of range is another writer's, and names no server.
    """
    server = ids.ServerId(_check_name(key.removeprefix(SERVERS_PREFIX), "id of a server"))
    subject = f"entry of server {server}"
    record = _parse(value, subject)
    host, port = parse_address(_field(record, "addr", str, subject), subject)
    _name(record, "version", subject)
    return ports.ServerEntry(
        server=server,
        service=ids.ServiceName(_name(record, "service", subject)),
        host=host,
        port=port,
        zone=ids.ZoneName(_name(record, "zone", subject)),
        slots=_number(record, "slots", subject, least=1, most=MAX_SLOTS),
        leaving=_choice(record, "state", _LEAVING, subject),
        role=_choice(record, "db_role", _ROLES, subject),
        # Time of the server's start, not of the creation of its data.
        started_ms=(_number(record, "born", subject, most=MAX_TIME_MS) if "born" in record else 0),
        revision=revision,
        warmup_left_ms=_number(
            record, "warmup_left_ms", subject, most=MAX_WARM_UP_MS, kind=int | float
        ),
        sequence=_number(record, "seq", subject, most=MAX_SEQUENCE),
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _DecodedRoute:
    record: object
    route: routes.Route


class ConfigurationDecoder:
    """Decodes versions of the operators' configuration, each route only when it has changed.

    Decoding takes most of the time for a version with many routes, and few of them change.
    """

    def __init__(self) -> None:
        self.decoded: dict[ids.DatabaseName, _DecodedRoute] = {}
        """The routes of the last valid version, with the records they were decoded from."""

    def decode(self, value: bytes) -> routes.Configuration:
        """Decode a version; raises InvalidRecordError."""
        decoded: dict[ids.DatabaseName, _DecodedRoute] = {}
        configuration = _decode_configuration(value, lambda record: self._route(record, decoded))
        self.decoded = decoded
        return configuration

    def _route(
        self, record: object, decoded: dict[ids.DatabaseName, _DecodedRoute]
    ) -> routes.Route:
        host = record.get("host") if isinstance(record, dict) else None
        known = self.decoded.get(host) if isinstance(host, str) else None
        if known is None or known.record != record:
            known = _DecodedRoute(record=record, route=_decode_route(record))
        decoded[known.route.database] = known
        return known.route


def decode_configuration(value: bytes) -> routes.Configuration:
    """Decode the operators' configuration; raises InvalidRecordError."""
    return ConfigurationDecoder().decode(value)


def _decode_configuration(
    value: bytes, decode_route: collections.abc.Callable[[object], routes.Route]
) -> routes.Configuration:
    subject = "configuration"
    record = _parse(value, subject)
    limits = record.get("limits")
    idle_ms = limits.get("tx_idle_ms") if isinstance(limits, dict) else None
    if not isinstance(idle_ms, int | float) or idle_ms <= 0:
        raise errors.InvalidRecordError(
            f"{subject}: field limits.tx_idle_ms is {idle_ms!r:.64}; give a positive number"
        )
    decoded = [decode_route(route) for route in _field(record, "routes", list, subject)]
    services = [_decode_service(entry) for entry in _field(record, "services", list, subject)]
    tenants = [_decode_tenant(entry) for entry in _tenant_records(record)]
    return routes.Configuration(
        version=_field(record, "version", int, subject),
        routes={route.database: route for route in decoded},
        services={entry.service: entry for entry in services},
        transaction_idle_s=idle_ms / 1000,
        tenants={tenant.name: tenant for tenant, _ in tenants},
        tenant_by_key={key: tenant.name for tenant, keys in tenants for key in keys},
    )


def _tenant_records(record: Record) -> list[object]:
    return _secret_list(record, "tenants", "configuration") if record.get("tenants") else []


def _secret_list(record: Record, name: str, subject: str) -> list[object]:
    """Return a list with keys in it; errors do not show what is there instead."""
    value = record.get(name)
    if not isinstance(value, list):
        raise errors.InvalidRecordError(f"{subject}: field {name} is no list; give one")
    return value


def _decode_tenant(record: object) -> tuple[routes.Tenant, list[ids.CallerKey]]:
    """Return a tenant and its keys; errors name the tenant, never a key."""
    if not isinstance(record, dict):
        raise errors.InvalidRecordError("a tenant is not an object; write one")
    if not isinstance(record.get("name"), str):
        raise errors.InvalidRecordError("a tenant has no name; give a string")
    subject = f"tenant {record['name']!r:.64}"
    keys = _secret_list(record, "api_keys", subject) if "api_keys" in record else []
    if not all(isinstance(key, str) and key for key in keys):
        raise errors.InvalidRecordError(f"{subject}: field api_keys must list non-empty strings")
    limit = {}
    if record.get("rate_per_s") is not None:
        limit["rate_per_s"] = _number(
            record, "rate_per_s", subject, most=MAX_RATE_PER_S, kind=int | float
        )
        if record.get("burst") is not None:
            limit["burst"] = _number(
                record, "burst", subject, most=MAX_RATE_PER_S, kind=int | float
            )
    tenant = routes.Tenant(name=ids.TenantName(_name(record, "name", subject)), **limit)
    return tenant, [ids.CallerKey(key) for key in keys]


def _decode_route(record: object) -> routes.Route:
    if not isinstance(record, dict):
        raise errors.InvalidRecordError("a route is not an object; write one")
    subject = f"route {record.get('name')!r:.64}"
    staleness_ms = record.get("max_staleness_ms", 0)
    priority = record.get("priority", DEFAULT_PRIORITY)
    target_ms = record.get("target_latency_ms")
    return routes.Route(
        # On the wire the name of a database is called its host.
        database=ids.DatabaseName(_name(record, "host", subject)),
        service=ids.ServiceName(_name(record, "service", subject)),
        kind=_choice(record, "type", _KINDS, subject),
        statement_timeout_s=_field(record, "timeout_ms", int | float, subject) / 1000,
        max_staleness_s=staleness_ms / 1000 if isinstance(staleness_ms, int | float) else 0.0,
        priority=priority if isinstance(priority, int) else DEFAULT_PRIORITY,
        target_latency_s=(
            target_ms / 1000 if isinstance(target_ms, int | float) and target_ms > 0 else None
        ),
        public=record.get("public") is True,
    )


def _decode_service(record: object) -> routes.ServiceLimits:
    if not isinstance(record, dict):
        raise errors.InvalidRecordError("a service is not an object; write one")
    subject = f"service {record.get('name')!r:.64}"
    replicas = record.get("sync_replicas", 0)
    return routes.ServiceLimits(
        service=ids.ServiceName(_name(record, "name", subject)),
        max_connections=_field(record, "max_conns", int, subject),
        synchronous_replicas=replicas if isinstance(replicas, int) else 0,
    )
