"""What every run of a statement shares: its deadline, its pool, refusals and confirmation.

What decides between the outcomes: a statement whose first byte was not sent, that the slot refused,
or that was provably rolled back is *not run*; a statement that was sent and whose answer or
confirmation is missing is *unknown*; everything else *ran*.
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
from mustardswitch.internal import limits, outcomes, positions

if typing.TYPE_CHECKING:
    from mustardswitch.backends import group_gateway

POSITION_QUESTION = "SELECT 1"


class StatementRun:
    """One statement on its way through the home."""

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
        """Seconds left to the deadline."""
        return max(0.001, self.deadline_s - time.monotonic())

    @functools.cached_property
    def pool(self) -> connection_pool.ConnectionPool | None:
        """The pool of the slot that the statement asks for."""
        return self.gateway.pools.get(self.request.slot)

    def use(self, deadline_s: float | None = None) -> connection_pool.ConnectionRequest:
        """Describe this statement to a pool."""
        stale = self.request.stale_listing
        return connection_pool.ConnectionRequest(
            caller=self.request.caller,
            priority=limits.Priority.STALE_LISTING if stale else limits.Priority.URGENT,
            deadline_s=deadline_s or self.deadline_s,
            waits_for_server=self.request.kind is not outcomes.StatementKind.READ,
        )

    def no_home(self) -> outcomes.StatementReply:
        """Build the refusal of an instance that holds no connections to the slot."""
        return outcomes.not_run(
            outcomes.Reason.UNREACHABLE,
            f"this instance is not the home of slot {self.request.slot}",
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
        """Pass the database's error on once what it shows is certain to stay.

        An error such as a duplicate key shows a write of somebody else, which may not be
        confirmed yet and could be lost with the primary.
        """
        try:
            shown = await used.execute(POSITION_QUESTION, timeout_s=self.remaining_s)
        except errors.BackendError as failure:
            return outcomes.not_run(outcomes.Reason.DISCONNECTED, str(failure))
        outcome = await self.gateway.waiters.confirmed(shown.position, deadline_s=self.deadline_s)
        if outcome is not waiters.WaitOutcome.REACHED:
            return outcomes.not_run(
                outcomes.Reason.UNCONFIRMED, f"no majority confirmed what the error shows: {error}"
            )
        return dataclasses.replace(self.failed(error), position=shown.position)

    async def refuse_write(self) -> outcomes.StatementReply | None:
        """Return why a write may not start here, or None when it may."""
        if self.pool is None:
            return self.no_home()
        if not await self._writes_allowed():
            return outcomes.not_run(outcomes.Reason.DEADLINE, "a planned change took too long")
        view = self.gateway.tracker.view
        if view.primary != self.request.slot:
            return outcomes.not_run(
                outcomes.Reason.NOT_PRIMARY, f"slot {self.request.slot} does not lead"
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

    def lost(self, why: str) -> outcomes.StatementReply:
        """Build the reply for a statement whose transaction was rolled back."""
        return outcomes.not_run(
            outcomes.Reason.TRANSACTION_LOST, f"the transaction was rolled back: {why}"
        )

    async def repeat_known(
        self, used: connection.BackendConnection, known: request_records.KnownRequest
    ) -> outcomes.StatementReply:
        """Answer a repeated request with the recorded result of the first."""
        ended = await used.execute("ROLLBACK", timeout_s=self.remaining_s)
        return outcomes.StatementReply(
            outcome=outcomes.Outcome.RAN, result=known.result, position=ended.position
        )

    async def confirm(self, reply: outcomes.StatementReply) -> outcomes.StatementReply:
        """Hold an acknowledgement back until a majority holds the write."""
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
        """Wait as the section says: for a majority's logs, or for a majority's promise."""
        if self.gateway.policy.confirm_by_majority:
            return await self.gateway.waiters.confirmed(position, deadline_s=self.deadline_s)
        return await self.gateway.waiters.term_held(
            position.term, since_s=started_s, deadline_s=self.deadline_s
        )

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
