"""The rate of log lines is bounded, and the number of dropped lines is reported."""

import json
import os

from mustardswitch import events


def _emitted(handler: events.BoundedHandler, count: int) -> None:
    with handler.applicationbound():
        for number in range(count):
            events.log(events.Event.STATEMENT_SLOW, request=number)


def test_a_flood_of_lines_is_cut_and_counted_once_a_second(tmp_path, monkeypatch):
    now_s = 100.0
    monkeypatch.setattr(events.time, "monotonic", lambda: now_s)
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    handler = events.BoundedHandler(descriptor=descriptor)
    _emitted(handler, 1000)
    for _ in range(100):
        now_s += 0.05
        _emitted(handler, 10)
    os.close(descriptor)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    reports = [
        line for line in lines if line["event"] == events.Event.LOG_LINES_DROPPED.value.number
    ]
    seconds = 5.0
    assert len(lines) - len(reports) <= events.LINE_BURST + seconds * events.LINES_PER_S + 1
    assert 1 <= len(reports) <= seconds + 1
    kept = len(lines) - len(reports)
    assert sum(line["count"] for line in reports) + kept + handler.dropped == 2000
