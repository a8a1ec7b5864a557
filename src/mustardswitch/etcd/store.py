"""A client of the platform's key-value store: the calls of the etcd v3 interface in use."""

import collections.abc
import dataclasses

import grpclib
import grpclib.client
import grpclib.exceptions

from mustardswitch.etcd import errors, etcd_grpc, etcd_pb2

CALL_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredValue:
    """One key of the store at a revision; ``value`` is None when a watch reports its removal."""

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """All keys under a prefix, and the store revision at which they were read."""

    values: tuple[StoredValue, ...]
    revision: int


def prefix_end(prefix: str) -> bytes:
    """Return the first key past every key that starts with ``prefix``."""
    encoded = bytearray(prefix.encode())
    encoded[-1] += 1
    return bytes(encoded)


def _stored_value(value: etcd_pb2.KeyValue) -> StoredValue:
    return StoredValue(key=value.key.decode(), value=value.value, revision=value.mod_revision)


class Store:
    """Reads, swaps and watches keys and grants leases.

    Each call but a watch takes at most ``timeout_s`` seconds; all raise StoreUnavailableError when
    the store does not answer.
    """

    def __init__(self, *, host: str, port: int, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.host = host
        self.port = port
        self.timeout_s = timeout_s
        self.channel = grpclib.client.Channel(host, port)
        self.key_values = etcd_grpc.KVStub(self.channel)
        self.watches = etcd_grpc.WatchStub(self.channel)
        self.leases = etcd_grpc.LeaseStub(self.channel)

    def __repr__(self) -> str:
        return f"Store(host={self.host!r}, port={self.port!r}, timeout_s={self.timeout_s!r})"

    def close(self) -> None:
        """Close the connection."""
        self.channel.close()

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that start with ``prefix``, at one revision of the store."""
        request = etcd_pb2.RangeRequest(key=prefix.encode(), range_end=prefix_end(prefix))
        response = await self._call(self.key_values.Range, request)
        return Snapshot(
            values=tuple(_stored_value(value) for value in response.kvs),
            revision=response.header.revision,
        )

    async def read(self, key: str) -> StoredValue | None:
        """Return the value of one key, or None when the key does not exist."""
        response = await self._call(self.key_values.Range, etcd_pb2.RangeRequest(key=key.encode()))
        return _stored_value(response.kvs[0]) if response.kvs else None

    async def compare_and_swap(
        self, key: str, value: bytes, *, expected_revision: int, lease: int = 0
    ) -> int:
        """Write ``key`` if its revision is the expected one (0: absent); return the new one.

        ``lease`` is the id of the lease that the key is bound to, 0 for none. Raises
        StoreConflictError when the revision differs, StoreUnavailableError when no answer came, in
        which case the write may have taken effect.
        """
        compare = etcd_pb2.Compare(
            result=etcd_pb2.Compare.EQUAL,
            target=etcd_pb2.Compare.MOD,
            key=key.encode(),
            mod_revision=expected_revision,
        )
        put = etcd_pb2.RequestOp(
            request_put=etcd_pb2.PutRequest(key=key.encode(), value=value, lease=lease)
        )
        response = await self._call(
            self.key_values.Txn, etcd_pb2.TxnRequest(compare=[compare], success=[put])
        )
        if not response.succeeded:
            raise errors.StoreConflictError(
                f"key {key} is no longer at revision {expected_revision}; read it again"
            )
        return response.header.revision

    async def grant_lease(self, ttl_s: int) -> int:
        """Grant a lease of ``ttl_s`` seconds and return its id."""
        response = await self._call(self.leases.LeaseGrant, etcd_pb2.LeaseGrantRequest(TTL=ttl_s))
        return response.ID

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which removes the keys bound to it."""
        await self._call(self.leases.LeaseRevoke, etcd_pb2.LeaseRevokeRequest(ID=lease))

    async def watch_prefix(
        self, prefix: str, *, start_revision: int
    ) -> collections.abc.AsyncIterator[StoredValue]:
        """Yield each change under ``prefix`` from ``start_revision`` on.

        Ends when the store ends the stream; raises StoreUnavailableError when it breaks.
        """
        create = etcd_pb2.WatchCreateRequest(
            key=prefix.encode(), range_end=prefix_end(prefix), start_revision=start_revision
        )
        try:
            async with self.watches.Watch.open() as stream:
                await stream.send_message(etcd_pb2.WatchRequest(create_request=create))
                async for response in stream:
                    for event in response.events:
                        yield _changed_value(event)
        except (OSError, grpclib.GRPCError, grpclib.exceptions.StreamTerminatedError) as error:
            raise errors.StoreUnavailableError(f"watch of {prefix} broke: {error}") from error

    async def _call(self, method: collections.abc.Callable, request: object) -> object:
        try:
            return await method(request, timeout=self.timeout_s)
        except (
            TimeoutError,
            OSError,
            grpclib.GRPCError,
            grpclib.exceptions.StreamTerminatedError,
        ) as error:
            raise errors.StoreUnavailableError(
                f"store {self.host}:{self.port} gave no answer: {error!r}"
            ) from error


def _changed_value(event: etcd_pb2.Event) -> StoredValue:
    if event.type == etcd_pb2.Event.DELETE:
        return StoredValue(key=event.kv.key.decode(), value=None, revision=event.kv.mod_revision)
    return _stored_value(event.kv)
