"""Gathers what the instances tell of the commits that they have acknowledged.

The decision is ``acknowledged_end.find``. Ages that another instance tells count from when it was
first asked, which is before it answered.
"""

import collections.abc

from mustardswitch.internal import (
    acknowledged_end,
    clock,
    commit_permission,
    ids,
    positions,
)
from mustardswitch.peers import datagrams, told_commits
from mustardswitch.proxy import directory, service

MAX_GAP_S = commit_permission.STALE_S
"""Time for which the list of instances may not be confirmed without an instance coming and going
unseen; records do not become older in the largest fleets, and a registration lasts longer."""


class AcknowledgedEnds:
    """What other instances have told for the promotions that this one has announced."""

    def __init__(self, *, directory: directory.Directory) -> None:
        self.directory = directory
        self.told: dict[
            datagrams.RecordedPromotion, dict[ids.InstanceId, acknowledged_end.Told]
        ] = {}
        self.asked_at_s: dict[ids.ServiceName, tuple[datagrams.RecordedPromotion, float]] = {}
        """When the instances were asked first, for the latest promotion of each service."""
        self.checked_at_s = float("-inf")
        self.watched_since_s = clock.now_s()
        """Since when no instance can have been listed and removed unseen."""
        self.found: dict[datagrams.RecordedPromotion, positions.Position] = {}
        """Positions that were found. Instances that start or leave later change nothing, since
        commits have ended by then."""

    def __repr__(self) -> str:
        return f"AcknowledgedEnds(directory={self.directory!r})"

    def check(self) -> None:
        """Note whether the list of instances is followed; must be called at short intervals."""
        now_s = clock.now_s()
        followed_s = min(self.checked_at_s, self.directory.permission.as_of_s)
        if now_s > followed_s + MAX_GAP_S:
            self.watched_since_s = now_s
        self.checked_at_s = now_s

    def tell(self, target: service.Service | None) -> told_commits.ToldCommits | None:
        """Return what this instance tells of a service, which may be unknown to it.

        None if it has acknowledged a commit whose position it does not know.
        """
        now_s = clock.now_s()
        if target is None:
            answered_s = now_s - self.directory.permission.started_s
            return told_commits.ToldCommits(shown=None, answered_s=answered_s)
        if target.acknowledged.has_unplaced:
            return None
        return told_commits.ToldCommits(
            shown=target.acknowledged.highest,
            answered_s=now_s - self._answered_since_s(target),
            samples=tuple(
                told_commits.AgedSample(
                    sent_s=now_s - each.sent_after_s,
                    answered_s=now_s - each.answered_by_s,
                    position=each.position,
                )
                for each in target.samples.spread(told_commits.MAX_SAMPLES)
            ),
        )

    def _answered_since_s(self, target: service.Service) -> float:
        """Return since when this process has run, and had an answer to each commit."""
        return max(self.directory.permission.started_s, target.commits.unanswered_at_s)

    def note_asked(self, promoted: datagrams.RecordedPromotion) -> None:
        """Record that the instances are asked for a promotion now, or were before."""
        known = self.asked_at_s.get(promoted.service)
        if known is None or known[0] != promoted:
            self.asked_at_s[promoted.service] = promoted, clock.now_s()
        self.told.setdefault(promoted, {})

    def note_told(
        self,
        instance: ids.InstanceId,
        promoted: datagrams.RecordedPromotion,
        told: told_commits.ToldCommits | None,
    ) -> None:
        """Record what an instance tells as it confirms the hold for a promotion."""
        known, asked = self.told.get(promoted), self.asked_at_s.get(promoted.service)
        if known is None or asked is None or asked[0] != promoted:
            return
        if told is None:
            known.pop(instance, None)
            return
        received = acknowledged_end.Told(
            shown=told.shown,
            answered_since_s=clock.now_s() - told.answered_s,
            samples=tuple(
                acknowledged_end.Sample(
                    sent_after_s=asked[1] - each.sent_s,
                    answered_by_s=clock.now_s() - each.answered_s,
                    position=each.position,
                )
                for each in told.samples
            ),
        )
        before = known.get(instance)
        known[instance] = received if before is None else before.merge(received)

    def find(
        self,
        promoted: datagrams.RecordedPromotion,
        *,
        instances: collections.abc.Collection[ids.InstanceId],
    ) -> positions.Position | None:
        """Return a position that no acknowledged commit is above; None if none is known.

        ``instances`` are the other ones that may send commits. Commits that the promoted server
        has taken since the record are not known.
        """
        self.check()
        target = self.directory.services[promoted.service]
        told = self.told.get(promoted, {})
        if target.acknowledged.has_unplaced or not told.keys() >= set(instances):
            return None
        own = acknowledged_end.Told(
            shown=target.acknowledged.highest,
            answered_since_s=self._answered_since_s(target),
            samples=tuple(target.samples.all()),
        )
        reports = [own, *told.values()]
        end = self.found.get(promoted)
        if end is None:
            end = acknowledged_end.find(reports, unheard_until_s=self.unheard_until_s())
        if end is None:
            return None
        shown = [each.shown for each in reports if each.shown is not None]
        self.found[promoted] = max([end, *shown])
        return self.found[promoted]

    def unheard_until_s(self) -> float:
        """Return until when an instance may have sent commits that does not report.

        It was listed, and removed, before this one looked at the list, or since.
        """
        listed = self.directory.instances
        looked_s = max(self.watched_since_s, listed.first_read_at_s)
        return max(looked_s, listed.last_removed_s) + commit_permission.HOLD_LIMIT_S

    def forget(self, name: ids.ServiceName) -> None:
        """Forget what was told for a service; a later change asks again."""
        for promoted in [promoted for promoted in self.told if promoted.service == name]:
            del self.told[promoted]
            self.found.pop(promoted, None)
