"""Applies the rate limits of tenants to the operations that start on this instance.

A home whose share does not suffice borrows from the other homes, and one that has become a home
asks the former homes whether they still spend the share.
"""

import asyncio
import collections.abc
import copy
import dataclasses
import functools
import math
import typing

from mustardswitch import events, metrics
from mustardswitch.internal import clock, ids
from mustardswitch.internal.tenants import handover, limits
from mustardswitch.peers import datagrams, errors, limit_loans
from mustardswitch.proxy import requests, tenant_roles, tenant_state

ASK_INTERVAL_S = 0.25
"""Least time between two questions of a kind to one instance about one tenant."""
ASK_AGAIN_S = 0.5
"""The same after no answer, or one without a loan."""
POLL_S = 0.25
"""Interval at which lists, metrics and events are brought up to date without operations."""
CHECKED_PER_POLL = 50
"""Tenants without operations that are looked at in one poll after the list has changed, so that a
long list of tenants doesn't delay callers."""
REFUSING_S = 2.0
"""Time without a refusal after which a tenant is reported as no longer refused; a tenant near its
limit is so reported at most every two seconds."""


class Directory(tenant_roles.Directory, typing.Protocol):
    """What the limits depend on."""

    registry: metrics.Registry


def always_valid() -> float:
    """Return when the list expires where no store is followed: never."""
    return math.inf


class TenantLimits:
    """Admits the operations of tenants that start on this instance.

    ``valid_until`` returns until when both the registration of this instance and its list of the
    others are certainly valid. Without ``exchange`` no other instance is asked.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        valid_until: collections.abc.Callable[[], float] = always_valid,
        exchange: tenant_state.Exchange | None = None,
    ) -> None:
        self.directory = directory
        self.valid_until = valid_until
        self.exchange = exchange
        self.started_s = clock.now_s()
        self.roles = tenant_roles.Roles(directory=directory)
        self.tenants: dict[ids.TenantName, tenant_state.Tracked] = {}
        self.unchecked: list[ids.TenantName] = []
        """Tenants of which this instance may have become a home by the present list."""
        self.valid_until_s = -math.inf
        """What ``valid_until`` returned last."""
        self.connected = False
        self.has_left = False
        """Whether this instance is stopping and has removed its registration."""
        self.asking: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f"TenantLimits(directory={self.directory!r})"

    # Admission

    def admit(self, tenant: ids.TenantName, now_s: float) -> bool:
        """Return whether an operation of a tenant may start here now, and count it if so."""
        return self.start(tenant, now_s) is None

    def start(self, tenant: ids.TenantName, now_s: float) -> requests.Answer | None:
        """Count an operation that starts now; returns its refusal if it may not."""
        if self._limit_of(tenant) is None:
            return None
        self._follow(now_s)
        tracked = self._track(tenant, now_s)
        admitted = tracked.limit.admit(now_s)
        self._seek(tenant, tracked, now_s)
        if not admitted:
            return self._refuse(tenant, tracked, now_s)
        self.directory.registry.count("tenant_operations_admitted", tenant)
        return None

    def preview(self, tenant: ids.TenantName, now_s: float) -> limits.TenantLimit | None:
        """Return a copy of a tenant's state as of now; None without a limit."""
        limit = self._limit_of(tenant)
        if limit is None:
            return None
        tracked = self.tenants.get(tenant)
        role = self.roles.present_role(tenant)
        copied = self._replay(tenant, role) if tracked is None else copy.deepcopy(tracked)
        self._apply(copied, limit, role, now_s, connected=now_s < self.valid_until())
        copied.limit.advance(now_s)
        return copied.limit

    def start_sending(self, tenant: ids.TenantName, now_s: float) -> requests.Answer | None:
        """Count an operation that is sent to a server now; returns its refusal if it may not."""
        if self._limit_of(tenant) is None:
            return None
        self._follow(now_s)
        tracked = self._track(tenant, now_s)
        if tracked.limit.admit_sending(now_s):
            return None
        self.directory.registry.count("tenant_operations_refused_late", tenant)
        return self._refuse(tenant, tracked, now_s)

    def _refuse(
        self, tenant: ids.TenantName, tracked: tenant_state.Tracked, now_s: float
    ) -> requests.Answer:
        self.directory.registry.count("tenant_operations_refused", tenant)
        tracked.refused_at_s = now_s
        if not tracked.refusing:
            tracked.refusing = True
            events.log(
                events.Event.TENANT_REFUSED,
                tenant=tenant,
                held_per_s=round(tracked.limit.inflow_per_s, 3),
                demand_per_s=round(tracked.limit.demand.at(now_s), 3),
                connected=self.connected,
                waiting=tracked.limit.grant.waiting,
            )
        return tenant_state.refusal(tenant, tracked.limit.wait_s(now_s))

    # Following the directory

    def _limit_of(self, tenant: ids.TenantName) -> limits.Limit | None:
        configuration = self.directory.configuration
        known = configuration.tenants.get(tenant) if configuration is not None else None
        return tenant_state.limit_of(known)

    def _follow(self, now_s: float) -> None:
        """Apply the directory's list and this instance's validity."""
        lapsed = self.connected and now_s >= self.valid_until_s
        was_connected = self.connected and not lapsed
        self.valid_until_s = self.valid_until()
        connected = now_s < self.valid_until_s
        if lapsed:
            # Other instances may have become homes meanwhile, also if it is valid again.
            self.roles.follow(connected=False, now_s=now_s)
            for tracked in self.tenants.values():
                known = tracked.limit
                self._apply(tracked, known.limit, known.role, now_s, connected=False)
        self.connected = connected
        changed = self.roles.follow(connected=connected, now_s=now_s)
        if self.directory.configuration is not None and (changed or connected != was_connected):
            self.unchecked = [
                name
                for name, known in self.directory.configuration.tenants.items()
                if known.rate_per_s is not None
            ]
            for tenant in [name for name in self.tenants if self._limit_of(name) is None]:
                del self.tenants[tenant]
                for name in tenant_state.GAUGES:
                    self.directory.registry.remove_gauge(name, tenant)
            for tracked in self.tenants.values():
                tracked.former = None

    def _track(self, tenant: ids.TenantName, now_s: float) -> tenant_state.Tracked:
        """Return the state of a tenant that has a limit, as of now."""
        tracked = self.tenants.get(tenant)
        if tracked is None:
            tracked = self.tenants[tenant] = self._replay(tenant, self.roles.role(tenant))
        self._apply(
            tracked,
            self._limit_of(tenant),
            self.roles.role(tenant),
            now_s,
            connected=self.connected,
        )
        return tracked

    def _apply(
        self,
        tracked: tenant_state.Tracked,
        limit: limits.Limit,
        role: limits.Role,
        now_s: float,
        *,
        connected: bool,
    ) -> None:
        applied = (limit, role, connected)
        if tracked.applied != applied:
            tracked.applied = applied
            tracked.limit.update(limit=limit, role=role, connected=connected, now_s=now_s)
            tracked.former = None

    def _replay(self, tenant: ids.TenantName, present: limits.Role) -> tenant_state.Tracked:
        """Build the state that a tenant would have if it had been tracked from the start."""
        limit = self._limit_of(tenant)
        tracked = tenant_state.Tracked(
            limit=limits.TenantLimit(limit=limit, started_s=self.started_s)
        )
        self._apply(tracked, limit, present, self.started_s, connected=False)
        for snapshot in self.roles.snapshots:
            role = self.roles.role_in(snapshot, tenant)
            past = tenant_state.limit_of(snapshot.tenants.get(tenant)) or limit
            self._apply(tracked, past, role, snapshot.since_s, connected=True)
        return tracked

    # Other instances

    def _seek(self, tenant: ids.TenantName, tracked: tenant_state.Tracked, now_s: float) -> None:
        """Wait for former homes, and borrow, if what this instance has does not suffice."""
        if tracked.limit.grant.waiting:
            self._clear_former(tenant, tracked, now_s)
        if self.exchange is None or not tracked.limit.is_short(now_s):
            return
        instance = self.directory.instance
        # A former home that still has the share lends it: its callers come here now.
        former = tracked.former if tracked.limit.grant.waiting and tracked.former else ()
        for home in dict.fromkeys([*self.roles.lenders(tenant), *former]):
            wanted = tracked.limit.wanted_per_s(home, now_s)
            if wanted > limits.EPSILON and home != instance:
                request = limit_loans.LoanRequest(
                    tenant=tenant, borrower=instance, wanted_per_s=wanted
                )
                self._ask(home, request, now_s)

    def _clear_former(
        self, tenant: ids.TenantName, tracked: tenant_state.Tracked, now_s: float
    ) -> None:
        """Use the share once no former home spends it."""
        if tracked.former is None:
            tracked.former = self.roles.former_homes(tenant, now_s)
            tracked.cleared_at_s.clear()
        for home in tracked.former:
            if home not in tracked.cleared_at_s:
                self._ask(home, limit_loans.CeilingRequest(tenant=tenant), now_s)
        if len(tracked.cleared_at_s) == len(tracked.former):
            restarted_s = self.started_s + handover.UNLISTED_WAIT_S
            at_s = max(now_s, restarted_s, *tracked.cleared_at_s.values())
            tracked.limit.grant.note_cleared(at_s)

    def _ask(self, home: ids.InstanceId, request: limit_loans.Request, now_s: float) -> None:
        """Ask an instance in the background, unless it was asked a moment ago."""
        tracked = self.tenants[request.tenant]
        address = self.roles.address(home)
        if (
            self.exchange is None
            or address is None
            or home == self.directory.instance
            or now_s < tracked.ask_at_s.get((home, type(request)), -math.inf)
        ):
            return
        tracked.ask_at_s[home, type(request)] = now_s + ASK_INTERVAL_S
        task = asyncio.create_task(self._ask_and_apply(home, address, request, tracked))
        self.asking.add(task)
        task.add_done_callback(self.asking.discard)

    async def _ask_and_apply(
        self,
        home: ids.InstanceId,
        address: datagrams.PeerAddress,
        request: limit_loans.Request,
        tracked: tenant_state.Tracked,
    ) -> None:
        asked_at_s, applied = clock.now_s(), tracked.applied
        try:
            answer = await self.exchange.ask(address, request)
        except errors.PeerError as error:
            self.directory.registry.count("limit_exchanges", "failed")
            tracked.ask_at_s[home, type(request)] = clock.now_s() + ASK_AGAIN_S
            if home not in tracked.unanswered:
                tracked.unanswered.add(home)
                events.log(
                    events.Event.LIMIT_UNANSWERED,
                    tenant=request.tenant,
                    home=home,
                    reason=str(error),
                )
            return
        tracked.unanswered.discard(home)
        now_s = clock.now_s()
        self._follow(now_s)
        current = self.tenants.get(request.tenant)
        if current is not tracked or self._limit_of(request.tenant) is None:
            return
        self._track(request.tenant, now_s)
        if tracked.applied == applied:
            self._take(answer, tracked, home, request.tenant, asked_at_s)

    @functools.singledispatchmethod
    def _take(
        self,
        answer: object,
        tracked: tenant_state.Tracked,
        home: ids.InstanceId,
        tenant: ids.TenantName,
        asked_at_s: float,
    ) -> None:
        raise TypeError(f"answer {answer!r} has an unknown type; register a handler for it")

    @_take.register
    def _(
        self,
        answer: limits.Loan,
        tracked: tenant_state.Tracked,
        home: ids.InstanceId,
        tenant: ids.TenantName,
        asked_at_s: float,
    ) -> None:
        self.directory.registry.count("limit_exchanges", "borrowed")
        term_s = min(handover.LOAN_S, answer.until_s)
        loan = dataclasses.replace(answer, until_s=asked_at_s + term_s)
        tracked.limit.borrow(home, loan, now_s=clock.now_s())

    @_take.register
    def _(
        self,
        answer: handover.Ceiling,
        tracked: tenant_state.Tracked,
        home: ids.InstanceId,
        tenant: ids.TenantName,
        asked_at_s: float,
    ) -> None:
        now_s = clock.now_s()
        allowed = self.roles.fractions(tenant).get(home, 0.0) + limits.EPSILON
        given_up = answer.fraction <= allowed
        self.directory.registry.count("limit_exchanges", "given_up" if given_up else "in_use")
        if given_up and tracked.former is not None and home in tracked.former:
            tracked.cleared_at_s[home] = now_s + answer.clear_in_s
            self._clear_former(tenant, tracked, now_s)

    @_take.register
    def _(
        self,
        answer: None,
        tracked: tenant_state.Tracked,
        home: ids.InstanceId,
        tenant: ids.TenantName,
        asked_at_s: float,
    ) -> None:
        self.directory.registry.count("limit_exchanges", "nothing_to_lend")
        tracked.ask_at_s[home, limit_loans.LoanRequest] = asked_at_s + ASK_AGAIN_S

    def answer(self, request: limit_loans.Request) -> limit_loans.Answer:
        """Answer another instance."""
        now_s = clock.now_s()
        self._follow(now_s)
        if self._limit_of(request.tenant) is None:
            # A limit that this instance does not know yet is no part of its shares.
            if isinstance(request, limit_loans.CeilingRequest):
                return handover.Ceiling(fraction=0.0, clear_in_s=0.0)
            return None
        known = self._track(request.tenant, now_s).limit
        if isinstance(request, limit_loans.CeilingRequest):
            return known.ceiling(now_s)
        loan = known.lend(
            request.borrower,
            wanted_per_s=request.wanted_per_s,
            valid_until_s=self.valid_until_s,
            now_s=now_s,
        )
        return None if loan is None else dataclasses.replace(loan, until_s=loan.until_s - now_s)

    # Metrics and events

    async def run(self) -> None:
        """Bring lists, metrics and events up to date until cancelled."""
        while True:
            self.poll(clock.now_s())
            await asyncio.sleep(POLL_S)

    def poll(self, now_s: float) -> None:
        """Follow the directory, and prepare for the tenants of which this is a new home."""
        self._follow(now_s)
        checked, self.unchecked = (
            self.unchecked[:CHECKED_PER_POLL],
            self.unchecked[CHECKED_PER_POLL:],
        )
        for tenant in checked:
            if self._limit_of(tenant) is not None and self.roles.role(tenant).is_home:
                self._track(tenant, now_s)
        for tenant in list(self.tenants):
            if self._limit_of(tenant) is not None:
                self._report(tenant, self._track(tenant, now_s), now_s)

    def _report(self, tenant: ids.TenantName, tracked: tenant_state.Tracked, now_s: float) -> None:
        known = tracked.limit
        known.advance(now_s)
        if known.grant.waiting:
            self._clear_former(tenant, tracked, now_s)
        registry = self.directory.registry
        held = known.limit.rate_per_s * known.grant.fraction
        for name, value in zip(
            tenant_state.GAUGES, (held, known.lent_per_s, known.borrowed_per_s), strict=True
        ):
            registry.set_gauge(name, value, tenant)
        if tracked.refusing and now_s >= tracked.refused_at_s + REFUSING_S:
            tracked.refusing = False
            events.log(events.Event.TENANT_SERVED, tenant=tenant)
