"""Stand-ins for the users' platform: its store, its promotion call and the databases of a service.

They follow the pages and use nothing but the standard library. Where the pages are silent they
behave like a sound store and sound databases. Everything runs in the event loop of the judge and
listens on loopback addresses.
"""

import asyncio
import base64
import collections
import hashlib
import json
import random
import time
import urllib.parse

HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
SLOTS = 3
REPLICATION_LIMIT_S = 5.0
STATEMENT_S = 0.006
PROMOTION_S = 0.6
LEASE_CHECK_S = 0.05
MAX_MESSAGE_BYTES = 1 << 20


class Record:
    """What was sent, answered and run, written to a file as it happens."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_s = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.started_s:8.3f} {text}\n")
        self.file.flush()


class Store:
    """The key-value store with leases and watches, and the promotion call."""

    def __init__(self, record, promote):
        self.record = record
        self.promote = promote
        self.items = {}
        self.history = []
        self.revision = 100
        self.era = 1
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.tokens = {}
        self.lost_calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now_s = time.monotonic()
            for lease in [each for each, known in self.leases.items() if known[1] < now_s]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.change({}, keys)

    def change(self, puts, deletes=()):
        """Write and delete keys at one new revision; ``puts`` has pairs of a value and a lease."""
        self.revision += 1
        for key, (value, lease) in puts.items():
            created = self.items[key]["create_revision"] if key in self.items else self.revision
            self.items[key] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "create_revision": created,
                "lease": lease,
            }
            self.history.append(dict(self.items[key]))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "revision": self.revision, "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put_json(self, key, value):
        return self.change({key: (json.dumps(value).encode(), 0)})

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *fields = head.split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {}
                for field in fields:
                    name, _, value = field.partition(":")
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self._answer(method, target, headers, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, headers, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        fields = json.loads(body) if body else {}
        await asyncio.sleep(0.004)
        if path == "/promote":
            return self._promote(fields, headers)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) if item else (404, {})
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "has_more": len(keys) > 500,
                "store_revision": self.revision,
            }
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(fields)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl_s = fields["ttl_ms"] / 1000
            self.leases[self.next_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": self.next_lease, "ttl_ms": fields["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl_ms": int(1000 * ttl_s)}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        after, ends_s = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = [
                each
                for each in self.history
                if each["revision"] > after and each["key"].startswith(query["prefix"])
            ]
            left_s = ends_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def _transact(self, fields):
        expected = fields.get("expected_revision", [])
        now = {each["key"]: self.items.get(each["key"]) for each in expected}
        for each in expected:
            item = now[each["key"]]
            if each["revision"] != (item["revision"] if item else 0):
                return 412, {"items": [item for item in now.values() if item]}
        puts = {
            each["key"]: (base64.b64decode(each["value"]), each.get("lease", 0))
            for each in fields.get("puts", [])
        }
        if any(lease and lease not in self.leases for _, lease in puts.values()):
            return 404, {}
        return 200, {"revision": self.change(puts, fields.get("deletes", []))}

    def _promote(self, fields, headers):
        service, token = fields["service"], int(headers["fencing-token"])
        self.record.note(
            f"platform: promote {fields['id']} of {service} by {headers['lease-holder']}"
            f" token {token}"
        )
        if token < self.tokens.get(service, 0):
            return 409, {}
        self.tokens[service] = token
        return (200, {}) if self.promote(service, fields["id"]) else (409, {})


class Database:
    """One database: its log, role and connections."""

    def __init__(self, group, name, zone):
        self.group, self.name, self.zone = group, name, zone
        self.log = []
        self.role = "replica"
        self.paused = 0
        self.lag_s = 0.02
        self.deaf = False
        self.lost_share = 0.0
        self.up = True
        self.draining = False
        self.sequence = 0
        self.born_ms = int(1000 * time.time())
        self.slots = asyncio.Semaphore(SLOTS)
        self.busy = 0
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=MAX_MESSAGE_BYTES + 2)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def position(self):
        return f"{self.log[-1][0]}.{len(self.log)}" if self.log else "-"

    def entry(self):
        self.sequence += 1
        return {
            "service": self.group.service,
            "addr": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if self.draining else "ready",
            "warmup_left_ms": 0,
            "db_role": self.role,
            "seq": self.sequence,
            "born": self.born_ms,
        }

    def crash(self):
        """End without a word; the log stays."""
        self.up = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def value(self, item):
        found = [data for _, _, name, data in self.log if name == item]
        return found[-1] if found else "-"

    def holds(self, term, number):
        return number == 0 or (number <= len(self.log) and self.log[number - 1][0] >= term)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        session = Session(self, writer)
        try:
            start = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n").split(" ")
            service, who = start[1], start[2]
            named = start[3] if len(start) > 3 else self.name
            if service != self.group.service or named != self.name:
                writer.write(b"ERROR WRONGNODE -\r\n")
                return
            session.who = who
            writer.write(f"READY I {self.position}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
                if line == "TERMINATE":
                    return
                _, request, text = line.split(" ", 2)
                answer = await session.answer(request, text)
                if request != "-" and random.random() < self.lost_share:
                    self.group.record.note(f"{self.name}: the answer to {request} is lost")
                    continue
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            session.close()
            self.connections.discard(writer)
            writer.close()


class Session:
    """One connection to a database."""

    def __init__(self, database, writer):
        self.database, self.writer = database, writer
        self.who = ""
        self.term = None
        self.read_only = False
        self.failed = False
        self.writes = []
        self.prepared = {}
        self.values = {}

    def close(self):
        self.term, self.writes = None, []

    @property
    def state(self):
        if self.term is None:
            return "I"
        return "E" if self.failed else "T"

    def _end(self, code=None, rows=(), signature="-"):
        if code is not None and self.term is not None:
            self.failed = True
        lines = [f"DATAROW {row}" for row in rows]
        lines.append(f"COMPLETE {signature}" if code is None else f"ERROR {code} -")
        lines.append(f"READY {self.state} {self.database.position}")
        return "".join(f"{line}\r\n" for line in lines).encode()

    async def answer(self, request, text):
        database, group = self.database, self.database.group
        if request != "-":
            short = text if len(text) < 90 else f"{text[:90]}... ({len(text)} characters)"
            group.record.note(f"{database.name}: {request} by {self.who}: {short}")
            group.arrived(request, database, self)
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
            after = tuple(map(int, after.split(".")))
        verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "PAUSE", "STEPDOWN", "RESUME"):
            return self._order(verb, rest)
        if self.failed and verb not in ("COMMIT", "ROLLBACK"):
            return self._end("MALFORMED")
        if verb == "BEGIN":
            if after is not None and not database.holds(*after):
                return self._end("LAGGING")
            if rest != "READ" and database.role != "primary":
                return self._end("READONLY")
            self.term, self.read_only, self.failed = group.term, rest == "READ", False
            return self._end()
        if verb == "ROLLBACK" or (verb == "COMMIT" and self.failed):
            self.close()
            self.failed = False
            return self._end()
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return self._end()
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            return self._end()
        if verb == "PREPARE":
            name, access, _ = rest.split(" ", 2)
            self.prepared[name] = access
            return self._end()
        if verb == "DEALLOC":
            return self._end(None if self.prepared.pop(rest, None) else "NOSTMT")
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self._end("NOSTMT")
            verb = self.prepared[name]
        async with database.slots:
            database.busy += 1
            try:
                await asyncio.sleep(STATEMENT_S)
                return await self._run(verb, rest, request, after)
            finally:
                database.busy -= 1

    async def _run(self, verb, rest, request, after):
        database, group = self.database, self.database.group
        signature = hashlib.sha256(f"{request} {database.name}".encode()).hexdigest()[:16]
        lost = database.role != "primary" or self.term not in (None, group.term)
        if self.term is not None and not self.read_only and lost:
            if verb != "COMMIT" or self.writes:
                return self._end("READONLY")
        if verb == "READ":
            if after is not None and not database.holds(*after):
                return self._end("LAGGING")
            group.signed(request, signature)
            return self._end(rows=[database.value(rest)], signature=signature)
        if verb == "WRITE":
            if database.role != "primary" or self.read_only:
                return self._end("READONLY")
            item, _, data = rest.partition(" ")
            if self.term is not None:
                self.writes.append((request, item, data))
            elif not await group.commit(database, [(request, item, data)]):
                raise EOFError
            group.signed(request, signature)
            return self._end(signature=signature)
        if verb == "COMMIT":
            writes, self.writes, self.term = self.writes, [], None
            if writes and not await group.commit(database, writes):
                raise EOFError
            group.signed(request, signature)
            return self._end(signature=signature)
        return self._end("MALFORMED")

    def _order(self, verb, rest):
        database, group = self.database, self.database.group
        if verb == "PAUSE" and database.role == "replica" and int(rest) > group.term:
            database.paused = max(database.paused, int(rest))
        elif verb == "STEPDOWN" and database.role == "primary" and int(rest) > group.term:
            database.role = "replica"
            group.record.note(f"{database.name}: steps down for term {rest}")
        elif verb == "RESUME":
            database.paused = 0
            group.catch_up(database)
        row = (
            f"{database.role} {max(group.term, database.paused)} {database.position}"
            f" {database.paused} 1 {1 + database.busy} {len(database.connections)}"
        )
        return self._end(rows=[row])


class Group:
    """The databases of one service."""

    def __init__(self, service, record, zones=("a", "b", "c")):
        self.service, self.record = service, record
        self.term = 1
        self.databases = {}
        for rank, zone in enumerate(zones):
            name = f"i-{service}-{rank}"
            self.databases[name] = Database(self, name, zone)
        next(iter(self.databases.values())).role = "primary"
        self.arrivals = []
        self.signatures = {}
        self.committed = collections.Counter()

    @property
    def primary(self):
        leading = [each for each in self.databases.values() if each.role == "primary" and each.up]
        return leading[0] if leading else None

    def arrived(self, request, database, session):
        self.arrivals.append((time.monotonic(), request, database.name, session.who))

    def signed(self, request, signature):
        self.signatures[request] = signature

    def _receiving(self, database):
        return [
            each
            for each in self.databases.values()
            if each is not database
            and each.up
            and each.role == "replica"
            and not each.paused
            and not each.deaf
        ]

    def catch_up(self, database):
        primary = self.primary
        if primary is not None and database.role == "replica" and not database.paused:
            database.log = list(primary.log)

    async def commit(self, database, writes):
        """Append writes at the primary; returns whether a replica has received them."""
        for request, item, data in writes:
            database.log.append((self.term, request, item, data))
            self.committed[request] += 1
        loop, received, end = asyncio.get_running_loop(), asyncio.Event(), len(database.log)
        log, term = database.log, self.term
        for replica in self.databases.values():
            if replica is not database:
                delay_s = replica.lag_s * random.uniform(0.5, 1.5)
                loop.call_later(delay_s, self._deliver, database, replica, log, end, received)
        try:
            await asyncio.wait_for(received.wait(), REPLICATION_LIMIT_S)
        except asyncio.TimeoutError:
            return False
        return database.up and database.log is log and term == self.term

    def _deliver(self, database, replica, log, end, received):
        if database.up and database.log is log and replica in self._receiving(database):
            if len(replica.log) < end:
                replica.log = log[:end]
            received.set()

    def promote(self, service, name):
        database = self.databases.get(name)
        if service != self.service or database is None or not database.up:
            return False
        if database.role != "primary":
            asyncio.get_running_loop().call_later(PROMOTION_S, self._lead, database)
        return True

    def _lead(self, database):
        self.term += 1
        for each in self.databases.values():
            each.role, each.paused = "replica", 0
            if each is not database:
                each.log = each.log[: len(database.log)]
            else:
                each.log = list(each.log)
        database.role = "primary"
        self.record.note(f"{database.name}: leads term {self.term} from {database.position}")

    async def start(self):
        for database in self.databases.values():
            await database.start()

    async def keep_registered(self, store):
        """Write the entries: at each change, and otherwise about once in a heartbeat."""
        written, due_s = {}, {}
        while True:
            for database in list(self.databases.values()):
                state = (database.role, database.draining)
                now_s = time.monotonic()
                key = f"servers/{database.name}"
                if not database.up:
                    if key in store.items and now_s > due_s[database.name] + 2 * HEARTBEAT_S:
                        store.change({}, [key])
                    continue
                if written.get(database.name) != state or now_s >= due_s[database.name]:
                    written[database.name] = state
                    due_s[database.name] = now_s + HEARTBEAT_S
                    store.put_json(f"servers/{database.name}", database.entry())
            await asyncio.sleep(0.05)
