"""One caller's session: its values, prepared statements, transaction and own commits."""

import asyncio
import dataclasses
import functools

from mustardswitch import events
from mustardswitch.internal import clock, ids
from mustardswitch.proxy import (
    errors,
    forwarded_transaction,
    local_run,
    ports,
    requests,
    session_caller,
    session_directory,
    statement_context,
    statement_log,
    transaction,
)

OK = requests.Answer()


class Session:
    """Serves the statements of one caller, one at a time."""

    def __init__(
        self,
        *,
        directory: session_directory.Directory,
        database: ids.DatabaseName,
        key: ids.CallerKey = session_caller.NO_KEY,
    ) -> None:
        self.directory = directory
        self.database = database
        self.caller = session_caller.SessionCaller(directory=directory, database=database, key=key)
        self.state = statement_context.SessionState()
        self.transaction: (
            transaction.Transaction | forwarded_transaction.ForwardedTransaction | None
        ) = None
        self.transaction_began_s = 0.0
        """When the BEGIN of the transaction was read (``clock.now_s``)."""
        self.idle_timer: asyncio.TimerHandle | None = None
        self.failure_reported = False
        """Whether the failure of the transaction was reported to the caller; a transaction can also
        fail while it is idle."""
        self.serving: requests.Statement | None = None
        """The statement that is running."""
        self.context: statement_context.StatementContext | None = None
        """What the statement that is running or ran last depends on; None without a route."""
        self.aborting = False
        """Whether no transaction continues after the running statement."""

    def __repr__(self) -> str:
        return f"Session(directory={self.directory!r}, database={self.database!r})"

    @property
    def transaction_state(self) -> requests.TransactionState:
        """The transaction state that is reported to the caller."""
        if self.transaction is None:
            return requests.TransactionState.IDLE
        if self.transaction.failed:
            return requests.TransactionState.FAILED
        return requests.TransactionState.OPEN

    async def handle(
        self, request: ids.RequestId, statement: requests.Statement, *, first_byte_s: float
    ) -> requests.Answer:
        """Return the answer to a statement."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None
        self.serving, self.context = statement, None
        answer = await self._dispatch(request, statement, first_byte_s)
        self.serving = None
        self.failure_reported = answer.state is requests.TransactionState.FAILED
        if self.aborting:
            self.abort_transaction()
        if self.transaction is not None and not self.transaction.failed:
            self.idle_timer = asyncio.get_running_loop().call_later(
                self.directory.transaction_idle_s, self._expire
            )
        statement_log.record(
            self.directory.registry,
            self.database,
            request,
            statement,
            answer,
            first_byte_s=first_byte_s,
        )
        return answer

    def _expire(self) -> None:
        self.idle_timer = None
        if self.transaction is not None and not self.transaction.failed:
            self.directory.registry.count("transactions_expired")
            events.log(events.Event.TRANSACTION_EXPIRED, database=self.database)
            self.transaction.fail()

    def abort_transaction(self) -> None:
        """Roll back the open transaction, or one that is begun later.

        A statement that is running gets its answer first; the next one is rejected.
        """
        self.aborting = True
        if self.transaction is not None and self.serving is None:
            self.transaction.fail()

    def give_up(self, why: str = "the instance stops") -> requests.Answer:
        """Return the answer to a statement that was cancelled, since the connection ends now.

        Closing the connection to the server rolls back; only a write or commit that was passed on
        may have taken effect.
        """
        refusal = requests.Refusal.ABORTED
        if self.context is None or not self.context.sent:
            refusal = requests.Refusal.OVERLOADED
        elif isinstance(self.serving, requests.Commit) or (
            self.transaction is None and not self.state.only_reads(self.serving)
        ):
            refusal = requests.Refusal.OUTCOME_UNKNOWN
        state = self.transaction_state
        if state is requests.TransactionState.OPEN:
            state = requests.TransactionState.FAILED
        return requests.refuse(refusal, why, state=state)

    def reject(self, refusal: requests.Refusal, why: str) -> requests.Answer:
        """Return the refusal of a statement that is not run; an open transaction fails."""
        answer = self._refuse(refusal, why)
        self.failure_reported = answer.state is requests.TransactionState.FAILED
        self.directory.registry.count("statements", refusal.value)
        return answer

    def close(self) -> None:
        """End the session; an open transaction is rolled back."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        if self.transaction is not None:
            self.transaction.fail()
            self.transaction = None
        self.state.drop()

    def _check_caller(
        self, statement: requests.Statement, request: ids.RequestId
    ) -> requests.Answer | None:
        """Return the refusal of a statement whose caller may not run it any more; None if it may.

        An open transaction is rolled back. The caller may still end a transaction itself, and
        learns by the refusal of the next statement that its key was taken away.
        """
        if isinstance(statement, requests.Rollback):
            return None
        is_open = self.transaction_state is requests.TransactionState.OPEN
        change = self.caller.find_refusal(is_open=is_open)
        if change is None:
            return None
        if self.transaction is None:
            return requests.refuse(requests.Refusal.UNAUTHORIZED, change.value)
        self.transaction.fail()
        self.caller.note_rolled_back(request, change)
        if isinstance(statement, requests.Commit):
            self.transaction = None
        return requests.refuse(requests.Refusal.ABORTED, change.value, state=self.transaction_state)

    async def _dispatch(
        self, request: ids.RequestId, statement: requests.Statement, first_byte_s: float
    ) -> requests.Answer:
        refused = self._check_caller(statement, request)
        if refused is not None:
            return refused
        failed = self.transaction_state is requests.TransactionState.FAILED
        if failed and not self.failure_reported and not isinstance(statement, requests.Rollback):
            return self._report_failure(statement)
        if failed and not isinstance(statement, requests.Commit | requests.Rollback):
            return requests.refuse(
                requests.Refusal.MALFORMED,
                "the transaction has failed; commit or roll it back first",
                state=requests.TransactionState.FAILED,
            )
        return await self._run(statement, request, first_byte_s)

    def _report_failure(self, statement: requests.Statement) -> requests.Answer:
        """Reject the first statement after a failure that was not reported to the caller yet."""
        state = requests.TransactionState.FAILED
        if isinstance(statement, requests.Commit):
            self.transaction = None
            state = requests.TransactionState.IDLE
        return requests.refuse(
            requests.Refusal.ABORTED,
            "the transaction was rolled back while it was idle",
            state=state,
        )

    @functools.singledispatchmethod
    async def _run(
        self, statement: requests.Statement, request: ids.RequestId, first_byte_s: float
    ) -> requests.Answer:
        raise TypeError(f"statement {statement!r} has an unknown type; register a handler for it")

    @_run.register
    async def _(
        self, statement: requests.Begin, request: ids.RequestId, first_byte_s: float
    ) -> requests.Answer:
        if self.transaction is not None:
            return self._refuse(requests.Refusal.MALFORMED, "a transaction is already open")
        self.transaction = transaction.Transaction(read_only=statement.read_only)
        self.transaction_began_s = first_byte_s
        self.caller.transaction_tenant = None
        return requests.Answer(state=requests.TransactionState.OPEN)

    @_run.register
    async def _(
        self, statement: requests.Rollback, request: ids.RequestId, first_byte_s: float
    ) -> requests.Answer:
        if self.transaction is not None:
            self.transaction.fail()
            self.transaction = None
        return OK

    @_run.register
    async def _(
        self, statement: requests.Commit, request: ids.RequestId, first_byte_s: float
    ) -> requests.Answer:
        if self.transaction is None:
            return self._refuse(requests.Refusal.MALFORMED, "no transaction is open")
        if self.transaction.failed:
            self.transaction = None
            return OK
        context = self._context(request, first_byte_s)
        if isinstance(context, requests.Answer):
            self.transaction.fail()
            self.transaction = None
            return dataclasses.replace(context, state=requests.TransactionState.IDLE)
        refused = self._route_transaction(context)
        if refused is not None:
            self.transaction = None
            return dataclasses.replace(refused, state=requests.TransactionState.IDLE)
        ending, self.transaction = self.transaction, None
        return await ending.commit(context)

    @_run.register
    async def _(
        self, statement: requests.SetValue, request: ids.RequestId, first_byte_s: float
    ) -> requests.Answer:
        if not self.state.set_value(statement.name, statement.value):
            return self._refuse_state()
        return requests.Answer(state=self.transaction_state)

    @_run.register
    async def _(
        self, statement: requests.Prepare, request: ids.RequestId, first_byte_s: float
    ) -> requests.Answer:
        if not self.state.prepare(statement.name, statement.shape):
            return self._refuse_state()
        return requests.Answer(state=self.transaction_state)

    @_run.register
    async def _(
        self, statement: requests.Deallocate, request: ids.RequestId, first_byte_s: float
    ) -> requests.Answer:
        if not self.state.deallocate(statement.name):
            return self._refuse_unknown(statement.name)
        return requests.Answer(state=self.transaction_state)

    @_run.register
    async def _(
        self, statement: requests.Plain, request: ids.RequestId, first_byte_s: float
    ) -> requests.Answer:
        return await self._run_command(statement, request, first_byte_s)

    @_run.register
    async def _(
        self, statement: requests.Execute, request: ids.RequestId, first_byte_s: float
    ) -> requests.Answer:
        shape = self.state.prepared.get(statement.name)
        if shape is None:
            return self._refuse_unknown(statement.name)
        command = ports.RunPrepared(shape=shape, arguments=statement.arguments)
        return await self._run_command(command, request, first_byte_s)

    async def _run_command(
        self,
        command: requests.Plain | ports.RunPrepared,
        request: ids.RequestId,
        first_byte_s: float,
    ) -> requests.Answer:
        context = self._context(request, first_byte_s)
        if isinstance(context, requests.Answer):
            return context
        if self.transaction is not None:
            refused = self._route_transaction(context)
            return refused or await self.transaction.run(context, command)
        while True:
            try:
                return await self._run_single(context, command)
            except errors.OutdatedError:
                earlier, context = context, self._context(request, first_byte_s)
                if isinstance(context, requests.Answer):
                    return context
                context.take_over_admission(earlier)

    async def _run_single(
        self,
        context: statement_context.StatementContext,
        command: requests.Plain | ports.RunPrepared,
    ) -> requests.Answer:
        """Run a statement outside of transactions, at a gateway or here.

        Raises OutdatedError before it is sent.
        """
        single_read = command.access is requests.Access.READ
        gateways = self.directory.gateways_for(context, single_read=single_read)
        if gateways is not None:
            answer = await self.directory.forwarder.run_single(gateways, context, command)
            if answer is not None:
                return answer
        if context.only_forwards:
            return self._refuse_service(context.route.service)
        return await local_run.run_locally(context, command)

    def _route_transaction(
        self, context: statement_context.StatementContext
    ) -> requests.Answer | None:
        """Choose at a transaction's first statement whether it runs here or at a gateway.

        Returns the refusal of one that no gateway takes and that cannot run here.
        """
        if self.transaction.service is not None:
            return None
        self.caller.transaction_tenant = context.tenant
        gateways = self.directory.gateways_for(context)
        if gateways is not None:
            self.transaction = forwarded_transaction.ForwardedTransaction(
                forwarder=self.directory.forwarder,
                gateways=gateways,
                read_only=self.transaction.read_only,
            )
        elif context.only_forwards:
            return self._refuse_service(context.route.service)
        return None

    def _context(
        self, request: ids.RequestId, first_byte_s: float
    ) -> statement_context.StatementContext | requests.Answer:
        """Look up the route and service of a statement.

        Returns a refusal when the database is unknown or its service has no known server.
        """
        placement = self.directory.place(self.database)
        route = placement.route if placement else self.directory.route(self.database)
        pinned = self.transaction.service if self.transaction is not None else None
        found = pinned or (placement.service if placement is not None else None)
        if route is None or found is None:
            refusal = (
                requests.Refusal.UNKNOWN_DATABASE if route is None else requests.Refusal.OVERLOADED
            )
            return self._refuse(refusal, f"database {self.database}")
        try:
            tenant = self.caller.identify(route)
        except errors.UnknownKeyError as error:
            return self._refuse(requests.Refusal.UNAUTHORIZED, str(error))
        waited_s = clock.now_s() - first_byte_s
        self.context = statement_context.StatementContext(
            request=request,
            session=self.state,
            route=route,
            service=found,
            tenant=tenant,
            caller_change=functools.partial(self.caller.find_change, tenant),
            routings=self.directory,
            configuration=self.directory.configuration,
            routing=self.directory.routing(self.database) if self.transaction is None else None,
            only_forwards=pinned is None and placement.only_forwards,
            rate_limits=self.directory.limits,
            first_byte_s=first_byte_s,
            operation_started_s=self.transaction_began_s if self.transaction is not None else None,
            deadline_s=asyncio.get_running_loop().time() + route.statement_timeout_s - waited_s,
        )
        return self.context

    def _refuse(self, refusal: requests.Refusal, why: str) -> requests.Answer:
        """Reject a statement, which fails an open transaction."""
        if self.transaction is not None:
            self.transaction.fail()
        return requests.refuse(refusal, why, state=self.transaction_state)

    def _refuse_service(self, name: ids.ServiceName) -> requests.Answer:
        return self._refuse(requests.Refusal.OVERLOADED, f"no server of service {name} is known")

    def _refuse_state(self) -> requests.Answer:
        return self._refuse(
            requests.Refusal.TOO_LARGE,
            f"the session's values and statements take more than {self.state.limit_bytes} bytes",
        )

    def _refuse_unknown(self, name: ids.StatementName) -> requests.Answer:
        return self._refuse(
            requests.Refusal.UNKNOWN_STATEMENT, f"no prepared statement has the name {name}"
        )
