"""Errors of the peer layer."""


class PeerError(Exception):
    """Base class of the errors of an exchange with another instance."""


class PeerRefusedError(PeerError):
    """Raised when no process listens at a peer's address: the peer is dead."""


class PeerUnreachableError(PeerError):
    """Raised when a peer could not be reached; nothing was sent to it."""


class PeerBrokenError(PeerError):
    """Raised when a request was sent to a peer and got no answer; the peer may have executed it."""


class InvalidDatagramError(PeerError):
    """Raised when a datagram of another instance cannot be parsed."""


class InvalidFrameError(PeerError):
    """Raised when a frame of another instance cannot be parsed."""
