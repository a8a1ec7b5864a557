"""Decides whether an instance may send commits, by how current its records of promotions are.

A promotion is recorded in the store before it is requested, and an instance that has read the
record sends no commits to another server. One that has not heard from the store cannot know
whether there is a record. So it may send commits only for ``PERMISSION_S`` after the time as of
which its records are current, and the holder of a claim that cannot stop the primary waits for
``HOLD_LIMIT_S`` unless all instances confirm earlier that they send none.

The holder asks the instances that are, or were lately, registered. So one that is not registered
by its own records sends no commits, apart from the time just after it has left.

While the store answers nobody, nothing is recorded. Instances tell each other when their records
are no longer current, and one that hears so from all others may go on.
"""

import collections.abc

from mustardswitch.internal import clock, ids

PERMISSION_S = 3.0
"""Time for which records of a moment allow commits; longer than records take to arrive in the
largest fleets, and as long as claims last."""
ABANDON_S = 0.3
"""Time for the answers to commits that are under way when commits are held back; after it their
outcome is unknown."""
CHECK_S = 0.1
"""Interval at which an instance checks for commits to abandon."""
WATCH_LAG_S = 1.0
"""Time for which watches of the store may hear of no change while it drops its history. An answer
without a change that comes meanwhile makes records seem more current than they are."""
HOLD_LIMIT_S = WATCH_LAG_S + PERMISSION_S + ABANDON_S + 2 * CHECK_S
"""Time from a record until no instance sends commits, or passes on an answer to one, without
having read it."""
STALE_S = 2.5
"""Age of the records from which an instance tells the others that it does not hear from the store;
older than records become in the largest fleets, where this would take most of the traffic."""
STALE_REPEAT_S = 0.4
"""Least interval at which that is repeated."""
STALE_REPEAT_PER_INSTANCE_S = 0.01
"""The interval in larger fleets, for each instance: all of them ask all others."""
MAX_STALE_REPEAT_S = 1.4
"""Longest such interval; twice within ``STALE_TTL_S``, since datagrams may be lost."""
STALE_TTL_S = 2.9
"""Time for which an answer to it counts, from the question on; less than ``PERMISSION_S``, as the
one that answers may record a promotion just after it."""


def stale_repeat_s(instances: int) -> float:
    """Return the interval at which stale records are told in a fleet, in seconds."""
    interval_s = STALE_REPEAT_PER_INSTANCE_S * instances
    return min(MAX_STALE_REPEAT_S, max(STALE_REPEAT_S, interval_s))


class CommitPermission:
    """How current the records of this instance are, and which others have none that are newer.

    All times are those of ``clock.now_s``, which counts the time that an instance is suspended.
    """

    def __init__(self) -> None:
        self.started_s = clock.now_s()
        """The start of this instance. An earlier one of its name may have confirmed a hold."""
        self.as_of_s = float("-inf")
        """When the store was asked for the records in force."""
        self.stale_peers: dict[ids.InstanceId, float] = {}
        """Instances that do not hear from the store, and when each was asked that said so."""
        self.interruptions = 0
        """How often the records were so old that answers to commits could not be passed on."""
        self.left_at_s = float("-inf")
        """When this instance began to end its registration."""

    def __repr__(self) -> str:
        return f"CommitPermission(as_of_s={self.as_of_s!r})"

    @property
    def has_left(self) -> bool:
        """Whether this instance has begun to end its registration."""
        return self.left_at_s > float("-inf")

    def note_current(self, as_of_s: float) -> None:
        """Record that the records lack no change of before ``as_of_s``."""
        if float("-inf") < self.as_of_s <= as_of_s - PERMISSION_S - ABANDON_S:
            self.interruptions += 1
        self.as_of_s = max(self.as_of_s, as_of_s)

    def note_stale_peer(self, instance: ids.InstanceId, asked_at_s: float) -> None:
        """Record that another instance, when asked, says that it does not hear from the store."""
        self.stale_peers[instance] = max(asked_at_s, self.stale_peers.get(instance, asked_at_s))

    def is_current(self, now_s: float) -> bool:
        """Return whether the records alone allow commits."""
        return self.started_s <= self.as_of_s and now_s < self.as_of_s + PERMISSION_S

    def is_stale(self, now_s: float) -> bool:
        """Return whether the others are to be told that this instance lacks newer records."""
        return self.as_of_s > float("-inf") and now_s >= self.as_of_s + STALE_S

    def allows(
        self,
        now_s: float,
        *,
        registered: bool,
        others: collections.abc.Iterable[ids.InstanceId],
    ) -> bool:
        """Return whether commits may be sent now.

        ``registered`` tells whether the records list this instance, and ``others`` are the other
        listed instances. An instance that has read no records yet serves nobody.
        """
        if self.as_of_s == float("-inf"):
            return True
        if not registered and now_s >= self.left_at_s + PERMISSION_S:
            return False
        return self.is_current(now_s) or not self.unheard(now_s, others)

    def unheard(
        self, now_s: float, others: collections.abc.Iterable[ids.InstanceId]
    ) -> set[ids.InstanceId]:
        """Return the instances that have not said lately that their records are not current."""
        oldest_s = now_s - STALE_TTL_S
        return {
            instance
            for instance in others
            if self.stale_peers.get(instance, float("-inf")) < oldest_s
        }
