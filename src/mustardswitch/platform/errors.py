"""Errors of the platform adapter."""


class AdapterError(Exception):
    """Raised by any dealing with the platform that did not succeed."""


class InvalidLineError(AdapterError):
    """Raised when a line of the wire protocol cannot be understood."""


class InvalidRecordError(AdapterError):
    """Raised when a value in the store cannot be used; the text names the field and remedy."""


class SettingsError(AdapterError):
    """Raised when the settings file cannot be used; the text names the field and remedy."""


class CallError(AdapterError):
    """Raised when an HTTP call brought no answer; it may still be carried out."""


class HistoryLostError(AdapterError):
    """Raised when the store no longer has the changes that a watch asked for."""
