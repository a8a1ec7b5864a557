"""A simulation of one service behind several gateways, with the real pace and read placement.

Servers run as many statements at once as they have slots and queue the others. Time is simulated.
"""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import math
import random

from mustardswitch.internal import ids
from mustardswitch.internal.pace import pace, references
from mustardswitch.internal.placement import read_placement

GATEWAYS = 6
CONNECTIONS = 79
"""Connections to a server that all gateways together may hold."""
SLOTS = 5
READ_S, WRITE_S = 0.02, 0.03
TARGET_S, DEADLINE_S = 0.25, 1.0
NETWORK_S = (0.001, 0.006)
"""Round trip to a server in the same zone and in another one."""
AVOIDED_S = 0.5
LATENCY_WEIGHT, LATENCY_RECOVERY_S, MEASURE_PAUSES = 0.15, 3.0, 8

Factor = collections.abc.Callable[[float], float]
"""How many times as long work takes, by the seconds since the server's start."""


@dataclasses.dataclass(kw_only=True, eq=False)
class Statement:
    """One read or write of a caller."""

    at_s: float
    gateway: int
    write: bool
    work_s: float
    sent_s: float = 0.0


@dataclasses.dataclass(kw_only=True, eq=False)
class FakeServer:
    """A server with slots and a queue; ``generation`` counts its starts."""

    factor: Factor = lambda since_s: 1.0
    started_s: float = 0.0
    generation: int = 0
    down: bool = False
    running: list[Statement] = dataclasses.field(default_factory=list)
    queue: collections.deque[Statement] = dataclasses.field(default_factory=collections.deque)


class View:
    """What one gateway knows of one server, and its pool."""

    def __init__(
        self, server: int, network_s: float, known: references.References, share: int
    ) -> None:
        self.network_s = network_s
        self.pace = pace.Pace(
            server=ids.ServerId(str(server)), known=known, network_s=network_s, share=share
        )
        self.initial_s = READ_S + network_s
        self.latency_s, self.measured_s, self.avoided_s = self.initial_s, 0.0, -1.0
        self.busy = 0
        self.holding_s = READ_S
        self.queue: collections.deque[Statement] = collections.deque()
        self.lost = False


@dataclasses.dataclass(kw_only=True)
class Figures:
    """What callers and the observed server experienced in the observed time."""

    within: int = 0
    late: int = 0
    refused: int = 0
    errors: int = 0
    latencies: list[float] = dataclasses.field(default_factory=list)
    idle_slot_s: float = 0.0
    slot_s: float = 0.0
    at_server: int = 0
    max_in_flight: int = 0

    @property
    def within_share(self) -> float:
        """Share of the statements that were answered within the target."""
        return self.within / max(1, self.within + self.late + self.refused + self.errors)

    @property
    def idle_share(self) -> float:
        """Share of the observed server's slot time without work while other work waited."""
        return self.idle_slot_s / max(1e-9, self.slot_s)

    def add(self, other: "Figures") -> None:
        """Add the figures of another run."""
        for name in ("within", "late", "refused", "errors", "idle_slot_s", "slot_s", "at_server"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.latencies += other.latencies
        self.max_in_flight = max(self.max_in_flight, other.max_in_flight)

    @property
    def worst_s(self) -> float:
        """The latency that a hundredth of the answered statements exceeded."""
        return sorted(self.latencies)[int(0.99 * (len(self.latencies) - 1))]

    def row(self) -> str:
        """Return the figures as cells of a table."""
        return (
            f"{100 * self.within_share:.1f} % | {self.late} | {self.refused} | {self.errors}"
            f" | {self.worst_s:.2f} s | {100 * self.idle_share:.1f} %"
            f" | {self.max_in_flight}"
        )


class World:
    """Three servers, the first of which leads; gateways in three zones."""

    def __init__(
        self,
        *,
        paced: bool,
        reads_per_s: float = 400.0,
        writes_per_s: float = 0.0,
        gateways: int = GATEWAYS,
        unused_gateways: int = 0,
        seed: int = 1,
    ) -> None:
        self.paced, self.gateways = paced, gateways
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.events: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self.order = itertools.count()
        self.servers = [FakeServer() for _ in range(3)]
        self.leader = 0
        self.figures = Figures()
        self.observed: int | None = None
        self.views = []
        share = math.ceil(SLOTS / (gateways + unused_gateways))
        for gateway in range(gateways):
            known = references.References()
            self.views.append(
                [View(each, NETWORK_S[each != gateway % 3], known, share) for each in range(3)]
            )
        self._arrive(reads_per_s, write=False)
        if writes_per_s:
            self._arrive(writes_per_s, write=True)

    def at(self, at_s: float, action: collections.abc.Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (at_s, next(self.order), action))

    def run(self, until_s: float) -> None:
        """Run until a time."""
        while self.events and self.events[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self.events)
            self._account(at_s)
            self.now_s = at_s
            action()
        self._account(until_s)
        self.now_s = until_s

    def observe(self, server: int) -> None:
        """Collect figures from now on; idle time is that of the given server."""
        self.figures, self.observed = Figures(), server

    def _account(self, at_s: float) -> None:
        if self.observed is None or self.servers[self.observed].down:
            return
        elapsed_s = at_s - self.now_s
        server = self.servers[self.observed]
        self.figures.slot_s += SLOTS * elapsed_s
        in_flight = len(server.running) + len(server.queue)
        self.figures.max_in_flight = max(self.figures.max_in_flight, in_flight)
        waits = any(each.queue for each in self.servers if each is not server) or any(
            view.queue for views in self.views for view in views
        )
        if waits:
            self.figures.idle_slot_s += (SLOTS - len(server.running)) * elapsed_s

    # Servers

    def crash(self, server: int) -> None:
        """Stop a server; what it runs gets no answer."""
        target = self.servers[server]
        target.down = True
        target.generation += 1
        lost = [*target.running, *target.queue]
        target.running, target.queue = [], collections.deque()
        for statement in lost:
            self._fail(server, statement)

    def start(self, server: int, factor: Factor, *, hint_s: float = 0.0) -> None:
        """Start a server again, whose work takes ``factor`` times as long."""
        target = self.servers[server]
        target.down, target.factor, target.started_s = False, factor, self.now_s
        for views in self.views:
            self._note_new(views[server], hint_s)

    def lead(self, server: int) -> None:
        """Make a server the primary."""
        self.leader = server
        for views in self.views:
            views[server].pace.floor = math.ceil(SLOTS / self.gateways)
            self._note_new(views[server], 0.0)

    def _note_new(self, view: View, hint_s: float) -> None:
        view.avoided_s = -1.0
        if self.paced:
            view.pace.note_start(self.now_s, hint_s)

    def _fail(self, server: int, statement: Statement) -> None:
        view = self.views[statement.gateway][server]
        view.busy -= 1
        view.avoided_s = self.now_s + AVOIDED_S
        view.pace.note_error(self.now_s)
        if statement.write:
            self.figures.errors += 1
        else:
            self._place(statement)
        self._serve(statement.gateway, server)

    def _run_next(self, server: int) -> None:
        target = self.servers[server]
        while target.queue and len(target.running) < SLOTS:
            statement = target.queue.popleft()
            target.running.append(statement)
            work_s = statement.work_s * target.factor(self.now_s - target.started_s)
            generation = target.generation
            self.at(self.now_s + work_s, lambda s=statement, g=generation: self._end(server, s, g))

    def _end(self, server: int, statement: Statement, generation: int) -> None:
        target = self.servers[server]
        if target.generation != generation:
            return
        target.running.remove(statement)
        self._run_next(server)
        network_s = self.views[statement.gateway][server].network_s
        self.at(self.now_s + network_s, lambda: self._answer(server, statement))

    # Gateways

    def _answer(self, server: int, statement: Statement) -> None:
        view = self.views[statement.gateway][server]
        latency_s = self.now_s - statement.sent_s
        work = references.Work.WRITE if statement.write else references.Work.READ
        view.pace.note_answer(latency_s, self.now_s, work=work, in_flight=view.busy)
        current_s = self._latency_s(view)
        view.latency_s = current_s + LATENCY_WEIGHT * (latency_s - current_s)
        view.measured_s = self.now_s
        view.busy -= 1
        view.holding_s += 0.1 * (latency_s - view.holding_s)
        total_s = self.now_s - statement.at_s
        self.figures.latencies.append(total_s)
        if total_s <= TARGET_S:
            self.figures.within += 1
        else:
            self.figures.late += 1
        self.figures.at_server += server == self.observed
        self._serve(statement.gateway, server)

    def _latency_s(self, view: View) -> float:
        decay = 0.5 ** ((self.now_s - view.measured_s) / LATENCY_RECOVERY_S)
        return view.initial_s + (view.latency_s - view.initial_s) * decay

    def _allowed(self, view: View) -> int:
        return min(CONNECTIONS // self.gateways, view.pace.allowed(self.now_s))

    def _candidate(self, gateway: int, server: int) -> read_placement.ReadCandidate:
        view = self.views[gateway][server]
        latency_s, allowed = self._latency_s(view), self._allowed(view)
        is_full = view.pace.limited and view.busy >= allowed
        pause_s = MEASURE_PAUSES * (view.pace.latency_s(self.now_s) or 0.0)
        latency_s = view.pace.latency_s(self.now_s) or latency_s
        if view.pace.limited and not view.busy and self.now_s - view.measured_s > pause_s:
            latency_s = min(latency_s, view.initial_s)
        return read_placement.ReadCandidate(
            server=ids.ServerId(str(server)),
            distance=read_placement.Distance(int(server != gateway % 3)),
            latency_s=latency_s,
            in_flight=view.busy,
            connections=min(allowed, SLOTS),
            leads=server == self.leader,
            avoided=is_full or self.now_s < view.avoided_s,
        )

    def _arrive(self, rate_per_s: float, *, write: bool) -> None:
        work_s = self.random.lognormvariate(0.0, 0.5) * 0.8825 * (WRITE_S if write else READ_S)
        gateway = self.random.randrange(self.gateways)
        statement = Statement(at_s=self.now_s, gateway=gateway, write=write, work_s=work_s)
        self._place(statement)
        self.at(
            self.now_s + self.random.expovariate(rate_per_s),
            lambda: self._arrive(rate_per_s, write=write),
        )

    def _place(self, statement: Statement) -> None:
        views = self.views[statement.gateway]
        order = [self.leader]
        if not statement.write:
            candidates = [self._candidate(statement.gateway, each) for each in range(3)]
            order = [int(each) for each in read_placement.order_for_read(candidates, None)]
        for server in order:
            view = views[server]
            if self.servers[server].down:
                view.avoided_s = self.now_s + AVOIDED_S
                continue
            expected_s = (len(view.queue) + 1) * view.holding_s / self._allowed(view)
            if view.busy < self._allowed(view) and not view.queue:
                self._send(server, statement)
                return
            if self.now_s + expected_s + view.latency_s <= statement.at_s + DEADLINE_S:
                view.queue.append(statement)
                return
        self.figures.refused += 1

    def _send(self, server: int, statement: Statement) -> None:
        self.views[statement.gateway][server].busy += 1
        statement.sent_s = self.now_s
        self.servers[server].queue.append(statement)
        self._run_next(server)

    def _serve(self, gateway: int, server: int) -> None:
        view = self.views[gateway][server]
        while view.queue and (self.servers[server].down or view.busy < self._allowed(view)):
            statement = next(
                (
                    each
                    for each in view.queue
                    if self.now_s + view.latency_s <= each.at_s + TARGET_S
                ),
                view.queue[0],
            )
            view.queue.remove(statement)
            if self.now_s > statement.at_s + DEADLINE_S:
                self.figures.refused += 1
            elif self.servers[server].down:
                self._place(statement)
            else:
                self._send(server, statement)
