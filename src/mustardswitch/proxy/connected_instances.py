"""Ranks the instances that hold connections to a service, and so find out how its servers are."""

from mustardswitch.internal import gateways, ids
from mustardswitch.proxy import directory


def ranked(known: directory.Directory, name: ids.ServiceName) -> list[ids.InstanceId]:
    """Return the registered instances that hold connections to a service, the first one first."""
    plan = known.plans.get(name)
    candidates = known.candidates()
    if plan is not None:
        candidates = [each for each in candidates if plan.is_gateway(each.instance)]
    return gateways.ranked(candidates, name)


def rank(known: directory.Directory, name: ids.ServiceName) -> int | None:
    """Return the rank of this instance; None if it holds no connections to the service."""
    found = ranked(known, name)
    return found.index(known.instance) if known.instance in found else None
