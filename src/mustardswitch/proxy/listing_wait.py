"""The wait of a change of primary for servers that may have started and are not listed yet.

The decision is made by ``internal.unlisted_servers``.
"""

from mustardswitch import events
from mustardswitch.internal import (
    clock,
    commit_permission,
    former_primary,
    promotion,
    unlisted_servers,
)
from mustardswitch.proxy import ports, service, stop_orders


class ListingWait:
    """What one attempt knows of the servers that are not listed, from its record on."""

    def __init__(self, *, target: service.Service, recorded_at_s: float) -> None:
        self.target = target
        self.recorded_at_s = recorded_at_s
        """When the promotion was recorded (``clock.now_s``)."""
        self.has_waited = False

    def __repr__(self) -> str:
        return f"ListingWait(target={self.target!r}, recorded_at_s={self.recorded_at_s!r})"

    def primary_silent_s(
        self,
        order: stop_orders.StopOrder | None,
        report: ports.HoldReport,
        *,
        former: promotion.FormerPrimary,
        ended_s: float,
    ) -> float:
        """Return the seconds for which the former primary has answered nobody as a primary.

        ``ended_s`` are those since commits have ended, 0 before. An instance that has ended, and
        so reports nothing, may have had an answer until commits were held for the record.
        """
        if order is None:
            return max(ended_s, self._leaderless_s())
        if former is promotion.FormerPrimary.REPLICA:
            return ended_s
        reports = [*report.primary_reports.values()]
        if self.target.holds_connections:
            reports.append(order.report())
        silent_s = clock.now_s() - self.recorded_at_s
        if reports and report.instances <= report.primary_reports.keys():
            silent_s = min(each.answered_s for each in reports)
        return max(silent_s, order.backend.contacts.not_listening_s())

    def executes_nothing_s(
        self,
        order: stop_orders.StopOrder | None,
        report: ports.HoldReport,
        *,
        former: promotion.FormerPrimary,
        ended_s: float,
    ) -> float:
        """Return the seconds for which the former primary has executed nothing; see above.

        What shows that it has ended counts from the record on, after which no instance that has
        ended, and so reports nothing, was answered.
        """
        if order is None:
            return max(ended_s, self._leaderless_s())
        if former is promotion.FormerPrimary.REPLICA:
            return ended_s
        gone_s = former_primary.gone_s(
            [order.report(), *report.primary_reports.values()],
            all_report=report.all_report,
            unlisted_s=self.target.unlisted_s(order.backend.server),
        )
        gone_s = min(gone_s, clock.now_s() - self.recorded_at_s)
        return max(ended_s, gone_s, order.backend.contacts.not_listening_s())

    def _leaderless_s(self) -> float:
        """Return for how long no instance has sent commits to a server that this one knows of."""
        if self.target.leader is not None:
            return 0.0
        registrations = self.target.hold.registrations
        since_s = max(registrations.first_read_at_s, self.target.led_until_s)
        return clock.now_s() - since_s - commit_permission.HOLD_LIMIT_S

    def may_hold_commits(self, executes_nothing_s: float) -> bool:
        """Return whether a server that is not listed yet may hold a commit; logs when it may."""
        now_s, target = clock.now_s(), self.target
        may_hold = unlisted_servers.may_hold_commits(
            is_complete=self._is_complete(),
            store_back_s=now_s - target.hold.registrations.recovered_at_s,
            executes_nothing_s=executes_nothing_s,
            listing_s=target.listing_s,
        )
        if may_hold and not self.has_waited:
            self.has_waited = True
            events.log(
                events.Event.SERVERS_AWAITED,
                service=target.name,
                missing=target.server_count.missing,
                executes_nothing_s=round(executes_nothing_s, 3),
                listing_s=target.listing_s,
            )
        return may_hold

    def needs_list(
        self, list_read_at_s: float, *, ended_at_s: float, executes_nothing_s: float
    ) -> bool:
        """Return whether a list that was read at ``list_read_at_s`` is too old for a choice.

        It is if it was read before commits had ended, as a server may have reported until then that
        it leaves, or before all servers had to be listed. The watch may be seconds behind the
        store.
        """
        now_s, target = clock.now_s(), self.target
        due_s = [ended_at_s, target.hold.registrations.recovered_at_s + unlisted_servers.RELISTED_S]
        if not self._is_complete():
            due_s.append(now_s - executes_nothing_s + target.listing_s)
        return any(list_read_at_s < each <= now_s for each in due_s)

    def _is_complete(self) -> bool:
        target = self.target
        return unlisted_servers.is_complete(
            target.server_count,
            knows_since_s=clock.now_s() - target.hold.registrations.first_read_at_s,
            listing_s=target.listing_s,
        )
