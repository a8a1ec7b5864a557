"""A soak test with fault injection: real instances, seeded faults, and a check of the answers."""

import argparse
import asyncio
import collections
import collections.abc
import contextlib
import pathlib
import random
import shutil
import sys
import tempfile
import time

from mustardswitch import tasks
from mustardswitch_standins import (
    platform_deployment,
    replication,
    soak_entry_faults,
    soak_faults,
    soak_judge,
    soak_leave_faults,
)

INSTANCES = 3
CALLERS = 6
"""Callers whose sessions have a random route, and read and write."""
WRITERS = 9
"""Callers that write all the time on the route to the primary."""
RECOVERY_TIMEOUT_S = 6.0
"""Limit on the time from the end of the faults to the next acknowledged write."""
MAX_INTERRUPTION_S = 10.0
"""Limit on the time without an acknowledged write, whatever the faults are."""
RUN_TIMEOUT_S = 300.0
"""Limit on one seed's run, in addition to the time of the faults."""
ROUTE_KINDS = ("primary", "read_your_writes", "bounded_staleness")


class Soak:
    """A run with the faults of one seed."""

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        directory: pathlib.Path,
        fault_names: collections.abc.Sequence[str] = soak_faults.ALL,
        instances: int = INSTANCES,
    ) -> None:
        self.seed = seed
        self.instance_count = instances
        self.seconds = seconds
        self.fault_names = fault_names
        self.random = random.Random(seed)
        self.group = replication.ReplicatedGroup()
        self.group.completes_running = True
        self.deployment = platform_deployment.Deployment(
            directory, group=self.group, links_to_store=True
        )
        self.faults = soak_leave_faults.Faults(
            deployment=self.deployment, group=self.group, random_source=random.Random(seed)
        )
        self.instances = self.faults.instances
        self.observed = soak_judge.Observations()
        self.sessions = 0
        self.requests = 0
        self.started_s = self.ended_s = time.monotonic()
        """Monotonic times between which callers write."""

    async def run(self) -> list[str]:
        """Run callers under faults and return a description of each violated guarantee.

        Two of them are that a write succeeds within ``RECOVERY_TIMEOUT_S`` after the faults, and
        that at no time writes fail for longer than ``MAX_INTERRUPTION_S``.
        """
        await self.deployment.start()
        background = [asyncio.create_task(self._refresh_registrations())]
        try:
            for number in range(self.instance_count):
                name = f"instance-{number}"
                self.instances[name] = await self.deployment.start_instance(name)
            self.started_s = time.monotonic()
            background += [asyncio.create_task(self._run_sessions()) for _ in range(CALLERS)]
            background += [asyncio.create_task(self._keep_writing()) for _ in range(WRITERS)]
            await self.faults.inject(self.seconds, self.fault_names)
            found = await self._wait_for_recovery()
            if not found:
                await self._wait_for_primary()
            self.ended_s = time.monotonic()
        finally:
            await tasks.cancel_and_wait(background)
            await self.deployment.stop()
        if self.interruption_s > MAX_INTERRUPTION_S:
            found.append(f"no write was acknowledged for {self.interruption_s:.1f} s")
        found += soak_judge.find_missing_primary(self.group)
        if soak_leave_faults.JUDGED.issuperset(self.fault_names):
            found += soak_judge.find_late_statements(self.deployment.databases, soak_faults.DRAIN_S)
        log = soak_judge.surviving_log(self.group)
        return found + soak_judge.find_violations(self.observed, log, self.group.holders_of_lost)

    @property
    def interruption_s(self) -> float:
        """Longest time without an acknowledged write while callers wrote, in seconds."""
        return soak_judge.longest_interruption_s(
            self.observed.writes,
            self.started_s,
            self.ended_s,
            possible_from_s=self.faults.others_back_s,
        )

    async def _refresh_registrations(self) -> None:
        while True:
            if not self.deployment.store.down:
                self.deployment.databases.list_servers(self.deployment.store)
            await asyncio.sleep(0.05)

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

    async def _keep_writing(self) -> None:
        while True:
            instance = self.random.choice(list(self.instances.values()))
            self.sessions += 1
            session, outcome = self.sessions, soak_judge.RAN
            with contextlib.suppress(OSError, TimeoutError):
                caller = await asyncio.wait_for(instance.session("db-primary"), 1.0)
                while outcome != soak_judge.UNKNOWN and caller.greeting.startswith("READY"):
                    outcome = await self._write(caller, session)
                    await asyncio.sleep(self.random.uniform(0.0, 0.04))
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
                if outcome == soak_judge.UNKNOWN:
                    return
            else:
                answer = await self._query(caller, "READ item")
                if soak_judge.outcome(answer) == soak_judge.RAN:
                    self.observed.reads.append(
                        soak_judge.Read(
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
        write = soak_judge.Write(
            request=request,
            outcome=soak_judge.UNKNOWN,
            session=session,
            answered_at_s=float("inf"),
        )
        self.observed.writes.append(write)
        answer = await self._query(caller, "WRITE item data", request)
        write.outcome = soak_judge.outcome(answer)
        write.answered_at_s = time.monotonic()
        return write.outcome

    async def _query(
        self, caller: platform_deployment.Caller, text: str, request: str | None = None
    ) -> list[str]:
        answer = await caller.query(text, request)
        if not soak_judge.is_valid(answer):
            self.observed.invalid_answers.append(answer)
        return answer

    async def _wait_for_recovery(self) -> list[str]:
        """Wait until a write succeeds again; return a description if that takes too long."""
        writes = len(self.observed.writes)
        end_s = time.monotonic() + RECOVERY_TIMEOUT_S
        while time.monotonic() < end_s:
            await asyncio.sleep(0.2)
            if any(write.outcome == soak_judge.RAN for write in self.observed.writes[writes:]):
                return []
        return [f"no write succeeded within {RECOVERY_TIMEOUT_S} s of the end of the faults"]

    async def _wait_for_primary(self) -> None:
        """Wait until a change of primary that is under way has ended, or has taken too long."""
        end_s = time.monotonic() + RECOVERY_TIMEOUT_S
        while soak_judge.find_missing_primary(self.group) and time.monotonic() < end_s:
            await asyncio.sleep(0.05)


def run_seed(
    seed: int,
    seconds: float,
    *,
    logs: pathlib.Path | None = None,
    fault_names: collections.abc.Sequence[str] = soak_faults.ALL,
    instances: int = INSTANCES,
) -> list[str]:
    """Run one seed, print a summary and return a description of each violated guarantee.

    Keeps the logs of the instances and the events of a failed run in ``logs``, if that is given.
    """
    with tempfile.TemporaryDirectory() as directory:
        soak = Soak(
            seed=seed,
            seconds=seconds,
            directory=pathlib.Path(directory),
            fault_names=fault_names,
            instances=instances,
        )
        found = asyncio.run(asyncio.wait_for(soak.run(), RUN_TIMEOUT_S + seconds))
        if found and logs is not None:
            (pathlib.Path(directory) / "events.log").write_text(
                "".join(f"{event}\n" for event in [*soak.group.events, *found])
            )
            shutil.copytree(directory, logs / str(seed), dirs_exist_ok=True)
    outcomes = [write.outcome for write in soak.observed.writes]
    print(
        f"seed {seed}: {len(outcomes)} writes, {outcomes.count('ran')} ran,"
        f" {outcomes.count('not run')} not run, {outcomes.count('unknown')} unknown,"
        f" {len(soak.observed.reads)} reads, term {soak.group.term},"
        f" {len(soak.group.lost)} lost commits, {soak.interruption_s:.1f} s without a write,"
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
    parser.add_argument(
        "--instances", type=int, default=INSTANCES, help="instances, each a process of its own"
    )
    parser.add_argument("--logs", type=pathlib.Path, help="directory for logs of failed seeds")
    parser.add_argument(
        "--faults",
        nargs="+",
        choices=sorted({*soak_faults.ALL, *soak_entry_faults.NAMES, *soak_leave_faults.NAMES}),
        default=soak_faults.ALL,
        help="faults that are injected",
    )
    options = parser.parse_args()
    violation_count = 0
    for seed in range(options.first, options.first + options.seeds):
        for line in run_seed(
            seed,
            options.seconds,
            logs=options.logs,
            fault_names=options.faults,
            instances=options.instances,
        ):
            violation_count += 1
            print(f"seed {seed}: {line}", flush=True)
    return 1 if violation_count else 0


if __name__ == "__main__":
    sys.exit(main())
