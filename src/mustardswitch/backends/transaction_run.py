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

RESOLVE_TIMEOUT_S = 2.0
"""Seconds for each step that finds out whether a COMMIT without an answer took effect."""


class TransactionRun(statement_run.StatementRun):
    """One statement of a transaction."""

    async def begin(self) -> outcomes.StatementReply:
        """Open a transaction on one connection at one term."""
        rejection = await self.reject_write()
        if rejection is not None:
            return rejection
        term = self.gateway.tracker.view.term
        used = await self.pool.acquire(self.connection_request())
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
            return self.transaction_lost("the instance of its caller disconnected")
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

    async def run_in_transaction(self) -> outcomes.StatementReply:
        """Run one statement of an open transaction.

        After a lost connection, or a result that no majority confirmed, the transaction is rolled
        back.
        """
        transaction = self.gateway.open_transactions.get(self.request.transaction, owner=self.owner)
        if transaction is None:
            return self.transaction_lost(
                "it is not open here; it was idle too long or its gateway changed"
            )
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
            return await self._run_statement(transaction)
        except BaseException:
            self.gateway.end_transaction(transaction, clean=False)
            raise
        finally:
            transaction.busy = False
            transaction.last_used_s = time.monotonic()
            if transaction.owner.disconnected:
                self.gateway.end_transaction(transaction, clean=False)

    async def _run_statement(
        self, transaction: transactions.OpenTransaction
    ) -> outcomes.StatementReply:
        try:
            execution = await transaction.used.execute(self.request.sql, timeout_s=self.remaining_s)
        except errors.NotPrimaryError as error:
            self.gateway.end_transaction(transaction, clean=False)
            return self.transaction_lost(str(error))
        except errors.DatabaseRejectedError as error:
            if error.code == connection.TRANSACTION_EXPIRED_CODE:
                self.gateway.end_transaction(transaction, clean=False)
                return self.transaction_lost(str(error))
            return await self._handle_rejection(transaction, error)
        except errors.BackendError as error:
            self.gateway.end_transaction(transaction, clean=False)
            return self.transaction_lost(str(error))
        if self.request.kind is not outcomes.StatementKind.READ:
            return outcomes.StatementReply(outcome=outcomes.Outcome.RAN, result=execution.result)
        return await self._confirm_read(transaction, execution)

    async def _handle_rejection(
        self, transaction: transactions.OpenTransaction, error: errors.DatabaseRejectedError
    ) -> outcomes.StatementReply:
        """Return the database's error, or roll back if no majority holds the state it reveals."""
        reply = await self.failed_at_primary(transaction.used, error)
        if reply.outcome is outcomes.Outcome.RAN:
            return reply
        self.gateway.end_transaction(transaction, clean=False)
        return self.transaction_lost(reply.detail)

    async def _confirm_read(
        self, transaction: transactions.OpenTransaction, execution: connection.Execution
    ) -> outcomes.StatementReply:
        """Return a read's result once its position is confirmed, or else roll back."""
        outcome = await self.gateway.waiters.confirmed(
            execution.position, deadline_s=self.deadline_s
        )
        if outcome is waiters.WaitOutcome.REACHED:
            return self.ran(execution)
        self.gateway.end_transaction(transaction, clean=False)
        return self.transaction_lost("no majority confirmed the position that it read")

    async def _roll_back(
        self, transaction: transactions.OpenTransaction
    ) -> outcomes.StatementReply:
        """Roll back; if ROLLBACK fails the connection is closed, which rolls back too."""
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
            ended = await self._record_commit(transaction)
            if ended is not None:
                return await self.confirm(ended)
        reply = await self._send_commit(transaction)
        if reply.outcome is outcomes.Outcome.UNKNOWN and self.request.request_id is not None:
            reply = await self._resolve_commit()
        return await self.confirm(reply)

    async def _record_commit(
        self, transaction: transactions.OpenTransaction
    ) -> outcomes.StatementReply | None:
        """Record the request id; returns a reply if the transaction has ended without a COMMIT."""
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
            return self.transaction_lost(str(error))
        self.gateway.end_transaction(transaction, clean=True)
        return reply

    async def _send_commit(
        self, transaction: transactions.OpenTransaction
    ) -> outcomes.StatementReply:
        try:
            execution = await transaction.used.execute("COMMIT", timeout_s=self.remaining_s)
        except errors.DatabaseRejectedError as error:
            self.gateway.end_transaction(transaction, clean=False)
            return self.transaction_lost(str(error))
        except errors.NothingSentError as error:
            self.gateway.end_transaction(transaction, clean=False)
            return self.transaction_lost(str(error))
        except errors.BackendError as error:
            self.gateway.end_transaction(transaction, clean=False)
            return outcomes.unknown(outcomes.Reason.DISCONNECTED, str(error))
        self.gateway.end_transaction(transaction, clean=True)
        return self.ran(execution)

    async def _resolve_commit(self) -> outcomes.StatementReply:
        """Find out whether an unanswered COMMIT took effect, by withdrawing its request id."""
        unresolved = outcomes.unknown(outcomes.Reason.DISCONNECTED, "the answer to COMMIT was lost")
        try:
            used = await self.pool.acquire(
                self.connection_request(time.monotonic() + RESOLVE_TIMEOUT_S)
            )
        except errors.PoolRefusedError:
            return unresolved
        try:
            return await self._withdraw_request(used)
        except errors.BackendError:
            return unresolved
        finally:
            self.pool.release(used, clean=not used.broken)

    async def _withdraw_request(
        self, used: connection.BackendConnection
    ) -> outcomes.StatementReply:
        request_id = self.request.request_id
        await used.use_term(self.gateway.tracker.view.term, timeout_s=RESOLVE_TIMEOUT_S)
        try:
            withdrawal = await used.execute(
                request_records.withdraw_statement(request_id), timeout_s=RESOLVE_TIMEOUT_S
            )
        except errors.DatabaseRejectedError as error:
            if error.code != connection.DUPLICATE_KEY_CODE:
                raise
            return await self._reply_from_record(used, request_id)
        outcome = await self.gateway.waiters.confirmed(
            withdrawal.position, deadline_s=time.monotonic() + RESOLVE_TIMEOUT_S
        )
        if outcome is not waiters.WaitOutcome.REACHED:
            return outcomes.unknown(
                outcomes.Reason.UNCONFIRMED,
                "no majority confirmed that the request id of the COMMIT is withdrawn",
            )
        return self.transaction_lost("its COMMIT did not take effect and never will")

    async def _reply_from_record(
        self, used: connection.BackendConnection, request_id: ids.RequestId
    ) -> outcomes.StatementReply:
        known = await request_records.find(used, request_id, timeout_s=RESOLVE_TIMEOUT_S)
        if known is None or known.withdrawn:
            return self.transaction_lost("its COMMIT did not take effect and never will")
        current = await used.execute("SELECT 1", timeout_s=RESOLVE_TIMEOUT_S)
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN, result=known.result, position=current.position
        )
