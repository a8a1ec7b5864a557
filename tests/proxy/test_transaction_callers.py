"""For whom a transaction runs while keys, tenants and routes change under it."""

import asyncio
import dataclasses

import pytest

from mustardswitch.internal import clock, ids, transaction_callers
from mustardswitch.proxy import requests, routes, session_opening
from tests.common import forwarding_world, proxy_world, tenant_builders

PRIMARY = requests.RouteKind.PRIMARY
ACME, BOLT = tenant_builders.ACME, tenant_builders.BOLT
KEY = tenant_builders.ACME_KEY
NOBODY = routes.NO_TENANT
WRITE, READ = proxy_world.WRITE, proxy_world.READ
BEGIN = requests.Begin(read_only=False)
ABORTED, UNAUTHORIZED = requests.Refusal.ABORTED, requests.Refusal.UNAUTHORIZED


def _configuration(version, holder, *, tenants=True, public=True, **changes):
    """Build a configuration in which a tenant, or none, holds the caller's key."""
    base = forwarding_world.configuration(version, public=public, **changes)
    if not tenants:
        return base
    return dataclasses.replace(
        base,
        tenants={name: routes.Tenant(name=name) for name in (ACME, BOLT)},
        tenant_by_key={KEY: holder} if holder else {},
    )


class Caller:
    """A session of the caller's key at the entry instance of a fleet."""

    def __init__(self, fleet: forwarding_world.Fleet) -> None:
        self.fleet = fleet
        database = proxy_world.DATABASES[PRIMARY]
        self.session = session_opening.open_session(fleet.entry.directory, database, KEY)

    async def run(self, statement):
        return await self.fleet.entry.run(self.session, statement)

    @property
    def group(self):
        return self.fleet.groups.by_service[forwarding_world.OLD]

    def tenants(self):
        return [each.link.tenant for each in self.group.statements]


def _configure(fleet, configuration, *, gateways=True):
    for world in [fleet.entry, *(fleet.gateways if gateways else [])]:
        world.directory.configure(configuration)


paths = pytest.mark.parametrize("forwards", [False, True], ids=["here", "at a gateway"])


@paths
@pytest.mark.parametrize("ends", [requests.Commit(), WRITE], ids=["commit", "write"])
@pytest.mark.parametrize("now", [ACME, BOLT, NOBODY], ids=["acme", "bolt", "nobody"])
@pytest.mark.parametrize("began", [ACME, BOLT, NOBODY], ids=["acme", "bolt", "nobody"])
async def test_a_transaction_goes_on_only_for_the_caller_that_began_it(began, now, ends, forwards):
    """Guards against transactions that go on for a tenant whose key was taken away or added."""
    async with forwarding_world.Fleet(_configuration(3, began), forwards=forwards) as fleet:
        caller = Caller(fleet)
        await caller.run(BEGIN)
        assert (await caller.run(WRITE)).succeeded
        _configure(fleet, _configuration(4, now))
        answer = await caller.run(ends)
        if began == now:
            assert answer.succeeded
            return
        assert answer.refusal is ABORTED
        is_commit = isinstance(ends, requests.Commit)
        expected = requests.TransactionState.IDLE if is_commit else requests.TransactionState.FAILED
        assert answer.state is expected
        await asyncio.sleep(0.05)
        assert len(caller.group.statements) == 1 and caller.group.acknowledged == []
        change = transaction_callers.find_change(began, now)
        total = fleet.entry.directory.registry.total
        assert total("transactions_of_changed_callers", change.name.lower()) == 1


@paths
async def test_the_next_transaction_runs_without_the_tenant(forwards):
    async with forwarding_world.Fleet(_configuration(3, ACME), forwards=forwards) as fleet:
        caller = Caller(fleet)
        await caller.run(BEGIN)
        await caller.run(WRITE)
        _configure(fleet, _configuration(4, NOBODY))
        assert (await caller.run(READ)).refusal is ABORTED
        assert (await caller.run(requests.Rollback())).succeeded
        for statement in (BEGIN, WRITE, requests.Commit()):
            assert (await caller.run(statement)).succeeded
        assert caller.tenants() == [ACME, NOBODY]


@pytest.mark.parametrize(("before", "after"), [(True, False), (False, True)])
async def test_a_tenant_is_compared_also_if_tenants_are_configured_or_removed(before, after):
    """Guards against transactions that go on as the last tenant is removed."""
    first = _configuration(3, ACME, tenants=before)
    async with forwarding_world.Fleet(first, forwards=False) as fleet:
        caller = Caller(fleet)
        await caller.run(BEGIN)
        assert (await caller.run(WRITE)).succeeded
        _configure(fleet, _configuration(4, ACME, tenants=after))
        assert (await caller.run(requests.Commit())).refusal is ABORTED


async def test_a_transaction_without_a_tenant_goes_on_as_others_are_configured():
    first = _configuration(3, NOBODY, tenants=False)
    async with forwarding_world.Fleet(first, forwards=False) as fleet:
        caller = Caller(fleet)
        await caller.run(BEGIN)
        assert (await caller.run(WRITE)).succeeded
        _configure(fleet, _configuration(4, NOBODY))
        assert (await caller.run(requests.Commit())).succeeded


@paths
async def test_a_route_that_needs_a_key_now_rolls_back_the_transaction_of_a_caller_without(
    forwards,
):
    async with forwarding_world.Fleet(_configuration(3, NOBODY), forwards=forwards) as fleet:
        caller = Caller(fleet)
        await caller.run(BEGIN)
        assert (await caller.run(WRITE)).succeeded
        _configure(fleet, _configuration(4, NOBODY, public=False))
        assert (await caller.run(WRITE)).refusal is ABORTED
        await caller.run(requests.Rollback())
        assert (await caller.run(WRITE)).refusal is UNAUTHORIZED


@paths
@pytest.mark.parametrize("public", [True, False])
async def test_a_transaction_of_a_tenant_goes_on_as_its_route_becomes_public_or_not(
    public, forwards
):
    first = _configuration(3, ACME, public=not public)
    async with forwarding_world.Fleet(first, forwards=forwards) as fleet:
        caller = Caller(fleet)
        await caller.run(BEGIN)
        assert (await caller.run(WRITE)).succeeded
        _configure(fleet, _configuration(4, ACME, public=public))
        assert (await caller.run(requests.Commit())).succeeded


@paths
@pytest.mark.parametrize("ends", [requests.Commit(), READ], ids=["commit", "read"])
async def test_a_transaction_whose_route_is_removed_is_aborted_and_keeps_nothing(ends, forwards):
    """Guards against an error for the commit that does not tell that nothing is kept."""
    async with forwarding_world.Fleet(_configuration(3, ACME), forwards=forwards) as fleet:
        caller = Caller(fleet)
        await caller.run(BEGIN)
        assert (await caller.run(WRITE)).succeeded
        _configure(fleet, dataclasses.replace(_configuration(4, ACME), routes={}))
        assert (await caller.run(ends)).refusal is ABORTED
        await asyncio.sleep(0.05)
        assert caller.group.acknowledged == []


@paths
async def test_a_route_that_comes_back_before_the_next_statement_changes_nothing(forwards):
    async with forwarding_world.Fleet(_configuration(3, ACME), forwards=forwards) as fleet:
        caller = Caller(fleet)
        await caller.run(BEGIN)
        assert (await caller.run(WRITE)).succeeded
        _configure(fleet, dataclasses.replace(_configuration(4, ACME), routes={}))
        _configure(fleet, _configuration(5, ACME))
        assert (await caller.run(requests.Commit())).succeeded


async def test_begin_alone_runs_for_no_tenant_yet():
    async with forwarding_world.Fleet(_configuration(3, ACME), forwards=False) as fleet:
        caller = Caller(fleet)
        await caller.run(BEGIN)
        _configure(fleet, _configuration(4, BOLT))
        for statement in (WRITE, requests.Commit()):
            assert (await caller.run(statement)).succeeded
        assert caller.tenants() == [BOLT]


async def _occupy(world):
    """Take all connections to the primary; returns what releases them."""
    pool = world.directory.services[forwarding_world.OLD].leader.pool
    request = forwarding_world.pool_request(ACME)
    held = [await pool.acquire(request) for _ in range(pool.size)]

    def release():
        for link in held:
            pool.release(link, clean=True)

    return release


@paths
@pytest.mark.parametrize("begins", [False, True], ids=["single", "transaction"])
async def test_a_statement_that_waits_is_not_sent_for_a_tenant_that_lost_the_key(begins, forwards):
    """Guards against statements that are sent after the key was taken away, since it was checked
    before they waited for a connection.
    """
    first = _configuration(3, ACME, public=False)
    async with forwarding_world.Fleet(first, forwards=forwards) as fleet:
        caller = Caller(fleet)
        release = await _occupy(fleet.gateways[0] if forwards else fleet.entry)
        if begins:
            await caller.run(BEGIN)
        waiting = asyncio.create_task(caller.run(WRITE))
        await asyncio.sleep(0.1)
        # The tenant is removed, which a gateway sees too; it knows no keys.
        removed = _configuration(4, NOBODY, public=False)
        _configure(fleet, dataclasses.replace(removed, tenants={BOLT: removed.tenants[BOLT]}))
        release()
        answer = await waiting
        assert answer.refusal in (ABORTED, UNAUTHORIZED, requests.Refusal.OVERLOADED)
        assert caller.group.statements == []


async def test_a_waiting_write_runs_for_the_tenant_that_holds_the_key_when_it_is_sent():
    async with forwarding_world.Fleet(_configuration(3, ACME), forwards=False) as fleet:
        caller = Caller(fleet)
        release = await _occupy(fleet.entry)
        waiting = asyncio.create_task(caller.run(WRITE))
        await asyncio.sleep(0.1)
        _configure(fleet, _configuration(4, BOLT))
        release()
        assert (await waiting).succeeded
        assert caller.tenants() == [BOLT]


async def test_a_gateway_rolls_back_a_transaction_that_another_build_lets_go_on():
    """Guards against gateways that rely on an entry instance of the build before."""
    async with forwarding_world.Fleet(_configuration(3, ACME)) as fleet:
        caller = Caller(fleet)
        await caller.run(BEGIN)
        assert (await caller.run(WRITE)).succeeded
        _configure(fleet, _configuration(4, NOBODY))
        caller.session.caller.find_change = lambda tenant: None
        answer = await caller.run(requests.Commit())
        assert answer.refusal is ABORTED
        assert caller.group.acknowledged == []


async def test_a_waiting_statement_is_refused_in_time_if_its_key_was_taken_away():
    first = _configuration(3, ACME, public=False, statement_timeout_s=5.0)
    async with forwarding_world.Fleet(first, forwards=False) as fleet:
        caller = Caller(fleet)
        release = await _occupy(fleet.entry)
        waiting = asyncio.create_task(caller.run(WRITE))
        await asyncio.sleep(0.05)
        _configure(fleet, _configuration(4, NOBODY, public=False))
        began_s = clock.now_s()
        release()
        assert (await waiting).refusal is UNAUTHORIZED
        assert clock.now_s() - began_s < 1.0


def test_changes_are_described_without_keys():
    assert all(KEY not in each.value for each in transaction_callers.Change)
    assert transaction_callers.find_change(ids.TenantName("a"), ids.TenantName("a")) is None
