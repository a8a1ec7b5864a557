"""Planned changes of primary by real processes while requests wait in the primary."""

import asyncio

import pytest

from mustardswitch.internal import commit_permission
from tests.common import commit_runs


@pytest.fixture
async def run(tmp_path):
    async with commit_runs.running(tmp_path) as started:
        yield started


async def test_a_stopped_primary_does_not_lead_again_and_run_what_waited_in_it(run):
    """Its instances had closed the connections of what waited, and confirmed the hold."""
    await run.start("one", "two", "three")
    # Instances that have just started wait for longer.
    await asyncio.sleep(commit_permission.HOLD_LIMIT_S)
    former = run.group.primary
    run.hold_until_it_leads_again(former)
    await run.release(former)
    await run.wait_for_another_primary(former)
    assert run.deployment.databases.held[former.name] > 0
    assert run.group.holders_of_lost == {}
