"""An in-memory database group behind the platform's line protocol."""

import asyncio
import collections
import dataclasses
import functools
import json
import math
import time

from mustardswitch.backends import errors
from mustardswitch.internal import ids, positions
from mustardswitch.platform import lines
from mustardswitch.proxy import ports, requests
from mustardswitch_standins import database_group, http_store

ANSWER_TIMEOUT_S = 5.0
STALL_CHECK_S = 0.01
REFUSALS = {
    requests.Refusal.OVERLOADED: "BUSY",
    requests.Refusal.BEHIND: "LAGGING",
    requests.Refusal.READ_ONLY: "READONLY",
}
"""Codes of ``ERROR`` lines; any other refusal is sent as ``FAILED``."""
ORDERS = {"PAUSE": "pause", "RESUME": "resume", "STEPDOWN": "step_down"}
"""Orders to a server, and the methods of a link that execute them."""
STATES = {
    requests.TransactionState.IDLE: "I",
    requests.TransactionState.OPEN: "T",
    requests.TransactionState.FAILED: "E",
}
"""Codes of transaction states in ``READY`` lines."""


class Incoming:
    """The statements of a connection, received while earlier ones run."""

    def __init__(self, *, reader: asyncio.StreamReader) -> None:
        self.reader = reader
        self.lines: asyncio.Queue[tuple[str, float] | None] = asyncio.Queue()
        """Received statements and their monotonic times in seconds; None ends them."""
        self.closed = False
        """Whether the remote end has closed the connection."""

    async def receive(self) -> None:
        """Receive statements until the connection ends."""
        try:
            while True:
                line = (await self.reader.readuntil(b"\r\n")).decode().removesuffix("\r\n")
                if line == "TERMINATE":
                    return
                self.lines.put_nowait((line, time.monotonic()))
        except (OSError, EOFError):
            return
        finally:
            self.closed = True
            self.lines.put_nowait(None)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A caller's statement that has reached a server."""

    request: str
    server: ids.ServerId
    at_s: float
    """Monotonic time."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Announcement:
    """The report of a server that it leaves, which the store has accepted."""

    server: ids.ServerId
    accepted_s: float
    """Monotonic time."""
    taken_back_s: float = math.inf
    """Monotonic time at which the server reported that it stays; infinite if it did not."""


class LineProtocolDatabases:
    """Listens for each server of a group and lists the servers in the store.

    A server runs what it has received although the connection was closed meanwhile.
    """

    def __init__(self, *, group: database_group.Group) -> None:
        self.group = group
        self.server_listeners: dict[ids.ServerId, asyncio.Server] = {}
        self.ports: dict[ids.ServerId, int] = {}
        """Port under which each server is registered; may be replaced by a link's port."""
        self.writers: dict[ids.ServerId, list[asyncio.StreamWriter]] = {}
        self.heartbeat_s = 0.0
        """Interval after which the registration of a server that has not changed is written."""
        self.written: dict[ids.ServerId, tuple[dict[str, object], float]] = {}
        """Last registration of each server, without its number, and its monotonic time."""
        self.entry_expiry_s = 0.0
        """Time from the last registration of a server that crashed until its entry is removed."""
        self.expires_at_s: dict[ids.ServerId, float] = {}
        """Monotonic time at which each entry is removed unless its server registers again."""
        self.arrivals: list[Arrival] = []
        """The callers' statements that have reached the servers, also those that were refused."""
        self.announced: list[Announcement] = []
        """The reports of servers that they leave."""
        self.stalled: set[ids.ServerId] = set()
        """Servers that accept connections, and execute nothing until they go on."""
        self.holding: set[ids.ServerId] = set()
        """Servers that execute queries and orders, and callers' statements only once they go on."""
        self.held: collections.Counter[ids.ServerId] = collections.Counter()
        """Statements that have waited at each server while it was ``holding``."""
        self.row_padding_bytes: dict[str, int] = {}
        """Bytes that are appended to each row of the answers to reads of an item."""

    async def start(self) -> None:
        """Start one loopback listener for each server."""
        for server in self.group.servers.values():
            await self.start_server(server)

    async def start_server(self, server: database_group.FakeServer) -> None:
        """Start the listener of a server, which ``list_servers`` then registers."""
        self.ports[server.name] = await self.listen(server)

    async def listen(self, server: database_group.FakeServer) -> int:
        """Start the listener of a server and return its port."""
        listener = await asyncio.start_server(
            self._make_handler(server), "127.0.0.1", 0, limit=lines.MAX_LINE_BYTES
        )
        self.server_listeners[server.name] = listener
        return listener.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening; open connections stay."""
        for listener in self.server_listeners.values():
            listener.close()

    def list_servers(self, store: http_store.HttpStore) -> None:
        """Write the registration of each listed server and remove those that have expired.

        One that has not changed is written again after a heartbeat.
        """
        now_s = time.monotonic()
        for server in self.group.servers.values():
            if server.name not in self.ports or not server.up or now_s < server.listed_from_s:
                continue
            key = f"servers/{server.name}"
            entry = {
                "service": database_group.SERVICE,
                "addr": f"127.0.0.1:{self.ports[server.name]}",
                "zone": server.zone,
                "version": "v1",
                "slots": 3,
                "state": "draining" if server.leaving else "ready",
                "warmup_left_ms": 0,
                "db_role": server.role.value,
                "born": server.born_ms,
            }
            written, written_at_s = self.written.get(server.name, ({}, 0.0))
            due = now_s >= written_at_s + self.heartbeat_s or key not in store.keys
            if entry == written and not due:
                continue
            server.registrations += 1
            encoded = json.dumps({**entry, "seq": server.registrations}).encode()
            store.put(key, encoded)
            server.was_listed = True
            self._note_announcement(server, now_s)
            self.written[server.name] = entry, now_s
            self.expires_at_s[server.name] = now_s + self.entry_expiry_s
        for name, expires_at_s in self.expires_at_s.items():
            server = self.group.servers.get(name)
            if (server is None or not server.up) and now_s >= expires_at_s:
                store.delete(f"servers/{name}")

    def _note_announcement(self, server: database_group.FakeServer, now_s: float) -> None:
        """Keep whether a server has reported that it leaves, as its entry is written."""
        known = [
            each
            for each in self.announced
            if each.server == server.name and each.taken_back_s == math.inf
        ]
        if server.leaving and not known:
            self.announced.append(Announcement(server=server.name, accepted_s=now_s))
        for each in known if not server.leaving else ():
            each.taken_back_s = now_s

    def late_arrivals(self, drain_s: float) -> list[tuple[Arrival, float]]:
        """Return the statements that reached leaving servers ``drain_s`` after their reports.

        Each comes with the seconds since the report.
        """
        return [
            (arrival, arrival.at_s - announced.accepted_s)
            for announced in self.announced
            for arrival in self.arrivals
            if arrival.server == announced.server
            and announced.accepted_s + drain_s < arrival.at_s < announced.taken_back_s
        ]

    def crash(self, name: ids.ServerId) -> None:
        """Crash a server: mark it down and abort its connections."""
        self.group.servers[name].up = False
        self.abort_connections(name)

    def abort_connections(self, name: ids.ServerId) -> None:
        """Reset the open connections to a server."""
        for writer in self.writers.pop(name, []):
            writer.transport.abort()

    def end(
        self, server: database_group.FakeServer, *, says_so: bool, address_reused: bool = False
    ) -> None:
        """End a server for good, which removes its own entry if it ``says_so``.

        If its ``address_reused`` by another process, that one answers WRONGNODE; else connections
        are refused.
        """
        server.up = False
        self.group.servers.pop(server.name, None)
        if says_so:
            self.expires_at_s[server.name] = 0.0
        if not address_reused:
            self.server_listeners[server.name].close()
        self.abort_connections(server.name)

    def _make_handler(self, server: database_group.FakeServer):
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.setdefault(server.name, []).append(writer)
            try:
                await self._serve(server, reader, writer)
            except (OSError, EOFError, errors.BackendError, asyncio.CancelledError):
                return
            finally:
                writer.close()

        return serve

    async def _serve(
        self,
        server: database_group.FakeServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        start = (await reader.readuntil(b"\r\n")).decode().split()
        await self.pass_stall(server)
        if not server.up or start[-1] != server.name:
            writer.write(b"ERROR WRONGNODE -\r\n")
            return
        writer.write(f"READY I {encode_position(server)}\r\n".encode())
        link = database_group.FakeLink(group=self.group, server=server)
        prepared_access: dict[str, requests.Access] = {}
        incoming = Incoming(reader=reader)
        receiving = asyncio.create_task(incoming.receive())
        try:
            while (received := await incoming.lines.get()) is not None:
                await self.pass_stall(server)
                _, request, text = received[0].split(" ", 2)
                if request != "-":
                    self.arrivals.append(
                        Arrival(request=request, server=server.name, at_s=received[1])
                    )
                await self.pass_hold(server, text)
                writer.write(await self._answer(server, link, prepared_access, request, text))
        finally:
            receiving.cancel()

    async def pass_stall(self, server: database_group.FakeServer) -> None:
        """Wait while a server is stalled."""
        while server.name in self.stalled:
            await asyncio.sleep(STALL_CHECK_S)

    async def pass_hold(self, server: database_group.FakeServer, text: str) -> None:
        """Wait while a server holds callers' statements."""
        is_order = text == "STATUS" or text.partition(" ")[0] in ORDERS
        if is_order or server.name not in self.holding:
            return
        self.held[server.name] += 1
        while server.name in self.holding:
            await asyncio.sleep(STALL_CHECK_S)

    async def _answer(
        self,
        server: database_group.FakeServer,
        link: database_group.FakeLink,
        prepared_access: dict[str, requests.Access],
        request: str,
        text: str,
    ) -> bytes:
        verb, _, rest = text.partition(" ")
        if verb in ORDERS and server.order_delay_s:
            order = link.resume
            if verb != "RESUME":
                order = functools.partial(getattr(link, ORDERS[verb]), int(rest))
            await asyncio.sleep(server.order_delay_s)
            await order(ANSWER_TIMEOUT_S)
            raise EOFError("the order stays unanswered")
        if verb == "STATUS" or verb in ORDERS:
            if verb == "PAUSE":
                await link.pause(ids.Term(int(rest)), ANSWER_TIMEOUT_S)
            elif verb == "STEPDOWN":
                await link.step_down(ids.Term(int(rest)), ANSWER_TIMEOUT_S)
            elif verb == "RESUME":
                await link.resume(ANSWER_TIMEOUT_S)
            status = await link.status(ANSWER_TIMEOUT_S)
            paused = server.paused_term
            busy = 1 + status.running
            row = f"{status.role.value} {status.term} {encode_position(server)} {paused} 1 {busy} 1"
            return f"DATAROW {row}\r\nCOMPLETE -\r\nREADY I {encode_position(server)}\r\n".encode()
        if verb == "PREPARE":
            name, access, _ = rest.split(" ", 2)
            prepared_access[name] = requests.Access(access.lower())
        elif verb == "RESET":
            prepared_access.clear()
        words = text.split(" ")[2:] if verb == "AFTER" else text.split(" ")
        if words[0] == "EXECUTE" and words[1] not in prepared_access:
            state = "I" if link.open_term is None else "E"
            return f"ERROR NOSTMT -\r\nREADY {state} {encode_position(server)}\r\n".encode()
        link.send(
            _command(text, prepared_access), None if request == "-" else ids.RequestId(request)
        )
        answer = await link.receive(ANSWER_TIMEOUT_S)
        padding_bytes = self.row_padding_bytes.get(text.rpartition(" ")[2])
        if padding_bytes:
            rows = tuple(f"{row} {'x' * padding_bytes}" for row in answer.rows)
            answer = dataclasses.replace(answer, rows=rows)
        return _encode(answer, server)


def encode_position(server: database_group.FakeServer) -> str:
    """Return the end of a server's log as the protocol encodes it."""
    return f"{server.position.term}.{server.position.offset}"


def _command(text: str, prepared_access: dict[str, requests.Access]) -> ports.Command:
    verb, _, rest = text.partition(" ")
    min_position = None
    if verb == "AFTER":
        encoded_position, _, text = rest.partition(" ")
        term, _, offset = encoded_position.partition(".")
        min_position = positions.Position(term=ids.Term(int(term)), offset=ids.Offset(int(offset)))
        verb, _, rest = text.partition(" ")
    if verb == "BEGIN":
        return ports.BeginAt(read_only=rest == "READ", min_position=min_position)
    simple = {
        "COMMIT": requests.Commit(),
        "ROLLBACK": requests.Rollback(),
        "RESET": ports.ResetSession(),
    }
    if verb in simple:
        return simple[verb]
    if verb == "SET":
        name, _, value = rest.partition(" ")
        return requests.SetValue(name=name, value=value)
    if verb == "PREPARE":
        shape = requests.Shape(access=requests.Access.READ, text=rest)
        return ports.PrepareShape(shape=shape)
    access = (
        prepared_access[rest.partition(" ")[0]]
        if verb == "EXECUTE"
        else requests.Access(verb.lower())
    )
    plain = requests.Plain(access=access, arguments=rest)
    return (
        plain if min_position is None else ports.ReadAt(statement=plain, min_position=min_position)
    )


def _encode(answer: requests.Answer, server: database_group.FakeServer) -> bytes:
    rows = "".join(f"DATAROW {row}\r\n" for row in answer.rows)
    if answer.refusal is None:
        end = f"COMPLETE {answer.signature or '-'}\r\n"
    else:
        end = f"ERROR {REFUSALS.get(answer.refusal, 'FAILED')} -\r\n"
    ready = f"READY {STATES[answer.state]} {encode_position(server)}\r\n"
    return f"{rows}{end}{ready}".encode()


def make_promote_call(databases: LineProtocolDatabases) -> http_store.Promote:
    """Return the store's promotion call for a group; the store itself checks the token."""

    def promote(service: str, server: str, token: int) -> bool:
        del token
        name = ids.ServerId(server)
        return service == database_group.SERVICE and databases.group.promote(name)

    return promote
