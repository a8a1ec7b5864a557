"""Follows the slots of a group: what a majority holds, how old a replica is, who leads.

Why log evidence confirms a write: a slot appends entries of a term only while it has promised no
higher term. A later primary fenced a majority, which shares a slot with the majority that holds
the entry, and it took over the highest log among them, so it holds the entry too. This is the
commit rule of Raft for entries of the current term (Ongaro and Ousterhout, 2014, section 5.4).
"""

import collections
import collections.abc
import dataclasses

from mustardswitch.internal import groups, ids, positions

KEPT_TERMS = 8
ANCHORS_KEPT = 600


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Observation:
    """A status and when the question for it was sent."""

    status: groups.SlotStatus
    query_sent_at_s: float
    answered_at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgeAnchor:
    """The end of the primary's log at a moment of this instance's clock."""

    moment_s: float
    log_end: positions.Position


class GroupTracker:
    """Everything that one instance concludes from the statuses of one group."""

    def __init__(
        self, *, database: ids.DatabaseName, slots: collections.abc.Iterable[ids.SlotId]
    ) -> None:
        self.database = database
        self.slots = frozenset(slots)
        self.observations: dict[ids.SlotId, Observation] = {}
        self.confirmed_by_term: dict[ids.Term, ids.Offset] = {}
        self.held_by_term: dict[ids.Term, dict[ids.SlotId, ids.Offset]] = {}
        self.leaders: dict[ids.Term, ids.SlotId] = {}
        self.view = groups.GroupView(database=database, term=ids.Term(0), primary=None)
        self.age_anchors: collections.deque[AgeAnchor] = collections.deque(maxlen=ANCHORS_KEPT)

    def __repr__(self) -> str:
        return f"GroupTracker(database={self.database!r}, slots={sorted(self.slots)!r})"

    @property
    def majority(self) -> int:
        """How many slots make a majority."""
        return positions.majority_size(len(self.slots))

    def observe(self, observation: Observation) -> None:
        """Take one status into account."""
        status = observation.status
        if status.slot not in self.slots:
            return
        known = self.observations.get(status.slot)
        if known is not None and known.query_sent_at_s > observation.query_sent_at_s:
            return
        self.observations[status.slot] = observation
        self._note_leader(status)
        leader = self.leaders.get(status.promised)
        if leader is not None:
            self.adopt(
                groups.GroupView(database=self.database, term=status.promised, primary=leader)
            )
        self.note_held(status.slot, status.log_end)
        self._anchor_age()

    def adopt(self, view: groups.GroupView) -> bool:
        """Take over a view of a higher term; true when it changed."""
        if view.term <= self.view.term or view.primary not in self.slots:
            return False
        self.view = view
        return True

    def note_held(self, slot: ids.SlotId, position: positions.Position) -> None:
        """Take into account that a slot has shown, written or reported ``position``.

        The evidence never expires: a slot drops an entry again only for a primary whose fence
        came after the slot had appended it.
        """
        held = self.held_by_term.setdefault(position.term, {})
        if position.offset > held.get(slot, 0):
            held[slot] = position.offset
            self._confirm(position.term, held)

    def _confirm(self, term: ids.Term, held: dict[ids.SlotId, ids.Offset]) -> None:
        """Work out up to which offset a majority holds the log of ``term``.

        A replica's entries of a term came from that term's primary, so the primary counts as a
        holder of whatever its replicas hold, also while it is out of reach.
        """
        leader = self.leaders.get(term)
        if leader is not None:
            held[leader] = max(held.values())
        if len(held) < self.majority:
            return
        offset = sorted(held.values(), reverse=True)[self.majority - 1]
        if offset > self.confirmed_by_term.get(term, 0):
            self.confirmed_by_term[term] = offset
            self._forget_old_terms()

    def _note_leader(self, status: groups.SlotStatus) -> None:
        if status.role is groups.SlotRole.PRIMARY:
            self.leaders[status.promised] = status.slot
        elif status.role is groups.SlotRole.REPLICA and status.following in self.slots:
            self.leaders.setdefault(status.promised, status.following)

    def _forget_old_terms(self) -> None:
        for term in sorted(self.confirmed_by_term)[:-KEPT_TERMS]:
            del self.confirmed_by_term[term]
            self.leaders.pop(term, None)
            self.held_by_term.pop(term, None)

    def is_confirmed(self, position: positions.Position) -> bool:
        """Tell whether a majority is known to hold ``position``."""
        if position == positions.ORIGIN:
            return True
        return position.offset <= self.confirmed_by_term.get(position.term, 0)

    def promised_by_majority(self, term: ids.Term, *, since_s: float) -> bool:
        """Tell whether a majority, asked at or after ``since_s``, still promised ``term``."""
        count = sum(
            observation.status.promised == term and observation.query_sent_at_s >= since_s
            for observation in self.observations.values()
        )
        return count >= self.majority

    def initial_min_position(self, *, since_s: float) -> positions.Position | None:
        """Return a floor for a session that arrived at ``since_s``, or None when not yet known."""
        reported = [
            observation.status.log_end
            for observation in self.observations.values()
            if observation.query_sent_at_s >= since_s
        ]
        return positions.initial_min_position(reported, slot_count=len(self.slots))

    def _anchor_age(self) -> None:
        """Record a moment at which the primary was certainly the only one, and its log's end.

        A majority that still promised the primary's term after the moment rules out that another
        primary had acknowledged anything by then.
        """
        primary = self.observations.get(self.view.primary) if self.view.primary else None
        if primary is None or primary.status.role is not groups.SlotRole.PRIMARY:
            return
        asked = sorted(
            (
                observation.query_sent_at_s
                for observation in self.observations.values()
                if observation.status.promised == primary.status.promised
            ),
            reverse=True,
        )
        if len(asked) < self.majority:
            return
        moment_s = min(asked[self.majority - 1], primary.query_sent_at_s)
        if not self.age_anchors or moment_s > self.age_anchors[-1].moment_s:
            anchor = AgeAnchor(moment_s=moment_s, log_end=primary.status.log_end)
            self.age_anchors.append(anchor)

    def age_s(self, position: positions.Position, *, now_s: float) -> float:
        """Bound the age of data at ``position`` from above; infinite when nothing is known."""
        for anchor in reversed(self.age_anchors):
            if position >= anchor.log_end:
                return now_s - anchor.moment_s
        return float("inf")
