"""Statements from callers to backend servers, with real processes."""

import asyncio

import pytest

from mustardswitch.operators import instances
from mustardswitch_standins import fleet, load
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
        assert processes.count_answers(log)[load.history.Outcome.RAN] > 0
        assert await processes.check_history(started, log) == []


async def test_token_of_a_session_that_only_read_aged_data_does_not_hide_own_writes(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        await processes.delay_replicas(started, "orders", apply_lag_ms=60_000)
        replica_zones = await processes.zones_of_replicas(started, "orders")
        writer = await processes.caller(started.entries[0])
        await writer.run("INSERT INTO effects VALUES ('s', 'mine')")
        browser = await processes.caller(started.entry_in(replica_zones[0]))
        assert await browser.run("SELECT /*+ MAX_AGE(600) */ op FROM effects") == []
        ((token,),) = await browser.run("SELECT @@mustardswitch_session_token")
        roamed = await processes.caller(started.entry_in(replica_zones[1]))
        await roamed.run(f"SET mustardswitch_session_token = '{token}'")
        assert await roamed.run("SELECT op FROM effects") == [("mine",)]


async def test_answers_prepared_statements_with_typed_values(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        entry = started.entries[0]
        caller = await processes.caller(entry)
        await caller.run("CREATE TABLE kinds (a INTEGER, b TEXT, c REAL)")
        await caller.run("INSERT INTO kinds VALUES (7, 'rye', 1.5), (NULL, NULL, NULL)")
        statement = await caller.connection.prepare(
            "SELECT a, b, c FROM kinds WHERE a = ? OR a IS NULL"
        )
        result = await statement.execute((7,))
        rows = result.rows
        assert sorted(map(str, rows)) == ["(7, 'rye', 1.5)", "(None, None, None)"]


async def test_serves_what_it_can_in_a_zone_that_is_cut_off(tmp_path):
    async with processes.running(processes.LINKED, tmp_path) as started:
        zones = await processes.zones_of_replicas(started, "orders")
        cut_off = started.entry_in(zones[0])
        with_token = await processes.caller(cut_off)
        await with_token.run("INSERT INTO effects VALUES ('s', 'a')")
        assert await with_token.run("SELECT op FROM effects") == [("a",)]
        started.links.isolate(
            zones[0], [zone.zone for zone in started.spec.zones if zone.zone != zones[0]]
        )
        started.links.cut_both(zones[0], "platform")
        await asyncio.sleep(1.5)
        assert await with_token.run("SELECT op FROM effects") == [("a",)]
        without = await processes.caller(cut_off)
        assert await without.run("SELECT /*+ MAX_AGE(60) */ op FROM effects") == [("a",)]
        for sql in (
            "SELECT /*+ DEADLINE(1) */ op FROM effects",
            "SELECT /*+ DEADLINE(1) MAX_AGE(0.2) */ op FROM effects",
        ):
            with pytest.raises(load.CALL_ERRORS) as raised:
                await without.run(sql)
            assert load.outcome_of(raised.value) is load.history.Outcome.NOT_RUN


async def test_moves_gateways_away_from_an_instance_that_the_platform_lists_as_leaving(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        entries = [entry for entry in started.entries if entry.zone == "puget-a"]

        async def gateways(entry):
            status = await instances.read_status(fleet.HOST, entry.peers_port)
            return len(status.groups)

        (holder,) = [entry for entry in entries if await gateways(entry)]
        client = started.open_store()
        await started.list_instance(client, holder, leaving=True)
        client.close()
        other = next(entry for entry in entries if entry != holder)

        async def moved():
            return await gateways(holder) == 0 and await gateways(other) == 1

        await processes.eventually(moved)
        caller = await processes.caller(holder)
        await caller.run("INSERT INTO effects VALUES ('s', 'a')")
