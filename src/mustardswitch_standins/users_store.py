"""A stand-in for the users' store and promotion call: keys, leases, watches over HTTP."""

import asyncio
import base64
import collections.abc
import dataclasses
import json
import time
import urllib.parse

import h11

READ_BYTES = 65536
Promote = collections.abc.Callable[[str, str, int], bool]


@dataclasses.dataclass(kw_only=True)
class Key:
    """A key as it was last written."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


class UsersStore:
    """Keys and leases in memory; ``down`` refuses every call."""

    def __init__(self, *, promote: Promote) -> None:
        self.promote = promote
        self.keys: dict[str, Key] = {}
        self.history: list[dict] = []
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()
        self.down = False
        self.not_receiving = False
        """Whether watches that come now hear nothing until their wait ends."""
        self.orders_late_s: float | None = None
        """Time after which orders to promote are carried out, without an answer."""
        self.tokens: dict[str, int] = {}
        self.server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        """Listen from now on."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def close(self) -> None:
        """Stop listening."""
        self.server.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        self._put(key, value, lease)

    def _put(self, key: str, value: bytes, lease: int) -> None:
        known = self.keys.get(key)
        created = known.created if known else self.revision
        self.keys[key] = Key(value=value, revision=self.revision, created=created, lease=lease)
        self._note(self._record(key))

    def delete(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self._delete(key)

    def _delete(self, key: str) -> None:
        if self.keys.pop(key, None) is not None:
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _record(self, key: str) -> dict:
        known = self.keys[key]
        return {
            "key": key,
            "value": base64.b64encode(known.value).decode(),
            "revision": known.revision,
            "create_revision": known.created,
            "lease": known.lease,
        }

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease in [lease for lease, (_, end_s) in self.leases.items() if end_s < now_s]:
            self._end(lease)

    def _end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, known in self.keys.items() if known.lease == lease]:
            self.delete(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        protocol = h11.Connection(h11.SERVER)
        try:
            while True:
                request, body = await _read_request(protocol, reader)
                if request is None or self.down:
                    return
                path, _, query = request.target.decode().partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                self._expire()
                headers = {name.decode(): value.decode() for name, value in request.headers}
                status, answer = await self._answer(path, fields, body, headers)
                data = json.dumps(answer).encode()
                head = h11.Response(
                    status_code=status, headers=[("Content-Length", str(len(data)))]
                )
                writer.write(
                    protocol.send(head)
                    + protocol.send(h11.Data(data=data))
                    + protocol.send(h11.EndOfMessage())
                )
                protocol.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes, headers: dict[str, str]
    ) -> tuple[int, dict]:
        fields = json.loads(body) if body else {}
        if path == "/kv-key":
            found = query["key"] in self.keys
            return (200, self._record(query["key"])) if found else (404, {})
        if path == "/kv-range":
            items = [self._record(key) for key in sorted(self.keys) if key > query.get("after", "")]
            return 200, {"items": items, "has_more": False, "store_revision": self.revision}
        if path == "/kv-watch":
            return await self._watch(int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/kv-txn":
            return self._change(fields)
        if path == "/kv-lease":
            lease = len(self.history) + int(time.monotonic() * 1000)
            ttl_s = fields["ttl_ms"] / 1000
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": fields["ttl_ms"]}
        if path.startswith("/kv-keep/"):
            return self._keep(int(path.rpartition("/")[2]))
        if path.startswith("/kv-lease-end/"):
            self._end(int(path.rpartition("/")[2]))
            return 200, {}
        if path == "/promote":
            token = int(headers["fencing-token"])
            if self.orders_late_s is None:
                return self._promote(fields, token)
            loop = asyncio.get_running_loop()
            loop.call_later(self.orders_late_s, self._promote, fields, token)
            raise OSError("the answer is lost")
        return 404, {}

    def _keep(self, lease: int) -> tuple[int, dict]:
        if lease not in self.leases:
            return 404, {}
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttl_ms": int(ttl_s * 1000)}

    def _promote(self, fields: dict, token: int) -> tuple[int, dict]:
        service = fields["service"]
        if token < self.tokens.get(service, 0):
            return 409, {}
        self.tokens[service] = token
        done = self.promote(service, fields["id"], token)
        return (200, {}) if done else (409, {})

    async def _watch(self, after: int, wait_s: float) -> tuple[int, dict]:
        end_s = time.monotonic() + wait_s
        if self.not_receiving:
            await asyncio.sleep(wait_s)
            return 200, {"events": [], "store_revision": after}
        while True:
            self._expire()
            events = [event for event in self.history if event["revision"] > after]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            changed = self.changed
            try:
                async with asyncio.timeout(min(left_s, 0.2)):
                    await changed.wait()
            except TimeoutError:
                continue

    def _change(self, fields: dict) -> tuple[int, dict]:
        for row in fields["expected_revision"]:
            known = self.keys.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                return 412, {"items": []}
        for put in fields["puts"]:
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in fields["puts"]:
            self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in fields["deletes"]:
            self._delete(key)
        return 200, {"revision": self.revision}


async def _read_request(
    protocol: h11.Connection, reader: asyncio.StreamReader
) -> tuple[h11.Request | None, bytes]:
    request, body = None, b""
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return request, body
        elif isinstance(event, h11.ConnectionClosed):
            return None, b""
