"""Queries the status of a service's servers, which shows who leads and where the logs end."""

import asyncio
import collections.abc

from mustardswitch import connection_pool
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, positions, promotion
from mustardswitch.proxy import server, server_list, tenant_pool

PROBE_TIMEOUT_S = 0.35
"""Twice the time of a new connection and a query, which take three round trips between regions."""
STATUS_TIMEOUT_S = 0.4
"""Time for a status query over a pooled connection; ten round trips between regions."""


class StatusQueries(server_list.ServerList):
    """The servers of one service, and the queries to them that run in the background."""

    def __init__(self, **fields: object) -> None:
        super().__init__(**fields)
        self.refreshing: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def leader(self) -> server.Server | None:
        """The server that leads by the latest evidence; None when none is known."""
        raise NotImplementedError

    def note_leading(
        self, leader: ids.ServerId, *, query_sent_at_s: float, position: positions.Position | None
    ) -> None:
        """Record an answer that only the leading primary gives."""
        raise NotImplementedError

    def note_not_leading(self, refused_by: ids.ServerId, *, query_sent_at_s: float) -> None:
        """Record that a server answered that it does not lead."""
        raise NotImplementedError

    def start(self, work: collections.abc.Coroutine[None, None, object]) -> asyncio.Task:
        """Run a coroutine in the background; the service keeps its task until it is done."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def refresh_positions(self) -> asyncio.Task[None]:
        """Query the leader's position; concurrent callers share one query."""
        if self.refreshing is None or self.refreshing.done():
            self.refreshing = self.start(self._query_positions())
        return self.refreshing

    async def _query_positions(self) -> None:
        if (leader := self.leader) is not None:
            await self.query_status(leader)

    async def query_status(self, backend: server.Server) -> promotion.ServerStatus | None:
        """Query a server's status over a pooled connection; None without an answer."""
        loop = asyncio.get_running_loop()
        request = connection_pool.ConnectionRequest(
            caller=tenant_pool.ANY_TENANT if self.serves_tenants else "",
            priority=0,
            deadline_s=loop.time() + STATUS_TIMEOUT_S,
        )
        try:
            link = await backend.pool.acquire(request)
        except backend_errors.BackendError:
            return None
        query_sent_at_s = clock.now_s()
        try:
            status = await link.status(STATUS_TIMEOUT_S)
        except backend_errors.BackendError:
            backend.pool.release(link, clean=not link.broken)
            return None
        except BaseException:
            backend.abandon(link)
            raise
        backend.note_answer()
        backend.pool.release(link, clean=True)
        self._note_status(backend, status, query_sent_at_s)
        return status

    def _note_status(
        self, backend: server.Server, status: promotion.ServerStatus, query_sent_at_s: float
    ) -> None:
        self.acknowledged.note_status(backend.server, status)
        self.note_running(backend)
        if status.leads:
            self.note_leading(
                backend.server, query_sent_at_s=query_sent_at_s, position=status.received
            )
        else:
            self.note_not_leading(backend.server, query_sent_at_s=query_sent_at_s)

    async def probe(self, backend: server.Server) -> None:
        """Query the status of a server that has not answered, over a new connection."""
        query_sent_at_s = clock.now_s()
        status = await backend.probe(PROBE_TIMEOUT_S)
        if status is not None:
            self._note_status(backend, status, query_sent_at_s)

    async def find_leader(self) -> None:
        """Query all servers' status, for example when updates of the store are missing."""
        await asyncio.gather(*(self.query_status(backend) for backend in self.servers.values()))
