"""Records that instances write to the store for each other: their keys, codecs and effects."""

import collections.abc

from mustardswitch.internal import change_log, clock, ids, positions
from mustardswitch.internal import errors as internal_errors
from mustardswitch.peers import datagrams
from mustardswitch.proxy import change_waits, directory, errors, ports

PREFIX = "mustardswitch/"
INSTANCES = f"{PREFIX}instances/"
VOTES = f"{PREFIX}votes/"
CLAIMS = f"{PREFIX}claims/"
UNFINISHED = f"{PREFIX}unfinished/"
PROMOTIONS = f"{PREFIX}promotions/"
ENDS = f"{PREFIX}ends/"
FINAL_ENDS = f"{PREFIX}final-ends/"
ERAS = f"{PREFIX}eras/"
MEMBERS = f"{PREFIX}members/"
SIZES = f"{PREFIX}sizes/"
WAITS = f"{PREFIX}waits/"
GIVEN_UP = f"{PREFIX}given-up/"
LEAVING = f"{PREFIX}leaving/"
MAX_PORT = 65535


def encode_peer(peer: directory.Peer) -> bytes:
    """Encode the registration of an instance."""
    return f"{peer.zone} {peer.address.host} {peer.address.port}".encode()


def decode_peer(value: bytes) -> directory.Peer:
    """Decode the registration of an instance; raises FleetRecordError."""
    parts = value.decode(errors="replace").split(" ")
    port = parts[2] if len(parts) == 3 else ""
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) <= MAX_PORT):
        raise errors.FleetRecordError(
            f"a registration must be a zone, host and port up to {MAX_PORT}, separated by blanks"
        )
    return directory.Peer(
        zone=ids.ZoneName(parts[0]),
        address=datagrams.PeerAddress(host=parts[1], port=int(port)),
    )


def decode_era(key: str) -> int:
    """Return the era of a record's key; raises FleetRecordError."""
    name = key.removeprefix(ERAS)
    if not name.isdecimal():
        raise errors.FleetRecordError(f"key {key}: an era must be a number")
    return int(name)


def decode_unfinished(value: bytes) -> ports.UnfinishedChange:
    """Decode the marker of an unfinished change of primary.

    It holds the value of the claim, which stands for paused replicas, unless a promotion may have
    been requested.
    """
    requested = value == ports.UnfinishedChange.PROMOTION_REQUESTED.value.encode()
    return (
        ports.UnfinishedChange.PROMOTION_REQUESTED if requested else ports.UnfinishedChange.PAUSED
    )


def decode_promotion(value: bytes) -> ids.ServerId:
    """Decode the server whose promotion may have been requested; raises FleetRecordError."""
    try:
        return ids.ServerId(value.decode())
    except UnicodeDecodeError as error:
        raise errors.FleetRecordError("a promotion must name a server in UTF-8") from error


def encode_end(stopped: ports.StoppedPrimary) -> bytes:
    """Encode a stopped primary and the end of its log."""
    return f"{stopped.server} {stopped.end}".encode()


def decode_end(value: bytes) -> ports.StoppedPrimary:
    """Decode a stopped primary and the end of its log; raises FleetRecordError."""
    server, _, end = value.decode(errors="replace").rpartition(" ")
    try:
        return ports.StoppedPrimary(server=ids.ServerId(server), end=positions.parse_position(end))
    except internal_errors.InvalidPositionError as error:
        raise errors.FleetRecordError(f"a stopped primary needs a position: {error}") from error


def encode_final_ends(ends: collections.abc.Set[ports.FinalEnd], *, era: int) -> bytes:
    """Encode the store's era, and final ends: server, start in milliseconds and end, one a line."""
    lines = sorted(f"{each.server} {each.started_ms} {each.end}" for each in ends)
    return "\n".join([str(era), *lines]).encode()


def decode_final_ends(value: bytes, *, era: int) -> frozenset[ports.FinalEnd]:
    """Decode final ends; those of another era are left out. Raises FleetRecordError."""
    try:
        written_in, *lines = value.decode().split("\n")
    except UnicodeDecodeError as error:
        raise errors.FleetRecordError("final ends must name servers in UTF-8") from error
    if not (written_in.isascii() and written_in.isdigit()):
        raise errors.FleetRecordError("final ends must begin with the store's era, a number")
    ends = [_decode_final_end(line) for line in lines]
    if len({each.server for each in ends}) < len(ends):
        raise errors.FleetRecordError("final ends must name each server once")
    return frozenset(ends) if written_in == str(era) else frozenset()


def _decode_final_end(line: str) -> ports.FinalEnd:
    parts = line.split(" ")
    if len(parts) != 3 or not parts[0] or not line.isprintable():
        raise errors.FleetRecordError("a final end needs a server, its start and a position")
    server, started_ms, end = parts
    try:
        return ports.FinalEnd(
            server=ids.ServerId(server),
            started_ms=int(started_ms),
            end=positions.parse_position(end),
        )
    except (ValueError, internal_errors.InvalidPositionError) as error:
        raise errors.FleetRecordError(
            f"a final end needs a start in milliseconds and a position: {error}"
        ) from error


def apply(known: directory.Directory, item: change_log.Item) -> None:
    """Apply the change of a record to a directory; raises FleetRecordError."""
    key = item.key
    if key.startswith(INSTANCES):
        instance = ids.InstanceId(key.removeprefix(INSTANCES))
        if item.value is None:
            known.instances.remove(instance, clock.now_s())
        else:
            known.instances.put(instance, decode_peer(item.value))
    elif key.startswith(VOTES):
        _apply_vote(known, item)
    elif key.startswith(CLAIMS):
        _apply_claim(known, item)
    elif key.startswith(ERAS):
        era = decode_era(key)
        if item.value is None:
            known.claim_eras.pop(era, None)
        else:
            known.claim_eras[era] = item.revision
    elif key.startswith(UNFINISHED):
        service = ids.ServiceName(key.removeprefix(UNFINISHED))
        if item.value is None:
            known.unfinished.pop(service, None)
        else:
            known.unfinished[service] = decode_unfinished(item.value)
    elif key.startswith(PROMOTIONS):
        service = ids.ServiceName(key.removeprefix(PROMOTIONS))
        promoted = None if item.value is None else decode_promotion(item.value)
        known.note_recorded_promotion(service, promoted, revision=item.revision)
    elif key.startswith(MEMBERS):
        known.members.apply(ids.ServiceName(key.removeprefix(MEMBERS)), item)
    elif key.startswith(SIZES):
        known.members.apply_size(ids.ServiceName(key.removeprefix(SIZES)), item)
    elif key.startswith(WAITS) and item.value is None:
        change_waits.remove_gauges(known.registry, ids.ServiceName(key.removeprefix(WAITS)))


def _apply_vote(known: directory.Directory, item: change_log.Item) -> None:
    parts = item.key.removeprefix(VOTES).split("/")
    if len(parts) != 3:
        raise errors.FleetRecordError(
            f"key {item.key}: a vote needs a service, a server and an instance"
        )
    vote = directory.Vote(
        service=ids.ServiceName(parts[0]),
        server=ids.ServerId(parts[1]),
        instance=ids.InstanceId(parts[2]),
    )
    if item.value is None:
        known.votes.discard(vote)
    else:
        known.votes.add(vote)


def _apply_claim(known: directory.Directory, item: change_log.Item) -> None:
    service = ids.ServiceName(item.key.removeprefix(CLAIMS))
    if item.value is None:
        known.claims.pop(service, None)
    else:
        holder = ids.InstanceId(item.value.decode(errors="replace").partition(" ")[0])
        known.claims[service] = holder
        if holder != known.instance:
            change_waits.remove_gauges(known.registry, service)
