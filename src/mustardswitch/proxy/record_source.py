"""The relays as a source of the store's records, beside the store itself.

An instance that the store turns away follows any other one that hears from it. Without current
records it could not know of a recorded promotion, and would have to hold its commits back.
"""

import asyncio
import collections.abc
import random

from mustardswitch import events
from mustardswitch.internal import change_log, clock, ids, record_relays
from mustardswitch.peers import errors, record_relay
from mustardswitch.proxy import directory

LOAD_WAIT_S = 2.0
"""Time for which an instance that starts waits for a relay to start, too, before it lists all
records itself. Instances that start again together would otherwise send a large configuration over
the links between regions once for each instance."""
LOAD_RETRY_S = 0.2
STORE_AVOIDED_S = 2.0
"""Time after a failed call for which other instances are followed before the store is tried again;
a call that stays unanswered takes about as long."""
FOLLOWED_TRIES = 3
"""Other instances that are asked in turn; the store may turn a third of them away."""


class RecordSource:
    """Reads the store's records from the relays of the zone, if this instance is not one itself."""

    def __init__(
        self, *, directory: directory.Directory, feed: record_relay.RecordFeed | None = None
    ) -> None:
        self.directory = directory
        self.feed = feed or record_relay.RecordFeed()
        self.follower = record_relay.RelayFollower()
        self.store_avoided_until_s = float("-inf")
        """Until when other instances are followed (``clock.now_s``)."""

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
        if clock.now_s() < self.store_avoided_until_s:
            return await self._watch_others(after)
        return None

    async def _watch_others(self, after: int) -> change_log.Listing | None:
        """Return the changes after a revision from any other instance; None if none has them."""
        for relay in self._other_instances():
            listing = await self._ask(relay, after=after, avoid_on_failure=True)
            if listing is not None:
                return listing
        return None

    def _other_instances(self) -> list[ids.InstanceId]:
        """Return instances to follow: the present one first, then near ones in random order.

        Those that have failed lately come last, since there may be no other.
        """
        location, avoided = self.directory.location, self.follower.avoided()
        others = [
            candidate
            for candidate in self.directory.candidates()
            if candidate.instance != self.directory.instance
        ]
        random.shuffle(others)
        others.sort(
            key=lambda each: (
                each.instance in avoided,
                each.instance != self.follower.relay,
                location.distance(each.zone).value,
            )
        )
        return [each.instance for each in others[:FOLLOWED_TRIES]]

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

    async def fetch(self, after: int) -> collections.abc.AsyncIterator[change_log.Listing]:
        """Yield the changes after a revision that other instances have now.

        What is passed on to followers, and who is followed, does not change.
        """
        for instance in self._other_instances():
            peer = self.directory.instances.entries.get(instance)
            if peer is None or peer.address is None:
                continue
            connection = record_relay.RelayFollower()
            try:
                listing, _ = await connection.watch(instance, peer.address, after=after, wait_s=0.0)
            except errors.PeerError as error:
                events.log(events.Event.RELAY_SKIPPED, relay=instance, reason=str(error))
                continue
            finally:
                connection.close()
            yield listing

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

    def note_applied(self) -> None:
        """Tell the directory that it holds what was published last."""
        self.directory.permission.note_current(self.feed.as_of_s)

    def note_outage(self) -> None:
        """Tell the followers of this instance that it does not follow the store any more.

        It follows another instance for a while.
        """
        self.store_avoided_until_s = clock.now_s() + STORE_AVOIDED_S
        self.feed.note_outage()

    def close(self) -> None:
        """Close the connection to the relay."""
        self.follower.close()
