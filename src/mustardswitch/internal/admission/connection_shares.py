"""Computes how many connections to a backend server an instance may hold.

During an outage of the store the registrations of running instances expire, and instances that then
took over their shares would together exceed the server's limit. A share therefore shrinks at once
when instances are added, and grows only when they have been missing for a while.

After a loss of power a server keeps, for a while, connections whose other end disappeared without
closing them. An instance that has just started therefore leaves half of its servers' connections
to them.
"""

import collections

RESERVED_CONNECTIONS = 2
"""Connections to a server that are left free for status queries and promotions."""
COUNT_RETENTION_S = 20.0
"""Seconds for which an instance count is remembered; longer than registrations take to be renewed
after an outage of the store."""
STARTUP_S = 5.0
"""Seconds within which all instances of a fleet that starts at once have registered."""
ASSUMED_INSTANCES = 12
"""Instances assumed to exist during the start; slightly more than present fleets have."""
STALE_CONNECTION_S = 3.0
"""Seconds for which a server keeps a connection whose other end disappeared without closing it."""


class ConnectionShares:
    """Derives shares of a server's connections from the recent numbers of instances."""

    def __init__(self, *, started_s: float) -> None:
        self.started_s = started_s
        self.counts: collections.deque[tuple[float, int]] = collections.deque()

    def __repr__(self) -> str:
        return f"ConnectionShares(started_s={self.started_s!r})"

    def note_instances(self, count: int, *, now_s: float) -> None:
        """Record the present number of instances."""
        while self.counts and self.counts[-1][1] <= count:
            self.counts.pop()
        self.counts.append((now_s, count))
        while len(self.counts) > 1 and self.counts[1][0] <= now_s - COUNT_RETENTION_S:
            self.counts.popleft()

    def instances(self, *, now_s: float) -> int:
        """Return the number of instances that share a server's connections.

        This is the highest recent count, and during the start at least ``ASSUMED_INSTANCES``.
        """
        recent = [count for at_s, count in self.counts if at_s > now_s - COUNT_RETENTION_S]
        latest = self.counts[-1][1] if self.counts else 1
        assumed = ASSUMED_INSTANCES if now_s - self.started_s < STARTUP_S else 1
        return max([latest, assumed, *recent])

    def usable(self, *, connections: int, now_s: float) -> int:
        """Return how many of a server's connections all instances may hold together."""
        shared = connections - RESERVED_CONNECTIONS
        return shared // 2 if now_s - self.started_s < STALE_CONNECTION_S else shared

    def share(self, *, connections: int, now_s: float) -> int:
        """Return this instance's share of a server's connections; at least 1."""
        usable = self.usable(connections=connections, now_s=now_s)
        return max(1, usable // self.instances(now_s=now_s))
