"""Primaries that are killed, paused or cut off, with and without the platform's store."""

import asyncio
import json

import pytest

from mustardswitch import events
from mustardswitch_standins import history, load
from tests.common import processes

LOAD_S = 5.0
SLOW_ONE_WAY_S = 0.22
"""Seconds one way; the round trip is longer than a group command may take, and shorter than the
suspicion timeout (``suspicion_ms``)."""


async def _run_load(started, log, *, zones=(), seconds=LOAD_S, count=6, seed=1):
    return await load.run_sessions(
        ports=processes.ports(started, *zones),
        database="orders",
        count=count,
        seconds=seconds,
        mix=load.Mix(),
        seed=seed,
        log=log,
    )


async def test_serves_on_when_the_primary_is_killed_and_the_store_is_out(tmp_path):
    log = history.History()
    async with processes.running(processes.CASCADE, tmp_path) as started:
        started.processes["platform"].pause()
        primary = await started.wait_primary("orders")
        started.processes[primary.slot].kill()
        await _run_load(started, log)
        assert processes.count_answers(log)[history.Outcome.RAN] > 50
        assert await processes.check_history(started, log) == []


async def test_acknowledges_nothing_from_a_frozen_primary(tmp_path):
    log = history.History()
    async with processes.running(processes.CASCADE, tmp_path) as started:
        primary = await started.wait_primary("orders")

        async def freeze():
            await asyncio.sleep(1.0)
            started.processes[primary.slot].pause()
            await asyncio.sleep(2.0)
            started.processes[primary.slot].resume()

        await asyncio.gather(_run_load(started, log), freeze())
        following = await started.wait_primary("orders")
        assert following.slot != primary.slot
        assert await processes.check_history(started, log) == []


async def test_acknowledges_nothing_in_a_zone_cut_off_with_its_primary(tmp_path):
    log = history.History()
    async with processes.running(processes.LINKED, tmp_path) as started:
        primary = await started.wait_primary("orders")
        others = [zone.zone for zone in started.spec.zones if zone.zone != primary.zone]

        async def cut():
            await asyncio.sleep(1.0)
            started.links.isolate(primary.zone, [*others, "platform"])
            await asyncio.sleep(3.0)
            started.links.heal()

        inside = history.History()
        await asyncio.gather(
            _run_load(started, inside, zones=[primary.zone], count=3, seed=2, seconds=6.0),
            _run_load(started, log, zones=others, count=3, seconds=6.0),
            cut(),
        )
        log.writes += inside.writes
        log.reads += inside.reads
        await asyncio.sleep(1.0)
        assert await processes.check_history(started, log) == []
        following = await started.wait_primary("orders")
        assert following.slot != primary.slot


async def test_reads_own_writes_where_the_primary_is_cut_off_and_replaced(tmp_path):
    async with processes.running(processes.LINKED, tmp_path) as started:
        primary = await started.wait_primary("orders")
        others = [zone.zone for zone in started.spec.zones if zone.zone != primary.zone]
        started.links.isolate(primary.zone, [*others, "platform"])
        writer = await processes.caller(started.entry_in(others[0]))
        hints = "/*+ REQUEST_ID('new') DEADLINE(9) */"
        await writer.run(f"INSERT {hints} INTO effects VALUES ('s', 'new')")
        ((token,),) = await writer.run("SELECT @@mustardswitch_session_token")
        with_token = await processes.caller(started.entry_in(primary.zone))
        await with_token.run(f"SET mustardswitch_session_token = '{token}'")
        without = await processes.caller(started.entry_in(primary.zone))
        for roamed in (with_token, without):
            with pytest.raises(load.CALL_ERRORS) as raised:
                await roamed.run("SELECT /*+ DEADLINE(1) */ op FROM effects")
            assert load.outcome_of(raised.value) is history.Outcome.NOT_RUN
        started.links.heal()
        for roamed in (with_token, without):
            await _eventually_reads(roamed, "new")


async def _eventually_reads(caller, operation):
    async def reads():
        try:
            rows = await caller.run("SELECT /*+ DEADLINE(1) */ op FROM effects")
        except load.CALL_ERRORS:
            return False
        assert rows == [(operation,)]
        return True

    await processes.eventually(reads)


async def test_does_not_change_the_primary_under_jitter(tmp_path):
    async with processes.running(processes.LINKED, tmp_path) as started:
        primary = await started.wait_primary("orders")
        steps = iter(range(10**9))
        zones = [zone.zone for zone in started.spec.zones]
        for source in zones:
            for target in zones:
                started.links.rule(source, target).jitter = lambda: (next(steps) * 37 % 200) / 1e3
        log = history.History()
        await _run_load(started, log, count=3, seconds=6.0)
        for rule in started.links.rules.values():
            rule.jitter = None
        status = await started.slot_call(primary, "status")
        assert status["promised"] == 1
        assert status["role"] == "primary"
        assert await processes.check_history(started, log) == []


async def test_keeps_slots_in_reach_whose_answers_take_longer_than_a_heartbeat(tmp_path):
    async with processes.running(processes.LINKED, tmp_path) as started:
        primary = await started.wait_primary("orders")
        for zone in started.spec.zones:
            if zone.zone != primary.zone:
                started.links.rule(zone.zone, primary.zone).jitter = lambda: SLOW_ONE_WAY_S
                started.links.rule(primary.zone, zone.zone).jitter = lambda: SLOW_ONE_WAY_S
        await asyncio.sleep(4.0)
        lost = [
            line
            for log_path in tmp_path.glob("*-0.log")
            for line in map(json.loads, log_path.read_text().splitlines())
            if line.get("event") == events.Event.SLOT_UNREACHABLE.value.number
        ]
        assert lost == []
        status = await started.slot_call(primary, "status")
        assert (status["promised"], status["role"]) == (1, "primary")


@pytest.mark.parametrize("seed", [1, 2])
async def test_survives_two_primaries_killed_one_after_the_other(tmp_path, seed):
    log = history.History()
    async with processes.running(processes.CASCADE, tmp_path) as started:

        async def kill_twice():
            for _ in range(2):
                await asyncio.sleep(1.0)
                primary = await started.wait_primary("orders")
                started.processes[primary.slot].kill()
                await asyncio.sleep(1.5)
                started.start_slot(primary)
                await asyncio.sleep(1.0)

        await asyncio.gather(_run_load(started, log, seconds=8.0, seed=seed), kill_twice())
        await started.wait_primary("orders")
        assert await processes.check_history(started, log) == []
        assert history.longest_gap_s(log, after_s=0.0) < 10.0


async def test_reads_stay_consistent_with_replicas_seconds_behind(tmp_path):
    log = history.History()
    async with processes.running(processes.CASCADE, tmp_path) as started:
        primary = await started.wait_primary("orders")
        for slot in started.slots:
            if slot.slot != primary.slot:
                await started.slot_call(slot, "set_lag", 0, 2500)
        await _run_load(started, log)
        assert await processes.check_history(started, log) == []


@pytest.mark.parametrize("inward", [True, False])
async def test_stays_consistent_when_one_direction_is_cut(tmp_path, inward):
    log = history.History()
    async with processes.running(processes.LINKED, tmp_path) as started:
        primary = await started.wait_primary("orders")
        others = [zone.zone for zone in started.spec.zones if zone.zone != primary.zone]

        async def cut():
            await asyncio.sleep(1.0)
            for other in others:
                pair = (other, primary.zone) if inward else (primary.zone, other)
                started.links.cut(*pair)
            await asyncio.sleep(3.0)
            started.links.heal()

        await asyncio.gather(_run_load(started, log, seconds=6.0), cut())
        await asyncio.sleep(1.0)
        assert await processes.check_history(started, log) == []


async def test_changes_the_primary_while_the_store_is_slow(tmp_path):
    log = history.History()
    async with processes.running(processes.CASCADE, tmp_path) as started:
        client = started.open_store()
        value = json.dumps({"delay_ms": 3000}).encode()
        await client.compare_and_swap("standin/faults", value, expected_revision=0)
        client.close()
        primary = await started.wait_primary("orders")
        started.processes[primary.slot].kill()
        await _run_load(started, log)
        assert processes.count_answers(log)[history.Outcome.RAN] > 50
        assert await processes.check_history(started, log) == []


async def test_holds_an_error_back_that_shows_an_unconfirmed_write(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        caller = await processes.caller(started.entries[0])
        await caller.run("CREATE TABLE keyed (id INTEGER PRIMARY KEY)")
        await processes.delay_replicas(started, "orders", receive_lag_ms=60_000)
        insert = "INSERT /*+ DEADLINE(0.5) */ INTO keyed VALUES (1)"
        for outcome in (history.Outcome.UNKNOWN, history.Outcome.NOT_RUN):
            with pytest.raises(load.CALL_ERRORS) as raised:
                await caller.run(insert)
            assert load.outcome_of(raised.value) is outcome
