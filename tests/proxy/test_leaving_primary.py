"""A server that leaves gets no new work after its notice, whatever becomes of its successor.

Guards against the fault of review/7: only a change of primary ended the work for a leaving primary,
so statements reached it later than the platform allows while no other server could lead.
"""

import asyncio
import dataclasses

import pytest

from mustardswitch.internal import clock, ids, leave_notices
from mustardswitch.proxy import errors, explanation, requests, statement_context
from mustardswitch_standins import database_group
from tests.common import leaving_world, proxy_world, takeovers

A, B, C = leaving_world.A, leaving_world.B, leaving_world.C
PRIMARY, BOUNDED, OWN = leaving_world.KINDS
READ, WRITE = proxy_world.READ, proxy_world.WRITE
AT_ONCE_S = 0.5
"""Longest time for an answer that does not wait; the deadline of a statement is 1 s."""
OVERLOADED = requests.Refusal.OVERLOADED
DRAIN_LEFT_S = leaving_world.DRAIN_S - leave_notices.TRANSIT_S - 1.5
"""Time after the reading of an announcement at which new work is still sent; the rest is for
changes that the store's watch may have missed, and for the test itself."""


@pytest.fixture
def world(monkeypatch):
    return leaving_world.World(monkeypatch)


async def _refused_at_once(world, caller, statement):
    """Run a statement, which must not be run; return the reason that its caller gets."""
    before = len(world.group.statements)
    started_s = clock.now_s()
    answer = await world.run(caller, statement)
    assert clock.now_s() - started_s < AT_ONCE_S
    assert answer.refusal is OVERLOADED
    assert len(world.group.statements) == before
    return answer.detail


@pytest.mark.parametrize("statement", [READ, WRITE], ids=["read", "write"])
@pytest.mark.parametrize("kind", leaving_world.KINDS, ids=lambda kind: kind.value)
async def test_a_single_statement_is_refused_at_once_after_the_notice(world, kind, statement):
    world.leave()
    world.take_down(B, C)
    world.end_new_work()
    reason = await _refused_at_once(world, world.open_session(kind), statement)
    assert "leaves" in reason and "retry after 1000 ms" in reason


@pytest.mark.parametrize("statement", [READ, WRITE], ids=["read", "write"])
async def test_a_single_statement_runs_at_the_primary_during_the_notice(world, statement):
    world.leave()
    world.take_down(B)
    world.skip(DRAIN_LEFT_S)
    world.service.end_new_work()
    assert (await world.run(world.open_session(PRIMARY), statement)).succeeded
    assert len(world.statements_at(A)) == 1


@pytest.mark.parametrize("statement", [READ, WRITE], ids=["read", "write"])
async def test_the_first_statement_of_a_transaction_is_refused_at_once_after_the_notice(
    world, statement
):
    world.leave()
    world.end_new_work()
    caller = world.open_session(PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    await _refused_at_once(world, caller, statement)


async def test_the_commit_of_a_transaction_without_statements_is_refused_after_the_notice(world):
    world.leave()
    world.end_new_work()
    caller = world.open_session(PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    await _refused_at_once(world, caller, requests.Commit())
    assert caller.transaction is None


async def test_a_transaction_that_was_begun_during_the_notice_goes_on_after_it(world):
    caller = world.open_session(PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    assert (await world.run(caller, WRITE)).succeeded
    world.leave()
    world.end_new_work()
    assert (await world.run(caller, WRITE)).succeeded
    assert (await world.run(caller, requests.Commit())).succeeded
    assert world.group.acknowledged


async def test_a_first_statement_is_not_sent_after_a_begin_that_took_until_the_end_of_the_notice(
    world, monkeypatch
):
    """The server may be chosen in time, and the connection be ready too late."""
    prepare = statement_context.StatementContext.prepare_link

    async def prepare_slowly(context, backend, link, **fields):
        answer = await prepare(context, backend, link, **fields)
        world.skip(leaving_world.DRAIN_S)
        return answer

    monkeypatch.setattr(statement_context.StatementContext, "prepare_link", prepare_slowly)
    world.leave()
    world.take_down(B, C)
    for statement in (READ, WRITE):
        world.skip(-world.skipped_s)
        caller = world.open_session(PRIMARY)
        assert (await world.run(caller, statement)).refusal is OVERLOADED
        world.skip(-world.skipped_s)
        await world.run(caller, requests.Begin(read_only=False))
        assert (await world.run(caller, statement)).refusal is OVERLOADED
    assert world.statements_at(A) == []


async def test_a_statement_that_waits_for_a_connection_is_refused_as_the_notice_ends(world):
    world.leave()
    world.take_down(B, C)
    backend = world.service.servers[A]
    backend.pool.resize(1)
    holding = world.open_session(PRIMARY)
    await world.run(holding, requests.Begin(read_only=False))
    assert (await world.run(holding, READ)).succeeded
    waiting = [
        asyncio.create_task(world.run(world.open_session(PRIMARY), statement))
        for statement in (READ, WRITE)
    ]
    while backend.pool.waiting < len(waiting):
        await asyncio.sleep(0.01)
    world.end_new_work()
    started_s = clock.now_s()
    answers = await asyncio.gather(*waiting)
    assert clock.now_s() - started_s < AT_ONCE_S
    assert {answer.refusal for answer in answers} == {OVERLOADED}
    assert len(world.statements_at(A)) == 1


@pytest.mark.parametrize("kind", [BOUNDED, OWN], ids=lambda kind: kind.value)
async def test_reads_that_a_replica_may_serve_go_on_after_the_notice(world, kind):
    world.leave()
    world.end_new_work()
    assert (await world.run(world.open_session(kind), READ)).succeeded
    assert world.statements_at(A) == []


async def test_a_read_waits_for_a_lagging_replica_after_the_notice(world):
    caller = world.open_session(OWN)
    world.group.servers[B].not_receiving = world.group.servers[C].not_receiving = False
    assert (await world.run(caller, WRITE)).succeeded
    world.group.servers[B].log.clear()
    world.group.servers[C].log.clear()
    world.leave()
    world.end_new_work()
    world.skip(-leaving_world.DRAIN_S)
    for name in (B, C):
        world.service.servers[name].missing_position = None
    world.skip(leaving_world.DRAIN_S)
    reading = asyncio.create_task(world.run(caller, READ))
    await asyncio.sleep(0.1)
    assert not reading.done()
    world.group.catch_up(world.group.servers[B])
    assert (await reading).succeeded
    assert world.statements_at(A) == [world.statements_at(A)[0]]


async def test_a_statement_waits_for_a_recorded_promotion_after_the_notice(world):
    world.leave()
    world.end_new_work()
    world.service.note_recorded_promotion(B, revision=7)
    writing = asyncio.create_task(world.run(world.open_session(PRIMARY), WRITE))
    await asyncio.sleep(0.1)
    assert not writing.done()
    world.group.promote(B)
    world.service.note_recorded_promotion(None)
    world.list_servers()
    assert (await writing).succeeded
    assert world.statements_at(A) == []


async def test_a_statement_does_not_wait_for_a_promotion_that_takes_long(world):
    world.leave()
    world.end_new_work()
    world.service.note_recorded_promotion(B, revision=7)
    world.skip(leave_notices.CHANGE_WAIT_S)
    assert "500 ms" in await _refused_at_once(world, world.open_session(PRIMARY), WRITE)


async def test_a_caller_is_told_to_wait_longer_while_no_other_server_is_listed(world):
    world.leave(A, B, C)
    world.end_new_work()
    assert "2000 ms" in await _refused_at_once(world, world.open_session(PRIMARY), WRITE)


# When the notice began


async def test_an_instance_that_reads_late_counts_from_its_records_before(world):
    """The store had accepted the announcement up to five seconds before it was read."""
    world.take_down(B, C)
    world.skip(5.0)
    world.leave()
    world.skip(DRAIN_LEFT_S - 5.0)
    assert (await world.run(world.open_session(PRIMARY), READ)).succeeded
    world.skip(1.5)
    assert (await world.run(world.open_session(PRIMARY), READ)).refusal is OVERLOADED
    assert len(world.statements_at(A)) == 1


async def test_an_instance_that_starts_during_the_notice_sends_nothing_until_it_is_told(world):
    world.group.servers[A].leaving = True
    del world.directory.services[database_group.SERVICE]
    world.directory.permission.as_of_s = float("-inf")
    world.list_servers()
    world.confirm_records()
    reading = asyncio.create_task(world.run(world.open_session(PRIMARY), READ))
    await asyncio.sleep(0.2)
    assert not reading.done() and world.statements_at(A) == []
    notices = world.service.leave_notices
    ((member, notice),) = notices.notices.items()
    assert notice.not_before_s == float("-inf")
    assert notices.recent(clock.now_s(), within_s=0.0) == [member]
    assert notices.note_told(member, clock.now_s() - 1.0)
    assert (await reading).succeeded


async def test_an_entry_that_lapses_and_is_back_does_not_begin_the_notice_anew(world):
    world.leave()
    world.take_down(B, C)
    world.skip(DRAIN_LEFT_S)
    takeovers.expire_entry(world, A)
    world.confirm_records()
    world.list_servers()
    world.skip(1.5)
    assert not world.service.accepts_new_work(world.service.servers[A])
    await _refused_at_once(world, world.open_session(PRIMARY), READ)


async def test_an_announcement_that_another_writer_has_overwritten_counts_from_before(world):
    registrations = world.directory.servers
    registrations.note_overwritten(A, clock.now_s())
    world.directory.refresh()
    for _ in range(3):
        world.skip(1.0)
        world.confirm_records()
        world.directory.refresh()
    world.leave()
    (notice,) = world.service.leave_notices.notices.values()
    assert notice.not_before_s <= clock.now_s() - 3.0


async def test_a_server_that_starts_again_under_its_id_gets_new_work(world):
    world.leave()
    world.end_new_work()
    server = world.group.servers[A]
    server.leaving, server.born_ms = False, server.born_ms + 1
    world.list_servers()
    assert (await world.run(world.open_session(PRIMARY), WRITE)).succeeded


async def test_without_the_setting_a_leaving_primary_is_left_by_a_change_only(world):
    world.directory.drain.drain_s = None
    world.leave()
    world.take_down(B)
    world.end_new_work()
    assert (await world.run(world.open_session(PRIMARY), WRITE)).succeeded


# The change of primary, and what operators see


async def test_a_handover_after_the_notice_loses_no_commit(world):
    """LOST comes before DRAIN: a leaving primary that answers is stopped, however late that is."""
    caller = world.open_session(PRIMARY)
    assert (await world.run(caller, WRITE)).succeeded
    world.leave()
    world.end_new_work()
    assert await takeovers.take_over(world)
    assert world.group.primary.name != A and world.group.lost == []
    assert (await world.run(caller, WRITE)).succeeded


async def test_an_explanation_tells_that_the_primary_gets_no_new_work(world):
    world.leave()
    world.end_new_work()
    for kind in (explanation.Kind.WRITE, explanation.Kind.TRANSACTION):
        found = explanation.explain(
            world.directory, proxy_world.DATABASES[PRIMARY], ids.TenantName(""), kind
        )
        assert found.verdict.startswith(f"refused: server {A}") and "leaves" in found.verdict
        assert any("no new work" in reason for reason in found.servers[0].reasons)


async def test_the_error_is_one_of_a_missing_leader(world):
    world.leave()
    world.end_new_work()
    with pytest.raises(errors.ServerLeavingError, match=f"server {A} of service"):
        await world.service.wait_leader(asyncio.get_running_loop().time() + 1.0)
    assert issubclass(errors.ServerLeavingError, errors.NoLeaderError)


async def test_an_odd_revision_of_an_entry_does_not_begin_the_notice_anew(world):
    world.leave()
    notice = dict(world.service.leave_notices.notices)
    entries = {each.server: each for each in world.group.entries()}
    entries[A] = dataclasses.replace(entries[A], revision=9, slots=2)
    world.skip(3.0)
    world.confirm_records()
    world.directory.servers.replace(entries, clock.now_s())
    world.directory.refresh()
    assert world.service.leave_notices.notices == notice
