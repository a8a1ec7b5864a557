"""Measures the cost of idle instances: processor time, memory and traffic of the control plane.

``measure`` runs many nodes in this process. Each is the real ``Node`` with its real peer server and
links on loopback; the backend slots of its databases are not started, so that only membership,
document and gossip are counted. ``measure_slots`` measures the control of slots with real ones, by
the number of databases in a small fleet.
"""

import asyncio
import dataclasses
import os
import pathlib
import tempfile
import time

import grpclib.server
import psutil

from mustardswitch import settings, tls
from mustardswitch.instance import node
from mustardswitch.operators import instances
from mustardswitch.peers import server as peer_server
from mustardswitch_standins import fleet, platform_store

TOKEN_KEY = "a-token-key-for-tests-only"
SETTLE_S = 8.0
"""Wait between the start and the measurement."""
ZONES = 13
SECTION = "service-size"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlCost:
    """Average cost of one idle node, and totals of the store's calls."""

    instances: int
    core_percent: float
    memory_mb: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    propagation_s: float
    """Time until a changed section is in force on all nodes."""
    store_reads: int
    store_watches: int

    def __str__(self) -> str:
        return (
            f"{self.instances} nodes: {self.core_percent:.3f} % of a core, "
            f"{self.memory_mb:.2f} MB, {self.sent_bytes_per_s:.0f} B/s sent, "
            f"{self.received_bytes_per_s:.0f} B/s received a node; a section was in force "
            f"everywhere after {self.propagation_s:.2f} s; store: {self.store_reads} reads, "
            f"{self.store_watches} watches in all"
        )


async def measure(*, instances: int, databases: int, seconds: float) -> ControlCost:
    """Start nodes in this process, measure them idle for ``seconds``, then change a section."""
    process = psutil.Process(os.getpid())
    store_port, *ports = fleet.free_ports(1 + instances)
    with tempfile.TemporaryDirectory():
        async with platform_store.serving(host=fleet.HOST, port=store_port) as state:
            setup = _Setup(ports=ports, databases=databases, store_port=store_port)
            await setup.write_document()
            before_bytes = process.memory_info().rss
            nodes = [await setup.start_node(number) for number in range(instances)]
            await asyncio.sleep(SETTLE_S)
            memory_mb = (process.memory_info().rss - before_bytes) / instances / 1e6
            sent, received = _traffic(nodes)
            cpu_s = _cpu_s(process)
            await asyncio.sleep(seconds)
            cpu_s = _cpu_s(process) - cpu_s
            sent_after, received_after = _traffic(nodes)
            propagation_s = await setup.measure_propagation(nodes)
            counts = dataclasses.replace(state.counts)
            for item in nodes:
                await item.close()
    return ControlCost(
        instances=instances,
        core_percent=100.0 * cpu_s / seconds / instances,
        memory_mb=memory_mb,
        sent_bytes_per_s=(sent_after - sent) / seconds / instances,
        received_bytes_per_s=(received_after - received) / seconds / instances,
        propagation_s=propagation_s,
        store_reads=counts.reads,
        store_watches=counts.watches,
    )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _traffic(nodes: list[node.Node]) -> tuple[int, int]:
    sent = sum(item.peers.sent_bytes for item in nodes)
    received = sum(item.peers.received_bytes for item in nodes)
    return sent, received


class _Setup:
    """Writes the nodes' document and starts the nodes."""

    def __init__(self, *, ports: list[int], databases: int, store_port: int) -> None:
        self.ports = ports
        self.databases = databases
        self.store_port = store_port
        zones = min(ZONES, max(1, len(ports) // 3))
        self.spec = fleet.FleetSpec(
            zones=tuple(
                fleet.ZoneSpec(zone=f"zone-{number}", region=f"region-{number % 4}")
                for number in range(zones)
            ),
            databases=(),
        )
        self.plan = fleet.Fleet(spec=self.spec, directory=pathlib.Path())
        self.plan.platform_port = store_port
        self.plan.entries = [self._entry(number) for number in range(len(ports))]

    def _entry(self, number: int) -> fleet.EntrySpec:
        zone = self.spec.zones[number % len(self.spec.zones)]
        port = self.ports[number]
        return fleet.EntrySpec(
            instance=f"node-{number}",
            zone=zone.zone,
            region=zone.region,
            callers_port=port,
            peers_port=port,
            health_port=port,
        )

    async def write_document(self) -> None:
        """Write the fleet, the list of instances and sections without reachable slots."""
        self.plan.sections = {SECTION: self._section(1.0)}
        await self.plan.write_document()

    def _section(self, wait_ms: float) -> dict:
        return {
            "owner": "size",
            "replica_wait_ms": wait_ms,
            "databases": [
                {
                    "name": f"db-{number}",
                    "connections": 25,
                    "slots": [
                        {
                            "id": f"db-{number}-{slot}",
                            "zone": self.spec.zones[(number + slot) % len(self.spec.zones)].zone,
                            "host": "127.255.255.254",
                            "port": 1 + (number * 3 + slot) % 65000,
                        }
                        for slot in range(3)
                    ],
                }
                for number in range(self.databases)
            ],
        }

    async def start_node(self, number: int) -> node.Node:
        """Start one node and its peer server, without slot control."""
        entry = self.plan.entries[number]
        endpoint = {"host": fleet.HOST, "port": entry.peers_port}
        config = settings.Settings.model_validate(
            {
                "instance": entry.instance,
                "zone": entry.zone,
                "region": entry.region,
                "callers": endpoint,
                "peers": endpoint,
                "health": endpoint,
                "store": {"host": fleet.HOST, "port": self.store_port},
                "token_keys": [TOKEN_KEY],
            }
        )
        started = node.Node(config=config, contexts=tls.TlsContexts())
        server = grpclib.server.Server([peer_server.PeerService(handler=started)])
        await server.start(fleet.HOST, entry.peers_port)
        started.manager.reconcile = _skip_reconciliation
        started.start()
        return started

    async def measure_propagation(self, nodes: list[node.Node]) -> float:
        """Change a section and return the time until it is in force on all nodes, in seconds."""
        client = self.plan.open_store()
        started_s = time.monotonic()
        revision = await self.plan.put_section(client, SECTION, self._section(2.0))
        while not all(_revision(item) >= revision for item in nodes):
            await asyncio.sleep(0.01)
        client.close()
        return time.monotonic() - started_s


def _revision(item: node.Node) -> int:
    stored = item.keeper.stored.get(SECTION)
    return stored.revision if stored else 0


async def _skip_reconciliation(*_arguments: object) -> None:
    """Replace slot control, which ``measure_slots`` measures with real slots."""


async def measure_slots(*, databases: int, seconds: float) -> str:
    """Measure an idle Cascade fleet with real slots for ``seconds``; return the figures as text."""
    names = tuple(f"db{number}" for number in range(databases))
    spec = fleet.FleetSpec(zones=fleet.CASCADE_ZONES, databases=names)
    with tempfile.TemporaryDirectory() as directory:
        async with fleet.running(spec, pathlib.Path(directory)) as started:
            await asyncio.sleep(SETTLE_S)
            processes = [
                psutil.Process(started.processes[entry.instance].popen.pid)
                for entry in started.entries
            ]
            before_s = [_cpu_s(process) for process in processes]
            await asyncio.sleep(seconds)
            percents = [
                100.0 * (_cpu_s(process) - before) / seconds
                for process, before in zip(processes, before_s, strict=True)
            ]
            statuses = [
                await instances.read_status(fleet.HOST, entry.peers_port)
                for entry in started.entries
            ]
            gateways = sum(len(status.groups) for status in statuses)
            memory_mb = sum(process.memory_info().rss for process in processes) / 1e6
    count = len(percents)
    return (
        f"{databases} databases, {count} instances, {gateways} group gateways: "
        f"{sum(percents) / count:.2f} % of a core and {memory_mb / count:.1f} MB an instance, "
        f"{gateways / count:.2f} group gateways an instance"
    )
