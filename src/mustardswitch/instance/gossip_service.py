"""Gossip between instances: exchanges records, detects dead members, forwards urgent records."""

import asyncio
import collections.abc
import random
import time

from mustardswitch import events
from mustardswitch.internal import gossip, ids, membership
from mustardswitch.peers import client, codec, errors, peers_pb2

GOSSIP_PERIOD_S = 0.5
"""Mean seconds between gossip rounds."""
PING_HELPERS = 2
"""Number of members that are requested to ping an instance which did not answer this one."""
PING_TIMEOUT_S = 0.4
"""Seconds within which a pinged instance must answer."""
STARTUP_S = 3.0
"""Seconds after the start for which urgent records from other instances are not forwarded."""
URGENT_KINDS = ("section/", "group/", "listed/")
"""Prefixes of the keys of records that are forwarded without waiting for the next round."""


class GossipService:
    """Owns the record table and the membership of this instance."""

    def __init__(
        self,
        *,
        own: membership.Member,
        links: client.PeerLinks,
        rng: random.Random,
        translate: collections.abc.Callable[[str, int], tuple[str, int]],
        seeds: collections.abc.Sequence[membership.Member] = (),
    ) -> None:
        self.table = gossip.RecordTable()
        self.membership = membership.Membership(own=own, table=self.table, rng=rng)
        self.links = links
        self.rng = rng
        self.translate = translate
        self.handlers: dict[str, collections.abc.Callable[[gossip.Record], None]] = {}
        self.on_members: collections.abc.Callable[[], None] = lambda: None
        self.started_s = time.monotonic()
        self.rounds = 0
        self.exchanges = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.membership.add_listed(seeds, frozenset())

    def address_of(self, member: membership.Member) -> client.PeerAddress:
        """Return the address by which a member is reached from this instance."""
        host, port = self.translate(member.host, member.port)
        return client.PeerAddress(
            instance=member.instance,
            host=host,
            port=port,
            other_region=member.region != self.membership.own.region,
        )

    def spread(self, records: list[gossip.Record], *, learned: bool = False) -> None:
        """Merge records into the table, and forward the urgent ones that are new.

        ``learned`` marks records that other instances very likely have already, such as the
        content of the store at a start, as opposed to this instance's own records and fresh
        changes.
        """
        self._merge(records, learned=learned)

    def _merge(self, records: list[gossip.Record], *, learned: bool) -> None:
        fleet_size = max(1, self.membership.fleet_size)
        changed = self.table.merge(records, fleet_size=fleet_size)
        for record in changed:
            self._dispatch(record)
        has_urgent = any(record.key.startswith(URGENT_KINDS) for record in changed)
        if has_urgent and (not learned or self._is_started_up()):
            self.push_urgent_records()

    def _is_started_up(self) -> bool:
        """Return whether a record that is new here may be new to other instances.

        To an instance that has just started every record is new. When a fleet of 81 instances
        started together and each forwarded them all at once, they were too busy to answer each
        other.
        """
        return time.monotonic() - self.started_s > STARTUP_S

    def _dispatch(self, record: gossip.Record) -> None:
        kind = record.key.partition("/")[0]
        if record.key.startswith(membership.MEMBER_KIND):
            self.membership.apply_record(record, now_s=time.monotonic())
            self.on_members()
        elif kind in self.handlers:
            self.handlers[kind](record)

    def push_urgent_records(self) -> None:
        """Send urgent records to a few members without waiting for the next round."""
        for member in self.membership.choose_urgent_targets():
            self._start(self._exchange(member))

    def _start(self, work: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> None:
        """Run a gossip round every ``GOSSIP_PERIOD_S`` on average, until cancelled."""
        try:
            while True:
                for member in self.membership.choose_gossip_peers():
                    self._start(self._exchange(member))
                self._expire()
                self.rounds += 1
                await asyncio.sleep(GOSSIP_PERIOD_S * self.rng.uniform(0.8, 1.2))
        finally:
            for task in self.tasks:
                task.cancel()

    def _expire(self) -> None:
        now_ms = int(time.time() * 1000)
        dead = self.membership.expire_suspicions(now_s=time.monotonic(), now_ms=now_ms)
        for instance in dead:
            events.log(events.Event.MEMBER_DEAD, instance=instance)
        self.membership.forget_dead(now_ms=now_ms)
        if dead:
            self.on_members()

    async def _exchange(self, member: membership.Member) -> None:
        link = self.links.get(self.address_of(member))
        message = self._message(self.table.rumours())
        self.sent_bytes += message.ByteSize()
        try:
            answer = await link.gossip(message)
        except errors.PeerRefusedError:
            self.note_connection_refused(member.instance)
            return
        except errors.PeerError:
            await self._ping_through_helpers(member)
            return
        self.received_bytes += answer.ByteSize()
        self.membership.note_answer(member.instance)
        self._merge(codec.decode_records(answer.records), learned=True)
        if answer.buckets:
            await self._repair(link, list(answer.buckets))
        self.exchanges += 1

    async def _repair(self, link: client.PeerLink, buckets: list[bytes]) -> None:
        """Exchange the records of the buckets in which the peer's digests differ."""
        records = self.table.records_in_differing_buckets(
            buckets, start_bucket=self.rng.randrange(gossip.BUCKET_COUNT)
        )
        message = self._message(records)
        message.buckets.extend(self.table.bucket_digests())
        self.sent_bytes += message.ByteSize()
        try:
            answer = await link.gossip(message)
        except errors.PeerError:
            return
        self.received_bytes += answer.ByteSize()
        self._merge(codec.decode_records(answer.records), learned=True)

    def _message(self, records: list[gossip.Record]) -> peers_pb2.GossipMessage:
        return peers_pb2.GossipMessage(
            sender=self.membership.own.instance,
            records=codec.encode_records(records),
            digest=self.table.digest(),
        )

    def answer(self, message: peers_pb2.GossipMessage) -> peers_pb2.GossipMessage:
        """Merge a peer's gossip and return the answer, with digests if the tables differ."""
        self.received_bytes += message.ByteSize()
        self._merge(codec.decode_records(message.records), learned=True)
        if message.buckets:
            records = self.table.records_in_differing_buckets(
                list(message.buckets), start_bucket=self.rng.randrange(gossip.BUCKET_COUNT)
            )
            answer = self._message(records)
        else:
            answer = self._message(self.table.rumours())
            if message.digest != answer.digest:
                answer.buckets.extend(self.table.bucket_digests())
        self.sent_bytes += answer.ByteSize()
        return answer

    def note_connection_refused(self, instance: ids.InstanceId) -> None:
        """Declare an instance dead whose address refused a connection: no process listens there.

        An instance that has never announced itself (incarnation 0) is not declared dead.
        """
        member = self.membership.members.get(instance)
        if member is None or member.state is membership.MemberState.DEAD:
            return
        if member.incarnation == 0:
            return
        self.membership.declare_dead(instance, now_ms=int(time.time() * 1000))
        events.log(events.Event.MEMBER_DEAD, instance=instance)
        self.on_members()
        self.push_urgent_records()

    async def _ping_through_helpers(self, member: membership.Member) -> None:
        helpers = self.membership.helpers_for(member.instance, PING_HELPERS)
        request = peers_pb2.ReachabilityRequest(instance=member.instance)
        answers = await asyncio.gather(*(self._query_helper(helper, request) for helper in helpers))
        if any(answers):
            return
        self.membership.ping_failed(
            member.instance, now_s=time.monotonic(), now_ms=int(time.time() * 1000)
        )
        events.log(events.Event.MEMBER_SUSPECTED, instance=member.instance)

    async def _query_helper(
        self, helper: membership.Member, request: peers_pb2.ReachabilityRequest
    ) -> bool:
        link = self.links.get(self.address_of(helper))
        try:
            answer = await link.reachability(request, timeout_s=PING_TIMEOUT_S * 2)
        except errors.PeerError:
            return False
        return answer.reachable

    async def ping(self, instance: ids.InstanceId) -> bool:
        """Return whether an instance answers this one within ``PING_TIMEOUT_S``."""
        member = self.membership.members.get(instance)
        if member is None:
            return False
        link = self.links.get(self.address_of(member))
        try:
            async with asyncio.timeout(PING_TIMEOUT_S):
                await link.gossip(self._message([]))
        except (errors.PeerError, TimeoutError):
            return False
        return True
