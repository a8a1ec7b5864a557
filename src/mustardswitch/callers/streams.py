"""The packet stream of the MySQL protocol, bounded in packet size.

The reader of the codec (``mysql_mimic``) takes a packet header as complete when fewer than its four
bytes have arrived, and accepts packets of any size; this one waits for the whole header and rejects
packets over the limit (MySQL client/server protocol, "Sending more than 16 MB").
"""

import asyncio
import contextlib
import ssl
import struct

from mysql_mimic import errors as mimic_errors
from mysql_mimic import packets, stream

HEADER_BYTES = 4
MAX_PAYLOAD_BYTES = 0xFFFFFF
PACKET_TOO_LARGE_CODE = 1153
"""MySQL's ER_NET_PACKET_TOO_LARGE."""
FIRST_REPLY_SEQUENCE = 1
"""Sequence number of the first packet of a reply; that of the command is 0."""


class BoundedStream:
    """Reads whole packets of at most ``max_packet_bytes``; the codec's stream writes.

    It wraps the codec's stream because that class is compiled and cannot be subclassed.
    """

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_packet_bytes: int,
    ) -> None:
        self.codec = stream.MysqlStream(reader, writer)
        self.reader = reader
        self.writer = writer
        self.seq = self.codec.seq
        self.write = self.codec.write
        self.write_many = self.codec.write_many
        self.write_text_rows = self.codec.write_text_rows
        self.drain = self.codec.drain
        self.reset_seq = self.codec.reset_seq
        self.max_packet_bytes = max_packet_bytes
        self.waiting_for_command = False

    async def start_tls(self, context: ssl.SSLContext) -> None:
        """Upgrade the connection to TLS.

        A caller may send its TLS ClientHello right behind the request for TLS, so that both arrive
        together; the codec's own method loses the ClientHello then, and the handshake never ends.
        """
        loop = asyncio.get_running_loop()
        plain = self.writer.transport
        protocol = plain.get_protocol()
        buffered = bytes(self.reader._buffer)
        self.reader._buffer.clear()
        upgrade = asyncio.create_task(loop.start_tls(plain, protocol, context, server_side=True))
        # Let start_tls() install its protocol, which takes the bytes that were read already.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        if buffered:
            _feed(plain.get_protocol(), buffered)
        encrypted = await upgrade
        self.writer._transport = encrypted
        self.reader._transport = encrypted

    async def read(self) -> bytes:
        """Read one packet; raises ``stream.ConnectionClosed`` when the caller has disconnected."""
        self.waiting_for_command = self.seq.value == 0
        try:
            return await self._read_packet()
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise stream.ConnectionClosed from error
        finally:
            self.waiting_for_command = False

    async def _read_packet(self) -> bytes:
        data = b""
        while True:
            (header,) = struct.unpack("<I", await self.reader.readexactly(HEADER_BYTES))
            self.waiting_for_command = False
            length = header & MAX_PAYLOAD_BYTES
            sequence = header >> 24
            expected = next(self.seq)
            if sequence != expected:
                await self._reject(
                    f"packet has sequence number {sequence}, expected {expected}",
                    mimic_errors.ErrorCode.MALFORMED_PACKET,
                )
            if len(data) + length > self.max_packet_bytes:
                await self._reject(
                    f"NOT RUN: the packet is larger than {self.max_packet_bytes} bytes; "
                    "send smaller statements",
                    PACKET_TOO_LARGE_CODE,
                )
            data += await self.reader.readexactly(length)
            if length < MAX_PAYLOAD_BYTES:
                return data

    async def _reject(self, message: str, code: int) -> None:
        """Answer with an error and end the connection, whose packet framing is lost."""
        self.seq.value = FIRST_REPLY_SEQUENCE
        await self.write(packets.make_error(msg=message, code=code))
        raise stream.ConnectionClosed

    async def send_final_error(self, message: str, code: int) -> None:
        """Answer the caller's next statement with an error in advance, and close the write side.

        Closing the socket instead could discard the error together with a statement that had
        already arrived, and the caller would not know that it did not run. For a caller that has
        already disconnected this does nothing.
        """
        self.seq.value = FIRST_REPLY_SEQUENCE
        with contextlib.suppress(OSError, RuntimeError):
            await self.write(packets.make_error(msg=message, code=code))
            if self.writer.can_write_eof():
                self.writer.write_eof()


def _feed(protocol: asyncio.BufferedProtocol, data: bytes) -> None:
    while data:
        buffer = protocol.get_buffer(len(data))
        size = min(len(buffer), len(data))
        buffer[:size] = data[:size]
        protocol.buffer_updated(size)
        data = data[size:]
