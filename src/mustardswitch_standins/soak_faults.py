"""The faults of the soak test, each a coroutine that ends with its fault."""

import asyncio
import collections.abc
import contextlib
import random
import signal
import time

from mustardswitch.internal import ids
from mustardswitch_standins import (
    database_group,
    platform_deployment,
    replication,
)

PROMOTION_DELAYS_S = (0.1, 1.0)
"""Range of the time from an accepted promotion request until its server leads."""
STATEMENT_S = 0.005
"""Time that a statement takes at a server."""
LEAVES_AFTER_S = 1.0
"""Limit on the time from the start of a server until the one that it replaces leaves."""
DRAIN_S = 7.0
"""Time that a server serves after it has announced that it leaves."""
RELISTED_S = 2.0
"""Limit on the time from an outage of the store until the entries that lapsed are back."""
HEARTBEAT_S = 1.2
"""Interval at which a server registers again, and within which it does first."""
ENTRY_EXPIRY_S = 3.6
"""Time after which the entry of a silent server is removed."""
ORDER_DELAYS_S = (1.0, 4.0)
LATE_PROMOTIONS_S = (0.5, 6.0)
"""Ranges of the delays of orders and promotions that are executed without an answer."""
EXPENDABLE_S = 3.0
"""Limit on the wait until other servers hold all commits of one that is to end."""
MAX_SERVERS = 6
ALL = (
    "kill",
    "kill_all",
    "stop",
    "freeze",
    "store_outage",
    "lapse_entries",
    "turn_away",
    "crash_server",
    "lose_server",
    "restart_empty",
    "stop_receiving",
    "cut",
    "delay",
    "reset",
    "delay_promotions",
    "delay_orders",
    "leave",
    "start_server",
    "replace_primary",
    "replace_primary",
    "replace_replica",
)
"""Names of the faults; each is drawn as often as it is named."""


class Faults:
    """Injects faults into a deployment; ``random_source`` draws what they hit and their times."""

    def __init__(
        self,
        *,
        deployment: platform_deployment.Deployment,
        group: replication.ReplicatedGroup,
        random_source: random.Random,
    ) -> None:
        self.deployment = deployment
        self.group = group
        self.random = random_source
        self.instances: dict[str, platform_deployment.Instance] = {}
        self.replaced_pids: set[int] = set()
        """Ended processes that have a successor, so that two faults at once start only one."""
        self.late_promotions_end_s = 0.0
        """Monotonic time at which the last late promotion has been executed."""
        for server in group.servers.values():
            server.answer_delay_s = STATEMENT_S
        deployment.databases.heartbeat_s = HEARTBEAT_S
        deployment.databases.entry_expiry_s = ENTRY_EXPIRY_S
        deployment.store.promote = self._promote

    async def inject(self, seconds: float, names: collections.abc.Sequence[str] = ALL) -> None:
        """Inject faults of these names for some seconds, and wait until all have ended.

        They may overlap.
        """
        end_s = time.monotonic() + seconds
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < end_s:
            name = self.random.choice(names)
            self.group.note(f"fault {name}")
            running.add(asyncio.create_task(getattr(self, name)()))
            await asyncio.sleep(self.random.uniform(0.2, 1.2))
        await asyncio.gather(*running)
        self.group.note("all faults have ended")

    def _promote(self, service: str, server: str, token: int) -> bool:
        """Accept a request to promote a running server, which takes effect some time later."""
        del service, token
        delay_s = self.random.uniform(*PROMOTION_DELAYS_S)
        return self.group.request_promotion(ids.ServerId(server), delay_s)

    # Instances

    def _pick_instance(self) -> str:
        return self.random.choice(sorted(self.instances))

    def _pick_some(self, names: collections.abc.Iterable[str]) -> list[str]:
        """Return each name with a probability of 0.4, but one at least."""
        names = sorted(names)
        some = [name for name in names if self.random.random() < 0.4]
        return some or [self.random.choice(names)]

    async def _restart(self, name: str, signal_number: signal.Signals) -> None:
        instance = self.instances[name]
        if instance.process.returncode is None:
            instance.process.send_signal(signal_number)
        await instance.process.wait()
        if instance.process.pid not in self.replaced_pids:
            self.replaced_pids.add(instance.process.pid)
            self.instances[name] = await self.deployment.start_instance(name)
            self.group.note(f"{name} is ready again")

    async def kill(self) -> None:
        """Kill an instance and start it again."""
        await self._restart(self._pick_instance(), signal.SIGKILL)

    async def kill_all(self) -> None:
        """Kill all instances at once and start them again."""
        await asyncio.gather(*(self._restart(name, signal.SIGKILL) for name in self.instances))

    async def stop(self) -> None:
        """Stop an instance and start it again."""
        await self._restart(self._pick_instance(), signal.SIGTERM)

    async def freeze(self) -> None:
        """Stop the process of an instance for a while without ending it."""
        instance = self.instances[self._pick_instance()]
        with contextlib.suppress(ProcessLookupError):
            instance.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.3, 2.0))
            instance.process.send_signal(signal.SIGCONT)

    # The store

    async def store_outage(self) -> None:
        """Let every call to the store fail for a while."""
        self.deployment.store.down = True
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        self.deployment.store.down = False

    async def lapse_entries(self) -> None:
        """Let the entries of all servers expire in an outage; each is back some time later."""
        store = self.deployment.store
        store.down = True
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        for server in self.group.servers.values():
            store.delete(f"servers/{server.name}")
            back_s = time.monotonic() + self.random.uniform(0.0, RELISTED_S)
            server.listed_from_s = max(server.listed_from_s, back_s)
        store.down = False

    async def turn_away(self) -> None:
        """Cut some instances off from the store, or reset their connections to it."""
        names, refuses = self._pick_some(self.instances), self.random.random() < 0.5
        self.group.note(f"the store turns away {', '.join(names)}, resets: {refuses}")
        links = self.deployment.links
        directions = [links.rule(name, platform_deployment.STORE) for name in names]
        directions += [links.rule(platform_deployment.STORE, name) for name in names]
        for rule in directions:
            rule.cut, rule.refuses = not refuses, refuses
        for name in names if refuses else ():
            links.break_connections(name, platform_deployment.STORE)
        await asyncio.sleep(self.random.uniform(1.0, 6.0))
        for rule in directions:
            rule.cut = rule.refuses = False

    async def delay_promotions(self) -> None:
        """Execute promotion requests with a delay and without an answer."""
        delay_s = self.random.uniform(*LATE_PROMOTIONS_S)
        lasts_s = self.random.uniform(0.5, 3.0)
        end_s = time.monotonic() + lasts_s + delay_s + PROMOTION_DELAYS_S[1]
        self.late_promotions_end_s = max(self.late_promotions_end_s, end_s)
        self.deployment.store.promotion_delay_s = delay_s
        await asyncio.sleep(lasts_s)
        self.deployment.store.promotion_delay_s = None

    # Servers

    def _pick_server(self) -> database_group.FakeServer:
        return self.random.choice(list(self.group.servers.values()))

    def _runs(self, server: database_group.FakeServer) -> bool:
        return self.group.servers.get(server.name) is server

    async def _is_expendable(self, server: database_group.FakeServer) -> bool:
        """Wait until other servers hold the acknowledged commits; return whether they do."""
        end_s = time.monotonic() + EXPENDABLE_S
        while not self.group.is_expendable(server):
            if time.monotonic() > end_s:
                return False
            await asyncio.sleep(0.001)
        return self._runs(server)

    async def crash_server(self) -> None:
        """Crash a server, which comes back with its log."""
        server = self._pick_server()
        if server is self.group.leader and not await self._is_expendable(server):
            return
        self.group.note(f"{server.name} crashes")
        self.deployment.databases.crash(server.name)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        if self._runs(server):
            self.group.restart(server, leads_again=self.random.random() < 0.5)
            self.group.note(f"{server.name} is back as a {server.role.value}")

    async def lose_server(self) -> None:
        """End a server without notice; another one without a log replaces it."""
        server = self._pick_server()
        running = [other for other in self.group.servers.values() if other.up]
        if len(running) < 3 or server.leaving or not await self._is_expendable(server):
            return
        self.group.note(f"{server.name} is lost for good")
        self.deployment.databases.end(server, says_so=False)
        server.log = []
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        await self._start_replacement(server)

    async def restart_empty(self) -> None:
        """Start a replica again without its log, unless a request to promote it may stand."""
        server = self._pick_server()
        if self._may_change_primary() or server is self.group.leader or server.leaving:
            return
        if not server.up or not self.group.is_expendable(server):
            return
        self.group.note(f"{server.name} ends")
        self.deployment.databases.crash(server.name)
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        if not self._runs(server):
            return
        if server.awaited_promotions:
            self.group.restart(server)
            return
        self.group.restart_empty(server)
        self.group.note(f"{server.name} has started again without a log")

    def _may_change_primary(self) -> bool:
        servers = self.group.servers.values()
        changing = any(server.paused_term or server.awaited_promotions for server in servers)
        primary = self.group.primary
        leads = primary is not None and primary.up and not primary.leaving
        return changing or not leads or time.monotonic() < self.late_promotions_end_s

    async def stop_receiving(self) -> None:
        """Let some servers receive no entries for a while."""
        chosen = [self.group.servers[name] for name in self._pick_some(self.group.servers)]
        for server in chosen:
            server.not_receiving = True
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        for server in chosen:
            server.not_receiving = False
            self.group.catch_up(server)

    async def cut(self) -> None:
        """Cut the link between the instances and a server in one or both directions."""
        links, server = self.deployment.links, self._pick_server()
        unlisted = any(not other.was_listed for other in self.group.servers.values())
        if server is self.group.leader and unlisted:
            return
        cut_requests, cut_answers = self.random.choice([(True, False), (False, True), (True, True)])
        self.group.note(f"{server.name} is cut off, requests {cut_requests} answers {cut_answers}")
        requests = links.rule(platform_deployment.INSTANCES, server.name)
        answers = links.rule(server.name, platform_deployment.INSTANCES)
        requests.cut, answers.cut = cut_requests, cut_answers
        await asyncio.sleep(self.random.uniform(0.3, 2.0))
        requests.cut = answers.cut = False

    async def delay(self) -> None:
        """Delay the answers of a server."""
        server = self._pick_server().name
        rule = self.deployment.links.rule(server, platform_deployment.INSTANCES)
        rule.delay_s = self.random.uniform(0.02, 0.4)
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        rule.delay_s = 0.0

    async def reset(self) -> None:
        """Reset the connections to a server."""
        server = self._pick_server().name
        self.deployment.links.break_connections(platform_deployment.INSTANCES, server)

    async def delay_orders(self) -> None:
        """Execute PAUSE, RESUME and STEPDOWN at some servers late and without an answer."""
        chosen = [self.group.servers[name] for name in self._pick_some(self.group.servers)]
        for server in chosen:
            server.order_delay_s = self.random.uniform(*ORDER_DELAYS_S)
        self.group.note(f"orders are late at {', '.join(server.name for server in chosen)}")
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        for server in chosen:
            server.order_delay_s = 0.0

    async def leave(self) -> None:
        """Let the primary announce that it leaves, and stay."""
        server = self.group.primary
        if server is None or server.leaving:
            return
        server.leaving = True
        await asyncio.sleep(self.random.uniform(1.0, 5.0))
        server.leaving = False

    async def start_server(self) -> None:
        """Start another server."""
        await self._start_replacement(self._pick_server())

    async def _start_replacement(self, former: database_group.FakeServer) -> None:
        if len(self.group.servers) >= MAX_SERVERS:
            return
        listed_after_s = self.random.uniform(0.0, HEARTBEAT_S)
        server = self.group.start_replacement(former, listed_after_s=listed_after_s)
        server.answer_delay_s = STATEMENT_S
        await self.deployment.start_server(server)

    async def replace_primary(self) -> None:
        """Replace the primary by a server that starts before, and may be listed later."""
        if self.group.primary is not None:
            await self._replace(self.group.primary)

    async def replace_replica(self) -> None:
        """Replace a replica by a server that starts before, and may be listed later."""
        servers = [server for server in self.group.servers.values() if server.was_listed]
        await self._replace(self.random.choice([s for s in servers if s is not self.group.leader]))

    async def _replace(self, server: database_group.FakeServer) -> None:
        if server.leaving or not server.up or len(self.group.servers) >= MAX_SERVERS:
            return
        await self._start_replacement(server)
        await asyncio.sleep(self.random.uniform(0.0, LEAVES_AFTER_S))
        self.group.note(f"{server.name} leaves")
        server.leaving = True
        await asyncio.sleep(DRAIN_S)
        if self._runs(server) and await self._is_expendable(server):
            self.group.note(f"{server.name} has left as a {server.role.value}")
            self.deployment.databases.end(server, says_so=True)
        server.leaving = False
