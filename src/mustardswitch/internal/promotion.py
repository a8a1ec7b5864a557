"""Decides which server may be promoted without losing an acknowledged commit.

A commit is acknowledged once one replica has received it, and a promoted server leads with what it
had received when its promotion was requested. So when the request is sent, the log must hold every
commit that was acknowledged, and none may be acknowledged until the server leads. ``proof`` is the
rule for all promotions. No instance sends commits any more, and either the primary was stopped and
the log has reached the end of its log; or the primary executes nothing any more, also nothing that
it received before, every server that may have confirmed a commit is paused, none of them has a
longer log, and the log reaches beyond what the instances have acknowledged. The primary's end holds
beside servers that are not known, such as one that has started and is not listed yet; without it,
servers that may have started are given the time to be listed (``unlisted_servers``). Both hold
however long an answer takes.

What instances have sent is not over when they close its connection, nor when they end themselves:
it may wait at the primary and be executed at any later time. Only the primary's own answers tell
that it executes none of it, or that its process has ended (``FormerPrimary``).
"""

import collections.abc
import dataclasses
import enum

from mustardswitch.internal import ids, positions


class Role(enum.Enum):
    """Role that a server reports for itself."""

    PRIMARY = "primary"
    """It accepts writes."""
    REPLICA = "replica"
    """It follows a primary."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatus:
    """A server's answer to a status query."""

    role: Role
    term: ids.Term
    received: positions.Position
    """The end of its log, which may not have been applied yet."""
    paused: bool = False
    """Whether it receives nothing."""
    running: int = 0
    """Statements that it executes beside the query."""

    @property
    def leads(self) -> bool:
        """Whether the server is the primary by its own account."""
        return self.role is Role.PRIMARY


class Verdict(enum.Enum):
    """Result of evaluating the statuses of a service's replicas."""

    PROMOTE = "promote"
    """One replica is known to hold every acknowledged commit."""
    WAIT = "wait"
    """No replica is known to hold every acknowledged commit yet."""
    KEEP = "keep"
    """The primary stays; an earlier request to promote another server is to be voided."""
    ALREADY_LED = "already_led"
    """A server with a newer term leads already."""


class Proof(enum.Enum):
    """What shows that a log holds every acknowledged commit, and that no other is acknowledged."""

    PRIMARY_STOPPED = "primary_stopped"
    """The primary was stopped, no instance sends commits, and the log has reached the end of the
    primary's log."""
    ALL_PAUSED = "all_paused"
    """No instance sends commits, the primary executes none, every known server that may have
    confirmed one is paused, and none has a longer log."""
    ALL_ACKNOWLEDGED = "all_acknowledged"
    """No instance sends commits, the primary executes none, and the log reaches the highest
    position at which any instance has acknowledged a commit."""


class FormerPrimary(enum.Enum):
    """Whether the primary that is to be replaced may execute commits that it received before."""

    MAY_RUN = "may_run"
    """It runs, or nothing tells that it does not."""
    REPLICA = "replica"
    """It has answered as a replica, which executes no commits."""
    NOT_LISTENING = "not_listening"
    """No process listens at its address, so what it had received ended with it."""
    GONE = "gone"
    """Its entry was removed, or no instance has reached it for longer than a server keeps a
    connection whose remote end cannot be reached."""
    UNKNOWN = "unknown"
    """No server is known or listed as the primary."""

    @property
    def has_ended(self) -> bool:
        """Whether it executes nothing that it received before."""
        return self is not FormerPrimary.MAY_RUN

    @property
    def is_process_gone(self) -> bool:
        """Whether no answer of it is to be expected."""
        return self in (FormerPrimary.NOT_LISTENING, FormerPrimary.GONE)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evidence:
    """What the holder of a claim knows of the servers of a service."""

    expected: collections.abc.Set[ids.ServerId]
    """Servers that may have confirmed a commit, listed or not. A primary counts as soon as it
    answers as a replica."""
    paused: collections.abc.Mapping[ids.ServerId, ServerStatus]
    """Statuses of those that receive nothing."""
    receiving: collections.abc.Mapping[ids.ServerId, ServerStatus] = dataclasses.field(
        default_factory=dict
    )
    """Statuses of others that answered."""
    stopped_end: positions.Position | None = None
    """End of the log of the primary, read after it had stopped taking commits; None if it was not
    stopped."""
    required_end: positions.Position | None = None
    """End of a primary that an earlier holder has stopped; None if none is known."""
    commits_held: bool = False
    """Whether no instance sends commits, nor waits for the answer to one."""
    former_primary: FormerPrimary = FormerPrimary.MAY_RUN
    """What is known of the primary that was not stopped."""
    final_ends: collections.abc.Mapping[ids.ServerId, positions.Position] = dataclasses.field(
        default_factory=dict
    )
    """Ends of logs that an earlier holder has read after commits had ended, so that they are not
    longer now. These servers need not answer again."""
    covered: collections.abc.Mapping[ids.ServerId, positions.Position] = dataclasses.field(
        default_factory=dict
    )
    """Servers whose processes have ended, and positions that they held nothing above."""
    unnamed: collections.abc.Set[ids.ServerId] = frozenset()
    """Servers in whose place another one answers, whose name is not known; none is promoted."""
    acknowledged_above: positions.Position | None = None
    """A position below a commit that an instance has acknowledged; None if none is known."""
    acknowledged_end: positions.Position | None = None
    """A position that no acknowledged commit is above; None while an instance may have acknowledged
    commits that it does not tell of."""
    recorded: ids.ServerId | None = None
    """What is recorded, for which commits are held. A server that is recorded may have taken
    commits since the instances told of theirs."""
    unlisted_may_hold: bool = False
    """Whether a server that runs and is not listed yet may have confirmed a commit."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The verdict and its reason, and the replica to promote if there is one."""

    verdict: Verdict
    server: ids.ServerId | None = None
    reason: str = ""
    proof: Proof | None = None
    """What proves that the server may be promoted; None before the primary was stopped."""


def proof(server: ids.ServerId, evidence: Evidence) -> Proof | None:
    """Return what proves that a server may be promoted; None if nothing does.

    The end of a stopped primary's log covers all that it ever acknowledged, whoever confirmed it.
    While that end is known, nothing else proves a log that does not reach it.
    """
    status = evidence.paused.get(server) or evidence.receiving.get(server)
    if status is None or status.leads:
        return None
    if evidence.required_end is not None and status.received < evidence.required_end:
        return None
    if not evidence.commits_held:
        # A stopped primary that crashes leads again when it returns.
        return None
    if lacks_acknowledged(status, evidence.acknowledged_above):
        return None
    if evidence.stopped_end is not None:
        return Proof.PRIMARY_STOPPED if status.received >= evidence.stopped_end else None
    if not evidence.former_primary.has_ended:
        return None
    if not evidence.unlisted_may_hold and _has_highest_paused_log(server, evidence):
        return Proof.ALL_PAUSED
    acknowledged = evidence.acknowledged_end
    if acknowledged is None or not _is_complete_for(server, evidence):
        return None
    return Proof.ALL_ACKNOWLEDGED if status.received >= acknowledged else None


def _is_complete_for(server: ids.ServerId, evidence: Evidence) -> bool:
    """Return whether any commit that the instances do not tell of is in a server's own log."""
    recorded = evidence.recorded
    return recorded is not None and (server == recorded or lets_no_commits_pass(recorded))


def _has_highest_paused_log(server: ids.ServerId, evidence: Evidence) -> bool:
    """Return whether all servers that may have confirmed commits are paused at its end or below."""
    if server not in evidence.paused or missing_servers(evidence):
        return False
    ends = [each.received for each in evidence.paused.values()]
    ends += [end for name, end in evidence.final_ends.items() if name in evidence.expected]
    covered = [end for name, end in evidence.covered.items() if name in evidence.expected]
    received = evidence.paused[server].received
    return received == max(ends) and all(received >= end for end in covered)


def missing_servers(evidence: Evidence) -> set[ids.ServerId]:
    """Return the servers that may have confirmed commits, and whose logs are not known."""
    known = evidence.paused.keys() | evidence.final_ends.keys() | evidence.covered.keys()
    return set(evidence.expected - known)


def lacks_acknowledged(status: ServerStatus, above: positions.Position | None) -> bool:
    """Return whether a log certainly lacks a commit that was acknowledged ``above`` a position."""
    return above is not None and status.received <= above


KEPT_PREFIX = "kept "
HELD_PREFIX = "held "
"""Beginnings of what a record holds instead of a server; no server's name has a blank."""


def keeping(primary: ids.ServerId) -> ids.ServerId:
    """Return what is recorded while the promotion of the present primary may take effect.

    It names no server, so that no commits are sent to any: the primary may be replaced by an
    earlier request, and may lead again after that. It led while all commits were held.
    """
    return ids.ServerId(f"{KEPT_PREFIX}{primary}")


def kept_primary(recorded: ids.ServerId | None) -> ids.ServerId | None:
    """Return the present primary whose promotion may take effect; None without one."""
    if recorded is None or not recorded.startswith(KEPT_PREFIX):
        return None
    return ids.ServerId(recorded.removeprefix(KEPT_PREFIX))


def holding(candidate: ids.ServerId) -> ids.ServerId:
    """Return what is recorded for a server while an earlier request may make another one lead.

    No commits are sent to any server. Its promotion is not proved yet, or not effective.
    """
    return ids.ServerId(f"{HELD_PREFIX}{candidate}")


def holding_all(recorded: ids.ServerId) -> ids.ServerId:
    """Return a record that lets no commits pass, in the place of any record."""
    return recorded if lets_no_commits_pass(recorded) else holding(recorded)


def recorded_server(recorded: ids.ServerId | None) -> ids.ServerId | None:
    """Return the server whose promotion is recorded, with or without a hold of all commits.

    The record of a kept primary is returned as it is; it is the name of no server.
    """
    if recorded is None or not recorded.startswith(HELD_PREFIX):
        return recorded
    return ids.ServerId(recorded.removeprefix(HELD_PREFIX))


def lets_no_commits_pass(recorded: ids.ServerId) -> bool:
    """Return whether a record names no server that may take commits."""
    return recorded.startswith((KEPT_PREFIX, HELD_PREFIX))


def may_take_commits(leader: ids.ServerId, *, requested: ids.ServerId | None) -> bool:
    """Return whether commits may be sent to the primary that leads now.

    From the request of a promotion until it takes effect, any server that has just started, or
    whose pause has ended, may confirm commits that the promoted one lacks. Nothing is lost as long
    as no commits are made.
    """
    return requested in (None, leader)


def leading_server(
    statuses: collections.abc.Mapping[ids.ServerId, ServerStatus],
    *,
    known: ids.ServerId | None,
    requested: ids.ServerId | None,
) -> ids.ServerId | None:
    """Return the server that leads by its own account; None if none does.

    Of several, the one whose promotion may have been ``requested`` before is preferred, then any
    other than the ``known`` primary, which is to be replaced.
    """
    leading = [name for name, status in statuses.items() if status.leads]
    others = [name for name in leading if name != known]
    if requested in others:
        return requested
    return next(iter(others or leading), None)


def choose(
    evidence: Evidence,
    *,
    leaving: collections.abc.Set[ids.ServerId],
    requested: ids.ServerId | None = None,
    may_be_sent: bool = True,
) -> Choice:
    """Choose the server to promote, of those for which there is a proof.

    The one that is recorded as ``requested`` is preferred if its request ``may_be_sent``. After
    that one that is not ``leaving`` is preferred, and of several the recorded one.
    """
    statuses = {**evidence.receiving, **evidence.paused}
    if any(status.leads for status in statuses.values()):
        return Choice(verdict=Verdict.ALREADY_LED, reason="a queried server leads already")
    # Another server than the recorded one is recorded, and proved anew, before it is promoted.
    proofs = {
        name: proof(name, dataclasses.replace(evidence, recorded=name))
        for name in statuses.keys() - evidence.unnamed
    }
    proved = sorted(name for name, found in proofs.items() if found is not None)
    if not proved:
        return Choice(verdict=Verdict.WAIT, reason=_missing_proof(evidence, statuses))
    if requested in proved and may_be_sent:
        chosen = requested
    else:
        chosen = min(proved, key=lambda name: (name in leaving, name != requested))
    return Choice(
        verdict=Verdict.PROMOTE,
        server=chosen,
        reason=_describe_proof(proofs[chosen], evidence, statuses[chosen].received),
        proof=proofs[chosen],
    )


def _missing_proof(
    evidence: Evidence, statuses: collections.abc.Mapping[ids.ServerId, ServerStatus]
) -> str:
    if not statuses:
        return "no replica is known"
    missing = missing_servers(evidence)
    reasons = [f"no answer from {', '.join(sorted(missing))}"] if missing else []
    if not evidence.commits_held:
        reasons.append("instances may send commits")
    if evidence.stopped_end is None and not evidence.former_primary.has_ended:
        reasons.append("the former primary may execute commits")
    if evidence.stopped_end is None and evidence.unlisted_may_hold:
        reasons.append("a server that is not listed yet may hold commits")
    if evidence.required_end is not None:
        reasons.append(f"an earlier holder stopped the primary at {evidence.required_end}")
    if all(lacks_acknowledged(status, evidence.acknowledged_above) for status in statuses.values()):
        reasons.append(f"no log reaches beyond {evidence.acknowledged_above}")
    if evidence.stopped_end is not None:
        reasons.append(f"no server has reached the primary's end {evidence.stopped_end}")
    return "; ".join(reasons) or "no replica is paused"


def _describe_proof(found: Proof, evidence: Evidence, end: positions.Position) -> str:
    if found is Proof.PRIMARY_STOPPED:
        return f"the primary was stopped and ends at {evidence.stopped_end}"
    former = evidence.former_primary.value
    if found is Proof.ALL_ACKNOWLEDGED:
        return f"the former primary is {former}; nothing above {end} was acknowledged"
    return f"the former primary is {former}; the highest paused log ends at {end}"
