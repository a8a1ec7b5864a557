"""A small platform deployment: emulators, real instances, and callers of the line protocol."""

import asyncio
import collections.abc
import json
import pathlib
import sys

from mustardswitch.proxy import fleet_records
from mustardswitch_standins import (
    database_group,
    fleet,
    http_store,
    line_protocol_databases,
    links,
)

LAUNCHER = pathlib.Path(__file__).parents[1] / "run_platform_instance.py"
REGIONS = {"a": "north", "b": "north", "c": "south"}
START_TIMEOUT_S = 120.0
"""Limit on the start of one instance until it is ready."""
INSTANCES = "instances"
"""Name of the instances' end of each link to a server."""
STORE = "store"
"""Name of the store's end of the link from each instance."""
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": f"r-{kind}",
            "host": f"db-{kind}",
            "type": kind,
            "timeout_ms": 5000,
            "priority": 1,
            "service": database_group.SERVICE,
            "max_staleness_ms": 1500,
        }
        for kind in ("primary", "bounded_staleness", "read_your_writes")
    ],
    "services": [{"name": database_group.SERVICE, "max_conns": 40, "sync_replicas": 1}],
    "limits": {"tx_idle_ms": 3000},
}


class Deployment:
    """Runs the emulators in this process and each instance as a process of its own."""

    def __init__(
        self,
        directory: pathlib.Path,
        *,
        group: database_group.Group | None = None,
        links_to_store: bool = False,
    ) -> None:
        self.directory = directory
        self.group = group or database_group.Group()
        self.databases = line_protocol_databases.LineProtocolDatabases(group=self.group)
        self.store = http_store.HttpStore(
            promote=line_protocol_databases.make_promote_call(self.databases)
        )
        self.store_port = fleet.free_ports(1)[0]
        self.links = links.LinkSet()
        self.links_to_store = links_to_store
        """Whether each instance reaches the store, but not the promotion call, over a link."""
        self.store_link_ports: dict[str, int] = {}
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self) -> None:
        """Start the emulators, register each server and store the configuration.

        The store is one that instances have used before: services may be claimed at once.
        """
        for server in self.group.servers.values():
            await self.start_server(server)
        await self.store.start(self.store_port)
        self.databases.list_servers(self.store)
        self.store.put(f"{fleet_records.ERAS}{self.store.era}", b"")
        self.store.put("op/config", json.dumps(CONFIGURATION).encode())

    async def start_server(self, server: database_group.FakeServer) -> None:
        """Start a server, which instances reach over a link once it is listed."""
        port = await self.databases.listen(server)
        self.databases.ports[server.name] = await self._link(INSTANCES, server.name, port)

    async def _link(self, source: str, target: str, target_port: int) -> int:
        """Start a link and return its port."""
        listener = links.Listener(
            source=source, target=target, port=fleet.free_ports(1)[0], target_port=target_port
        )
        await self.links.listen(listener)
        return listener.port

    async def start_instance(
        self,
        name: str,
        limits: dict[str, int] | None = None,
        servers: dict[str, int] | None = None,
    ) -> "Instance":
        """Start an instance, with these parts of its settings, and wait until it is ready.

        Raises ``TimeoutError`` if that takes longer than ``START_TIMEOUT_S``.
        """
        instance = Instance(
            name=name,
            callers=fleet.free_ports(1)[0],
            health=fleet.free_ports(1)[0],
            metrics=fleet.free_ports(1)[0],
            peers=fleet.free_ports(1)[0],
        )
        store_port = self.store_port
        if self.links_to_store:
            if name not in self.store_link_ports:
                self.store_link_ports[name] = await self._link(name, STORE, self.store_port)
            store_port = self.store_link_ports[name]
        settings = self.directory / f"{name}.yaml"
        settings.write_text(
            encode_settings(
                instance,
                store_port=store_port,
                promotion_port=self.store_port,
                limits=limits,
                servers=servers,
            )
        )
        instance.log = self.directory / f"{name}-{len(self.processes)}.log"
        instance.errors = instance.log.with_suffix(".err")
        with instance.log.open("wb") as log, instance.errors.open("wb") as standard_error:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(LAUNCHER),
                env={"MUSTARDSWITCH_BOOT": str(settings), "PATH": "/usr/bin:/bin"},
                stdout=log,
                stderr=standard_error,
            )
        self.processes.append(process)
        instance.process = process
        await asyncio.wait_for(instance.wait_ready(), START_TIMEOUT_S)
        return instance

    async def stop(self) -> None:
        """Kill the instances and stop the emulators."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        await self.links.close()
        self.databases.close()
        self.store.close()


class Instance:
    """A running instance, accessed through its ports."""

    def __init__(self, *, name: str, callers: int, health: int, metrics: int, peers: int) -> None:
        self.name = name
        self.callers = callers
        self.health = health
        self.metrics = metrics
        self.peers = peers
        self.process: asyncio.subprocess.Process | None = None
        self.log: pathlib.Path | None = None
        """File that receives its standard output."""
        self.errors: pathlib.Path | None = None
        """File that receives its standard error."""

    async def get(self, path: str) -> tuple[int, str]:
        """Send a GET request to the health port and return the status code and body.

        Raises ``OSError`` if it cannot be sent, or if what comes back is no answer over HTTP.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.health)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            answer = await reader.read()
        finally:
            writer.close()
        if not answer.startswith(b"HTTP/"):
            met = repr(answer[:60]) if answer else "no answer"
            raise ConnectionResetError(f"{met} to GET {path} at port {self.health} of {self.name}")
        head, _, body = answer.decode().partition("\r\n\r\n")
        return int(head.split()[1]), body

    async def wait_ready(self) -> None:
        """Wait until the readiness check succeeds, which is when a load balancer sends callers.

        Failures other than a port that is not open yet are printed to standard error, each once.
        """
        printed: set[str] = set()
        while True:
            try:
                if (await self.get("/readiness"))[0] == 200:
                    return
            except ConnectionRefusedError:
                pass
            except OSError as error:
                if str(error) not in printed:
                    print(f"trying again after {error}", file=sys.stderr)
                printed.add(str(error))
            await asyncio.sleep(0.05)

    async def session(self, database: str) -> "Caller":
        """Open a session on a database and read its greeting."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.callers)
        caller = Caller(reader=reader, writer=writer)
        writer.write(f"STARTUP {database} tester\r\n".encode())
        caller.greeting = await caller.line()
        return caller


def encode_settings(
    instance: Instance,
    *,
    store_port: int,
    promotion_port: int,
    zone: str = "a",
    regions: collections.abc.Mapping[str, str] = REGIONS,
    stop_grace_s: float = 3,
    limits: dict[str, int] | None = None,
    servers: dict[str, int] | None = None,
) -> str:
    """Return the settings file of an instance in an availability zone."""
    return f"""
instance: {instance.name}
zone: {zone}
regions: {json.dumps(dict(regions))}
callers: 127.0.0.1:{instance.callers}
health: 127.0.0.1:{instance.health}
metrics: 127.0.0.1:{instance.metrics}
peers: 127.0.0.1:{instance.peers}
store: 127.0.0.1:{store_port}
promotions: 127.0.0.1:{promotion_port}
stop_grace_s: {stop_grace_s}
limits: {json.dumps(limits)}
servers: {json.dumps(servers)}
"""


class Caller:
    """A caller's connection over the line protocol."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.greeting = ""
        self.request_count = 0

    async def line(self) -> str:
        """Read one line; an empty text means that the connection was closed.

        Raises ``TimeoutError`` after 20 seconds without a line.
        """
        return (await asyncio.wait_for(self.reader.readline(), 20.0)).decode().rstrip("\r\n")

    async def query(self, text: str, request: str | None = None) -> list[str]:
        """Send a statement and return the lines of its answer.

        The last line starts with ``READY``, or is empty if the connection was closed.
        """
        self.request_count += 1
        request = request or f"q{id(self)}-{self.request_count}"
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        answer = [await self.line()]
        while answer[-1] and not answer[-1].startswith("READY"):
            answer.append(await self.line())
        return answer
