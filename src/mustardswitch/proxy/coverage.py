"""Finds out that servers whose processes have ended held no commit alone.

A server without an entry counts at each change of primary until then. One that gives no answer may
run, however long that lasts. If its process has ended, all that it may have confirmed is at or
below the end of the primary's log that is read after that; once another server has received that
end, the one that ended has nothing alone. A process that starts in its place later is found when a
change of primary asks at its address.
"""

import asyncio

from mustardswitch import events
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, positions, server_contact
from mustardswitch.proxy import (
    connected_instances,
    contact_signs,
    directory,
    server,
    server_addresses,
    service,
    unlisted,
)

CHECK_S = 0.25
"""Interval between checks for servers that are due."""
RANK_DELAY_S = 2.0
"""Delay per rank before an instance asks for the first time, so that usually one does."""
OTHERS_PAUSE_S = 60.0
"""Pause between attempts of the instances that are not ranked first."""
RETRY_S = 0.5
"""Pause after the first attempt; it doubles up to the limit."""
RETRY_LIMIT_S = 8.0
REPEATS = 2
"""Pauses after which a covered server is asked again; one that runs again is not covered."""
ATTEMPT_S = 0.5
"""Time for opening a connection."""
RECEIVE_S = 8.0
"""Time for a replica to receive the end of the primary's log; a replica may lag by seconds."""
POLL_S = 0.05
"""Pause after the first look at the replicas; it doubles up to the limit."""
POLL_LIMIT_S = 0.8


class Coverage:
    """Asks for the servers of all services that may have ended."""

    def __init__(self, *, directory: directory.Directory) -> None:
        self.directory = directory
        self.due_at_s: dict[tuple[ids.ServiceName, ids.ServerId], tuple[float, float | None]] = {}
        """When each server is asked next (``clock.now_s``), and the pause after that; None unless
        this instance is ranked first."""
        self.asking: dict[ids.ServiceName, asyncio.Task[None]] = {}

    def __repr__(self) -> str:
        return f"Coverage(directory={self.directory!r})"

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_S)

    def check(self) -> None:
        """Drop servers that hold nothing alone, and start to ask for others that are due."""
        wanted = set()
        for name, target in self.directory.services.items():
            if not target.unlisted and not target.covered.ends and not self._ended(target):
                continue
            self._drop(target)
            missing = self._ended_or_unlisted(target) if target.holds_connections else []
            wanted |= {(name, each.server) for each in missing}
            running = self.asking.get(name)
            due = [each for each in missing if self._is_due(name, each.server)]
            if due and (running is None or running.done()):
                self.asking[name] = target.start(self._ask(target, due))
        self.due_at_s = {key: due for key, due in self.due_at_s.items() if key in wanted}

    def _ended(self, target: service.Service) -> list[server.Server]:
        """Return the listed servers that were found without a process last."""
        return [
            backend
            for backend in target.servers.values()
            if backend.contacts.not_listening_since_s is not None
        ]

    def _ended_or_unlisted(self, target: service.Service) -> list[server.Server]:
        """Return the servers without an entry, and those that were found without a process."""
        listed = {backend.server: backend for backend in self._ended(target)}
        for backend in target.servers.values():
            if unlisted.member_of(backend.entry) in target.covered:
                listed[backend.server] = backend
        return [*target.unlisted.backends().values(), *listed.values()]

    def _is_due(self, service_name: ids.ServiceName, name: ids.ServerId) -> bool:
        now_s, key = clock.now_s(), (service_name, name)
        if key not in self.due_at_s:
            rank = connected_instances.rank(self.directory, service_name)
            if rank is None:
                return False
            self.due_at_s[key] = now_s + RANK_DELAY_S * rank, RETRY_S if rank == 0 else None
        due_at_s, pause_s = self.due_at_s[key]
        is_first = connected_instances.rank(self.directory, service_name) == 0
        if now_s < due_at_s and pause_s is None and is_first:
            self.due_at_s[key] = due_at_s, pause_s = now_s, RETRY_S
        return now_s >= due_at_s

    async def _ask(self, target: service.Service, due: list[server.Server]) -> None:
        await asyncio.gather(*(self._review(target, backend) for backend in due))

    async def _review(self, target: service.Service, backend: server.Server) -> None:
        """Record that a server is covered if it has ended and another one has all commits."""
        key, member = (target.name, backend.server), unlisted.member_of(backend.entry)
        _, pause_s = self.due_at_s.get(key, (0.0, RETRY_S))
        ended = await self._has_ended(target, backend)
        if ended and member not in target.covered:
            end = await self._received_end(target, backend)
            # It may have started again while the replica received.
            if end is not None and await self._has_ended(target, backend):
                target.covered.add(member, end)
                events.log(
                    events.Event.SERVER_COVERED,
                    service=target.name,
                    server=backend.server,
                    end=end,
                )
                target.registry.count("servers_covered", target.name)
        if pause_s is None:
            self.due_at_s[key] = clock.now_s() + OTHERS_PAUSE_S, None
            return
        if member in target.covered:
            pause_s = REPEATS * RETRY_S
        self.due_at_s[key] = clock.now_s() + pause_s, min(2 * pause_s, RETRY_LIMIT_S)

    async def _has_ended(self, target: service.Service, backend: server.Server) -> bool:
        """Return whether no process of a server runs, nor an unlisted one in its place."""
        since_s = clock.now_s()
        try:
            async with asyncio.timeout(ATTEMPT_S):
                link, named = await server_addresses.open_link(target, backend)
        except (backend_errors.BackendError, TimeoutError) as error:
            sign = contact_signs.note_error(backend.contacts, error, since_s=since_s)
            return sign is server_contact.Sign.NOT_LISTENING
        link.close()
        if named:
            backend.contacts.note(server_contact.Sign.ANSWERED)
        target.note_running(backend)
        return False

    async def _received_end(
        self, target: service.Service, backend: server.Server
    ) -> positions.Position | None:
        """Return the present end of the primary's log once a replica has it; None if none has."""
        leader = target.leader
        if leader is None or leader is backend:
            return None
        primary = await target.query_status(leader)
        if primary is None or not primary.leads:
            return None
        ends_s, pause_s = clock.now_s() + RECEIVE_S, POLL_S
        while clock.now_s() < ends_s:
            replicas = [each for each in target.servers.values() if each not in (leader, backend)]
            statuses = await asyncio.gather(*map(target.query_status, replicas))
            if target.leader is not leader:
                return None
            known = [each for each in statuses if each is not None and not each.leads]
            if any(each.received >= primary.received for each in known):
                return primary.received
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, POLL_LIMIT_S)
        return None

    def _drop(self, target: service.Service) -> None:
        """Forget covered servers once no server of the service is missing without them."""
        known = target.known_servers().values()
        target.covered.keep({unlisted.member_of(backend.entry) for backend in known})
        if target.leader is None or target.requested is not None or target.server_count.missing > 0:
            return
        recorded = self.directory.members.record(target.name).covered
        for name, known in list(target.unlisted.items()):
            member = unlisted.member_of(known.backend.entry)
            # The others are to know that it is covered before it is forgotten.
            if member in target.covered and member in recorded:
                target.forget_covered(name)
