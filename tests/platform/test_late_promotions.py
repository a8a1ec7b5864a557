"""Changes of primary by real processes while requests of earlier changes are executed late."""

import asyncio

import pytest

from mustardswitch import tasks
from mustardswitch.internal import ids
from mustardswitch_standins import database_group, platform_deployment, replication

EARLIER_EFFECT_S = 0.3
EFFECT_S = 0.9
"""Times from the execution of a promotion request until its server leads."""
LEADS_AGAIN_S = 10.0
WRITES = 20


class GroupWithLateRequest(replication.ReplicatedGroup):
    """A group in which a request to promote the primary is executed as soon as it has stopped.

    It belongs to the earlier change by which the primary came to lead. The platform accepts it,
    since it has seen no higher fencing token yet.
    """

    def step_down(self, server: database_group.FakeServer, term: int) -> None:
        led = self.primary
        super().step_down(server, term)
        if self.primary is not led and self.term == 1 and not server.awaited_promotions:
            self.request_promotion(server.name, EARLIER_EFFECT_S)


async def _write(instance: platform_deployment.Instance, answers: list[str]) -> None:
    while True:
        caller = await instance.session("db-primary")
        answer = ["READY I -"]
        try:
            while answer[-1].startswith("READY I"):
                answer = await caller.query("WRITE item x")
                answers.append(answer[0])
                await asyncio.sleep(0.01)
        finally:
            caller.writer.close()


async def _keep_listed(deployment: platform_deployment.Deployment) -> None:
    while True:
        deployment.databases.list_servers(deployment.store)
        await asyncio.sleep(0.05)


@pytest.fixture
async def deployment(tmp_path):
    started = platform_deployment.Deployment(
        tmp_path, group=GroupWithLateRequest(), links_to_store=True
    )
    started.databases.heartbeat_s = 1.0
    started.store.promote = lambda service, server, token: started.group.request_promotion(
        ids.ServerId(server), EFFECT_S
    )
    await started.start()
    try:
        yield started
    finally:
        await started.stop()


@pytest.mark.parametrize("turned_away", [(), ("two",)])
async def test_a_stopped_primary_that_an_earlier_request_promotes_again_loses_no_commit(
    deployment, turned_away
):
    """The store may turn an instance away, so that it does not learn of the change."""
    group, answers = deployment.group, []
    instances = [await deployment.start_instance(name) for name in ("one", "two")]
    background = [asyncio.create_task(_keep_listed(deployment))]
    background += [asyncio.create_task(_write(i, answers)) for i in instances for _ in range(6)]
    try:
        async with asyncio.timeout(LEADS_AGAIN_S):
            while len(answers) < WRITES:
                await asyncio.sleep(0.02)
        for name in turned_away:
            deployment.links.cut_both(name, platform_deployment.STORE)
        former = group.primary
        started = group.start_replacement(former, listed_after_s=4.0)
        await deployment.start_server(started)
        former.leaving = True
        async with asyncio.timeout(LEADS_AGAIN_S):
            while group.primary is None or group.term < 3 or group.primary is former:
                await asyncio.sleep(0.02)
            written = len(answers)
            while len(answers) < written + WRITES:
                await asyncio.sleep(0.02)
    finally:
        await tasks.cancel_and_wait(background)
        print("\n".join(group.events))
    assert group.holders_of_lost == {}
