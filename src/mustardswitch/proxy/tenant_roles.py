"""What this instance and the others are for a tenant, by the present list and by recent ones."""

import collections.abc
import dataclasses
import typing

from mustardswitch.internal import gateways, ids, registration_list
from mustardswitch.internal.placement import forwarding
from mustardswitch.internal.tenants import handover, homes, limits
from mustardswitch.peers import datagrams
from mustardswitch.proxy import routes, server_list

KEPT_S = 5 * handover.WAIT_S
"""How long earlier lists are kept: longer than the waiting for a share and the filling of its
bucket together, so that a tenant without operations for long finds its bucket full."""


class Directory(typing.Protocol):
    """What the roles depend on."""

    instance: ids.InstanceId
    location: server_list.Location
    forwarder: object | None
    """Forwards to gateways; None where there is a single instance."""
    configuration: routes.Configuration | None
    plans: dict[ids.ServiceName, forwarding.GatewayPlan]
    instances: registration_list.RegistrationList
    refreshed_s: float

    def candidates(self) -> list[gateways.Candidate]:
        """Return the instances that may hold connections."""

    def plans_without_self(self) -> list[forwarding.GatewayPlan]:
        """Return the plans for tenants as they would be if this instance were not listed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """The lists of gateways and tenants that were in force here from ``since_s`` on."""

    since_s: float
    plans: tuple[forwarding.GatewayPlan, ...]
    tenants: collections.abc.Mapping[ids.TenantName, routes.Tenant]

    def homes(
        self, tenant: ids.TenantName, regions: collections.abc.Mapping[ids.ZoneName, ids.RegionName]
    ) -> list[ids.InstanceId]:
        """Return the homes of a tenant, in order; none if it had no limit."""
        known = self.tenants.get(tenant)
        if known is None or known.rate_per_s is None:
            return []
        return homes.homes_of_plans(
            self.plans, tenant, rate_per_s=known.rate_per_s, regions=regions
        )


def distinct(
    plans: collections.abc.Iterable[forwarding.GatewayPlan],
) -> tuple[forwarding.GatewayPlan, ...]:
    """Return plans without those that have the same gateways as another."""
    found: list[forwarding.GatewayPlan] = []
    # Services with the same gateways usually share one plan.
    for plan in {id(plan): plan for plan in plans}.values():
        if all(plan.gateways_by_zone != each.gateways_by_zone for each in found):
            found.append(plan)
    return tuple(found)


class Roles:
    """The roles of this instance, and the former homes of tenants that it must wait for."""

    def __init__(self, *, directory: Directory) -> None:
        self.directory = directory
        self.snapshots: list[Snapshot] = []
        """Lists since this instance was last cut off, the oldest first; empty while it is."""
        self.seen_s = float("-inf")
        """``refreshed_s`` of the directory's state that the last snapshot holds."""
        self.seen: tuple[object, ...] = ()
        self.known: dict[ids.TenantName, limits.Role] = {}
        """Roles by the present list."""
        self.addresses: dict[ids.InstanceId, tuple[datagrams.PeerAddress | None, float]] = {}
        """Addresses of the instances that were listed lately, and when they were last noted."""
        self.known_homes: dict[ids.TenantName, tuple[ids.InstanceId, ...]] = {}

    def __repr__(self) -> str:
        return f"Roles(directory={self.directory!r})"

    def follow(self, *, connected: bool, now_s: float) -> bool:
        """Take over the directory's list; return whether it has changed.

        Snapshots start anew while the list may be outdated, since others may have become homes.
        """
        directory = self.directory
        if not connected:
            self.snapshots.clear()
        followed = directory.refreshed_s == self.seen_s and (not connected or self.snapshots)
        if followed or directory.configuration is None:
            return False
        self.seen_s = directory.refreshed_s
        plans = distinct(directory.plans.values())
        seen = (
            directory.configuration.version,
            *(plan.gateways_by_zone for plan in plans),
        )
        changed = seen != self.seen
        if changed:
            self._note_addresses(now_s)
            self.seen = seen
            self.known.clear()
            self.known_homes.clear()
        if connected and (changed or not self.snapshots):
            tenants = directory.configuration.tenants
            self.snapshots.append(Snapshot(since_s=now_s, plans=plans, tenants=tenants))
            while len(self.snapshots) > 1 and self.snapshots[1].since_s < now_s - KEPT_S:
                del self.snapshots[0]
        return changed

    def _note_addresses(self, now_s: float) -> None:
        """Remember the instances that are listed; one that leaves still answers while it drains."""
        self.addresses = {
            instance: known
            for instance, known in self.addresses.items()
            if known[1] > now_s - KEPT_S
        } | {
            instance: (peer.address, now_s)
            for instance, peer in self.directory.instances.entries.items()
        }

    def address(self, instance: ids.InstanceId) -> datagrams.PeerAddress | None:
        """Return the address of an instance that is or was listed; None if it is unknown."""
        peer = self.directory.instances.entries.get(instance)
        if peer is not None:
            return peer.address
        known = self.addresses.get(instance)
        return known[0] if known is not None else None

    def role(self, tenant: ids.TenantName) -> limits.Role:
        """Return this instance's role for a tenant by the present list."""
        role = self.known.get(tenant)
        if role is None:
            role = self.known[tenant] = self.present_role(tenant)
        return role

    def present_role(self, tenant: ids.TenantName) -> limits.Role:
        """Return the same without remembering it."""
        return self.role_in(self._present(), tenant)

    def _present(self) -> Snapshot:
        """Return the present list, also while it may be outdated."""
        directory = self.directory
        return Snapshot(
            since_s=directory.refreshed_s,
            plans=distinct(directory.plans.values()),
            tenants=directory.configuration.tenants,
        )

    def role_in(self, snapshot: Snapshot, tenant: ids.TenantName) -> limits.Role:
        """Return this instance's role for a tenant by a list."""
        known = snapshot.tenants.get(tenant)
        if known is None or known.rate_per_s is None:
            return limits.Role()
        if not snapshot.plans:
            # There is a single instance, or the fleet's servers are not listed yet.
            return limits.Role(is_home=self.directory.forwarder is None)
        regions = self.directory.location.regions
        found = snapshot.homes(tenant, regions)
        instance = self.directory.instance
        return limits.Role(
            homes=max(1, len(found)),
            is_home=instance in found,
            is_next=any(
                homes.is_next_home(
                    plan, tenant, instance=instance, rate_per_s=known.rate_per_s, regions=regions
                )
                for plan in snapshot.plans
            ),
        )

    def fractions(self, tenant: ids.TenantName) -> dict[ids.InstanceId, float]:
        """Return the shares of a tenant's limit by the present list."""
        found = self._present().homes(tenant, self.directory.location.regions)
        return {home: 1.0 / len(found) for home in found}

    def lenders(self, tenant: ids.TenantName) -> tuple[ids.InstanceId, ...]:
        """Return the instances that may lend a part of a tenant's limit: its homes."""
        found = self.known_homes.get(tenant)
        if found is None:
            found = self.known_homes[tenant] = tuple(self.fractions(tenant))
        return found

    def former_homes(self, tenant: ids.TenantName, now_s: float) -> set[ids.InstanceId]:
        """Return the instances that may still use more of a limit than the present list says.

        These are the homes of the lists of the last ``handover.WAIT_S``. An instance that has known
        the list for less has taken the place of the homes that there would be without it.
        """
        present = self.fractions(tenant)
        regions = self.directory.location.regions
        earliest_s = now_s - handover.WAIT_S
        lists = [
            snapshot.homes(tenant, regions)
            for snapshot, after in zip(self.snapshots, self.snapshots[1:], strict=False)
            if after.since_s > earliest_s
        ]
        if self.snapshots and self.snapshots[0].since_s > earliest_s:
            without_self = Snapshot(
                since_s=now_s,
                plans=distinct(self.directory.plans_without_self()),
                tenants=self.snapshots[-1].tenants,
            )
            lists.append(without_self.homes(tenant, regions))
        return {
            home
            for found in lists
            for home in found
            if home != self.directory.instance
            and 1.0 / len(found) > present.get(home, 0.0) + limits.EPSILON
        }
