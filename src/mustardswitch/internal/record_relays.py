"""Chooses which instances follow the store themselves, and which of those the others follow.

If every instance of a large fleet followed the store, each change would cost one call an instance,
and a configuration of hundreds of kilobytes would cross the link between two regions once for each
instance, which takes longer than a configuration may take. In a zone with enough instances a few
relays follow the store, and the others follow a relay in their zone.
"""

import collections.abc
import math

from mustardswitch.internal import gateways, ids

MIN_ZONE_INSTANCES = 4
"""Instances in a zone below which all follow the store themselves."""
MIN_RELAYS = 2
"""Relays in a zone, so that one may fail."""
FOLLOWERS_PER_RELAY = 16
"""Followers of one relay. A compressed configuration of the largest size then takes about a second
of a relay's link."""
MAX_AGE_S = 3.0
"""Age in seconds of a relay's data above which its followers leave it; longer than the longest wait
of a watch."""

_RANKING_KEY = "relays"


def relays_in_zone(
    candidates: collections.abc.Iterable[gateways.Candidate], zone: ids.ZoneName
) -> list[ids.InstanceId]:
    """Return the instances of a zone that follow the store; empty if all of them do."""
    in_zone = [candidate for candidate in candidates if candidate.zone == zone]
    if len(in_zone) < MIN_ZONE_INSTANCES:
        return []
    count = max(MIN_RELAYS, math.ceil(len(in_zone) / (FOLLOWERS_PER_RELAY + 1)))
    return gateways.ranked(in_zone, _RANKING_KEY)[:count]


def relay_order(
    candidates: collections.abc.Sequence[gateways.Candidate],
    *,
    instance: ids.InstanceId,
    zone: ids.ZoneName,
    avoided: collections.abc.Container[ids.InstanceId],
) -> list[ids.InstanceId]:
    """Return the relays that an instance may follow, in the order in which to try them.

    Followers are spread over the relays. Empty if the instance follows the store itself.
    """
    chosen = relays_in_zone(candidates, zone)
    if instance in chosen:
        return []
    relays = [
        candidate
        for candidate in candidates
        if candidate.instance in chosen and candidate.instance not in avoided
    ]
    return gateways.ranked(relays, instance)


def is_current(*, available: bool, age_s: float) -> bool:
    """Return whether a relay's answer may be used: it follows the store, and without delay."""
    return available and age_s <= MAX_AGE_S
