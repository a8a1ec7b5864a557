"""Chooses which instances hold the connections of a service, and where statements go.

A server accepts a limited number of connections. Where it does not suffice for all instances, some
of them are gateways, to which the others forward statements.
"""

import collections.abc

from mustardswitch.internal import clock, gateways, ids, registration_list
from mustardswitch.internal.admission import connection_shares
from mustardswitch.internal.placement import forwarding
from mustardswitch.internal.tenants import homes
from mustardswitch.proxy import (
    forwarded,
    routes,
    server_list,
    statement_context,
    tenant_roles,
)


class GatewayPlans:
    """The registered instances, and the gateways of each service."""

    instance: ids.InstanceId
    location: server_list.Location
    forwarder: forwarded.Forwarder | None
    configuration: routes.Configuration | None
    instances: registration_list.RegistrationList
    """The registered instances; the values have their zones and addresses."""
    shares: connection_shares.ConnectionShares
    plans: dict[ids.ServiceName, forwarding.GatewayPlan]
    """Gateways of the services whose connections do not suffice for all instances."""

    @property
    def has_tenants(self) -> bool:
        """Whether callers belong to tenants, which servers are told."""
        return self.configuration is not None and bool(self.configuration.tenants)

    @property
    def instance_count(self) -> int:
        """Number of instances that are registered, including this one; at least 1."""
        return max(1, len(self.instances.entries))

    def candidates(self) -> list[gateways.Candidate]:
        """Return the instances that may hold connections or change a primary."""
        return [
            gateways.Candidate(
                instance=instance,
                zone=peer.zone,
                region=self.location.regions.get(peer.zone, ids.RegionName("")),
            )
            for instance, peer in self.instances.entries.items()
        ]

    def _share(self, name: ids.ServiceName) -> int:
        limits = self.configuration.services.get(name) if self.configuration else None
        if limits is None:
            return 1
        plan = self.plans.get(name)
        if plan is not None:
            return plan.connections if plan.is_gateway(self.instance) else 1
        return self.shares.share(connections=limits.max_connections, now_s=clock.now_s())

    def _holds_connections(self, name: ids.ServiceName) -> bool:
        plan = self.plans.get(name)
        return plan is None or plan.is_gateway(self.instance)

    def _plan(self, names: collections.abc.Collection[ids.ServiceName]) -> None:
        """Choose the gateways of services whose connections do not suffice for all instances."""
        if self.configuration is None or self.forwarder is None:
            return
        now_s, candidates = clock.now_s(), self.candidates()
        if self.has_tenants:
            self.plans |= self._tenant_plans(names, candidates, now_s)
            return
        for name in names:
            limits = self.configuration.services.get(name)
            if limits is None:
                continue
            plan = forwarding.plan(
                candidates,
                service=name,
                connections=self.shares.usable(connections=limits.max_connections, now_s=now_s),
                instances=self.shares.instances(now_s=now_s),
            )
            if plan is None:
                self.plans.pop(name, None)
            else:
                self.plans[name] = plan

    def _tenant_plans(
        self,
        names: collections.abc.Iterable[ids.ServiceName],
        candidates: collections.abc.Sequence[gateways.Candidate],
        now_s: float,
    ) -> dict[ids.ServiceName, forwarding.GatewayPlan]:
        """Return the plans for tenants of those services that have one.

        Services of a group with equal limits share one plan: to rank all instances for each service
        would stop a large fleet's instances for a part of a second at each change of the list.
        """
        services = self.configuration.services
        groups = {name: homes.group_of(name, len(services)) for name in services}
        least: dict[int, int] = {}
        for name, group in groups.items():
            connections = services[name].max_connections
            least[group] = min(least.get(group, connections), connections)
        by_limit: dict[tuple[int, int], forwarding.GatewayPlan | None] = {}
        found = {}
        for name in names:
            if name not in services:
                continue
            group = groups[name]
            usable = self.shares.usable(connections=services[name].max_connections, now_s=now_s)
            if (group, usable) not in by_limit:
                by_limit[group, usable] = homes.plan_gateways(
                    candidates, group=group, connections=least[group], usable=usable
                )
            plan = by_limit[group, usable]
            if plan is not None:
                found[name] = plan
        return found

    def plans_without_self(self) -> list[forwarding.GatewayPlan]:
        """Return the plans for tenants as they would be if this instance were not listed."""
        others = [each for each in self.candidates() if each.instance != self.instance]
        return list(self._tenant_plans(self.plans, others, clock.now_s()).values())

    def _gateways_of_tenant(
        self,
        plan: forwarding.GatewayPlan,
        tenant: ids.TenantName,
        *,
        single_read: bool,
    ) -> list[ids.InstanceId] | None:
        """Return the gateways of a tenant in order; None when this instance is a home of it."""
        location = self.location
        order = homes.order_for_tenant(
            plan,
            tenant,
            region=location.regions.get(location.zone, ids.RegionName("")),
            regions=location.regions,
        )
        known = self.configuration.tenants.get(tenant)
        count = homes.homes_per_region(known.rate_per_s if known is not None else None)
        if self.instance in order[:count]:
            return None
        in_zone = set(plan.gateways_by_zone.get(location.zone, ()))
        # If the zone is cut off, only its own gateways can be reached.
        nearest = [gateway for gateway in order if gateway in in_zone][:1]
        first = [*order[: min(2 * count, forwarded.MAX_HOMES_TRIED - 1)], *nearest]
        ranking = list(dict.fromkeys([*first, *order]))
        return self.forwarder.order_homes(ranking, homes=count, single_read=single_read)

    def homes_of(self, tenant: ids.TenantName) -> list[ids.InstanceId]:
        """Return the instances that run a tenant's statements by the present list, in order."""
        if not self.has_tenants:
            return []
        known = self.configuration.tenants.get(tenant)
        return homes.homes_of_plans(
            tenant_roles.distinct(self.plans.values()),
            tenant,
            rate_per_s=known.rate_per_s if known is not None else None,
            regions=self.location.regions,
        )

    def _planned_service(self, context: statement_context.StatementContext) -> ids.ServiceName:
        """Return the service whose gateways a statement goes to.

        It is that of the configured route for a service that only a newer version has.
        """
        service, database = context.service.name, context.route.database
        if service in self.configuration.services or database not in self.configuration.routes:
            return service
        return self.configuration.routes[database].service

    def gateways_for(
        self, context: statement_context.StatementContext, *, single_read: bool = False
    ) -> list[forwarded.Gateway] | None:
        """Return the gateways to forward a statement to; None when this instance runs it itself.

        A ``single_read`` may go to a gateway first that is to be tried again.
        """
        plan = self.plans.get(self._planned_service(context))
        if plan is None:
            return None
        if self.has_tenants:
            order = self._gateways_of_tenant(plan, context.tenant, single_read=single_read)
        elif plan.is_gateway(self.instance):
            order = None
        else:
            order = self.forwarder.order(plan, location=self.location, single_read=single_read)
        peers = self.instances.entries
        return [
            forwarded.Gateway(instance=gateway, address=peers[gateway].address)
            for gateway in order or ()
            if gateway in peers and peers[gateway].address is not None and gateway != self.instance
        ] or None

    def connected_instance_count(self, name: ids.ServiceName) -> int:
        """Return how many instances hold connections to a service."""
        plan = self.plans.get(name)
        return self.instance_count if plan is None else plan.gateway_count
