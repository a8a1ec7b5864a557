"""Chooses the slots that a statement is offered to, in order."""

import collections.abc
import dataclasses

from mustardswitch.internal import ids, outcomes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotLocation:
    """Location of a slot, and whether it is leaving and takes no new work."""

    slot: ids.SlotId
    zone: ids.ZoneName
    region: ids.RegionName
    leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingRequest:
    """Properties of a statement and the state of its group that decide the order of the slots."""

    kind: outcomes.StatementKind
    zone: ids.ZoneName
    region: ids.RegionName
    primary: ids.SlotId | None
    prefer_replicas: bool
    refused: frozenset[ids.SlotId] = frozenset()
    """Slots that already rejected this statement."""
    unreachable: frozenset[ids.SlotId] = frozenset()
    """Slots that were recently unreachable; reads try them last."""


def candidate_slots(
    slots: collections.abc.Sequence[SlotLocation], request: RoutingRequest
) -> list[ids.SlotId]:
    """Return the slots to try for a statement, in order; empty if none may take it."""
    if request.kind is not outcomes.StatementKind.READ:
        return _write_candidates(slots, request)
    return _read_candidates(slots, request)


def _write_candidates(
    slots: collections.abc.Sequence[SlotLocation], request: RoutingRequest
) -> list[ids.SlotId]:
    if request.primary is not None and request.primary not in request.refused:
        return [request.primary]
    others = [location.slot for location in slots if location.slot not in request.refused]
    return others


def _read_candidates(
    slots: collections.abc.Sequence[SlotLocation], request: RoutingRequest
) -> list[ids.SlotId]:
    usable = [
        location
        for location in slots
        if location.slot not in request.refused
        and (not location.leaving or location.slot == request.primary)
    ]

    def cost(location: SlotLocation) -> "_ReadCost":
        is_primary = location.slot == request.primary
        return _ReadCost(
            unreachable=location.slot in request.unreachable,
            other_region=location.region != request.region,
            avoid_primary=is_primary and request.prefer_replicas,
            other_zone=location.zone != request.zone,
            leaving=location.leaving,
            slot=location.slot,
        )

    return [location.slot for location in sorted(usable, key=cost)]


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _ReadCost:
    """Sort key of a slot for reads, in the order of the fields.

    The region outweighs the zone because the link between regions is slow and charged by volume.
    """

    unreachable: bool
    other_region: bool
    avoid_primary: bool
    other_zone: bool
    leaving: bool
    slot: ids.SlotId
