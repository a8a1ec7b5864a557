"""Listening sockets that accept few connections at a time."""

import contextlib
import socket

ACCEPTED_AT_ONCE = 8
"""Connections that the event loop accepts before it runs other work; more would open many
descriptors before any of them can be refused."""
BACKLOG = 1024
"""Connections waiting to be accepted; callers of a failed instance reconnect all at once."""


def bind(host: str, port: int) -> socket.socket:
    """Return a socket bound to an address, to be passed to asyncio; raises OSError."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    with contextlib.ExitStack() as stack:
        stack.callback(bound.close)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
        bound.setblocking(False)
        stack.pop_all()
    return bound
