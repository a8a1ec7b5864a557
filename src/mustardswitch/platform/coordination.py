"""Coordination of instances through the store: registration, votes, claims to change a primary.

Every key that an instance writes is bound to a lease, so that it expires when the instance dies.
The one exception is the marker of an unfinished change of primary, which makes the other instances
resume paused replicas.
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
"""Longer than usual stalls and network partitions of an instance, shorter than its replacement
takes."""
RENEWAL_INTERVAL_S = 2.0
"""Two renewals may fail before the registration expires."""
RETRY_S = 0.3
"""Longest pause after the first failed call, jittered down to half; it doubles up to the limit."""
RETRY_LIMIT_S = 1.5
"""Rejected calls are billed too, so retries are spaced out; with the round trip to the store, an
instance is registered again within 2 s."""
CLAIM_TTL_S = 7.0
"""Longer than a change of primary may take."""


def encode_peer(peer: directory.Peer) -> bytes:
    """Encode the registration of an instance."""
    return f"{peer.zone} {peer.address.host} {peer.address.port}".encode()


def decode_peer(value: bytes) -> directory.Peer:
    """Decode the registration of an instance; raises InvalidRecordError."""
    parts = value.decode(errors="replace").split(" ")
    if len(parts) != 3 or not parts[2].isdigit():
        raise platform_errors.InvalidRecordError(
            "a registration must be a zone, host and port, separated by blanks"
        )
    return directory.Peer(
        zone=ids.ZoneName(parts[0]),
        address=datagrams.PeerAddress(host=parts[1], port=int(parts[2])),
    )


class Coordination:
    """Registers this instance in the store, and writes its votes and claims there.

    ``on_call_failed`` is called after each failed call for the registration.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        instance: ids.InstanceId,
        zone: ids.ZoneName,
        peer_address: datagrams.PeerAddress,
        on_call_failed: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.on_call_failed = on_call_failed
        self.client = client
        self.instance = instance
        self.zone = zone
        self.peer_address = peer_address
        self.lease = 0
        self.leaving = False

    def __repr__(self) -> str:
        return (
            f"Coordination(client={self.client!r}, instance={self.instance!r}, zone={self.zone!r})"
        )

    async def run(self) -> None:
        """Keep this instance registered until it leaves or the task is cancelled."""
        retry_s = RETRY_S
        while not self.leaving:
            try:
                if self.lease:
                    if not await self.client.renew_lease(self.lease):
                        events.log(events.Event.REGISTRATION_LOST, lease=self.lease)
                        self.lease = 0
                        continue
                else:
                    await self._register()
                retry_s = RETRY_S
                await asyncio.sleep(RENEWAL_INTERVAL_S)
            except errors.StoreError as error:
                events.log(events.Event.STORE_CALL_FAILED, call="registration", reason=str(error))
                self.on_call_failed()
                await asyncio.sleep(random.uniform(0.5, 1.0) * retry_s)
                retry_s = min(RETRY_LIMIT_S, 2 * retry_s)

    async def _register(self) -> None:
        lease = await self.client.grant_lease(REGISTRATION_TTL_S)
        value = encode_peer(directory.Peer(zone=self.zone, address=self.peer_address))
        put = store.Put(key=f"{INSTANCES}{self.instance}", value=value, lease=lease)
        if await self.client.change(expected={}, puts=[put]) is not None:
            self.lease = lease
            events.log(events.Event.REGISTERED, lease=lease)

    async def leave(self) -> None:
        """Revoke the registration; the other instances then share its connections at once.

        Those are its share of the connections that each service allows. Raises StoreError.
        """
        self.leaving = True
        lease, self.lease = self.lease, 0
        if lease:
            await self.client.revoke_lease(lease)

    def _vote_key(self, service: ids.ServiceName, server: ids.ServerId) -> str:
        return f"{VOTES}{service}/{server}/{self.instance}"

    async def vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Publish a vote to replace a primary that this instance suspects; raises StoreError."""
        if not self.lease:
            raise errors.StoreError("this instance is not registered")
        put = store.Put(key=self._vote_key(service, server), value=b"", lease=self.lease)
        if await self.client.change(expected={}, puts=[put]) is None:
            raise errors.StoreError("the registration has expired")

    async def withdraw_vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Withdraw a vote; raises StoreError."""
        await self.client.change(expected={}, deletes=[self._vote_key(service, server)])

    async def claim(self, service: ids.ServiceName) -> ports.Claim | None:
        """Claim a service's change of primary; return None when another instance holds the claim.

        The store's revision of the claim is its fencing token: it is unique and rises with each
        claim. When the store's answer is lost, reading the key back shows whether the claim was
        written. Raises StoreError when the lease is not granted or that read fails too.
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
            await self.client.revoke_lease(lease)
            return None
        return ports.Claim(
            service=service, fencing_token=revision, expires_at_s=expires_at_s, lease=lease
        )

    async def note_promotion_requested(self, claim: ports.Claim) -> None:
        """Record that a promotion request got no answer, unless the service was claimed since.

        Raises StoreError.
        """
        await self.client.change(
            expected={f"{CLAIMS}{claim.service}": claim.fencing_token},
            puts=[_promotion_marker(claim)],
        )

    async def release(
        self, claim: ports.Claim, *, unfinished: ports.UnfinishedChange | None = None
    ) -> None:
        """Release a claim; ``unfinished`` is None when the change of primary was completed.

        Otherwise it is the state that the marker reports to the other instances. The marker is
        removed or changed only if the service was not claimed again since. Raises StoreError.
        """
        key = f"{CLAIMS}{claim.service}"
        requested = unfinished is ports.UnfinishedChange.PROMOTION_REQUESTED
        await self.client.change(
            expected={key: claim.fencing_token},
            puts=[_promotion_marker(claim)] if requested else [],
            deletes=[key] if unfinished else [key, f"{UNFINISHED}{claim.service}"],
        )


def _promotion_marker(claim: ports.Claim) -> store.Put:
    return store.Put(
        key=f"{UNFINISHED}{claim.service}",
        value=ports.UnfinishedChange.PROMOTION_REQUESTED.value.encode(),
    )


def decode_unfinished(value: bytes) -> ports.UnfinishedChange:
    """Decode the marker of an unfinished change of primary.

    It holds the value of the claim, which stands for paused replicas, unless a promotion request
    got no answer.
    """
    requested = value == ports.UnfinishedChange.PROMOTION_REQUESTED.value.encode()
    return (
        ports.UnfinishedChange.PROMOTION_REQUESTED if requested else ports.UnfinishedChange.PAUSED
    )
