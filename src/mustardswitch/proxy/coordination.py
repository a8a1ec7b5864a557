"""Coordination of instances through the store: registration, votes, claims to change a primary.

Every key that an instance writes is bound to a lease, so that it expires when the instance dies.
Exceptions are the marker of an unfinished change of primary, which makes the other instances resume
paused replicas, and the record of the era in which services may be claimed.
"""

import asyncio
import collections.abc
import contextlib
import random

from mustardswitch import events
from mustardswitch.internal import change_log, clock, ids, own_records
from mustardswitch.peers import datagrams
from mustardswitch.proxy import (
    directory,
    errors,
    fleet_records,
    peer_updates,
    record_store,
    service_claims,
)

REGISTRATION_TTL_S = 6.0
"""Longer than usual stalls and network partitions of an instance, shorter than its replacement
takes."""
RENEWAL_INTERVAL_S = 2.0
"""Two renewals may fail before the registration expires."""
RETRY_S = 0.3
"""Longest pause after the first failed call, jittered down to half; it doubles up to the limit."""
RETRY_LIMIT_S = 1.5
"""Rejected calls are billed too, so retries are spaced out; with the round trip to the store, an
instance is registered again within 2 s."""
MAX_OPENING_DELAY_S = 1.0
"""Range of the random delay before an instance writes the record of an era, so that most find it
written by another."""

Listing = collections.abc.Callable[[], collections.abc.Awaitable[change_log.Listing]]
"""Returns the records of a kind that the store holds now; raises StoreError."""
PeerRenewal = collections.abc.Callable[[int], collections.abc.Awaitable[bool | None]]
"""Renews a lease through another instance; None when none could."""


class Coordination(service_claims.ServiceClaims):
    """Registers this instance in the store, and writes its votes and claims there.

    ``on_call_failed`` is called after each failed call for the registration. The listing of
    ``list_servers`` is applied with ``apply_item``.
    """

    def __init__(
        self,
        *,
        client: record_store.RecordStore,
        directory: directory.Directory,
        zone: ids.ZoneName,
        peer_address: datagrams.PeerAddress,
        list_servers: Listing | None = None,
        list_instances: Listing | None = None,
        apply_item: collections.abc.Callable[[change_log.Item], None] = lambda item: None,
        on_call_failed: collections.abc.Callable[[], None] = lambda: None,
        renew_through_peer: PeerRenewal | None = None,
        updates: peer_updates.PeerUpdates | None = None,
    ) -> None:
        super().__init__(client=client, directory=directory, updates=updates)
        self.on_call_failed = on_call_failed
        self.renew_through_peer = renew_through_peer
        self.list_servers = list_servers
        self.list_instances = list_instances
        self.apply_item = apply_item
        self.zone = zone
        self.peer_address = peer_address
        self.lease = 0
        self.leaving = False
        self.repair = own_records.NOTHING
        """What is still to be repaired after a restore of the store."""
        self.due = asyncio.Event()
        """Set when the registration is lost or a repair is needed."""
        self.seen_revision = 0
        """The revision of the store at which the directory is."""
        self.opening_delay_s = random.uniform(0.0, MAX_OPENING_DELAY_S)

    def __repr__(self) -> str:
        return (
            f"Coordination(client={self.client!r}, directory={self.directory!r},"
            f" zone={self.zone!r})"
        )

    def note_seen(self, revision: int) -> None:
        """Compare the directory, which is at a revision of the store, with what was written.

        ``run`` registers the instance again if it is not listed. After a restore of the store it
        also casts and withdraws votes, releases claims and marks unfinished changes again.
        """
        self.seen_revision = revision
        if self.leaving:
            return
        known = self.directory
        votes = {
            (each.service, each.server) for each in known.votes if each.instance == self.instance
        }
        held = own_records.Records(
            votes=votes,
            claims={name for name, holder in known.claims.items() if holder == self.instance},
            unfinished=frozenset(known.unfinished),
            promotions=frozenset(known.promotions.items()),
        )
        registered = known.instances.is_listed(self.instance)
        lost, repair = self.own.note_seen(held, registered=registered, revision=revision)
        if lost:
            self._note_registration_lost("not in the store")
        if repair:
            events.log(
                events.Event.RECORDS_REPAIRED,
                cast=len(repair.cast),
                withdrawn=len(repair.withdraw),
                released=len(repair.release),
                marked=len(repair.mark_unfinished),
                promotions=len(repair.record_promotions),
            )
            self.repair = repair
        if lost or repair:
            self.due.set()

    def _note_registration_lost(self, reason: str) -> None:
        events.log(events.Event.REGISTRATION_LOST, lease=self.lease, reason=reason)
        self.lease = 0
        self.own.registered_revision = None

    async def run(self) -> None:
        """Keep this instance registered until it leaves or the task is cancelled."""
        retry_s = RETRY_S
        while not self.leaving:
            try:
                if self.lease:
                    if not await self._renew():
                        self._note_registration_lost("the lease has expired")
                        continue
                else:
                    await self._register()
                await self._repair()
                if self.may_open_era(self.opening_delay_s):
                    await self.open_era()
                retry_s = RETRY_S
                await self._wait_until_due()
            except errors.StoreError as error:
                events.log(events.Event.STORE_CALL_FAILED, call="registration", reason=str(error))
                self.on_call_failed()
                await asyncio.sleep(random.uniform(0.5, 1.0) * retry_s)
                retry_s = min(RETRY_LIMIT_S, 2 * retry_s)

    async def _renew(self) -> bool:
        """Renew the registration; returns False when it has ended. Raises StoreError.

        An instance that the store turns away stays registered through another one, so that it may
        send commits and its tenants keep their homes.
        """
        try:
            return await self.client.renew_lease(self.lease)
        except errors.StoreError as error:
            if self.renew_through_peer is None:
                raise
            renewed = await self.renew_through_peer(self.lease)
            if renewed is None:
                raise
            self.directory.registry.count("registrations_renewed_by_peers")
            events.log(events.Event.STORE_CALL_FAILED, call="renewal", reason=str(error))
            return renewed

    async def _wait_until_due(self) -> None:
        """Wait for the next renewal, or until something is lost."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RENEWAL_INTERVAL_S):
                await self.due.wait()
        self.due.clear()

    async def _repair(self) -> None:
        """Make up for what a restore of the store has changed; raises StoreError."""
        repair = self.repair
        if not self.lease:
            return
        if repair.cast or repair.withdraw:
            await self.client.change(
                expected={},
                puts=[self._vote(*each) for each in repair.cast & self.own.votes],
                deletes=[self._vote_key(*each) for each in repair.withdraw - self.own.votes],
            )
        for service in repair.release - self.own.claims:
            await self._release_again(service)
        if repair.mark_unfinished or repair.record_promotions:
            # Another instance may have marked them meanwhile; most find that.
            await asyncio.sleep(self.opening_delay_s)
        marks = [
            service_claims.promotion_record(service, promoted)
            for service, promoted in repair.record_promotions
            if service not in self.directory.promotions
        ]
        marks += [
            service_claims.paused_marker(service, self.instance.encode())
            for service in repair.mark_unfinished - set(self.directory.unfinished)
        ]
        for mark in marks:
            await self.client.change(expected={mark.key: 0}, puts=[mark])
        if self.repair is repair:
            self.repair = own_records.NOTHING

    async def _release_again(self, service: ids.ServiceName) -> None:
        key = f"{fleet_records.CLAIMS}{service}"
        found = await self.client.read(key)
        if found is not None and found.value.decode().partition(" ")[0] == self.instance:
            await self.client.change(expected={key: found.revision}, deletes=[key])

    async def _register(self) -> None:
        lease = await self.client.grant_lease(REGISTRATION_TTL_S)
        value = fleet_records.encode_peer(directory.Peer(zone=self.zone, address=self.peer_address))
        put = record_store.Put(
            key=f"{fleet_records.INSTANCES}{self.instance}", value=value, lease=lease
        )
        votes = [self._vote(*each, lease=lease) for each in self.own.votes]
        revision = await self.client.change(expected={}, puts=[put, *votes])
        if revision is not None:
            self.lease = lease
            self.own.registered_revision = revision
            events.log(events.Event.REGISTERED, lease=lease)

    async def leave(self) -> None:
        """Revoke the registration; the other instances then share its connections at once.

        Those are its share of the connections that each service allows. Raises StoreError.
        """
        self.leaving = True
        self.directory.permission.left_at_s = clock.now_s()
        lease, self.lease = self.lease, 0
        if lease:
            await self.client.revoke_lease(lease)

    def _vote_key(self, service: ids.ServiceName, server: ids.ServerId) -> str:
        return f"{fleet_records.VOTES}{service}/{server}/{self.instance}"

    def _vote(
        self, service: ids.ServiceName, server: ids.ServerId, *, lease: int | None = None
    ) -> record_store.Put:
        key = self._vote_key(service, server)
        return record_store.Put(key=key, value=b"", lease=self.lease if lease is None else lease)

    async def vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Publish a vote to replace a primary that this instance suspects; raises StoreError."""
        if not self.lease:
            raise errors.StoreError("this instance is not registered")
        if await self.client.change(expected={}, puts=[self._vote(service, server)]) is None:
            raise errors.StoreError("the registration has expired")
        self.own.votes.add((service, server))

    async def withdraw_vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Withdraw a vote; raises StoreError."""
        self.own.votes.discard((service, server))
        await self.client.change(expected={}, deletes=[self._vote_key(service, server)])

    # Listings

    async def refresh_servers(self) -> None:
        """Apply the servers' entries that the store holds now; the watch may be seconds behind.

        Raises StoreError.
        """
        if self.list_servers is None:
            return
        self._apply_newer(await self.list_servers())
        self.directory.refresh()

    async def refresh_members(self, service: ids.ServiceName) -> None:
        """Apply the record of a service's members that the store holds now; raises StoreError."""
        found = await self.client.read(f"{fleet_records.MEMBERS}{service}")
        if found is not None:
            self._apply_newer(change_log.Listing(items=[found], revision=found.revision))
            self.directory.refresh()

    async def refresh_instances(self) -> None:
        """Apply the registrations that the store holds now; raises StoreError."""
        if self.list_instances is None:
            return
        self._apply_newer(await self.list_instances())

    def _apply_newer(self, listing: change_log.Listing) -> None:
        """Apply what is newer than the directory; the rest may have been removed since."""
        for item in listing.items:
            if item.revision > self.seen_revision:
                self.apply_item(item)
