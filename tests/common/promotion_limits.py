"""Known losses of commits by the whole rule for promotions, and how they are told apart."""

import enum

from tests.common import promotion_servers


class Limit(enum.Enum):
    """Combinations in which the whole rule loses a commit."""

    UNKNOWN = "unknown"
    """A server that never had an entry confirmed a commit before the choice, the primary gives no
    answer or has died, and the instance had seen no position that shows it: listed in
    docs/PLATFORM.md."""
    STARTED_ANEW = "started_anew"
    """The server starts again under its id before a late or repeated request is executed."""
    LEFT = "left"
    """The only replica that confirmed the commit has left and ended, and no other had received it.
    """
    STALE_PRIMARY = "stale_primary"
    """The holder has not read that the server which it takes for the primary was replaced. That one
    has confirmed commits since, has ended and does not count; its successor was lost."""
    COVERED_BEFORE = "covered_before"
    """A server confirmed the commit after it was covered: it had ended, and was back."""


def limit_of(loss: promotion_servers.Loss) -> Limit | None:
    """Return the combination that explains a loss; None if it is another one.

    Each but UNKNOWN is known red in ``tests.proxy.test_promotion_rule_parts``.
    """
    request = loss.request
    if loss.started_anew:
        return Limit.STARTED_ANEW
    if not request.unanswered:
        return None
    if loss.commit.confirmed_covered:
        return Limit.COVERED_BEFORE
    if loss.holders & (request.known - request.expected) - {request.primary}:
        return Limit.STALE_PRIMARY
    before = loss.commit.acknowledged_as is not None and (
        loss.commit.acknowledged_as < request.acknowledged
    )
    if not before or loss.holders & request.expected:
        return None
    if loss.commit.confirmed_by in request.left:
        return Limit.LEFT
    return None if loss.commit.confirmed_by in request.ever_listed else Limit.UNKNOWN
