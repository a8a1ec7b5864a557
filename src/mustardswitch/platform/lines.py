"""Codec of the line protocol of callers and backend servers; it does no input or output.

Each message is one line of fields separated by blanks. In some messages the last field takes the
rest of the line.
"""

import dataclasses
import functools
import re
import typing

from mustardswitch.internal import ids, positions, promotion
from mustardswitch.platform import errors
from mustardswitch.proxy import ports, requests, routes

MAX_LINE_BYTES = 1 << 20
"""The protocol's limit for one message."""
END = b"\r\n"
PROXY_NAME = "mustardswitch"
"""Names the caller of a connection that serves no tenant."""
NONE = "-"
"""Stands for an absent position or signature, and for the id of the proxy's own statements."""

REFUSAL_CODES = {
    requests.Refusal.OVERLOADED: "BUSY",
    requests.Refusal.ABORTED: "ABORTED",
    requests.Refusal.BEHIND: "LAGGING",
    requests.Refusal.READ_ONLY: "READONLY",
    requests.Refusal.WRONG_SERVER: "WRONGNODE",
    requests.Refusal.TOO_MANY_CONNECTIONS: "CONNLIMIT",
    requests.Refusal.FAILED: "FAILED",
    requests.Refusal.UNKNOWN_STATEMENT: "NOSTMT",
    requests.Refusal.TIMED_OUT: "TIMEOUT",
    requests.Refusal.UNKNOWN_DATABASE: "NODB",
    requests.Refusal.MALFORMED: "MALFORMED",
    requests.Refusal.TOO_LARGE: "TOOLARGE",
    requests.Refusal.OUTCOME_UNKNOWN: "INDOUBT",
    requests.Refusal.UNAUTHORIZED: "UNAUTH",
}
_REFUSALS = {code: refusal for refusal, code in REFUSAL_CODES.items()}
_STATES = {
    "I": requests.TransactionState.IDLE,
    "T": requests.TransactionState.OPEN,
    "E": requests.TransactionState.FAILED,
}
_STATE_LETTERS = {state: letter for letter, state in _STATES.items()}
_ACCESS = {"READ": requests.Access.READ, "WRITE": requests.Access.WRITE}
_ACCESS_WORDS = {access: word for word, access in _ACCESS.items()}
_ROLES = {role.value: role for role in promotion.Role}
_REQUEST_ID = re.compile(r"[!-~]{1,128}")
_CONTROL = re.compile(r"[\x00-\x1f\x7f]")


# Callers


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartSession:
    """A caller opens a session on a database."""

    database: ids.DatabaseName
    key: ids.CallerKey = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunStatement:
    """A caller sends a statement."""

    request: ids.RequestId
    statement: requests.Statement


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndSession:
    """A caller ends its session."""


CallerMessage = StartSession | RunStatement | EndSession


def _decode_text(line: bytes) -> str:
    try:
        text = line.decode("utf-8")
    except UnicodeDecodeError as error:
        raise errors.InvalidLineError("the line is not UTF-8") from error
    if _CONTROL.search(text):
        raise errors.InvalidLineError("the line has a control character")
    return text


def parse_caller_line(line: bytes) -> CallerMessage:
    """Parse a caller's line, without its line end; raises InvalidLineError."""
    text = _decode_text(line)
    verb, _, rest = text.partition(" ")
    if verb == "QUERY":
        request, _, statement = rest.partition(" ")
        if not _REQUEST_ID.fullmatch(request) or request == NONE:
            raise errors.InvalidLineError("the statement has no id; give one without blanks")
        return RunStatement(request=ids.RequestId(request), statement=parse_statement(statement))
    if verb == "STARTUP":
        database, _, key = rest.partition(" ")
        if not database or not key:
            raise errors.InvalidLineError("a session needs a database and a caller")
        return StartSession(database=ids.DatabaseName(database), key=ids.CallerKey(key))
    if verb == "TERMINATE":
        return EndSession()
    raise errors.InvalidLineError(f"verb {verb[:32]!r} is unknown")


def _parse_plain(access: requests.Access, rest: str) -> requests.Statement:
    field_count = 1 if access is requests.Access.READ else 2
    if len(rest.split(" ", field_count - 1)) != field_count or not all(
        rest.split(" ", field_count - 1)
    ):
        raise errors.InvalidLineError(f"a {access.value} needs {field_count} fields")
    return requests.Plain(access=access, arguments=rest)


def _parse_begin(rest: str) -> requests.Statement:
    if rest not in ("", "READ"):
        raise errors.InvalidLineError(f"BEGIN takes READ or nothing, not {rest[:32]!r}")
    return requests.Begin(read_only=rest == "READ")


def _parse_set(rest: str) -> requests.Statement:
    name, separator, value = rest.partition(" ")
    if not name or not separator:
        raise errors.InvalidLineError("SET needs a name and a value")
    return requests.SetValue(name=name, value=value)


def _parse_prepare(rest: str) -> requests.Statement:
    fields = rest.split(" ", 2)
    if len(fields) != 3 or fields[1] not in _ACCESS or not fields[0] or not fields[2]:
        raise errors.InvalidLineError("PREPARE needs a name, READ or WRITE, and a shape")
    shape = requests.Shape(access=_ACCESS[fields[1]], text=fields[2])
    return requests.Prepare(name=ids.StatementName(fields[0]), shape=shape)


def _parse_execute(rest: str) -> requests.Statement:
    name, separator, arguments = rest.partition(" ")
    if not name or not separator or not arguments:
        raise errors.InvalidLineError("EXECUTE needs a name and an item")
    return requests.Execute(name=ids.StatementName(name), arguments=arguments)


def _parse_deallocate(rest: str) -> requests.Statement:
    if not rest or " " in rest:
        raise errors.InvalidLineError("DEALLOC needs a name")
    return requests.Deallocate(name=ids.StatementName(rest))


def _parse_bare(statement: requests.Statement, rest: str) -> requests.Statement:
    if rest:
        raise errors.InvalidLineError(f"unexpected text {rest[:32]!r} after the statement")
    return statement


_PARSERS: dict[str, typing.Callable[[str], requests.Statement]] = {
    "BEGIN": _parse_begin,
    "COMMIT": functools.partial(_parse_bare, requests.Commit()),
    "ROLLBACK": functools.partial(_parse_bare, requests.Rollback()),
    "READ": functools.partial(_parse_plain, requests.Access.READ),
    "WRITE": functools.partial(_parse_plain, requests.Access.WRITE),
    "SET": _parse_set,
    "PREPARE": _parse_prepare,
    "EXECUTE": _parse_execute,
    "DEALLOC": _parse_deallocate,
}


def parse_statement(text: str) -> requests.Statement:
    """Parse a caller's statement; raises InvalidLineError."""
    word, _, rest = text.partition(" ")
    parser = _PARSERS.get(word)
    if parser is None:
        raise errors.InvalidLineError(f"statement {word[:32]!r} is unknown")
    return parser(rest)


def _replace_controls(text: str) -> str:
    return _CONTROL.sub(" ", text)


def encode_answer(answer: requests.Answer) -> bytes:
    """Encode the answer to a caller's statement, all its lines included."""
    lines = [f"DATAROW {row}" for row in answer.rows]
    if answer.refusal is None:
        lines.append(f"COMPLETE {answer.signature or NONE}")
    else:
        lines.append(encode_error(answer.refusal, answer.detail))
    lines.append(f"READY {_STATE_LETTERS[answer.state]} {NONE}")
    return "".join(f"{line}\r\n" for line in lines).encode()


def encode_error(refusal: requests.Refusal, detail: str) -> str:
    """Encode a refusal, without the line end; control characters in ``detail`` become blanks."""
    return f"ERROR {REFUSAL_CODES[refusal]} {_replace_controls(detail) or refusal.value}"


READY = b"READY I -\r\n"
"""Sent to a caller when its session is accepted."""


# Backend servers


class ShapeNames:
    """Names of the statement shapes that are prepared on one connection."""

    def __init__(self) -> None:
        self.by_shape: dict[requests.Shape, str] = {}
        self.assigned = 0

    def add(self, shape: requests.Shape) -> str:
        """Assign a name that was never used on the connection to a shape, and return it."""
        self.assigned += 1
        self.by_shape[shape] = f"p{self.assigned}"
        return self.by_shape[shape]


def encode_start(
    service: ids.ServiceName, server: ids.ServerId, tenant: ids.TenantName = routes.NO_TENANT
) -> bytes:
    """Encode the start of a session of a tenant, or of the proxy itself without one.

    Another server that now has the address rejects it, unless ``server`` is ``ids.ANY_SERVER``.
    """
    expected = "" if server == ids.ANY_SERVER else f" {server}"
    return f"STARTUP {service} {tenant or PROXY_NAME}{expected}\r\n".encode()


def encode_command(
    command: ports.Command, request: ids.RequestId | None, names: ShapeNames
) -> bytes:
    """Encode a command to a server; ``request`` is None for the proxy's own commands.

    A command that prepares a shape or resets the session changes ``names`` accordingly.
    """
    return f"QUERY {request or NONE} {_command_text(command, names)}\r\n".encode()


@functools.singledispatch
def _command_text(command: ports.Command, names: ShapeNames) -> str:
    raise TypeError(f"command {command!r} has no encoding; register one")


@_command_text.register
def _(command: requests.Plain, names: ShapeNames) -> str:
    return f"{_ACCESS_WORDS[command.access]} {command.arguments}"


@_command_text.register
def _(command: ports.RunPrepared, names: ShapeNames) -> str:
    return f"EXECUTE {names.by_shape.get(command.shape, NONE)} {command.arguments}"


@_command_text.register
def _(command: ports.ReadAt, names: ShapeNames) -> str:
    return f"{_position_prefix(command.min_position)}{_command_text(command.statement, names)}"


@_command_text.register
def _(command: ports.BeginAt, names: ShapeNames) -> str:
    return f"{_position_prefix(command.min_position)}BEGIN{' READ' if command.read_only else ''}"


@_command_text.register
def _(command: ports.PrepareShape, names: ShapeNames) -> str:
    shape = command.shape
    return f"PREPARE {names.add(shape)} {_ACCESS_WORDS[shape.access]} {shape.text}"


@_command_text.register
def _(command: ports.ResetSession, names: ShapeNames) -> str:
    names.by_shape.clear()
    return "RESET"


@_command_text.register
def _(command: requests.SetValue, names: ShapeNames) -> str:
    return f"SET {command.name} {command.value}"


@_command_text.register
def _(command: requests.Commit, names: ShapeNames) -> str:
    return "COMMIT"


@_command_text.register
def _(command: requests.Rollback, names: ShapeNames) -> str:
    return "ROLLBACK"


def _position_prefix(min_position: positions.Position | None) -> str:
    return "" if min_position is None else f"AFTER {min_position.term}.{min_position.offset} "


STATUS = b"QUERY - STATUS\r\n"
RESUME = b"QUERY - RESUME\r\n"


def encode_pause(term: ids.Term) -> bytes:
    """Encode the command that stops a replica from receiving under any lower term."""
    return f"QUERY - PAUSE {term}\r\n".encode()


def encode_step_down(term: ids.Term) -> bytes:
    """Encode the command that makes a primary of a lower term a replica."""
    return f"QUERY - STEPDOWN {term}\r\n".encode()


class AnswerDecoder:
    """Assembles the lines of one answer."""

    def __init__(self) -> None:
        self.rows: list[str] = []
        self.signature: str | None = None
        self.refusal: requests.Refusal | None = None
        self.detail = ""

    def feed(self, line: bytes) -> requests.Answer | None:
        """Add a line, without its line end; return the answer once it is complete.

        Raises InvalidLineError.
        """
        verb, _, rest = _decode_text(line).partition(" ")
        if verb == "DATAROW":
            self.rows.append(rest)
        elif verb == "COMPLETE":
            self.signature = rest
        elif verb == "ERROR":
            code, _, self.detail = rest.partition(" ")
            self.refusal = _REFUSALS.get(code, requests.Refusal.FAILED)
            self.detail = f"{code} {self.detail}"
        elif verb == "READY":
            return self._finish(rest)
        else:
            raise errors.InvalidLineError(f"verb {verb[:32]!r} is unknown")
        return None

    def _finish(self, rest: str) -> requests.Answer:
        letter, _, position = rest.partition(" ")
        if letter not in _STATES:
            raise errors.InvalidLineError(f"state {letter[:8]!r} is unknown")
        return requests.Answer(
            rows=tuple(self.rows),
            signature=self.signature,
            refusal=self.refusal,
            detail=self.detail,
            state=_STATES[letter],
            position=parse_position(position),
        )


def parse_position(text: str) -> positions.Position | None:
    """Parse ``term.offset``; None for an absent position. Raises InvalidLineError."""
    if text in (NONE, ""):
        return None
    term, separator, offset = text.partition(".")
    if not separator or not (term.isascii() and term.isdigit()):
        raise errors.InvalidLineError(f"position {text[:32]!r} does not have the form term.offset")
    if not (offset.isascii() and offset.isdigit()):
        raise errors.InvalidLineError(f"position {text[:32]!r} does not have the form term.offset")
    return positions.Position(term=ids.Term(int(term)), offset=ids.Offset(int(offset)))


def parse_status(row: str) -> promotion.ServerStatus:
    """Parse the row with which a server answers a status query; raises InvalidLineError.

    Its fields: role, term, end of the log, term under which it is paused, lag in ms, statements
    running, connections.
    """
    fields = row.split(" ")
    if len(fields) < 3 or fields[0] not in _ROLES or not fields[1].isdigit():
        raise errors.InvalidLineError(f"status {row[:64]!r} has no role, term and position")
    paused = int(fields[3]) if len(fields) > 3 and fields[3].isdigit() else 0
    # The query itself is one of those that run.
    busy = int(fields[5]) if len(fields) > 5 and fields[5].isdigit() else 0
    received = parse_position(fields[2]) or positions.ORIGIN
    return promotion.ServerStatus(
        role=_ROLES[fields[0]],
        term=ids.Term(max(int(fields[1]), paused, received.term)),
        received=received,
        paused=paused > 0,
        running=max(0, busy - 1),
    )
