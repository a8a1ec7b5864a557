"""Passes each statement request to the class that runs it."""

import typing

from mustardswitch.backends import errors, read_run, transaction_run, transactions, write_run
from mustardswitch.internal import outcomes

if typing.TYPE_CHECKING:
    from mustardswitch.backends import group_home


class StatementRunner:
    """Runs the statements that reach one gateway, each according to its kind."""

    def __init__(self, *, home: "group_home.GroupHome") -> None:
        self.home = home

    async def run(
        self, request: outcomes.StatementRequest, *, owner: transactions.Owner
    ) -> outcomes.StatementReply:
        """Run one statement; one that the pool rejected was not sent and is *not run*."""
        try:
            return await self._run(request, owner=owner)
        except errors.PoolUnreachableError as error:
            return outcomes.not_run(outcomes.Reason.UNREACHABLE, str(error))
        except errors.PoolRefusedError as error:
            return outcomes.not_run(outcomes.Reason.OVERLOADED, str(error))

    async def _run(
        self, request: outcomes.StatementRequest, *, owner: transactions.Owner
    ) -> outcomes.StatementReply:
        if request.kind is outcomes.StatementKind.BEGIN:
            begin_run = transaction_run.TransactionRun(home=self.home, request=request, owner=owner)
            return await begin_run.begin()
        if request.transaction is not None:
            transaction_statement = transaction_run.TransactionRun(
                home=self.home, request=request, owner=owner
            )
            return await transaction_statement.run_in_transaction()
        if request.kind is outcomes.StatementKind.READ:
            return await read_run.ReadRun(home=self.home, request=request, owner=owner).read()
        return await write_run.WriteRun(home=self.home, request=request, owner=owner).write()
