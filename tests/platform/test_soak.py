"""The fault soak: its checks find planted violations, and some seeds run with real processes."""

import asyncio
import unittest.mock

import pytest

from mustardswitch import tasks
from mustardswitch_standins import (
    database_group,
    line_protocol_databases,
    platform_deployment,
    soak,
    soak_faults,
    soak_judge,
)


def _write(
    request: str, outcome: str = "ran", session: int = 1, at_s: float = 1.0
) -> soak_judge.Write:
    return soak_judge.Write(request=request, outcome=outcome, session=session, answered_at_s=at_s)


def _read(kind: str, length: int, session: int = 2, at_s: float = 2.0) -> soak_judge.Read:
    return soak_judge.Read(kind=kind, session=session, sent_at_s=at_s, length=length)


def test_finds_no_violation_in_a_correct_run():
    observed = soak_judge.Observations(
        writes=[_write("w1"), _write("w2", outcome="not run"), _write("w3", outcome="unknown")],
        reads=[_read("primary", 1), _read("bounded_staleness", 0)],
    )
    assert soak_judge.find_violations(observed, ["w1"], {}) == []


@pytest.mark.parametrize(
    "observed, log",
    [
        (soak_judge.Observations(writes=[_write("w1")]), []),
        (soak_judge.Observations(writes=[_write("w1", outcome="not run")]), ["w1"]),
        (soak_judge.Observations(writes=[_write("w1")]), ["w1", "w1"]),
        (soak_judge.Observations(writes=[_write("w1")], reads=[_read("primary", 0)]), ["w1"]),
        (
            soak_judge.Observations(
                writes=[_write("w1", session=2)], reads=[_read("read_your_writes", 0)]
            ),
            ["w1"],
        ),
        (
            soak_judge.Observations(
                writes=[_write("w1")], reads=[_read("bounded_staleness", 0, at_s=9.0)]
            ),
            ["w1"],
        ),
    ],
)
def test_finds_every_planted_violation(observed, log):
    assert len(soak_judge.find_violations(observed, log, {})) == 1


async def test_callers_that_wait_for_a_connection_have_sessions_of_their_own(tmp_path, monkeypatch):
    """Two callers with one number: a read of one counted as missing the other one's write."""
    numbers: list[int] = []

    class SlowInstance:
        async def session(self, database):
            await asyncio.sleep(0.02)
            return platform_deployment.Caller(reader=None, writer=unittest.mock.Mock())

    async def note_number(caller, kind, session):
        numbers.append(session)

    run = soak.Soak(seed=1, seconds=1.0, directory=tmp_path)
    run.instances["one"] = SlowInstance()
    monkeypatch.setattr(run, "_run_session", note_number)
    callers = [asyncio.create_task(run._run_sessions()) for _ in range(4)]
    await asyncio.sleep(0.3)
    await tasks.cancel_and_wait(callers)
    assert len(numbers) > 8 and len(numbers) == len(set(numbers))


async def test_replacements_are_listed_within_a_heartbeat(tmp_path, monkeypatch):
    run = soak.Soak(seed=1, seconds=1.0, directory=tmp_path)
    times_s: list[float] = []
    start = run.group.start_replacement

    def start_and_end(former, *, listed_after_s):
        times_s.append(listed_after_s)
        server = start(former, listed_after_s=listed_after_s)
        del run.group.servers[server.name]
        return server

    async def start_server(server):
        """Start no listener."""

    monkeypatch.setattr(run.group, "start_replacement", start_and_end)
    monkeypatch.setattr(run.deployment, "start_server", start_server)
    for _ in range(100):
        await run.faults._start_replacement(run.group.leader)
    assert 0.0 <= min(times_s) < 0.1 * soak_faults.HEARTBEAT_S
    assert 0.9 * soak_faults.HEARTBEAT_S < max(times_s) <= soak_faults.HEARTBEAT_S


def test_a_stopped_primary_completes_what_runs(tmp_path):
    assert soak.Soak(seed=1, seconds=1.0, directory=tmp_path).group.completes_running


@pytest.mark.parametrize(
    "seed, fault_names",
    [
        (1, ("replace_primary", "turn_away")),
        (5, ("kill_all", "lapse_entries", "replace_primary")),
        (5, ("delay_orders", "delay_promotions", "replace_primary", "crash_server")),
        (1, ("lose_server", "replace_replica", "restart_empty", "start_server")),
    ],
)
def test_no_commit_is_lost_as_servers_are_replaced(seed, fault_names):
    assert soak.run_seed(seed, seconds=4.0, fault_names=fault_names) == []


def test_no_commit_is_lost_as_servers_lose_their_entries_and_go_on():
    names = ("lose_entry", "deaf", "go_dark", "slow_store")
    assert soak.run_seed(1, seconds=4.0, fault_names=names) == []


@pytest.mark.parametrize(
    "seed, fault_names",
    [
        (1, ("leave_alone", "stop")),
        (2, ("leave_alone", "roll", "reset")),
        (3, ("leave_and_linger", "kill", "crash_server")),
    ],
)
def test_no_statement_reaches_a_leaving_server_after_its_notice(seed, fault_names):
    assert soak.run_seed(seed, seconds=4.0, fault_names=fault_names) == []


def test_no_write_is_expected_while_the_primary_runs_alone():
    writes = [_write("w1", at_s=1.0), _write("w2", at_s=13.0)]
    assert soak_judge.longest_interruption_s(writes, 0.0, 14.0) == 12.0
    assert soak_judge.longest_interruption_s(writes, 0.0, 14.0, possible_from_s=[7.0]) == 6.0


def test_finds_statements_at_a_leaving_server_after_its_notice(tmp_path):
    databases = soak.Soak(seed=1, seconds=1.0, directory=tmp_path).deployment.databases
    server = database_group.FakeServer(name="server-a", zone="a")
    server.leaving = True
    databases._note_announcement(server, 10.0)
    databases._note_announcement(server, 11.0)
    databases.arrivals = [
        line_protocol_databases.Arrival(request=f"r{at_s}", server="server-a", at_s=at_s)
        for at_s in (16.9, 17.1, 19.0)
    ]
    assert soak_judge.find_late_statements(databases, 7.0) == [
        "r17.1 reached server-a 7.10 s after its report",
        "r19.0 reached server-a 9.00 s after its report",
    ]
    server.leaving = False
    databases._note_announcement(server, 18.0)
    assert len(databases.late_arrivals(7.0)) == 1


@pytest.mark.parametrize("seed", [1, 2])
def test_finds_no_violation_under_seeded_faults(seed):
    assert soak.run_seed(seed, seconds=4.0) == []
