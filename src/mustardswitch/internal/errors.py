"""Errors of the decision layer."""


class DecisionError(Exception):
    """Base class of the errors for values that a decision cannot work with."""


class InvalidPositionError(DecisionError):
    """Raised when a text cannot be parsed as a log position."""


class InvalidTokenError(DecisionError):
    """Raised when a session token is too long, malformed, altered or signed by an unknown key."""


class InvalidHintError(DecisionError):
    """Raised when an optimizer hint in a statement has an invalid value."""


class UnsupportedStatementError(DecisionError):
    """Raised for a statement that would break the consistency guarantees, before it runs."""
