"""Requests of one holder in ``promotion_world``: promotions, and primaries that are kept."""

from mustardswitch.internal import ids, promotion
from tests.common import promotion_claim, promotion_servers

OrderKind = promotion_servers.OrderKind
Step = promotion_claim.Step


class RequestingHolder(promotion_claim.ClaimHolder):
    """What the holder of a claim requests of the platform."""

    def _void_earlier_requests(self, late: ids.ServerId | None) -> bool:
        """Promote the present primary; return whether that was answered."""
        if self.voided or self.parts.never_void_before_stop:
            return True
        request = promotion_servers.Request(
            server=self.led_by, token=self.token, term=self.world.term
        )
        if late == self.led_by:
            self.late_requests.append(request)
            return False
        self.voided = self.world.accept(request, fenced=self.parts.fence_requests)
        return self.voided

    def send_request(self, *, late: bool) -> promotion_servers.Request | None:
        """Send the request; returns it if it is to be executed late."""
        if self.step is not Step.REQUEST or not self.valid:
            return None
        self.request_sent = True
        if late:
            self.unanswered = True
            return self.request
        accepted = self.world.accept(self.request, fenced=self.parts.fence_requests)
        self.step = Step.WAIT_FOR_EFFECT if accepted else Step.END
        return None

    def _keep_paused(self, late: ids.ServerId | None) -> None:
        if not self.parts.keep_paused:
            return
        self._announce()
        primary = self.primary
        stopped = {primary} - {self.requested} if self.stopped_end is not None else set()
        statuses = self._ask(self._confirming() - {self.requested, primary} | stopped)
        self._pause_others(statuses, spared={self.requested, primary}, late=late)
        if any(statuses[name].leads for name in stopped & set(statuses)):
            self._order(
                promotion_servers.Order(kind=OrderKind.STEP_DOWN, server=primary, term=self.term),
                late,
            )

    def _kept_first(self, leader: ids.ServerId | None) -> promotion.Choice | None:
        """Return the choice to keep the primary; None if it has ended."""
        keep = promotion.Choice(verdict=promotion.Verdict.KEEP, server=leader or self.primary)
        if leader is not None:
            return keep
        server = self.world.servers.get(self.primary)
        if server is None or not server.runs:
            return None
        answered = self._confirming() - {self.primary} <= self.statuses.keys()
        led_last = answered and self.world.upstream == self.primary
        return keep if led_last else promotion.Choice(verdict=promotion.Verdict.WAIT)

    def _keep(self, late: ids.ServerId | None) -> None:
        """Promote the present primary again, once no instance sends commits."""
        self.holds_all = self.parts.hold_for_all
        if not self._write_record(self.requested):
            return
        self.world.marked = True
        self._announce()
        if not self._commits_held():
            return
        if not self.valid or not (self._leads(self.led_by) or self.marked):
            self.step = Step.END
            return
        self.request_sent = True
        request = promotion_servers.Request(
            server=self.led_by, token=self.token, term=self.world.term
        )
        if late == self.led_by:
            self.unanswered = True
            self.late_requests.append(request)
            return
        accepted = not self.parts.void_request or self.world.accept(
            request, fenced=self.parts.fence_requests
        )
        self.step = Step.AWAIT_KEPT if accepted else Step.END

    def _await_kept(self) -> None:
        """Wait until accepted requests took effect."""
        if self.world.accepted and self.parts.void_request:
            return
        self.step = Step.END
        if self.valid and self._leads(self.led_by):
            stays = self.parts.record_unanswered and self.unanswered
            self.requested = self.requested if stays else None

    def _leads(self, name: ids.ServerId | None) -> bool:
        return any(status.leads for status in self._ask({name}).values())
