"""Updates between instances that cannot wait for the store.

The store may reject instances while a primary fails. Instances that still reach each other then
count their votes over datagrams, and the one that reaches the store replaces the primary. It also
tells the others which promotion it has recorded, and they confirm that they hold commits back.
Datagrams get lost, so what they say is repeated while it holds and expires when it is not repeated.
"""

import asyncio
import collections.abc
import dataclasses
import json

from mustardswitch import events, metrics
from mustardswitch.internal import former_primary, ids, positions
from mustardswitch.peers import (
    datagram_fields,
    errors,
    leave_questions,
    pauses,
    told_commits,
)

MAX_BYTES = 1200
"""Fits one packet on any usual network link."""
MAX_VOTES = 8
"""Votes in one datagram; those for more services go into further datagrams."""
MAX_PROMOTIONS = 8
"""Recorded promotions, and confirmations, in one datagram."""
MAX_QUESTIONS = 4
"""Questions about leaving servers, and answers to them, in one datagram."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerAddress:
    """Address at which an instance receives datagrams and forwarded statements."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryRef:
    """The primary of a service: one that the sender suspects, or a new one."""

    service: ids.ServiceName
    server: ids.ServerId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordedPromotion:
    """A server whose promotion is recorded in the store at ``revision`` or before."""

    service: ids.ServiceName
    server: ids.ServerId
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldCommits:
    """Confirms that the sender sends no commits of a service to any server but one.

    None that it has sent before is unanswered.
    """

    service: ids.ServiceName
    server: ids.ServerId
    """The server whose promotion is recorded."""
    revision: int
    """The revision that was announced."""
    above: positions.Position | None = None
    """A position below a commit that was acknowledged through the sender; None without one."""
    told: told_commits.ToldCommits | None = None
    """None if the sender does not tell."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopOrder:
    """Asks the receivers to order a primary to stop under a term, and to tell what they hear."""

    service: ids.ServiceName
    server: ids.ServerId
    term: ids.Term


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryReport:
    """Answers an order to stop with what the sender knows of the primary."""

    order: StopOrder
    report: former_primary.Report


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProvedPromotion:
    """A promotion that is about to be requested."""

    service: ids.ServiceName
    server: ids.ServerId
    end: positions.Position | None
    """The end of the server's log; None if the server leads already."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerUpdate:
    """What an instance tells the others."""

    instance: ids.InstanceId
    suspected_primaries: tuple[PrimaryRef, ...] = ()
    """Primaries that the sender votes to replace."""
    new_primary: PrimaryRef | None = None
    """A server that now leads its service."""
    summary: str = ""
    """Why its promotion, or that of ``proved``, was proved; for the log."""
    proved: ProvedPromotion | None = None
    """A promotion that the sender is about to request; for the log."""
    stale: bool = False
    """Whether the sender does not hear from the store; ``promotions`` are then all it knows."""
    asked_at_s: float | None = None
    """Asks the receivers whether they do not hear from the store either; when the sender asked, by
    its own clock."""
    answers_s: float | None = None
    """The ``asked_at_s`` that a ``stale`` sender answers."""
    promotions: tuple[RecordedPromotion, ...] = ()
    """Promotions that are recorded. The receivers hold commits back, and answer with ``held``."""
    held: tuple[HeldCommits, ...] = ()
    stop_orders: tuple[StopOrder, ...] = ()
    """Primaries that are being replaced; the receivers answer with ``primary_reports``."""
    primary_reports: tuple[PrimaryReport, ...] = ()
    pause_orders: tuple[pauses.PauseOrder, ...] = ()
    """Servers that the sender does not reach; the receivers answer with ``pause_reports``."""
    pause_reports: tuple[pauses.PauseReport, ...] = ()
    leave_asked: tuple[leave_questions.LeaveQuestion, ...] = ()
    """Leaving servers; the receivers answer with ``leave_told`` what they know."""
    leave_told: tuple[leave_questions.LeaveAnswer, ...] = ()
    sender: PeerAddress | None = None
    """Address that it came from, which is not encoded; None if it was not received."""


def encode(update: PeerUpdate) -> bytes:
    """Encode an update as a datagram."""
    fields: dict[str, object] = {
        "instance": update.instance,
        "lacking": [[each.service, each.server] for each in update.suspected_primaries],
    }
    if update.new_primary is not None:
        fields["leading"] = [update.new_primary.service, update.new_primary.server]
    if update.proved is not None:
        end = datagram_fields.encode_position(update.proved.end)
        fields["proved"] = [update.proved.service, update.proved.server, end]
    if update.new_primary is not None or update.proved is not None:
        fields["summary"] = update.summary
    if update.stale:
        fields["stale"] = True
    if update.asked_at_s is not None:
        fields["asked"] = update.asked_at_s
    if update.answers_s is not None:
        fields["answers"] = update.answers_s
    if update.promotions:
        fields["recorded"] = [
            [each.service, each.server, each.revision] for each in update.promotions
        ]
    if update.held:
        fields["held"] = [
            [each.service, each.server, each.revision, datagram_fields.encode_position(each.above)]
            for each in update.held
        ]
        if any(each.told is not None for each in update.held):
            # Beside "held", whose rows earlier builds take in one length only.
            fields["acknowledged"] = [told_commits.encode(each.told) for each in update.held]
    if update.stop_orders:
        fields["stop"] = [_encode_order(each) for each in update.stop_orders]
    if update.primary_reports:
        fields["primaries"] = [
            [
                *_encode_order(each.order),
                each.report.order.value,
                datagram_fields.encode_position(each.report.end),
                datagram_fields.encode_age(each.report.answered_s),
                datagram_fields.encode_age(each.report.connected_s),
                datagram_fields.encode_age(each.report.refused_s),
            ]
            for each in update.primary_reports
        ]
    if update.pause_orders:
        fields["pause"] = [pauses.encode_order(each) for each in update.pause_orders]
    if update.pause_reports:
        fields["paused"] = [pauses.encode_report(each) for each in update.pause_reports]
    if update.leave_asked:
        fields["leaving"] = list(map(leave_questions.encode_question, update.leave_asked))
    if update.leave_told:
        fields["left"] = list(map(leave_questions.encode_answer, update.leave_told))
    return json.dumps(fields, separators=(",", ":")).encode()


def _encode_order(order: StopOrder) -> list[object]:
    return [order.service, order.server, order.term]


def _decode_primary(value: object) -> PrimaryRef:
    if not isinstance(value, list) or len(value) != 2:
        raise errors.InvalidDatagramError("expected a pair of service and server")
    service, server = datagram_fields.decode_server(*value)
    return PrimaryRef(service=service, server=server)


def _decode_proved(value: object) -> ProvedPromotion:
    if not isinstance(value, list) or len(value) != 3:
        raise errors.InvalidDatagramError("expected a service, a server and a position")
    primary = _decode_primary(value[:2])
    return ProvedPromotion(
        service=primary.service,
        server=primary.server,
        end=datagram_fields.decode_position(value[2]),
    )


def _decode_promotion(value: object) -> RecordedPromotion:
    if not isinstance(value, list) or len(value) != 3:
        raise errors.InvalidDatagramError("expected a service, a server and a revision")
    promoted = _decode_primary(value[:2])
    return RecordedPromotion(
        service=promoted.service,
        server=promoted.server,
        revision=datagram_fields.decode_number(value[2]),
    )


def _decode_held(value: object, told: object) -> HeldCommits:
    if not isinstance(value, list) or len(value) != 4:
        raise errors.InvalidDatagramError("expected a recorded promotion and a position")
    promoted = _decode_promotion(value[:3])
    return HeldCommits(
        service=promoted.service,
        server=promoted.server,
        revision=promoted.revision,
        above=datagram_fields.decode_position(value[3]),
        told=told_commits.decode(told),
    )


def _decode_order(value: object) -> StopOrder:
    if not isinstance(value, list) or len(value) != 3:
        raise errors.InvalidDatagramError("expected a service, a server and a term")
    primary = _decode_primary(value[:2])
    return StopOrder(
        service=primary.service,
        server=primary.server,
        term=ids.Term(datagram_fields.decode_number(value[2])),
    )


def _decode_report(value: object) -> PrimaryReport:
    if not isinstance(value, list) or len(value) != 8:
        raise errors.InvalidDatagramError("expected an order to stop and what was heard")
    try:
        order = former_primary.Order(value[3])
    except ValueError as error:
        raise errors.InvalidDatagramError("expected the result of an order to stop") from error
    answered_s, connected_s, refused_s = map(datagram_fields.decode_age, value[5:])
    return PrimaryReport(
        order=_decode_order(value[:3]),
        report=former_primary.Report(
            order=order,
            end=datagram_fields.decode_position(value[4]),
            answered_s=answered_s,
            connected_s=connected_s,
            refused_s=refused_s,
        ),
    )


def decode(data: bytes) -> PeerUpdate:
    """Decode a datagram; raises InvalidDatagramError."""
    if len(data) > MAX_BYTES:
        raise errors.InvalidDatagramError(f"{len(data)} bytes are more than {MAX_BYTES}")
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidDatagramError("the datagram is not JSON") from error
    if not isinstance(fields, dict) or not isinstance(fields.get("instance"), str):
        raise errors.InvalidDatagramError("the datagram names no instance")
    lacking = datagram_fields.decode_list(fields.get("lacking", []), MAX_VOTES)
    recorded = datagram_fields.decode_list(fields.get("recorded", []), MAX_PROMOTIONS)
    held = datagram_fields.decode_list(fields.get("held", []), MAX_PROMOTIONS)
    told = datagram_fields.decode_list(
        fields.get("acknowledged", [None] * len(held)), MAX_PROMOTIONS
    )
    if len(told) != len(held):
        raise errors.InvalidDatagramError("expected what was acknowledged for each hold")
    stop = datagram_fields.decode_list(fields.get("stop", []), MAX_PROMOTIONS)
    reports = datagram_fields.decode_list(fields.get("primaries", []), MAX_PROMOTIONS)
    pause = datagram_fields.decode_list(fields.get("pause", []), MAX_PROMOTIONS)
    paused = datagram_fields.decode_list(fields.get("paused", []), MAX_PROMOTIONS)
    leaving = datagram_fields.decode_list(fields.get("leaving", []), MAX_QUESTIONS)
    answers = datagram_fields.decode_list(fields.get("left", []), MAX_QUESTIONS)
    leading, proved = fields.get("leading"), fields.get("proved")
    summary = fields.get("summary", "")
    if not isinstance(summary, str):
        raise errors.InvalidDatagramError("the summary must be a text")
    return PeerUpdate(
        instance=ids.InstanceId(fields["instance"]),
        suspected_primaries=tuple(_decode_primary(each) for each in lacking),
        new_primary=None if leading is None else _decode_primary(leading),
        summary=summary,
        proved=None if proved is None else _decode_proved(proved),
        stale=fields.get("stale") is True,
        asked_at_s=datagram_fields.decode_time(fields.get("asked")),
        answers_s=datagram_fields.decode_time(fields.get("answers")),
        promotions=tuple(_decode_promotion(each) for each in recorded),
        held=tuple(map(_decode_held, held, told)),
        stop_orders=tuple(_decode_order(each) for each in stop),
        primary_reports=tuple(_decode_report(each) for each in reports),
        pause_orders=tuple(map(pauses.decode_order, pause)),
        pause_reports=tuple(map(pauses.decode_report, paused)),
        leave_asked=tuple(map(leave_questions.decode_question, leaving)),
        leave_told=tuple(map(leave_questions.decode_answer, answers)),
    )


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends updates to all known instances, and passes received ones to ``receiver``."""

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
        """Receive datagrams at an address; raises OSError."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address.host, address.port))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport, to send over it."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass an update on; an invalid datagram is counted, logged and dropped."""
        try:
            update = decode(data)
        except errors.InvalidDatagramError as error:
            self.registry.count("datagrams_rejected")
            events.log(events.Event.DATAGRAM_REJECTED, sender=addr[0], reason=str(error))
            return
        self.registry.count("datagrams_received")
        self.receiver(dataclasses.replace(update, sender=PeerAddress(host=addr[0], port=addr[1])))

    def send(
        self,
        update: PeerUpdate,
        addresses: collections.abc.Iterable[PeerAddress] | None = None,
    ) -> None:
        """Send an update to some addresses, or to all known instances.

        Does nothing before ``start``.
        """
        if self.transport is None:
            return
        data = encode(update)
        for address in self.addresses() if addresses is None else addresses:
            self.transport.sendto(data, (address.host, address.port))

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
