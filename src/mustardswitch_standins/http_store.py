"""Emulates the platform's HTTP store (keys, leases, watches) and its promotion call."""

import asyncio
import base64
import collections
import collections.abc
import dataclasses
import json
import time
import urllib.parse

import h11

READ_BYTES = 65536
Promote = collections.abc.Callable[[str, str, int], bool]
"""Promotes a server; takes service, server and fencing token, and returns whether it succeeded."""


@dataclasses.dataclass(kw_only=True)
class Key:
    """The last write of a key, with its revisions and lease (0: none)."""

    value: bytes
    revision: int
    create_revision: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Copy:
    """The keys, leases and revision of a store at one moment."""

    keys: dict[str, Key]
    leases: dict[int, tuple[float, float]]
    revision: int


class HttpStore:
    """Keys and leases in memory; while ``down`` is set, every call fails without an answer."""

    def __init__(self, *, promote: Promote) -> None:
        self.promote = promote
        self.keys: dict[str, Key] = {}
        self.history: list[dict] = []
        self.revision = 1
        self.era = 1
        """Number of the copy from which the store was last restored; every answer carries it."""
        self.calls: collections.Counter[str] = collections.Counter()
        """Calls received, by path without an id."""
        self.leases: dict[int, tuple[float, float]] = {}
        """Time to live and expiry time of each lease, in seconds."""
        self.changed = asyncio.Event()
        self.down = False
        self.not_receiving = False
        """Whether new watches receive no events until their wait ends."""
        self.history_lost = False
        """Whether every watch is answered with 410, as if its changes had been dropped."""
        self.promotion_delay_s: float | None = None
        """Delay after which promotion requests are executed, without an answer; None: at once."""
        self.tokens: dict[str, int] = {}
        """Highest fencing token that was received for each service."""
        self.server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        """Start listening on a loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def close(self) -> None:
        """Stop listening; open connections stay."""
        self.server.close()

    def copy(self) -> Copy:
        """Return a copy of the present state, for ``restore``."""
        keys = {key: dataclasses.replace(existing) for key, existing in self.keys.items()}
        return Copy(keys=keys, leases=dict(self.leases), revision=self.revision)

    def restore(self, copy: Copy) -> None:
        """Go back to a copy; later changes are lost and their revisions are given out again."""
        self.keys = {key: dataclasses.replace(existing) for key, existing in copy.keys.items()}
        self.leases = dict(copy.leases)
        self.history = [event for event in self.history if event["revision"] <= copy.revision]
        self.revision = copy.revision
        self.era += 1
        self._wake()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key at a new revision, without a comparison."""
        self.revision += 1
        self._put(key, value, lease)

    def _put(self, key: str, value: bytes, lease: int) -> None:
        existing = self.keys.get(key)
        create_revision = existing.create_revision if existing else self.revision
        self.keys[key] = Key(
            value=value, revision=self.revision, create_revision=create_revision, lease=lease
        )
        self._append_event(self._encode_key(key))

    def delete(self, key: str) -> None:
        """Remove a key at a new revision."""
        self.revision += 1
        self._delete(key)

    def _delete(self, key: str) -> None:
        if self.keys.pop(key, None) is not None:
            self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def _append_event(self, event: dict) -> None:
        self.history.append(event)
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _encode_key(self, key: str) -> dict:
        existing = self.keys[key]
        return {
            "key": key,
            "value": base64.b64encode(existing.value).decode(),
            "revision": existing.revision,
            "create_revision": existing.create_revision,
            "lease": existing.lease,
        }

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease in [lease for lease, (_, end_s) in self.leases.items() if end_s < now_s]:
            self._end_lease(lease)

    def end_lease_of(self, key: str) -> None:
        """End the lease of a key, if there is one."""
        if key in self.keys and self.keys[key].lease:
            self._end_lease(self.keys[key].lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, existing in self.keys.items() if existing.lease == lease]:
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
                self.calls["/".join(path.split("/")[:2])] += 1
                headers = {name.decode(): value.decode() for name, value in request.headers}
                status, answer = await self._answer(path, fields, body, headers)
                data = json.dumps(answer).encode()
                fields = [("Content-Length", str(len(data))), ("Store-Era", str(self.era))]
                head = h11.Response(status_code=status, headers=fields)
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
            return (200, self._encode_key(query["key"])) if found else (404, {})
        if path == "/kv-range":
            items = [
                self._encode_key(key)
                for key in sorted(self.keys)
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            ]
            return 200, {"items": items, "has_more": False, "store_revision": self.revision}
        if path == "/kv-watch":
            return await self._watch(int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/kv-txn":
            return self._apply_transaction(fields)
        if path == "/kv-lease":
            lease = len(self.history) + int(time.monotonic() * 1000)
            ttl_s = fields["ttl_ms"] / 1000
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": fields["ttl_ms"]}
        if path.startswith("/kv-keep/"):
            return self._renew_lease(int(path.rpartition("/")[2]))
        if path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        if path == "/promote":
            token = int(headers["fencing-token"])
            if self.promotion_delay_s is None:
                return self._promote(fields, token)
            loop = asyncio.get_running_loop()
            loop.call_later(self.promotion_delay_s, self._promote, fields, token)
            raise OSError("the answer is lost")
        return 404, {}

    def _renew_lease(self, lease: int) -> tuple[int, dict]:
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
        era = self.era
        if self.not_receiving:
            await asyncio.sleep(wait_s)
            return 200, {"events": [], "store_revision": after}
        while True:
            self._expire()
            if self.history_lost or after > self.revision or era != self.era:
                return 410, {}
            events = [event for event in self.history if event["revision"] > after]
            remaining_s = end_s - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            changed = self.changed
            # The wait is short, so that leases also expire while no request arrives.
            try:
                async with asyncio.timeout(min(remaining_s, 0.2)):
                    await changed.wait()
            except TimeoutError:
                continue

    def _apply_transaction(self, fields: dict) -> tuple[int, dict]:
        for row in fields["expected_revision"]:
            existing = self.keys.get(row["key"])
            if (existing.revision if existing else 0) != row["revision"]:
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
