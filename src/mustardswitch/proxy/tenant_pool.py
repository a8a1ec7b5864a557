"""A pool of connections to one backend server, each of which serves one tenant.

The server is told the tenant when a connection is opened. A connection of another tenant is
therefore closed, and a new one opened, when a tenant has none left and the pool is full.
"""

import asyncio
import collections.abc
import functools
import math
import time
import typing

from mustardswitch import connection_pool
from mustardswitch.backends import errors
from mustardswitch.internal import ids
from mustardswitch.internal.admission import connection_use, limits
from mustardswitch.proxy import ports, routes

ANY_TENANT = "any tenant"
"""Caller of requests that any connection can serve, such as a status query. Names of tenants have
no blanks, so that none is taken for it."""
TURN_LENGTH = 4
"""Statements of one tenant in a row on a connection while another tenant waits: bounds the share
of a server's time that is spent on opening connections, without keeping the others waiting."""

Opener = collections.abc.Callable[[ids.TenantName], collections.abc.Awaitable[ports.Link]]


class TenantPool(connection_pool.ConnectionPool[ports.Link]):
    """A ConnectionPool whose requests name their tenant as their caller.

    ``opener`` opens a connection for a tenant; ``on_exchange`` is called when one of another tenant
    is closed for it.
    """

    def __init__(
        self,
        *,
        name: str,
        opener: Opener,
        size: int,
        reopen_limit_s: float = connection_pool.MAX_REOPEN_DELAY_S,
        on_exchange: collections.abc.Callable[[], None] = lambda: None,
        by_target: bool = False,
        on_refusal: connection_pool.RefusalCallback = lambda reason, request: None,
    ) -> None:
        super().__init__(
            name=name,
            opener=lambda: opener(routes.NO_TENANT),
            size=size,
            reopen_limit_s=reopen_limit_s,
            by_target=by_target,
            on_refusal=on_refusal,
        )
        self.tenant_opener = opener
        self.on_exchange = on_exchange
        self.max_openings = math.inf
        """Connections that are opened for statements at once."""
        self.turns: dict[int, int] = {}
        """Statements in a row that each connection has served for its tenant, by its ``id``."""

    def _open_missing(self, wanted: int) -> None:
        """Keep at most one connection open ahead of a statement; it shows whether the server runs.

        Those of tenants are opened when a statement needs one.
        """
        super()._open_missing(min(wanted, 1))

    def idle_of(
        self, tenant: str, fitness: collections.abc.Callable[[typing.Any], int] | None = None
    ) -> ports.Link | None:
        """Return the idle connection of a tenant that was used last, or the fittest one."""
        found = [
            link for link in self.idle if tenant in (ANY_TENANT, link.tenant) and not link.broken
        ]
        if not found:
            return None
        return found[-1] if fitness is None else max(reversed(found), key=fitness)

    async def acquire(self, request: connection_pool.ConnectionRequest) -> ports.Link:
        """Return a connection of the request's tenant, which is the request's ``caller``.

        Raises PoolRefusedError: as PoolFullError when the deadline cannot be met, and as
        PoolUnreachableError when the server is unreachable or the pool is closed.
        """
        if self.closed:
            raise errors.PoolUnreachableError("this instance is no longer connected to the server")
        self._check_time_left(request)
        self._drop_broken()
        link = self.free_connection(request)
        if link is not None:
            self._note_served_at_once(request)
            return self._take(link, holds=request.holds, priority=request.priority)
        return await self._wait_in_queue(request)

    def free_connection(self, request: connection_pool.ConnectionRequest) -> ports.Link | None:
        """Return the idle connection that a request gets at once; None if it has to wait."""
        link = self.idle_of(request.caller, request.fitness)
        free = self.busy + self.opening < self.limit.allowed and not self.waiting
        return link if link is not None and free and self._has_room(request) else None

    def is_unreachable_for(self, request: connection_pool.ConnectionRequest) -> bool:
        """Return whether a request that would have to wait is refused as unreachable."""
        paused = self.idle_of(request.caller) is None and self._paused()
        return paused or super().is_unreachable_for(request)

    @property
    def room(self) -> int:
        """Number of waiting requests that may be served now."""
        return max(0, self.limit.allowed - self.busy - self.opening)

    def _drop_broken(self) -> None:
        for link in [link for link in self.idle if link.broken]:
            self._forget(link)

    def _forget(self, link: ports.Link) -> None:
        self.idle.remove(link)
        self._close(link)

    def _close(self, connection: ports.Link) -> None:
        self.turns.pop(id(connection), None)
        super()._close(connection)

    def _paused(self) -> bool:
        """Return whether no connection is opened now, after an attempt that failed."""
        return bool(self.failures) and asyncio.get_running_loop().time() < self.retry_at_s

    def _take(
        self, link: ports.Link, *, holds: bool, priority: int, since_s: float | None = None
    ) -> ports.Link:
        self.turns[id(link)] = self.turns.get(id(link), 0) + 1
        return self._hand_out(link, holds=holds, priority=priority, since_s=since_s)

    def _serve_queue(self) -> None:
        self._drop_broken()
        while self.room:
            if self.opening >= self.max_openings:
                self._serve_idle(self.tenants_in_turn())
                return
            waiting = self._take_waiting(preferred=self.tenants_in_turn())
            if waiting is None:
                return
            if waiting.ticket.done():
                continue
            link = self.idle_of(waiting.caller)
            if link is not None:
                link = self._take(link, holds=waiting.holds, priority=waiting.priority)
                waiting.ticket.set_result(link)
            elif self._paused():
                waiting.ticket.set_exception(
                    errors.PoolUnreachableError("the server is unreachable")
                )
            else:
                self._open_for(waiting)

    def _serve_idle(self, tenants: frozenset[str] | None = None) -> None:
        """Hand out idle connections to waiting statements of their tenants, and open none.

        With ``tenants`` only to theirs.
        """
        while self.idle and self.room:
            served = frozenset(link.tenant for link in self.idle)
            served = served if tenants is None else served & tenants
            waiting = self._take_waiting(preferred=served)
            if waiting is None:
                return
            if waiting.ticket.done():
                continue
            link = self.idle_of(waiting.caller)
            if link is None or waiting.caller not in (ANY_TENANT, *served):
                self.admission.put_back(waiting)
                return
            link = self._take(link, holds=waiting.holds, priority=waiting.priority)
            waiting.ticket.set_result(link)

    def tenants_in_turn(self) -> frozenset[str]:
        """Return the tenants of idle connections that may serve another statement of theirs."""
        return frozenset(
            link.tenant for link in self.idle if self.turns.get(id(link), 0) % TURN_LENGTH
        )

    @property
    def would_exchange(self) -> bool:
        """Whether the next connection is opened in place of one of another tenant."""
        return self.held >= self.size and bool(self.idle)

    def _open_for(self, waiting: limits.Waiting[asyncio.Future[ports.Link]]) -> None:
        """Open a connection for a waiting statement, in place of another tenant's if necessary."""
        if self.would_exchange:
            self._forget(self.idle[0])
            self.on_exchange()
        self.opening += 1
        hold = connection_use.Hold(
            at_s=time.monotonic(), holds=waiting.holds, priority=waiting.priority
        )
        self.use.begin(id(waiting), hold)
        task = asyncio.create_task(self._open_and_hand_out(waiting))
        self.tasks.add(task)
        task.add_done_callback(functools.partial(self._end_opening, waiting))

    def _end_opening(
        self, waiting: limits.Waiting[asyncio.Future[ports.Link]], task: asyncio.Task[None]
    ) -> None:
        """Reject a statement that has no connection although the opening of one has ended.

        The task may have been cancelled before its first step, or have failed unexpectedly.
        """
        self.tasks.discard(task)
        if self.use.cancel(id(waiting)) is not None:
            self.opening -= 1
        if not waiting.ticket.done():
            waiting.ticket.set_exception(
                errors.PoolUnreachableError("the connection was not opened")
            )

    async def _open_and_hand_out(self, waiting: limits.Waiting[asyncio.Future[ports.Link]]) -> None:
        tenant = routes.NO_TENANT if waiting.caller == ANY_TENANT else waiting.caller
        try:
            link = await self.tenant_opener(ids.TenantName(tenant))
        except errors.BackendError as error:
            self._note_failed_opening()
            if not waiting.ticket.done():
                waiting.ticket.set_exception(errors.PoolUnreachableError(str(error)))
            asyncio.get_running_loop().call_soon(self._serve_idle)
            return
        finally:
            self.opening -= 1
            opened = self.use.cancel(id(waiting))
        self.failures = 0
        self.retry_at_s = float("-inf")
        if self.closed or (waiting.ticket.done() and self.held >= self.size):
            link.close()
            return
        self.idle.append(link)
        if not waiting.ticket.done():
            # Opening takes the server's time as the statement itself does.
            link = self._take(
                link,
                holds=waiting.holds,
                priority=waiting.priority,
                since_s=opened.at_s if self.by_target and opened is not None else None,
            )
            waiting.ticket.set_result(link)
            self._serve_queue()
        else:
            self.returned_at_s[id(link)] = asyncio.get_running_loop().time()
            self._serve_queue()

    def _note_failed_opening(self) -> None:
        self.failures += 1
        delay_s = min(
            self.reopen_limit_s, connection_pool.REOPEN_DELAY_S * 2 ** min(self.failures, 5)
        )
        loop = asyncio.get_running_loop()
        self.retry_at_s = loop.time() + min(delay_s, connection_pool.MAX_DEMAND_DELAY_S)
        loop.call_at(self.retry_at_s, self._retry)

    def _retry(self) -> None:
        if not self.closed:
            self._serve_queue()
            self._recheck_later()
            if self.reopens_unused:
                self._open_missing(1)
