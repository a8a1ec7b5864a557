"""Links to other instances: a batched stream per peer for statements, unary calls for gossip."""

import asyncio
import dataclasses
import itertools
import ssl
import time

import grpclib
import grpclib.client
import grpclib.exceptions

from mustardswitch import tasks
from mustardswitch.internal import ids, outcomes, positions
from mustardswitch.peers import codec, errors, peers_grpc, peers_pb2

CONNECT_TIMEOUT_S = 0.5
GOSSIP_TIMEOUT_S = 0.5
ANSWER_GRACE_S = 0.25
"""Time beyond a statement's deadline in which its reply is still accepted."""
PING_INTERVAL_S = 0.2
SILENCE_TIMEOUT_S = 0.8
"""Four ping intervals without a message from the peer."""
PING_REQUEST_ID = 0
"""Marks pings; the ids of other requests start at 1."""
INSTANCE_METADATA = "instance"
COMPRESS_METADATA = "compress"

_TRANSPORT_ERRORS = (
    OSError,
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerAddress:
    """Where a peer listens, and whether traffic to it is billed by volume (another region)."""

    instance: ids.InstanceId
    host: str
    port: int
    other_region: bool


class PeerLink:
    """Owns the connection to one peer; ``generation`` counts the streams opened on it."""

    def __init__(
        self, *, address: PeerAddress, own: ids.InstanceId, tls: ssl.SSLContext | None = None
    ) -> None:
        self.address = address
        self.own = own
        self.channel = grpclib.client.Channel(address.host, address.port, ssl=tls)
        self.stub = peers_grpc.PeersStub(self.channel)
        self.request_ids = itertools.count(1)
        self.queue: asyncio.Queue[peers_pb2.Request] = asyncio.Queue()
        self.waiting: dict[int, asyncio.Future[peers_pb2.Reply]] = {}
        self.unsent: set[int] = set()
        self.task: asyncio.Task[None] | None = None
        self.generation = 0
        self.last_received_at_s = 0.0

    def __repr__(self) -> str:
        return f"PeerLink(address={self.address!r}, own={self.own!r})"

    async def execute(self, request: outcomes.StatementRequest) -> outcomes.StatementReply:
        """Forward a statement and return its reply.

        Raises PeerUnreachableError or PeerRefusedError when it was not sent, and PeerBrokenError
        when it was sent and no reply arrived.
        """
        body = peers_pb2.Request(statement=codec.encode_request(request))
        reply = await self._request(body, request.deadline_s + ANSWER_GRACE_S)
        return codec.decode_reply(reply.statement)

    async def initial_min_position(
        self, database: ids.DatabaseName, *, deadline_s: float
    ) -> positions.Position | None:
        """Query a gateway for the initial minimum position of a session.

        Returns None when the gateway cannot determine it; raises PeerError when there is no reply
        within ``deadline_s`` seconds.
        """
        query = peers_pb2.FloorRequest(database=database, deadline_s=deadline_s)
        reply = await self._request(peers_pb2.Request(floor=query), deadline_s)
        if not reply.floor.HasField("floor"):
            return None
        return codec.decode_position(reply.floor.floor)

    async def _request(self, request: peers_pb2.Request, timeout_s: float) -> peers_pb2.Reply:
        self._ensure_running()
        request_id = next(self.request_ids)
        request.id = request_id
        future = asyncio.get_running_loop().create_future()
        self.waiting[request_id] = future
        self.unsent.add(request_id)
        self.queue.put_nowait(request)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            if request_id in self.unsent:
                raise errors.PeerUnreachableError(
                    f"{self.address.instance} could not be reached in time"
                ) from error
            raise errors.PeerBrokenError(f"{self.address.instance} did not answer") from error
        finally:
            self.waiting.pop(request_id, None)
            self.unsent.discard(request_id)

    def _ensure_running(self) -> None:
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        """Open the stream, then send requests and receive replies until it breaks."""
        self.generation += 1
        metadata = {INSTANCE_METADATA: self.own}
        if self.address.other_region:
            metadata[COMPRESS_METADATA] = "1"
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.channel.__connect__()
            async with self.stub.Exchange.open(metadata=metadata) as stream:
                await stream.send_request()
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._send(stream))
                    group.create_task(self._receive(stream))
                    group.create_task(self._watch_for_silence())
        except* (*_TRANSPORT_ERRORS, TimeoutError) as failures:
            self._fail(_first_error(failures))
        else:
            self._fail(ConnectionError("the peer ended the stream"))

    async def _send(self, stream: grpclib.client.Stream) -> None:
        while True:
            request = await self.queue.get()
            batch = [request]
            while not self.queue.empty():
                batch.append(self.queue.get_nowait())
            pending = [request for request in batch if _is_pending(request, self.waiting)]
            if not pending:
                continue
            for request in pending:
                self.unsent.discard(request.id)
            await stream.send_message(
                codec.pack_requests(pending, compress=self.address.other_region)
            )

    async def _watch_for_silence(self) -> None:
        """Break the stream when replies are outstanding and the peer answers no pings either."""
        self.last_received_at_s = time.monotonic()
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            if not self.waiting:
                self.last_received_at_s = time.monotonic()
            elif time.monotonic() - self.last_received_at_s > SILENCE_TIMEOUT_S:
                raise ConnectionError(f"{self.address.instance} does not answer pings")
            else:
                self.queue.put_nowait(peers_pb2.Request(id=PING_REQUEST_ID))

    async def _receive(self, stream: grpclib.client.Stream) -> None:
        async for batch in stream:
            self.last_received_at_s = time.monotonic()
            for reply in codec.unpack_replies(batch):
                future = self.waiting.get(reply.id)
                if future is not None and not future.done():
                    future.set_result(reply)
        raise ConnectionError("the peer ended the stream")

    def _fail(self, cause: BaseException) -> None:
        refused = isinstance(cause, ConnectionRefusedError)
        for request_id, future in list(self.waiting.items()):
            if future.done():
                continue
            if request_id not in self.unsent:
                future.set_exception(errors.PeerBrokenError(str(cause)))
            elif refused:
                future.set_exception(errors.PeerRefusedError(str(cause)))
            else:
                future.set_exception(errors.PeerUnreachableError(str(cause)))
        while not self.queue.empty():
            self.queue.get_nowait()

    async def gossip(self, message: peers_pb2.GossipMessage) -> peers_pb2.GossipMessage:
        """Send gossip and return the peer's own.

        Raises PeerUnreachableError or PeerRefusedError.
        """
        return await self._call(self.stub.Gossip, message, GOSSIP_TIMEOUT_S)

    async def reachability(
        self, request: peers_pb2.ReachabilityRequest, *, timeout_s: float
    ) -> peers_pb2.ReachabilityReply:
        """Query whether the peer reaches an instance or the primary of a database.

        Raises PeerUnreachableError or PeerRefusedError.
        """
        return await self._call(self.stub.Reachability, request, timeout_s)

    async def _call(
        self, method: grpclib.client.UnaryUnaryMethod, message: object, timeout_s: float
    ) -> object:
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                return await method(message, metadata={INSTANCE_METADATA: self.own})
        except ConnectionRefusedError as error:
            raise errors.PeerRefusedError(str(error)) from error
        except (*_TRANSPORT_ERRORS, TimeoutError) as error:
            took_s = time.monotonic() - started_s
            raise errors.PeerUnreachableError(f"{error!r} after {took_s:.3f} s") from error

    async def close(self) -> None:
        """Stop the stream and close the connection."""
        if self.task is not None:
            await tasks.cancel_and_wait([self.task])
        self.channel.close()


def _is_pending(
    request: peers_pb2.Request, waiting: dict[int, asyncio.Future[peers_pb2.Reply]]
) -> bool:
    return request.id == PING_REQUEST_ID or request.id in waiting


def _first_error(group: BaseExceptionGroup) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


class PeerLinks:
    """All links of one instance, opened on first use."""

    def __init__(self, *, own: ids.InstanceId, tls: ssl.SSLContext | None = None) -> None:
        self.own = own
        self.tls = tls
        self.links: dict[ids.InstanceId, PeerLink] = {}

    def get(self, address: PeerAddress) -> PeerLink:
        """Return the link to a peer; a new one when its address has changed."""
        known = self.links.get(address.instance)
        if known is not None and known.address == address:
            return known
        link = PeerLink(address=address, own=self.own, tls=self.tls)
        self.links[address.instance] = link
        return link

    async def close_link(self, instance: ids.InstanceId) -> None:
        """Close the link to a removed peer."""
        link = self.links.pop(instance, None)
        if link is not None:
            await link.close()

    async def close(self) -> None:
        """Close all links."""
        for instance in list(self.links):
            await self.close_link(instance)
