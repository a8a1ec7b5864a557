"""The base class of statement runs: deadline, connection pool, rejections and confirmation.

The outcome of a statement is *not run* if its first byte was not sent, if the slot rejected it, or
if it was provably rolled back; *unknown* if it was sent and its answer or confirmation is missing;
otherwise it *ran*.
"""

import asyncio
import dataclasses
import functools
import time
import typing

from mustardswitch import connection_pool
from mustardswitch.backends import (
    connection,
    errors,
    request_records,
    transactions,
    waiters,
)
from mustardswitch.internal import outcomes, positions
from mustardswitch.internal.admission import limits

if typing.TYPE_CHECKING:
    from mustardswitch.backends import group_gateway

POSITION_QUERY = "SELECT 1"


class StatementRun:
    """The run of one statement at the gateway of its slot."""

    def __init__(
        self,
        *,
        gateway: "group_gateway.GroupGateway",
        request: outcomes.StatementRequest,
        owner: transactions.TransactionOwner,
    ) -> None:
        self.gateway = gateway
        self.request = request
        self.owner = owner
        self.started_s = time.monotonic()
        self.deadline_s = self.started_s + request.deadline_s

    @property
    def remaining_s(self) -> float:
        """Seconds left until the deadline, at least one millisecond."""
        return max(0.001, self.deadline_s - time.monotonic())

    @functools.cached_property
    def pool(self) -> connection_pool.ConnectionPool | None:
        """The pool of the statement's slot, or None if this instance is not its gateway."""
        return self.gateway.pools.get(self.request.slot)

    def connection_request(
        self, deadline_s: float | None = None
    ) -> connection_pool.ConnectionRequest:
        """Return the request of this statement for a connection from a pool."""
        stale = self.request.stale_listing
        return connection_pool.ConnectionRequest(
            caller=self.request.caller,
            priority=limits.Priority.STALE_LISTING if stale else limits.Priority.URGENT,
            deadline_s=deadline_s or self.deadline_s,
            waits_for_server=self.request.kind is not outcomes.StatementKind.READ,
        )

    def not_gateway(self) -> outcomes.StatementReply:
        """Build the rejection of an instance that holds no connections to the slot."""
        return outcomes.not_run(
            outcomes.Reason.UNREACHABLE,
            f"this instance is not the gateway of slot {self.request.slot}",
        )

    def failed(self, error: errors.DatabaseRejectedError) -> outcomes.StatementReply:
        """Build the reply that carries the database's own error."""
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN,
            failure=outcomes.DatabaseFailure(code=error.code, message=error.message),
        )

    async def failed_at_primary(
        self, used: connection.BackendConnection, error: errors.DatabaseRejectedError
    ) -> outcomes.StatementReply:
        """Return the database's error once the state that it reveals is confirmed.

        An error such as a duplicate key reveals the write of another caller, which may not be
        confirmed yet and could be lost with the primary.
        """
        try:
            current = await used.execute(POSITION_QUERY, timeout_s=self.remaining_s)
        except errors.BackendError as failure:
            return outcomes.not_run(outcomes.Reason.DISCONNECTED, str(failure))
        outcome = await self.gateway.waiters.confirmed(current.position, deadline_s=self.deadline_s)
        if outcome is not waiters.WaitOutcome.REACHED:
            return outcomes.not_run(
                outcomes.Reason.UNCONFIRMED,
                f"no majority confirmed the state that the error reveals: {error}",
            )
        return dataclasses.replace(self.failed(error), position=current.position)

    async def reject_write(self) -> outcomes.StatementReply | None:
        """Return the rejection of a write that may not start here, or None when it may.

        During a handover, a planned change of primary, waits up to the deadline for the handover to
        end.
        """
        if self.pool is None:
            return self.not_gateway()
        if not await self._writes_allowed():
            return outcomes.not_run(
                outcomes.Reason.DEADLINE, "a planned change of primary took too long"
            )
        view = self.gateway.tracker.view
        if view.primary != self.request.slot:
            return outcomes.not_run(
                outcomes.Reason.NOT_PRIMARY, f"slot {self.request.slot} is not primary"
            )
        return None

    async def _writes_allowed(self) -> bool:
        try:
            async with asyncio.timeout(self.remaining_s):
                await self.gateway.writes_allowed.wait()
        except TimeoutError:
            return False
        return True

    def ran(self, execution: connection.Execution) -> outcomes.StatementReply:
        """Build the reply for a statement that succeeded."""
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN, result=execution.result, position=execution.position
        )

    def transaction_lost(self, why: str) -> outcomes.StatementReply:
        """Build the reply for a statement whose transaction was rolled back."""
        return outcomes.not_run(
            outcomes.Reason.TRANSACTION_LOST, f"the transaction was rolled back: {why}"
        )

    async def repeat_known(
        self, used: connection.BackendConnection, known: request_records.KnownRequest
    ) -> outcomes.StatementReply:
        """Roll back, and answer a repeated request with the result of the first attempt."""
        ended = await used.execute("ROLLBACK", timeout_s=self.remaining_s)
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN, result=known.result, position=ended.position
        )

    async def confirm(self, reply: outcomes.StatementReply) -> outcomes.StatementReply:
        """Delay the reply to a write until it is confirmed; return other replies at once."""
        position = reply.position
        if reply.outcome is not outcomes.Outcome.RAN or position is None or reply.failure:
            return reply
        self.gateway.tracker.note_held(self.request.slot, position)
        started_s = time.monotonic()
        outcome = await self._wait_for_confirmation(position, started_s)
        self.gateway.registry.record_seconds("confirmation", time.monotonic() - started_s)
        if outcome is waiters.WaitOutcome.REACHED:
            return reply
        return await self._resolve_unconfirmed(reply, position)

    async def _wait_for_confirmation(
        self, position: positions.Position, started_s: float
    ) -> waiters.WaitOutcome:
        """Wait for a majority to hold the position or to promise its term, as configured."""
        if self.gateway.policy.confirm_by_majority:
            return await self.gateway.waiters.confirmed(position, deadline_s=self.deadline_s)
        return await self.gateway.waiters.term_held(
            position.term, since_s=started_s, deadline_s=self.deadline_s
        )

    async def _resolve_unconfirmed(
        self, reply: outcomes.StatementReply, position: positions.Position
    ) -> outcomes.StatementReply:
        """Find out whether the log of the next primary holds the write."""
        held = await self._held_by_next_primary(position)
        if held is None:
            return outcomes.unknown(
                outcomes.Reason.UNCONFIRMED,
                f"position {position} was written, but no majority confirmed it in time",
            )
        if held:
            return reply
        return outcomes.not_run(
            outcomes.Reason.NOT_PRIMARY,
            f"position {position} is not in the log of the next primary and is rolled back",
        )

    async def _held_by_next_primary(self, position: positions.Position) -> bool | None:
        gateway = self.gateway
        outcome = await gateway.waiters.term_confirmed(
            after=position.term, deadline_s=self.deadline_s
        )
        primary = gateway.tracker.view.primary
        if outcome is not waiters.WaitOutcome.REACHED or primary is None:
            return None
        try:
            answer = await gateway.controls[primary].query("term_end", position.term)
        except errors.BackendError:
            return None
        return position.offset <= answer["offset"]
