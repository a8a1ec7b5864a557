"""Builds what an instance that does not hear from the store tells the others."""

from mustardswitch.peers import datagrams
from mustardswitch.proxy import directory


def build(
    found: directory.Directory,
    *,
    asked_at_s: float | None = None,
    answers_s: float | None = None,
) -> datagrams.PeerUpdate | None:
    """Build the update of an instance that does not hear from the store, with all it knows.

    Returns None if that does not fit into one datagram, so that no receiver relies on a part of
    it.
    """
    known = [
        promoted for target in found.services.values() for promoted in target.recorded_promotions()
    ]
    known += _promotions_of_unknown_services(found)
    if len(known) > datagrams.MAX_PROMOTIONS:
        return None
    return datagrams.PeerUpdate(
        instance=found.instance,
        stale=True,
        promotions=tuple(known),
        asked_at_s=asked_at_s,
        answers_s=answers_s,
    )


def _promotions_of_unknown_services(
    found: directory.Directory,
) -> list[datagrams.RecordedPromotion]:
    """Return the recorded promotions of services of which no server was ever listed."""
    known = [
        datagrams.RecordedPromotion(service=name, server=server, revision=found.servers.revision)
        for name, server in found.promotions.items()
    ]
    known += [
        promoted
        for promoted in found.announced.values()
        if promoted.revision > found.servers.revision
    ]
    return [promoted for promoted in known if promoted.service not in found.services]
