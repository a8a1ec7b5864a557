"""What a connection pool would do with a request now, by its own decisions and without effect."""

import asyncio
import collections.abc
import copy
import dataclasses
import enum
import functools
import time
import typing

from mustardswitch import connection_pool
from mustardswitch.internal.admission import in_turn, limits
from mustardswitch.proxy import tenant_pool

Admission = in_turn.InTurn[asyncio.Future[typing.Any]]


class Action(enum.Enum):
    """What happens to a request for a connection."""

    IDLE = "uses an idle connection"
    OPENS = "opens a connection"
    EXCHANGES = "opens a connection in place of another tenant's"
    WAITS = "waits"
    REFUSED = "is refused"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forecast:
    """What a pool would do with a request, and its use of connections."""

    action: Action
    ahead: int = 0
    """Statements that wait already."""
    reason: str = ""
    """Why it is refused or waits."""


def forecast(
    pool: connection_pool.ConnectionPool[typing.Any], request: connection_pool.ConnectionRequest
) -> Forecast:
    """Return what ``pool.acquire`` would do with a request now; changes nothing."""
    now_s = time.monotonic()
    if pool.closed:
        return Forecast(action=Action.REFUSED, reason="the pool is closed")
    if not pool.admission.has_time(request.deadline_s, now_s):
        return Forecast(action=Action.REFUSED, reason="too little time is left for an answer")
    if pool.free_connection(request) is not None:
        return Forecast(action=Action.IDLE)
    if pool.is_unreachable_for(request):
        return Forecast(action=Action.REFUSED, reason="the server is unreachable")
    admission = _copy_admission(pool.admission)
    ticket: asyncio.Future[typing.Any] = asyncio.get_running_loop().create_future()
    reason = pool.offer(admission, request, ticket, now_s)
    if reason is not None:
        return Forecast(action=Action.REFUSED, ahead=pool.waiting, reason=reason.value)
    return _after_admission(pool, admission, ticket)


def _copy_admission(admission: Admission) -> Admission:
    """Return a copy of the queues that shares the requests that wait in them."""
    waiting = [
        each
        for queue in (admission.statements, admission.transactions)
        for callers in queue.queues.values()
        for requests in callers.values()
        for each in requests
    ]
    return copy.deepcopy(admission, {id(each): each for each in waiting})


def _describe_wait(pool: connection_pool.ConnectionPool[typing.Any]) -> str:
    if pool.opening:
        return "a connection is being opened"
    if pool.failures and time.monotonic() < pool.retry_at_s:
        return "a connection is opened again after a pause"
    if pool.busy >= pool.limit.allowed:
        return "all connections that may be used are in use"
    return "free connections are kept for other work"


def _after_admission(
    pool: connection_pool.ConnectionPool[typing.Any],
    admission: Admission,
    ticket: asyncio.Future[typing.Any],
) -> Forecast:
    """Return what follows the admission of a request to the copied queues."""
    action = Action.WAITS
    for served in _served(pool, admission):
        if served.ticket is ticket:
            action = _serve(pool, served.caller)
    if action is Action.WAITS and _would_open_ahead(pool):
        action = Action.OPENS
    reason = _describe_wait(pool) if action is Action.WAITS else ""
    return Forecast(action=action, ahead=pool.waiting, reason=reason)


@functools.singledispatch
def _serve(pool: connection_pool.ConnectionPool[typing.Any], caller: str) -> Action:
    """Return how a waiting request of a caller is served when its turn has come."""
    return Action.IDLE


@_serve.register
def _(pool: tenant_pool.TenantPool, caller: str) -> Action:
    if pool.idle_of(caller) is not None:
        return Action.IDLE
    return Action.EXCHANGES if pool.would_exchange else Action.OPENS


@functools.singledispatch
def _would_open_ahead(pool: connection_pool.ConnectionPool[typing.Any]) -> bool:
    """Return whether a connection is opened for a request that waits."""
    return pool.would_open(pool.busy + pool.waiting + 1)


@_would_open_ahead.register
def _(pool: tenant_pool.TenantPool) -> bool:
    return False


@functools.singledispatch
def _preferred(
    pool: connection_pool.ConnectionPool[typing.Any],
) -> collections.abc.Container[str]:
    """Return the callers that go first among those of one rank."""
    return frozenset()


@_preferred.register
def _(pool: tenant_pool.TenantPool) -> collections.abc.Container[str]:
    return pool.tenants_in_turn()


def _served(
    pool: connection_pool.ConnectionPool[typing.Any], admission: Admission
) -> collections.abc.Iterator[limits.Waiting[asyncio.Future[typing.Any]]]:
    """Yield the requests of copied queues that the pool would serve at once."""
    for _ in range(pool.room):
        found = admission.take(
            pool.use,
            allowed=pool.limit.allowed,
            now_s=time.monotonic(),
            preferred=_preferred(pool),
        )
        if found is None:
            return
        yield found
