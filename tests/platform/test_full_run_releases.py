"""The steps of full runs around the release of a primary."""

import asyncio
import json
import random
import time

import pytest

from mustardswitch_standins.full_run import (
    database_program,
    day_steps,
    days,
    figures,
    store_program,
)

SEED = 7
LATE_S = 0.3


class FakeServers:
    """Answers the promotion calls that the store passes on."""

    def __init__(self, *, leads: bool) -> None:
        self.leads = leads

    async def call(self, operation: str, **fields: object) -> dict:
        """Accept the promotion."""
        return {"accepted": True, "leads": self.leads}


async def promote(store: store_program.ForwardingStore, holder: str) -> tuple[int, dict]:
    """Call the promotion of a server of service-0."""
    headers = {"fencing-token": "5", "lease-holder": holder}
    body = json.dumps({"service": "service-0", "id": "i-1"}).encode()
    return await store._answer("/promote", {}, body, headers)


async def test_the_store_names_the_holder_that_promotes_a_present_primary():
    for leads in (False, True):
        store = store_program.ForwardingStore(databases={"service-0": FakeServers(leads=leads)})
        assert await promote(store, "instance-a-0") == (200, {})
        assert store.holders.qsize() == leads


async def test_the_store_loses_as_many_answers_to_accepted_promotions_as_asked():
    store = store_program.ForwardingStore(databases={"service-0": FakeServers(leads=True)})
    store.lose_answers = 1
    with pytest.raises(OSError, match="lost"):
        await promote(store, "instance-a-0")
    assert await promote(store, "instance-a-0") == (200, {})


async def test_a_primary_that_executes_writes_late_answers_queries_at_once(monkeypatch):
    monkeypatch.setattr(figures, "lognormal_s", lambda source, mean_s, spread=0.7: mean_s)
    size = figures.SIZES["small"]
    program = database_program.DatabaseProgram(
        service="service-0", size=size, seed=str(SEED), store_port=1
    )
    await program.databases.start()
    primary = program.group.leader
    late = asyncio.create_task(program.fault_slow(LATE_S, 5.0, executes_late=True, orders=False))
    took_s = {}
    for text in ("STATUS", "WRITE item x"):
        port = program.databases.ports[primary.name]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"STARTUP service-0 tester {primary.name}\r\n".encode())
        assert (await reader.readline()).startswith(b"READY")
        sent_s = time.monotonic()
        writer.write(f"QUERY q {text}\r\n".encode())
        await reader.readuntil(b"READY")
        took_s[text] = time.monotonic() - sent_s
        writer.close()
    late.cancel()
    program.databases.close()
    assert took_s["STATUS"] < LATE_S <= took_s["WRITE item x"]


def test_the_steps_around_a_release_keep_their_intervals_to_it():
    day = days.release_at_worst(figures.SIZES["small"], holder_s=(0.2, 2.0), lag=5.0)
    varied = day_steps.vary(day, random.Random(SEED))
    shifts = {
        round(changed.at_s - step.at_s, 6)
        for step, changed in zip(day.steps, varied.steps, strict=True)
    }
    assert {"slow_holder", "release", "add", "lag"} <= {step.name for step in day.steps}
    assert len(shifts) == 1


def test_a_newer_configuration_has_other_time_outs_and_a_further_route():
    size = figures.SIZES["small"]
    first, newer = (
        figures.configuration(size),
        figures.configuration(size, version=7, timeout_factor=1.2, added=True),
    )
    assert newer["version"] == 7
    assert len(newer["routes"]) == len(first["routes"]) + 1
    assert newer["routes"][0]["timeout_ms"] == 1.2 * first["routes"][0]["timeout_ms"]
