"""Builders of test data."""

from mustardswitch.internal import confirmations, gateways, groups, ids, membership, positions

DATABASE = ids.DatabaseName("orders")
SLOTS = (ids.SlotId("a"), ids.SlotId("b"), ids.SlotId("c"))


def position(term: int, offset: int) -> positions.Position:
    """Build the position at ``offset`` in the log of ``term``."""
    return positions.Position(term=ids.Term(term), offset=ids.Offset(offset))


def status(
    slot: str,
    *,
    role: groups.SlotRole = groups.SlotRole.REPLICA,
    promised: int = 1,
    log_end: tuple[int, int] = (1, 1),
    applied: tuple[int, int] | None = None,
    following: str | None = None,
    silence_ms: float = 0.0,
) -> groups.SlotStatus:
    """Build a slot's status; unless ``applied`` is given, the slot has applied its whole log."""
    return groups.SlotStatus(
        slot=ids.SlotId(slot),
        role=role,
        promised=ids.Term(promised),
        log_end=position(*log_end),
        applied=position(*(applied or log_end)),
        following=ids.SlotId(following) if following else None,
        primary_silence_ms=silence_ms,
    )


def observation(
    seen: groups.SlotStatus, *, query_sent_at_s: float = 0.0, answered_at_s: float | None = None
) -> confirmations.Observation:
    """Build an observation of a status, answered at the time of the query unless stated."""
    return confirmations.Observation(
        status=seen,
        query_sent_at_s=query_sent_at_s,
        answered_at_s=query_sent_at_s if answered_at_s is None else answered_at_s,
    )


def tracker(slots: tuple[ids.SlotId, ...] = SLOTS) -> confirmations.GroupTracker:
    """Build a tracker without observations."""
    return confirmations.GroupTracker(database=DATABASE, slots=slots)


def member(name: str, zone: str = "z", incarnation: int = 1) -> membership.Member:
    """Build a member that is alive."""
    return membership.Member(
        instance=ids.InstanceId(name),
        zone=ids.ZoneName(zone),
        region=ids.RegionName("r"),
        host="127.0.0.1",
        port=1,
        state=membership.MemberState.ALIVE,
        leaving=False,
        incarnation=incarnation,
    )


def candidates(*, zones: int, per_zone: int) -> list[gateways.Candidate]:
    """Build the instances of a fleet; half of the zones are in each of two regions."""
    return [
        gateways.Candidate(
            instance=ids.InstanceId(f"entry-{zone}-{number}"),
            zone=ids.ZoneName(f"zone-{zone}"),
            region=ids.RegionName("north" if zone < (zones + 1) // 2 else "south"),
        )
        for zone in range(zones)
        for number in range(per_zone)
    ]
