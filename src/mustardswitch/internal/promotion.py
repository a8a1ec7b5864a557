"""Which replica may be promoted, so that no acknowledged commit is lost.

A commit is acknowledged once one replica has received it. A paused replica receives nothing, so
once every replica is paused nothing more is acknowledged, and the highest paused log holds
everything that was. While the primary answers, one replica stays unpaused: only it can confirm
commits, so it holds all of them as soon as it has reached the highest paused log, and writes go on
until the promotion.
"""

import collections.abc
import dataclasses
import enum

from mustardswitch.internal import ids, positions


class Role(enum.Enum):
    """How a server sees itself."""

    PRIMARY = "primary"
    """It takes writes."""
    REPLICA = "replica"
    """It follows a primary."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatus:
    """What a server answered about itself."""

    role: Role
    term: ids.Term
    received: positions.Position
    """The end of its log, which may not be applied yet."""


class Verdict(enum.Enum):
    """What follows from the answers of a service's replicas."""

    PROMOTE = "promote"
    """One replica is known to hold every acknowledged commit."""
    WAIT = "wait"
    """No replica is known to hold every acknowledged commit yet."""
    ALREADY_LED = "already_led"
    """A server of a newer term leads."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The verdict, and the replica to promote."""

    verdict: Verdict
    server: ids.ServerId | None = None
    reason: str = ""


def choose_after_failure(
    *,
    expected: collections.abc.Set[ids.ServerId],
    paused: collections.abc.Mapping[ids.ServerId, ServerStatus],
    leaving: collections.abc.Set[ids.ServerId],
) -> Choice:
    """Choose when the primary does not answer.

    ``expected`` are all servers that may hold an acknowledged commit, without the primary;
    ``paused`` are the answers of those that receive nothing any more.
    """
    missing = expected - set(paused)
    if missing:
        return Choice(verdict=Verdict.WAIT, reason=f"no answer of {', '.join(sorted(missing))}")
    if not paused:
        return Choice(verdict=Verdict.WAIT, reason="no replica is known")
    if any(status.role is Role.PRIMARY for status in paused.values()):
        return Choice(verdict=Verdict.ALREADY_LED, reason="a server that was asked leads")
    end = max(status.received for status in paused.values())
    holders = [server for server, status in paused.items() if status.received == end]
    return _prefer_staying(holders, leaving, f"the highest paused log ends at {end}")


def choose_successor(
    *,
    replicas: collections.abc.Mapping[ids.ServerId, ServerStatus],
    leaving: collections.abc.Set[ids.ServerId],
) -> ids.ServerId | None:
    """Choose the replica that stays unpaused while the primary answers."""
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
) -> Choice:
    """Tell whether the unpaused successor holds every acknowledged commit."""
    missing = expected - set(paused) - {successor}
    if missing:
        return Choice(verdict=Verdict.WAIT, reason=f"no answer of {', '.join(sorted(missing))}")
    if successor_status.role is Role.PRIMARY:
        return Choice(verdict=Verdict.ALREADY_LED, reason="the successor leads")
    behind = [
        server for server, status in paused.items() if status.received > successor_status.received
    ]
    if behind:
        return Choice(verdict=Verdict.WAIT, reason=f"behind the log of {', '.join(sorted(behind))}")
    return Choice(
        verdict=Verdict.PROMOTE,
        server=successor,
        reason=f"every other replica is paused at or below {successor_status.received}",
    )


def _prefer_staying(
    holders: collections.abc.Sequence[ids.ServerId],
    leaving: collections.abc.Set[ids.ServerId],
    reason: str,
) -> Choice:
    staying = sorted(server for server in holders if server not in leaving)
    chosen = staying[0] if staying else sorted(holders)[0]
    return Choice(verdict=Verdict.PROMOTE, server=chosen, reason=reason)
