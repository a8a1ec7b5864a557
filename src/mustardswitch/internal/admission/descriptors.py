"""Decides how many connections of clients a process accepts, by its limit of open descriptors."""

DEFAULT_MAX_FDS = 16384
"""Limit of open descriptors where the settings name none."""
RESERVE_SHARE = 0.25
"""Share of the descriptors that stays free for connections to servers, peers and the store, beyond
those that are open now; statements that are forwarded all at once take one each."""
PEERS_SHARE = 0.25
"""Largest share of the descriptors for connections of other instances."""
MIN_CONNECTIONS = 8
"""Connections that are accepted however low the limit is."""


def callers_allowed(*, max_fds: int, others: int) -> int:
    """Return how many callers may be connected while ``others`` descriptors are open."""
    return max(MIN_CONNECTIONS, int(max_fds * (1 - RESERVE_SHARE)) - others)


def peers_allowed(max_fds: int) -> int:
    """Return how many connections of other instances are accepted."""
    return max(MIN_CONNECTIONS, int(max_fds * PEERS_SHARE))
