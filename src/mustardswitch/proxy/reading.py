"""Serves one read outside of a transaction, or begins one that only reads.

A replica may serve it when its log holds the floor: a position that covers all commits that the
read must show. Otherwise the primary serves it inside a transaction, since it checks on each
statement of one that it still leads; a plain read would be answered by a former primary as well.
"""

import asyncio
import collections.abc
import dataclasses

from mustardswitch import events
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, position_history, positions, read_placement
from mustardswitch.proxy import errors, ports, requests, server, statement_context

REFRESH_SHARE = 0.6
"""Share of the accepted age at which the leader is asked again, ahead of the reads that need it."""
AGE_MARGIN_S = 0.02
"""Less than the accepted age by this much, for the way from the caller."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PinnedLink:
    """A connection with an open transaction."""

    used: server.Server
    link: ports.Link
    at_leader: bool


class ReadRun:
    """One read on its way."""

    def __init__(self, context: statement_context.StatementContext) -> None:
        self.context = context
        self.service = context.service
        self.last_refusal: requests.Answer | None = None
        self.leader_is_full = False

    # Floors

    async def _floor(self) -> positions.Position | None:
        """Return the floor of the read; None when only the leader can serve it."""
        context = self.context
        if context.route.kind is requests.RouteKind.PRIMARY:
            return None
        shared = self._shared_floor()
        if shared is None:
            refreshing = self.service.refresh_positions()
            await asyncio.wait({refreshing}, timeout=max(0.001, context.left_s))
            shared = self._shared_floor()
        elif self.service.history.age_s(clock.now_s()) > (
            REFRESH_SHARE * context.route.max_staleness_s
        ):
            self.service.refresh_positions()
        if shared is None:
            return None
        return position_history.highest([shared, self._own_floor()])

    def _shared_floor(self) -> positions.Position | None:
        accepted_s = self.context.route.max_staleness_s - AGE_MARGIN_S
        return self.service.history.min_position(
            not_before_s=self.context.first_byte_s - accepted_s
        )

    def _own_floor(self) -> positions.Position | None:
        if self.context.route.kind is not requests.RouteKind.READ_YOUR_WRITES:
            return None
        own = self.context.session.commits.get(self.service.name)
        if own is None:
            return None
        return self.service.history.min_position_for_commit(
            own.position, acknowledged_s=own.acknowledged_s
        )

    def _order(self, min_position: positions.Position | None) -> list[server.Server]:
        leader = self.service.leader
        candidates = [
            known.read_candidate(leads=known is leader)
            for known in self.service.servers.values()
            if not known.entry.leaving
        ]
        return [
            self.service.servers[chosen]
            for chosen in read_placement.order_for_read(candidates, min_position)
        ]

    def _in_turn(self, min_position: positions.Position) -> collections.abc.Iterator[server.Server]:
        """Yield the servers to ask, while time is left."""
        for used in self._order(min_position):
            if self.context.left_s <= 0 or used.server not in self.service.servers:
                return
            used.note_read_attempt(min_position)
            yield used

    # One read

    async def run(self, statement: requests.Plain | ports.RunPrepared) -> requests.Answer:
        """Return the answer to the read."""
        while True:
            min_position = await self._floor()
            answer = None
            if min_position is not None:
                answer = await self._run_at_replicas(statement, min_position)
            if answer is None and not self.leader_is_full:
                answer = await self._run_at_leader(statement)
            if answer is not None:
                return answer
            if self.leader_is_full or not await self.context.pause():
                return self.last_refusal or requests.refuse(
                    requests.Refusal.OVERLOADED, "no server could serve the read in time"
                )

    async def _run_at_replicas(
        self, statement: requests.Plain | ports.RunPrepared, min_position: positions.Position
    ) -> requests.Answer | None:
        command = ports.ReadAt(statement=statement, min_position=min_position)
        for used in self._in_turn(min_position):
            answer = await self._ask(used, command)
            if answer is not None and self._is_final(used, answer, min_position):
                return answer
        return None

    async def _ask(self, used: server.Server, command: ports.ReadAt) -> requests.Answer | None:
        """Ask one server; None when it gave no answer."""
        shape = command.statement.shape
        try:
            link = await self.context.acquire(used, shape)
            await self.context.enter(used, link, shape=shape)
        except errors.NotSentError as error:
            self._note_skipped(used, str(error))
            if isinstance(error, errors.NoRoomError) and used is self.service.leader:
                self._note_full(error)
            return None
        return await self._exchange(used, link, command)

    async def _send(
        self,
        used: server.Server,
        link: ports.Link,
        command: ports.Command,
        *,
        last: ports.Command | None = None,
    ) -> requests.Answer | None:
        """Send the read; None when no answer came, after which the connection was given up.

        A ``last`` command is sent with it, and its answer left to come.
        """
        used.in_flight += 1
        try:
            link.send(command, self.context.request)
            if last is not None:
                link.send(last)
            answer = await link.receive(self.context.patience_s(used))
        except backend_errors.BackendError as error:
            used.note_failure()
            used.abandon(link)
            self._note_skipped(used, str(error))
            return None
        except BaseException:
            used.abandon(link)
            raise
        finally:
            used.in_flight -= 1
        if answer.refusal is requests.Refusal.UNKNOWN_STATEMENT:
            link.shapes.clear()
        return answer

    async def _exchange(
        self, used: server.Server, link: ports.Link, command: ports.ReadAt
    ) -> requests.Answer | None:
        started_s = clock.now_s()
        answer = await self._send(used, link, command)
        if answer is None:
            return None
        used.note_answer(clock.now_s() - started_s if answer.succeeded else None)
        if answer.succeeded:
            used.note_caught_up(command.min_position)
        used.pool.release(link, clean=answer.state is requests.TransactionState.IDLE)
        return answer

    def _is_final(
        self, used: server.Server, answer: requests.Answer, min_position: positions.Position | None
    ) -> bool:
        if answer.succeeded:
            return True
        if answer.refusal is requests.Refusal.BEHIND and min_position is not None:
            used.note_lagging(min_position)
        else:
            used.note_failure()
            self.last_refusal = answer
        self._note_skipped(used, answer.detail or str(answer.refusal))
        return False

    def _note_full(self, error: errors.NoRoomError) -> None:
        self.leader_is_full = True
        self.last_refusal = requests.refuse(requests.Refusal.OVERLOADED, str(error))

    def _note_skipped(self, used: server.Server, why: str) -> None:
        self.service.registry.count("reads_moved_on")
        events.log(
            events.Event.SERVER_SKIPPED,
            request=self.context.request,
            service=self.service.name,
            server=used.server,
            reason=why,
            latency_s=round(used.latency_s, 4),
        )

    async def _run_at_leader(
        self, statement: requests.Plain | ports.RunPrepared
    ) -> requests.Answer | None:
        try:
            pinned = await begin_at_leader(self.context, statement.shape, holds=False)
        except errors.NoRoomError as error:
            self._note_full(error)
            return None
        except errors.ProxyError as error:
            self.last_refusal = requests.refuse(requests.Refusal.OVERLOADED, str(error))
            return None
        used, link = pinned.used, pinned.link
        started_s = clock.now_s()
        answer = await self._send(used, link, statement, last=requests.Rollback())
        if answer is None:
            return None
        self.service.roll_back(used, link, sent=True)
        if answer.succeeded:
            used.note_answer(clock.now_s() - started_s)
            self.service.note_leading(
                used.server, query_sent_at_s=started_s, position=answer.position
            )
            return dataclasses.replace(answer, state=requests.TransactionState.IDLE)
        if answer.refusal is requests.Refusal.READ_ONLY:
            self.service.note_not_leading(used.server, query_sent_at_s=started_s)
        self._is_final(used, answer, None)
        self.last_refusal = dataclasses.replace(answer, state=requests.TransactionState.IDLE)
        return None

    # A transaction that only reads

    async def begin(self, shape: requests.Shape | None) -> PinnedLink:
        """Begin a transaction on a server whose log holds the floor; raises ProxyError."""
        min_position = await self._floor()
        if min_position is not None:
            pinned = await self._begin_at_replicas(shape, min_position)
            if pinned is not None:
                return pinned
        return await begin_at_leader(self.context, shape)

    async def _begin_at_replicas(
        self, shape: requests.Shape | None, min_position: positions.Position
    ) -> PinnedLink | None:
        begin = ports.BeginAt(read_only=True, min_position=min_position)
        for used in self._in_turn(min_position):
            try:
                link = await self.context.acquire(used, shape, holds=True)
                answer = await self.context.enter(used, link, shape=shape, begin=begin)
            except errors.NotSentError as error:
                self._note_skipped(used, str(error))
                continue
            if answer.succeeded:
                used.note_answer()
                used.note_caught_up(min_position)
                return PinnedLink(used=used, link=link, at_leader=False)
            used.pool.release(link, clean=answer.state is requests.TransactionState.IDLE)
            self._is_final(used, answer, min_position)
        return None


async def begin_at_leader(
    context: statement_context.StatementContext,
    shape: requests.Shape | None,
    *,
    holds: bool = True,
) -> PinnedLink:
    """Begin a transaction at the leader, asking again while it changes.

    Raises NoLeaderError or NotSentError when none could be begun before the deadline, and at once
    NoRoomError when the leader is full.
    """
    while True:
        used = await context.service.wait_leader(context.deadline_s)
        try:
            link = await context.acquire(used, shape, holds=holds)
            query_sent_at_s = clock.now_s()
            answer = await context.enter(
                used, link, shape=shape, begin=ports.BeginAt(read_only=False)
            )
        except errors.NoRoomError:
            raise
        except errors.NotSentError:
            if not await context.pause():
                raise
            continue
        if answer.succeeded:
            used.note_answer()
            context.service.note_leading(
                used.server, query_sent_at_s=query_sent_at_s, position=answer.position
            )
            return PinnedLink(used=used, link=link, at_leader=True)
        used.pool.release(link, clean=answer.state is requests.TransactionState.IDLE)
        if answer.refusal is requests.Refusal.READ_ONLY:
            context.service.note_not_leading(used.server, query_sent_at_s=query_sent_at_s)
        if not await context.pause():
            raise errors.NotSentError(f"server {used.server} began no transaction: {answer.detail}")
