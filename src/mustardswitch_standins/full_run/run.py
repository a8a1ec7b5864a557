"""A run: starts the processes of a deployment, performs a day's steps and collects the reports."""

import asyncio
import collections.abc
import contextlib
import pathlib
import random
import signal
import time

from mustardswitch_standins import fleet
from mustardswitch_standins.full_run import (
    control,
    day_steps,
    figures,
    processes,
    throttle,
    verdict,
)

LISTED_S = 2.0
"""Time from the start of the servers until the instances are started."""
SETTLE_S = 2.0
"""Time from the start of the callers until the times without a write count."""
MAX_CALLER_PROCESSES = 3
CUT_S = 0.1
"""Interval at which servers are told which processes are cut off, as instances restart."""


class Run:
    """A deployment and the steps that can be performed on it."""

    def __init__(
        self,
        *,
        directory: pathlib.Path,
        size: figures.Size,
        seed: int,
        day: day_steps.Day,
        source: pathlib.Path,
        busy: int,
        processor_share: float | None = None,
    ) -> None:
        self.directory = directory
        self.size = size
        self.seed = seed
        self.day = day
        self.busy = busy
        self.processor_share = processor_share
        """Share of a processor that each instance may use; None: no limit."""
        self.random = random.Random(f"{seed} run")
        self.programs = processes.Programs(directory=directory)
        self.services = figures.service_names(size)
        ports = iter(fleet.free_ports(3 + len(self.services) + 2 * size.instances))
        self.store_port, self.promotion_port = next(ports), next(ports)
        store_control = next(ports)
        self.store = control.Client(port=store_control)
        self.holders = control.Client(port=store_control)
        """Another connection to the store's program, for requests that wait."""
        self.databases = {service: control.Client(port=next(ports)) for service in self.services}
        self.instances = [
            processes.InstanceProcess(
                name=f"instance-{zone}-{number}",
                zone=zone,
                store_port=next(ports),
                promotion_port=self.promotion_port,
                source=source,
                directory=directory,
            )
            for number in range(size.instances + size.instances // 2)
            for zone in [size.zones[number % len(size.zones)]]
        ]
        self.started = self.instances[: size.instances]
        """Instances that run; the others may be added later."""
        self.steps: list[asyncio.Task[None]] = []
        self.throttling: asyncio.Task[None] | None = None
        self.counts: dict[str, int] = {}
        self.written: set[str] = set()
        """Writes that were answered to their callers with success."""
        self.started_s = 0.0
        """Unix time at which the callers start."""
        self.events: list[str] = []

    async def run(self) -> verdict.Verdict:
        """Run the day and return the verdict."""
        try:
            await self._start()
            await self._perform_steps()
            reports = {
                service: await client.call("report") for service, client in self.databases.items()
            }
            ended_s = time.time()
            await self._finish_callers()
        finally:
            await self._stop()
        for service, report in reports.items():
            self.events += [f"{service} {event}" for event in report["events"]]
        (self.directory / "events.log").write_text("".join(f"{each}\n" for each in self.events))
        return verdict.judge(
            reports,
            from_s=self.started_s + SETTLE_S,
            until_s=ended_s,
            written=self.written,
        )

    async def _start(self) -> None:
        encoded_size = figures.encode_size(self.size)
        await self.programs.start(
            "store",
            "store_program",
            size=encoded_size,
            port=self.store.port,
            store_port=self.store_port,
            promotion_port=self.promotion_port,
            databases=",".join(f"{key}={each.port}" for key, each in self.databases.items()),
            instances=",".join(f"{each.name}={each.store_port}" for each in self.instances),
        )
        for service, client in self.databases.items():
            await self.programs.start(
                service,
                "database_program",
                service=service,
                size=encoded_size,
                seed=f"{self.seed} {service}",
                port=client.port,
                store=self.store.port,
            )
        await asyncio.sleep(LISTED_S)
        await asyncio.gather(*(each.start() for each in self.started))
        await asyncio.gather(*(each.wait_ready() for each in self.started))
        if self.processor_share is not None:
            self.throttling = asyncio.create_task(
                throttle.keep_throttled(self.instances, self.processor_share)
            )
        await self.programs.burn(self.busy, self.day.length_s + 10.0)
        zones = self.size.zones
        count = min(MAX_CALLER_PROCESSES, len(zones))
        instances = ",".join(f"{each.zone}={each.ports.callers}" for each in self.started)
        for number in range(count):
            await self.programs.start(
                f"callers-{number}",
                "caller_program",
                size=encoded_size,
                seed=f"{self.seed} {number}",
                zones=",".join(zones[number::count]),
                rate=self.size.rate / count,
                instances=instances,
            )
        self.started_s = time.time()

    async def _perform_steps(self) -> None:
        for step in self.day.steps:
            await self._wait_until(step.at_s)
            self._note(f"{step.name} {step.fields}")
            performed = getattr(self, f"step_{step.name}")(**step.fields)
            self.steps.append(asyncio.create_task(performed))
        await self._wait_until(self.day.length_s)
        for step in self.steps:
            if not step.done():
                step.cancel()
        for result in await asyncio.gather(*self.steps, return_exceptions=True):
            if isinstance(result, BaseException):
                self._note(f"step failed: {result!r}")

    async def _wait_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self.started_s + at_s - time.time()))

    def _note(self, text: str) -> None:
        self.events.append(f"run {time.time() - self.started_s:.2f} s: {text}")

    async def _finish_callers(self) -> None:
        for name in [name for name in self.programs.processes if name.startswith("callers")]:
            result = await self.programs.finish(name)
            for outcome, count in result.get("counts", {}).items():
                self.counts[outcome] = self.counts.get(outcome, 0) + count
            self.written.update(result.get("written", []))

    async def _stop(self) -> None:
        for step in self.steps:
            step.cancel()
        if self.throttling is not None:
            self.throttling.cancel()
        await asyncio.gather(*self.steps, return_exceptions=True)
        await asyncio.gather(*(each.end(signal.SIGKILL) for each in self.instances))
        await self.programs.kill()
        for client in (self.store, self.holders, *self.databases.values()):
            client.close()

    # Steps

    def _pick(self, share: float) -> list[processes.InstanceProcess]:
        """Return a share of the instances, but one at least."""
        count = max(1, round(share * len(self.started)))
        return self.random.sample(self.started, count)

    async def _restart(self, instance: processes.InstanceProcess) -> None:
        await instance.end(signal.SIGTERM)
        await instance.start()

    async def step_roll(self, share: float, gap_s: float) -> None:
        """Restart instances in turn."""
        restarts = []
        for instance in self._pick(share):
            restarts.append(asyncio.create_task(self._restart(instance)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*restarts)

    async def step_add(self, count: int) -> None:
        """Start further instances."""
        unused = [each for each in self.instances if each not in self.started]
        for instance in unused[:count]:
            await instance.start()
            self.started.append(instance)

    async def step_kill_all(self, down_s: float, servers: bool) -> None:
        """Kill all instances, and the servers if asked to, and start them again."""
        await asyncio.gather(*(each.end(signal.SIGKILL) for each in self.started))
        if servers:
            for client in self.databases.values():
                await client.call("power_off", for_s=down_s)
        await asyncio.sleep(down_s)
        await asyncio.gather(*(each.start() for each in self.started))

    async def step_kill(self, share: float, down_s: float) -> None:
        """Kill some instances at once and start them again after a while."""
        killed = self._pick(share)
        self._note(f"killed: {', '.join(each.name for each in killed)}")
        await asyncio.gather(*(each.end(signal.SIGKILL) for each in killed))
        await asyncio.sleep(down_s)
        await asyncio.gather(*(each.start() for each in killed))

    async def step_turn_away(
        self, share: float, for_s: float, silent: bool, revokes: bool = False
    ) -> None:
        """Let the store turn some instances away, and end their leases if it ``revokes`` them."""
        names = [each.name for each in self._pick(share)]
        self._note(f"turned away: {', '.join(names)}")
        await self.store.call("turn_away", names=names, for_s=for_s, silent=silent, revokes=revokes)

    async def step_outage(self, for_s: float, silent: bool, lapses: bool) -> None:
        """Let nobody reach the store."""
        await self.store.call("outage", for_s=for_s, silent=silent, lapses=lapses)

    async def step_slow(self, for_s: float, delay_s: float) -> None:
        """Slow the store down."""
        await self.store.call("slow", for_s=for_s, delay_s=delay_s)

    async def step_delay_promotions(self, for_s: float, delay_s: float) -> None:
        """Let promotion calls be executed late and without an answer."""
        await self.store.call("delay_promotions", for_s=for_s, delay_s=delay_s)

    async def step_release(self, services: int, drain_s: float | None = None) -> None:
        """Release the primaries of some services, within a second."""
        for client in self.random.sample(list(self.databases.values()), services):
            await client.call("release", drain_s=drain_s)
            await asyncio.sleep(self.random.uniform(0.0, 1.0 / services))

    async def step_on_servers(self, fault: str, services: list[str], **fields: object) -> None:
        """Inject a fault into the servers of some services."""
        for service in services:
            await self.databases[service].call(fault, **fields)

    async def step_cut(self, share: float, for_s: float, one_way: bool) -> None:
        """Cut the primaries off from some instances."""
        pids = [each.pid for each in self._pick(share) if each.pid is not None]
        for client in self.databases.values():
            await client.call("cut", pids=pids, for_s=for_s, one_way=one_way)

    async def step_cut_from_store(
        self,
        roles: collections.abc.Sequence[str],
        for_s: float,
        share: float = 0.0,
        reborn_after_s: float | None = None,
    ) -> None:
        """Cut a server of each service off from the store, and from a share of the instances."""
        cut = self._pick(share) if share else []
        ends_s = time.monotonic() + for_s
        for number, client in enumerate(self.databases.values()):
            await client.call(
                "cut_from_store",
                role=roles[number % len(roles)],
                for_s=for_s,
                reborn_after_s=reborn_after_s,
            )
        while cut and time.monotonic() < ends_s:
            pids = [each.pid for each in cut if each.pid is not None]
            for client in self.databases.values():
                await client.call("cut_instances", pids=pids)
            await asyncio.sleep(CUT_S)

    async def step_split(self, for_s: float) -> None:
        """Cut one zone off from the store, and the primaries off from all other zones."""
        zone = self.random.choice(self.size.zones)
        inside = [each for each in self.started if each.zone == zone]
        pids = [each.pid for each in self.started if each not in inside and each.pid is not None]
        names = [each.name for each in inside]
        self._note(f"split off: {', '.join(names)}")
        unregistered = self.random.random() < 0.5
        await self.store.call("turn_away", names=names, for_s=for_s, silent=True)
        for client in self.databases.values():
            await client.call(
                "cut", pids=pids, for_s=for_s, one_way=False, unregistered=unregistered
            )

    async def step_deaf(self, count: int, for_s: float) -> None:
        """Let replicas of each service receive nothing."""
        for client in self.databases.values():
            await client.call("deaf", count=count, for_s=for_s)

    async def step_lag(self, count: int, factor: float, for_s: float) -> None:
        """Let replicas of each service lag."""
        for client in self.databases.values():
            await client.call("lag", count=count, factor=factor, for_s=for_s)

    async def step_crash(self, for_s: float, dark: bool) -> None:
        """Crash the primary of each service."""
        for client in self.databases.values():
            await client.call("crash", for_s=for_s, dark=dark)

    async def step_slow_primary(
        self, delay_s: float, for_s: float, executes_late: bool, orders: bool = True
    ) -> None:
        """Delay the answers of the primary of each service, or the execution of its requests."""
        for client in self.databases.values():
            await client.call(
                "slow", delay_s=delay_s, for_s=for_s, executes_late=executes_late, orders=orders
            )

    async def step_stall_primary(self, for_s: float) -> None:
        """Let the primary of each service execute nothing for a while."""
        for client in self.databases.values():
            await client.call("stall", for_s=for_s)

    async def step_freeze(self, share: float, for_s: float) -> None:
        """Stop the processes of some instances for a while without ending them."""
        frozen = [each.process for each in self._pick(share) if each.pid is not None]
        self._note(f"frozen: {', '.join(str(each.pid) for each in frozen)}")
        for signal_number, wait_s in ((signal.SIGSTOP, for_s), (signal.SIGCONT, 0.0)):
            for process in frozen:
                if process.returncode is None:
                    process.send_signal(signal_number)
            await asyncio.sleep(wait_s)

    async def step_slow_holder(
        self, for_s: tuple[float, float], after_s: tuple[float, float], until_s: float
    ) -> None:
        """Stop the process of each instance that has promoted a present primary, for a while.

        It is stopped some time after the promotion was accepted; both times are drawn from ranges.
        """
        ends_s = time.monotonic() + until_s
        suspensions = []
        while time.monotonic() < ends_s:
            name = (await self.holders.call("holder"))["name"]
            for instance in self.started:
                if instance.name == name and instance.pid is not None and not instance.suspended:
                    suspensions.append(
                        asyncio.create_task(
                            self._suspend(
                                instance,
                                self.random.uniform(*for_s),
                                self.random.uniform(*after_s),
                            )
                        )
                    )
        await asyncio.gather(*suspensions)

    async def _suspend(
        self, instance: processes.InstanceProcess, for_s: float, after_s: float
    ) -> None:
        await asyncio.sleep(after_s)
        process, instance.suspended = instance.process, True
        self._note(f"{instance.name} is suspended for {for_s:.2f} s")
        try:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
        finally:
            instance.suspended = False
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)

    async def step_configure(self, version: int, timeout_factor: float, added: bool) -> None:
        """Let the operator write a newer configuration."""
        await self.store.call(
            "configure", version=version, timeout_factor=timeout_factor, added=added
        )

    async def step_lose_answers(self, count: int) -> None:
        """Lose the answers to the next accepted promotions."""
        await self.store.call("lose_answers", count=count)

    async def step_reset(self, share: float) -> None:
        """Reset connections to the servers."""
        for client in self.databases.values():
            await client.call("reset", share=share)
