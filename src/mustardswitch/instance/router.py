"""Routes the statements of sessions to slots, and retries them within their deadlines."""

import asyncio
import collections
import collections.abc
import dataclasses
import random
import time

from mustardswitch import metrics, tracing
from mustardswitch.backends import transactions
from mustardswitch.document import models, sections
from mustardswitch.instance import gateway_manager, gossip_service
from mustardswitch.internal import (
    groups,
    ids,
    membership,
    outcomes,
    positions,
    recent_failures,
    retries,
    routing,
)
from mustardswitch.peers import client, errors

AVOIDANCE_S = 1.0
"""Seconds for which a slot or an instance that failed is tried last."""
MAX_GATEWAYS_TRIED = 2
"""Number of gateways of a slot that one attempt tries."""
MIN_POSITION_RETRY_S = 0.1
"""Seconds between rounds of queries for an initial minimum position."""

_RETRIED_REASONS = frozenset(
    {
        outcomes.Reason.BEHIND,
        outcomes.Reason.NOT_PRIMARY,
        outcomes.Reason.UNREACHABLE,
        outcomes.Reason.DISCONNECTED,
        outcomes.Reason.LEAVING,
        outcomes.Reason.UNCONFIRMED,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutedStatement:
    """A statement as a session sends it; the deadline is in seconds of ``time.monotonic()``."""

    database: ids.DatabaseName
    sql: str
    kind: outcomes.StatementKind
    deadline_s: float
    min_position: positions.Position | None = None
    max_age_s: float | None = None
    request_id: ids.RequestId | None = None
    transaction: ids.TransactionId | None = None
    caller: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TransactionGateway:
    """The gateway that runs a transaction: instance, generation of the link to it, and slot."""

    instance: ids.InstanceId
    generation: int
    slot: ids.SlotId


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BeginReply:
    """The reply to BEGIN, and the gateway that runs the transaction."""

    reply: outcomes.StatementReply
    gateway: TransactionGateway | None


class Router:
    """Chooses slots and gateways, forwards statements and retries those that were not run."""

    def __init__(
        self,
        *,
        own: membership.Member,
        manager: gateway_manager.GatewayManager,
        peers: gossip_service.GossipService,
        links: client.PeerLinks,
        rng: random.Random,
        registry: metrics.Registry,
    ) -> None:
        self.own = own
        self.manager = manager
        self.peers = peers
        self.links = links
        self.rng = rng
        self.registry = registry
        self.document = sections.Document(sections={})
        self.locations: dict[ids.DatabaseName, list[routing.SlotLocation]] = {}
        self.ranked_gateways: dict[ids.SlotId, list[ids.InstanceId]] = {}
        self.views: dict[ids.DatabaseName, groups.GroupView] = {}
        self.view_changed: collections.defaultdict[ids.DatabaseName, asyncio.Event] = (
            collections.defaultdict(asyncio.Event)
        )
        self.avoided_instances: recent_failures.RecentFailures[ids.InstanceId] = (
            recent_failures.RecentFailures(duration_s=AVOIDANCE_S)
        )
        self.avoided_slots: recent_failures.RecentFailures[ids.SlotId] = (
            recent_failures.RecentFailures(duration_s=AVOIDANCE_S)
        )
        self.budget = retries.RetryBudget()
        self.min_position_queries: dict[ids.DatabaseName, _MinPositionQuery] = {}

    def adopt_view(self, view: groups.GroupView | None) -> bool:
        """Adopt a view if its term is higher than the known one; return whether it was adopted."""
        if view is None or view.primary is None:
            return False
        known = self.views.get(view.database)
        if known is not None and known.term >= view.term:
            return False
        self.views[view.database] = view
        self.view_changed.pop(view.database, asyncio.Event()).set()
        return True

    def document_changed(self, document: sections.Document) -> None:
        """Adopt the document in force."""
        self.document = document
        self.locations.clear()
        self.ranked_gateways.clear()

    def members_changed(self) -> None:
        """Discard the cached gateways, which depend on the members."""
        self.ranked_gateways.clear()

    def locations_of(self, entry: sections.DatabaseEntry) -> list[routing.SlotLocation]:
        """Return the locations of a database's slots."""
        name = ids.DatabaseName(entry.database.name)
        known = self.locations.get(name)
        if known is None:
            known = self.locations[name] = self._find_locations(entry)
        return known

    def _find_locations(self, entry: sections.DatabaseEntry) -> list[routing.SlotLocation]:
        regions = self.document.region_by_zone
        return [
            routing.SlotLocation(
                slot=slot,
                zone=ids.ZoneName(location.zone),
                region=regions.get(ids.ZoneName(location.zone), ids.RegionName("")),
                leaving=location.leaving,
            )
            for slot, location in entry.slots_by_id.items()
        ]

    async def execute(self, statement: RoutedStatement) -> outcomes.StatementReply:
        """Run a statement outside a transaction."""
        entry = self.document.databases.get(statement.database)
        if entry is None:
            return _unknown_database(statement.database)
        attempts = _StatementAttempts(router=self, statement=statement, entry=entry)
        return await attempts.run()

    async def begin(self, statement: RoutedStatement) -> BeginReply:
        """Open a transaction, and return the gateway that runs it with the reply."""
        entry = self.document.databases.get(statement.database)
        if entry is None:
            return BeginReply(reply=_unknown_database(statement.database), gateway=None)
        attempts = _StatementAttempts(router=self, statement=statement, entry=entry)
        reply = await attempts.run()
        return BeginReply(reply=reply, gateway=attempts.answered_by)

    async def execute_in_transaction(
        self, gateway: TransactionGateway, statement: RoutedStatement
    ) -> outcomes.StatementReply:
        """Run a statement of an open transaction at the transaction's gateway, without retries."""
        request = self.request(statement, gateway.slot)
        if gateway.instance == self.own.instance:
            return await self.manager.execute(request, owner=transactions.LOCAL_OWNER)
        member = self.peers.membership.members.get(gateway.instance)
        if member is None:
            return _transaction_lost("its gateway is no longer a member")
        link = self.links.get(self.peers.address_of(member))
        if link.generation != gateway.generation or link.task is None or link.task.done():
            return _transaction_lost("the connection to its gateway broke")
        try:
            return await link.execute(request)
        except errors.PeerBrokenError as error:
            if statement.kind is outcomes.StatementKind.COMMIT:
                return outcomes.unknown(outcomes.Reason.DISCONNECTED, str(error))
            return _transaction_lost(str(error))
        except errors.PeerError as error:
            return _transaction_lost(str(error))

    def request(self, statement: RoutedStatement, slot: ids.SlotId) -> outcomes.StatementRequest:
        """Build the request for a statement to one slot."""
        return outcomes.StatementRequest(
            database=statement.database,
            slot=slot,
            sql=statement.sql,
            kind=statement.kind,
            deadline_s=max(0.001, statement.deadline_s - time.monotonic()),
            min_position=statement.min_position,
            max_age_s=statement.max_age_s,
            request_id=statement.request_id,
            transaction=statement.transaction,
            stale_listing=statement.max_age_s is not None,
            caller=statement.caller,
            traceparent=tracing.TRACER.traceparent(),
        )

    def gateways_of(self, entry: sections.DatabaseEntry, slot: ids.SlotId) -> list[ids.InstanceId]:
        """Return the gateways of a slot in the order to try them, recently failed ones last."""
        ranked = self.ranked_gateways.get(slot)
        if ranked is None:
            candidates = self.peers.membership.candidates()
            all_gateways = gateway_manager.gateways_for(self.document, entry, slot, candidates)
            ranked = self.ranked_gateways[slot] = all_gateways[: MAX_GATEWAYS_TRIED + 1]
        avoided = self.avoided_instances.active(now_s=time.monotonic())
        return sorted(ranked, key=avoided.__contains__) if avoided else ranked

    async def initial_min_position(
        self, database: ids.DatabaseName, *, deadline_s: float
    ) -> positions.Position | None:
        """Query a group for the initial minimum position of a session without a token.

        Sessions of one database that arrive while a query is waiting to be sent share it. Returns
        None if no gateway has answered by ``deadline_s``, in seconds of ``time.monotonic()``.
        """
        query = self.min_position_queries.get(database)
        if query is None or query.sent:
            query = _MinPositionQuery(router=self, database=database, deadline_s=deadline_s)
            self.min_position_queries[database] = query
        return await query.answer()

    async def query_min_position(
        self, database: ids.DatabaseName, *, deadline_s: float
    ) -> positions.Position | None:
        """Query the gateways of the group in turn, until one answers or the deadline passes."""
        entry = self.document.databases.get(database)
        if entry is None:
            return None
        request = routing.RoutingRequest(
            kind=outcomes.StatementKind.READ,
            zone=self.own.zone,
            region=self.own.region,
            primary=None,
            prefer_replicas=False,
        )
        while True:
            for slot in routing.candidate_slots(self.locations_of(entry), request):
                min_position = await self._query_first_gateway(entry, slot, database, deadline_s)
                if min_position is not None:
                    return min_position
            if time.monotonic() >= deadline_s:
                return None
            await asyncio.sleep(MIN_POSITION_RETRY_S)

    async def _query_first_gateway(
        self,
        entry: sections.DatabaseEntry,
        slot: ids.SlotId,
        database: ids.DatabaseName,
        deadline_s: float,
    ) -> positions.Position | None:
        """Query the first gateway of a slot; return None if it does not answer within 0.5 s."""
        for instance in self.gateways_of(entry, slot)[:1]:
            # Leaves time for another slot when this gateway does not answer.
            limit_s = min(deadline_s, time.monotonic() + 0.5)
            if instance == self.own.instance:
                gateway = self.manager.gateways.get(database)
                if gateway is not None:
                    return await gateway.initial_min_position(deadline_s=limit_s)
                continue
            member = self.peers.membership.members[instance]
            link = self.links.get(self.peers.address_of(member))
            try:
                return await link.initial_min_position(
                    database, deadline_s=limit_s - time.monotonic()
                )
            except errors.PeerError as error:
                self.note_peer_failure(instance, error)
        return None

    def note_peer_failure(self, instance: ids.InstanceId, error: errors.PeerError) -> None:
        """Avoid a peer for ``AVOIDANCE_S``; it is declared dead if no process listens there."""
        self.avoided_instances.add(instance, now_s=time.monotonic())
        if isinstance(error, errors.PeerRefusedError):
            self.peers.note_connection_refused(instance)


class _MinPositionQuery:
    """One query for an initial minimum position, shared by the sessions that wait for it."""

    def __init__(self, *, router: Router, database: ids.DatabaseName, deadline_s: float) -> None:
        self.router = router
        self.database = database
        self.deadline_s = deadline_s
        self.sent = False
        self.task: asyncio.Task[positions.Position | None] | None = None

    async def answer(self) -> positions.Position | None:
        """Wait for the answer that all sessions share."""
        if self.task is None:
            self.task = asyncio.create_task(self._query())
        return await asyncio.shield(self.task)

    async def _query(self) -> positions.Position | None:
        await asyncio.sleep(0)
        self.sent = True
        return await self.router.query_min_position(self.database, deadline_s=self.deadline_s)


class _StatementAttempts:
    """The attempts to run one statement outside a transaction, or the BEGIN of one."""

    def __init__(
        self, *, router: Router, statement: RoutedStatement, entry: sections.DatabaseEntry
    ) -> None:
        self.router = router
        self.statement = statement
        self.entry = entry
        self.refused: set[ids.SlotId] = set()
        self.answered_by: TransactionGateway | None = None
        self.may_have_run = False
        """Whether the outcome of an earlier attempt is unknown."""
        self.backoff = retries.Backoff(deadline_s=statement.deadline_s, rng=router.rng)

    async def run(self) -> outcomes.StatementReply:
        """Try one slot after another until the statement ran or must not be retried."""
        reply = await self._try_in_turn()
        if reply.outcome is outcomes.Outcome.UNKNOWN and self._has_no_effect:
            return dataclasses.replace(reply, outcome=outcomes.Outcome.NOT_RUN)
        if reply.outcome is outcomes.Outcome.NOT_RUN and self.may_have_run:
            return dataclasses.replace(reply, outcome=outcomes.Outcome.UNKNOWN)
        return reply

    @property
    def _only_reads(self) -> bool:
        return self.statement.kind is outcomes.StatementKind.READ

    @property
    def _has_no_effect(self) -> bool:
        """Whether the statement by itself changes nothing, even if its answer was lost.

        A transaction whose BEGIN got no answer is rolled back by its gateway when the link breaks.
        """
        return self._only_reads or self.statement.kind is outcomes.StatementKind.BEGIN

    async def _try_in_turn(self) -> outcomes.StatementReply:
        self.router.budget.record_first_try()
        reply = outcomes.not_run(outcomes.Reason.UNREACHABLE, "no slot may run the statement")
        while True:
            slots = self._slots()
            if not slots:
                if not await self._wait_for_change():
                    return _out_of_time(reply)
                if not self.router.budget.take():
                    return _out_of_budget(reply)
                self.refused.clear()
                continue
            term_before = self._known_term()
            reply = await self._try_slot(slots[0])
            redirected = self._was_redirected(reply, term_before)
            if reply.outcome is outcomes.Outcome.UNKNOWN and not self._has_no_effect:
                self.may_have_run = True
            if not self._may_retry(reply):
                return reply
            self.refused.add(slots[0])
            if reply.reason in (outcomes.Reason.UNREACHABLE, outcomes.Reason.DISCONNECTED):
                self.router.avoided_slots.add(slots[0], now_s=time.monotonic())
            if time.monotonic() >= self.statement.deadline_s:
                return _out_of_time(reply)
            if redirected:
                self.refused.clear()
            elif not self._take_retry(reply):
                return _out_of_budget(reply)

    def _slots(self) -> list[ids.SlotId]:
        view = self.router.views.get(self.statement.database)
        preference = self.entry.policy.read_preference
        request = routing.RoutingRequest(
            kind=self.statement.kind,
            zone=self.router.own.zone,
            region=self.router.own.region,
            primary=view.primary if view else None,
            prefer_replicas=preference is models.ReadPreference.REPLICAS_IN_REGION,
            refused=frozenset(self.refused),
            unreachable=self.router.avoided_slots.active(now_s=time.monotonic()),
        )
        return routing.candidate_slots(self.router.locations_of(self.entry), request)

    def _take_retry(self, reply: outcomes.StatementReply) -> bool:
        """Take a retry from the budget; moving on from a lagging replica is routing and is free."""
        if reply.reason is outcomes.Reason.BEHIND:
            return True
        return self.router.budget.take()

    def _known_term(self) -> ids.Term:
        view = self.router.views.get(self.statement.database)
        return view.term if view else ids.Term(0)

    def _was_redirected(self, reply: outcomes.StatementReply, term_before: ids.Term) -> bool:
        """Return whether a newer primary became known; the next attempt then costs no retry."""
        self.router.adopt_view(reply.view)
        return self._known_term() > term_before

    def _may_retry(self, reply: outcomes.StatementReply) -> bool:
        if reply.outcome is outcomes.Outcome.RAN:
            return False
        if reply.outcome is outcomes.Outcome.UNKNOWN:
            return self._only_reads or self.statement.request_id is not None
        return reply.reason in _RETRIED_REASONS

    async def _wait_for_change(self) -> bool:
        """Wait for another primary or the backoff; return False when the deadline comes first."""
        delay_s = self.backoff.next_delay_s(time.monotonic())
        if delay_s is None:
            return False
        changed = self.router.view_changed[self.statement.database]
        try:
            async with asyncio.timeout(delay_s):
                await changed.wait()
        except TimeoutError:
            return True
        return True

    async def _try_slot(self, slot: ids.SlotId) -> outcomes.StatementReply:
        """Send the statement to the gateways of one slot until one is reached."""
        reply = outcomes.not_run(outcomes.Reason.UNREACHABLE, f"no instance can serve slot {slot}")
        for instance in self.router.gateways_of(self.entry, slot)[:MAX_GATEWAYS_TRIED]:
            reply = await self._send_to_gateway(instance, slot)
            unreachable = reply.outcome is outcomes.Outcome.NOT_RUN and reply.reason in (
                outcomes.Reason.UNREACHABLE,
                outcomes.Reason.LEAVING,
            )
            if not unreachable:
                return reply
        return reply

    async def _send_to_gateway(
        self, instance: ids.InstanceId, slot: ids.SlotId
    ) -> outcomes.StatementReply:
        router = self.router
        if instance == router.own.instance:
            request = router.request(self.statement, slot)
            self.answered_by = TransactionGateway(instance=instance, generation=0, slot=slot)
            return await router.manager.execute(request, owner=transactions.LOCAL_OWNER)
        member = router.peers.membership.members.get(instance)
        if member is None:
            return outcomes.not_run(
                outcomes.Reason.UNREACHABLE, f"instance {instance} is no longer a member"
            )
        link = router.links.get(router.peers.address_of(member))
        router.registry.count("forwarded_statements")
        try:
            with tracing.TRACER.span("peer", instance=instance):
                request = router.request(self.statement, slot)
                reply = await link.execute(request)
        except errors.PeerBrokenError as error:
            router.note_peer_failure(instance, error)
            return outcomes.unknown(outcomes.Reason.DISCONNECTED, str(error))
        except errors.PeerError as error:
            router.note_peer_failure(instance, error)
            return outcomes.not_run(outcomes.Reason.UNREACHABLE, str(error))
        self.answered_by = TransactionGateway(
            instance=instance, generation=link.generation, slot=slot
        )
        return reply


def _out_of_time(reply: outcomes.StatementReply) -> outcomes.StatementReply:
    return dataclasses.replace(
        reply, detail=f"deadline passed; last attempt: {reply.reason.value}: {reply.detail}"
    )


def _out_of_budget(reply: outcomes.StatementReply) -> outcomes.StatementReply:
    return dataclasses.replace(reply, detail=f"{reply.detail}; the retry budget is exhausted")


def _unknown_database(database: ids.DatabaseName) -> outcomes.StatementReply:
    return outcomes.not_run(
        outcomes.Reason.REFUSED,
        f"database {database!r} is not in the document; name one that is",
    )


def _transaction_lost(why: str) -> outcomes.StatementReply:
    return outcomes.not_run(
        outcomes.Reason.TRANSACTION_LOST, f"the transaction was rolled back: {why}"
    )
