"""The start of processes beside other runs on the same machine."""

import asyncio
import subprocess
import sys

import pytest

from mustardswitch_standins import fleet, platform_deployment

PRINT_PORTS = """
import sys
from mustardswitch_standins import fleet
fleet._next_index = iter(range({first}, 2 * fleet.PORT_COUNT))
print(*fleet.free_ports({count}), flush=True)
sys.stdin.read()
"""


def choose_ports(first, count):
    """Start a process that chooses ports and uses none of them."""
    return subprocess.Popen(
        [sys.executable, "-c", PRINT_PORTS.format(first=first, count=count)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def test_two_runs_that_start_at_once_choose_different_ports():
    started = [choose_ports(first, 170) for first in (0, 131)]
    try:
        chosen = [set(map(int, each.stdout.readline().split())) for each in started]
    finally:
        for each in started:
            each.communicate()
    assert [len(ports) for ports in chosen] == [170, 170]
    assert not chosen[0] & chosen[1]


def test_ports_run_out_with_an_error(monkeypatch):
    monkeypatch.setattr(fleet, "_claim_block", lambda block: block == 3)
    with pytest.raises(OSError, match="fewer than 51 ports"):
        fleet.free_ports(51)


@pytest.mark.parametrize("answer", [b"", b"ERROR WRONGNODE -\r\n"])
async def test_a_readiness_check_without_an_answer_is_tried_again(capsys, answer):
    answers = [answer, answer, b"HTTP/1.1 200 OK\r\n\r\n"]

    async def accept(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answers.pop(0))
        writer.close()

    (port,) = fleet.free_ports(1)
    listener = await asyncio.start_server(accept, "127.0.0.1", port)
    instance = platform_deployment.Instance(
        name="instance-a-0", callers=1, health=port, metrics=1, peers=1
    )
    await asyncio.wait_for(instance.wait_ready(), 30.0)
    listener.close()
    assert not answers
    met = capsys.readouterr().err
    assert met.count("GET /readiness") == 1
    assert f"port {port} of instance-a-0" in met
