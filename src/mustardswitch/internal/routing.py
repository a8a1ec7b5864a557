"""Chooses the slots that a statement is offered to, in order."""

import collections.abc
import dataclasses

from mustardswitch.internal import ids, outcomes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlotLocation:
    """Where a slot is, and whether it takes new work."""

    slot: ids.SlotId
    zone: ids.ZoneName
    region: ids.RegionName
    leaving: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingRequest:
    """What the choice depends on."""

    kind: outcomes.StatementKind
    zone: ids.ZoneName
    region: ids.RegionName
    primary: ids.SlotId | None
    prefer_replicas: bool
    refused: frozenset[ids.SlotId] = frozenset()
    """Slots that already refused this statement."""
    unreachable: frozenset[ids.SlotId] = frozenset()
    """Slots that were out of reach a moment ago; they are asked last."""


def candidate_slots(
    slots: collections.abc.Sequence[SlotLocation], question: RoutingRequest
) -> list[ids.SlotId]:
    """Order the slots for a statement; an empty answer means none may take it."""
    if question.kind is not outcomes.StatementKind.READ:
        return _write_candidates(slots, question)
    return _read_candidates(slots, question)


def _write_candidates(
    slots: collections.abc.Sequence[SlotLocation], question: RoutingRequest
) -> list[ids.SlotId]:
    if question.primary is not None and question.primary not in question.refused:
        return [question.primary]
    others = [location.slot for location in slots if location.slot not in question.refused]
    return others


def _read_candidates(
    slots: collections.abc.Sequence[SlotLocation], question: RoutingRequest
) -> list[ids.SlotId]:
    usable = [
        location
        for location in slots
        if location.slot not in question.refused
        and (not location.leaving or location.slot == question.primary)
    ]

    def cost(location: SlotLocation) -> "_ReadCost":
        is_primary = location.slot == question.primary
        return _ReadCost(
            unreachable=location.slot in question.unreachable,
            other_region=location.region != question.region,
            avoid_primary=is_primary and question.prefer_replicas,
            other_zone=location.zone != question.zone,
            leaving=location.leaving,
            slot=location.slot,
        )

    return [location.slot for location in sorted(usable, key=cost)]


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _ReadCost:
    """Reads stay in the region first: the link between regions is slow and paid by volume."""

    unreachable: bool
    other_region: bool
    avoid_primary: bool
    other_zone: bool
    leaving: bool
    slot: ids.SlotId
