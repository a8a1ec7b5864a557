"""Limits of connections to the peers' port; time is counted by the sweeps that the test makes."""

import asyncio
import unittest.mock

import pytest

from mustardswitch import metrics
from mustardswitch.internal import ids
from mustardswitch.peers import errors, frame_limits, relay_codec
from mustardswitch.platform import lines
from mustardswitch.proxy import requests

SMALL = relay_codec.encode_frame(b"{}")


def _limits(limit_bytes: int = 4 << 20, max_fds: int = 4000) -> frame_limits.FrameLimits:
    return frame_limits.FrameLimits(
        registry=metrics.Registry(), limit_bytes=limit_bytes, max_fds=max_fds
    )


def _connect(limits: frame_limits.FrameLimits, data: bytes = b""):
    """Accept a connection whose other end has sent ``data``."""
    reader, writer = asyncio.StreamReader(), unittest.mock.Mock()
    writer.transport.get_write_buffer_size.return_value = 0
    reader.feed_data(data)
    return limits.accept(reader, writer)


def _pass_time(limits: frame_limits.FrameLimits, seconds: float) -> None:
    start_s = limits.last_sweep_s or 0.0
    for step in range(1, int(seconds) + 1):
        limits.sweep(start_s + step)


async def test_a_connection_that_never_sends_a_frame_is_ended():
    limits = _limits()
    connection = _connect(limits)
    _pass_time(limits, frame_limits.FIRST_FRAME_S)
    assert connection in limits.connections
    _pass_time(limits, 1)
    assert connection not in limits.connections


async def test_a_connection_that_has_sent_a_frame_may_stay_idle():
    """Guards against limits that end the connections that instances keep for later statements."""
    limits = _limits()
    connection = _connect(limits, SMALL)
    assert await connection.read_frame() == b"{}"
    _pass_time(limits, 10_000)
    assert connection in limits.connections


@pytest.mark.parametrize("length", [100, 1 << 20])
async def test_a_frame_that_is_not_completed_is_ended(length):
    limits = _limits()
    connection = _connect(limits, SMALL + length.to_bytes(4, "big") + b"x" * 50)
    await connection.read_frame()
    reading = asyncio.create_task(connection.read_frame())
    await asyncio.sleep(0)
    _pass_time(limits, frame_limits.FRAME_S + 1)
    assert connection not in limits.connections
    reading.cancel()


async def test_the_connection_whose_frame_is_largest_is_ended_when_too_much_is_held():
    limits = _limits(limit_bytes=2 << 20)
    half = (1 << 20).to_bytes(4, "big")
    connections = [_connect(limits, half + b"x" * size) for size in (900_000, 700_000, 800_000)]
    reading = [asyncio.create_task(each.read_frame()) for each in connections]
    for _ in range(3):
        await asyncio.sleep(0)
    assert [each in limits.connections for each in connections] == [False, True, True]
    for task in reading:
        task.cancel()
    await asyncio.gather(*reading, return_exceptions=True)


async def test_silent_connections_are_replaced_and_others_are_not():
    limits = _limits(max_fds=32)
    first, *_ = [_connect(limits) for _ in range(8)]
    used = _connect(limits, SMALL)
    assert first not in limits.connections and used in limits.connections
    for connection in limits.connections:
        connection.frames = 1
    assert _connect(limits) is None


@pytest.mark.parametrize("filler", ["x", '"', "\u00e9", "\U0001f600"])
async def test_the_largest_statement_is_forwarded_with_large_values(filler):
    """Guards against legal statements that JSON makes too large for a frame."""
    text = filler * (lines.MAX_LINE_BYTES // len(filler.encode()))
    forwarded = relay_codec.ForwardedStatement(
        request=ids.RequestId("f1"),
        database=ids.DatabaseName("db"),
        command=requests.Plain(access=requests.Access.WRITE, arguments=text),
        age_s=0.0,
        values={"v": text},
    )
    limits = _limits(limit_bytes=30_000_000)
    connection = _connect(limits, relay_codec.encode_forwarded(forwarded))
    assert relay_codec.decode_forwarded(await connection.read_frame()) == forwarded
    assert connection in limits.connections


async def test_a_frame_above_the_limit_is_rejected_before_it_is_read():
    connection = _connect(_limits(), b"\xff" * 4)
    with pytest.raises(errors.InvalidFrameError):
        await connection.read_frame()
