"""Errors of calls to the platform's key-value store."""


class PlatformError(Exception):
    """Base class of the errors of calls to the platform's store."""


class StoreUnavailableError(PlatformError):
    """Raised when the store did not answer in time; a write may still have taken effect."""


class StoreConflictError(PlatformError):
    """Raised when a compare-and-swap found a revision other than the expected one."""
