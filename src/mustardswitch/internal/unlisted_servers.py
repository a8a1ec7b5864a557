"""Decides whether a server that is not listed yet may hold commits that no known server has.

The platform starts a server for each one that leaves or is lost. The new server confirms commits as
soon as it runs, and is listed once it has written its first entry, which servers do about once in
each heartbeat interval. If the primary ends meanwhile, nothing else tells of these commits. So
without the primary's end, a promotion waits until the service has as many servers as it had, or
until a server that has confirmed a commit of the former primary must be listed.
"""

HEARTBEATS = 1.25
"""Heartbeat intervals after its start in which a server that runs has written its entry; it writes
approximately once in each."""
DEFAULT_LISTING_S = 1.5
"""Time from the start of a server until it is listed, without a heartbeat in the settings."""
RELISTED_S = 2.5
"""Time after an outage of the store in which the servers that run are listed; the platform promises
about two seconds."""
SETTLED_S = 4.0
"""Time for which servers must be listed together to count as so many; the entry of one that has
ended stays for three heartbeats, beside that of its replacement."""


class ServerCount:
    """How many servers of a service are listed and stay, at most and now."""

    def __init__(self) -> None:
        self.listed_at_most = 0
        """The most that this instance has seen together for ``SETTLED_S``, or at first."""
        self.recorded = 0
        """The most that any instance has recorded; 0 without a record."""
        self.present = 0
        self.leaving_at_first = 0
        """Servers that left as the list was first read, and may not have been replaced."""
        self.more = 0
        """How many more than ``listed_at_most`` were listed all the time since ``more_since_s``."""
        self.more_since_s = float("inf")

    def __repr__(self) -> str:
        return (
            f"ServerCount(listed_at_most={self.listed_at_most!r}, recorded={self.recorded!r},"
            f" present={self.present!r})"
        )

    @property
    def missing(self) -> int:
        """Number of servers that have left, leave or were lost and are not replaced yet."""
        known = self.recorded or self.leaving_at_first + self.listed_at_most
        return max(self.listed_at_most, known) - self.present

    def note(self, present: int, now_s: float, *, leaving: int = 0) -> None:
        """Record how many servers are listed and stay, and how many leave.

        Must be called repeatedly; ``now_s`` is the time (``clock.now_s``). A primary whose entry
        was removed before it left is one that stays: while it serves, no other is started for it.
        """
        if not self.listed_at_most:
            self.listed_at_most, self.leaving_at_first = present, leaving
        self.present = present
        more = max(0, present - self.listed_at_most)
        if not self.more or not more:
            self.more_since_s = now_s
        self.more = min(more, self.more or more)
        if self.more and now_s >= self.more_since_s + SETTLED_S:
            self.listed_at_most += self.more
            self.more = 0

    def note_recorded(self, servers: int) -> None:
        """Record how many servers the store's record names; 0 without one."""
        self.recorded = servers


def time_to_list_s(heartbeat_s: float) -> float:
    """Return the time from the start of a server until it is listed, in seconds."""
    return HEARTBEATS * heartbeat_s


def complete_s(listing_s: float) -> float:
    """Return the time from the first reading of the list after which all that run are listed."""
    return max(listing_s, RELISTED_S)


def is_complete(count: ServerCount, *, knows_since_s: float, listing_s: float) -> bool:
    """Return whether no server of a service is missing from the list.

    A ``count`` without a record says little until the list has been read for as long as servers
    need that have started, or were removed from the list in an outage before.
    """
    is_known = count.recorded > 0 or knows_since_s >= complete_s(listing_s)
    return is_known and count.missing <= 0


def may_hold_commits(
    *,
    is_complete: bool,
    store_back_s: float,
    executes_nothing_s: float,
    listing_s: float,
) -> bool:
    """Return whether a server that is not listed may have confirmed commits of a former primary.

    A server is listed within ``listing_s`` seconds after its start, and ``executes_nothing_s`` are
    those since the former primary has ended; until then a server may start and confirm what waits
    in it, whether it answers or not. ``store_back_s`` are those since an outage of the store, in
    which servers can neither be listed nor report that they leave.
    """
    if store_back_s < RELISTED_S:
        return True
    return not is_complete and executes_nothing_s < listing_s
