"""Sends the commands of a change of primary to the servers of one service."""

import asyncio
import collections.abc
import contextlib

from mustardswitch import events
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, promotion, server_contact
from mustardswitch.proxy import contact_signs, ports, server, server_addresses, service

QUERY_TIMEOUT_S = 0.5
"""Time for opening a connection, and for the answer to a query over it; the work of opening one and
ten round trips between regions."""

Statuses = dict[ids.ServerId, promotion.ServerStatus]
Query = collections.abc.Callable[
    [ports.Link], collections.abc.Awaitable[promotion.ServerStatus | None]
]


class ServerCommands:
    """Queries, pauses and resumes servers over connections of its own.

    Two tasks may use it at the same time for different servers.
    """

    def __init__(self, *, target: service.Service) -> None:
        self.target = target
        self.links: dict[ids.ServerId, ports.Link] = {}
        self.refusing: set[ids.ServerId] = set()
        """Servers whose latest answer was a refusal, so that they run."""
        self.unnamed: set[ids.ServerId] = set()
        """Servers in whose place another one of the service answers that is not listed."""

    def __repr__(self) -> str:
        return f"ServerCommands(target={self.target!r})"

    def close(self) -> None:
        """Close the connections."""
        for link in self.links.values():
            with contextlib.suppress(backend_errors.BackendError):
                link.close()
        self.links = {}

    async def query(self, servers: collections.abc.Set[ids.ServerId]) -> Statuses:
        """Return the status of each server that answers."""

        async def query(link: ports.Link) -> promotion.ServerStatus:
            return await link.status(QUERY_TIMEOUT_S)

        return await self._run_on_all(servers, query)

    async def pause(self, servers: collections.abc.Set[ids.ServerId], term: ids.Term) -> Statuses:
        """Pause servers under a term, and return the status of each one that answers."""

        async def pause(link: ports.Link) -> promotion.ServerStatus:
            return await link.pause(term, QUERY_TIMEOUT_S)

        return await self._run_on_all(servers, pause)

    async def step_down(
        self, servers: collections.abc.Set[ids.ServerId], term: ids.Term
    ) -> Statuses:
        """Make primaries of a lower term replicas; return the status of each one that answers."""

        async def step_down(link: ports.Link) -> promotion.ServerStatus:
            return await link.step_down(term, QUERY_TIMEOUT_S)

        return await self._run_on_all(servers, step_down)

    async def resume(
        self, servers: collections.abc.Set[ids.ServerId]
    ) -> collections.abc.Set[ids.ServerId]:
        """Resume servers, and return those that answered."""
        resumed: set[ids.ServerId] = set()

        async def resume_one(name: ids.ServerId) -> None:
            async def resume(link: ports.Link) -> None:
                await link.resume(QUERY_TIMEOUT_S)
                resumed.add(name)

            await self._run_on(name, resume)

        async with asyncio.TaskGroup() as group:
            for name in servers:
                group.create_task(resume_one(name))
        return resumed

    async def _run_on_all(
        self, servers: collections.abc.Set[ids.ServerId], query: Query
    ) -> Statuses:
        answers: Statuses = {}

        async def query_one(name: ids.ServerId) -> None:
            status = await self._run_on(name, query)
            if status is not None:
                answers[name] = status

        async with asyncio.TaskGroup() as group:
            for name in servers:
                group.create_task(query_one(name))
        return answers

    async def _run_on(self, name: ids.ServerId, query: Query) -> promotion.ServerStatus | None:
        """Run a query on one server; None without an answer."""
        backend = self.target.known_servers().get(name)
        if backend is None:
            return None
        since_s = clock.now_s()
        try:
            link = await self._link(backend)
            status = await query(link)
            backend.contacts.note(server_contact.Sign.ANSWERED)
            self.target.note_running(backend)
            self.refusing.discard(name)
            return status
        except (backend_errors.BackendError, TimeoutError) as error:
            sign = contact_signs.note_error(backend.contacts, error, since_s=since_s)
            refused = sign is server_contact.Sign.REFUSED
            (self.refusing.add if refused else self.refusing.discard)(name)
            events.log(
                events.Event.TAKEOVER_UNANSWERED,
                service=self.target.name,
                server=name,
                reason=str(error) or type(error).__name__,
            )
            return None
        except asyncio.CancelledError:
            # The next query over the connection would receive this one's answer.
            link = self.links.pop(name, None)
            if link is not None:
                link.close()
            raise

    async def _link(self, backend: server.Server) -> ports.Link:
        link = self.links.get(backend.server)
        if link is None or link.broken:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                link, named = await server_addresses.open_link(self.target, backend)
            (self.unnamed.discard if named else self.unnamed.add)(backend.server)
            self.links[backend.server] = link
        return link
