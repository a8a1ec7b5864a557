"""How many connections to a backend server an instance may hold.

Answers the load pattern of an outage of the store: the registrations of living instances lapse, and
instances that then took their share would push each other over the server's limit. A share shrinks
at once when instances come, and grows only when they have been gone for a while.

And that of a loss of power: a server keeps connections whose other end went without a word for a
while, so an instance that has just started leaves half of its servers' connections to them.
"""

import collections

RESERVE = 2
"""Connections of a server left free for status questions and promotions."""
MEMORY_S = 20.0
"""Longer than registrations take to be back after an outage of the store."""
START_S = 5.0
"""Time in which all instances of a fleet that starts at once have registered."""
ASSUMED_INSTANCES = 12
"""Instances assumed during the start; a little more than today's fleets have."""
LINGER_S = 3.0
"""How long a server keeps a connection whose other end went without a word."""


class ConnectionShares:
    """Remembers how many instances there were."""

    def __init__(self, *, started_s: float) -> None:
        self.started_s = started_s
        self.counts: collections.deque[tuple[float, int]] = collections.deque()

    def __repr__(self) -> str:
        return f"ConnectionShares(started_s={self.started_s!r})"

    def note_instances(self, count: int, *, now_s: float) -> None:
        """Take the present number of instances into account."""
        while self.counts and self.counts[-1][1] <= count:
            self.counts.pop()
        self.counts.append((now_s, count))
        while len(self.counts) > 1 and self.counts[1][0] <= now_s - MEMORY_S:
            self.counts.popleft()

    def instances(self, *, now_s: float) -> int:
        """Return how many instances share a server's connections."""
        recent = [count for at_s, count in self.counts if at_s > now_s - MEMORY_S]
        latest = self.counts[-1][1] if self.counts else 1
        assumed = ASSUMED_INSTANCES if now_s - self.started_s < START_S else 1
        return max([latest, assumed, *recent])

    def usable(self, *, connections: int, now_s: float) -> int:
        """Return how many of a server's connections all instances may hold together."""
        shared = connections - RESERVE
        return shared // 2 if now_s - self.started_s < LINGER_S else shared

    def share(self, *, connections: int, now_s: float) -> int:
        """Return this instance's share of a server's connections."""
        usable = self.usable(connections=connections, now_s=now_s)
        return max(1, usable // self.instances(now_s=now_s))
