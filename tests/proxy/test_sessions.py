"""Sessions in front of an in-memory group: consistent reads, writes run once, correct refusals."""

import asyncio
import dataclasses

import pytest

from mustardswitch import connection_pool
from mustardswitch.internal import clock, ids, promotion
from mustardswitch.proxy import requests, routes
from mustardswitch_standins import database_group
from tests.common import proxy_world

PRIMARY, BOUNDED, OWN = requests.RouteKind
IDLE, OPEN, FAILED = requests.TransactionState
STATEMENT_COUNT = 400
"""Statements in two seconds, of which a primary with three connections serves about a third."""


async def test_a_write_runs_once_at_the_primary():
    world = proxy_world.World()
    answer = await world.run(world.open_session(PRIMARY), proxy_world.WRITE)
    assert answer.signature == "sig-server-a"
    assert world.group.executed == ["r1"]


async def test_a_session_reads_its_own_write_at_a_replica():
    world = proxy_world.World(zone="b")
    caller = world.open_session(OWN)
    await world.run(caller, proxy_world.WRITE)
    read = await world.run(caller, proxy_world.READ)
    assert read.rows == ("1",)
    assert world.group.statements[-1].server == "server-b"


async def test_a_replica_without_the_sessions_own_write_is_skipped():
    world = proxy_world.World(zone="b")
    caller = world.open_session(OWN)
    world.group.servers[ids.ServerId("server-b")].not_receiving = True
    await world.run(caller, proxy_world.WRITE)
    read = await world.run(caller, proxy_world.READ)
    assert read.rows == ("1",)
    assert world.group.statements[-1].server != "server-b"


async def test_a_read_of_bounded_staleness_shows_what_was_acknowledged_before():
    world = proxy_world.World(zone="b", max_staleness_s=0.2)
    world.group.servers[ids.ServerId("server-b")].not_receiving = True
    await world.run(world.open_session(PRIMARY), proxy_world.WRITE)
    await asyncio.sleep(0.3)
    read = await world.run(world.open_session(BOUNDED), proxy_world.READ)
    assert read.rows == ("1",)


async def test_a_primary_read_is_not_served_by_a_former_primary():
    world = proxy_world.World(zone="a")
    await world.run(world.open_session(PRIMARY), proxy_world.WRITE)
    await world.settle()
    former = world.group.servers[ids.ServerId("server-a")]
    world.group.promote(ids.ServerId("server-b"))
    former.not_receiving = True
    world.group.commit(world.group.primary, "later")
    reading = asyncio.create_task(world.run(world.open_session(PRIMARY), proxy_world.READ))
    await asyncio.sleep(0.05)
    world.list_servers()
    read = await reading
    assert read.rows == ("2",)
    assert all(statement.server != "server-a" for statement in world.group.statements[1:])


async def test_a_write_refused_by_a_former_primary_goes_to_the_new_one():
    world = proxy_world.World()
    world.group.promote(ids.ServerId("server-c"))
    writing = asyncio.create_task(world.run(world.open_session(PRIMARY), proxy_world.WRITE))
    await asyncio.sleep(0.05)
    world.list_servers()
    answer = await writing
    assert answer.signature == "sig-server-c"
    assert world.group.executed == ["r1"]


async def test_a_write_without_an_answer_has_an_unknown_outcome():
    world = proxy_world.World(statement_timeout_s=0.3)
    for name in ("server-b", "server-c"):
        world.group.servers[ids.ServerId(name)].not_receiving = True
    answer = await world.run(world.open_session(PRIMARY), proxy_world.WRITE)
    assert answer.refusal is requests.Refusal.OUTCOME_UNKNOWN
    assert world.group.executed == ["r1"]


async def test_a_write_that_finds_no_primary_is_not_run():
    world = proxy_world.World(statement_timeout_s=0.3)
    world.group.servers[ids.ServerId("server-a")].up = False
    answer = await world.run(world.open_session(PRIMARY), proxy_world.WRITE)
    assert answer.refusal is requests.Refusal.OVERLOADED
    assert world.group.executed == []


async def test_a_write_rejected_by_an_overloaded_server_is_sent_again():
    world = proxy_world.World()
    world.group.servers[ids.ServerId("server-a")].busy = 2
    answer = await world.run(world.open_session(PRIMARY), proxy_world.WRITE)
    assert answer.succeeded
    assert world.group.executed == ["r1"]


@pytest.mark.parametrize("kind, statement", [(PRIMARY, proxy_world.READ), (OWN, proxy_world.WRITE)])
async def test_what_the_primary_cannot_serve_in_time_is_rejected_at_once(kind, statement):
    """Guards against an overload of the primary by statements that wait and are tried again.

    Both replicas lagged and the primary got twice its load (run Solarloaf grown scale-1).
    """
    world = proxy_world.World()
    world.group.servers[ids.ServerId("server-a")].answer_delay_s = 0.05
    await world.run(world.open_session(kind), statement)
    pool = world.service.leader.pool
    acquire, requested = pool.acquire, []

    async def count_acquire(request):
        requested.append(request)
        return await acquire(request)

    pool.acquire = count_acquire

    async def call(wait_s: float) -> requests.Answer:
        await asyncio.sleep(wait_s)
        return await world.run(world.open_session(kind), statement)

    answers = await asyncio.gather(*(call(number / 200) for number in range(STATEMENT_COUNT)))
    refused = [answer for answer in answers if not answer.succeeded]
    assert 0 < len(refused) < STATEMENT_COUNT
    assert {answer.refusal for answer in refused} == {requests.Refusal.OVERLOADED}
    assert len(requested) == STATEMENT_COUNT


async def test_a_statement_is_not_sent_without_time_for_its_answer():
    """Guards against work on statements that cannot be answered in time.

    Statements got their connection 0.06 s before their deadline (run Solarloaf grown scale-1).
    """
    world = proxy_world.World(statement_timeout_s=0.5)
    leader = world.service.leader
    leader.pool.resize(1)
    caller = world.open_session(PRIMARY)
    await world.run(caller, proxy_world.WRITE)
    leader.latency_s, leader.measured_at_s = 0.2, clock.now_s()
    held = await leader.pool.acquire(
        connection_pool.ConnectionRequest(caller="", priority=0, deadline_s=float("inf"))
    )
    asyncio.get_running_loop().call_later(0.4, lambda: leader.pool.release(held, clean=True))
    answer = await world.run(caller, proxy_world.WRITE)
    assert answer.refusal is requests.Refusal.OVERLOADED
    assert len(world.group.executed) == 1


async def test_a_transaction_stays_on_one_connection():
    world = proxy_world.World()
    caller = world.open_session(OWN)
    began = await world.run(caller, requests.Begin(read_only=False))
    assert began.state is OPEN
    for statement in (proxy_world.WRITE, proxy_world.READ, proxy_world.WRITE):
        assert (await world.run(caller, statement)).state is OPEN
    committed = await world.run(caller, requests.Commit())
    assert committed.succeeded and committed.state is IDLE
    assert len({id(statement.link) for statement in world.group.statements}) == 1
    assert world.group.acknowledged == ["r2", "r4"]


async def test_a_transaction_that_loses_its_primary_is_aborted_and_keeps_nothing():
    world = proxy_world.World()
    caller = world.open_session(OWN)
    await world.run(caller, requests.Begin(read_only=False))
    await world.run(caller, proxy_world.WRITE)
    world.group.promote(ids.ServerId("server-b"))
    answer = await world.run(caller, proxy_world.WRITE)
    assert answer.refusal in (requests.Refusal.READ_ONLY, requests.Refusal.ABORTED)
    assert answer.state is FAILED
    assert (await world.run(caller, proxy_world.READ)).refusal is requests.Refusal.MALFORMED
    assert (await world.run(caller, requests.Rollback())).state is IDLE
    assert world.group.acknowledged == []


async def test_a_transaction_whose_first_statement_meets_a_former_primary_starts_over():
    world = proxy_world.World()
    caller = world.open_session(OWN)
    await world.run(caller, requests.Begin(read_only=False))
    world.group.promote(ids.ServerId("server-b"))
    writing = asyncio.create_task(world.run(caller, proxy_world.WRITE))
    await asyncio.sleep(0.05)
    world.list_servers()
    assert (await writing).succeeded
    assert (await world.run(caller, requests.Commit())).succeeded
    assert world.group.acknowledged == ["r2"]


async def test_a_commit_without_an_answer_has_an_unknown_outcome():
    world = proxy_world.World(statement_timeout_s=0.3)
    caller = world.open_session(OWN)
    await world.run(caller, requests.Begin(read_only=False))
    await world.run(caller, proxy_world.WRITE)
    for name in ("server-b", "server-c"):
        world.group.servers[ids.ServerId(name)].not_receiving = True
    committed = await world.run(caller, requests.Commit())
    assert committed.refusal is requests.Refusal.OUTCOME_UNKNOWN
    assert committed.state is IDLE


@pytest.mark.parametrize("statement", [proxy_world.WRITE, requests.Commit()])
async def test_a_transaction_aborted_while_its_statement_runs_ends_after_the_answer(statement):
    """Reproduces review/5: a stopping instance went on with such transactions and cut statements
    that they sent seconds later.
    """
    world = proxy_world.World()
    caller = world.open_session(PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    world.group.primary.answer_delay_s = 0.1
    running = asyncio.create_task(world.run(caller, proxy_world.WRITE))
    await asyncio.sleep(0.05)
    caller.abort_transaction()
    assert (await running).succeeded
    assert (await world.run(caller, statement)).refusal is requests.Refusal.ABORTED
    await world.run(caller, requests.Rollback())
    await world.settle()
    assert world.group.acknowledged == [] and len(world.group.statements) == 1


async def test_a_statement_given_up_before_it_was_sent_was_not_run():
    world = proxy_world.World()
    world.service.leadership.forget(world.group.primary.name)
    caller = world.open_session(PRIMARY)
    running = asyncio.create_task(world.run(caller, proxy_world.WRITE))
    await asyncio.sleep(0.05)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    assert caller.give_up("the instance stops").refusal is requests.Refusal.OVERLOADED
    assert world.group.statements == []


async def test_a_write_waits_until_the_server_being_promoted_leads():
    world = proxy_world.World()
    successor = list(world.group.servers)[1]
    world.directory.note_recorded_promotion(database_group.SERVICE, successor)
    caller = world.open_session(PRIMARY)
    writing = asyncio.create_task(world.run(caller, proxy_world.WRITE))
    assert (await world.run(world.open_session(PRIMARY), proxy_world.READ)).succeeded
    await asyncio.sleep(0.1)
    assert world.group.acknowledged == []
    world.group.promote(successor)
    world.list_servers()
    assert (await writing).succeeded
    assert world.group.statements[-1].server == successor


async def test_a_write_goes_on_when_a_recorded_promotion_is_settled_without_effect():
    world = proxy_world.World()
    primary, successor = list(world.group.servers)[:2]
    world.directory.note_recorded_promotion(database_group.SERVICE, successor)
    writing = asyncio.create_task(world.run(world.open_session(PRIMARY), proxy_world.WRITE))
    await asyncio.sleep(0.1)
    world.directory.note_recorded_promotion(database_group.SERVICE, None)
    assert (await writing).succeeded
    assert world.group.statements[-1].server == primary


async def test_a_transaction_that_wrote_is_aborted_at_its_commit_while_the_primary_is_replaced():
    world = proxy_world.World()
    caller, reader = world.open_session(PRIMARY), world.open_session(PRIMARY)
    for session, statement in ((caller, proxy_world.WRITE), (reader, proxy_world.READ)):
        await world.run(session, requests.Begin(read_only=False))
        assert (await world.run(session, statement)).succeeded
    successor = list(world.group.servers)[1]
    world.directory.note_recorded_promotion(database_group.SERVICE, successor)
    assert (await world.run(caller, requests.Commit())).refusal is requests.Refusal.ABORTED
    assert (await world.run(reader, requests.Commit())).succeeded
    await world.settle()
    assert world.group.acknowledged == []


async def test_an_idle_transaction_returns_its_connection():
    world = proxy_world.World()
    caller = world.open_session(PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    await world.run(caller, proxy_world.WRITE)
    await asyncio.sleep(0.4)
    assert caller.transaction_state is FAILED
    await world.settle()
    assert world.service.servers[ids.ServerId("server-a")].pool.busy == 0


async def test_prepared_names_of_callers_do_not_collide():
    world = proxy_world.World()
    first, second = world.open_session(PRIMARY), world.open_session(PRIMARY)
    name = ids.StatementName("s1")
    reading = requests.Shape(access=requests.Access.READ, text="q1")
    writing = requests.Shape(access=requests.Access.WRITE, text="q2")
    await world.run(first, requests.Prepare(name=name, shape=reading))
    await world.run(second, requests.Prepare(name=name, shape=writing))
    await world.run(second, requests.Execute(name=name, arguments="item data"))
    await world.run(first, requests.Execute(name=name, arguments="item"))
    assert world.group.acknowledged == ["r3"]


async def test_values_of_one_session_are_not_in_force_for_another():
    world = proxy_world.World()
    first, second = world.open_session(PRIMARY), world.open_session(PRIMARY)
    await world.run(first, requests.SetValue(name="mode", value="1"))
    await world.run(first, proxy_world.WRITE)
    assert world.group.statements[-1].link.values == {"mode": "1"}
    await world.run(second, proxy_world.WRITE)
    assert world.group.statements[-1].link.values == {}


async def test_a_dropped_database_is_refused_from_the_next_statement_on():
    world = proxy_world.World()
    caller = world.open_session(PRIMARY)
    await world.run(caller, proxy_world.WRITE)
    newer = proxy_world.configuration(version=2)
    world.directory.configure(
        type(newer)(version=2, routes={}, services=newer.services, transaction_idle_s=1.0)
    )
    answer = await world.run(caller, proxy_world.WRITE)
    assert answer.refusal is requests.Refusal.UNKNOWN_DATABASE
    assert len(world.group.executed) == 1


async def test_a_transaction_commits_where_it_ran_though_its_route_changed():
    world = proxy_world.World()
    caller = world.open_session(PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    await world.run(caller, proxy_world.WRITE)
    archive = ids.ServiceName("archive")
    newer = proxy_world.configuration(version=2, service=archive)
    limits = routes.ServiceLimits(service=archive, max_connections=40, synchronous_replicas=1)
    world.directory.configure(
        dataclasses.replace(newer, services={**newer.services, archive: limits})
    )
    assert (await world.run(caller, requests.Commit())).succeeded
    assert world.group.acknowledged == ["r2"]


async def test_an_older_configuration_does_not_come_back():
    world = proxy_world.World()
    world.directory.configure(proxy_world.configuration(version=5))
    world.directory.configure(proxy_world.configuration(version=3, statement_timeout_s=9.0))
    assert world.directory.configuration.version == 5


async def test_a_leaving_replica_gets_no_reads():
    world = proxy_world.World(zone="b")
    world.group.servers[ids.ServerId("server-b")].leaving = True
    world.list_servers()
    for _ in range(5):
        assert (await world.run(world.open_session(BOUNDED), proxy_world.READ)).succeeded
    assert all(statement.server != "server-b" for statement in world.group.statements)


async def test_a_server_restarted_under_its_id_is_treated_as_a_new_one():
    world = proxy_world.World()
    before = world.service.servers[ids.ServerId("server-b")]
    entries = {entry.server: entry for entry in world.group.entries()}
    reborn = entries[ids.ServerId("server-b")]
    fields = {name: getattr(reborn, name) for name in reborn.__dataclass_fields__}
    world.directory.servers.put(reborn.server, type(reborn)(**{**fields, "started_ms": 2}))
    world.directory.refresh()
    assert world.service.servers[ids.ServerId("server-b")] is not before
    assert before.pool.closed


async def test_a_replica_that_does_not_answer_is_skipped_within_the_answer_timeout():
    world = proxy_world.World(zone="b")
    caller = world.open_session(BOUNDED)
    assert (await world.run(caller, proxy_world.READ)).succeeded
    world.group.servers[ids.ServerId("server-b")].silent = True
    started_s = clock.now_s()
    answer = await world.run(caller, proxy_world.READ)
    assert answer.succeeded
    assert clock.now_s() - started_s < 0.9


@pytest.mark.parametrize("kind", list(requests.RouteKind))
async def test_every_kind_of_route_reads_after_a_promotion(kind):
    world = proxy_world.World(zone="c")
    caller = world.open_session(kind)
    await world.run(world.open_session(PRIMARY), proxy_world.WRITE)
    world.group.promote(ids.ServerId("server-b"))
    world.list_servers()
    assert world.group.servers[ids.ServerId("server-b")].role is promotion.Role.PRIMARY
    assert (await world.run(caller, proxy_world.READ)).rows == ("1",)


async def test_group_stand_in_loses_commits_when_a_replica_without_them_is_promoted():
    group = database_group.Group()
    group.servers[ids.ServerId("server-c")].not_receiving = True
    group.commit(group.primary, "x")
    group.promote(ids.ServerId("server-c"))
    assert group.lost == ["x"]


@pytest.mark.parametrize("statement", [requests.Commit(), proxy_world.READ])
async def test_a_transaction_that_failed_while_idle_never_seems_to_succeed(statement):
    """Guards against a commit that succeeds after the transaction was rolled back.

    An instance that was stopping had rolled back an idle transaction, and answered its commit as a
    success (run Solarloaf trouble-2, seed 676297774166).
    """
    world = proxy_world.World()
    caller = world.open_session(PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    await world.run(caller, proxy_world.WRITE)
    caller.transaction.fail()
    answer = await world.run(caller, statement)
    assert answer.refusal is requests.Refusal.ABORTED
    if isinstance(statement, requests.Commit):
        assert answer.state is IDLE
        assert caller.transaction is None
    else:
        assert answer.state is FAILED
        assert (await world.run(caller, requests.Commit())).state is IDLE
    assert world.group.acknowledged == []
