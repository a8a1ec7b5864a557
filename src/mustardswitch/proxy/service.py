"""One service: its servers, who leads, and which positions the leader has shown."""

import asyncio
import collections.abc
import dataclasses

from mustardswitch import connection_pool, events, metrics
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import (
    clock,
    ids,
    leadership,
    position_history,
    positions,
    promotion,
    read_placement,
    suspicion,
)
from mustardswitch.proxy import errors, ports, requests, server

HISTORY_KEPT_S = 10.0
"""Longest age of data that reads can accept; several times that of the users' routes."""
PROBE_TIMEOUT_S = 0.35
"""A new connection and a question, with three round trips between regions, twice over."""
IDLE_CONNECTION_S = 5.0
"""Time after which an unused connection is closed: what opening one costs, against what it keeps
from others while it lingers after a crash."""
STATUS_TIMEOUT_S = 0.4
"""Ten round trips between regions."""
SETTLE_TIMEOUT_S = 1.0
"""Time for a last command on a connection; past it the connection is closed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Location:
    """Where this instance is, and the region of each zone."""

    zone: ids.ZoneName
    regions: collections.abc.Mapping[ids.ZoneName, ids.RegionName]

    def distance(self, zone: ids.ZoneName) -> read_placement.Distance:
        """Return how far a zone is."""
        if zone == self.zone:
            return read_placement.Distance.ZONE
        if zone in self.regions and self.regions[zone] == self.regions.get(self.zone):
            return read_placement.Distance.REGION
        return read_placement.Distance.OTHER_REGION


class Service:
    """What this instance knows of one service, and its connections to it."""

    def __init__(
        self,
        *,
        name: ids.ServiceName,
        location: Location,
        opener: ports.LinkOpener,
        registry: metrics.Registry,
    ) -> None:
        self.name = name
        self.location = location
        self.opener = opener
        self.registry = registry
        self.connections = 1
        self.servers: dict[ids.ServerId, server.Server] = {}
        self.leadership = leadership.Leadership()
        self.history = position_history.PositionHistory(retention_s=HISTORY_KEPT_S)
        self.changed = asyncio.Event()
        self.refreshing: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.known_leader: ids.ServerId | None = None

    def __repr__(self) -> str:
        return f"Service(name={self.name!r}, location={self.location!r})"

    # Membership

    def apply(self, entries: collections.abc.Iterable[ports.ServerEntry]) -> None:
        """Follow the platform's list of this service's servers."""
        listed = {entry.server: entry for entry in entries}
        for known in list(self.servers.values()):
            entry = listed.get(known.server)
            if entry is None or entry.started_ms != known.entry.started_ms:
                self._remove(known, "not listed" if entry is None else "started anew")
        for entry in sorted(listed.values(), key=lambda each: each.revision):
            self._apply_entry(entry)
        self._note_change()

    def _apply_entry(self, entry: ports.ServerEntry) -> None:
        known = self.servers.get(entry.server)
        role_before = known.entry.role if known else None
        if known is None:
            known = server.Server(
                entry=entry,
                distance=self.location.distance(entry.zone),
                opener=self.opener,
                connections=self.connections,
            )
            self.servers[entry.server] = known
            events.log(
                events.Event.SERVER_LISTED,
                service=self.name,
                server=entry.server,
                role=entry.role.value,
                leaving=entry.leaving,
                revision=entry.revision,
            )
        elif known.entry.leaving != entry.leaving:
            events.log(
                events.Event.SERVER_LEAVING,
                service=self.name,
                server=entry.server,
                leaving=entry.leaving,
                revision=entry.revision,
            )
        known.entry = entry
        if entry.role is not role_before:
            note = self.leadership.note_not_leading
            if entry.role is promotion.Role.PRIMARY:
                note = self.leadership.note_leading
            note(entry.server, at_s=clock.now_s())

    def _remove(self, known: server.Server, why: str) -> None:
        del self.servers[known.server]
        self.leadership.forget(known.server)
        known.close()
        events.log(events.Event.SERVER_GONE, service=self.name, server=known.server, reason=why)

    def resize(self, connections: int) -> None:
        """Hold up to a number of connections to each server."""
        self.connections = connections
        for known in self.servers.values():
            known.pool.resize(connections)

    def trim(self) -> None:
        """Close connections that are not needed now; others may need them, or a restart."""
        for known in self.servers.values():
            known.pool.trim(idle_s=IDLE_CONNECTION_S)

    def close(self) -> None:
        """Close idle connections."""
        for known in self.servers.values():
            known.close()

    # Leadership

    @property
    def leader(self) -> server.Server | None:
        """The server that leads, as far as is known."""
        found = self.leadership.leader(self.servers)
        return self.servers[found] if found is not None else None

    def _note_change(self) -> None:
        found = self.leadership.leader(self.servers)
        if found != self.known_leader:
            events.log(
                events.Event.LEADER_CHANGED,
                service=self.name,
                server=found,
                before=self.known_leader,
            )
            self.known_leader = found
        self.changed.set()
        self.changed = asyncio.Event()

    def note_leading(
        self, leader: ids.ServerId, *, query_sent_at_s: float, position: positions.Position | None
    ) -> None:
        """Take an answer into account that only the leading primary gives."""
        self.leadership.note_leading(leader, at_s=query_sent_at_s)
        if position is not None:
            self.history.record(
                position_history.PositionSample(query_sent_at_s=query_sent_at_s, position=position)
            )
        if leader != self.known_leader:
            self._note_change()

    def note_not_leading(self, refused_by: ids.ServerId, *, query_sent_at_s: float) -> None:
        """Take a server's refusal to lead into account."""
        self.leadership.note_not_leading(refused_by, at_s=query_sent_at_s)
        self._note_change()

    async def wait_leader(self, deadline_s: float) -> server.Server:
        """Return the leader, or wait for one until a monotonic time; raises NoLeaderError."""
        loop = asyncio.get_running_loop()
        while (found := self.leader) is None:
            changed = self.changed
            try:
                async with asyncio.timeout(deadline_s - loop.time()):
                    await changed.wait()
            except TimeoutError as error:
                raise errors.NoLeaderError(f"no server leads service {self.name}") from error
        return found

    def contact(self, *, stall_s: float) -> suspicion.PrimaryContact | None:
        """Describe this instance's contact with the leader; None without a leader."""
        leader = self.leader
        if leader is None:
            return None
        now_s = clock.now_s()
        others = [
            now_s - known.answered_at_s for known in self.servers.values() if known is not leader
        ]
        return suspicion.PrimaryContact(
            unanswered_s=leader.unanswered_s(now_s),
            failed_probes=leader.failed_probes,
            refused_connections=leader.refused_connections,
            listed=True,
            other_answered_s=min(others, default=float("inf")),
            stall_s=stall_s,
        )

    # Positions

    def refresh_positions(self) -> asyncio.Task[None]:
        """Ask the leader for its position, once for all who want to know."""
        if self.refreshing is None or self.refreshing.done():
            self.refreshing = self.start(self._ask_positions())
        return self.refreshing

    async def _ask_positions(self) -> None:
        leader = self.leader
        if leader is None:
            return
        await self.ask_status(leader)

    async def ask_status(self, asked: server.Server) -> promotion.ServerStatus | None:
        """Ask a server about itself over one of the usual connections; None without an answer."""
        loop = asyncio.get_running_loop()
        use = connection_pool.ConnectionRequest(
            caller="", priority=0, deadline_s=loop.time() + STATUS_TIMEOUT_S
        )
        try:
            link = await asked.pool.acquire(use)
        except backend_errors.BackendError:
            return None
        query_sent_at_s = clock.now_s()
        try:
            status = await link.status(STATUS_TIMEOUT_S)
        except backend_errors.BackendError:
            asked.pool.release(link, clean=not link.broken)
            return None
        except BaseException:
            asked.abandon(link)
            raise
        asked.note_answer()
        asked.pool.release(link, clean=True)
        self._note_status(asked, status, query_sent_at_s)
        return status

    def _note_status(
        self, asked: server.Server, status: promotion.ServerStatus, query_sent_at_s: float
    ) -> None:
        if status.role is promotion.Role.PRIMARY:
            self.note_leading(
                asked.server, query_sent_at_s=query_sent_at_s, position=status.received
            )
        else:
            self.note_not_leading(asked.server, query_sent_at_s=query_sent_at_s)

    async def probe(self, asked: server.Server) -> None:
        """Ask a server that has been silent over a connection of its own."""
        query_sent_at_s = clock.now_s()
        status = await asked.probe(PROBE_TIMEOUT_S)
        if status is not None:
            self._note_status(asked, status, query_sent_at_s)

    async def find_leader(self) -> None:
        """Ask all servers whether they lead, for example because the store's news are missing."""
        await asyncio.gather(*(self.ask_status(known) for known in self.servers.values()))

    # Work in the background

    def start(self, work: collections.abc.Coroutine[None, None, object]) -> asyncio.Task:
        """Run work that nobody waits for."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def roll_back(self, used: server.Server, link: ports.Link, *, sent: bool = False) -> None:
        """End a transaction of a connection and give it back; ``sent`` if only its answer lacks."""
        command = None if sent else requests.Rollback()
        self.start(used.settle(link, command, SETTLE_TIMEOUT_S))
