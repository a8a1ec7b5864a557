"""Admits work by its time limit, and serves it by priority and in turn between callers.

Short statements and transactions wait in two separate queues.
"""

import collections.abc
import enum
import typing

from mustardswitch.internal.admission import connection_use, limits

INITIAL_SERVICE_S = 0.001
"""Time for which a statement is assumed to hold a connection until one was measured."""

Ticket = typing.TypeVar("Ticket")


class Reason(enum.Enum):
    """Why work was refused."""

    TIME_LIMIT = "time_limit"
    """It would miss its time limit, or too much work waits already."""
    LATE = "late"
    """It would miss its target, and work that can meet its own takes the whole capacity."""
    DISPLACED = "displaced"
    """It waited, and would now miss its time limit, since other work goes first or the server
    became slower."""
    WAITED = "waited"
    """No connection became free within its time limit."""


class InTurn(typing.Generic[Ticket]):
    """Admission and order of the work that waits for one server.

    ``allowed`` is everywhere the number of connections that may be in use now.
    """

    def __init__(self, *, max_length: int) -> None:
        queue_type = self.queue_type()
        self.statements = queue_type(max_length=max_length)
        self.transactions = queue_type(max_length=max_length)

    def __repr__(self) -> str:
        return f"{type(self).__name__}(max_length={self.statements.max_length!r})"

    @staticmethod
    def queue_type() -> type[limits.AdmissionQueue]:
        """Return the type of the queues."""
        return limits.AdmissionQueue

    @property
    def length(self) -> int:
        """Number of statements and transactions that wait."""
        return self.statements.length + self.transactions.length

    def resize(self, max_length: int) -> None:
        """Let up to ``max_length`` statements, and as many transactions, wait from now on."""
        self.statements.max_length = self.transactions.max_length = max_length

    def queue(self, *, holds: bool) -> limits.AdmissionQueue[Ticket]:
        """Return the queue of transactions, or that of short statements."""
        return self.transactions if holds else self.statements

    def remove(self, ticket: Ticket) -> bool:
        """Remove what no longer waits; return whether it was queued."""
        return self.statements.remove(ticket) or self.transactions.remove(ticket)

    def take_all(self) -> list[limits.Waiting[Ticket]]:
        """Remove and return everything that waits."""
        taken = []
        for queue in (self.statements, self.transactions):
            while (waiting := queue.take()) is not None:
                taken.append(waiting)
        return taken

    def restore(self, waiting: limits.Waiting[Ticket]) -> None:
        """Queue work again without deciding on it."""
        self.queue(holds=waiting.holds).restore(waiting)

    def put_back(self, waiting: limits.Waiting[Ticket]) -> None:
        """Queue work again that was taken and could not be served: it is the next one."""
        self.queue(holds=waiting.holds).put_back(waiting)

    def admit(
        self,
        waiting: limits.Waiting[Ticket],
        *,
        use: connection_use.ConnectionUse,
        allowed: int,
        average_s: float,
        now_s: float,
    ) -> Reason | None:
        """Queue work, or return the reason for which it is refused.

        ``average_s`` is the average latency of the server's answers, 0 if unknown.
        """
        service_s = use.average_holding_s[waiting.holds] or average_s or INITIAL_SERVICE_S
        held = 0 if waiting.holds else max(use.transactions, round(use.average_transactions))
        admitted = self.queue(holds=waiting.holds).offer(
            waiting, now_s=now_s, service_s=service_s, concurrency=max(1, allowed - held)
        )
        return None if admitted else Reason.TIME_LIMIT

    def has_time(self, deadline_s: float, now_s: float) -> bool:
        """Return whether work with a time limit may use a connection that is free."""
        return True

    def has_room(
        self,
        use: connection_use.ConnectionUse,
        *,
        priority: int,
        holds: bool,
        allowed: int,
        now_s: float,
    ) -> bool:
        """Return whether work may use one of the free connections."""
        return not holds or use.transactions < limits.max_transaction_connections(allowed)

    def note_use(self, use: connection_use.ConnectionUse, now_s: float) -> None:
        """Record that the use of the connections has changed."""

    def note_served_at_once(self, caller: str, *, priority: int, holds: bool, now_s: float) -> None:
        """Record work that found a free connection."""

    def shed(
        self, use: connection_use.ConnectionUse, *, allowed: int, now_s: float
    ) -> list[limits.Waiting[Ticket]]:
        """Remove and return waiting work that will certainly miss its time limit."""
        return []

    def take(
        self,
        use: connection_use.ConnectionUse,
        *,
        allowed: int,
        now_s: float,
        preferred: collections.abc.Container[str] = frozenset(),
    ) -> limits.Waiting[Ticket] | None:
        """Remove and return what is served next; None when nothing waits or may be served."""
        room = self.has_room(use, priority=0, holds=True, allowed=allowed, now_s=now_s)
        holds = limits.transaction_goes_first(
            statement=self.statements.next_priority(),
            transaction=self.transactions.next_priority() if room else None,
        )
        return self.queue(holds=holds).take(preferred=preferred)
