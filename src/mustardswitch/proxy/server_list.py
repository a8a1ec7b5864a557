"""The servers of one service, as an instance knows them: listed, without an entry, and replaced."""

import collections.abc
import dataclasses
import time

from mustardswitch import connection_pool, events, metrics
from mustardswitch.internal import (
    clock,
    commit_permission,
    ids,
    leadership,
    leave_notices,
    members,
    positions,
    promotion,
    unlisted_servers,
)
from mustardswitch.internal.admission import in_turn
from mustardswitch.internal.placement import read_placement
from mustardswitch.proxy import (
    acknowledged,
    commit_holds,
    feature_set,
    placing,
    ports,
    server,
    server_pace,
    stalls,
    unlisted,
)

IDLE_CONNECTION_S = 5.0
"""Time after which an unused connection is closed: weighs the cost of opening another one against a
connection that other instances cannot use while it lingers after a crash."""
REMOVAL_MEMORY_S = 60.0
"""Time for which the removal of an entry is remembered."""
LEAVE_UNSEEN_S = 4.0
"""Time after an outage of the store in which entries are removed whose servers may have reported
in it that they leave."""
EXPIRY_SILENCE_S = 2.5
"""Least time from the last write of an entry to its expiry, after three missed heartbeats, unless
the heartbeats are shorter than usual."""
EXPIRY_HEARTBEATS = 2.0
"""Heartbeat intervals that are shorter than the silence after which an entry expires."""


MAX_FORGOTTEN = 16
"""Forgotten servers that are told to the other instances."""


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


def _notice_age_s(notice: leave_notices.LeaveNotice | None) -> float | None:
    """Return the most seconds since a server has announced that it leaves; None if unknown."""
    if notice is None or notice.not_before_s == float("-inf"):
        return None
    return round(notice.read_at_s - notice.not_before_s, 3)


class ServerList:
    """The servers of one service, and this instance's connections to them."""

    def __init__(
        self,
        *,
        name: ids.ServiceName,
        location: Location,
        opener: ports.LinkOpener,
        registry: metrics.Registry,
        features: feature_set.Features,
        paces: server_pace.PaceBook | None,
        stall_meter: stalls.StallMeter | None,
        registrations: commit_holds.SourceList | None,
        listing_s: float,
        permission: commit_permission.CommitPermission,
        drain: leave_notices.DrainSettings | None,
    ) -> None:
        self.paces = paces
        """Limits of servers that have just started; None when the feature is off."""
        self.name = name
        self.location = location
        self.opener = opener
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
        self.covered = unlisted.CoveredServers()
        """Servers whose processes have ended, and of which another server had all commits."""
        self.former_primary: server.Server | None = None
        """The last server whose entry was removed while it led; None if a primary is listed."""
        self.former_has_left = False
        """Whether that server has left, as it had announced."""
        self.listing_s = listing_s
        """Time from the start of a server until it is listed."""
        self.seen_listed: set[ids.ServerId] = set()
        """Servers of which this instance has seen an entry."""
        self.server_count = unlisted_servers.ServerCount()
        self.removed_at_s: dict[ids.ServerId, float] = {}
        """When servers were removed from the list lately (``clock.now_s``)."""
        self.hold = commit_holds.CommitHold(
            service=name, registry=registry, registrations=registrations
        )
        self.acknowledged = acknowledged.AcknowledgedCommits(service=name, registry=registry)
        self.leadership = leadership.Leadership()
        self.permission = permission
        """As of when the records are that this instance has applied."""
        self.leave_notices = leave_notices.LeaveNotices(drain=drain)
        """Which servers have announced that they leave, and until when they get new work."""
        self.forgotten: dict[members.Member, None] = {}
        """Covered servers that were forgotten here, the latest ones."""

    def _note_change(self) -> None:
        """Act on a change of the servers or of the leader."""
        raise NotImplementedError

    def apply(self, entries: collections.abc.Iterable[ports.ServerEntry]) -> None:
        """Update the servers to the platform's list of this service."""
        listed = {entry.server: entry for entry in entries}
        for name in set(self.unlisted) & set(listed):
            del self.unlisted[name]
        leader = self.leadership.leader(self.servers)
        for backend in list(self.servers.values()):
            entry = listed.get(backend.server)
            if entry is None:
                self._note_unlisted(backend, leader=leader)
                self._remove(backend, "not listed")
            elif entry.started_ms != backend.entry.started_ms:
                self._remove(backend, "started anew")
        for entry in sorted(listed.values(), key=lambda each: each.revision):
            self._apply_entry(entry)
        self.leave_notices.forget_old(clock.now_s())
        self._note_change()

    def _apply_entry(self, entry: ports.ServerEntry) -> None:
        backend = self.servers.get(entry.server)
        role_before = backend.entry.role if backend else None
        notice = self.leave_notices.note_entry(
            unlisted.member_of(entry),
            leaving=entry.leaving,
            listed_before=backend is not None and not backend.entry.leaving,
            as_of_s=self.permission.as_of_s,
            now_s=clock.now_s(),
            is_sound=entry.server not in self.hold.registrations.overwritten,
        )
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
                announced_s=_notice_age_s(notice),
            )
        elif backend.entry.revision != entry.revision:
            backend.entry_written_at_s = self._written_since_s()
        if role_before is not None and backend.entry.leaving != entry.leaving:
            events.log(
                events.Event.SERVER_LEAVING,
                service=self.name,
                server=entry.server,
                leaving=entry.leaving,
                revision=entry.revision,
                announced_s=_notice_age_s(notice),
            )
        backend.entry = entry
        if backend.pace is not None:
            backend.pace.update(entry)
        if entry.role is not role_before:
            note = self.leadership.note_not_leading
            if entry.role is promotion.Role.PRIMARY:
                note = self.leadership.note_leading
            note(entry.server, at_s=clock.now_s())

    def accepts_new_work(self, backend: server.Server) -> bool:
        """Return whether a single statement, or a transaction's first one, may be sent now."""
        return clock.now_s() < self.work_ends_s(backend)

    def work_ends_s(self, backend: server.Server) -> float:
        """Return the time from which a server gets no new work; infinite if none is known."""
        return self.leave_notices.work_ends_s(unlisted.member_of(backend.entry))

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

    def _note_unlisted(self, backend: server.Server, *, leader: ids.ServerId | None) -> None:
        """Remember a server that may be running although its entry is gone.

        A leaving server confirms commits until it ends; its entry is removed then, or expires
        before that if it loses the store. A former primary that lost the store with its lead is a
        replica, whatever its last entry says.
        """
        # An entry that is removed before it can have expired is that of a server that has left.
        silent_s = clock.now_s() - backend.entry_written_at_s
        has_left = backend.entry.leaving and silent_s < self._least_expiry_s()
        leads = backend.entry.role is promotion.Role.PRIMARY and leader in (None, backend.server)
        if not has_left and (not leads or self.leadership.has_stopped(backend.server)):
            self.unlisted.add_replica(backend)
        elif leads:
            self.former_primary, self.former_has_left = backend, has_left

    def _written_since_s(self) -> float:
        """Return a time before which the change of an entry that is read now was not written."""
        known = (self.hold.registrations.confirmed_at_s, self.permission.as_of_s)
        return min([clock.now_s(), *(each for each in known if each > float("-inf"))])

    def _least_expiry_s(self) -> float:
        heartbeat_s = self.listing_s / unlisted_servers.HEARTBEATS
        return min(EXPIRY_SILENCE_S, EXPIRY_HEARTBEATS * heartbeat_s)

    def _note_replaced(self, former: server.Server) -> None:
        """Record that a primary without an entry leads no more; it may go on as a replica."""
        self.former_primary = None
        if former.server not in self.servers and not self.former_has_left:
            self.unlisted.add_replica(former)
        self.count_servers()

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

    def covered_end(self, name: ids.ServerId) -> positions.Position | None:
        """Return the position at or below which a server that has ended held all; None if not."""
        backend = self.known_servers().get(name)
        return None if backend is None else self.covered.ends.get(unlisted.member_of(backend.entry))

    def forget_covered(self, name: ids.ServerId) -> None:
        """Forget a server without an entry that holds nothing alone and was replaced."""
        known = self.unlisted.pop(name)
        self.forgotten[unlisted.member_of(known.backend.entry)] = None
        while len(self.forgotten) > MAX_FORGOTTEN:
            del self.forgotten[next(iter(self.forgotten))]

    def note_running(self, backend: server.Server) -> None:
        """Record that a server, or an unlisted one in its place, has answered."""
        self.unlisted.note_running(backend.server)
        self.covered.note_running(unlisted.member_of(backend.entry))

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
        leader = self.leadership.leader(self.servers)
        for backend in list(self.servers.values()):
            # Its entry may be removed by the same change of the records.
            self._note_unlisted(backend, leader=leader)
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
