"""Which servers are new, and the limits that their pools and reads get while they are.

What is known of a server outlives its ``Server`` object, which is replaced when the server starts
anew or its entry lapses.
"""

import collections
import collections.abc
import math

from mustardswitch import events, metrics
from mustardswitch.internal import clock, ids
from mustardswitch.internal.pace import pace, references
from mustardswitch.internal.placement import read_placement
from mustardswitch.proxy import ports

NETWORK_S = {
    read_placement.Distance.ZONE: 0.001,
    read_placement.Distance.REGION: 0.006,
    read_placement.Distance.OTHER_REGION: 0.041,
}
"""Round trip to a server, which is subtracted from an answer's latency before servers at different
distances are compared: twice 0.5, 3 and 20.5 ms."""
STARTUP_LIST_S = 0.1
"""Time from the first entry within which entries belong to the list of this instance's start; it is
applied in one go, before the first statement."""
MEASURE_PAUSES = 8.0
"""Multiple of its latency after which a new server without work gets a read as if it were fast;
otherwise one that has warmed up would wait until its slow answers are forgotten. A ninth of the
time of one statement is spent on it, whatever the server's speed."""
MAX_KNOWN_SERVERS = 1000
"""Servers whose start and usual durations are remembered; the longest unlisted ones are dropped."""
MAX_OPENINGS = 2
"""Connections that an instance opens to a server at once. Each occupies a slot of the server for
12 ms; after a mass kill all instances open theirs at the same time."""


class PaceBook:
    """The paces of all servers that an instance knows."""

    def __init__(self, *, registry: metrics.Registry) -> None:
        self.registry = registry
        self.references: dict[ids.ServiceName, references.References] = {}
        self.sharers: dict[ids.ServiceName, int] = {}
        """Instances that hold connections to the servers of a service."""
        self.leaders: dict[ids.ServiceName, ids.ServerId] = {}
        """The latest known leader of each service."""
        self.paces: collections.OrderedDict[ids.ServerId, pace.Pace] = collections.OrderedDict()
        self.started_ms: dict[ids.ServerId, int] = {}
        self.first_listed_s: float | None = None
        """When the first entry was listed (``clock.now_s``)."""

    def __repr__(self) -> str:
        return f"PaceBook(paces={self.paces!r})"

    def attach(self, entry: ports.ServerEntry, distance: read_placement.Distance) -> "ServerPace":
        """Return the pace of a server that is listed; it is limited if the server is new."""
        now_s = clock.now_s()
        if self.first_listed_s is None:
            self.first_listed_s = now_s
        known = self.references.setdefault(entry.service, references.References())
        machine = self.paces.get(entry.server)
        if machine is None:
            machine = pace.Pace(server=entry.server, known=known, network_s=NETWORK_S[distance])
        self.paces[entry.server] = machine
        self.paces.move_to_end(entry.server)
        found = ServerPace(book=self, entry=entry, machine=machine)
        reason = self._reason_for_start(entry, now_s)
        self.started_ms[entry.server] = entry.started_ms
        if reason is not None:
            found.start(reason)
        self._forget_oldest()
        return found

    def _reason_for_start(self, entry: ports.ServerEntry, now_s: float) -> str | None:
        started_ms = self.started_ms.get(entry.server)
        if started_ms is None:
            if now_s - self.first_listed_s > STARTUP_LIST_S:
                return "listed"
            return "warms up" if entry.warmup_left_ms > 0 else None
        return "started anew" if started_ms != entry.started_ms else None

    def _forget_oldest(self) -> None:
        while len(self.paces) > MAX_KNOWN_SERVERS:
            server, _ = self.paces.popitem(last=False)
            self.started_ms.pop(server, None)
            for known in self.references.values():
                known.forget(server)


class ServerPace:
    """The pace of a listed server, and what starts and ends its limit."""

    def __init__(self, *, book: PaceBook, entry: ports.ServerEntry, machine: pace.Pace) -> None:
        self.book = book
        self.entry = entry
        self.machine = machine
        self.entry_read_at_s = clock.now_s()
        self.lost = False
        """Whether connecting failed and no statement was answered since."""

    def __repr__(self) -> str:
        return f"ServerPace(entry={self.entry!r}, machine={self.machine!r})"

    @property
    def limited(self) -> bool:
        """Whether the server is limited at present."""
        return self.machine.limited

    def allowed(self) -> int:
        """Return how many statements may be in flight."""
        return self.machine.allowed(clock.now_s())

    def update(self, entry: ports.ServerEntry) -> None:
        """Use a later entry of the same server."""
        if entry.revision != self.entry.revision:
            self.entry_read_at_s = clock.now_s()
        self.entry = entry

    def start(self, reason: str) -> None:
        """Limit the server, since it is new for the given reason."""
        now_s = clock.now_s()
        hint_s = max(0.0, self.entry.warmup_left_ms / 1000 - (now_s - self.entry_read_at_s))
        self.machine.note_start(now_s, hint_s)
        self.book.registry.count("server_starts", reason)
        events.log(
            events.Event.SERVER_LIMITED,
            service=self.entry.service,
            server=self.entry.server,
            reason=reason,
            hint_s=round(hint_s, 3),
            allowed=self.allowed(),
        )
        self._export()

    def note_leads(self, leads: bool) -> None:
        """Record whether the server leads its service.

        The share of this instance in the slots of a leader is its least limit: up to that no write
        waits for another one in the server, and no other server can take it.
        """
        service = self.entry.service
        sharers = max(1, self.book.sharers.get(service, 1))
        self.machine.share = math.ceil(self.entry.slots / sharers)
        self.machine.floor = self.machine.share if leads else 1
        if not leads:
            return
        before = self.book.leaders.get(service)
        self.book.leaders[service] = self.entry.server
        if before not in (None, self.entry.server):
            self.start("leads")

    def note_lost(self) -> None:
        """Record that a connection could not be opened."""
        self.lost = True

    def note_connected(self) -> None:
        """Record that a connection was opened."""
        if self.lost:
            self.lost = False
            self.start("reachable again")

    def note_answer(self, latency_s: float, work: references.Work, *, in_flight: int) -> None:
        """Record a statement's answer; ``in_flight`` includes the statement."""
        self.lost = False
        was_limited = self.machine.limited
        self.machine.note_answer(latency_s, clock.now_s(), work=work, in_flight=in_flight)
        if not was_limited:
            return
        if not self.machine.limited:
            events.log(
                events.Event.SERVER_UNLIMITED,
                service=self.entry.service,
                server=self.entry.server,
                slowdown=round(self.machine.slow_average, 2),
                answers=self.machine.answers,
            )
        self._export()

    def note_error(self) -> None:
        """Record a missing or failed answer."""
        if self.machine.limited:
            self.machine.note_error(clock.now_s())
            self._export()

    def read_latency_s(
        self, *, in_flight: int, measured_at_s: float, initial_s: float
    ) -> float | None:
        """Return the latency by which a read is placed; None if the pace knows of none.

        This is ``initial_s`` when a read should measure the server, however slow it was before.
        """
        latency_s = self.machine.latency_s(clock.now_s())
        if latency_s is None:
            return None
        idle_s = clock.now_s() - measured_at_s
        is_due = not in_flight and idle_s > MEASURE_PAUSES * latency_s
        return min(latency_s, initial_s) if is_due else latency_s

    def _export(self) -> None:
        label = f'{{service="{_escape(self.entry.service)}",server="{_escape(self.entry.server)}"}}'
        gauges = self.book.registry.gauges
        if self.machine.limited:
            gauges[f"server_pace{label}"] = self.allowed()
            gauges[f"server_slowdown{label}"] = round(self.machine.slowdown, 3)
        else:
            self.close()

    def close(self) -> None:
        """Remove the server's metrics."""
        label = f'{{service="{_escape(self.entry.service)}",server="{_escape(self.entry.server)}"}}'
        for name in ("server_pace", "server_slowdown"):
            self.book.registry.gauges.pop(name + label, None)


def _escape(name: str) -> str:
    """Escape a name for the value of a label."""
    return name.replace("\\", "\\\\").replace('"', '\\"')
