"""``mustardctl give-up-commits`` and the records of a wait and of a decision in the store."""

import asyncio
import dataclasses

import pytest
import typer.testing

from mustardswitch import tasks
from mustardswitch.internal import ids, positions, promotion
from mustardswitch.programs import mustardctl
from mustardswitch.proxy import (
    change_waits,
    fleet_records,
    ports,
    service_claims,
    takeover,
    wait_records,
)
from mustardswitch_standins import database_group, platform_deployment
from tests.common import store_world

SERVICE = ids.ServiceName("huvo11a")
A, B, C = (ids.ServerId(f"i-{name}") for name in "abc")
RUNNER = typer.testing.CliRunner()
WAIT_KEY = f"{fleet_records.WAITS}{SERVICE}"
DECISION_KEY = f"{fleet_records.GIVEN_UP}{SERVICE}"


@pytest.fixture
async def world():
    started = store_world.StoreWorld()
    await started.start()
    started.allow_claims(started.directory)
    yield started
    await started.stop()


async def _mustardctl(world: store_world.StoreWorld, *options: str, said: str = ""):
    """Run the command against the store of a world; returns its exit code and what it printed."""
    arguments = ["give-up-commits", SERVICE, "--store", f"127.0.0.1:{world.port}", "--as", "kim"]
    result = await asyncio.to_thread(
        RUNNER.invoke, mustardctl.app, [*arguments, *options], input=said
    )
    return result.exit_code, result.output


async def _wait(world: store_world.StoreWorld, **changes: object) -> ports.Claim:
    """Claim the service and record a wait."""
    claim = await world.coordination.claim(SERVICE)
    wait = wait_records.Wait(
        change=claim.fencing_token,
        era=world.client.era,
        since_ms=0,
        former=A,
        state=promotion.FormerPrimary.GONE,
        missing=frozenset({B, C}),
        ended=frozenset({C}),
        above=positions.Position(term=ids.Term(2), offset=ids.Offset(252)),
        unreached=True,
    )
    await world.coordination.record_wait(claim, dataclasses.replace(wait, **changes))
    return claim


async def test_a_decision_is_recorded_for_the_change_that_waits(world):
    claim = await _wait(world)
    status, printed = await _mustardctl(world, "--missing", C, "--acknowledged", "--yes")
    assert status == 0, printed
    assert f"server {C} (no process listens); commits that only it has are LOST" in printed
    assert f"still waited for: server {B} (no answer)" in printed
    assert "above 2:252, are LOST" in printed
    decision = await world.coordination.given_up(SERVICE)
    assert decision.is_for(await world.coordination.recorded_wait(SERVICE))
    assert (decision.change, decision.missing) == (claim.fencing_token, {C})
    assert (decision.acknowledged, decision.operator) == (True, "kim")


@pytest.mark.parametrize("said, status, recorded", [("y\n", 0, True), ("n\n", 1, False)])
async def test_an_operator_is_asked_first(world, said, status, recorded):
    await _wait(world)
    given, printed = await _mustardctl(world, "--missing", C, said=said)
    assert given == status and "Lose these commits?" in printed
    assert (DECISION_KEY in world.store.keys) is recorded


@pytest.mark.parametrize(
    "options, reason",
    [
        ((), "name what is given up"),
        (("--missing", A), f"does not wait for {A}"),
        (("--missing", "i-unknown"), "does not wait for i-unknown"),
    ],
)
async def test_only_what_is_waited_for_can_be_given_up(world, options, reason):
    await _wait(world)
    status, printed = await _mustardctl(world, *options, "--yes")
    assert status == 2 and reason in printed
    assert DECISION_KEY not in world.store.keys


async def test_no_acknowledged_commit_is_given_up_that_a_server_in_reach_has(world):
    await _wait(world, unreached=False)
    status, _ = await _mustardctl(world, "--acknowledged", "--yes")
    assert status == 2 and DECISION_KEY not in world.store.keys


async def test_nothing_is_given_up_without_a_change_that_waits(world):
    status, printed = await _mustardctl(world, "--missing", C, "--yes")
    assert status == 2 and "nothing is given up" in printed
    await _wait(world, missing=frozenset(), ended=frozenset(), unreached=False)
    status, printed = await _mustardctl(world, "--missing", C, "--yes")
    assert status == 2 and "nothing is given up" in printed
    assert DECISION_KEY not in world.store.keys


async def test_a_store_that_gives_no_answer_ends_with_exit_code_4(world):
    await _wait(world)
    world.store.down = True
    status, printed = await _mustardctl(world, "--missing", C, "--yes")
    assert status == 4 and "gave no answer" in printed


async def test_the_end_of_a_change_removes_the_records_of_its_wait(world):
    claim = await _wait(world)
    assert (await _mustardctl(world, "--missing", C, "--yes"))[0] == 0
    await world.coordination.release(claim, complete=True)
    assert not {WAIT_KEY, DECISION_KEY} & world.store.keys.keys()


async def test_a_wait_outlasts_an_attempt_that_changed_nothing(world):
    claim = await _wait(world)
    assert (await _mustardctl(world, "--missing", C, "--yes"))[0] == 0
    await world.coordination.release(claim)
    assert {WAIT_KEY, DECISION_KEY} <= world.store.keys.keys()


async def test_a_wait_outlasts_the_claim_of_an_attempt_for_a_time(world):
    claim = await _wait(world)
    lease = world.store.keys[WAIT_KEY].lease
    assert lease != claim.lease
    assert world.store.leases[lease][0] == service_claims.WAIT_TTL_S > takeover.RENEWAL_LIMIT_S


async def test_records_of_before_a_restore_of_the_store_do_not_count(world):
    await _wait(world)
    assert (await _mustardctl(world, "--missing", C, "--yes"))[0] == 0
    world.store.restore(world.store.copy())
    await world.follow()
    assert await world.coordination.recorded_wait(SERVICE) is None
    assert await world.coordination.given_up(SERVICE) is None
    status, printed = await _mustardctl(world, "--missing", C, "--yes")
    assert status == 2 and "nothing is given up" in printed


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"change": "1"}', b"\xff", b"[" * 20_000])
async def test_records_that_cannot_be_decoded_give_up_nothing(world, value):
    world.store.put(WAIT_KEY, value)
    world.store.put(DECISION_KEY, value)
    assert await world.coordination.recorded_wait(SERVICE) is None
    assert await world.coordination.given_up(SERVICE) is None
    assert (await _mustardctl(world, "--missing", C, "--yes"))[0] == 2


async def test_the_gauges_of_a_wait_end_when_another_instance_holds_the_claim(world):
    registry = world.directory.registry
    registry.set_gauge(change_waits.WAITED_GAUGE, 5.0, SERVICE)
    world.store.put(f"{fleet_records.CLAIMS}{SERVICE}", b"two 1")
    await world.follow()
    assert change_waits.WAITED_GAUGE not in registry.render()


# A whole change


@pytest.fixture
async def deployment(tmp_path):
    started = platform_deployment.Deployment(tmp_path)
    await started.start()
    yield started
    await started.stop()


async def _keep_listed(deployment: platform_deployment.Deployment) -> None:
    while True:
        deployment.databases.list_servers(deployment.store)
        await asyncio.sleep(0.1)


def _waited_s(deployment: platform_deployment.Deployment, key: str) -> float:
    """Return for how long a change has waited; 0 if it does not wait."""
    found = deployment.store.keys.get(key)
    return 0.0 if found is None else wait_records.decode_wait(found.value).waited_s


async def test_an_operator_lets_a_change_go_on_without_a_server_that_is_lost(deployment):
    instance = await deployment.start_instance("one")
    listing = asyncio.create_task(_keep_listed(deployment))
    group, service = deployment.group, database_group.SERVICE
    first, behind, confirming = (ids.ServerId(f"server-{name}") for name in "abc")
    records = [f"{prefix}{service}" for prefix in (fleet_records.WAITS, fleet_records.GIVEN_UP)]
    store = ("--store", f"127.0.0.1:{deployment.store_port}")
    try:
        caller = await instance.session("db-primary")
        for _ in range(2):
            answer = await caller.query("WRITE item x")
            assert any(line.startswith("COMPLETE") for line in answer), answer
            group.servers[behind].not_receiving = True
        for name in (confirming, first):
            deployment.databases.end(group.servers[name], says_so=False)
        await store_world.wait_until(
            lambda: _waited_s(deployment, records[0]) > takeover.RENEWAL_LIMIT_S, within_s=60.0
        )
        assert group.servers[behind].role is promotion.Role.REPLICA
        given = ["give-up-commits", service, *store, "--missing", confirming, "--acknowledged"]
        result = await asyncio.to_thread(RUNNER.invoke, mustardctl.app, [*given, "--yes"])
        assert result.exit_code == 0, result.output
        await store_world.wait_until(
            lambda: group.servers[behind].role is promotion.Role.PRIMARY, within_s=30.0
        )
        await store_world.wait_until(
            lambda: not set(records) & deployment.store.keys.keys(), within_s=10.0
        )
        assert '"event": 536, "message": "commits lost, given up"' in instance.log.read_text()
    finally:
        await tasks.cancel_and_wait([listing])
