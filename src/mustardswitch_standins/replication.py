"""A group of database servers whose replicas receive and confirm after the delays of their links.

Every log is a prefix of the primary's, as a promotion truncates all others: a replica that receives
an entry receives all before it.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import datetime
import time

from mustardswitch.internal import ids, promotion
from mustardswitch_standins import database_group

REGIONS = {"a": "north", "b": "north", "c": "south"}
SAME_ZONE_S = 0.0002
SAME_REGION_S = 0.0005
OTHER_REGION_S = 0.02
"""One-way delays of a link within a zone, within a region and between regions."""


def link_delay_s(first: str, second: str) -> float:
    """Return the one-way delay between two zones."""
    if first == second:
        return SAME_ZONE_S
    return SAME_REGION_S if REGIONS.get(first) == REGIONS.get(second) else OTHER_REGION_S


@dataclasses.dataclass(kw_only=True)
class Commit:
    """Entries of a primary's log that wait until the first replica has received them."""

    primary: database_group.FakeServer
    starts: int
    """Starts of the primary as it made the commit."""
    term: int
    end: int
    """Length of the log with the last of them."""
    writes: list[str]
    entries: list[database_group.LogEntry] = dataclasses.field(default_factory=list)
    confirmed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def is_in(self, log: list[database_group.LogEntry]) -> bool:
        """Return whether a log has the entries, which a promotion may have removed."""
        found = log[self.end - len(self.entries) : self.end]
        return list(map(id, found)) == list(map(id, self.entries))


class ReplicatedGroup(database_group.Group):
    """A group with asynchronous replication, in which a promoted server leads with what it had.

    A commit is acknowledged once the first replica has received it; the others receive it later.
    Entries that were sent are delivered even if the primary steps down or crashes meanwhile, unless
    a promotion takes effect first. Those of a primary that leads again are sent again, and are
    acknowledged then.
    """

    def __init__(
        self,
        *,
        zones: tuple[str, ...] = ("a", "b", "c"),
        link_delay_s: collections.abc.Callable[[str, str], float] = link_delay_s,
    ) -> None:
        super().__init__(zones=zones)
        self.promotes_as_of_request = True
        self.link_delay_s = link_delay_s
        self.leader = self.primary
        """The primary of the present term, also after it has stepped down."""
        self.acknowledged_end = 0
        """Length of the log with the last acknowledged commit."""
        self.unconfirmed: list[Commit] = []
        """Commits that no replica has received yet."""
        self.names_given = 0
        self.events: list[str] = []
        """Changes of the group, each with the time of the day in UTC."""

    def note(self, text: str) -> None:
        """Add an event."""
        now = datetime.datetime.now(datetime.UTC)
        self.events.append(f"{now:%H:%M:%S.%f} {text}")

    async def confirm(
        self, server: database_group.FakeServer, writes: list[str], timeout_s: float
    ) -> bool:
        """Commit what a server has executed as the primary; see the base class."""
        entries = [database_group.LogEntry(term=self.term, data=data) for data in writes]
        server.log += entries
        commit = Commit(
            primary=server,
            starts=server.starts,
            term=self.term,
            end=len(server.log),
            writes=writes,
            entries=entries,
        )
        self.unconfirmed.append(commit)
        for replica in self.servers.values():
            if replica is not server:
                self._send(commit, replica, self.link_delay_s(server.zone, replica.zone))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await commit.confirmed.wait()
        return commit.confirmed.is_set()

    def _send(self, commit: Commit, replica: database_group.FakeServer, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._deliver, commit, replica, replica.starts)

    def _deliver(self, commit: Commit, replica: database_group.FakeServer, starts: int) -> None:
        if self.term != commit.term or replica.starts != starts or not self._receives(replica):
            return
        replica.log += commit.primary.log[len(replica.log) : commit.end]
        delay_s = self.link_delay_s(commit.primary.zone, replica.zone)
        asyncio.get_running_loop().call_later(delay_s, self._acknowledge, commit, replica, starts)

    def _acknowledge(self, commit: Commit, replica: database_group.FakeServer, starts: int) -> None:
        """Acknowledge a commit, unless either server has ended or another leads."""
        primary = commit.primary
        running = primary.up and primary.starts == commit.starts and replica.starts == starts
        if not running or self.term != commit.term:
            return
        for each in [each for each in self.unconfirmed if each.is_in(replica.log)]:
            self.unconfirmed.remove(each)
            each.confirmed.set()
            self.acknowledged += each.writes
            self.acknowledged_end = max(self.acknowledged_end, each.end)

    def catch_up(self, replica: database_group.FakeServer) -> None:
        """Send a replica what it has missed: a request to the primary and its answer."""
        primary = self.primary
        if primary is None or not primary.up or primary is replica:
            return
        commit = Commit(
            primary=primary,
            starts=primary.starts,
            term=self.term,
            end=len(primary.log),
            writes=[],
        )
        self._send(commit, replica, 2 * self.link_delay_s(primary.zone, replica.zone))

    def promote(self, name: ids.ServerId) -> bool:
        """Make a server the primary of the next term; the others receive what they lack."""
        term = self.term
        done = super().promote(name)
        if self.term != term:
            self.leader = self.servers[name]
            end = self.leader.position
            self.acknowledged_end = min(self.acknowledged_end, end.offset)
            self.note(f"{name} leads term {self.term} from {end.term}.{end.offset}")
            for server in self.servers.values():
                self.catch_up(server)
        return done

    def request_promotion(self, name: ids.ServerId, delay_s: float) -> bool:
        """Accept the promotion of a running server, which takes effect after a delay."""
        accepted = super().request_promotion(name, delay_s)
        self.note(f"promotion of {name} in {delay_s:.3f} s, accepted: {accepted}")
        return accepted

    def step_down(self, server: database_group.FakeServer, term: int) -> None:
        """Make the primary a replica if its term is below ``term``; no server leads then."""
        was_primary = server.role is promotion.Role.PRIMARY
        super().step_down(server, term)
        self.note(f"{server.name} gets STEPDOWN {term}; it led: {was_primary}")

    def start_replacement(
        self, former: database_group.FakeServer, *, listed_after_s: float = 0.0
    ) -> database_group.FakeServer:
        """Start a replica in the zone of another server, with the log of that server.

        It receives and confirms at once, and is listed ``listed_after_s`` later.
        """
        self.names_given += 1
        server = database_group.FakeServer(
            name=f"server-{former.zone}{self.names_given}", zone=former.zone
        )
        server.born_ms = int(time.time() * 1000)
        server.listed_from_s = time.monotonic() + listed_after_s
        server.log = list(former.log)
        self.servers[server.name] = server
        self.catch_up(server)
        self.note(f"{server.name} starts, listed after {listed_after_s:.1f} s")
        return server

    def restart(self, server: database_group.FakeServer, *, leads_again: bool = False) -> None:
        """Start a crashed server again with its log.

        A primary that had stepped down ``leads_again`` if no other was promoted meanwhile.
        """
        self._start_again(server)
        if leads_again and server is self.leader:
            server.role = promotion.Role.PRIMARY
        self.catch_up(server)

    def restart_empty(self, replica: database_group.FakeServer) -> None:
        """Start a replica again under its id; it knows nothing of before."""
        replica.log = []
        replica.registrations = 0
        replica.born_ms = int(time.time() * 1000)
        self._start_again(replica)
        self.catch_up(replica)

    def _start_again(self, server: database_group.FakeServer) -> None:
        server.starts += 1
        server.paused_term = 0
        server.up = True

    def is_expendable(self, server: database_group.FakeServer) -> bool:
        """Whether other replicas that run and were listed hold every acknowledged commit.

        Otherwise no choice of a successor avoids a loss if this server and the primary end.
        """
        others = [other for other in self.servers.values() if other not in (server, self.leader)]
        return any(
            other.up and other.was_listed and len(other.log) >= self.acknowledged_end
            for other in others
        )
