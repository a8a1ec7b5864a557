"""Replays a load on one instance in virtual time: servers and gateways are models with faults.

The instance's own code runs unchanged; only the clock, the connections and the peers are replaced.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random
import selectors
import types

from mustardswitch import connection_pool
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids
from mustardswitch.internal.placement import forwarding
from mustardswitch.peers import datagrams, relay_codec
from mustardswitch.peers import errors as peer_errors
from mustardswitch.proxy import directory, feature_set, forwarded, ports, requests, session
from mustardswitch_standins import database_group
from tests.common import proxy_world

START_S = 1000.0
WARM_UP_S = 5.0
"""Time before ``Answered.at_s`` 0, in which latencies are learned."""


class _VirtualSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(self, timeout: float | None = None) -> list:
        self.now_s += timeout or 0.0
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes at once while all tasks wait."""

    def __init__(self) -> None:
        self.selector = _VirtualSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.selector.now_s


@dataclasses.dataclass(kw_only=True)
class Faults:
    """What is wrong with a server or gateway at present."""

    slowness: float = 1.0
    error_share: float = 0.0
    """Part of the statements that fail; status queries succeed."""
    rejects: bool = False
    """Whether they are answered as overloaded instead of failed."""
    silent: bool = False
    down: bool = False
    loss: float = 0.0
    """Part of the statements that have no answer."""


class Model:
    """A server or gateway with slots."""

    def __init__(self, *, slots: int, round_trip_s: float, work_s: float, seed: int) -> None:
        self.slots = asyncio.Semaphore(slots)
        self.round_trip_s = round_trip_s
        self.work_s = work_s
        self.random = random.Random(seed)
        self.faults = Faults()
        self.received: list[float] = []
        """When it received a statement, in seconds of the load."""

    async def work(self) -> bool:
        """Run one statement; return whether it succeeds. Never ends without an answer."""
        self.received.append(asyncio.get_running_loop().time() - START_S - WARM_UP_S)
        await asyncio.sleep(self.round_trip_s)
        if self.faults.silent or self.random.random() < self.faults.loss:
            await asyncio.get_running_loop().create_future()
        failed = self.random.random() < self.faults.error_share
        async with self.slots:
            work_s = self.work_s * self.faults.slowness * self.random.uniform(0.6, 1.4)
            await asyncio.sleep(0.002 if failed else work_s)
        return not failed


class _Link(database_group.FakeLink):
    """A connection whose statements take the time of the model."""

    async def receive(self, timeout_s: float) -> requests.Answer:
        model: Model = self.group.models[self.server.name]
        command = self.pending[0][0]
        refusal = None
        try:
            async with asyncio.timeout(timeout_s):
                if isinstance(command, ports.ReadAt | requests.Plain | ports.RunPrepared):
                    if not await model.work():
                        rejects = model.faults.rejects
                        refusal = requests.Refusal[("FAILED", "OVERLOADED")[rejects]]
                elif model.faults.silent:
                    await asyncio.get_running_loop().create_future()
        except TimeoutError as error:
            self.close()
            raise backend_errors.ConnectionBrokenError("no answer") from error
        if refusal is not None:
            self.pending.popleft()
            self.unanswered_since_s = None
            return self._answer(refusal)
        return await super().receive(timeout_s)


class Group(database_group.Group):
    """Servers in zones a (primary) and b of one region and c of another."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        trips_s = {"server-a": 0.006, "server-b": 0.001, "server-c": 0.042}
        self.models = {
            name: Model(slots=4, round_trip_s=trips_s[name], work_s=0.02, seed=1000 * seed + number)
            for number, name in enumerate(self.servers)
        }

    async def open_link(self, entry: ports.ServerEntry, tenant: ids.TenantName = "") -> _Link:
        """Open a connection; raises BackendError."""
        model = self.models[entry.server]
        await asyncio.sleep(model.round_trip_s + 0.012)
        if model.faults.down:
            raise backend_errors.ServerRefusedError("down")
        link = _Link(group=self, server=self.servers[entry.server], tenant=tenant)
        self.servers[entry.server].links.append(link)
        return link

    def crash(self, name: str, *, down: bool) -> None:
        """Stop a server, which breaks its connections, or start it."""
        self.models[name].faults.down = down
        self.servers[name].up = not down


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """One answered read of the load."""

    at_s: float
    """When it was asked, in seconds since the end of the warm-up."""
    latency_s: float
    succeeded: bool


Script = collections.abc.Callable[["Replay", float], None]
"""Sets the faults; called every 10 ms with the seconds since the end of the warm-up."""


class Replay:
    """One instance in zone b, its servers, or gateways if ``gateways`` names any by zone."""

    def __init__(
        self,
        *,
        placement: bool,
        target: str = "server-b",
        gateways: dict[str, int] | None = None,
        seed: int = 1,
    ) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.group = Group(seed)
        self.world = proxy_world.World(zone="b")
        self.world.group = self.group
        self.answers: list[Answered] = []
        self.gateways: dict[str, Model] = {}
        forwarder = None
        if gateways is not None:
            forwarder = forwarded.Forwarder(client=_Relays(self))
        self.world.directory = directory.Directory(
            instance=ids.InstanceId("one"),
            location=self.world.directory.location,
            opener=self.group.open_link,
            registry=self.world.directory.registry,
            forwarder=forwarder,
            features=feature_set.Features(placement=placement),
        )
        self.world.list_servers()
        self.world.directory.configure(proxy_world.configuration())
        for placing in (self.world.service.placing, getattr(forwarder, "placing", None)):
            if placing is not None:
                placing.random = random.Random(seed)
        if gateways is not None:
            self._add_gateways(gateways)
        self.target = self.gateways[target] if gateways is not None else self.group.models[target]
        """The server or gateway that has the faults."""

    def _add_gateways(self, gateways: dict[str, int]) -> None:
        by_zone = {}
        for zone, count in gateways.items():
            names = tuple(ids.InstanceId(f"{zone}{number}") for number in range(count))
            by_zone[ids.ZoneName(zone)] = names
            for name in names:
                trip_s = 0.001 if zone == "b" else 0.006
                number = len(self.gateways)
                self.gateways[name] = Model(
                    slots=3, round_trip_s=trip_s, work_s=0.02, seed=1000 * self.seed + 100 + number
                )
                address = datagrams.PeerAddress(host=name, port=1)
                peer = directory.Peer(zone=ids.ZoneName(zone), address=address)
                self.world.directory.instances.put(name, peer)
        self.world.directory.plans[self.world.service.name] = forwarding.GatewayPlan(
            gateways_by_zone=by_zone, connections=3
        )

    async def run(
        self,
        script: Script,
        *,
        duration_s: float,
        rate_per_s: collections.abc.Callable[[float], float] | float,
    ) -> None:
        """Ask reads at random times with a mean rate while the script runs."""
        loop = asyncio.get_running_loop()
        scripting = asyncio.create_task(self._follow(script))
        asked = []
        while (now_s := loop.time() - START_S - WARM_UP_S) < duration_s:
            rate = rate_per_s if isinstance(rate_per_s, float | int) else rate_per_s(now_s)
            await asyncio.sleep(self.random.expovariate(rate))
            asked.append(asyncio.create_task(self._ask()))
        await asyncio.gather(*asked)
        scripting.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await scripting

    async def _follow(self, script: Script) -> None:
        loop = asyncio.get_running_loop()
        while True:
            script(self, loop.time() - START_S - WARM_UP_S)
            await asyncio.sleep(0.01)

    async def _ask(self) -> None:
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        kind = requests.RouteKind.BOUNDED_STALENESS
        caller = session.Session(
            directory=self.world.directory, database=proxy_world.DATABASES[kind]
        )
        answer = await self.world.run(caller, proxy_world.READ)
        self.answers.append(
            Answered(
                at_s=asked_s - START_S - WARM_UP_S,
                latency_s=loop.time() - asked_s,
                succeeded=answer.succeeded,
            )
        )

    def between(self, from_s: float, to_s: float) -> list[Answered]:
        """Return the reads that were asked in a part of the load."""
        return [each for each in self.answers if from_s <= each.at_s < to_s]

    def served(self, from_s: float, to_s: float) -> float:
        """Return the part of the reads in a part of the load that succeeded."""
        asked = self.between(from_s, to_s)
        return sum(each.succeeded for each in asked) / max(1, len(asked))

    def latency_s(self, share: float, from_s: float, to_s: float) -> float:
        """Return a quantile of the latencies of the reads of a part of the load that succeeded."""
        latencies = sorted(each.latency_s for each in self.between(from_s, to_s) if each.succeeded)
        return latencies[int(share * (len(latencies) - 1))]

    def share_at(self, model: Model, from_s: float, to_s: float) -> float:
        """Return the part of the attempts in a part of the load that a model received."""
        models = [*self.group.models.values(), *self.gateways.values()]
        counts = [sum(from_s <= at_s < to_s for at_s in each.received) for each in models]
        return counts[models.index(model)] / max(1, sum(counts))

    def attempts_per_read(self, from_s: float, to_s: float) -> float:
        """Return how often a read was sent on average."""
        models = [*self.group.models.values(), *self.gateways.values()]
        sent = sum(from_s <= at_s < to_s for each in models for at_s in each.received)
        return sent / max(1, len(self.between(from_s, to_s)))


class _Relays:
    """Connections to modelled gateways, in place of ``relay_client.RelayClient``."""

    def __init__(self, replay: Replay) -> None:
        self.replay = replay

    async def acquire(self, address: datagrams.PeerAddress) -> "_Relay":
        model = self.replay.gateways[address.host]
        if model.faults.down:
            raise peer_errors.PeerUnreachableError("refused")
        return _Relay(model)

    def release(self, address: datagrams.PeerAddress, connection: "_Relay") -> None:
        """Keep nothing."""


class _Relay:
    def __init__(self, model: Model) -> None:
        self.model = model

    async def execute(self, statement: object, timeout_s: float) -> relay_codec.ForwardedAnswer:
        try:
            async with asyncio.timeout(timeout_s):
                succeeds = await self.model.work()
        except TimeoutError as error:
            raise peer_errors.PeerBrokenError("no answer") from error
        if succeeds:
            return relay_codec.ForwardedAnswer(answer=requests.Answer(signature="s"))
        return relay_codec.ForwardedAnswer(
            answer=requests.refuse(requests.Refusal.OVERLOADED, "busy")
        )


def replay(
    monkeypatch: object,
    script: Script,
    *,
    placement: bool,
    duration_s: float = 8.0,
    rate_per_s: collections.abc.Callable[[float], float] | float = 60.0,
    target: str = "server-b",
    gateways: dict[str, int] | None = None,
    seed: int = 1,
) -> Replay:
    """Replay a load in virtual time and return what happened."""

    async def run() -> Replay:
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(clock, "now_s", loop.time)
        monkeypatch.setattr(connection_pool, "time", types.SimpleNamespace(monotonic=loop.time))
        replayed = Replay(placement=placement, target=target, gateways=gateways, seed=seed)
        await replayed.run(script, duration_s=duration_s, rate_per_s=rate_per_s)
        return replayed

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(run())
