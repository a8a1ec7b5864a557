"""Tracks which instances exist, are reachable or leave, from the platform's list and gossip.

Suspicion and incarnation numbers follow SWIM (Das, Gupta and Motivala, 2002). Pings stay inside
an availability zone; a few bridges, chosen by rendezvous hashing, exchange gossip between zones,
and fewer between regions, so that the bytes per instance do not grow with the fleet.
"""

import collections.abc
import dataclasses
import enum
import random

import pydantic

from mustardswitch.internal import gateways, gossip, ids

SUSPICION_S = 1.5
"""Seconds within which a suspect instance may refute the suspicion before it is declared dead."""
DEAD_RETENTION_S = 3600.0
"""Seconds for which the record of a dead instance is kept."""
BRIDGES_PER_ZONE = 2
"""Instances of a zone that exchange gossip with each other zone."""
DEAD_CONTACT_PROBABILITY = 0.2
"""Probability per period of contacting a dead instance, which finds those that came back."""
STATE_COUNT = 4
"""Factor by which the incarnation outweighs the state in a version; above every state's value."""
MEMBER_KIND = "member/"
"""Prefix of the keys of member records."""
URGENT_FANOUT = 3
"""Instances of the own zone to which an urgent record is sent at once."""


class MemberState(enum.Enum):
    """State of an instance as the fleet sees it."""

    ALIVE = 0
    """It answers, or has announced itself."""
    SUSPECT = 1
    """A peer could not reach it, directly or through others."""
    DEAD = 2
    """It stayed suspect and did not refute the suspicion."""


class MemberRecord(pydantic.BaseModel):
    """A member as it is encoded in a gossip record."""

    instance: str
    zone: str
    region: str
    host: str
    port: int
    state: int
    leaving: bool = False
    incarnation: int
    since_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One instance of the fleet, with the latest known state."""

    instance: ids.InstanceId
    zone: ids.ZoneName
    region: ids.RegionName
    host: str
    port: int
    state: MemberState
    leaving: bool
    incarnation: int
    """0 if the member is only listed by the platform and has not announced itself."""
    since_ms: int = 0
    """Unix time in milliseconds at which the member became suspect or dead."""

    @property
    def version(self) -> int:
        """Version of the member's record: a later incarnation wins, then a worse state."""
        return self.incarnation * STATE_COUNT + self.state.value


def encode_member(member: Member) -> gossip.Record:
    """Encode a member as a gossip record."""
    body = MemberRecord(
        instance=member.instance,
        zone=member.zone,
        region=member.region,
        host=member.host,
        port=member.port,
        state=member.state.value,
        leaving=member.leaving,
        incarnation=member.incarnation,
        since_ms=member.since_ms,
    )
    return gossip.Record(
        key=f"{MEMBER_KIND}{member.instance}",
        version=member.version,
        payload=body.model_dump_json().encode(),
    )


def decode_member(record: gossip.Record) -> Member:
    """Decode a member from a gossip record; raises ``pydantic.ValidationError`` if malformed."""
    body = MemberRecord.model_validate_json(record.payload)
    return Member(
        instance=ids.InstanceId(body.instance),
        zone=ids.ZoneName(body.zone),
        region=ids.RegionName(body.region),
        host=body.host,
        port=body.port,
        state=MemberState(body.state),
        leaving=body.leaving,
        incarnation=body.incarnation,
        since_ms=body.since_ms,
    )


class Membership:
    """The members that one instance knows; chooses those to exchange gossip with."""

    def __init__(self, *, own: Member, table: gossip.RecordTable, rng: random.Random) -> None:
        self.own = own
        self.table = table
        self.rng = rng
        self.members: dict[ids.InstanceId, Member] = {}
        self.suspected_at_s: dict[ids.InstanceId, float] = {}
        self.listed_leaving: frozenset[ids.InstanceId] = frozenset()
        self._put(own)

    @property
    def fleet_size(self) -> int:
        """Number of instances that are known and not dead."""
        return sum(member.state is not MemberState.DEAD for member in self.members.values())

    def _put(self, member: Member) -> None:
        self.members[member.instance] = member
        self.table.put(encode_member(member), fleet_size=max(1, len(self.members)))

    def apply_record(self, record: gossip.Record, *, now_s: float) -> None:
        """Apply a member record that was newer than the known one."""
        member = decode_member(record)
        if member.instance == self.own.instance:
            self._refute(member)
            return
        self.members[member.instance] = member
        if member.state is MemberState.SUSPECT:
            self.suspected_at_s.setdefault(member.instance, now_s)
        else:
            self.suspected_at_s.pop(member.instance, None)

    def _refute(self, claimed: Member) -> None:
        """Refute a claim about this instance by a later incarnation."""
        self.own = dataclasses.replace(
            self.own, incarnation=max(self.own.incarnation, claimed.incarnation) + 1
        )
        self._put(self.own)

    def announce_leaving(self) -> None:
        """Announce to the fleet that this instance takes no new work."""
        self.own = dataclasses.replace(self.own, leaving=True, incarnation=self.own.incarnation + 1)
        self._put(self.own)

    def add_listed(
        self, listed: collections.abc.Iterable[Member], leaving: frozenset[ids.InstanceId]
    ) -> None:
        """Merge the platform's list: adds unknown instances and marks the leaving ones.

        The list lags, so it never declares an instance dead.
        """
        self.listed_leaving = leaving
        for member in listed:
            if member.instance not in self.members:
                self.members[member.instance] = member

    def is_leaving(self, member: Member) -> bool:
        """Return whether an instance takes no new work, as it or the platform announced."""
        return member.leaving or member.instance in self.listed_leaving

    def note_answer(self, instance: ids.InstanceId) -> None:
        """Record that an instance answered, so that it is not declared dead."""
        self.suspected_at_s.pop(instance, None)

    def ping_failed(self, instance: ids.InstanceId, *, now_s: float, now_ms: int) -> None:
        """Mark an instance suspect that answered neither directly nor through others."""
        member = self.members.get(instance)
        if member is None or member.state is not MemberState.ALIVE:
            return
        self.suspected_at_s[instance] = now_s
        self._put(dataclasses.replace(member, state=MemberState.SUSPECT, since_ms=now_ms))

    def expire_suspicions(self, *, now_s: float, now_ms: int) -> list[ids.InstanceId]:
        """Declare members dead that have been suspect for too long; return them."""
        due = [
            instance
            for instance, since_s in self.suspected_at_s.items()
            if now_s - since_s >= SUSPICION_S
        ]
        for instance in due:
            self.declare_dead(instance, now_ms=now_ms)
        return due

    def declare_dead(self, instance: ids.InstanceId, *, now_ms: int) -> None:
        """Announce to the fleet that an instance is dead."""
        self.suspected_at_s.pop(instance, None)
        member = self.members[instance]
        self._put(dataclasses.replace(member, state=MemberState.DEAD, since_ms=now_ms))

    def forget_dead(self, *, now_ms: int) -> None:
        """Remove members that have been dead for ``DEAD_RETENTION_S`` seconds."""
        limit_ms = now_ms - int(DEAD_RETENTION_S * 1000)
        for member in list(self.members.values()):
            if member.state is MemberState.DEAD and member.since_ms < limit_ms:
                del self.members[member.instance]
                self.table.remove(f"{MEMBER_KIND}{member.instance}")

    def candidates(self) -> list[gateways.Candidate]:
        """Return the instances that may be gateways: announced, not dead and not leaving."""
        return [
            gateways.Candidate(instance=member.instance, zone=member.zone, region=member.region)
            for member in self.members.values()
            if member.state is not MemberState.DEAD
            and member.incarnation > 0
            and not self.is_leaving(member)
        ]

    def _others(self, *, dead: bool) -> list[Member]:
        return [
            member
            for member in self.members.values()
            if member.instance != self.own.instance and (member.state is MemberState.DEAD) == dead
        ]

    def choose_gossip_peers(self) -> list[Member]:
        """Choose the members to exchange gossip with in this period."""
        others = self._others(dead=False)
        partners = self._sample([member for member in others if self._in_zone(member)], 1)
        partners += self._sample(self._bridged(others), 1)
        dead = self._others(dead=True)
        if dead and self.rng.random() < DEAD_CONTACT_PROBABILITY:
            partners += self._sample(dead, 1)
        return partners or self._sample(others, 1)

    def choose_urgent_targets(self) -> list[Member]:
        """Choose the members to which an urgent record is sent at once."""
        others = self._others(dead=False)
        near = [member for member in others if self._in_zone(member)]
        bridged = self._bridged(others)
        by_zone = {member.zone: member for member in self._sample(bridged, len(bridged))}
        return [*self._sample(near, URGENT_FANOUT), *by_zone.values()]

    def _in_zone(self, member: Member) -> bool:
        return member.zone == self.own.zone

    def _bridged(self, others: list[Member]) -> list[Member]:
        """Return the members of other zones for which this instance is a bridge."""
        near = [member for member in [self.own, *others] if self._in_zone(member)]
        bridged = []
        for zone in sorted({member.zone for member in others if not self._in_zone(member)}):
            ranked = gateways.ranked(
                [
                    gateways.Candidate(
                        instance=member.instance, zone=member.zone, region=member.region
                    )
                    for member in near
                ],
                f"bridge|{zone}",
            )
            if self.own.instance in ranked[:BRIDGES_PER_ZONE]:
                bridged += [member for member in others if member.zone == zone]
        return bridged

    def helpers_for(self, instance: ids.InstanceId, count: int) -> list[Member]:
        """Choose up to ``count`` members to ask for an indirect ping of ``instance``."""
        others = [member for member in self._others(dead=False) if member.instance != instance]
        return self._sample(others, count)

    def _sample(self, members: list[Member], count: int) -> list[Member]:
        ordered = sorted(members, key=lambda member: member.instance)
        return self.rng.sample(ordered, min(count, len(ordered)))
