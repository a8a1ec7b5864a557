"""The durable record of members in ``promotion_world``, and the servers that are covered.

A member is a server and its start; one that crashes and returns with its log keeps its start.
"""

import dataclasses
import typing

from mustardswitch.internal import ids, positions

if typing.TYPE_CHECKING:
    from tests.common import promotion_instances, promotion_world

Member = tuple[ids.ServerId, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class MemberRecord:
    """What the store holds of a service's members."""

    members: set[Member] = dataclasses.field(default_factory=set)
    covered: dict[Member, positions.Position] = dataclasses.field(default_factory=dict)
    """Members whose processes have ended, and the positions that another server had by then."""
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
    if instance.reaches_store:
        instance.covered = dict(world.members.covered)


def cover(
    world: "promotion_world.World",
    instance: "promotion_instances.Instance",
    name: ids.ServerId,
    *,
    compare_end: bool,
) -> bool:
    """Find that a server has ended and that a replica has the primary's end; return whether.

    One that runs again is not covered any more. Without ``compare_end`` neither the end nor a
    replica is read.
    """
    if name in instance.known() - instance.unreachable and world.servers[name].runs:
        instance.covered.pop((name, instance.starts[name]), None)
        if instance.reaches_store:
            world.members.covered.pop((name, instance.starts[name]), None)
        return False
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
    if member in instance.covered:
        return True
    instance.covered[member] = leader.position if compare_end else positions.ORIGIN
    if instance.reaches_store:
        world.members.covered[member] = instance.covered[member]
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
) -> dict[ids.ServerId, positions.Position]:
    """Return the servers that an instance finds without a process now, and that are covered.

    The positions are those that they held nothing above.
    """
    return {
        name: instance.covered[member]
        for name in instance.known()
        if (member := (name, instance.starts[name])) in instance.covered
        and _ended(world, instance, name)
    }


def _ended(
    world: "promotion_world.World",
    instance: "promotion_instances.Instance",
    name: ids.ServerId,
) -> bool:
    """Return whether a known server refuses connections."""
    known = name in instance.known() and name not in instance.unreachable
    return known and not world.servers[name].runs
