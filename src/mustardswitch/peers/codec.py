"""Translates between the messages of the peer protocol and the types of the decisions."""

import zlib

from mustardswitch.internal import gossip, groups, ids, outcomes, positions
from mustardswitch.peers import peers_pb2

COMPRESSION_LEVEL = 1
COMPRESSION_MINIMUM_BYTES = 200


def encode_position(position: positions.Position) -> peers_pb2.Position:
    """Write a position."""
    return peers_pb2.Position(term=position.term, offset=position.offset)


def decode_position(message: peers_pb2.Position) -> positions.Position:
    """Read a position."""
    return positions.Position(term=ids.Term(message.term), offset=ids.Offset(message.offset))


def encode_view(view: groups.GroupView) -> peers_pb2.GroupView:
    """Write a group view."""
    return peers_pb2.GroupView(database=view.database, term=view.term, primary=view.primary or "")


def decode_view(message: peers_pb2.GroupView) -> groups.GroupView:
    """Read a group view."""
    return groups.GroupView(
        database=ids.DatabaseName(message.database),
        term=ids.Term(message.term),
        primary=ids.SlotId(message.primary) if message.primary else None,
    )


def encode_request(request: outcomes.StatementRequest) -> peers_pb2.StatementRequest:
    """Write a statement request."""
    message = peers_pb2.StatementRequest(
        database=request.database,
        slot=request.slot,
        sql=request.sql,
        kind=request.kind.value,
        deadline_s=request.deadline_s,
        request_id=request.request_id or "",
        transaction=request.transaction or "",
        stale_listing=request.stale_listing,
        caller=request.caller,
        traceparent=request.traceparent,
    )
    if request.min_position is not None:
        message.floor.CopyFrom(encode_position(request.min_position))
    if request.max_age_s is not None:
        message.max_age_s = request.max_age_s
    return message


def decode_request(message: peers_pb2.StatementRequest) -> outcomes.StatementRequest:
    """Read a statement request."""
    return outcomes.StatementRequest(
        database=ids.DatabaseName(message.database),
        slot=ids.SlotId(message.slot),
        sql=message.sql,
        kind=outcomes.StatementKind(message.kind),
        deadline_s=message.deadline_s,
        min_position=decode_position(message.floor) if message.HasField("floor") else None,
        max_age_s=message.max_age_s if message.HasField("max_age_s") else None,
        request_id=ids.RequestId(message.request_id) if message.request_id else None,
        transaction=ids.TransactionId(message.transaction) if message.transaction else None,
        stale_listing=message.stale_listing,
        caller=message.caller,
        traceparent=message.traceparent,
    )


def encode_reply(reply: outcomes.StatementReply) -> peers_pb2.StatementReply:
    """Write a statement reply."""
    message = peers_pb2.StatementReply(
        outcome=reply.outcome.value,
        reason=reply.reason.value,
        detail=reply.detail,
        served_by_replica=reply.served_by_replica,
    )
    if reply.result is not None:
        message.result.CopyFrom(_encode_result(reply.result))
    if reply.failure is not None:
        message.failure_code = reply.failure.code
        message.failure_message = reply.failure.message
    if reply.position is not None:
        message.position.CopyFrom(encode_position(reply.position))
    if reply.view is not None:
        message.view.CopyFrom(encode_view(reply.view))
    return message


def decode_reply(message: peers_pb2.StatementReply) -> outcomes.StatementReply:
    """Read a statement reply."""
    failure = None
    if message.failure_code:
        failure = outcomes.DatabaseFailure(
            code=message.failure_code, message=message.failure_message
        )
    return outcomes.StatementReply(
        outcome=outcomes.Outcome(message.outcome),
        reason=outcomes.Reason(message.reason),
        detail=message.detail,
        result=_decode_result(message.result) if message.HasField("result") else None,
        failure=failure,
        position=decode_position(message.position) if message.HasField("position") else None,
        served_by_replica=message.served_by_replica,
        view=decode_view(message.view) if message.HasField("view") else None,
    )


def _encode_result(result: outcomes.Result) -> peers_pb2.Result:
    return peers_pb2.Result(
        columns=[
            peers_pb2.Column(name=column.name, type_code=column.type_code)
            for column in result.columns
        ],
        rows=[
            peers_pb2.Row(
                cells=[cell or b"" for cell in row],
                nulls=[index for index, cell in enumerate(row) if cell is None],
            )
            for row in result.rows
        ],
        affected_rows=result.affected_rows,
        last_insert_id=result.last_insert_id,
    )


def _decode_row(row: peers_pb2.Row) -> tuple[outcomes.Cell, ...]:
    if not row.nulls:
        return tuple(row.cells)
    nulls = frozenset(row.nulls)
    return tuple(None if index in nulls else cell for index, cell in enumerate(row.cells))


def _decode_result(message: peers_pb2.Result) -> outcomes.Result:
    return outcomes.Result(
        columns=tuple(
            outcomes.Column(name=column.name, type_code=column.type_code)
            for column in message.columns
        ),
        rows=tuple(_decode_row(row) for row in message.rows),
        affected_rows=message.affected_rows,
        last_insert_id=message.last_insert_id,
    )


def pack_requests(requests: list[peers_pb2.Request], *, compress: bool) -> peers_pb2.RequestBatch:
    """Put requests into one message, compressed for the links that are paid by volume."""
    batch = peers_pb2.RequestBatch(requests=requests)
    if not compress or batch.ByteSize() < COMPRESSION_MINIMUM_BYTES:
        return batch
    packed = zlib.compress(batch.SerializeToString(), COMPRESSION_LEVEL)
    return peers_pb2.RequestBatch(compressed=packed)


def unpack_requests(batch: peers_pb2.RequestBatch) -> list[peers_pb2.Request]:
    """Read the requests of one message."""
    if not batch.compressed:
        return list(batch.requests)
    return list(peers_pb2.RequestBatch.FromString(zlib.decompress(batch.compressed)).requests)


def pack_replies(replies: list[peers_pb2.Reply], *, compress: bool) -> peers_pb2.ReplyBatch:
    """Put replies into one message, compressed for the links that are paid by volume."""
    batch = peers_pb2.ReplyBatch(replies=replies)
    if not compress or batch.ByteSize() < COMPRESSION_MINIMUM_BYTES:
        return batch
    packed = zlib.compress(batch.SerializeToString(), COMPRESSION_LEVEL)
    return peers_pb2.ReplyBatch(compressed=packed)


def unpack_replies(batch: peers_pb2.ReplyBatch) -> list[peers_pb2.Reply]:
    """Read the replies of one message."""
    if not batch.compressed:
        return list(batch.replies)
    return list(peers_pb2.ReplyBatch.FromString(zlib.decompress(batch.compressed)).replies)


def encode_records(records: list[gossip.Record]) -> list[peers_pb2.Record]:
    """Write gossip records."""
    return [
        peers_pb2.Record(key=record.key, version=record.version, payload=record.payload)
        for record in records
    ]


def decode_records(messages: list[peers_pb2.Record]) -> list[gossip.Record]:
    """Read gossip records."""
    return [
        gossip.Record(key=message.key, version=message.version, payload=message.payload)
        for message in messages
    ]
