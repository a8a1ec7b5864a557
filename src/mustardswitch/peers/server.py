"""Serves other instances: statements for this instance's slots, gossip and reachability."""

import asyncio
import itertools
import typing

import grpclib.server

from mustardswitch.backends import transactions
from mustardswitch.internal import ids, outcomes, positions
from mustardswitch.peers import client, codec, peers_grpc, peers_pb2


class PeerHandler(typing.Protocol):
    """Operations of the instance that the server calls."""

    async def execute_for_peer(
        self, request: outcomes.StatementRequest, *, owner: transactions.TransactionOwner
    ) -> outcomes.StatementReply:
        """Run a statement on a slot whose gateway is this instance."""

    async def initial_min_position_for_peer(
        self, database: ids.DatabaseName, *, deadline_s: float
    ) -> positions.Position | None:
        """Return a group's initial minimum position; None when it is unknown here.

        It is determined within ``deadline_s`` seconds.
        """

    def peer_disconnected(self, owner: transactions.TransactionOwner) -> None:
        """Roll back the transactions that a disconnected peer left open."""

    def answer_gossip(self, message: peers_pb2.GossipMessage) -> peers_pb2.GossipMessage:
        """Merge a peer's gossip and return this instance's own."""

    async def answer_reachability(
        self, request: peers_pb2.ReachabilityRequest
    ) -> peers_pb2.ReachabilityReply:
        """Return whether this instance reaches another instance or a primary."""

    def describe(self) -> peers_pb2.StatusReply:
        """Return this instance's view of groups, members and document sections, for operators."""


class OperatorService(peers_grpc.OperatorsBase):
    """Answers operators' status queries."""

    def __init__(self, *, handler: PeerHandler) -> None:
        self.handler = handler

    async def Status(self, stream: grpclib.server.Stream) -> None:
        """Send the instance's view of groups, members and document sections."""
        await stream.recv_message()
        await stream.send_message(self.handler.describe())


class PeerService(peers_grpc.PeersBase):
    """Serves the requests of other instances."""

    def __init__(self, *, handler: PeerHandler) -> None:
        self.handler = handler
        self.stream_numbers = itertools.count(1)

    async def Exchange(self, stream: grpclib.server.Stream) -> None:
        """Run the statements of one peer; each reply is sent as soon as it is ready."""
        instance = str(stream.metadata.get(client.INSTANCE_METADATA, "unknown"))
        compress = client.COMPRESS_METADATA in stream.metadata
        exchange = _Exchange(
            handler=self.handler,
            stream=stream,
            owner=transactions.TransactionOwner(name=f"{instance}#{next(self.stream_numbers)}"),
            compress=compress,
        )
        await exchange.run()

    async def Gossip(self, stream: grpclib.server.Stream) -> None:
        """Merge a peer's gossip and send this instance's own."""
        message = await stream.recv_message()
        await stream.send_message(self.handler.answer_gossip(message))

    async def Reachability(self, stream: grpclib.server.Stream) -> None:
        """Answer whether this instance reaches another instance or a primary."""
        request = await stream.recv_message()
        await stream.send_message(await self.handler.answer_reachability(request))


class _Exchange:
    """One peer's stream: a task per request, one sender that batches replies."""

    def __init__(
        self,
        *,
        handler: PeerHandler,
        stream: grpclib.server.Stream,
        owner: transactions.TransactionOwner,
        compress: bool,
    ) -> None:
        self.handler = handler
        self.stream = stream
        self.owner = owner
        self.compress = compress
        self.replies: asyncio.Queue[peers_pb2.Reply] = asyncio.Queue()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until the peer disconnects; statements in flight run to their end."""
        sender = asyncio.create_task(self._send())
        try:
            async for batch in self.stream:
                for request in codec.unpack_requests(batch):
                    if request.id == client.PING_REQUEST_ID:
                        self.replies.put_nowait(peers_pb2.Reply(id=client.PING_REQUEST_ID))
                        continue
                    task = asyncio.create_task(self._answer(request))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
        finally:
            sender.cancel()
            self.handler.peer_disconnected(self.owner)

    async def _answer(self, request: peers_pb2.Request) -> None:
        reply = peers_pb2.Reply(id=request.id)
        if request.WhichOneof("body") == "floor":
            initial_min_position = await self.handler.initial_min_position_for_peer(
                ids.DatabaseName(request.floor.database), deadline_s=request.floor.deadline_s
            )
            reply.floor.SetInParent()
            if initial_min_position is not None:
                reply.floor.floor.CopyFrom(codec.encode_position(initial_min_position))
        else:
            answer = await self.handler.execute_for_peer(
                codec.decode_request(request.statement), owner=self.owner
            )
            reply.statement.CopyFrom(codec.encode_reply(answer))
        self.replies.put_nowait(reply)

    async def _send(self) -> None:
        while True:
            batch = [await self.replies.get()]
            while not self.replies.empty():
                batch.append(self.replies.get_nowait())
            await self.stream.send_message(codec.pack_replies(batch, compress=self.compress))
