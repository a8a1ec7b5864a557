"""An attempt to change the primary of one service under a claim: its claim, record and pauses."""

import asyncio
import collections.abc
import dataclasses

from mustardswitch import events
from mustardswitch.internal import clock, handover, ids, positions, promotion, revisions
from mustardswitch.proxy import (
    change_waits,
    commit_holds,
    errors,
    final_ends,
    ports,
    server_commands,
    service,
    takeover_report,
)

POLL_S = 0.05
"""Pause between queries to a server that is catching up or is being promoted."""
CLAIM_MARGIN_S = 0.5
"""Time before the claim's expiry from which its holder does nothing more; a promotion request may
be under way for this long, between regions or to a slow platform."""

HOLD_REPORT_S = 1.0
"""Interval at which the instances are logged that have not confirmed a hold."""
MAX_UNCONFIRMED = 5
"""Instances that have not confirmed a hold and are named in a log line."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """The record of a promotion in the store, as this holder has written it."""

    server: ids.ServerId
    revision: revisions.Revision
    at_s: float
    """When the store had confirmed the first one under the claim (``clock.now_s``)."""


class Attempt:
    """What the holder of a claim knows, and has ordered."""

    def __init__(
        self,
        *,
        target: service.Service,
        claim: ports.Claim,
        coordination: ports.Coordination,
    ) -> None:
        self.target = target
        self.claim = claim
        self.coordination = coordination
        self.commands = takeover_report.RecordedCommands(target=target)
        self.term = ids.Term(0)
        """The term under which replicas are paused and the primary is stopped."""
        self.stopped_end: positions.Position | None = None
        """End of the log of the primary, which takes no commits any more; None before that."""
        self.was_stopped = False
        """Whether the primary was stopped under this claim, and its end is to be read again."""
        self.recorded_end: ports.StoppedPrimary | None = None
        """The primary that this holder or an earlier one has stopped, as recorded in the store."""
        self.final_ends = final_ends.FinalEnds(target=target, coordination=coordination)
        """Ends of logs that were read after commits had ended."""
        self.primary_end = positions.ORIGIN
        """The highest end of the log that a primary has shown to this holder."""
        self.replica_end: positions.Position | None = None
        """End of a silent primary that has answered another order as a replica; None without."""
        self.ordered_to_stop = False
        """Whether a primary was ordered to stop under ``term``."""
        self.list_read_at_s = float("-inf")
        """When the store was last asked for the list of servers (``clock.now_s``)."""
        self.may_be_paused: set[ids.ServerId] = set()
        """Servers that may be paused and have not been resumed."""
        self.silent: set[ids.ServerId] = set()
        """Servers that gave this instance no answer, to be paused through others."""
        self.record: Record | None = None
        """The record of this holder; None before it."""
        self.report: ports.HoldReport | None = None
        """The latest report about the hold for that record; None before it was asked for."""
        self.requested: ids.ServerId | None = None
        """The server whose promotion was recorded, by this holder or an earlier one, and may take
        effect; None without one."""
        self.wait = change_waits.ChangeWait(target=target, coordination=coordination)
        """What keeps this holder from a proof, and what an operator gives up for it."""
        self.earlier_request: ids.ServerId | None = None
        """The record of an earlier holder whose request may be executed, or take effect."""

    def __repr__(self) -> str:
        return f"{type(self).__name__}(target={self.target!r}, claim={self.claim!r})"

    # The claim

    def note_claim_lost(self) -> None:
        """Act from now on as if the claim had expired."""
        self.claim = dataclasses.replace(self.claim, expires_at_s=clock.now_s())

    def holds_claim(self) -> bool:
        """Return whether no other instance can hold the claim yet."""
        return clock.now_s() + CLAIM_MARGIN_S < self.claim.expires_at_s

    def recorded_name(self, server: ids.ServerId) -> ids.ServerId:
        """Return what is recorded for a server that is to be promoted.

        While the request of an earlier holder may make another one lead, also after it, the record
        lets no commits pass.
        """
        if self.earlier_request in (None, server) or promotion.lets_no_commits_pass(server):
            return server
        return promotion.holding(server)

    async def _record(self, successor: ids.ServerId) -> bool:
        """Record the server in the store; False when that is not possible under the claim."""
        recorded = self.recorded_name(successor)
        while self.holds_claim():
            # Set before the call, which may be executed although its answer is lost.
            self.requested = successor
            try:
                revision = await self.coordination.record_promotion(self.claim, recorded)
            except errors.StoreError as error:
                events.log(events.Event.CLAIM_FAILED, service=self.target.name, reason=str(error))
                await asyncio.sleep(POLL_S)
                continue
            if revision is None:
                self.note_claim_lost()
                return False
            self.target.note_recorded_promotion(recorded, revision=revision, by=commit_holds.OWN)
            # Under one claim commits are held without a break, whichever server is named, unless
            # an earlier request for the named one lets commits pass.
            held = self.record is not None and (
                self.record.server != self.earlier_request
                or promotion.lets_no_commits_pass(self.record.server)
            )
            at_s = self.record.at_s if held else clock.now_s()
            self.record = Record(server=recorded, revision=revision, at_s=at_s)
            self.final_ends.may_be_recorded = False
            await self.final_ends.write(self.claim, revision)
            return True
        return False

    async def ensure_recorded(self, successor: ids.ServerId) -> bool:
        """Record the server unless this holder has done so; False when that is not possible."""
        if self.record is not None and self.record.server == self.recorded_name(successor):
            return True
        return await self._record(successor)

    async def withdraw_final_ends(self) -> bool:
        """Remove final ends from the store; False when that is not possible under the claim."""
        self.final_ends.clear()
        return not self.final_ends.may_be_recorded or await self._record(self.requested)

    def hold_commits(self, stop: ports.StopRequest | None = None) -> ports.HoldReport:
        """Ask the instances to hold commits back for the server that this holder has recorded.

        With ``stop`` they are to order a primary to stop as well.
        """
        self.report = self.coordination.hold_commits(
            self.claim,
            self.record.server,
            revision=self.record.revision,
            recorded_at_s=self.record.at_s,
            stop=stop,
        )
        return self.report

    async def await_hold(self) -> None:
        """Wait until all instances hold commits back, or the claim has ended."""
        report_at_s = clock.now_s() + HOLD_REPORT_S
        while self.holds_claim() and not self.hold_commits().complete:
            if clock.now_s() >= report_at_s:
                report_at_s += HOLD_REPORT_S
                self._report_hold()
            await asyncio.sleep(POLL_S)

    def _report_hold(self) -> None:
        """Log which instances have not confirmed the hold."""
        unconfirmed = sorted(self.report.unconfirmed)
        events.log(
            events.Event.HOLD_AWAITED,
            unconfirmed=" ".join(unconfirmed[:MAX_UNCONFIRMED]),
            missing=len(unconfirmed),
            unregistered=" ".join(
                sorted(self.report.unregistered & self.report.unconfirmed)[:MAX_UNCONFIRMED]
            ),
            held_s=round(clock.now_s() - self.record.at_s, 1),
            holder_leaves=self.target.permission.has_left,
            service=self.target.name,
            server=self.record.server,
        )

    def describe_hold(self) -> str:
        """Describe for how long commits were held, who has not confirmed it, and what this knows.

        That is the highest position below a commit that an instance has acknowledged, the highest
        one that came with a commit acknowledged here, and the seconds since the first reading of
        the list of servers.
        """
        if self.record is None or self.report is None:
            return ""
        now_s = clock.now_s()
        age_s = now_s - self.target.hold.registrations.first_read_at_s
        held = (
            f"held {now_s - self.record.at_s:.1f}s age {age_s:.1f}s above {self.report.above}"
            f" shown {self.target.acknowledged.highest_shown(but=self.record.server)}"
        )
        unconfirmed = sorted(self.report.unconfirmed)[:MAX_UNCONFIRMED]
        return f"{held} without {' '.join(unconfirmed)}" if unconfirmed else held

    async def _record_end(self, primary: ids.ServerId, end: positions.Position) -> None:
        """Record the end of a stopped primary, for the next holder, unless that was done."""
        stopped = ports.StoppedPrimary(server=primary, end=end)
        if stopped == self.recorded_end:
            return
        try:
            await self.coordination.record_end(self.claim, stopped)
        except errors.StoreError as error:
            # Only the next holder needs it, if this one dies.
            events.log(events.Event.CLAIM_FAILED, service=self.target.name, reason=str(error))
        else:
            self.recorded_end = stopped

    def _required_end(self) -> positions.Position | None:
        """Return the end of a primary that was stopped before, unless its process has ended."""
        stopped = self.recorded_end
        counts = stopped is not None and self._may_run(stopped.server)
        ends = [stopped.end if counts else None, self.replica_end]
        return max((end for end in ends if end is not None), default=None)

    def _may_run(self, name: ids.ServerId) -> bool:
        """Return whether a server is listed, or known and not found ended since the record."""
        backend = self.target.known_servers().get(name)
        if backend is None or name in self.target.servers:
            return backend is not None
        return self.record is None or not backend.contacts.ended_since(self.record.at_s)

    # Servers

    def confirming(self) -> set[ids.ServerId]:
        """Return the servers that a hand-over waits for, as far as they are known now."""
        return set(self.target.servers_with_commits())

    def possible_holders(self) -> set[ids.ServerId]:
        """Return all servers that may hold acknowledged commits, as far as they are known now."""
        return set(self.target.possible_holders())

    def covered(self, *, since_s: float) -> dict[ids.ServerId, positions.Position]:
        """Return the servers that were found without a process since then, and are covered.

        One whose place another process has taken is no such server.
        """
        found = {
            name: self.target.covered_end(name)
            for name, backend in self.target.possible_holders().items()
            if name not in self.commands.unnamed and backend.contacts.ended_since(since_s)
        }
        return {name: end for name, end in found.items() if end is not None}

    async def pause_others(
        self,
        statuses: server_commands.Statuses,
        *,
        spared: collections.abc.Set[ids.ServerId | None],
        await_silent: bool = False,
    ) -> server_commands.Statuses:
        """Pause all servers but the ``spared`` ones; return the statuses of those that are paused.

        Servers that have been without an entry for long and give no answer are asked only with
        ``await_silent``, since each attempt takes its whole time. ``statuses`` must have been
        queried just now: a restart, or a RESUME of an earlier change that was delayed, may end a
        pause at any time. A server that leads is returned as well.
        """
        expected = self.possible_holders() - spared
        if not await_silent:
            expected &= self.confirming() | statuses.keys()
        receiving = handover.servers_to_pause(expected=expected, statuses=statuses, term=self.term)
        self.may_be_paused |= expected
        if receiving and self.holds_claim():
            statuses = statuses | await self.commands.pause(receiving, self.term)
        return {
            name: status
            for name, status in statuses.items()
            if name in expected and (status.paused or status.leads)
        }

    def _is_listed_primary(self, server: ids.ServerId | None) -> bool:
        """Return whether a server is listed as the primary, or is not listed."""
        backend = self.target.servers.get(server)
        return backend is None or backend.entry.role is promotion.Role.PRIMARY

    def _leaving(self) -> set[ids.ServerId]:
        return {backend.server for backend in self.target.servers.values() if backend.entry.leaving}

    def _raise_term(self, statuses: server_commands.Statuses) -> None:
        """Raise the term of this change above those of the servers that are not paused.

        The term under which a server is paused does not count: a PAUSE that is executed after the
        promotion must not be above the term that it began. A stopped primary may report the term
        of the order.
        """
        if self.ordered_to_stop:
            return
        known = [status.term for status in statuses.values() if not status.paused]
        known += [status.received.term for status in statuses.values()]
        self.term = ids.Term(max([self.term, *(1 + term for term in known)]))
