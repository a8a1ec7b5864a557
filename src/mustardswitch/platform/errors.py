"""Errors of the platform adapter."""


class AdapterError(Exception):
    """Base class of the errors of the platform adapter."""


class InvalidLineError(AdapterError):
    """Raised when a line of the wire protocol cannot be parsed."""


class InvalidRecordError(AdapterError):
    """Raised when a value in the store is invalid; the message names the field and the remedy."""


class SettingsError(AdapterError):
    """Raised when the settings file is invalid; the message names the field and the remedy."""


class HistoryLostError(AdapterError):
    """Raised when the store no longer has the changes that a watch asked for."""
