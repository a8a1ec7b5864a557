"""Replays loads against a connection pool and a simulated server, on a simulated clock."""

import asyncio
import collections.abc
import dataclasses
import itertools
import random
import types

import pytest

from mustardswitch import connection_pool
from mustardswitch.backends import errors
from mustardswitch.proxy import statement_context, tenant_pool

OPENING_S = 0.012
"""Time for which a slot of a server is occupied by the opening of a connection."""
SLOTS = 5
"""Statements that the server runs at once."""
RETRY_PAUSE_S = 0.3
"""Pause of a caller before it tries again."""
RATE_STEP_S = 0.05
"""Interval at which a changed rate of arrivals takes effect."""
WORK_S = 0.02
"""Mean work of a statement."""


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock moves only when everything waits for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        poll = self._selector.select

        def select(timeout_s: float | None) -> list:
            self.now_s += timeout_s or 0.0
            return poll(0)

        self._selector.select = select

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.now_s


@dataclasses.dataclass(kw_only=True, eq=False)
class Link:
    """A connection to the simulated server."""

    tenant: str = ""
    broken: bool = False

    def close(self) -> None:
        """Close it."""
        self.broken = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """Operations of one kind; ``rate`` gives their number per second at a time."""

    name: str
    rate: collections.abc.Callable[[float], float]
    priority: int = 1
    target_s: float = 0.6
    timeout_s: float = 0.8
    statements: int = 1
    pause_s: float = 0.0
    tenants: tuple[str, ...] = ("",)


@dataclasses.dataclass(kw_only=True)
class Figures:
    """What became of the operations of one kind."""

    on_time: int = 0
    late: int = 0
    refused: int = 0
    """Operations whose every attempt was refused."""
    unanswered: int = 0
    """Sent to the server, and without an answer within the time limit."""
    slow_refusals: int = 0
    """Attempts that were refused after more than a quarter of the target."""
    refusals: int = 0
    """Attempts that were refused."""
    refusals_s: float = 0.0
    """Waits before all refusals together."""
    longest_s: float = 0.0
    """Longest wait before a refusal."""


def during(start_s: float, end_s: float, factor: float) -> collections.abc.Callable[[float], float]:
    """Return a function of time that is ``factor`` in an interval, and otherwise 1."""
    return lambda now_s: factor if start_s <= now_s < end_s else 1.0


class World:
    """A server with a few slots behind a pool."""

    def __init__(
        self,
        *,
        by_target: bool,
        size: int,
        tenants: bool,
        stall: tuple[float, float],
        attempts: int,
    ) -> None:
        self.rng = random.Random(1)
        self.slots = asyncio.Semaphore(SLOTS)
        self.stall = stall
        """When the server answers nothing."""
        self.attempts = attempts
        self.loop = asyncio.get_running_loop()
        self.latency_s = WORK_S
        pool_type = tenant_pool.TenantPool if tenants else connection_pool.ConnectionPool
        self.pool = pool_type(
            name="s",
            opener=self._open,
            size=size,
            by_target=by_target,
        )
        self.figures: dict[str, Figures] = {}

    async def _work(self, work_s: float) -> None:
        async with self.slots:
            start_s, end_s = self.stall
            if start_s <= self.loop.time() < end_s:
                await asyncio.sleep(end_s - self.loop.time())
            await asyncio.sleep(work_s)

    async def _open(self, tenant: str = "") -> Link:
        await self._work(OPENING_S)
        return Link(tenant=tenant)

    async def operate(self, kind: Kind, tenant: str) -> None:
        """Run one operation, which its caller may retry when it is refused, and count it."""
        figures = self.figures.setdefault(kind.name, Figures())
        began_s = self.loop.time()
        for _ in range(self.attempts):
            tried_s = self.loop.time()
            outcome = await self._try(kind, tenant)
            if outcome != "refused":
                break
            waited_s = self.loop.time() - tried_s
            figures.slow_refusals += waited_s > kind.target_s / 4
            figures.refusals += 1
            figures.refusals_s += waited_s
            figures.longest_s = max(figures.longest_s, waited_s)
            await asyncio.sleep(RETRY_PAUSE_S)
        if outcome == "answered":
            outcome = "on_time" if self.loop.time() - began_s <= kind.target_s else "late"
        setattr(figures, outcome, getattr(figures, outcome) + 1)

    async def _try(self, kind: Kind, tenant: str) -> str:
        began_s = self.loop.time()
        answer_s = min(self.latency_s, statement_context.ANSWER_SHARE * kind.timeout_s)
        request = connection_pool.ConnectionRequest(
            caller=tenant,
            priority=kind.priority,
            deadline_s=began_s + kind.timeout_s - answer_s,
            due_s=began_s + statement_context.TARGET_SHARE * kind.target_s,
            holds=kind.statements > 1 or kind.pause_s > 0,
        )
        try:
            link = await self.pool.acquire(request)
        except errors.PoolRefusedError:
            return "refused"
        try:
            limit_s = began_s + kind.timeout_s
            for _ in range(kind.statements):
                sent_s = self.loop.time()
                async with asyncio.timeout_at(limit_s):
                    await self._work(self.rng.uniform(0.5, 1.5) * WORK_S)
                self.latency_s += 0.15 * (self.loop.time() - sent_s - self.latency_s)
                await asyncio.sleep(kind.pause_s)
                limit_s = self.loop.time() + kind.timeout_s
        except TimeoutError:
            self.pool.release(link, clean=False)
            return "unanswered"
        self.pool.release(link, clean=True)
        return "answered"

    async def _arrive(self, kind: Kind, duration_s: float) -> None:
        rng, tenants = random.Random(kind.name), itertools.cycle(kind.tenants)
        async with asyncio.TaskGroup() as group:
            while self.loop.time() < duration_s:
                next_s = rng.expovariate(kind.rate(self.loop.time()))
                await asyncio.sleep(min(next_s, RATE_STEP_S))
                if next_s <= RATE_STEP_S:
                    group.create_task(self.operate(kind, next(tenants)))

    async def replay(self, kinds: collections.abc.Iterable[Kind], duration_s: float) -> None:
        """Let operations of all kinds arrive, and wait for their outcomes."""
        async with asyncio.TaskGroup() as group:
            for kind in kinds:
                group.create_task(self._arrive(kind, duration_s))


def replay(
    kinds: collections.abc.Sequence[Kind],
    *,
    by_target: bool,
    size: int = 6,
    duration_s: float = 8.0,
    tenants: bool = False,
    stall: tuple[float, float] = (0.0, 0.0),
    attempts: int = 1,
) -> dict[str, Figures]:
    """Replay a load and return the outcomes by the name of the kind."""

    async def run() -> dict[str, Figures]:
        world = World(
            by_target=by_target, size=size, tenants=tenants, stall=stall, attempts=attempts
        )
        await world.replay(kinds, duration_s)
        return world.figures

    loop = SimulatedLoop()
    with pytest.MonkeyPatch.context() as patch:
        clock = types.SimpleNamespace(monotonic=loop.time)
        patch.setattr(connection_pool, "time", clock)
        patch.setattr(tenant_pool, "time", clock)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            return runner.run(run())
