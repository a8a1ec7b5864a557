"""Orders to pause a server that the holder of a claim does not reach, and the answers to them."""

import dataclasses

from mustardswitch.internal import ids, promotion
from mustardswitch.peers import datagram_fields, errors


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PauseOrder:
    """Asks the receivers to pause a server under a term, and to tell its status."""

    service: ids.ServiceName
    server: ids.ServerId
    term: ids.Term
    asked_at_s: float
    """When the sender asked, by its own clock."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PauseReport:
    """Answers an order with the status of the server, read after the order was received."""

    order: PauseOrder
    status: promotion.ServerStatus


def encode_order(order: PauseOrder) -> list[object]:
    """Encode an order."""
    return [order.service, order.server, order.term, order.asked_at_s]


def decode_order(value: object) -> PauseOrder:
    """Decode an order; raises InvalidDatagramError."""
    if not isinstance(value, list) or len(value) != 4:
        raise errors.InvalidDatagramError("expected a service, a server, a term and a time")
    service, server = datagram_fields.decode_server(*value[:2])
    return PauseOrder(
        service=service,
        server=server,
        term=ids.Term(datagram_fields.decode_number(value[2])),
        asked_at_s=datagram_fields.decode_asked_at(value[3]),
    )


def encode_report(report: PauseReport) -> list[object]:
    """Encode an answer."""
    status = report.status
    return [
        *encode_order(report.order),
        status.role.value,
        status.term,
        datagram_fields.encode_position(status.received),
        status.paused,
        status.running,
    ]


def decode_report(value: object) -> PauseReport:
    """Decode an answer; raises InvalidDatagramError."""
    if not isinstance(value, list) or len(value) != 9:
        raise errors.InvalidDatagramError("expected an order to pause and a status")
    role, term, received, paused, running = value[4:]
    try:
        found = promotion.Role(role)
    except ValueError as error:
        raise errors.InvalidDatagramError("expected the role of a server") from error
    position = datagram_fields.decode_position(received)
    if position is None or not isinstance(paused, bool):
        raise errors.InvalidDatagramError("expected a position, and whether a server is paused")
    return PauseReport(
        order=decode_order(value[:4]),
        status=promotion.ServerStatus(
            role=found,
            term=ids.Term(datagram_fields.decode_number(term)),
            received=position,
            paused=paused,
            running=datagram_fields.decode_number(running),
        ),
    )
