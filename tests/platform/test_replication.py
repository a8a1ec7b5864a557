"""The stand-in databases with asynchronous replication, and their registration."""

import asyncio

import pytest

from mustardswitch.internal import ids, promotion
from mustardswitch.proxy import ports, requests
from mustardswitch_standins import (
    database_group,
    http_store,
    line_protocol_databases,
    promotion_calls,
    replication,
)

A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
NEAR_S, FAR_S = 0.01, 0.1
ALL_RECEIVED_S = 0.3


@pytest.fixture
def group():
    """A group with the primary in zone a, near to b and far from c."""
    return replication.ReplicatedGroup(
        link_delay_s=lambda first, second: FAR_S if "c" in (first, second) else NEAR_S
    )


async def _write(group: database_group.Group, data: str) -> bool:
    return await group.confirm(group.primary, [data], 1.0)


def _data(server: database_group.FakeServer) -> list[str]:
    return [entry.data for entry in server.log]


async def test_a_commit_is_acknowledged_by_the_first_replica_and_received_later_by_others(group):
    assert await _write(group, "x")
    assert group.acknowledged == ["x"]
    assert _data(group.servers[B]) == ["x"] and _data(group.servers[C]) == []
    await asyncio.sleep(ALL_RECEIVED_S)
    assert _data(group.servers[C]) == ["x"]


async def test_a_commit_that_no_replica_receives_is_not_acknowledged(group):
    group.servers[B].paused_term = group.servers[C].paused_term = 7
    assert not await group.confirm(group.primary, ["x"], 0.3)
    assert group.acknowledged == []


async def test_a_promotion_leads_with_what_was_received_as_its_request_was_accepted(group):
    await _write(group, "x")
    await asyncio.sleep(ALL_RECEIVED_S)
    assert group.request_promotion(C, delay_s=ALL_RECEIVED_S)
    await _write(group, "y")
    await asyncio.sleep(2 * ALL_RECEIVED_S)
    assert group.primary.name == C and group.term == 2
    assert _data(group.servers[C]) == _data(group.servers[A]) == ["x"]
    assert group.lost == ["y"] and group.holders_of_lost == {
        "y": [f"{A} (never listed)", f"{B} (never listed)"]
    }
    assert await _write(group, "z")


async def test_a_server_confirms_until_its_promotion_and_leads_with_what_it_had_before(group):
    group.servers[C].paused_term = 2
    assert group.request_promotion(B, delay_s=0.2)
    assert await _write(group, "x")
    assert _data(group.servers[B]) == ["x"]
    await asyncio.sleep(0.3)
    assert group.primary.name == B and _data(group.servers[B]) == []
    assert group.lost == ["x"] and group.holders_of_lost == {"x": [f"{A} (never listed)"]}


async def test_a_server_that_has_led_since_its_promotion_was_requested_keeps_its_commits(group):
    assert group.request_promotion(B, delay_s=0.3)
    assert group.request_promotion(B, delay_s=0.05)
    await asyncio.sleep(0.1)
    assert await _write(group, "x")
    group.step_down(group.servers[B], 3)
    await asyncio.sleep(0.3)
    assert group.primary.name == B and group.term == 3
    assert _data(group.servers[B]) == ["x"] and group.lost == []


async def test_a_promotion_of_the_present_primary_changes_nothing_while_it_leads(group):
    assert group.request_promotion(A, delay_s=0.05)
    await asyncio.sleep(0.1)
    assert group.primary is group.servers[A] and group.term == 1


async def test_a_primary_that_steps_down_before_its_promotion_takes_effect_leads_again(group):
    assert group.request_promotion(A, delay_s=0.05)
    group.step_down(group.servers[A], 2)
    group.servers[B].paused_term = 2
    await asyncio.sleep(0.1)
    assert group.primary is group.servers[A] and group.term == 2
    assert not group.servers[B].paused_term


@pytest.mark.parametrize("steps_down", [True, False])
async def test_the_promotion_call_in_memory_lets_a_primary_that_steps_down_lead_again(steps_down):
    group = database_group.Group()
    promoter = promotion_calls.FakePromoter(group=group)
    promoter.effect_delay_s = 0.05
    outcome = await promoter.promote(service=database_group.SERVICE, server=A, fencing_token=1)
    assert outcome is ports.PromotionOutcome.ACCEPTED
    if steps_down:
        group.step_down(group.servers[A], 2)
    await asyncio.sleep(0.1)
    assert group.primary is group.servers[A] and group.term == (2 if steps_down else 1)


async def test_a_commit_that_only_a_primary_had_is_acknowledged_when_it_leads_again(group):
    for name in (B, C):
        group.servers[name].paused_term = 2
    assert not await group.confirm(group.primary, ["x"], 0.05)
    group.step_down(group.servers[A], 2)
    assert group.request_promotion(A, delay_s=0.05)
    await asyncio.sleep(0.1 + ALL_RECEIVED_S)
    assert group.term == 2 and group.acknowledged == ["x"]


async def test_a_primary_that_stepped_down_delivers_what_it_had_sent(group):
    writing = asyncio.create_task(_write(group, "x"))
    await asyncio.sleep(0)
    group.step_down(group.servers[A], 2)
    assert await writing
    await asyncio.sleep(ALL_RECEIVED_S)
    assert group.primary is None and _data(group.servers[C]) == ["x"]


STATEMENT_S = 0.1
WRITE = requests.Plain(access=requests.Access.WRITE, arguments="item data")


async def _open_link(group: database_group.Group) -> database_group.FakeLink:
    entry = next(entry for entry in group.entries() if entry.server == A)
    return await group.open_link(entry)


async def _run_as_the_primary_steps_down(
    group: database_group.Group, command: ports.Command, link: database_group.FakeLink
) -> asyncio.Task[requests.Answer]:
    """Let a command run at server A for ``STATEMENT_S``, at half of which A steps down."""
    group.servers[A].answer_delay_s = STATEMENT_S
    link.send(command, ids.RequestId("x"))
    running = asyncio.create_task(link.receive(1.0))
    await asyncio.sleep(STATEMENT_S / 2)
    group.step_down(group.servers[A], 2)
    return running


@pytest.mark.parametrize("completes", [True, False])
@pytest.mark.parametrize("base", [True, False], ids=["at once", "replicated"])
async def test_a_write_that_runs_as_a_primary_steps_down_gets_the_next_number_if_it_completes(
    group, completes, base
):
    group = database_group.Group() if base else group
    group.completes_running = completes
    assert await _write(group, "w")
    link = await _open_link(group)
    answer = await (await _run_as_the_primary_steps_down(group, WRITE, link))
    assert group.servers[A].role is promotion.Role.REPLICA
    assert answer.succeeded is completes
    assert answer.refusal is (None if completes else requests.Refusal.READ_ONLY)
    written = ["w", "x"] if completes else ["w"]
    assert _data(group.servers[A]) == _data(group.servers[B]) == group.acknowledged == written


@pytest.mark.parametrize("completes", [True, False])
async def test_a_commit_that_runs_as_a_primary_steps_down_may_complete(group, completes):
    group.completes_running = completes
    link = await _open_link(group)
    for command in (ports.BeginAt(read_only=False), WRITE):
        link.send(command, ids.RequestId("x"))
        assert (await link.receive(1.0)).succeeded
    answer = await (await _run_as_the_primary_steps_down(group, requests.Commit(), link))
    assert answer.succeeded is completes
    assert group.acknowledged == (["x"] if completes else [])


async def test_a_write_that_begins_at_a_stopped_primary_does_not_run(group):
    group.completes_running = True
    group.step_down(group.servers[A], 2)
    link = await _open_link(group)
    link.send(WRITE, ids.RequestId("x"))
    assert (await link.receive(1.0)).refusal is requests.Refusal.READ_ONLY
    assert _data(group.servers[A]) == []


async def test_a_write_that_still_runs_as_another_server_leads_does_not_complete(group):
    group.completes_running = True
    link = await _open_link(group)
    running = await _run_as_the_primary_steps_down(group, WRITE, link)
    group.promote(B)
    assert (await running).refusal is requests.Refusal.READ_ONLY
    assert _data(group.servers[A]) == []


async def test_no_server_confirms_a_commit_after_another_leads(group):
    group.servers[B].paused_term = 7
    writing = asyncio.create_task(group.confirm(group.primary, ["x"], 0.3))
    await asyncio.sleep(0)
    group.promote(B)
    assert not await writing and group.lost == []


async def test_a_server_confirms_commits_before_it_is_listed(group):
    databases = line_protocol_databases.LineProtocolDatabases(group=group)
    store = http_store.HttpStore(promote=lambda *call: False)
    await databases.start()
    group.servers[B].not_receiving = group.servers[C].not_receiving = True
    started = group.start_replacement(group.servers[A], listed_after_s=0.2)
    await databases.start_server(started)
    assert await _write(group, "x") and _data(started) == ["x"]
    databases.list_servers(store)
    assert f"servers/{B}" in store.keys and f"servers/{started.name}" not in store.keys
    await asyncio.sleep(0.2)
    databases.list_servers(store)
    assert f"servers/{started.name}" in store.keys
    databases.close()


async def test_a_server_registers_again_when_it_changes_and_after_a_heartbeat(group):
    databases = line_protocol_databases.LineProtocolDatabases(group=group)
    databases.heartbeat_s = 0.2
    store = http_store.HttpStore(promote=lambda *call: False)
    await databases.start()
    databases.list_servers(store)
    revision = store.revision
    databases.list_servers(store)
    assert store.revision == revision
    group.servers[B].leaving = True
    databases.list_servers(store)
    assert store.revision == revision + 1
    await asyncio.sleep(0.2)
    databases.list_servers(store)
    assert store.revision == revision + 4
    databases.close()


@pytest.mark.parametrize("says_so", [True, False])
async def test_the_entry_of_a_server_that_says_nothing_expires_later(group, says_so):
    databases = line_protocol_databases.LineProtocolDatabases(group=group)
    databases.entry_expiry_s = 0.2
    store = http_store.HttpStore(promote=lambda *call: False)
    await databases.start()
    databases.list_servers(store)
    databases.end(group.servers[C], says_so=says_so)
    databases.list_servers(store)
    assert (f"servers/{C}" in store.keys) is not says_so
    await asyncio.sleep(0.2)
    databases.list_servers(store)
    assert f"servers/{C}" not in store.keys
    databases.close()


async def test_a_server_that_starts_again_without_a_log_receives_all_of_it(group):
    await _write(group, "x")
    born_ms = group.servers[B].born_ms
    group.restart_empty(group.servers[B])
    assert group.servers[B].log == [] and group.servers[B].born_ms > born_ms
    await asyncio.sleep(ALL_RECEIVED_S)
    assert _data(group.servers[B]) == ["x"]


async def test_a_server_that_starts_again_loses_what_was_sent_to_it_before(group):
    writing = asyncio.create_task(group.confirm(group.primary, ["x"], 0.05))
    await asyncio.sleep(0)
    group.restart(group.servers[B])
    await asyncio.sleep(1.5 * NEAR_S)
    assert _data(group.servers[B]) == []
    await writing


async def test_a_primary_that_stepped_down_and_crashed_leads_again_unless_another_does(group):
    former = group.primary
    group.step_down(former, 2)
    former.up = False
    group.restart(former, leads_again=True)
    assert group.primary is former and group.term == 1
    group.promote(B)
    former.up = False
    group.restart(former, leads_again=True)
    assert group.primary.name == B and former.role is promotion.Role.REPLICA


async def test_a_server_is_expendable_once_another_replica_holds_every_commit(group):
    for server in group.servers.values():
        server.was_listed = True
    await _write(group, "x")
    assert not group.is_expendable(group.servers[B])
    assert group.is_expendable(group.servers[A]) and group.is_expendable(group.servers[C])
    await asyncio.sleep(ALL_RECEIVED_S)
    assert group.is_expendable(group.servers[B])
