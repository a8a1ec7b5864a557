"""Reports for how long the commits of a service are held back, and what that affects.

They are held back from when an instance learns of a recorded promotion until it learns that the
promoted server leads, or that the record is removed.
"""

import enum
import typing

from mustardswitch import build, events, metrics
from mustardswitch.internal import clock, ids, registration_list
from mustardswitch.proxy import former_commits, renewed_leads

RECORDS = "store"
"""Stands for the records of the store where the source of a hold is named."""
OWN = "self"
"""Stands for this instance, which has written the record."""

SourceList = registration_list.RegistrationList[typing.Any, typing.Any]
"""The list of servers, which tells whether and when the store was reached."""


class Confirmation(enum.Enum):
    """Whether this instance has confirmed a hold to the instance that changes the primary."""

    NO = "no"
    """It has not, or only for an earlier record."""
    YES = "yes"
    HOLDER = "self"
    """It is the instance that changes the primary."""


class CommitHold:
    """The present hold of one service's commits at this instance, if there is one."""

    def __init__(
        self,
        *,
        service: ids.ServiceName,
        registry: metrics.Registry,
        registrations: SourceList | None = None,
    ) -> None:
        self.service = service
        self.registry = registry
        self.registrations = registrations or registration_list.RegistrationList()
        self.since_s: float | None = None
        """When the hold began (``clock.now_s``); None without one."""
        self.requested: ids.ServerId | None = None
        self.waited = 0
        """Writes that have waited for a leader that may take them, during the hold."""
        self.aborted = 0
        """Transactions that were aborted at their COMMIT, during the hold."""
        self.began_without_store = False
        self.source: tuple[ids.ServerId, str] | None = None
        """The latest server whose promotion was told to be recorded, and by whom."""
        self.last_leader: ids.ServerId | None = None
        """The last server that was known to lead."""
        self.last_term: ids.Term | None = None
        """The term of its lead; None if it is not known."""
        self.confirmation = Confirmation.NO
        self.renewed = renewed_leads.RenewedLeads(service=service, registry=registry)
        self.former_commits = former_commits.FormerCommits(service=service, registry=registry)
        self.asked_revision = 0
        """The highest revision of a record for which the hold was to be confirmed."""

    def __repr__(self) -> str:
        return f"CommitHold(service={self.service!r})"

    def update(
        self,
        *,
        requested: ids.ServerId | None,
        leader: ids.ServerId | None,
        term: ids.Term | None = None,
        revision: int | None = None,
    ) -> None:
        """Begin or end the hold.

        ``requested`` is the server whose promotion is recorded, ``revision`` that of the record;
        None for a record that this instance has just written. ``term`` is that of the leader if
        known.
        """
        if self.since_s is None:
            self.note_leader(leader, term)
        held = requested is not None and requested != leader
        if self.since_s is not None and (not held or requested != self.requested):
            self._end(requested, leader)
        if held and self.since_s is None:
            self._begin(requested, revision)
            self.renewed.begin(
                promoted=requested,
                former=self.last_leader,
                term=self.last_term,
                leads=leader is not None,
            )
        self.note_leader(leader, term)

    def note_leader(self, leader: ids.ServerId | None, term: ids.Term | None) -> None:
        """Record the server that leads, for the log; ``term`` is that of its lead if known."""
        if leader is not None:
            if leader != self.last_leader or term is not None:
                self.last_term = term
            self.last_leader = leader
        if self.since_s is not None:
            self.renewed.note_leader(leader, term, held_s=clock.now_s() - self.since_s)

    def note_source(self, server: ids.ServerId, source: str) -> None:
        """Record who tells that a promotion is recorded: an instance, RECORDS or OWN."""
        self.source = server, source

    def note_asked(self, revision: int, confirmation: Confirmation) -> None:
        """Record the answer to the holder of the claim, which has a record of a revision."""
        if self.since_s is None or revision < self.asked_revision:
            return
        if revision > self.asked_revision or confirmation is not Confirmation.NO:
            self.confirmation = confirmation
        self.asked_revision = revision

    def _begin(self, requested: ids.ServerId, revision: int | None) -> None:
        server, source = self.source or (None, events.UNKNOWN)
        self.since_s, self.requested = clock.now_s(), requested
        self.waited = self.aborted = self.asked_revision = 0
        self.confirmation = Confirmation.NO
        self.began_without_store = self.registrations.outage
        self.registry.set_gauge("commits_held", 1, self.service)
        self.former_commits.begin(requested)
        events.log(
            events.Event.COMMITS_HELD,
            service=self.service,
            server=requested,
            leader=self.last_leader,
            by=source if server == requested else events.UNKNOWN,
            revision=revision,
            list_age_s=round(self.registrations.age_s(self.since_s), 3),
            store_lost=self.began_without_store,
        )

    def _end(self, requested: ids.ServerId | None, leader: ids.ServerId | None) -> None:
        held_s = clock.now_s() - self.since_s
        again = " again" if self.renewed.reported else ""
        self.renewed.end()
        self.former_commits.finish(leader)
        lost = self.registrations.outage or self.registrations.recovered_at_s > self.since_s
        self.registry.count("commits_held_seconds", self.service, round(held_s, 3))
        self.registry.remove_gauge("commits_held", self.service)
        events.log(
            events.Event.COMMITS_RESUMED,
            service=self.service,
            server=self.requested,
            held_s=round(held_s, 2),
            confirmed=f"{self.confirmation.value}{again}",
            leader=leader,
            requested=requested,
            waited=self.waited,
            aborted=self.aborted,
            store_lost=self.began_without_store or lost,
            build=build.build_id(),
        )
        self.since_s = None
