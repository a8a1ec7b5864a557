"""A soak test with fault injection: real instances, seeded faults, and a check of the answers."""

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
from mustardswitch_standins import platform_deployment

INSTANCES = 3
SERVERS = 3
"""Servers at the start; one more starts in some runs."""
PROMOTION_DELAYS_S = (0.1, 1.0)
"""Range of the time from an accepted promotion request until its server leads."""
CALLERS = 6
MAX_STALENESS_S = 1.5
"""Staleness bound of the routes; as ``max_staleness_ms`` in the deployment's configuration."""
RECOVERY_TIMEOUT_S = 6.0
"""Limit on the time from the end of the faults to the next acknowledged write."""
RUN_TIMEOUT_S = 300.0
"""Limit on one seed's run, in addition to the time of the faults."""
NOT_RUN_ERRORS = ("BUSY", "ABORTED", "LAGGING", "READONLY")
"""Error codes which state that a statement had no effect."""
ROUTE_KINDS = ("primary", "read_your_writes", "bounded_staleness")


@dataclasses.dataclass(kw_only=True)
class Write:
    """A write and its outcome: ``ran``, ``not run`` or ``unknown``; time in seconds."""

    request: str
    outcome: str
    session: int
    answered_at_s: float


@dataclasses.dataclass(kw_only=True)
class Read:
    """A successful read and the length of the log at the server that ran it; time in seconds."""

    kind: str
    session: int
    sent_at_s: float
    length: int


@dataclasses.dataclass(kw_only=True)
class Observations:
    """All writes and successful reads of the callers."""

    writes: list[Write] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)


def find_violations(
    observed: Observations, log: collections.abc.Sequence[str], lost: list[str]
) -> list[str]:
    """Return a description of each violated guarantee.

    ``log`` holds the commits of the last primary in order, ``lost`` the acknowledged commits that a
    promotion discarded.
    """
    found = [f"acknowledged commit {request} is lost" for request in lost]
    log_index = {request: index for index, request in enumerate(log)}
    found += [
        f"{request} ran {log.count(request)} times"
        for request in log_index
        if log.count(request) > 1
    ]
    for write in observed.writes:
        if write.outcome == "ran" and write.request not in log_index:
            found.append(f"write {write.request} was acknowledged and is not in the log")
        if write.outcome == "not run" and write.request in log_index:
            found.append(f"write {write.request} was answered as not run and is in the log")
    acknowledged = [
        write for write in observed.writes if write.outcome == "ran" and write.request in log_index
    ]
    for read in observed.reads:
        found += _find_missing_writes(read, acknowledged, log_index)
    return found


def _find_missing_writes(
    read: Read, acknowledged: list[Write], log_index: dict[str, int]
) -> list[str]:
    """Describe each acknowledged write that the read had to show and does not."""
    allowed_staleness_s = 0.0 if read.kind == "primary" else MAX_STALENESS_S
    missing = [
        write.request
        for write in acknowledged
        if log_index[write.request] >= read.length
        and (
            write.answered_at_s < read.sent_at_s - allowed_staleness_s
            or (read.kind == "read_your_writes" and write.session == read.session)
        )
        and write.answered_at_s < read.sent_at_s
    ]
    return [f"{read.kind} read of length {read.length} is missing {request}" for request in missing]


class Soak:
    """A run with the faults of one seed."""

    def __init__(self, *, seed: int, seconds: float, directory: pathlib.Path) -> None:
        self.seed = seed
        self.seconds = seconds
        self.random = random.Random(seed)
        self.deployment = platform_deployment.Deployment(directory)
        self.instances: dict[str, platform_deployment.Instance] = {}
        self.observed = Observations()
        self.replaced_pids: set[int] = set()
        """Ended processes that have a successor, so that two faults at once start only one."""
        self.sessions = 0
        self.requests = 0

    async def run(self) -> list[str]:
        """Run callers under faults and return a description of each violated guarantee.

        Raises ``AssertionError`` if no write succeeds within ``RECOVERY_TIMEOUT_S`` after the
        faults have ended.
        """
        await self.deployment.start()
        self.deployment.store.promote = self._promote
        background = [asyncio.create_task(self._refresh_registrations())]
        try:
            for number in range(INSTANCES):
                name = f"instance-{number}"
                self.instances[name] = await self.deployment.start_instance(name)
            background += [asyncio.create_task(self._run_sessions()) for _ in range(CALLERS)]
            await self._inject_faults()
            await self._wait_for_recovery()
        finally:
            await tasks.cancel_and_wait(background)
            await self.deployment.stop()
        group = self.deployment.group
        log = [entry.data for entry in group.primary.log]
        return find_violations(self.observed, log, group.lost)

    def _promote(self, service: str, server: str, token: int) -> bool:
        """Accept a request to promote a running server, which takes effect some time later."""
        del service, token
        name = ids.ServerId(server)
        if not self.deployment.group.servers[name].up:
            return False
        delay_s = self.random.uniform(*PROMOTION_DELAYS_S)
        asyncio.get_running_loop().call_later(delay_s, self.deployment.group.promote, name)
        return True

    async def _refresh_registrations(self) -> None:
        while True:
            if not self.deployment.store.down:
                self.deployment.databases.list_servers(self.deployment.store)
            await asyncio.sleep(0.3)

    # Callers

    async def _run_sessions(self) -> None:
        while True:
            kind = self.random.choice(ROUTE_KINDS)
            instance = self.random.choice(list(self.instances.values()))
            self.sessions += 1
            session = self.sessions
            with contextlib.suppress(OSError, TimeoutError):
                caller = await asyncio.wait_for(instance.session(f"db-{kind}"), 1.0)
                await self._run_session(caller, kind, session)
                caller.writer.close()
            await asyncio.sleep(0.02)

    async def _run_session(
        self, caller: platform_deployment.Caller, kind: str, session: int
    ) -> None:
        for _ in range(self.random.randint(1, 10)):
            if not caller.greeting.startswith("READY"):
                return
            sent_at_s = time.monotonic()
            if self.random.random() < 0.5 and kind != "bounded_staleness":
                outcome = await self._write(caller, session)
                if outcome == "unknown":
                    return
            else:
                answer = await caller.query("READ item")
                if answer[0].startswith("DATAROW"):
                    self.observed.reads.append(
                        Read(
                            kind=kind,
                            session=session,
                            sent_at_s=sent_at_s,
                            length=int(answer[0].split()[1]),
                        )
                    )
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    async def _write(self, caller: platform_deployment.Caller, session: int) -> str:
        self.requests += 1
        request = f"w{self.requests}"
        write = Write(
            request=request, outcome="unknown", session=session, answered_at_s=float("inf")
        )
        self.observed.writes.append(write)
        answer = await caller.query("WRITE item data", request)
        first = answer[0].split(" ")
        if first[0] == "DATAROW" or first[0] == "COMPLETE":
            write.outcome = "ran"
        elif first[0] == "ERROR" and first[1] in NOT_RUN_ERRORS:
            write.outcome = "not run"
        write.answered_at_s = time.monotonic()
        return write.outcome

    # Faults

    async def _inject_faults(self) -> None:
        faults = [
            self._kill,
            self._pause,
            self._stop,
            self._store_outage,
            self._crash_server,
            self._stop_receiving,
            self._cut,
            self._delay,
            self._reset,
            self._delay_promotions,
            self._delay_orders,
            self._leave,
            self._start_server,
        ]
        end_s = time.monotonic() + self.seconds
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < end_s:
            running.add(asyncio.create_task(self.random.choice(faults)()))
            await asyncio.sleep(self.random.uniform(0.2, 1.2))
        await asyncio.gather(*running)

    def _pick_instance(self) -> tuple[str, platform_deployment.Instance]:
        name = self.random.choice(sorted(self.instances))
        return name, self.instances[name]

    async def _restart(self, name: str, signal_number: signal.Signals) -> None:
        instance = self.instances[name]
        if instance.process.returncode is None:
            instance.process.send_signal(signal_number)
        await instance.process.wait()
        if instance.process.pid not in self.replaced_pids:
            self.replaced_pids.add(instance.process.pid)
            self.instances[name] = await self.deployment.start_instance(name)

    async def _kill(self) -> None:
        await self._restart(self._pick_instance()[0], signal.SIGKILL)

    async def _stop(self) -> None:
        await self._restart(self._pick_instance()[0], signal.SIGTERM)

    async def _pause(self) -> None:
        _, instance = self._pick_instance()
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

    async def _stop_receiving(self) -> None:
        group = self.deployment.group
        server = self.random.choice(list(group.servers.values()))
        server.not_receiving = True
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        server.not_receiving = False
        group.catch_up(server)

    def _pick_server(self) -> ids.ServerId:
        return self.random.choice(list(self.deployment.group.servers))

    async def _cut(self) -> None:
        """Cut the link between the instances and a server in one or both directions."""
        links, server = self.deployment.links, self._pick_server()
        cut_requests, cut_answers = self.random.choice([(True, False), (False, True), (True, True)])
        links.rule(platform_deployment.INSTANCES, server).cut = cut_requests
        links.rule(server, platform_deployment.INSTANCES).cut = cut_answers
        await asyncio.sleep(self.random.uniform(0.3, 2.0))
        links.heal()

    async def _delay(self) -> None:
        rule = self.deployment.links.rule(self._pick_server(), platform_deployment.INSTANCES)
        rule.delay_s = self.random.uniform(0.02, 0.4)
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        rule.delay_s = 0.0

    async def _reset(self) -> None:
        self.deployment.links.break_connections(platform_deployment.INSTANCES, self._pick_server())

    async def _delay_promotions(self) -> None:
        """Execute promotion requests with a delay and without an answer."""
        self.deployment.store.promotion_delay_s = self.random.uniform(0.5, 6.0)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.deployment.store.promotion_delay_s = None

    async def _delay_orders(self) -> None:
        """Execute PAUSE and RESUME at one server with a delay and without an answer."""
        server = self.deployment.group.servers[self._pick_server()]
        server.order_delay_s = self.random.uniform(1.0, 4.0)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        server.order_delay_s = 0.0

    async def _leave(self) -> None:
        """Let the primary announce that it leaves; another server takes over its log later."""
        server = self.deployment.group.primary
        if server is None:
            return
        server.leaving = True
        await asyncio.sleep(self.random.uniform(1.0, 5.0))
        server.leaving = False

    async def _start_server(self) -> None:
        """Start another server, once in a run."""
        group = self.deployment.group
        if len(group.servers) == SERVERS:
            await self.deployment.databases.start_server(group.start_server(zone="d"))

    async def _wait_for_recovery(self) -> None:
        """Wait until a write succeeds again after all faults have ended."""
        writes = len(self.observed.writes)
        end_s = time.monotonic() + RECOVERY_TIMEOUT_S
        while time.monotonic() < end_s:
            await asyncio.sleep(0.2)
            if any(write.outcome == "ran" for write in self.observed.writes[writes:]):
                return
        raise AssertionError(f"seed {self.seed}: no write succeeded within {RECOVERY_TIMEOUT_S} s")


def run_seed(seed: int, seconds: float) -> list[str]:
    """Run one seed, print a summary and return a description of each violated guarantee."""
    with tempfile.TemporaryDirectory() as directory:
        soak = Soak(seed=seed, seconds=seconds, directory=pathlib.Path(directory))
        found = asyncio.run(asyncio.wait_for(soak.run(), RUN_TIMEOUT_S + seconds))
    outcomes = [write.outcome for write in soak.observed.writes]
    print(
        f"seed {seed}: {len(outcomes)} writes, {outcomes.count('ran')} ran,"
        f" {outcomes.count('not run')} not run, {outcomes.count('unknown')} unknown,"
        f" {len(soak.observed.reads)} reads, term {soak.deployment.group.term},"
        f" {len(found)} violations",
        flush=True,
    )
    return found


def main() -> int:
    """Run the seeds and return the exit status: 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds")
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="seconds of faults for each seed"
    )
    options = parser.parse_args()
    violation_count = 0
    for seed in range(options.first, options.first + options.seeds):
        for line in run_seed(seed, options.seconds):
            violation_count += 1
            print(f"seed {seed}: {line}", flush=True)
    return 1 if violation_count else 0


if __name__ == "__main__":
    sys.exit(main())
