"""Errors of the proxy layer."""


class ProxyError(Exception):
    """Raised by any step of serving a statement that did not succeed."""


class StoreError(ProxyError):
    """Raised when the platform's store did not carry out a call; it may still do so later."""


class NoLeaderError(ProxyError):
    """Raised when no server is known to lead a service before the deadline."""


class NotSentError(ProxyError):
    """Raised when a statement could not be sent to any server; it was certainly not run."""


class NoRoomError(NotSentError):
    """Raised when more statements wait for a server than it can serve before the deadline.

    Waiting longer does not help: those that come later have more time left, so they take the room.
    """
