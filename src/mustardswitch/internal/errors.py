"""Errors of the decision layer."""


class DecisionError(Exception):
    """Raised by any decision that was given a value it cannot work with."""


class InvalidPositionError(DecisionError):
    """Raised when a text is not a log position."""


class InvalidTokenError(DecisionError):
    """Raised when a session token is malformed, altered, expired or signed by an unknown key."""


class InvalidHintError(DecisionError):
    """Raised when a hint in a statement has an unusable value."""


class UnsupportedStatementError(DecisionError):
    """Raised when a statement would break the guarantees and is refused before it runs."""
