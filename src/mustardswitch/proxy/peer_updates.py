"""Exchanges updates with the other instances: votes, recorded promotions, and stale records."""

import collections.abc
import dataclasses

from mustardswitch import events
from mustardswitch.internal import clock, commit_permission, former_primary, ids, positions
from mustardswitch.peers import datagrams
from mustardswitch.proxy import (
    acknowledged_ends,
    commit_holds,
    directory,
    notice_exchange,
    peer_addresses,
    permission_log,
    ports,
    relayed_pauses,
    service,
    stale_updates,
    stop_orders,
)

ANNOUNCE_REPEAT_S = 0.1
"""Interval at which a recorded promotion is announced to instances that have not confirmed it; a
round trip between regions fits twice."""


class PeerUpdates:
    """Handles the updates that this instance receives, and sends those that are due."""

    def __init__(
        self, *, directory: directory.Directory, peers: datagrams.PeerDatagrams | None = None
    ) -> None:
        self.directory = directory
        self.peers = peers
        self.held: dict[
            datagrams.RecordedPromotion, dict[ids.InstanceId, positions.Position | None]
        ] = {}
        """Confirmations of the promotions that this instance has announced."""
        self.acknowledged_ends = acknowledged_ends.AcknowledgedEnds(directory=directory)
        self.addresses = peer_addresses.PeerAddresses(directory=directory)
        self.stop_orders = stop_orders.StopOrders()
        self.primary_reports: dict[
            datagrams.StopOrder, dict[ids.InstanceId, tuple[former_primary.Report, float]]
        ] = {}
        """What other instances know of primaries that this one replaces, and since when."""
        self.reported: dict[ids.ServiceName, datagrams.RecordedPromotion] = {}
        """Promotions for which the confirmation of the hold was logged last."""
        self.proved_told: dict[ids.ServiceName, datagrams.ProvedPromotion] = {}
        """The promotions whose proof the other instances were told last."""
        self.announced_at_s: dict[ids.ServiceName, float] = {}
        self.seen: dict[ids.InstanceId, tuple[directory.Peer, float]] = {}
        """Other instances that are or were registered, and until when they may have been listed."""
        self.listed_before: frozenset[ids.InstanceId] = frozenset()
        """Those that were listed when they were looked at last."""
        self.stale_sent_at_s = float("-inf")
        self.permission_log = permission_log.PermissionLog(directory=directory)
        self.notices = notice_exchange.NoticeExchange(directory=directory)
        self.pause_relays = relayed_pauses.PauseRelays(directory=directory)
        self.relayed_pauses = relayed_pauses.RelayedPauses(directory=directory, peers=peers)

    def __repr__(self) -> str:
        return f"PeerUpdates(directory={self.directory!r})"

    def check(self) -> None:
        """Tell the others when records are stale, and abandon commits.

        Must be called every ``commit_permission.CHECK_S``.
        """
        self.acknowledged_ends.check()
        self.note_instances()
        self.stop_orders.expire()
        self.pause_relays.expire()
        self.addresses.expire()
        if self.peers is not None:
            self.notices.check(self.peers.send)
        self._tell_stale()
        self.permission_log.check()
        for target in self.directory.services.values():
            abandoned = target.commits.abandon()
            if abandoned:
                self.directory.registry.count("commits_abandoned", target.name, amount=abandoned)
                closed = target.commits.abandoned
                oldest_s = clock.now_s() - min(commit.sent_at_s for commit in closed)
                events.log(
                    events.Event.COMMITS_ABANDONED,
                    commits=abandoned,
                    oldest_s=round(oldest_s, 3),
                    servers=" ".join(sorted({commit.server for commit in closed})),
                    service=target.name,
                    announced=target.commits.awaited,
                    permitted=target.commits.permitted(),
                )

    def note_instances(self) -> None:
        """Remember the registered instances, which may send commits for a while without an entry.

        Must be called every ``commit_permission.CHECK_S``.
        """
        now_s = clock.now_s()
        oldest_s = now_s - commit_permission.HOLD_LIMIT_S
        listed = frozenset(self.directory.other_instances())
        for name in self.listed_before - listed:
            # It may have been listed until now: this instance may have been frozen since the last
            # call.
            self.seen[name] = (self.seen[name][0], now_s)
        self.seen = {name: known for name, known in self.seen.items() if known[1] >= oldest_s}
        self.listed_before = listed
        for name in listed:
            self.seen[name] = (self.directory.instances.entries[name], now_s)

    # Receiving

    def receive(self, update: datagrams.PeerUpdate) -> None:
        """Apply an update of another instance."""
        self.addresses.note_heard(update)
        self.directory.receive_update(update)
        if update.stale and update.answers_s is not None:
            self.directory.permission.note_stale_peer(update.instance, update.answers_s)
        for held in update.held:
            promoted = datagrams.RecordedPromotion(
                service=held.service, server=held.server, revision=held.revision
            )
            confirmations = self.held.get(promoted)
            if confirmations is not None:
                confirmations[update.instance] = held.above
                self.acknowledged_ends.note_told(update.instance, promoted, held.told)
        confirmed = [
            held
            for promoted in update.promotions
            if (held := self._hold(promoted, update.instance)) is not None
        ]
        if not update.stale:
            self._note_asked(update, confirmed)
        for told in update.primary_reports:
            known = self.primary_reports.get(told.order)
            if known is not None:
                known[update.instance] = told.report, clock.now_s()
        self.notices.receive(update, answer=self._answer)
        self.pause_relays.receive(update, answer=self._answer)
        self.relayed_pauses.receive(update)
        recorded = {each.service: each.revision for each in update.promotions}
        reports = [
            report
            for order in update.stop_orders
            if (report := self._report_primary(order, recorded.get(order.service, 0))) is not None
        ]
        if update.stale:
            confirmed = []
        if reports or confirmed:
            update_back = datagrams.PeerUpdate(
                instance=self.directory.instance,
                held=tuple(confirmed[:1]),
                primary_reports=tuple(reports),
            )
            self._answer(update.instance, update_back)
        for held in confirmed[1:]:
            # All of them, with what was acknowledged, may not fit into one datagram.
            update_back = datagrams.PeerUpdate(instance=self.directory.instance, held=(held,))
            self._answer(update.instance, update_back)
        if update.asked_at_s is not None and self.directory.permission.is_stale(clock.now_s()):
            self._answer(
                update.instance, stale_updates.build(self.directory, answers_s=update.asked_at_s)
            )

    def _report_primary(
        self, order: datagrams.StopOrder, revision: int
    ) -> datagrams.PrimaryReport | None:
        target = self.directory.services.get(order.service)
        return self.stop_orders.receive(order, target, revision=revision)

    def _hold(
        self, promoted: datagrams.RecordedPromotion, by: ids.InstanceId
    ) -> datagrams.HeldCommits | None:
        """Hold commits back for a promotion told ``by`` another; None if some are under way."""
        self.directory.note_announced_promotion(promoted, by=by)
        target = self.directory.services.get(promoted.service)
        if target is None:
            return datagrams.HeldCommits(
                service=promoted.service,
                server=promoted.server,
                revision=promoted.revision,
                told=self.acknowledged_ends.tell(None),
            )
        known = (target.requested, target.commits.awaited)
        if promoted.server not in known or not target.commits.is_clear_for(promoted.server):
            return None
        self._report_hold(target, promoted)
        return datagrams.HeldCommits(
            service=promoted.service,
            server=promoted.server,
            revision=promoted.revision,
            above=target.acknowledged.highest_above(but=promoted.server),
            told=self.acknowledged_ends.tell(target),
        )

    def _note_asked(
        self,
        update: datagrams.PeerUpdate,
        confirmed: collections.abc.Sequence[datagrams.HeldCommits],
    ) -> None:
        """Keep for the log which holds of commits are confirmed to the sender of an update."""
        reached = self._address_of(update.instance) is not None
        names = {each.service for each in confirmed} if reached else set()
        for promoted in update.promotions:
            target = self.directory.services.get(promoted.service)
            if target is not None:
                answer = commit_holds.Confirmation.NO
                if promoted.service in names:
                    answer = commit_holds.Confirmation.YES
                target.hold.note_asked(promoted.revision, answer)
                target.leader_changes.note_told(promoted.server, holder=update.instance)

    def _report_hold(self, target: service.Service, promoted: datagrams.RecordedPromotion) -> None:
        """Log once for each record what this instance knows of the former primary."""
        if self.reported.get(promoted.service) == promoted:
            return
        self.reported[promoted.service] = promoted
        former = target.leader
        if former is None or former.server == promoted.server:
            return
        unanswered = target.commits.unanswered(former.server)
        events.log(
            events.Event.HOLD_CONFIRMED,
            unanswered=unanswered.count,
            oldest_s=round(unanswered.oldest_s, 3),
            former=f"{former.server} {former.contacts.latest() or 'unheard'}",
            service=promoted.service,
            server=promoted.server,
            revision=promoted.revision,
        )

    def _answer(self, instance: ids.InstanceId, update: datagrams.PeerUpdate | None) -> None:
        address = self._address_of(instance)
        if update is not None and address is not None:
            self.peers.send(update, [address])

    def _address_of(self, instance: ids.InstanceId) -> datagrams.PeerAddress | None:
        """Return where an instance can be answered; None if it cannot."""
        return None if self.peers is None else self.addresses.find(instance)

    # Sending

    def _tell_stale(self) -> None:
        """Tell the others that this instance does not hear from the store, and ask whether they do.

        An answer counts from the question on, however late it comes.
        """
        now_s = clock.now_s()
        repeat_s = commit_permission.stale_repeat_s(self.directory.instance_count)
        due = now_s >= self.stale_sent_at_s + repeat_s
        if self.peers is None or not due or not self.directory.permission.is_stale(now_s):
            return
        update = stale_updates.build(self.directory, asked_at_s=now_s)
        if update is not None:
            self.stale_sent_at_s = now_s
            self.peers.send(update)

    def hold_commits(
        self,
        promoted: datagrams.RecordedPromotion,
        *,
        recorded_at_s: float,
        order: datagrams.StopOrder | None = None,
    ) -> ports.HoldReport:
        """Announce a recorded promotion, and return which instances have confirmed the hold.

        With an ``order`` they are also asked to stop a primary, until they have.

        Must be called at short intervals. ``recorded_at_s`` is when the store had confirmed the
        record (``clock.now_s``); after ``commit_permission.HOLD_LIMIT_S`` instances that have not
        read it send no commits either.
        """
        # This instance is one of those that hold commits, and abandons its own in time.
        self.directory.note_announced_promotion(promoted, by=commit_holds.OWN)
        target = self.directory.services[promoted.service]
        target.hold.note_asked(promoted.revision, commit_holds.Confirmation.HOLDER)
        target.leader_changes.note_told(promoted.server, holder=self.directory.instance)
        confirmed = self.held.setdefault(promoted, {})
        self.note_instances()
        missing = self.seen.keys() - confirmed.keys()
        self.acknowledged_ends.note_asked(promoted)
        self._announce(promoted, missing, order)
        self._tell_proof(target)
        if not target.commits.is_clear_for(promoted.server):
            missing.add(self.directory.instance)
        known = [each for each in confirmed.values() if each is not None]
        own = target.acknowledged.highest_above(but=promoted.server)
        known += [own] if own is not None else []
        now_s, limit_s = clock.now_s(), commit_permission.HOLD_LIMIT_S
        # In the first seconds, instances may send commits that were registered before.
        starting = self.directory.instances.is_recent(now_s, limit_s)
        acknowledged_end = None
        if not missing and not starting:
            acknowledged_end = self.acknowledged_ends.find(promoted, instances=self.seen)
        return ports.HoldReport(
            complete=now_s >= recorded_at_s + limit_s or not (missing or starting),
            unconfirmed=frozenset(missing),
            above=max(known, default=None),
            acknowledged_end=acknowledged_end,
            instances=frozenset(self.seen),
            unregistered=frozenset(self.seen.keys() - self.listed_before),
            primary_reports=self._primary_reports(order),
        )

    def relay_pauses(
        self, name: ids.ServiceName, servers: collections.abc.Set[ids.ServerId], term: ids.Term
    ) -> dict[ids.ServerId, ports.RelayedStatus]:
        """Have servers paused by other instances; return what these have read of paused ones."""
        peers = [peer for peer, _ in self.seen.values()]
        return self.relayed_pauses.ask(name, servers, term, peers=peers)

    def _tell_proof(self, target: service.Service) -> None:
        """Tell the others once what proved a promotion, for their logs, before it takes effect."""
        proved = target.proved
        if self.peers is None or proved is None or proved is self.proved_told.get(target.name):
            return
        self.proved_told[target.name] = proved
        self.peers.send(
            datagrams.PeerUpdate(
                instance=self.directory.instance, proved=proved, summary=target.promotion_summary
            )
        )

    def _primary_reports(
        self, order: datagrams.StopOrder | None
    ) -> dict[ids.InstanceId, former_primary.Report]:
        """Return what the other instances have reported about a primary, as of now."""
        now_s = clock.now_s()
        return {
            instance: report.aged(now_s - at_s)
            for instance, (report, at_s) in self.primary_reports.get(order, {}).items()
        }

    def end_hold(self, name: ids.ServiceName) -> None:
        """Forget the confirmations for a service; a later change needs new ones."""
        for promoted in [promoted for promoted in self.held if promoted.service == name]:
            del self.held[promoted]
        self.acknowledged_ends.forget(name)
        self.relayed_pauses.forget(name)
        for order in [order for order in self.primary_reports if order.service == name]:
            del self.primary_reports[order]
        self.announced_at_s.pop(name, None)

    def _announce(
        self,
        promoted: datagrams.RecordedPromotion,
        to: collections.abc.Set[ids.InstanceId],
        order: datagrams.StopOrder | None,
    ) -> None:
        """Send a recorded promotion ``to`` some instances, and an ``order`` to stop to all."""
        now_s = clock.now_s()
        last_s = self.announced_at_s.get(promoted.service, float("-inf"))
        if self.peers is None or now_s < last_s + ANNOUNCE_REPEAT_S:
            return
        self.announced_at_s[promoted.service] = now_s
        peers = [self.seen[name][0] for name in to & self.seen.keys()]
        addresses = [peer.address for peer in peers if peer.address is not None]
        update = datagrams.PeerUpdate(instance=self.directory.instance, promotions=(promoted,))
        if order is not None:
            self.primary_reports.setdefault(order, {})
            update = dataclasses.replace(update, stop_orders=(order,))
            addresses = [peer.address for peer, _ in self.seen.values() if peer.address]
        self.peers.send(update, addresses)
