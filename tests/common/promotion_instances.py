"""What the instances of ``promotion_world`` know, and which commits they send and acknowledge."""

import collections.abc
import dataclasses

from mustardswitch.internal import ids, positions, promotion
from tests.common import promotion_members, promotion_servers

NO_SERVER = ids.ServerId("none")
"""Stands for the server to which a record lets commits pass, if it lets none pass."""


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class Instance:
    """What an instance knows of the service."""

    reaches_store: bool = True
    reaches_instances: bool = True
    """Whether it exchanges datagrams with the others."""
    permitted: bool = False
    """Whether it may send commits: its records are current, or no instance has newer ones."""
    requested: ids.ServerId | None = None
    """The recorded promotion as it has read it."""
    announced: ids.ServerId | None = None
    """A recorded promotion that it was told of since it read the records."""
    leader: ids.ServerId | None = None
    led_last: ids.ServerId | None = None
    """The last server that was listed as the primary."""
    listed: dict[ids.ServerId, bool] = dataclasses.field(default_factory=dict)
    """The servers as it has read the list, and whether they are leaving."""
    expired: set[ids.ServerId] = dataclasses.field(default_factory=set)
    """Servers without an entry that count."""
    starts: dict[ids.ServerId, int] = dataclasses.field(default_factory=dict)
    """The start of each known server by its latest entry."""
    former: ids.ServerId | None = None
    """The primary whose entry was removed, until another one leads."""
    ever_known: set[ids.ServerId] = dataclasses.field(default_factory=set)
    recorded: set[ids.ServerId] = dataclasses.field(default_factory=set)
    """The members in the store's record as it was read last."""
    covered: dict[promotion_members.Member, positions.Position] = dataclasses.field(
        default_factory=dict
    )
    """Members that have ended, and the positions that another server had by then."""
    knows_all: bool = True
    """Whether no instance before it may have acknowledged commits."""
    unreachable: set[ids.ServerId] = dataclasses.field(default_factory=set)
    under_way: dict[promotion_servers.Commit, ids.ServerId] = dataclasses.field(
        default_factory=dict
    )
    """Commits that are not answered yet, and their servers."""
    abandoned: bool = False
    """Whether it has abandoned a commit, so that it will not hear of its outcome."""
    sent_above: dict[promotion_servers.Commit, positions.Position] = dataclasses.field(
        default_factory=dict
    )
    """A position that each of them is certainly above."""
    shown: dict[ids.ServerId, positions.Position] = dataclasses.field(default_factory=dict)
    """The highest position that a server has shown with an answer while it led."""
    acknowledged: dict[ids.ServerId, positions.Position] = dataclasses.field(default_factory=dict)
    """A position below the last acknowledged commit, by its server."""
    answered_at: dict[ids.ServerId, positions.Position] = dataclasses.field(default_factory=dict)
    """The highest position that came with the answer to a commit, by its server."""

    def known(self) -> set[ids.ServerId]:
        """Return the servers that may hold acknowledged commits."""
        return set(self.listed) | self.expired

    def may_commit(self, leader: ids.ServerId, *, held: bool, permission: bool) -> bool:
        """Return whether it may send commits; the records or the ``permission`` may not count."""
        known = all(
            promotion.may_take_commits(leader, requested=each)
            for each in (self.requested, self.announced)
        )
        return (known or not held) and (self.permitted or not permission)

    def send(self, commit: promotion_servers.Commit, leader: ids.ServerId) -> None:
        """Send a commit, which is under way until it is answered or abandoned."""
        self.under_way[commit] = leader
        self.sent_above[commit] = self.shown.get(leader, positions.ORIGIN)

    def receive_answer(self, commit: promotion_servers.Commit, shown: positions.Position) -> bool:
        """Acknowledge a commit to its caller; False if abandoned, or the server is cut off."""
        leader = self.under_way.get(commit)
        if leader is None or leader in self.unreachable:
            return False
        del self.under_way[commit]
        commit.acknowledged = True
        above = self.sent_above.pop(commit)
        self.shown[leader] = max(shown, self.shown.get(leader, positions.ORIGIN))
        self.acknowledged[leader] = max(above, self.acknowledged.get(leader, positions.ORIGIN))
        self.answered_at[leader] = max(shown, self.answered_at.get(leader, positions.ORIGIN))
        return True

    def is_clear_for(self, promoted: ids.ServerId | None) -> bool:
        """Return whether no commit to another server is under way."""
        return all(server == promoted for server in self.under_way.values())

    def abandon(self, *, but: ids.ServerId | None = None) -> None:
        """Give up commits to servers other than ``but``; callers learn that they are unknown."""
        self.abandoned |= not self.is_clear_for(but)
        self.under_way = {
            commit: server for commit, server in self.under_way.items() if server == but
        }

    def above(self, *, but: ids.ServerId | None) -> positions.Position | None:
        """Return the highest position that an acknowledged commit is certainly above."""
        known = [above for server, above in self.acknowledged.items() if server != but]
        return max(known, default=None)

    def acknowledged_end(self) -> positions.Position:
        """Return a position that no commit is above whose answer it has had."""
        return max(self.answered_at.values(), default=positions.ORIGIN)

    def end_permission(self, others: collections.abc.Iterable["Instance"]) -> None:
        """Stop commits, since the records are old, unless all others lack newer records, too."""
        others = [each for each in others if each is not self]
        silent = [each for each in others if each.reaches_store or not each.reaches_instances]
        if silent or not self.reaches_instances:
            self.permitted = False
            self.abandon()
            return
        # Those tell which promotions they know of.
        for other in others:
            self.announced = other.announced or other.requested or self.announced


@dataclasses.dataclass(kw_only=True, slots=True)
class Hold:
    """The holder's view of whether the instances hold commits for the promotion of a server."""

    promoted: ids.ServerId
    since: int
    """``World.periods`` when the store had confirmed the record."""
    confirmed: dict[int, positions.Position | None] = dataclasses.field(default_factory=dict)
    """Instances that have confirmed, and what they have acknowledged."""
    ends: dict[int, positions.Position] = dataclasses.field(default_factory=dict)
    """``Instance.acknowledged_end`` of those that have confirmed."""
    told_all: set[int] = dataclasses.field(default_factory=set)
    """Those of them before which no instance may have acknowledged commits."""
    unanswered: set[int] = dataclasses.field(default_factory=set)
    """Those that have had no answer to some commits."""

    def announce(
        self,
        holder: Instance,
        instances: collections.abc.Sequence[Instance],
    ) -> None:
        """Tell the instances of the record; those without commits under way confirm.

        Commits that are under way now are abandoned before the next announcement.
        """
        for number, instance in enumerate(instances):
            reached = instance.reaches_instances and holder.reaches_instances
            if instance is not holder and not reached:
                continue
            if instance.announced == self.promoted:
                instance.abandon(but=self.promoted)
            instance.announced = self.promoted
            if instance.is_clear_for(self.promoted):
                self.confirmed[number] = instance.above(but=self.promoted)
                self.ends[number] = instance.acknowledged_end()
                self.told_all |= {number} if instance.knows_all else set()
                self.unanswered |= {number} if instance.abandoned else set()

    def is_complete(self, instances: int, periods: int) -> bool:
        """Return whether no instance sends commits, or waits for the answer to one."""
        return periods > self.since or len(self.confirmed) == instances

    def above(self) -> positions.Position | None:
        """Return the highest position that an instance has certainly acknowledged beyond."""
        return max((each for each in self.confirmed.values() if each is not None), default=None)

    def acknowledged_end(
        self, instances: int, *, of_all: bool, answers_to_all: bool
    ) -> positions.Position | None:
        """Return a position that no acknowledged commit is above.

        None while any may not tell; without ``of_all`` that of the instances that have confirmed,
        without ``answers_to_all`` also beside commits that were not answered.
        """
        if of_all and len(self.told_all) < instances:
            return None
        if answers_to_all and self.unanswered:
            return None
        return max(self.ends.values(), default=None)
