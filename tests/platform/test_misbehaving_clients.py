"""Clients that send too much, too slowly, or do not read: the instance lives and serves others.

Each case checks what does not depend on the speed of the machine: the process is alive, its memory
and descriptors stay under the limits of its settings, and ordinary sessions are served. The crowds
and the limits are fixed; they must not be changed to get a pass.
"""

import asyncio
import collections.abc
import contextlib
import json

import pytest

from mustardswitch.internal import ids
from mustardswitch.peers import relay_codec
from mustardswitch.proxy import requests
from mustardswitch_standins import platform_deployment
from tests.common import client_crowds

MIB = client_crowds.MIB
NEARLY_LIMIT = client_crowds.NEARLY_LIMIT
START = client_crowds.START
LIMITS = {"memory_mb": 100, "max_fds": 300}
"""An instance without callers has 30 MB and 13 descriptors. The crowds send several times this."""
MANY = 400
"""Connections, more than the descriptors allowed."""
LARGE_ITEM = "large"
LARGE_ROW_BYTES = MIB - 4096


class Scene:
    """An instance with limits, an ordinary session, and crowds."""

    def __init__(self, instance: platform_deployment.Instance) -> None:
        self.instance = instance
        self.usage = client_crowds.Usage(instance.process.pid)
        self.crowds: list[client_crowds.Crowd] = []

    def crowd(self, port: int | None = None) -> client_crowds.Crowd:
        """Build a crowd on a port, usually that of the callers."""
        self.crowds.append(client_crowds.Crowd(port=port or self.instance.callers))
        return self.crowds[-1]

    async def check(self, earlier: platform_deployment.Caller) -> None:
        """Fail unless the instance lives within its limits and serves ordinary callers."""
        assert self.instance.process.returncode is None
        problems = []
        for name, opening in (("earlier", None), ("new", self.instance)):
            try:
                caller = earlier if opening is None else await client_crowds.open_session(opening)
                await client_crowds.serve_until_answered(caller)
            except (AssertionError, TimeoutError, OSError) as error:
                problems.append(f"the {name} session is not served: {error!r}")
        if self.instance.process.returncode is not None:
            problems.append(f"the process ended: {self.instance.process.returncode}")
        memory_mb, descriptors = self.usage.memory_mb(), self.usage.descriptors
        print(f"{memory_mb:.0f} MB, {descriptors} descriptors")
        if memory_mb > LIMITS["memory_mb"]:
            problems.append(f"{memory_mb:.0f} MB of memory")
        if descriptors > LIMITS["max_fds"]:
            problems.append(f"{descriptors} descriptors")
        assert not problems


@pytest.fixture
async def scene(tmp_path):
    deployment = platform_deployment.Deployment(tmp_path)
    await deployment.start()
    deployment.databases.row_padding_bytes[LARGE_ITEM] = LARGE_ROW_BYTES
    started = None
    try:
        started = Scene(await deployment.start_instance("one", LIMITS))
        yield started
    finally:
        if started is not None:
            started.usage.task.cancel()
            for crowd in started.crowds:
                await crowd.close()
        await deployment.stop()


@contextlib.asynccontextmanager
async def checked(scene: Scene) -> collections.abc.AsyncIterator[None]:
    earlier = await client_crowds.open_session(scene.instance)
    await client_crowds.serve_until_answered(earlier)
    yield
    await scene.check(earlier)


async def test_a_single_message_of_the_largest_size_is_served(scene):
    """Guards against limits so tight that a legal message is refused without any load."""
    async with checked(scene):
        caller = await client_crowds.open_session(scene.instance)
        head = "QUERY large-1 WRITE item "
        for filler in ("x", "\u00e9", "\U0001f600"):
            count = (NEARLY_LIMIT - len(head)) // len(filler.encode())
            answer = await caller.query(f"WRITE item {filler * count}", "large-1")
            assert answer[-2].startswith("COMPLETE sig"), answer


@pytest.mark.parametrize("head", ["STARTUP db-primary t", START.decode() + "QUERY q WRITE item "])
async def test_long_messages_without_a_line_end(scene, head):
    """Guards against buffers of unfinished messages that grow with the number of connections."""
    async with checked(scene):
        unfinished = client_crowds.message(head, NEARLY_LIMIT, end=b"")
        await scene.crowd().join(100, [unfinished])


@pytest.mark.parametrize("piece_bytes", [2 * MIB, client_crowds.SMALL_PIECE_BYTES])
async def test_many_whole_statements_of_nearly_the_limit_at_once(scene, piece_bytes):
    """Guards against copies of large statements that are parsed or wait at the same time."""
    async with checked(scene):
        statement = client_crowds.message("QUERY q WRITE item ", NEARLY_LIMIT)
        pieces = client_crowds.split(START + statement, piece_bytes)
        await scene.crowd().join(100, pieces)


async def test_statements_beyond_ascii_of_nearly_the_limit_at_once(scene):
    """Guards against text that takes four bytes for each character once it is decoded."""
    async with checked(scene):
        statement = client_crowds.message("QUERY q WRITE item \U0001f600", NEARLY_LIMIT)
        await scene.crowd().join(60, [START + statement])


async def test_messages_far_over_the_limit(scene):
    """Guards against buffers that hold more than one message."""
    async with checked(scene):
        pieces = client_crowds.split(client_crowds.message("QUERY q ", 8 * MIB), 64 * 1024)
        await scene.crowd().join(100, [START, *pieces])


@pytest.mark.parametrize("statement", ["PREPARE s{} WRITE ", "SET v{} "])
async def test_sessions_that_keep_many_large_shapes_or_values(scene, statement):
    """Guards against session state without a limit."""
    async with checked(scene):
        pieces = [
            client_crowds.message(f"QUERY q {statement.format(number)}", NEARLY_LIMIT)
            for number in range(6)
        ]
        await scene.crowd().join(40, [START, *pieces], reads=True)


async def test_sessions_that_keep_many_small_values(scene):
    """Guards against state that is counted by its text alone: each entry takes memory, too."""
    async with checked(scene):
        values = b"".join(b"QUERY q SET v%d 1\r\n" % number for number in range(20_000))
        await scene.crowd().join(40, [START, values], reads=True)


async def test_sessions_that_run_many_large_shapes_and_leave(scene):
    """Guards against shapes that stay with the servers' connections after their session ended."""
    async with checked(scene):
        for batch in range(10):
            pieces = [START]
            for number in range(3):
                head = f"QUERY q PREPARE s{number} READ {batch}-{number}-"
                pieces.append(client_crowds.message(head, NEARLY_LIMIT))
                pieces.append(f"QUERY q EXECUTE s{number} item\r\n".encode())
            crowd = scene.crowd()
            await crowd.join(4, [*pieces, b"TERMINATE\r\n"], reads=True)
            await crowd.close()


async def test_a_caller_that_sends_60000_statements_ahead(scene):
    """Guards against a connection whose statements are all buffered, or that holds up others."""
    async with checked(scene):
        ahead = b"".join(b"QUERY q%d READ item\r\n" % number for number in range(60_000))
        await scene.crowd().join(1, [START, ahead])


async def test_callers_that_send_60000_values_ahead(scene):
    """Guards against statements that need no server and so never let others run."""
    async with checked(scene):
        ahead = b"QUERY q SET v 1\r\n" * 60_000
        await scene.crowd().join(20, [START, ahead])


async def test_answers_that_nobody_reads(scene):
    """Guards against answers that wait in memory for callers that do not read."""
    async with checked(scene):
        reads = f"QUERY q READ {LARGE_ITEM}\r\n".encode() * 24
        await scene.crowd().join(100, [START + reads])


@pytest.mark.parametrize("sent", [b"", b"STARTUP db-prim", START])
async def test_many_silent_connections(scene, sent):
    """Guards against connections that take the descriptors of servers, peers and the store."""
    async with checked(scene):
        await scene.crowd().join(MANY, [sent])


async def test_callers_that_send_byte_by_byte(scene):
    """Guards against slow senders that take all descriptors."""
    async with checked(scene):
        pieces = client_crowds.split(START + b"QUERY q WRITE item " + b"x" * 1000, 1)
        await scene.crowd().join(MANY, pieces, pause_s=0.1)


def _page_port(scene: Scene, name: str) -> int:
    return getattr(scene.instance, name)


@pytest.mark.parametrize("port", ["health", "metrics"])
@pytest.mark.parametrize(
    "count, pieces",
    [
        (50, [b"GET /metrics HTTP/1.1\r\nHost: x\r\nX: ", *[b"x" * 65536] * 64]),
        (
            50,
            [
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999999\r\n\r\n",
                *[b"x" * MIB] * 8,
            ],
        ),
        (50, [b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 5000]),
        (MANY, [b""]),
        (MANY, [b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"]),
    ],
    ids=["endless header", "endless body", "answers not read", "silent", "many"],
)
async def test_clients_of_the_pages(scene, port, count, pieces):
    """Guards against pages whose clients take memory or descriptors, or keep the balancer out."""
    async with checked(scene):
        await scene.crowd(_page_port(scene, port)).join(count, pieces)
        for path in ("/readiness", "/metrics"):
            async with asyncio.timeout(client_crowds.SERVED_WITHIN_S):
                assert (await scene.instance.get(path))[0] == 200


def _forwarded(size_bytes: int) -> bytes:
    return relay_codec.encode_forwarded(
        relay_codec.ForwardedStatement(
            request=ids.RequestId("f1"),
            database=ids.DatabaseName("db-primary"),
            command=requests.Plain(access=requests.Access.WRITE, arguments="item x"),
            age_s=0.0,
            values={"large": "x" * size_bytes},
        )
    )


def _half_frame() -> list[bytes]:
    return [(2 * MIB).to_bytes(4, "big"), *[b" " * 65536] * 31]


def _nested_frame() -> list[bytes]:
    return [relay_codec.encode_frame(b"[" * (2 * MIB))]


@pytest.mark.parametrize(
    "count, pieces",
    [
        (60, [_forwarded(2 * MIB - 4096)]),
        (60, _nested_frame()),
        (60, [b"\xff" * 4, *[b"x" * MIB] * 8]),
        (60, _half_frame()),
        (MANY, [b""]),
        (MANY, [json.dumps({}).encode()[:1]]),
    ],
    ids=["large frames", "nested frames", "endless frames", "half frames", "silent", "half length"],
)
async def test_clients_of_the_peers_port(scene, count, pieces):
    """Guards against connections that are no instances and take memory or descriptors."""
    async with checked(scene):
        await scene.crowd(scene.instance.peers).join(count, pieces)
