"""Decides which servers receive, and which are paused, while a primary is replaced."""

import collections.abc

from mustardswitch.internal import ids, promotion


def choose_successor(
    *,
    replicas: collections.abc.Mapping[ids.ServerId, promotion.ServerStatus],
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
    paused: collections.abc.Mapping[ids.ServerId, promotion.ServerStatus],
    successor: ids.ServerId,
    successor_status: promotion.ServerStatus,
    primary_leaves: bool = False,
) -> promotion.Choice:
    """Evaluate whether the unpaused successor can take over, so that the primary may be stopped.

    The proof follows when the primary has stopped. Until then all others are to be paused, so that
    the successor alone confirms commits and lacks none that the stopped primary holds. A primary
    that leaves, and will soon serve nobody, does not wait for a server that gives no answer.
    """
    if successor_status.leads:
        return promotion.Choice(
            verdict=promotion.Verdict.ALREADY_LED, reason="the successor leads already"
        )
    missing = expected - set(paused) - {successor}
    if missing and not primary_leaves:
        return promotion.Choice(
            verdict=promotion.Verdict.WAIT, reason=f"no answer from {', '.join(sorted(missing))}"
        )
    ahead = [
        server for server, status in paused.items() if status.received > successor_status.received
    ]
    if ahead:
        return promotion.Choice(
            verdict=promotion.Verdict.WAIT,
            reason=f"the successor lags behind {', '.join(sorted(ahead))}",
        )
    reason = f"every other replica is paused at or below {successor_status.received}"
    return promotion.Choice(verdict=promotion.Verdict.PROMOTE, server=successor, reason=reason)


def servers_to_pause(
    *,
    expected: collections.abc.Set[ids.ServerId],
    statuses: collections.abc.Mapping[ids.ServerId, promotion.ServerStatus],
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
    statuses: collections.abc.Mapping[ids.ServerId, promotion.ServerStatus],
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
