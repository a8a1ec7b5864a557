"""Errors of clients' connections."""


class LineTooLongError(Exception):
    """Raised when a line of a caller is longer than the protocol allows."""
