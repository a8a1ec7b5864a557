"""Creates and closes the gateways of groups as the document and the membership change."""

import asyncio
import collections
import collections.abc
import dataclasses
import ssl
import time

from mustardswitch import metrics
from mustardswitch.backends import connection, failover_driver, group_gateway, transactions
from mustardswitch.document import models, sections
from mustardswitch.internal import gateways, groups, ids, outcomes

RELEASE_GRACE_S = 5.0
"""Seconds for which a released gateway may finish its statements and transactions."""
RELEASE_CHECK_INTERVAL_S = 0.05
YIELD_EVERY_DATABASES = 50
"""Number of databases after which a reconciliation lets other tasks run."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendLogin:
    """The login at backend servers, and the translation of their addresses."""

    user: str
    password: str
    translate: collections.abc.Callable[[str, int], tuple[str, int]]
    tls: ssl.SSLContext | None = None


class GatewayManager:
    """Owns the gateways of this instance, one for each group."""

    def __init__(
        self,
        *,
        instance: ids.InstanceId,
        login: BackendLogin,
        environment: failover_driver.FailoverEnvironment,
        on_view: collections.abc.Callable[[groups.GroupView], None],
        registry: metrics.Registry,
    ) -> None:
        self.instance = instance
        self.login = login
        self.environment = environment
        self.on_view = on_view
        self.registry = registry
        self.gateways: dict[ids.DatabaseName, group_gateway.GroupGateway] = {}
        self.released: dict[group_gateway.GroupGateway, asyncio.Task[None]] = {}
        """Gateways that finish their statements and transactions, and the tasks that close them."""
        self.draining = False

    async def reconcile(
        self,
        document: sections.Document,
        candidates: collections.abc.Sequence[gateways.Candidate],
        views: collections.abc.Mapping[ids.DatabaseName, groups.GroupView],
    ) -> None:
        """Create, update and close gateways to match the document and the membership."""
        for number, (name, entry) in enumerate(document.databases.items()):
            if number % YIELD_EVERY_DATABASES == YIELD_EVERY_DATABASES - 1:
                await asyncio.sleep(0)
            self._reconcile_one(name, entry, document, candidates, views.get(name))
        for name in set(self.gateways) - set(document.databases):
            self._release(name)

    def _reconcile_one(
        self,
        name: ids.DatabaseName,
        entry: sections.DatabaseEntry,
        document: sections.Document,
        candidates: collections.abc.Sequence[gateways.Candidate],
        view: groups.GroupView | None,
    ) -> None:
        first_gateways = {
            slot: gateways_for(document, entry, slot, candidates)[:1] for slot in entry.slots_by_id
        }
        own_slots = [slot for slot, first in first_gateways.items() if first == [self.instance]]
        if not own_slots:
            self._release(name)
            return
        policy = self._policy(entry, document)
        gateway = self.gateways.get(name)
        if gateway is not None and _needs_rebuild(gateway.policy, policy):
            self._release(name)
            gateway = None
        if gateway is None:
            gateway = self._create(name, policy)
        gateway.policy = policy
        if view is not None:
            gateway.adopt_view(view)
        group_gateways = sorted({first[0] for first in first_gateways.values() if first})
        gateway.set_role(own_slots=own_slots, rank=group_gateways.index(self.instance))

    def _create(
        self, name: ids.DatabaseName, policy: group_gateway.GroupPolicy
    ) -> group_gateway.GroupGateway:
        gateway = group_gateway.GroupGateway(
            database=name,
            policy=policy,
            instance=self.instance,
            environment=self.environment,
            on_view=self.on_view,
            registry=self.registry,
        )
        self.gateways[name] = gateway
        gateway.start()
        return gateway

    def _policy(
        self, entry: sections.DatabaseEntry, document: sections.Document
    ) -> group_gateway.GroupPolicy:
        database, policy = entry.database, entry.policy
        return group_gateway.GroupPolicy(
            endpoints={
                slot: self._endpoint(slot_entry) for slot, slot_entry in entry.slots_by_id.items()
            },
            connections_per_slot=gateways.statement_connections(
                connections=database.connections, slot_count=len(database.slots)
            ),
            leaving=frozenset(
                slot for slot, slot_entry in entry.slots_by_id.items() if slot_entry.leaving
            ),
            preferred=_in_largest_region(entry, document),
            confirm_by_majority=policy.confirmation is models.Confirmation.MAJORITY,
            replica_wait_s=policy.replica_wait_ms / 1000.0,
            suspicion_s=policy.suspicion_ms / 1000.0,
            request_retention_s=policy.request_retention_s,
        )

    def _endpoint(self, slot_entry: models.Slot) -> connection.Endpoint:
        host, port = str(slot_entry.host), slot_entry.port
        via_host, via_port = self.login.translate(host, port)
        translated = (via_host, via_port) != (host, port)
        return connection.Endpoint(
            host=host,
            port=port,
            user=self.login.user,
            password=self.login.password,
            tls=self.login.tls,
            via=connection.TranslatedAddress(host=via_host, port=via_port) if translated else None,
        )

    def _release(self, name: ids.DatabaseName) -> None:
        gateway = self.gateways.pop(name, None)
        if gateway is None:
            return
        task = asyncio.create_task(_close_when_idle(gateway))
        self.released[gateway] = task
        task.add_done_callback(lambda _: self.released.pop(gateway, None))

    def _gateway_of_transaction(
        self, request: outcomes.StatementRequest, owner: transactions.TransactionOwner
    ) -> group_gateway.GroupGateway | None:
        """Return the released gateway at which a transaction is still open; None without one."""
        if request.transaction is None or request.kind is outcomes.StatementKind.BEGIN:
            return None
        for gateway in self.released:
            if gateway.open_transactions.get(request.transaction, owner=owner) is not None:
                return gateway
        return None

    async def execute(
        self, request: outcomes.StatementRequest, *, owner: transactions.TransactionOwner
    ) -> outcomes.StatementReply:
        """Run a statement on a slot that this instance is the gateway of.

        The statements of a transaction run at the gateway that opened it, also after its release.
        """
        gateway = self._gateway_of_transaction(request, owner) or self.gateways.get(
            request.database
        )
        starts_work = request.transaction is None or request.kind is outcomes.StatementKind.BEGIN
        if gateway is None and not starts_work:
            return outcomes.not_run(
                outcomes.Reason.TRANSACTION_LOST,
                f"the transaction was rolled back: instance {self.instance} is no longer a gateway"
                f" of database {request.database}",
            )
        if gateway is None:
            return outcomes.not_run(
                outcomes.Reason.UNREACHABLE,
                f"instance {self.instance} is not a gateway of database {request.database}",
            )
        if self.draining and starts_work:
            return outcomes.not_run(
                outcomes.Reason.LEAVING, f"instance {self.instance} is draining"
            )
        return await gateway.execute(request, owner=owner)

    def peer_disconnected(self, owner: transactions.TransactionOwner) -> None:
        """Roll back the open transactions of an owner that disconnected."""
        owner.disconnected = True
        for gateway in self._all_gateways():
            gateway.roll_back_owner(owner)

    @property
    def is_idle(self) -> bool:
        """Whether no gateway has a statement in flight or an open transaction."""
        return all(gateway.is_idle for gateway in self._all_gateways())

    def _all_gateways(self) -> list[group_gateway.GroupGateway]:
        return [*self.gateways.values(), *self.released]

    async def close(self) -> None:
        """Close every gateway."""
        for name in list(self.gateways):
            await self.gateways.pop(name).close()
        for gateway, task in list(self.released.items()):
            task.cancel()
            await gateway.close()


def gateways_for(
    document: sections.Document,
    entry: sections.DatabaseEntry,
    slot: ids.SlotId,
    candidates: collections.abc.Sequence[gateways.Candidate],
) -> list[ids.InstanceId]:
    """Return the instances that may be the gateway of a slot, in order of preference."""
    zone = ids.ZoneName(entry.slots_by_id[slot].zone)
    return gateways.gateways_of_slot(
        candidates,
        slot=slot,
        zone=zone,
        region=document.region_by_zone.get(zone, ids.RegionName("")),
    )


def _in_largest_region(
    entry: sections.DatabaseEntry, document: sections.Document
) -> frozenset[ids.SlotId]:
    """Return the slots in the region that holds most slots of the group."""
    by_region = collections.defaultdict(set)
    for slot, slot_entry in entry.slots_by_id.items():
        region = document.region_by_zone.get(ids.ZoneName(slot_entry.zone), ids.RegionName(""))
        by_region[region].add(slot)
    largest = max(sorted(by_region), key=lambda region: len(by_region[region]))
    return frozenset(by_region[largest])


def _needs_rebuild(known: group_gateway.GroupPolicy, wanted: group_gateway.GroupPolicy) -> bool:
    return (
        known.endpoints != wanted.endpoints
        or known.connections_per_slot != wanted.connections_per_slot
    )


async def _close_when_idle(gateway: group_gateway.GroupGateway) -> None:
    ends_s = time.monotonic() + RELEASE_GRACE_S
    while not gateway.is_idle and time.monotonic() < ends_s:
        await asyncio.sleep(RELEASE_CHECK_INTERVAL_S)
    await gateway.close()
