"""Emulates one slot of a database group: MySQL protocol, SQLite storage, asynchronous replication.

Like the platform's database groups, it offers the group interface as ``CALL group_…`` over the
MySQL protocol: status, wait, fence, promote, follow, term end and log fetch. A slot rejects a term
lower than the one that it promised, for each of them and for statements that carry a term.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import re
import sqlite3
import time

import asyncmy
import asyncmy.errors
import mysql_mimic
from mysql_mimic import errors as mimic_errors
from mysql_mimic import types as mimic_types
from mysql_mimic import variables as mimic_variables

from mustardswitch.callers import completions
from mustardswitch.internal import groups, ids, positions
from mustardswitch_standins import group_log

NOT_PRIMARY_CODE = 1290
DUPLICATE_KEY_CODE = 1062
REPLICATION_USER = "replication"
REPLICATION_CONNECTIONS = 6
"""Connections on top of a slot's limit, for the log pulls of other slots."""
FETCH_BATCH = 500
"""Maximum number of entries in one answer to a log fetch."""
FETCH_WAIT_MS = 50
"""Time that a log fetch waits at the primary for a new entry."""
FETCH_RETRY_S = 0.05
FETCH_TIMEOUT_S = 0.5
IDLE_TRANSACTION_S = 5.0
"""Time from its start after which the slot rolls an open transaction back."""
EMPTY_COMPLETION = completions.Completion()

_CALL = re.compile(r"^\s*CALL\s+group_(\w+)\s*\((.*)\)\s*$", re.IGNORECASE | re.DOTALL)
_KEYWORD = re.compile(r"^\s*(?:/\*.*?\*/\s*)*\(?\s*(\w+)", re.DOTALL)
_READ_KEYWORDS = {"SELECT", "WITH", "VALUES"}


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotOptions:
    """Address, storage and emulated delays of a slot; times in milliseconds."""

    slot: ids.SlotId
    host: str
    port: int
    directory: pathlib.Path
    max_connections: int = 25
    connect_ms: float = 0.0
    receive_lag_ms: float = 0.0
    apply_lag_ms: float = 0.0
    translations: tuple["Translation", ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Translation:
    """Maps another slot's port to the link's port through which to reach it."""

    port: int
    via: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrimaryAddress:
    """The primary from which a follower pulls the log."""

    slot: ids.SlotId
    host: str
    port: int


class Slot:
    """The state of one slot and, on a replica, the tasks that pull and apply the log."""

    def __init__(self, *, options: SlotOptions) -> None:
        self.options = options
        self.log = group_log.GroupLog(directory=options.directory)
        self.state = group_log.GroupState(directory=options.directory)
        self.role = groups.SlotRole.FENCED
        self.following: PrimaryAddress | None = None
        self.last_contact_at_s = time.monotonic()
        self.receive_lag_ms = options.receive_lag_ms
        self.apply_lag_ms = options.apply_lag_ms
        self.statement_ms = 0.0
        """Emulated time that each statement takes."""
        self.write_lock = asyncio.Lock()
        self.changed = asyncio.Event()
        self.connections = 0
        self.peak_connections = 0
        self.reads = 0
        self.answers_to_drop = 0
        """Number of further commits after which the connection breaks without an answer."""
        self.appended_at: collections.deque[float] = collections.deque()
        """When the entries that are not applied yet were appended, oldest first."""
        self.tasks: list[asyncio.Task[None]] = []
        self._replay()

    def _replay(self) -> None:
        self.state.reset()
        for entry in self.log.entries:
            self.state.apply(entry)

    def notify(self) -> None:
        """Wake all tasks that wait for a change of the log, role or promise."""
        self.changed.set()
        self.changed = asyncio.Event()

    def require_primary(self, term: ids.Term | None) -> None:
        """Raise the read-only error unless this slot is the primary, at ``term`` if given."""
        is_primary = self.role is groups.SlotRole.PRIMARY
        if not is_primary or (term is not None and term != self.log.promised):
            raise mimic_errors.MysqlError(
                f"slot {self.options.slot} is {self.role.value} at term {self.log.promised}",
                NOT_PRIMARY_CODE,
            )

    def fence(self, term: ids.Term, proposer: str) -> bool:
        """Promise ``term`` to ``proposer`` and stop replication.

        Returns false if the slot has promised a higher term, or this term to another proposer.
        """
        if (term, proposer) == (self.log.promised, self.log.proposer):
            return True
        if term <= self.log.promised:
            return False
        self.log.promise(term, proposer)
        self.role = groups.SlotRole.FENCED
        self.stop_following()
        self.notify()
        return True

    def promote(self, term: ids.Term, proposer: str) -> bool:
        """Become the primary at a promised term.

        Applies all received entries and starts the term with an empty entry. Returns false unless
        the slot has promised this term to this proposer.
        """
        if (term, proposer) != (self.log.promised, self.log.proposer):
            return False
        if self.role is groups.SlotRole.PRIMARY:
            return True
        for entry in self.log.entries[self.state.applied.offset :]:
            self.state.apply(entry)
        self.role = groups.SlotRole.PRIMARY
        self.commit(())
        return True

    def follow(self, primary: PrimaryAddress, term: ids.Term) -> bool:
        """Become a replica of ``primary`` at ``term`` and start to pull its log.

        Returns false for a term lower than the promised one, or if this slot is the primary at it.
        """
        if term < self.log.promised:
            return False
        if self.role is groups.SlotRole.PRIMARY and term == self.log.promised:
            return False
        if self.following == primary and term == self.log.promised:
            return True
        if term > self.log.promised:
            self.log.promise(term, "")
        self.stop_following()
        self.role = groups.SlotRole.REPLICA
        self.following = primary
        self.last_contact_at_s = time.monotonic()
        self.appended_at.clear()
        replication = Replication(slot=self, primary=primary, term=term)
        self.tasks = [
            asyncio.create_task(replication.pull()),
            asyncio.create_task(replication.append_received()),
            asyncio.create_task(replication.apply_appended()),
        ]
        self.notify()
        return True

    def stop_following(self) -> None:
        """Cancel the tasks that pull and apply the log."""
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        self.following = None

    def commit(self, statements: tuple[str, ...]) -> positions.Position:
        """Append an entry at the promised term, mark it as applied and return its position."""
        position = positions.Position(
            term=self.log.promised, offset=ids.Offset(self.log.end.offset + 1)
        )
        self.log.append([group_log.LogEntry(position=position, statements=statements)])
        self.state.applied = position
        self.notify()
        return position

    def status(self) -> groups.SlotStatus:
        """Return the slot's state for the group interface."""
        is_primary = self.role is groups.SlotRole.PRIMARY
        silence_s = 0.0 if is_primary else time.monotonic() - self.last_contact_at_s
        return groups.SlotStatus(
            slot=self.options.slot,
            role=self.role,
            promised=self.log.promised,
            log_end=self.log.end,
            applied=self.state.applied,
            following=self.following.slot if self.following else None,
            primary_silence_ms=silence_s * 1000.0,
        )

    def truncate_from(self, offset: ids.Offset) -> None:
        """Remove entries that the new primary does not have, and rebuild the tables."""
        self.log.truncate_from(offset)
        self._replay()


class Replication:
    """Pulls a primary's log into a slot.

    Received entries are appended after the receive lag, and applied after the apply lag.
    """

    def __init__(self, *, slot: Slot, primary: PrimaryAddress, term: ids.Term) -> None:
        self.slot = slot
        self.primary = primary
        self.term = term
        via_ports = {item.port: item.via for item in slot.options.translations}
        self.port = via_ports.get(primary.port, primary.port)
        self.received: asyncio.Queue[tuple[float, list[group_log.LogEntry]]] = asyncio.Queue()
        """Batches that are not appended yet, each with the time when it was received."""
        self.fetched = slot.log.end
        """Position after which the next fetch starts."""

    async def pull(self) -> None:
        """Fetch batches until cancelled; reconnect after each failure."""
        while True:
            try:
                connection = await asyncio.wait_for(
                    asyncmy.connect(
                        host=self.primary.host,
                        port=self.port,
                        user=REPLICATION_USER,
                        autocommit=None,
                    ),
                    FETCH_TIMEOUT_S,
                )
            except (OSError, TimeoutError, asyncmy.errors.MySQLError):
                await asyncio.sleep(FETCH_RETRY_S)
                continue
            try:
                await self._fetch_batches(connection)
            except (OSError, TimeoutError, asyncmy.errors.MySQLError):
                await asyncio.sleep(FETCH_RETRY_S)
            finally:
                connection.close()

    async def _fetch_batches(self, connection: asyncmy.Connection) -> None:
        cursor = connection.cursor()
        while True:
            sql = (
                f"CALL group_log_fetch({self.fetched.term}, {self.fetched.offset}, "
                f"{self.term}, {FETCH_WAIT_MS})"
            )
            await asyncio.wait_for(cursor.execute(sql), FETCH_TIMEOUT_S)
            row = await cursor.fetchone()
            self.slot.last_contact_at_s = time.monotonic()
            answer = json.loads(row[0])
            if answer["matched"]:
                self._receive(answer["entries"])
            else:
                self._step_back()

    def _receive(self, encoded: list[list]) -> None:
        entries = [
            group_log.LogEntry(
                position=positions.Position(term=term, offset=offset),
                statements=tuple(statements),
            )
            for term, offset, statements in encoded
        ]
        if entries:
            self.fetched = entries[-1].position
            self.received.put_nowait((time.monotonic(), entries))

    def _step_back(self) -> None:
        """Start the next fetch at least one entry earlier, to find where the two logs agree."""
        offset = max(0, self.fetched.offset - 1)
        while offset and self.slot.log.term_at(ids.Offset(offset)) is None:
            offset -= 1
        term = self.slot.log.term_at(ids.Offset(offset)) or ids.Term(0)
        self.fetched = positions.Position(term=term, offset=ids.Offset(offset))

    async def append_received(self) -> None:
        """Append each batch once the receive lag has passed."""
        while True:
            received_at_s, entries = await self.received.get()
            await _sleep_until(received_at_s + self.slot.receive_lag_ms / 1000.0)
            for entry in entries:
                self._append_one(entry)
            self.slot.notify()

    def _append_one(self, entry: group_log.LogEntry) -> None:
        log = self.slot.log
        existing_term = log.term_at(entry.position.offset)
        if existing_term == entry.position.term:
            return
        if existing_term is not None:
            self.slot.truncate_from(entry.position.offset)
        log.append([entry])
        self.slot.appended_at.append(time.monotonic())

    async def apply_appended(self) -> None:
        """Apply each appended entry once the apply lag has passed."""
        slot = self.slot
        while True:
            pending = slot.log.entries[slot.state.applied.offset :]
            if not pending:
                await slot.changed.wait()
                continue
            appended_at_s = slot.appended_at[0] if slot.appended_at else 0.0
            await _sleep_until(appended_at_s + slot.apply_lag_ms / 1000.0)
            if slot.appended_at:
                slot.appended_at.popleft()
            if slot.state.applied.offset < len(slot.log.entries):
                slot.state.apply(slot.log.entries[slot.state.applied.offset])
                slot.notify()


async def _sleep_until(until_s: float) -> None:
    remaining_s = until_s - time.monotonic()
    if remaining_s > 0:
        await asyncio.sleep(remaining_s)


class SlotSession(mysql_mimic.session.BaseSession):
    """One MySQL connection to the slot."""

    def __init__(self, *, slot: Slot) -> None:
        self.slot = slot
        self.variables = mimic_variables.SessionVariables(mimic_variables.GlobalVariables())
        self.username = None
        self.database = None
        self.term: ids.Term | None = None
        self.show_positions = False
        self.in_transaction = False
        self.statements: list[str] = []
        self.written = EMPTY_COMPLETION
        self.counted = False
        self.transaction_timer: asyncio.TimerHandle | None = None
        self.transaction_expired = False

    async def init(self, connection: mysql_mimic.connection.Connection) -> None:
        """Count the connection and wait for the emulated time that a new connection takes."""
        self.connection = connection
        self.completion = completions.install(connection)
        if self.username != REPLICATION_USER:
            self.slot.connections += 1
            self.slot.peak_connections = max(self.slot.peak_connections, self.slot.connections)
            self.counted = True
            await asyncio.sleep(self.slot.options.connect_ms / 1000.0)

    async def close(self) -> None:
        """Roll back an open transaction and stop counting the connection."""
        self._end_transaction(commit=False)
        if self.counted:
            self.slot.connections -= 1
            self.counted = False

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> object:
        """Run a statement or call of the group interface.

        Raises ``MysqlError`` with the code that a database server would return.
        """
        call = _CALL.match(sql)
        if call:
            return await self._call(call.group(1).lower(), call.group(2))
        if self.slot.statement_ms:
            await asyncio.sleep(self.slot.statement_ms / 1000.0)
        match = _KEYWORD.match(sql)
        keyword = match.group(1).upper() if match else ""
        if keyword in ("BEGIN", "START"):
            return await self._begin()
        if keyword in ("COMMIT", "ROLLBACK"):
            return self._finish(commit=keyword == "COMMIT")
        if keyword == "SET":
            return None
        locking = " FOR UPDATE" in sql.upper() or " FOR SHARE" in sql.upper()
        if keyword in _READ_KEYWORDS and not locking:
            return self._read(sql)
        return await self._write(sql, keyword)

    async def _begin(self) -> object:
        self.slot.require_primary(self.term)
        self._end_transaction(commit=False)
        await self.slot.write_lock.acquire()
        self.in_transaction = True
        self.transaction_expired = False
        try:
            self.slot.require_primary(self.term)
            self.slot.state.writer.execute("BEGIN IMMEDIATE")
        except BaseException:
            self.in_transaction = False
            self.slot.write_lock.release()
            raise
        loop = asyncio.get_running_loop()
        self.transaction_timer = loop.call_later(IDLE_TRANSACTION_S, self._expire)
        return self._completion_result(EMPTY_COMPLETION, self.slot.state.applied)

    def _expire(self) -> None:
        self._end_transaction(commit=False)
        self.transaction_expired = True

    def _finish(self, *, commit: bool) -> object:
        if self.transaction_expired:
            self.transaction_expired = False
            raise mimic_errors.MysqlError("transaction was idle too long, rolled back", 1205)
        if not self.in_transaction:
            return self._completion_result(EMPTY_COMPLETION, self.slot.state.applied)
        if commit:
            try:
                self.slot.require_primary(self.term)
            except mimic_errors.MysqlError:
                self._end_transaction(commit=False)
                raise
        position = self._end_transaction(commit=commit)
        if commit:
            self._drop_answer()
        return self._completion_result(EMPTY_COMPLETION, position)

    def _drop_answer(self) -> None:
        """Abort the connection after a commit, as often as ``group_lose_commits`` requested it."""
        if self.slot.answers_to_drop > 0:
            self.slot.answers_to_drop -= 1
            self.connection.stream.writer.transport.abort()

    def _end_transaction(self, *, commit: bool) -> positions.Position:
        position = self.slot.state.applied
        if not self.in_transaction:
            return position
        if self.transaction_timer:
            self.transaction_timer.cancel()
        if commit and self.statements:
            position = self.slot.commit(tuple(self.statements))
        with contextlib.suppress(sqlite3.Error):
            self.slot.state.writer.execute("COMMIT" if commit else "ROLLBACK")
        self.statements = []
        self.in_transaction = False
        self.slot.write_lock.release()
        return position

    def _read(self, sql: str) -> object:
        if self.term is not None:
            self.slot.require_primary(self.term)
        self.slot.reads += 1
        connection = self.slot.state.writer if self.in_transaction else self.slot.state.reader
        cursor = _execute(connection, sql)
        rows = cursor.fetchall()
        columns = _columns([item[0] for item in cursor.description or ()], rows)
        if self.show_positions:
            columns.append(_text_column(f"position:{self.slot.state.applied}"))
            rows = [(*row, None) for row in rows]
        return mysql_mimic.results.ResultSet(rows=rows, columns=columns)

    async def _write(self, sql: str, keyword: str) -> object:
        if self.transaction_expired:
            raise mimic_errors.MysqlError("transaction was idle too long, rolled back", 1205)
        if self.in_transaction:
            self.slot.require_primary(self.term)
            return self._run_write(sql, keyword)
        await self._begin()
        try:
            answer = self._run_write(sql, keyword)
            self.slot.require_primary(self.term)
        except BaseException:
            self._end_transaction(commit=False)
            raise
        position = self._end_transaction(commit=True)
        self._drop_answer()
        if keyword in _READ_KEYWORDS:
            return answer
        return self._completion_result(self.written, position)

    def _run_write(self, sql: str, keyword: str) -> object:
        if keyword in _READ_KEYWORDS:
            return self._read(sql)
        cursor = _execute(self.slot.state.writer, sql)
        self.statements.append(sql)
        inserted = cursor.lastrowid if keyword in ("INSERT", "REPLACE") else 0
        self.written = completions.Completion(
            affected_rows=max(0, cursor.rowcount), last_insert_id=inserted or 0
        )
        return self._completion_result(self.written, self.slot.state.applied)

    def _completion_result(
        self, written: completions.Completion, position: positions.Position
    ) -> object:
        if not self.show_positions:
            self.completion.affected_rows = written.affected_rows
            self.completion.last_insert_id = written.last_insert_id
            return None
        names = ["completion:affected_rows", "completion:last_insert_id", f"position:{position}"]
        row = (written.affected_rows, written.last_insert_id, None)
        return mysql_mimic.results.ResultSet(rows=[row], columns=_columns(names, [row]))

    async def _call(self, name: str, encoded: str) -> object:
        arguments = json.loads("[" + encoded.replace("'", '"') + "]")
        handler = getattr(self, f"_call_{name}", None)
        if handler is None:
            raise mimic_errors.MysqlError(f"procedure group_{name} does not exist", 1305)
        answer = handler(*arguments)
        if asyncio.iscoroutine(answer):
            answer = await answer
        text = json.dumps(answer)
        return mysql_mimic.results.ResultSet(rows=[(text,)], columns=[_text_column("answer")])

    def _call_status(self) -> dict:
        return encode_status(self.slot.status())

    async def _call_wait(
        self,
        held_term: int,
        held_offset: int,
        applied_term: int,
        applied_offset: int,
        timeout_ms: float,
    ) -> dict:
        """Wait until the log holds the ``held`` position or the tables the ``applied`` one.

        A position 0:0 is not waited for. Also returns after a change of the promised term or after
        the timeout.
        """
        deadline_s = time.monotonic() + timeout_ms / 1000.0
        slot = self.slot
        started = slot.log.promised
        applied = positions.Position(term=ids.Term(applied_term), offset=ids.Offset(applied_offset))
        while True:
            end = slot.log.end
            has_received = held_term > 0 and end.term == held_term and end.offset >= held_offset
            has_applied = applied_term > 0 and slot.state.applied >= applied
            remaining_s = deadline_s - time.monotonic()
            if has_received or has_applied or slot.log.promised != started or remaining_s <= 0:
                return self._call_status()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(slot.changed.wait(), remaining_s)

    def _call_fence(self, term: int, proposer: str) -> dict:
        accepted = self.slot.fence(ids.Term(term), proposer)
        return {"accepted": accepted, **self._call_status()}

    async def _call_promote(self, term: int, proposer: str) -> dict:
        async with self.slot.write_lock:
            accepted = self.slot.promote(ids.Term(term), proposer)
        return {"accepted": accepted, **self._call_status()}

    def _call_follow(self, slot: str, host: str, port: int, term: int) -> dict:
        primary = PrimaryAddress(slot=ids.SlotId(slot), host=host, port=port)
        return {"accepted": self.slot.follow(primary, ids.Term(term)), **self._call_status()}

    def _call_use_term(self, term: int) -> dict:
        if term == 0:
            self.term = None
            return {}
        self.slot.require_primary(ids.Term(term))
        self.term = ids.Term(term)
        return {}

    def _call_positions(self) -> dict:
        self.show_positions = True
        return {}

    def _call_term_end(self, term: int) -> dict:
        return {"offset": self.slot.log.last_offset_of_term(ids.Term(term))}

    def _call_set_lag(self, receive_ms: float, apply_ms: float) -> dict:
        self.slot.receive_lag_ms = receive_ms
        self.slot.apply_lag_ms = apply_ms
        return {}

    def _call_set_statement_time(self, statement_ms: float) -> dict:
        self.slot.statement_ms = statement_ms
        return {}

    def _call_lose_commits(self, count: int) -> dict:
        self.slot.answers_to_drop = count
        return {}

    def _call_reads(self) -> dict:
        return {"count": self.slot.reads}

    def _call_connections(self) -> dict:
        return {"now": self.slot.connections, "peak": self.slot.peak_connections}

    async def _call_log_fetch(
        self, last_term: int, last_offset: int, term: int, wait_ms: float
    ) -> dict:
        slot = self.slot
        slot.require_primary(ids.Term(term))
        if slot.log.term_at(ids.Offset(last_offset)) != last_term:
            return {"matched": False, "entries": []}
        if slot.log.end.offset <= last_offset:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(slot.changed.wait(), wait_ms / 1000.0)
        slot.require_primary(ids.Term(term))
        entries = slot.log.entries[last_offset : last_offset + FETCH_BATCH]
        return {
            "matched": True,
            "entries": [
                [entry.position.term, entry.position.offset, entry.statements] for entry in entries
            ],
        }


def encode_status(status: groups.SlotStatus) -> dict:
    """Return a status as the JSON object of the group interface."""
    return {
        "slot": status.slot,
        "role": status.role.value,
        "promised": status.promised,
        "log_end": str(status.log_end),
        "applied": str(status.applied),
        "following": status.following,
        "primary_silence_ms": round(status.primary_silence_ms, 1),
    }


def _execute(connection: sqlite3.Connection, sql: str) -> sqlite3.Cursor:
    try:
        return connection.execute(group_log.to_sqlite(sql))
    except sqlite3.IntegrityError as error:
        raise mimic_errors.MysqlError(str(error), DUPLICATE_KEY_CODE) from error
    except sqlite3.Error as error:
        raise mimic_errors.MysqlError(str(error), mimic_errors.ErrorCode.PARSE_ERROR) from error


def _text_column(name: str) -> mysql_mimic.results.ResultColumn:
    return mysql_mimic.results.ResultColumn(name=name, type=mimic_types.ColumnType.VARCHAR)


def _columns(names: list[str], rows: list[tuple]) -> list[mysql_mimic.results.ResultColumn]:
    columns = []
    for index, name in enumerate(names):
        sample = next((row[index] for row in rows if row[index] is not None), "")
        columns.append(mysql_mimic.results.ResultColumn(name=name, type=_column_type(sample)))
    return columns


def _column_type(sample: object) -> mimic_types.ColumnType:
    if isinstance(sample, int):
        return mimic_types.ColumnType.LONGLONG
    if isinstance(sample, float):
        return mimic_types.ColumnType.DOUBLE
    if isinstance(sample, bytes):
        return mimic_types.ColumnType.BLOB
    return mimic_types.ColumnType.VARCHAR


class LimitedControl(mysql_mimic.control.LocalControl):
    """Refuses connections beyond a limit, like a database server."""

    def __init__(self, *, limit: int) -> None:
        super().__init__()
        self.limit = limit
        self.open = 0

    async def add(self, connection: mysql_mimic.connection.Connection) -> int:
        """Count a new connection; raises ``TooManyConnections`` at the limit."""
        if self.open >= self.limit:
            raise mysql_mimic.control.TooManyConnections
        self.open += 1
        return await super().add(connection)

    async def remove(self, connection_id: int) -> None:
        """Remove a closed connection from the count."""
        self.open -= 1
        await super().remove(connection_id)


async def serve(options: SlotOptions) -> mysql_mimic.MysqlServer:
    """Serve one slot; returns the running server."""
    slot = Slot(options=options)
    limit = options.max_connections + REPLICATION_CONNECTIONS
    server = mysql_mimic.MysqlServer(
        session_factory=lambda: SlotSession(slot=slot),
        control=LimitedControl(limit=limit),
    )
    await server.start_server(host=options.host, port=options.port)
    return server
