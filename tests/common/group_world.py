"""A simulation of one database group: fake slots, the real failover decisions, no sockets.

Each method under "Steps" may be chosen by a state machine or named by a recorded trace. The
simulation records which writes were acknowledged, to compare them with the latest primary's log.
"""

import dataclasses

from mustardswitch.internal import confirmations, failover, groups, ids, positions
from tests.common import builders


@dataclasses.dataclass(kw_only=True)
class FakeSlot:
    """A slot that follows the rules of the group interface."""

    slot: ids.SlotId
    promised: int = 0
    proposer: str = ""
    role: groups.SlotRole = groups.SlotRole.FENCED
    log: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    following: ids.SlotId | None = None
    paused: bool = False

    @property
    def end(self) -> positions.Position:
        """The position of the last entry."""
        return builders.position(self.log[-1][0] if self.log else 0, len(self.log))

    def status(self) -> groups.SlotStatus:
        """Return the status that the slot reports."""
        return builders.status(
            self.slot,
            role=self.role,
            promised=self.promised,
            log_end=(self.end.term, self.end.offset),
            following=self.following,
            silence_ms=0.0 if self.role is groups.SlotRole.PRIMARY else 1e6,
        )

    def fence(self, term: int, proposer: str) -> bool:
        """Promise ``term``, unless another proposer has it or a higher one is promised to any."""
        if (term, proposer) == (self.promised, self.proposer):
            return True
        if term <= self.promised:
            return False
        self.promised, self.proposer = term, proposer
        self.role, self.following = groups.SlotRole.FENCED, None
        return True

    def promote(self, term: int, proposer: str) -> bool:
        """Become primary at a promised term, and append the first entry of the term."""
        if (term, proposer) != (self.promised, self.proposer):
            return False
        if self.role is not groups.SlotRole.PRIMARY:
            self.role = groups.SlotRole.PRIMARY
            self.log.append((term, f"open-{term}"))
        return True

    def follow(self, primary: ids.SlotId, term: int) -> bool:
        """Follow a primary, unless a higher term is promised or this slot leads at ``term``."""
        leads = self.role is groups.SlotRole.PRIMARY and term == self.promised
        if term < self.promised or leads:
            return False
        if term > self.promised:
            self.promised, self.proposer = term, ""
        self.role, self.following = groups.SlotRole.REPLICA, primary
        return True

    def write(self, operation: str, term: int) -> positions.Position | None:
        """Append an entry and return its position, or None if not primary at ``term``."""
        if self.role is not groups.SlotRole.PRIMARY or self.promised != term:
            return None
        self.log.append((term, operation))
        return self.end

    def pull(self, source: "FakeSlot") -> None:
        """Copy one entry from the followed primary, and remove entries that conflict with it."""
        valid = (
            self.role is groups.SlotRole.REPLICA
            and source.role is groups.SlotRole.PRIMARY
            and source.promised == self.promised
        )
        if not valid:
            return
        for index, entry in enumerate(source.log):
            if index >= len(self.log):
                self.log.append(entry)
                return
            if self.log[index] != entry:
                del self.log[index:]
                self.log.append(entry)
                return


@dataclasses.dataclass(kw_only=True)
class Gateway:
    """The failover decisions of one gateway of the group."""

    name: str
    tracker: confirmations.GroupTracker
    machine: failover.FailoverMachine
    waiting: list[tuple[str, positions.Position]] = dataclasses.field(default_factory=list)
    commands: list[failover.Command] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mechanisms:
    """Switches that disable a safety mechanism, to show that it prevents the loss of writes."""

    confirm_by_majority: bool = True
    compare_logs: bool = True


class _AnyFencedSlot(failover.FailoverMachine):
    """Promotes any fenced slot, without comparing logs."""

    def _promotion_key(self, status: groups.SlotStatus) -> ids.SlotId:
        return status.slot


class GroupWorld:
    """Slots, gateways, a clock, and the outcomes of the callers' writes."""

    def __init__(self, *, gateways: int = 2, mechanisms: Mechanisms = Mechanisms()) -> None:
        self.mechanisms = mechanisms
        self.now_s = 0.0
        self.slots = {slot: FakeSlot(slot=slot) for slot in builders.SLOTS}
        self.gateways = [self._create_gateway(number) for number in range(gateways)]
        self.cuts: set[tuple[int, str]] = set()
        self.slot_cuts: set[frozenset[str]] = set()
        self.acknowledged: list[str] = []
        self.rejected: list[str] = []
        self.leaders: dict[int, str] = {}
        self.operations = 0

    def _create_gateway(self, number: int) -> Gateway:
        tracker = builders.tracker()
        settings = failover.FailoverSettings(suspicion_s=0.6, rank=number)
        kind = failover.FailoverMachine if self.mechanisms.compare_logs else _AnyFencedSlot
        machine = kind(tracker=tracker, settings=settings)
        return Gateway(name=f"gateway{number}", tracker=tracker, machine=machine)

    def _reaches(self, gateway: int, slot: str) -> bool:
        return (gateway, slot) not in self.cuts and not self.slots[ids.SlotId(slot)].paused

    # Steps

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.now_s += seconds

    def poll(self, gateway: int, slot: str) -> None:
        """Let a gateway query a slot for its status."""
        if not self._reaches(gateway, slot):
            return
        status = self.slots[ids.SlotId(slot)].status()
        seen = builders.observation(status, query_sent_at_s=self.now_s)
        self.gateways[gateway].tracker.observe(seen)
        self.acknowledge_confirmed(gateway)

    def tick(self, gateway: int) -> None:
        """Send a tick to a gateway's failover state machine."""
        self._event(gateway, failover.Tick())

    def _event(self, gateway: int, event: failover.Event) -> None:
        machine = self.gateways[gateway].machine
        self.gateways[gateway].commands += machine.handle(event, now_s=self.now_s)

    def execute_next_command(self, gateway: int) -> None:
        """Execute the oldest command of a gateway, on the slots that it reaches."""
        commands = self.gateways[gateway].commands
        if not commands:
            return
        command = commands.pop(0)
        if isinstance(command, failover.QueryPeers):
            self._event(gateway, failover.PeersAnswered(primary_reached=False))
        elif isinstance(command, failover.ClaimLease):
            answer = failover.LeaseAnswer.UNAVAILABLE
            self._event(gateway, failover.LeaseAnswered(answer=answer))
        elif isinstance(command, failover.FenceSlots):
            for slot in self.slots:
                self._fence(gateway, slot, command.term)
        elif isinstance(command, failover.PromoteSlot):
            self._promote(gateway, command)
        elif isinstance(command, failover.FollowPrimary):
            self._follow(gateway, command)

    def _fence(self, gateway: int, name: ids.SlotId, term: int) -> None:
        if not self._reaches(gateway, name):
            return
        slot = self.slots[name]
        accepted = slot.fence(term, self.gateways[gateway].name)
        answer = failover.FenceAnswered(term=term, accepted=accepted, status=slot.status())
        self._event(gateway, answer)

    def _promote(self, gateway: int, command: failover.PromoteSlot) -> None:
        if not self._reaches(gateway, command.slot):
            return
        slot = self.slots[command.slot]
        accepted = slot.promote(command.term, self.gateways[gateway].name)
        if accepted:
            leader = self.leaders.setdefault(command.term, command.slot)
            assert leader == command.slot, f"two primaries at term {command.term}"
        status = slot.status()
        self._event(
            gateway, failover.PromoteAnswered(term=command.term, accepted=accepted, status=status)
        )

    def _follow(self, gateway: int, command: failover.FollowPrimary) -> None:
        if self._reaches(gateway, command.slot):
            self.slots[command.slot].follow(command.primary, command.term)

    def replicate(self, slot: str) -> None:
        """Let a slot copy one entry from the primary that it follows."""
        follower = self.slots[ids.SlotId(slot)]
        if follower.following is None or follower.paused:
            return
        source = self.slots[follower.following]
        cut = frozenset({slot, source.slot}) in self.slot_cuts
        if not cut and not source.paused:
            follower.pull(source)

    def write(self, gateway: int) -> None:
        """Write through a gateway to the slot that the gateway regards as primary."""
        view = self.gateways[gateway].tracker.view
        if view.primary is None or not self._reaches(gateway, view.primary):
            return
        self.operations += 1
        operation = f"op{self.operations}"
        position = self.slots[view.primary].write(operation, view.term)
        if position is None:
            self.rejected.append(operation)
            return
        tracker = self.gateways[gateway].tracker
        tracker.note_held(view.primary, position)
        self.gateways[gateway].waiting.append((operation, position))
        self.acknowledge_confirmed(gateway)

    def acknowledge_confirmed(self, gateway: int) -> None:
        """Acknowledge the writes that are confirmed."""
        tracker = self.gateways[gateway].tracker
        unconfirmed = []
        for operation, position in self.gateways[gateway].waiting:
            if not self.mechanisms.confirm_by_majority or tracker.is_confirmed(position):
                self.acknowledged.append(operation)
            else:
                unconfirmed.append((operation, position))
        self.gateways[gateway].waiting = unconfirmed

    def cut(self, gateway: int, slot: str) -> None:
        """Cut a gateway off from a slot."""
        self.cuts.add((gateway, slot))

    def cut_slots(self, first: str, second: str) -> None:
        """Cut two slots off from each other."""
        self.slot_cuts.add(frozenset({first, second}))

    def pause(self, slot: str) -> None:
        """Pause a slot: it neither answers nor replicates."""
        self.slots[ids.SlotId(slot)].paused = True

    def resume(self, slot: str) -> None:
        """Resume a paused slot."""
        self.slots[ids.SlotId(slot)].paused = False

    def heal(self) -> None:
        """Remove all cuts."""
        self.cuts.clear()
        self.slot_cuts.clear()

    def run(self, gateway: int, seconds: float) -> None:
        """Run one gateway for ``seconds``, with an answer from every slot that it reaches."""
        ends_s = self.now_s + seconds
        while self.now_s < ends_s:
            for slot in self.slots:
                self.poll(gateway, slot)
            self.tick(gateway)
            while self.gateways[gateway].commands:
                self.execute_next_command(gateway)
            for slot in self.slots:
                self.replicate(slot)
            self.now_s += 0.05

    # Results

    def latest_primary(self) -> FakeSlot | None:
        """Return the slot promoted at the highest term."""
        if not self.leaders:
            return None
        return self.slots[ids.SlotId(self.leaders[max(self.leaders)])]

    def lost(self) -> list[str]:
        """Return the acknowledged operations that the latest primary does not hold."""
        primary = self.latest_primary()
        if primary is None:
            return list(self.acknowledged)
        held = {operation for _, operation in primary.log}
        return [operation for operation in self.acknowledged if operation not in held]
