"""Starts instances with the deploy file's command, and speaks to them as clients do."""

import asyncio
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import tempfile
import tomllib
import urllib.request

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[2]
START_S = 40.0
MAX_STARTS = 4
PORTS = (10000, 32000)
USED_PORTS = set()
SETTLE_S = 10.0
"""Traffic starts some seconds after the machines do."""
ANSWER_S = 20.0
REGIONS = {"a": "north", "b": "north", "c": "south"}
BASE = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
TENANTS = [*BASE[:5], "health", "pool", "sql", "tenants", "quota", "pressure", "platform"]


def free_ports(count):
    """Return ports below those that the system gives to connections, each one only once."""
    found = []
    while len(found) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            found.append(port)
    return found


def render(template, fields):
    """Fill the placeholders of the settings template."""

    def fill(match):
        name, _, form = match[1].partition("|")
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", fill, template)


class Instance:
    """One process of the project."""

    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.process = None
        self.starts = 0
        self.choose_ports()

    def choose_ports(self):
        self.front, self.ready, *self.internal = free_ports(4)

    def fields(self):
        deployment = self.deployment
        port = deployment.store.port
        return {
            "node_name": self.name,
            "ip": HOST,
            "zone": self.zone,
            "zones": REGIONS,
            "internal_ports": self.internal,
            "listen": {"front": f"{HOST}:{self.front}", "ready": f"{HOST}:{self.ready}"},
            "platform": {"addr": f"{HOST}:{deployment.store_ports.get(self.name, port)}"},
            "cloud_api": {"addr": f"{HOST}:{port}"},
            "contracts": deployment.contracts,
            "heartbeat_ms": 1200,
            "bounds": {"grace_s": 6, "drain_ms": 7000},
            "limits": {"memory_mb": 300, "max_fds": 4200},
        }

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["instance"]
        self.starts += 1
        settings = deployment_path(self.deployment, f"{self.name}.yaml")
        settings.write_text(render((ROOT / deploy["template"]).read_text(), self.fields()))
        log = deployment_path(self.deployment, f"{self.name}-{self.starts}.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            *deploy["run"].split(),
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "MUSTARDSWITCH_BOOT": str(settings),
                "PYTHONPATH": str(ROOT / "target/deps"),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.deployment.record.note(f"{self.name}: process started")

    async def wait_ready(self):
        deadline = asyncio.get_running_loop().time() + START_S
        while asyncio.get_running_loop().time() < deadline:
            if self.process.returncode is not None and self.starts < MAX_STARTS:
                # Another program may have taken one of its ports.
                self.choose_ports()
                await self.start()
            if await asyncio.to_thread(self._is_ready):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready")

    def _is_ready(self):
        try:
            url = f"http://{HOST}:{self.ready}/readiness"
            return urllib.request.urlopen(url, timeout=2).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def signal(self, number):
        self.deployment.record.note(f"{self.name}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def session(self, database, who="u1"):
        reader, writer = await asyncio.open_connection(HOST, self.front, limit=4 << 20)
        client = Client(self, reader, writer)
        await client.start(database, who)
        return client


def deployment_path(deployment, name):
    return pathlib.Path(deployment.directory) / name


class Client:
    """One session of a client."""

    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer
        self.record = instance.deployment.record
        self.sent = 0
        self.greeting = ""

    async def _line(self):
        line = await asyncio.wait_for(self.reader.readline(), ANSWER_S)
        return line.decode().rstrip("\r\n")

    async def start(self, database, who):
        self.writer.write(f"STARTUP {database} {who}\r\n".encode())
        self.greeting = await self._line()
        self.record.note(f"client at {self.instance.name}: STARTUP {database}: {self.greeting}")

    async def query(self, text, request=None):
        """Send a statement and return its id and the lines of the answer.

        The last line is empty if the connection was closed.
        """
        self.sent += 1
        request = request or f"q{os.urandom(6).hex()}"
        short = text if len(text) < 90 else f"{text[:90]}... ({len(text)} characters)"
        self.record.note(f"client at {self.instance.name}: QUERY {request} {short}")
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        answer = []
        while not answer or (answer[-1] and not answer[-1].startswith("READY")):
            answer.append(await self._line())
        shown = [each if len(each) < 120 else f"{each[:120]}..." for each in answer]
        self.record.note(f"client at {self.instance.name}: answer to {request}: {shown}")
        return request, answer

    def close(self):
        self.writer.close()


def succeeded(answer):
    return any(line.startswith("COMPLETE") for line in answer)


class Deployment:
    """Instances, the store and the databases of one service."""

    def __init__(self, record, group, store, contracts=BASE):
        self.record, self.group, self.store = record, group, store
        self.contracts = contracts
        self.directory = tempfile.mkdtemp(prefix="case-")
        self.instances = []
        self.tasks = []
        self.store_ports = {}
        """Where single instances reach the store, if not at its own port."""

    async def start(self, configuration, zones=("a", "b", "c")):
        if not hasattr(self.store, "port"):
            await self.store.start()
        await self.group.start()
        self.store.put_json("op/config", configuration)
        self.tasks.append(asyncio.create_task(self.group.keep_registered(self.store)))
        for rank, zone in enumerate(zones):
            self.instances.append(Instance(self, f"edge-{zone}-{rank + 1}", zone))
        for instance in self.instances:
            await instance.start()
        for instance in self.instances:
            await instance.wait_ready()
        await asyncio.sleep(SETTLE_S)

    def keep(self, work):
        self.tasks.append(asyncio.create_task(work))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            process = instance.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


def configuration(service, kinds, version=3, **fields):
    """Return a configuration with one route for each of some types, named db-TYPE."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{kind}",
                "host": f"db-{kind}",
                "prefix": "/",
                "type": kind,
                "timeout_ms": 2000,
                "target_latency_ms": 1000,
                "priority": 1,
                "service": service,
                "max_staleness_ms": 1500,
                "public": fields.get("public", False),
            }
            for kind in kinds
        ],
        "services": [{"name": service, "max_conns": 40, "sync_replicas": 1}],
        "limits": {"tx_idle_ms": 3000},
        **({"tenants": fields["tenants"]} if "tenants" in fields else {}),
    }


def run(judge, record_path, make_record):
    """Run a judge; exit with 1 if it finds a broken rule, 0 if not, 2 if it could not run."""
    record = make_record(record_path)
    try:
        broken = asyncio.run(asyncio.wait_for(judge(record), 110))
    except Exception as error:
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    record.note("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
