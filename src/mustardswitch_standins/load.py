"""A load of browsing and ordering sessions that records a history for the checker."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import itertools
import random
import time

import asyncmy
import asyncmy.errors

from mustardswitch.callers import errors as caller_errors
from mustardswitch_standins import history

HOST = "127.0.0.1"
CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 15.0
TABLE = "effects"
RECONNECT_S = 0.05
"""Wait before a session reconnects after an error."""
_NOT_RUN_CODES = frozenset(
    code for code in caller_errors.CallerErrorCode if code.name.startswith("NOT_RUN")
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mix:
    """Weights of the operations, and the probabilities of a move to another instance."""

    write: float = 1.0
    recorded_write: float = 0.5
    transaction: float = 0.5
    own_read: float = 3.0
    aged_read: float = 1.0
    roam_probability: float = 0.1
    """Probability per step that the session moves to another instance."""
    token_probability: float = 0.5
    """Probability that a session which moves takes its token along."""
    max_age_s: float = 30.0
    """Staleness bound of the aged reads."""
    pause_s: float = 0.005
    """Mean pause between steps."""


CASCADE_MIX = Mix(
    write=0.5,
    recorded_write=0.3,
    transaction=0.2,
    own_read=6.0,
    aged_read=13.0,
    roam_probability=0.05,
)
"""The operations of the Cascade deployment: mostly reads, most of them with a staleness bound."""


class Caller:
    """A MySQL caller that reconnects on demand."""

    def __init__(self, *, port: int, database: str, user: str = "baker") -> None:
        self.port = port
        self.database = database
        self.user = user
        self.connection: asyncmy.Connection | None = None
        self.raw_sent = False

    async def connect(self) -> None:
        """Connect to an entry instance.

        Raises one of ``CALL_ERRORS`` on failure or after ``CONNECT_TIMEOUT_S``.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self.connection = await asyncmy.connect(
                host=HOST,
                port=self.port,
                user=self.user,
                database=self.database,
                autocommit=None,
            )

    async def run(self, sql: str) -> list[tuple]:
        """Run one statement and return its rows, connecting first if necessary.

        Raises one of ``CALL_ERRORS`` on failure or after ``CALL_TIMEOUT_S``.
        """
        if self.connection is None:
            await self.connect()
        cursor = self.connection.cursor()
        async with asyncio.timeout(CALL_TIMEOUT_S):
            await cursor.execute(sql)
            return list(await cursor.fetchall())

    def drop(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            with contextlib.suppress(Exception):
                self.connection.close()
        self.connection = None


def outcome_of(error: BaseException) -> history.Outcome:
    """Return the outcome of a failed statement: ``NOT_RUN`` if its code rules out an effect."""
    code = error.args[0] if error.args else 0
    if isinstance(error, asyncmy.errors.MySQLError) and code in _NOT_RUN_CODES:
        return history.Outcome.NOT_RUN
    return history.Outcome.UNKNOWN


CALL_ERRORS = (asyncmy.errors.MySQLError, OSError, TimeoutError)


class Session:
    """A logical session: writes operations, reads them back and moves between instances."""

    def __init__(
        self,
        *,
        name: str,
        ports: collections.abc.Sequence[int],
        database: str,
        mix: Mix,
        rng: random.Random,
        log: history.History,
    ) -> None:
        self.name = name
        self.ports = list(ports)
        self.database = database
        self.mix = mix
        self.rng = rng
        self.log = log
        self.numbers = itertools.count()
        self.errors: list[str] = []
        self.caller = Caller(port=rng.choice(self.ports), database=database)

    async def run(self, *, ends_s: float) -> None:
        """Take random steps until ``ends_s`` on the monotonic clock."""
        steps = {
            self._write: self.mix.write,
            self._recorded_write: self.mix.recorded_write,
            self._transaction: self.mix.transaction,
            self._own_read: self.mix.own_read,
            self._aged_read: self.mix.aged_read,
        }
        choices, weights = list(steps), list(steps.values())
        while time.monotonic() < ends_s:
            try:
                if self.rng.random() < self.mix.roam_probability:
                    await self._roam()
                await self.rng.choices(choices, weights)[0]()
            except CALL_ERRORS as error:
                self.errors.append(repr(error))
                await self._recover()
            await asyncio.sleep(self.rng.uniform(0, 2 * self.mix.pause_s))
        self.caller.drop()

    async def _recover(self) -> None:
        await asyncio.sleep(RECONNECT_S)
        self.caller.drop()
        self.caller.port = self.rng.choice(self.ports)

    async def _roam(self) -> None:
        """Move to another instance, with or without the session's token."""
        token = None
        if self.rng.random() < self.mix.token_probability:
            ((token,),) = await self.caller.run("SELECT @@mustardswitch_session_token")
        self.caller.drop()
        self.caller.port = self.rng.choice(self.ports)
        await self.caller.connect()
        if token is not None:
            await self.caller.run(f"SET mustardswitch_session_token = '{token}'")

    def _operation(self) -> str:
        return f"{self.name}-{next(self.numbers)}"

    def _insert(self, operation: str, hint: str = "") -> str:
        return f"INSERT {hint} INTO {TABLE} (session, op) VALUES ('{self.name}', '{operation}')"

    async def _write(self) -> None:
        operation = self._operation()
        await self._run_and_record(operation, [self._insert(operation)])

    async def _recorded_write(self) -> None:
        """Write with a request id and retry, up to 3 attempts in all, until one is acknowledged."""
        operation = self._operation()
        sql = self._insert(operation, f"/*+ REQUEST_ID('{operation}') */")
        sent_at_s = time.monotonic()
        outcome = history.Outcome.NOT_RUN
        for _ in range(3):
            try:
                await self.caller.run(sql)
                outcome = history.Outcome.RAN
                break
            except CALL_ERRORS as error:
                if outcome_of(error) is history.Outcome.UNKNOWN:
                    outcome = history.Outcome.UNKNOWN
                self.errors.append(repr(error))
                await self._recover()
        self._record_write(operation, sent_at_s, outcome)

    async def _transaction(self) -> None:
        operation = self._operation()
        insert = self._insert(operation)
        await self._run_and_record(operation, ["BEGIN", insert, insert, "COMMIT"], parts=2)

    async def _run_and_record(self, operation: str, statements: list[str], parts: int = 1) -> None:
        """Run the statements of one write and record its outcome.

        After an error before the last statement the outcome is ``NOT_RUN``: nothing was committed.
        """
        sent_at_s = time.monotonic()
        last = False
        try:
            if self.caller.connection is None:
                await self.caller.connect()
            for number, sql in enumerate(statements):
                last = number == len(statements) - 1
                await self.caller.run(sql)
        except CALL_ERRORS as error:
            outcome = outcome_of(error) if last else history.Outcome.NOT_RUN
            self._record_write(operation, sent_at_s, outcome, parts)
            raise
        self._record_write(operation, sent_at_s, history.Outcome.RAN, parts)

    def _record_write(
        self, operation: str, sent_at_s: float, outcome: history.Outcome, parts: int = 1
    ) -> None:
        self.log.writes.append(
            history.Write(
                session=self.name,
                operation=operation,
                sent_at_s=sent_at_s,
                answered_at_s=time.monotonic(),
                outcome=outcome,
                parts=parts,
            )
        )

    async def _own_read(self) -> None:
        await self._read("", None)

    async def _aged_read(self) -> None:
        await self._read(f"/*+ MAX_AGE({self.mix.max_age_s}) */ ", self.mix.max_age_s)

    async def _read(self, hint: str, max_age_s: float | None) -> None:
        if self.caller.connection is None:
            await self.caller.connect()
        sent_at_s = time.monotonic()
        rows = await self.caller.run(f"SELECT {hint}op FROM {TABLE} WHERE session = '{self.name}'")
        read = history.Read(
            session=self.name,
            sent_at_s=sent_at_s,
            answered_at_s=time.monotonic(),
            seen=frozenset(row[0] for row in rows),
            max_age_s=max_age_s,
        )
        if max_age_s is None:
            self.log.reads.append(read)


async def create_table(port: int, database: str) -> None:
    """Create the table that sessions write to, and its index."""
    caller = Caller(port=port, database=database)
    await caller.run(f"CREATE TABLE IF NOT EXISTS {TABLE} (session VARCHAR(40), op VARCHAR(60))")
    with contextlib.suppress(*CALL_ERRORS):
        await caller.run(f"CREATE INDEX {TABLE}_session ON {TABLE} (session)")
    caller.drop()


async def final_rows(port: int, database: str) -> list[str]:
    """Return the operation of each row, read through an instance in a session of its own."""
    caller = Caller(port=port, database=database)
    rows = await caller.run(f"SELECT op FROM {TABLE}")
    caller.drop()
    return [row[0] for row in rows]


async def run_sessions(
    *,
    ports: collections.abc.Sequence[int],
    database: str,
    count: int,
    seconds: float,
    mix: Mix,
    seed: int,
    log: history.History,
) -> list[str]:
    """Run sessions concurrently and return the errors of all of them."""
    ends_s = time.monotonic() + seconds
    sessions = [
        Session(
            name=f"{database}-{seed}-{number}",
            ports=ports,
            database=database,
            mix=mix,
            rng=random.Random(f"{seed}-{number}"),
            log=log,
        )
        for number in range(count)
    ]
    await asyncio.gather(*(session.run(ends_s=ends_s) for session in sessions))
    return [error for session in sessions for error in session.errors]
