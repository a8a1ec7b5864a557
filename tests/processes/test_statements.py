"""Outcomes of statements: complete answers, not run, at most once, and separate transactions."""

import asyncio
import collections
import random

import asyncmy
import pytest

from mustardswitch.callers import errors as caller_errors
from mustardswitch_standins import fleet, history, load
from tests.common import processes

CODES = caller_errors.CallerErrorCode


async def _error_code(caller, sql):
    with pytest.raises(asyncmy.errors.MySQLError) as raised:
        await caller.run(sql)
    return processes.error_code(raised.value)


async def _connect_near_and_far(started):
    """Return a caller in the primary's zone and one in another."""
    primary = await started.wait_primary("orders")
    other = (await processes.zones_of_replicas(started, "orders"))[0]
    near = await processes.caller(started.entry_in(primary.zone))
    far = await processes.caller(started.entry_in(other))
    return near, far


async def test_gives_each_caller_the_whole_answer_to_its_own_request(tmp_path):
    async with processes.running(processes.LINKED, tmp_path) as started:
        near, _ = await _connect_near_and_far(started)
        big = "x" * 2000
        for number in range(300):
            await near.run(f"INSERT INTO effects VALUES ('big', '{number:04}{big}')")
        rng = random.Random(3)
        for first in started.spec.zones:
            for second in started.spec.zones:
                rule = started.links.rule(first.zone, second.zone)
                rule.jitter = lambda: rng.uniform(0, 0.03)

        async def send_requests(entry, number):
            caller = await processes.caller(entry)
            for turn in range(8):
                want = (number * 31 + turn * 7) % 300
                rows = await caller.run(
                    f"SELECT op, '{number}-{turn}' FROM effects WHERE op >= '{want:04}'"
                )
                assert len(rows) == 300 - want
                assert {row[1] for row in rows} == {f"{number}-{turn}"}
                assert all(row[0].endswith(big) for row in rows)

        entries = started.entries * 4
        await asyncio.gather(
            *(send_requests(entry, number) for number, entry in enumerate(entries))
        )


async def test_never_gives_a_late_answer_to_the_next_request(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        caller, far = await _connect_near_and_far(started)
        await caller.run("INSERT INTO effects VALUES ('s', 'a')")
        for slot in started.slots:
            await started.slot_call(slot, "set_statement_time", 700)
        for late in (caller, far):
            code = await _error_code(late, "SELECT /*+ DEADLINE(0.3) */ op, 'late' FROM effects")
            assert code in (CODES.NOT_RUN, CODES.NOT_RUN_OVERLOADED)
        for slot in started.slots:
            await started.slot_call(slot, "set_statement_time", 0)
        for _ in range(30):
            for late in (caller, far):
                assert await late.run("SELECT op, 'next' FROM effects") == [("a", "next")]


async def test_runs_a_request_id_once_whatever_instance_is_asked(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        callers = [await processes.caller(entry) for entry in started.entries]
        for number in range(10):
            sql = f"INSERT /*+ REQUEST_ID('r{number}') */ INTO effects VALUES ('s', 'op{number}')"
            await asyncio.gather(*(caller.run(sql) for caller in callers))
        rows = collections.Counter(await load.final_rows(callers[0].port, "orders"))
        assert rows == {f"op{number}": 1 for number in range(10)}


async def test_does_not_remember_a_request_that_the_database_rejected(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        caller = await processes.caller(started.entries[0])
        await caller.run("CREATE TABLE keyed (id INTEGER PRIMARY KEY)")
        await caller.run("INSERT INTO keyed VALUES (1)")
        duplicate = await _error_code(caller, "INSERT /*+ REQUEST_ID('k') */ INTO keyed VALUES (1)")
        assert duplicate == 1062
        await caller.run("INSERT /*+ REQUEST_ID('k') */ INTO keyed VALUES (2)")
        assert await caller.run("SELECT id FROM keyed ORDER BY id") == [(1,), (2,)]


async def test_finds_a_request_id_again_after_a_failover(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        caller = await processes.caller(started.entries[0])
        sql = "INSERT /*+ REQUEST_ID('pay-1') */ INTO effects VALUES ('s', 'paid')"
        await caller.run(sql)
        primary = await started.wait_primary("orders")
        started.processes[primary.slot].kill()
        await caller.run(sql)
        await caller.run("BEGIN")
        await caller.run("INSERT INTO effects VALUES ('s', 'paid')")
        await caller.run("COMMIT /*+ REQUEST_ID('pay-1') */")
        assert await load.final_rows(caller.port, "orders") == ["paid"]


async def test_never_repeats_a_write_without_a_request_id(tmp_path):
    log = history.History()
    async with processes.running(processes.LINKED, tmp_path) as started:
        zones = [zone.zone for zone in started.spec.zones]
        rng = random.Random(11)

        async def break_links():
            for _ in range(60):
                await asyncio.sleep(rng.uniform(0.01, 0.1))
                first, second = rng.sample(zones, 2)
                started.links.break_connections(first, second)

        mix = load.Mix(write=2, recorded_write=1, transaction=2, own_read=1, aged_read=0)
        await asyncio.gather(
            load.run_sessions(
                ports=processes.ports(started),
                database="orders",
                count=8,
                seconds=4.0,
                mix=mix,
                seed=4,
                log=log,
            ),
            break_links(),
        )
        await asyncio.sleep(2.0)
        assert processes.count_answers(log)[history.Outcome.RAN] > 100
        assert await processes.check_history(started, log) == []


@pytest.mark.parametrize("cut_after", ["BEGIN", "INSERT", "COMMIT"])
async def test_statement_reported_as_not_run_did_not_run_when_the_link_is_cut(tmp_path, cut_after):
    log = history.History()
    async with processes.running(processes.LINKED, tmp_path) as started:
        primary = await started.wait_primary("orders")
        zone = (await processes.zones_of_replicas(started, "orders"))[0]
        for number in range(4):
            caller = await processes.caller(started.entry_in(zone))
            operation = f"{cut_after}-{number}"
            sent_at_s = asyncio.get_running_loop().time()
            outcome = history.Outcome.RAN
            try:
                for sql in ("BEGIN", f"INSERT INTO effects VALUES ('s', '{operation}')", "COMMIT"):
                    if sql.startswith(cut_after):
                        task = asyncio.create_task(caller.run(sql))
                        await asyncio.sleep(0.001 * number)
                        started.links.break_connections(zone, primary.zone)
                        await task
                    else:
                        await caller.run(sql)
            except load.CALL_ERRORS as error:
                outcome = load.outcome_of(error)
                if sql != "COMMIT":
                    assert outcome is history.Outcome.NOT_RUN, error
            log.writes.append(
                history.Write(
                    session="s",
                    operation=operation,
                    sent_at_s=sent_at_s,
                    answered_at_s=asyncio.get_running_loop().time(),
                    outcome=outcome,
                )
            )
            caller.drop()
        await asyncio.sleep(1.0)
        assert await processes.check_history(started, log) == []


async def test_keeps_transactions_apart_when_callers_vanish(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        for entry in started.entries * 2:
            disconnecting = await processes.caller(entry)
            await disconnecting.run("BEGIN")
            await disconnecting.run("INSERT INTO effects VALUES ('v', 'half')")
            disconnecting.drop()
            finishing = await processes.caller(entry)
            await finishing.run("BEGIN")
            await finishing.run("INSERT INTO effects VALUES ('w', 'whole')")
            await finishing.run("COMMIT")
        rows = await load.final_rows(started.entries[0].callers_port, "orders")
        assert set(rows) == {"whole"}
        assert len(rows) == len(started.entries) * 2


async def test_resolves_a_commit_whose_answer_was_lost(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        near, _ = await _connect_near_and_far(started)
        primary = await started.wait_primary("orders")
        await near.run("INSERT /*+ REQUEST_ID('first') */ INTO effects VALUES ('s', 'first')")
        await near.run("BEGIN")
        await near.run("INSERT INTO effects VALUES ('s', 'second')")
        await started.slot_call(primary, "lose_commits", 1)
        await near.run("COMMIT /*+ REQUEST_ID('second') */")
        assert sorted(await load.final_rows(near.port, "orders")) == ["first", "second"]


async def test_reports_a_write_whose_answer_was_lost_as_unknown_and_does_not_repeat_it(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        primary = await started.wait_primary("orders")
        for number, caller in enumerate(await _connect_near_and_far(started)):
            await started.slot_call(primary, "lose_commits", 1)
            code = await _error_code(caller, f"INSERT INTO effects VALUES ('s', 'op{number}')")
            assert code == CODES.UNKNOWN
        rows = await load.final_rows(started.entries[0].callers_port, "orders")
        assert sorted(rows) == ["op0", "op1"]


async def test_refuses_bad_input_clearly_and_keeps_the_connection(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        caller = await processes.caller(started.entries[0])
        refused = CODES.NOT_RUN_REFUSED
        for sql in (
            "SET mustardswitch_session_token = 'forged.token'",
            "SELECT /*+ MAX_AGE(never) */ op FROM effects",
            "LOCK TABLES effects WRITE",
            "SELECT 1; SELECT 2",
            "SET GLOBAL max_connections = 9",
            "USE nowhere",
            "SHOW TABLES",
            "SELECT @@no_such_variable",
            "CREATE /*+ REQUEST_ID('x') */ TABLE t (a INTEGER)",
        ):
            assert await _error_code(caller, sql) == refused, sql
        assert await _error_code(caller, "SELECT broken FROM effects") not in list(CODES)
        await caller.run("BEGIN")
        assert await _error_code(caller, "CREATE TABLE t (a INTEGER)") == refused
        await caller.run("INSERT INTO effects VALUES ('s', 'ok')")
        await caller.run("COMMIT")
        assert await caller.run("SELECT op FROM effects") == [("ok",)]


async def test_refuses_an_oversized_packet_and_serves_others(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        entry = started.entries[0]
        other = await processes.caller(entry)
        caller = await processes.caller(entry)
        huge = "x" * 5_000_000
        with pytest.raises(load.CALL_ERRORS):
            await caller.run(f"INSERT INTO effects VALUES ('s', '{huge}')")
        assert await other.run("SELECT op FROM effects") == []


async def test_refuses_an_unknown_database_and_wrong_logins(tmp_path):
    secret = "5e3ad6d4c41b1e8ad28bdfd94b4d1b6a9ab4a2ab"
    spec = fleet.FleetSpec(
        zones=fleet.CASCADE_ZONES[:1],
        policy={"callers": [{"name": "baker", "password_hash": secret}]},
    )
    async with fleet.running(spec, tmp_path) as started:
        entry = started.entries[0]
        for user in ("baker", "nobody"):
            with pytest.raises(load.CALL_ERRORS):
                refused = await processes.caller(entry, user=user)
                await refused.run("SELECT 1")


async def test_survives_a_caller_that_goes_away_in_the_middle_of_an_answer(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        entry = started.entries[0]
        writer = await processes.caller(entry)
        for number in range(200):
            await writer.run(f"INSERT INTO effects VALUES ('s', '{number:04}{'y' * 3000}')")
        for _ in range(10):
            disconnecting = await processes.caller(entry)
            task = asyncio.create_task(disconnecting.run("SELECT op FROM effects"))
            await asyncio.sleep(0.004)
            disconnecting.drop()
            task.cancel()
        assert len(await writer.run("SELECT op FROM effects")) == 200


async def test_rolls_back_a_transaction_whose_instance_was_lost_during_begin(tmp_path):
    async with processes.running(processes.LINKED, tmp_path) as started:
        near, far = await _connect_near_and_far(started)
        primary = await started.wait_primary("orders")
        zone = (await processes.zones_of_replicas(started, "orders"))[0]
        await started.slot_call(primary, "set_statement_time", 400)
        await processes.wait_until_known(started, zone, primary)
        lost = asyncio.create_task(far.run("BEGIN"))
        await asyncio.sleep(0.2)
        started.links.break_connections(zone, primary.zone)
        with pytest.raises(load.CALL_ERRORS):
            await lost
        await asyncio.sleep(0.5)
        await started.slot_call(primary, "set_statement_time", 0)
        await near.run("INSERT /*+ DEADLINE(1) */ INTO effects VALUES ('s', 'a')")
