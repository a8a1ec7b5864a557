"""Errors of the operator layer."""


class OperatorError(Exception):
    """Raised by any operator command that did not succeed."""


class InstanceUnreachableError(OperatorError):
    """Raised when an instance did not answer an operator's question."""
