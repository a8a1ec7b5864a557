"""One service: its servers, its leader, and the log positions reported by the leader."""

import asyncio
import collections.abc
import contextlib
import copy
import dataclasses
import math

from mustardswitch import events, metrics
from mustardswitch.internal import (
    acknowledged_end,
    clock,
    commit_permission,
    ids,
    leave_notices,
    position_history,
    positions,
    suspicion,
    unlisted_servers,
)
from mustardswitch.peers import datagrams
from mustardswitch.proxy import (
    commit_gate,
    commit_holds,
    errors,
    feature_set,
    former_commits,
    leader_changes,
    ports,
    requests,
    server,
    server_list,
    server_pace,
    stalls,
    status_queries,
    unlisted,
)

HISTORY_RETENTION_S = 10.0
"""Largest staleness that reads can accept."""
PERMISSION_POLL_S = 0.05
"""Interval at which work looks whether it may be sent, if that may change with time only."""
FINISH_TIMEOUT_S = 1.0
"""Time for the answer to the last command on a connection before it is closed."""


class Service(status_queries.StatusQueries):
    """This instance's state of one service, and its connections to the service's servers."""

    def __init__(
        self,
        *,
        name: ids.ServiceName,
        location: server_list.Location,
        opener: ports.LinkOpener,
        order_opener: ports.OrderOpener | None = None,
        registry: metrics.Registry,
        features: feature_set.Features = feature_set.NO_FEATURES,
        paces: server_pace.PaceBook | None = None,
        stall_meter: stalls.StallMeter | None = None,
        registrations: commit_holds.SourceList | None = None,
        permission: commit_permission.CommitPermission | None = None,
        permitted: collections.abc.Callable[[], bool] = lambda: True,
        listing_s: float = unlisted_servers.DEFAULT_LISTING_S,
        drain: leave_notices.DrainSettings | None = None,
    ) -> None:
        super().__init__(
            name=name,
            location=location,
            opener=opener,
            registry=registry,
            features=features,
            paces=paces,
            stall_meter=stall_meter,
            registrations=registrations,
            listing_s=listing_s,
            permission=permission or commit_permission.CommitPermission(),
            drain=drain,
        )
        self.order_opener = order_opener or self._open_for_order
        """Opens connections for orders to stop, with more time for a server that is slow."""
        self.led_until_s = float("-inf")
        """Until when this instance last knew a leader that it does not know any more."""
        self.requested: ids.ServerId | None = None
        """The server whose promotion is recorded and may take effect; None without one."""
        self.requested_revision: int | None = None
        """The revision of that record; None without one, and if this instance wrote it."""
        self.promotion_summary = ""
        """Why the promotion that this instance requested last was proved; empty without one."""
        self.proved: datagrams.ProvedPromotion | None = None
        """That promotion; None without one."""
        self.commits = commit_gate.CommitGate(
            records=self.hold.registrations,
            permission=self.permission,
            permitted=permitted,
        )
        self.history = position_history.PositionHistory(retention_s=HISTORY_RETENTION_S)
        self.samples = acknowledged_end.RecentSamples()
        self.changed = asyncio.Event()
        """Set, and then replaced, when the servers or the leader may have changed."""
        self.closed_to_new_work: set[ids.ServerId] = set()
        """Listed servers that leave and get no new work any more."""
        self.leader_changes = leader_changes.LeaderChanges(service=name)

    def __repr__(self) -> str:
        return f"Service(name={self.name!r}, location={self.location!r})"

    def preview(self) -> "Service":
        """Return a copy on which the choice of a server can be tried; nothing may be sent by it."""
        copied = copy.copy(self)
        copied.servers = {name: backend.preview() for name, backend in self.servers.items()}
        copied.placing = self.placing.preview() if self.placing is not None else None
        return copied

    async def _open_for_order(
        self, entry: ports.ServerEntry, on_connected: collections.abc.Callable[[], None]
    ) -> ports.Link:
        link = await self.opener(entry)
        on_connected()
        return link

    # Leadership

    @property
    def leader(self) -> server.Server | None:
        """The server that leads by the latest evidence; None when none is known."""
        found = self.leadership.leader(self.servers)
        return self.servers[found] if found is not None else None

    def _note_change(self) -> None:
        found = self.leadership.leader(self.servers)
        if found is not None and self.former_primary is not None:
            self._note_replaced(self.former_primary)
        elif found is None and self.leader_changes.logged is not None:
            self.led_until_s = clock.now_s()
        if found != self.leader_changes.logged:
            self.leader_changes.log(found, term=self.acknowledged.latest_term(found))
        self.hold.update(
            requested=self.requested or self.commits.awaited,
            leader=found,
            term=self.acknowledged.latest_term(found),
            revision=self.requested_revision,
        )
        for backend in self.servers.values():
            if backend.pace is not None:
                backend.pace.note_leads(backend.server == found)
        self.changed.set()
        self.changed = asyncio.Event()

    def note_leading(
        self, leader: ids.ServerId, *, query_sent_at_s: float, position: positions.Position | None
    ) -> None:
        """Record an answer that only the leading primary gives.

        ``query_sent_at_s`` is when the query was sent (``clock.now_s``).
        """
        self.leadership.note_leading(leader, at_s=query_sent_at_s)
        if position is not None:
            self.acknowledged.note_shown(leader, position)
            self.history.record(
                position_history.PositionSample(query_sent_at_s=query_sent_at_s, position=position)
            )
            self.samples.note_answer(position, sent_at_s=query_sent_at_s)
        if leader != self.leader_changes.logged:
            self._note_change()
        else:
            self.hold.note_leader(leader, self.acknowledged.latest_term(leader))

    def note_not_leading(self, refused_by: ids.ServerId, *, query_sent_at_s: float) -> None:
        """Record that a server answered that it does not lead."""
        self.leadership.note_not_leading(refused_by, at_s=query_sent_at_s)
        self._note_change()

    def note_recorded_promotion(
        self,
        requested: ids.ServerId | None,
        *,
        revision: int | None = None,
        by: str = commit_holds.RECORDS,
    ) -> None:
        """Record that a server's promotion may take effect, or with None that none can.

        ``by`` is who told of the record, for the log.
        """
        if requested != self.requested:
            self.requested, self.requested_revision = requested, revision
            if requested is not None:
                self.hold.note_source(requested, by)
            self.commits.note_requested(requested, revision=revision)
            self._note_change()

    def note_announced_promotion(
        self, promoted: datagrams.RecordedPromotion, *, by: str | None = None
    ) -> None:
        """Record that an instance has recorded a promotion; ``by`` is the one that told it."""
        before = self.commits.awaited
        self.commits.note_announced(promoted)
        if by is not None:
            self.hold.note_source(promoted.server, by)
        if self.commits.awaited != before:
            self._note_change()

    def note_proved(
        self,
        proved: datagrams.ProvedPromotion,
        *,
        summary: str,
        holder: ids.InstanceId | None = None,
    ) -> None:
        """Keep for the log what proved a promotion; without ``holder``, one of this instance."""
        if holder is None:
            self.proved = proved
        self.leader_changes.note_told(proved.server, holder=holder, summary=summary)
        if proved.end is not None:
            self.acknowledged.note_promoted(proved.server, proved.end, now_s=clock.now_s())

    def note_commit_sent(
        self, server: ids.ServerId, request: ids.RequestId
    ) -> former_commits.SentCommit:
        """Keep for the log that a commit is sent to a server."""
        return self.hold.former_commits.note_sent(
            server,
            request,
            term=self.acknowledged.led_term(server),
            recorded=self.requested or self.commits.awaited,
        )

    def may_acknowledge(
        self,
        commit: commit_gate.CommitUnderWay,
        sent: former_commits.SentCommit,
        position: positions.Position | None,
    ) -> bool:
        """Return whether the caller of a commit that has succeeded may be told so.

        Keeps for the log that it has; ``position`` is that of its answer.
        """
        self.acknowledged.note_answer(position)
        acknowledged = self.commits.may_acknowledge(commit)
        self.hold.former_commits.note_answered(
            sent,
            position,
            recorded=self.requested or self.commits.awaited,
            acknowledged=acknowledged,
        )
        return acknowledged

    def recorded_promotions(self) -> list[datagrams.RecordedPromotion]:
        """Return the promotions that are known to be recorded and may take effect."""
        found = []
        if self.requested is not None:
            found.append(
                datagrams.RecordedPromotion(
                    service=self.name,
                    server=self.requested,
                    revision=self.requested_revision or self.commits.records.revision,
                )
            )
        if self.commits.awaited is not None:
            found.append(self.commits.announced)
        return found

    def may_commit(self, leader: server.Server) -> bool:
        """Return whether commits may be sent to a leader.

        Not while it is being replaced, nor while this instance could not know of that.
        """
        return self.commits.allows(leader.server)

    # New work

    def decide_new_work(self, backend: server.Server) -> leave_notices.Decision:
        """Decide what becomes of new work for a server that leads."""
        staying = sum(not each.entry.leaving for each in self.servers.values())
        succession = leave_notices.Succession(staying=staying)
        if self.hold.since_s is not None:
            succession = dataclasses.replace(succession, recorded_at_s=self.hold.since_s)
        member = unlisted.member_of(backend.entry)
        return self.leave_notices.decide(member, succession, clock.now_s())

    def end_new_work(self) -> None:
        """Refuse what waits for servers that get no new work any more; call at short intervals."""
        if not self.leave_notices.notices and not self.closed_to_new_work:
            return
        now_s = clock.now_s()
        closed = {each.server for each in self.servers.values() if not self.accepts_new_work(each)}
        for name in closed - self.closed_to_new_work:
            if self.leader is self.servers[name]:
                self._report_closed(self.servers[name], now_s)
            self.servers[name].pool.reject_waiters(
                "the server leaves", include_waiting_for_server=True
            )
        changed, self.closed_to_new_work = closed != self.closed_to_new_work, closed
        if changed:
            self._note_change()

    def _report_closed(self, backend: server.Server, now_s: float) -> None:
        notice = self.leave_notices.notice_of(unlisted.member_of(backend.entry))
        decision = self.decide_new_work(backend)
        self.registry.count("primaries_closed_to_new_work", self.name)
        events.log(
            events.Event.SERVER_CLOSED,
            service=self.name,
            server=backend.server,
            announced_s=round(now_s - notice.not_before_s, 3),
            read_s=round(now_s - notice.read_at_s, 3),
            waiting=backend.pool.waiting,
            verdict=decision.verdict.value,
            reason=decision.reason,
        )

    def refusal_of_new_work(
        self, backend: server.Server, decision: leave_notices.Decision
    ) -> errors.ServerLeavingError:
        """Return the error for new work that may not be sent to a leaving server."""
        retry_ms = math.ceil(1000 * decision.retry_s)
        return errors.ServerLeavingError(
            f"server {backend.server} of service {self.name} leaves: {decision.reason};"
            f" retry after {retry_ms} ms"
        )

    async def wait_leader(self, deadline_s: float, *, for_commits: bool = False) -> server.Server:
        """Return the leader, or wait for one until ``deadline_s`` on the event loop's clock.

        A leader that gets no new work is not returned, and with ``for_commits`` none that
        ``may_commit`` excludes. Raises NoLeaderError: at once if this instance hears neither from
        the store nor from all others, and as ServerLeavingError if the leader leaves and no other
        server is about to lead.
        """
        loop = asyncio.get_running_loop()
        held = False
        while True:
            found = self.leader
            closed = found is not None and not self.accepts_new_work(found)
            if found is not None and not closed and (not for_commits or self.may_commit(found)):
                return found
            if for_commits and self.commits.is_cut_off():
                raise errors.NoLeaderError(
                    f"the primary of service {self.name} may have been replaced unnoticed"
                )
            if closed:
                decision = self.decide_new_work(found)
                if decision.verdict is leave_notices.Verdict.REFUSE:
                    self.registry.count("new_work_refused", self.name)
                    raise self.refusal_of_new_work(found, decision)
            if found is not None and not held:
                held = True
                self.hold.waited += 1
            changed = self.changed
            try:
                async with asyncio.timeout(deadline_s - loop.time()):
                    await self._wait_for(changed, polls=for_commits or closed)
            except TimeoutError as error:
                why = "no server leads" if found is None else "the primary is replaced in"
                raise errors.NoLeaderError(f"{why} service {self.name}") from error

    async def _wait_for(self, changed: asyncio.Event, *, polls: bool) -> None:
        """Wait for a change of the servers or the leader; with ``polls`` not for long."""
        if not polls:
            await changed.wait()
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PERMISSION_POLL_S):
                await changed.wait()

    def contact(self, *, stall_s: float) -> suspicion.PrimaryContact | None:
        """Describe this instance's contact with the leader; None without a leader.

        ``stall_s`` is by how much the instance's own timers were late.
        """
        leader = self.leader
        if leader is None:
            return None
        now_s = clock.now_s()
        rest = (each for each in self.servers.values() if each is not leader)
        others = [now_s - each.answered_at_s for each in rest]
        return suspicion.PrimaryContact(
            unanswered_s=leader.unanswered_s(now_s),
            failed_probes=leader.failed_probes,
            refused_connections=leader.refused_connections,
            listed=True,
            other_answered_s=min(others, default=float("inf")),
            stall_s=stall_s,
        )

    # Background tasks

    def roll_back(self, backend: server.Server, link: ports.Link, *, sent: bool = False) -> None:
        """Roll back the transaction of a connection, then release it to the pool.

        ``sent`` means that the rollback was sent already and only its answer is missing.
        """
        command = None if sent else requests.Rollback()
        self.start(backend.finish(link, command, FINISH_TIMEOUT_S))
