"""A caller's transaction, pinned to one connection from its first statement on."""

import dataclasses

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock
from mustardswitch.internal.pace import references
from mustardswitch.proxy import (
    errors,
    leader_transactions,
    ports,
    reading,
    requests,
    statement_context,
)

OPEN = requests.TransactionState.OPEN
FAILED = requests.TransactionState.FAILED
IDLE = requests.TransactionState.IDLE


class Transaction:
    """A transaction that runs over this instance's own connections.

    It begins at its first statement, so that it holds no connection while the caller pauses before
    that.
    """

    def __init__(self, *, read_only: bool) -> None:
        self.read_only = read_only
        self.pinned: leader_transactions.PinnedLink | None = None
        self.failed = False
        self.wrote = False
        self.statements = 0
        self.service = None
        self.admitted = False
        """Whether the rate limit of the tenant has admitted the transaction."""

    def __repr__(self) -> str:
        return f"Transaction(read_only={self.read_only!r})"

    async def run(
        self,
        context: statement_context.StatementContext,
        statement: requests.Plain | ports.RunPrepared,
    ) -> requests.Answer:
        """Run one statement in the transaction."""
        if statement.access is requests.Access.WRITE and self.read_only:
            self.fail()
            return requests.refuse(
                requests.Refusal.READ_ONLY, "the transaction is read-only", state=FAILED
            )
        while True:
            refused = await self._ensure_begun(context, statement.shape)
            if refused is not None:
                return refused
            try:
                answer = await self._send(context, statement)
            except errors.ServerLeavingError:
                self._roll_back()
                continue
            except errors.CallerChangedError as error:
                self.fail()
                context.note_rolled_back(error.change)
                return requests.refuse(requests.Refusal.ABORTED, str(error), state=FAILED)
            lost_lead = answer.refusal is requests.Refusal.READ_ONLY and self.statements == 0
            if lost_lead and await context.wait_before_retry():
                self._roll_back()
                continue
            break
        self.statements += 1
        if answer.succeeded:
            self.pinned.backend.note_paused(self)
            return dataclasses.replace(answer, state=OPEN)
        return self._fail_with(answer)

    async def _ensure_begun(
        self, context: statement_context.StatementContext, shape: requests.Shape | None
    ) -> requests.Answer | None:
        refused = None if self.admitted else context.refuse_above_limit()
        if refused is not None:
            self.failed = True
            return dataclasses.replace(refused, state=FAILED)
        self.admitted = True
        try:
            if self.pinned is None:
                self.service = context.service
                if self.read_only:
                    self.pinned = await reading.ReadRun(context).begin(shape)
                else:
                    self.pinned = await leader_transactions.begin_at_leader(
                        context, shape, for_commits=True
                    )
            else:
                pinned, self.pinned = self.pinned, None
                pinned.backend.note_resumed(self)
                await context.prepare_link(pinned.backend, pinned.link, shape=shape)
                self.pinned = pinned
        except errors.ProxyError as error:
            self.failed = True
            refusal = requests.Refusal.ABORTED if self.statements else requests.Refusal.OVERLOADED
            return requests.refuse(refusal, str(error), state=FAILED)
        return None

    async def _send(
        self,
        context: statement_context.StatementContext,
        statement: requests.Plain | ports.RunPrepared,
    ) -> requests.Answer:
        """Send a statement, and again while the server rejects it as overloaded.

        Raises ServerLeavingError for the first one if the server gets no new work any more, and
        CallerChangedError.
        """
        while True:
            answer = await self._send_once(context, statement)
            if answer.succeeded:
                self.wrote = self.wrote or statement.access is requests.Access.WRITE
            again = answer.refusal is requests.Refusal.OVERLOADED and answer.state is OPEN
            if not (again and self.pinned is not None and await context.wait_before_retry()):
                return answer

    async def _send_once(
        self,
        context: statement_context.StatementContext,
        command: ports.Command,
    ) -> requests.Answer:
        pinned = self.pinned
        backend, link = pinned.backend, pinned.link
        if not self.statements and not self.service.accepts_new_work(backend):
            raise errors.ServerLeavingError(f"server {backend.server} leaves")
        context.check_current()
        query_sent_at_s = clock.now_s()
        shown_before = context.service.acknowledged.shown_by(backend.server)
        backend.in_flight += 1
        commits = isinstance(command, requests.Commit) and self.wrote
        try:
            context.sent = True
            with self.service.commits.tracking(link, backend.server, counts=commits) as commit:
                if commits:
                    sent = self.service.note_commit_sent(backend.server, context.request)
                link.send(command, context.request)
                answer = await link.receive(max(0.001, context.remaining_s))
        except backend_errors.BackendError as error:
            backend.note_failure()
            self.abandon_connection()
            return requests.refuse(requests.Refusal.ABORTED, str(error), state=FAILED)
        except BaseException:
            self.abandon_connection()
            raise
        finally:
            backend.in_flight -= 1
        if commits and answer.refusal in requests.MAY_HAVE_RUN:
            self.service.commits.note_unanswered()
        if (
            answer.succeeded
            and commits
            and not self.service.may_acknowledge(commit, sent, answer.position)
        ):
            self.abandon_connection()
            return requests.refuse(
                requests.Refusal.ABORTED,
                "the primary may have been replaced unnoticed",
                state=FAILED,
            )
        if answer.succeeded:
            is_commit = isinstance(command, requests.Commit)
            backend.note_answer(clock.now_s() - query_sent_at_s, self._work_of(command))
            if is_commit and self.wrote:
                context.service.acknowledged.note_acknowledged(
                    backend.server,
                    above=shown_before,
                    shown=answer.position,
                    request=context.request,
                )
            if pinned.at_leader and (not is_commit or self.wrote):
                context.service.note_leading(
                    backend.server, query_sent_at_s=query_sent_at_s, position=answer.position
                )
        elif answer.refusal is requests.Refusal.READ_ONLY and pinned.at_leader:
            context.service.note_not_leading(backend.server, query_sent_at_s=query_sent_at_s)
        elif answer.refusal is requests.Refusal.OVERLOADED:
            backend.note_refused()
        return answer

    @staticmethod
    def _work_of(command: ports.Command) -> references.Work:
        if isinstance(command, requests.Commit):
            return references.Work.COMMIT
        is_write = command.access is requests.Access.WRITE
        return references.Work.STATEMENT if is_write else references.Work.READ

    def _fail_with(self, answer: requests.Answer) -> requests.Answer:
        """Roll back after a failed statement; none of the transaction's writes are kept."""
        self.fail()
        kept = answer.refusal in (requests.Refusal.OVERLOADED, requests.Refusal.READ_ONLY)
        refusal = answer.refusal if kept else requests.Refusal.ABORTED
        return requests.refuse(refusal, answer.detail, state=FAILED)

    async def commit(self, context: statement_context.StatementContext) -> requests.Answer:
        """Commit; without an answer the outcome is unknown if the transaction has written."""
        while True:
            refused = await self._ensure_begun(context, None)
            if refused is not None:
                return dataclasses.replace(refused, state=IDLE)
            try:
                return await self._commit(context)
            except errors.ServerLeavingError:
                self._roll_back()
            except errors.CallerChangedError as error:
                self.fail()
                context.note_rolled_back(error.change)
                return requests.refuse(requests.Refusal.ABORTED, str(error), state=IDLE)

    async def _commit(self, context: statement_context.StatementContext) -> requests.Answer:
        """Commit on the connection of the transaction; raises ServerLeavingError as ``_send``."""
        while True:
            if self.wrote and not self.service.may_commit(self.pinned.backend):
                # It would be aborted when the promotion takes effect; the caller can retry now.
                self.service.hold.aborted += 1
                self._roll_back()
                return requests.refuse(
                    requests.Refusal.ABORTED, "the primary is being replaced", state=IDLE
                )
            answer = await self._commit_once(context)
            again = answer.refusal is requests.Refusal.OVERLOADED and answer.state is OPEN
            if not (again and await context.wait_before_retry()):
                break
        if answer.succeeded and self.pinned is not None:
            if self.wrote:
                context.session.note_commit(context.service.name, answer.position)
            pinned, self.pinned = self.pinned, None
            pinned.backend.pool.release(pinned.link, clean=answer.state is IDLE)
        elif answer.refusal in (requests.Refusal.FAILED, requests.Refusal.TIMED_OUT):
            self.abandon_connection()
        else:
            self._roll_back()
        return dataclasses.replace(answer, state=IDLE)

    async def _commit_once(self, context: statement_context.StatementContext) -> requests.Answer:
        answer = await self._send_once(context, requests.Commit())
        if self.pinned is None and self.wrote:
            return dataclasses.replace(answer, refusal=requests.Refusal.OUTCOME_UNKNOWN)
        return answer

    def fail(self) -> None:
        """Roll back at once; the transaction stays failed until the caller ends it."""
        self.failed = True
        self._roll_back()

    def _roll_back(self) -> None:
        """Roll back on the connection and release it to the pool."""
        if self.pinned is not None:
            pinned, self.pinned = self.pinned, None
            pinned.backend.note_resumed(self)
            self.service.roll_back(pinned.backend, pinned.link)

    def abandon_connection(self) -> None:
        """Close the connection; the server rolls back."""
        if self.pinned is not None:
            pinned, self.pinned = self.pinned, None
            pinned.backend.note_resumed(self)
            pinned.backend.abandon(pinned.link)
