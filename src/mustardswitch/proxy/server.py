"""One backend server from an instance's view: its connections, latency and failures."""

import asyncio
import collections.abc
import copy
import weakref

from mustardswitch import connection_pool, events
from mustardswitch.backends import errors
from mustardswitch.internal import clock, ids, positions, promotion, server_contact
from mustardswitch.internal.admission import in_turn
from mustardswitch.internal.pace import references
from mustardswitch.internal.placement import health, read_placement
from mustardswitch.proxy import (
    contact_signs,
    feature_set,
    paced_limit,
    ports,
    routes,
    server_pace,
    stalls,
    tenant_pool,
)

INITIAL_LATENCY_S = {
    read_placement.Distance.ZONE: 0.02,
    read_placement.Distance.REGION: 0.025,
    read_placement.Distance.OTHER_REGION: 0.06,
}
"""Latencies assumed until one is measured: the usual work of a read plus the round trip."""
LATENCY_WEIGHT = 0.15
"""Weight of a new measurement in the moving average of the latency."""
LATENCY_RECOVERY_S = 3.0
"""Half-life of a latency that is not measured again; after some half-lives a slow server is tried
again."""
RECENT_FAILURE_DURATION_S = 0.5
"""How long a server that failed is tried last; longer than a broken connection takes to be
detected."""
REOPEN_LIMIT_S = 0.25
"""Longest pause before a connection is opened again; a server that returns is used within this."""
MIN_RECHECK_DELAY_S = 0.15
"""Pause before another read is tried on a lagging replica; longer than the usual lag."""
MAX_RECHECK_DELAY_S = 1.2
"""Longest such pause, which doubles up to this; close to the staleness that reads accept, so that a
replica that has caught up serves reads again before the required positions have advanced."""


FULL_REPORT_INTERVAL_S = 1.0
"""Shortest time between two events about work that the pool of a server refused."""


class Server:
    """Connections to one server, and its recent latency and failures."""

    def __init__(
        self,
        *,
        entry: ports.ServerEntry,
        distance: read_placement.Distance,
        opener: ports.LinkOpener,
        connections: int,
        serves_tenants: bool = False,
        on_exchange: collections.abc.Callable[[], None] = lambda: None,
        pace: server_pace.ServerPace | None = None,
        features: feature_set.Features = feature_set.NO_FEATURES,
        on_refusal: connection_pool.RefusalCallback = lambda reason, request: None,
    ) -> None:
        self.pace = pace
        """Limit of a server that has just started; None when the feature is off."""
        self.paused_transactions: weakref.WeakSet[object] = weakref.WeakSet()
        """Transactions that hold a connection between two statements."""
        self.entry = entry
        self.distance = distance
        self.opener = opener
        self.entry_written_at_s = clock.now_s()
        """When the server was last seen to write its entry (``clock.now_s``)."""
        self.links: set[ports.Link] = set()
        self.latency_s = INITIAL_LATENCY_S[distance]
        self.measured_at_s = clock.now_s()
        self.answered_at_s = clock.now_s()
        self.opening_since_s: float | None = None
        self.abandoned_since_s: float | None = None
        """Since when commands and attempts to connect that were abandoned have had no answer
        (``clock.now_s``); None after any answer."""
        self.contacts = server_contact.ContactLog()
        """What this instance has last heard of the server."""
        self.failed_probes = 0
        self.unreachable = False
        """Whether the last attempt to open a connection failed."""
        self.refused_connections = 0
        self.avoided_until_s = float("-inf")
        self.health: health.Health | None = None
        """Judgement of its answers; None without the feature ``placement``."""
        self.stalls = stalls.StallMeter()
        """Stalls of this instance, for which the server is not judged."""
        self.missing_position: positions.Position | None = None
        """A position that was missing from the server's log when it was last checked, and with it
        all later ones."""
        self.recheck_at_s = float("-inf")
        """When a read may check again whether the log holds ``missing_position``."""
        self.recheck_delay_s = MIN_RECHECK_DELAY_S
        self.in_flight = 0
        self.on_refusal = on_refusal
        self.refusals_unreported = 0
        """Refusals since the latest WORK_REFUSED event."""
        self.full_logged_at_s = float("-inf")
        admission = {}
        if features.admission:
            admission = {"by_target": True, "on_refusal": self._note_refusal}
        self.pool: connection_pool.ConnectionPool[ports.Link]
        if serves_tenants:
            self.pool = tenant_pool.TenantPool(
                name=entry.server,
                opener=self._open,
                size=connections,
                reopen_limit_s=REOPEN_LIMIT_S,
                on_exchange=on_exchange,
                **admission,
            )
        else:
            self.pool = connection_pool.ConnectionPool(
                name=entry.server,
                opener=self._open,
                size=connections,
                reopen_limit_s=REOPEN_LIMIT_S,
                **admission,
            )
        if pace is not None:
            self.pool.limit = paced_limit.PacedLimit(
                maximum=connections, bound=self._paced_connections
            )
            if serves_tenants:
                self.pool.max_openings = server_pace.MAX_OPENINGS
        self.pool.on_unused = lambda link: link.shed()

    def __repr__(self) -> str:
        return (
            f"Server(entry={self.entry!r}, distance={self.distance!r}, opener={self.opener!r},"
            f" connections={self.pool.size!r})"
        )

    def preview(self) -> "Server":
        """Return a copy for which the order of reads can be tried; its pool is the same."""
        copied = copy.copy(self)
        copied.health = self.health.preview() if self.health is not None else None
        return copied

    @property
    def server(self) -> ids.ServerId:
        """The server's id."""
        return self.entry.server

    async def _open(self, tenant: ids.TenantName = routes.NO_TENANT) -> ports.Link:
        since_s = self.opening_since_s = clock.now_s()
        try:
            link = await self.opener(self.entry, tenant)
        except errors.ServerRefusedError as error:
            self.refused_connections += 1
            self._note_abandoned(self.opening_since_s)
            self._note_unreachable(error, since_s)
            raise
        except errors.ConnectionLimitError as error:
            self.note_answer()
            self._avoid()
            self._note_unreachable(error, since_s)
            raise
        except errors.BackendError as error:
            self._note_abandoned(self.opening_since_s)
            self._note_unreachable(error, since_s)
            raise
        else:
            if self.pace is not None:
                self.pace.note_connected()
            self.note_answer()
            self._note_reachable()
        finally:
            self.opening_since_s = None
        self.links = {each for each in self.links if not each.broken}
        self.links.add(link)
        return link

    def _note_unreachable(self, error: errors.BackendError, since_s: float) -> None:
        contact_signs.note_error(self.contacts, error, since_s=since_s)
        if self.health is not None and self.pool.held <= self.pool.opening:
            self.health.note_unreachable(clock.now_s(), reason=str(error))
        if self.pace is not None and not isinstance(error, errors.ConnectionLimitError):
            self.pace.note_lost()
        if self.unreachable:
            return
        self.unreachable = True
        events.log(
            events.Event.SERVER_LOST,
            service=self.entry.service,
            server=self.server,
            connections=self.pool.held,
            size=self.pool.size,
            reason=str(error),
        )

    def _note_reachable(self) -> None:
        if self.unreachable:
            if self.health is not None:
                self.health.note_reachable(clock.now_s())
            self.unreachable = False
            events.log(events.Event.SERVER_REGAINED, service=self.entry.service, server=self.server)

    def _paced_connections(self) -> int:
        """Return how many connections may be handed out, those of paused transactions included.

        The pace limits statements, and a transaction may pause for seconds.
        """
        allowed = self.pace.allowed()
        return allowed + len(self.paused_transactions) if self.pace.limited else allowed

    def note_paused(self, transaction: object) -> None:
        """Record that a transaction keeps its connection until its next statement."""
        if self.pace is not None:
            self.paused_transactions.add(transaction)
            self.pool.serve_waiting()

    def note_resumed(self, transaction: object) -> None:
        """Record that a transaction sends a statement, or releases its connection."""
        self.paused_transactions.discard(transaction)

    def note_refused(self) -> None:
        """Record that the server rejected a statement as overloaded."""
        if self.pace is not None:
            self.pace.note_error()

    def _note_refusal(
        self, reason: in_turn.Reason, request: connection_pool.ConnectionRequest
    ) -> None:
        """Report work that the pool refused; at most one event per ``FULL_REPORT_INTERVAL_S``."""
        self.on_refusal(reason, request)
        self.refusals_unreported += 1
        now_s = clock.now_s()
        if now_s < self.full_logged_at_s + FULL_REPORT_INTERVAL_S:
            return
        events.log(
            events.Event.WORK_REFUSED,
            service=self.entry.service,
            server=self.server,
            reason=reason.value,
            priority=request.priority,
            tenant=request.caller,
            transaction=request.holds,
            refused=self.refusals_unreported,
            waiting=self.pool.waiting,
            busy=self.pool.busy,
            connections=self.pool.limit.allowed,
            transactions=self.pool.use.transactions,
            hold_s=round(self.pool.use.average_holding_s[request.holds], 4),
        )
        self.full_logged_at_s, self.refusals_unreported = now_s, 0

    def note_answer(
        self, latency_s: float | None = None, work: references.Work = references.Work.READ
    ) -> None:
        """Record an answer; ``latency_s`` is given for reads and writes only."""
        now_s = clock.now_s()
        self.contacts.note(server_contact.Sign.ANSWERED, now_s)
        self.answered_at_s = now_s
        self.refused_connections = 0
        self.failed_probes = 0
        self.abandoned_since_s = None
        if self.pace is not None and latency_s is not None:
            in_flight = self.pool.busy - len(self.paused_transactions)
            self.pace.note_answer(latency_s, work, in_flight=in_flight)
        if latency_s is not None:
            current_s = self.current_latency_s(now_s)
            self.latency_s = current_s + LATENCY_WEIGHT * (latency_s - current_s)
            self.measured_at_s = now_s
            if self.health is not None:
                self.health.note_answer(self._without_stalls(latency_s, now_s), now_s)

    def note_failure(self, reason: str = "no answer", *, waited_s: float | None = None) -> None:
        """Record a missing answer or connection, or a failed statement.

        The server is tried last for ``RECENT_FAILURE_DURATION_S``. ``waited_s`` is given for a
        statement whose answer did not come within that time.
        """
        self._avoid()
        if self.health is None:
            return
        now_s = clock.now_s()
        if waited_s is not None and self.stalls.stalled_s(now_s - waited_s) > 0:
            # The answer may have arrived while this instance did not run.
            self.health.note_neutral()
        elif waited_s is not None:
            self.health.note_timeout(waited_s, now_s, reason=reason)
        else:
            self.health.note_error(now_s, reason=reason)

    def _without_stalls(self, duration_s: float, now_s: float) -> float:
        return max(0.0, duration_s - self.stalls.stalled_s(now_s - duration_s))

    def silent_s(self, now_s: float) -> float:
        """Return ``unanswered_s`` without the stalls of this instance."""
        return self._without_stalls(self.unanswered_s(now_s), now_s)

    def note_rejection(self, reason: str) -> None:
        """Record that the server rejected a statement as overloaded."""
        self._avoid()
        if self.health is not None:
            self.health.note_rejection(clock.now_s(), reason=reason)

    def note_bad_statement(self) -> None:
        """Record that a statement failed for a reason that is not the server's."""
        self._avoid()
        if self.health is not None:
            self.health.note_neutral()

    def _avoid(self) -> None:
        self.avoided_until_s = clock.now_s() + RECENT_FAILURE_DURATION_S
        self.note_refused()

    def _note_abandoned(self, sent_at_s: float | None) -> None:
        """Record since when the server has not answered, although the connection is closed."""
        self._avoid()
        if sent_at_s is not None and self.abandoned_since_s is None:
            self.abandoned_since_s = sent_at_s

    def note_lagging(self, min_position: positions.Position) -> None:
        """Record that a position, and thus all later ones, are missing from the server's log."""
        if self.missing_position is None or min_position < self.missing_position:
            self.missing_position = min_position
        self.recheck_at_s = clock.now_s() + self.recheck_delay_s
        self.recheck_delay_s = min(MAX_RECHECK_DELAY_S, 2 * self.recheck_delay_s)

    def note_read_attempt(self, min_position: positions.Position) -> None:
        """Record that a read is about to be sent to this server.

        On a lagging server only one read per recheck delay checks whether its log has caught up.
        """
        now_s = clock.now_s()
        if self.health is not None:
            self.health.note_attempt(now_s)
        if (
            self.missing_position is not None
            and min_position >= self.missing_position
            and now_s >= self.recheck_at_s
        ):
            self.missing_position = min_position
            self.recheck_at_s = now_s + self.recheck_delay_s

    def note_caught_up(self, min_position: positions.Position) -> None:
        """Record that the server's log holds a position that a read required."""
        if self.missing_position is not None and min_position >= self.missing_position:
            self.missing_position = None
            self.recheck_delay_s = MIN_RECHECK_DELAY_S

    def current_latency_s(self, now_s: float) -> float:
        """Return the smoothed latency, which decays to the initial one while it is not measured."""
        initial_s = INITIAL_LATENCY_S[self.distance]
        decay = 0.5 ** ((now_s - self.measured_at_s) / LATENCY_RECOVERY_S)
        return initial_s + (self.latency_s - initial_s) * decay

    def unanswered_s(self, now_s: float) -> float:
        """Return the age of the oldest command that no answer has followed; 0 without one.

        A command whose connection was abandoned counts until the server sends any answer.
        """
        started = [
            link.unanswered_since_s
            for link in self.links
            if link.unanswered_since_s is not None and not link.broken
        ]
        started += [
            since_s
            for since_s in (self.opening_since_s, self.abandoned_since_s)
            if since_s is not None
        ]
        if not started:
            return 0.0
        oldest_s = min(started)
        return now_s - max(oldest_s, self.answered_at_s)

    def read_candidate(self, *, leads: bool) -> read_placement.ReadCandidate:
        """Describe this server for the choice of the server of a read."""
        now_s = clock.now_s()
        latency_s = self.current_latency_s(now_s)
        connections = self.pool.size
        is_full = False
        if self.pace is not None and self.pace.limited:
            connections = self.pool.limit.allowed
            is_full = self.pool.busy + self.pool.opening >= connections
            paced_s = self.pace.read_latency_s(
                in_flight=self.in_flight,
                measured_at_s=self.measured_at_s,
                initial_s=INITIAL_LATENCY_S[self.distance],
            )
            latency_s = latency_s if paced_s is None else paced_s
        return read_placement.ReadCandidate(
            server=self.server,
            distance=self.distance,
            latency_s=latency_s,
            in_flight=self.in_flight,
            connections=min(connections, self.entry.slots),
            leads=leads,
            avoided=is_full or now_s < self.avoided_until_s,
            missing_position=self.missing_position if now_s < self.recheck_at_s else None,
        )

    def close(self) -> None:
        """Close idle connections and accept no statements; running ones end on their connection."""
        self.pool.close()
        if self.pace is not None:
            self.pace.close()

    def abandon(self, link: ports.Link) -> None:
        """Close a connection whose answers can no longer be trusted, since one is missing."""
        self.links.discard(link)
        self._note_abandoned(link.unanswered_since_s)
        self.pool.release(link, clean=False)

    async def probe(self, timeout_s: float) -> promotion.ServerStatus | None:
        """Query the server's status over a new connection; None without an answer."""
        link: ports.Link | None = None
        since_s = clock.now_s()
        try:
            async with asyncio.timeout(timeout_s):
                link = await self.opener(self.entry)
                status = await link.status(timeout_s)
        except errors.ConnectionLimitError as error:
            self.note_answer()
            contact_signs.note_error(self.contacts, error)
            return None
        except (errors.BackendError, TimeoutError) as error:
            contact_signs.note_error(self.contacts, error, since_s=since_s)
            self.failed_probes += 1
            return None
        finally:
            if link is not None:
                link.close()
        self.note_answer()
        return status

    async def finish(
        self, link: ports.Link, command: ports.Command | None, timeout_s: float
    ) -> None:
        """Run a last command on a connection, then release the connection to the pool.

        ``command`` is None when it was sent already and only its answer is missing.
        """
        clean = False
        try:
            if command is not None:
                link.send(command)
            answer = await link.receive(timeout_s)
            clean = answer.succeeded
        except errors.BackendError:
            self.note_failure()
        except asyncio.CancelledError:
            link.close()
            raise
        finally:
            if not clean:
                self.links.discard(link)
            self.pool.release(link, clean=clean)
