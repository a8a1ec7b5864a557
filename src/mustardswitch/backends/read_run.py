"""Runs reads outside a transaction."""

import time

from mustardswitch.backends import connection, errors, statement_run, waiters
from mustardswitch.internal import outcomes

LAG_MARGIN_S = 0.3
"""Seconds by which a replica's last known lag must exceed the wait for the wait to be skipped."""


class ReadRun(statement_run.StatementRun):
    """One read outside a transaction."""

    async def read(self) -> outcomes.StatementReply:
        """Read if the slot has reached the session's minimum position or is within the stated age.

        If the slot lags, waits up to the group's replica wait for it to reach the position, and
        then reads once more.
        """
        if self.pool is None:
            return self.not_gateway()
        leaving = self.request.slot in self.gateway.policy.leaving
        if leaving and self.request.slot != self.gateway.tracker.view.primary:
            return outcomes.not_run(outcomes.Reason.LEAVING, f"slot {self.request.slot} is leaving")
        reply = await self._read_once()
        if reply.reason is not outcomes.Reason.BEHIND or self.request.min_position is None:
            return reply
        wait_s = min(self.gateway.policy.replica_wait_s, self.remaining_s)
        if self._lags_too_far(wait_s):
            return reply
        reached = await self.gateway.waiters.applied(
            self.request.slot, self.request.min_position, deadline_s=time.monotonic() + wait_s
        )
        if reached is not waiters.WaitOutcome.REACHED:
            return reply
        return await self._read_once()

    def _lags_too_far(self, wait_s: float) -> bool:
        """Return whether the slot's last known lag is too long for the wait to make up."""
        seen = self.gateway.tracker.observations.get(self.request.slot)
        if seen is None or self.request.slot == self.gateway.tracker.view.primary:
            return False
        lag_s = self.gateway.tracker.age_s(seen.status.applied, now_s=seen.query_sent_at_s)
        return LAG_MARGIN_S + wait_s < lag_s < float("inf")

    async def _read_once(self) -> outcomes.StatementReply:
        view = self.gateway.tracker.view
        leads = view.primary == self.request.slot
        query_sent_at_s = time.monotonic()
        used = await self.pool.acquire(self.connection_request())
        began_s = time.monotonic()
        try:
            await used.use_term(
                view.term if leads else connection.NO_TERM, timeout_s=self.remaining_s
            )
            execution = await used.execute(self.request.sql, timeout_s=self.remaining_s)
        except errors.NotPrimaryError as error:
            return outcomes.not_run(outcomes.Reason.NOT_PRIMARY, str(error))
        except errors.DatabaseRejectedError as error:
            return self.failed(error)
        except errors.ConnectionBrokenError as error:
            self.pool.record_timeout()
            return outcomes.not_run(outcomes.Reason.DISCONNECTED, str(error))
        finally:
            self.pool.record(time.monotonic() - began_s)
            self.pool.release(used, clean=not used.broken)
        return await self._check_read(execution, leads=leads, query_sent_at_s=query_sent_at_s)

    async def _check_read(
        self, execution: connection.Execution, *, leads: bool, query_sent_at_s: float
    ) -> outcomes.StatementReply:
        """Reject a result that is too old, or that no majority confirms and that could be lost."""
        position = execution.position
        tracker = self.gateway.tracker
        tracker.note_held(self.request.slot, position)
        min_position = self.request.min_position
        if min_position is not None and position < min_position:
            return outcomes.not_run(
                outcomes.Reason.BEHIND,
                f"slot {self.request.slot} is at position {position}, "
                f"the session needs {min_position}",
            )
        max_age_s = self.request.max_age_s
        if max_age_s is not None and tracker.age_s(position, now_s=query_sent_at_s) > max_age_s:
            return outcomes.not_run(
                outcomes.Reason.BEHIND,
                f"the data of slot {self.request.slot} may be older than {max_age_s} s",
            )
        if not tracker.is_confirmed(position):
            outcome = await self.gateway.waiters.confirmed(position, deadline_s=self.deadline_s)
            if outcome is not waiters.WaitOutcome.REACHED:
                return outcomes.not_run(
                    outcomes.Reason.UNCONFIRMED,
                    f"no majority confirmed position {position}, read at slot {self.request.slot}",
                )
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN,
            result=execution.result,
            position=position,
            served_by_replica=not leads,
        )
