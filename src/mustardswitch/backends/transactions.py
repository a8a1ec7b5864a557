"""Open transactions of one home, each pinned to one connection at one term."""

import dataclasses

from mustardswitch import connection_pool
from mustardswitch.backends import connection
from mustardswitch.internal import ids


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class TransactionOwner:
    """Whoever sends the statements of transactions: this instance, or one stream of a peer."""

    name: str
    disconnected: bool = False
    """Whether nobody will end its transactions any more."""


LOCAL_OWNER = TransactionOwner(name="local")


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class OpenTransaction:
    """A transaction and the connection that runs it."""

    transaction: ids.TransactionId
    owner: TransactionOwner
    pool: connection_pool.ConnectionPool
    used: connection.BackendConnection
    term: ids.Term
    last_used_s: float
    busy: bool = False
    """Whether a statement of it is out."""


class OpenTransactions:
    """The open transactions by their ids."""

    def __init__(self) -> None:
        self.by_id: dict[ids.TransactionId, OpenTransaction] = {}

    def add(self, transaction: OpenTransaction) -> None:
        """Keep a new transaction."""
        self.by_id[transaction.transaction] = transaction

    def get(
        self, transaction: ids.TransactionId, *, owner: TransactionOwner
    ) -> OpenTransaction | None:
        """Return a transaction of ``owner``; nobody else may use it."""
        found = self.by_id.get(transaction)
        return found if found is not None and found.owner is owner else None

    def remove(self, transaction: OpenTransaction) -> bool:
        """Forget a transaction; false when it was forgotten already."""
        return self.by_id.pop(transaction.transaction, None) is not None

    def of_owner(self, owner: TransactionOwner) -> list[OpenTransaction]:
        """Return the transactions of one instance's callers."""
        return [found for found in self.by_id.values() if found.owner is owner]

    def expired(self, *, now_s: float, idle_s: float) -> list[OpenTransaction]:
        """Return the transactions that were idle too long."""
        return [
            found
            for found in self.by_id.values()
            if not found.busy and now_s - found.last_used_s > idle_s
        ]
