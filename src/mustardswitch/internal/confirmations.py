"""Tracks the slots of a group: what a majority holds, how old a replica's data is, who leads.

Log evidence confirms a write because a slot appends entries of a term only while it has promised
no higher term. A later primary fenced a majority, which shares a slot with the majority that holds
the entry, and it took over the highest log among them, so it holds the entry too. This is the
commit rule of Raft for entries of the current term (Ongaro and Ousterhout, 2014, section 5.4).
"""

import collections
import collections.abc
import dataclasses

from mustardswitch.internal import groups, ids, positions

MAX_TERMS = 8
"""Number of terms whose confirmed offsets are kept."""
MAX_AGE_ANCHORS = 600
"""Number of age anchors that are kept; the oldest are dropped first."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Observation:
    """A slot's status, with the times of the query and of its answer."""

    status: groups.SlotStatus
    query_sent_at_s: float
    """Time in seconds at which the status query was sent."""
    answered_at_s: float
    """Time in seconds at which the answer was received."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgeAnchor:
    """The end of the primary's log at a time when it was certainly the only primary."""

    as_of_s: float
    """Seconds on this instance's clock."""
    log_end: positions.Position


class GroupTracker:
    """The state of one group, as one instance derives it from slot statuses."""

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
        self.age_anchors: collections.deque[AgeAnchor] = collections.deque(maxlen=MAX_AGE_ANCHORS)

    def __repr__(self) -> str:
        return f"GroupTracker(database={self.database!r}, slots={sorted(self.slots)!r})"

    @property
    def majority(self) -> int:
        """Number of slots that form a majority."""
        return positions.majority_size(len(self.slots))

    def observe(self, observation: Observation) -> None:
        """Update the state from one status.

        Ignores unknown slots, and a status whose query was sent before that of the known one.
        """
        status = observation.status
        if status.slot not in self.slots:
            return
        previous = self.observations.get(status.slot)
        if previous is not None and previous.query_sent_at_s > observation.query_sent_at_s:
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
        """Adopt a view of a higher term; true if the view changed."""
        if view.term <= self.view.term or view.primary not in self.slots:
            return False
        self.view = view
        return True

    def note_held(self, slot: ids.SlotId, position: positions.Position) -> None:
        """Record evidence that a slot holds the log up to ``position``.

        The slot has written the position, shown it in a read, or reported it in a status. The
        evidence never expires: a slot drops an entry again only for a primary whose fence came
        after the slot had appended it.
        """
        held = self.held_by_term.setdefault(position.term, {})
        if position.offset > held.get(slot, 0):
            held[slot] = position.offset
            self._confirm(position.term, held)

    def _confirm(self, term: ids.Term, held: dict[ids.SlotId, ids.Offset]) -> None:
        """Compute the offset up to which a majority holds the log of ``term``.

        A replica's entries of a term came from that term's primary, so the primary counts as a
        holder of whatever its replicas hold, even while it is unreachable.
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
        for term in sorted(self.confirmed_by_term)[:-MAX_TERMS]:
            del self.confirmed_by_term[term]
            self.leaders.pop(term, None)
            self.held_by_term.pop(term, None)

    def is_confirmed(self, position: positions.Position) -> bool:
        """Return whether a majority is known to hold ``position``."""
        if position == positions.ORIGIN:
            return True
        return position.offset <= self.confirmed_by_term.get(position.term, 0)

    def promised_by_majority(self, term: ids.Term, *, since_s: float) -> bool:
        """Return whether a majority, queried at or after ``since_s``, still promised ``term``."""
        count = sum(
            observation.status.promised == term and observation.query_sent_at_s >= since_s
            for observation in self.observations.values()
        )
        return count >= self.majority

    def initial_min_position(self, *, since_s: float) -> positions.Position | None:
        """Return the initial minimum position of a session that began at ``since_s``.

        None means that fewer than a majority have answered queries sent since then.
        """
        reported = [
            observation.status.log_end
            for observation in self.observations.values()
            if observation.query_sent_at_s >= since_s
        ]
        return positions.initial_min_position(reported, slot_count=len(self.slots))

    def _anchor_age(self) -> None:
        """Record a time at which the primary was certainly the only one, and its log's end.

        A majority that still promised the primary's term after that time rules out that another
        primary had acknowledged anything by then.
        """
        primary = self.observations.get(self.view.primary) if self.view.primary else None
        if primary is None or primary.status.role is not groups.SlotRole.PRIMARY:
            return
        query_times_s = sorted(
            (
                observation.query_sent_at_s
                for observation in self.observations.values()
                if observation.status.promised == primary.status.promised
            ),
            reverse=True,
        )
        if len(query_times_s) < self.majority:
            return
        as_of_s = min(query_times_s[self.majority - 1], primary.query_sent_at_s)
        if not self.age_anchors or as_of_s > self.age_anchors[-1].as_of_s:
            anchor = AgeAnchor(as_of_s=as_of_s, log_end=primary.status.log_end)
            self.age_anchors.append(anchor)

    def age_s(self, position: positions.Position, *, now_s: float) -> float:
        """Return an upper bound in seconds on the age of data at ``position``.

        Infinite when no known log end is covered by the position.
        """
        for anchor in reversed(self.age_anchors):
            if position >= anchor.log_end:
                return now_s - anchor.as_of_s
        return float("inf")
