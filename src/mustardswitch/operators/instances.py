"""Queries instances for their status and for the revision of a section in force on each."""

import asyncio
import collections.abc
import dataclasses
import ssl

import grpclib
import grpclib.client
import grpclib.exceptions

from mustardswitch.etcd import instances as listed_instances
from mustardswitch.etcd import store
from mustardswitch.internal import ids
from mustardswitch.operators import errors
from mustardswitch.peers import peers_grpc, peers_pb2

STATUS_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class RolloutProgress:
    """On which instances a revision is in force, on which not yet, and which did not answer."""

    in_force: frozenset[str]
    waiting: frozenset[str]
    unreachable: frozenset[str]


async def read_status(
    host: str, port: int, *, tls: ssl.SSLContext | None = None
) -> peers_pb2.StatusReply:
    """Query the status of one instance at its peers' port.

    Raises InstanceUnreachableError when it does not answer within ``STATUS_TIMEOUT_S``.
    """
    channel = grpclib.client.Channel(host, port, ssl=tls)
    try:
        stub = peers_grpc.OperatorsStub(channel)
        async with asyncio.timeout(STATUS_TIMEOUT_S):
            return await stub.Status(peers_pb2.StatusRequest())
    except (
        OSError,
        TimeoutError,
        grpclib.GRPCError,
        grpclib.exceptions.StreamTerminatedError,
    ) as error:
        raise errors.InstanceUnreachableError(
            f"instance at {host}:{port} did not answer: {error!r}"
        ) from error
    finally:
        channel.close()


async def list_instances(client: store.Store) -> list[listed_instances.ListedInstance]:
    """Read the platform's list of instances; raises StoreUnavailableError."""
    snapshot = await client.read_prefix(listed_instances.INSTANCE_PREFIX)
    return [
        listed_instances.ListedInstance.model_validate_json(value.value or b"")
        for value in snapshot.values
    ]


async def follow_revision(
    listed: collections.abc.Sequence[listed_instances.ListedInstance],
    name: ids.SectionName,
    revision: int,
    *,
    timeout_s: float,
    tls: ssl.SSLContext | None = None,
) -> collections.abc.AsyncIterator[RolloutProgress]:
    """Yield a revision's progress until it is in force on all instances or ``timeout_s`` passes."""
    ends_s = asyncio.get_running_loop().time() + timeout_s
    while True:
        progress = await _query_all(listed, name, revision, tls)
        yield progress
        done = not progress.waiting and not progress.unreachable
        if done or asyncio.get_running_loop().time() >= ends_s:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def _query_all(
    listed: collections.abc.Sequence[listed_instances.ListedInstance],
    name: ids.SectionName,
    revision: int,
    tls: ssl.SSLContext | None,
) -> RolloutProgress:
    answers = await asyncio.gather(
        *(read_status(item.host, item.port, tls=tls) for item in listed), return_exceptions=True
    )
    in_force, waiting, unreachable = set(), set(), set()
    for item, answer in zip(listed, answers, strict=True):
        if isinstance(answer, errors.InstanceUnreachableError):
            unreachable.add(item.instance)
        elif isinstance(answer, BaseException):
            raise answer
        elif _revision_of(answer, name) >= revision:
            in_force.add(item.instance)
        else:
            waiting.add(item.instance)
    return RolloutProgress(
        in_force=frozenset(in_force),
        waiting=frozenset(waiting),
        unreachable=frozenset(unreachable),
    )


def _revision_of(status: peers_pb2.StatusReply, name: ids.SectionName) -> int:
    return next((item.revision for item in status.sections if item.name == name), 0)
