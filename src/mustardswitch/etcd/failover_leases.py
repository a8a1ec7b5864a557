"""The lease that keeps several instances from starting a failover of one group at once.

The lease only avoids duplicate work; fencing by term is what makes a failover safe.
"""

import asyncio

from mustardswitch.etcd import errors, store
from mustardswitch.internal import failover, groups, ids

LEASE_TTL_S = 2
CLAIM_TIMEOUT_S = 0.14
"""Seconds for both calls of a claim, granting the lease and writing the key; shorter than
``failover.LEASE_ANSWER_TIMEOUT_S``, after which a failover continues without the lease."""
LEASE_PREFIX = "mustardswitch/failover/"
PRIMARY_PREFIX = "mustardswitch/primaries/"


class FailoverLeases:
    """Claims and releases failover leases, and publishes the primaries of groups."""

    def __init__(self, *, client: store.Store, instance: ids.InstanceId) -> None:
        self.client = client
        self.instance = instance
        self.held: dict[ids.DatabaseName, int] = {}

    async def claim(self, database: ids.DatabaseName) -> failover.LeaseAnswer:
        """Claim the lease of a group.

        Returns UNAVAILABLE when the store does not answer within ``CLAIM_TIMEOUT_S``.
        """
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
        """Release the lease of a group; it expires after ``LEASE_TTL_S`` when that fails."""
        lease = self.held.pop(database, None)
        if lease is None:
            return
        try:
            await self.client.revoke_lease(lease)
        except errors.StoreUnavailableError:
            return

    async def publish(self, view: groups.GroupView) -> None:
        """Write the primary of a group into the store, unless it holds the same or a later term.

        Errors of the store are ignored.
        """
        key = f"{PRIMARY_PREFIX}{view.database}"
        try:
            stored = await self.client.read(key)
            if stored is not None and int(stored.value.split(b" ")[0]) >= view.term:
                return
            await self.client.compare_and_swap(
                key,
                f"{view.term} {view.primary}".encode(),
                expected_revision=stored.revision if stored else 0,
            )
        except errors.PlatformError:
            return
