"""A fault soak: real instances, seeded faults, and a judge of what callers saw."""

import argparse
import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import time

from mustardswitch import tasks
from mustardswitch.internal import ids
from mustardswitch_standins import users_deployment

INSTANCES = 3
CALLERS = 6
STALENESS_S = 1.5
SETTLE_S = 6.0
RUN_LIMIT_S = 300.0
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY")
KINDS = ("primary", "read_your_writes", "bounded_staleness")


@dataclasses.dataclass(kw_only=True)
class Write:
    """A write and what its caller was told."""

    request: str
    told: str
    session: int
    told_at_s: float


@dataclasses.dataclass(kw_only=True)
class Read:
    """A read that succeeded, and the length of the log that it ran on."""

    kind: str
    session: int
    asked_at_s: float
    length: int


@dataclasses.dataclass(kw_only=True)
class Observed:
    """Everything that callers saw."""

    writes: list[Write] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)


def judge(observed: Observed, log: collections.abc.Sequence[str], lost: list[str]) -> list[str]:
    """Return every broken promise; ``log`` are the commits of the last primary in order."""
    found = [f"acknowledged commit {request} is lost" for request in lost]
    place = {request: index for index, request in enumerate(log)}
    found += [
        f"{request} ran {log.count(request)} times" for request in place if log.count(request) > 1
    ]
    for write in observed.writes:
        if write.told == "ran" and write.request not in place:
            found.append(f"write {write.request} was acknowledged and is not in the log")
        if write.told == "not run" and write.request in place:
            found.append(f"write {write.request} was said not to have run and is in the log")
    ran = [write for write in observed.writes if write.told == "ran" and write.request in place]
    for read in observed.reads:
        found += _judge_read(read, ran, place)
    return found


def _judge_read(read: Read, ran: list[Write], place: dict[str, int]) -> list[str]:
    slack_s = 0.0 if read.kind == "primary" else STALENESS_S
    missed = [
        write.request
        for write in ran
        if place[write.request] >= read.length
        and (
            write.told_at_s < read.asked_at_s - slack_s
            or (read.kind == "read_your_writes" and write.session == read.session)
        )
        and write.told_at_s < read.asked_at_s
    ]
    return [f"{read.kind} read of length {read.length} lacks {request}" for request in missed]


class Soak:
    """One run with one seed."""

    def __init__(self, *, seed: int, seconds: float, directory: pathlib.Path) -> None:
        self.seed = seed
        self.seconds = seconds
        self.random = random.Random(seed)
        self.deployment = users_deployment.Deployment(directory)
        self.instances: dict[str, users_deployment.Instance] = {}
        self.observed = Observed()
        self.replaced: set[int] = set()
        self.sessions = 0
        self.requests = 0

    async def run(self) -> list[str]:
        """Return every broken promise."""
        await self.deployment.start()
        background = [asyncio.create_task(self._keep_listed())]
        try:
            for number in range(INSTANCES):
                name = f"instance-{number}"
                self.instances[name] = await self.deployment.start_instance(name)
            background += [asyncio.create_task(self._call()) for _ in range(CALLERS)]
            await self._break_things()
            await self._heal()
        finally:
            await tasks.cancel_and_wait(background)
            await self.deployment.stop()
        group = self.deployment.group
        log = [entry.data for entry in group.primary.log]
        return judge(self.observed, log, group.lost)

    async def _keep_listed(self) -> None:
        while True:
            if not self.deployment.store.down:
                self.deployment.databases.list_servers(self.deployment.store)
            await asyncio.sleep(0.3)

    # Callers

    async def _call(self) -> None:
        while True:
            kind = self.random.choice(KINDS)
            instance = self.random.choice(list(self.instances.values()))
            self.sessions += 1
            with contextlib.suppress(OSError, TimeoutError):
                caller = await asyncio.wait_for(instance.session(f"db-{kind}"), 1.0)
                await self._use(caller, kind, self.sessions)
                caller.writer.close()
            await asyncio.sleep(0.02)

    async def _use(self, caller: users_deployment.Caller, kind: str, session: int) -> None:
        for _ in range(self.random.randint(1, 10)):
            if not caller.greeting.startswith("READY"):
                return
            asked_at_s = time.monotonic()
            if self.random.random() < 0.5 and kind != "bounded_staleness":
                told = await self._write(caller, session)
                if told == "unknown":
                    return
            else:
                answer = await caller.ask("READ item")
                if answer[0].startswith("DATAROW"):
                    self.observed.reads.append(
                        Read(
                            kind=kind,
                            session=session,
                            asked_at_s=asked_at_s,
                            length=int(answer[0].split()[1]),
                        )
                    )
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    async def _write(self, caller: users_deployment.Caller, session: int) -> str:
        self.requests += 1
        request = f"w{self.requests}"
        write = Write(request=request, told="unknown", session=session, told_at_s=float("inf"))
        self.observed.writes.append(write)
        answer = await caller.ask("WRITE item data", request)
        first = answer[0].split(" ")
        if first[0] == "DATAROW" or first[0] == "COMPLETE":
            write.told = "ran"
        elif first[0] == "ERROR" and first[1] in PROMISES:
            write.told = "not run"
        write.told_at_s = time.monotonic()
        return write.told

    # Faults

    async def _break_things(self) -> None:
        faults = [
            self._kill,
            self._pause,
            self._stop,
            self._store_outage,
            self._crash_server,
            self._deafen,
            self._cut,
            self._delay,
            self._reset,
            self._lose_orders,
        ]
        end_s = time.monotonic() + self.seconds
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < end_s:
            running.add(asyncio.create_task(self.random.choice(faults)()))
            await asyncio.sleep(self.random.uniform(0.2, 1.2))
        await asyncio.gather(*running)

    def _pick(self) -> tuple[str, users_deployment.Instance]:
        name = self.random.choice(sorted(self.instances))
        return name, self.instances[name]

    async def _restart(self, name: str, number: signal.Signals) -> None:
        instance = self.instances[name]
        if instance.process.returncode is None:
            instance.process.send_signal(number)
        await instance.process.wait()
        if instance.process.pid not in self.replaced:
            self.replaced.add(instance.process.pid)
            self.instances[name] = await self.deployment.start_instance(name)

    async def _kill(self) -> None:
        await self._restart(self._pick()[0], signal.SIGKILL)

    async def _stop(self) -> None:
        await self._restart(self._pick()[0], signal.SIGTERM)

    async def _pause(self) -> None:
        _, instance = self._pick()
        with contextlib.suppress(ProcessLookupError):
            instance.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.3, 2.0))
            instance.process.send_signal(signal.SIGCONT)

    async def _store_outage(self) -> None:
        self.deployment.store.down = True
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        self.deployment.store.down = False

    async def _crash_server(self) -> None:
        group = self.deployment.group
        server = self.random.choice(list(group.servers.values()))
        self.deployment.databases.crash(server.name)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        server.paused_term = 0
        server.up = True
        group.catch_up(server)

    async def _deafen(self) -> None:
        group = self.deployment.group
        server = self.random.choice(list(group.servers.values()))
        server.not_receiving = True
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        server.not_receiving = False
        group.catch_up(server)

    def _pick_server(self) -> ids.ServerId:
        return self.random.choice(list(self.deployment.group.servers))

    async def _cut(self) -> None:
        """Let nothing pass between the instances and a server, in one direction or both."""
        links, server = self.deployment.links, self._pick_server()
        there, back = self.random.choice([(True, False), (False, True), (True, True)])
        links.rule(users_deployment.INSTANCES, server).cut = there
        links.rule(server, users_deployment.INSTANCES).cut = back
        await asyncio.sleep(self.random.uniform(0.3, 2.0))
        links.heal()

    async def _delay(self) -> None:
        rule = self.deployment.links.rule(self._pick_server(), users_deployment.INSTANCES)
        rule.delay_s = self.random.uniform(0.02, 0.4)
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        rule.delay_s = 0.0

    async def _reset(self) -> None:
        self.deployment.links.break_connections(users_deployment.INSTANCES, self._pick_server())

    async def _lose_orders(self) -> None:
        """Carry orders to promote out late and without an answer."""
        self.deployment.store.orders_late_s = self.random.uniform(0.5, 6.0)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.deployment.store.orders_late_s = None

    async def _heal(self) -> None:
        """Let everything come back, and expect a write to be served."""
        writes = len(self.observed.writes)
        end_s = time.monotonic() + SETTLE_S
        while time.monotonic() < end_s:
            await asyncio.sleep(0.2)
            if any(write.told == "ran" for write in self.observed.writes[writes:]):
                return
        raise AssertionError(f"seed {self.seed}: no write was served within {SETTLE_S} s")


def run_seed(seed: int, seconds: float) -> list[str]:
    """Run one seed and return every broken promise."""
    with tempfile.TemporaryDirectory() as directory:
        soak = Soak(seed=seed, seconds=seconds, directory=pathlib.Path(directory))
        found = asyncio.run(asyncio.wait_for(soak.run(), RUN_LIMIT_S + seconds))
    told = [write.told for write in soak.observed.writes]
    print(
        f"seed {seed}: {len(told)} writes, {told.count('ran')} ran,"
        f" {told.count('not run')} not run, {told.count('unknown')} unknown,"
        f" {len(soak.observed.reads)} reads, term {soak.deployment.group.term},"
        f" {len(found)} broken promises",
        flush=True,
    )
    return found


def main() -> int:
    """Run seeds; the exit status is 1 when a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=8.0, help="time of faults of each seed")
    chosen = parser.parse_args()
    broken = 0
    for seed in range(chosen.first, chosen.first + chosen.seeds):
        for line in run_seed(seed, chosen.seconds):
            broken += 1
            print(f"seed {seed}: {line}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
