"""One backend server as an instance uses it: its connections and what its answers showed."""

import asyncio

from mustardswitch import connection_pool, events
from mustardswitch.backends import errors
from mustardswitch.internal import clock, ids, positions, promotion, read_placement
from mustardswitch.proxy import ports

INITIAL_LATENCY_S = {
    read_placement.Distance.ZONE: 0.02,
    read_placement.Distance.REGION: 0.025,
    read_placement.Distance.OTHER_REGION: 0.06,
}
"""First guesses: the usual work of a read, and the way there and back."""
LATENCY_WEIGHT = 0.15
LATENCY_RECOVERY_S = 3.0
"""Time after which a latency that was not measured again counts half; a slow server is asked again
after some of these."""
AVOIDANCE_S = 0.5
"""How long a server that failed is asked last; a few times the detection of a broken connection."""
REOPEN_LIMIT_S = 0.25
"""Longest pause before a connection is tried again; a server that is back is used within this."""
MIN_RECHECK_DELAY_S = 0.15
"""How long a replica is taken to lack a position; a few times its usual lag."""
MAX_RECHECK_DELAY_S = 1.2
"""Longest time without a new try, to which it doubles; about the age that reads accept, so that a
replica that has caught up serves again before the positions asked for have moved on."""


class Server:
    """Connections to one server, and its recent latency and failures."""

    def __init__(
        self,
        *,
        entry: ports.ServerEntry,
        distance: read_placement.Distance,
        opener: ports.LinkOpener,
        connections: int,
    ) -> None:
        self.entry = entry
        self.distance = distance
        self.opener = opener
        self.links: set[ports.Link] = set()
        self.latency_s = INITIAL_LATENCY_S[distance]
        self.measured_at_s = clock.now_s()
        self.answered_at_s = clock.now_s()
        self.opening_since_s: float | None = None
        self.given_up_since_s: float | None = None
        self.failed_probes = 0
        self.lost = False
        self.refused_connections = 0
        self.avoided_until_s = float("-inf")
        self.missing_position: positions.Position | None = None
        self.recheck_at_s = float("-inf")
        self.recheck_delay_s = MIN_RECHECK_DELAY_S
        self.in_flight = 0
        self.pool: connection_pool.ConnectionPool[ports.Link] = connection_pool.ConnectionPool(
            name=entry.server,
            opener=self._open,
            size=connections,
            reopen_limit_s=REOPEN_LIMIT_S,
        )

    def __repr__(self) -> str:
        return (
            f"Server(entry={self.entry!r}, distance={self.distance!r}, opener={self.opener!r},"
            f" connections={self.pool.size!r})"
        )

    @property
    def server(self) -> ids.ServerId:
        """The server's id."""
        return self.entry.server

    async def _open(self) -> ports.Link:
        self.opening_since_s = clock.now_s()
        try:
            link = await self.opener(self.entry)
        except errors.ServerRefusedError as error:
            self.refused_connections += 1
            self._give_up(self.opening_since_s)
            self._note_lost(error)
            raise
        except errors.ConnectionLimitError as error:
            self.note_answer()
            self.note_failure()
            self._note_lost(error)
            raise
        except errors.BackendError as error:
            self._give_up(self.opening_since_s)
            self._note_lost(error)
            raise
        else:
            self.note_answer()
            self._note_regained()
        finally:
            self.opening_since_s = None
        self.links = {known for known in self.links if not known.broken}
        self.links.add(link)
        return link

    def _note_lost(self, error: errors.BackendError) -> None:
        if self.lost:
            return
        self.lost = True
        events.log(
            events.Event.SERVER_LOST,
            service=self.entry.service,
            server=self.server,
            connections=self.pool.held,
            size=self.pool.size,
            reason=str(error),
        )

    def _note_regained(self) -> None:
        if self.lost:
            self.lost = False
            events.log(events.Event.SERVER_REGAINED, service=self.entry.service, server=self.server)

    def note_answer(self, latency_s: float | None = None) -> None:
        """Take an answer into account; ``latency_s`` is that of a read or write."""
        now_s = clock.now_s()
        self.answered_at_s = now_s
        self.refused_connections = 0
        self.failed_probes = 0
        self.given_up_since_s = None
        if latency_s is not None:
            known_s = self.current_latency_s(now_s)
            self.latency_s = known_s + LATENCY_WEIGHT * (latency_s - known_s)
            self.measured_at_s = now_s

    def note_failure(self) -> None:
        """Take a missing answer or connection into account."""
        self.avoided_until_s = clock.now_s() + AVOIDANCE_S

    def _give_up(self, query_sent_at_s: float | None) -> None:
        """Remember since when nothing was answered, also after the connection is closed."""
        self.note_failure()
        if query_sent_at_s is not None and self.given_up_since_s is None:
            self.given_up_since_s = query_sent_at_s

    def note_lagging(self, min_position: positions.Position) -> None:
        """Take into account that the server's log lacks a position, and all later ones."""
        if self.missing_position is None or min_position < self.missing_position:
            self.missing_position = min_position
        self.recheck_at_s = clock.now_s() + self.recheck_delay_s
        self.recheck_delay_s = min(MAX_RECHECK_DELAY_S, 2 * self.recheck_delay_s)

    def note_read_attempt(self, min_position: positions.Position) -> None:
        """Let one read find out whether a log that was behind holds a position now."""
        now_s = clock.now_s()
        if (
            self.missing_position is not None
            and min_position >= self.missing_position
            and now_s >= self.recheck_at_s
        ):
            self.missing_position = min_position
            self.recheck_at_s = now_s + self.recheck_delay_s

    def note_caught_up(self, min_position: positions.Position) -> None:
        """Take into account that the server's log held a position that was asked for."""
        if self.missing_position is not None and min_position >= self.missing_position:
            self.missing_position = None
            self.recheck_delay_s = MIN_RECHECK_DELAY_S

    def current_latency_s(self, now_s: float) -> float:
        """Return the smoothed latency, which nears the first guess while it is not measured."""
        usual_s = INITIAL_LATENCY_S[self.distance]
        faded = 0.5 ** ((now_s - self.measured_at_s) / LATENCY_RECOVERY_S)
        return usual_s + (self.latency_s - usual_s) * faded

    def unanswered_s(self, now_s: float) -> float:
        """Return the age of the oldest question that nothing came after; 0 without one.

        A question whose connection was given up counts until the server answers anything.
        """
        started = [
            link.unanswered_since_s
            for link in self.links
            if link.unanswered_since_s is not None and not link.broken
        ]
        started += [
            since_s
            for since_s in (self.opening_since_s, self.given_up_since_s)
            if since_s is not None
        ]
        if not started:
            return 0.0
        oldest_s = min(started)
        return now_s - max(oldest_s, self.answered_at_s)

    def read_candidate(self, *, leads: bool) -> read_placement.ReadCandidate:
        """Describe this server to the choice of a read's place."""
        now_s = clock.now_s()
        return read_placement.ReadCandidate(
            server=self.server,
            distance=self.distance,
            latency_s=self.current_latency_s(now_s),
            in_flight=self.in_flight,
            connections=min(self.pool.size, self.entry.slots),
            leads=leads,
            avoided=now_s < self.avoided_until_s,
            missing_position=self.missing_position if now_s < self.recheck_at_s else None,
        )

    def close(self) -> None:
        """Close idle connections and take no more work; open work ends on its connection."""
        self.pool.close()

    def abandon(self, link: ports.Link) -> None:
        """Give a connection up whose answers cannot be trusted any more."""
        self.links.discard(link)
        self._give_up(link.unanswered_since_s)
        self.pool.release(link, clean=False)

    async def probe(self, timeout_s: float) -> promotion.ServerStatus | None:
        """Ask the server about itself over a connection of its own; None without an answer."""
        link: ports.Link | None = None
        try:
            async with asyncio.timeout(timeout_s):
                link = await self.opener(self.entry)
                status = await link.status(timeout_s)
        except errors.ConnectionLimitError:
            self.note_answer()
            return None
        except (errors.BackendError, TimeoutError):
            self.failed_probes += 1
            return None
        finally:
            if link is not None:
                link.close()
        self.note_answer()
        return status

    async def settle(
        self, link: ports.Link, command: ports.Command | None, timeout_s: float
    ) -> None:
        """Run a last command on a connection, None if it is sent already, then give it back."""
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
