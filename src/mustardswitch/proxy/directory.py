"""An instance's view of the fleet: configuration, servers, instances, votes and claims."""

import collections
import collections.abc
import copy
import dataclasses

from mustardswitch import events, metrics
from mustardswitch.internal import (
    clock,
    commit_permission,
    ids,
    leave_notices,
    registration_list,
    unlisted_servers,
)
from mustardswitch.internal.admission import connection_shares
from mustardswitch.peers import datagrams
from mustardswitch.proxy import (
    feature_set,
    forwarded,
    gateway_plans,
    member_records,
    placements,
    ports,
    route_versions,
    routes,
    server_list,
    server_pace,
    service,
    stalls,
    tenant_limits,
)

PEER_VOTE_TTL_S = 1.0
"""Time after which a vote received from a peer expires unless it is repeated, three times within
this time (``failover_watch.VOTE_REPEAT_S``), since datagrams may be lost."""
REFRESH_S = 2.0
"""Interval at which connection shares are recomputed from the number of instances when nothing
else changes."""
DEFAULT_TRANSACTION_IDLE_S = 3.0
"""Longest time a transaction may stay idle, until a configuration is known."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Vote:
    """One instance's vote to replace a primary that it cannot reach."""

    service: ids.ServiceName
    server: ids.ServerId
    instance: ids.InstanceId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Peer:
    """Another instance, as it registered itself."""

    zone: ids.ZoneName
    address: datagrams.PeerAddress | None = None


class Directory(gateway_plans.GatewayPlans):
    """Holds the latest state received, and derives the services and routes from it."""

    def __init__(
        self,
        *,
        instance: ids.InstanceId,
        location: server_list.Location,
        opener: ports.LinkOpener,
        order_opener: ports.OrderOpener | None = None,
        registry: metrics.Registry,
        forwarder: forwarded.Forwarder | None = None,
        features: feature_set.Features = feature_set.NO_FEATURES,
        listing_s: float = unlisted_servers.DEFAULT_LISTING_S,
        drain: leave_notices.DrainSettings | None = None,
    ) -> None:
        self.features = features
        self.listing_s = listing_s
        """Time from the start of a server until it is listed."""
        self.drain = drain or leave_notices.DrainSettings()
        self.paces = server_pace.PaceBook(registry=registry) if features.pace else None
        self.forwarder = forwarder
        self.stall_meter = stalls.StallMeter() if features.placement else None
        """Measures the stalls of this instance for the feature ``placement``."""
        if forwarder is not None and self.stall_meter is not None:
            forwarder.place_by_answers(registry, self.stall_meter)
        self.plans = {}
        self.instance = instance
        self.location = location
        self.opener = opener
        self.order_opener = order_opener
        self.registry = registry
        self.configuration = None
        self.learned = route_versions.LearnedRoutings()
        """What other instances know of newer versions than ``configuration``."""
        self.on_behind: collections.abc.Callable[[], None] = lambda: None
        """Called when another instance has run or sent a statement by a newer version."""
        self.servers: registration_list.RegistrationList[ids.ServerId, ports.ServerEntry] = (
            registration_list.RegistrationList()
        )
        self.instances = registration_list.RegistrationList[ids.InstanceId, Peer]()
        self.shares = connection_shares.ConnectionShares(started_s=clock.now_s())
        self.refreshed_s = clock.now_s()
        self.votes: set[Vote] = set()
        self.peer_votes: dict[Vote, float] = {}
        """Votes received directly from the voters, and when (``clock.now_s``)."""
        self.claims: dict[ids.ServiceName, ids.InstanceId] = {}
        """Instances that are changing the primary of a service."""
        self.claim_eras: dict[int, int] = {}
        """Eras of the store in which services may be claimed; the revisions of their records."""
        self.unfinished: dict[ids.ServiceName, ports.UnfinishedChange] = {}
        """States in which unfinished changes of primary left their services, whose replicas may
        still be paused."""
        self.promotions: dict[ids.ServiceName, ids.ServerId] = {}
        """Servers whose promotion was recorded before it was requested, and may take effect."""
        self.announced: dict[ids.ServiceName, datagrams.RecordedPromotion] = {}
        """Promotions that other instances have announced last."""
        self.members = member_records.MemberBook()
        """Servers that count by the records, which this instance may have never seen listed."""
        self.permission = commit_permission.CommitPermission()
        """Whether this instance would know of a recorded promotion."""
        self.services: dict[ids.ServiceName, service.Service] = {}
        self.reported_tenants: set[ids.TenantName] = set()
        """Tenants whose connections the gauge shows."""
        self.limits = tenant_limits.TenantLimits(directory=self)

    def __repr__(self) -> str:
        return f"Directory(instance={self.instance!r}, location={self.location!r})"

    @property
    def transaction_idle_s(self) -> float:
        """How long a transaction may stay idle."""
        if self.configuration is None:
            return DEFAULT_TRANSACTION_IDLE_S
        return self.configuration.transaction_idle_s

    def route(self, database: ids.DatabaseName) -> routes.Route | None:
        """Return the route of a database by the newest version that is known, or None."""
        if self.configuration is None:
            return None
        return self.learned.route(self.configuration, database)

    def routing(self, database: ids.DatabaseName) -> route_versions.Routing | None:
        """Return the newest routing of a database; None without a route."""
        if self.configuration is None:
            return None
        return self.learned.routing(self.configuration, database)

    def learn_routing(self, database: ids.DatabaseName, told: route_versions.Routing) -> None:
        """Follow what another instance knows of a database's routing, if that is newer."""
        if self.configuration is None or not self.learned.learn(self.configuration, database, told):
            return
        events.log(
            events.Event.ROUTING_LEARNED,
            database=database,
            version=told.version,
            service=told.service,
            applied_version=self.configuration.version,
        )
        self.registry.count("routings_learned")
        self.on_behind()

    @property
    def is_behind(self) -> bool:
        """Whether another instance has told of a newer version than the configuration."""
        newest = self.learned.newest_version
        return newest is not None and newest > self.configuration.version

    def place(self, database: ids.DatabaseName) -> placements.Placement | None:
        """Return where the statements of a database run now; None without a route or service."""
        route = self.route(database)
        if route is None:
            return None
        found = self.service(route.service)
        if found is not None:
            return placements.Placement(route=route, service=found)
        # Another instance told of a service that is newer than the records here.
        configured = self.service(self.configuration.routes[database].service)
        if configured is None:
            return None
        return placements.Placement(route=route, service=configured, only_forwards=True)

    def identify(self, key: ids.CallerKey, route: routes.Route) -> ids.TenantName:
        """Return the tenant of a caller on a route; raises UnknownKeyError."""
        if self.configuration is None:
            return routes.NO_TENANT
        return self.configuration.identify(key, route)

    def serves_tenant(self, tenant: ids.TenantName, route: routes.Route) -> bool:
        """Return whether a forwarded statement of a tenant may run on a route."""
        return self.configuration is not None and self.configuration.serves_tenant(tenant, route)

    def service(self, name: ids.ServiceName) -> service.Service | None:
        """Return a service, or None when no server of it is known."""
        return self.services.get(name)

    def note_recorded_promotion(
        self,
        name: ids.ServiceName,
        promoted: ids.ServerId | None,
        *,
        revision: int | None = None,
    ) -> None:
        """Record that a server's promotion may take effect, or with None that none can.

        ``revision`` is that of the record, for the log.
        """
        if promoted is None:
            self.promotions.pop(name, None)
        else:
            self.promotions[name] = promoted
        target = self.services.get(name)
        if target is not None:
            target.note_recorded_promotion(promoted, revision=revision)

    def note_announced_promotion(
        self, promoted: datagrams.RecordedPromotion, *, by: str | None = None
    ) -> None:
        """Record that another instance has recorded a promotion, also of an unknown service.

        ``by`` is the instance that told it, for the log.
        """
        known = self.announced.get(promoted.service)
        if known is None or promoted.revision >= known.revision:
            self.announced[promoted.service] = promoted
        target = self.services.get(promoted.service)
        if target is not None:
            target.note_announced_promotion(promoted, by=by)

    def configure(self, configuration: routes.Configuration) -> None:
        """Apply a configuration unless the same or a newer version is in force."""
        previous = self.configuration.version if self.configuration is not None else None
        if previous is not None and configuration.version <= previous:
            if configuration.version < previous:
                events.log(
                    events.Event.CONFIGURATION_SKIPPED,
                    version=configuration.version,
                    applied_version=previous,
                )
            return
        self.configuration = configuration
        self.learned.note_configured(configuration.version)
        events.log(
            events.Event.CONFIGURATION_APPLIED,
            version=configuration.version,
            before=previous,
            databases=len(configuration.routes),
        )
        self.refresh()

    def expire(self) -> None:
        """Remove entries that were not listed again after an outage of the store.

        Also calls ``refresh`` when the last one is more than ``REFRESH_S`` ago. Must be called at
        short intervals.
        """
        now_s = clock.now_s()
        dropped = self.servers.expire(now_s) | self.instances.expire(now_s)
        if dropped or now_s - self.refreshed_s > REFRESH_S:
            self.refresh()

    def refresh(self) -> None:
        """Update the services to the listed servers, their limits and the number of instances."""
        self.refreshed_s = clock.now_s()
        self.shares.note_instances(self.instance_count, now_s=clock.now_s())
        by_service: dict[ids.ServiceName, list[ports.ServerEntry]] = {}
        for entry in self.servers.entries.values():
            by_service.setdefault(entry.service, []).append(entry)
        names = set(by_service) | set(self.services)
        self._plan(names)
        for name in names:
            target = self.services.get(name)
            if target is None:
                target = service.Service(
                    name=name,
                    location=self.location,
                    opener=self.opener,
                    order_opener=self.order_opener,
                    registry=self.registry,
                    features=self.features,
                    paces=self.paces,
                    stall_meter=self.stall_meter,
                    registrations=self.servers,
                    permission=self.permission,
                    permitted=self.may_send_commits,
                    listing_s=self.listing_s,
                    drain=self.drain,
                )
                self.services[name] = target
                target.note_recorded_promotion(self.promotions.get(name))
                if name in self.announced:
                    target.note_announced_promotion(self.announced[name])
            target.set_serves_tenants(self.has_tenants)
            if self.paces is not None:
                self.paces.sharers[name] = self.connected_instance_count(name)
            share, holds = self._share(name), self._holds_connections(name)
            if (target.connections, target.holds_connections) != (share, holds):
                target.resize(share, holds_connections=holds)
            target.apply(by_service.get(name, ()))
            self.members.seed(target)
            target.trim()
        if self.has_tenants:
            self._report_connections()

    def _report_connections(self) -> None:
        """Set the gauge of the connections that this instance holds for each tenant."""
        held = collections.Counter(
            link.tenant
            for target in self.services.values()
            for backend in target.servers.values()
            for link in backend.links
            if not link.broken
        )
        for tenant in self.reported_tenants - held.keys():
            self.registry.set_gauge("tenant_connections", 0, tenant)
        for tenant, count in held.items():
            self.registry.set_gauge("tenant_connections", count, tenant)
        self.reported_tenants = set(held)

    def preview(self) -> "Directory":
        """Return a copy whose ``gateways_for`` decides as this one's would now, without a trace."""
        copied = copy.copy(self)
        copied.forwarder = self.forwarder.preview() if self.forwarder is not None else None
        copied.learned = self.learned.preview()
        return copied

    def voters(
        self, name: ids.ServiceName, server: ids.ServerId
    ) -> collections.abc.Set[ids.InstanceId]:
        """Return the instances whose votes to replace a primary are in force."""
        oldest_s = clock.now_s() - PEER_VOTE_TTL_S
        for vote in [vote for vote, at_s in self.peer_votes.items() if at_s < oldest_s]:
            del self.peer_votes[vote]
        return {
            vote.instance
            for vote in (*self.votes, *self.peer_votes)
            if vote.service == name and vote.server == server
        }

    def may_send_commits(self) -> bool:
        """Return whether this instance would know of a promotion that is recorded."""
        return self.permission.allows(
            clock.now_s(),
            registered=self.instances.is_listed(self.instance),
            others=(each for each in self.instances.entries if each != self.instance),
        )

    def other_instances(self) -> list[ids.InstanceId]:
        """Return the other instances that are registered."""
        return [each for each in self.instances.entries if each != self.instance]

    def peer_addresses(self) -> list[datagrams.PeerAddress]:
        """Return the addresses at which the other instances receive datagrams."""
        return [
            peer.address
            for instance, peer in self.instances.entries.items()
            if peer.address is not None and instance != self.instance
        ]

    def receive_update(self, update: datagrams.PeerUpdate) -> None:
        """Apply an update from another instance: its votes, and a new primary, which is queried."""
        for each in update.suspected_primaries:
            vote = Vote(service=each.service, server=each.server, instance=update.instance)
            self.peer_votes[vote] = clock.now_s()
        if update.proved is not None and update.proved.service in self.services:
            self.services[update.proved.service].note_proved(
                update.proved, summary=update.summary, holder=update.instance
            )
        if update.new_primary is None:
            return
        events.log(
            events.Event.PROMOTION_TOLD,
            summary=update.summary,
            service=update.new_primary.service,
            server=update.new_primary.server,
            instance=update.instance,
        )
        target = self.services.get(update.new_primary.service)
        if target is not None:
            target.leader_changes.note_told(
                update.new_primary.server, holder=update.instance, summary=update.summary
            )
        primary = target.servers.get(update.new_primary.server) if target is not None else None
        if primary is not None and target.leader is not primary:
            target.start(target.query_status(primary))
