"""``mustardctl explain`` against an instance process and stand-ins for store and databases."""

import asyncio
import json
import sys

import pytest

from mustardswitch.operators import explanations
from mustardswitch_standins import platform_deployment

KEY = "tester"


@pytest.fixture
async def deployment(tmp_path):
    started = platform_deployment.Deployment(tmp_path)
    await started.start()
    changed = json.loads(json.dumps(platform_deployment.CONFIGURATION))
    changed["version"] = 9
    changed["tenants"] = [{"name": "acme", "api_keys": [KEY], "rate_per_s": 20.0, "burst": 10.0}]
    started.store.put("op/config", json.dumps(changed).encode())
    try:
        yield started
    finally:
        await started.stop()


async def _mustardctl(port, *options):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "mustardswitch.programs.mustardctl",
        "explain",
        "--instance",
        f"127.0.0.1:{port}",
        *options,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, problem = await process.communicate()
    return process.returncode, output.decode(), problem.decode()


async def _wait_until_admitted(port):
    """Wait for a share of the tenant's limit, which a new instance does not have at once."""
    while True:
        found = await explanations.fetch(
            "127.0.0.1", port, database="db-primary", tenant="acme", kind="write"
        )
        if found["limit"]["admits"]:
            return
        assert "rate limit" in found["verdict"]
        await asyncio.sleep(0.1)


async def test_an_operator_asks_a_running_instance(deployment):
    instance = await deployment.start_instance("one")
    caller = await instance.session("db-primary")
    await asyncio.wait_for(_wait_until_admitted(instance.metrics), 60.0)
    answer = await caller.query("WRITE item x")
    assert any(line.startswith("COMPLETE") for line in answer), answer
    target = ("--database", "db-primary", "--tenant", "acme", "--kind", "write")
    status, output, _ = await _mustardctl(instance.metrics, *target, "--json")
    found = json.loads(output)
    assert status == 0 and KEY not in output
    assert found["servers"][0]["server"] == found["leader"]
    assert found["limit"]["rate_per_s"] == 20.0 and found["version"] == 9
    status, output, _ = await _mustardctl(instance.metrics, *target)
    assert status == 0 and f"server 1: {found['leader']}" in output

    unknown = ("--database", "db-primary", "--tenant", KEY)
    status, output, problem = await _mustardctl(instance.metrics, *unknown)
    assert status == 2 and "no such tenant" in problem and KEY not in output + problem
    status, _, problem = await _mustardctl(instance.health, *target)
    assert status == 2 and "metrics address" in problem
    assert (await instance.get("/explain?database=db-primary&tenant=acme&kind=read"))[0] == 404

    instance.process.kill()
    await instance.process.wait()
    status, _, problem = await _mustardctl(instance.metrics, *target)
    assert status == 4 and "gave no answer" in problem
