"""Runs the statements that other instances forward to this one, as a gateway of a service."""

import asyncio
import collections.abc
import contextlib
import functools

from mustardswitch import events, listening, metrics
from mustardswitch.internal import clock, ids, transaction_callers
from mustardswitch.peers import (
    datagrams,
    errors,
    frame_limits,
    lease_renewals,
    limit_loans,
    record_codec,
    record_relay,
    relay_codec,
)
from mustardswitch.proxy import errors as proxy_errors
from mustardswitch.proxy import (
    local_run,
    requests,
    routes,
    service,
    session_directory,
    statement_context,
    transaction,
)

IDLE_SLACK_S = 0.5
"""Time beyond the limit of idle transactions after which a gateway ends one itself. The instance
that forwards ends it in time unless it is cut off; a statement that it sends just before the limit
arrives within this, also over a slow link between regions."""


class RelayServer:
    """Runs the statements that other instances forward, and passes the store's records on to them.

    ``running`` counts the statements in progress.
    """

    def __init__(
        self,
        *,
        directory: session_directory.Directory,
        registry: metrics.Registry,
        feed: record_relay.RecordFeed | None = None,
        limits: frame_limits.FrameLimits | None = None,
        renew_lease: collections.abc.Callable[[int], collections.abc.Awaitable[bool]] | None = None,
    ) -> None:
        self.renew_lease = renew_lease
        """Renews another instance's lease in the store; None where no store is followed."""
        self.directory = directory
        self.registry = registry
        self.feed = feed or record_relay.RecordFeed()
        self.limits = limits or frame_limits.FrameLimits(registry=registry)
        self.server: asyncio.Server | None = None
        self.running = 0
        self.draining = False
        self.sessions: set[_GatewaySession] = set()

    def __repr__(self) -> str:
        return f"RelayServer(directory={self.directory!r})"

    async def start(self, address: datagrams.PeerAddress) -> None:
        """Accept connections of other instances at an address; raises OSError."""
        listener = listening.bind(address.host, address.port)
        self.server = await asyncio.start_server(
            self._serve, sock=listener, backlog=listening.ACCEPTED_AT_ONCE
        )
        listener.listen(listening.BACKLOG)

    def drain(self) -> None:
        """Reject new work from now on; open transactions continue."""
        self.draining = True

    @property
    def open_transactions(self) -> int:
        """Number of transactions that other instances have open here."""
        return sum(gateway_session.is_open for gateway_session in self.sessions)

    def abort_transactions(self) -> None:
        """Roll back open transactions, each as soon as its running statement is answered."""
        for gateway_session in self.sessions:
            gateway_session.abort_transaction()

    def close(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = self.limits.accept(reader, writer)
        if connection is None:
            return
        gateway_session = _GatewaySession(directory=self.directory)
        self.sessions.add(gateway_session)
        try:
            while True:
                body = await connection.read_frame()
                if record_codec.is_request(body):
                    request = record_codec.decode_request(body, default_era=self.feed.era)
                    await connection.send(await self.feed.answer(request))
                    continue
                if lease_renewals.is_request(body):
                    renewed = await self._renew(lease_renewals.decode_request(body))
                    await connection.send(lease_renewals.encode_answer(renewed))
                    continue
                if limit_loans.is_request(body):
                    answer = self.directory.limits.answer(limit_loans.decode_request(body))
                    await connection.send(limit_loans.encode_answer(answer))
                    continue
                forwarded = relay_codec.decode_forwarded(body)
                self.running += 1
                try:
                    answer = await self._run(gateway_session, forwarded)
                finally:
                    self.running -= 1
                self.registry.count("statements_run_for_others")
                described = gateway_session.describe(forwarded, answer)
                await connection.send(relay_codec.encode_answer(described))
        except (OSError, EOFError):
            self.registry.count("relay_connections_ended")
        except asyncio.CancelledError:
            # asyncio.streams reports a cancelled handler as a failure.
            self.registry.count("relay_connections_cancelled")
        except errors.InvalidFrameError as error:
            events.log(events.Event.FRAME_REJECTED, reason=str(error))
        finally:
            self.limits.drop(connection)
            self.sessions.discard(gateway_session)
            gateway_session.close()
            with contextlib.suppress(OSError):
                writer.close()

    async def _renew(self, lease: int) -> bool | None:
        """Renew another instance's lease; None when the store does not answer here either."""
        if self.renew_lease is None:
            return None
        try:
            return await self.renew_lease(lease)
        except proxy_errors.StoreError as error:
            events.log(events.Event.STORE_CALL_FAILED, call="renewal", reason=str(error))
            return None

    async def _run(
        self, gateway_session: "_GatewaySession", forwarded: relay_codec.ForwardedStatement
    ) -> requests.Answer:
        ends_transaction = isinstance(forwarded.command, requests.Commit | requests.Rollback)
        continues = gateway_session.transaction is not None or ends_transaction
        if self.draining and (forwarded.begin or not continues):
            return requests.refuse(requests.Refusal.LEAVING, "this gateway is stopping")
        gateway_session.busy = True
        gateway_session.stop_idle_timer()
        try:
            answer = await gateway_session.run(forwarded)
            if answer.retry_s and self.directory.limits.has_left:
                return requests.refuse(requests.Refusal.LEAVING, answer.detail, state=answer.state)
            return answer
        finally:
            gateway_session.busy = False
            gateway_session.state.values = {}
            if gateway_session.aborting:
                gateway_session.abort_transaction()
            gateway_session.start_idle_timer()


class _GatewaySession:
    """Session values and open transaction of one connection from another instance."""

    def __init__(self, *, directory: session_directory.Directory) -> None:
        self.directory = directory
        self.transaction: transaction.Transaction | None = None
        self.busy = False
        """Whether a statement is running."""
        self.aborting = False
        """Whether no transaction continues after the running statement."""
        self.state = statement_context.SessionState()
        self.idle_timer: asyncio.TimerHandle | None = None
        self.service: service.Service | None = None
        """Service of the current statement; it stays the same while a transaction is open."""
        self.transaction_tenant = routes.NO_TENANT
        """Tenant of the open transaction's first statement."""

    def close(self) -> None:
        """Roll back the open transaction, if any."""
        self.stop_idle_timer()
        if self.transaction is not None:
            self.transaction.fail()

    def abort_transaction(self) -> None:
        """Roll back an open transaction, now or when its running statement is answered."""
        self.aborting = True
        if not self.busy:
            self.close()

    def stop_idle_timer(self) -> None:
        """Keep an open transaction for as long as its statement runs."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None

    def start_idle_timer(self) -> None:
        """End an open transaction that stays idle, although its instance may be cut off.

        Such a transaction would keep a connection that others wait for.
        """
        if self.is_open and self.directory.features.admission:
            self.idle_timer = asyncio.get_running_loop().call_later(
                self.directory.transaction_idle_s + IDLE_SLACK_S, self._expire
            )

    def _expire(self) -> None:
        self.idle_timer = None
        if self.is_open:
            self.directory.registry.count("transactions_expired")
            events.log(events.Event.TRANSACTION_EXPIRED, service=self.service.name)
            self.transaction.fail()

    @property
    def is_open(self) -> bool:
        """Whether a transaction is open that has not failed."""
        return self.transaction is not None and not self.transaction.failed

    async def run(self, forwarded: relay_codec.ForwardedStatement) -> requests.Answer:
        """Run one forwarded statement."""
        if self.transaction is None and not self._follow(forwarded):
            return self._refuse_unknown(forwarded)
        earlier: statement_context.StatementContext | None = None
        while True:
            context = self._context(forwarded)
            if context is None:
                self.close()
                self.transaction = None
                return self._refuse_unknown(forwarded)
            if forwarded.begin:
                self.close()
                self.transaction = transaction.Transaction(read_only=forwarded.begin == "read")
                self.transaction_tenant = forwarded.tenant
            if self.transaction is not None:
                return await self._run_in_transaction(context, forwarded)
            command = forwarded.command
            if isinstance(command, requests.Commit | requests.Rollback):
                return requests.refuse(
                    requests.Refusal.ABORTED, "the transaction is no longer open"
                )
            if earlier is not None:
                context.take_over_admission(earlier)
            try:
                return await local_run.run_locally(context, command)
            except proxy_errors.OutdatedError:
                earlier = context

    def _follow(self, forwarded: relay_codec.ForwardedStatement) -> bool:
        """Follow the statement's routing if it is newer; return False if it cannot be run here.

        A service that is not known here is not followed: callers of this instance are still served
        by the version that it has.
        """
        told, known = forwarded.routing, self.directory.routing(forwarded.database)
        if told is None or known is None or told.version <= known.version:
            return True
        if told.differs(known) and self.directory.service(told.service) is None:
            return False
        self.directory.learn_routing(forwarded.database, told)
        return True

    def describe(
        self, forwarded: relay_codec.ForwardedStatement, answer: requests.Answer
    ) -> relay_codec.ForwardedAnswer:
        """Tell the entry instance where its statement was run, as far as it does not know that."""
        told = forwarded.routing
        if told is None:
            return relay_codec.ForwardedAnswer(answer=answer)
        ran_at = self.service.name if self.service is not None else told.service
        newest = self.directory.routing(forwarded.database)
        is_newer = newest is not None and newest.version > told.version
        return relay_codec.ForwardedAnswer(
            answer=answer,
            service=ran_at if ran_at != told.service else None,
            routing=newest if is_newer else None,
        )

    def _find_change(
        self, forwarded: relay_codec.ForwardedStatement
    ) -> transaction_callers.Change | None:
        """Return why a forwarded statement must not run for its tenant here; None if it may."""
        route = self.directory.route(forwarded.database)
        if route is None:
            return transaction_callers.Change.DATABASE_REMOVED
        if not self.directory.serves_tenant(forwarded.tenant, route):
            if forwarded.tenant:
                return transaction_callers.Change.KEY_REMOVED
            return transaction_callers.Change.KEY_REQUIRED
        return None

    @staticmethod
    def _refuse_unknown(forwarded: relay_codec.ForwardedStatement) -> requests.Answer:
        return requests.refuse(
            requests.Refusal.UNKNOWN_DATABASE,
            f"the gateway has no route for database {forwarded.database} and its tenant",
        )

    async def _run_in_transaction(
        self, context: statement_context.StatementContext, forwarded: relay_codec.ForwardedStatement
    ) -> requests.Answer:
        command, current = forwarded.command, self.transaction
        if current.failed:
            self.transaction = None
            why = "the transaction was rolled back while it was idle"
            if self.aborting:
                why = "the gateway is stopping and rolled the transaction back"
            return requests.refuse(requests.Refusal.ABORTED, why)
        if isinstance(command, requests.Rollback):
            self.transaction = None
            current.fail()
            return requests.Answer()
        change = transaction_callers.find_change(self.transaction_tenant, forwarded.tenant)
        if change is not None:
            # An instance of the build before lets a transaction go on without its tenant.
            self.transaction = None
            current.fail()
            context.note_rolled_back(change)
            return requests.refuse(requests.Refusal.ABORTED, change.value)
        if isinstance(command, requests.Commit):
            self.transaction = None
            return await current.commit(context)
        answer = await current.run(context, command)
        if current.failed:
            self.transaction = None
        return answer

    def _context(
        self, forwarded: relay_codec.ForwardedStatement
    ) -> statement_context.StatementContext | None:
        route: routes.Route | None = self.directory.route(forwarded.database)
        if route is None or not self.directory.serves_tenant(forwarded.tenant, route):
            return None
        if self.transaction is None:
            placement = self.directory.place(forwarded.database)
            known = placement is not None and not placement.only_forwards
            self.service = placement.service if known else None
        if self.service is None:
            return None
        now_s = clock.now_s()
        self.state.values = forwarded.values
        self.state.commits = self._commits(forwarded, now_s)
        in_transaction = self.transaction is not None or bool(forwarded.begin)
        loop = asyncio.get_running_loop()
        return statement_context.StatementContext(
            request=forwarded.request,
            session=self.state,
            route=route,
            service=self.service,
            tenant=forwarded.tenant,
            caller_change=functools.partial(self._find_change, forwarded),
            routings=self.directory,
            configuration=self.directory.configuration,
            routing=None if in_transaction else self.directory.routing(forwarded.database),
            rate_limits=self.directory.limits,
            first_byte_s=now_s - forwarded.age_s,
            operation_started_s=(
                None if forwarded.operation_age_s is None else now_s - forwarded.operation_age_s
            ),
            deadline_s=loop.time() + route.statement_timeout_s - forwarded.age_s,
        )

    def _commits(
        self, forwarded: relay_codec.ForwardedStatement, now_s: float
    ) -> dict[ids.ServiceName, statement_context.SessionCommit]:
        """Return the commits of the caller's session at each service."""
        if not forwarded.other_commits and forwarded.session_commit is None:
            return {}
        commits = dict(forwarded.other_commits)
        if forwarded.session_commit is not None:
            # An instance of the build before means the service by its own configuration.
            told = forwarded.routing
            commits[told.service if told else self.service.name] = forwarded.session_commit
        return {
            name: statement_context.SessionCommit(
                position=each.position, acknowledged_s=now_s - each.age_s
            )
            for name, each in commits.items()
        }
