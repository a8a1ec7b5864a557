"""The durable log of an emulated slot and the SQLite tables that are replayed from it."""

import collections.abc
import dataclasses
import json
import pathlib
import re
import sqlite3

from mustardswitch.internal import ids, positions

_FOR_UPDATE = re.compile(r"\s+(FOR\s+UPDATE|FOR\s+SHARE|LOCK\s+IN\s+SHARE\s+MODE)\b", re.IGNORECASE)
_ESCAPE = re.compile(r"\\(.)", re.DOTALL)
_ESCAPED_CHARACTERS = {"n": "\n", "r": "\r", "t": "\t", "0": "\0", "Z": "\x1a", "'": "''"}


def to_sqlite(sql: str) -> str:
    """Translate MySQL text for SQLite: drop locking clauses and resolve backslash escapes."""
    without_lock = _FOR_UPDATE.sub("", sql)
    if "\\" not in without_lock:
        return without_lock
    return _ESCAPE.sub(
        lambda match: _ESCAPED_CHARACTERS.get(match.group(1), match.group(1)), without_lock
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogEntry:
    """A committed transaction: its position and the statements that changed data."""

    position: positions.Position
    statements: tuple[str, ...]


class GroupLog:
    """The log and promised term of one slot in SQLite; both survive a killed process."""

    def __init__(self, *, directory: pathlib.Path) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        self.connection = sqlite3.connect(directory / "log.db", isolation_level=None)
        self.connection.execute("PRAGMA journal_mode=WAL")
        self.connection.execute("PRAGMA synchronous=OFF")
        self.connection.execute(
            "CREATE TABLE IF NOT EXISTS entries "
            "(offset INTEGER PRIMARY KEY, term INTEGER, payload TEXT)"
        )
        self.connection.execute(
            "CREATE TABLE IF NOT EXISTS promise (id INTEGER PRIMARY KEY, term INTEGER, proposer)"
        )
        self.entries = self._load_entries()
        self.promised, self.proposer = self._load_promise()

    def _load_entries(self) -> list[LogEntry]:
        rows = self.connection.execute("SELECT term, offset, payload FROM entries ORDER BY offset")
        return [
            LogEntry(
                position=positions.Position(term=ids.Term(term), offset=ids.Offset(offset)),
                statements=tuple(json.loads(payload)),
            )
            for term, offset, payload in rows
        ]

    def _load_promise(self) -> tuple[ids.Term, str]:
        row = self.connection.execute("SELECT term, proposer FROM promise").fetchone()
        return (ids.Term(row[0]), row[1]) if row else (ids.Term(0), "")

    @property
    def end(self) -> positions.Position:
        """The position of the last entry, or the origin for an empty log."""
        return self.entries[-1].position if self.entries else positions.ORIGIN

    def promise(self, term: ids.Term, proposer: str) -> None:
        """Record the promise to reject requests of any lower term from now on."""
        self.connection.execute("REPLACE INTO promise VALUES (1, ?, ?)", (term, proposer))
        self.promised = term
        self.proposer = proposer

    def append(self, entries: collections.abc.Sequence[LogEntry]) -> None:
        """Append entries whose offsets continue the log without a gap."""
        self.connection.executemany(
            "INSERT INTO entries (term, offset, payload) VALUES (?, ?, ?)",
            [
                (entry.position.term, entry.position.offset, json.dumps(entry.statements))
                for entry in entries
            ],
        )
        self.entries.extend(entries)

    def truncate_from(self, offset: ids.Offset) -> None:
        """Remove the entry at ``offset`` and all later ones."""
        self.connection.execute("DELETE FROM entries WHERE offset >= ?", (offset,))
        del self.entries[offset - 1 :]

    def term_at(self, offset: ids.Offset) -> ids.Term | None:
        """Return the term of the entry at ``offset``; 0 before the first, None past the end."""
        if offset == 0:
            return ids.Term(0)
        if offset > len(self.entries):
            return None
        return self.entries[offset - 1].position.term

    def last_offset_of_term(self, term: ids.Term) -> ids.Offset:
        """Return the offset of the last entry whose term is at most ``term``; 0 without one."""
        for entry in reversed(self.entries):
            if entry.position.term <= term:
                return entry.position.offset
        return ids.Offset(0)


class GroupState:
    """The SQLite tables of one slot; they are rebuilt whenever the log is truncated."""

    def __init__(self, *, directory: pathlib.Path) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        self.path = directory / "state.db"
        self.applied = positions.ORIGIN
        self.reset()

    def reset(self) -> None:
        """Delete all tables and set the applied position to the origin."""
        for suffix in ("", "-wal", "-shm"):
            pathlib.Path(f"{self.path}{suffix}").unlink(missing_ok=True)
        self.writer = self._connect()
        self.reader = self._connect()
        self.applied = positions.ORIGIN

    def _connect(self) -> sqlite3.Connection:
        connection = sqlite3.connect(self.path, isolation_level=None)
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=OFF")
        return connection

    def apply(self, entry: LogEntry) -> None:
        """Replay one entry in a transaction of its own."""
        self.writer.execute("BEGIN IMMEDIATE")
        for statement in entry.statements:
            self.writer.execute(to_sqlite(statement))
        self.writer.execute("COMMIT")
        self.applied = entry.position
