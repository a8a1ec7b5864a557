"""Codec of the store's records that one instance passes on to the instances that follow it.

A request is one frame. Its answer is two frames: a header, and the items, compressed, since a
configuration may have hundreds of kilobytes and links between instances are narrow.
"""

import dataclasses
import json
import zlib

from mustardswitch.internal import change_log, revisions
from mustardswitch.peers import errors, relay_codec

REQUEST_PREFIX = b'{"records":'
"""Distinguishes a request for records from a forwarded statement."""
MAX_ITEMS_BYTES = 16 << 20
"""Longest decompressed list of items; several of the store's largest values."""
COMPRESSION_LEVEL = 1


UNKNOWN_AGE_S = 1e6
"""Age of records whose sender, of an earlier build, does not tell when the store was asked."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordRequest:
    """Asks for the changes after a revision, waiting up to ``wait_s`` seconds for one."""

    after: int | None
    """None asks for all records."""
    wait_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordHeader:
    """How current an answer is."""

    available: bool
    """Whether the sender follows the store now."""
    age_s: float
    """Seconds since the store last confirmed that the sender's records were current."""
    as_of_age_s: float
    """Seconds since the store was asked for that; ``age_s`` from a sender of an earlier build."""
    revision: int
    """Of the sender's records; its era is that of all items."""
    complete: bool
    """Whether the items are all records."""


def encode_request(request: RecordRequest) -> bytes:
    """Encode a request as a frame."""
    return relay_codec.encode_fields(
        {
            "records": {
                "after": None if request.after is None else revisions.number_of(request.after),
                "wait_s": request.wait_s,
                "era": revisions.era_of(request.after or 0),
            }
        }
    )


def is_request(body: bytes) -> bool:
    """Return whether the body of a frame is a request for records."""
    return body.startswith(REQUEST_PREFIX)


def decode_request(body: bytes, *, default_era: int = 0) -> RecordRequest:
    """Decode the body of a request's frame; raises InvalidFrameError.

    ``default_era`` is the era of a follower that names none, as those of earlier builds do.
    """
    try:
        fields = json.loads(body)["records"]
        after = fields["after"]
        return RecordRequest(
            after=None if after is None else _join(fields, after, default_era),
            wait_s=relay_codec.decode_seconds(fields["wait_s"]),
        )
    except relay_codec.MALFORMED as error:
        raise errors.InvalidFrameError(f"invalid request for records: {error}") from error


def encode_header(header: RecordHeader) -> bytes:
    """Encode the header of an answer as a frame."""
    return relay_codec.encode_fields(
        {
            "available": header.available,
            "age_s": header.age_s,
            "as_of_age_s": header.as_of_age_s,
            "revision": revisions.number_of(header.revision),
            "era": revisions.era_of(header.revision),
            "complete": header.complete,
        }
    )


def decode_header(body: bytes, *, default_era: int = 0) -> RecordHeader:
    """Decode the body of a header's frame; raises InvalidFrameError.

    ``default_era`` is the era of a sender that names none, as those of earlier builds do.
    """
    try:
        fields = json.loads(body)
        return RecordHeader(
            available=bool(fields["available"]),
            age_s=relay_codec.decode_seconds(fields["age_s"]),
            as_of_age_s=relay_codec.decode_seconds(fields.get("as_of_age_s", UNKNOWN_AGE_S)),
            revision=_join(fields, fields["revision"], default_era),
            complete=bool(fields["complete"]),
        )
    except relay_codec.MALFORMED as error:
        raise errors.InvalidFrameError(f"invalid header of records: {error}") from error


def _join(fields: dict, number: object, default_era: int) -> revisions.Revision:
    return revisions.join(era=int(fields.get("era", default_era)), number=int(number))


def encode_items(items: tuple[change_log.Item, ...]) -> bytes:
    """Encode items as a frame.

    Values may hold any bytes and are written as Latin-1 text, which compresses better than base64.
    """
    rows = [
        [
            item.key,
            revisions.number_of(item.revision),
            None if item.value is None else item.value.decode("latin-1"),
        ]
        for item in items
    ]
    body = json.dumps(rows, separators=(",", ":")).encode()
    return relay_codec.encode_frame(zlib.compress(body, COMPRESSION_LEVEL))


def decode_items(body: bytes, *, era: int = 0) -> tuple[change_log.Item, ...]:
    """Decode the body of the items' frame, which are of an era; raises InvalidFrameError."""
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(body, MAX_ITEMS_BYTES)
        if decompressor.unconsumed_tail:
            raise errors.InvalidFrameError(f"the records exceed {MAX_ITEMS_BYTES} bytes")
        return tuple(
            change_log.Item(
                key=str(key),
                revision=revisions.join(era=era, number=int(revision)),
                value=None if value is None else value.encode("latin-1"),
            )
            for key, revision, value in json.loads(text)
        )
    except (zlib.error, *relay_codec.MALFORMED) as error:
        raise errors.InvalidFrameError(f"invalid records: {error}") from error
