"""Typed statements of callers, and the answers to them."""

import dataclasses
import enum

from mustardswitch.internal import ids, positions


class RouteKind(enum.Enum):
    """Which commits the reads of a database must show."""

    PRIMARY = "primary"
    """Every acknowledged commit."""
    BOUNDED_STALENESS = "bounded_staleness"
    """Every commit acknowledged longer ago than the staleness limit of the route."""
    READ_YOUR_WRITES = "read_your_writes"
    """As ``BOUNDED_STALENESS``, and in addition every commit of the session."""


class Access(enum.Enum):
    """What a statement does to the data."""

    READ = "read"
    """It changes nothing."""
    WRITE = "write"
    """It changes the data."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Begin:
    """Opens a transaction."""

    read_only: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Commit:
    """Ends a transaction and keeps its writes."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rollback:
    """Ends a transaction and drops its writes."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plain:
    """A read or write that is not prepared and is sent unchanged."""

    access: Access
    arguments: str
    """What is read, or what is written and the data; passed on unchanged."""

    @property
    def shape(self) -> None:
        """The shape that must be prepared on the connection: none."""
        return None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SetValue:
    """Sets a value of the session."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Shape:
    """Access and text of a prepared statement.

    Statements of one shape share one prepared statement on a connection.
    """

    access: Access
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prepare:
    """Defines a prepared statement of the session: a name for a shape."""

    name: ids.StatementName
    shape: Shape


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Execute:
    """Runs a prepared statement."""

    name: ids.StatementName
    arguments: str
    """Passed on unchanged."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deallocate:
    """Removes a prepared statement's name from the session."""

    name: ids.StatementName


Statement = Begin | Commit | Rollback | Plain | SetValue | Prepare | Execute | Deallocate


class TransactionState(enum.Enum):
    """The state of a session or connection after an answer."""

    IDLE = "idle"
    """No transaction is open."""
    OPEN = "open"
    """A transaction is open."""
    FAILED = "failed"
    """The transaction failed; ending it rolls back."""


class Refusal(enum.Enum):
    """Why a statement has no result."""

    OVERLOADED = "overloaded"
    """It was not run because the servers are full or none is available; try again later."""
    LEAVING = "leaving"
    """The gateway is about to stop; the statement was not run and is sent to another one."""
    ABORTED = "aborted"
    """The transaction was rolled back; none of its writes are kept."""
    BEHIND = "behind"
    """The server's log does not hold the required position; the statement was not run."""
    READ_ONLY = "read_only"
    """The server does not lead, or the transaction is read-only; the statement was not run."""
    WRONG_SERVER = "wrong_server"
    """Another server or service answers at the address; the statement was not run."""
    TOO_MANY_CONNECTIONS = "too_many_connections"
    """The server accepts no more connections."""
    FAILED = "failed"
    """The database ran the statement and failed; it may or may not have had an effect."""
    UNKNOWN_STATEMENT = "unknown_statement"
    """No prepared statement has that name."""
    TIMED_OUT = "timed_out"
    """The time limit passed while the statement ran; it may or may not have had an effect."""
    UNKNOWN_DATABASE = "unknown_database"
    """No database has that name."""
    MALFORMED = "malformed"
    """The statement cannot be parsed, or is not allowed in the state of the session."""
    TOO_LARGE = "too_large"
    """The message is longer than allowed."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """The statement was sent and its answer is missing; it may have run."""
    UNAUTHORIZED = "unauthorized"
    """The caller may not do this."""


MAY_HAVE_RUN = frozenset({Refusal.FAILED, Refusal.TIMED_OUT, Refusal.OUTCOME_UNKNOWN})
"""Refusals of statements that may have had an effect."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The answer of a server to the proxy, or of the proxy to a caller."""

    rows: tuple[str, ...] = ()
    signature: str | None = None
    """Signature by which the database proves its answer; None when the proxy answered itself."""
    refusal: Refusal | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: positions.Position | None = None
    retry_s: float = 0.0
    """With a refusal by a tenant's rate limit, seconds after which the tenant may have another
    operation; otherwise 0."""

    @property
    def succeeded(self) -> bool:
        """Whether the statement has a result."""
        return self.refusal is None


def refuse(
    refusal: Refusal, detail: str, *, state: TransactionState = TransactionState.IDLE
) -> Answer:
    """Build the answer to a statement that has no result."""
    return Answer(refusal=refusal, detail=detail, state=state)
