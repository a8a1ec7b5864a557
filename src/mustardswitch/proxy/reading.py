"""Serves one read outside of a transaction, or begins a read-only transaction.

Any server, replica or primary, may serve a read when its log holds the minimum position, which
covers all commits that the read must show. Otherwise the primary serves it inside a transaction,
since a server checks on each statement of a transaction that it still leads; a plain read would
also be answered by a former primary.
"""

import asyncio
import collections.abc
import dataclasses

from mustardswitch import events
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, position_history, positions
from mustardswitch.internal.placement import read_placement
from mustardswitch.proxy import (
    errors,
    leader_transactions,
    ports,
    requests,
    server,
    statement_context,
)

REFRESH_SHARE = 0.6
"""Fraction of a route's staleness limit after which the leader's position is queried again, before
a read has to wait for it."""
AGE_MARGIN_S = 0.02
"""Margin subtracted from a route's staleness limit, for the statement's transit from the caller."""
FAULTS_OF_THE_SERVER = frozenset(
    {requests.Refusal.FAILED, requests.Refusal.TIMED_OUT, requests.Refusal.WRONG_SERVER}
)
"""Refusals that count as errors of the server; others are due to the statement."""


class ReadRun:
    """The execution of one read, or of the begin of one read-only transaction."""

    def __init__(self, context: statement_context.StatementContext) -> None:
        self.context = context
        self.service = context.service
        self.last_refusal: requests.Answer | None = None
        """The refusal to answer with when no server serves the read before its deadline."""
        self.was_cut_short = False
        """Whether a server was given up early; no other one is, since the read may take longer."""
        self.leader_is_full = False
        """Whether the leader cannot serve the read before its deadline; it is not tried again then
        (``errors.NoRoomError``)."""
        self.refused_by_leaver: requests.Answer | None = None
        """The refusal since the leader leaves and gets no new work; None without one."""

    # Minimum positions

    async def _min_position(self) -> positions.Position | None:
        """Return the minimum position of the read; None when only the leader can serve it."""
        context = self.context
        if context.route.kind is requests.RouteKind.PRIMARY:
            return None
        found = self.known_min_position()
        if found is None:
            refreshing = self.service.refresh_positions()
            await asyncio.wait({refreshing}, timeout=max(0.001, context.remaining_s))
            return self.known_min_position()
        if self.service.history.age_s(clock.now_s()) > (
            REFRESH_SHARE * context.route.max_staleness_s
        ):
            self.service.refresh_positions()
        return found

    def known_min_position(self) -> positions.Position | None:
        """Return the minimum position; None when the leader's has to be queried first."""
        shared = self._shared_min_position()
        if shared is None:
            return None
        return position_history.highest([shared, self._own_min_position()])

    def _shared_min_position(self) -> positions.Position | None:
        accepted_s = self.context.route.max_staleness_s - AGE_MARGIN_S
        return self.service.history.min_position(
            not_before_s=self.context.first_byte_s - accepted_s
        )

    def _own_min_position(self) -> positions.Position | None:
        if self.context.route.kind is not requests.RouteKind.READ_YOUR_WRITES:
            return None
        own = self.context.session.commits.get(self.service.name)
        if own is None:
            return None
        return self.service.history.min_position_for_commit(
            own.position, acknowledged_s=own.acknowledged_s
        )

    def ordered_servers(
        self, min_position: positions.Position | None, *, may_probe: bool
    ) -> list[server.Server]:
        """Return the servers in the order in which a read with a minimum position tries them."""
        leader = self.service.leader
        backends = [each for each in self.service.servers.values() if not each.entry.leaving]
        if self.service.placing is not None:
            order = self.service.placing.order(
                backends, min_position, leader=leader, may_probe=may_probe
            )
        else:
            order = read_placement.order_for_read(
                [backend.read_candidate(leads=backend is leader) for backend in backends],
                min_position,
            )
        return [self.service.servers[chosen] for chosen in order]

    def _servers_to_try(
        self, min_position: positions.Position, *, may_probe: bool
    ) -> collections.abc.Iterator[server.Server]:
        """Yield the servers to try, in order, until the deadline."""
        for backend in self.ordered_servers(min_position, may_probe=may_probe):
            if self.context.remaining_s <= 0 or backend.server not in self.service.servers:
                return
            backend.note_read_attempt(min_position)
            yield backend

    # One read

    async def run(self, statement: requests.Plain | ports.RunPrepared) -> requests.Answer:
        """Return the answer to the read; raises OutdatedError before it is sent."""
        while True:
            min_position = await self._min_position()
            answer = None
            if min_position is not None:
                answer = await self._run_at_replicas(statement, min_position)
            if answer is None and not self.leader_is_full:
                answer = await self._run_at_leader(statement)
            if answer is not None:
                return answer
            if self.refused_by_leaver is not None and not self._may_run_at_replicas():
                return self.refused_by_leaver
            if self.leader_is_full or not await self.context.wait_before_retry():
                return self.last_refusal or requests.refuse(
                    requests.Refusal.OVERLOADED, "no server could serve the read in time"
                )

    def _may_run_at_replicas(self) -> bool:
        """Return whether a server that stays may serve the read before its deadline."""
        if self.context.route.kind is requests.RouteKind.PRIMARY:
            return False
        return any(
            not each.entry.leaving and not each.unreachable
            for each in self.service.servers.values()
        )

    async def _run_at_replicas(
        self, statement: requests.Plain | ports.RunPrepared, min_position: positions.Position
    ) -> requests.Answer | None:
        command = ports.ReadAt(statement=statement, min_position=min_position)
        for backend in self._servers_to_try(min_position, may_probe=True):
            answer = await self._try_server(backend, command)
            if answer is not None and self._is_final(backend, answer, min_position):
                return answer
        return None

    async def _try_server(
        self, backend: server.Server, command: ports.ReadAt
    ) -> requests.Answer | None:
        """Run the read at one server; None when it gave no answer."""
        shape = command.statement.shape
        try:
            link = await self._acquire(backend, shape)
            await self.context.prepare_link(backend, link, shape=shape)
        except errors.NotSentError as error:
            self._note_skipped(backend, str(error))
            if isinstance(error, errors.NoRoomError) and backend is self.service.leader:
                self._note_full(error)
            return None
        return await self._exchange(backend, link, command)

    async def _acquire(self, backend: server.Server, shape: requests.Shape | None) -> ports.Link:
        """Return a connection; raises NotSentError.

        A server to which none is open is waited for as long as for an answer only, if there is
        another one.
        """
        is_bounded = (
            self._may_cut_short(backend)
            and backend is not self.service.leader
            and backend.pool.held <= backend.pool.opening
        )
        if not is_bounded:
            return await self.context.acquire(backend, shape)
        try:
            async with asyncio.timeout(self.service.placing.attempt_s(backend)):
                return await self.context.acquire(backend, shape)
        except TimeoutError as error:
            self._note_cut_short()
            raise errors.NotSentError(f"server {backend.server} opens no connection") from error

    def _may_cut_short(self, backend: server.Server) -> bool:
        placing = self.service.placing
        return (
            placing is not None
            and backend.health is not None
            and not self.was_cut_short
            and len(self.service.servers) > 1
            and placing.budget.available
        )

    def _note_cut_short(self) -> None:
        self.was_cut_short = True
        self.service.placing.budget.spend()
        self.service.placing.reporter.note_cut_short()

    async def _send(
        self,
        backend: server.Server,
        link: ports.Link,
        command: ports.Command,
        *,
        last: ports.Command | None = None,
    ) -> requests.Answer | None:
        """Send the read and return its answer; None without one, and the connection is abandoned.

        A ``last`` command is sent along with the read; its answer is still to be received.
        """
        timeout_s = self.context.answer_timeout_s(backend)
        cuts_short = last is None and self._may_cut_short(backend)
        if cuts_short:
            timeout_s = min(timeout_s, self.service.placing.attempt_s(backend))
        sent_s = clock.now_s()
        backend.in_flight += 1
        try:
            link.send(command, self.context.request)
            if last is not None:
                link.send(last)
            answer = await link.receive(timeout_s)
        except backend_errors.BackendError as error:
            waited_s = clock.now_s() - sent_s
            timed_out = waited_s >= timeout_s
            if cuts_short and timed_out:
                self._note_cut_short()
            backend.note_failure(str(error), waited_s=waited_s if timed_out else None)
            backend.abandon(link)
            self._note_skipped(backend, str(error))
            return None
        except BaseException:
            backend.abandon(link)
            raise
        finally:
            backend.in_flight -= 1
        if answer.refusal is requests.Refusal.UNKNOWN_STATEMENT:
            link.shapes.clear()
        return answer

    async def _exchange(
        self, backend: server.Server, link: ports.Link, command: ports.ReadAt
    ) -> requests.Answer | None:
        if not self.service.accepts_new_work(backend):
            backend.pool.release(link, clean=True)
            self._note_skipped(backend, "the server leaves")
            return None
        self.context.check_current_on(backend, link)
        started_s = clock.now_s()
        answer = await self._send(backend, link, command)
        if answer is None:
            return None
        latency_s = clock.now_s() - started_s if answer.succeeded else None
        backend.note_answer(latency_s)
        if self.service.placing is not None:
            self.service.placing.note_read(latency_s)
        if answer.succeeded:
            backend.note_caught_up(command.min_position)
        backend.pool.release(link, clean=answer.state is requests.TransactionState.IDLE)
        return answer

    def _is_final(
        self,
        backend: server.Server,
        answer: requests.Answer,
        min_position: positions.Position | None,
    ) -> bool:
        """Return whether to answer the caller; otherwise record why the server is skipped."""
        if answer.succeeded:
            return True
        if answer.refusal is requests.Refusal.BEHIND and min_position is not None:
            backend.note_lagging(min_position)
        else:
            self._note_refused(backend, answer)
            self.last_refusal = answer
        self._note_skipped(backend, answer.detail or str(answer.refusal))
        return False

    def _note_refused(self, backend: server.Server, answer: requests.Answer) -> None:
        if answer.refusal is requests.Refusal.OVERLOADED:
            backend.note_rejection(answer.detail)
        elif answer.refusal in FAULTS_OF_THE_SERVER:
            backend.note_failure(f"{answer.refusal.value}: {answer.detail}")
        else:
            backend.note_bad_statement()

    def _note_full(self, error: errors.NoRoomError) -> None:
        self.leader_is_full = True
        self.last_refusal = requests.refuse(requests.Refusal.OVERLOADED, str(error))

    def _note_skipped(self, backend: server.Server, why: str) -> None:
        self.service.registry.count("reads_moved_on")
        events.log(
            events.Event.SERVER_SKIPPED,
            request=self.context.request,
            service=self.service.name,
            server=backend.server,
            reason=why,
            latency_s=round(backend.latency_s, 4),
        )

    async def _run_at_leader(
        self, statement: requests.Plain | ports.RunPrepared
    ) -> requests.Answer | None:
        try:
            pinned = await leader_transactions.begin_at_leader(
                self.context, statement.shape, holds=False
            )
        except errors.NoRoomError as error:
            self._note_full(error)
            return None
        except errors.ServerLeavingError as error:
            self.refused_by_leaver = requests.refuse(requests.Refusal.OVERLOADED, str(error))
            self.last_refusal = self.refused_by_leaver
            return None
        except errors.ProxyError as error:
            self.last_refusal = requests.refuse(requests.Refusal.OVERLOADED, str(error))
            return None
        backend, link = pinned.backend, pinned.link
        if not self.service.accepts_new_work(backend):
            self.service.roll_back(backend, link)
            return None
        try:
            self.context.check_current()
        except errors.OutdatedError:
            self.service.roll_back(backend, link)
            raise
        started_s = clock.now_s()
        answer = await self._send(backend, link, statement, last=requests.Rollback())
        if answer is None:
            return None
        self.service.roll_back(backend, link, sent=True)
        if answer.succeeded:
            backend.note_answer(clock.now_s() - started_s)
            self.service.note_leading(
                backend.server, query_sent_at_s=started_s, position=answer.position
            )
            return dataclasses.replace(answer, state=requests.TransactionState.IDLE)
        if answer.refusal is requests.Refusal.READ_ONLY:
            self.service.note_not_leading(backend.server, query_sent_at_s=started_s)
        self._is_final(backend, answer, None)
        self.last_refusal = dataclasses.replace(answer, state=requests.TransactionState.IDLE)
        return None

    # Read-only transactions

    async def begin(self, shape: requests.Shape | None) -> leader_transactions.PinnedLink:
        """Begin a transaction on a server whose log holds the minimum position.

        Raises ProxyError.
        """
        min_position = await self._min_position()
        if min_position is not None:
            pinned = await self._begin_at_replicas(shape, min_position)
            if pinned is not None:
                return pinned
        return await leader_transactions.begin_at_leader(self.context, shape)

    async def _begin_at_replicas(
        self, shape: requests.Shape | None, min_position: positions.Position
    ) -> leader_transactions.PinnedLink | None:
        begin = ports.BeginAt(read_only=True, min_position=min_position)
        for backend in self._servers_to_try(min_position, may_probe=False):
            try:
                link = await self.context.acquire(backend, shape, holds=True)
                answer = await self.context.prepare_link(backend, link, shape=shape, begin=begin)
            except errors.NotSentError as error:
                self._note_skipped(backend, str(error))
                continue
            if answer.succeeded:
                backend.note_answer()
                backend.note_caught_up(min_position)
                return leader_transactions.PinnedLink(backend=backend, link=link, at_leader=False)
            backend.pool.release(link, clean=answer.state is requests.TransactionState.IDLE)
            self._is_final(backend, answer, min_position)
        return None
