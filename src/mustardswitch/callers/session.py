"""One caller's session: its floors, its transaction and its statements."""

import dataclasses
import functools
import re
import time
import typing
import uuid

import mysql_mimic
from mysql_mimic import results as mimic_results
from mysql_mimic import types as mimic_types
from mysql_mimic import variables as mimic_variables

from mustardswitch import events, tracing
from mustardswitch.callers import completions, errors
from mustardswitch.instance import node, router
from mustardswitch.internal import errors as decision_errors
from mustardswitch.internal import ids, outcomes, positions, statements, tokens

TOKEN_VARIABLE = "mustardswitch_session_token"
COLUMN_CACHE_ENTRIES = 1024
SERVER_VERSION = "8.0.40-mustardswitch"

_SET = re.compile(r"^\s*SET\s+(?:SESSION\s+|@@session\.|@@)?(.+?)\s*;?\s*$", re.I | re.S)
_ASSIGNMENT = re.compile(r"^([\w.]+)\s*(?::?=)\s*(.*)$", re.S)
_HARMLESS_SETTINGS = re.compile(
    r"^(names\b|character_set|collation|sql_mode|time_zone|sql_safe_updates|wait_timeout|"
    r"net_\w+_timeout|interactive_timeout)",
    re.I,
)
_VARIABLE_SELECT = re.compile(r"^\s*SELECT\s+@@(?:session\.)?(\w+)(?:\s+LIMIT\s+1)?\s*;?\s*$", re.I)
_DEFINITION = re.compile(r"^\s*(CREATE|ALTER|DROP|TRUNCATE|RENAME)\b", re.I)
_USE = re.compile(r"^\s*USE\s+`?([\w-]+)`?\s*;?\s*$", re.I)
_SHOW = re.compile(r"^\s*SHOW\s+(\w+)", re.I)


@dataclasses.dataclass(kw_only=True, slots=True)
class SessionTransaction:
    """The open transaction of a session."""

    transaction: ids.TransactionId
    database: ids.DatabaseName
    gateway: router.TransactionGateway


class CallerSession(mysql_mimic.session.BaseSession):
    """Serves one MySQL connection."""

    def __init__(
        self,
        *,
        entry: node.Node,
        codec: tokens.TokenCodec,
        classifier: statements.StatementClassifier,
    ) -> None:
        self.entry = entry
        self.codec = codec
        self.classifier = classifier
        self.variables = mimic_variables.SessionVariables(mimic_variables.GlobalVariables())
        self.variables.set("version", SERVER_VERSION, force=True)
        self.username: str | None = None
        self.database: str | None = None
        self.min_positions = positions.MinPositions()
        self.arrived: set[ids.DatabaseName] = set()
        """Databases whose arrival floor is known, by question or by token."""
        self.has_token = False
        self.autocommit = True
        self.transaction: SessionTransaction | None = None
        self.closing = False

    async def init(self, connection: mysql_mimic.connection.Connection) -> None:
        """Refuse a caller that did not log in; the codec itself goes on without one."""
        self.connection = connection
        if self.username is None:
            events.log(events.Event.CALLER_REFUSED)
            raise errors.refusal("not logged in; connect with a login of the document")
        self.completion = completions.install(connection)
        token = connection.client_connect_attrs.get(TOKEN_VARIABLE)
        if token:
            self._take_token(token)

    async def close(self) -> None:
        """Roll back what the caller left open."""
        if self.transaction is not None:
            await self._end_transaction(outcomes.StatementKind.ROLLBACK, None, 1.0)

    async def reset(self) -> None:
        """Start a fresh session on the same connection, keeping its floors."""
        await self.close()
        self.autocommit = True

    async def use(self, database: str) -> None:
        """Change the default database."""
        if ids.DatabaseName(database) not in self.entry.router.document.databases:
            raise errors.refusal(f"database {database!r} is not in the document")
        self.database = database

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> typing.Any:
        """Answer one statement."""
        with tracing.TRACER.span("caller"):
            return await self._handle(sql)

    async def _handle(self, sql: str) -> typing.Any:
        started_s = time.monotonic()
        registry = self.entry.registry
        try:
            kind = self.classifier.classify(sql)
            hints = statements.parse_hints(sql)
            if kind is outcomes.StatementKind.SESSION:
                return await self._answer_session(sql)
            if kind is outcomes.StatementKind.READ:
                answer = self._answer_variable(sql)
                if answer is not None:
                    return answer
            return await self._answer(sql, kind, hints)
        except decision_errors.DecisionError as error:
            raise errors.refusal(str(error)) from error
        finally:
            registry.record_seconds("statement", time.monotonic() - started_s)

    # Statements that the session answers itself

    async def _answer_session(self, sql: str) -> typing.Any:
        used = _USE.match(sql)
        if used:
            await self.use(used.group(1))
            return None
        shown = _SHOW.match(sql)
        if shown:
            return self._show(shown.group(1).upper())
        match = _SET.match(sql)
        if match:
            await self._set(match.group(1))
        return None

    def _show(self, what: str) -> typing.Any:
        if what in ("WARNINGS", "ERRORS"):
            return [], ["Level", "Code", "Message"]
        if what == "DATABASES":
            names = sorted(self.entry.router.document.databases)
            return [(name,) for name in names], ["Database"]
        raise errors.refusal(f"SHOW {what} is not supported; query the tables themselves")

    async def _set(self, text: str) -> None:
        if _HARMLESS_SETTINGS.match(text):
            return
        assignment = _ASSIGNMENT.match(text)
        name = assignment.group(1).lower() if assignment else text.split()[0].lower()
        value = assignment.group(2).strip().strip("'\"") if assignment else ""
        if name == "autocommit":
            await self._set_autocommit(value)
        elif name == TOKEN_VARIABLE:
            self._take_token(value)
        else:
            raise errors.refusal(
                f"setting {name} is not supported: it would be lost between connections; "
                "put it into the statement"
            )

    async def _set_autocommit(self, value: str) -> None:
        if value.lower() not in ("0", "1", "on", "off", "true", "false"):
            raise errors.refusal(f"autocommit takes 0 or 1, not {value!r}")
        self.autocommit = value.lower() in ("1", "on", "true")
        if self.autocommit and self.transaction is not None:
            reply = await self._end_transaction(outcomes.StatementKind.COMMIT, None, self._limit())
            self._require_ran(reply)

    def _take_token(self, token: str) -> None:
        try:
            min_positions = self.codec.decode(token)
        except decision_errors.InvalidTokenError as error:
            raise errors.refusal(str(error)) from error
        for database, position in min_positions.by_database.items():
            self.min_positions = self.min_positions.raised_to(database, position)
            self.arrived.add(database)

    def _known_floors(self) -> positions.MinPositions:
        """Return the floors that a token may carry.

        A session that arrived without a token and only read with a stated age has a floor lower
        than its own earlier writes. A token with that floor would keep the next session from
        asking for the arrival floor, so such databases stay out of it.
        """
        return positions.MinPositions(
            by_database={
                database: position
                for database, position in self.min_positions.by_database.items()
                if database in self.arrived
            }
        )

    def _answer_variable(self, sql: str) -> typing.Any:
        match = _VARIABLE_SELECT.match(sql)
        if match is None:
            return None
        name = match.group(1).lower()
        if name == TOKEN_VARIABLE:
            return [(self.codec.encode(self._known_floors()),)], [f"@@{name}"]
        known = {
            "version": SERVER_VERSION,
            "version_comment": "mustardswitch",
            "autocommit": int(self.autocommit),
            "max_allowed_packet": self.entry.config.max_packet_bytes,
            "transaction_isolation": "REPEATABLE-READ",
            "tx_isolation": "REPEATABLE-READ",
        }
        if name not in known:
            raise errors.refusal(f"variable @@{name} is not known to the proxy")
        return [(known[name],)], [f"@@{name}"]

    # Statements that go to a database

    async def _answer(
        self, sql: str, kind: outcomes.StatementKind, hints: statements.Hints
    ) -> typing.Any:
        limit_s = self._limit(hints)
        if kind is outcomes.StatementKind.BEGIN:
            return await self._begin(limit_s)
        if kind in (outcomes.StatementKind.COMMIT, outcomes.StatementKind.ROLLBACK):
            return await self._finish(kind, hints.request_id, limit_s)
        if self.transaction is None and not self.autocommit and self._opens(sql, kind):
            await self._begin(limit_s)
        if self.transaction is not None:
            return await self._answer_in_transaction(sql, kind, hints, limit_s)
        return await self._answer_alone(sql, kind, hints, limit_s)

    def _opens(self, sql: str, kind: outcomes.StatementKind) -> bool:
        """With autocommit off, the first write opens the transaction; reads before it roam."""
        return kind is outcomes.StatementKind.WRITE and not _DEFINITION.match(sql)

    def _limit(self, hints: statements.Hints = statements.NO_HINTS) -> float:
        """Return the seconds that a statement may take."""
        if hints.deadline_s is not None:
            return hints.deadline_s
        if self.database is None:
            return 5.0
        entry = self.entry.router.document.databases.get(ids.DatabaseName(self.database))
        return entry.policy.statement_deadline_s if entry else 5.0

    def _database(self) -> ids.DatabaseName:
        if not self.database:
            raise errors.refusal("no database chosen; name one when connecting or send USE")
        return ids.DatabaseName(self.database)

    async def _answer_alone(
        self,
        sql: str,
        kind: outcomes.StatementKind,
        hints: statements.Hints,
        limit_s: float,
    ) -> typing.Any:
        database = self._database()
        deadline_s = time.monotonic() + limit_s
        reads = kind is outcomes.StatementKind.READ
        if hints.request_id is not None and (reads or _DEFINITION.match(sql)):
            raise errors.refusal("REQUEST_ID goes with INSERT, UPDATE, DELETE, REPLACE or COMMIT")
        if reads and hints.max_age_s is None:
            await self._ensure_arrived(database, deadline_s)
        statement = router.RoutedStatement(
            database=database,
            sql=sql,
            kind=kind,
            deadline_s=deadline_s,
            min_position=self.min_positions.get(database),
            max_age_s=hints.max_age_s if reads else None,
            request_id=hints.request_id,
            caller=self.username or "",
        )
        with tracing.TRACER.span("entry", database=database, kind=kind.value):
            reply = await self.entry.router.execute(statement)
        self._note(reply, database, reads=reads)
        return self._result(reply)

    async def _ensure_arrived(self, database: ids.DatabaseName, deadline_s: float) -> None:
        """Find the floor of a session that arrived without a token for this database."""
        if database in self.arrived:
            return
        min_position = await self.entry.router.initial_min_position(database, deadline_s=deadline_s)
        if min_position is None:
            detail = (
                f"no majority of the slots of {database} can be asked what was acknowledged "
                "before you arrived; send your session token or a MAX_AGE hint"
            )
            raise errors.error_of(outcomes.not_run(outcomes.Reason.BEHIND, detail))
        self.min_positions = self.min_positions.raised_to(database, min_position)
        self.arrived.add(database)

    def _note(
        self, reply: outcomes.StatementReply, database: ids.DatabaseName, *, reads: bool
    ) -> None:
        if reply.position is not None and reply.outcome is outcomes.Outcome.RAN:
            self.min_positions = self.min_positions.raised_to(database, reply.position)
        registry = self.entry.registry
        registry.count("statements", reply.outcome.value)
        if reads and reply.outcome is outcomes.Outcome.RAN:
            registry.count("reads", "replica" if reply.served_by_replica else "primary")
        if reply.outcome is outcomes.Outcome.UNKNOWN:
            events.log(events.Event.STATEMENT_UNKNOWN, database=database, reason=reply.detail)

    def _require_ran(self, reply: outcomes.StatementReply) -> None:
        if reply.outcome is not outcomes.Outcome.RAN or reply.failure is not None:
            raise errors.error_of(reply)

    def _result(self, reply: outcomes.StatementReply) -> typing.Any:
        self._require_ran(reply)
        result = reply.result or outcomes.Result()
        if result.columns:
            return mimic_results.ResultSet(rows=result.rows, columns=_columns(result.columns))
        self.completion.affected_rows = result.affected_rows
        self.completion.last_insert_id = result.last_insert_id
        return None

    # Transactions

    async def _begin(self, limit_s: float) -> typing.Any:
        if self.transaction is not None:
            await self._finish(outcomes.StatementKind.COMMIT, None, limit_s)
        database = self._database()
        transaction = ids.TransactionId(uuid.uuid4().hex)
        statement = router.RoutedStatement(
            database=database,
            sql="BEGIN",
            kind=outcomes.StatementKind.BEGIN,
            deadline_s=time.monotonic() + limit_s,
            transaction=transaction,
            caller=self.username or "",
        )
        opened = await self.entry.router.begin(statement)
        self._require_ran(opened.reply)
        self.transaction = SessionTransaction(
            transaction=transaction, database=database, gateway=opened.gateway
        )
        self._show_transaction(True)
        return None

    def _show_transaction(self, is_open: bool) -> None:
        """Tell the client library whether a transaction is open, in the status flags."""
        flags = mimic_types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if is_open:
            flags |= mimic_types.ServerStatus.SERVER_STATUS_IN_TRANS
        self.connection.status_flags = flags

    async def _answer_in_transaction(
        self,
        sql: str,
        kind: outcomes.StatementKind,
        hints: statements.Hints,
        limit_s: float,
    ) -> typing.Any:
        if _DEFINITION.match(sql):
            raise errors.refusal(
                "a definition would end the open transaction; send COMMIT or ROLLBACK first"
            )
        if hints.request_id is not None:
            raise errors.refusal("in a transaction, put REQUEST_ID on its COMMIT")
        reply = await self._send(sql, kind, None, limit_s)
        if reply.reason is outcomes.Reason.TRANSACTION_LOST:
            self._forget_transaction()
        elif reply.outcome is outcomes.Outcome.RAN:
            self._note(reply, self.transaction.database, reads=False)
        return self._result(reply)

    async def _send(
        self,
        sql: str,
        kind: outcomes.StatementKind,
        request_id: ids.RequestId | None,
        limit_s: float,
    ) -> outcomes.StatementReply:
        statement = router.RoutedStatement(
            database=self.transaction.database,
            sql=sql,
            kind=kind,
            deadline_s=time.monotonic() + limit_s,
            request_id=request_id,
            transaction=self.transaction.transaction,
            caller=self.username or "",
        )
        return await self.entry.router.execute_in_transaction(self.transaction.gateway, statement)

    async def _finish(
        self,
        kind: outcomes.StatementKind,
        request_id: ids.RequestId | None,
        limit_s: float,
    ) -> typing.Any:
        if self.transaction is None:
            return None
        return self._result(await self._end_transaction(kind, request_id, limit_s))

    async def _end_transaction(
        self,
        kind: outcomes.StatementKind,
        request_id: ids.RequestId | None,
        limit_s: float,
    ) -> outcomes.StatementReply:
        database = self.transaction.database
        reply = await self._send(kind.value.upper(), kind, request_id, limit_s)
        self._forget_transaction()
        self._note(reply, database, reads=False)
        return reply

    def _forget_transaction(self) -> None:
        self.transaction = None
        self._show_transaction(False)


_INTEGER_TYPES = frozenset(
    {
        mimic_types.ColumnType.TINY,
        mimic_types.ColumnType.SHORT,
        mimic_types.ColumnType.INT24,
        mimic_types.ColumnType.LONG,
        mimic_types.ColumnType.LONGLONG,
        mimic_types.ColumnType.YEAR,
    }
)
_FLOAT_TYPES = frozenset({mimic_types.ColumnType.FLOAT, mimic_types.ColumnType.DOUBLE})


def _encode_text(column: mimic_results.ResultColumn, value: bytes) -> bytes:
    """Pass a cell on as the backend server sent it."""
    return value


def _encode_binary(column: mimic_results.ResultColumn, value: bytes) -> bytes:
    """Encode a cell for a prepared statement, whose protocol carries typed values."""
    plain = mimic_results.ResultColumn(name=column.name, type=column.type)
    if column.type in _INTEGER_TYPES:
        return plain.binary_encode(int(value))
    if column.type in _FLOAT_TYPES:
        return plain.binary_encode(float(value))
    return plain.binary_encode(value)


@functools.lru_cache(maxsize=COLUMN_CACHE_ENTRIES)
def _columns(columns: tuple[outcomes.Column, ...]) -> list[mimic_results.ResultColumn]:
    return [_column(column) for column in columns]


def _column(column: outcomes.Column) -> mimic_results.ResultColumn:
    return mimic_results.ResultColumn(
        name=column.name,
        type=mimic_types.ColumnType(column.type_code),
        text_encoder=_encode_text,
        binary_encoder=_encode_binary,
    )
