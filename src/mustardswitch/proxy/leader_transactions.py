"""Begins transactions at the primary of a service."""

import dataclasses

from mustardswitch.internal import clock
from mustardswitch.proxy import errors, ports, requests, server, statement_context


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PinnedLink:
    """A connection with an open transaction."""

    backend: server.Server
    link: ports.Link
    at_leader: bool


async def begin_at_leader(
    context: statement_context.StatementContext,
    shape: requests.Shape | None,
    *,
    holds: bool = True,
    for_commits: bool = False,
) -> PinnedLink:
    """Begin a transaction at the leader, retrying while the leader changes.

    With ``for_commits`` none is begun while the leader is being replaced, which would abort it.

    Raises NoLeaderError or NotSentError when no transaction could be begun before the deadline, and
    NoRoomError at once when the leader is full.
    """
    while True:
        backend = await context.service.wait_leader(context.deadline_s, for_commits=for_commits)
        try:
            link = await context.acquire(backend, shape, holds=holds)
            query_sent_at_s = clock.now_s()
            answer = await context.prepare_link(
                backend, link, shape=shape, begin=ports.BeginAt(read_only=False)
            )
        except errors.NoRoomError:
            raise
        except errors.NotSentError:
            if not await context.wait_before_retry():
                raise
            continue
        if answer.succeeded:
            backend.note_answer()
            context.service.note_leading(
                backend.server, query_sent_at_s=query_sent_at_s, position=answer.position
            )
            return PinnedLink(backend=backend, link=link, at_leader=True)
        backend.pool.release(link, clean=answer.state is requests.TransactionState.IDLE)
        if answer.refusal is requests.Refusal.READ_ONLY:
            context.service.note_not_leading(backend.server, query_sent_at_s=query_sent_at_s)
        if not await context.wait_before_retry():
            raise errors.NotSentError(
                f"server {backend.server} did not begin a transaction: {answer.detail}"
            )
