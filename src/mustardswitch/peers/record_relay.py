"""Passes the store's records on from the instances that follow the store to the others."""

import asyncio
import dataclasses

from mustardswitch import events
from mustardswitch.internal import (
    change_log,
    clock,
    ids,
    recent_failures,
    record_relays,
    revisions,
)
from mustardswitch.peers import datagrams, errors, record_codec, relay_codec

MAX_WAIT_S = 1.0
"""Longest wait for a change, after which an answer shows that the relay still runs."""
MIN_RENEWAL_S = 0.5
"""Least time by which records must be more current for an answer without a change."""
ANSWER_SLACK_S = 0.7
"""Time beyond the wait within which an answer must begin to arrive."""
TRANSFER_TIMEOUT_S = 2.0
"""Time for the items of an answer, which may hold a large configuration."""
CONNECT_TIMEOUT_S = 0.25
"""Relays are in the same availability zone."""
RECENT_FAILURE_DURATION_S = 3.0
"""How long a relay that failed or lost the store is not followed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Times:
    """How current records are (``clock.now_s``)."""

    confirmed_at_s: float
    """When the store last confirmed them."""
    as_of_s: float
    """When the store was asked for that."""


class RecordFeed:
    """The records of this instance, as it passes them on."""

    def __init__(self) -> None:
        self.log = change_log.ChangeLog()
        self.available = False
        self.confirmed_at_s = float("-inf")
        """When the store last confirmed that the records were current (``clock.now_s``)."""
        self.as_of_s = float("-inf")
        """When the store was asked for that. The records lack no earlier change, while its answer
        may have waited, with an instance that was frozen or on a slow link."""
        self.changed = asyncio.Event()
        """Set, and then replaced, when records or ``available`` change."""
        self.encoded: tuple[tuple[int, int, bool], bytes] | None = None
        """The latest encoded items, which usually serve all followers."""

    @property
    def era(self) -> int:
        """The store's era of the records."""
        return revisions.era_of(self.log.revision or 0)

    def publish(
        self,
        listing: change_log.Listing,
        *,
        confirmed_at_s: float,
        as_of_s: float | None = None,
    ) -> None:
        """Pass on what the store, or a relay, answered."""
        self.log.record(listing)
        self.available = True
        self.confirmed_at_s = confirmed_at_s
        self.as_of_s = confirmed_at_s if as_of_s is None else as_of_s
        self._wake()

    def note_outage(self) -> None:
        """Tell the followers that this instance does not follow the store any more."""
        self.available = False
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, request: record_codec.RecordRequest) -> bytes:
        """Return the answer to a follower, once there is a change or its wait is over."""
        ends_s = clock.now_s() + min(request.wait_s, MAX_WAIT_S)
        renewed_s = self.as_of_s + MIN_RENEWAL_S
        while self.available and self.log.revision is not None:
            left_s = ends_s - clock.now_s()
            if request.after is None or self.log.revision > request.after or left_s <= 0:
                break
            if self.as_of_s >= renewed_s:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                break
        listing = self.log.since(request.after) if self.available else None
        if listing is None:
            listing = change_log.Listing(items=(), revision=0)
        header = record_codec.RecordHeader(
            available=self.available,
            age_s=round(min(1e6, clock.now_s() - self.confirmed_at_s), 3),
            as_of_age_s=round(min(1e6, clock.now_s() - self.as_of_s), 3),
            revision=listing.revision,
            complete=listing.complete,
        )
        return record_codec.encode_header(header) + self._encode(request, listing)

    def _encode(self, request: record_codec.RecordRequest, listing: change_log.Listing) -> bytes:
        if not listing.items:
            return record_codec.encode_items(())
        key = (-1 if request.after is None else request.after, listing.revision, listing.complete)
        if self.encoded is None or self.encoded[0] != key:
            self.encoded = (key, record_codec.encode_items(listing.items))
        return self.encoded[1]


class RelayFollower:
    """Follows the relays of this instance's zone."""

    def __init__(self) -> None:
        self.recent_failures: recent_failures.RecentFailures[ids.InstanceId] = (
            recent_failures.RecentFailures(duration_s=RECENT_FAILURE_DURATION_S)
        )
        self.relay: ids.InstanceId | None = None
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    def __repr__(self) -> str:
        return f"RelayFollower(relay={self.relay!r})"

    def close(self) -> None:
        """Close the connection to the relay."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.relay = self.reader = self.writer = None

    def avoided(self) -> frozenset[ids.InstanceId]:
        """Return the relays that are not followed now."""
        return self.recent_failures.active(now_s=clock.now_s())

    def note_failure(self, relay: ids.InstanceId, reason: str) -> None:
        """Record that a relay failed or lost the store; it is not followed for a while."""
        self.recent_failures.add(relay, now_s=clock.now_s())
        events.log(events.Event.RELAY_SKIPPED, relay=relay, reason=reason)
        self.close()

    async def watch(
        self,
        relay: ids.InstanceId,
        address: datagrams.PeerAddress,
        *,
        after: int | None,
        wait_s: float | None = None,
    ) -> tuple[change_log.Listing, Times]:
        """Return a relay's changes after a revision, and how current they are.

        The relay waits for a change up to ``wait_s``, or MAX_WAIT_S. Raises PeerError when it does
        not answer or does not follow the store.
        """
        try:
            if self.relay != relay or self.writer is None:
                await self._connect(relay, address)
            asked_at_s = clock.now_s()
            wait_s = MAX_WAIT_S if wait_s is None else wait_s
            request = record_codec.RecordRequest(after=after, wait_s=wait_s)
            self.writer.write(record_codec.encode_request(request))
            async with asyncio.timeout(wait_s + ANSWER_SLACK_S):
                header = record_codec.decode_header(
                    await relay_codec.read_frame(self.reader),
                    default_era=revisions.era_of(after or 0),
                )
            era = revisions.era_of(header.revision)
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                items = record_codec.decode_items(
                    await relay_codec.read_frame(self.reader), era=era
                )
        except (OSError, EOFError, TimeoutError) as error:
            self.close()
            raise errors.PeerUnreachableError(f"relay {relay}: {error!r}") from error
        except BaseException:
            self.close()
            raise
        if not record_relays.is_current(available=header.available, age_s=header.age_s):
            raise errors.PeerUnreachableError(
                f"relay {relay} does not follow the store: age {header.age_s:.1f} s"
            )
        listing = change_log.Listing(
            items=items, revision=header.revision, complete=header.complete
        )
        return listing, Times(
            confirmed_at_s=asked_at_s - header.age_s, as_of_s=asked_at_s - header.as_of_age_s
        )

    async def _connect(self, relay: ids.InstanceId, address: datagrams.PeerAddress) -> None:
        self.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self.reader, self.writer = await asyncio.open_connection(address.host, address.port)
        self.relay = relay
