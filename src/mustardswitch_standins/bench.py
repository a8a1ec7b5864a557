"""Compares an instance with direct connections to the same emulated slot, in one run."""

import asyncio
import collections.abc
import dataclasses
import pathlib
import tempfile
import time

import asyncmy
import psutil
from hdrh import histogram

from mustardswitch_standins import fleet

LATENCY_ROUNDS = 60
WARM_UP_ROUNDS = 3
STATEMENTS_PER_ROUND = 50
THROUGHPUT_S = 5.0
"""Duration of each throughput measurement."""
THROUGHPUT_CALLERS = 16
IDLE_CALLERS = 5000
IDLE_BATCH = 100
"""Idle callers that connect at the same time."""
MAX_LATENCY_US = 10_000_000
SQL_READ = "SELECT name FROM loaves WHERE id = 7"
SQL_WRITE = "UPDATE loaves SET name = 'rye' WHERE id = 7"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Latency:
    """Latency in milliseconds of one kind of statement, run one at a time."""

    p50_ms: float
    p99_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Throughput:
    """Statements per second with concurrent callers, and per second of processor time."""

    per_s: float
    per_core_s: float


async def connect(port: int) -> asyncmy.Connection:
    """Connect to an instance or directly to a slot."""
    return await asyncmy.connect(
        host=fleet.HOST, port=port, user="baker", database="orders", autocommit=None
    )


async def measure_latencies(ports: collections.abc.Sequence[int], sql: str) -> list[Latency]:
    """Time statements one at a time, alternating between ports so that noise affects all alike."""
    cursors = [(await connect(port)).cursor() for port in ports]
    recorders = [histogram.HdrHistogram(1, MAX_LATENCY_US, 3) for _ in ports]
    for round_number in range(WARM_UP_ROUNDS + LATENCY_ROUNDS):
        for cursor, recorder in zip(cursors, recorders, strict=True):
            for _ in range(STATEMENTS_PER_ROUND):
                started_s = time.perf_counter()
                await cursor.execute(sql)
                await cursor.fetchall()
                if round_number >= WARM_UP_ROUNDS:
                    recorder.record_value(int((time.perf_counter() - started_s) * 1e6))
    return [
        Latency(
            p50_ms=recorder.get_value_at_percentile(50) / 1000,
            p99_ms=recorder.get_value_at_percentile(99) / 1000,
        )
        for recorder in recorders
    ]


async def measure_throughput(port: int, sql: str, process: psutil.Process) -> Throughput:
    """Run concurrent callers and relate their statements to the processor time of ``process``."""
    ends_s = time.monotonic() + THROUGHPUT_S
    counts = [0] * THROUGHPUT_CALLERS

    async def run(number: int) -> None:
        connection = await connect(port)
        cursor = connection.cursor()
        while time.monotonic() < ends_s:
            await cursor.execute(sql)
            await cursor.fetchall()
            counts[number] += 1
        connection.close()

    before = process.cpu_times()
    await asyncio.gather(*(run(number) for number in range(THROUGHPUT_CALLERS)))
    after = process.cpu_times()
    used_s = (after.user + after.system) - (before.user + before.system)
    return Throughput(per_s=sum(counts) / THROUGHPUT_S, per_core_s=sum(counts) / used_s)


async def measure_idle_memory(port: int, process: psutil.Process) -> collections.abc.Sequence[int]:
    """Return the process's resident memory in bytes without and with idle callers."""
    before = process.memory_info().rss
    idle = []
    for _ in range(IDLE_CALLERS // IDLE_BATCH):
        idle += await asyncio.gather(*(connect(port) for _ in range(IDLE_BATCH)))
    await asyncio.sleep(1.0)
    after = process.memory_info().rss
    for connection in idle:
        connection.close()
    return before, after


async def run() -> None:
    """Run the benchmark and print the results."""
    spec = fleet.FleetSpec(zones=(fleet.ZoneSpec(zone="puget-a", region="puget"),))
    with tempfile.TemporaryDirectory() as directory:
        async with fleet.running(spec, pathlib.Path(directory)) as started:
            entry, slot = started.entries[0], started.slots[0]
            setup = (await connect(entry.callers_port)).cursor()
            await setup.execute("CREATE TABLE loaves (id INTEGER PRIMARY KEY, name TEXT)")
            for number in range(20):
                await setup.execute(f"INSERT INTO loaves VALUES ({number}, 'loaf')")
            instance = psutil.Process(started.processes[entry.instance].popen.pid)
            backend = psutil.Process(started.processes[slot.slot].popen.pid)
            for name, sql in (("read", SQL_READ), ("write", SQL_WRITE)):
                direct, through = await measure_latencies([slot.port, entry.callers_port], sql)
                added_ms = through.p50_ms - direct.p50_ms
                print(
                    f"{name}: direct p50 {direct.p50_ms:.3f} ms p99 {direct.p99_ms:.3f} ms, "
                    f"through p50 {through.p50_ms:.3f} ms p99 {through.p99_ms:.3f} ms, "
                    f"added p50 {added_ms:.3f} ms"
                )
            direct_rate = await measure_throughput(slot.port, SQL_READ, backend)
            rate = await measure_throughput(entry.callers_port, SQL_READ, instance)
            print(
                f"reads/s: direct {direct_rate.per_s:.0f} ({direct_rate.per_core_s:.0f} a core), "
                f"through {rate.per_s:.0f} ({rate.per_core_s:.0f} a core of the instance)"
            )
            before, after = await measure_idle_memory(entry.callers_port, instance)
            print(
                f"memory: {before / 1e6:.1f} MB, with {IDLE_CALLERS} idle callers "
                f"{after / 1e6:.1f} MB ({(after - before) / IDLE_CALLERS / 1000:.1f} kB each)"
            )
