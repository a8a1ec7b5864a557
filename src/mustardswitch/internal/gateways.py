"""Chooses the gateway instance of each slot by rendezvous hashing.

Only the gateway of a slot holds connections to it, so that the connections per database stay
constant while the fleet grows. Rendezvous hashing (Thaler and Ravishankar, 1998) moves only the
slots of an instance that joins or leaves. Dividing the connections by the number of instances was
rejected: with 25 connections and 1,000 instances none would be left for each.
"""

import collections.abc
import dataclasses

import xxhash

from mustardswitch.internal import ids

CONTROL_CONNECTIONS_PER_SLOT = 3
"""Largest number of control connections to a slot, one from each gateway of its group."""
FAILOVER_RESERVE = 1
"""Connections to a database that are kept free for a failover."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An instance that may become a gateway."""

    instance: ids.InstanceId
    zone: ids.ZoneName
    region: ids.RegionName


def _weight(instance: ids.InstanceId, key: str) -> int:
    # Names come from other writers too; surrogates, which UTF-8 rejects, must not end the ranking.
    return xxhash.xxh64_intdigest(f"{instance}|{key}".encode(errors="surrogatepass"))


def ranked(candidates: collections.abc.Iterable[Candidate], key: str) -> list[ids.InstanceId]:
    """Rank instances for ``key``; the same on every instance that has the same candidates."""
    ranking = sorted(
        candidates,
        key=lambda candidate: (_weight(candidate.instance, key), candidate.instance),
        reverse=True,
    )
    return [candidate.instance for candidate in ranking]


def gateways_of_slot(
    candidates: collections.abc.Sequence[Candidate],
    *,
    slot: ids.SlotId,
    zone: ids.ZoneName,
    region: ids.RegionName,
) -> list[ids.InstanceId]:
    """Rank the instances that may serve a slot: its zone first, then its region, then others."""
    in_zone = [candidate for candidate in candidates if candidate.zone == zone]
    in_region = [
        candidate
        for candidate in candidates
        if candidate.zone != zone and candidate.region == region
    ]
    elsewhere = [candidate for candidate in candidates if candidate.region != region]
    return [*ranked(in_zone, slot), *ranked(in_region, slot), *ranked(elsewhere, slot)]


def statement_connections(*, connections: int, slot_count: int) -> int:
    """Return how many connections a gateway holds to one slot for statements; at least 1.

    Every gateway of a slot watches the whole group over one control connection per slot. The other
    connections of the database, less the reserve for failover, are divided evenly among the slots.
    """
    controllers = min(slot_count, CONTROL_CONNECTIONS_PER_SLOT)
    remaining = connections - controllers * slot_count - FAILOVER_RESERVE
    return max(1, remaining // slot_count)
