"""The lease that keeps several instances from failing a group over at once.

The lease saves work and is never what makes a failover safe; the fenced terms are.
"""

import asyncio

from mustardswitch.etcd import errors, store
from mustardswitch.internal import failover, groups, ids

LEASE_TTL_S = 2
CLAIM_TIMEOUT_S = 0.14
LEASE_PREFIX = "mustardswitch/failover/"
VIEW_PREFIX = "mustardswitch/primaries/"


class FailoverLeases:
    """Claims and releases failover leases, and publishes who leads."""

    def __init__(self, *, client: store.Store, instance: ids.InstanceId) -> None:
        self.client = client
        self.instance = instance
        self.held: dict[ids.DatabaseName, int] = {}

    async def claim(self, database: ids.DatabaseName) -> failover.LeaseAnswer:
        """Claim the lease of a group; a store without an answer in time counts as unavailable."""
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                lease = await self.client.grant_lease(LEASE_TTL_S)
                await self.client.compare_and_swap(
                    f"{LEASE_PREFIX}{database}",
                    self.instance.encode(),
                    expected_revision=0,
                    lease=lease,
                )
        except errors.StoreConflictError:
            return failover.LeaseAnswer.HELD
        except (errors.StoreUnavailableError, TimeoutError):
            return failover.LeaseAnswer.UNAVAILABLE
        self.held[database] = lease
        return failover.LeaseAnswer.GRANTED

    async def release(self, database: ids.DatabaseName) -> None:
        """Give the lease of a group back; it lapses by itself when that fails."""
        lease = self.held.pop(database, None)
        if lease is None:
            return
        try:
            await self.client.revoke_lease(lease)
        except errors.StoreUnavailableError:
            return

    async def publish(self, view: groups.GroupView) -> None:
        """Write who leads into the store, unless a later term is written there."""
        key = f"{VIEW_PREFIX}{view.database}"
        try:
            known = await self.client.read(key)
            if known is not None and int(known.value.split(b" ")[0]) >= view.term:
                return
            await self.client.compare_and_swap(
                key,
                f"{view.term} {view.primary}".encode(),
                expected_revision=known.revision if known else 0,
            )
        except errors.PlatformError:
            return
