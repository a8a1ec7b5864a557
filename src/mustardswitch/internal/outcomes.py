"""Outcomes of statements, and the requests and replies that carry them between tasks."""

import dataclasses
import enum

from mustardswitch.internal import groups, ids, positions


class Outcome(enum.Enum):
    """What is known about the effect of a statement when its caller is answered."""

    RAN = "ran"
    """The statement ran, with the result or the database's own error in the reply."""
    NOT_RUN = "not run"
    """The statement had no effect and will have none."""
    UNKNOWN = "unknown"
    """The statement may or may not have taken effect."""


class Reason(enum.Enum):
    """Why a statement did not run, or why its outcome is not known."""

    NONE = "none"
    """The statement ran."""
    OVERLOADED = "overloaded"
    """It could not have finished before its deadline."""
    BEHIND = "behind"
    """The slot has not reached the session's minimum position or the stated age."""
    NOT_PRIMARY = "not primary"
    """The slot does not lead its group, or no longer does."""
    UNREACHABLE = "unreachable"
    """No instance or backend server that may run it can be reached."""
    DEADLINE = "deadline"
    """The deadline passed before an answer came."""
    DISCONNECTED = "disconnected"
    """The connection broke before the statement was answered."""
    UNCONFIRMED = "unconfirmed"
    """The primary ran it, and no majority confirmed it."""
    TRANSACTION_LOST = "transaction lost"
    """Its transaction was rolled back."""
    LEAVING = "leaving"
    """The instance or the backend server takes no new work."""
    REFUSED = "refused"
    """The statement is not supported or not allowed now, or its database is unknown."""


class StatementKind(enum.Enum):
    """How a statement is routed."""

    READ = "read"
    """Changes nothing and locks nothing."""
    WRITE = "write"
    """May change data, or could not be classified."""
    BEGIN = "begin"
    """Opens a transaction."""
    COMMIT = "commit"
    """Ends a transaction and keeps its effect."""
    ROLLBACK = "rollback"
    """Ends a transaction and drops its effect."""
    SESSION = "session"
    """Concerns only the caller's session; answered by the instance the caller is connected to."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Column:
    """One column of a result; ``type_code`` is the MySQL protocol's column type."""

    name: str
    type_code: int


Cell = bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """A database's answer to a statement that succeeded."""

    columns: tuple[Column, ...] = ()
    rows: tuple[tuple[Cell, ...], ...] = ()
    affected_rows: int = 0
    last_insert_id: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DatabaseFailure:
    """A database's answer to a statement that failed: its error code and message."""

    code: int
    message: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StatementRequest:
    """One statement on its way to the gateway of a slot."""

    database: ids.DatabaseName
    slot: ids.SlotId
    sql: str
    kind: StatementKind
    deadline_s: float
    """Seconds left to the caller's deadline when the request was sent."""
    min_position: positions.Position | None = None
    max_age_s: float | None = None
    """Age in seconds that the reader accepts; None means that only the minimum position counts."""
    request_id: ids.RequestId | None = None
    transaction: ids.TransactionId | None = None
    stale_listing: bool = False
    """Whether it accepts data up to a stated age, so that it is served last under overload."""
    caller: str = ""
    """Login name of the caller, for fairness between callers."""
    traceparent: str = ""
    """W3C trace context of the previous hop."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StatementReply:
    """The outcome of one statement, as the gateway of a slot reports it."""

    outcome: Outcome
    reason: Reason = Reason.NONE
    detail: str = ""
    result: Result | None = None
    failure: DatabaseFailure | None = None
    position: positions.Position | None = None
    """The position that the statement wrote or showed, confirmed by a majority."""
    served_by_replica: bool = False
    view: groups.GroupView | None = None


def not_run(reason: Reason, detail: str, *, view: groups.GroupView | None = None) -> StatementReply:
    """Build the reply for a statement that had no effect."""
    return StatementReply(outcome=Outcome.NOT_RUN, reason=reason, detail=detail, view=view)


def unknown(reason: Reason, detail: str) -> StatementReply:
    """Build the reply for a statement whose effect is not known."""
    return StatementReply(outcome=Outcome.UNKNOWN, reason=reason, detail=detail)
