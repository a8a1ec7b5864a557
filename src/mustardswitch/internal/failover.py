"""Decides when a group needs another primary and drives the change, step by step.

An attempt queries the other gateways, claims a lease in the store to keep two instances from trying
at once, fences a majority of the slots with a new term, promotes the fenced slot with the highest
log and makes the others follow it. Safety rests on the fence alone: the lease may be missing, late
or held twice. The state machine takes events and the time and returns commands; nothing here waits
or sends.
"""

import dataclasses
import enum
import functools

from mustardswitch.internal import confirmations, groups, ids, positions

PEER_ANSWER_TIMEOUT_S = 0.15
"""Seconds to wait for the answers of the other gateways."""
LEASE_ANSWER_TIMEOUT_S = 0.15
"""Seconds to wait for the store's answer to a claim."""
FENCE_ANSWER_TIMEOUT_S = 0.4
"""Seconds to wait for the slots to promise a term."""
PROMOTE_ANSWER_TIMEOUT_S = 0.4
"""Seconds to wait for the chosen slot's answer to the promotion request."""
MAX_PENDING_FENCE_S = FENCE_ANSWER_TIMEOUT_S + PROMOTE_ANSWER_TIMEOUT_S
"""Seconds from a fence within which its proposer still promotes a slot. A fence without a promotion
counts as abandoned only after them."""
RETRY_S = 0.3
"""Seconds after an attempt before the next one, at rank 0; each rank adds as much."""
RANK_DELAY_S = 0.15
"""Seconds between suspecting the primary and starting an attempt, per rank of the instance."""
SLOT_MAX_AGE_S = 1.2
"""Age in seconds up to which a slot's status is used."""
PRIMARY_MAX_AGE_S = 0.5
"""Age in seconds up to which the primary's status shows that it is reachable."""


class Phase(enum.Enum):
    """Step that an attempt has reached."""

    WATCHING = "watching"
    """No attempt is under way: none is needed, or this instance may not act yet."""
    ASKING = "asking"
    """The other gateways are asked whether they reach the primary."""
    CLAIMING = "claiming"
    """The lease is being claimed."""
    FENCING = "fencing"
    """The slots are requested to promise the new term."""
    PROMOTING = "promoting"
    """The chosen slot is requested to lead."""


class LeaseAnswer(enum.Enum):
    """The store's answer to a claim of the lease."""

    GRANTED = "granted"
    """This instance holds the lease."""
    HELD = "held"
    """Another instance holds it."""
    UNAVAILABLE = "unavailable"
    """The store did not answer."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QueryPeers:
    """Ask the other gateways whether they reach the primary."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClaimLease:
    """Claim the lease of this group in the store."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseLease:
    """Release the lease of this group in the store."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FenceSlots:
    """Request all slots to promise ``term``."""

    term: ids.Term


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromoteSlot:
    """Request one slot to lead at ``term``."""

    slot: ids.SlotId
    term: ids.Term


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FollowPrimary:
    """Request one slot to follow the primary of ``term``."""

    slot: ids.SlotId
    primary: ids.SlotId
    term: ids.Term


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PublishView:
    """Announce the primary and its term to the store and the peers of this instance."""

    view: groups.GroupView


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopWrites:
    """Start no new write at this gateway, because a handover begins."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AllowWrites:
    """Start new writes again at this gateway, after ``StopWrites``."""


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
    """Time has passed, so that a step may be due."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeersAnswered:
    """The other gateways answered, or the time for their answers is up."""

    primary_reached: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseAnswered:
    """The store answered a claim, or the time for its answer is up."""

    answer: LeaseAnswer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FenceAnswered:
    """A slot answered a request to promise a term."""

    term: ids.Term
    accepted: bool
    status: groups.SlotStatus


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PromoteAnswered:
    """A slot answered a promotion request."""

    term: ids.Term
    accepted: bool
    status: groups.SlotStatus


Event = Tick | PeersAnswered | LeaseAnswered | FenceAnswered | PromoteAnswered


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FailoverSettings:
    """Settings from the document and from this instance's role in the group."""

    suspicion_s: float
    """Seconds without an answer after which the primary is suspected; a third of them once the
    primary's instance has refused a connection."""
    rank: int
    """Rank of this instance among the gateways of the group; lower ones act first."""
    leaving: frozenset[ids.SlotId] = frozenset()
    """Slots that should not lead if another one can."""
    preferred: frozenset[ids.SlotId] = frozenset()
    """Slots in the region that holds most of the group: with the primary there, most reads and
    confirmations stay off the link between regions."""
    manages_handover: bool = False
    """Whether this instance is the gateway of the primary and may start a handover."""


class FailoverMachine:
    """State machine with which one instance drives the failover of one group."""

    def __init__(self, *, tracker: confirmations.GroupTracker, settings: FailoverSettings) -> None:
        self.tracker = tracker
        self.settings = settings
        self.phase = Phase.WATCHING
        self.phase_ends_s = float("inf")
        self.watching_since_s = float("inf")
        self.suspected_since_s: float | None = None
        self.next_attempt_s = float("-inf")
        self.refused_since_s: float | None = None
        self.highest_promised = ids.Term(0)
        """The highest term that a slot reported to have promised."""
        self.highest_promised_since_s = float("-inf")
        """When that term was first reported."""
        self.term = ids.Term(0)
        self.fenced: dict[ids.SlotId, groups.SlotStatus] = {}
        self.chosen: ids.SlotId | None = None
        self.handing_over = False
        self.holds_lease = False

    def __repr__(self) -> str:
        return f"FailoverMachine(tracker={self.tracker!r}, settings={self.settings!r})"

    def note_primary_refused_connection(self, now_s: float) -> None:
        """Record that the primary's instance refused a connection: its process has ended."""
        if self.refused_since_s is None:
            self.refused_since_s = now_s

    def note_primary_answered(self) -> None:
        """Record that the primary answered."""
        self.refused_since_s = None

    def handle(self, event: Event, *, now_s: float) -> list[Command]:
        """Process one event and return the commands to execute."""
        return _handle(event, self, now_s)

    # Steps, called by the event handlers

    def tick(self, now_s: float) -> list[Command]:
        """Start an attempt when one is due, or end a step whose answers did not come in time."""
        self.watching_since_s = min(self.watching_since_s, now_s)
        self._note_promises(now_s)
        if self.phase is Phase.WATCHING:
            return [*self._repairs(now_s), *self._start_if_due(now_s)]
        if now_s < self.phase_ends_s:
            return []
        if self.phase is Phase.ASKING:
            return self.peers_answered(now_s, primary_reached=False)
        if self.phase is Phase.CLAIMING:
            return self.lease_answered(now_s, LeaseAnswer.UNAVAILABLE)
        if self.phase is Phase.FENCING:
            return self._choose(now_s, final=True)
        return self._finish(now_s)

    def _note_promises(self, now_s: float) -> None:
        for observation in self.tracker.observations.values():
            if observation.status.promised > self.highest_promised:
                self.highest_promised = observation.status.promised
                self.highest_promised_since_s = now_s

    def _start_if_due(self, now_s: float) -> list[Command]:
        if now_s < self.next_attempt_s or not self._majority_reachable(now_s):
            return []
        if self._handover_due(now_s):
            self.handing_over = True
            self._enter(Phase.CLAIMING, now_s + LEASE_ANSWER_TIMEOUT_S)
            return [StopWrites(), ClaimLease()]
        if not self._primary_suspected(now_s):
            self.suspected_since_s = None
            return []
        if self.suspected_since_s is None:
            self.suspected_since_s = now_s
        if now_s - self.suspected_since_s < self.settings.rank * RANK_DELAY_S:
            return []
        self._enter(Phase.ASKING, now_s + PEER_ANSWER_TIMEOUT_S)
        return [QueryPeers()]

    def _majority_reachable(self, now_s: float) -> bool:
        return len(self._recent_statuses(now_s)) >= self.tracker.majority

    def _recent_statuses(self, now_s: float) -> list[groups.SlotStatus]:
        return [
            observation.status
            for observation in self.tracker.observations.values()
            if now_s - observation.answered_at_s <= SLOT_MAX_AGE_S
        ]

    def _primary_suspected(self, now_s: float) -> bool:
        primary = self.tracker.view.primary
        recent = self._recent_statuses(now_s)
        highest = max((status.promised for status in recent), default=ids.Term(0))
        if primary is None or highest > self.tracker.view.term:
            return self._has_no_primary(now_s, recent, highest)
        observation = self.tracker.observations.get(primary)
        if observation is not None and now_s - observation.answered_at_s <= PRIMARY_MAX_AGE_S:
            return observation.status.role is not groups.SlotRole.PRIMARY
        return self._silent_long_enough(now_s, observation) and not self._reached_by_replica(recent)

    def _has_no_primary(
        self, now_s: float, recent: list[groups.SlotStatus], highest: ids.Term
    ) -> bool:
        """Return whether the latest fence has led to no promotion, or the group is new.

        Statuses that arrive late show a fence before its promotion, so its proposer is given the
        time that a promotion may take.
        """
        pending_s = now_s - self.highest_promised_since_s
        if highest > 0 and pending_s < MAX_PENDING_FENCE_S:
            return False
        return not any(
            status.promised == highest and status.role is not groups.SlotRole.FENCED
            for status in recent
        )

    def _silent_long_enough(
        self, now_s: float, observation: confirmations.Observation | None
    ) -> bool:
        if self.refused_since_s is not None:
            return now_s - self.refused_since_s >= self.settings.suspicion_s / 3
        answered_at_s = self.watching_since_s if observation is None else observation.answered_at_s
        return now_s - answered_at_s >= self.settings.suspicion_s

    def _reached_by_replica(self, recent: list[groups.SlotStatus]) -> bool:
        """Return whether the primary answered a replica within half the suspicion time."""
        limit_ms = self.settings.suspicion_s * 1000.0 / 2
        return any(
            status.role is groups.SlotRole.REPLICA
            and status.following == self.tracker.view.primary
            and status.primary_silence_ms < limit_ms
            for status in recent
        )

    def _handover_due(self, now_s: float) -> bool:
        view = self.tracker.view
        if not self.settings.manages_handover or view.primary not in self.settings.leaving:
            return False
        recent = self._recent_statuses(now_s)
        return any(
            status.slot not in self.settings.leaving
            and status.slot != view.primary
            and status.promised == view.term
            and status.log_end.term == view.term
            for status in recent
        )

    def _repairs(self, now_s: float) -> list[Command]:
        """Return commands for slots that came back fenced or still lead at a lower term.

        Such slots are made to follow the primary.
        """
        view = self.tracker.view
        if view.primary is None:
            return []
        return [
            FollowPrimary(slot=status.slot, primary=view.primary, term=view.term)
            for status in self._recent_statuses(now_s)
            if status.slot != view.primary
            and status.promised <= view.term
            and (status.promised < view.term or status.following != view.primary)
        ]

    def peers_answered(self, now_s: float, *, primary_reached: bool) -> list[Command]:
        """Claim the lease, or end the attempt if others reach the primary."""
        if self.phase is not Phase.ASKING:
            return []
        if primary_reached or not self._primary_suspected(now_s):
            return self._finish(now_s)
        self._enter(Phase.CLAIMING, now_s + LEASE_ANSWER_TIMEOUT_S)
        return [ClaimLease()]

    def lease_answered(self, now_s: float, answer: LeaseAnswer) -> list[Command]:
        """Fence the slots, unless another instance holds the lease."""
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
        self._enter(Phase.FENCING, now_s + FENCE_ANSWER_TIMEOUT_S)
        return [FenceSlots(term=self.term)]

    def fence_answered(self, now_s: float, event: FenceAnswered) -> list[Command]:
        """Collect promises and request the promotion once enough slots have promised the term.

        A failover needs a majority; a handover also waits for the remaining slots until the step
        times out.
        """
        if self.phase is not Phase.FENCING or event.term != self.term:
            return []
        if not event.accepted:
            return []
        self.fenced[event.status.slot] = event.status
        return self._choose(now_s, final=False)

    def _choose(self, now_s: float, *, final: bool) -> list[Command]:
        all_fenced = len(self.fenced) == len(self.tracker.slots)
        waits_for_more = self.handing_over and not all_fenced and not final
        if len(self.fenced) < self.tracker.majority or waits_for_more:
            return self._finish(now_s) if final else []
        best = max(self.fenced.values(), key=self._promotion_key)
        self.chosen = best.slot
        self._enter(Phase.PROMOTING, now_s + PROMOTE_ANSWER_TIMEOUT_S)
        return [PromoteSlot(slot=best.slot, term=self.term)]

    def _promotion_key(self, status: groups.SlotStatus) -> "_PromotionKey":
        return _PromotionKey(
            log_end=status.log_end,
            not_leaving=status.slot not in self.settings.leaving,
            preferred=status.slot in self.settings.preferred,
            slot=status.slot,
        )

    def promote_answered(self, now_s: float, event: PromoteAnswered) -> list[Command]:
        """Publish the new primary and make the other slots follow it."""
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
        self.next_attempt_s = now_s + RETRY_S * (1 + self.settings.rank)
        self._enter(Phase.WATCHING, float("inf"))
        return commands


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class _PromotionKey:
    """Sort key of a promotion.

    The highest log wins; among equal logs a slot that is not leaving, then a preferred one.
    """

    log_end: positions.Position
    not_leaving: bool
    preferred: bool
    slot: ids.SlotId


@functools.singledispatch
def _handle(event: Event, machine: FailoverMachine, now_s: float) -> list[Command]:
    raise TypeError(f"not a failover event: {event!r}")


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
