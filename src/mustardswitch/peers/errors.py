"""Errors of the peer layer."""


class PeerError(Exception):
    """Raised by any exchange with another instance that did not succeed."""


class PeerRefusedError(PeerError):
    """Raised when nothing listens at a peer's address: its process is gone."""


class PeerUnreachableError(PeerError):
    """Raised when a peer could not be reached; nothing was sent to it."""


class PeerBrokenError(PeerError):
    """Raised when a request was sent to a peer and its answer did not come."""


class InvalidDatagramError(PeerError):
    """Raised when a datagram of another instance cannot be read."""


class InvalidFrameError(PeerError):
    """Raised when a frame of another instance cannot be read."""
