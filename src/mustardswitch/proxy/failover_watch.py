"""Watches the primary of every service, votes, and starts changes of primary."""

import asyncio

from mustardswitch import events
from mustardswitch.internal import clock, gateways, ids, promotion, suspicion
from mustardswitch.peers import datagrams
from mustardswitch.proxy import directory, errors, ports, server, service, takeover

CHECK_S = 0.1
"""How often the contact with primaries is judged; a fraction of the silence that counts."""
RANK_DELAY_S = 0.15
"""How long each instance leaves a change to the one ranked before it; a call to the store and back
between regions, a few times."""
TELL_S = 0.3
"""How often a vote is repeated; three times within the time for which it holds."""
RETRY_S = 0.6
"""Pause after an attempt that changed nothing; about one promotion."""
LEADERLESS_S = 0.3
"""Time without a known leader after which the servers are asked themselves; the news of a promotion
come sooner."""


class ServiceWatch:
    """The state of the watch of one service."""

    def __init__(self, *, target: service.Service) -> None:
        self.target = target
        self.suspected: ids.ServerId | None = None
        self.voted_for: ids.ServerId | None = None
        self.voting: asyncio.Task[None] | None = None
        self.changing: asyncio.Task[None] | None = None
        self.searching: asyncio.Task[None] | None = None
        self.leaderless_since_s: float | None = None
        self.probing: asyncio.Task[None] | None = None
        self.searched_at_s = float("-inf")
        self.vote_at_s = float("-inf")
        self.due_since_s: float | None = None
        self.due_for: ids.ServerId | None = None
        self.retry_at_s = float("-inf")


class FailoverWatch:
    """Judges every service at short intervals."""

    def __init__(
        self,
        *,
        directory: directory.Directory,
        coordination: ports.Coordination,
        promoter: ports.Promoter,
        peers: datagrams.PeerDatagrams | None = None,
    ) -> None:
        self.peers = peers
        self.told_at_s = float("-inf")
        self.directory = directory
        self.coordination = coordination
        self.promoter = promoter
        self.watches: dict[ids.ServiceName, ServiceWatch] = {}

    def __repr__(self) -> str:
        return f"FailoverWatch(directory={self.directory!r})"

    async def run(self) -> None:
        """Watch until cancelled."""
        loop = asyncio.get_running_loop()
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
                self._judge(watch, stall_s)
            self._tell_votes()

    def _judge(self, watch: ServiceWatch, stall_s: float) -> None:
        leader = watch.target.leader
        self._search(watch, leader)
        self._vote(watch, leader, stall_s)
        if watch.changing is None or watch.changing.done():
            self._change_if_due(watch, leader)

    # Finding a leader

    def _search(self, watch: ServiceWatch, leader: server.Server | None) -> None:
        now_s = clock.now_s()
        if leader is not None:
            watch.leaderless_since_s = None
            return
        if watch.leaderless_since_s is None:
            watch.leaderless_since_s = now_s
        known_s = max(watch.leaderless_since_s, watch.searched_at_s)
        overdue = now_s - known_s > LEADERLESS_S
        idle = watch.searching is None or watch.searching.done()
        if overdue and idle and watch.target.servers:
            watch.searched_at_s = now_s
            watch.searching = watch.target.start(watch.target.find_leader())

    # Voting

    def _tell_votes(self) -> None:
        """Repeat the votes of this instance to the others while they hold."""
        lacking = [
            datagrams.PrimaryRef(service=name, server=watch.suspected)
            for name, watch in self.watches.items()
            if watch.suspected is not None
        ]
        now_s = clock.now_s()
        for each in lacking:
            vote = directory.Vote(
                service=each.service, server=each.server, instance=self.directory.instance
            )
            self.directory.told_votes[vote] = now_s
        if not lacking or self.peers is None or now_s - self.told_at_s < TELL_S:
            return
        self.told_at_s = now_s
        for start in range(0, len(lacking), datagrams.MAX_ITEMS):
            part = tuple(lacking[start : start + datagrams.MAX_ITEMS])
            self.peers.send(
                datagrams.PeerUpdate(instance=self.directory.instance, suspected_primaries=part)
            )

    def _vote(self, watch: ServiceWatch, leader: server.Server | None, stall_s: float) -> None:
        contact = watch.target.contact(stall_s=stall_s)
        if leader is not None and contact is not None and suspicion.needs_probe(contact):
            self._probe(watch, leader)
        wanted = None
        if leader is not None and contact is not None and suspicion.suspects(contact):
            wanted = leader.server
        watch.suspected = wanted
        busy = watch.voting is not None and not watch.voting.done()
        if wanted == watch.voted_for or busy or clock.now_s() < watch.vote_at_s:
            return
        if contact is not None:
            events.log(
                events.Event.PRIMARY_SUSPECTED if wanted else events.Event.PRIMARY_TRUSTED,
                service=watch.target.name,
                server=wanted or watch.voted_for,
                unanswered_s=round(contact.unanswered_s, 3),
                refused_connections=contact.refused_connections,
                held_up_s=round(stall_s, 3),
            )
        before, watch.voted_for = watch.voted_for, wanted
        watch.voting = watch.target.start(self._cast(watch, before, wanted))

    def _probe(self, watch: ServiceWatch, leader: server.Server) -> None:
        if watch.probing is None or watch.probing.done():
            watch.probing = watch.target.start(watch.target.probe(leader))

    async def _cast(
        self, watch: ServiceWatch, before: ids.ServerId | None, wanted: ids.ServerId | None
    ) -> None:
        try:
            if before is not None:
                await self.coordination.withdraw_vote(watch.target.name, before)
            if wanted is not None:
                await self.coordination.vote(watch.target.name, wanted)
        except errors.StoreError as error:
            watch.voted_for = before
            watch.vote_at_s = clock.now_s() + RETRY_S
            events.log(events.Event.VOTE_FAILED, service=watch.target.name, reason=str(error))

    # Changing the primary

    def _change_if_due(self, watch: ServiceWatch, leader: server.Server | None) -> None:
        now_s = clock.now_s()
        due_for = self._due_for(watch, leader)
        if due_for != watch.due_for:
            watch.due_for = due_for
            watch.due_since_s = now_s
        if watch.target.name in self.directory.claims or now_s < watch.retry_at_s:
            return
        if not self.directory.servers.is_complete(now_s):
            # A replica that is not listed yet could confirm commits that the promoted log lacks.
            return
        unfinished = watch.target.name in self.directory.unfinished
        if due_for is None and not unfinished:
            return
        delay_s = RANK_DELAY_S * self._rank(watch.target.name)
        if due_for is not None:
            if now_s >= watch.due_since_s + delay_s:
                watch.changing = watch.target.start(self._change(watch, due_for))
        else:
            watch.retry_at_s = now_s + RETRY_S + delay_s
            watch.changing = watch.target.start(
                takeover.clean_up(
                    target=watch.target,
                    coordination=self.coordination,
                    promoter=self.promoter,
                    unfinished=self.directory.unfinished[watch.target.name],
                )
            )

    def _due_for(self, watch: ServiceWatch, leader: server.Server | None) -> ids.ServerId | None:
        """Return the primary that is to be replaced, if any."""
        if leader is None:
            return self._lost_primary(watch)
        if leader.entry.leaving:
            return leader.server
        voters = self.directory.voters(watch.target.name, leader.server)
        if voters and suspicion.votes_suffice(
            votes=len(voters), instances=self.directory.contacts(watch.target.name)
        ):
            return leader.server
        return None

    def _lost_primary(self, watch: ServiceWatch) -> ids.ServerId | None:
        """Name a server that is listed as primary, or stands for one that is gone."""
        servers = watch.target.servers.values()
        if not servers or watch.leaderless_since_s is None:
            return None
        if clock.now_s() - watch.leaderless_since_s < LEADERLESS_S:
            return None
        if any(each.entry.role is promotion.Role.PRIMARY for each in servers):
            return None
        return GONE

    def _rank(self, name: ids.ServiceName) -> int:
        ranked = gateways.ranked(self.directory.candidates(), name)
        if self.directory.instance not in ranked:
            return len(ranked)
        return ranked.index(self.directory.instance)

    async def _change(self, watch: ServiceWatch, primary: ids.ServerId) -> None:
        done = await takeover.run_claimed(
            target=watch.target,
            coordination=self.coordination,
            promoter=self.promoter,
            primary=None if primary == GONE else primary,
            silent=primary == watch.suspected,
            unfinished=self.directory.unfinished.get(watch.target.name),
        )
        if done and self.peers is not None and watch.target.leader is not None:
            leading = datagrams.PrimaryRef(
                service=watch.target.name, server=watch.target.leader.server
            )
            self.peers.send(
                datagrams.PeerUpdate(instance=self.directory.instance, new_primary=leading)
            )
        watch.due_for = None
        if not done:
            watch.retry_at_s = clock.now_s() + RETRY_S


GONE = ids.ServerId("")
"""Stands for a primary that is no longer listed."""
