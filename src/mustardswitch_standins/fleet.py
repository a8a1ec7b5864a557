"""Starts a complete system as separate processes on loopback: store, slots, entry instances."""

import asyncio
import contextlib
import dataclasses
import fcntl
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

import asyncmy
import ruamel.yaml

from mustardswitch.document import sections
from mustardswitch.etcd import store
from mustardswitch_standins import links

HOST = "127.0.0.1"
START_TIMEOUT_S = 30.0
"""Limit on each wait for a process or a primary."""
TOKEN_KEY = "a-token-key-for-tests-only"
PLATFORM_ZONE = "platform"
"""Zone name of the platform's store on the links."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ZoneSpec:
    """An availability zone, its region and the number of its entry instances."""

    zone: str
    region: str
    instances: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetSpec:
    """The zones, databases and emulated delays of a fleet; ``_ms`` fields are milliseconds."""

    zones: tuple[ZoneSpec, ...]
    databases: tuple[str, ...] = ("orders",)
    service: str = "bakery"
    connections: int = 25
    """Connection limit of each slot, and of each database in the service section."""
    connect_ms: float = 0.0
    receive_lag_ms: float = 0.0
    apply_lag_ms: float = 0.0
    linked: bool = False
    """Whether traffic between zones goes through fault-injecting links."""
    policy: dict = dataclasses.field(default_factory=dict)
    """Further fields of the service section."""


@dataclasses.dataclass(kw_only=True)
class Process:
    """A started process with its command and log file."""

    name: str
    command: list[str]
    popen: subprocess.Popen
    log_path: pathlib.Path

    def kill(self) -> None:
        """Kill the process, also while it is paused, and wait for its end."""
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Freeze the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop with SIGTERM."""
        self.popen.terminate()


@dataclasses.dataclass(frozen=True, kw_only=True)
class SlotSpec:
    """A slot of the fleet; its port is the one that it listens on, not a link's."""

    slot: str
    database: str
    zone: str
    port: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySpec:
    """An entry instance of the fleet, with the ports that it listens on."""

    instance: str
    zone: str
    region: str
    callers_port: int
    peers_port: int
    health_port: int


# Ports below the range from which the kernel takes the source ports of outgoing connections. Each
# process claims whole blocks by locks on files: between the choice of a port and its use, another
# run could choose it as well. The search starts at a block that depends on the process id.
FIRST_PORT = 10_000
PORT_COUNT = 20_000
BLOCK_PORTS = 50
BLOCK_COUNT = PORT_COUNT // BLOCK_PORTS
_next_index = itertools.count(os.getpid() * 131 % BLOCK_COUNT * BLOCK_PORTS)
_claimed: dict[int, int] = {}
"""File descriptors of the locks of claimed blocks, which last until the process ends."""


def free_ports(count: int) -> list[int]:
    """Return ports that no socket uses now and that no outgoing connection gets assigned.

    No other process gets them from this function while this one runs. Raises ``OSError`` if there
    are not enough.
    """
    found: list[int] = []
    for _ in range(PORT_COUNT):
        if len(found) == count:
            return found
        index = next(_next_index) % PORT_COUNT
        if _claim_block(index // BLOCK_PORTS) and _is_free(FIRST_PORT + index):
            found.append(FIRST_PORT + index)
    raise OSError(f"fewer than {count} ports are free; other runs have claimed the others")


def _claim_block(block: int) -> bool:
    """Claim a block of ports for this process; return whether it has it."""
    if block in _claimed:
        return True
    directory = pathlib.Path(tempfile.gettempdir()) / "mustardswitch-ports"
    directory.mkdir(exist_ok=True)
    lock = os.open(directory / str(block), os.O_RDWR | os.O_CREAT, 0o666)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        return False
    _claimed[block] = lock
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class Fleet:
    """A complete system, planned from its specification and run as processes."""

    def __init__(self, *, spec: FleetSpec, directory: pathlib.Path) -> None:
        self.spec = spec
        self.directory = directory
        self.processes: dict[str, Process] = {}
        self.links = links.LinkSet()
        self.link_ports: dict[tuple[str, int], int] = {}
        """The link's port through which a zone reaches a port of another zone."""
        self.slots: list[SlotSpec] = []
        self.entries: list[EntrySpec] = []
        self.sections: dict[str, dict] = {}
        self.platform_port = 0
        self.entry_settings: dict[str, dict] = {}
        """Further settings of individual entry instances, by name."""
        self._plan()

    def _plan(self) -> None:
        zones = self.spec.zones
        instance_count = sum(zone.instances for zone in zones)
        slot_count = len(zones) * len(self.spec.databases)
        ports = iter(free_ports(1 + slot_count + 3 * instance_count))
        self.platform_port = next(ports)
        for database in self.spec.databases:
            for zone in zones:
                slot = f"{database}-{zone.zone}"
                self.slots.append(
                    SlotSpec(slot=slot, database=database, zone=zone.zone, port=next(ports))
                )
        for zone in zones:
            for number in range(zone.instances):
                self.entries.append(
                    EntrySpec(
                        instance=f"{zone.zone}-{number}",
                        zone=zone.zone,
                        region=zone.region,
                        callers_port=next(ports),
                        peers_port=next(ports),
                        health_port=next(ports),
                    )
                )

    def _targets(self) -> list[tuple[str, int]]:
        """Return the zone and port of each process that other zones connect to."""
        return [
            (PLATFORM_ZONE, self.platform_port),
            *((slot.zone, slot.port) for slot in self.slots),
            *((entry.zone, entry.peers_port) for entry in self.entries),
        ]

    async def start(self) -> None:
        """Start everything; wait until each instance is ready and each database has a primary.

        Raises ``TimeoutError`` if one of these waits exceeds ``START_TIMEOUT_S``.
        """
        if self.spec.linked:
            await self._start_links()
        self._spawn(
            "platform", ["mustardswitch_standins.platform_program", f"--port={self.platform_port}"]
        )
        for slot in self.slots:
            self.start_slot(slot)
        await asyncio.to_thread(self._wait_listening, self.platform_port)
        for slot in self.slots:
            await asyncio.to_thread(self._wait_listening, slot.port)
        self.sections = {f"service-{self.spec.service}": self.service_section()}
        await self.write_document()
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            await self.wait_ready(entry)
        for database in self.spec.databases:
            await self.wait_primary(database)

    async def _start_links(self) -> None:
        pairs = [
            (zone.zone, target, port)
            for zone in self.spec.zones
            for target, port in self._targets()
            if target != zone.zone
        ]
        for (source, target, port), via in zip(pairs, free_ports(len(pairs)), strict=True):
            self.link_ports[(source, port)] = via
            await self.links.listen(
                links.Listener(source=source, target=target, port=via, target_port=port)
            )

    def _spawn(self, name: str, arguments: list[str]) -> Process:
        command = [sys.executable, "-m", *arguments]
        log_path = self.directory / f"{name}.log"
        with log_path.open("ab") as log:
            popen = subprocess.Popen(command, stdout=log, stderr=log, env=environment())
        process = Process(name=name, command=command, popen=popen, log_path=log_path)
        self.processes[name] = process
        return process

    def start_slot(self, slot: SlotSpec) -> Process:
        """Start a slot; a restarted slot recovers its log from its directory."""
        arguments = [
            "mustardswitch_standins.backend_program",
            f"--slot={slot.slot}",
            f"--port={slot.port}",
            f"--directory={self.directory / slot.slot}",
            f"--max-connections={self.spec.connections}",
            f"--connect-ms={self.spec.connect_ms}",
            f"--receive-lag-ms={self.spec.receive_lag_ms}",
            f"--apply-lag-ms={self.spec.apply_lag_ms}",
        ]
        for (source, port), via in self.link_ports.items():
            if source == slot.zone:
                arguments.append(f"--translate={port}={via}")
        return self._spawn(slot.slot, arguments)

    def start_entry(self, entry: EntrySpec, **changes: object) -> Process:
        """Write an entry instance's settings, with ``changes`` applied, and start it."""
        settings = {
            "instance": entry.instance,
            "zone": entry.zone,
            "region": entry.region,
            "callers": {"host": HOST, "port": entry.callers_port},
            "peers": {"host": HOST, "port": entry.peers_port},
            "health": {"host": HOST, "port": entry.health_port},
            "store": {"host": HOST, "port": self.platform_port},
            "token_keys": [TOKEN_KEY],
            "drain_s": 10,
            "translations": [
                {"address": {"host": HOST, "port": port}, "via": {"host": HOST, "port": via}}
                for (source, port), via in self.link_ports.items()
                if source == entry.zone
            ],
            **self.entry_settings.get(entry.instance, {}),
            **changes,
        }
        path = self.directory / f"{entry.instance}.yaml"
        with path.open("w", encoding="utf-8") as stream:
            ruamel.yaml.YAML(typ="safe").dump(settings, stream)
        return self._spawn(
            entry.instance,
            ["mustardswitch.programs.mustardswitchd", "run", f"--settings={path}"],
        )

    def _wait_listening(self, port: int) -> None:
        ends_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_s:
            with contextlib.suppress(OSError), socket.create_connection((HOST, port), 0.5):
                return
            time.sleep(0.05)
        raise TimeoutError(f"no process listens on port {port}; see the logs in {self.directory}")

    def service_section(self) -> dict:
        """Return the initial service section."""
        return {
            "owner": f"{self.spec.service} team",
            **self.spec.policy,
            "databases": [
                {
                    "name": database,
                    "connections": self.spec.connections,
                    "slots": [
                        {"id": slot.slot, "zone": slot.zone, "host": HOST, "port": slot.port}
                        for slot in self.slots
                        if slot.database == database
                    ],
                }
                for database in self.spec.databases
            ],
        }

    def open_store(self) -> store.Store:
        """Open a client of the platform's store with a timeout of 5 seconds."""
        return store.Store(host=HOST, port=self.platform_port, timeout_s=5.0)

    async def write_document(self) -> None:
        """Write all sections of the document and the list of instances."""
        regions: dict[str, list[str]] = {}
        for zone in self.spec.zones:
            regions.setdefault(zone.region, []).append(zone.zone)
        fleet = {
            "owner": "platform team",
            "regions": [{"name": name, "zones": zones} for name, zones in regions.items()],
        }
        client = self.open_store()
        try:
            await self.put_section(client, "fleet", fleet)
            for name, body in self.sections.items():
                await self.put_section(client, name, body)
            for entry in self.entries:
                await self.list_instance(client, entry)
        finally:
            client.close()

    async def put_section(self, client: store.Store, name: str, body: dict) -> int:
        """Write a section, replacing its present revision, and return the new revision."""
        key = f"{sections.SECTION_PREFIX}{name}"
        existing = await client.read(key)
        value = sections.encode_section(
            text=json.dumps(body, indent=1), change_id=f"setup-{time.time_ns()}", editor="setup"
        )
        return await client.compare_and_swap(
            key, value, expected_revision=existing.revision if existing else 0
        )

    async def list_instance(
        self, client: store.Store, entry: EntrySpec, *, leaving: bool = False
    ) -> None:
        """Write an instance's entry in the platform's list."""
        key = f"platform/instances/{entry.instance}"
        existing = await client.read(key)
        body = {
            "instance": entry.instance,
            "zone": entry.zone,
            "region": entry.region,
            "host": HOST,
            "port": entry.peers_port,
            "leaving": leaving,
        }
        await client.compare_and_swap(
            key,
            json.dumps(body).encode(),
            expected_revision=existing.revision if existing else 0,
        )

    async def wait_ready(self, entry: EntrySpec) -> None:
        """Wait until an instance's readiness check succeeds.

        Raises ``TimeoutError`` after ``START_TIMEOUT_S``, or at once if its process has ended.
        """
        ends_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_s:
            if await asyncio.to_thread(_is_ready, entry.health_port):
                return
            if self.processes[entry.instance].popen.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise TimeoutError(
            f"instance {entry.instance} is not ready; see the logs in {self.directory}"
        )

    async def wait_primary(self, database: str) -> SlotSpec:
        """Wait until a database has a primary, and return it.

        Raises ``TimeoutError`` after ``START_TIMEOUT_S``.
        """
        ends_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_s:
            primary = await self.find_primary(database)
            if primary is not None:
                return primary
            await asyncio.sleep(0.05)
        raise TimeoutError(f"no primary for {database}; see the logs in {self.directory}")

    async def find_primary(self, database: str) -> SlotSpec | None:
        """Return the primary with the highest term according to the slots themselves, or None."""
        best: tuple[int, SlotSpec] | None = None
        for slot in self.slots:
            if slot.database != database or self.processes[slot.slot].popen.poll() is not None:
                continue
            status = await self.slot_call(slot, "status")
            is_primary = status is not None and status["role"] == "primary"
            if is_primary and (best is None or status["promised"] > best[0]):
                best = (status["promised"], slot)
        return best[1] if best else None

    async def slot_call(self, slot: SlotSpec, procedure: str, *arguments: object) -> dict | None:
        """Call a group procedure of a slot directly; None on an error or after 1 second."""
        text = ", ".join(map(str, arguments))
        try:
            async with asyncio.timeout(1.0):
                connection = await asyncmy.connect(
                    host=HOST, port=slot.port, user="replication", autocommit=None
                )
                cursor = connection.cursor()
                await cursor.execute(f"CALL group_{procedure}({text})")
                (answer,) = await cursor.fetchone()
                connection.close()
                return json.loads(answer)
        except (OSError, TimeoutError, asyncmy.errors.MySQLError):
            return None

    def entry_in(self, zone: str, number: int = 0) -> EntrySpec:
        """Return the entry instance of a zone with the given index."""
        return [entry for entry in self.entries if entry.zone == zone][number]

    async def stop(self) -> None:
        """Kill all processes and close all links."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.kill()
        await self.links.close()


def environment() -> dict[str, str]:
    """Return the environment for child processes, with the source directory on the module path."""
    source = str(pathlib.Path(__file__).resolve().parents[1])
    path = os.environ.get("PYTHONPATH")
    return {**os.environ, "PYTHONPATH": f"{source}:{path}" if path else source}


def read_metrics(entry: EntrySpec) -> str:
    """Return an instance's metrics as text."""
    url = f"http://{HOST}:{entry.health_port}/metrics"
    with urllib.request.urlopen(url, timeout=5.0) as response:
        return response.read().decode()


def _is_ready(port: int) -> bool:
    try:
        with urllib.request.urlopen(f"http://{HOST}:{port}/ready", timeout=1.0) as response:
            return response.status == 200
    except (OSError, urllib.error.URLError):
        return False


@contextlib.asynccontextmanager
async def running(spec: FleetSpec, directory: pathlib.Path):
    """Run a fleet while the context is open."""
    directory.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(spec=spec, directory=directory)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


CASCADE_ZONES = (
    ZoneSpec(zone="puget-a", region="puget", instances=2),
    ZoneSpec(zone="puget-b", region="puget", instances=2),
    ZoneSpec(zone="willamette-a", region="willamette", instances=2),
)
"""The Cascade deployment: three availability zones in two regions, two instances in each zone."""
