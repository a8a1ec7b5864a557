"""The real process between stand-ins for the store, the databases and the balancer."""

import asyncio
import json
import pathlib
import signal
import socket
import sys

import pytest

from mustardswitch_standins import database_group, users_databases, users_store

ROOT = pathlib.Path(__file__).parents[2]
START_S = 20.0
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


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Deployment:
    """Stand-ins and instances."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.group = database_group.Group()
        self.databases = users_databases.UsersDatabases(group=self.group)
        self.store = users_store.UsersStore(promote=users_databases.promoter(self.databases))
        self.store_port = _free_port()
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self) -> None:
        await self.databases.start()
        await self.store.start(self.store_port)
        self.databases.list_servers(self.store)
        self.store.put("op/config", json.dumps(CONFIGURATION).encode())

    async def start_instance(self, name: str) -> "Instance":
        instance = Instance(name=name, callers=_free_port(), health=_free_port())
        settings = self.directory / f"{name}.yaml"
        settings.write_text(f"""
instance: {name}
zone: a
regions: {{"a": "north", "b": "north", "c": "south"}}
callers: 127.0.0.1:{instance.callers}
health: 127.0.0.1:{instance.health}
metrics: ""
peers: 127.0.0.1:{_free_port()}
store: 127.0.0.1:{self.store_port}
promotions: 127.0.0.1:{self.store_port}
stop_grace_s: 3
""")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "src" / "run_platform_instance.py"),
            env={"MUSTARDSWITCH_BOOT": str(settings), "PATH": "/usr/bin:/bin"},
            stdout=asyncio.subprocess.PIPE,
        )
        self.processes.append(process)
        instance.process = process
        await asyncio.wait_for(instance.wait_ready(), START_S)
        return instance

    async def stop(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.communicate()
        self.databases.close()
        self.store.close()


class Instance:
    """A running instance, as callers and the balancer see it."""

    def __init__(self, *, name: str, callers: int, health: int) -> None:
        self.name = name
        self.callers = callers
        self.health = health
        self.process: asyncio.subprocess.Process | None = None

    async def get(self, path: str) -> tuple[int, str]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.health)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        head, _, body = (await reader.read()).decode().partition("\r\n\r\n")
        writer.close()
        return int(head.split()[1]), body

    async def wait_ready(self) -> None:
        while True:
            try:
                if (await self.get("/readiness"))[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)

    async def session(self, database: str) -> "Caller":
        reader, writer = await asyncio.open_connection("127.0.0.1", self.callers)
        caller = Caller(reader=reader, writer=writer)
        writer.write(f"STARTUP {database} tester\r\n".encode())
        caller.greeting = await caller.line()
        return caller


class Caller:
    """One caller's connection."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.greeting = ""
        self.asked = 0

    async def line(self) -> str:
        return (await asyncio.wait_for(self.reader.readline(), 20.0)).decode().rstrip("\r\n")

    async def ask(self, text: str) -> list[str]:
        self.asked += 1
        self.writer.write(f"QUERY q{id(self)}-{self.asked} {text}\r\n".encode())
        answer = [await self.line()]
        while answer[-1] and not answer[-1].startswith("READY"):
            answer.append(await self.line())
        return answer


@pytest.fixture
async def deployment(tmp_path):
    started = Deployment(tmp_path)
    await started.start()
    try:
        yield started
    finally:
        await started.stop()


async def test_serves_statements_transactions_values_and_prepared_names(deployment):
    instance = await deployment.start_instance("one")
    caller = await instance.session("db-read_your_writes")
    assert caller.greeting == "READY I -"
    assert (await caller.ask("SET mode 1"))[0] == "COMPLETE -"
    assert (await caller.ask("WRITE item x"))[-2].startswith("COMPLETE sig-server-a")
    assert (await caller.ask("READ item"))[0] == "DATAROW 1"
    assert (await caller.ask("PREPARE s1 WRITE q2"))[0] == "COMPLETE -"
    assert (await caller.ask("BEGIN"))[-1] == "READY T -"
    assert (await caller.ask("EXECUTE s1 item y"))[-1] == "READY T -"
    assert (await caller.ask("COMMIT"))[-1] == "READY I -"
    assert (await caller.ask("READ item"))[0] == "DATAROW 2"
    assert len(deployment.group.acknowledged) == 2
    assert (await instance.session("nobody")).greeting.startswith("ERROR NODB")


async def test_a_line_that_cannot_be_read_ends_only_its_own_session(deployment):
    instance = await deployment.start_instance("one")
    good = await instance.session("db-primary")
    bad = await instance.session("db-primary")
    assert (await bad.ask("DROP everything"))[0].startswith("ERROR MALFORMED")
    assert await bad.line() == ""
    assert (await good.ask("WRITE item x"))[-2].startswith("COMPLETE sig")


async def test_a_crashed_primary_is_replaced_and_writes_go_on(deployment):
    first = await deployment.start_instance("one")
    second = await deployment.start_instance("two")
    caller = await first.session("db-primary")
    assert (await caller.ask("WRITE item x"))[-2].startswith("COMPLETE sig-server-a")
    deployment.databases.crash(deployment.group.primary.name)

    async def write_until_served() -> list[str]:
        while True:
            for instance in (first, second):
                answer = await (await instance.session("db-primary")).ask("WRITE item y")
                if answer[-2].startswith("COMPLETE sig"):
                    return answer

    listing = asyncio.create_task(_keep_listed(deployment))
    answer = await asyncio.wait_for(write_until_served(), 30.0)
    listing.cancel()
    assert not answer[-2].startswith("COMPLETE sig-server-a")
    assert deployment.group.lost == []


async def _keep_listed(deployment: Deployment) -> None:
    while True:
        await asyncio.sleep(0.2)
        deployment.databases.list_servers(deployment.store)


async def test_a_store_outage_is_not_noticed_by_callers(deployment):
    instance = await deployment.start_instance("one")
    caller = await instance.session("db-primary")
    deployment.store.down = True
    for _ in range(10):
        assert (await caller.ask("WRITE item x"))[-2].startswith("COMPLETE sig")
        await asyncio.sleep(0.1)
    deployment.store.down = False


async def test_a_new_configuration_is_in_force_soon(deployment):
    instance = await deployment.start_instance("one")
    changed = json.loads(json.dumps(CONFIGURATION))
    changed["version"] = 9
    changed["routes"][0]["host"] = "db-new"
    deployment.store.put("op/config", json.dumps(changed).encode())

    async def served() -> None:
        while (await instance.session("db-new")).greeting != "READY I -":
            await asyncio.sleep(0.05)

    await asyncio.wait_for(served(), 10.0)
    assert (await instance.session("db-primary")).greeting.startswith("ERROR NODB")


async def test_stops_without_cutting_a_statement_off(deployment):
    instance = await deployment.start_instance("one")
    callers = [await instance.session("db-primary") for _ in range(5)]
    deployment.group.primary.slow_s = 0.5
    asking = [asyncio.create_task(caller.ask("WRITE item x")) for caller in callers]
    await asyncio.sleep(0.1)
    instance.process.send_signal(signal.SIGTERM)
    for answer in await asyncio.gather(*asking):
        assert answer[-2].startswith("COMPLETE sig")
    output, _ = await asyncio.wait_for(instance.process.communicate(), 30.0)
    assert instance.process.returncode == 0
    events = [json.loads(line)["event"] for line in output.decode().splitlines()]
    assert 100 in events and 101 in events and 102 in events


async def test_shows_counters_and_latencies(deployment):
    instance = await deployment.start_instance("one")
    caller = await instance.session("db-primary")
    await caller.ask("WRITE item x")
    status, body = await instance.get("/metrics")
    assert status == 200
    assert 'mustardswitch_statements_total{kind="ran"} 1' in body
    assert "mustardswitch_statement_seconds" in body
