"""Codec of the statements that one instance forwards to another, as frames of JSON.

A frame is the length of its body in four bytes, big-endian, and the body, a JSON object. A
connection carries one statement at a time; an open transaction keeps its connection.
"""

import asyncio
import dataclasses
import functools
import json
import math

from mustardswitch.internal import ids, positions
from mustardswitch.peers import errors
from mustardswitch.proxy import ports, requests, route_versions, routes

MAX_FRAME_BYTES = 8 << 20
"""Holds a caller's largest message, even if JSON doubles it, and the values of a session."""
LENGTH_BYTES = 4
MALFORMED = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    RecursionError,
    OverflowError,
)
"""What reading a frame of an unexpected shape raises; OverflowError for an infinite number."""


KINDS = {
    "p": requests.RouteKind.PRIMARY,
    "b": requests.RouteKind.BOUNDED_STALENESS,
    "r": requests.RouteKind.READ_YOUR_WRITES,
}
"""Codes of the kinds of routes."""
CACHED_ROUTINGS = 1024
"""Decoded routings that are kept; most statements name the same few."""
KIND_CODES = {kind: code for code, kind in KINDS.items()}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SessionCommit:
    """The latest commit of the caller's session at a service, ``age_s`` seconds ago."""

    position: positions.Position
    age_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedStatement:
    """One statement, with everything that its gateway needs to run it."""

    request: ids.RequestId
    database: ids.DatabaseName
    command: requests.Plain | ports.RunPrepared | requests.Commit | requests.Rollback
    age_s: float
    """Seconds since the first byte of the statement was read."""
    values: dict[str, str]
    operation_age_s: float | None = None
    """Seconds since the first statement of the operation was read; None as ``age_s``."""
    session_commit: SessionCommit | None = None
    """The commit at the service that ``routing`` names."""
    other_commits: dict[ids.ServiceName, SessionCommit] = dataclasses.field(default_factory=dict)
    """The commits at other services, to which the database was routed before."""
    routing: route_versions.Routing | None = None
    """What the entry instance knows of the database's routing; None from the build before."""
    begin: str = ""
    """Transaction to begin first, ``read`` or ``write``; empty for none."""
    tenant: ids.TenantName = routes.NO_TENANT
    """The caller's tenant, as the entry instance identified it."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardedAnswer:
    """The answer to a forwarded statement, and by which routing it was run."""

    answer: requests.Answer
    service: ids.ServiceName | None = None
    """Service at which it was run, if another one than the statement names."""
    routing: route_versions.Routing | None = None
    """What the gateway knows of the database's routing, if newer than the statement's."""


def decode_seconds(value: object) -> float:
    """Return a duration; raises ValueError for one that is negative, infinite or not a number."""
    seconds = float(value)
    if not math.isfinite(seconds) or seconds < 0:
        raise ValueError(f"{seconds} is no duration; give seconds from 0")
    return seconds


def _decode_optional_seconds(value: object) -> float | None:
    return None if value is None else decode_seconds(value)


def _encode_position(position: positions.Position | None) -> list[int] | None:
    return None if position is None else [position.term, position.offset]


def _decode_position(value: object) -> positions.Position | None:
    if value is None:
        return None
    term, offset = value
    return positions.Position(term=ids.Term(int(term)), offset=ids.Offset(int(offset)))


def _encode_commit(commit: SessionCommit | None) -> list[object] | None:
    return None if commit is None else [_encode_position(commit.position), commit.age_s]


def _decode_commit(value: list[object] | None) -> SessionCommit | None:
    if value is None:
        return None
    position = _decode_position(value[0])
    if position is None:
        raise ValueError("a commit has no position")
    return SessionCommit(position=position, age_s=decode_seconds(value[1]))


def _encode_routing(routing: route_versions.Routing) -> list[object]:
    fields = [routing.version, routing.service, KIND_CODES[routing.kind]]
    return [*fields, routing.max_staleness_s] if routing.max_staleness_s else fields


def _decode_routing(value: list[object] | None) -> route_versions.Routing | None:
    return None if value is None else _build_routing(*value)


@functools.lru_cache(maxsize=CACHED_ROUTINGS)
def _build_routing(
    version: object, service: object, kind: object, *staleness: object
) -> route_versions.Routing:
    return route_versions.Routing(
        version=int(version),
        service=ids.ServiceName(str(service)),
        kind=KINDS[kind],
        max_staleness_s=decode_seconds(staleness[0]) if staleness else 0.0,
    )


def _encode_command(command: object) -> list[str]:
    if isinstance(command, requests.Plain):
        return ["plain", command.access.value, command.arguments]
    if isinstance(command, ports.RunPrepared):
        return ["prepared", command.shape.access.value, command.arguments, command.shape.text]
    if isinstance(command, requests.Commit):
        return ["commit"]
    return ["rollback"]


def _decode_command(
    value: list[str],
) -> requests.Plain | ports.RunPrepared | requests.Commit | requests.Rollback:
    kind = value[0]
    if kind == "commit":
        return requests.Commit()
    if kind == "rollback":
        return requests.Rollback()
    access = requests.Access(value[1])
    if kind == "plain":
        return requests.Plain(access=access, arguments=str(value[2]))
    if kind == "prepared":
        shape = requests.Shape(access=access, text=str(value[3]))
        return ports.RunPrepared(shape=shape, arguments=str(value[2]))
    raise ValueError(f"command {kind!r} is unknown")


def encode_forwarded(forwarded: ForwardedStatement) -> bytes:
    """Encode a statement as a frame."""
    others = {name: _encode_commit(each) for name, each in forwarded.other_commits.items()}
    return encode_fields(
        {
            "request": forwarded.request,
            "database": forwarded.database,
            "command": _encode_command(forwarded.command),
            "age_s": forwarded.age_s,
            "values": forwarded.values,
            "own": _encode_commit(forwarded.session_commit),
            "begin": forwarded.begin,
            "operation_age_s": forwarded.operation_age_s,
            **({"tenant": forwarded.tenant} if forwarded.tenant else {}),
            **({"route": _encode_routing(forwarded.routing)} if forwarded.routing else {}),
            **({"others": others} if others else {}),
        }
    )


def decode_forwarded(body: bytes) -> ForwardedStatement:
    """Decode the body of a statement's frame; raises InvalidFrameError."""
    try:
        fields = json.loads(body)
        return ForwardedStatement(
            request=ids.RequestId(str(fields["request"])),
            database=ids.DatabaseName(str(fields["database"])),
            command=_decode_command(fields["command"]),
            age_s=decode_seconds(fields["age_s"]),
            operation_age_s=_decode_optional_seconds(fields.get("operation_age_s")),
            values={str(name): str(value) for name, value in fields["values"].items()},
            session_commit=_decode_commit(fields["own"]),
            other_commits={
                ids.ServiceName(str(name)): _decode_commit(each)
                for name, each in fields.get("others", {}).items()
                if each is not None
            },
            routing=_decode_routing(fields.get("route")),
            begin=str(fields["begin"]),
            tenant=ids.TenantName(str(fields.get("tenant", routes.NO_TENANT))),
        )
    except MALFORMED as error:
        raise errors.InvalidFrameError(f"invalid forwarded statement: {error}") from error


def encode_answer(forwarded: ForwardedAnswer) -> bytes:
    """Encode an answer as a frame."""
    answer, routing = forwarded.answer, forwarded.routing
    return encode_fields(
        {
            "rows": answer.rows,
            "signature": answer.signature,
            "refusal": None if answer.refusal is None else answer.refusal.value,
            "detail": answer.detail,
            "state": answer.state.value,
            "position": _encode_position(answer.position),
            **({"retry_s": answer.retry_s} if answer.retry_s else {}),
            **({"service": forwarded.service} if forwarded.service is not None else {}),
            **({"route": _encode_routing(routing)} if routing is not None else {}),
        }
    )


def decode_answer(body: bytes) -> ForwardedAnswer:
    """Decode the body of an answer's frame; raises InvalidFrameError."""
    try:
        fields = json.loads(body)
        refusal, service = fields["refusal"], fields.get("service")
        return ForwardedAnswer(
            answer=requests.Answer(
                rows=tuple(str(row) for row in fields["rows"]),
                signature=fields["signature"],
                refusal=None if refusal is None else requests.Refusal(refusal),
                detail=str(fields["detail"]),
                state=requests.TransactionState(fields["state"]),
                position=_decode_position(fields["position"]),
                retry_s=decode_seconds(fields.get("retry_s", 0.0)),
            ),
            service=None if service is None else ids.ServiceName(str(service)),
            routing=_decode_routing(fields.get("route")),
        )
    except MALFORMED as error:
        raise errors.InvalidFrameError(f"invalid answer: {error}") from error


def encode_fields(fields: dict[str, object]) -> bytes:
    """Return a frame that holds fields as JSON.

    Text beyond ASCII stays UTF-8, since escapes would take three times as much.
    """
    text = json.dumps(fields, separators=(",", ":"), ensure_ascii=False)
    return encode_frame(text.encode("utf-8", "surrogatepass"))


def encode_frame(body: bytes) -> bytes:
    """Return a frame that holds ``body``."""
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Read the body of a frame; raises InvalidFrameError, EOFError or OSError."""
    return await reader.readexactly(decode_length(await reader.readexactly(LENGTH_BYTES)))


def decode_length(head: bytes) -> int:
    """Return the length of a frame's body; raises InvalidFrameError for one that is too large."""
    length = int.from_bytes(head, "big")
    if length > MAX_FRAME_BYTES:
        raise errors.InvalidFrameError(f"{length} bytes are more than {MAX_FRAME_BYTES}")
    return length
