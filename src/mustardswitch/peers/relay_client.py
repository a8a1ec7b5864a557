"""Connections to the gateways of services, over which statements are forwarded."""

import asyncio
import collections
import collections.abc
import typing

from mustardswitch.peers import datagrams, errors, relay_codec

CONNECT_TIMEOUT_S = 0.25
"""Two round trips between regions; gateways are usually in the same availability zone."""
MAX_IDLE_CONNECTIONS = 16
"""Idle connections kept to one gateway; an instance forwards a few statements at once."""


class RelayConnection:
    """A connection to a gateway; it carries one statement or one transaction at a time."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def __repr__(self) -> str:
        return f"RelayConnection(reader={self.reader!r}, writer={self.writer!r})"

    @property
    def broken(self) -> bool:
        """Whether the connection failed or the gateway has closed it."""
        return self.reader.at_eof() or self.writer.is_closing()

    def close(self) -> None:
        """Close the connection; the gateway rolls back the transaction open on it."""
        self.writer.transport.abort()

    async def execute(
        self, forwarded: relay_codec.ForwardedStatement, timeout_s: float
    ) -> relay_codec.ForwardedAnswer:
        """Forward a statement and return its answer.

        Raises PeerBrokenError, and closes the connection, when no valid answer arrives within
        ``timeout_s``.
        """
        body = await self.exchange(relay_codec.encode_forwarded(forwarded), timeout_s)
        try:
            return relay_codec.decode_answer(body)
        except errors.InvalidFrameError as error:
            self.close()
            raise errors.PeerBrokenError(f"the gateway did not answer: {error!r}") from error

    async def exchange(self, frame: bytes, timeout_s: float) -> bytes:
        """Send a frame and return the body of the one that answers it.

        Raises PeerBrokenError, and closes the connection, when none arrives within ``timeout_s``.
        """
        try:
            self.writer.write(frame)
            async with asyncio.timeout(timeout_s):
                return await relay_codec.read_frame(self.reader)
        except (OSError, EOFError, TimeoutError, errors.InvalidFrameError) as error:
            self.close()
            raise errors.PeerBrokenError(f"the gateway did not answer: {error!r}") from error
        except BaseException:
            self.close()
            raise


Answer = typing.TypeVar("Answer")


class RelayClient:
    """Pool of connections to gateways; idle ones are kept."""

    def __init__(self) -> None:
        self.idle: dict[datagrams.PeerAddress, collections.deque[RelayConnection]] = {}

    async def acquire(self, address: datagrams.PeerAddress) -> RelayConnection:
        """Return an idle or new connection; nothing was sent if it raises PeerUnreachableError."""
        kept = self.idle.get(address)
        while kept:
            connection = kept.pop()
            if not connection.broken:
                return connection
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(address.host, address.port)
        except (OSError, TimeoutError) as error:
            raise errors.PeerUnreachableError(f"gateway {address}: {error!r}") from error
        return RelayConnection(reader=reader, writer=writer)

    def release(self, address: datagrams.PeerAddress, connection: RelayConnection) -> None:
        """Return a connection without an open transaction to the pool."""
        kept = self.idle.setdefault(address, collections.deque())
        if connection.broken or len(kept) >= MAX_IDLE_CONNECTIONS:
            connection.close()
        else:
            kept.append(connection)

    async def ask(
        self,
        address: datagrams.PeerAddress,
        frame: bytes,
        *,
        timeout_s: float,
        decode: collections.abc.Callable[[bytes], Answer],
    ) -> Answer:
        """Send a frame and return the decoded answer; raises PeerError without a valid one."""
        connection = await self.acquire(address)
        body = await connection.exchange(frame, timeout_s)
        try:
            answer = decode(body)
        except errors.InvalidFrameError:
            connection.close()
            raise
        self.release(address, connection)
        return answer

    def close(self) -> None:
        """Close all idle connections."""
        for kept in self.idle.values():
            for connection in kept:
                connection.close()
        self.idle.clear()
