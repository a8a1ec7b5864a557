"""What instances agree on through the store: registration, votes and claims of failovers.

Everything an instance writes is bound to a lease, so that nothing of a dead instance stays, but
for the mark of an unfinished failover, which tells the others to resume paused replicas.
"""

import asyncio
import collections.abc
import random
import uuid

from mustardswitch import events
from mustardswitch.internal import clock, ids
from mustardswitch.peers import datagrams
from mustardswitch.platform import errors as platform_errors
from mustardswitch.platform import store
from mustardswitch.proxy import directory, errors, ports

PREFIX = "mustardswitch/"
INSTANCES = f"{PREFIX}instances/"
VOTES = f"{PREFIX}votes/"
CLAIMS = f"{PREFIX}claims/"
UNFINISHED = f"{PREFIX}unfinished/"

REGISTRATION_TTL_S = 6.0
"""Longer than usual freezes and cuts of an instance, shorter than its replacement."""
KEEP_S = 2.0
"""Two renewals may fail before the registration lapses."""
RETRY_S = 0.3
"""Pause after the first failed call, on average; it doubles up to the limit."""
RETRY_LIMIT_S = 1.5
"""Refused calls are paid for as well; with the way to the store an instance is back within 2 s."""
CLAIM_TTL_S = 7.0
"""Longer than a change of primary may take."""


def encode_peer(peer: directory.Peer) -> bytes:
    """Write what an instance registers itself with."""
    return f"{peer.zone} {peer.address.host} {peer.address.port}".encode()


def decode_peer(value: bytes) -> directory.Peer:
    """Read what an instance registered itself with; raises InvalidRecordError."""
    parts = value.decode(errors="replace").split(" ")
    if len(parts) != 3 or not parts[2].isdigit():
        raise platform_errors.InvalidRecordError("a registration has a zone, host and port")
    return directory.Peer(
        zone=ids.ZoneName(parts[0]),
        address=datagrams.PeerAddress(host=parts[1], port=int(parts[2])),
    )


class Coordination:
    """Registration of this instance, its votes and its claims."""

    def __init__(
        self,
        *,
        client: store.Store,
        instance: ids.InstanceId,
        zone: ids.ZoneName,
        peers: datagrams.PeerAddress,
        doubt: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.doubt = doubt
        self.client = client
        self.instance = instance
        self.zone = zone
        self.peers = peers
        self.lease = 0
        self.leaving = False

    def __repr__(self) -> str:
        return (
            f"Coordination(client={self.client!r}, instance={self.instance!r}, zone={self.zone!r})"
        )

    async def run(self) -> None:
        """Keep this instance registered until cancelled."""
        retry_s = RETRY_S
        while not self.leaving:
            try:
                if self.lease:
                    if not await self.client.keep_lease(self.lease):
                        events.log(events.Event.REGISTRATION_LOST, lease=self.lease)
                        self.lease = 0
                        continue
                else:
                    await self._register()
                retry_s = RETRY_S
                await asyncio.sleep(KEEP_S)
            except errors.StoreError as error:
                events.log(events.Event.STORE_CALL_FAILED, call="registration", reason=str(error))
                self.doubt()
                await asyncio.sleep(random.uniform(0.5, 1.0) * retry_s)
                retry_s = min(RETRY_LIMIT_S, 2 * retry_s)

    async def _register(self) -> None:
        lease = await self.client.grant_lease(REGISTRATION_TTL_S)
        value = encode_peer(directory.Peer(zone=self.zone, address=self.peers))
        put = store.Put(key=f"{INSTANCES}{self.instance}", value=value, lease=lease)
        if await self.client.change(expected={}, puts=[put]) is not None:
            self.lease = lease
            events.log(events.Event.REGISTERED, lease=lease)

    async def leave(self) -> None:
        """End the registration, so that the others share its connections at once."""
        self.leaving = True
        lease, self.lease = self.lease, 0
        if lease:
            await self.client.end_lease(lease)

    def _vote_key(self, service: ids.ServiceName, server: ids.ServerId) -> str:
        return f"{VOTES}{service}/{server}/{self.instance}"

    async def vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Tell the other instances that this one lacks a primary."""
        if not self.lease:
            raise errors.StoreError("this instance is not registered")
        put = store.Put(key=self._vote_key(service, server), value=b"", lease=self.lease)
        if await self.client.change(expected={}, puts=[put]) is None:
            raise errors.StoreError("the registration has lapsed")

    async def withdraw_vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Take a vote back."""
        await self.client.change(expected={}, deletes=[self._vote_key(service, server)])

    async def claim(self, service: ids.ServiceName) -> ports.Claim | None:
        """Claim a service; the store's revision of the claim is its fencing token.

        The revision is unique and rises with each claim. An earlier claim by this instance whose
        answer was lost is found by reading and taken over.
        """
        expires_at_s = clock.now_s() + CLAIM_TTL_S
        lease = await self.client.grant_lease(CLAIM_TTL_S)
        value = f"{self.instance} {uuid.uuid4().hex}".encode()
        key = f"{CLAIMS}{service}"
        try:
            revision = await self.client.change(
                expected={key: 0},
                puts=[
                    store.Put(key=key, value=value, lease=lease),
                    store.Put(key=f"{UNFINISHED}{service}", value=value),
                ],
            )
        except errors.StoreError as error:
            events.log(events.Event.STORE_CALL_FAILED, call="claim", reason=str(error))
            found = await self.client.read(key)
            revision = found.revision if found is not None and found.value == value else None
        if revision is None:
            await self.client.end_lease(lease)
            return None
        return ports.Claim(
            service=service, fencing_token=revision, expires_at_s=expires_at_s, lease=lease
        )

    async def note_promotion_requested(self, claim: ports.Claim) -> None:
        """Mark an order without an answer, unless somebody claimed since."""
        await self.client.change(
            expected={f"{CLAIMS}{claim.service}": claim.fencing_token}, puts=[_mark(claim)]
        )

    async def release(
        self, claim: ports.Claim, *, unfinished: ports.UnfinishedChange | None = None
    ) -> None:
        """Give a claim back; the mark goes or changes only if nobody claimed since."""
        key = f"{CLAIMS}{claim.service}"
        ordered = unfinished is ports.UnfinishedChange.PROMOTION_REQUESTED
        await self.client.change(
            expected={key: claim.fencing_token},
            puts=[_mark(claim)] if ordered else [],
            deletes=[key] if unfinished else [key, f"{UNFINISHED}{claim.service}"],
        )


def _mark(claim: ports.Claim) -> store.Put:
    return store.Put(
        key=f"{UNFINISHED}{claim.service}",
        value=ports.UnfinishedChange.PROMOTION_REQUESTED.value.encode(),
    )


def decode_unfinished(value: bytes) -> ports.UnfinishedChange:
    """Read the mark of an unfinished change; a claim's own value stands for paused replicas."""
    ordered = value == ports.UnfinishedChange.PROMOTION_REQUESTED.value.encode()
    return ports.UnfinishedChange.PROMOTION_REQUESTED if ordered else ports.UnfinishedChange.PAUSED
