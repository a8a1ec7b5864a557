"""Runs single statements and transactions on the slots of a home, with honest outcomes.

What decides between the outcomes: a statement whose first byte was not sent, that the slot refused,
or that was provably rolled back is *not run*; a statement that was sent and whose answer or
confirmation is missing is *unknown*; everything else *ran*.
"""

import asyncio
import functools
import time
import typing

from mustardswitch.backends import (
    connection,
    errors,
    request_records,
    slot_pool,
    transactions,
    waiters,
)
from mustardswitch.internal import ids, limits, outcomes, positions

if typing.TYPE_CHECKING:
    from mustardswitch.backends import group_home

RESOLVE_S = 2.0
LAG_MARGIN_S = 0.3


class StatementRunner:
    """Turns requests into replies for one home."""

    def __init__(self, *, home: "group_home.GroupHome") -> None:
        self.home = home

    async def run(
        self, request: outcomes.StatementRequest, *, owner: transactions.Owner
    ) -> outcomes.StatementReply:
        """Run one statement of a caller at the instance ``owner``."""
        run = _Run(home=self.home, request=request, owner=owner)
        if request.kind is outcomes.StatementKind.BEGIN:
            return await run.begin()
        if request.transaction is not None:
            return await run.in_transaction()
        if request.kind is outcomes.StatementKind.READ:
            return await run.read()
        return await run.write()


class _Run:
    """One statement on its way through the home."""

    def __init__(
        self,
        *,
        home: "group_home.GroupHome",
        request: outcomes.StatementRequest,
        owner: transactions.Owner,
    ) -> None:
        self.home = home
        self.request = request
        self.owner = owner
        self.started_s = time.monotonic()
        self.deadline_s = self.started_s + request.deadline_s

    @property
    def left_s(self) -> float:
        """Seconds left to the deadline."""
        return max(0.001, self.deadline_s - time.monotonic())

    @functools.cached_property
    def pool(self) -> slot_pool.SlotPool | None:
        """The pool of the slot that the statement asks for."""
        return self.home.pools.get(self.request.slot)

    def _use(self, deadline_s: float | None = None) -> slot_pool.PoolUse:
        stale = self.request.stale_listing
        return slot_pool.PoolUse(
            caller=self.request.caller,
            priority=limits.Priority.STALE_LISTING if stale else limits.Priority.URGENT,
            deadline_s=deadline_s or self.deadline_s,
            patient=self.request.kind is not outcomes.StatementKind.READ,
        )

    def _no_home(self) -> outcomes.StatementReply:
        return outcomes.not_run(
            outcomes.Reason.UNREACHABLE,
            f"this instance is not the home of slot {self.request.slot}",
        )

    # Reads

    async def read(self) -> outcomes.StatementReply:
        """Read at a slot that has reached the session's floor or the stated age."""
        if self.pool is None:
            return self._no_home()
        leaving = self.request.slot in self.home.policy.leaving
        if leaving and self.request.slot != self.home.tracker.view.primary:
            return outcomes.not_run(outcomes.Reason.LEAVING, f"slot {self.request.slot} is leaving")
        reply = await self._read_once()
        if reply.reason is not outcomes.Reason.BEHIND or self.request.floor is None:
            return reply
        wait_s = min(self.home.policy.replica_wait_s, self.left_s)
        if self._lags_too_far(wait_s):
            return reply
        reached = await self.home.waiters.applied(
            self.request.slot, self.request.floor, deadline_s=time.monotonic() + wait_s
        )
        if reached is not waiters.WaitOutcome.REACHED:
            return reply
        return await self._read_once()

    def _lags_too_far(self, wait_s: float) -> bool:
        """Tell whether the slot was last seen so far behind that waiting is of no use."""
        seen = self.home.tracker.observations.get(self.request.slot)
        if seen is None or self.request.slot == self.home.tracker.view.primary:
            return False
        lag_s = self.home.tracker.age_s(seen.status.applied, now_s=seen.asked_s)
        return LAG_MARGIN_S + wait_s < lag_s < float("inf")

    async def _read_once(self) -> outcomes.StatementReply:
        view = self.home.tracker.view
        leads = view.primary == self.request.slot
        asked_s = time.monotonic()
        try:
            used = await self.pool.acquire(self._use())
        except errors.PoolRefusedError as error:
            return _pool_refusal(error)
        began_s = time.monotonic()
        try:
            await used.use_term(view.term if leads else connection.NO_TERM, timeout_s=self.left_s)
            execution = await used.execute(self.request.sql, timeout_s=self.left_s)
        except errors.NotPrimaryError as error:
            return outcomes.not_run(outcomes.Reason.NOT_PRIMARY, str(error))
        except errors.DatabaseRejectedError as error:
            return self._failed(error)
        except errors.ConnectionBrokenError as error:
            self.pool.record_timeout()
            return outcomes.not_run(outcomes.Reason.DISCONNECTED, str(error))
        finally:
            self.pool.record(time.monotonic() - began_s)
            self.pool.release(used, clean=not used.broken)
        return await self._judge_read(execution, leads=leads, asked_s=asked_s)

    async def _judge_read(
        self, execution: connection.Execution, *, leads: bool, asked_s: float
    ) -> outcomes.StatementReply:
        """Refuse what the read showed when it is behind, or not certain to stay."""
        shown = execution.position
        tracker = self.home.tracker
        tracker.note_held(self.request.slot, shown)
        floor = self.request.floor
        if floor is not None and shown < floor:
            return outcomes.not_run(
                outcomes.Reason.BEHIND,
                f"slot {self.request.slot} shows {shown}, the session needs {floor}",
            )
        max_age_s = self.request.max_age_s
        if max_age_s is not None and tracker.age_s(shown, now_s=asked_s) > max_age_s:
            return outcomes.not_run(
                outcomes.Reason.BEHIND,
                f"slot {self.request.slot} may be older than {max_age_s} s",
            )
        if not tracker.is_confirmed(shown):
            outcome = await self.home.waiters.confirmed(shown, deadline_s=self.deadline_s)
            if outcome is not waiters.WaitOutcome.REACHED:
                return outcomes.not_run(
                    outcomes.Reason.UNCONFIRMED,
                    f"no majority confirmed what slot {self.request.slot} shows",
                )
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN,
            result=execution.result,
            position=shown,
            served_by_replica=not leads,
        )

    def _failed(self, error: errors.DatabaseRejectedError) -> outcomes.StatementReply:
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN,
            failure=outcomes.DatabaseFailure(code=error.code, message=error.message),
        )

    # Writes outside a transaction

    async def write(self) -> outcomes.StatementReply:
        """Write at the primary and acknowledge once a majority holds it."""
        refusal = await self._refuse_write()
        if refusal is not None:
            return refusal
        term = self.home.tracker.view.term
        try:
            used = await self.pool.acquire(self._use())
        except errors.PoolRefusedError as error:
            return _pool_refusal(error)
        began_s = time.monotonic()
        try:
            if self.request.request_id is None:
                reply = await self._write_plain(used, term)
            else:
                reply = await self._write_recorded(used, term)
        finally:
            self.pool.record(time.monotonic() - began_s)
            self.pool.release(used, clean=not used.broken)
        return await self._confirm(reply)

    async def _refuse_write(self) -> outcomes.StatementReply | None:
        if self.pool is None:
            return self._no_home()
        if not await self._writes_allowed():
            return outcomes.not_run(outcomes.Reason.DEADLINE, "a planned change took too long")
        view = self.home.tracker.view
        if view.primary != self.request.slot:
            return outcomes.not_run(
                outcomes.Reason.NOT_PRIMARY, f"slot {self.request.slot} does not lead"
            )
        return None

    async def _writes_allowed(self) -> bool:
        try:
            async with asyncio.timeout(self.left_s):
                await self.home.writes_allowed.wait()
        except TimeoutError:
            return False
        return True

    async def _write_plain(
        self, used: connection.BackendConnection, term: ids.Term
    ) -> outcomes.StatementReply:
        try:
            await used.use_term(term, timeout_s=self.left_s)
        except errors.BackendError as error:
            return outcomes.not_run(outcomes.Reason.NOT_PRIMARY, str(error))
        try:
            execution = await used.execute(self.request.sql, timeout_s=self.left_s)
        except errors.NotPrimaryError as error:
            return outcomes.not_run(outcomes.Reason.NOT_PRIMARY, str(error))
        except errors.DatabaseRejectedError as error:
            return self._failed(error)
        except errors.NothingSentError as error:
            return outcomes.not_run(outcomes.Reason.DISCONNECTED, str(error))
        except errors.ConnectionBrokenError as error:
            self.pool.record_timeout()
            return outcomes.unknown(outcomes.Reason.DISCONNECTED, str(error))
        return self._ran(execution)

    def _ran(self, execution: connection.Execution) -> outcomes.StatementReply:
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN, result=execution.result, position=execution.position
        )

    async def _write_recorded(
        self, used: connection.BackendConnection, term: ids.Term
    ) -> outcomes.StatementReply:
        """Write and record the request id in one transaction, at most once."""
        commit_sent = False
        try:
            await used.use_term(term, timeout_s=self.left_s)
            await request_records.ensure_table(used, timeout_s=self.left_s)
            await used.execute("BEGIN", timeout_s=self.left_s)
            known = await request_records.record(
                used, self.request.request_id, timeout_s=self.left_s
            )
            if known is not None:
                return await self._repeat_known(used, known)
            execution = await used.execute(self.request.sql, timeout_s=self.left_s)
            await request_records.complete(
                used, self.request.request_id, execution.result, timeout_s=self.left_s
            )
            commit_sent = True
            committed = await used.execute("COMMIT", timeout_s=self.left_s)
        except errors.NotPrimaryError as error:
            return outcomes.not_run(outcomes.Reason.NOT_PRIMARY, str(error))
        except errors.DatabaseRejectedError as error:
            used.broken = True
            if error.code == connection.TRANSACTION_EXPIRED_CODE:
                return outcomes.not_run(outcomes.Reason.TRANSACTION_LOST, str(error))
            return self._failed(error)
        except errors.ConnectionBrokenError as error:
            self.pool.record_timeout()
            if commit_sent:
                return outcomes.unknown(outcomes.Reason.DISCONNECTED, str(error))
            return outcomes.not_run(outcomes.Reason.DISCONNECTED, str(error))
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN, result=execution.result, position=committed.position
        )

    async def _repeat_known(
        self, used: connection.BackendConnection, known: request_records.KnownRequest
    ) -> outcomes.StatementReply:
        """Answer a repeated request with the recorded result of the first."""
        ended = await used.execute("ROLLBACK", timeout_s=self.left_s)
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN, result=known.result, position=ended.position
        )

    # Confirmation

    async def _confirm(self, reply: outcomes.StatementReply) -> outcomes.StatementReply:
        """Hold an acknowledgement back until a majority holds the write."""
        position = reply.position
        if reply.outcome is not outcomes.Outcome.RAN or position is None:
            return reply
        home = self.home
        home.tracker.note_held(self.request.slot, position)
        if not home.policy.confirm_by_majority:
            outcome = await home.waiters.term_held(
                position.term, since_s=time.monotonic(), deadline_s=self.deadline_s
            )
        else:
            outcome = await home.waiters.confirmed(position, deadline_s=self.deadline_s)
        if outcome is waiters.WaitOutcome.REACHED:
            return reply
        return await self._resolve_unconfirmed(reply, position)

    async def _resolve_unconfirmed(
        self, reply: outcomes.StatementReply, position: positions.Position
    ) -> outcomes.StatementReply:
        """Ask the next primary whether its log holds the write."""
        held = await self._held_by_next_primary(position)
        if held is None:
            return outcomes.unknown(
                outcomes.Reason.UNCONFIRMED,
                f"position {position} was written and no majority confirmed it in time",
            )
        if held:
            return reply
        return outcomes.not_run(
            outcomes.Reason.NOT_PRIMARY,
            f"position {position} is not in the log of the next primary and is rolled back",
        )

    async def _held_by_next_primary(self, position: positions.Position) -> bool | None:
        home = self.home
        outcome = await home.waiters.term_confirmed(after=position.term, deadline_s=self.deadline_s)
        primary = home.tracker.view.primary
        if outcome is not waiters.WaitOutcome.REACHED or primary is None:
            return None
        try:
            answer = await home.controls[primary].query("term_end", position.term)
        except errors.BackendError:
            return None
        return position.offset <= answer["offset"]

    # Transactions

    async def begin(self) -> outcomes.StatementReply:
        """Open a transaction on one connection at one term."""
        refusal = await self._refuse_write()
        if refusal is not None:
            return refusal
        term = self.home.tracker.view.term
        try:
            used = await self.pool.acquire(self._use())
        except errors.PoolRefusedError as error:
            return _pool_refusal(error)
        try:
            await used.use_term(term, timeout_s=self.left_s)
            execution = await used.execute("BEGIN", timeout_s=self.left_s)
        except errors.NotPrimaryError as error:
            self.pool.release(used, clean=True)
            return outcomes.not_run(outcomes.Reason.NOT_PRIMARY, str(error))
        except errors.BackendError as error:
            self.pool.release(used, clean=False)
            return outcomes.not_run(outcomes.Reason.DISCONNECTED, str(error))
        except BaseException:
            self.pool.release(used, clean=False)
            raise
        if self.owner.gone:
            self.pool.release(used, clean=False)
            return self._lost("its caller's instance is gone")
        self.home.open_transactions.add(
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
        transaction = self.home.open_transactions.get(self.request.transaction, owner=self.owner)
        if transaction is None:
            return self._lost("it is not open here; it was idle too long or its home changed")
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
            self.home.end_transaction(transaction, clean=False)
            raise
        finally:
            transaction.busy = False
            transaction.last_used_s = time.monotonic()
            if transaction.owner.gone:
                self.home.end_transaction(transaction, clean=False)

    def _lost(self, why: str) -> outcomes.StatementReply:
        return outcomes.not_run(
            outcomes.Reason.TRANSACTION_LOST, f"the transaction was rolled back: {why}"
        )

    async def _run_inside(
        self, transaction: transactions.OpenTransaction
    ) -> outcomes.StatementReply:
        try:
            execution = await transaction.used.execute(self.request.sql, timeout_s=self.left_s)
        except errors.NotPrimaryError as error:
            self.home.end_transaction(transaction, clean=False)
            return self._lost(str(error))
        except errors.DatabaseRejectedError as error:
            if error.code == connection.TRANSACTION_EXPIRED_CODE:
                self.home.end_transaction(transaction, clean=False)
                return self._lost(str(error))
            return self._failed(error)
        except errors.BackendError as error:
            self.home.end_transaction(transaction, clean=False)
            return self._lost(str(error))
        if self.request.kind is not outcomes.StatementKind.READ:
            return outcomes.StatementReply(outcome=outcomes.Outcome.RAN, result=execution.result)
        return await self._confirm_shown(transaction, execution)

    async def _confirm_shown(
        self, transaction: transactions.OpenTransaction, execution: connection.Execution
    ) -> outcomes.StatementReply:
        """Let a transaction's read show only what is certain to stay."""
        outcome = await self.home.waiters.confirmed(execution.position, deadline_s=self.deadline_s)
        if outcome is waiters.WaitOutcome.REACHED:
            return self._ran(execution)
        self.home.end_transaction(transaction, clean=False)
        return self._lost("no majority confirmed what it read")

    async def _roll_back(
        self, transaction: transactions.OpenTransaction
    ) -> outcomes.StatementReply:
        """Roll back; a connection whose ROLLBACK failed is closed, which rolls back too."""
        clean = False
        try:
            await transaction.used.execute("ROLLBACK", timeout_s=self.left_s)
            clean = True
        except errors.BackendError:
            clean = False
        finally:
            self.home.end_transaction(transaction, clean=clean)
        return outcomes.StatementReply(outcome=outcomes.Outcome.RAN, result=outcomes.Result())

    async def _commit(self, transaction: transactions.OpenTransaction) -> outcomes.StatementReply:
        if self.request.request_id is not None:
            refused = await self._record_commit(transaction)
            if refused is not None:
                return await self._confirm(refused)
        reply = await self._send_commit(transaction)
        if reply.outcome is outcomes.Outcome.UNKNOWN and self.request.request_id is not None:
            reply = await self._resolve_commit()
        return await self._confirm(reply)

    async def _record_commit(
        self, transaction: transactions.OpenTransaction
    ) -> outcomes.StatementReply | None:
        """Record the request id; a reply means that the transaction has ended without COMMIT."""
        used = transaction.used
        try:
            known = await request_records.record(
                used, self.request.request_id, timeout_s=self.left_s
            )
            if known is None:
                return None
            reply = await self._repeat_known(used, known)
        except errors.BackendError as error:
            self.home.end_transaction(transaction, clean=False)
            return self._lost(str(error))
        self.home.end_transaction(transaction, clean=True)
        return reply

    async def _send_commit(
        self, transaction: transactions.OpenTransaction
    ) -> outcomes.StatementReply:
        try:
            execution = await transaction.used.execute("COMMIT", timeout_s=self.left_s)
        except errors.DatabaseRejectedError as error:
            self.home.end_transaction(transaction, clean=False)
            return self._lost(str(error))
        except errors.NothingSentError as error:
            self.home.end_transaction(transaction, clean=False)
            return self._lost(str(error))
        except errors.BackendError as error:
            self.home.end_transaction(transaction, clean=False)
            return outcomes.unknown(outcomes.Reason.DISCONNECTED, str(error))
        self.home.end_transaction(transaction, clean=True)
        return self._ran(execution)

    async def _resolve_commit(self) -> outcomes.StatementReply:
        """Learn what became of a COMMIT without an answer, by barring its request id."""
        unresolved = outcomes.unknown(outcomes.Reason.DISCONNECTED, "the answer to COMMIT was lost")
        try:
            used = await self.pool.acquire(self._use(time.monotonic() + RESOLVE_S))
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
        await used.use_term(self.home.tracker.view.term, timeout_s=RESOLVE_S)
        try:
            barred = await used.execute(
                request_records.withdraw_statement(request_id), timeout_s=RESOLVE_S
            )
        except errors.DatabaseRejectedError as error:
            if error.code != connection.DUPLICATE_KEY_CODE:
                raise
            return await self._found_record(used, request_id)
        outcome = await self.home.waiters.confirmed(
            barred.position, deadline_s=time.monotonic() + RESOLVE_S
        )
        if outcome is not waiters.WaitOutcome.REACHED:
            return outcomes.unknown(outcomes.Reason.UNCONFIRMED, "the bar is not confirmed")
        return self._lost("its COMMIT did not take effect and never will")

    async def _found_record(
        self, used: connection.BackendConnection, request_id: ids.RequestId
    ) -> outcomes.StatementReply:
        known = await request_records.find(used, request_id, timeout_s=RESOLVE_S)
        if known is None or known.withdrawn:
            return self._lost("its COMMIT did not take effect and never will")
        shown = await used.execute("SELECT 1", timeout_s=RESOLVE_S)
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN, result=known.result, position=shown.position
        )


def _pool_refusal(error: errors.PoolRefusedError) -> outcomes.StatementReply:
    if isinstance(error, errors.PoolUnreachableError):
        return outcomes.not_run(outcomes.Reason.UNREACHABLE, str(error))
    return outcomes.not_run(outcomes.Reason.OVERLOADED, str(error))
