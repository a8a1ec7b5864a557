"""Explains where a statement would go now and why, by this instance's own decisions.

Decisions that take effect, such as a turn of the rotation, run on copies. Nothing is sent, counted
or opened, and no state of the instance changes.
"""

import asyncio
import enum

from mustardswitch.internal import clock, ids, leave_notices, positions
from mustardswitch.internal.placement import health, read_placement, server_choice
from mustardswitch.proxy import (
    directory,
    errors,
    explanation_fields,
    forwarded,
    placing,
    pool_forecast,
    reading,
    requests,
    routes,
    server,
    service,
    statement_context,
    tenant_state,
)

MAX_LISTED = 16
"""Servers, and gateways, that an explanation lists: more than are tried for a statement. The rest
is only counted, which bounds the size of an answer."""
REQUEST = ids.RequestId("explain")


class Kind(enum.Enum):
    """Kind of the statement that is explained."""

    READ = "read"
    """A read outside of transactions."""
    WRITE = "write"
    """A write outside of transactions."""
    TRANSACTION = "transaction"
    """The first statement of a transaction that may write."""


class UnknownTargetError(errors.ProxyError):
    """Raised when the database or tenant is not configured; the message repeats neither."""


def explain(
    found: directory.Directory, database: ids.DatabaseName, tenant: ids.TenantName, kind: Kind
) -> explanation_fields.Explanation:
    """Explain where a statement would go now; raises UnknownTargetError. Changes no state."""
    configuration = found.configuration
    if configuration is None:
        raise UnknownTargetError("no configuration is in force yet")
    version = configuration.version
    route = found.route(database)
    if route is None:
        raise UnknownTargetError(f"configuration version {version} has no such database")
    if not found.serves_tenant(tenant, route):
        why = "has no such tenant" if tenant else "needs a tenant's name for this database"
        raise UnknownTargetError(f"configuration version {version} {why}")
    return _Explainer(found=found.preview(), route=route, tenant=tenant, kind=kind).explain()


class _Explainer:
    """Collects the decisions on one statement; ``found`` is a preview of the directory."""

    def __init__(
        self,
        *,
        found: directory.Directory,
        route: routes.Route,
        tenant: ids.TenantName,
        kind: Kind,
    ) -> None:
        self.found = found
        self.route = route
        self.tenant = tenant
        self.kind = kind
        self.homes = found.homes_of(tenant)
        self.notes: list[str] = []
        self.min_position: positions.Position | None = None

    def __repr__(self) -> str:
        return f"_Explainer(route={self.route!r}, tenant={self.tenant!r}, kind={self.kind!r})"

    def explain(self) -> explanation_fields.Explanation:
        route = self.route
        placement = self.found.place(route.database)
        self._note_learned_routing()
        limit = self._limit()
        gateways: list[forwarded.Gateway] = []
        backends: list[server.Server] = []
        states: list[explanation_fields.ServerState] = []
        leader = None
        verdict = f"refused: no server of service {route.service} is known"
        if placement is not None:
            context = self._context(placement.service.preview())
            context.only_forwards = placement.only_forwards
            gateways = self.found.gateways_for(context, single_read=self.kind is Kind.READ) or []
            backends = self._servers(context)
            leader = context.service.leader
            states = [self._server_state(each, leader, context) for each in backends[:MAX_LISTED]]
            verdict = self._verdict(context, gateways, states, limit)
        return explanation_fields.Explanation(
            instance=self.found.instance,
            zone=self.found.location.zone,
            version=self.found.configuration.version,
            database=route.database,
            tenant=self.tenant,
            kind=self.kind.value,
            route=explanation_fields.RouteState(
                service=route.service,
                type=route.kind.value,
                priority=route.priority,
                timeout_s=route.statement_timeout_s,
                max_staleness_s=route.max_staleness_s,
                target_latency_s=route.target_latency_s,
                public=route.public,
            ),
            verdict=verdict,
            limit=limit,
            gateways=[self._gateway_state(each) for each in gateways[:MAX_LISTED]],
            gateways_found=len(gateways),
            min_position=str(self.min_position) if self.min_position is not None else None,
            leader=leader.server if leader is not None else None,
            servers=states,
            servers_found=len(backends),
            notes=self.notes,
        )

    def _context(self, target: service.Service) -> statement_context.StatementContext:
        return statement_context.StatementContext(
            request=REQUEST,
            session=statement_context.SessionState(),
            route=self.route,
            service=target,
            tenant=self.tenant,
            first_byte_s=clock.now_s(),
            deadline_s=asyncio.get_running_loop().time() + self.route.statement_timeout_s,
        )

    def _note_learned_routing(self) -> None:
        routing = self.found.routing(self.route.database)
        if routing is not None and routing.version > self.found.configuration.version:
            self.notes.append(
                f"routed by version {routing.version}, of which another instance told"
            )

    def _limit(self) -> explanation_fields.LimitState | None:
        now_s = clock.now_s()
        known = self.found.limits.preview(self.tenant, now_s)
        if known is None:
            return None
        wait_s = known.wait_s(now_s)
        return explanation_fields.LimitState(
            rate_per_s=known.limit.rate_per_s,
            burst=known.limit.burst,
            admits=wait_s <= 0,
            retry_s=wait_s if wait_s != float("inf") else None,
            available=known.available,
            held_per_s=known.share.rate_per_s,
            lent_per_s=known.lent_per_s,
            borrowed_per_s=known.borrowed_per_s,
            is_home=known.role.is_home,
            waiting=known.grant.waiting,
            connected=known.connected,
            homes=self.homes[:MAX_LISTED],
        )

    # Gateways

    def _gateway_state(self, gateway: forwarded.Gateway) -> explanation_fields.GatewayState:
        reasons = []
        forwarder = self.found.forwarder
        if gateway.instance in forwarder.recent_failures.active(now_s=clock.now_s()):
            reasons.append("failed within the last 2 s")
        judged = forwarder.placing.records.get(gateway.instance) if forwarder.placing else None
        if judged is not None:
            reasons += _health_reasons(judged.health)
            reasons.append(
                f"latency {judged.health.latency_s:.3f} s, {len(judged.pending)} in flight"
            )
        if gateway.instance in self.homes:
            reasons.append("home of the tenant")
        return explanation_fields.GatewayState(
            instance=gateway.instance,
            address=f"{gateway.address.host}:{gateway.address.port}",
            reasons=reasons,
        )

    # Servers

    def _servers(self, context: statement_context.StatementContext) -> list[server.Server]:
        """Return the servers in the order in which this instance would try them."""
        leader = context.service.leader
        at_leader = [leader] if leader is not None else []
        if self.kind is not Kind.READ:
            return at_leader
        if self.route.kind is requests.RouteKind.PRIMARY:
            self.notes.append("reads of a primary route run at the leader, in a transaction")
            return at_leader
        run = reading.ReadRun(context)
        self.min_position = run.known_min_position()
        if self.min_position is None:
            self.notes.append("the leader's position is too old; it would be queried first")
        if self.route.kind is requests.RouteKind.READ_YOUR_WRITES:
            self.notes.append("a session with commits of its own may need a later position")
        return run.ordered_servers(self.min_position, may_probe=True)

    def _server_state(
        self,
        backend: server.Server,
        leader: server.Server | None,
        context: statement_context.StatementContext,
    ) -> explanation_fields.ServerState:
        candidate = backend.read_candidate(leads=backend is leader)
        cost_s, latency_s = read_placement.cost_s(candidate), candidate.latency_s
        if context.service.placing is not None:
            judged = placing.judge(backend, leader=leader, now_s=clock.now_s())
            cost_s, latency_s = server_choice.cost_s(judged), judged.latency_s
        holds = self.kind is Kind.TRANSACTION
        pool = backend.pool
        forecast = pool_forecast.forecast(
            pool, context.connection_request(backend, None, holds=holds)
        )
        return explanation_fields.ServerState(
            server=backend.server,
            zone=backend.entry.zone,
            leads=backend is leader,
            cost_s=cost_s,
            latency_s=latency_s,
            in_flight=backend.in_flight,
            reasons=self._reasons(backend, candidate, context),
            pool=explanation_fields.PoolState(
                action=forecast.action.value,
                ahead=forecast.ahead,
                reason=forecast.reason,
                size=pool.size,
                allowed=pool.limit.allowed,
                idle=len(pool.idle),
                busy=pool.busy,
                opening=pool.opening,
            ),
        )

    def _reasons(
        self,
        backend: server.Server,
        candidate: read_placement.ReadCandidate,
        context: statement_context.StatementContext,
    ) -> list[str]:
        now_s = clock.now_s()
        reasons = [f"distance {candidate.distance.name.lower()}"]
        if candidate.leads:
            reasons.append("leads")
        if backend.entry.leaving:
            reasons.append(f"leaves: {self._new_work(backend, context, now_s)}")
        if read_placement.is_lagging(candidate, self.min_position):
            left_s = backend.recheck_at_s - now_s
            reasons.append(
                f"lags: position {candidate.missing_position} was missing, is checked again in"
                f" {left_s:.2f} s"
            )
        if now_s < backend.avoided_until_s:
            reasons.append("failed within the last 0.5 s")
        if backend.unreachable:
            reasons.append("the last connection could not be opened")
        if backend.pace is not None and backend.pace.limited:
            reasons.append(f"limited after its start to {backend.pace.allowed()} in flight")
        if backend.health is not None:
            reasons += _health_reasons(backend.health)
        return reasons

    def _new_work(
        self,
        backend: server.Server,
        context: statement_context.StatementContext,
        now_s: float,
    ) -> str:
        left_s = context.service.work_ends_s(backend) - now_s
        if left_s == float("inf"):
            return "gets new work until another server leads"
        return f"gets new work for {left_s:.1f} s" if left_s > 0 else "gets no new work"

    # Verdict

    def _verdict(
        self,
        context: statement_context.StatementContext,
        gateways: list[forwarded.Gateway],
        states: list[explanation_fields.ServerState],
        limit: explanation_fields.LimitState | None,
    ) -> str:
        if gateways:
            refused = self.found.forwarder.refuse(gateways[0], context)
            if refused is not None:
                return f"refused here: gateway {gateways[0].instance}: {refused.detail}"
            self.notes.append(
                f"limit and connections of {gateways[0].instance} decide; ask that instance"
            )
            if self.kind is not Kind.TRANSACTION:
                self.notes.append("the servers are used from here only if no gateway answers")
            return f"forwarded to gateway {gateways[0].instance}"
        if context.only_forwards:
            return f"refused: no server of service {self.route.service} is known"
        if limit is not None and not limit.admits:
            retry_s = float("inf") if limit.retry_s is None else limit.retry_s
            return f"refused: {tenant_state.refusal(self.tenant, retry_s).detail}"
        if not states:
            return "waits for a leader: no server leads"
        return self._verdict_at(context, states[0])

    def _verdict_at(
        self, context: statement_context.StatementContext, first: explanation_fields.ServerState
    ) -> str:
        backend = context.service.servers[first.server]
        decision = context.service.decide_new_work(backend)
        if decision.verdict is leave_notices.Verdict.REFUSE:
            refusal = context.service.refusal_of_new_work(backend, decision)
            return f"refused: {refusal}"
        if decision.verdict is leave_notices.Verdict.WAIT:
            return f"waits: server {first.server} leaves; {decision.reason}"
        if self.kind is not Kind.READ and not context.service.may_commit(backend):
            if not context.service.commits.permitted():
                return f"waits: primary {first.server} may have been replaced unnoticed"
            return f"waits: primary {first.server} is being replaced"
        pool = first.pool
        waits = f" behind {pool.ahead} statements" if pool.ahead else ""
        why = f": {pool.reason}" if pool.reason else ""
        return f"runs here at server {first.server}, {pool.action}{waits}{why}"


def _health_reasons(judged: health.Health) -> list[str]:
    reasons = []
    if judged.state is not health.State.NORMAL:
        reasons.append(
            f"work {judged.state.value}: error rate {judged.error_rate:.2f},"
            f" share {judged.share:.2f}"
        )
    if judged.displaced:
        reasons.append("slower than others, gets single reads only")
    if judged.probe_due(clock.now_s()):
        reasons.append("a probe is due")
    return reasons
