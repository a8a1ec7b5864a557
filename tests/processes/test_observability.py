"""Traces over every hop, metrics, readiness and the catalogue of events."""

import asyncio
import json
import pathlib
import re
import urllib.error
import urllib.request

from mustardswitch import events
from mustardswitch_standins import fleet
from tests.common import processes

DOCS = pathlib.Path(__file__).parents[2] / "docs"


def _spans(path):
    return [json.loads(line) for line in path.read_text().splitlines() if line.strip()]


async def test_traces_a_forwarded_write_over_every_hop(tmp_path):
    spec = fleet.FleetSpec(zones=fleet.CASCADE_ZONES)
    started = fleet.Fleet(spec=spec, directory=tmp_path)
    started.entry_settings = {
        entry.instance: {"trace_file": str(tmp_path / f"{entry.instance}.trace")}
        for entry in started.entries
    }
    try:
        await started.start()
        primary = await started.wait_primary("orders")
        zone = next(zone.zone for zone in spec.zones if zone.zone != primary.zone)
        await processes.wait_until_known(started, zone, primary)
        caller = await processes.caller(started.entry_in(zone))
        await caller.run("CREATE TABLE traced (a INTEGER)")
        for entry in started.entries:
            started.processes[entry.instance].terminate()
        for entry in started.entries:
            await asyncio.to_thread(started.processes[entry.instance].popen.wait, 15)
    finally:
        await started.stop()
    spans = [span for path in tmp_path.glob("*.trace") for span in _spans(path)]
    (root,) = [
        span for span in spans if span["name"] == "entry" and span["attributes"]["kind"] == "write"
    ]
    trace = [span for span in spans if span["context"]["trace_id"] == root["context"]["trace_id"]]
    assert {span["name"] for span in trace} >= {"caller", "entry", "peer", "home", "backend"}
    instances = {span["resource"]["attributes"]["service.instance.id"] for span in trace}
    assert len(instances) == 2


async def test_shows_metrics_and_turns_unready_on_drain(tmp_path):
    async with processes.running(processes.CASCADE, tmp_path) as started:
        entry = started.entries[0]
        caller = await processes.caller(entry)
        await caller.run("BEGIN")
        text = fleet.read_metrics(entry)
        assert 'mustardswitch_statements_total{kind="ran"}' in text
        assert 'mustardswitch_statement_seconds{quantile="0.99"}' in text
        started.processes[entry.instance].terminate()

        def unready():
            try:
                with urllib.request.urlopen(
                    f"http://{fleet.HOST}:{entry.health_port}/ready", timeout=1.0
                ) as response:
                    return response.status == 503
            except urllib.error.HTTPError as error:
                return error.code == 503

        await processes.eventually(lambda: asyncio.to_thread(unready), within_s=2.0)
        await caller.run("ROLLBACK")


def test_catalogue_lists_every_event_and_no_other():
    listed = {
        int(number): message
        for number, message in re.findall(
            r"^\| (\d+) \| \w+ \| ([^|]+?) \|", (DOCS / "EVENTS.md").read_text(), re.M
        )
    }
    assert listed == {event.value.number: event.value.message for event in events.Event}
