"""The servers of one service that have no entry, and may run and confirm commits all the same.

A server that is cut off from the store loses its entry and goes on as a replica. So one that was
listed counts until it is known to hold nothing alone: its process has ended, and another server had
received all that it may have confirmed (``coverage``). The record of members names those that
count, so instances that start later know them as well.
"""

import collections.abc
import dataclasses

from mustardswitch.internal import clock, ids, members, promotion, revisions
from mustardswitch.proxy import ports, server

RECENT_S = 6.0
"""Time after its entry expired, or its last answer, in which a planned change of primary waits for
a server; the primary's own end proves such a change."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UnlistedServer:
    """A server whose entry was removed."""

    backend: server.Server
    since_s: float
    """When its entry was removed, or when it answered last after that (``clock.now_s``)."""
    expired_s: float = dataclasses.field(default_factory=clock.now_s)
    """When its entry was removed, or this instance learned of it from the record of members."""
    recorded_era: int | None = None
    """The store's era in which the record of members named it; None if it did not yet."""


def member_of(entry: ports.ServerEntry) -> members.Member:
    """Return the server of an entry and its start."""
    return entry.server, entry.started_ms


class UnlistedServers(dict[ids.ServerId, UnlistedServer]):
    """The servers without an entry that count, by name."""

    def add(self, backend: server.Server) -> None:
        """Add a server whose entry was removed, or that only the record of members names."""
        self[backend.server] = UnlistedServer(backend=backend, since_s=clock.now_s())

    def add_replica(self, backend: server.Server) -> None:
        """Add a server that does not lead, whatever the role in its last entry."""
        backend.entry = dataclasses.replace(backend.entry, role=promotion.Role.REPLICA)
        self.add(backend)

    def note_running(self, name: ids.ServerId) -> None:
        """Record that a server has answered."""
        if name in self:
            self[name] = dataclasses.replace(self[name], since_s=clock.now_s())

    def backends(self) -> dict[ids.ServerId, server.Server]:
        """Return all servers that count."""
        return {name: known.backend for name, known in self.items()}

    def recent(self) -> dict[ids.ServerId, server.Server]:
        """Return the servers whose entries were removed, or that answered, a short time ago."""
        oldest_s = clock.now_s() - RECENT_S
        return {name: known.backend for name, known in self.items() if known.since_s > oldest_s}

    def expired_recently(self, name: ids.ServerId) -> bool:
        """Return whether the entry of a server was removed a short time ago."""
        known = self.get(name)
        return known is not None and clock.now_s() < known.expired_s + RECENT_S

    def note_record(self, recorded: collections.abc.Set[members.Member], revision: int) -> None:
        """Compare with the record of members at a ``revision`` of the store.

        A server that the record has named and does not name any more was found by another instance
        to hold nothing alone, unless the store was restored from a copy in between.
        """
        era = revisions.era_of(revision)
        for name, known in list(self.items()):
            if member_of(known.backend.entry) in recorded:
                self[name] = dataclasses.replace(known, recorded_era=era)
            elif known.recorded_era == era:
                del self[name]
