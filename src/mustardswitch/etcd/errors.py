"""Errors of the platform layer."""


class PlatformError(Exception):
    """Raised by any call to the platform that did not succeed."""


class StoreUnavailableError(PlatformError):
    """Raised when the store gave no answer in time; a write may still have taken effect."""


class StoreConflictError(PlatformError):
    """Raised when a compare-and-swap found another revision than the expected one."""
