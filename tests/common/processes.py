"""Helpers of the tests that run real processes."""

import asyncio
import collections
import contextlib
import pathlib

import asyncmy

from mustardswitch.operators import instances
from mustardswitch_standins import fleet, history, load

STATUS_ROUND_S = 0.5
"""Seconds in which every gateway queries every slot at least once."""

CASCADE = fleet.FleetSpec(zones=fleet.CASCADE_ZONES)
LINKED = fleet.FleetSpec(
    zones=tuple(fleet.ZoneSpec(zone=zone.zone, region=zone.region) for zone in fleet.CASCADE_ZONES),
    linked=True,
)


@contextlib.asynccontextmanager
async def running(spec: fleet.FleetSpec, directory: pathlib.Path):
    """Run a fleet, and create the table ``effects`` in each database."""
    async with fleet.running(spec, directory) as started:
        for database in spec.databases:
            await load.create_table(started.entries[0].callers_port, database)
        yield started


def ports(started: fleet.Fleet, *zones: str) -> list[int]:
    """Return the callers' ports of the zones, or of all."""
    return [entry.callers_port for entry in started.entries if not zones or entry.zone in zones]


async def caller(
    entry: fleet.EntrySpec, database: str = "orders", user: str = "baker"
) -> load.Caller:
    """Return a caller that is connected to an entry instance."""
    connected = load.Caller(port=entry.callers_port, database=database, user=user)
    await connected.connect()
    return connected


async def eventually(check, *, within_s: float = 10.0, every_s: float = 0.05) -> None:
    """Wait until ``check`` returns true; raises TimeoutError after ``within_s`` seconds."""
    async with asyncio.timeout(within_s):
        while True:
            answer = check()
            if asyncio.iscoroutine(answer):
                answer = await answer
            if answer:
                return
            await asyncio.sleep(every_s)


async def check_history(
    started: fleet.Fleet, log: history.History, database: str = "orders"
) -> list:
    """Return the violations of the guarantees in a history, checked against the final rows."""
    rows = await load.final_rows(started.entries[0].callers_port, database)
    return history.check(log, rows)


def count_answers(log: history.History) -> collections.Counter:
    """Count the writes by reported outcome."""
    return collections.Counter(write.outcome for write in log.writes)


def error_code(error: asyncmy.errors.MySQLError) -> int:
    """Return the code of an error that a caller received."""
    return error.args[0]


async def delay_replicas(
    started: fleet.Fleet, database: str, *, apply_lag_ms: float = 0.0, receive_lag_ms: float = 0.0
) -> None:
    """Wait until the replicas have caught up and every gateway knows it, then make them lag."""
    primary = await started.wait_primary(database)
    replicas = [slot for slot in started.slots if slot.database == database and slot != primary]

    async def caught_up() -> bool:
        leader = await started.slot_call(primary, "status")
        statuses = [await started.slot_call(slot, "status") for slot in replicas]
        return all(status["applied"] == leader["log_end"] for status in statuses)

    await eventually(caught_up)
    await asyncio.sleep(STATUS_ROUND_S)
    for slot in replicas:
        await started.slot_call(slot, "set_lag", receive_lag_ms, apply_lag_ms)


async def wait_until_known(started: fleet.Fleet, zone: str, primary: fleet.SlotSpec) -> None:
    """Wait until the first instance of a zone knows the primary.

    Until then it tries the gateways of all slots in turn, which is correct, but not what most tests
    are about.
    """

    async def knows() -> bool:
        entry = started.entry_in(zone)
        status = await instances.read_status(fleet.HOST, entry.peers_port)
        return any(view.primary == primary.slot for view in status.views)

    await eventually(knows)


async def zones_of_replicas(started: fleet.Fleet, database: str) -> list[str]:
    """Return the availability zones of the replicas."""
    primary = await started.wait_primary(database)
    return [slot.zone for slot in started.slots if slot.database == database and slot != primary]
