"""The gateway of one or more slots of a group: monitors the group, runs statements on the slots."""

import asyncio
import collections.abc
import dataclasses
import functools
import time

from mustardswitch import connection_pool, events, metrics, tasks, tracing
from mustardswitch.backends import (
    connection,
    errors,
    failover_driver,
    request_records,
    slot_control,
    statement_runner,
    transactions,
    waiters,
)
from mustardswitch.internal import (
    confirmations,
    failover,
    groups,
    ids,
    outcomes,
    positions,
)
from mustardswitch.internal.admission import limits

CONNECT_TIMEOUT_S = 1.0
TRANSACTION_CHECK_INTERVAL_S = 0.5
MAX_TRANSACTION_IDLE_S = 10.0
WARM_DELAY_S = 1.0
"""Seconds from becoming the gateway of a slot to the opening of connections ahead of statements: an
instance that starts may be the gateway only until gossip has brought it the other members."""
FAST_HEARTBEAT_S = 0.1
"""Seconds between status queries to every slot while the primary does not answer, and from the
primary's gateway to the primary at all times."""
PRIMARY_HEARTBEAT_S = 0.25
"""Seconds between status queries to the primary from the other gateways."""
REPLICA_HEARTBEAT_S = 0.5
"""Seconds between status queries to a replica."""
SILENCE_THRESHOLD_S = 0.35
"""Seconds without an answer from the primary after which every slot is queried fast."""
REACHED_SUSPICION_FRACTION = 0.75
"""Fraction of the suspicion time in which the primary must have answered to count as reached."""
PRUNE_INTERVAL_S = 60.0
PRUNE_TIMEOUT_S = 5.0
PRUNE_CALLER = "request records"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupPolicy:
    """The settings of one group from the document; times in seconds."""

    endpoints: collections.abc.Mapping[ids.SlotId, connection.Endpoint]
    connections_per_slot: int
    leaving: frozenset[ids.SlotId]
    preferred: frozenset[ids.SlotId]
    confirm_by_majority: bool
    replica_wait_s: float
    suspicion_s: float
    request_retention_s: float


class GroupGateway:
    """Owns the control connections to a group, and the pools of the slots it is the gateway of."""

    def __init__(
        self,
        *,
        database: ids.DatabaseName,
        policy: GroupPolicy,
        instance: ids.InstanceId,
        environment: failover_driver.FailoverEnvironment,
        on_view: collections.abc.Callable[[groups.GroupView], None],
        registry: metrics.Registry,
    ) -> None:
        self.database = database
        self.policy = policy
        self.on_view = on_view
        self.registry = registry
        self.tracker = confirmations.GroupTracker(database=database, slots=policy.endpoints)
        self.waiters = waiters.PositionWaiters(tracker=self.tracker, query_slots=self._query_slots)
        self.machine = failover.FailoverMachine(
            tracker=self.tracker,
            settings=failover.FailoverSettings(suspicion_s=policy.suspicion_s, rank=0),
        )
        self.controls = {
            slot: self._create_control(slot, endpoint)
            for slot, endpoint in policy.endpoints.items()
        }
        self.driver = failover_driver.FailoverDriver(
            machine=self.machine,
            tracker=self.tracker,
            controls=self.controls,
            environment=environment,
            proposer=instance,
            allow_writes=self._allow_writes,
        )
        self.pools: dict[ids.SlotId, connection_pool.ConnectionPool] = {}
        self.open_transactions = transactions.OpenTransactions()
        self.writes_allowed = asyncio.Event()
        self.writes_allowed.set()
        self.in_flight = 0
        self.rank = 0
        self.runner = statement_runner.StatementRunner(gateway=self)
        self.tasks: list[asyncio.Task[None]] = []

    def _create_control(
        self, slot: ids.SlotId, endpoint: connection.Endpoint
    ) -> slot_control.SlotControl:
        return slot_control.SlotControl(
            slot=slot,
            endpoint=endpoint,
            on_status=self._observe,
            on_refused=lambda: self._connection_refused(slot),
            wanted=lambda: self.waiters.wanted_positions(slot),
            heartbeat_s=lambda: self._heartbeat_s(slot),
        )

    def _heartbeat_s(self, slot: ids.SlotId) -> float:
        """Return the seconds between status queries to a slot for which no statement waits.

        The gateway of the primary queries it often and so is the first to notice its failure; the
        other gateways query it less often, and all query every slot often while the primary does
        not answer. Querying every slot ten times a second from every gateway takes about three
        times the processor time.
        """
        primary = self.tracker.view.primary
        if primary is None or self.primary_silence_s() > SILENCE_THRESHOLD_S:
            return FAST_HEARTBEAT_S
        if slot != primary:
            return REPLICA_HEARTBEAT_S
        return FAST_HEARTBEAT_S if slot in self.pools else PRIMARY_HEARTBEAT_S

    def start(self) -> None:
        """Start to monitor the group."""
        work = [control.run() for control in self.controls.values()]
        work += [self.driver.run(), self._expire_transactions(), self._prune_request_records()]
        self.tasks = [asyncio.create_task(item) for item in work]

    def set_role(self, *, own_slots: collections.abc.Iterable[ids.SlotId], rank: int) -> None:
        """Open the pools of ``own_slots`` and close all others, as the membership changes.

        ``rank`` orders the gateways of the group: failover attempts of a higher rank start later.
        """
        wanted = set(own_slots)
        for slot in wanted - set(self.pools):
            pool = connection_pool.ConnectionPool(
                name=slot,
                opener=functools.partial(
                    connection.connect, self.policy.endpoints[slot], timeout_s=CONNECT_TIMEOUT_S
                ),
                size=self.policy.connections_per_slot,
            )
            self.pools[slot] = pool
            asyncio.get_running_loop().call_later(WARM_DELAY_S, pool.warm)
            events.log(events.Event.HOME_TAKEN, database=self.database, slot=slot)
        for slot in set(self.pools) - wanted:
            self.pools.pop(slot).close()
            events.log(events.Event.HOME_RELEASED, database=self.database, slot=slot)
        self._refresh_settings(rank)

    def _refresh_settings(self, rank: int) -> None:
        holds_primary = self.tracker.view.primary in self.pools
        self.rank = rank
        self.machine.settings = failover.FailoverSettings(
            suspicion_s=self.policy.suspicion_s,
            rank=0 if holds_primary else rank + 1,
            leaving=self.policy.leaving,
            preferred=self.policy.preferred,
            manages_handover=holds_primary,
        )

    def adopt_view(self, view: groups.GroupView) -> None:
        """Adopt a view that a peer sent, if its term is higher than the known one."""
        if self.tracker.adopt(view):
            self._view_changed()

    def _observe(self, observation: confirmations.Observation) -> None:
        before = self.tracker.view
        self.tracker.observe(observation)
        if observation.status.slot == self.tracker.view.primary:
            self.machine.note_primary_answered()
        if self.tracker.view != before:
            self._view_changed()
        self.waiters.notify()

    def _view_changed(self) -> None:
        view = self.tracker.view
        events.log(
            events.Event.VIEW_CHANGED,
            database=self.database,
            slot=view.primary,
            term=view.term,
        )
        self._refresh_settings(self.rank)
        for slot, pool in self.pools.items():
            if slot != view.primary:
                pool.reject_waiters(
                    f"slot {view.primary} is primary at term {view.term}",
                    include_waiting_for_server=True,
                )
        self.waiters.notify()
        self.on_view(view)

    def _connection_refused(self, slot: ids.SlotId) -> None:
        if slot == self.tracker.view.primary:
            self.machine.note_primary_refused_connection(time.monotonic())

    def _query_slots(self) -> None:
        for control in self.controls.values():
            control.query_now()

    def _allow_writes(self, allowed: bool) -> None:
        if allowed:
            self.writes_allowed.set()
        else:
            self.writes_allowed.clear()

    async def execute(
        self, request: outcomes.StatementRequest, *, owner: transactions.TransactionOwner
    ) -> outcomes.StatementReply:
        """Run one statement that ``owner`` sent.

        A reply to a statement that did not run, or whose outcome is unknown, carries the view, so
        that the sender learns of another primary.
        """
        self.in_flight += 1
        try:
            with tracing.TRACER.span("home", parent=request.traceparent, slot=request.slot):
                reply = await self.runner.run(request, owner=owner)
        finally:
            self.in_flight -= 1
        if reply.outcome is outcomes.Outcome.RAN:
            return reply
        return dataclasses.replace(reply, view=self.tracker.view)

    async def initial_min_position(self, *, deadline_s: float) -> positions.Position | None:
        """Query the group for the initial minimum position of a session without a token.

        Returns None when no majority has answered by ``deadline_s``, in ``time.monotonic()``.
        """
        return await self.waiters.initial_min_position(
            since_s=time.monotonic(), deadline_s=deadline_s
        )

    def primary_silence_s(self) -> float:
        """Return the seconds since the primary last answered here as primary, or infinity."""
        primary = self.tracker.view.primary
        seen = self.tracker.observations.get(primary) if primary else None
        if seen is None or seen.status.role is not groups.SlotRole.PRIMARY:
            return float("inf")
        return time.monotonic() - seen.answered_at_s

    @property
    def reaches_primary(self) -> bool:
        """Whether the primary answers this instance; other gateways ask this before a failover."""
        primary = self.tracker.view.primary
        if primary is None or not self.controls[primary].reachable:
            return False
        return self.primary_silence_s() < REACHED_SUSPICION_FRACTION * self.policy.suspicion_s

    async def _expire_transactions(self) -> None:
        while True:
            await asyncio.sleep(TRANSACTION_CHECK_INTERVAL_S)
            for transaction in self.open_transactions.expired(
                now_s=time.monotonic(), idle_s=MAX_TRANSACTION_IDLE_S
            ):
                self.end_transaction(transaction, clean=False)

    async def _prune_request_records(self) -> None:
        """Delete request records past their retention, while this is the primary's gateway."""
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_S)
            pool = self.pools.get(self.tracker.view.primary)
            if pool is None:
                continue
            created_before_s = int(time.time() - self.policy.request_retention_s)
            try:
                await self._prune_once(pool, created_before_s)
            except errors.BackendError as error:
                events.log(events.Event.PRUNE_FAILED, database=self.database, error=error)

    async def _prune_once(
        self, pool: connection_pool.ConnectionPool, created_before_s: int
    ) -> None:
        request = connection_pool.ConnectionRequest(
            caller=PRUNE_CALLER,
            priority=limits.Priority.STALE_LISTING,
            deadline_s=time.monotonic() + PRUNE_TIMEOUT_S,
        )
        used = await pool.acquire(request)
        try:
            await used.use_term(self.tracker.view.term, timeout_s=PRUNE_TIMEOUT_S)
            await request_records.ensure_table(used, timeout_s=PRUNE_TIMEOUT_S)
            statement = request_records.prune_statement(created_before_s=created_before_s)
            await used.execute(statement, timeout_s=PRUNE_TIMEOUT_S)
        finally:
            pool.release(used, clean=not used.broken)

    def end_transaction(self, transaction: transactions.OpenTransaction, *, clean: bool) -> None:
        """Remove a transaction and return its connection to the pool.

        A connection that is not ``clean`` is closed, and the slot rolls the transaction back.
        """
        if self.open_transactions.remove(transaction):
            transaction.pool.release(transaction.used, clean=clean)

    def roll_back_owner(self, owner: transactions.TransactionOwner) -> None:
        """Roll back the open transactions of an owner that disconnected.

        A busy one is rolled back when its statement ends.
        """
        for transaction in self.open_transactions.of_owner(owner):
            if not transaction.busy:
                self.end_transaction(transaction, clean=False)

    @property
    def is_idle(self) -> bool:
        """Whether no statement is in flight and no transaction is open."""
        return self.in_flight == 0 and not self.open_transactions.by_id

    @property
    def connections_held(self) -> int:
        """Number of connections to the group, control connections included."""
        controls = sum(control.reachable for control in self.controls.values())
        return controls + sum(pool.held for pool in self.pools.values())

    async def close(self) -> None:
        """Stop monitoring the group, and close every connection."""
        await tasks.cancel_and_wait(self.tasks)
        for pool in self.pools.values():
            pool.close()
        for transaction in list(self.open_transactions.by_id.values()):
            self.end_transaction(transaction, clean=False)
