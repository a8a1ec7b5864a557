"""News between instances that may not wait for the store: votes and new leaders.

Answers the load pattern of a store that turns instances away while a primary fails: instances that
still reach each other can count their votes, and the one that reaches the store replaces the
primary. Datagrams get lost, so votes are repeated while they hold and lapse when they are not.
"""

import asyncio
import collections.abc
import dataclasses
import json

from mustardswitch import events, metrics
from mustardswitch.internal import ids
from mustardswitch.peers import errors

MAX_BYTES = 1200
"""Fits one packet on any usual link."""
MAX_VOTES = 8
"""Votes of one datagram; more services at once go into further datagrams."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryRef:
    """A primary that the sender lacks."""

    service: ids.ServiceName
    server: ids.ServerId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerUpdate:
    """What one instance tells the others."""

    instance: ids.InstanceId
    suspected_primaries: tuple[PrimaryRef, ...] = ()
    new_primary: PrimaryRef | None = None
    """A server that leads its service now."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerAddress:
    """Where an instance takes datagrams."""

    host: str
    port: int


def encode(update: PeerUpdate) -> bytes:
    """Write news as a datagram."""
    fields: dict[str, object] = {
        "instance": update.instance,
        "lacking": [[each.service, each.server] for each in update.suspected_primaries],
    }
    if update.new_primary is not None:
        fields["leading"] = [update.new_primary.service, update.new_primary.server]
    return json.dumps(fields, separators=(",", ":")).encode()


def _pair(value: object) -> PrimaryRef:
    if not isinstance(value, list) or len(value) != 2:
        raise errors.InvalidDatagramError("a pair of service and server is expected")
    if not all(isinstance(part, str) and part for part in value):
        raise errors.InvalidDatagramError("service and server are texts")
    return PrimaryRef(service=ids.ServiceName(value[0]), server=ids.ServerId(value[1]))


def decode(data: bytes) -> PeerUpdate:
    """Read a datagram; raises InvalidDatagramError."""
    if len(data) > MAX_BYTES:
        raise errors.InvalidDatagramError(f"{len(data)} bytes are more than {MAX_BYTES}")
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidDatagramError("the datagram is not JSON") from error
    if not isinstance(fields, dict) or not isinstance(fields.get("instance"), str):
        raise errors.InvalidDatagramError("the datagram names no instance")
    lacking = fields.get("lacking", [])
    if not isinstance(lacking, list) or len(lacking) > MAX_VOTES:
        raise errors.InvalidDatagramError(f"at most {MAX_VOTES} votes are expected")
    leading = fields.get("leading")
    return PeerUpdate(
        instance=ids.InstanceId(fields["instance"]),
        suspected_primaries=tuple(_pair(each) for each in lacking),
        new_primary=None if leading is None else _pair(leading),
    )


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends news to all known instances, and hands received news on."""

    def __init__(
        self,
        *,
        addresses: collections.abc.Callable[[], collections.abc.Iterable[PeerAddress]],
        receiver: collections.abc.Callable[[PeerUpdate], None],
        registry: metrics.Registry,
    ) -> None:
        self.addresses = addresses
        self.receiver = receiver
        self.registry = registry
        self.transport: asyncio.DatagramTransport | None = None

    def __repr__(self) -> str:
        return f"PeerDatagrams(addresses={self.addresses!r}, receiver={self.receiver!r})"

    async def start(self, address: PeerAddress) -> None:
        """Take datagrams from now on."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address.host, address.port))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand news on; what cannot be read is counted and dropped."""
        try:
            update = decode(data)
        except errors.InvalidDatagramError as error:
            self.registry.count("datagrams_rejected")
            events.log(events.Event.DATAGRAM_REJECTED, sender=addr[0], reason=str(error))
            return
        self.registry.count("datagrams_received")
        self.receiver(update)

    def send(self, update: PeerUpdate) -> None:
        """Send news to all known instances."""
        if self.transport is None:
            return
        data = encode(update)
        for address in self.addresses():
            self.transport.sendto(data, (address.host, address.port))

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
