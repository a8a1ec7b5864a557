"""One caller's session: its minimum positions, its transaction and its statements."""

import dataclasses
import re
import time
import typing
import uuid

import mysql_mimic
from mysql_mimic import results as mimic_results
from mysql_mimic import types as mimic_types
from mysql_mimic import variables as mimic_variables

from mustardswitch import events, tracing
from mustardswitch.callers import columns, completions, errors
from mustardswitch.instance import node, router
from mustardswitch.internal import errors as decision_errors
from mustardswitch.internal import ids, outcomes, positions, statements, tokens

TOKEN_VARIABLE = "mustardswitch_session_token"
SERVER_VERSION = "8.0.40-mustardswitch"

_SET = re.compile(r"^\s*SET\s+(?:SESSION\s+|@@session\.|@@)?(.+?)\s*;?\s*$", re.I | re.S)
_ASSIGNMENT = re.compile(r"^([\w.]+)\s*(?::?=)\s*(.*)$", re.S)
_IGNORED_SETTINGS = re.compile(
    r"^(names\b|character_set|collation|sql_mode|time_zone|sql_safe_updates|wait_timeout|"
    r"net_\w+_timeout|interactive_timeout)",
    re.I,
)
"""Settings that are accepted without effect, because ignoring them is harmless."""
_VARIABLE_SELECT = re.compile(r"^\s*SELECT\s+@@(?:session\.)?(\w+)(?:\s+LIMIT\s+1)?\s*;?\s*$", re.I)
_DDL = re.compile(r"^\s*(CREATE|ALTER|DROP|TRUNCATE|RENAME)\b", re.I)
_USE = re.compile(r"^\s*USE\s+`?([\w-]+)`?\s*;?\s*$", re.I)
_SHOW = re.compile(r"^\s*SHOW\s+(\w+)", re.I)


@dataclasses.dataclass(kw_only=True, slots=True)
class SessionTransaction:
    """The open transaction of a session and where it runs."""

    transaction_id: ids.TransactionId
    database: ids.DatabaseName
    gateway: router.TransactionGateway


class CallerSession(mysql_mimic.session.BaseSession):
    """Executes the statements of one MySQL connection."""

    def __init__(
        self,
        *,
        entry: node.Node,
        token_codec: tokens.TokenCodec,
        classifier: statements.StatementClassifier,
    ) -> None:
        self.entry = entry
        self.token_codec = token_codec
        self.classifier = classifier
        self.variables = mimic_variables.SessionVariables(mimic_variables.GlobalVariables())
        self.variables.set("version", SERVER_VERSION, force=True)
        self.username: str | None = None
        self.database: str | None = None
        self.min_positions = positions.MinPositions()
        self.databases_with_min_position: set[ids.DatabaseName] = set()
        """Databases whose initial minimum position is known, from a query or from a token."""
        self.has_token = False
        self.autocommit = True
        self.transaction: SessionTransaction | None = None
        self.closing = False

    async def init(self, connection: mysql_mimic.connection.Connection) -> None:
        """Check the login and take the session token from the connection attributes.

        Raises CallerError for a caller that did not log in; ``mysql_mimic`` itself would serve it.
        """
        self.connection = connection
        if self.username is None:
            events.log(events.Event.CALLER_REFUSED)
            raise errors.rejection("not logged in; connect with a login of the document")
        self.completion = completions.install(connection)
        token = connection.client_connect_attrs.get(TOKEN_VARIABLE)
        if token:
            self._apply_token(token)

    async def close(self) -> None:
        """Roll back the transaction that the caller left open."""
        if self.transaction is not None:
            await self._end_transaction(outcomes.StatementKind.ROLLBACK, None, 1.0)

    async def reset(self) -> None:
        """Reset the session on the same connection, keeping its minimum positions."""
        await self.close()
        self.autocommit = True

    async def use(self, database: str) -> None:
        """Change the default database; raises CallerError when the document does not list it."""
        if ids.DatabaseName(database) not in self.entry.router.document.databases:
            raise errors.rejection(f"database {database!r} is not in the document")
        self.database = database

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> typing.Any:
        """Execute one statement; raises CallerError or MysqlError when it has no result."""
        with tracing.TRACER.span("caller"):
            return await self._handle(sql)

    async def _handle(self, sql: str) -> typing.Any:
        started_s = time.monotonic()
        registry = self.entry.registry
        await self._check_login()
        try:
            kind = self.classifier.classify(sql)
            hints = statements.parse_hints(sql)
            if kind is outcomes.StatementKind.SESSION:
                return await self._execute_session_statement(sql)
            if kind is outcomes.StatementKind.READ:
                answer = self._select_variable(sql)
                if answer is not None:
                    return answer
            return await self._execute(sql, kind, hints)
        except decision_errors.DecisionError as error:
            raise errors.rejection(str(error)) from error
        finally:
            registry.record_seconds("statement", time.monotonic() - started_s)

    async def _check_login(self) -> None:
        """Raise CallerError if the login was removed from the document; rolls back at once then."""
        document = self.entry.router.document
        if not document.has_callers or document.find_caller(self.username) is not None:
            return
        self.entry.registry.count("statements_of_removed_logins")
        events.log(events.Event.CALLER_REFUSED, reason="the login was removed")
        if self.transaction is None:
            raise errors.rejection("the login is no longer in the document; connect with another")
        await self.close()
        self._clear_transaction()
        raise errors.CallerError(
            "NOT RUN: transaction_lost: the login is no longer in the document",
            errors.CallerErrorCode.NOT_RUN_TRANSACTION_LOST,
        )

    # Statements that the session answers itself

    async def _execute_session_statement(self, sql: str) -> typing.Any:
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

    def _show(self, keyword: str) -> typing.Any:
        if keyword in ("WARNINGS", "ERRORS"):
            return [], ["Level", "Code", "Message"]
        if keyword == "DATABASES":
            names = sorted(self.entry.router.document.databases)
            return [(name,) for name in names], ["Database"]
        raise errors.rejection(f"SHOW {keyword} is not supported; query the tables instead")

    async def _set(self, text: str) -> None:
        if _IGNORED_SETTINGS.match(text):
            return
        assignment = _ASSIGNMENT.match(text)
        name = assignment.group(1).lower() if assignment else text.split()[0].lower()
        value = assignment.group(2).strip().strip("'\"") if assignment else ""
        if name == "autocommit":
            await self._set_autocommit(value)
        elif name == TOKEN_VARIABLE:
            self._apply_token(value)
        else:
            raise errors.rejection(
                f"setting {name} is not supported: it would be lost between connections; "
                "put it into the statement"
            )

    async def _set_autocommit(self, value: str) -> None:
        if value.lower() not in ("0", "1", "on", "off", "true", "false"):
            raise errors.rejection(f"autocommit takes 0 or 1, not {value!r}")
        self.autocommit = value.lower() in ("1", "on", "true")
        if self.autocommit and self.transaction is not None:
            reply = await self._end_transaction(
                outcomes.StatementKind.COMMIT, None, self._time_limit_s()
            )
            self._require_ran(reply)

    def _apply_token(self, token: str) -> None:
        try:
            decoded = self.token_codec.decode(token)
        except decision_errors.InvalidTokenError as error:
            raise errors.rejection(str(error)) from error
        for database, position in decoded.by_database.items():
            self.min_positions = self.min_positions.raised_to(database, position)
            self.databases_with_min_position.add(database)

    def _token_min_positions(self) -> positions.MinPositions:
        """Return the minimum positions that a token may carry.

        A session that began without a token and only read with a stated age has a minimum position
        lower than its own earlier writes. A token with that position would keep the next session
        from querying the initial minimum position, so such databases are left out.
        """
        return positions.MinPositions(
            by_database={
                database: position
                for database, position in self.min_positions.by_database.items()
                if database in self.databases_with_min_position
            }
        )

    def _select_variable(self, sql: str) -> typing.Any:
        match = _VARIABLE_SELECT.match(sql)
        if match is None:
            return None
        name = match.group(1).lower()
        if name == TOKEN_VARIABLE:
            return [(self.token_codec.encode(self._token_min_positions()),)], [f"@@{name}"]
        known = {
            "version": SERVER_VERSION,
            "version_comment": "mustardswitch",
            "autocommit": int(self.autocommit),
            "max_allowed_packet": self.entry.config.max_packet_bytes,
            "transaction_isolation": "REPEATABLE-READ",
            "tx_isolation": "REPEATABLE-READ",
        }
        if name not in known:
            raise errors.rejection(f"variable @@{name} is not supported")
        return [(known[name],)], [f"@@{name}"]

    # Statements that go to a database

    async def _execute(
        self, sql: str, kind: outcomes.StatementKind, hints: statements.Hints
    ) -> typing.Any:
        limit_s = self._time_limit_s(hints)
        if kind is outcomes.StatementKind.BEGIN:
            return await self._begin(limit_s)
        if kind in (outcomes.StatementKind.COMMIT, outcomes.StatementKind.ROLLBACK):
            return await self._finish(kind, hints.request_id, limit_s)
        if self.transaction is None and not self.autocommit and self._opens_transaction(sql, kind):
            await self._begin(limit_s)
        if self.transaction is not None:
            return await self._execute_in_transaction(sql, kind, hints, limit_s)
        return await self._execute_outside_transaction(sql, kind, hints, limit_s)

    def _opens_transaction(self, sql: str, kind: outcomes.StatementKind) -> bool:
        """Return whether a statement opens a transaction while autocommit is off.

        The first write opens it; reads before it may still go to any slot.
        """
        return kind is outcomes.StatementKind.WRITE and not _DDL.match(sql)

    def _time_limit_s(self, hints: statements.Hints = statements.NO_HINTS) -> float:
        """Return the seconds that a statement may take: its hint's, or its database's limit."""
        if hints.deadline_s is not None:
            return hints.deadline_s
        if self.database is None:
            return 5.0
        entry = self.entry.router.document.databases.get(ids.DatabaseName(self.database))
        return entry.policy.statement_deadline_s if entry else 5.0

    def _require_database(self) -> ids.DatabaseName:
        if not self.database:
            raise errors.rejection("no database selected; name one when connecting or send USE")
        return ids.DatabaseName(self.database)

    async def _execute_outside_transaction(
        self,
        sql: str,
        kind: outcomes.StatementKind,
        hints: statements.Hints,
        limit_s: float,
    ) -> typing.Any:
        database = self._require_database()
        deadline_s = time.monotonic() + limit_s
        reads = kind is outcomes.StatementKind.READ
        if hints.request_id is not None and (reads or _DDL.match(sql)):
            raise errors.rejection(
                "REQUEST_ID is allowed only on INSERT, UPDATE, DELETE, REPLACE and COMMIT"
            )
        if reads and hints.max_age_s is None:
            await self._ensure_min_position(database, deadline_s)
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
        self._record_reply(reply, database, reads=reads)
        return self._result(reply)

    async def _ensure_min_position(self, database: ids.DatabaseName, deadline_s: float) -> None:
        """Query the minimum position of a session that has no token for this database."""
        if database in self.databases_with_min_position:
            return
        min_position = await self.entry.router.initial_min_position(database, deadline_s=deadline_s)
        if min_position is None:
            detail = (
                f"no majority of the slots of {database} can be queried for the writes "
                "acknowledged before this session; send your session token or a MAX_AGE hint"
            )
            raise errors.error_from_reply(outcomes.not_run(outcomes.Reason.BEHIND, detail))
        self.min_positions = self.min_positions.raised_to(database, min_position)
        self.databases_with_min_position.add(database)

    def _record_reply(
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
            raise errors.error_from_reply(reply)

    def _result(self, reply: outcomes.StatementReply) -> typing.Any:
        self._require_ran(reply)
        result = reply.result or outcomes.Result()
        if result.columns:
            return mimic_results.ResultSet(rows=result.rows, columns=columns.build(result.columns))
        self.completion.affected_rows = result.affected_rows
        self.completion.last_insert_id = result.last_insert_id
        return None

    # Transactions

    async def _begin(self, limit_s: float) -> typing.Any:
        if self.transaction is not None:
            await self._finish(outcomes.StatementKind.COMMIT, None, limit_s)
        database = self._require_database()
        transaction_id = ids.TransactionId(uuid.uuid4().hex)
        statement = router.RoutedStatement(
            database=database,
            sql="BEGIN",
            kind=outcomes.StatementKind.BEGIN,
            deadline_s=time.monotonic() + limit_s,
            transaction=transaction_id,
            caller=self.username or "",
        )
        opened = await self.entry.router.begin(statement)
        self._require_ran(opened.reply)
        self.transaction = SessionTransaction(
            transaction_id=transaction_id, database=database, gateway=opened.gateway
        )
        self._set_transaction_flag(True)
        return None

    def _set_transaction_flag(self, is_open: bool) -> None:
        """Set the status flags that report to the client library whether a transaction is open."""
        flags = mimic_types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if is_open:
            flags |= mimic_types.ServerStatus.SERVER_STATUS_IN_TRANS
        self.connection.status_flags = flags

    async def _execute_in_transaction(
        self,
        sql: str,
        kind: outcomes.StatementKind,
        hints: statements.Hints,
        limit_s: float,
    ) -> typing.Any:
        if _DDL.match(sql):
            raise errors.rejection(
                "a definition (DDL) would end the open transaction; send COMMIT or ROLLBACK first"
            )
        if hints.request_id is not None:
            raise errors.rejection("in a transaction, put REQUEST_ID on its COMMIT")
        reply = await self._send(sql, kind, None, limit_s)
        if reply.reason is outcomes.Reason.TRANSACTION_LOST:
            self._clear_transaction()
        elif reply.outcome is outcomes.Outcome.RAN:
            self._record_reply(reply, self.transaction.database, reads=False)
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
            transaction=self.transaction.transaction_id,
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
        self._clear_transaction()
        self._record_reply(reply, database, reads=False)
        return reply

    def _clear_transaction(self) -> None:
        self.transaction = None
        self._set_transaction_flag(False)
