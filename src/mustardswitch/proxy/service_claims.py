"""Claims of services, and the records that their holders write to the store.

A store that is restored from a copy may have lost claims whose holders still act. In a new era no
service is claimed until such claims have expired; then one instance writes the era's record, and
claims and releases are made on the condition that it exists. A call of an earlier era, which may be
executed late, so changes nothing.
"""

import collections.abc
import dataclasses
import functools
import typing
import uuid

from mustardswitch import events
from mustardswitch.internal import clock, ids, own_records, revisions
from mustardswitch.peers import datagrams
from mustardswitch.proxy import (
    directory,
    errors,
    fleet_records,
    peer_updates,
    ports,
    record_store,
    wait_records,
)

CLAIM_TTL_S = 3.0
"""Its holder renews a claim. After a restore of the store no service is claimed for as long, and a
leaving primary must then be replaced within seconds."""

WAIT_TTL_S = 20.0
"""The next holder of a claim records the wait of the same change sooner than that."""

Record = typing.TypeVar("Record")


class ServiceClaims:
    """Claims services for one instance, and writes what their changes of primary record."""

    def __init__(
        self,
        *,
        client: record_store.RecordStore,
        directory: directory.Directory,
        updates: peer_updates.PeerUpdates | None = None,
    ) -> None:
        self.client = client
        self.directory = directory
        self.updates = updates
        """Asks the other instances to hold commits back; None if there are none."""
        self.own = own_records.OwnRecords()

    def __repr__(self) -> str:
        return f"{type(self).__name__}(client={self.client!r}, directory={self.directory!r})"

    @property
    def instance(self) -> ids.InstanceId:
        """The instance that claims."""
        return self.directory.instance

    def may_open_era(self, delay_s: float) -> bool:
        """Return whether the store's era has no record, and claims of earlier eras have expired."""
        era, since_s = self.client.era, self.client.era_since_s
        closed = era > 0 and era not in self.directory.claim_eras
        return closed and clock.now_s() >= since_s + CLAIM_TTL_S + delay_s

    async def open_era(self) -> None:
        """Write the record of the store's era, or find that of another instance.

        Raises StoreError.
        """
        era = self.client.era
        key = f"{fleet_records.ERAS}{era}"
        former = {era - 1, *self.directory.claim_eras} - {era}
        revision = await self.client.change(
            expected={key: 0},
            puts=[record_store.Put(key=key, value=b"")],
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
        if self.may_open_era(0.0):
            await self.open_era()
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
                    record_store.Put(key=key, value=value, lease=lease),
                    paused_marker(service, value),
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
        put = record_store.Put(key=key, value=fleet_records.encode_end(stopped))
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
        put = record_store.Put(
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

    async def record_wait(self, claim: ports.Claim, wait: wait_records.Wait) -> None:
        """Record what a change of primary waits for, under the claim; raises StoreError.

        The record outlasts the claim, and ends unless a holder writes it anew.
        """
        put = record_store.Put(
            key=f"{fleet_records.WAITS}{claim.service}",
            value=wait_records.encode_wait(wait),
            lease=await self.client.grant_lease(WAIT_TTL_S),
        )
        await self.client.change(expected=self._condition(claim), puts=[put])

    async def recorded_wait(self, service: ids.ServiceName) -> wait_records.Wait | None:
        """Return the record of a wait; None for one of another era. Raises StoreError."""
        key = f"{fleet_records.WAITS}{service}"
        found = await self._read_record(key, wait_records.decode_wait)
        return found if found is not None and found.era == self.client.era else None

    async def given_up(self, service: ids.ServiceName) -> wait_records.Decision | None:
        """Return an operator's decision; None for one of another era. Raises StoreError."""
        key = f"{fleet_records.GIVEN_UP}{service}"
        found = await self._read_record(key, wait_records.decode_decision)
        return found if found is not None and found.era == self.client.era else None

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
        self, claim: ports.Claim, marks: collections.abc.Sequence[record_store.Put]
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
        complete: bool = False,
    ) -> None:
        """Release a claim; ``unfinished`` is None when the change of primary left nothing to do.

        Otherwise it is the state that the marker reports to the other instances, and ``promoted``
        the server whose promotion may still take effect. The records are removed or changed only
        if the service was not claimed again since. That of a ``stopped`` primary stays. Raises
        StoreError.
        """
        service = claim.service
        self.own.claims.discard(service)
        if self.updates is not None:
            self.updates.end_hold(service)
        marks: list[record_store.Put] = []
        if unfinished is ports.UnfinishedChange.PROMOTION_REQUESTED:
            marks = _promotion_records(service, promoted)
        elif unfinished is ports.UnfinishedChange.PAUSED:
            marks = [paused_marker(service, self.instance.encode())]
        deletes = [f"{fleet_records.CLAIMS}{service}"]
        if unfinished is None:
            deletes.append(f"{fleet_records.UNFINISHED}{service}")
        if promoted is None:
            deletes.append(f"{fleet_records.PROMOTIONS}{service}")
            deletes.append(f"{fleet_records.FINAL_ENDS}{service}")
        if stopped is None:
            deletes.append(f"{fleet_records.ENDS}{service}")
        if complete:
            deletes += [f"{fleet_records.WAITS}{service}", f"{fleet_records.GIVEN_UP}{service}"]
        released = await self.client.change(
            expected=self._condition(claim), puts=marks, deletes=deletes
        )
        if released is None:
            marks = marks or [paused_marker(service, self.instance.encode())]
            await self._mark_in_later_era(claim, marks)


def paused_marker(service: ids.ServiceName, value: bytes) -> record_store.Put:
    return record_store.Put(key=f"{fleet_records.UNFINISHED}{service}", value=value)


def _promotion_records(
    service: ids.ServiceName, promoted: ids.ServerId | None
) -> list[record_store.Put]:
    """Return the marker of a requested promotion, and the record of the server if it is known."""
    marker = record_store.Put(
        key=f"{fleet_records.UNFINISHED}{service}",
        value=ports.UnfinishedChange.PROMOTION_REQUESTED.value.encode(),
    )
    return [marker] if promoted is None else [marker, promotion_record(service, promoted)]


def promotion_record(service: ids.ServiceName, promoted: ids.ServerId) -> record_store.Put:
    return record_store.Put(key=f"{fleet_records.PROMOTIONS}{service}", value=promoted.encode())
