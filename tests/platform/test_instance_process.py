"""The instance process, run against stand-ins for the store, the databases and the balancer."""

import asyncio
import json
import signal

import pytest

from mustardswitch.internal import gateways, ids, record_relays
from mustardswitch_standins import platform_deployment
from tests.common import platform_records

FAILOVER_S = 10.0
"""The users' bound for a change of primary."""


@pytest.fixture
async def deployment(tmp_path):
    started = platform_deployment.Deployment(tmp_path)
    await started.start()
    try:
        yield started
    finally:
        await started.stop()


async def test_serves_statements_transactions_values_and_prepared_names(deployment):
    instance = await deployment.start_instance("one")
    caller = await instance.session("db-read_your_writes")
    assert caller.greeting == "READY I -"
    assert (await caller.query("SET mode 1"))[0] == "COMPLETE -"
    assert (await caller.query("WRITE item x"))[-2].startswith("COMPLETE sig-server-a")
    assert (await caller.query("READ item"))[0] == "DATAROW 1"
    assert (await caller.query("PREPARE s1 WRITE q2"))[0] == "COMPLETE -"
    assert (await caller.query("BEGIN"))[-1] == "READY T -"
    assert (await caller.query("EXECUTE s1 item y"))[-1] == "READY T -"
    assert (await caller.query("COMMIT"))[-1] == "READY I -"
    assert (await caller.query("READ item"))[0] == "DATAROW 2"
    assert len(deployment.group.acknowledged) == 2
    assert (await instance.session("nobody")).greeting.startswith("ERROR NODB")


async def test_an_invalid_line_ends_only_its_own_session(deployment):
    instance = await deployment.start_instance("one")
    good = await instance.session("db-primary")
    bad = await instance.session("db-primary")
    assert (await bad.query("DROP everything"))[0].startswith("ERROR MALFORMED")
    assert await bad.line() == ""
    assert (await good.query("WRITE item x"))[-2].startswith("COMPLETE sig")


async def test_a_crashed_primary_is_replaced_and_writes_continue(deployment):
    first = await deployment.start_instance("one")
    second = await deployment.start_instance("two")
    caller = await first.session("db-primary")
    assert (await caller.query("WRITE item x"))[-2].startswith("COMPLETE sig-server-a")
    deployment.databases.crash(deployment.group.primary.name)

    async def write_until_served() -> list[str]:
        while True:
            for instance in (first, second):
                answer = await (await instance.session("db-primary")).query("WRITE item y")
                if answer[-2].startswith("COMPLETE sig"):
                    return answer

    listing = asyncio.create_task(_keep_listed(deployment))
    answer = await asyncio.wait_for(write_until_served(), 30.0)
    listing.cancel()
    assert not answer[-2].startswith("COMPLETE sig-server-a")
    assert deployment.group.lost == []


async def test_odd_entries_of_another_writer_neither_end_a_task_nor_delay_a_failover(deployment):
    """Some ended the failover watch again and again, others were taken for replicas, whose answer
    every promotion waited for.
    """
    first = await deployment.start_instance("one")
    second = await deployment.start_instance("two")
    address = f"127.0.0.1:{deployment.databases.ports['server-b']}"
    odd = platform_records.odd_entries(service="orders", addr=address, zone="b")
    for number, value in enumerate(odd):
        deployment.store.put(f"servers/i-odd{number}", value)
    await asyncio.sleep(3.0)
    caller = await first.session("db-primary")
    assert (await caller.query("WRITE item x"))[-2].startswith("COMPLETE sig-server-a")
    deployment.databases.crash(deployment.group.primary.name)

    async def write_until_served() -> None:
        while True:
            for instance in (first, second):
                answer = await (await instance.session("db-primary")).query("WRITE item y")
                if answer[-2].startswith("COMPLETE sig"):
                    return

    listing = asyncio.create_task(_keep_listed(deployment))
    await asyncio.wait_for(write_until_served(), FAILOVER_S)
    listing.cancel()
    for instance in (first, second):
        assert instance.process.returncode is None
        events = [json.loads(line) for line in instance.log.read_text().splitlines()]
        assert not [event for event in events if event["event"] == 103]
        rejected = {event["key"] for event in events if event["event"] == 211}
        assert len(rejected) == len(odd)


async def _keep_listed(deployment: platform_deployment.Deployment) -> None:
    while True:
        await asyncio.sleep(0.2)
        deployment.databases.list_servers(deployment.store)


async def test_a_store_outage_is_not_noticed_by_callers(deployment):
    instance = await deployment.start_instance("one")
    caller = await instance.session("db-primary")
    deployment.store.down = True
    for _ in range(10):
        assert (await caller.query("WRITE item x"))[-2].startswith("COMPLETE sig")
        await asyncio.sleep(0.1)
    deployment.store.down = False


async def test_a_new_configuration_is_in_force_soon(deployment):
    instance = await deployment.start_instance("one")
    _rename_database(deployment, 9, "db-new")
    await asyncio.wait_for(_wait_until_served(instance, "db-new"), 10.0)
    assert (await instance.session("db-primary")).greeting.startswith("ERROR NODB")


def _rename_database(deployment, version, name):
    changed = json.loads(json.dumps(platform_deployment.CONFIGURATION))
    changed["version"] = version
    changed["routes"][0]["host"] = name
    deployment.store.put("op/config", json.dumps(changed).encode())


async def _wait_until_served(instance, database):
    while (await instance.session(database)).greeting != "READY I -":
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("fault", [signal.SIGKILL, signal.SIGSTOP])
async def test_followers_of_a_lost_relay_receive_the_next_configuration(deployment, fault):
    names = [f"i{number}" for number in range(5)]
    started = {name: await deployment.start_instance(name) for name in names}
    candidates = [
        gateways.Candidate(
            instance=ids.InstanceId(name), zone=ids.ZoneName("a"), region=ids.RegionName("north")
        )
        for name in names
    ]
    relay_names = record_relays.relays_in_zone(candidates, ids.ZoneName("a"))
    _rename_database(deployment, 9, "db-first")
    async with asyncio.timeout(20.0):
        for instance in started.values():
            await _wait_until_served(instance, "db-first")
    lost = started.pop(relay_names[0])
    lost.process.send_signal(fault)
    _rename_database(deployment, 12, "db-second")
    async with asyncio.timeout(20.0):
        for instance in started.values():
            await _wait_until_served(instance, "db-second")
    if fault is signal.SIGSTOP:
        lost.process.send_signal(signal.SIGCONT)
        async with asyncio.timeout(20.0):
            await _wait_until_served(lost, "db-second")


async def test_stops_without_aborting_a_running_statement(deployment):
    instance = await deployment.start_instance("one")
    callers = [await instance.session("db-primary") for _ in range(5)]
    deployment.group.primary.answer_delay_s = 0.5
    queries = [asyncio.create_task(caller.query("WRITE item x")) for caller in callers]
    await asyncio.sleep(0.1)
    instance.process.send_signal(signal.SIGTERM)
    for answer in await asyncio.gather(*queries):
        assert answer[-2].startswith("COMPLETE sig")
    await asyncio.wait_for(instance.process.wait(), 30.0)
    assert instance.process.returncode == 0
    events = [json.loads(line)["event"] for line in instance.log.read_text().splitlines()]
    assert 100 in events and 101 in events and 102 in events


async def test_a_planned_stop_answers_every_statement_of_transactions_without_pauses(deployment):
    """Reproduces review/5: transactions with a statement under way at half of the grace went on,
    and the instance ended with statements that it had passed on and not answered.
    """
    instance = await deployment.start_instance("one")
    deployment.group.primary.answer_delay_s = 0.25
    ends: list[str] = []

    async def run_transaction() -> None:
        caller = await instance.session("db-primary")
        answer = await caller.query("BEGIN")
        while answer[-1].startswith("READY T"):
            answer = await caller.query("WRITE item x")
        ends.append(" ".join(answer))

    transactions = [asyncio.create_task(run_transaction()) for _ in range(3)]
    await asyncio.sleep(1.0)
    instance.process.send_signal(signal.SIGTERM)
    await asyncio.gather(*transactions)
    assert [end.partition(" -")[0].split()[:2] for end in ends] == [["ERROR", "ABORTED"]] * 3
    await asyncio.wait_for(instance.process.wait(), 30.0)


async def test_a_planned_stop_answers_statements_that_no_server_answers(deployment):
    """Such statements lost their connection without a word at the end of the grace."""
    instance = await deployment.start_instance("one")
    inside = await instance.session("db-primary")
    await inside.query("BEGIN")
    assert (await inside.query("WRITE item x"))[-1] == "READY T -"
    writer = await instance.session("db-primary")
    deployment.group.primary.silent = True
    running = [asyncio.create_task(caller.query("WRITE item y")) for caller in (inside, writer)]
    await asyncio.sleep(0.1)
    instance.process.send_signal(signal.SIGTERM)
    answers = [(await each)[0].split()[:2] for each in running]
    assert answers == [["ERROR", "ABORTED"], ["ERROR", "INDOUBT"]]
    await asyncio.wait_for(instance.process.wait(), 30.0)
    assert instance.process.returncode == 0


async def test_serves_counters_and_latencies(deployment):
    instance = await deployment.start_instance("one")
    caller = await instance.session("db-primary")
    await caller.query("WRITE item x")
    status, body = await instance.get("/metrics")
    assert status == 200
    assert 'mustardswitch_statements_total{kind="ran"} 1' in body
    assert "mustardswitch_statement_seconds" in body
