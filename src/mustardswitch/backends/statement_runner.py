"""Passes each statement request to the class that runs it."""

import typing

from mustardswitch.backends import errors, read_run, transaction_run, transactions, write_run
from mustardswitch.internal import outcomes

if typing.TYPE_CHECKING:
    from mustardswitch.backends import group_gateway


class StatementRunner:
    """Runs the statements that reach one gateway, each according to its kind."""

    def __init__(self, *, gateway: "group_gateway.GroupGateway") -> None:
        self.gateway = gateway

    async def run(
        self, request: outcomes.StatementRequest, *, owner: transactions.TransactionOwner
    ) -> outcomes.StatementReply:
        """Run one statement; one that the pool rejected was not sent and is *not run*."""
        try:
            return await self._run(request, owner=owner)
        except errors.PoolUnreachableError as error:
            return outcomes.not_run(outcomes.Reason.UNREACHABLE, str(error))
        except errors.PoolRefusedError as error:
            return outcomes.not_run(outcomes.Reason.OVERLOADED, str(error))

    async def _run(
        self, request: outcomes.StatementRequest, *, owner: transactions.TransactionOwner
    ) -> outcomes.StatementReply:
        if request.kind is outcomes.StatementKind.BEGIN:
            begin_run = transaction_run.TransactionRun(
                gateway=self.gateway, request=request, owner=owner
            )
            return await begin_run.begin()
        if request.transaction is not None:
            transaction_statement = transaction_run.TransactionRun(
                gateway=self.gateway, request=request, owner=owner
            )
            return await transaction_statement.run_in_transaction()
        if request.kind is outcomes.StatementKind.READ:
            return await read_run.ReadRun(gateway=self.gateway, request=request, owner=owner).read()
        return await write_run.WriteRun(gateway=self.gateway, request=request, owner=owner).write()
