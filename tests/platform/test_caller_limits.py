"""Time limits of callers' connections; time is counted by the sweeps that the test makes."""

import asyncio
import socket
import types

import pytest

from mustardswitch import metrics
from mustardswitch.clients import caller_limits
from mustardswitch.internal.admission import memory, sweeps
from mustardswitch.platform import callers, lines
from mustardswitch.proxy import requests, routes, session

ROW = "x" * (1 << 20)


class _Session(session.Session):
    """Answers reads with many rows without a server, and everything else as a session does."""

    async def _run(self, statement, request, first_byte_s):
        if isinstance(statement, requests.Plain):
            return requests.Answer(rows=(ROW,) * 16)
        return await super()._run(statement, request, first_byte_s)


class World:
    """A caller server in this process whose sweeps are made by hand."""

    def __init__(self, shares: memory.Shares) -> None:
        self.registry = metrics.Registry()
        self.limits = caller_limits.CallerLimits(
            shares=shares, max_fds=4000, registry=self.registry
        )
        directory = types.SimpleNamespace(
            registry=self.registry,
            transaction_idle_s=3.0,
            route=lambda database: "route",
            identify=lambda key, route: routes.NO_TENANT,
        )
        self.server = callers.CallerServer(
            opener=lambda database, key: _Session(directory=directory, database=database),
            registry=self.registry,
            limits=self.limits,
        )
        self.now_s = 0.0

    async def start(self) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        await self.server.start("127.0.0.1", self.port)
        self.server.sweeper.cancel()

    async def connect(self, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, send data, and wait until the server has read it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1024)
        writer.write(data)
        await asyncio.sleep(0.2)
        return reader, writer

    def pass_time(self, seconds: float) -> None:
        """Sweep as if so much time had passed."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += sweeps.INTERVAL_S
            self.limits.sweep(self.now_s)

    def ended(self, reason: caller_limits.Reason) -> int:
        """Return how many connections were ended for a reason."""
        return self.registry.total("callers_ended", reason.value)


@pytest.fixture
async def world():
    built = World(memory.divide(200 * memory.MB))
    await built.start()
    yield built
    await built.server.end()


START = b"STARTUP db tester\r\n"


@pytest.mark.parametrize("sent", [b"", b"STARTUP d"])
async def test_a_connection_without_a_first_line_is_ended(world, sent):
    reader, _ = await world.connect(sent)
    world.pass_time(caller_limits.FIRST_LINE_S)
    assert not world.ended(caller_limits.Reason.FIRST_LINE)
    world.pass_time(2.0)
    assert world.ended(caller_limits.Reason.FIRST_LINE) == 1
    assert (await reader.read()).startswith(b"ERROR BUSY")


async def test_an_idle_session_is_never_ended(world):
    """Guards against time limits that count from the last message; idle sessions are usual."""
    reader, writer = await world.connect(START)
    world.pass_time(100_000.0)
    writer.write(b"QUERY q SET mode 1\r\n")
    await reader.readline()
    assert (await reader.readline()).startswith(b"COMPLETE")


async def test_a_message_that_has_begun_is_ended_after_its_time_and_not_before(world):
    reader, writer = await world.connect(START + b"QUERY q SET mo")
    world.pass_time(caller_limits.MESSAGE_S)
    writer.write(b"de 1\r\nQUERY q SET mo")
    await asyncio.sleep(0.2)
    world.pass_time(caller_limits.MESSAGE_S)
    assert not world.ended(caller_limits.Reason.MESSAGE)
    world.pass_time(2.0)
    assert world.ended(caller_limits.Reason.MESSAGE) == 1
    assert b"ERROR BUSY" in await reader.read()


async def test_an_answer_that_is_not_read_ends_the_connection(world):
    _, writer = await world.connect(START + b"QUERY q READ item\r\n")
    assert world.limits.held.total_bytes > 8 << 20
    world.pass_time(caller_limits.UNREAD_S)
    assert not world.ended(caller_limits.Reason.UNREAD)
    world.pass_time(2.0)
    await asyncio.sleep(0.1)
    assert world.ended(caller_limits.Reason.UNREAD) == 1
    assert world.limits.held.total_bytes == 0 and not world.server.connections


async def test_a_process_that_was_stopped_does_not_end_what_arrived_meanwhile(world):
    """Guards against limits that run on while the process cannot read."""
    await world.connect(b"")
    world.limits.sweep(1.0)
    world.limits.sweep(10_000.0)
    assert not world.ended(caller_limits.Reason.FIRST_LINE)


async def test_a_line_of_exactly_the_limit_is_read_and_a_longer_one_refused(world):
    """Guards against a reader whose limit counts the line end."""
    head = b"QUERY q SET v "
    for size, outcome in ((0, b"COMPLETE"), (1, b"ERROR TOOLARGE")):
        filler = b"x" * (lines.MAX_LINE_BYTES + size - len(head))
        reader, _ = await world.connect(START + head + filler + lines.END)
        await reader.readline()
        assert (await reader.readline()).startswith(outcome)


async def test_state_above_the_share_of_a_session_is_refused_and_the_session_goes_on(world):
    reader, writer = await world.connect(START)
    await reader.readline()
    outcomes = []
    for number in range(8):
        value = b"x" * (lines.MAX_LINE_BYTES - 100)
        writer.write(b"QUERY q SET v%d %s\r\n" % (number, value))
        outcomes.append((await reader.readline()).split()[:2])
        await reader.readline()
    assert outcomes[:4] == [[b"COMPLETE", b"-"]] * 4
    assert outcomes[-1] == [b"ERROR", b"TOOLARGE"]
    writer.write(b"QUERY q SET v0 1\r\n")
    assert (await reader.readline()).startswith(b"COMPLETE")


async def test_large_statements_wait_for_memory_and_are_refused_in_the_end(world, monkeypatch):
    """Guards against statements that wait for good, and against refusals while there is memory."""
    monkeypatch.setattr(caller_limits, "LARGE_WAIT_S", 0.3)
    world.limits.served.hold("another", world.limits.served.limit_bytes)
    statement = b"QUERY q SET v " + b"x" * 100_000 + lines.END
    reader, writer = await world.connect(START + statement)
    await reader.readline()
    assert (await reader.readline()).startswith(b"ERROR BUSY")
    await reader.readline()
    writer.write(statement)
    await asyncio.sleep(0.1)
    world.limits.finish("another")
    assert (await reader.readline()).startswith(b"COMPLETE")
    assert world.limits.served.total_bytes == 0
