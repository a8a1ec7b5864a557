"""Connections to the homes of services, over which statements are forwarded."""

import asyncio
import collections

from mustardswitch.peers import datagrams, errors, relay_codec
from mustardswitch.proxy import requests

CONNECT_TIMEOUT_S = 0.25
"""Two round trips between regions; homes are in the zone as a rule."""
IDLE_CONNECTIONS = 16
"""Connections to one home that are kept; an instance has a few statements at once."""


class RelayConnection:
    """A connection to a home."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def __repr__(self) -> str:
        return f"RelayConnection(reader={self.reader!r}, writer={self.writer!r})"

    @property
    def broken(self) -> bool:
        """Whether it failed, or the home has closed it."""
        return self.reader.at_eof() or self.writer.is_closing()

    def close(self) -> None:
        """Close it; the home rolls back what is open on it."""
        self.writer.transport.abort()

    async def execute(
        self, forwarded: relay_codec.ForwardedStatement, timeout_s: float
    ) -> requests.Answer:
        """Forward a statement and return its answer; raises PeerBrokenError."""
        try:
            self.writer.write(relay_codec.encode_forwarded(forwarded))
            async with asyncio.timeout(timeout_s):
                return relay_codec.decode_answer(await relay_codec.read_frame(self.reader))
        except (OSError, EOFError, TimeoutError, errors.InvalidFrameError) as error:
            self.close()
            raise errors.PeerBrokenError(f"the home gave no answer: {error!r}") from error
        except BaseException:
            self.close()
            raise


class RelayClient:
    """Connections to homes, kept while idle."""

    def __init__(self) -> None:
        self.idle: dict[datagrams.PeerAddress, collections.deque[RelayConnection]] = {}

    async def acquire(self, address: datagrams.PeerAddress) -> RelayConnection:
        """Return a connection; raises PeerUnreachableError, after which nothing was sent."""
        kept = self.idle.get(address)
        while kept:
            connection = kept.pop()
            if not connection.broken:
                return connection
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(address.host, address.port)
        except (OSError, TimeoutError) as error:
            raise errors.PeerUnreachableError(f"home {address}: {error!r}") from error
        return RelayConnection(reader=reader, writer=writer)

    def release(self, address: datagrams.PeerAddress, connection: RelayConnection) -> None:
        """Keep a connection on which nothing is open."""
        kept = self.idle.setdefault(address, collections.deque())
        if connection.broken or len(kept) >= IDLE_CONNECTIONS:
            connection.close()
        else:
            kept.append(connection)

    def close(self) -> None:
        """Close all connections that are not in use."""
        for kept in self.idle.values():
            for connection in kept:
                connection.close()
        self.idle.clear()
