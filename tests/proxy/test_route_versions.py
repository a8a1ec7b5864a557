"""Where statements run, and what a session has committed there, while versions differ."""

import asyncio
import dataclasses

import pytest

from mustardswitch.internal import ids, positions
from mustardswitch.proxy import (
    explanation,
    requests,
    routes,
    statement_context,
)
from tests.common import forwarding_world, proxy_world

OLD, NEW = forwarding_world.OLD, forwarding_world.NEW
PRIMARY, BOUNDED, OWN = requests.RouteKind
WRITE, READ = proxy_world.WRITE, proxy_world.READ
BEGIN, COMMIT = requests.Begin(read_only=False), requests.Commit()
DATABASE = proxy_world.DATABASES[OWN]


# A version that one of the instances lacks


@pytest.mark.parametrize("in_transactions", [False, True])
@pytest.mark.parametrize("earlier", [0, 50], ids=["new log", "log with higher positions"])
async def test_own_writes_are_read_while_the_entry_instance_lacks_a_version(
    earlier, in_transactions
):
    """Guards against a position of one service that is taken for one of another (review/12)."""
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        forwarding_world.commit_before(fleet, OLD, earlier)
        caller = forwarding_world.Caller(fleet)
        await caller.run(WRITE)
        fleet.gateways[0].directory.configure(forwarding_world.moved(3))
        write = (BEGIN, WRITE, COMMIT) if in_transactions else (WRITE,)
        for number in range(1, 5):
            await caller.run(*write)
            for _ in range(3):
                assert int((await caller.run(READ)).rows[0]) >= number
            forwarding_world.let_lag(fleet, NEW, "b")
        assert caller.commits() == {OLD: earlier + 1, NEW: 4}


async def test_own_writes_are_read_after_a_route_moved_there_and_back():
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        caller = forwarding_world.Caller(fleet)
        await caller.run(WRITE, WRITE)
        gateway = fleet.gateways[0].directory
        gateway.configure(forwarding_world.moved(3))
        await caller.run(WRITE)
        gateway.configure(forwarding_world.moved(4, OLD))
        forwarding_world.let_lag(fleet, OLD, "b")
        await caller.run(WRITE)
        for _ in range(4):
            assert (await caller.run(READ)).rows == ("3",)
        assert caller.commits() == {OLD: 3, NEW: 1}


async def test_a_gateway_knows_the_commits_at_the_service_to_which_a_route_moved_back():
    """Guards against reads that miss a commit, which was made before the route moved away."""
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        caller = forwarding_world.Caller(fleet)
        await caller.run(WRITE)
        forwarding_world.let_lag(fleet, OLD, "b")
        await caller.run(WRITE)
        gateway = fleet.gateways[0].directory
        gateway.configure(forwarding_world.moved(3))
        await caller.run(READ)
        for version in range(4, 12, 2):
            gateway.configure(forwarding_world.moved(version, OLD))
            assert (await caller.run(READ)).rows == ("2",)
            gateway.configure(forwarding_world.moved(version + 1, NEW))
            await caller.run(READ)


async def test_a_gateway_that_lacks_a_version_runs_by_the_one_of_the_entry_instance():
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        caller = forwarding_world.Caller(fleet)
        await caller.run(WRITE)
        fleet.entry.directory.configure(forwarding_world.moved(3))
        await caller.run(WRITE, BEGIN, WRITE, COMMIT, READ)
        assert len(fleet.groups.by_service[NEW].acknowledged) == 2
        assert len(fleet.groups.by_service[OLD].acknowledged) == 1
        assert fleet.entry.directory.registry.total("statements", "overloaded") == 0


async def test_gateways_of_different_versions_do_not_take_turns_in_running_by_them():
    """Guards against an instance that goes back through one of its gateways (review/13)."""
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD), gateways=2) as fleet:
        caller = forwarding_world.Caller(fleet)
        fleet.gateways[1].directory.configure(forwarding_world.moved(3))
        groups = fleet.groups.by_service
        while not groups[NEW].acknowledged:
            await caller.run(WRITE)
        before = len(groups[OLD].acknowledged)
        await caller.run(*[WRITE] * 6)
        assert len(groups[OLD].acknowledged) == before


async def test_an_instance_that_followed_a_version_does_not_go_back_as_it_runs_statements_itself():
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        caller = forwarding_world.Caller(fleet)
        fleet.gateways[0].directory.configure(forwarding_world.moved(3))
        await caller.run(WRITE)
        fleet.run_all_here()
        await caller.run(WRITE, BEGIN, WRITE, COMMIT, READ)
        await forwarding_world.Caller(fleet).run(WRITE)
        assert fleet.groups.by_service[OLD].acknowledged == []
        assert len(fleet.groups.by_service[NEW].acknowledged) == 4


async def test_a_gateway_that_followed_a_version_does_not_go_back_for_its_own_callers():
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        fleet.entry.directory.configure(forwarding_world.moved(3))
        await forwarding_world.Caller(fleet).run(WRITE)
        own = fleet.gateways[0].open_session(OWN)
        assert (await fleet.gateways[0].run(own, WRITE)).succeeded
        assert fleet.groups.by_service[OLD].acknowledged == []


@pytest.mark.parametrize("behind", ["entry", "gateway"])
async def test_a_read_follows_the_newer_kind_of_its_route(behind):
    """Guards against reads of a replica on a route that a newer version made ``primary``."""
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        newer = forwarding_world.moved(3, OLD)
        as_primary = dataclasses.replace(newer.routes[DATABASE], kind=PRIMARY, max_staleness_s=0.0)
        newer = dataclasses.replace(newer, routes={**newer.routes, DATABASE: as_primary})
        (fleet.gateways[0] if behind == "entry" else fleet.entry).directory.configure(newer)
        await forwarding_world.Caller(fleet).run(READ)
        last = fleet.groups.by_service[OLD].statements[-1]
        assert last.server == "server-a"
        assert "Rollback" in fleet.groups.by_service[OLD].servers["server-a"].received_commands


async def test_an_open_transaction_stays_at_its_service_and_tells_nothing_of_the_route():
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        caller = forwarding_world.Caller(fleet)
        await caller.run(BEGIN, WRITE)
        for world in (fleet.gateways[0], fleet.entry):
            world.directory.configure(forwarding_world.moved(3))
        await caller.run(WRITE, COMMIT)
        assert caller.commits() == {OLD: 2}
        await caller.run(WRITE)
        assert caller.commits() == {OLD: 2, NEW: 1}


async def test_a_transaction_commits_where_the_gateway_began_it():
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        caller = forwarding_world.Caller(fleet)
        fleet.gateways[0].directory.configure(forwarding_world.moved(3))
        await caller.run(BEGIN, WRITE)
        fleet.gateways[0].directory.configure(forwarding_world.moved(4, OLD))
        await caller.run(READ, COMMIT)
        assert caller.commits() == {NEW: 1}
        await caller.run(WRITE)
        assert caller.commits() == {NEW: 1, OLD: 1}


async def test_a_version_without_a_bearing_on_the_route_changes_nothing():
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        caller = forwarding_world.Caller(fleet)
        fleet.gateways[0].directory.configure(
            forwarding_world.moved(3, OLD, statement_timeout_s=2.0)
        )
        await caller.run(WRITE, READ, BEGIN, WRITE, COMMIT)
        assert fleet.entry.directory.registry.total("routings_learned") == 0


async def test_a_service_that_the_entry_instance_does_not_know_is_reached_through_gateways():
    """Guards against a refusal of what a gateway serves: the service is newer than the records."""
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        caller = forwarding_world.Caller(fleet)
        known = fleet.entry.directory
        del known.services[NEW]
        known.configuration = dataclasses.replace(
            known.configuration, services={OLD: known.configuration.services[OLD]}
        )
        del known.plans[NEW]
        fleet.gateways[0].directory.configure(forwarding_world.moved(3))
        await caller.run(WRITE, READ, BEGIN, WRITE, COMMIT)
        assert fleet.groups.by_service[OLD].acknowledged == []
        fleet.run_all_here()
        answer = await fleet.entry.run(caller.session, WRITE)
        assert answer.refusal is requests.Refusal.OVERLOADED
        assert "no server of service new" in answer.detail
        assert fleet.groups.by_service[OLD].acknowledged == []


async def test_a_gateway_that_does_not_know_a_new_service_serves_its_own_callers_on():
    """Guards against a gateway that refuses its callers by a version that it cannot follow."""
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD), gateways=2) as fleet:
        lacking = fleet.gateways[0]
        del lacking.directory.services[NEW]
        fleet.entry.directory.configure(forwarding_world.moved(3))
        fleet.gateways[1].directory.configure(forwarding_world.moved(3))
        caller = forwarding_world.Caller(fleet)
        await caller.run(WRITE, READ, BEGIN, WRITE, COMMIT, WRITE)
        assert fleet.groups.by_service[OLD].acknowledged == []
        assert (await lacking.run(lacking.open_session(OWN), WRITE)).succeeded
        assert len(fleet.groups.by_service[OLD].acknowledged) == 1


async def test_an_empty_transaction_is_refused_where_its_service_is_not_known():
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        known = fleet.entry.directory
        del known.services[NEW]
        known.learn_routing(DATABASE, forwarding_world.routing(3, NEW))
        fleet.run_all_here()
        session = fleet.entry.open_session(OWN)
        await fleet.entry.run(session, BEGIN)
        answer = await fleet.entry.run(session, COMMIT)
        assert answer.refusal is requests.Refusal.OVERLOADED
        assert answer.state is requests.TransactionState.IDLE


async def test_the_configuration_replaces_what_was_learned_of_its_version_and_earlier_ones():
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        known = fleet.entry.directory
        known.learn_routing(DATABASE, forwarding_world.routing(5, NEW))
        known.configure(forwarding_world.moved(4, OLD))
        assert known.route(DATABASE).service == NEW
        known.configure(forwarding_world.moved(5, OLD))
        assert known.route(DATABASE).service == OLD
        known.learn_routing(DATABASE, forwarding_world.routing(5, NEW))
        known.learn_routing(DATABASE, forwarding_world.routing(4, NEW))
        assert known.route(DATABASE).service == OLD


@pytest.mark.parametrize("forwards", [False, True], ids=["here", "at a gateway"])
@pytest.mark.parametrize("statement", [READ, WRITE], ids=["read", "write"])
async def test_a_statement_that_waits_follows_a_route_that_moves(statement, forwards):
    """Guards against statements that are sent to the old service long after its route moved."""
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD), forwards=forwards) as fleet:
        runs_at = fleet.gateways[0] if forwards else fleet.entry
        caller = forwarding_world.Caller(fleet, PRIMARY)
        await caller.run(WRITE)
        pool = runs_at.directory.services[OLD].leader.pool
        held = list(pool.idle)
        while pool.held < pool.size or pool.idle:
            held.append(await pool.acquire(forwarding_world.pool_request()))
        waiting = asyncio.create_task(caller.run(statement))
        await asyncio.sleep(0.1)
        for world in (fleet.entry, fleet.gateways[0]):
            world.directory.configure(forwarding_world.moved(3))
        for link in held:
            pool.release(link, clean=True)
        await waiting
        assert len(fleet.groups.by_service[NEW].statements) == 1


async def test_explain_names_the_service_at_which_statements_run():
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        fleet.gateways[0].directory.configure(forwarding_world.moved(3))
        await forwarding_world.Caller(fleet).run(WRITE)
        explained = explanation.explain(
            fleet.entry.directory, DATABASE, routes.NO_TENANT, explanation.Kind.WRITE
        )
        assert explained.route.service == NEW
        assert any("version 3" in note for note in explained.notes)


def test_a_name_that_is_used_again_does_not_keep_the_position_of_the_former_service():
    """Guards against reads that wait for a position that the new databases reach much later."""
    state = statement_context.SessionState()
    for term, offset in ((3, 1207), (1, 5)):
        position = positions.Position(term=ids.Term(term), offset=ids.Offset(offset))
        state.note_commit(OLD, position)
    assert state.commits[OLD].position.offset == 5
