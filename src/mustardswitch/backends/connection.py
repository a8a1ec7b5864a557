"""One MySQL connection to a slot, in the dialect of the platform's database groups.

The group dialect adds to MySQL: ``CALL group_positions()`` makes every answer end with a column
named ``position:term:offset``, the log position that the statement wrote or showed, and answers
without a result set become one row of completion counts; ``CALL group_use_term(t)`` makes the slot
refuse statements of the connection unless it leads at term ``t`` (0 lifts that).
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
# The client library raises this one only before it writes the statement.
SERVER_GONE_CODE = 2006
FIRST_CLIENT_CODE = 2000
LAST_CLIENT_CODE = 2999
POSITION_PREFIX = "position:"
COMPLETION_COLUMN = "completion:affected_rows"
NO_TERM = ids.Term(0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """Where a slot listens and how to log in."""

    host: str
    port: int
    user: str
    password: str
    tls: ssl.SSLContext | None = None
    via: "Via | None" = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Via:
    """Another address by which a slot is reached from here."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Execution:
    """The answer to one statement and the position it wrote or showed."""

    result: outcomes.Result
    position: positions.Position


class BackendConnection:
    """A connection that runs one statement at a time and is closed when an answer is missing."""

    def __init__(self, *, raw: asyncmy.Connection) -> None:
        self.raw = raw
        self.cursor = raw.cursor()
        self.term = NO_TERM
        self.in_use = False
        self.broken = False

    async def execute(self, sql: str, *, timeout_s: float) -> Execution:
        """Run one statement; after ConnectionBrokenError its outcome is not known."""
        with tracing.TRACER.span("backend"):
            await self._query(sql, timeout_s)
        description = self.cursor.description
        if not description:
            raise errors.ConnectionBrokenError("the slot does not speak the group dialect")
        rows = await self.cursor.fetchall()
        position = positions.parse_position(description[-1][0].removeprefix(POSITION_PREFIX))
        if description[0][0] == COMPLETION_COLUMN:
            result = outcomes.Result(affected_rows=int(rows[0][0]), last_insert_id=int(rows[0][1]))
        else:
            result = _result(description[:-1], rows)
        return Execution(result=result, position=position)

    async def call(self, procedure: str, *arguments: object, timeout_s: float) -> typing.Any:
        """Call a procedure of the group interface and return its decoded answer."""
        encoded = ", ".join(_encode_argument(argument) for argument in arguments)
        await self._query(f"CALL group_{procedure}({encoded})", timeout_s)
        rows = await self.cursor.fetchall()
        return json.loads(rows[0][0])

    async def use_term(self, term: ids.Term, *, timeout_s: float) -> None:
        """Bind the connection to a term, if it is not bound to it already."""
        if self.term != term:
            await self.call("use_term", term, timeout_s=timeout_s)
            self.term = term

    async def _query(self, sql: str, timeout_s: float) -> None:
        if self.in_use or self.broken:
            raise errors.ConnectionBrokenError("the connection has an answer outstanding")
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


def _result(description: tuple, rows: tuple) -> outcomes.Result:
    columns = tuple(outcomes.Column(name=item[0], type_code=item[1]) for item in description)
    width = len(columns)
    return outcomes.Result(columns=columns, rows=tuple(row[:width] for row in rows))


async def connect(
    endpoint: Endpoint, *, timeout_s: float, show_positions: bool = True
) -> BackendConnection:
    """Open a connection; ConnectionRefusedError tells that no process listens there."""
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
        if isinstance(error.__cause__ or error.__context__, OSError) and _is_refusal(error):
            raise errors.ServerRefusedError(str(error)) from error
        raise errors.BackendUnreachableError(str(error)) from error
    except (OSError, TimeoutError) as error:
        raise errors.BackendUnreachableError(str(error) or "connecting timed out") from error
    opened = BackendConnection(raw=raw)
    if show_positions:
        try:
            await opened.call("positions", timeout_s=timeout_s)
        except errors.BackendError as error:
            opened.close()
            raise errors.BackendUnreachableError(str(error)) from error
    return opened


def _is_refusal(error: BaseException) -> bool:
    seen: BaseException | None = error
    while seen is not None:
        if isinstance(seen, ConnectionRefusedError):
            return True
        seen = seen.__cause__ or seen.__context__
    return "refused" in str(error).lower()


def decode_status(answer: dict) -> groups.SlotStatus:
    """Read a status as the group interface returns it."""
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
