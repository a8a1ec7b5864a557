"""The durable record of members in ``promotion_world``, and the servers that are covered.

A member is a server and its start; one that crashes and returns with its log keeps its start.
"""

import dataclasses
import typing

from mustardswitch.internal import ids

if typing.TYPE_CHECKING:
    from tests.common import promotion_instances, promotion_world

Member = tuple[ids.ServerId, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class MemberRecord:
    """What the store holds of a service's members."""

    members: set[Member] = dataclasses.field(default_factory=set)
    covered: set[Member] = dataclasses.field(default_factory=set)
    """Members whose processes have ended, and of which another server had all commits."""
    primary: ids.ServerId | None = None
    """The last server that an instance has recorded as the primary."""

    def names(self) -> set[ids.ServerId]:
        """Return the recorded servers."""
        return {name for name, _ in self.members}

    def add(self, member: Member) -> None:
        """Record a member in the place of its earlier starts."""
        self.drop(member[0])
        self.members.add(member)

    def drop(self, name: ids.ServerId) -> None:
        """Remove a server."""
        self.members = {each for each in self.members if each[0] != name}


def read(world: "promotion_world.World", instance: "promotion_instances.Instance") -> None:
    """Let an instance learn of members, of those that do not count any more, and of coverage."""
    names = world.members.names()
    instance.expired -= instance.recorded - names
    new = names - instance.ever_known
    instance.expired |= new - set(instance.listed)
    instance.starts |= {name: starts for name, starts in world.members.members if name in new}
    instance.ever_known |= names | set(instance.listed)
    instance.recorded = names
    instance.covered |= world.members.covered


def cover(
    world: "promotion_world.World",
    instance: "promotion_instances.Instance",
    name: ids.ServerId,
    *,
    compare_end: bool,
) -> bool:
    """Find that a server has ended and that a replica has the primary's end; return whether.

    Without ``compare_end`` the replica is not asked.
    """
    leader = world.servers.get(instance.leader)
    if leader is None or leader.name == name or not _ended(world, instance, name):
        return False
    if not leader.leads or leader.name in instance.unreachable:
        return False
    replicas = set(instance.listed) - {leader.name, name} - instance.unreachable
    received = [
        each.position
        for each in (world.servers[replica] for replica in replicas)
        if each.runs and not each.leads
    ]
    if compare_end and not any(end >= leader.position for end in received):
        return False
    member = name, instance.starts[name]
    instance.covered.add(member)
    if instance.reaches_store:
        world.members.covered.add(member)
    return True


def drop_covered(
    world: "promotion_world.World", instance: "promotion_instances.Instance", *, servers: int
) -> None:
    """Forget covered servers without an entry while as many ``servers`` are listed and stay."""
    staying = [name for name, leaving in instance.listed.items() if not leaving]
    if instance.leader is None or instance.requested is not None or len(staying) < servers:
        return
    for name in sorted(instance.expired):
        member = name, instance.starts[name]
        if member in instance.covered:
            instance.expired.discard(name)
            if instance.reaches_store and member in world.members.members:
                world.members.drop(name)


def covered(
    world: "promotion_world.World", instance: "promotion_instances.Instance"
) -> set[ids.ServerId]:
    """Return the servers that an instance finds without a process now, and that are covered."""
    return {
        name
        for name in instance.known()
        if (name, instance.starts[name]) in instance.covered and _ended(world, instance, name)
    }


def _ended(
    world: "promotion_world.World",
    instance: "promotion_instances.Instance",
    name: ids.ServerId,
) -> bool:
    """Return whether a known server refuses connections."""
    known = name in instance.known() and name not in instance.unreachable
    return known and not world.servers[name].runs
