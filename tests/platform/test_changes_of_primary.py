"""Changes of primary by real processes, while servers start and requests are executed late."""

import asyncio

import pytest

from mustardswitch import tasks
from mustardswitch.internal import ids, promotion
from mustardswitch_standins import platform_deployment

PROMOTION_DELAY_S = 0.9
"""Time from a promotion request until its server leads."""
TAKEOVER_STARTED = '"event": 515'
"""Part of the line that an instance logs as it begins to change a primary."""


class Changes:
    """Two instances, callers that write all the time, and promotions that take effect later."""

    def __init__(self, deployment: platform_deployment.Deployment) -> None:
        self.deployment = deployment
        self.group = deployment.group
        self.promotion_delay_s = PROMOTION_DELAY_S
        self.requested: asyncio.Future[ids.ServerId] = asyncio.Future()
        self.instances: list[platform_deployment.Instance] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.written = 0

    async def start(self) -> None:
        """Start everything; each promotion request is accepted and takes effect later."""
        self.deployment.store.promote = self._promote
        self.instances = [await self.deployment.start_instance(name) for name in ("one", "two")]
        self.tasks.append(asyncio.create_task(self._keep_listed()))
        self.add_writers(2)
        while self.written < 20:
            await asyncio.sleep(0.02)

    def add_writers(self, count: int) -> None:
        """Start callers that write all the time, ``count`` on each instance."""
        for instance in self.instances:
            for _ in range(count):
                self.tasks.append(asyncio.create_task(self._write(instance)))

    async def stop_writers(self) -> None:
        """Stop the callers; servers are still listed."""
        await tasks.cancel_and_wait(self.tasks[1:])

    async def stop(self) -> None:
        """Stop the callers, and list no servers any more."""
        await tasks.cancel_and_wait(self.tasks)

    def _promote(self, service: str, server: str, token: int) -> bool:
        """Accept a request; one for the present primary changes nothing."""
        del service, token
        if self.group.primary is not None and server == self.group.primary.name:
            return True
        if not self.requested.done():
            self.requested.set_result(ids.ServerId(server))
        asyncio.get_running_loop().call_later(self.promotion_delay_s, self.group.promote, server)
        return True

    async def _keep_listed(self) -> None:
        while True:
            self.deployment.databases.list_servers(self.deployment.store)
            await asyncio.sleep(0.1)

    async def _write(self, instance: platform_deployment.Instance) -> None:
        while True:
            caller = await instance.session("db-primary")
            answer = ["READY I -"]
            try:
                while answer[-1].startswith("READY I"):
                    answer = await caller.query("WRITE item x")
                    self.written += 1
                    await asyncio.sleep(0.01)
            finally:
                caller.writer.close()

    async def wait_for_primary(self, name: ids.ServerId) -> None:
        """Wait until a server leads and has taken writes."""
        async with asyncio.timeout(10.0):
            while self.group.servers[name].role is not promotion.Role.PRIMARY:
                await asyncio.sleep(0.02)
        written = self.written
        async with asyncio.timeout(10.0):
            while self.written < written + 20:
                await asyncio.sleep(0.02)


@pytest.fixture
async def changes(tmp_path):
    deployment = platform_deployment.Deployment(tmp_path)
    await deployment.start()
    started = Changes(deployment)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()
        await deployment.stop()


@pytest.mark.parametrize("starts_after_s", [0.0, 0.3, PROMOTION_DELAY_S - 0.02])
async def test_a_server_that_starts_during_a_change_of_primary_loses_no_commit(
    changes, starts_after_s
):
    """Reproduces the lost commits of Qafaz grown: a replica that started while its service's
    primary was handed over confirmed commits that the successor had not received.
    """
    changes.group.primary.leaving = True
    successor = await changes.requested
    await asyncio.sleep(starts_after_s)
    await changes.deployment.databases.start_server(changes.group.start_server(zone="d"))
    await asyncio.sleep(max(0.0, 0.25 - starts_after_s))
    changes.group.servers[successor].not_receiving = True
    await changes.wait_for_primary(successor)
    assert changes.group.lost == []


async def test_commits_confirmed_only_by_a_server_that_is_not_listed_survive_a_handover(changes):
    """Commits were still made after the successor was compared with the primary, and confirmed by a
    replica that had started and was not listed yet. The successor leads with what it had received
    when its promotion was requested.
    """
    changes.add_writers(6)
    await asyncio.sleep(0.3)
    changes.group.start_server(zone="d")
    changes.group.primary.leaving = True
    successor = await changes.requested
    changes.group.servers[successor].not_receiving = True
    await changes.wait_for_primary(successor)
    assert changes.group.lost == []


async def test_an_instance_that_stops_completes_the_change_of_primary_that_it_has_begun(changes):
    """Statements reached a leaving primary later than allowed: its hand-over was abandoned at a
    planned stop as soon as the callers had gone, and the next holder of the claim began anew.
    """
    changes.promotion_delay_s = 2.0
    await changes.stop_writers()
    changes.group.primary.leaving = True
    successor = await changes.requested
    began = [each for each in changes.instances if TAKEOVER_STARTED in each.log.read_text()]
    assert len(began) == 1
    began[0].process.terminate()
    await began[0].process.wait()
    assert changes.group.servers[successor].role is promotion.Role.PRIMARY
    started = [each.log.read_text().count(TAKEOVER_STARTED) for each in changes.instances]
    assert sum(started) == 1
    assert changes.group.lost == []
