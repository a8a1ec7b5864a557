"""The packet stream towards callers, over a fake connection."""

import errno

import pytest
from mysql_mimic import stream as mimic_stream

from mustardswitch.callers import errors, streams


class FakeReader:
    """Gives bytes in small pieces, as a slow network does."""

    def __init__(self, data=b""):
        self.data = data

    async def readexactly(self, count):
        if len(self.data) < count:
            raise ConnectionResetError
        piece, self.data = self.data[:count], self.data[count:]
        return piece


class FakeWriter:
    """Takes bytes; a caller that went away makes ``write_eof`` fail as the system does."""

    def __init__(self, *, gone=False):
        self.written = b""
        self.gone = gone

    def write(self, data):
        self.written += bytes(data)

    async def drain(self):
        return None

    def can_write_eof(self):
        return True

    def write_eof(self):
        if self.gone:
            raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")


def _stream(data=b"", *, gone=False, limit=100):
    writer = FakeWriter(gone=gone)
    return streams.BoundedStream(reader=FakeReader(data), writer=writer, max_packet_bytes=limit)


@pytest.mark.parametrize("gone", [False, True])
async def test_dismisses_a_caller_whether_or_not_it_is_still_there(gone):
    stream = _stream(gone=gone)
    await stream.send_final_error("NOT RUN: leaving", errors.CallerErrorCode.NOT_RUN_LEAVING)
    assert stream.writer.written[3] == streams.FIRST_REPLY_SEQUENCE
    assert b"NOT RUN: leaving" in stream.writer.written


async def test_reads_a_whole_packet():
    assert await _stream(b"\x03\x00\x00\x00abc").read() == b"abc"


@pytest.mark.parametrize(
    "data, words",
    [
        (b"\xff\x00\x00\x00" + b"x" * 255, b"larger than 100 bytes"),
        (b"\x03\x00\x00\x07abc", b"sequence number 7, expected 0"),
    ],
)
async def test_refuses_packets_that_are_too_large_or_out_of_order(data, words):
    stream = _stream(data)
    with pytest.raises(mimic_stream.ConnectionClosed):
        await stream.read()
    assert words in stream.writer.written
