"""Changes of primary by real processes in which something goes on confirming commits."""

import asyncio

import pytest

from mustardswitch.internal import commit_permission
from tests.common import commit_runs

LISTED_LATER = pytest.mark.parametrize(
    "listed_after_s", [commit_runs.LISTED_AFTER_S, commit_runs.LISTED_LATE_S]
)


@pytest.fixture
async def run(tmp_path):
    async with commit_runs.running(tmp_path) as started:
        yield started


@LISTED_LATER
async def test_a_slow_primary_that_is_voted_out_loses_no_commit(run, listed_after_s):
    await run.start("one", "two", "three")
    former = run.group.primary
    run.turn_away("two")
    await run.start_unlisted(former, listed_after_s=listed_after_s)
    run.slow_down(former)
    await run.wait_for_another_primary(former)
    assert run.group.holders_of_lost == {}


@LISTED_LATER
async def test_a_slow_primary_that_leaves_loses_no_commit(run, listed_after_s):
    await run.start("one", "two", "three")
    former = run.group.primary
    run.turn_away("two")
    await run.start_unlisted(former, listed_after_s=listed_after_s)
    run.slow_down(former)
    former.leaving = True
    await run.wait_for_another_primary(former)
    assert run.group.holders_of_lost == {}


@LISTED_LATER
async def test_commits_that_a_stalled_primary_runs_after_they_were_given_up_are_not_lost(
    run, listed_after_s
):
    """Its instances had closed the connections of these commits and confirmed the hold."""
    await run.start("one", "two", "three")
    # Instances that have just started wait for longer.
    await asyncio.sleep(commit_permission.HOLD_LIMIT_S)
    former = run.group.primary
    await run.start_unlisted(former, listed_after_s=listed_after_s)
    former.leaving = True
    run.stall(former)
    await run.wait_for_another_primary(former)
    assert run.group.holders_of_lost == {}


async def test_entries_that_are_back_late_after_all_instances_restarted_lose_no_commit(run):
    await run.start("one", "two")
    former = run.group.primary
    lagging = next(each for each in run.group.servers.values() if each is not former)
    lagging.not_receiving = True
    await run.wait_for_writes()
    await run.lapse_entries_while_all_restart(first=lagging.name)
    await run.wait_for_writes()
    assert run.group.holders_of_lost == {}
