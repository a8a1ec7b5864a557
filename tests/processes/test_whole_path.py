"""The whole path with real processes."""

import pytest

from mustardswitch_standins import load
from tests.common import processes


async def test_serves_a_write_and_a_read(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        caller = await processes.caller(started.entries[0])
        await caller.run("INSERT INTO effects VALUES ('s', 'rye')")
        assert await caller.run("SELECT op FROM effects") == [("rye",)]
        await caller.run("BEGIN")
        await caller.run("INSERT INTO effects VALUES ('s', 'oat')")
        await caller.run("ROLLBACK")
        assert await caller.run("SELECT op FROM effects") == [("rye",)]


@pytest.mark.parametrize("with_token", [True, False])
async def test_reads_own_writes_after_roaming(tmp_path, with_token):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        caller = await processes.caller(started.entries[0])
        for number, entry in enumerate(started.entries * 3):
            await caller.run(f"INSERT INTO effects VALUES ('s', 'op{number}')")
            ((token,),) = await caller.run("SELECT @@mustardswitch_session_token")
            caller.drop()
            caller = await processes.caller(entry)
            if with_token:
                await caller.run(f"SET mustardswitch_session_token = '{token}'")
            rows = await caller.run("SELECT op FROM effects")
            assert len(rows) == number + 1


async def test_changes_the_primary_when_it_is_killed(tmp_path):
    log = load.history.History()
    async with processes.running(processes.CASCADE, tmp_path) as started:
        primary = await started.wait_primary("orders")
        started.processes[primary.slot].kill()
        await load.run_sessions(
            ports=processes.ports(started),
            database="orders",
            count=6,
            seconds=3.0,
            mix=load.Mix(),
            seed=1,
            log=log,
        )
        assert processes.told(log)[load.history.Told.RAN] > 0
        assert await processes.judge(started, log) == []


async def test_token_of_a_session_that_only_read_aged_data_does_not_hide_own_writes(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        await processes.hold_replicas_back(started, "orders", apply_lag_ms=60_000)
        replica_zones = await processes.zones_of_replicas(started, "orders")
        writer = await processes.caller(started.entries[0])
        await writer.run("INSERT INTO effects VALUES ('s', 'mine')")
        browser = await processes.caller(started.entry_in(replica_zones[0]))
        assert await browser.run("SELECT /*+ MAX_AGE(600) */ op FROM effects") == []
        ((token,),) = await browser.run("SELECT @@mustardswitch_session_token")
        roamed = await processes.caller(started.entry_in(replica_zones[1]))
        await roamed.run(f"SET mustardswitch_session_token = '{token}'")
        assert await roamed.run("SELECT op FROM effects") == [("mine",)]
