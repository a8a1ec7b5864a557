"""Typed statements of callers, and the answers to them."""

import dataclasses
import enum

from mustardswitch.internal import ids, positions


class RouteKind(enum.Enum):
    """Which commits the reads of a database must show."""

    PRIMARY = "primary"
    """Every acknowledged commit."""
    BOUNDED_STALENESS = "bounded_staleness"
    """Every commit acknowledged longer ago than a stated age."""
    READ_YOUR_WRITES = "read_your_writes"
    """The same, and every commit of the session."""


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
    """A read or write that is sent as it is."""

    access: Access
    arguments: str
    """What is read, or what is written and the data; passed on unchanged."""

    @property
    def shape(self) -> None:
        """The shape that a connection has to hold for it: none."""
        return None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SetValue:
    """Sets a value of the session."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Shape:
    """What a prepared statement does; statements of one shape share a name on a connection."""

    access: Access
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Prepare:
    """Gives a shape a name in the session."""

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
    """It was not run for lack of room or of a server; try again later."""
    ABORTED = "aborted"
    """The transaction was rolled back; nothing of it is kept."""
    BEHIND = "behind"
    """The server's log lacks the position asked for; it was not run."""
    READ_ONLY = "read_only"
    """The server does not lead; it was not run."""
    WRONG_SERVER = "wrong_server"
    """Another server or service answers at the address; it was not run."""
    TOO_MANY_CONNECTIONS = "too_many_connections"
    """The server takes no more connections."""
    FAILED = "failed"
    """The database ran the statement and failed; nothing is promised."""
    UNKNOWN_STATEMENT = "unknown_statement"
    """No prepared statement has that name."""
    TIMED_OUT = "timed_out"
    """The time limit passed while the statement ran; nothing is promised."""
    UNKNOWN_DATABASE = "unknown_database"
    """No database has that name."""
    MALFORMED = "malformed"
    """The statement cannot be understood, or does not fit the state of the session."""
    TOO_LARGE = "too_large"
    """The message is longer than allowed."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """The statement was sent and its answer is missing; it may have run."""
    UNAUTHORIZED = "unauthorized"
    """The caller may not do this."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """What a server answered, or what a caller is answered."""

    rows: tuple[str, ...] = ()
    signature: str | None = None
    """The database's proof of its answer; None when the proxy answered itself."""
    refusal: Refusal | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: positions.Position | None = None

    @property
    def succeeded(self) -> bool:
        """Whether the statement has a result."""
        return self.refusal is None


def refuse(
    refusal: Refusal, detail: str, *, state: TransactionState = TransactionState.IDLE
) -> Answer:
    """Build the answer to a statement that has no result."""
    return Answer(refusal=refusal, detail=detail, state=state)
