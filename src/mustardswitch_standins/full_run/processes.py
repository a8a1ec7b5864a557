"""The processes of a run: instances, the other programs, and those that only use the processor."""

import asyncio
import dataclasses
import json
import os
import pathlib
import signal
import sys

from mustardswitch import tasks
from mustardswitch_standins import fleet, platform_deployment
from mustardswitch_standins.full_run import figures

LAUNCHER = "run_platform_instance.py"
SOURCE = pathlib.Path(__file__).parents[2]
"""The source directory of the instances' code, unless another is given."""
BURN = "import sys, time\nend = time.monotonic() + float(sys.argv[1])\n" + (
    "while time.monotonic() < end: sum(range(10_000))"
)
"""Code of a process that only uses the processor, for as many seconds as its argument says."""
END_S = 5.0
"""Limit on the wait for a program's end after the end of its input."""
START_TRIES = 3
"""Starts of an instance before its failure is reported; another run may have taken its ports."""


class StartError(Exception):
    """An instance ended each time before it was ready."""


@dataclasses.dataclass(kw_only=True)
class InstanceProcess:
    """An instance that keeps its ports when it is started again."""

    name: str
    zone: str
    store_port: int
    promotion_port: int
    source: pathlib.Path
    directory: pathlib.Path
    ports: platform_deployment.Instance = dataclasses.field(init=False)
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    """Held while the process is started, so that two steps at once start only one."""
    suspended: bool = False
    """Whether a step has stopped the process for a while without ending it."""

    def __post_init__(self) -> None:
        """Choose the first ports."""
        self.choose_ports()

    def choose_ports(self) -> None:
        """Choose ports for the next start."""
        callers, health, metrics, peers = fleet.free_ports(4)
        self.ports = platform_deployment.Instance(
            name=self.name, callers=callers, health=health, metrics=metrics, peers=peers
        )

    @property
    def pid(self) -> int | None:
        """The process id; None while it does not run."""
        running = self.process is not None and self.process.returncode is None
        return self.process.pid if running else None

    async def start(self) -> None:
        """Start the process if it does not run, without a wait until it is ready.

        A start that has begun is completed even if the caller is cancelled.
        """
        await asyncio.shield(asyncio.ensure_future(self._start()))

    async def _start(self) -> None:
        async with self.lock:
            if self.pid is not None:
                return
            settings = self.directory / f"{self.name}.yaml"
            settings.write_text(
                platform_deployment.encode_settings(
                    self.ports,
                    zone=self.zone,
                    regions=figures.REGIONS,
                    store_port=self.store_port,
                    promotion_port=self.promotion_port,
                    stop_grace_s=figures.STOP_GRACE_S,
                )
            )
            self.starts += 1
            with (self.directory / f"{self.name}-{self.starts}.log").open("wb") as log:
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    str(self.source / LAUNCHER),
                    env={"MUSTARDSWITCH_BOOT": str(settings), "PATH": "/usr/bin:/bin"},
                    stdout=log,
                    stderr=log,
                )

    async def wait_ready(self) -> None:
        """Wait until it is ready; one that ends before is started again with other ports.

        Raises ``TimeoutError``, and ``StartError`` after ``START_TRIES`` starts that failed.
        """
        async with asyncio.timeout(platform_deployment.START_TIMEOUT_S):
            for _ in range(START_TRIES):
                if await self._becomes_ready():
                    return
                log = self.directory / f"{self.name}-{self.starts}.log"
                met = (log.read_text().splitlines() or ["no output"])[-1]
                print(f"{self.name} ended at its start: {met}", file=sys.stderr)
                self.choose_ports()
                await self.start()
        raise StartError(f"{self.name} ended {START_TRIES} times at its start: {met}")

    async def _becomes_ready(self) -> bool:
        """Return whether the process is ready before it ends."""
        waits = [
            asyncio.create_task(wait) for wait in (self.ports.wait_ready(), self.process.wait())
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            return self.pid is not None and waits[0].done()
        finally:
            await tasks.cancel_and_wait(waits)

    async def end(self, signal_number: signal.Signals) -> None:
        """Send a signal and wait for the end, which is forced after the grace period."""
        async with self.lock:
            if self.pid is None:
                return
            process = self.process
            process.send_signal(signal_number)
        try:
            await asyncio.wait_for(process.wait(), figures.STOP_GRACE_S)
        except TimeoutError:
            process.kill()
            await process.wait()


class Programs:
    """The other programs; each ends when its standard input does."""

    def __init__(self, *, directory: pathlib.Path) -> None:
        self.directory = directory
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, name: str, module: str, **options: object) -> None:
        """Start a program of this package with options."""
        arguments = [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
        source = str(SOURCE)
        with (self.directory / f"{name}.err").open("wb") as errors:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"mustardswitch_standins.full_run.{module}",
                *arguments,
                env={**os.environ, "PYTHONPATH": source},
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
            )

    async def burn(self, count: int, seconds: float) -> None:
        """Start processes that use the processor for some seconds."""
        for number in range(count):
            self.processes[f"burn-{number}"] = await asyncio.create_subprocess_exec(
                sys.executable, "-c", BURN, str(seconds)
            )

    async def finish(self, name: str) -> dict:
        """End a program's input and return what it printed; empty if that is not JSON."""
        process = self.processes.pop(name)
        try:
            process.stdin.close()
            output, _ = await asyncio.wait_for(process.communicate(), END_S)
            return json.loads(output)
        except (TimeoutError, ValueError):
            return {}
        finally:
            await _kill(process)

    async def kill(self) -> None:
        """Kill the programs that still run."""
        for process in self.processes.values():
            await _kill(process)


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()
