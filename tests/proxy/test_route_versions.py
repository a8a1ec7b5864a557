"""Where statements run, and what a session has committed there, while versions differ."""

import asyncio
import dataclasses
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch import connection_pool
from mustardswitch.internal import clock, ids, positions
from mustardswitch.peers import errors, relay_codec
from mustardswitch.proxy import (
    explanation,
    forwarded_messages,
    requests,
    route_versions,
    routes,
    statement_context,
)
from tests.common import forwarding_world, proxy_world

OLD, NEW = forwarding_world.OLD, forwarding_world.NEW
PRIMARY, BOUNDED, OWN = requests.RouteKind
WRITE, READ = proxy_world.WRITE, proxy_world.READ
BEGIN, COMMIT = requests.Begin(read_only=False), requests.Commit()
DATABASE = proxy_world.DATABASES[OWN]
OLD_DATA = {"max_staleness_s": 60.0}
"""Lets reads accept old data, so that only own commits raise their minimum position."""


def _moved(version: int, service=NEW, **changes) -> routes.Configuration:
    return forwarding_world.configuration(version, service, **{**OLD_DATA, **changes})


def _routing(version: int, service=OLD, kind=OWN, max_staleness_s=1.5) -> route_versions.Routing:
    return route_versions.Routing(
        version=version, service=service, kind=kind, max_staleness_s=max_staleness_s
    )


class Caller:
    """A session at the entry instance of a fleet."""

    def __init__(self, fleet: forwarding_world.Fleet, kind=OWN) -> None:
        self.fleet = fleet
        self.session = fleet.entry.open_session(kind)
        self.ran_at: list[ids.ServiceName | None] = []

    async def run(self, *statements):
        """Run statements, each of which must succeed; returns the last answer."""
        for statement in statements:
            answer = await self.fleet.entry.run(self.session, statement)
            assert answer.succeeded, answer
        return answer

    def commits(self):
        return {name: each.position.offset for name, each in self.session.state.commits.items()}


def _commit_before(fleet, service, count):
    group = fleet.groups.by_service[service]
    for number in range(count):
        group.commit(group.primary, f"earlier-{number}")


def _let_lag(fleet, service, *zones):
    for zone in zones:
        fleet.groups.by_service[service].servers[f"server-{zone}"].not_receiving = True


# A version that one of the instances lacks


@pytest.mark.parametrize("in_transactions", [False, True])
@pytest.mark.parametrize("earlier", [0, 50], ids=["new log", "log with higher positions"])
async def test_own_writes_are_read_while_the_entry_instance_lacks_a_version(
    earlier, in_transactions
):
    """Guards against a position of one service that is taken for one of another (review/12)."""
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        _commit_before(fleet, OLD, earlier)
        caller = Caller(fleet)
        await caller.run(WRITE)
        fleet.gateways[0].directory.configure(_moved(3))
        write = (BEGIN, WRITE, COMMIT) if in_transactions else (WRITE,)
        for number in range(1, 5):
            await caller.run(*write)
            for _ in range(3):
                assert int((await caller.run(READ)).rows[0]) >= number
            _let_lag(fleet, NEW, "b")
        assert caller.commits() == {OLD: earlier + 1, NEW: 4}


async def test_own_writes_are_read_after_a_route_moved_there_and_back():
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        caller = Caller(fleet)
        await caller.run(WRITE, WRITE)
        gateway = fleet.gateways[0].directory
        gateway.configure(_moved(3))
        await caller.run(WRITE)
        gateway.configure(_moved(4, OLD))
        _let_lag(fleet, OLD, "b")
        await caller.run(WRITE)
        for _ in range(4):
            assert (await caller.run(READ)).rows == ("3",)
        assert caller.commits() == {OLD: 3, NEW: 1}


async def test_a_gateway_knows_the_commits_at_the_service_to_which_a_route_moved_back():
    """Guards against reads that miss a commit, which was made before the route moved away."""
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        caller = Caller(fleet)
        await caller.run(WRITE)
        _let_lag(fleet, OLD, "b")
        await caller.run(WRITE)
        gateway = fleet.gateways[0].directory
        gateway.configure(_moved(3))
        await caller.run(READ)
        for version in range(4, 12, 2):
            gateway.configure(_moved(version, OLD))
            assert (await caller.run(READ)).rows == ("2",)
            gateway.configure(_moved(version + 1, NEW))
            await caller.run(READ)


async def test_a_gateway_that_lacks_a_version_runs_by_the_one_of_the_entry_instance():
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        caller = Caller(fleet)
        await caller.run(WRITE)
        fleet.entry.directory.configure(_moved(3))
        await caller.run(WRITE, BEGIN, WRITE, COMMIT, READ)
        assert len(fleet.groups.by_service[NEW].acknowledged) == 2
        assert len(fleet.groups.by_service[OLD].acknowledged) == 1
        assert fleet.entry.directory.registry.total("statements", "overloaded") == 0


async def test_gateways_of_different_versions_do_not_take_turns_in_running_by_them():
    """Guards against an instance that goes back through one of its gateways (review/13)."""
    async with forwarding_world.Fleet(_moved(2, OLD), gateways=2) as fleet:
        caller = Caller(fleet)
        fleet.gateways[1].directory.configure(_moved(3))
        groups = fleet.groups.by_service
        while not groups[NEW].acknowledged:
            await caller.run(WRITE)
        before = len(groups[OLD].acknowledged)
        await caller.run(*[WRITE] * 6)
        assert len(groups[OLD].acknowledged) == before


async def test_an_instance_that_followed_a_version_does_not_go_back_as_it_runs_statements_itself():
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        caller = Caller(fleet)
        fleet.gateways[0].directory.configure(_moved(3))
        await caller.run(WRITE)
        fleet.run_all_here()
        await caller.run(WRITE, BEGIN, WRITE, COMMIT, READ)
        await Caller(fleet).run(WRITE)
        assert fleet.groups.by_service[OLD].acknowledged == []
        assert len(fleet.groups.by_service[NEW].acknowledged) == 4


async def test_a_gateway_that_followed_a_version_does_not_go_back_for_its_own_callers():
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        fleet.entry.directory.configure(_moved(3))
        await Caller(fleet).run(WRITE)
        own = fleet.gateways[0].open_session(OWN)
        assert (await fleet.gateways[0].run(own, WRITE)).succeeded
        assert fleet.groups.by_service[OLD].acknowledged == []


@pytest.mark.parametrize("behind", ["entry", "gateway"])
async def test_a_read_follows_the_newer_kind_of_its_route(behind):
    """Guards against reads of a replica on a route that a newer version made ``primary``."""
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        newer = _moved(3, OLD)
        as_primary = dataclasses.replace(newer.routes[DATABASE], kind=PRIMARY, max_staleness_s=0.0)
        newer = dataclasses.replace(newer, routes={**newer.routes, DATABASE: as_primary})
        (fleet.gateways[0] if behind == "entry" else fleet.entry).directory.configure(newer)
        await Caller(fleet).run(READ)
        last = fleet.groups.by_service[OLD].statements[-1]
        assert last.server == "server-a"
        assert "Rollback" in fleet.groups.by_service[OLD].servers["server-a"].received_commands


async def test_an_open_transaction_stays_at_its_service_and_tells_nothing_of_the_route():
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        caller = Caller(fleet)
        await caller.run(BEGIN, WRITE)
        for world in (fleet.gateways[0], fleet.entry):
            world.directory.configure(_moved(3))
        await caller.run(WRITE, COMMIT)
        assert caller.commits() == {OLD: 2}
        await caller.run(WRITE)
        assert caller.commits() == {OLD: 2, NEW: 1}


async def test_a_transaction_commits_where_the_gateway_began_it():
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        caller = Caller(fleet)
        fleet.gateways[0].directory.configure(_moved(3))
        await caller.run(BEGIN, WRITE)
        fleet.gateways[0].directory.configure(_moved(4, OLD))
        await caller.run(READ, COMMIT)
        assert caller.commits() == {NEW: 1}
        await caller.run(WRITE)
        assert caller.commits() == {NEW: 1, OLD: 1}


async def test_a_version_without_a_bearing_on_the_route_changes_nothing():
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        caller = Caller(fleet)
        fleet.gateways[0].directory.configure(_moved(3, OLD, statement_timeout_s=2.0))
        await caller.run(WRITE, READ, BEGIN, WRITE, COMMIT)
        assert fleet.entry.directory.registry.total("routings_learned") == 0


async def test_a_service_that_the_entry_instance_does_not_know_is_reached_through_gateways():
    """Guards against a refusal of what a gateway serves: the service is newer than the records."""
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        caller = Caller(fleet)
        known = fleet.entry.directory
        del known.services[NEW]
        known.configuration = dataclasses.replace(
            known.configuration, services={OLD: known.configuration.services[OLD]}
        )
        del known.plans[NEW]
        fleet.gateways[0].directory.configure(_moved(3))
        await caller.run(WRITE, READ, BEGIN, WRITE, COMMIT)
        assert fleet.groups.by_service[OLD].acknowledged == []
        fleet.run_all_here()
        answer = await fleet.entry.run(caller.session, WRITE)
        assert answer.refusal is requests.Refusal.OVERLOADED
        assert "no server of service new" in answer.detail
        assert fleet.groups.by_service[OLD].acknowledged == []


async def test_a_gateway_that_does_not_know_a_new_service_serves_its_own_callers_on():
    """Guards against a gateway that refuses its callers by a version that it cannot follow."""
    async with forwarding_world.Fleet(_moved(2, OLD), gateways=2) as fleet:
        lacking = fleet.gateways[0]
        del lacking.directory.services[NEW]
        fleet.entry.directory.configure(_moved(3))
        fleet.gateways[1].directory.configure(_moved(3))
        caller = Caller(fleet)
        await caller.run(WRITE, READ, BEGIN, WRITE, COMMIT, WRITE)
        assert fleet.groups.by_service[OLD].acknowledged == []
        assert (await lacking.run(lacking.open_session(OWN), WRITE)).succeeded
        assert len(fleet.groups.by_service[OLD].acknowledged) == 1


async def test_an_empty_transaction_is_refused_where_its_service_is_not_known():
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        known = fleet.entry.directory
        del known.services[NEW]
        known.learn_routing(DATABASE, _routing(3, NEW))
        fleet.run_all_here()
        session = fleet.entry.open_session(OWN)
        await fleet.entry.run(session, BEGIN)
        answer = await fleet.entry.run(session, COMMIT)
        assert answer.refusal is requests.Refusal.OVERLOADED
        assert answer.state is requests.TransactionState.IDLE


async def test_the_configuration_replaces_what_was_learned_of_its_version_and_earlier_ones():
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        known = fleet.entry.directory
        known.learn_routing(DATABASE, _routing(5, NEW))
        known.configure(_moved(4, OLD))
        assert known.route(DATABASE).service == NEW
        known.configure(_moved(5, OLD))
        assert known.route(DATABASE).service == OLD
        known.learn_routing(DATABASE, _routing(5, NEW))
        known.learn_routing(DATABASE, _routing(4, NEW))
        assert known.route(DATABASE).service == OLD


@pytest.mark.parametrize("forwards", [False, True], ids=["here", "at a gateway"])
@pytest.mark.parametrize("statement", [READ, WRITE], ids=["read", "write"])
async def test_a_statement_that_waits_follows_a_route_that_moves(statement, forwards):
    """Guards against statements that are sent to the old service long after its route moved."""
    async with forwarding_world.Fleet(_moved(2, OLD), forwards=forwards) as fleet:
        runs_at = fleet.gateways[0] if forwards else fleet.entry
        caller = Caller(fleet, PRIMARY)
        await caller.run(WRITE)
        pool = runs_at.directory.services[OLD].leader.pool
        held = list(pool.idle)
        while pool.held < pool.size or pool.idle:
            held.append(await pool.acquire(_pool_request()))
        waiting = asyncio.create_task(caller.run(statement))
        await asyncio.sleep(0.1)
        for world in (fleet.entry, fleet.gateways[0]):
            world.directory.configure(_moved(3))
        for link in held:
            pool.release(link, clean=True)
        await waiting
        assert len(fleet.groups.by_service[NEW].statements) == 1


def _pool_request():
    return connection_pool.ConnectionRequest(
        caller="", priority=0, deadline_s=asyncio.get_running_loop().time() + 5.0, holds=False
    )


async def test_explain_names_the_service_at_which_statements_run():
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        fleet.gateways[0].directory.configure(_moved(3))
        await Caller(fleet).run(WRITE)
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


# Messages, also those of the build before

routings = st.builds(
    route_versions.Routing,
    version=st.integers(0, 1 << 40),
    service=st.text(),
    kind=st.sampled_from(requests.RouteKind),
    max_staleness_s=st.floats(0, 1e6),
)


def _statement(**changes) -> relay_codec.ForwardedStatement:
    fields = {
        "request": ids.RequestId("r"),
        "database": DATABASE,
        "command": WRITE,
        "age_s": 0.5,
        "values": {},
        "routing": _routing(7),
    }
    return relay_codec.ForwardedStatement(**{**fields, **changes})


def _body(frame: bytes) -> bytes:
    return frame[relay_codec.LENGTH_BYTES :]


@given(routing=routings, other=st.none() | st.text())
def test_routings_arrive_as_they_were_sent(routing, other):
    sent = _statement(routing=routing)
    assert relay_codec.decode_forwarded(_body(relay_codec.encode_forwarded(sent))) == sent
    answer = relay_codec.ForwardedAnswer(answer=requests.Answer(), service=other, routing=routing)
    assert relay_codec.decode_answer(_body(relay_codec.encode_answer(answer))) == answer


def test_commits_at_several_services_arrive_as_they_were_sent():
    position = positions.Position(term=ids.Term(3), offset=ids.Offset(8))
    commit = relay_codec.SessionCommit(position=position, age_s=0.25)
    sent = _statement(session_commit=commit, other_commits={NEW: commit})
    assert relay_codec.decode_forwarded(_body(relay_codec.encode_forwarded(sent))) == sent


@pytest.mark.parametrize(
    "route", ['"x"', "[1]", '[1,"s","q"]', '[1,"s","p",-1]', '[1,"s",["p"]]', "7", "{}"]
)
def test_a_routing_that_cannot_be_read_rejects_the_message(route):
    fields = json.loads(_body(relay_codec.encode_forwarded(_statement())))
    body = json.dumps({**fields, "route": json.loads(route)}).encode()
    with pytest.raises(errors.InvalidFrameError):
        relay_codec.decode_forwarded(body)


def test_an_answer_names_no_routing_while_versions_agree():
    answer = relay_codec.ForwardedAnswer(answer=requests.Answer())
    assert not {"route", "service"} & set(json.loads(_body(relay_codec.encode_answer(answer))))


async def test_a_message_is_no_longer_than_that_of_the_build_before():
    """Guards against messages that grow where versions agree; ages are shorter than before."""
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        caller = Caller(fleet)
        await caller.run(WRITE)
        context = caller.session._context(ids.RequestId("5c0e7a21d94b36f8"), clock.now_s() - 0.01)
        await asyncio.sleep(0.001)
        frame = relay_codec.encode_forwarded(forwarded_messages.build_message(context, WRITE))
        fields = json.loads(_body(frame))
        del fields["route"]
        now_s = clock.now_s()
        fields["age_s"] = fields["operation_age_s"] = now_s - context.first_byte_s
        fields["own"][1] = now_s - caller.session.state.commits[OLD].acknowledged_s
        assert len(frame) <= len(relay_codec.encode_fields(fields)) + 8


class FormerBuild:
    """Changes messages into those of the build before."""

    def __init__(self, monkeypatch) -> None:
        self.monkeypatch = monkeypatch

    def _without(self, name, *fields):
        encode = getattr(relay_codec, name)

        def encode_without(message):
            kept = json.loads(_body(encode(message)))
            for field in fields:
                kept.pop(field, None)
            return relay_codec.encode_fields(kept)

        self.monkeypatch.setattr(relay_codec, name, encode_without)

    def forwards(self):
        """Let statements name no routing."""
        self._without("encode_forwarded", "route", "others")

    def answers(self):
        """Let answers name no routing."""
        self._without("encode_answer", "route", "service")


@pytest.mark.parametrize("former", ["forwards", "answers"])
async def test_instances_of_the_build_before_are_served_while_versions_agree(monkeypatch, former):
    getattr(FormerBuild(monkeypatch), former)()
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        _let_lag(fleet, OLD, "b")
        caller = Caller(fleet)
        for number in range(1, 4):
            await caller.run(WRITE)
            assert (await caller.run(READ)).rows == (str(number),)
        await caller.run(BEGIN, WRITE, READ, COMMIT)
        assert caller.commits() == {OLD: 4}


@pytest.mark.parametrize("former", ["forwards", "answers"])
async def test_statements_run_beside_the_build_before_while_versions_differ(monkeypatch, former):
    """A gateway goes by its own version if the statement names none, as the build before does."""
    getattr(FormerBuild(monkeypatch), former)()
    async with forwarding_world.Fleet(_moved(2, OLD)) as fleet:
        fleet.gateways[0].directory.configure(_moved(3))
        caller = Caller(fleet)
        await caller.run(WRITE, READ, BEGIN, WRITE, COMMIT)
        assert len(fleet.groups.by_service[NEW].acknowledged) == 2
