"""Instances that are killed, paused, drained or started without the store; connection limits."""

import asyncio
import collections

import pytest

from mustardswitch.callers import errors as caller_errors
from mustardswitch_standins import fleet, history, load
from tests.common import processes


async def test_rolls_back_what_a_killed_instance_left_open(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        for entry in started.entries:
            if started.processes[entry.instance].popen.poll() is not None:
                continue
            caller = await processes.caller(entry)
            await caller.run("BEGIN")
            await caller.run("INSERT INTO effects VALUES ('s', 'half')")
            started.processes[entry.instance].kill()
            with pytest.raises(load.CALL_ERRORS):
                await caller.run("COMMIT")
            break
        other = await processes.caller(started.entries[-1])

        async def writes():
            try:
                await other.run("INSERT INTO effects VALUES ('s', 'whole')")
            except load.CALL_ERRORS as error:
                assert load.outcome_of(error) is history.Outcome.NOT_RUN
                return False
            return True

        await processes.eventually(writes)
        assert await other.run("SELECT op FROM effects") == [("whole",)]


def _ports_of_second_instances(started):
    """Return the callers' ports of the second instance in each zone, which no test stops."""
    return [started.entry_in(zone.zone, 1).callers_port for zone in started.spec.zones]


async def test_serves_on_when_instances_are_killed(tmp_path):
    log = history.History()
    async with processes.running(processes.CASCADE, tmp_path) as started:

        async def kill():
            await asyncio.sleep(1.0)
            for zone in ("puget-a", "puget-b"):
                started.processes[started.entry_in(zone).instance].kill()

        survivors = _ports_of_second_instances(started)
        load_run = load.run_sessions(
            ports=survivors,
            database="orders",
            count=6,
            seconds=6.0,
            mix=load.Mix(),
            seed=5,
            log=log,
        )
        await asyncio.gather(load_run, kill())
        rows = await load.final_rows(survivors[0], "orders")
        assert history.check(log, rows) == []
        assert history.longest_gap_s(log, after_s=0.0) < 5.0


async def test_serves_on_when_an_instance_is_frozen_and_wakes_up(tmp_path):
    log = history.History()
    async with processes.running(processes.CASCADE, tmp_path) as started:
        frozen = started.processes[started.entry_in("puget-b").instance]

        async def freeze():
            await asyncio.sleep(1.0)
            frozen.pause()
            await asyncio.sleep(4.0)
            frozen.resume()

        survivors = _ports_of_second_instances(started)
        load_run = load.run_sessions(
            ports=survivors,
            database="orders",
            count=6,
            seconds=8.0,
            mix=load.Mix(),
            seed=6,
            log=log,
        )
        await asyncio.gather(load_run, freeze())
        assert await processes.check_history(started, log) == []


async def test_drains_without_cutting_anything_off(tmp_path):
    log = history.History()
    async with processes.running(processes.CASCADE, tmp_path) as started:
        leaving = started.entries[0]
        before = await processes.caller(leaving)
        await before.run("BEGIN")
        await before.run("INSERT INTO effects VALUES ('t', 'long')")

        async def terminate():
            await asyncio.sleep(1.5)
            started.processes[leaving.instance].terminate()

        async def finish_transaction():
            await asyncio.sleep(3.0)
            await before.run("INSERT INTO effects VALUES ('t', 'long')")
            await before.run("COMMIT")

        remaining = [entry for entry in started.entries if entry != leaving]
        errors, other_errors, _, _ = await asyncio.gather(
            _keep_writing(leaving, remaining, log, seconds=5.0),
            load.run_sessions(
                ports=[entry.callers_port for entry in remaining],
                database="orders",
                count=6,
                seconds=5.0,
                mix=load.Mix(),
                seed=7,
                log=log,
            ),
            terminate(),
            finish_transaction(),
        )
        # asyncmy raises 2006, before it sends anything, for a connection that was closed while it
        # was idle; a statement that was cut off in flight would raise 2013.
        closed_while_idle = 2006
        assert set(errors) <= {caller_errors.CallerErrorCode.NOT_RUN_LEAVING, closed_while_idle}
        assert other_errors == []
        code = await asyncio.to_thread(started.processes[leaving.instance].popen.wait, 15)
        assert code == 0
        rows = await load.final_rows(remaining[0].callers_port, "orders")
        assert collections.Counter(rows)["long"] == 2
        assert history.check(log, rows) == []


async def _keep_writing(leaving, remaining, log, *, seconds):
    """Write through one instance until it reports that it is leaving, then through another."""
    caller = await processes.caller(leaving)
    codes = []
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + seconds
    number = 0
    while loop.time() < ends_s:
        number += 1
        sent_at_s = loop.time()
        operation = f"drain-{number}"
        try:
            await caller.run(f"INSERT INTO effects VALUES ('d', '{operation}')")
            outcome = history.Outcome.RAN
        except load.CALL_ERRORS as error:
            codes.append(processes.error_code(error))
            outcome = load.outcome_of(error)
            caller.drop()
            caller = await processes.caller(remaining[0])
        log.writes.append(
            history.Write(
                session="d",
                operation=operation,
                sent_at_s=sent_at_s,
                answered_at_s=loop.time(),
                outcome=outcome,
            )
        )
        await asyncio.sleep(0.002)
    return codes


async def test_starts_without_the_store_from_what_peers_know(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        entry = started.entries[0]
        started.processes[entry.instance].kill()
        started.processes["platform"].pause()
        seed = started.entries[1]
        started.start_entry(
            entry,
            seeds=[
                {
                    "instance": seed.instance,
                    "zone": seed.zone,
                    "region": seed.region,
                    "host": fleet.HOST,
                    "port": seed.peers_port,
                }
            ],
        )
        await started.wait_ready(entry)
        caller = await processes.caller(entry)
        await caller.run("INSERT INTO effects VALUES ('s', 'x')")
        assert await caller.run("SELECT op FROM effects") == [("x",)]


async def test_holds_no_more_connections_than_the_document_allows(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        await load.run_sessions(
            ports=processes.ports(started) * 2,
            database="orders",
            count=60,
            seconds=3.0,
            mix=load.Mix(),
            seed=8,
            log=history.History(),
        )
        answers = [await started.slot_call(slot, "connections") for slot in started.slots]
        assert sum(answer["peak"] for answer in answers) <= started.spec.connections


async def test_stops_when_the_platform_and_the_slots_go_away_at_the_same_moment(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        for name in ("platform", *(slot.slot for slot in started.slots)):
            started.processes[name].terminate()
        for entry in started.entries:
            started.processes[entry.instance].terminate()
        for entry in started.entries:
            code = await asyncio.to_thread(started.processes[entry.instance].popen.wait, 20)
            assert code == 0
