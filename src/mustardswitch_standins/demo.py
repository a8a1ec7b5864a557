"""Demo: a service in Cascade's three zones under browsing and ordering load, and a failover."""

import asyncio
import pathlib
import sys
import tempfile
import time

from mustardswitch_standins import fleet, history, load

SESSIONS_PER_DATABASE = 6
SECONDS = 12.0
KILL_AFTER_S = 4.0
"""Time from the start of the load to the kill."""
RESTART_AFTER_S = 3.0
"""Time from the kill to the restart of the slot."""
SETTLE_S = 1.5
"""Wait between the end of the load and the check."""
DATABASES = ("orders", "batches", "listings")


async def _kill_primary(running: fleet.Fleet, database: str) -> float:
    """Kill the primary, restart its slot later, and return the time of the kill."""
    await asyncio.sleep(KILL_AFTER_S)
    primary = await running.wait_primary(database)
    print(f"killing {primary.slot}, the primary of {database}")
    killed_s = time.monotonic()
    running.processes[primary.slot].kill()
    await asyncio.sleep(RESTART_AFTER_S)
    running.start_slot(primary)
    return killed_s


def _counter(entry: fleet.EntrySpec, name: str) -> int:
    text = fleet.read_metrics(entry)
    values = [line.split()[-1] for line in text.splitlines() if line.startswith(name)]
    return sum(int(float(value)) for value in values)


async def _report(
    running: fleet.Fleet, histories: dict[str, history.History], killed_s: float
) -> bool:
    violations: list[history.Violation] = []
    for database, log in histories.items():
        rows = await load.final_rows(running.entries[0].callers_port, database)
        violations += history.check(log, rows)
    lost = [item for item in violations if item.guarantee is history.Guarantee.DURABLE]
    stale_guarantees = (history.Guarantee.READ_YOUR_WRITES, history.Guarantee.MONOTONIC_READS)
    stale = [item for item in violations if item.guarantee in stale_guarantees]
    replica = sum(
        _counter(entry, 'mustardswitch_reads_total{kind="replica"}') for entry in running.entries
    )
    primary = sum(
        _counter(entry, 'mustardswitch_reads_total{kind="primary"}') for entry in running.entries
    )
    gap_s = history.longest_gap_s(histories[DATABASES[0]], after_s=killed_s)
    writes = sum(len(log.acknowledged()) for log in histories.values())
    print(
        f"acknowledged writes: {writes}, session reads checked: "
        f"{sum(len(log.reads) for log in histories.values())}"
    )
    print(f"replica read share: {replica / max(1, replica + primary):.3f}")
    print(f"failover gap: {gap_s:.3f} s")
    print(f"acknowledged writes lost: {len(lost)}")
    print(f"stale session reads: {len(stale)}")
    for database in DATABASES:
        await _print_connections(running, database)
    for item in violations[:10]:
        print(f"VIOLATION {item}")
    return not violations and gap_s < float("inf")


async def _print_connections(running: fleet.Fleet, database: str) -> None:
    held, peak = 0, 0
    for slot in running.slots:
        if slot.database == database:
            answer = await running.slot_call(slot, "connections")
            held += answer["now"] if answer else 0
            peak += answer["peak"] if answer else 0
    limit = running.spec.connections
    print(f"connections to {database}: {held} held, {peak} at most, {limit} allowed")


async def run() -> bool:
    """Run the demo and return whether no guarantee was violated and writes resumed."""
    spec = fleet.FleetSpec(zones=fleet.CASCADE_ZONES, databases=DATABASES, connect_ms=10.0)
    with tempfile.TemporaryDirectory() as directory:
        async with fleet.running(spec, pathlib.Path(directory)) as running:
            print(f"started {len(running.processes)} processes")
            ports = [entry.callers_port for entry in running.entries]
            histories = {database: history.History() for database in DATABASES}
            for database in DATABASES:
                await load.create_table(ports[0], database)
            sessions = [
                load.run_sessions(
                    ports=ports,
                    database=database,
                    count=SESSIONS_PER_DATABASE,
                    seconds=SECONDS,
                    mix=load.CASCADE_MIX,
                    seed=seed,
                    log=histories[database],
                )
                for seed, database in enumerate(DATABASES)
            ]
            *_, killed_s = await asyncio.gather(*sessions, _kill_primary(running, DATABASES[0]))
            await asyncio.sleep(SETTLE_S)
            return await _report(running, histories, killed_s)


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(run()) else 1)
