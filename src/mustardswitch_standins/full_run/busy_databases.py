"""Databases behind the line protocol whose statements and connections occupy slots."""

import asyncio
import collections.abc
import contextlib
import os
import pathlib
import random
import time

from mustardswitch.backends import errors
from mustardswitch.internal import ids
from mustardswitch.platform import lines
from mustardswitch_standins import database_group, fleet, line_protocol_databases
from mustardswitch_standins.full_run import control, figures, measured_group

SLOT_VERBS = {"READ", "WRITE", "EXECUTE", "COMMIT", "AFTER", "STATUS", "PAUSE", "STEPDOWN"}
"""First words of the statements that occupy a slot."""
ORDER_VERBS = {"STATUS", "PAUSE", "STEPDOWN"}
COMMIT_VERBS = {"WRITE", "EXECUTE", "COMMIT"}
WORK_S = {kind.name: kind.work_s for kind in figures.ROUTE_KINDS}
MEAN_WORK_S = 0.008
"""Mean time of a statement that does not name an item of a known kind."""
CUT_CHECK_S = 0.01
LATE_SPREAD = 1.2
"""Spread of the lognormal delays of statements that are executed late."""
REFRESH_S = 0.05
"""Interval between look-ups of the connections that are cut."""


class Slots:
    """The slots of a server, its queue and its open connections."""

    def __init__(self, *, size: figures.Size) -> None:
        self.size = size
        self.free = asyncio.Semaphore(size.slots)
        self.waiting = 0
        self.connections = 0
        self.refused = 0
        """Statements and connections that were refused as the queue was full."""

    async def occupy(
        self, seconds: float, begin: collections.abc.Callable[[], None] | None = None
    ) -> bool:
        """Occupy a slot for some time; return False at once if the queue is full.

        Calls ``begin`` as it gets the slot.
        """
        if self.free.locked() and self.waiting >= self.size.queue:
            self.refused += 1
            return False
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        arrived = measured_group.arrival.get()
        if arrived is not None:
            arrived.slot_s = time.monotonic()
        try:
            if begin is not None:
                begin()
            await asyncio.sleep(seconds)
        finally:
            self.free.release()
        return True


def find_source_ports(pids: collections.abc.Iterable[int]) -> set[int]:
    """Return the local ports of the TCP sockets of processes; one that has ended has none."""
    sockets: set[str] = set()
    for pid in pids:
        directory = f"/proc/{pid}/fd"
        try:
            links = [os.readlink(f"{directory}/{name}") for name in os.listdir(directory)]
        except OSError:
            continue
        sockets.update(link[8:-1] for link in links if link.startswith("socket:["))
    rows = [row.split() for row in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return {int(row[1].partition(":")[2], 16) for row in rows if row[9] in sockets}


class Cut:
    """Instances that cannot reach a server, found by the source ports of their connections."""

    def __init__(self) -> None:
        self.pids: list[int] = []
        self.one_way = False
        """Whether requests arrive and only the answers are lost."""
        self.ports: set[int] = set()
        self.lookups = 0

    async def keep_refreshed(self) -> None:
        """Look up the source ports of the instances' connections until cancelled."""
        while True:
            self.ports = await asyncio.to_thread(find_source_ports, self.pids)
            self.lookups += 1
            await asyncio.sleep(REFRESH_S)

    async def wait_for_lookup(self) -> None:
        """Wait until a connection that was just accepted has been looked up."""
        due = self.lookups + 2
        while self.pids and self.lookups < due:
            await asyncio.sleep(CUT_CHECK_S)

    def applies(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether a connection is cut."""
        peer = writer.get_extra_info("peername")
        return bool(self.pids) and peer is not None and peer[1] in self.ports


class BusyDatabases(line_protocol_databases.LineProtocolDatabases):
    """The servers of one service; each has slots, a queue and a limit on its connections."""

    def __init__(
        self, *, group: measured_group.MeasuredGroup, size: figures.Size, source: random.Random
    ) -> None:
        super().__init__(group=group)
        self.size = size
        self.source = source
        self.slots: dict[ids.ServerId, Slots] = {}
        self.cuts: dict[ids.ServerId, Cut] = {}
        self.answer_delays_s: dict[ids.ServerId, float] = {}
        """Delay of all answers of a slow server."""
        self.request_delays_s: dict[ids.ServerId, float] = {}
        """Mean delay after which a slow server executes what it has received."""
        self.statement_delays_s: dict[ids.ServerId, float] = {}
        """Mean delay, with a long tail, of the execution of what may commit."""

    async def listen(self, server: database_group.FakeServer) -> int:
        """Start the listener of a server and return its port, which it keeps."""
        (port,) = fleet.free_ports(1)
        await self._start_listener(server, port)
        return port

    async def start_in_place(
        self, server: database_group.FakeServer, former: database_group.FakeServer
    ) -> None:
        """Start the listener of a server at the address of one that has ended."""
        port = self.ports[former.name]
        await self._start_listener(server, port)
        self.ports[server.name] = port

    async def _start_listener(self, server: database_group.FakeServer, port: int) -> None:
        self.slots[server.name] = Slots(size=self.size)
        self.cuts[server.name] = Cut()
        await self._listen_at(server, port)

    async def _listen_at(self, server: database_group.FakeServer, port: int) -> None:
        self.server_listeners[server.name] = await asyncio.start_server(
            self._make_handler(server), control.HOST, port, limit=lines.MAX_LINE_BYTES
        )

    def crash(self, name: ids.ServerId, *, address_reused: bool = False) -> None:
        """Crash a server, so that connections to it are refused until it is ``reopened``.

        If its ``address_reused`` by another process, that one accepts them and answers WRONGNODE.
        """
        super().crash(name)
        if not address_reused:
            self.server_listeners[name].close()

    async def reopen(self, server: database_group.FakeServer) -> None:
        """Listen again, at the same port, for a server that crashed."""
        if not self.server_listeners[server.name].is_serving():
            await self._listen_at(server, self.ports[server.name])

    async def _serve(
        self,
        server: database_group.FakeServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        slots, cut = self.slots[server.name], self.cuts[server.name]
        start = (await reader.readuntil(b"\r\n")).decode().split()
        await self.pass_stall(server)
        await cut.wait_for_lookup()
        while server.silent or cut.applies(writer):
            await asyncio.sleep(CUT_CHECK_S)
        if not server.up or start[-1] != server.name:
            writer.write(b"ERROR WRONGNODE -\r\n")
            return
        if slots.connections >= self.size.max_connections:
            writer.write(b"ERROR CONNLIMIT -\r\n")
            return
        slots.connections += 1
        try:
            if not await slots.occupy(figures.HANDSHAKE_S):
                writer.write(b"ERROR BUSY -\r\n")
                return
            position = line_protocol_databases.encode_position(server)
            writer.write(f"READY I {position}\r\n".encode())
            await self._serve_statements(server, reader, writer)
        finally:
            slots.connections -= 1

    async def _serve_statements(
        self,
        server: database_group.FakeServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        link = database_group.FakeLink(group=self.group, server=server)
        cut = self.cuts[server.name]
        prepared = {}
        incoming = line_protocol_databases.Incoming(reader=reader)
        receiving = asyncio.create_task(incoming.receive())
        try:
            while (received := await incoming.lines.get()) is not None:
                line, received_s = received
                await self._pass_cut(server, writer, arrives=cut.one_way)
                await self.pass_stall(server)
                request_delay_s = self.request_delays_s.get(server.name, 0.0)
                await asyncio.sleep(self.source.uniform(0.0, 2.0) * request_delay_s)
                _, request, text = line.split(" ", 2)
                await self.pass_hold(server, text)
                statement_delay_s = self.statement_delays_s.get(server.name)
                if statement_delay_s and text.partition(" ")[0] in COMMIT_VERBS:
                    drawn_s = figures.lognormal_s(self.source, statement_delay_s, LATE_SPREAD)
                    await asyncio.sleep(drawn_s)
                measured_group.arrival.set(
                    measured_group.Arrival(
                        request=request,
                        source_port=writer.get_extra_info("peername")[1],
                        received_s=received_s,
                    )
                )
                answer = await self._answer_in_slot(server, link, prepared, request, text, incoming)
                await asyncio.sleep(self.answer_delays_s.get(server.name, 0.0))
                await self._pass_cut(server, writer, arrives=False)
                writer.write(answer)
        finally:
            receiving.cancel()

    async def _pass_cut(
        self, server: database_group.FakeServer, writer: asyncio.StreamWriter, *, arrives: bool
    ) -> None:
        """Wait while the connection is cut; the server drops one that is cut for long."""
        cut = self.cuts[server.name]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + figures.DARK_S
        while server.silent or (cut.applies(writer) and not arrives):
            await asyncio.sleep(CUT_CHECK_S)
        if loop.time() > end_s:
            raise errors.ConnectionBrokenError("the remote end could not be reached")

    async def _answer_in_slot(
        self,
        server: database_group.FakeServer,
        link: database_group.FakeLink,
        prepared: dict,
        request: str,
        text: str,
        incoming: line_protocol_databases.Incoming,
    ) -> bytes:
        verb = text.partition(" ")[0]
        with contextlib.ExitStack() as running:

            def begin() -> None:
                running.enter_context(server.running_statement())
                link.begin()

            if verb in SLOT_VERBS:
                is_order = verb in ORDER_VERBS
                work_s = figures.STATUS_S if is_order else self._draw_work_s(text)
                begins_at_once = not is_order and self.size.completes_queued
                if begins_at_once:
                    begin()
                at_slot = None if is_order or begins_at_once else begin
                if not await self.slots[server.name].occupy(work_s, at_slot):
                    return self._refuse(server, link, verb)
            if incoming.closed and not self.size.runs_closed:
                raise EOFError("the connection was closed before the statement ran")
            arrived = measured_group.arrival.get()
            if arrived is not None:
                arrived.closed = incoming.closed
            return await self._answer(server, link, prepared, request, text)

    def _draw_work_s(self, text: str) -> float:
        kind = next((kind for kind in WORK_S if f" {kind}-" in text), None)
        mean_s = WORK_S[kind] if kind else MEAN_WORK_S
        return figures.lognormal_s(self.source, mean_s)

    def _refuse(
        self, server: database_group.FakeServer, link: database_group.FakeLink, verb: str
    ) -> bytes:
        """Answer BUSY; an open transaction fails and keeps nothing."""
        link.writes = []
        link.began_in_term = None
        if verb == "COMMIT":
            link.open_term = None
        state = "I" if link.open_term is None else "E"
        position = line_protocol_databases.encode_position(server)
        return f"ERROR BUSY -\r\nREADY {state} {position}\r\n".encode()
