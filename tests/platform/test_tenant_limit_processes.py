"""Rate limits of tenants in instance processes, against stand-ins for store and databases."""

import asyncio
import json
import time

import pytest

from mustardswitch.internal.tenants import handover
from mustardswitch_standins import platform_deployment

RATE_PER_S, BURST = 20.0, 10.0
WINDOW_S = 5.0
ALLOWED = 1.1 * (RATE_PER_S * WINDOW_S + BURST) + 20.0


@pytest.fixture
async def deployment(tmp_path):
    started = platform_deployment.Deployment(tmp_path)
    await started.start()
    changed = json.loads(json.dumps(platform_deployment.CONFIGURATION))
    changed["version"] = 9
    changed["tenants"] = [
        {"name": "acme", "api_keys": ["tester"], "rate_per_s": RATE_PER_S, "burst": BURST}
    ]
    started.store.put("op/config", json.dumps(changed).encode())
    try:
        yield started
    finally:
        await started.stop()


class Load:
    """Callers that write as fast as they are answered, and when their writes ran."""

    def __init__(self) -> None:
        self.ran_at_s: list[float] = []
        self.refused = 0

    async def run(self, instance: platform_deployment.Instance, duration_s: float) -> None:
        """Write at an instance for some time."""
        caller = await instance.session("db-primary")
        ends_s = time.monotonic() + duration_s
        while time.monotonic() < ends_s:
            answer = await caller.query("WRITE item x")
            if answer[0].startswith("COMPLETE sig") or answer[-2].startswith("COMPLETE sig"):
                self.ran_at_s.append(time.monotonic())
            else:
                assert any("ERROR BUSY" in line for line in answer), answer
                self.refused += 1
                await asyncio.sleep(0.01)

    def most_in_window(self) -> int:
        """Return the most writes that ran in any window."""
        return max(
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in self.ran_at_s)
            for start_s in self.ran_at_s
        )


async def test_instances_share_the_limit_of_a_tenant(deployment):
    instances = [await deployment.start_instance(name) for name in ("one", "two")]
    await asyncio.sleep(3.0)
    load = Load()
    await asyncio.gather(*(load.run(each, 8.0) for each in instances for _ in range(3)))
    assert load.refused > 0
    assert RATE_PER_S * WINDOW_S <= load.most_in_window() <= ALLOWED


async def test_without_the_store_only_an_allowance_is_left_and_the_limit_is_regained(deployment):
    instance = await deployment.start_instance("one")
    await asyncio.sleep(3.0)
    deployment.store.down = True
    await asyncio.sleep(handover.LIST_MAX_AGE_S + 1.5)
    outage = Load()
    await outage.run(instance, 3.0)
    assert 0 < len(outage.ran_at_s) < RATE_PER_S
    deployment.store.down = False
    await asyncio.sleep(8.0)
    after = Load()
    await after.run(instance, 6.0)
    assert RATE_PER_S * WINDOW_S <= after.most_in_window() <= ALLOWED


async def test_a_killed_home_is_replaced(deployment):
    instances = [await deployment.start_instance(name) for name in ("one", "two")]
    await asyncio.sleep(2.0)
    load = Load()
    first = asyncio.gather(*(load.run(each, 2.0) for each in instances))
    await first
    instances[0].process.kill()
    await instances[0].process.wait()
    await load.run(instances[1], handover.WAIT_S + 16.0)
    late = [at_s for at_s in load.ran_at_s if at_s > load.ran_at_s[-1] - WINDOW_S]
    assert len(late) >= RATE_PER_S * WINDOW_S * 0.9
    assert load.most_in_window() <= ALLOWED
