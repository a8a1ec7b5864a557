"""Watches the primary of every service, votes to replace it, and starts changes of primary."""

import asyncio

from mustardswitch import events
from mustardswitch.internal import clock, gateways, ids, promotion, suspicion
from mustardswitch.peers import datagrams
from mustardswitch.proxy import (
    claimed_changes,
    directory,
    errors,
    peer_updates,
    ports,
    server,
    service,
)

CHECK_S = 0.1
"""Interval between checks of the primaries; a fraction of the time without an answer after which
a primary is suspected."""
RANK_DELAY_S = 0.15
"""Delay per rank before an instance starts a change of primary, so that the instances ranked
before it start first; a few calls to the store with round trips between regions."""
VOTE_REPEAT_S = 0.3
"""Interval at which votes are repeated; three repetitions fall within the time after which a vote
expires (``directory.PEER_VOTE_TTL_S``)."""
RETRY_S = 0.6
"""Pause after a vote that failed or an attempt that changed nothing; about the duration of a
promotion."""
RECENT_START_S = 10.0
"""Time after the start of an instance in which others know replicas that it does not know: those
whose entries expired before; as long as such a replica counts."""
RECENT_START_DELAY_S = 1.0
"""Delay in which such others start a change of primary before the instance does."""
CLEAN_UP_RETRY_S = 1.0
"""Pause after an unfinished change was taken up, which takes a few calls to the store."""
RESUMING_INSTANCES = 3
"""Instances that resume servers which may be paused and do not answer, as long as these are listed;
each attempt is a few calls to the store."""
LEADERLESS_S = 0.3
"""Time without a known leader after which all servers are queried; updates about a promotion
usually arrive sooner."""


class ServiceWatch:
    """State of the watch over one service's primary."""

    def __init__(self, *, target: service.Service) -> None:
        self.target = target
        self.suspected: ids.ServerId | None = None
        """The primary that this instance suspects now."""
        self.voted_for: ids.ServerId | None = None
        """The primary against which this instance's vote is stored, or is being stored."""
        self.voting: asyncio.Task[None] | None = None
        self.changing: asyncio.Task[None] | None = None
        self.searching: asyncio.Task[None] | None = None
        self.leaderless_since_s: float | None = None
        self.probing: asyncio.Task[None] | None = None
        self.searched_at_s = float("-inf")
        self.vote_retry_at_s = float("-inf")
        """Earliest time of the next vote, after one that failed (``clock.now_s``)."""
        self.due_since_s: float | None = None
        """When ``primary_to_replace`` last changed (``clock.now_s``)."""
        self.primary_to_replace: ids.ServerId | None = None
        self.retry_at_s = float("-inf")
        """Earliest time of the next change of primary or clean-up (``clock.now_s``)."""
        self.clean_up_due_s: float | None = None
        """When this instance completes an unfinished change (``clock.now_s``); None without one."""


class FailoverWatch:
    """Checks the primary of every service every ``CHECK_S`` seconds."""

    def __init__(
        self,
        *,
        directory: directory.Directory,
        coordination: ports.Coordination,
        promoter: ports.Promoter,
        peers: datagrams.PeerDatagrams | None = None,
        updates: peer_updates.PeerUpdates | None = None,
    ) -> None:
        self.peers = peers
        self.updates = updates
        """What is due towards the other instances; None without any."""
        self.votes_sent_at_s = float("-inf")
        self.directory = directory
        self.coordination = coordination
        self.promoter = promoter
        self.watches: dict[ids.ServiceName, ServiceWatch] = {}

    def __repr__(self) -> str:
        return f"FailoverWatch(directory={self.directory!r})"

    @property
    def is_changing(self) -> bool:
        """Whether this instance is changing a primary."""
        tasks = (watch.changing for watch in self.watches.values())
        return any(task is not None and not task.done() for task in tasks)

    async def run(self) -> None:
        """Watch until cancelled."""
        loop = asyncio.get_running_loop()
        # The loop's clock stops while the machine is suspended; ``clock.now_s`` does not, so that
        # the stall includes the suspension.
        due_s = loop.time()
        due_boot_s = clock.now_s()
        while True:
            due_s += CHECK_S
            due_boot_s += CHECK_S
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            stall_s = max(0.0, clock.now_s() - due_boot_s)
            if stall_s > CHECK_S:
                due_s, due_boot_s = loop.time(), clock.now_s()
            self.directory.expire()
            for name, target in self.directory.services.items():
                watch = self.watches.setdefault(name, ServiceWatch(target=target))
                self._check(watch, stall_s)
                target.end_new_work()
            self._send_votes()
            if self.updates is not None:
                self.updates.check()

    def _check(self, watch: ServiceWatch, stall_s: float) -> None:
        leader = watch.target.leader
        watch.target.acknowledged.review(leader.server if leader else None, clock.now_s())
        self._search(watch, leader)
        self._vote(watch, leader, stall_s)
        if watch.changing is None or watch.changing.done():
            # A change of this instance's own notes the record before the store's update arrives.
            watch.target.note_recorded_promotion(self.directory.promotions.get(watch.target.name))
            self._change_if_due(watch, leader)

    # Finding a leader

    def _search(self, watch: ServiceWatch, leader: server.Server | None) -> None:
        now_s = clock.now_s()
        if leader is not None:
            watch.leaderless_since_s = None
            return
        if watch.leaderless_since_s is None:
            watch.leaderless_since_s = now_s
        since_s = max(watch.leaderless_since_s, watch.searched_at_s)
        overdue = now_s - since_s > LEADERLESS_S
        idle = watch.searching is None or watch.searching.done()
        if overdue and idle and watch.target.servers:
            watch.searched_at_s = now_s
            watch.searching = watch.target.start(watch.target.find_leader())

    # Voting

    def _send_votes(self) -> None:
        """Send this instance's votes to the other instances, repeatedly while they hold."""
        suspects = [
            datagrams.PrimaryRef(service=name, server=watch.suspected)
            for name, watch in self.watches.items()
            if watch.suspected is not None
        ]
        now_s = clock.now_s()
        for each in suspects:
            vote = directory.Vote(
                service=each.service, server=each.server, instance=self.directory.instance
            )
            self.directory.peer_votes[vote] = now_s
        if not suspects or self.peers is None or now_s - self.votes_sent_at_s < VOTE_REPEAT_S:
            return
        self.votes_sent_at_s = now_s
        for start in range(0, len(suspects), datagrams.MAX_VOTES):
            part = tuple(suspects[start : start + datagrams.MAX_VOTES])
            self.peers.send(
                datagrams.PeerUpdate(instance=self.directory.instance, suspected_primaries=part)
            )

    def _vote(self, watch: ServiceWatch, leader: server.Server | None, stall_s: float) -> None:
        contact = watch.target.contact(stall_s=stall_s)
        if leader is not None and contact is not None and suspicion.needs_probe(contact):
            self._probe(watch, leader)
        suspect = None
        if leader is not None and contact is not None and suspicion.suspects(contact):
            suspect = leader.server
        watch.suspected = suspect
        busy = watch.voting is not None and not watch.voting.done()
        if suspect == watch.voted_for or busy or clock.now_s() < watch.vote_retry_at_s:
            return
        if contact is not None:
            events.log(
                events.Event.PRIMARY_SUSPECTED if suspect else events.Event.PRIMARY_TRUSTED,
                service=watch.target.name,
                server=suspect or watch.voted_for,
                unanswered_s=round(contact.unanswered_s, 3),
                refused_connections=contact.refused_connections,
                held_up_s=round(stall_s, 3),
            )
        previous, watch.voted_for = watch.voted_for, suspect
        watch.voting = watch.target.start(self._cast(watch, previous, suspect))

    def _probe(self, watch: ServiceWatch, leader: server.Server) -> None:
        if watch.probing is None or watch.probing.done():
            watch.probing = watch.target.start(watch.target.probe(leader))

    async def _cast(
        self, watch: ServiceWatch, previous: ids.ServerId | None, suspect: ids.ServerId | None
    ) -> None:
        """Withdraw the previous vote and cast a new one; both may be None."""
        try:
            if previous is not None:
                await self.coordination.withdraw_vote(watch.target.name, previous)
            if suspect is not None:
                await self.coordination.vote(watch.target.name, suspect)
        except errors.StoreError as error:
            watch.voted_for = previous
            watch.vote_retry_at_s = clock.now_s() + RETRY_S
            events.log(events.Event.VOTE_FAILED, service=watch.target.name, reason=str(error))

    # Changing the primary

    def _change_if_due(self, watch: ServiceWatch, leader: server.Server | None) -> None:
        now_s = clock.now_s()
        primary_to_replace = self._primary_to_replace(watch, leader)
        if primary_to_replace != watch.primary_to_replace:
            watch.primary_to_replace = primary_to_replace
            watch.due_since_s = now_s
        if watch.target.name in self.directory.claims:
            watch.clean_up_due_s = None
            return
        if now_s < watch.retry_at_s or self.directory.permission.has_left:
            return
        if not self.directory.servers.is_complete(now_s):
            # A replica that is not listed yet could confirm commits that are missing from the log
            # of the promoted one.
            return
        unfinished = self._unfinished(watch.target.name)
        if primary_to_replace is None and unfinished is None:
            watch.clean_up_due_s = None
            return
        rank = self._rank(watch.target.name)
        delay_s = RANK_DELAY_S * rank
        if self.directory.servers.is_recent(now_s, RECENT_START_S):
            delay_s += RECENT_START_DELAY_S
        if primary_to_replace is not None:
            if now_s >= watch.due_since_s + delay_s:
                watch.changing = watch.target.start(self._change(watch, primary_to_replace))
        elif unfinished is ports.UnfinishedChange.PROMOTION_REQUESTED or rank < RESUMING_INSTANCES:
            self._clean_up_if_due(watch, unfinished, delay_s)

    def _clean_up_if_due(
        self, watch: ServiceWatch, unfinished: ports.UnfinishedChange, delay_s: float
    ) -> None:
        """Complete an unfinished change after a delay by rank, so that one instance claims it."""
        now_s = clock.now_s()
        if watch.clean_up_due_s is None:
            watch.clean_up_due_s = now_s + delay_s
        if now_s < watch.clean_up_due_s:
            return
        watch.clean_up_due_s = now_s + CLEAN_UP_RETRY_S
        watch.changing = watch.target.start(
            claimed_changes.clean_up(
                target=watch.target,
                coordination=self.coordination,
                promoter=self.promoter,
                unfinished=unfinished,
            )
        )

    def _unfinished(self, name: ids.ServiceName) -> ports.UnfinishedChange | None:
        """Return the state that an unfinished change of primary left; None without one."""
        if name in self.directory.promotions:
            return ports.UnfinishedChange.PROMOTION_REQUESTED
        return self.directory.unfinished.get(name)

    def _primary_to_replace(
        self, watch: ServiceWatch, leader: server.Server | None
    ) -> ids.ServerId | None:
        """Return the primary that is to be replaced; None when there is none."""
        if leader is None:
            return self._unlisted_primary(watch)
        if leader.entry.leaving:
            return leader.server
        return leader.server if self._is_voted_out(watch.target.name, leader.server) else None

    def _is_voted_out(self, name: ids.ServiceName, primary: ids.ServerId) -> bool:
        """Return whether enough instances vote to replace a primary."""
        voters = self.directory.voters(name, primary)
        return bool(voters) and suspicion.votes_suffice(
            votes=len(voters), instances=self.directory.connected_instance_count(name)
        )

    def _unlisted_primary(self, watch: ServiceWatch) -> ids.ServerId | None:
        """Return ``UNLISTED_PRIMARY`` if the former primary is no longer listed.

        That is so when no leader was known for ``LEADERLESS_S`` and no listed server has the
        primary's role; None otherwise.
        """
        servers = watch.target.servers.values()
        if not servers or watch.leaderless_since_s is None:
            return None
        if clock.now_s() - watch.leaderless_since_s < LEADERLESS_S:
            return None
        if any(backend.entry.role is promotion.Role.PRIMARY for backend in servers):
            return None
        return UNLISTED_PRIMARY

    def _rank(self, name: ids.ServiceName) -> int:
        ranked = gateways.ranked(self.directory.candidates(), name)
        if self.directory.instance not in ranked:
            return len(ranked)
        return ranked.index(self.directory.instance)

    async def _change(self, watch: ServiceWatch, primary: ids.ServerId) -> None:
        done = await claimed_changes.run_claimed(
            target=watch.target,
            coordination=self.coordination,
            promoter=self.promoter,
            primary=None if primary == UNLISTED_PRIMARY else primary,
            # Without enough votes, others may reach a primary that leaves, and it is to be stopped.
            silent=primary == watch.suspected and self._is_voted_out(watch.target.name, primary),
            unfinished=self._unfinished(watch.target.name),
        )
        if done and self.peers is not None and watch.target.leader is not None:
            new_primary = datagrams.PrimaryRef(
                service=watch.target.name, server=watch.target.leader.server
            )
            self.peers.send(
                datagrams.PeerUpdate(
                    instance=self.directory.instance,
                    new_primary=new_primary,
                    summary=watch.target.promotion_summary,
                )
            )
        watch.primary_to_replace = None
        if not done or watch.target.leader is None:
            # A server that is not listed may lead.
            watch.retry_at_s = clock.now_s() + RETRY_S


UNLISTED_PRIMARY = ids.ServerId("")
"""Stands for a primary that is no longer listed and whose id is therefore unknown."""
