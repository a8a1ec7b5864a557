"""What the holder of a claim knows, records and orders in ``promotion_world``."""

import collections.abc
import enum

from mustardswitch.internal import handover, ids, positions, promotion
from tests.common import (
    promotion_instances,
    promotion_members,
    promotion_parts,
    promotion_servers,
    promotion_world,
)

OrderKind = promotion_servers.OrderKind
Statuses = dict[ids.ServerId, promotion.ServerStatus]


class Step(enum.Enum):
    """What a holder does next."""

    QUERY = "query"
    DECIDE = "decide"
    STOP = "stop"
    COMPARE = "compare"
    REQUEST = "request"
    WAIT_FOR_EFFECT = "wait_for_effect"
    KEEP = "keep"
    AWAIT_KEPT = "await_kept"
    END = "end"


class ClaimHolder:
    """What the holder of a claim knows, and has ordered."""

    def __init__(
        self,
        *,
        world: promotion_world.World,
        instance: promotion_instances.Instance,
        token: int,
        silent: bool,
        stop_answered: bool,
        parts: promotion_parts.Parts,
    ) -> None:
        self.world = world
        self.instance = instance
        self.token = token
        self.parts = parts
        self.silent = silent
        self.stop_answered = stop_answered
        """Whether a ``silent`` primary answers an order to stop."""
        self.primary = instance.leader
        """The primary that is replaced; None if it is not listed."""
        self.led_by: ids.ServerId | None = None
        """The server that leads by its own account, and is to be stopped."""
        self.requested_before = self.requested = world.record
        self.valid = True
        """Whether the claim is in force by the holder's clock."""
        self.step = Step.QUERY
        self.term = ids.Term(0)
        self.statuses: Statuses = {}
        self.pause_ends = 0
        """Number of pauses that had ended before the latest query."""
        self.stopped_end: positions.Position | None = None
        self.primary_end = positions.ORIGIN
        """The highest end of the log that a primary has shown to this holder."""
        self.listed: frozenset[ids.ServerId] = frozenset()
        """The servers in the store's list when it was read."""
        self.listed_anew = False
        """Whether the list was read since the latest decision to pause all servers."""
        self.pausing_all = False
        """Whether all servers are being paused, after the primary gave no answer."""
        self.request: promotion_servers.Request | None = None
        self.request_sent = False
        self.done = False
        self.late_orders: list[promotion_servers.Order] = []
        """Orders that were sent and are executed later."""
        self.late_requests: list[promotion_servers.Request] = []
        """Requests that were sent and are executed later."""
        self.hold: promotion_instances.Hold | None = None
        """The instances that hold commits for the server that this holder has recorded."""
        self.voided = False
        """Whether the requests of earlier claims are rejected."""
        self.holds_all = parts.hold_for_all and world.record is not None
        """Whether its record lets no commits pass."""
        self.marked = parts.keep_first and world.marked
        """Whether a promotion of the present primary may be under way from an earlier claim."""
        self.unanswered = False
        """Whether a request of this holder got no answer."""
        self.end_held = False
        """Whether the end of the primary was read after the hold was complete."""
        self.recorded_end = world.stopped
        """The stopped primary of this holder or an earlier one, as recorded."""
        self.spared: frozenset[ids.ServerId] = frozenset()
        """The primary, while all others are paused, if it has not answered."""
        self.uncounted: frozenset[ids.ServerId] = frozenset()
        """That primary, also once its process has ended; not among those that must answer."""
        self.replaced_before = False
        """Whether that primary was replaced before it was ordered to stop."""
        self.stop_status: promotion.ServerStatus | None = None
        """The answer of that primary to the order to stop."""

    # Queries and orders

    def _ask(self, names: collections.abc.Iterable[ids.ServerId | None]) -> Statuses:
        return {name: self.world.status(name) for name in names if self._reaches(name)}

    def _reaches(self, name: ids.ServerId | None) -> bool:
        server = self.world.servers.get(name)
        return server is not None and server.runs and name not in self.instance.unreachable

    def _confirming(self) -> set[ids.ServerId]:
        return self.instance.known() if self.parts.count_expired else set(self.instance.listed)

    def _answering(self) -> set[ids.ServerId]:
        return self._confirming() - ({self.primary} if self.silent else set())

    def _leaving(self) -> set[ids.ServerId]:
        return {name for name, leaving in self.instance.listed.items() if leaving}

    def _order(self, order: promotion_servers.Order, late: ids.ServerId | None) -> None:
        if order.server == late:
            self.late_orders.append(order)
        elif self._reaches(order.server):
            self.world.execute(order)

    def _pause_others(
        self,
        statuses: Statuses,
        *,
        spared: collections.abc.Set[ids.ServerId | None],
        late: ids.ServerId | None,
    ) -> Statuses:
        expected = self._confirming() - spared
        ordered = handover.servers_to_pause(expected=expected, statuses=statuses, term=self.term)
        if self.valid:
            for name in sorted(ordered):
                self._order(
                    promotion_servers.Order(kind=OrderKind.PAUSE, server=name, term=self.term), late
                )
            statuses = statuses | self._ask(ordered - {late})
        return {
            name: status
            for name, status in statuses.items()
            if name in expected and (status.paused or status.leads)
        }

    # The record, and what it holds back

    def _write_record(self, server: ids.ServerId) -> bool:
        """Record a server under the claim; instances are told afterwards."""
        passed = promotion_instances.NO_SERVER if self.holds_all else server
        if self.hold is not None and self.hold.promoted == passed and self.requested == server:
            return True
        holds = self.valid and self.instance.reaches_store and self.world.claim == self.token
        if not holds:
            self.valid, self.step = False, Step.END
            return False
        if self.parts.record:
            self.world.record, self.world.held = server, self.holds_all
            self.instance.requested = passed
        self.requested, self.end_held = server, False
        self.hold = promotion_instances.Hold(promoted=passed, since=self.world.periods)
        return True

    def _announce(self) -> None:
        if self.hold is not None and self.parts.record:
            self.hold.announce(self.instance, self.world.instances)

    def _commits_held(self) -> bool:
        if not self.parts.wait_for_hold:
            return self.hold is not None
        return self.hold is not None and (
            not self.parts.record
            or self.hold.is_complete(len(self.world.instances), self.world.periods)
        )

    def _record_end(self, primary: ids.ServerId, end: positions.Position) -> None:
        holds = self.valid and self.instance.reaches_store and self.world.claim == self.token
        if holds and self.parts.record_end:
            self.world.stopped = self.recorded_end = (primary, end)

    def _acknowledged_end(self) -> positions.Position | None:
        if self.hold is None or not self.parts.acknowledged_end:
            return None
        return self.hold.acknowledged_end(
            len(self.world.instances),
            of_all=self.parts.acknowledged_end_of_all,
            answers_to_all=self.parts.answers_to_all,
        )

    def _covered(
        self, expected: collections.abc.Set[ids.ServerId]
    ) -> dict[ids.ServerId, positions.Position]:
        if self.parts.cover_ended:
            return promotion_members.covered(self.world, self.instance)
        return {name: end for (name, _), end in self.instance.covered.items() if name in expected}

    def _recorded(self) -> ids.ServerId | None:
        if self.requested is None or not self.holds_all:
            return self.requested
        return promotion.holding(self.requested)

    def _required_end(self) -> positions.Position | None:
        if self.recorded_end is None or self.recorded_end[0] not in self._confirming():
            return None
        return self.recorded_end[1]

    # Ending

    def end(self, late: ids.ServerId | None) -> None:
        """Resume servers and release the claim; the record stays while a promotion may come."""
        leads = self.step is Step.WAIT_FOR_EFFECT and self._leads(self.requested)
        if self.done or (leads and not (self.holds_all and self.world.accepted)):
            self.recorded_end = None
            stays = self.parts.record_unanswered and self.unanswered
            self.requested = self.requested if stays else None
        elif not self.request_sent:
            self.requested = self.requested_before
        if self.valid:
            requested = self.requested if self.parts.resume_requested_only else None
            statuses = self._ask(self._answering())
            for name in sorted(handover.servers_to_resume(statuses, requested=requested)):
                self._order(promotion_servers.Order(kind=OrderKind.RESUME, server=name), late)
        if self.instance.reaches_store and self.world.claim == self.token:
            kept = self.requested if self.parts.record_outlives_claim else None
            self.world.record = kept if self.parts.record else None
            self.world.held &= kept is not None
            unanswered = self.parts.record_unanswered and self.unanswered
            self.world.marked = kept is not None and (self.world.marked or unanswered)
            self.world.stopped = self.recorded_end
            self.world.claim = None
