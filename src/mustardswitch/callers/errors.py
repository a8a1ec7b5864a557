"""Errors of the caller layer, with the error codes that callers receive.

The codes lie outside the range that MySQL servers use, so that no database error can be mistaken
for one of them. SQLSTATE classes starting with M are free for implementations.
"""

import enum

from mysql_mimic import errors as mimic_errors

from mustardswitch.internal import outcomes


class CallerErrorCode(enum.IntEnum):
    """Error codes that the proxy itself answers with."""

    NOT_RUN = 50100
    """The statement had no effect and will have none; it may be sent again."""
    NOT_RUN_OVERLOADED = 50101
    """Not run: it could not have finished before its deadline."""
    NOT_RUN_BEHIND = 50102
    """Not run: no reachable slot has reached the session's minimum position or the stated age."""
    NOT_RUN_TRANSACTION_LOST = 50103
    """Not run: the whole transaction was rolled back; retry it from its start."""
    NOT_RUN_LEAVING = 50104
    """Not run: this instance is draining; connect again to reach another."""
    NOT_RUN_REFUSED = 50105
    """Not run: the statement is not allowed; the message says why and what to do."""
    UNKNOWN = 50110
    """The statement may or may not have taken effect."""


SQLSTATE_BY_CODE = {
    CallerErrorCode.NOT_RUN: b"M0100",
    CallerErrorCode.NOT_RUN_OVERLOADED: b"M0101",
    CallerErrorCode.NOT_RUN_BEHIND: b"M0102",
    CallerErrorCode.NOT_RUN_TRANSACTION_LOST: b"40M03",
    CallerErrorCode.NOT_RUN_LEAVING: b"08M04",
    CallerErrorCode.NOT_RUN_REFUSED: b"42M05",
    CallerErrorCode.UNKNOWN: b"M0110",
}

_CODE_BY_REASON = {
    outcomes.Reason.OVERLOADED: CallerErrorCode.NOT_RUN_OVERLOADED,
    outcomes.Reason.BEHIND: CallerErrorCode.NOT_RUN_BEHIND,
    outcomes.Reason.TRANSACTION_LOST: CallerErrorCode.NOT_RUN_TRANSACTION_LOST,
    outcomes.Reason.LEAVING: CallerErrorCode.NOT_RUN_LEAVING,
    outcomes.Reason.REFUSED: CallerErrorCode.NOT_RUN_REFUSED,
}


class CallerError(mimic_errors.MysqlError):
    """Raised to answer a caller with one of the proxy's own errors."""

    def __init__(self, message: str, code: CallerErrorCode) -> None:
        super().__init__(message, code)


def register_sqlstates() -> None:
    """Register the SQLSTATE of each code with the codec (``mysql_mimic``)."""
    mimic_errors.SQLSTATES.update(SQLSTATE_BY_CODE)


def rejection(message: str) -> CallerError:
    """Build the error for a statement that is not allowed."""
    return CallerError(f"NOT RUN: {message}", CallerErrorCode.NOT_RUN_REFUSED)


def error_from_reply(reply: outcomes.StatementReply) -> mimic_errors.MysqlError:
    """Build the error for a reply that carries no result.

    A database error keeps the code and message of the backend server.
    """
    if reply.failure is not None:
        return mimic_errors.MysqlError(reply.failure.message, reply.failure.code)
    if reply.outcome is outcomes.Outcome.UNKNOWN:
        text = f"UNKNOWN OUTCOME: {reply.reason.value}: {reply.detail}"
        return CallerError(text, CallerErrorCode.UNKNOWN)
    code = _CODE_BY_REASON.get(reply.reason, CallerErrorCode.NOT_RUN)
    return CallerError(f"NOT RUN: {reply.reason.value}: {reply.detail}", code)
