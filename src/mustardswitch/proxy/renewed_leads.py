"""Reports a former primary that leads again while another server's promotion is recorded."""

from mustardswitch import events, metrics
from mustardswitch.internal import ids

MAX_LINES = 3
"""Lines that one hold of commits writes at most."""


class RenewedLeads:
    """What this instance sees of the former primary during one hold of a service's commits."""

    def __init__(self, *, service: ids.ServiceName, registry: metrics.Registry) -> None:
        self.service = service
        self.registry = registry
        self.promoted: ids.ServerId | None = None
        """The server whose promotion is recorded; None outside of a hold."""
        self.former: ids.ServerId | None = None
        """The server that led last as the hold began; without one, the first that led in it."""
        self.former_term: ids.Term | None = None
        self.stopped = False
        """Whether the former primary was seen not to lead since the hold began."""
        self.reported: set[ids.Term | None] = set()
        """Later terms that were logged; None stands for one that is not known."""

    def __repr__(self) -> str:
        return f"RenewedLeads(service={self.service!r}, former={self.former!r})"

    def begin(
        self,
        *,
        promoted: ids.ServerId,
        former: ids.ServerId | None,
        term: ids.Term | None,
        leads: bool,
    ) -> None:
        """Begin with a hold; ``term`` is that of the former primary if known."""
        self.promoted, self.former, self.former_term = promoted, former, term
        self.stopped = not leads
        self.reported = set()

    def end(self) -> None:
        """End with the hold."""
        self.promoted = None

    def note_leader(
        self, leader: ids.ServerId | None, term: ids.Term | None, *, held_s: float
    ) -> None:
        """Record which server leads, or none; ``term`` is that of its lead if known.

        ``held_s`` is the time since the hold began, in seconds.
        """
        if self.promoted is None:
            return
        if leader is None or leader == self.promoted:
            self.stopped = self.stopped or self.former is not None
            return
        if self.former is None:
            self.former, self.former_term = leader, term
        if leader != self.former:
            self.stopped = True
            return
        is_later = None not in (term, self.former_term) and term > self.former_term
        if self.former_term is None and not self.stopped:
            self.former_term = term
        if is_later or self.stopped:
            self._report(term if is_later else None, held_s)

    def _report(self, term: ids.Term | None, held_s: float) -> None:
        known = term in self.reported or (term is None and self.reported)
        if known or len(self.reported) >= MAX_LINES:
            return
        if not self.reported:
            self.registry.count("former_primary_leads_again", self.service)
        self.reported.add(term)
        before = events.UNKNOWN if self.former_term is None else self.former_term
        events.log(
            events.Event.FORMER_LEADS_AGAIN,
            service=self.service,
            server=self.former,
            terms=f"{before} {events.UNKNOWN if term is None else term}",
            after_s=round(held_s, 2),
            promoted=self.promoted,
        )
