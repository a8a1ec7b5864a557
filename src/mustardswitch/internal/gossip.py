"""Spreads small versioned records between instances: rumours with anti-entropy.

A record is replaced only by one of a higher version. New records are sent a few times (rumour
mongering); digests of hash buckets find and repair what rumours missed (anti-entropy), as in
Demers et al., "Epidemic algorithms for replicated database maintenance" (1987). Both are bounded
in bytes per message, whatever the size of the fleet.
"""

import collections.abc
import dataclasses
import math

import xxhash

BUCKET_COUNT = 64
RUMOUR_ROUNDS_FACTOR = 3
"""Rounds in which a new record is sent, per binary logarithm of the fleet's size."""
MAX_MESSAGE_BYTES = 4096
"""Bytes of records that one message spreads as rumours."""
MAX_REPAIR_BYTES = 65536
"""Bytes of records that one message sends to repair differing buckets."""
RECORD_OVERHEAD_BYTES = 16
"""Bytes of a record in a message besides its key and payload."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """One versioned value; ``key`` starts with its kind and a slash."""

    key: str
    version: int
    payload: bytes

    @property
    def size_bytes(self) -> int:
        """Approximate size of the record in a message."""
        return len(self.key) + len(self.payload) + RECORD_OVERHEAD_BYTES


def _fingerprint(record: Record) -> int:
    return xxhash.xxh64_intdigest(f"{record.key}@{record.version}".encode())


def _bucket_of(key: str) -> int:
    return xxhash.xxh32_intdigest(key.encode()) % BUCKET_COUNT


class RecordTable:
    """All records of one instance, with the number of times that each must still be sent."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.buckets = [0] * BUCKET_COUNT
        self.keys_by_bucket: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self.sends_left: dict[str, int] = {}

    def get(self, key: str) -> Record | None:
        """Return the record of ``key``."""
        return self.records.get(key)

    def put(self, record: Record, *, fleet_size: int) -> bool:
        """Store a record of a higher version and schedule its sending; false if it is not newer."""
        previous = self.records.get(record.key)
        if previous is not None and previous.version >= record.version:
            return False
        bucket = _bucket_of(record.key)
        if previous is not None:
            self.buckets[bucket] ^= _fingerprint(previous)
        self.buckets[bucket] ^= _fingerprint(record)
        self.keys_by_bucket[bucket].add(record.key)
        self.records[record.key] = record
        self.sends_left[record.key] = rumour_sends(fleet_size)
        return True

    def merge(self, records: collections.abc.Iterable[Record], *, fleet_size: int) -> list[Record]:
        """Store every newer record and return those."""
        return [record for record in records if self.put(record, fleet_size=fleet_size)]

    def remove(self, key: str) -> None:
        """Remove a record from this table only; other instances keep theirs."""
        previous = self.records.pop(key, None)
        if previous is None:
            return
        bucket = _bucket_of(key)
        self.buckets[bucket] ^= _fingerprint(previous)
        self.keys_by_bucket[bucket].discard(key)
        self.sends_left.pop(key, None)

    def digest(self) -> bytes:
        """Return a digest of the whole table."""
        return xxhash.xxh64_digest(b"".join(self.bucket_digests()))

    def bucket_digests(self) -> list[bytes]:
        """Return a digest for each bucket."""
        return [value.to_bytes(8, "big") for value in self.buckets]

    def rumours(self, *, budget_bytes: int = MAX_MESSAGE_BYTES) -> list[Record]:
        """Return the records to send next, those sent least first, and count them as sent."""
        chosen: list[Record] = []
        used_bytes = 0
        for key in sorted(self.sends_left, key=lambda key: -self.sends_left[key]):
            record = self.records[key]
            if chosen and used_bytes + record.size_bytes > budget_bytes:
                continue
            chosen.append(record)
            used_bytes += record.size_bytes
            if used_bytes >= budget_bytes:
                break
        for record in chosen:
            self._count_send(record.key)
        return chosen

    def _count_send(self, key: str) -> None:
        self.sends_left[key] -= 1
        if self.sends_left[key] <= 0:
            del self.sends_left[key]

    def records_in_differing_buckets(
        self,
        digests: collections.abc.Sequence[bytes],
        *,
        start_bucket: int,
        budget_bytes: int = MAX_REPAIR_BYTES,
    ) -> list[Record]:
        """Return the records of the buckets whose digests differ.

        Begins with ``start_bucket`` and returns at most ``budget_bytes``, but at least one record.
        """
        chosen: list[Record] = []
        used_bytes = 0
        own = self.bucket_digests()
        for step in range(BUCKET_COUNT):
            bucket = (start_bucket + step) % BUCKET_COUNT
            if bucket < len(digests) and digests[bucket] == own[bucket]:
                continue
            for key in sorted(self.keys_by_bucket[bucket]):
                record = self.records[key]
                if chosen and used_bytes + record.size_bytes > budget_bytes:
                    return chosen
                chosen.append(record)
                used_bytes += record.size_bytes
        return chosen


def rumour_sends(fleet_size: int) -> int:
    """Return how often each instance sends a new record; at least twice."""
    return max(2, math.ceil(RUMOUR_ROUNDS_FACTOR * math.log2(max(2, fleet_size))))
