"""What a change of primary waits for, so that no acknowledged commit is lost.

Servers may have confirmed commits and give no answer, or no log in reach has a commit that was
acknowledged. The change waits however long that lasts. Its holder says so each second and records
it, and gives commits up only by the decision of an operator, which it reads while it waits.
"""

import dataclasses
import time

from mustardswitch import events, metrics
from mustardswitch.internal import (
    clock,
    ids,
    positions,
    promotion,
    revisions,
    server_contact,
)
from mustardswitch.proxy import errors, ports, service, wait_records

REPORT_INTERVAL_S = 1.0
"""Interval of reports, and of readings of the operator's decision."""

RECORD_INTERVAL_S = 5.0
"""Interval in which the record is written again; a fraction of the time for which it lasts."""

WAITED_GAUGE = "change_waits_seconds"
MISSING_GAUGE = "change_missing_servers"


class ChangeWait:
    """The wait of one attempt to change a primary; the record joins it to earlier attempts."""

    def __init__(self, *, target: service.Service, coordination: ports.Coordination) -> None:
        self.target = target
        self.coordination = coordination
        self.wait: wait_records.Wait | None = None
        """What the change waits for, as of the latest review; None before it waits for commits."""
        self.asked_at_s = float("-inf")
        """When the store was last asked for the wait of an earlier attempt (``clock.now_s``)."""
        self.recorded: wait_records.Wait | None = None
        """What this holder has recorded; None before that."""
        self.recorded_at_s = float("-inf")
        """When it was recorded last (``clock.now_s``)."""
        self.decision: wait_records.Decision | None = None
        """The operator's decision as read last; it may be for another change."""
        self.reported_at_s = clock.now_s()
        self.has_told = False
        """Whether it was told that commits are given up."""

    def __repr__(self) -> str:
        return f"ChangeWait(target={self.target!r}, wait={self.wait!r})"

    # The operator's decision

    def _in_force(self, report: ports.HoldReport | None) -> wait_records.Decision | None:
        """Return the decision if it is for this change, and for all that is acknowledged."""
        if self.wait is None or self.decision is None or report is None:
            return None
        known = dataclasses.replace(self.wait, above=report.above)
        return self.decision if self.decision.is_for(known) else None

    def given_up(self, report: ports.HoldReport | None) -> frozenset[ids.ServerId]:
        """Return the servers that an operator gives up; their answers still count."""
        decision = self._in_force(report)
        return frozenset() if decision is None else decision.missing

    def without_given_up(self, report: ports.HoldReport) -> ports.HoldReport:
        """Return a report without an acknowledged commit that an operator gives up."""
        decision = self._in_force(report)
        if decision is None or not decision.acknowledged:
            return report
        return dataclasses.replace(report, above=None)

    def note_choice(
        self, choice: promotion.Choice, evidence: promotion.Evidence, report: ports.HoldReport
    ) -> None:
        """Log and count commits that are given up by a promotion, if any may be."""
        decision = self._in_force(report)
        if decision is None or choice.verdict is not promotion.Verdict.PROMOTE or self.has_told:
            return
        status = evidence.paused.get(choice.server) or evidence.receiving.get(choice.server)
        known = evidence.paused.keys() | evidence.final_ends.keys()
        missing = sorted((decision.missing & evidence.expected) - known)
        if choice.proof is not promotion.Proof.ALL_PAUSED:
            missing = []
        lacks = status is not None and promotion.lacks_acknowledged(status, report.above)
        if not missing and not lacks:
            return
        self.has_told = True
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(decision.at_ms / 1000))
        events.log(
            events.Event.ACKNOWLEDGED_IGNORED,
            service=self.target.name,
            missing=" ".join(missing),
            above=report.above if lacks else None,
            by=decision.operator,
            at=at,
            server=choice.server,
        )
        self.target.registry.count("commits_given_up", self.target.name)

    # Waiting

    async def review(
        self,
        claim: ports.Claim,
        choice: promotion.Choice,
        evidence: promotion.Evidence,
        report: ports.HoldReport,
        *,
        former: ids.ServerId | None,
        silent_s: float,
    ) -> bool:
        """Report and record a wait when that is due; returns whether a decision came into force."""
        was_in_force = self._in_force(report) is not None
        joined = await self._update(claim, evidence, report, former=former)
        due = joined or clock.now_s() >= self.reported_at_s + REPORT_INTERVAL_S
        if due:
            self.reported_at_s = clock.now_s()
            await self.record(claim)
            await self._read_decision()
            self._report(choice, evidence, silent_s=silent_s)
        return not was_in_force and self._in_force(report) is not None

    async def _update(
        self,
        claim: ports.Claim,
        evidence: promotion.Evidence,
        report: ports.HoldReport,
        *,
        former: ids.ServerId | None,
    ) -> bool:
        """Note what is waited for; returns whether this joins the wait of an earlier attempt."""
        missing = _missing_servers(evidence, given_up=self.given_up(report))
        statuses = [*evidence.paused.values(), *evidence.receiving.values()]
        unreached = report.above is not None and all(
            promotion.lacks_acknowledged(each, report.above) for each in statuses
        )
        if not report.complete or not (missing or unreached):
            if self.wait is not None and report.complete:
                self.wait = dataclasses.replace(
                    self.wait, missing=frozenset(), ended=frozenset(), unreached=False
                )
            return False
        earlier, joined = self.wait, False
        if earlier is None:
            if clock.now_s() < self.asked_at_s + REPORT_INTERVAL_S:
                return False
            self.asked_at_s = clock.now_s()
            try:
                earlier = await self.coordination.recorded_wait(self.target.name)
            except errors.StoreError as error:
                events.log(events.Event.CLAIM_FAILED, service=self.target.name, reason=str(error))
                return False
            if earlier is not None and earlier.former != former:
                earlier = None
            joined = earlier is not None
        self.wait = wait_records.Wait(
            change=claim.fencing_token if earlier is None else earlier.change,
            era=revisions.era_of(claim.fencing_token),
            since_ms=int(1000 * time.time()) if earlier is None else earlier.since_ms,
            former=former,
            state=evidence.former_primary,
            missing=frozenset(missing),
            ended=frozenset(filter(self._has_ended, missing)),
            above=report.above,
            unreached=unreached,
        )
        return joined

    def _has_ended(self, name: ids.ServerId) -> bool:
        backend = self.target.known_servers().get(name)
        contact = backend.contacts.latest() if backend is not None else None
        return contact is not None and contact.sign is server_contact.Sign.NOT_LISTENING

    async def record(self, claim: ports.Claim) -> None:
        """Record what is waited for, unless that was done a moment ago."""
        lasts = clock.now_s() < self.recorded_at_s + RECORD_INTERVAL_S
        if self.wait is None or (lasts and self.wait == self.recorded):
            return
        try:
            await self.coordination.record_wait(claim, self.wait)
        except errors.StoreError as error:
            events.log(events.Event.CLAIM_FAILED, service=self.target.name, reason=str(error))
        else:
            self.recorded, self.recorded_at_s = self.wait, clock.now_s()

    async def _read_decision(self) -> None:
        if self.wait is None:
            return
        try:
            self.decision = await self.coordination.given_up(self.target.name)
        except errors.StoreError as error:
            events.log(events.Event.CLAIM_FAILED, service=self.target.name, reason=str(error))

    def _report(
        self, choice: promotion.Choice, evidence: promotion.Evidence, *, silent_s: float
    ) -> None:
        fields: dict[str, object] = {}
        wait, registry = self.wait, self.target.registry
        remove_gauges(registry, self.target.name)
        if wait is not None and (wait.missing or wait.unreached):
            registry.set_gauge(WAITED_GAUGE, round(wait.waited_s, 1), self.target.name)
            registry.set_gauge(MISSING_GAUGE, len(wait.missing), self.target.name)
            if wait.missing:
                fields["missing"] = " ".join(
                    f"{name}(end)" if name in wait.ended else name for name in sorted(wait.missing)
                )
            if wait.unreached:
                fields["above"] = wait.above
            fields["decide"] = command(self.target.name, wait)
        events.log(
            events.Event.CHANGE_WAITS,
            service=self.target.name,
            **fields,
            reason=choice.reason,
            former=evidence.former_primary.value,
            silent_s=round(silent_s, 1),
            waited_s=None if wait is None else round(wait.waited_s, 1),
        )


def _missing_servers(
    evidence: promotion.Evidence, *, given_up: frozenset[ids.ServerId]
) -> set[ids.ServerId]:
    """Return the servers that may have commits which no server that answers is known to have."""
    covered = {name: end for name, end in evidence.covered.items() if name not in given_up}
    statuses = {**evidence.receiving, **evidence.paused}
    highest = max((each.received for each in statuses.values()), default=positions.ORIGIN)
    missing = promotion.missing_servers(dataclasses.replace(evidence, covered=covered))
    missing |= {name for name in covered.keys() & evidence.expected if covered[name] > highest}
    return missing - statuses.keys()


def remove_gauges(registry: metrics.Registry, name: ids.ServiceName) -> None:
    """Remove the gauges of a wait that has ended, or that another instance tells of now."""
    for gauge in (WAITED_GAUGE, MISSING_GAUGE):
        registry.remove_gauge(gauge, name)


def command(name: ids.ServiceName, wait: wait_records.Wait) -> str:
    """Return the command by which an operator gives up all that a change waits for."""
    missing = [f"--missing {each}" for each in sorted(wait.missing)]
    acknowledged = ["--acknowledged"] if wait.unreached else []
    return " ".join(["mustardctl give-up-commits", name, *missing, *acknowledged])
