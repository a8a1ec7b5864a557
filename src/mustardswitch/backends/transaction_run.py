"""Runs the statements of transactions, each on the connection that its transaction is pinned to."""

import time

from mustardswitch.backends import (
    connection,
    errors,
    request_records,
    statement_run,
    transactions,
    waiters,
)
from mustardswitch.internal import ids, outcomes

RESOLVE_S = 2.0


class TransactionRun(statement_run.StatementRun):
    """One statement of a transaction."""

    async def begin(self) -> outcomes.StatementReply:
        """Open a transaction on one connection at one term."""
        refusal = await self.refuse_write()
        if refusal is not None:
            return refusal
        term = self.gateway.tracker.view.term
        used = await self.pool.acquire(self.use())
        try:
            await used.use_term(term, timeout_s=self.remaining_s)
            execution = await used.execute("BEGIN", timeout_s=self.remaining_s)
        except errors.NotPrimaryError as error:
            self.pool.release(used, clean=True)
            return outcomes.not_run(outcomes.Reason.NOT_PRIMARY, str(error))
        except errors.BackendError as error:
            self.pool.release(used, clean=False)
            return outcomes.not_run(outcomes.Reason.DISCONNECTED, str(error))
        except BaseException:
            self.pool.release(used, clean=False)
            raise
        if self.owner.disconnected:
            self.pool.release(used, clean=False)
            return self.lost("its caller's instance is gone")
        self.gateway.open_transactions.add(
            transactions.OpenTransaction(
                transaction=self.request.transaction,
                owner=self.owner,
                pool=self.pool,
                used=used,
                term=term,
                last_used_s=time.monotonic(),
            )
        )
        return outcomes.StatementReply(outcome=outcomes.Outcome.RAN, result=execution.result)

    async def in_transaction(self) -> outcomes.StatementReply:
        """Run one statement of an open transaction."""
        transaction = self.gateway.open_transactions.get(self.request.transaction, owner=self.owner)
        if transaction is None:
            return self.lost("it is not open here; it was idle too long or its home changed")
        if transaction.busy:
            return outcomes.not_run(
                outcomes.Reason.REFUSED, "a statement of this transaction is still running"
            )
        transaction.busy = True
        try:
            if self.request.kind is outcomes.StatementKind.COMMIT:
                return await self._commit(transaction)
            if self.request.kind is outcomes.StatementKind.ROLLBACK:
                return await self._roll_back(transaction)
            return await self._run_inside(transaction)
        except BaseException:
            self.gateway.end_transaction(transaction, clean=False)
            raise
        finally:
            transaction.busy = False
            transaction.last_used_s = time.monotonic()
            if transaction.owner.disconnected:
                self.gateway.end_transaction(transaction, clean=False)

    async def _run_inside(
        self, transaction: transactions.OpenTransaction
    ) -> outcomes.StatementReply:
        try:
            execution = await transaction.used.execute(self.request.sql, timeout_s=self.remaining_s)
        except errors.NotPrimaryError as error:
            self.gateway.end_transaction(transaction, clean=False)
            return self.lost(str(error))
        except errors.DatabaseRejectedError as error:
            if error.code == connection.TRANSACTION_EXPIRED_CODE:
                self.gateway.end_transaction(transaction, clean=False)
                return self.lost(str(error))
            return await self._failed_inside(transaction, error)
        except errors.BackendError as error:
            self.gateway.end_transaction(transaction, clean=False)
            return self.lost(str(error))
        if self.request.kind is not outcomes.StatementKind.READ:
            return outcomes.StatementReply(outcome=outcomes.Outcome.RAN, result=execution.result)
        return await self._confirm_shown(transaction, execution)

    async def _failed_inside(
        self, transaction: transactions.OpenTransaction, error: errors.DatabaseRejectedError
    ) -> outcomes.StatementReply:
        """Pass an error on; a transaction whose state is not certain is rolled back."""
        reply = await self.failed_at_primary(transaction.used, error)
        if reply.outcome is outcomes.Outcome.RAN:
            return reply
        self.gateway.end_transaction(transaction, clean=False)
        return self.lost(reply.detail)

    async def _confirm_shown(
        self, transaction: transactions.OpenTransaction, execution: connection.Execution
    ) -> outcomes.StatementReply:
        """Let a transaction's read show only what is certain to stay."""
        outcome = await self.gateway.waiters.confirmed(
            execution.position, deadline_s=self.deadline_s
        )
        if outcome is waiters.WaitOutcome.REACHED:
            return self.ran(execution)
        self.gateway.end_transaction(transaction, clean=False)
        return self.lost("no majority confirmed what it read")

    async def _roll_back(
        self, transaction: transactions.OpenTransaction
    ) -> outcomes.StatementReply:
        """Roll back; a connection whose ROLLBACK failed is closed, which rolls back too."""
        clean = False
        try:
            await transaction.used.execute("ROLLBACK", timeout_s=self.remaining_s)
            clean = True
        except errors.BackendError:
            clean = False
        finally:
            self.gateway.end_transaction(transaction, clean=clean)
        return outcomes.StatementReply(outcome=outcomes.Outcome.RAN, result=outcomes.Result())

    async def _commit(self, transaction: transactions.OpenTransaction) -> outcomes.StatementReply:
        if self.request.request_id is not None:
            refused = await self._record_commit(transaction)
            if refused is not None:
                return await self.confirm(refused)
        reply = await self._send_commit(transaction)
        if reply.outcome is outcomes.Outcome.UNKNOWN and self.request.request_id is not None:
            reply = await self._resolve_commit()
        return await self.confirm(reply)

    async def _record_commit(
        self, transaction: transactions.OpenTransaction
    ) -> outcomes.StatementReply | None:
        """Record the request id; a reply means that the transaction has ended without COMMIT."""
        used = transaction.used
        try:
            known = await request_records.record(
                used, self.request.request_id, timeout_s=self.remaining_s
            )
            if known is None:
                return None
            reply = await self.repeat_known(used, known)
        except errors.BackendError as error:
            self.gateway.end_transaction(transaction, clean=False)
            return self.lost(str(error))
        self.gateway.end_transaction(transaction, clean=True)
        return reply

    async def _send_commit(
        self, transaction: transactions.OpenTransaction
    ) -> outcomes.StatementReply:
        try:
            execution = await transaction.used.execute("COMMIT", timeout_s=self.remaining_s)
        except errors.DatabaseRejectedError as error:
            self.gateway.end_transaction(transaction, clean=False)
            return self.lost(str(error))
        except errors.NothingSentError as error:
            self.gateway.end_transaction(transaction, clean=False)
            return self.lost(str(error))
        except errors.BackendError as error:
            self.gateway.end_transaction(transaction, clean=False)
            return outcomes.unknown(outcomes.Reason.DISCONNECTED, str(error))
        self.gateway.end_transaction(transaction, clean=True)
        return self.ran(execution)

    async def _resolve_commit(self) -> outcomes.StatementReply:
        """Learn what became of a COMMIT without an answer, by barring its request id."""
        unresolved = outcomes.unknown(outcomes.Reason.DISCONNECTED, "the answer to COMMIT was lost")
        try:
            used = await self.pool.acquire(self.use(time.monotonic() + RESOLVE_S))
        except errors.PoolRefusedError:
            return unresolved
        try:
            return await self._bar_request(used)
        except errors.BackendError:
            return unresolved
        finally:
            self.pool.release(used, clean=not used.broken)

    async def _bar_request(self, used: connection.BackendConnection) -> outcomes.StatementReply:
        request_id = self.request.request_id
        await used.use_term(self.gateway.tracker.view.term, timeout_s=RESOLVE_S)
        try:
            barred = await used.execute(
                request_records.withdraw_statement(request_id), timeout_s=RESOLVE_S
            )
        except errors.DatabaseRejectedError as error:
            if error.code != connection.DUPLICATE_KEY_CODE:
                raise
            return await self._found_record(used, request_id)
        outcome = await self.gateway.waiters.confirmed(
            barred.position, deadline_s=time.monotonic() + RESOLVE_S
        )
        if outcome is not waiters.WaitOutcome.REACHED:
            return outcomes.unknown(outcomes.Reason.UNCONFIRMED, "the bar is not confirmed")
        return self.lost("its COMMIT did not take effect and never will")

    async def _found_record(
        self, used: connection.BackendConnection, request_id: ids.RequestId
    ) -> outcomes.StatementReply:
        known = await request_records.find(used, request_id, timeout_s=RESOLVE_S)
        if known is None or known.withdrawn:
            return self.lost("its COMMIT did not take effect and never will")
        shown = await used.execute("SELECT 1", timeout_s=RESOLVE_S)
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN, result=known.result, position=shown.position
        )
