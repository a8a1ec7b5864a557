"""The relays as a source of the store's records, beside the store itself."""

import asyncio

from mustardswitch.internal import change_log, clock, ids, record_relays
from mustardswitch.peers import errors, record_relay
from mustardswitch.proxy import directory

LOAD_WAIT_S = 2.0
"""Time for which an instance that starts waits for a relay to start, too, before it lists all
records itself. Instances that start again together would otherwise send a large configuration over
the links between regions once for each instance."""
LOAD_RETRY_S = 0.2


class RecordSource:
    """Reads the store's records from the relays of the zone, if this instance is not one itself."""

    def __init__(
        self, *, directory: directory.Directory, feed: record_relay.RecordFeed | None = None
    ) -> None:
        self.directory = directory
        self.feed = feed or record_relay.RecordFeed()
        self.follower = record_relay.RelayFollower()

    def __repr__(self) -> str:
        return f"RecordSource(directory={self.directory!r})"

    def _order(self, avoided: frozenset[ids.InstanceId]) -> list[ids.InstanceId]:
        return record_relays.relay_order(
            self.directory.candidates(),
            instance=self.directory.instance,
            zone=self.directory.location.zone,
            avoided=avoided,
        )

    async def watch(self, after: int) -> change_log.Listing | None:
        """Return the changes after a revision; None when the store is to be asked."""
        for relay in self._order(self.follower.avoided()):
            listing = await self._ask(relay, after=after, avoid_on_failure=True)
            if listing is not None:
                return listing
        return None

    async def load(self, *, not_before: int) -> change_log.Listing | None:
        """Return all records, at ``not_before`` or a later revision.

        Returns None when the store is to be asked: this instance is a relay, or no relay has
        answered within ``LOAD_WAIT_S``.
        """
        ends_s = clock.now_s() + LOAD_WAIT_S
        while True:
            order = self._order(frozenset())
            for relay in order:
                listing = await self._ask(relay, after=None, avoid_on_failure=False)
                if listing is not None and listing.complete and listing.revision >= not_before:
                    return listing
            if not order or clock.now_s() >= ends_s:
                return None
            await asyncio.sleep(LOAD_RETRY_S)

    async def _ask(
        self, relay: ids.InstanceId, *, after: int | None, avoid_on_failure: bool
    ) -> change_log.Listing | None:
        peer = self.directory.instances.entries.get(relay)
        if peer is None or peer.address is None:
            return None
        try:
            listing, times = await self.follower.watch(relay, peer.address, after=after)
        except errors.PeerError as error:
            if avoid_on_failure:
                self.follower.note_failure(relay, str(error))
            return None
        self.feed.publish(listing, confirmed_at_s=times.confirmed_at_s, as_of_s=times.as_of_s)
        return listing

    def publish(self, listing: change_log.Listing, *, asked_at_s: float | None = None) -> None:
        """Pass on what the store has answered just now, when asked at ``asked_at_s``."""
        self.feed.publish(listing, confirmed_at_s=clock.now_s(), as_of_s=asked_at_s)

    def note_recovery(self, now_s: float) -> None:
        """Tell the directory that this instance follows the store, and as of when it does."""
        for registrations in (self.directory.servers, self.directory.instances):
            registrations.note_recovery(now_s)
            registrations.note_confirmed(
                self.feed.confirmed_at_s, revision=self.feed.log.revision or 0
            )

    def note_outage(self) -> None:
        """Tell the followers of this instance that it does not follow the store any more."""
        self.feed.note_outage()

    def close(self) -> None:
        """Close the connection to the relay."""
        self.follower.close()
