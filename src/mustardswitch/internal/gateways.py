"""Chooses the home instance of each slot by rendezvous hashing.

Only the home of a slot holds connections to it, so that connections per database stay constant
while the fleet grows. Rendezvous hashing (Thaler and Ravishankar, 1998) moves only the slots of an
instance that comes or goes. Dividing the connections by the number of instances was rejected:
with 25 connections and 1,000 instances none would be left for each.
"""

import collections.abc
import dataclasses

import xxhash

from mustardswitch.internal import ids

CONTROL_CONNECTIONS_PER_SLOT = 3
FAILOVER_RESERVE = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An instance that may become a home."""

    instance: ids.InstanceId
    zone: ids.ZoneName
    region: ids.RegionName


def _weight(instance: ids.InstanceId, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{instance}|{key}".encode())


def ranked(candidates: collections.abc.Iterable[Candidate], key: str) -> list[ids.InstanceId]:
    """Order instances for ``key``, the same on every instance with the same candidates."""
    ordered = sorted(
        candidates,
        key=lambda candidate: (_weight(candidate.instance, key), candidate.instance),
        reverse=True,
    )
    return [candidate.instance for candidate in ordered]


def gateways_of_slot(
    candidates: collections.abc.Sequence[Candidate],
    *,
    slot: ids.SlotId,
    zone: ids.ZoneName,
    region: ids.RegionName,
) -> list[ids.InstanceId]:
    """Order the instances that may serve a slot: its zone first, then its region, then others."""
    in_zone = [candidate for candidate in candidates if candidate.zone == zone]
    in_region = [
        candidate
        for candidate in candidates
        if candidate.zone != zone and candidate.region == region
    ]
    elsewhere = [candidate for candidate in candidates if candidate.region != region]
    return [*ranked(in_zone, slot), *ranked(in_region, slot), *ranked(elsewhere, slot)]


def statement_connections(*, connections: int, slot_count: int) -> int:
    """Return how many connections a home holds to one slot for statements.

    Every home of a slot watches the whole group with one control connection a slot; what is left
    of the database's connections, less the reserve for failover, is shared out evenly.
    """
    controllers = min(slot_count, CONTROL_CONNECTIONS_PER_SLOT)
    left = connections - controllers * slot_count - FAILOVER_RESERVE
    return max(1, left // slot_count)
