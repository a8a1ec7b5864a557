"""Emulates the platform's key-value store: the subset of the etcd v3 API that the proxy uses.

Like the real store, it can be made slow, and it can lose the answer to a request that took effect:
write a JSON object with ``delay_ms`` or ``lose_answers`` to the key ``standin/faults``.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import time

import grpclib
import grpclib.const
import grpclib.server

from mustardswitch.etcd import etcd_grpc, etcd_pb2

FAULTS_KEY = b"standin/faults"
LEASE_CHECK_S = 0.1
"""Interval between checks for expired leases."""


@dataclasses.dataclass(kw_only=True)
class Faults:
    """Faults that are injected at present; the fields are the JSON fields of ``FAULTS_KEY``."""

    delay_ms: float = 0.0
    """Delay of each range request and transaction, in milliseconds."""
    lose_answers: int = 0
    """Number of further successful transactions whose answer is lost."""


@dataclasses.dataclass(kw_only=True)
class CallCounts:
    """Number of calls of each kind that were received."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class StoreState:
    """All keys with their revisions, the event history that watches read, and the leases."""

    def __init__(self) -> None:
        self.revision = 1
        self.values: dict[bytes, etcd_pb2.KeyValue] = {}
        self.history: list[etcd_pb2.Event] = []
        self.lease_ends_at_s: dict[int, float] = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.faults = Faults()
        self.counts = CallCounts()

    def header(self) -> etcd_pb2.ResponseHeader:
        """Return the header of every answer, with the current revision."""
        return etcd_pb2.ResponseHeader(revision=self.revision)

    def select(self, key: bytes, range_end: bytes) -> list[etcd_pb2.KeyValue]:
        """Return the entry of ``key``, or those of the keys from ``key`` up to ``range_end``."""
        if not range_end:
            found = self.values.get(key)
            return [found] if found else []
        names = sorted(name for name in self.values if key <= name < range_end)
        return [self.values[name] for name in names]

    def put(self, request: etcd_pb2.PutRequest) -> None:
        """Set one key at a new revision; a write to ``FAULTS_KEY`` also changes the faults."""
        self.revision += 1
        existing = self.values.get(request.key)
        value = etcd_pb2.KeyValue(
            key=request.key,
            value=request.value,
            lease=request.lease,
            mod_revision=self.revision,
            create_revision=existing.create_revision if existing else self.revision,
            version=existing.version + 1 if existing else 1,
        )
        self.values[request.key] = value
        if request.key == FAULTS_KEY:
            self.faults = Faults(**json.loads(request.value))
        self._record(etcd_pb2.Event(type=etcd_pb2.Event.PUT, kv=value))

    def delete(self, key: bytes, range_end: bytes) -> int:
        """Remove a key or a range of keys and return how many were removed."""
        found = self.select(key, range_end)
        for value in found:
            self.revision += 1
            del self.values[value.key]
            tombstone = etcd_pb2.KeyValue(key=value.key, mod_revision=self.revision)
            self._record(etcd_pb2.Event(type=etcd_pb2.Event.DELETE, kv=tombstone))
        return len(found)

    def _record(self, event: etcd_pb2.Event) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def matches(self, compare: etcd_pb2.Compare) -> bool:
        """Return whether one comparison of a transaction holds; a missing key has zero values."""
        found = self.values.get(compare.key) or etcd_pb2.KeyValue()
        names = {
            etcd_pb2.Compare.VERSION: "version",
            etcd_pb2.Compare.CREATE: "create_revision",
            etcd_pb2.Compare.MOD: "mod_revision",
            etcd_pb2.Compare.VALUE: "value",
            etcd_pb2.Compare.LEASE: "lease",
        }
        name = names[compare.target]
        actual, expected = getattr(found, name), getattr(compare, name)
        results = {
            etcd_pb2.Compare.EQUAL: actual == expected,
            etcd_pb2.Compare.GREATER: actual > expected,
            etcd_pb2.Compare.LESS: actual < expected,
            etcd_pb2.Compare.NOT_EQUAL: actual != expected,
        }
        return results[compare.result]

    def expire_leases(self) -> None:
        """Remove expired leases and the keys bound to them."""
        now_s = time.monotonic()
        for lease in [lease for lease, end_s in self.lease_ends_at_s.items() if end_s < now_s]:
            self.remove_lease(lease)

    def remove_lease(self, lease: int) -> None:
        """Remove one lease and the keys bound to it."""
        self.lease_ends_at_s.pop(lease, None)
        for key in [value.key for value in self.values.values() if value.lease == lease]:
            self.delete(key, b"")


class KeyValueService(etcd_grpc.KVBase):
    """The ``KV`` service: ranges and transactions."""

    def __init__(self, *, state: StoreState) -> None:
        self.state = state

    async def Range(self, stream: grpclib.server.Stream) -> None:
        """Answer a range request."""
        request = await stream.recv_message()
        await self._delay()
        self.state.counts.reads += 1
        await stream.send_message(self._range(request))

    async def Txn(self, stream: grpclib.server.Stream) -> None:
        """Run a transaction.

        Raises ``UNAVAILABLE`` after the transaction took effect while the fault ``lose_answers`` is
        set; a write of the faults themselves always gets its answer.
        """
        request = await stream.recv_message()
        await self._delay()
        self.state.counts.writes += 1
        succeeded = all(self.state.matches(compare) for compare in request.compare)
        responses = [
            self._operate(operation)
            for operation in (request.success if succeeded else request.failure)
        ]
        sets_faults = any(item.request_put.key == FAULTS_KEY for item in request.success)
        if self.state.faults.lose_answers > 0 and succeeded and not sets_faults:
            self.state.faults.lose_answers -= 1
            raise grpclib.GRPCError(grpclib.const.Status.UNAVAILABLE, "answer lost")
        await stream.send_message(
            etcd_pb2.TxnResponse(
                header=self.state.header(), succeeded=succeeded, responses=responses
            )
        )

    async def _delay(self) -> None:
        if self.state.faults.delay_ms:
            await asyncio.sleep(self.state.faults.delay_ms / 1000.0)

    def _range(self, request: etcd_pb2.RangeRequest) -> etcd_pb2.RangeResponse:
        found = self.state.select(request.key, request.range_end)
        return etcd_pb2.RangeResponse(header=self.state.header(), kvs=found, count=len(found))

    def _operate(self, operation: etcd_pb2.RequestOp) -> etcd_pb2.ResponseOp:
        kind = operation.WhichOneof("request")
        if kind == "request_range":
            return etcd_pb2.ResponseOp(response_range=self._range(operation.request_range))
        if kind == "request_put":
            self.state.put(operation.request_put)
            return etcd_pb2.ResponseOp(
                response_put=etcd_pb2.PutResponse(header=self.state.header())
            )
        request = operation.request_delete_range
        deleted = self.state.delete(request.key, request.range_end)
        return etcd_pb2.ResponseOp(
            response_delete_range=etcd_pb2.DeleteRangeResponse(deleted=deleted)
        )


class WatchService(etcd_grpc.WatchBase):
    """The ``Watch`` service; each stream carries one watch."""

    def __init__(self, *, state: StoreState) -> None:
        self.state = state

    async def Watch(self, stream: grpclib.server.Stream) -> None:
        """Send each change at or past the start revision until the client disconnects."""
        request = (await stream.recv_message()).create_request
        self.state.counts.watches += 1
        start = request.start_revision or self.state.revision + 1
        await stream.send_message(etcd_pb2.WatchResponse(header=self.state.header(), created=True))
        sent = 0
        while True:
            changed = self.state.changed
            events = [
                event
                for event in self.state.history[sent:]
                if event.kv.mod_revision >= start and _in_range(request, event.kv.key)
            ]
            sent = len(self.state.history)
            if events:
                await stream.send_message(
                    etcd_pb2.WatchResponse(header=self.state.header(), events=events)
                )
            await changed.wait()


def _in_range(request: etcd_pb2.WatchCreateRequest, key: bytes) -> bool:
    if not request.range_end:
        return key == request.key
    return request.key <= key < request.range_end


class LeaseService(etcd_grpc.LeaseBase):
    """The ``Lease`` service."""

    def __init__(self, *, state: StoreState) -> None:
        self.state = state

    async def LeaseGrant(self, stream: grpclib.server.Stream) -> None:
        """Grant a lease; the TTL is in whole seconds."""
        request = await stream.recv_message()
        self.state.counts.writes += 1
        lease = self.state.next_lease
        self.state.next_lease += 1
        self.state.lease_ends_at_s[lease] = time.monotonic() + request.TTL
        await stream.send_message(
            etcd_pb2.LeaseGrantResponse(header=self.state.header(), ID=lease, TTL=request.TTL)
        )

    async def LeaseRevoke(self, stream: grpclib.server.Stream) -> None:
        """Revoke a lease and remove its keys."""
        request = await stream.recv_message()
        self.state.counts.writes += 1
        self.state.remove_lease(request.ID)
        await stream.send_message(etcd_pb2.LeaseRevokeResponse(header=self.state.header()))


async def _expire_leases(state: StoreState) -> None:
    while True:
        await asyncio.sleep(LEASE_CHECK_S)
        state.expire_leases()


@contextlib.asynccontextmanager
async def serving(*, host: str, port: int) -> collections.abc.AsyncIterator[StoreState]:
    """Serve the store while the context is open."""
    state = StoreState()
    services = [
        KeyValueService(state=state),
        WatchService(state=state),
        LeaseService(state=state),
    ]
    server = grpclib.server.Server(services)
    await server.start(host, port)
    expiry = asyncio.create_task(_expire_leases(state))
    try:
        yield state
    finally:
        expiry.cancel()
        server.close()
        await server.wait_closed()
