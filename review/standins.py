"""Stand-ins for the users' platform that the cases share, and the processes under test.

The databases replicate asynchronously: a commit is acknowledged as soon as one replica has received
it, each replica receives after the delay of its link, and a promotion takes effect some hundred
milliseconds after the platform's call with what the promoted database has received by then. The
store is the project's own stand-in. All listen on loopback addresses only.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

from mustardswitch_standins import http_store

ROOT = pathlib.Path(__file__).resolve().parents[1]
SERVICE = "workshop-db"
REGIONS = {"nizwa-a": "dakhiliyah", "bahla-b": "dakhiliyah", "sur-a": "sharqiyah"}
INSTANCES = {
    "edge-nizwa-a-1": "nizwa-a",
    "edge-nizwa-a-2": "nizwa-a",
    "edge-bahla-b-1": "bahla-b",
    "edge-sur-a-1": "sur-a",
    "edge-sur-a-2": "sur-a",
    "edge-sur-a-3": "sur-a",
}
"""The machines of the small deployment qafaz-gloves; its other figures are below."""
MAX_CONNECTIONS = 34
HANDSHAKE_S = 0.027
WORK_S = 0.008
PROMOTE_S = 1.0
CROSS_ZONE_S = 0.0005
CROSS_REGION_S = 0.02
GRACE_S = 6
DRAIN_MS = 7000
HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
CASE_LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run, with seconds."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.started_s = time.monotonic()
        self.file = (directory / "record.txt").open("w")

    def now_s(self) -> float:
        return time.monotonic() - self.started_s

    def write(self, text: str) -> None:
        self.file.write(f"{self.now_s():8.3f}  {text}\n")
        self.file.flush()


def trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def link_delay_s(first: str, second: str) -> float:
    """One-way delay between two zones."""
    if first == second:
        return 0.0002
    return CROSS_ZONE_S if REGIONS[first] == REGIONS[second] else CROSS_REGION_S


_given_ports: set[int] = set()


def free_port() -> int:
    """Return a free port below the range of outgoing connections."""
    while True:
        port = random.randint(20000, 30000)
        if port in _given_ports:
            continue
        with contextlib.closing(socket.socket()) as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _given_ports.add(port)
            return port


# Databases


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One commit of a log."""

    term: int
    request: str


@dataclasses.dataclass(kw_only=True)
class Connection:
    """State of one connection to a database."""

    state: str = "I"
    read_only: bool = False
    term: int = 0
    """Term in which the open transaction began."""
    writes: list[str] = dataclasses.field(default_factory=list)
    prepared: dict[str, str] = dataclasses.field(default_factory=dict)


class Database:
    """One database: its log, its role and the connections to it."""

    def __init__(self, group: "Group", name: str, zone: str) -> None:
        self.group = group
        self.name = name
        self.zone = zone
        self.port = 0
        self.log: list[Entry] = []
        self.paused_term = 0
        self.up = True
        self.draining = False
        self.reaches_store = True
        self.late_resumes = 0
        """Number of further RESUME orders that get no answer and are carried out late."""
        self.late_resume_s = 0.0
        self.lit = asyncio.Event()
        self.lit.set()
        self.slots = asyncio.Semaphore(3)
        self.draw_work_s: collections.abc.Callable[[], float] = lambda: WORK_S
        self.handshake_s = HANDSHAKE_S
        self.max_connections = MAX_CONNECTIONS
        self.writers: set[asyncio.StreamWriter] = set()
        self.acknowledged = 0
        """Length of the log that a replica has acknowledged while this database led."""
        self.progress = asyncio.Event()
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.listener: asyncio.Server | None = None

    @property
    def leads(self) -> bool:
        return self.group.primary is self

    @property
    def position(self) -> str:
        return f"{self.log[-1].term if self.log else 0}.{len(self.log)}"

    def holds(self, position: str) -> bool:
        term, _, number = position.partition(".")
        if int(number) == 0:
            return True
        return int(number) <= len(self.log) and self.log[int(number) - 1].term == int(term)

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End the process of this database."""
        self.up = False
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def go_dark(self) -> None:
        """Crash without a word: nothing answers until ``come_back``."""
        self.group.record.write(f"server {self.name} goes dark")
        self.lit.clear()

    def come_back(self) -> None:
        """Return with the log; connections of before are gone."""
        self.group.record.write(f"server {self.name} is back")
        for writer in list(self.writers):
            writer.transport.abort()
        self.lit.set()
        self.group.catch_up(self)

    def entry(self) -> bytes:
        self.sequence += 1
        return json.dumps(
            {
                "service": SERVICE,
                "addr": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 3,
                "state": "draining" if self.draining else "ready",
                "warmup_left_ms": 0,
                "seq": self.sequence,
                "born": self.born_ms,
                "db_role": "primary" if self.leads else "replica",
            }
        ).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._open(reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _open(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        words = (await reader.readuntil(b"\r\n")).decode().split()
        await self.lit.wait()
        if words[:2] != ["STARTUP", SERVICE] or (len(words) > 3 and words[3] != self.name):
            writer.write(b"ERROR WRONGNODE -\r\n")
            return
        if len(self.writers) >= self.max_connections:
            writer.write(b"ERROR CONNLIMIT -\r\n")
            return
        self.writers.add(writer)
        async with self.slots:
            await asyncio.sleep(self.handshake_s)
        writer.write(f"READY I {self.position}\r\n".encode())
        connection = Connection()
        while True:
            line = (await reader.readuntil(b"\r\n")).decode().removesuffix("\r\n")
            await self.lit.wait()
            if line == "TERMINATE":
                return
            _, request, text = line.split(" ", 2)
            body = await self._run(connection, request, text)
            await self.lit.wait()
            writer.write(f"{body}READY {connection.state} {self.position}\r\n".encode())

    async def _run(self, connection: Connection, request: str, text: str) -> str:
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        verb, _, rest = text.partition(" ")
        if connection.state == "E" and verb not in ("ROLLBACK", "COMMIT"):
            return "ERROR MALFORMED -\r\n"
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return await self._command(verb, rest)
        if verb in ("SET", "DEALLOC"):
            return "COMPLETE -\r\n"
        if verb == "RESET":
            connection.prepared.clear()
            return "COMPLETE -\r\n"
        if verb == "PREPARE":
            name, access, _ = rest.split(" ", 2)
            connection.prepared[name] = access
            return "COMPLETE -\r\n"
        if verb == "ROLLBACK":
            connection.state, connection.writes = "I", []
            return "COMPLETE -\r\n"
        if after is not None and not self.holds(after):
            connection.state = "E" if connection.state == "T" else "I"
            return f"ERROR LAGGING {self.name}\r\n"
        if verb == "BEGIN":
            if rest != "READ" and not self.leads:
                return f"ERROR READONLY {self.name}\r\n"
            connection.state, connection.read_only = "T", rest == "READ"
            connection.term, connection.writes = self.group.term, []
            return "COMPLETE -\r\n"
        if verb == "COMMIT":
            return await self._commit_transaction(connection, request)
        access = connection.prepared.get(rest.partition(" ")[0]) if verb == "EXECUTE" else verb
        if access is None:
            return "ERROR NOSTMT -\r\n"
        return await self._statement(connection, request, access)

    async def _command(self, verb: str, rest: str) -> str:
        async with self.slots:
            await asyncio.sleep(0.0005)
        if verb == "PAUSE" and not self.leads and int(rest) > self.group.term:
            self.paused_term = int(rest)
        elif verb == "RESUME" and self.late_resumes:
            self.late_resumes -= 1
            self.group.record.write(
                f"server {self.name} leaves RESUME unanswered for {self.late_resume_s} s"
            )
            asyncio.get_running_loop().call_later(self.late_resume_s, self._resume)
            await asyncio.Event().wait()
        elif verb == "RESUME":
            self._resume()
        if verb != "STATUS":
            self.group.record.write(f"server {self.name} runs {verb} {rest} at {self.position}")
        role = "primary" if self.leads else "replica"
        row = f"{role} {self.group.term} {self.position} {self.paused_term} 0 0 {len(self.writers)}"
        return f"DATAROW {row}\r\nCOMPLETE -\r\n"

    def _resume(self) -> None:
        self.group.record.write(f"server {self.name} resumes; paused under {self.paused_term}")
        self.paused_term = 0
        self.group.catch_up(self)

    def _lost_lead(self, connection: Connection) -> bool:
        plain = connection.state == "T" and not connection.read_only
        return plain and (not self.leads or connection.term != self.group.term)

    async def _statement(self, connection: Connection, request: str, access: str) -> str:
        writes = access == "WRITE"
        if self._lost_lead(connection) or (writes and not self.leads):
            connection.state = "E" if connection.state == "T" else "I"
            return f"ERROR READONLY {self.name}\r\n"
        self.group.note_arrival(self, request)
        async with self.slots:
            await asyncio.sleep(self.draw_work_s())
            if self._lost_lead(connection):
                connection.state = "E"
                return f"ERROR READONLY {self.name}\r\n"
            if writes and connection.state == "T":
                connection.writes.append(request)
        if writes and connection.state != "T":
            return await self._commit(request)
        rows = "" if writes else f"DATAROW {len(self.log)}\r\n"
        return f"{rows}COMPLETE {self.name}.{request}\r\n"

    async def _commit_transaction(self, connection: Connection, request: str) -> str:
        writes, connection.writes = connection.writes, []
        failed = connection.state == "E" or (bool(writes) and self._lost_lead(connection))
        connection.state = "I"
        if failed:
            return f"ERROR READONLY {self.name}\r\n"
        self.group.note_arrival(self, request)
        async with self.slots:
            await asyncio.sleep(self.draw_work_s())
        if writes:
            return await self._commit(request)
        return f"COMPLETE {self.name}.{request}\r\n"

    async def _commit(self, request: str) -> str:
        if not self.leads:
            return f"ERROR READONLY {self.name}\r\n"
        term = self.group.term
        self.log.append(Entry(term=term, request=request))
        number = len(self.log)
        self.group.replicate(self, number)
        while self.acknowledged < number:
            if not self.leads or self.group.term != term:
                return f"ERROR FAILED {self.name}\r\n"
            progress = self.progress
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    await progress.wait()
        self.group.record.write(
            f"server {self.name} acknowledges commit {request} as {term}.{number}"
        )
        return f"COMPLETE {self.name}.{request}\r\n"


class Group:
    """The databases of the service, and the platform's call that promotes one of them."""

    def __init__(self, record: Record, zones: collections.abc.Mapping[str, str]) -> None:
        self.record = record
        self.term = 3
        self.promote_s = PROMOTE_S
        self.databases = {name: Database(self, name, zone) for name, zone in zones.items()}
        self.primary = next(iter(self.databases.values()))
        self.promotions: list[tuple[str, list[str]]] = []
        """Promoted databases, and the logs with which they lead."""
        self.arrivals: list[tuple[float, str, str]] = []
        """When which database received which statement of a client."""

    def note_arrival(self, database: Database, request: str) -> None:
        self.arrivals.append((self.record.now_s(), database.name, request))

    def _receives(self, replica: Database) -> bool:
        return replica.up and replica.lit.is_set() and not replica.paused_term

    def replicate(self, primary: Database, number: int) -> None:
        """Send the log up to an entry to each replica over its link."""
        for replica in self.databases.values():
            if replica is not primary:
                self._send(primary, replica, number, link_delay_s(primary.zone, replica.zone))

    def catch_up(self, replica: Database) -> None:
        """Send a replica what it has missed: a request to the primary and its answer."""
        primary = self.primary
        if replica is not primary and primary.lit.is_set():
            delay_s = 2 * link_delay_s(primary.zone, replica.zone)
            self._send(primary, replica, len(primary.log), delay_s)

    def _send(self, primary: Database, replica: Database, number: int, delay_s: float) -> None:
        term = self.term
        loop = asyncio.get_running_loop()

        def deliver() -> None:
            if self.term != term or not self._receives(replica):
                return
            if len(replica.log) < number:
                replica.log = primary.log[:number]
            loop.call_later(link_delay_s(primary.zone, replica.zone), acknowledge)

        def acknowledge() -> None:
            primary.acknowledged = max(primary.acknowledged, number)
            primary.progress.set()
            primary.progress = asyncio.Event()

        loop.call_later(delay_s, deliver)

    def promote(self, name: str) -> bool:
        """Carry out a promotion call; its effect follows after ``promote_s``."""
        database = self.databases.get(name)
        if database is None or not database.up or not database.lit.is_set():
            return False
        if database is not self.primary:
            asyncio.get_running_loop().call_later(self.promote_s, self._lead, database)
        return True

    def _lead(self, database: Database) -> None:
        if database is self.primary or not database.up:
            return
        self.term += 1
        self.primary = database
        held = [entry.request for entry in database.log]
        self.promotions.append((database.name, held))
        self.record.write(f"server {database.name} leads term {self.term} from {database.position}")
        database.acknowledged = 0
        for other in self.databases.values():
            other.paused_term = 0
            other.log = other.log[: len(database.log)]
            self.catch_up(other)


# The platform's calls


class Cloud:
    """The platform's promotion call, with fences. ``lose_next`` calls get no answer.

    Those are carried out ``late_s`` seconds after their arrival; their fence is checked then.
    """

    def __init__(self, record: Record, group: Group) -> None:
        self.record = record
        self.group = group
        self.port = free_port()
        self.lose_next = 0
        self.late_s = 0.0
        self.highest_token = 0
        self.arrived = asyncio.Event()
        """Set when a call that gets no answer has arrived."""
        self.last_holder = ""
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
                body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))))
                self.last_holder = headers["lease-holder"]
                token, name = int(headers["fencing-token"]), body["id"]
                self.record.write(f"platform receives promote {name}, fence {token}, {head[0]}")
                if self.lose_next:
                    self.lose_next -= 1
                    loop = asyncio.get_running_loop()
                    loop.call_later(self.late_s, self._carry_out, name, token)
                    self.record.write(f"platform leaves the call unanswered for {self.late_s} s")
                    self.arrived.set()
                    continue
                status = self._carry_out(name, token)
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    "Content-Length: 2\r\n\r\n{}".encode()
                )
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    def _carry_out(self, name: str, token: int) -> int:
        accepted = token >= self.highest_token
        if accepted:
            self.highest_token = token
            accepted = self.group.promote(name)
        self.record.write(
            f"platform carries out promote {name}, fence {token}: {200 if accepted else 409}"
        )
        return 200 if accepted else 409


# The deployment


class Instance:
    """One process under test."""

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.stopping = False
        self.process: asyncio.subprocess.Process | None = None
        self.choose_ports()

    def choose_ports(self) -> None:
        self.callers = free_port()
        self.health = free_port()
        self.peers = free_port()

    async def ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.health)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            status = (await reader.readline()).split()
            writer.close()
            return len(status) > 1 and status[1] == b"200"
        except OSError:
            return False


class Deployment:
    """The platform's stand-ins, and the processes under test."""

    def __init__(
        self,
        record: Record,
        databases: collections.abc.Mapping[str, str],
        instances: collections.abc.Mapping[str, str] = INSTANCES,
    ) -> None:
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.group = Group(record, databases)
        self.cloud = Cloud(record, self.group)
        self.store = http_store.HttpStore(promote=lambda *call: False)
        self.store_port = free_port()
        self.instances = {name: Instance(name, zone) for name, zone in instances.items()}
        self.tasks: list[asyncio.Task[None]] = []

    def configuration(self) -> dict:
        kinds = ("primary", "bounded_staleness", "read_your_writes")
        return {
            "version": 3,
            "routes": [
                {
                    "name": f"r-{kind}",
                    "host": f"db-{kind}",
                    "type": kind,
                    "timeout_ms": 2000 if kind == "bounded_staleness" else 800,
                    "target_latency_ms": 600,
                    "priority": 1,
                    "service": SERVICE,
                    "max_staleness_ms": 1500,
                }
                for kind in kinds
            ],
            "services": [{"name": SERVICE, "max_conns": MAX_CONNECTIONS, "sync_replicas": 1}],
            "limits": {"tx_idle_ms": 3000},
        }

    async def start(self) -> None:
        for database in self.group.databases.values():
            await self.add(database)
        await self.cloud.start()
        await self.store.start(self.store_port)
        self.store.put("op/config", json.dumps(self.configuration()).encode())
        for instance in self.instances.values():
            await self.start_instance(instance)
        for instance in self.instances.values():
            async with asyncio.timeout(30.0):
                while not await instance.ready():
                    if instance.process.returncode is not None:  # A port was taken meanwhile.
                        instance.choose_ports()
                        await self.start_instance(instance)
                    await asyncio.sleep(0.05)
        self.record.write("all instances are ready")

    async def add(self, database: Database) -> None:
        """Start a database and register it."""
        await database.start()
        self.group.databases[database.name] = database
        self.group.catch_up(database)
        self.tasks.append(asyncio.create_task(self._register(database)))

    async def _register(self, database: Database) -> None:
        """Write the entry of a database at each heartbeat and when it changes.

        The store removes it after three intervals of silence.
        """
        key, written, beat_s, state = f"servers/{database.name}", 0.0, 0.0, None
        while database.up:
            now_s = time.monotonic()
            current = (database.leads, database.draining)
            heard = database.lit.is_set() and database.reaches_store
            if heard and (current != state or now_s >= beat_s):
                self.store.put(key, database.entry())
                written, beat_s, state = now_s, now_s + HEARTBEAT_S, current
            elif now_s - written > SILENT_HEARTBEATS * HEARTBEAT_S and key in self.store.keys:
                self.store.delete(key)
                state = None
            await asyncio.sleep(0.01)
        self.store.delete(key)

    async def start_instance(self, instance: Instance) -> None:
        """Start a process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["instance"]
        settings = pathlib.Path(self.folder.name) / f"{instance.name}.yaml"
        settings.write_text(
            f'instance: "{instance.name}"\nzone: "{instance.zone}"\n'
            f"regions: {json.dumps(REGIONS)}\n"
            f'callers: "127.0.0.1:{instance.callers}"\nhealth: "127.0.0.1:{instance.health}"\n'
            f'metrics: "127.0.0.1:{free_port()}"\npeers: "127.0.0.1:{instance.peers}"\n'
            f'store: "127.0.0.1:{self.store_port}"\n'
            f'promotions: "127.0.0.1:{self.cloud.port}"\nstop_grace_s: {GRACE_S}\n'
        )
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with (pathlib.Path(self.folder.name) / f"{instance.name}.log").open("ab") as log:
            instance.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**keep, "PYTHONPATH": "target/deps", "MUSTARDSWITCH_BOOT": str(settings)},
            )
        self.record.write(f"instance {instance.name} starts")

    async def signal(self, instance: Instance, number: signal.Signals) -> None:
        self.record.write(f"instance {instance.name} gets {number.name}")
        instance.stopping = number is signal.SIGTERM
        with contextlib.suppress(ProcessLookupError):
            instance.process.send_signal(number)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for task in self.tasks:
            task.cancel()
        for instance in self.instances.values():
            if instance.process is not None and instance.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    instance.process.kill()
                await instance.process.wait()
        for database in self.group.databases.values():
            database.stop()
        for instance in self.instances.values():
            path = pathlib.Path(self.folder.name) / f"{instance.name}.log"
            if path.exists():
                for line in path.read_text(errors="replace").splitlines():
                    if line.startswith("{"):  # Tracebacks name paths of the machine.
                        self.record.file.write(f"log {instance.name}  {line}\n")
        self.folder.cleanup()


# Clients


class Client:
    """A session of the line protocol."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.count = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, instance: Instance, database: str) -> bool:
        try:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", instance.callers)
            self.writer.write(f"STARTUP {database} {self.name}\r\n".encode())
            return (await self.reader.readline()).startswith(b"READY")
        except OSError:
            return False

    async def query(self, text: str) -> tuple[str, list[str]]:
        """Send a statement; return its id and the lines of its answer, none if there is none."""
        self.count += 1
        request = f"{self.name}x{self.count}"
        lines: list[str] = []
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode())
            while not lines or not lines[-1].startswith("READY"):
                line = (await self.reader.readuntil(b"\r\n")).decode().removesuffix("\r\n")
                lines.append(line)
        except (OSError, EOFError):
            self.record.write(f"client sent {request} {text}: the connection ended without answer")
            return request, []
        self.record.write(f"client sent {request} {text}: {' | '.join(lines)}")
        return request, lines

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


def succeeded(lines: list[str]) -> bool:
    """Whether an answer is a success with a signature."""
    return any(line.startswith("COMPLETE ") and line != "COMPLETE -" for line in lines)


async def write_on(
    deployment: Deployment,
    instance: Instance,
    name: str,
    acknowledged: list[str],
    *,
    pause_s: float,
    end: asyncio.Event,
) -> None:
    """Write order after order on a ``primary`` route until ``end``; list what is acknowledged."""
    while not end.is_set():
        client = Client(deployment.record, f"{name}-{random.randrange(1 << 30):08x}")
        if not await client.open(instance, "db-primary"):
            await asyncio.sleep(0.2)
            continue
        lines = ["READY I -"]
        while not end.is_set() and lines and lines[-1].startswith("READY I"):
            request, lines = await client.query(f"WRITE item-{client.count % 50} loaf")
            if succeeded(lines):
                acknowledged.append(request)
            await asyncio.sleep(pause_s)
        client.close()


async def read_on(
    deployment: Deployment, instance: Instance, name: str, *, pause_s: float, end: asyncio.Event
) -> None:
    """Read item after item on a ``bounded_staleness`` route until ``end``."""
    while not end.is_set():
        client = Client(deployment.record, f"{name}-{random.randrange(1 << 30):08x}")
        if not await client.open(instance, "db-bounded_staleness"):
            await asyncio.sleep(0.2)
            continue
        lines = ["READY I -"]
        while not end.is_set() and lines and lines[-1].startswith("READY I"):
            _, lines = await client.query(f"READ item-{client.count % 50}")
            await asyncio.sleep(pause_s)
        client.close()


def lost_commits(group: Group, acknowledged: collections.abc.Sequence[str]) -> list[str]:
    """Return acknowledged commits that are not in the log of the leading database."""
    held = {entry.request for entry in group.primary.log}
    return [request for request in acknowledged if request not in held]


def run(case: collections.abc.Callable[[Record], collections.abc.Awaitable[int]]) -> None:
    """Run a case in its folder and exit with its result."""

    async def limited(record: Record) -> int:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(CASE_LIMIT_S):
            return await case(record)

    record = Record(pathlib.Path(sys.argv[0]).resolve().parent)
    record.write(f"TROUBLE={int(trouble())}")
    try:
        result = asyncio.run(limited(record))
    except BaseException as error:  # Anything unexpected must not look like a broken rule.
        record.write(f"the case could not run: {error!r}")
        result = NOT_RUN
    outcome = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result]
    record.write(f"result: {outcome}")
    print(outcome)
    sys.exit(result)
