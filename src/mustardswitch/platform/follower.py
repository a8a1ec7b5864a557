"""Follows the store, itself or through a relay, and applies its changes to the directory."""

import asyncio
import collections.abc
import random

from mustardswitch import events
from mustardswitch.internal import change_log, clock, ids, revisions
from mustardswitch.platform import errors, records, store
from mustardswitch.proxy import directory, fleet_records, record_source
from mustardswitch.proxy import errors as proxy_errors

ALL_KEYS = ""
"""Prefix of every key: one watch over all keys costs one call, one per prefix would cost three."""
WATCH_WAIT_S = 1.7
"""Longest wait of one watch. A watch may miss a change while the store drops its history; the next
watch reports it. With the limit of 1 s for its answer, this stays under the 4 s within which a
configuration must be in force."""
WAITED_SHARE = 0.95
"""Part of the wait of a watch that certainly passed at the store, whose clock may run faster."""
BATCH_DELAY_S = 0.03
"""Pause between watches, so that changes made together arrive in one answer."""
BATCH_DELAY_PER_INSTANCE_S = 0.008
"""Added to the pause of an instance that watches the store, for each instance of the fleet: the
changes of every one of them end a watch, and each watch is a call."""
MAX_BATCH_DELAY_S = 0.5
"""Longest such addition; a small part of the time within which a configuration must be in force."""
RETRY_S = 0.3
"""Longest pause after the first failed call, jittered down to half; it doubles up to the limit."""
RETRY_LIMIT_S = 1.0
"""A configuration must be in force within 4 s after the store is available again."""


def _longer_pause(pause_s: float) -> float:
    return min(RETRY_LIMIT_S, 2 * pause_s) if pause_s else RETRY_S


class Follower:
    """Keeps the directory up to date with the store, across lost history and outages.

    ``on_applied`` is called with the revision at which the directory is after each change.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        directory: directory.Directory,
        record_relays: record_source.RecordSource | None = None,
        on_applied: collections.abc.Callable[[int], None] = lambda revision: None,
    ) -> None:
        self.client = client
        self.on_applied = on_applied
        self.directory = directory
        self.record_relays = record_relays or record_source.RecordSource(directory=directory)
        self.applied_revision = 0
        """Every change up to this revision has been applied."""
        self.revisions: dict[str, int] = {}
        self.configurations = records.ConfigurationDecoder()
        self.restored = False
        """Whether the listing that is being applied is the first one of a restored store."""
        self.loaded = asyncio.Event()
        self.available = True
        self.last_available_s = clock.now_s()

    def __repr__(self) -> str:
        return f"Follower(client={self.client!r}, directory={self.directory!r})"

    async def run(self) -> None:
        """List all keys, then watch for changes, until cancelled."""
        after: int | None = None
        retry_s = 0.0
        while True:
            try:
                if after is None:
                    after = await self._load()
                else:
                    after = await self._watch(after)
                    retry_s = 0.0
            except errors.HistoryLostError as error:
                events.log(events.Event.HISTORY_LOST, reason=str(error))
                after = None
                # Lists at once after a watch that worked, but not again and again without one.
                await asyncio.sleep(random.uniform(0.5, 1.0) * retry_s)
                retry_s = _longer_pause(retry_s)
            except proxy_errors.StoreError as error:
                self._note_outage(str(error))
                # The first time, another instance is asked at once.
                await asyncio.sleep(random.uniform(0.5, 1.0) * retry_s)
                retry_s = _longer_pause(retry_s)

    def interrupt_watch(self) -> None:
        """Abort the watch in progress: another call failed, so the store may be unavailable."""
        self.client.watches.close()

    def _note_outage(self, reason: str) -> None:
        if self.available:
            events.log(
                events.Event.STORE_UNAVAILABLE,
                reason=reason,
                known_for_s=round(clock.now_s() - self.last_available_s, 3),
            )
        self.available = False
        self.directory.servers.note_outage()
        self.directory.instances.note_outage()
        self.record_relays.note_outage()

    def _note_available(self) -> None:
        if not self.available:
            events.log(
                events.Event.STORE_AVAILABLE,
                out_s=round(clock.now_s() - self.last_available_s, 3),
                applied_revision=self.applied_revision,
                era=self.client.era,
            )
        self.available = True
        self.last_available_s = clock.now_s()
        self.record_relays.note_recovery(self.last_available_s)

    async def _load(self) -> int:
        if not self.directory.instances.entries:
            listed = await self.client.list_all(fleet_records.INSTANCES, serializable=True)
            for item in listed.items:
                self.apply(item)
        era_start = revisions.join(era=self.client.era, number=0)
        listing = await self.record_relays.load(not_before=max(self.applied_revision, era_start))
        if listing is None:
            asked_at_s = clock.now_s()
            listing = await self.client.list_all(ALL_KEYS)
            self.record_relays.publish(listing, asked_at_s=asked_at_s)
            # The store's own listing is never behind, whatever revisions were applied before.
            self.applied_revision = min(self.applied_revision, listing.revision)
            self.revisions = dict.fromkeys(self.revisions, 0)
        return self._apply_listing(listing)

    async def _watch(self, after: int) -> int:
        listing = await self.record_relays.watch(after)
        pause_s = BATCH_DELAY_S
        if listing is None:
            asked_at_s = clock.now_s()
            listing = await self.client.watch(ALL_KEYS, after=after, wait_s=WATCH_WAIT_S)
            # Without a change, the store has waited before it answered. Only a watch that it cuts,
            # up to ``commit_permission.WATCH_LAG_S`` later, shows that it was dropping its history.
            waited_s = WAITED_SHARE * WATCH_WAIT_S
            if listing.items or clock.now_s() < asked_at_s + waited_s:
                waited_s = 0.0
            self.record_relays.publish(listing, asked_at_s=asked_at_s + waited_s)
            pause_s += min(
                MAX_BATCH_DELAY_S, BATCH_DELAY_PER_INSTANCE_S * self.directory.instance_count
            )
        after = self._apply_listing(listing)
        await asyncio.sleep(pause_s)
        return after

    def _apply_listing(self, listing: change_log.Listing) -> int:
        era, era_before = map(revisions.era_of, (listing.revision, self.applied_revision))
        self.restored = era > era_before > 0
        if self.restored:
            self._note_restored()
        self._note_available()
        if listing.revision < self.applied_revision:
            # A relay that is behind this instance; its answer could bring removed keys back.
            events.log(
                events.Event.LISTING_SKIPPED,
                revision=listing.revision,
                applied_revision=self.applied_revision,
                era=self.client.era,
                complete=listing.complete,
            )
            return self.applied_revision
        if listing.complete:
            listed = {item.key for item in listing.items}
            for key in [key for key in self.revisions if key not in listed]:
                self.apply(change_log.Item(key=key, value=None, revision=listing.revision))
        for item in listing.items:
            self.apply(item)
        if listing.items or listing.complete:
            self.directory.refresh()
            self._note_loaded()
        self.applied_revision = listing.revision
        self.record_relays.note_applied()
        if listing.items or listing.complete:
            self.on_applied(listing.revision)
        return listing.revision

    def _note_restored(self) -> None:
        """Keep entries that the copy lacks until their owners had time to write them again."""
        self.directory.servers.note_outage()
        self.directory.instances.note_outage()
        for target in self.directory.services.values():
            target.commits.note_restored()

    def _note_loaded(self) -> None:
        if self.directory.configuration is not None:
            self.loaded.set()

    def apply(self, item: change_log.Item) -> None:
        """Apply a change unless a later change of its key was applied before.

        An invalid record is logged and counted, and the last valid record of its key stays in
        effect.
        """
        applied = self.revisions.get(item.key, 0)
        if item.revision < applied:
            events.log(
                events.Event.RECORD_SKIPPED,
                key=item.key,
                revision=item.revision,
                applied_revision=applied,
                era=self.client.era,
            )
            return
        if item.value is None:
            self.revisions.pop(item.key, None)
        else:
            self.revisions[item.key] = item.revision
        try:
            self._apply_record(item)
        except (
            errors.InvalidRecordError,
            proxy_errors.FleetRecordError,
            ValueError,
            TypeError,
            RecursionError,
        ) as error:
            self.directory.registry.count("records_rejected")
            events.log(
                events.Event.RECORD_REJECTED,
                key=item.key,
                revision=item.revision,
                reason=str(error),
            )

    def _apply_record(self, item: change_log.Item) -> None:
        key = item.key
        if key == records.CONFIGURATION_KEY:
            if item.value is not None:
                self.directory.configure(self.configurations.decode(item.value))
        elif key.startswith(records.SERVERS_PREFIX):
            self._apply_server(item)
        elif key.startswith(fleet_records.PREFIX):
            fleet_records.apply(self.directory, item)

    def _apply_server(self, item: change_log.Item) -> None:
        server = ids.ServerId(item.key.removeprefix(records.SERVERS_PREFIX))
        if item.value is None:
            self.directory.servers.remove(server, clock.now_s())
        else:
            try:
                entry = records.decode_server(item.key, item.value, item.revision)
            except errors.InvalidRecordError:
                self.directory.servers.note_overwritten(server, clock.now_s())
                raise
            known = self.directory.servers.entries.get(entry.server)
            if known is not None and entry.is_older_than(known, restored=self.restored):
                events.log(
                    events.Event.RECORD_SKIPPED,
                    key=item.key,
                    revision=item.revision,
                    applied_revision=known.revision,
                    era=self.client.era,
                )
                entry = known
            self.directory.servers.put(entry.server, entry)
