"""Errors of the operator layer."""


class OperatorError(Exception):
    """Base class of the errors of operator commands."""


class InstanceUnreachableError(OperatorError):
    """Raised when an instance did not answer a status query."""


class RefusedError(OperatorError):
    """Raised when an instance answered that it cannot do what was asked; the text says why."""
