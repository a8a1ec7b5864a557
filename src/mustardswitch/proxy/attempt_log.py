"""Logs what an attempt to change a primary has requested, and what changed against its orders.

No decision depends on it.
"""

import dataclasses

from mustardswitch import events, metrics
from mustardswitch.internal import clock, ids, positions, promotion

MAX_LINES = 5
"""Lines of one kind that an attempt writes at most."""
VOID = "void"
"""Marks a promotion of the present primary, which is to void earlier requests."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LostPause:
    """A replica that was found without its pause, which this attempt has not ended."""

    server: ids.ServerId
    ordered: ids.Term
    """The term under which it was paused."""
    found: ids.Term
    at_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Growth:
    """A stopped primary whose log was found longer than before."""

    before: positions.Position
    end: positions.Position
    leads: bool
    at_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """A promotion that was requested, also several times."""

    server: ids.ServerId
    void: bool
    at_s: float
    """When it was requested first."""
    count: int = 0


class AttemptLog:
    """The bookkeeping of one attempt."""

    def __init__(self, *, service: ids.ServiceName, registry: metrics.Registry) -> None:
        self.service = service
        self.registry = registry
        self.paused: dict[ids.ServerId, ids.Term] = {}
        """Replicas that have answered as paused, and the terms."""
        self.lost_pauses: list[LostPause] = []
        """Those that a promotion may have ended."""
        self.growths: list[Growth] = []
        """Growths that may come from the promoted server."""
        self.lines: dict[events.Event, int] = {}
        self.stopped: ids.ServerId | None = None
        """The primary that was stopped; None before that."""
        self.end = positions.ORIGIN
        """The highest end of its log that was seen."""
        self.stopped_at_s = 0.0
        self.requests: list[Request] = []
        self.led_at_s: float | None = None
        """When the promoted server was first seen to lead."""

    def __repr__(self) -> str:
        return f"AttemptLog(service={self.service!r})"

    # Orders

    def note_request(self, server: ids.ServerId, *, void: bool = False) -> None:
        """Record a request to promote a server."""
        known = [each for each in self.requests if (each.server, each.void) == (server, void)]
        if not known:
            known = [Request(server=server, void=void, at_s=clock.now_s())]
            self.requests += known
        known[0].count += 1
        self.registry.count("promotion_calls", VOID if void else "promote")

    def note_void(self, server: ids.ServerId, *, token: int, outcome: str) -> None:
        """Log the answer to a promotion of the present primary."""
        events.log(
            events.Event.PRESENT_PROMOTED,
            service=self.service,
            server=server,
            outcome=outcome,
            fencing_token=token,
        )

    def note_resumed(self, server: ids.ServerId) -> None:
        """Record that a server is about to be resumed."""
        self.paused.pop(server, None)

    def note_stopped(self, server: ids.ServerId, end: positions.Position) -> None:
        """Record the end of a stopped primary's log, each time that it is read."""
        if self.stopped != server:
            self.stopped, self.end, self.stopped_at_s = server, end, clock.now_s()
        else:
            self._note_end(end, leads=False)

    # Answers

    def note_status(self, server: ids.ServerId, status: promotion.ServerStatus) -> None:
        """Record a server's answer."""
        if status.paused:
            self.paused[server] = status.term
        elif (ordered := self.paused.pop(server, None)) is not None and not status.leads:
            self.lost_pauses.append(
                LostPause(server=server, ordered=ordered, found=status.term, at_s=clock.now_s())
            )
        if server == self.stopped:
            self._note_end(status.received, leads=status.leads)

    def note_led(self, term: ids.Term) -> None:
        """Record the term in which the promoted server is first seen to lead.

        Its promotion has ended the pauses and replicates its log; what belongs to an earlier term
        is told.
        """
        self.led_at_s = clock.now_s()
        self.lost_pauses = [each for each in self.lost_pauses if each.found < term]
        self.growths = [each for each in self.growths if each.end.term < term]
        self._report()

    def finish(self, *, recorded_at_s: float | None) -> None:
        """Log the requests at the end of the attempt, and what was not told yet.

        ``recorded_at_s`` is when the promotion was recorded (``clock.now_s``); None without that.
        """
        if self.led_at_s is None:
            self._report()
        if not self.requests:
            return
        parts = [str(sum(each.count for each in self.requests))]
        for each in self.requests:
            repeated = f" x{each.count}" if each.count > 1 else ""
            kind = f" {VOID}" if each.void else ""
            parts.append(f"{_since(each.at_s, recorded_at_s)} {each.server}{kind}{repeated}")
        if self.led_at_s is not None:
            parts.append(f"{_since(self.led_at_s, recorded_at_s)} led")
        events.log(
            events.Event.PROMOTIONS_REQUESTED, service=self.service, requests=" ".join(parts)
        )

    # Reporting

    def _note_end(self, end: positions.Position, *, leads: bool) -> None:
        """Log a growth of the stopped primary's log, unless the promoted server may cause it."""
        if end <= self.end:
            return
        growth = Growth(before=self.end, end=end, leads=leads, at_s=clock.now_s())
        self.end = end
        if leads or end.term == growth.before.term or not self.requests:
            self._log_growth(growth)
        else:
            self.growths.append(growth)

    def _report(self) -> None:
        for growth in self.growths:
            self._log_growth(growth)
        for lost in self.lost_pauses:
            self._log_lost(lost)
        self.growths, self.lost_pauses = [], []

    def _may_log(self, event: events.Event) -> bool:
        self.lines[event] = self.lines.get(event, 0) + 1
        return self.lines[event] <= MAX_LINES

    def _log_growth(self, growth: Growth) -> None:
        self.registry.count("stopped_primary_grew", self.service)
        if self._may_log(events.Event.STOPPED_GREW):
            leads = " leads" if growth.leads else ""
            after_s = growth.at_s - self.stopped_at_s
            events.log(
                events.Event.STOPPED_GREW,
                service=self.service,
                server=self.stopped,
                end=f"{growth.before} {growth.end} {after_s:.1f}{leads}",
            )

    def _log_lost(self, lost: LostPause) -> None:
        self.registry.count("pauses_lost", self.service)
        if self._may_log(events.Event.PAUSE_LOST):
            awaited = next((each for each in reversed(self.requests) if not each.void), None)
            since_s = f"{lost.at_s - awaited.at_s:.1f}" if awaited is not None else events.UNKNOWN
            events.log(
                events.Event.PAUSE_LOST,
                service=self.service,
                server=lost.server,
                pause=(
                    f"{lost.ordered} {lost.found} {since_s}"
                    f" {awaited.server if awaited is not None else events.UNKNOWN}"
                ),
            )


def _since(at_s: float, recorded_at_s: float | None) -> str:
    return events.UNKNOWN if recorded_at_s is None else f"{at_s - recorded_at_s:.2f}"
