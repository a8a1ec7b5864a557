"""A MySQL connection to a slot, in the dialect of the platform's database groups.

The group dialect adds to MySQL: after ``CALL group_positions()`` every answer ends with a column
named ``position:term:offset``, the log position of the statement's write or of the state that it
read, and answers without a result set become one row of completion counts; after
``CALL group_use_term(t)`` the slot rejects statements of the connection unless it is primary at
term ``t`` (term 0 removes this restriction).
"""

import asyncio
import dataclasses
import json
import ssl
import typing

import asyncmy
import asyncmy.errors

from mustardswitch import tracing
from mustardswitch.backends import errors
from mustardswitch.internal import groups, ids, outcomes, positions

NOT_PRIMARY_CODE = 1290
DUPLICATE_KEY_CODE = 1062
TRANSACTION_EXPIRED_CODE = 1205
# asyncmy raises this code only before it writes the statement.
SERVER_GONE_CODE = 2006
FIRST_CLIENT_CODE = 2000
LAST_CLIENT_CODE = 2999
POSITION_PREFIX = "position:"
COMPLETION_COLUMN = "completion:affected_rows"
NO_TERM = ids.Term(0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """The address of a slot and the login to use there."""

    host: str
    port: int
    user: str
    password: str
    tls: ssl.SSLContext | None = None
    via: "TranslatedAddress | None" = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TranslatedAddress:
    """The address by which this instance reaches a slot, where it differs from the slot's own."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Execution:
    """The result of one statement, and the position of its write or of the state that it read."""

    result: outcomes.Result
    position: positions.Position


class BackendConnection:
    """A connection that runs one statement at a time.

    A connection with ``broken`` set must be closed: the answer that is missing could otherwise
    arrive later and be taken for the answer to the next statement.
    """

    def __init__(self, *, raw: asyncmy.Connection) -> None:
        self.raw = raw
        self.cursor = raw.cursor()
        self.term = NO_TERM
        self.in_use = False
        self.broken = False

    async def execute(self, sql: str, *, timeout_s: float) -> Execution:
        """Run one statement within ``timeout_s`` seconds.

        Raises ``DatabaseRejectedError`` when the slot answers with an error (``NotPrimaryError``
        when it is not primary at the connection's term), ``NothingSentError`` when the connection
        was closed before anything was sent, and ``ConnectionBrokenError`` when an answer is
        missing; after the last one the outcome is unknown.
        """
        with tracing.TRACER.span("backend"):
            await self._query(sql, timeout_s)
        description = self.cursor.description
        if not description:
            raise errors.ConnectionBrokenError(
                "the answer has no position; the slot does not support the group dialect"
            )
        rows = await self.cursor.fetchall()
        position = positions.parse_position(description[-1][0].removeprefix(POSITION_PREFIX))
        if description[0][0] == COMPLETION_COLUMN:
            result = outcomes.Result(affected_rows=int(rows[0][0]), last_insert_id=int(rows[0][1]))
        else:
            result = _decode_result(description[:-1], rows)
        return Execution(result=result, position=position)

    async def call(self, procedure: str, *arguments: object, timeout_s: float) -> typing.Any:
        """Call a procedure of the group interface and return its answer, decoded from JSON.

        Raises the errors of ``execute``.
        """
        encoded = ", ".join(_encode_argument(argument) for argument in arguments)
        await self._query(f"CALL group_{procedure}({encoded})", timeout_s)
        rows = await self.cursor.fetchall()
        return json.loads(rows[0][0])

    async def use_term(self, term: ids.Term, *, timeout_s: float) -> None:
        """Bind the connection to ``term``, unless it is already; term 0 removes the binding."""
        if self.term != term:
            await self.call("use_term", term, timeout_s=timeout_s)
            self.term = term

    async def _query(self, sql: str, timeout_s: float) -> None:
        if self.in_use or self.broken:
            raise errors.ConnectionBrokenError("the connection is in use or broken")
        self.in_use = True
        try:
            async with asyncio.timeout(timeout_s):
                await self.cursor.execute(sql)
        except asyncmy.errors.MySQLError as error:
            raise self._translate(error) from error
        except TimeoutError as error:
            self.broken = True
            raise errors.ConnectionBrokenError(f"no answer within {timeout_s:.3f} s") from error
        except OSError as error:
            self.broken = True
            raise errors.ConnectionBrokenError(str(error)) from error
        except BaseException:
            self.broken = True
            raise
        finally:
            self.in_use = False

    def _translate(self, error: asyncmy.errors.MySQLError) -> errors.BackendError:
        code = error.args[0] if error.args and isinstance(error.args[0], int) else 0
        message = str(error.args[1]) if len(error.args) > 1 else str(error)
        if code == 0 or FIRST_CLIENT_CODE <= code <= LAST_CLIENT_CODE:
            self.broken = True
            if code == SERVER_GONE_CODE:
                return errors.NothingSentError(message)
            return errors.ConnectionBrokenError(message)
        if code == NOT_PRIMARY_CODE:
            return errors.NotPrimaryError(code=code, message=message)
        return errors.DatabaseRejectedError(code=code, message=message)

    def close(self) -> None:
        """Close without waiting; the slot rolls back an open transaction."""
        self.broken = True
        self.raw.close()


def _encode_argument(argument: object) -> str:
    return f"'{argument}'" if isinstance(argument, str) else str(argument)


def _decode_result(description: tuple, rows: tuple) -> outcomes.Result:
    columns = tuple(outcomes.Column(name=item[0], type_code=item[1]) for item in description)
    width = len(columns)
    return outcomes.Result(columns=columns, rows=tuple(row[:width] for row in rows))


async def connect(
    endpoint: Endpoint, *, timeout_s: float, show_positions: bool = True
) -> BackendConnection:
    """Open a connection within ``timeout_s`` seconds.

    With ``show_positions`` every answer carries a position, which ``execute`` needs. Raises
    ``ServerRefusedError`` when no process listens at the address, and ``BackendUnreachableError``
    on any other failure.
    """
    try:
        async with asyncio.timeout(timeout_s):
            raw = await asyncmy.connect(
                host=endpoint.via.host if endpoint.via else endpoint.host,
                port=endpoint.via.port if endpoint.via else endpoint.port,
                user=endpoint.user,
                password=endpoint.password,
                ssl=endpoint.tls,
                conv={},
                use_unicode=False,
                autocommit=None,
                connect_timeout=timeout_s,
            )
    except asyncmy.errors.MySQLError as error:
        if isinstance(error.__cause__ or error.__context__, OSError) and _is_connection_refused(
            error
        ):
            raise errors.ServerRefusedError(str(error)) from error
        raise errors.BackendUnreachableError(str(error)) from error
    except (OSError, TimeoutError) as error:
        raise errors.BackendUnreachableError(
            str(error) or "connection attempt timed out"
        ) from error
    opened = BackendConnection(raw=raw)
    if show_positions:
        try:
            await opened.call("positions", timeout_s=timeout_s)
        except errors.BackendError as error:
            opened.close()
            raise errors.BackendUnreachableError(str(error)) from error
    return opened


def _is_connection_refused(error: BaseException) -> bool:
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        cause = cause.__cause__ or cause.__context__
    return "refused" in str(error).lower()


def decode_status(answer: dict) -> groups.SlotStatus:
    """Decode a slot's status from the answer of the group interface."""
    following = answer["following"]
    return groups.SlotStatus(
        slot=ids.SlotId(answer["slot"]),
        role=groups.SlotRole(answer["role"]),
        promised=ids.Term(answer["promised"]),
        log_end=positions.parse_position(answer["log_end"]),
        applied=positions.parse_position(answer["applied"]),
        following=ids.SlotId(following) if following else None,
        primary_silence_ms=float(answer["primary_silence_ms"]),
    )
