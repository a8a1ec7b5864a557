"""Experiments: the failover gap over many kills, and the share of reads that replicas answer."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import pathlib
import statistics
import tempfile
import time

from mustardswitch_standins import fleet, history, load

WRITE_PAUSE_S = 0.004
SETTLE_S = 1.2
"""Wait before each kill and before the final check."""
RECOVERY_TIMEOUT_S = 10.0
"""Limit on the wait for an acknowledged write after a kill."""
DATABASE = "orders"
CROSS_REGION_DELAY_S = 0.02
"""One-way delay between regions."""
ZONE_DELAY_S = 0.0015
"""One-way delay between zones of one region."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class GapOptions:
    """Parameters of ``measure_gaps``."""

    kills: int
    store_out: bool = False
    """Whether the platform's store is frozen during the kills."""
    delays: bool = False
    """Whether links add Cascade's delays between zones and regions."""
    policy: dict = dataclasses.field(default_factory=dict)
    """Further fields of the service section."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class GapReport:
    """The longest gap in seconds between acknowledged writes after each kill, and lost writes."""

    gaps_s: collections.abc.Sequence[float]
    lost: int

    def __str__(self) -> str:
        ordered = sorted(self.gaps_s)
        p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
        return (
            f"{len(ordered)} kills: p50 {statistics.median(ordered):.3f} s, p99 {p99:.3f} s, "
            f"largest {ordered[-1]:.3f} s, acknowledged writes lost {self.lost}"
        )


async def _write_steadily(ports: list[int], log: history.History, stop: asyncio.Event) -> None:
    """Write one operation after another; after an error, reconnect to the next instance."""
    attempt = 0
    caller = load.Caller(port=ports[0], database=DATABASE)
    while not stop.is_set():
        attempt += 1
        operation = f"w{id(log)}-{attempt}"
        sent_at_s = time.monotonic()
        outcome = history.Outcome.RAN
        try:
            await caller.run(f"INSERT INTO {load.TABLE} VALUES ('w', '{operation}')")
        except load.CALL_ERRORS as error:
            outcome = load.outcome_of(error)
            caller.drop()
            caller.port = ports[attempt % len(ports)]
        log.writes.append(
            history.Write(
                session="w",
                operation=operation,
                sent_at_s=sent_at_s,
                answered_at_s=time.monotonic(),
                outcome=outcome,
            )
        )
        await asyncio.sleep(WRITE_PAUSE_S)


async def measure_gaps(options: GapOptions) -> GapReport:
    """Kill the primary repeatedly under a steady writer and measure each failover gap."""
    spec = fleet.FleetSpec(zones=fleet.CASCADE_ZONES, policy=options.policy, linked=options.delays)
    gaps_s = []
    log = history.History()
    with tempfile.TemporaryDirectory() as directory:
        async with fleet.running(spec, pathlib.Path(directory)) as started:
            ports = [entry.callers_port for entry in started.entries]
            await load.create_table(ports[0], DATABASE)
            if options.delays:
                _set_delays(started)
            if options.store_out:
                started.processes["platform"].pause()
            stop = asyncio.Event()
            writer = asyncio.create_task(_write_steadily(ports, log, stop))
            for _ in range(options.kills):
                await asyncio.sleep(SETTLE_S)
                gaps_s.append(await _kill_once(started, log))
            stop.set()
            await writer
            await asyncio.sleep(SETTLE_S)
            rows = await load.final_rows(ports[0], DATABASE)
    violations = history.check(log, rows)
    lost = sum(item.guarantee is history.Guarantee.DURABLE for item in violations)
    return GapReport(gaps_s=gaps_s, lost=lost)


def _set_delays(started: fleet.Fleet) -> None:
    """Set Cascade's one-way delays between zones and regions."""
    regions = {zone.zone: zone.region for zone in started.spec.zones}
    regions[fleet.PLATFORM_ZONE] = started.spec.zones[0].region
    for source, source_region in regions.items():
        for target, target_region in regions.items():
            delay_s = ZONE_DELAY_S if source_region == target_region else CROSS_REGION_DELAY_S
            started.links.rule(source, target).delay_s = delay_s


async def _kill_once(started: fleet.Fleet, log: history.History) -> float:
    primary = await started.wait_primary(DATABASE)
    killed_s = time.monotonic()
    started.processes[primary.slot].kill()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while not _acknowledged_after(log, killed_s + 0.1):
                await asyncio.sleep(0.02)
    await asyncio.sleep(0.1)
    started.start_slot(primary)
    return history.longest_gap_s(log, after_s=killed_s)


def _acknowledged_after(log: history.History, after_s: float) -> bool:
    recent = log.writes[-20:]
    return any(
        write.outcome is history.Outcome.RAN and write.sent_at_s > after_s for write in recent
    )


async def measure_replica_share(
    *, seconds: float, lag_ms: float, policy: dict, linked: bool = False, sessions: int = 18
) -> str:
    """Run the Cascade mix and compare the replicas' share of the reads with the best possible one.

    The best possible share counts each read that a replica could have answered within the read's
    guarantee at some moment before its deadline, that is, each read outside a transaction.
    """
    spec = fleet.FleetSpec(
        zones=fleet.CASCADE_ZONES, apply_lag_ms=lag_ms, policy=policy, linked=linked
    )
    log = history.History()
    with tempfile.TemporaryDirectory() as directory:
        async with fleet.running(spec, pathlib.Path(directory)) as started:
            ports = [entry.callers_port for entry in started.entries]
            await load.create_table(ports[0], DATABASE)
            if linked:
                _set_delays(started)
            cross_region_bytes = _bytes_between_regions(started)
            before = await _count_reads(started)
            await load.run_sessions(
                ports=ports,
                database=DATABASE,
                count=sessions,
                seconds=seconds,
                mix=load.CASCADE_MIX,
                seed=1,
                log=log,
            )
            after = await _count_reads(started)
            cross_region_bytes = _bytes_between_regions(started) - cross_region_bytes
            violations = history.check(log, await load.final_rows(ports[0], DATABASE))
    total = sum(after.values()) - sum(before.values())
    replica = after["replica"] - before["replica"]
    return (
        f"lag {lag_ms:.0f} ms: {total} reads, {replica / total:.4f} by replicas, best possible "
        f"1.0000, violations {len(violations)}, "
        f"{cross_region_bytes / (total + len(log.writes)):.0f} bytes between regions a "
        "statement (counted only with links)"
    )


def _bytes_between_regions(started: fleet.Fleet) -> int:
    regions = {zone.zone: zone.region for zone in started.spec.zones}
    regions[fleet.PLATFORM_ZONE] = started.spec.zones[0].region
    return sum(
        started.links.rule(source, target).forwarded_bytes
        for source in regions
        for target in regions
        if regions[source] != regions[target]
    )


async def _count_reads(started: fleet.Fleet) -> dict[str, int]:
    totals = dict.fromkeys(("replica", "primary"), 0)
    for entry in started.entries:
        text = await asyncio.to_thread(fleet.read_metrics, entry)
        for line in text.splitlines():
            for kind in totals:
                if line.startswith(f'mustardswitch_reads_total{{kind="{kind}"}}'):
                    totals[kind] += int(line.split()[-1])
    return totals
