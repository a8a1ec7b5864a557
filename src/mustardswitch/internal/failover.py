"""Decides when a group needs another primary and drives the change, step by step.

An attempt asks the other homes, claims a lease in the store to keep two instances from trying at
once, fences a majority of the slots with a new term, promotes the fenced slot with the highest log
and makes the others follow it. Safety rests on the fence alone: the lease may be missing, late or
held twice. Events and the time go in; commands come out; nothing here waits or sends.
"""

import dataclasses
import enum
import functools

from mustardswitch.internal import confirmations, groups, ids, positions

PEER_ANSWER_S = 0.15
LEASE_ANSWER_S = 0.15
FENCE_ANSWER_S = 0.4
PROMOTE_ANSWER_S = 0.4
RETRY_S = 0.3
RANK_DELAY_S = 0.15
SLOT_FRESH_S = 1.2
PRIMARY_FRESH_S = 0.5


class Phase(enum.Enum):
    """How far an attempt has come."""

    WATCHING = "watching"
    """The group needs nothing, or this instance may not act yet."""
    ASKING = "asking"
    """The other homes are asked whether they reach the primary."""
    CLAIMING = "claiming"
    """The lease is being claimed."""
    FENCING = "fencing"
    """Slots are asked to promise the new term."""
    PROMOTING = "promoting"
    """The chosen slot is asked to lead."""


class LeaseAnswer(enum.Enum):
    """What the store said to a claim."""

    GRANTED = "granted"
    """This instance holds the lease."""
    HELD = "held"
    """Another instance holds it."""
    UNAVAILABLE = "unavailable"
    """The store gave no answer."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueryPeers:
    """Ask the other homes whether they reach the primary."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimLease:
    """Claim the lease of this group in the store."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseLease:
    """Give the lease back."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FenceSlots:
    """Ask all slots to promise ``term``."""

    term: ids.Term


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromoteSlot:
    """Ask one slot to lead at ``term``."""

    slot: ids.SlotId
    term: ids.Term


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FollowPrimary:
    """Ask one slot to follow the primary of ``term``."""

    slot: ids.SlotId
    primary: ids.SlotId
    term: ids.Term


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PublishView:
    """Tell the store and the peers who leads."""

    view: groups.GroupView


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopWrites:
    """Let no new write start at this home, for a planned change."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AllowWrites:
    """End a stop of writes."""


Command = (
    QueryPeers
    | ClaimLease
    | ReleaseLease
    | FenceSlots
    | PromoteSlot
    | FollowPrimary
    | PublishView
    | StopWrites
    | AllowWrites
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tick:
    """Time passed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeersAnswered:
    """The other homes answered, or their time is up."""

    primary_reached: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseAnswered:
    """The store answered a claim, or its time is up."""

    answer: LeaseAnswer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FenceAnswered:
    """A slot answered a fence."""

    term: ids.Term
    accepted: bool
    status: groups.SlotStatus


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromoteAnswered:
    """A slot answered a promotion."""

    term: ids.Term
    accepted: bool
    status: groups.SlotStatus


Event = Tick | PeersAnswered | LeaseAnswered | FenceAnswered | PromoteAnswered


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FailoverSettings:
    """What the document and the place of this home say."""

    suspicion_s: float
    rank: int
    """Place of this instance among the homes of the group; lower ones act first."""
    leaving: frozenset[ids.SlotId] = frozenset()
    preferred: frozenset[ids.SlotId] = frozenset()
    """Slots in the region that holds most of the group: from there most reads and confirmations
    stay off the link between regions."""
    manages_handover: bool = False
    """Whether this instance is the home of the primary and may plan a change."""


class FailoverMachine:
    """One group's failover as one instance sees it."""

    def __init__(self, *, tracker: confirmations.GroupTracker, settings: FailoverSettings) -> None:
        self.tracker = tracker
        self.settings = settings
        self.phase = Phase.WATCHING
        self.phase_ends_s = float("inf")
        self.watching_since_s = float("inf")
        self.suspected_since_s: float | None = None
        self.not_before_s = float("-inf")
        self.refused_since_s: float | None = None
        self.term = ids.Term(0)
        self.fenced: dict[ids.SlotId, groups.SlotStatus] = {}
        self.chosen: ids.SlotId | None = None
        self.handing_over = False
        self.holds_lease = False

    def __repr__(self) -> str:
        return f"FailoverMachine(tracker={self.tracker!r}, settings={self.settings!r})"

    def note_primary_refused_connection(self, now_s: float) -> None:
        """Note that the primary's instance refused a connection: its process is gone."""
        if self.refused_since_s is None:
            self.refused_since_s = now_s

    def note_primary_answered(self) -> None:
        """Note that the primary answered."""
        self.refused_since_s = None

    def handle(self, event: Event, *, now_s: float) -> list[Command]:
        """Take one event and return what to do."""
        return _handle(event, self, now_s)

    # The steps below are called by the handlers of the events.

    def tick(self, now_s: float) -> list[Command]:
        """Start an attempt when one is due, or give one up whose answers stay away."""
        self.watching_since_s = min(self.watching_since_s, now_s)
        if self.phase is Phase.WATCHING:
            return [*self._repairs(now_s), *self._consider(now_s)]
        if now_s < self.phase_ends_s:
            return []
        if self.phase is Phase.ASKING:
            return self.peers_answered(now_s, primary_reached=False)
        if self.phase is Phase.CLAIMING:
            return self.lease_answered(now_s, LeaseAnswer.UNAVAILABLE)
        if self.phase is Phase.FENCING:
            return self._choose(now_s, final=True)
        return self._finish(now_s)

    def _consider(self, now_s: float) -> list[Command]:
        if now_s < self.not_before_s or not self._majority_in_reach(now_s):
            return []
        if self._handover_due(now_s):
            self.handing_over = True
            self._enter(Phase.CLAIMING, now_s + LEASE_ANSWER_S)
            return [StopWrites(), ClaimLease()]
        if not self._primary_suspected(now_s):
            self.suspected_since_s = None
            return []
        if self.suspected_since_s is None:
            self.suspected_since_s = now_s
        if now_s - self.suspected_since_s < self.settings.rank * RANK_DELAY_S:
            return []
        self._enter(Phase.ASKING, now_s + PEER_ANSWER_S)
        return [QueryPeers()]

    def _majority_in_reach(self, now_s: float) -> bool:
        return len(self._fresh(now_s)) >= self.tracker.majority

    def _fresh(self, now_s: float) -> list[groups.SlotStatus]:
        return [
            observation.status
            for observation in self.tracker.observations.values()
            if now_s - observation.answered_at_s <= SLOT_FRESH_S
        ]

    def _primary_suspected(self, now_s: float) -> bool:
        primary = self.tracker.view.primary
        fresh = self._fresh(now_s)
        highest = max((status.promised for status in fresh), default=ids.Term(0))
        if primary is None or highest > self.tracker.view.term:
            return self._nobody_leads(fresh, highest)
        seen = self.tracker.observations.get(primary)
        if seen is not None and now_s - seen.answered_at_s <= PRIMARY_FRESH_S:
            return seen.status.role is not groups.SlotRole.PRIMARY
        return self._silent_long_enough(now_s, seen) and not self._heard_by_replica(fresh)

    def _nobody_leads(self, fresh: list[groups.SlotStatus], highest: ids.Term) -> bool:
        """Tell whether a fence was left without a promotion, or the group is new."""
        return not any(
            status.promised == highest and status.role is not groups.SlotRole.FENCED
            for status in fresh
        )

    def _silent_long_enough(self, now_s: float, seen: confirmations.Observation | None) -> bool:
        if self.refused_since_s is not None:
            return now_s - self.refused_since_s >= self.settings.suspicion_s / 3
        answered_at_s = self.watching_since_s if seen is None else seen.answered_at_s
        return now_s - answered_at_s >= self.settings.suspicion_s

    def _heard_by_replica(self, fresh: list[groups.SlotStatus]) -> bool:
        """Tell whether a replica still hears the primary that this instance does not."""
        limit_ms = self.settings.suspicion_s * 1000.0 / 2
        return any(
            status.role is groups.SlotRole.REPLICA
            and status.following == self.tracker.view.primary
            and status.primary_silence_ms < limit_ms
            for status in fresh
        )

    def _handover_due(self, now_s: float) -> bool:
        view = self.tracker.view
        if not self.settings.manages_handover or view.primary not in self.settings.leaving:
            return False
        fresh = self._fresh(now_s)
        return any(
            status.slot not in self.settings.leaving
            and status.slot != view.primary
            and status.promised == view.term
            and status.log_end.term == view.term
            for status in fresh
        )

    def _repairs(self, now_s: float) -> list[Command]:
        """Make slots follow that came back fenced, or still lead at a lower term."""
        view = self.tracker.view
        if view.primary is None:
            return []
        return [
            FollowPrimary(slot=status.slot, primary=view.primary, term=view.term)
            for status in self._fresh(now_s)
            if status.slot != view.primary
            and status.promised <= view.term
            and (status.promised < view.term or status.following != view.primary)
        ]

    def peers_answered(self, now_s: float, *, primary_reached: bool) -> list[Command]:
        """Go on to the lease, or stand back for a primary that others reach."""
        if self.phase is not Phase.ASKING:
            return []
        if primary_reached or not self._primary_suspected(now_s):
            return self._finish(now_s)
        self._enter(Phase.CLAIMING, now_s + LEASE_ANSWER_S)
        return [ClaimLease()]

    def lease_answered(self, now_s: float, answer: LeaseAnswer) -> list[Command]:
        """Fence, unless another instance is at it."""
        if self.phase is not Phase.CLAIMING:
            return []
        self.holds_lease = answer is LeaseAnswer.GRANTED
        if answer is LeaseAnswer.HELD:
            return self._finish(now_s)
        promised = [
            observation.status.promised for observation in self.tracker.observations.values()
        ]
        self.term = ids.Term(max([self.tracker.view.term, self.term, *promised]) + 1)
        self.fenced = {}
        self._enter(Phase.FENCING, now_s + FENCE_ANSWER_S)
        return [FenceSlots(term=self.term)]

    def fence_answered(self, now_s: float, event: FenceAnswered) -> list[Command]:
        """Collect promises until a majority has given one."""
        if self.phase is not Phase.FENCING or event.term != self.term:
            return []
        if not event.accepted:
            return []
        self.fenced[event.status.slot] = event.status
        return self._choose(now_s, final=False)

    def _choose(self, now_s: float, *, final: bool) -> list[Command]:
        everybody = len(self.fenced) == len(self.tracker.slots)
        waits_for_more = self.handing_over and not everybody and not final
        if len(self.fenced) < self.tracker.majority or waits_for_more:
            return self._finish(now_s) if final else []
        best = max(self.fenced.values(), key=self._fitness)
        self.chosen = best.slot
        self._enter(Phase.PROMOTING, now_s + PROMOTE_ANSWER_S)
        return [PromoteSlot(slot=best.slot, term=self.term)]

    def _fitness(self, status: groups.SlotStatus) -> "_Fitness":
        return _Fitness(
            log_end=status.log_end,
            stays=status.slot not in self.settings.leaving,
            preferred=status.slot in self.settings.preferred,
            slot=status.slot,
        )

    def promote_answered(self, now_s: float, event: PromoteAnswered) -> list[Command]:
        """Publish the new primary and make the others follow it."""
        if self.phase is not Phase.PROMOTING or event.term != self.term:
            return []
        if not event.accepted or event.status.slot != self.chosen:
            return self._finish(now_s)
        view = groups.GroupView(database=self.tracker.database, term=self.term, primary=self.chosen)
        self.tracker.adopt(view)
        followers = [
            FollowPrimary(slot=slot, primary=self.chosen, term=self.term)
            for slot in sorted(self.tracker.slots - {self.chosen})
        ]
        return [*followers, PublishView(view=view), *self._finish(now_s)]

    def _enter(self, phase: Phase, ends_s: float) -> None:
        self.phase = phase
        self.phase_ends_s = ends_s

    def _finish(self, now_s: float) -> list[Command]:
        commands: list[Command] = []
        if self.handing_over:
            commands.append(AllowWrites())
        if self.holds_lease:
            commands.append(ReleaseLease())
        self.handing_over = False
        self.holds_lease = False
        self.suspected_since_s = None
        self.refused_since_s = None
        self.not_before_s = now_s + RETRY_S * (1 + self.settings.rank)
        self._enter(Phase.WATCHING, float("inf"))
        return commands


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _Fitness:
    """The highest log wins; among equal ones a slot that stays, then a preferred one."""

    log_end: positions.Position
    stays: bool
    preferred: bool
    slot: ids.SlotId


@functools.singledispatch
def _handle(event: Event, machine: FailoverMachine, now_s: float) -> list[Command]:
    raise TypeError(f"no failover event: {event!r}")


@_handle.register
def _(event: Tick, machine: FailoverMachine, now_s: float) -> list[Command]:
    return machine.tick(now_s)


@_handle.register
def _(event: PeersAnswered, machine: FailoverMachine, now_s: float) -> list[Command]:
    return machine.peers_answered(now_s, primary_reached=event.primary_reached)


@_handle.register
def _(event: LeaseAnswered, machine: FailoverMachine, now_s: float) -> list[Command]:
    return machine.lease_answered(now_s, event.answer)


@_handle.register
def _(event: FenceAnswered, machine: FailoverMachine, now_s: float) -> list[Command]:
    return machine.fence_answered(now_s, event)


@_handle.register
def _(event: PromoteAnswered, machine: FailoverMachine, now_s: float) -> list[Command]:
    return machine.promote_answered(now_s, event)
