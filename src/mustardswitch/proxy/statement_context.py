"""The state that serving one statement depends on: its session, route, service and deadline."""

import asyncio
import collections.abc
import dataclasses
import math
import sys

from mustardswitch import connection_pool, events
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, positions, session_sync, transaction_callers
from mustardswitch.internal.tenants import limits
from mustardswitch.proxy import (
    errors,
    ports,
    requests,
    route_versions,
    routes,
    server,
    service,
    tenant_limits,
)

RETRY_DELAY_S = 0.02
"""Pause before a statement that was not run is tried again; about the time of one statement's
work."""


@dataclasses.dataclass(kw_only=True, slots=True)
class SessionCommit:
    """The latest commit of a session at one service; ``acknowledged_s`` is on ``clock.now_s``."""

    position: positions.Position
    acknowledged_s: float


ENTRY_BYTES = 200
"""What an entry takes in the dictionaries of its session and of the connection that serves it, with
the objects around its texts."""


def _text_bytes(name: str, text: str | None) -> int:
    """Return the memory of an entry's text; less what a new entry takes besides it, if None."""
    return sys.getsizeof(text) if text is not None else -(ENTRY_BYTES + sys.getsizeof(name))


@dataclasses.dataclass(kw_only=True, slots=True)
class SessionState:
    """Values, prepared statements and latest commits of a session."""

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[ids.StatementName, requests.Shape] = dataclasses.field(default_factory=dict)
    commits: dict[ids.ServiceName, SessionCommit] = dataclasses.field(default_factory=dict)
    held_bytes: int = 0
    """Memory that the values and prepared statements take."""
    limit_bytes: int | None = None
    """Largest ``held_bytes``; None for any."""

    def drop(self) -> None:
        """Free the values and prepared statements of a session that has ended."""
        self.values, self.prepared, self.held_bytes = {}, {}, 0

    def set_value(self, name: str, value: str) -> bool:
        """Set a value; return False, and change nothing, when that takes too much memory."""
        before = self.values.get(name)
        change = sys.getsizeof(value) - _text_bytes(name, before)
        if change and not self._may_hold(change):
            return False
        self.values[name] = value
        return True

    def prepare(self, name: ids.StatementName, shape: requests.Shape) -> bool:
        """Define a statement; return False, and change nothing, when it takes too much memory."""
        before = self.prepared.get(name)
        change = sys.getsizeof(shape.text) - _text_bytes(name, before and before.text)
        if change and not self._may_hold(change):
            return False
        self.prepared[name] = shape
        return True

    def deallocate(self, name: ids.StatementName) -> bool:
        """Remove a statement; return whether it was defined."""
        removed = self.prepared.pop(name, None)
        if removed is not None:
            self.held_bytes += _text_bytes(name, None) - sys.getsizeof(removed.text)
        return removed is not None

    def only_reads(self, statement: requests.Statement) -> bool:
        """Return whether a statement, which may be a prepared one, changes no data."""
        if isinstance(statement, requests.Execute):
            shape = self.prepared.get(statement.name)
            return shape is not None and shape.access is requests.Access.READ
        return isinstance(statement, requests.Plain) and statement.access is requests.Access.READ

    def _may_hold(self, change: int) -> bool:
        held_bytes = self.held_bytes + change
        if change > 0 and self.limit_bytes is not None and held_bytes > self.limit_bytes:
            return False
        self.held_bytes = held_bytes
        return True

    def note_commit(
        self, committed_at: ids.ServiceName, position: positions.Position | None
    ) -> None:
        """Set the minimum position of the session's reads at a service to a commit of its own.

        A session commits one after the other, so that a lower position is one of another log: the
        service was removed, and its name is used again.
        """
        if position is not None:
            self.commits[committed_at] = SessionCommit(
                position=position, acknowledged_s=clock.now_s()
            )


@dataclasses.dataclass(kw_only=True, slots=True)
class StatementContext:
    """One statement of a session while it is served."""

    request: ids.RequestId
    session: SessionState
    route: routes.Route
    service: service.Service
    first_byte_s: float
    """Latest possible time at which the statement's first byte was read (``clock.now_s``)."""
    deadline_s: float
    """End of the statement's time limit, on the event loop's clock."""
    operation_started_s: float | None = None
    """When the operation's first statement was read (``clock.now_s``): that of its transaction, or
    with None this statement."""
    tenant: ids.TenantName = routes.NO_TENANT
    """The caller's tenant, which the server is told."""
    caller_change: collections.abc.Callable[[], transaction_callers.Change | None] = lambda: None
    """Tells why the caller is not the tenant any more by the configuration in force, or None."""
    routings: route_versions.KnownRoutings | None = None
    """What the instance knows of routings; None where nothing is sent."""
    configuration: routes.Configuration | None = None
    """The configuration by which the statement was placed and its caller identified."""
    routing: route_versions.Routing | None = None
    """The routing by which a statement outside of transactions was placed; None in a transaction,
    which stays where it began."""
    only_forwards: bool = False
    """Whether only a gateway may run the statement: the route's service is not known here."""
    ran_at: ids.ServiceName | None = None
    """Service at which a gateway has run the statement."""
    rate_limits: tenant_limits.TenantLimits | None = None
    """The rate limits of tenants; None where operations are not limited."""
    starts_operation: bool = False
    """Whether the tenant's limit has admitted an operation with this statement."""
    sent_at_s: float = float("-inf")
    """When the operation was counted as sent (``clock.now_s``)."""
    sent: bool = False
    """Whether the statement may have been passed on to a server or gateway."""

    @property
    def remaining_s(self) -> float:
        """Time left to the deadline; negative after it."""
        return self.deadline_s - asyncio.get_running_loop().time()

    def check_current(self) -> None:
        """Raise OutdatedError if the statement must not be sent as it was placed any more.

        Must be called when the statement is sent: it may have waited since it was read.
        """
        if self.routings is None:
            return
        if self.routings.configuration is not self.configuration:
            change = self.caller_change()
            if change is not None:
                raise errors.CallerChangedError(change)
        if self.routing is None:
            return
        newest = self.routings.routing(self.route.database)
        if newest is not self.routing and (newest is None or newest.differs(self.routing)):
            raise errors.RouteChangedError(
                f"database {self.route.database} is routed otherwise now"
            )

    def check_current_on(self, backend: server.Server, link: ports.Link) -> None:
        """As ``check_current``, but release the connection, which is unused, before raising."""
        try:
            self.check_current()
        except errors.OutdatedError:
            backend.pool.release(link, clean=True)
            raise

    def note_rolled_back(self, change: transaction_callers.Change) -> None:
        """Count and log that the transaction was rolled back since its caller has changed."""
        self.service.registry.count("transactions_of_changed_callers", change.name.lower())
        events.log(
            events.Event.CALLER_CHANGED,
            request=self.request,
            database=self.route.database,
            reason=change.value,
        )

    def take_over_admission(self, earlier: "StatementContext") -> None:
        """Count the operation once though its statement is served anew, for the same tenant."""
        if earlier.tenant == self.tenant:
            self.starts_operation, self.sent_at_s = earlier.starts_operation, earlier.sent_at_s

    def refuse_above_limit(self) -> requests.Answer | None:
        """Count an operation of the tenant that starts here; returns the refusal above its limit.

        Must be called for each operation: a statement outside of transactions, or a transaction. A
        statement that is served anew has been counted.
        """
        if self.rate_limits is None or self.starts_operation:
            return None
        self.starts_operation = True
        return self.rate_limits.start(self.tenant, clock.now_s())

    def _note_sent(self, backend: server.Server) -> None:
        """Count an operation that is sent; raises NoRoomError above the tenant's limit.

        It counts again when it is sent to another server later.
        """
        now_s = clock.now_s()
        if not self.starts_operation or now_s < self.sent_at_s + limits.SENDING_S:
            return
        refused = self.rate_limits.start_sending(self.tenant, now_s)
        if refused is not None:
            raise errors.NoRoomError(f"server {backend.server}: {refused.detail}")
        self.sent_at_s = now_s

    @property
    def operation_age_s(self) -> float:
        """Time since the operation's first statement was read."""
        started_s = self.operation_started_s
        return clock.now_s() - (self.first_byte_s if started_s is None else started_s)

    @property
    def due_s(self) -> float:
        """Time by which the operation meets its target, on the event loop's clock.

        A part of the target is left for the answer's way to the caller.
        """
        target_s = self.route.target_latency_s
        if target_s is None:
            return math.inf
        return asyncio.get_running_loop().time() + TARGET_SHARE * target_s - self.operation_age_s

    def connection_request(
        self, backend: server.Server, shape: requests.Shape | None, *, holds: bool
    ) -> connection_pool.ConnectionRequest:
        """Build the statement's request to a server's connection pool.

        The statement must get its connection while there is time for the answer: abandoning it
        after it was sent wastes the server's work on it and costs the server a new connection.
        """
        answer_s = min(
            backend.current_latency_s(clock.now_s()),
            ANSWER_SHARE * self.route.statement_timeout_s,
        )

        def fitness(link: ports.Link) -> int:
            return -self.sync_plan(link, shape).cost

        return connection_pool.ConnectionRequest(
            caller=self.tenant,
            priority=self.route.priority,
            deadline_s=self.deadline_s - answer_s,
            holds=holds,
            due_s=self.due_s,
            fitness=fitness,
        )

    def sync_plan(
        self, link: ports.Link, shape: requests.Shape | None
    ) -> session_sync.SyncPlan[requests.Shape]:
        """Return the changes that a connection needs to match the session."""
        return session_sync.plan_sync(
            held_values=link.values,
            held_shapes=link.shapes,
            values=self.session.values,
            shape=shape,
        )

    async def acquire(
        self, backend: server.Server, shape: requests.Shape | None, *, holds: bool = False
    ) -> ports.Link:
        """Return a connection from a server's pool.

        ``holds`` is set for a transaction, which keeps the connection between statements. Raises
        NotSentError, which is a NoRoomError when the pool cannot serve the statement in time.
        """
        try:
            link = await backend.pool.acquire(self.connection_request(backend, shape, holds=holds))
        except backend_errors.PoolFullError as error:
            raise errors.NoRoomError(f"server {backend.server}: {error}") from error
        except backend_errors.BackendError as error:
            raise errors.NotSentError(f"server {backend.server}: {error}") from error
        try:
            self._note_sent(backend)
        except errors.NoRoomError:
            backend.pool.release(link, clean=True)
            raise
        return link

    async def prepare_link(
        self,
        backend: server.Server,
        link: ports.Link,
        *,
        shape: requests.Shape | None,
        begin: ports.BeginAt | None = None,
    ) -> requests.Answer | None:
        """Set the session's state on a connection, and begin a transaction on it if requested.

        Returns the answer to ``begin``, which may be a refusal; None without ``begin``. The
        commands share one round trip. Raises NotSentError when the connection fails or another
        command does not succeed; the connection is abandoned then.
        """
        plan = self.sync_plan(link, shape)
        commands: list[ports.Command] = []
        if plan.reset:
            commands.append(ports.ResetSession())
        commands += [
            requests.SetValue(name=name, value=value) for name, value in plan.values.items()
        ]
        if plan.shape is not None:
            commands.append(ports.PrepareShape(shape=plan.shape))
        if begin is not None:
            commands.append(begin)
        answer = None
        try:
            for command in commands:
                link.send(command)
            for command in commands:
                answer = await link.receive(self.answer_timeout_s(backend))
                if command is not begin and not answer.succeeded:
                    raise backend_errors.ConnectionBrokenError(
                        f"cannot set the session's state on the connection: {answer.detail}"
                    )
        except backend_errors.BackendError as error:
            backend.note_failure()
            backend.abandon(link)
            raise errors.NotSentError(f"server {backend.server}: {error}") from error
        except BaseException:
            backend.abandon(link)
            raise
        return answer if begin is not None else None

    def answer_timeout_s(self, backend: server.Server) -> float:
        """Return how long to wait for a server's answer before another server is tried."""
        latency_s = backend.current_latency_s(clock.now_s())
        timeout_s = max(MIN_ANSWER_TIMEOUT_S, LATENCY_MULTIPLE * latency_s)
        return max(0.001, min(self.remaining_s, timeout_s))

    async def wait_before_retry(self) -> bool:
        """Wait before another attempt; False, at once, when no time is left for one."""
        if self.remaining_s <= RETRY_DELAY_S:
            return False
        await asyncio.sleep(RETRY_DELAY_S)
        return True


TARGET_SHARE = 0.9
"""Part of a route's target within which an answer is due here. The rest is for the answer's way to
the caller: up to 24 ms through another region and to the caller, of targets from 0.3 s."""
ANSWER_SHARE = 0.5
"""Largest fraction of a statement's time limit that is reserved for the answer, since the recent
latency may be too high an estimate."""
MIN_ANSWER_TIMEOUT_S = 0.35
"""Least time to wait for an answer before another server is tried; the longest usual work of the
users' reads, plus a round trip between regions."""
LATENCY_MULTIPLE = 6.0
"""Multiple of a server's latency to wait for an answer before another server is tried; the longest
work of a statement is about this multiple of the mean."""
