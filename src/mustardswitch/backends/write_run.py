"""Runs writes outside a transaction, with or without a request id."""

import time

from mustardswitch.backends import connection, errors, request_records, statement_run
from mustardswitch.internal import ids, outcomes


class WriteRun(statement_run.StatementRun):
    """One write outside a transaction."""

    async def write(self) -> outcomes.StatementReply:
        """Write at the primary, and acknowledge once the write is confirmed."""
        rejection = await self.reject_write()
        if rejection is not None:
            return rejection
        term = self.gateway.tracker.view.term
        used = await self.pool.acquire(self.connection_request())
        began_s = time.monotonic()
        try:
            if self.request.request_id is None:
                reply = await self._write_plain(used, term)
            else:
                reply = await self._write_recorded(used, term)
        finally:
            self.pool.record(time.monotonic() - began_s)
            self.pool.release(used, clean=not used.broken)
        return await self.confirm(reply)

    async def _write_plain(
        self, used: connection.BackendConnection, term: ids.Term
    ) -> outcomes.StatementReply:
        try:
            await used.use_term(term, timeout_s=self.remaining_s)
        except errors.BackendError as error:
            return outcomes.not_run(outcomes.Reason.NOT_PRIMARY, str(error))
        try:
            execution = await used.execute(self.request.sql, timeout_s=self.remaining_s)
        except errors.NotPrimaryError as error:
            return outcomes.not_run(outcomes.Reason.NOT_PRIMARY, str(error))
        except errors.DatabaseRejectedError as error:
            return await self.failed_at_primary(used, error)
        except errors.NothingSentError as error:
            return outcomes.not_run(outcomes.Reason.DISCONNECTED, str(error))
        except errors.ConnectionBrokenError as error:
            self.pool.record_timeout()
            return outcomes.unknown(outcomes.Reason.DISCONNECTED, str(error))
        return self.ran(execution)

    async def _roll_back_rejected(
        self, used: connection.BackendConnection, error: errors.DatabaseRejectedError
    ) -> outcomes.StatementReply:
        """End the transaction of a recorded write that the database rejected."""
        if error.code == connection.TRANSACTION_EXPIRED_CODE:
            return outcomes.not_run(outcomes.Reason.TRANSACTION_LOST, str(error))
        try:
            await used.execute("ROLLBACK", timeout_s=self.remaining_s)
        except errors.BackendError as failure:
            used.broken = True
            return outcomes.not_run(outcomes.Reason.DISCONNECTED, str(failure))
        return await self.failed_at_primary(used, error)

    async def _write_recorded(
        self, used: connection.BackendConnection, term: ids.Term
    ) -> outcomes.StatementReply:
        """Write, at most once, in one transaction with the record of the request id."""
        commit_sent = False
        try:
            await used.use_term(term, timeout_s=self.remaining_s)
            await request_records.ensure_table(used, timeout_s=self.remaining_s)
            await used.execute("BEGIN", timeout_s=self.remaining_s)
            known = await request_records.record(
                used, self.request.request_id, timeout_s=self.remaining_s
            )
            if known is not None:
                return await self.repeat_known(used, known)
            execution = await used.execute(self.request.sql, timeout_s=self.remaining_s)
            await request_records.complete(
                used, self.request.request_id, execution.result, timeout_s=self.remaining_s
            )
            commit_sent = True
            committed = await used.execute("COMMIT", timeout_s=self.remaining_s)
        except errors.NotPrimaryError as error:
            return outcomes.not_run(outcomes.Reason.NOT_PRIMARY, str(error))
        except errors.DatabaseRejectedError as error:
            return await self._roll_back_rejected(used, error)
        except errors.ConnectionBrokenError as error:
            self.pool.record_timeout()
            if commit_sent:
                return outcomes.unknown(outcomes.Reason.DISCONNECTED, str(error))
            return outcomes.not_run(outcomes.Reason.DISCONNECTED, str(error))
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN, result=execution.result, position=committed.position
        )
