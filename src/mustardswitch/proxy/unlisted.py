"""The servers of one service that have no entry, and may run and confirm commits all the same.

A server that is cut off from the store loses its entry and goes on as a replica. So one that was
listed counts until it is known to hold nothing alone: its process has ended, and another server had
received all that it may have confirmed (``coverage``). The record of members names those that
count, so instances that start later know them as well.
"""

import collections.abc
import dataclasses

from mustardswitch.internal import clock, ids, members, positions, promotion, revisions
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


def member_of(entry: ports.ServerEntry) -> members.Member:
    """Return the server of an entry and its start."""
    return entry.server, entry.started_ms


HEARD_S = 10.0
"""Time after an answer in which this instance does not take another one's word that a server has
ended; longer than the others take to find it ended again."""


class CoveredServers:
    """The servers whose processes have ended, and the positions that another one had by then.

    A server of that name holds nothing above its position, so a log that reaches it lacks none of
    its commits.
    """

    def __init__(self) -> None:
        self.ends: dict[members.Member, positions.Position] = {}
        self.added: set[members.Member] = set()
        """Those that the record of members does not name yet."""
        self.run_again: set[members.Member] = set()
        """Those that the record names although they have been found to run since."""
        self.have_run: dict[members.Member, float] = {}
        """Those that have been found to run, and when last (``clock.now_s``); a record may be of
        before that."""
        self.revision = 0
        """The store's revision of the record that was compared last."""

    def __repr__(self) -> str:
        return f"CoveredServers(ends={self.ends!r})"

    def __contains__(self, member: members.Member) -> bool:
        return member in self.ends

    def add(self, member: members.Member, end: positions.Position) -> None:
        """Record that a server has ended, and that another one has the log up to ``end``."""
        self.ends[member] = end
        self.added.add(member)
        self.run_again.discard(member)
        self.have_run.pop(member, None)

    def note_running(self, member: members.Member) -> None:
        """Record that a server, or another one in its place, runs."""
        self.have_run[member] = clock.now_s()
        if self.ends.pop(member, None) is not None:
            self.added.discard(member)
            self.run_again.add(member)

    def was_heard(self, member: members.Member) -> bool:
        """Return whether a server was found to run a short time ago."""
        return clock.now_s() < self.have_run.get(member, float("-inf")) + HEARD_S

    def note_record(
        self,
        recorded: collections.abc.Mapping[members.Member, positions.Position],
        revision: int,
    ) -> None:
        """Apply what the record of members tells, unless it was applied before."""
        if revision == self.revision:
            return
        if revisions.era_of(revision) != revisions.era_of(self.revision):
            self.run_again |= self.have_run.keys()
        self.run_again |= set(filter(self.was_heard, recorded.keys() - self.ends.keys()))
        self.revision = revision
        self.added -= recorded.keys()
        self.run_again &= recorded.keys()
        own = {member: self.ends[member] for member in self.added}
        others = {each: end for each, end in recorded.items() if each not in self.run_again}
        self.ends = others | own

    def keep(self, known: collections.abc.Set[members.Member]) -> None:
        """Forget the servers that are not known any more."""
        self.ends = {member: end for member, end in self.ends.items() if member in known}
        self.added &= known
        self.run_again &= known
        self.have_run = {each: at_s for each, at_s in self.have_run.items() if each in known}


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
