"""Simulates a fleet that shares the rate limit of a tenant: store, clocks, faults, messages."""

import asyncio
import collections
import contextlib
import dataclasses
import random

from mustardswitch import metrics
from mustardswitch.internal import clock, gateways, ids, registration_list
from mustardswitch.internal.tenants import handover, homes, limits
from mustardswitch.peers import datagrams, errors
from mustardswitch.proxy import coordination, directory, routes, server_list, tenant_limits

ZONES = {"a": "north", "b": "north", "c": "south"}
REGIONS = {ids.ZoneName(zone): ids.RegionName(region) for zone, region in ZONES.items()}
SERVICE = ids.ServiceName("orders")
TENANT = ids.TenantName("acme")
STEP_S = 0.05
RENEWAL_S = coordination.RENEWAL_INTERVAL_S


class SimulatedClock:
    """Time of the simulation; each instance reads it with an offset of its own."""

    def __init__(self) -> None:
        self.true_s = 1000.0
        self.offset_s = 0.0

    def now_s(self) -> float:
        """Return the time of the instance that runs now."""
        return self.true_s + self.offset_s


class FleetDirectory:
    """What one instance knows of the fleet."""

    def __init__(self, *, instance: str, zone: str) -> None:
        self.instance = ids.InstanceId(instance)
        self.location = server_list.Location(zone=ids.ZoneName(zone), regions=REGIONS)
        self.configuration: routes.Configuration | None = None
        self.forwarder = object()
        self.plans = {}
        self.instances = registration_list.RegistrationList()
        self.registry = metrics.Registry()
        self.refreshed_s = float("-inf")

    def candidates(self) -> list[gateways.Candidate]:
        """Return the listed instances."""
        return [
            gateways.Candidate(instance=name, zone=peer.zone, region=REGIONS[peer.zone])
            for name, peer in self.instances.entries.items()
        ]

    def _plan(self, candidates):
        return homes.plan_gateways(candidates, group=0, connections=36, usable=36)

    def refresh(self) -> None:
        """Plan the gateways by the present list."""
        self.refreshed_s = clock.now_s()
        plan = self._plan(self.candidates())
        self.plans = {SERVICE: plan} if plan is not None else {}

    def plans_without_self(self) -> list[object]:
        """Return the plan without this instance."""
        others = [each for each in self.candidates() if each.instance != self.instance]
        plan = self._plan(others)
        return [plan] if plan is not None else []


@dataclasses.dataclass(kw_only=True)
class Message:
    """A request on its way, then the answer to it on its way back."""

    sender: str
    receiver: str
    request: object
    future: asyncio.Future
    answer: object = None
    answered: bool = False


class Node:
    """One instance of the fleet."""

    def __init__(self, *, world: "LimitsWorld", name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.offset_s = random.Random(name).uniform(0, 500)
        self.alive = False
        self.frozen = self.cut = False
        self.renews = True
        """Whether renewals of the registration reach the store."""
        self.lag_s = 0.0
        """Age at which the list is read again."""
        self.start()

    def start(self) -> None:
        """Start the instance, with nothing known but its name."""
        self.alive, self.frozen = True, False
        self.directory = FleetDirectory(instance=self.name, zone=self.zone)
        self.renewed_s = self.confirmed_s = float("-inf")
        """When the registration was renewed and the list read, in the time of the simulation."""
        self.list_until_s = float("-inf")
        """Until when the list is valid, on the clock of the instance."""
        self.leaving = False
        self.held = 0
        """Operations that were admitted and are not sent yet."""
        with self.running():
            self.limits = tenant_limits.TenantLimits(
                directory=self.directory,
                valid_until=self._valid_until_s,
                exchange=self.world.exchange_of(self),
            )

    @property
    def runs(self) -> bool:
        """Whether the instance runs now."""
        return self.alive and not self.frozen

    @contextlib.contextmanager
    def running(self):
        """Read the clock of this instance meanwhile."""
        before, self.world.clock.offset_s = self.world.clock.offset_s, self.offset_s
        try:
            yield
        finally:
            self.world.clock.offset_s = before

    def call(self, work: collections.abc.Callable[[], object]) -> object:
        """Return what the instance answers when it runs some work, and run its tasks."""

        async def run() -> object:
            result = work()
            for _ in range(3):
                await asyncio.sleep(0)
            return result

        with self.running():
            return self.world.loop.run_until_complete(run())

    def _valid_until_s(self) -> float:
        return float("-inf") if self.leaving else self.list_until_s

    def follow(self) -> None:
        """Renew the registration and read the list, as far as they are due and possible."""
        world = self.world
        if not self.runs or self.cut:
            return
        now_s = world.clock.true_s
        if self.renews and not self.leaving and now_s >= self.renewed_s + RENEWAL_S:
            self.renewed_s = now_s
            world.leases[self.name] = now_s + coordination.REGISTRATION_TTL_S
        if now_s >= self.confirmed_s + self.lag_s:
            self.confirmed_s = now_s
            self.list_until_s = now_s + self.offset_s + handover.LIST_MAX_AGE_S
            with self.running():
                self.read_list()

    def read_list(self) -> None:
        """Apply the store's list and configuration."""
        listed = {
            ids.InstanceId(name): directory.Peer(
                zone=ids.ZoneName(self.world.nodes[name].zone),
                address=datagrams.PeerAddress(host=name, port=1),
            )
            for name in self.world.leases
        }
        known = self.directory
        if known.instances.entries != listed or known.configuration != self.world.configuration:
            known.instances.replace(listed, clock.now_s())
            known.configuration = self.world.configuration
            known.refresh()

    def run_operations(
        self, count: int, tenant: ids.TenantName = TENANT, *, held: bool = False
    ) -> int:
        """Start operations of a tenant, and send them unless they are held back.

        Returns how many were admitted.
        """
        if not self.runs:
            return 0
        started = self.call(
            lambda: [self.limits.admit(tenant, clock.now_s()) for _ in range(count)]
        )
        admitted = sum(started)
        if held:
            self.held += admitted
            return admitted
        return self._send(admitted, tenant)

    def send_held(self) -> int:
        """Send the operations that were held back; returns how many may still be sent."""
        count, self.held = self.held, 0
        return self._send(count, TENANT) if self.runs else 0

    def _send(self, count: int, tenant: ids.TenantName) -> int:
        refusals = self.call(
            lambda: [self.limits.start_sending(tenant, clock.now_s()) for _ in range(count)]
        )
        sent = refusals.count(None)
        self.world.admitted += [(self.world.clock.true_s, self.name)] * sent
        return sent


class LimitsWorld:
    """The fleet, its store and the messages between instances."""

    def __init__(
        self,
        monkeypatch: object,
        *,
        rate_per_s: float = 20.0,
        burst: float = 10.0,
        per_zone: int = 2,
        tenants: collections.abc.Collection[ids.TenantName] = (TENANT,),
    ) -> None:
        self.tenants = tenants
        self.loop = asyncio.new_event_loop()
        self.clock = SimulatedClock()
        monkeypatch.setattr(clock, "now_s", self.clock.now_s)
        self.leases: dict[str, float] = {}
        self.messages: list[Message] = []
        self.admitted: list[tuple[float, str]] = []
        self.instant_messages = True
        self.limit_changes: list[tuple[float, limits.Limit]] = []
        self.configuration = None
        self.configure(rate_per_s, burst)
        self.nodes: dict[str, Node] = {}
        for zone in ZONES:
            for number in range(per_zone):
                name = f"{zone}{number}"
                self.nodes[name] = Node(world=self, name=name, zone=zone)

    def configure(self, rate_per_s: float, burst: float) -> None:
        """Acknowledge a configuration with a limit of the tenant."""
        version = self.configuration.version + 1 if self.configuration is not None else 1
        self.configuration = routes.Configuration(
            version=version,
            routes={},
            services={},
            transaction_idle_s=3.0,
            tenants={
                name: routes.Tenant(name=name, rate_per_s=rate_per_s, burst=burst)
                for name in self.tenants
            },
        )
        limit = limits.Limit(rate_per_s=rate_per_s, burst=burst)
        self.limit_changes.append((self.clock.true_s, limit))

    def exchange_of(self, node: Node) -> "FleetExchange":
        """Return the exchange through which an instance asks others."""
        return FleetExchange(world=self, sender=node.name)

    def close(self) -> None:
        """End all tasks."""
        for message in self.messages:
            message.future.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    # Messages

    def answer(self, message: Message) -> None:
        """Let the receiver answer a message, or lose it."""
        receiver = self.nodes[message.receiver]
        if not receiver.runs or receiver.cut or self.nodes[message.sender].cut:
            self.lose(message)
            return
        message.answer = receiver.call(lambda: receiver.limits.answer(message.request))
        message.answered = True

    def deliver(self, message: Message) -> None:
        """Deliver the answer to a message."""
        self.messages.remove(message)
        sender = self.nodes[message.sender]
        if not message.future.done():
            message.future.set_result(message.answer)
        sender.call(lambda: None)

    def lose(self, message: Message) -> None:
        """Lose a message or its answer."""
        self.messages.remove(message)
        if not message.future.done():
            message.future.set_exception(errors.PeerBrokenError("lost"))
        self.nodes[message.sender].call(lambda: None)

    # Time

    def advance(self, duration_s: float, demand: collections.abc.Mapping[str, float] = ()) -> None:
        """Let time pass, with operations per second at each of some instances."""
        demand = dict(demand)
        due = dict.fromkeys(demand, 0.0)
        for _ in range(max(1, round(duration_s / STEP_S))):
            self.clock.true_s += STEP_S
            now_s = self.clock.true_s
            self.leases = {name: end_s for name, end_s in self.leases.items() if now_s < end_s}
            for node in self.nodes.values():
                node.follow()
                if node.runs:
                    node.call(lambda node=node: node.limits.poll(clock.now_s()))
            for name, rate in demand.items():
                due[name] += rate * STEP_S
                count = int(due[name])
                due[name] -= count
                self.nodes[name].run_operations(count)
            if self.instant_messages:
                self.deliver_all()

    def deliver_all(self) -> None:
        """Deliver all messages and their answers."""
        for message in list(self.messages):
            if not message.answered:
                self.answer(message)
            if message in self.messages:
                self.deliver(message)

    # Faults

    def kill(self, name: str) -> None:
        """Kill an instance; what it waits for is forgotten."""
        node = self.nodes[name]
        node.alive = False
        for message in [each for each in self.messages if each.sender == name]:
            self.messages.remove(message)
            message.future.cancel()

    def leave(self, name: str) -> None:
        """Let an instance remove its registration, as it does before it stops."""
        node = self.nodes[name]
        node.leaving = True
        self.leases.pop(name, None)

    # What is checked

    def homes(self, tenant: ids.TenantName = TENANT) -> list[str]:
        """Return the homes of a tenant by the store's list."""
        known = FleetDirectory(instance="none", zone="a")
        for name in self.leases:
            known.instances.put(
                ids.InstanceId(name), directory.Peer(zone=ids.ZoneName(self.nodes[name].zone))
            )
        known.refresh()
        limit = self.limit_changes[-1][1]
        return homes.homes_of_plans(
            known.plans.values(), tenant, rate_per_s=limit.rate_per_s, regions=REGIONS
        )

    def allowed(self, start_s: float) -> float:
        """Return how many operations may run in the window that starts at a time."""
        binding = [
            limit
            for number, (at_s, limit) in enumerate(self.limit_changes)
            if number + 1 == len(self.limit_changes)
            or self.limit_changes[number + 1][0] + 6.0 + limits.WINDOW_S > start_s
        ]
        return max(
            1.1 * (limit.rate_per_s * limits.WINDOW_S + limit.burst) + 20.0 for limit in binding
        )

    def excess(self) -> float:
        """Return by how much the worst window exceeds what is allowed; negative if none does."""
        worst = -float("inf")
        end = 0
        for start, (start_s, _) in enumerate(self.admitted):
            while end < len(self.admitted) and self.admitted[end][0] < start_s + limits.WINDOW_S:
                end += 1
            worst = max(worst, end - start - self.allowed(start_s))
        return worst


class FleetExchange:
    """Carries the questions of one instance to others, as messages of the simulation."""

    def __init__(self, *, world: LimitsWorld, sender: str) -> None:
        self.world, self.sender = world, sender

    async def ask(self, address: datagrams.PeerAddress, request: object) -> object:
        """Wait for the answer of an instance; raises PeerBrokenError when it is lost."""
        message = Message(
            sender=self.sender,
            receiver=address.host,
            request=request,
            future=asyncio.get_running_loop().create_future(),
        )
        self.world.messages.append(message)
        return await message.future
