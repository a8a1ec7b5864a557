"""The steps of days of full runs, and the faults of their servers."""

import asyncio
import json
import random

import pytest

from mustardswitch.internal import promotion
from mustardswitch_standins import fleet
from mustardswitch_standins.full_run import (
    database_program,
    day_steps,
    days,
    figures,
    processes,
    store_program,
)

SEED = 7


@pytest.fixture
async def program():
    size = figures.SIZES["small"]
    made = database_program.DatabaseProgram(
        service="service-0", size=size, seed=str(SEED), store_port=1
    )
    await made.databases.start()
    for server in made.group.servers.values():
        server.was_listed = True
    yield made
    made.databases.close()


async def start_session(program, server):
    """Open a session with a server, and return the first line of its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", program.databases.ports[server])
    writer.write(f"STARTUP service-0 tester {server}\r\n".encode())
    answer = await reader.readline()
    writer.close()
    return answer


async def wait_until(condition):
    async with asyncio.timeout(30.0):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_crashed_server_refuses_connections_until_it_is_back_at_its_port(program):
    primary = program.group.leader
    port = program.databases.ports[primary.name]
    crash = asyncio.create_task(program.fault_crash(for_s=0.3))
    await wait_until(lambda: not primary.up)
    with pytest.raises(ConnectionRefusedError):
        await start_session(program, primary.name)
    await crash
    assert program.databases.ports[primary.name] == port
    assert (await start_session(program, primary.name)).startswith(b"READY")
    assert primary.role is promotion.Role.PRIMARY


async def test_another_process_answers_at_the_reused_address_of_a_crashed_server(program):
    primary = program.group.leader
    crash = asyncio.create_task(program.fault_crash(for_s=0.3, address_reused=True))
    await wait_until(lambda: not primary.up)
    assert (await start_session(program, primary.name)).startswith(b"ERROR WRONGNODE")
    await crash
    assert (await start_session(program, primary.name)).startswith(b"READY")


@pytest.mark.parametrize("address_reused", [False, True])
async def test_a_server_that_ended_for_good_does_not_come_back(program, address_reused):
    primary = program.group.leader
    await program.fault_end_primary(address_reused=address_reused)
    assert primary.name not in program.group.servers
    if address_reused:
        assert (await start_session(program, primary.name)).startswith(b"ERROR WRONGNODE")
    else:
        with pytest.raises(ConnectionRefusedError):
            await start_session(program, primary.name)


async def test_entries_on_the_way_are_lost_with_a_primary_if_asked(program):
    group = program.group
    group.link_delay_s = lambda first, second: 0.1
    confirming = asyncio.create_task(group.confirm(group.leader, ["w1"], 0.3))
    await asyncio.sleep(0.0)
    await program.fault_end_primary(loses_sent=True)
    assert not await confirming
    assert all(not server.log for server in group.servers.values())


async def test_only_listed_replicas_lag_beside_a_replacement_that_is_not_listed(program):
    await program.fault_lose()
    await program.fault_replace()
    (started,) = [each for each in program.group.servers.values() if not each.was_listed]
    await program.fault_lag(count=2, factor=60.0, for_s=0.0, listed=True)
    picked = program._pick_replicas(3, listed=True)
    assert program.lost not in picked
    assert started not in picked
    assert program.group.leader not in picked
    assert len(picked) == 1


def test_the_store_ends_the_lease_of_a_registration_that_it_revokes():
    store = store_program.ForwardingStore(databases={})
    store.leases[5] = (10.0, 1e12)
    store.put("instances/a", b"", 5)
    store.put("claims/a", b"", 5)
    store.put("instances/b", b"")
    for name in ("a", "b", "c"):
        store.end_lease_of(f"instances/{name}")
    assert list(store.keys) == ["instances/b"]


class RecordingClient:
    """Stands for the process of a service's servers, and accepts all promotions."""

    def __init__(self) -> None:
        self.promoted: list[str] = []

    async def call(self, operation, **fields):
        self.promoted.append(fields["id"])
        return {"accepted": True}


async def test_the_token_of_a_promotion_call_without_an_answer_is_checked_as_it_is_executed():
    client = RecordingClient()
    store = store_program.ForwardingStore(databases={"service-0": client})

    async def promote(server, token):
        body = json.dumps({"service": "service-0", "id": server}).encode()
        return await store._answer("/promote", {}, body, {"fencing-token": str(token)})

    store.promotion_delay_s = 0.05
    for server, token in (("first", 1), ("second", 2)):
        with pytest.raises(OSError):
            await promote(server, token)
    store.promotion_delay_s = None
    assert client.promoted == []
    assert (await promote("third", 2))[0] == 200
    await asyncio.sleep(0.1)
    assert client.promoted == ["third", "second"]


@pytest.mark.parametrize("name", days.DAYS)
def test_every_day_keeps_the_order_of_the_steps_that_follow_each_other(name):
    day = days.DAYS[name](figures.SIZES["grown"])
    for seed in range(20):
        varied = day_steps.vary(day, random.Random(seed))
        shifts = {
            round(changed.at_s - step.at_s, 6)
            for step in day.steps
            for changed in varied.steps
            if step.follows and (changed.name, changed.fields) == (step.name, step.fields)
        }
        assert len(shifts) <= 1
        assert max(step.at_s for step in varied.steps) < varied.length_s


async def test_an_instance_whose_port_is_taken_starts_with_others(tmp_path, capsys):
    instance = processes.InstanceProcess(
        name="instance-a-0",
        zone="a",
        store_port=fleet.free_ports(1)[0],
        promotion_port=1,
        source=processes.SOURCE,
        directory=tmp_path,
    )
    taken = instance.ports.health

    async def refuse(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"ERROR WRONGNODE -\r\n")
        writer.close()

    listener = await asyncio.start_server(refuse, "127.0.0.1", taken)
    await instance.start()
    waiting = asyncio.create_task(instance.wait_ready())
    try:
        await wait_until(lambda: instance.starts == 2)
    finally:
        waiting.cancel()
        await instance.end(processes.signal.SIGKILL)
        listener.close()
    assert instance.ports.health != taken
    assert "ended at its start" in capsys.readouterr().err


async def test_what_a_primary_commits_that_leads_again_is_noted_with_its_sender(program):
    group, primary = program.group, program.group.leader
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", program.databases.ports[primary.name]
    )
    writer.write(f"STARTUP service-0 tester {primary.name}\r\n".encode())
    assert (await reader.readline()).startswith(b"READY")
    port = writer.get_extra_info("sockname")[1]
    program.databases.holding.add(primary.name)
    writer.write(b"QUERY early WRITE item x\r\n")
    await wait_until(lambda: program.databases.held[primary.name] == 1)
    group.step_down(primary, 2)
    group.promote(primary.name)
    program.databases.holding.clear()
    await reader.readuntil(b"READY")
    writer.close()
    assert f"{primary.name} led term 1 and leads again" in group.events[-2]
    noted = group.events[-1]
    assert (
        f"{primary.name} leads again and commits early at 2.1, sent by early from port {port},"
        in (noted)
    )
    assert noted.endswith("closed: False")


class AcceptingStore:
    """Accepts the registrations of servers, and records whose they are."""

    def __init__(self) -> None:
        self.registered: list[str] = []

    async def call(self, operation, **fields):
        self.registered.append(fields["id"])
        return {"accepted": True}


async def test_a_server_that_is_cut_off_from_the_store_receives_and_has_no_entry(program):
    program.store = AcceptingStore()
    group = program.group
    cutting = asyncio.create_task(program.fault_cut_from_store(role="replica", for_s=0.4))
    await wait_until(lambda: program.unregistered)
    (name,) = program.unregistered
    registration = asyncio.create_task(program._keep_registered())
    try:
        assert await group.confirm(group.leader, ["w1"], 5.0)
        await wait_until(lambda: group.servers[name].log and program.store.registered)
        picked = program._pick_replicas(3, listed=True)
        assert name not in {*program.store.registered, *(each.name for each in picked)}
        await cutting
        await wait_until(lambda: name in program.store.registered)
    finally:
        registration.cancel()


async def test_a_server_that_is_reborn_behind_a_cut_answers_at_the_same_address_without_a_log(
    program,
):
    await program.group.confirm(program.group.leader, ["w1"], 5.0)
    program.group.leader.up = False
    before = dict(program.group.servers)
    cutting = asyncio.create_task(
        program.fault_cut_from_store(role="replica", for_s=0.5, reborn_after_s=0.1)
    )
    await wait_until(lambda: program.group.servers.keys() - before.keys())
    (reborn,) = program.group.servers.keys() - before.keys()
    (former,) = before.keys() - program.group.servers.keys()
    assert reborn in program.unregistered and not program.group.servers[reborn].log
    await wait_until(
        lambda: reborn in program.databases.server_listeners
        and program.databases.server_listeners[reborn].is_serving()
    )
    assert program.databases.ports[reborn] == program.databases.ports[former]
    assert (await start_session(program, former)).startswith(b"ERROR WRONGNODE")
    await cutting
    assert reborn not in program.unregistered


async def test_late_heartbeats_come_later_than_the_interval(program):
    program.store = AcceptingStore()
    server = program.group.leader
    late = asyncio.create_task(program.fault_late_heartbeats(late_s=3.0, for_s=30.0))
    await wait_until(lambda: program.heartbeat_late_s)
    intervals_s = []
    for _ in range(50):
        program.written.clear()
        await program._register(server)
        intervals_s.append(program.due_s[server.name] - asyncio.get_running_loop().time())
    late.cancel()
    assert max(intervals_s) > figures.ENTRY_EXPIRY_S > figures.HEARTBEAT_S + 1.0
