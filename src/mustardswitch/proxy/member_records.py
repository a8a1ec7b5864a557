"""The records of a service's members and of their number: codecs, and what instances learn.

A server stays in the record without an entry until it is known to hold no commit alone. A member
that an instance has never known counts like a replica whose entry has just expired; the recorded
primary also as the former primary, while no server is known to lead. The number is the most servers
that were listed at a time; it tells instances that start whether a server is missing.
"""

import collections.abc
import dataclasses
import ipaddress
import json

from mustardswitch import events
from mustardswitch.internal import change_log, clock, ids, members, positions, promotion
from mustardswitch.internal import errors as internal_errors
from mustardswitch.proxy import errors, ports, server, service, unlisted

MAX_MEMBERS = 64
"""Members in a record; several times the servers of a service."""
MAX_RECORD_BYTES = 65536
"""Largest record that is decoded; far larger than one that an instance writes."""
MAX_NAME_LENGTH = 200
MAX_PORT = 65535
MAX_SLOTS = 65535
MAX_TIME_MS = 10**14
"""Latest start of a server in milliseconds, thousands of years from now."""

_ROLES = {role.value: role for role in promotion.Role}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberRecord:
    """The members of a service as recorded, and the store's revision of the record."""

    entries: tuple[ports.ServerEntry, ...] = ()
    """Empty for a record that cannot be decoded."""
    revision: int = 0
    """0 without a record."""
    covered: collections.abc.Mapping[members.Member, positions.Position] = dataclasses.field(
        default_factory=dict
    )
    """Members whose processes have ended, and positions that they held nothing above."""
    is_durable: bool = True
    """Whether it tells which members are covered; records of earlier builds do not."""
    forgotten: frozenset[members.Member] = frozenset()
    """Servers that were members, held nothing alone and were replaced. A server that is missing
    from the record otherwise may be unknown to the instance that wrote it."""

    @property
    def members(self) -> frozenset[members.Member]:
        """The recorded servers and their starts."""
        return frozenset(unlisted.member_of(entry) for entry in self.entries)


NO_RECORD = MemberRecord()


def primaries(entries: collections.abc.Iterable[ports.ServerEntry]) -> set[ids.ServerId]:
    """Return the servers that report the role of the primary in their entries."""
    return {entry.server for entry in entries if entry.role is promotion.Role.PRIMARY}


def _limited(entries: collections.abc.Iterable[ports.ServerEntry]) -> list[ports.ServerEntry]:
    """Return the entries that a record lists, in its order."""
    primary = promotion.Role.PRIMARY
    return sorted(entries, key=lambda each: (each.role is not primary, each.server))[:MAX_MEMBERS]


def counted_entries(target: service.Service) -> list[ports.ServerEntry]:
    """Return the entries of the servers that may hold acknowledged commits, as recorded.

    A former primary whose entry expired is one of them, unless it has left.
    """
    counted = target.possible_holders()
    former = target.former_primary
    if former is not None and not target.former_has_left:
        counted = {former.server: former} | counted
    return _limited(backend.entry for backend in counted.values())


def covered_members(
    target: service.Service, entries: collections.abc.Iterable[ports.ServerEntry]
) -> dict[members.Member, positions.Position]:
    """Return those of the members that are covered, and the positions."""
    counted = set(map(unlisted.member_of, entries))
    return {member: end for member, end in target.covered.ends.items() if member in counted}


def forgotten_members(
    target: service.Service,
    entries: collections.abc.Iterable[ports.ServerEntry],
    record: MemberRecord,
) -> frozenset[members.Member]:
    """Return the servers that are told as forgotten: those of this instance, or of the record."""
    own = frozenset(target.forgotten)
    told = own or record.forgotten
    return told - frozenset(map(unlisted.member_of, entries))


def encode(
    entries: collections.abc.Iterable[ports.ServerEntry],
    *,
    covered: collections.abc.Mapping[members.Member, positions.Position] | None = None,
    forgotten: collections.abc.Iterable[members.Member] = (),
) -> bytes:
    """Encode the members of a service."""
    ends = covered or {}
    # Beside each member, since builds before read a list of members and no other fields.
    told = sorted(f"{server} {started_ms}" for server, started_ms in forgotten)
    record = [
        {
            "server": entry.server,
            "host": entry.host,
            "port": entry.port,
            "zone": entry.zone,
            "slots": entry.slots,
            "started_ms": entry.started_ms,
            "role": entry.role.value,
            "leaving": entry.leaving,
            "covered": str(ends.get(unlisted.member_of(entry), "")),
            **({"forgotten": told} if told else {}),
        }
        for entry in _limited(entries)
    ]
    return json.dumps(record, separators=(",", ":")).encode()


def decode(name: ids.ServiceName, value: bytes) -> tuple[ports.ServerEntry, ...]:
    """Decode the members of a service; raises FleetRecordError."""
    return decode_record(name, value, revision=0).entries


def decode_record(name: ids.ServiceName, value: bytes, *, revision: int) -> MemberRecord:
    """Decode a record with what it tells of each member; raises FleetRecordError."""
    listed = _decode_list(name, value)
    entries = [_decode_member(name, each) for each in listed]
    marks = [each.get("covered") for each in listed]
    return MemberRecord(
        entries=tuple(entries),
        revision=revision,
        covered={
            unlisted.member_of(entry): _decode_end(mark)
            for entry, mark in zip(entries, marks, strict=True)
            if mark
        },
        is_durable=None not in marks,
        forgotten=frozenset(
            _decode_forgotten(text) for each in listed[:1] for text in _forgotten_texts(each)
        ),
    )


def _forgotten_texts(record: collections.abc.Mapping[str, object]) -> list[object]:
    texts = record.get("forgotten", [])
    if not isinstance(texts, list):
        raise errors.FleetRecordError(f"field forgotten is {texts!r:.64}; not a list")
    return texts


def _decode_forgotten(text: object) -> members.Member:
    name, _, started_ms = text.partition(" ") if isinstance(text, str) else ("", "", "")
    if not name or not started_ms.isdecimal() or len(started_ms) > len(str(MAX_TIME_MS)):
        raise errors.FleetRecordError(
            f"field forgotten is {text!r:.64}; not a server and its start"
        )
    return ids.ServerId(name), int(started_ms)


def _decode_end(text: object) -> positions.Position:
    try:
        return positions.parse_position(text if isinstance(text, str) else "")
    except internal_errors.InvalidPositionError as error:
        raise errors.FleetRecordError(f"field covered: {error}") from error


def _decode_list(name: ids.ServiceName, value: bytes) -> list[object]:
    if len(value) > MAX_RECORD_BYTES:
        raise errors.FleetRecordError(f"members of {name}: longer than {MAX_RECORD_BYTES} bytes")
    try:
        listed = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise errors.FleetRecordError(f"members of {name}: not JSON, or nested deeply") from error
    if not isinstance(listed, list) or len(listed) > MAX_MEMBERS:
        raise errors.FleetRecordError(f"members of {name}: not a list of up to {MAX_MEMBERS}")
    named = [each.get("server") for each in listed if isinstance(each, dict)]
    if any(named.count(each) > 1 for each in named):
        raise errors.FleetRecordError(f"members of {name}: a server is listed twice")
    return listed


def _decode_member(name: ids.ServiceName, record: object) -> ports.ServerEntry:
    if not isinstance(record, dict):
        raise errors.FleetRecordError(f"members of {name}: a member is not an object")
    host, role = _name(record, "host"), record.get("role")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise errors.FleetRecordError(f"field host is {host!r:.64}, no IP address") from error
    if not isinstance(role, str) or role not in _ROLES:
        raise errors.FleetRecordError(f"field role is {role!r:.64}; one of {', '.join(_ROLES)}")
    if not isinstance(record.get("leaving"), bool):
        raise errors.FleetRecordError("field leaving is not true or false")
    return ports.ServerEntry(
        server=ids.ServerId(_name(record, "server")),
        service=name,
        host=host,
        port=_number(record, "port", least=1, most=MAX_PORT),
        zone=ids.ZoneName(_name(record, "zone")),
        slots=_number(record, "slots", least=1, most=MAX_SLOTS),
        leaving=record["leaving"],
        role=_ROLES[role],
        started_ms=_number(record, "started_ms", least=0, most=MAX_TIME_MS),
    )


def _name(record: collections.abc.Mapping[str, object], field: str) -> str:
    text = record.get(field)
    sound = isinstance(text, str) and text.isprintable() and " " not in text
    if not sound or not 0 < len(text) <= MAX_NAME_LENGTH:
        raise errors.FleetRecordError(f"field {field} is {text!r:.64}; not a printable name")
    return text


def _number(
    record: collections.abc.Mapping[str, object], field: str, *, least: int, most: int
) -> int:
    number = record.get(field)
    if not isinstance(number, int) or isinstance(number, bool) or not least <= number <= most:
        raise errors.FleetRecordError(
            f"field {field} is {number!r:.64}; not a number from {least} to {most}"
        )
    return number


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SizeRecord:
    """The recorded number of a service's servers, and the store's revision of the record."""

    servers: int = 0
    """0 for a record that cannot be decoded."""
    revision: int = 0
    """0 without a record."""


NO_SIZE = SizeRecord()


def encode_size(servers: int) -> bytes:
    """Encode the number of a service's servers."""
    return str(servers).encode()


def decode_size(name: ids.ServiceName, value: bytes) -> int:
    """Decode the number of a service's servers; raises FleetRecordError."""
    text = value.decode(errors="replace")
    if not (text.isascii() and text.isdigit() and len(text) <= 4 and 0 < int(text) <= MAX_MEMBERS):
        raise errors.FleetRecordError(f"size of {name}: not a number from 1 to {MAX_MEMBERS}")
    return int(text)


class MemberBook:
    """The records of all services, and the members that this instance has known."""

    def __init__(self) -> None:
        self.records: dict[ids.ServiceName, MemberRecord] = {}
        self.sizes: dict[ids.ServiceName, SizeRecord] = {}
        self.known: dict[ids.ServiceName, members.KnownMembers] = {}
        self.seeded: dict[ids.ServiceName, int] = {}
        """Revisions of the records that were compared with the services last."""

    def __repr__(self) -> str:
        return f"MemberBook(records={len(self.records)})"

    def record(self, name: ids.ServiceName) -> MemberRecord:
        """Return the record of a service; ``NO_RECORD`` without one."""
        return self.records.get(name, NO_RECORD)

    def size(self, name: ids.ServiceName) -> SizeRecord:
        """Return the recorded size of a service; ``NO_SIZE`` without one."""
        return self.sizes.get(name, NO_SIZE)

    def apply(self, name: ids.ServiceName, item: change_log.Item) -> None:
        """Apply the change of a service's record; raises FleetRecordError.

        A record that cannot be decoded names no member, and is replaced by the next write.
        """
        if item.value is None:
            self.records.pop(name, None)
            return
        before = self.record(name)
        self.records[name] = MemberRecord(revision=item.revision)
        read = decode_record(name, item.value, revision=item.revision)
        self.records[name] = read
        # Another instance has heard of them again.
        for member in read.members - before.members:
            self._known(name).discard(member)

    def note_written(self, name: ids.ServiceName, written: MemberRecord) -> None:
        """Note a record that this instance has written, unless a later one was applied."""
        if written.revision > self.record(name).revision:
            self.records[name] = written

    def _known(self, name: ids.ServiceName) -> members.KnownMembers:
        return self.known.setdefault(name, members.KnownMembers())

    def apply_size(self, name: ids.ServiceName, item: change_log.Item) -> None:
        """Apply the change of a service's recorded size; raises FleetRecordError."""
        if item.value is None:
            self.sizes.pop(name, None)
            return
        self.sizes[name] = SizeRecord(revision=item.revision)
        servers = decode_size(name, item.value)
        self.sizes[name] = SizeRecord(servers=servers, revision=item.revision)

    def seed(self, target: service.Service) -> None:
        """Note the recorded size, and the members that are not known as expired entries.

        Must be called after each change of the listed servers, or of the record.
        """
        target.server_count.note_recorded(self.size(target.name).servers)
        known, record = self._known(target.name), self.record(target.name)
        is_new = self.seeded.get(target.name) != record.revision
        self.seeded[target.name] = record.revision
        for backend in target.servers.values():
            known.add(unlisted.member_of(backend.entry))
        if record.is_durable:
            target.covered.note_record(record.covered, record.revision)
        for name, backend in target.unlisted.backends().items() if is_new else ():
            member = unlisted.member_of(backend.entry)
            if member in record.forgotten and not target.covered.was_heard(member):
                del target.unlisted[name]
        for entry in record.entries:
            listed = entry.server in target.servers or entry.server in target.unlisted
            if listed or unlisted.member_of(entry) in known:
                continue
            known.add(unlisted.member_of(entry))
            _note_unlisted(target, entry)
        target.count_servers()


def _note_unlisted(target: service.Service, entry: ports.ServerEntry) -> None:
    backend = server.Server(
        entry=entry,
        distance=target.location.distance(entry.zone),
        opener=target.opener,
        connections=1,
        serves_tenants=target.serves_tenants,
    )
    # Callers' statements never run on it.
    backend.close()
    target.unlisted.add(backend)
    target.removed_at_s[entry.server] = clock.now_s()
    if entry.role is promotion.Role.PRIMARY and target.leader is None:
        # It may lead on, and be known to other instances.
        target.former_primary = target.former_primary or backend
    events.log(
        events.Event.SERVER_RECALLED,
        service=target.name,
        server=entry.server,
        role=entry.role.value,
        leaving=entry.leaving,
        started_ms=entry.started_ms,
    )
