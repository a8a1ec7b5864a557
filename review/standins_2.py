"""Stand-ins of the second review: the platform's store and promotion call, databases, clients.

Needs the standard library only. Everything listens on 127.0.0.1 and stops with the script.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import resource
import signal
import socket
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_LINE_BYTES = 1 << 20
"""The protocol's limit for one message."""
SERVICE = "bakehouse-ledger"
MEMORY_MB = 300
MAX_FDS = 4200
HEARTBEAT_MS = 1200
GRACE_S = 6
DRAIN_S = 7.0
TX_IDLE_MS = 3000
MAX_CONNS = 23
ZONES = {"puget-a": "puget", "willamette-a": "willamette", "puget-b": "puget"}


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def note(self, text):
        """Write one line; long texts are cut."""
        if len(text) > 300:
            text = f"{text[:200]}... ({len(text)} characters)"
        self.file.write(f"{time.monotonic() - self.started_s:9.3f} s  {text}\n")
        self.file.flush()


def free_ports(count):
    """Return ports that are free on the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def allow_descriptors():
    """Allow this process, and those that it starts, the descriptors of a machine."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= MAX_FDS:
        return True
    if hard != resource.RLIM_INFINITY and hard < MAX_FDS:
        return False
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, hard))
    return True


class Store:
    """The platform's key-value store and its promotion call, over HTTP/1.1."""

    def __init__(self, record, group):
        self.record = record
        self.group = group
        self.port = 0
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.tokens = {}
        self.unanswered = 0
        """Promotion calls that get no answer from now on, and are executed late."""
        self.late_s = 5.0
        self.on_unanswered = lambda name: None
        self.server = None

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value, lease=0):
        """Write a key at a new revision."""
        self.revision += 1
        self._put(key, value, lease)

    def _put(self, key, value, lease):
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_revision": known["create_revision"] if known else self.revision,
            "lease": lease,
        }
        self._note(self.items[key])

    def delete(self, key):
        """Remove a key at a new revision."""
        if key in self.items:
            self.revision += 1
            self._delete(key)

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now_s = time.monotonic()
        for lease in [each for each, (_, end_s) in self.leases.items() if end_s < now_s]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                self._expire()
                decoded = json.loads(body) if body else {}
                status, answer = await self._answer(path, fields, decoded, headers)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, path, query, body, headers):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "store_revision": self.revision}
        if path == "/kv-range":
            found = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            ]
            return 200, {"items": found, "has_more": False, "store_revision": self.revision}
        if path == "/kv-watch":
            return await self._watch(
                query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000
            )
        if path == "/kv-txn":
            return self._change(body)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl_s = body["ttl_ms"] / 1000
            self.leases[self.next_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl_ms": int(ttl_s * 1000)}
        if path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        if path == "/promote":
            token = int(headers["fencing-token"])
            call = (body["service"], body["id"], token, headers["lease-holder"])
            if self.unanswered:
                self.unanswered -= 1
                self.record.note(f"platform: promote {call[1]} by {call[3]} gets no answer")
                asyncio.get_running_loop().call_later(self.late_s, self._promote, *call)
                self.on_unanswered(call[1])
                await asyncio.sleep(self.late_s)
                raise OSError("no answer")
            return (200, {}) if self._promote(*call) else (409, {})
        return 404, {}

    def _promote(self, service, name, token, holder):
        accepted = token >= self.tokens.get(service, 0) and self.group.accepts(name)
        self.tokens[service] = max(token, self.tokens.get(service, 0))
        self.record.note(
            f"platform: promote {name} by {holder} with token {token}:"
            f" {'accepted' if accepted else 'refused'}"
        )
        if accepted:
            self.group.promote_later(name)
        return accepted

    async def _watch(self, prefix, after, wait_s):
        end_s = time.monotonic() + wait_s
        while True:
            self._expire()
            if after > self.revision:
                return 410, {}
            events = [
                each
                for each in self.history
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(left_s, 0.2))
            except TimeoutError:
                continue

    def _change(self, body):
        for row in body["expected_revision"]:
            known = self.items.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                found = [each["key"] for each in body["expected_revision"]]
                return 412, {"items": [self.items[key] for key in found if key in self.items]}
        for put in body["puts"]:
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in body["puts"]:
            self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body["deletes"]:
            self._delete(key)
        return 200, {"revision": self.revision}


class Database:
    """One database of the group: its log, its role and its listener."""

    def __init__(self, name, zone, group):
        self.name, self.zone, self.group = name, zone, group
        self.role = "replica"
        self.log = []
        """Entries as (term, request id)."""
        self.ends = {}
        """Its log at the beginning of each term that it led."""
        self.paused = 0
        self.deaf = False
        """Whether it receives nothing from the primary."""
        self.state = "ready"
        self.up = True
        self.down_since_s = 0.0
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.connections = 0
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def position(self):
        """The end of the log, as the protocol spells it."""
        return f"{self.log[-1][0]}.{len(self.log)}" if self.log else "0.0"

    def holds(self, position):
        """Return whether the log holds a position."""
        term, _, number = position.partition(".")
        number = int(number)
        return number == 0 or (number <= len(self.log) and self.log[number - 1][0] == int(term))

    async def start(self, port=0):
        """Listen on a port; 0 for a free one."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=MAX_LINE_BYTES
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        """Return the entry that the database writes to the store."""
        self.seq += 1
        return json.dumps(
            {
                "service": SERVICE,
                "addr": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 3,
                "state": self.state,
                "warmup_left_ms": 0,
                "seq": self.seq,
                "db_role": self.role,
                "born": self.born_ms,
            }
        ).encode()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.connections += 1
        try:
            words = (await reader.readuntil(b"\r\n")).decode().split()
            if words[:2] != ["STARTUP", SERVICE] or (len(words) > 3 and words[3] != self.name):
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            if self.connections > MAX_CONNS:
                writer.write(b"ERROR CONNLIMIT -\r\n")
                return
            writer.write(f"READY I {self.position}\r\n".encode())
            session = DatabaseSession(self)
            while True:
                line = (await reader.readuntil(b"\r\n")).decode().removesuffix("\r\n")
                if line == "TERMINATE":
                    return
                _, request, text = line.split(" ", 2)
                writer.write(await session.answer(request, text))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()


class DatabaseSession:
    """One connection to a database."""

    def __init__(self, database):
        self.database = database
        self.prepared = {}
        self.term = None
        """The term in which the open transaction began; None without one."""
        self.reads_only = False
        self.failed = False
        self.writes = []

    async def answer(self, request, text):
        """Run a statement and return the encoded answer."""
        rows, result = await self._run(request, text)
        state = "I" if self.term is None else "E" if self.failed else "T"
        lines = [f"DATAROW {row}" for row in rows]
        lines += [result, f"READY {state} {self.database.position}"]
        return "".join(f"{line}\r\n" for line in lines).encode()

    async def _run(self, request, text):
        database, group = self.database, self.database.group
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._command(word, rest), "COMPLETE -"
        if word == "AFTER":
            position, _, text = rest.partition(" ")
            if not database.holds(position):
                return [], f"ERROR LAGGING {database.name}"
            word, _, rest = text.partition(" ")
        if word == "RESET":
            self.prepared.clear()
            return [], "COMPLETE -"
        if word in ("SET", "DEALLOC"):
            return [], "COMPLETE -"
        if word == "PREPARE":
            name, access, _ = rest.split(" ", 2)
            self.prepared[name] = access
            return [], "COMPLETE -"
        if word == "ROLLBACK":
            self.term, self.failed, self.writes = None, False, []
            return [], "COMPLETE -"
        if word == "BEGIN":
            if rest != "READ" and database.role != "primary":
                return [], f"ERROR READONLY {database.name}"
            self.term, self.reads_only, self.writes = group.term, rest == "READ", []
            return [], "COMPLETE -"
        lost = (
            self.term is not None
            and not self.reads_only
            and (database.role != "primary" or self.term != group.term)
        )
        if lost and not (word == "COMMIT" and not self.writes):
            self.failed = True
            return [], f"ERROR READONLY {database.name}"
        if word == "COMMIT":
            writes, self.writes, self.term = self.writes, [], None
            if writes and not await group.commit(database, writes):
                return [], "ERROR FAILED -"
            return [], f"COMPLETE sig-{database.name}-{request}"
        if word == "EXECUTE":
            name = rest.partition(" ")[0]
            if name not in self.prepared:
                self.failed = self.term is not None
                return [], "ERROR NOSTMT -"
            word = self.prepared[name]
        group.arrivals.append((time.monotonic(), database.name, request))
        group.record.note(f"{database.name} runs {request} {text[:60]}")
        await asyncio.sleep(group.work_s)
        if word == "READ":
            return ["row"], f"COMPLETE sig-{database.name}-{request}"
        if database.role != "primary":
            return [], f"ERROR READONLY {database.name}"
        if self.term is not None:
            self.writes.append(request)
        elif not await group.commit(database, [request]):
            return [], "ERROR FAILED -"
        return [], f"COMPLETE sig-{database.name}-{request}"

    def _command(self, word, rest):
        database, group = self.database, self.database.group
        if word == "PAUSE" and database.role == "replica" and int(rest) > group.term:
            database.paused = max(database.paused, int(rest))
        elif word == "RESUME":
            database.paused = 0
            group.catch_up(database)
        elif word == "STEPDOWN" and database.role == "primary" and int(rest) > group.term:
            database.role = "replica"
            group.list_all()
        term = max(group.term, database.paused)
        return [
            f"{database.role} {term} {database.position} {database.paused} 1 1"
            f" {database.connections}"
        ]


class Group:
    """Three databases of one service, with one synchronous replica."""

    PROMOTION_S = 0.6

    def __init__(self, record):
        self.record = record
        self.term = 1
        self.databases = {}
        self.store = None
        self.work_s = 0.002
        """Time of a read or write."""
        self.arrivals = []
        """Callers' statements as (time, database, request id)."""
        for index, zone in enumerate(ZONES, start=1):
            self.databases[f"i-{index}"] = Database(f"i-{index}", zone, self)
        self.databases["i-1"].role = "primary"

    async def start(self):
        """Listen with each database."""
        for database in self.databases.values():
            await database.start()

    def list_all(self):
        """Write the entries of all databases that run."""
        for database in self.databases.values():
            if database.up:
                self.store.put(f"servers/{database.name}", database.entry())

    async def heartbeats(self):
        """Write the entries again and again; those of silent databases expire."""
        while True:
            self.list_all()
            now_s = time.monotonic()
            for database in self.databases.values():
                silent_s = now_s - database.down_since_s
                if not database.up and silent_s > 3 * HEARTBEAT_MS / 1000:
                    self.store.delete(f"servers/{database.name}")
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def crash(self, name):
        """End a database's process; its connections break, and its log stays."""
        database = self.databases[name]
        database.up = False
        database.down_since_s = time.monotonic()
        database.server.close()
        for writer in list(database.writers):
            writer.transport.abort()
        self.record.note(f"{name} crashes")

    def end(self, name):
        """End a database that has reported that it leaves; it removes its entry."""
        self.crash(name)
        self.store.delete(f"servers/{name}")
        del self.databases[name]

    async def restart(self, name, empty=False, leads=False):
        """Start a crashed database again at its address; ``empty`` without its log.

        A primary ``leads`` again if no other was promoted.
        """
        database = self.databases[name]
        if empty:
            database.log = []
        database.role, database.paused = "primary" if leads else "replica", 0
        database.born_ms = int(time.time() * 1000)
        database.seq = 0
        await database.start(database.port)
        database.up = True
        self.catch_up(database)
        self.store.put(f"servers/{name}", database.entry())
        self.record.note(f"{name} runs again at {database.position}")

    def drain(self, name):
        """Report that a database leaves; return when the store has acknowledged it."""
        database = self.databases[name]
        database.state = "draining"
        self.store.put(f"servers/{name}", database.entry())
        self.record.note(f"{name} is draining: acknowledged by the store")
        return time.monotonic()

    def catch_up(self, database):
        """Give a replica the log of the primary."""
        primary = next((d for d in self.databases.values() if d.role == "primary"), None)
        receives = database.role == "replica" and not database.paused and not database.deaf
        if primary is not None and primary.up and receives:
            database.log = list(primary.log)

    async def commit(self, primary, writes):
        """Append commits and send them to the replicas; acknowledged once one has them."""
        primary.log += [(self.term, request) for request in writes]
        await asyncio.sleep(0.002)
        receivers = [
            each
            for each in self.databases.values()
            if each is not primary
            and each.up
            and each.role == "replica"
            and not (each.paused or each.deaf)
        ]
        for each in receivers:
            each.log = list(primary.log)
        return bool(receivers)

    def accepts(self, name):
        """Return whether a database can be promoted."""
        return name in self.databases and self.databases[name].up

    def promote_later(self, name):
        """Make a database the primary of the next term, after the time of a promotion."""
        asyncio.get_running_loop().call_later(self.PROMOTION_S, self._promote, name)

    def _promote(self, name):
        chosen = self.databases[name]
        if not chosen.up or chosen.role == "primary":
            return
        self.term += 1
        for each in self.databases.values():
            each.role, each.paused = "replica", 0
        chosen.role = "primary"
        chosen.ends[self.term] = list(chosen.log)
        for each in self.databases.values():
            self.catch_up(each)
        self.record.note(f"{name} leads term {self.term} with its log up to {chosen.position}")
        self.list_all()


def configuration(version=3):
    """Return the operator's configuration: a route of each type."""
    kinds = ("primary", "bounded_staleness", "read_your_writes")
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{kind}",
                "host": f"db-{kind}",
                "type": kind,
                "timeout_ms": 2000,
                "target_latency_ms": 1000,
                "priority": 1,
                "service": SERVICE,
                "max_staleness_ms": 1500,
            }
            for kind in kinds
        ],
        "services": [{"name": SERVICE, "max_conns": MAX_CONNS, "sync_replicas": 1}],
        "limits": {"tx_idle_ms": TX_IDLE_MS},
    }


def render(template, fields):
    """Fill in a settings template: ``{{a.b}}`` and ``{{a|json}}``."""

    def value(match):
        found = fields
        for step in match[1].split("."):
            found = found[int(step)] if isinstance(found, list) else found.get(step)
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Instance:
    """One process of the system, started as the deploy file says."""

    def __init__(self, name, zone, platform, folder):
        front, ready, first, second = free_ports(4)
        self.name, self.front, self.ready = name, front, ready
        self.platform = platform
        self.folder = folder
        self.process = None
        self.starts = 0
        self.fields = {
            "node_name": name,
            "zone": zone,
            "zones": ZONES,
            "ip": "127.0.0.1",
            "internal_ports": [first, second],
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "platform": {"addr": f"127.0.0.1:{platform.store.port}"},
            "cloud_api": {"addr": f"127.0.0.1:{platform.store.port}"},
            "bounds": {"grace_s": GRACE_S},
            "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "heartbeat_ms": HEARTBEAT_MS,
            "limits": {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS},
        }
        self.settings = folder / f"{name}.yaml"

    def write_settings(self):
        """Put the filled-in template in the place of the settings file."""
        template = (ROOT / "deploy" / "settings.yaml").read_text()
        written = self.settings.with_suffix(".new")
        written.write_text(render(template, self.fields))
        os.replace(written, self.settings)

    async def start(self):
        """Start the process with the command of the deploy file."""
        self.write_settings()
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        command = re.search(r'^run = "(.*)"$', deploy, re.M)[1].split(" ")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MUSTARDSWITCH_BOOT"] = str(self.settings)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts += 1
        self.platform.record.note(f"platform: {self.name} is started, start {self.starts}")

    async def wait_ready(self, limit_s=60.0):
        """Ask for readiness until the answer is 200; raises TimeoutError."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s and self.process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                answer = await asyncio.wait_for(reader.read(64), 2.0)
                writer.close()
                if answer.split(b" ")[1:2] == [b"200"]:
                    self.platform.record.note(f"platform: {self.name} is ready")
                    return
            except (TimeoutError, OSError):
                pass
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready")

    def memory_bytes(self):
        """Return the resident memory of the process; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"^VmRSS:\s+(\d+) kB", status, re.M)
        return int(found[1]) * 1024 if found else 0


class Platform:
    """The store, the databases and the processes of one run."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = pathlib.Path(folder)
        self.group = Group(record)
        self.store = Store(record, self.group)
        self.group.store = self.store
        self.instances = []
        self.tasks = []

    async def start(self, count):
        """Start the stand-ins and ``count`` instances, and wait until they have settled."""
        await self.group.start()
        await self.store.start()
        self.tasks.append(asyncio.create_task(self.group.heartbeats()))
        self.store.put("op/config", json.dumps(configuration()).encode())
        zones = list(ZONES)
        for index in range(count):
            zone = zones[index % len(zones)]
            self.instances.append(Instance(f"edge-{zone}-{index + 1}", zone, self, self.folder))
        for instance in self.instances:
            await instance.start()
        for instance in self.instances:
            await instance.wait_ready()

    async def stop(self):
        """End all processes that were started."""
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        for database in self.group.databases.values():
            database.server.close()
            for writer in list(database.writers):
                writer.transport.abort()
        self.store.server.close()

    async def enforce_memory(self, instance, limit_bytes):
        """Kill a process that exceeds its memory, as the platform does; return its size then."""
        while instance.process.returncode is None:
            size = instance.memory_bytes()
            if size > limit_bytes:
                self.record.note(
                    f"platform: {instance.name} has {size / 1e6:.0f} MB, limit"
                    f" {limit_bytes / 1e6:.0f} MB; it is killed"
                )
                instance.process.send_signal(signal.SIGKILL)
                await instance.process.wait()
                return size
            await asyncio.sleep(0.05)
        return 0


class Client:
    """A client's session over the line protocol."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.reader = self.writer = None
        self.count = 0

    async def open(self, port, database, who):
        """Open a session; return the first line of the answer, empty if there is none."""
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=MAX_LINE_BYTES
        )
        self.record.note(f"{self.name} sends STARTUP {database} {who}")
        self.writer.write(f"STARTUP {database} {who}\r\n".encode())
        await self.writer.drain()
        line = await self.line()
        self.record.note(f"{self.name} gets {line!r}")
        return line

    async def line(self):
        """Read one line; empty if the connection has ended, or nothing comes for 20 s."""
        try:
            return (await asyncio.wait_for(self.reader.readline(), 20.0)).decode().rstrip("\r\n")
        except (TimeoutError, OSError):
            return ""

    async def query(self, text):
        """Send a statement; return the lines of the answer, the last one empty if it is cut."""
        self.count += 1
        request = f"{self.name}-{self.count}"
        self.record.note(f"{self.name} sends QUERY {request} {text}")
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode())
            await self.writer.drain()
        except OSError:
            return [""]
        lines = [await self.line()]
        while lines[-1] and not lines[-1].startswith("READY"):
            lines.append(await self.line())
        self.record.note(f"{self.name} gets {' | '.join(lines)!r}")
        return lines

    def close(self):
        """End the connection."""
        if self.writer is not None:
            self.writer.transport.abort()


def succeeded(lines):
    """Return whether an answer has a database's signature."""
    return len(lines) > 1 and lines[-2].startswith("COMPLETE sig")
