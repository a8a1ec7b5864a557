"""Errors of the backend layer."""


class BackendError(Exception):
    """Base class of the errors raised when an operation on a backend server fails."""


class ServerRefusedError(BackendError):
    """Raised when a backend server's instance refused the connection: no process listens there."""


class BackendUnreachableError(BackendError):
    """Raised when no connection could be opened in time; nothing was sent."""


class ConnectionLimitError(BackendUnreachableError):
    """Raised when a backend server rejected a connection at its limit of connections."""


class AddressReusedError(BackendUnreachableError):
    """Raised when another process answers at the address of a server, whose own one has ended."""


class SessionUnansweredError(BackendUnreachableError):
    """Raised when a connection was opened, and the server did not accept a session in time."""


class ConnectionBrokenError(BackendError):
    """Raised when a connection broke, or no answer came in time, after something was sent."""


class NothingSentError(ConnectionBrokenError):
    """Raised when a connection was already closed before the first byte of a statement was sent."""


class DatabaseRejectedError(BackendError):
    """Raised when the database answered a statement with an error."""

    def __init__(self, *, code: int, message: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message


class NotPrimaryError(DatabaseRejectedError):
    """Raised when a slot rejected a statement because it is not primary at the statement's term."""


class PoolRefusedError(BackendError):
    """Raised when a pool cannot serve a statement before its deadline; nothing was sent."""


class PoolFullError(PoolRefusedError):
    """Raised when more statements wait than the pool can serve before their deadlines."""


class PoolUnreachableError(PoolRefusedError):
    """Raised when a pool is closed, or its backend server is unreachable or lost its role."""
