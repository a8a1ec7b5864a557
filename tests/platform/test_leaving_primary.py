"""Statements of real processes at a primary that leaves, while no other server can lead."""

import asyncio
import time

import pytest

from mustardswitch import tasks
from mustardswitch.internal import ids, promotion
from mustardswitch_standins import platform_deployment

A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
DRAIN_S = 4.0
AT_ONCE_S = 0.5
"""Longest time for an answer that does not wait; the deadline of a statement is 5 s."""
PAUSE_S = 0.05


class Callers:
    """Callers that send single statements through each instance all the time."""

    def __init__(self) -> None:
        self.answers: list[tuple[float, float, list[str]]] = []
        """When each statement was sent, how long its answer took, and its lines."""

    async def run(self, instance: platform_deployment.Instance, text: str) -> None:
        """Send a statement again and again; the session ends with the instance."""
        caller = await instance.session("db-primary")
        try:
            while True:
                sent_s = time.monotonic()
                lines = await caller.query(text)
                self.answers.append((sent_s, time.monotonic() - sent_s, lines))
                await asyncio.sleep(PAUSE_S)
        finally:
            caller.writer.close()


@pytest.mark.parametrize("given", [True, False], ids=["from the settings", "by default"])
async def test_a_leaving_primary_without_a_successor_gets_no_statement_after_its_notice(
    tmp_path, given
):
    """Reproduces review/7: its possible successors were down, and all reads and writes reached it
    later than ``drain_ms`` after its announcement.
    """
    drain_s = DRAIN_S if given else 7.0
    servers = {"drain_ms": int(1000 * DRAIN_S)} if given else None
    deployment = platform_deployment.Deployment(tmp_path)
    await deployment.start()
    group, callers, running = deployment.group, Callers(), []

    async def keep_listed() -> None:
        while True:
            deployment.databases.list_servers(deployment.store)
            await asyncio.sleep(0.1)

    try:
        instances = [
            await deployment.start_instance(name, servers=servers) for name in ("one", "two")
        ]
        running.append(asyncio.create_task(keep_listed()))
        running += [
            asyncio.create_task(callers.run(instance, text))
            for instance in instances
            for text in ("READ item", "WRITE item x")
        ]
        await asyncio.sleep(1.0)
        group.servers[A].leaving = True
        deployment.databases.list_servers(deployment.store)
        accepted_s = time.monotonic()
        for name in (B, C):
            deployment.databases.crash(name)
        await asyncio.sleep(drain_s + 1.0)
        arrivals = deployment.databases.arrivals
        at_leaver = [each.at_s for each in arrivals if each.server == A]
        assert sum(accepted_s < at_s for at_s in at_leaver) > 10
        assert deployment.databases.late_arrivals(drain_s) == []
        late = [each for each in callers.answers if each[0] > accepted_s + drain_s]
        assert len(late) > 10
        for _, elapsed_s, lines in late:
            assert elapsed_s < AT_ONCE_S
            assert lines[0].startswith(f"ERROR BUSY server {A}") and "retry after" in lines[0]
        for name in (B, C):
            group.servers[name].up = True
            group.catch_up(group.servers[name])
        async with asyncio.timeout(10.0):
            while group.servers[A].role is promotion.Role.PRIMARY or group.primary is None:
                await asyncio.sleep(0.02)
            written = len(group.acknowledged)
            while len(group.acknowledged) < written + 10:
                await asyncio.sleep(0.02)
        assert group.lost == []
        assert deployment.databases.late_arrivals(drain_s) == []
    finally:
        await tasks.cancel_and_wait(running)
        await deployment.stop()
