"""When an instance suspects a primary, and when enough instances do.

Answers the load pattern of a primary that is dark, crashed or cut off from part of the instances:
writes pile up behind it. An instance that was itself held up or cut off says nothing about others.
"""

import dataclasses
import math

VOTING_SHARE = 0.3
"""Share of instances that has to lack the primary. A change costs all callers one promotion, a cut
costs its share of them the length of the cut, which is 4 to 5 promotions on the users' sites."""
SILENCE_S = 0.5
"""Longest time a primary may leave a question unanswered; five times its usual longest work."""

PROBE_AFTER_S = 0.25
"""Silence after which a fresh connection is tried; longer than most work of the users' reads."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrimaryContact:
    """What an instance knows of its contact with a primary."""

    unanswered_s: float
    """Age of the oldest question without any answer since; 0 when there is none."""
    failed_probes: int
    """Questions over connections of their own, in a row, without an answer."""
    refused_connections: int
    """Connections in a row that were refused or reset."""
    listed: bool
    """Whether the platform still lists the server."""
    other_answered_s: float
    """Time since another server answered; large when this instance is cut off itself."""
    stall_s: float
    """How late the instance's own timers were."""


OTHERS_HEARD_S = 2.0
"""An instance that heard no other server for this long may be cut off itself; two probe rounds."""
REFUSALS = 2
"""Refused connections in a row that count as silence; one may be a reset of connections."""


def needs_probe(contact: PrimaryContact) -> bool:
    """Tell whether a question over a fresh connection should tell silence from one lost answer."""
    return contact.unanswered_s >= PROBE_AFTER_S


def suspects(contact: PrimaryContact) -> bool:
    """Tell whether this instance lacks the primary through no fault of its own."""
    if contact.other_answered_s > OTHERS_HEARD_S:
        return False
    silent = contact.unanswered_s - contact.stall_s >= SILENCE_S
    if silent and contact.failed_probes > 0:
        return True
    if contact.refused_connections >= REFUSALS:
        return True
    return not contact.listed


def votes_suffice(*, votes: int, instances: int) -> bool:
    """Tell whether enough instances lack the primary to replace it."""
    return votes >= max(1, math.ceil(VOTING_SHARE * instances))
