"""Coordination of instances through the store: registration, votes, claims to change a primary.

Every key that an instance writes is bound to a lease, so that it expires when the instance dies.
Exceptions are the marker of an unfinished change of primary, which makes the other instances resume
paused replicas, and the record of the era in which services may be claimed.

A store that is restored from a copy may have lost claims whose holders still act. In a new era no
service is claimed until such claims have expired; then one instance writes the era's record, and
claims and releases are made on the condition that it exists. A call of an earlier era, which may be
executed late, so changes nothing.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import functools
import random
import typing
import uuid

from mustardswitch import events
from mustardswitch.internal import change_log, clock, ids, own_records, revisions
from mustardswitch.peers import datagrams
from mustardswitch.proxy import directory, errors, fleet_records, peer_updates, ports

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
CLAIM_TTL_S = 3.0
"""Its holder renews a claim. After a restore of the store no service is claimed for as long, and a
leaving primary must then be replaced within seconds."""
MAX_OPENING_DELAY_S = 1.0
"""Range of the random delay before an instance writes the record of an era, so that most find it
written by another."""


Record = typing.TypeVar("Record")
Listing = collections.abc.Callable[[], collections.abc.Awaitable[change_log.Listing]]
"""Returns the records of a kind that the store holds now; raises StoreError."""
PeerRenewal = collections.abc.Callable[[int], collections.abc.Awaitable[bool | None]]
"""Renews a lease through another instance; None when none could."""


class Coordination:
    """Registers this instance in the store, and writes its votes and claims there.

    ``on_call_failed`` is called after each failed call for the registration. The listing of
    ``list_servers`` is applied with ``apply_item``.
    """

    def __init__(
        self,
        *,
        client: ports.RecordStore,
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
        self.updates = updates
        """Asks the other instances to hold commits back; None if there are none."""
        self.on_call_failed = on_call_failed
        self.renew_through_peer = renew_through_peer
        self.client = client
        self.list_servers = list_servers
        self.list_instances = list_instances
        self.apply_item = apply_item
        self.directory = directory
        self.zone = zone
        self.peer_address = peer_address
        self.lease = 0
        self.leaving = False
        self.own = own_records.OwnRecords()
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

    @property
    def instance(self) -> ids.InstanceId:
        """The instance that is registered."""
        return self.directory.instance

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
                if self._may_open_era(self.opening_delay_s):
                    await self._open_era()
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
            _promotion_record(service, promoted)
            for service, promoted in repair.record_promotions
            if service not in self.directory.promotions
        ]
        marks += [
            _paused_marker(service, self.instance.encode())
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
        put = ports.Put(key=f"{fleet_records.INSTANCES}{self.instance}", value=value, lease=lease)
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
    ) -> ports.Put:
        key = self._vote_key(service, server)
        return ports.Put(key=key, value=b"", lease=self.lease if lease is None else lease)

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

    # Claims

    def _may_open_era(self, delay_s: float) -> bool:
        """Return whether the store's era has no record, and claims of earlier eras have expired."""
        era, since_s = self.client.era, self.client.era_since_s
        closed = era > 0 and era not in self.directory.claim_eras
        return closed and clock.now_s() >= since_s + CLAIM_TTL_S + delay_s

    async def _open_era(self) -> None:
        """Write the record of the store's era, or find that of another instance.

        Raises StoreError.
        """
        era = self.client.era
        key = f"{fleet_records.ERAS}{era}"
        former = {era - 1, *self.directory.claim_eras} - {era}
        revision = await self.client.change(
            expected={key: 0},
            puts=[ports.Put(key=key, value=b"")],
            deletes=[f"{fleet_records.ERAS}{each}" for each in former],
        )
        if revision is None:
            found = await self.client.read(key)
            revision = found.revision if found is not None else None
        else:
            events.log(events.Event.ERA_OPENED, era=era)
        if revision is not None and revisions.era_of(revision) == era:
            self.directory.claim_eras = {era: revision}

    async def _era_condition(self) -> dict[str, int] | None:
        """Return the condition on the era's record; None while no service may be claimed."""
        if self._may_open_era(0.0):
            await self._open_era()
        era = self.client.era
        if era == 0:
            return {}
        revision = self.directory.claim_eras.get(era)
        return None if revision is None else {f"{fleet_records.ERAS}{era}": revision}

    def _condition(self, claim: ports.Claim) -> dict[str, int]:
        """Return the condition that a claim is in force, in the era in which it was made."""
        condition = {f"{fleet_records.CLAIMS}{claim.service}": claim.fencing_token}
        era = revisions.era_of(claim.fencing_token)
        if era:
            condition[f"{fleet_records.ERAS}{era}"] = claim.era_revision
        return condition

    async def claim(self, service: ids.ServiceName) -> ports.Claim | None:
        """Claim a service's change of primary; return None when another instance holds the claim.

        Also returns None while claims that a restored store has lost may be held. The store's
        revision of the claim is its fencing token: it is unique and rises with each claim. When the
        store's answer is lost, reading the key back shows whether the claim was written. Raises
        StoreError when the lease is not granted or that read fails too.
        """
        condition = await self._era_condition()
        if condition is None:
            events.log(events.Event.CLAIM_DELAYED, service=service, era=self.client.era)
            return None
        era = self.client.era
        expires_at_s = clock.now_s() + CLAIM_TTL_S
        lease = await self.client.grant_lease(CLAIM_TTL_S)
        value = f"{self.instance} {uuid.uuid4().hex}".encode()
        key = f"{fleet_records.CLAIMS}{service}"
        try:
            revision = await self.client.change(
                expected={key: 0, **condition},
                puts=[
                    ports.Put(key=key, value=value, lease=lease),
                    _paused_marker(service, value),
                ],
            )
        except errors.StoreError as error:
            events.log(events.Event.STORE_CALL_FAILED, call="claim", reason=str(error))
            found = await self.client.read(key)
            revision = found.revision if found is not None and found.value == value else None
        if revision is None or revisions.era_of(revision) != era:
            await self.client.revoke_lease(lease)
            return None
        self.own.claims.add(service)
        return ports.Claim(
            service=service,
            fencing_token=revision,
            expires_at_s=expires_at_s,
            lease=lease,
            era_revision=next(iter(condition.values()), 0),
        )

    async def renew(self, claim: ports.Claim) -> ports.Claim | None:
        """Return the claim with a later expiry; None when it has expired or the store lost it.

        Raises StoreError.
        """
        expires_at_s = clock.now_s() + CLAIM_TTL_S
        renewed = await self.client.renew_lease(claim.lease)
        if not renewed or revisions.era_of(claim.fencing_token) != self.client.era:
            return None
        return dataclasses.replace(claim, expires_at_s=expires_at_s)

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

    async def record_promotion(
        self, claim: ports.Claim, server: ids.ServerId
    ) -> revisions.Revision | None:
        """Record the server whose promotion will be requested; None when the claim is lost.

        Its holder may die, or lose the store, at any moment after the request; the next holder then
        knows which server may be promoted late. Raises StoreError.
        """
        puts = _promotion_records(claim.service, server)
        return await self.client.change(
            expected=self._condition(claim),
            puts=puts,
            deletes=[f"{fleet_records.FINAL_ENDS}{claim.service}"],
        )

    def hold_commits(
        self,
        claim: ports.Claim,
        server: ids.ServerId,
        *,
        revision: revisions.Revision,
        recorded_at_s: float,
        stop: ports.StopRequest | None = None,
    ) -> ports.HoldReport:
        """Announce a recorded promotion; return which instances hold commits back for it.

        With ``stop`` they are asked to order a primary to stop as well.
        """
        promoted = datagrams.RecordedPromotion(
            service=claim.service, server=server, revision=revision
        )
        if self.updates is None:
            return ports.HoldReport(complete=not self.directory.other_instances())
        order = None
        if stop is not None:
            order = datagrams.StopOrder(service=claim.service, server=stop.server, term=stop.term)
        return self.updates.hold_commits(promoted, recorded_at_s=recorded_at_s, order=order)

    def relay_pauses(
        self,
        claim: ports.Claim,
        servers: collections.abc.Set[ids.ServerId],
        *,
        term: ids.Term,
    ) -> collections.abc.Mapping[ids.ServerId, ports.RelayedStatus]:
        """Have other instances pause servers; return what they have read of paused ones."""
        if self.updates is None:
            return {}
        return self.updates.relay_pauses(claim.service, servers, term)

    async def recorded_promotion(self, service: ids.ServiceName) -> ids.ServerId | None:
        """Return the server whose promotion an earlier holder may have requested.

        Raises StoreError.
        """
        key = f"{fleet_records.PROMOTIONS}{service}"
        return await self._read_record(key, fleet_records.decode_promotion)

    async def record_end(self, claim: ports.Claim, stopped: ports.StoppedPrimary) -> None:
        """Record the end of a stopped primary, under the claim; raises StoreError."""
        key = f"{fleet_records.ENDS}{claim.service}"
        put = ports.Put(key=key, value=fleet_records.encode_end(stopped))
        await self.client.change(expected=self._condition(claim), puts=[put])

    async def recorded_end(self, service: ids.ServiceName) -> ports.StoppedPrimary | None:
        """Return the primary that a holder has stopped; raises StoreError."""
        return await self._read_record(f"{fleet_records.ENDS}{service}", fleet_records.decode_end)

    async def record_final_ends(
        self,
        claim: ports.Claim,
        ends: collections.abc.Set[ports.FinalEnd],
        *,
        revision: revisions.Revision,
    ) -> None:
        """Record final ends under the claim; raises StoreError.

        Nothing is written unless the promotion's record still has the ``revision``, so a write that
        is executed late is void once that record was written anew.
        """
        promoted = f"{fleet_records.PROMOTIONS}{claim.service}"
        put = ports.Put(
            key=f"{fleet_records.FINAL_ENDS}{claim.service}",
            value=fleet_records.encode_final_ends(ends, era=revisions.era_of(claim.fencing_token)),
        )
        await self.client.change(
            expected={**self._condition(claim), promoted: revision}, puts=[put]
        )

    async def recorded_final_ends(self, service: ids.ServiceName) -> frozenset[ports.FinalEnd]:
        """Return the final ends that are recorded; raises StoreError.

        Instances of earlier builds write and delete the promotion's record without removing the
        final ends, and a restored store may hold those of a change that was completed since.
        """
        key = f"{fleet_records.FINAL_ENDS}{service}"
        found = await self.client.read(key)
        if found is None:
            return frozenset()
        promoted = await self.client.read(f"{fleet_records.PROMOTIONS}{service}")
        if promoted is None or promoted.revision > found.revision:
            return frozenset()
        decode = functools.partial(fleet_records.decode_final_ends, era=self.client.era)
        return await self._read_record(key, decode) or frozenset()

    async def _read_record(
        self, key: str, decode: collections.abc.Callable[[bytes], Record]
    ) -> Record | None:
        """Return a decoded record; None without one, and for one that is rejected.

        Raises StoreError.
        """
        found = await self.client.read(key)
        try:
            return None if found is None else decode(found.value)
        except errors.FleetRecordError as error:
            events.log(
                events.Event.RECORD_REJECTED, key=key, revision=found.revision, reason=str(error)
            )
            return None

    async def _mark_in_later_era(
        self, claim: ports.Claim, marks: collections.abc.Sequence[ports.Put]
    ) -> None:
        """Record an unfinished change of which a store that was restored since does not know."""
        if revisions.era_of(claim.fencing_token) < self.client.era:
            await self.client.change(expected={}, puts=marks)

    async def release(
        self,
        claim: ports.Claim,
        *,
        unfinished: ports.UnfinishedChange | None = None,
        promoted: ids.ServerId | None = None,
        stopped: ports.StoppedPrimary | None = None,
    ) -> None:
        """Release a claim; ``unfinished`` is None when the change of primary was completed.

        Otherwise it is the state that the marker reports to the other instances, and ``promoted``
        the server whose promotion may still take effect. The records are removed or changed only
        if the service was not claimed again since. That of a ``stopped`` primary stays. Raises
        StoreError.
        """
        service = claim.service
        self.own.claims.discard(service)
        if self.updates is not None:
            self.updates.end_hold(service)
        marks: list[ports.Put] = []
        if unfinished is ports.UnfinishedChange.PROMOTION_REQUESTED:
            marks = _promotion_records(service, promoted)
        elif unfinished is ports.UnfinishedChange.PAUSED:
            marks = [_paused_marker(service, self.instance.encode())]
        deletes = [f"{fleet_records.CLAIMS}{service}"]
        if unfinished is None:
            deletes.append(f"{fleet_records.UNFINISHED}{service}")
        if promoted is None:
            deletes.append(f"{fleet_records.PROMOTIONS}{service}")
            deletes.append(f"{fleet_records.FINAL_ENDS}{service}")
        if stopped is None:
            deletes.append(f"{fleet_records.ENDS}{service}")
        released = await self.client.change(
            expected=self._condition(claim), puts=marks, deletes=deletes
        )
        if released is None:
            marks = marks or [_paused_marker(service, self.instance.encode())]
            await self._mark_in_later_era(claim, marks)


def _paused_marker(service: ids.ServiceName, value: bytes) -> ports.Put:
    return ports.Put(key=f"{fleet_records.UNFINISHED}{service}", value=value)


def _promotion_records(service: ids.ServiceName, promoted: ids.ServerId | None) -> list[ports.Put]:
    """Return the marker of a requested promotion, and the record of the server if it is known."""
    marker = ports.Put(
        key=f"{fleet_records.UNFINISHED}{service}",
        value=ports.UnfinishedChange.PROMOTION_REQUESTED.value.encode(),
    )
    return [marker] if promoted is None else [marker, _promotion_record(service, promoted)]


def _promotion_record(service: ids.ServiceName, promoted: ids.ServerId) -> ports.Put:
    return ports.Put(key=f"{fleet_records.PROMOTIONS}{service}", value=promoted.encode())
