"""Real instances that do not reach the store, and go on with commits when that is safe."""

import asyncio

import pytest

from tests.common import commit_runs

NAMES = ("one", "two", "three")
OUTAGE_S = 7.0
"""More than twice as long as records allow commits."""
KNOWN_S = 1.0
"""Time in which all instances read of the last one, several times as long as they usually need."""
WITHOUT_OWN_RECORDS = slice(3, 7)
"""Seconds of the outage in which the last records that the store sent allow no commits."""


@pytest.fixture
async def run(tmp_path):
    async with commit_runs.running(tmp_path) as started:
        await started.start(*NAMES)
        # One that the others have not read of yet gets no answer from them in an outage.
        await asyncio.sleep(KNOWN_S)
        yield started


async def _writes_in_outage(run, *names):
    """Return the writes that succeeded in each second of an outage that begins now."""
    started_s = asyncio.get_running_loop().time()
    await asyncio.sleep(OUTAGE_S + 0.1)
    return {name: run.writes_by_second(name, since_s=started_s) for name in names}


async def test_an_instance_that_the_store_turns_away_goes_on_serving_writes(run):
    run.turn_away("two")
    writes = await _writes_in_outage(run, "two")
    assert all(writes["two"][WITHOUT_OWN_RECORDS]), writes
    assert run.group.holders_of_lost == {}


async def test_writes_go_on_while_the_store_is_down_for_all_instances(run):
    run.deployment.store.down = True
    writes = await _writes_in_outage(run, *NAMES)
    assert all(all(counts[WITHOUT_OWN_RECORDS]) for counts in writes.values()), writes
    run.deployment.store.down = False
    await run.wait_for_writes()
    assert run.group.holders_of_lost == {}
