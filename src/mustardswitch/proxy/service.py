"""One service: its servers, its leader, and the log positions reported by the leader."""

import asyncio
import collections.abc
import contextlib
import copy
import dataclasses
import time

from mustardswitch import connection_pool, events, metrics
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import (
    clock,
    commit_permission,
    ids,
    leadership,
    members,
    position_history,
    positions,
    promotion,
    suspicion,
    unlisted_servers,
)
from mustardswitch.internal.admission import in_turn
from mustardswitch.internal.placement import read_placement
from mustardswitch.peers import datagrams
from mustardswitch.proxy import (
    acknowledged,
    commit_gate,
    commit_holds,
    errors,
    feature_set,
    former_commits,
    leader_changes,
    placing,
    ports,
    requests,
    server,
    server_pace,
    stalls,
    tenant_pool,
    unlisted,
)

HISTORY_RETENTION_S = 10.0
"""Largest staleness that reads can accept; several times the staleness limits of the users'
routes."""
PROBE_TIMEOUT_S = 0.35
"""Twice the time of a new connection and a query, which take three round trips between regions."""
IDLE_CONNECTION_S = 5.0
"""Time after which an unused connection is closed: weighs the cost of opening another one against a
connection that other instances cannot use while it lingers after a crash."""
STATUS_TIMEOUT_S = 0.4
"""Time for a status query over a pooled connection; ten round trips between regions."""
REMOVAL_MEMORY_S = 60.0
"""Time for which the removal of an entry is remembered."""
LEAVE_UNSEEN_S = 4.0
"""Time after an outage of the store in which entries are removed whose servers may have reported
in it that they leave."""
EXPIRY_SILENCE_S = 2.5
"""Least time from the last write of an entry to its expiry, after three missed heartbeats. An entry
that is removed sooner was removed because its server had left."""
PERMISSION_POLL_S = 0.05
"""Interval at which a commit that waits for current records looks for them."""
FINISH_TIMEOUT_S = 1.0
"""Time for the answer to the last command on a connection before it returns to the pool; without an
answer by then the connection is closed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Location:
    """The availability zone of this instance, and the region of each zone."""

    zone: ids.ZoneName
    regions: collections.abc.Mapping[ids.ZoneName, ids.RegionName]

    def distance(self, zone: ids.ZoneName) -> read_placement.Distance:
        """Return the distance from this instance to a zone.

        A zone without a known region counts as one of another region.
        """
        if zone == self.zone:
            return read_placement.Distance.ZONE
        if zone in self.regions and self.regions[zone] == self.regions.get(self.zone):
            return read_placement.Distance.REGION
        return read_placement.Distance.OTHER_REGION


def _age_s(entry: ports.ServerEntry) -> float | None:
    """Return the seconds since a server started, by the time of day; None if unknown."""
    return round(time.time() - entry.started_ms / 1000, 1) if entry.started_ms else None


class Service:
    """This instance's state of one service, and its connections to the service's servers."""

    def __init__(
        self,
        *,
        name: ids.ServiceName,
        location: Location,
        opener: ports.LinkOpener,
        order_opener: ports.OrderOpener | None = None,
        registry: metrics.Registry,
        features: feature_set.Features = feature_set.NO_FEATURES,
        paces: server_pace.PaceBook | None = None,
        stall_meter: stalls.StallMeter | None = None,
        registrations: commit_holds.SourceList | None = None,
        permission: commit_permission.CommitPermission | None = None,
        permitted: collections.abc.Callable[[], bool] = lambda: True,
        listing_s: float = unlisted_servers.DEFAULT_LISTING_S,
    ) -> None:
        self.paces = paces
        """Limits of servers that have just started; None when the feature is off."""
        self.name = name
        self.location = location
        self.opener = opener
        self.order_opener = order_opener or self._open_for_order
        """Opens connections for orders to stop, with more time for a server that is slow."""
        self.registry = registry
        self.features = features
        self.placing = (
            placing.ServerPlacing(registry=registry, meter=stall_meter) if stall_meter else None
        )
        """Judges the servers; None without the feature ``placement``."""
        self.connections = 1
        self.serves_tenants = False
        """Whether each connection serves one tenant, which the server is told."""
        self.holds_connections = True
        """Whether this instance is a gateway of the service, or all instances hold connections."""
        self.servers: dict[ids.ServerId, server.Server] = {}
        self.unlisted = unlisted.UnlistedServers()
        """Servers without an entry that may hold acknowledged commits."""
        self.covered: set[members.Member] = set()
        """Servers whose processes have ended, and of which another server had all commits."""
        self.former_primary: server.Server | None = None
        """The last server whose entry was removed while it led; None if a primary is listed."""
        self.former_has_left = False
        """Whether that server has left, as it had announced."""
        self.listing_s = listing_s
        """Time from the start of a server until it is listed."""
        self.seen_listed: set[ids.ServerId] = set()
        """Servers of which this instance has seen an entry."""
        self.led_until_s = float("-inf")
        """Until when this instance last knew a leader that it does not know any more."""
        self.server_count = unlisted_servers.ServerCount()
        self.removed_at_s: dict[ids.ServerId, float] = {}
        """When servers were removed from the list lately (``clock.now_s``)."""
        self.requested: ids.ServerId | None = None
        """The server whose promotion is recorded and may take effect; None without one."""
        self.requested_revision: int | None = None
        """The revision of that record; None without one, and if this instance wrote it."""
        self.promotion_summary = ""
        """Why the promotion that this instance requested last was proved; empty without one."""
        self.proved: datagrams.ProvedPromotion | None = None
        """That promotion; None without one."""
        self.hold = commit_holds.CommitHold(
            service=name, registry=registry, registrations=registrations
        )
        self.commits = commit_gate.CommitGate(
            records=self.hold.registrations,
            permission=permission or commit_permission.CommitPermission(),
            permitted=permitted,
        )
        self.acknowledged = acknowledged.AcknowledgedCommits(service=name, registry=registry)
        self.leadership = leadership.Leadership()
        self.history = position_history.PositionHistory(retention_s=HISTORY_RETENTION_S)
        self.changed = asyncio.Event()
        """Set, and then replaced, when the servers or the leader may have changed."""
        self.refreshing: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.leader_changes = leader_changes.LeaderChanges(service=name)

    def __repr__(self) -> str:
        return f"Service(name={self.name!r}, location={self.location!r})"

    def preview(self) -> "Service":
        """Return a copy on which the choice of a server can be tried; nothing may be sent by it."""
        copied = copy.copy(self)
        copied.servers = {name: backend.preview() for name, backend in self.servers.items()}
        copied.placing = self.placing.preview() if self.placing is not None else None
        return copied

    async def _open_for_order(
        self, entry: ports.ServerEntry, on_connected: collections.abc.Callable[[], None]
    ) -> ports.Link:
        link = await self.opener(entry)
        on_connected()
        return link

    # Membership

    def apply(self, entries: collections.abc.Iterable[ports.ServerEntry]) -> None:
        """Update the servers to the platform's list of this service."""
        listed = {entry.server: entry for entry in entries}
        for name in set(self.unlisted) & set(listed):
            del self.unlisted[name]
        for backend in list(self.servers.values()):
            entry = listed.get(backend.server)
            if entry is None:
                self._note_unlisted(backend)
                self._remove(backend, "not listed")
            elif entry.started_ms != backend.entry.started_ms:
                self._remove(backend, "started anew")
        for entry in sorted(listed.values(), key=lambda each: each.revision):
            self._apply_entry(entry)
        self._note_change()

    def _apply_entry(self, entry: ports.ServerEntry) -> None:
        backend = self.servers.get(entry.server)
        role_before = backend.entry.role if backend else None
        self.seen_listed.add(entry.server)
        if backend is None:
            distance = self.location.distance(entry.zone)
            backend = server.Server(
                entry=entry,
                distance=distance,
                opener=self.opener,
                connections=self.connections,
                serves_tenants=self.serves_tenants,
                on_exchange=self._note_exchange,
                pace=self.paces.attach(entry, distance) if self.paces is not None else None,
                features=self.features,
                on_refusal=self._note_refusal,
            )
            backend.pool.reopens_unused = self.holds_connections
            if self.placing is not None:
                self.placing.watch(backend)
            self.servers[entry.server] = backend
            if self.hold.registrations.is_recent(clock.now_s(), EXPIRY_SILENCE_S):
                # It may have been written long before this instance started.
                backend.entry_written_at_s -= EXPIRY_SILENCE_S
            events.log(
                events.Event.SERVER_LISTED,
                service=self.name,
                server=entry.server,
                role=entry.role.value,
                age_s=_age_s(entry),
                revision=entry.revision,
                leaving=entry.leaving,
            )
        elif backend.entry.revision != entry.revision:
            backend.entry_written_at_s = clock.now_s()
        if role_before is not None and backend.entry.leaving != entry.leaving:
            events.log(
                events.Event.SERVER_LEAVING,
                service=self.name,
                server=entry.server,
                leaving=entry.leaving,
                revision=entry.revision,
            )
        backend.entry = entry
        if backend.pace is not None:
            backend.pace.update(entry)
        if entry.role is not role_before:
            note = self.leadership.note_not_leading
            if entry.role is promotion.Role.PRIMARY:
                note = self.leadership.note_leading
            note(entry.server, at_s=clock.now_s())

    def _remove(self, backend: server.Server, why: str) -> None:
        del self.servers[backend.server]
        now_s = clock.now_s()
        self.removed_at_s = {
            name: at_s
            for name, at_s in self.removed_at_s.items()
            if at_s > now_s - REMOVAL_MEMORY_S
        } | {backend.server: now_s}
        self.seen_listed &= self.servers.keys() | self.removed_at_s.keys()
        self.leadership.forget(backend.server)
        self.acknowledged.forget(backend.server)
        if self.placing is not None:
            self.placing.note_removed(backend)
        backend.close()
        events.log(
            events.Event.SERVER_GONE,
            service=self.name,
            server=backend.server,
            reason=why,
            leaving=backend.entry.leaving,
            silent_s=round(clock.now_s() - backend.entry_written_at_s, 3),
        )

    def _note_unlisted(self, backend: server.Server) -> None:
        """Remember a server that may be running although its entry is gone.

        A leaving server confirms commits until it ends; its entry is removed then, or expires
        before that if it loses the store. A former primary that lost the store with its lead is a
        replica, whatever its last entry says.
        """
        silent_s = clock.now_s() - backend.entry_written_at_s
        has_left = backend.entry.leaving and silent_s < EXPIRY_SILENCE_S
        leader = self.leadership.leader(self.servers)
        leads = backend.entry.role is promotion.Role.PRIMARY and leader in (None, backend.server)
        if not has_left and (not leads or self.leadership.has_stopped(backend.server)):
            self.unlisted.add_replica(backend)
        elif leads:
            self.former_primary, self.former_has_left = backend, has_left

    def count_servers(self) -> None:
        """Count the listed servers, and a former primary; must be called after each change."""
        counted = dict(self.servers)
        former = self.former_primary
        if former is not None and self._stayed_until_removed(former.server):
            counted.setdefault(former.server, former)
        leaving = sum(backend.entry.leaving for backend in counted.values())
        self.server_count.note(len(counted) - leaving, clock.now_s(), leaving=leaving)

    def _stayed_until_removed(self, name: ids.ServerId) -> bool:
        """Return whether a removed server would have been seen to leave if it had reported that.

        Not if this instance has never seen it listed, nor right after an outage of the store.
        """
        removed_at_s = self.removed_at_s.get(name, float("-inf"))
        recovered_at_s = self.hold.registrations.recovered_at_s
        return name in self.seen_listed and removed_at_s > recovered_at_s + LEAVE_UNSEEN_S

    def servers_with_commits(self) -> dict[ids.ServerId, server.Server]:
        """Return the servers that a planned change of primary waits for.

        These are the listed ones, and those whose entries were removed a short time ago.
        """
        return self.unlisted.recent() | self.servers

    def possible_holders(self) -> dict[ids.ServerId, server.Server]:
        """Return all servers that may hold acknowledged commits, however long they are silent."""
        return self.unlisted.backends() | self.servers

    def known_servers(self) -> dict[ids.ServerId, server.Server]:
        """Return the listed servers, those without an entry, and the last primary."""
        former = self.former_primary
        led = {former.server: former} if former is not None else {}
        return led | self.possible_holders()

    def is_covered(self, name: ids.ServerId) -> bool:
        """Return whether another server had all that a server held until its process ended."""
        backend = self.known_servers().get(name)
        return backend is not None and unlisted.member_of(backend.entry) in self.covered

    def unlisted_s(self, name: ids.ServerId) -> float:
        """Return the seconds since a server's entry was removed; 0 while it is listed."""
        if name in self.servers:
            return 0.0
        return clock.now_s() - self.removed_at_s.get(name, float("-inf"))

    def resize(self, connections: int, *, holds_connections: bool = True) -> None:
        """Hold up to ``connections`` connections to each server from now on."""
        self.connections = connections
        self.holds_connections = holds_connections
        for backend in self.servers.values():
            backend.pool.resize(connections)
            backend.pool.reopens_unused = holds_connections

    def set_serves_tenants(self, serves_tenants: bool) -> None:
        """Open all connections for tenants from now on, or for none.

        The servers are added anew by the next ``apply``; what runs on them ends as it would.
        """
        if serves_tenants == self.serves_tenants:
            return
        self.serves_tenants = serves_tenants
        for backend in list(self.servers.values()):
            self._remove(backend, "tenants were configured or removed")

    def _note_exchange(self) -> None:
        self.registry.count("connections_exchanged", self.name)

    def _note_refusal(
        self, reason: in_turn.Reason, request: connection_pool.ConnectionRequest
    ) -> None:
        """Count work that a server's pool refused, by reason and by tenant."""
        self.registry.count("admission_refused", reason.value)
        if self.serves_tenants:
            self.registry.count("admission_refused_tenant", request.caller)

    def trim(self) -> None:
        """Close unused connections; other instances may need them, or this one after a restart."""
        for backend in self.servers.values():
            backend.pool.trim(idle_s=IDLE_CONNECTION_S)

    def close(self) -> None:
        """Close the idle connections to all servers and accept no more statements."""
        for backend in self.servers.values():
            backend.close()

    # Leadership

    @property
    def leader(self) -> server.Server | None:
        """The server that leads by the latest evidence; None when none is known."""
        found = self.leadership.leader(self.servers)
        return self.servers[found] if found is not None else None

    def _note_change(self) -> None:
        found = self.leadership.leader(self.servers)
        if found is not None and self.former_primary is not None:
            self._note_replaced(self.former_primary)
        elif found is None and self.leader_changes.logged is not None:
            self.led_until_s = clock.now_s()
        if found != self.leader_changes.logged:
            self.leader_changes.log(found, term=self.acknowledged.latest_term(found))
        self.hold.update(
            requested=self.requested or self.commits.awaited,
            leader=found,
            term=self.acknowledged.latest_term(found),
            revision=self.requested_revision,
        )
        for backend in self.servers.values():
            if backend.pace is not None:
                backend.pace.note_leads(backend.server == found)
        self.changed.set()
        self.changed = asyncio.Event()

    def _note_replaced(self, former: server.Server) -> None:
        """Record that a primary without an entry leads no more; it may go on as a replica."""
        self.former_primary = None
        if former.server not in self.servers and not self.former_has_left:
            self.unlisted.add_replica(former)
        self.count_servers()

    def note_leading(
        self, leader: ids.ServerId, *, query_sent_at_s: float, position: positions.Position | None
    ) -> None:
        """Record an answer that only the leading primary gives.

        ``query_sent_at_s`` is when the query was sent (``clock.now_s``).
        """
        self.leadership.note_leading(leader, at_s=query_sent_at_s)
        if position is not None:
            self.acknowledged.note_shown(leader, position)
            self.history.record(
                position_history.PositionSample(query_sent_at_s=query_sent_at_s, position=position)
            )
        if leader != self.leader_changes.logged:
            self._note_change()
        else:
            self.hold.note_leader(leader, self.acknowledged.latest_term(leader))

    def note_not_leading(self, refused_by: ids.ServerId, *, query_sent_at_s: float) -> None:
        """Record that a server answered that it does not lead."""
        self.leadership.note_not_leading(refused_by, at_s=query_sent_at_s)
        self._note_change()

    def note_recorded_promotion(
        self,
        requested: ids.ServerId | None,
        *,
        revision: int | None = None,
        by: str = commit_holds.RECORDS,
    ) -> None:
        """Record that a server's promotion may take effect, or with None that none can.

        ``by`` is who told of the record, for the log.
        """
        if requested != self.requested:
            self.requested, self.requested_revision = requested, revision
            if requested is not None:
                self.hold.note_source(requested, by)
            self.commits.note_requested(requested, revision=revision)
            self._note_change()

    def note_announced_promotion(
        self, promoted: datagrams.RecordedPromotion, *, by: str | None = None
    ) -> None:
        """Record that an instance has recorded a promotion; ``by`` is the one that told it."""
        before = self.commits.awaited
        self.commits.note_announced(promoted)
        if by is not None:
            self.hold.note_source(promoted.server, by)
        if self.commits.awaited != before:
            self._note_change()

    def note_proved(
        self,
        proved: datagrams.ProvedPromotion,
        *,
        summary: str,
        holder: ids.InstanceId | None = None,
    ) -> None:
        """Keep for the log what proved a promotion; without ``holder``, one of this instance."""
        if holder is None:
            self.proved = proved
        self.leader_changes.note_told(proved.server, holder=holder, summary=summary)
        if proved.end is not None:
            self.acknowledged.note_promoted(proved.server, proved.end, now_s=clock.now_s())

    def note_commit_sent(
        self, server: ids.ServerId, request: ids.RequestId
    ) -> former_commits.SentCommit:
        """Keep for the log that a commit is sent to a server."""
        return self.hold.former_commits.note_sent(
            server,
            request,
            term=self.acknowledged.led_term(server),
            recorded=self.requested or self.commits.awaited,
        )

    def may_acknowledge(
        self,
        commit: commit_gate.CommitUnderWay,
        sent: former_commits.SentCommit,
        position: positions.Position | None,
    ) -> bool:
        """Return whether the caller of a commit that has succeeded may be told so.

        Keeps for the log that it has; ``position`` is that of its answer.
        """
        acknowledged = self.commits.may_acknowledge(commit)
        self.hold.former_commits.note_answered(
            sent,
            position,
            recorded=self.requested or self.commits.awaited,
            acknowledged=acknowledged,
        )
        return acknowledged

    def recorded_promotions(self) -> list[datagrams.RecordedPromotion]:
        """Return the promotions that are known to be recorded and may take effect."""
        found = []
        if self.requested is not None:
            found.append(
                datagrams.RecordedPromotion(
                    service=self.name,
                    server=self.requested,
                    revision=self.requested_revision or self.commits.records.revision,
                )
            )
        if self.commits.awaited is not None:
            found.append(self.commits.announced)
        return found

    def may_commit(self, leader: server.Server) -> bool:
        """Return whether commits may be sent to a leader.

        Not while it is being replaced, nor while this instance could not know of that.
        """
        return self.commits.allows(leader.server)

    async def wait_leader(self, deadline_s: float, *, for_commits: bool = False) -> server.Server:
        """Return the leader, or wait for one until ``deadline_s`` on the event loop's clock.

        With ``for_commits`` a leader that ``may_commit`` excludes is not returned. Raises
        NoLeaderError, at once if this instance hears neither from the store nor from all others.
        """
        loop = asyncio.get_running_loop()
        held = False
        while (found := self.leader) is None or (for_commits and not self.may_commit(found)):
            if for_commits and self.commits.is_cut_off():
                raise errors.NoLeaderError(
                    f"the primary of service {self.name} may have been replaced unnoticed"
                )
            if found is not None and not held:
                held = True
                self.hold.waited += 1
            changed = self.changed
            try:
                async with asyncio.timeout(deadline_s - loop.time()):
                    await self._wait_for(changed, for_commits=for_commits)
            except TimeoutError as error:
                why = "no server leads" if found is None else "the primary is replaced in"
                raise errors.NoLeaderError(f"{why} service {self.name}") from error
        return found

    async def _wait_for(self, changed: asyncio.Event, *, for_commits: bool) -> None:
        """Wait for a change of the servers or the leader, or until commits may be permitted."""
        if not for_commits:
            await changed.wait()
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PERMISSION_POLL_S):
                await changed.wait()

    def contact(self, *, stall_s: float) -> suspicion.PrimaryContact | None:
        """Describe this instance's contact with the leader; None without a leader.

        ``stall_s`` is by how much the instance's own timers were late.
        """
        leader = self.leader
        if leader is None:
            return None
        now_s = clock.now_s()
        others = [
            now_s - backend.answered_at_s
            for backend in self.servers.values()
            if backend is not leader
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
        """Query the leader's position; concurrent callers share one query."""
        if self.refreshing is None or self.refreshing.done():
            self.refreshing = self.start(self._query_positions())
        return self.refreshing

    async def _query_positions(self) -> None:
        leader = self.leader
        if leader is None:
            return
        await self.query_status(leader)

    async def query_status(self, backend: server.Server) -> promotion.ServerStatus | None:
        """Query a server's status over a pooled connection; None without an answer."""
        loop = asyncio.get_running_loop()
        request = connection_pool.ConnectionRequest(
            caller=tenant_pool.ANY_TENANT if self.serves_tenants else "",
            priority=0,
            deadline_s=loop.time() + STATUS_TIMEOUT_S,
        )
        try:
            link = await backend.pool.acquire(request)
        except backend_errors.BackendError:
            return None
        query_sent_at_s = clock.now_s()
        try:
            status = await link.status(STATUS_TIMEOUT_S)
        except backend_errors.BackendError:
            backend.pool.release(link, clean=not link.broken)
            return None
        except BaseException:
            backend.abandon(link)
            raise
        backend.note_answer()
        backend.pool.release(link, clean=True)
        self._note_status(backend, status, query_sent_at_s)
        return status

    def _note_status(
        self, backend: server.Server, status: promotion.ServerStatus, query_sent_at_s: float
    ) -> None:
        self.acknowledged.note_status(backend.server, status)
        if status.leads:
            self.note_leading(
                backend.server, query_sent_at_s=query_sent_at_s, position=status.received
            )
        else:
            self.note_not_leading(backend.server, query_sent_at_s=query_sent_at_s)

    async def probe(self, backend: server.Server) -> None:
        """Query the status of a server that has not answered, over a new connection."""
        query_sent_at_s = clock.now_s()
        status = await backend.probe(PROBE_TIMEOUT_S)
        if status is not None:
            self._note_status(backend, status, query_sent_at_s)

    async def find_leader(self) -> None:
        """Query all servers' status, for example when updates of the store are missing."""
        await asyncio.gather(*(self.query_status(backend) for backend in self.servers.values()))

    # Background tasks

    def start(self, work: collections.abc.Coroutine[None, None, object]) -> asyncio.Task:
        """Run a coroutine in the background; the service keeps its task until it is done."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def roll_back(self, backend: server.Server, link: ports.Link, *, sent: bool = False) -> None:
        """Roll back the transaction of a connection, then release it to the pool.

        ``sent`` means that the rollback was sent already and only its answer is missing.
        """
        command = None if sent else requests.Rollback()
        self.start(backend.finish(link, command, FINISH_TIMEOUT_S))
