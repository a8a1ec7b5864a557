"""Decides when an instance suspects a primary, and when enough instances do.

Writes pile up while a primary is unreachable, crashed or cut off from part of the instances. What
an instance observed while it was itself stalled or cut off is no evidence against a primary.
"""

import dataclasses
import math

MIN_VOTE_SHARE = 0.3
"""Share of instances that must suspect a primary before it is replaced. A failover costs all
callers the time of one promotion. A network cut costs its share of the callers the length of the
cut, which is 4 to 5 promotions at the users' sites."""
MAX_UNANSWERED_S = 0.5
"""Longest time in seconds for which a primary may leave a query unanswered: five times the longest
work that it usually does."""

PROBE_AFTER_S = 0.25
"""Seconds without an answer after which a fresh connection is tried; longer than most reads of the
users take."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryContact:
    """An instance's recent contact with a primary."""

    unanswered_s: float
    """Age in seconds of the oldest query since which no answer came; 0 when there is none."""
    failed_probes: int
    """Consecutive queries over connections of their own that were not answered."""
    refused_connections: int
    """Consecutive connections that were refused or reset."""
    listed: bool
    """Whether the platform still lists the server."""
    other_answered_s: float
    """Seconds since another server answered; large when this instance itself is cut off."""
    stall_s: float
    """Seconds by which the instance's own timers were late."""


MAX_OTHERS_SILENCE_S = 2.0
"""Seconds without an answer from any other server after which the instance itself may be cut off;
two rounds of probes."""
MIN_REFUSED_CONNECTIONS = 2
"""Consecutive refused connections that count as silence; a single one may be a reset."""


def needs_probe(contact: PrimaryContact) -> bool:
    """Return whether to query over a fresh connection, in case only one answer was lost."""
    return contact.unanswered_s >= PROBE_AFTER_S


def suspects(contact: PrimaryContact) -> bool:
    """Return whether this instance suspects the primary.

    An instance that no other server has answered lately may be cut off itself and suspects nothing.
    The time for which the instance was stalled does not count as silence of the primary.
    """
    if contact.other_answered_s > MAX_OTHERS_SILENCE_S:
        return False
    silent = contact.unanswered_s - contact.stall_s >= MAX_UNANSWERED_S
    if silent and contact.failed_probes > 0:
        return True
    if contact.refused_connections >= MIN_REFUSED_CONNECTIONS:
        return True
    return not contact.listed


def votes_suffice(*, votes: int, instances: int) -> bool:
    """Return whether enough instances suspect the primary to replace it."""
    return votes >= max(1, math.ceil(MIN_VOTE_SHARE * instances))
