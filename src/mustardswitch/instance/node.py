"""Connects the parts of one entry instance."""

import asyncio
import random
import time

from mustardswitch import events, metrics, settings, tasks, tls
from mustardswitch.backends import group_gateway, transactions
from mustardswitch.document import sections
from mustardswitch.etcd import failover_leases, instances, store
from mustardswitch.instance import document_keeper, gateway_manager, gossip_service, router
from mustardswitch.internal import (
    failover,
    gossip,
    groups,
    ids,
    membership,
    outcomes,
    positions,
)
from mustardswitch.peers import client, codec, errors, peers_pb2

VIEW_KIND = "group/"
REACH_TIMEOUT_S = 0.12
"""Seconds for a peer to answer whether it reaches a primary."""
RECONCILE_DELAY_S = 0.02
"""Seconds for which changes are collected before the gateways are reconciled."""
JOIN_TIMEOUT_S = 3.0
"""Seconds after which a starting instance stops waiting for an answer of a peer."""
JOIN_CHECK_INTERVAL_S = 0.05
LEAVE_SPREAD_S = 0.3
"""Seconds for the announcement of a drain to spread before new statements are rejected."""
IDLE_CHECK_INTERVAL_S = 0.02
MAX_REPORTED_SILENCE_S = 1e6
"""Seconds reported to peers for a primary that has never answered."""


class Node:
    """One entry instance without its listening sockets."""

    def __init__(self, *, config: settings.Settings, contexts: tls.TlsContexts) -> None:
        self.config = config
        self.registry = metrics.Registry()
        advertised = config.advertise or config.peers
        self.own = membership.Member(
            instance=config.instance_id,
            zone=ids.ZoneName(config.zone),
            region=ids.RegionName(config.region),
            host=advertised.address,
            port=advertised.port,
            state=membership.MemberState.ALIVE,
            leaving=False,
            incarnation=int(time.time() * 1000),
        )
        rng = random.Random(f"{config.instance}{self.own.incarnation}")
        self.links = client.PeerLinks(own=config.instance_id, tls=contexts.peers_client)
        self.peers = gossip_service.GossipService(
            own=self.own,
            links=self.links,
            rng=rng,
            translate=config.translate,
            seeds=_seeds(config),
        )
        store_host, store_port = config.translate(config.store.address, config.store.port)
        self.store = store.Store(host=store_host, port=store_port)
        self.leases = failover_leases.FailoverLeases(client=self.store, instance=config.instance_id)
        self.keeper = document_keeper.DocumentKeeper(
            client=self.store,
            own=self.own,
            spread=self.peers.spread,
            candidates=self.peers.membership.candidates,
            on_document=self._document_changed,
            on_listed=self._listed_changed,
        )
        self.manager = gateway_manager.GatewayManager(
            instance=config.instance_id,
            login=gateway_manager.BackendLogin(
                user=config.backend_user,
                password=config.backend_password,
                translate=config.translate,
                tls=contexts.backends_client,
            ),
            environment=self,
            on_view=self._view_changed,
            registry=self.registry,
        )
        self.router = router.Router(
            own=self.own,
            manager=self.manager,
            peers=self.peers,
            links=self.links,
            rng=rng,
            registry=self.registry,
        )
        self.peers.on_members = self._request_reconcile
        self.peers.handlers = {
            "section": self.keeper.apply_record,
            "listed": self.keeper.apply_record,
            "group": self._apply_view_record,
        }
        self.reconcile_wanted = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.background: set[asyncio.Task[None]] = set()

    # Changes of the document, the instance list and the views

    def _document_changed(self, document: sections.Document) -> None:
        self.router.document_changed(document)
        self._request_reconcile()

    def _listed_changed(self) -> None:
        listed = self.keeper.listed.values()
        leaving = frozenset(ids.InstanceId(item.instance) for item in listed if item.leaving)
        members = [document_keeper.listed_member(item) for item in listed]
        self.peers.membership.add_listed(members, leaving)
        self._request_reconcile()

    def _view_changed(self, view: groups.GroupView) -> None:
        if self.router.adopt_view(view):
            self.peers.spread([_view_record(view)])

    def _apply_view_record(self, record: gossip.Record) -> None:
        database = ids.DatabaseName(record.key.removeprefix(VIEW_KIND))
        view = groups.GroupView(
            database=database,
            term=ids.Term(record.version),
            primary=ids.SlotId(record.payload.decode()),
        )
        self.router.adopt_view(view)
        gateway = self.manager.gateways.get(database)
        if gateway is not None:
            gateway.adopt_view(view)

    def _request_reconcile(self) -> None:
        self.router.members_changed()
        self.reconcile_wanted.set()

    async def _join(self) -> None:
        """Wait until a peer has answered, before this instance becomes a gateway.

        An instance that knows only itself would become the gateway of every slot at once and
        exceed the connections that the document allows.
        """
        ends_s = time.monotonic() + JOIN_TIMEOUT_S
        while time.monotonic() < ends_s:
            alone = self.keeper.has_instance_list and len(self.peers.membership.members) == 1
            if self.peers.exchanges or alone:
                return
            await asyncio.sleep(JOIN_CHECK_INTERVAL_S)

    async def _reconcile(self) -> None:
        """Reconcile the gateways, once for all changes that arrive together."""
        await self._join()
        while True:
            await self.reconcile_wanted.wait()
            await asyncio.sleep(RECONCILE_DELAY_S)
            self.reconcile_wanted.clear()
            await self.manager.reconcile(
                self.keeper.document, self.peers.membership.candidates(), self.router.views
            )

    # Implementation of backends.failover_driver.FailoverEnvironment

    async def primary_reached_by_peers(self, database: ids.DatabaseName, term: ids.Term) -> bool:
        """Ask the other gateways of a group whether one of them reaches the primary."""
        entry = self.keeper.document.databases.get(database)
        if entry is None:
            return False
        others = {
            first
            for slot in entry.slots_by_id
            for first in self.router.gateways_of(entry, slot)[:1]
            if first != self.own.instance
        }
        answers = await asyncio.gather(
            *(self._query_reachability(other, database, term) for other in others)
        )
        return any(answers)

    async def _query_reachability(
        self, instance: ids.InstanceId, database: ids.DatabaseName, term: ids.Term
    ) -> bool:
        member = self.peers.membership.members.get(instance)
        if member is None:
            return False
        request = peers_pb2.ReachabilityRequest(database=database)
        try:
            answer = await self.links.get(self.peers.address_of(member)).reachability(
                request, timeout_s=REACH_TIMEOUT_S
            )
        except errors.PeerError:
            return False
        return answer.reachable and answer.term >= term

    async def claim_lease(self, database: ids.DatabaseName) -> failover.LeaseAnswer:
        """Claim a group's failover lease."""
        return await self.leases.claim(database)

    async def release_lease(self, database: ids.DatabaseName) -> None:
        """Release a group's failover lease."""
        await self.leases.release(database)

    def publish_view(self, view: groups.GroupView) -> None:
        """Send a view to the peers, and to the store if it is reachable."""
        self._view_changed(view)
        task = asyncio.create_task(self.leases.publish(view))
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    # Implementation of peers.server.PeerHandler

    async def execute_for_peer(
        self, request: outcomes.StatementRequest, *, owner: transactions.TransactionOwner
    ) -> outcomes.StatementReply:
        """Run a statement that a peer forwarded."""
        return await self.manager.execute(request, owner=owner)

    async def initial_min_position_for_peer(
        self, database: ids.DatabaseName, *, deadline_s: float
    ) -> positions.Position | None:
        """Query a group for an initial minimum position, on behalf of a peer."""
        gateway = self.manager.gateways.get(database)
        if gateway is None:
            return None
        return await gateway.initial_min_position(deadline_s=time.monotonic() + deadline_s)

    def peer_disconnected(self, owner: transactions.TransactionOwner) -> None:
        """Roll back the open transactions of a peer that disconnected."""
        self.manager.peer_disconnected(owner)

    def answer_gossip(self, message: peers_pb2.GossipMessage) -> peers_pb2.GossipMessage:
        """Merge a peer's gossip and return the answer."""
        return self.peers.answer(message)

    async def answer_reachability(
        self, request: peers_pb2.ReachabilityRequest
    ) -> peers_pb2.ReachabilityReply:
        """Return whether an instance, or a group's primary, is reached from this instance."""
        if request.instance:
            reached = await self.peers.ping(ids.InstanceId(request.instance))
            return peers_pb2.ReachabilityReply(reachable=reached)
        gateway = self.manager.gateways.get(ids.DatabaseName(request.database))
        if gateway is None:
            return peers_pb2.ReachabilityReply(reachable=False)
        return peers_pb2.ReachabilityReply(
            reachable=gateway.reaches_primary,
            term=gateway.tracker.view.term,
            silence_ms=min(gateway.primary_silence_s(), MAX_REPORTED_SILENCE_S) * 1000.0,
        )

    def describe(self) -> peers_pb2.StatusReply:
        """Return the status of this instance and what it knows of others, for operators."""
        return peers_pb2.StatusReply(
            instance=self.own.instance,
            zone=self.own.zone,
            store_reachable=self.keeper.store_reachable,
            draining=self.manager.draining,
            groups=[_group_state(gateway) for gateway in self.manager.gateways.values()],
            members=[
                peers_pb2.MemberState(
                    instance=member.instance,
                    zone=member.zone,
                    state=member.state.name.lower(),
                    leaving=self.peers.membership.is_leaving(member),
                    host=member.host,
                    port=member.port,
                )
                for member in self.peers.membership.members.values()
            ],
            sections=[
                peers_pb2.SectionState(name=stored.name, revision=stored.revision)
                for stored in self.keeper.stored.values()
            ],
            views=[codec.encode_view(view) for view in self.router.views.values()],
        )

    # Start and stop

    def start(self) -> None:
        """Start the tasks of the instance."""
        for name, work in (
            ("gossip", self.peers.run),
            ("document", self.keeper.run),
            ("reconcile", self._reconcile),
        ):
            self.tasks.append(asyncio.create_task(tasks.keep_running(name, work)))

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this instance."""
        return bool(self.keeper.document.databases) and not self.manager.draining

    async def drain(self, *, deadline_s: float) -> None:
        """Announce that this instance leaves, and finish its work in flight.

        Other instances become the gateways of its slots. The wait for statements and transactions
        ends at ``deadline_s``, in seconds of ``time.monotonic()``.
        """
        events.log(events.Event.DRAINING, instance=self.own.instance)
        self.peers.membership.announce_leaving()
        self.peers.push_urgent_records()
        await asyncio.sleep(LEAVE_SPREAD_S)
        self.manager.draining = True
        while not self.manager.is_idle and time.monotonic() < deadline_s:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)

    async def close(self) -> None:
        """Stop the tasks and close every connection."""
        await tasks.cancel_and_wait(self.tasks)
        await self.manager.close()
        await self.links.close()
        self.store.close()


def _seeds(config: settings.Settings) -> list[membership.Member]:
    return [
        document_keeper.listed_member(
            instances.ListedInstance(
                instance=seed.instance,
                zone=seed.zone,
                region=seed.region,
                host=str(seed.host),
                port=seed.port,
            )
        )
        for seed in config.seeds
        if seed.instance != config.instance
    ]


def _view_record(view: groups.GroupView) -> gossip.Record:
    return gossip.Record(
        key=f"{VIEW_KIND}{view.database}",
        version=view.term,
        payload=(view.primary or "").encode(),
    )


def _group_state(gateway: group_gateway.GroupGateway) -> peers_pb2.GroupState:
    now_s = time.monotonic()
    view = gateway.tracker.view
    return peers_pb2.GroupState(
        database=gateway.database,
        term=view.term,
        primary=view.primary or "",
        connections=gateway.connections_held,
        slots=[
            peers_pb2.SlotState(
                slot=slot,
                role=observation.status.role.value,
                promised=observation.status.promised,
                log_end=codec.encode_position(observation.status.log_end),
                applied=codec.encode_position(observation.status.applied),
                heard_ago_ms=(now_s - observation.answered_at_s) * 1000.0,
            )
            for slot, observation in sorted(gateway.tracker.observations.items())
        ],
    )
