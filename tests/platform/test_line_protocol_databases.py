"""Sessions with the stand-in databases over the line protocol."""

import asyncio
import contextlib

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
