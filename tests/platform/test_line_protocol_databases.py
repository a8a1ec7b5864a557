"""Sessions with the stand-in databases over the line protocol."""

import asyncio
import contextlib
import socket
import struct

import pytest

from mustardswitch_standins import line_protocol_databases, replication


class Session:
    """A session with a server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, text: str, request: str = "r1") -> None:
        """Send a statement."""
        self.writer.write(f"QUERY {request} {text}\r\n".encode())

    async def query(self, text: str, request: str = "r1") -> list[str]:
        """Send a statement and return the lines of its answer."""
        self.send(text, request)
        answer = []
        while not answer or not answer[-1].startswith("READY"):
            line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 5.0)
            answer.append(line.decode().removesuffix("\r\n"))
        return answer

    def reset(self) -> None:
        """Reset the connection, so that the server can no longer read from it."""
        linger = struct.pack("ii", 1, 0)
        self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()


@pytest.fixture
async def databases():
    group = replication.ReplicatedGroup(link_delay_s=lambda first, second: 0.01)
    started = line_protocol_databases.LineProtocolDatabases(group=group)
    await started.start()
    yield started
    started.close()


@contextlib.asynccontextmanager
async def open_session(databases):
    """Open a session with the primary."""
    primary = databases.group.leader
    reader, writer = await asyncio.open_connection("127.0.0.1", databases.ports[primary.name])
    writer.write(f"STARTUP orders tester {primary.name}\r\n".encode())
    assert (await reader.readline()).startswith(b"READY I")
    try:
        yield Session(reader, writer)
    finally:
        writer.close()


@pytest.mark.parametrize("prefix", ["", "AFTER 0.0 "])
async def test_a_name_that_is_not_prepared_runs_nothing(databases, prefix):
    async with open_session(databases) as session:
        await session.query("PREPARE s1 READ q2c")
        assert (await session.query(f"{prefix}EXECUTE s1 1a4"))[-2].startswith("COMPLETE sig")
        answer = await session.query(f"{prefix}EXECUTE s2 1a4")
        assert answer[0].startswith("ERROR NOSTMT") and answer[1].startswith("READY I")
    assert databases.group.executed == ["r1"]


async def test_a_reset_clears_the_prepared_names(databases):
    async with open_session(databases) as session:
        await session.query("PREPARE s1 WRITE q2c")
        await session.query("RESET")
        await session.query("BEGIN")
        answer = await session.query("EXECUTE s1 1a4 data")
        assert answer[0].startswith("ERROR NOSTMT") and answer[1].startswith("READY E")
    assert databases.group.executed == []


@pytest.mark.parametrize("resets", [True, False])
async def test_a_server_runs_what_it_received_although_the_connection_was_closed(databases, resets):
    group = databases.group
    group.leader.answer_delay_s = 0.1
    async with open_session(databases) as session:
        for request in ("w1", "w2"):
            session.send("WRITE item data", request)
        await asyncio.sleep(0.05)
        if resets:
            session.reset()
    await asyncio.sleep(0.4)
    assert group.acknowledged == ["w1", "w2"]


async def test_a_server_that_crashed_runs_nothing_that_it_received_before(databases):
    group = databases.group
    group.leader.answer_delay_s = 0.1
    async with open_session(databases) as session:
        session.send("WRITE item data", "w1")
        session.send("WRITE item data", "w2")
        await asyncio.sleep(0.05)
        databases.crash(group.leader.name)
        group.restart(group.leader, leads_again=True)
        await asyncio.sleep(0.4)
    assert group.acknowledged == [] and group.leader is group.primary
