"""A replica that has lost its entry in the store, and goes on confirming commits."""

import asyncio

import pytest

from tests.common import commit_runs

ENTRY_EXPIRY_S = 3.6
FORGOTTEN_S = 7.0
"""Time after which a replica without an entry must still count; it runs all along."""


@pytest.fixture
async def run(tmp_path):
    async with commit_runs.running(tmp_path) as started:
        started.deployment.databases.entry_expiry_s = ENTRY_EXPIRY_S
        yield started


async def test_commits_that_only_a_replica_without_an_entry_has_outlast_restarts_and_the_primary(
    run,
):
    """The instances that choose the next primary have never seen the replica's entry."""
    await run.start("one", "two")
    primary = run.group.primary
    unlisted, listed = (each for each in run.group.servers.values() if each is not primary)
    run.lose_entry(unlisted)
    await asyncio.sleep(FORGOTTEN_S)
    await run.restart_all()
    await run.wait_for_writes()
    listed.not_receiving = True
    await run.wait_for_writes()
    run.go_dark(primary)
    assert len(unlisted.log) > len(listed.log)
    await run.wait_until_another_leads(primary)
    listed.not_receiving = False
    run.group.catch_up(listed)
    await run.wait_for_writes()
    assert run.group.holders_of_lost == {}
