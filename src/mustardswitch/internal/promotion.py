"""Decides which replica may be promoted without losing an acknowledged commit.

A commit is acknowledged once one replica has received it. A paused replica receives nothing, so
once every replica is paused no further commit is acknowledged, and the highest paused log holds
every commit that was. While the primary answers, one replica stays unpaused: only it can confirm
commits, so it holds all of them as soon as it has reached the highest paused log, and writes
continue until the promotion.
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The verdict and its reason, and the replica to promote if there is one."""

    verdict: Verdict
    server: ids.ServerId | None = None
    reason: str = ""


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
    leading = [name for name, status in statuses.items() if status.role is Role.PRIMARY]
    others = [name for name in leading if name != known]
    if requested in others:
        return requested
    return next(iter(others or leading), None)


def choose_after_failure(
    *,
    expected: collections.abc.Set[ids.ServerId],
    paused: collections.abc.Mapping[ids.ServerId, ServerStatus],
    leaving: collections.abc.Set[ids.ServerId],
    requested: ids.ServerId | None = None,
) -> Choice:
    """Choose the replica to promote when the primary does not answer.

    ``expected`` are all servers that may hold an acknowledged commit, without the primary;
    ``paused`` are the statuses of those that no longer receive anything. Of several replicas with
    the highest log, the one whose promotion may have been ``requested`` before is preferred, then
    one that is not ``leaving``.
    """
    missing = expected - set(paused)
    if missing:
        return Choice(verdict=Verdict.WAIT, reason=f"no answer from {', '.join(sorted(missing))}")
    if not paused:
        return Choice(verdict=Verdict.WAIT, reason="no replica is known")
    if any(status.role is Role.PRIMARY for status in paused.values()):
        return Choice(verdict=Verdict.ALREADY_LED, reason="a queried server leads already")
    end = max(status.received for status in paused.values())
    holders = [server for server, status in paused.items() if status.received == end]
    if requested in holders:
        holders = [requested]
    return _prefer_staying(holders, leaving, f"the highest paused log ends at {end}")


def choose_successor(
    *,
    replicas: collections.abc.Mapping[ids.ServerId, ServerStatus],
    leaving: collections.abc.Set[ids.ServerId],
    requested: ids.ServerId | None = None,
) -> ids.ServerId | None:
    """Choose the replica that stays unpaused while the primary answers.

    Takes the highest log among the replicas that are not ``leaving``; None if all of them are. Once
    a promotion may have been ``requested``, only that server is taken: the request may take effect
    at any time, so no other server may confirm commits.
    """
    if requested is not None:
        return requested if requested in replicas else None
    staying = {server: status for server, status in replicas.items() if server not in leaving}
    if not staying:
        return None
    return max(staying, key=lambda server: (staying[server].received, server))


def evaluate_handover(
    *,
    expected: collections.abc.Set[ids.ServerId],
    paused: collections.abc.Mapping[ids.ServerId, ServerStatus],
    successor: ids.ServerId,
    successor_status: ServerStatus,
    final_end: positions.Position | None = None,
    end_may_be_unconfirmed: bool = False,
    primary_leaves: bool = False,
) -> Choice:
    """Evaluate whether the unpaused successor holds every acknowledged commit.

    ``final_end`` is the end of the primary's log since when no commits are made; None before that.
    A successor that has reached it holds all commits, whoever else has confirmed them, also a
    server that is not known yet. So a primary that leaves, and will soon serve nobody, does not
    wait for a server that gives no answer. When all have answered, a successor that does not reach
    the end after a while suffices: ``end_may_be_unconfirmed``, since nobody receives.
    """
    if successor_status.role is Role.PRIMARY:
        return Choice(verdict=Verdict.ALREADY_LED, reason="the successor leads already")
    missing = expected - set(paused) - {successor}
    if missing and not primary_leaves:
        return Choice(verdict=Verdict.WAIT, reason=f"no answer from {', '.join(sorted(missing))}")
    lags = final_end is not None and successor_status.received < final_end
    if lags and (missing or not end_may_be_unconfirmed):
        return Choice(
            verdict=Verdict.WAIT, reason=f"the successor lags behind the primary's end {final_end}"
        )
    ahead = [
        server for server, status in paused.items() if status.received > successor_status.received
    ]
    if ahead:
        return Choice(
            verdict=Verdict.WAIT, reason=f"the successor lags behind {', '.join(sorted(ahead))}"
        )
    reason = f"every other replica is paused at or below {successor_status.received}"
    if missing:
        reason = f"no answer from {', '.join(sorted(missing))}; the primary ends at {final_end}"
    return Choice(verdict=Verdict.PROMOTE, server=successor, reason=reason)


def servers_to_pause(
    *,
    expected: collections.abc.Set[ids.ServerId],
    statuses: collections.abc.Mapping[ids.ServerId, ServerStatus],
    term: ids.Term,
) -> set[ids.ServerId]:
    """Return those of the ``expected`` servers that are to be paused under a term.

    Servers that have not answered may be receiving. One that reports the term has taken part in
    the promotion under it; a PAUSE would stop replicas of the new primary.
    """
    return {
        name
        for name in expected
        if name not in statuses or (not statuses[name].paused and statuses[name].term < term)
    }


def servers_to_resume(
    statuses: collections.abc.Mapping[ids.ServerId, ServerStatus],
    *,
    requested: ids.ServerId | None,
) -> set[ids.ServerId]:
    """Return the servers that are to be resumed at the end of an attempt.

    One that is not paused gets no RESUME: without an answer it may be executed seconds later, and
    would end the pause of a later change. While a promotion may take effect only its server is
    resumed, since no other may confirm commits.
    """
    return {
        name for name, status in statuses.items() if status.paused and requested in (None, name)
    }


def _prefer_staying(
    holders: collections.abc.Sequence[ids.ServerId],
    leaving: collections.abc.Set[ids.ServerId],
    reason: str,
) -> Choice:
    staying = sorted(server for server in holders if server not in leaving)
    chosen = staying[0] if staying else sorted(holders)[0]
    return Choice(verdict=Verdict.PROMOTE, server=chosen, reason=reason)
