"""Forwarding to gateways: fewer connections, the same guarantees."""

import asyncio
import contextlib
import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import clock, gateways, ids
from mustardswitch.internal.placement import forwarding
from mustardswitch.peers import datagrams, errors, relay_client, relay_codec, relay_server
from mustardswitch.proxy import (
    directory,
    feature_set,
    forwarded,
    ports,
    requests,
    statement_context,
)
from mustardswitch_standins import fleet
from tests.common import proxy_world

PRIMARY, BOUNDED, OWN = requests.RouteKind
ZONES = [ids.ZoneName(zone) for zone in "abc"]


def _candidates(per_zone: int) -> list[gateways.Candidate]:
    return [
        gateways.Candidate(
            instance=ids.InstanceId(f"{zone}{number}"), zone=zone, region=ids.RegionName("r")
        )
        for zone in ZONES
        for number in range(per_zone)
    ]


def _plan(per_zone: int, connections: int) -> forwarding.GatewayPlan | None:
    return forwarding.plan(
        _candidates(per_zone),
        service=ids.ServiceName("orders"),
        connections=connections,
        instances=3 * per_zone,
    )


def test_a_small_fleet_holds_its_connections_itself():
    assert _plan(3, 21) is None


def test_a_large_fleet_has_gateways_in_every_zone_that_share_the_connections():
    plan = _plan(22, 39)
    assert set(plan.gateways_by_zone) == set(ZONES)
    assert plan.gateway_count * plan.connections <= 39
    assert plan.connections >= forwarding.CONNECTIONS_PER_GATEWAY


@given(per_zone=st.integers(1, 60), connections=st.integers(3, 300))
def test_gateways_never_exceed_the_connections_of_a_server(per_zone, connections):
    plan = _plan(per_zone, connections)
    if plan is not None and connections >= len(ZONES):
        assert plan.gateway_count * plan.connections <= connections


def test_gateways_of_the_own_zone_are_tried_first_and_failed_ones_last():
    plan = _plan(22, 39)
    regions = {zone: ids.RegionName("r") for zone in ZONES}
    own = plan.gateways_by_zone[ZONES[0]]
    order = forwarding.order_gateways(
        plan, zone=ZONES[0], regions=regions, avoided={own[0]}, start=0
    )
    assert order[0] in own[1:] and order[-1] == own[0]


statements = st.one_of(
    st.builds(requests.Plain, access=st.sampled_from(requests.Access), arguments=st.text()),
    st.builds(
        ports.RunPrepared,
        shape=st.builds(requests.Shape, access=st.sampled_from(requests.Access), text=st.text()),
        arguments=st.text(),
    ),
    st.builds(requests.Commit),
    st.builds(requests.Rollback),
)


@given(statement=statements, values=st.dictionaries(st.text(), st.text()), age_s=st.floats(0, 9))
def test_forwarded_statements_arrive_as_they_were_sent(statement, values, age_s):
    sent = relay_codec.ForwardedStatement(
        request=ids.RequestId("r"),
        database=ids.DatabaseName("d"),
        command=statement,
        age_s=age_s,
        values=values,
    )
    body = relay_codec.encode_forwarded(sent)[relay_codec.LENGTH_BYTES :]
    assert relay_codec.decode_forwarded(body) == sent


@given(body=st.binary())
def test_frames_that_cannot_be_read_raise_one_error(body):
    for decode in (relay_codec.decode_forwarded, relay_codec.decode_answer):
        with contextlib.suppress(errors.InvalidFrameError):
            decode(body)


class Fleet:
    """An instance without connections of its own, and a gateway."""

    def __init__(self) -> None:
        self.gateway = proxy_world.World(zone="a")
        self.entry = proxy_world.World(zone="a")
        self.entry.group = self.gateway.group
        self.address = datagrams.PeerAddress(host="127.0.0.1", port=fleet.free_ports(1)[0])
        self.server = relay_server.RelayServer(
            directory=self.gateway.directory, registry=self.gateway.directory.registry
        )
        self.forwarder = forwarded.Forwarder(client=relay_client.RelayClient())
        gateway_id = ids.InstanceId("gateway")
        self.entry.directory.forwarder = self.forwarder
        self.entry.directory.instances.put(
            gateway_id, directory.Peer(zone=ids.ZoneName("a"), address=self.address)
        )
        self.entry.directory.plans[self.entry.service.name] = forwarding.GatewayPlan(
            gateways_by_zone={ids.ZoneName("a"): (gateway_id,)}, connections=3
        )

    async def __aenter__(self) -> "Fleet":
        await self.server.start(self.address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.forwarder.client.close()
        self.server.close()


async def test_a_forwarded_session_reads_its_own_writes():
    async with Fleet() as fleet:
        caller = fleet.entry.open_session(OWN)
        await fleet.entry.run(caller, requests.SetValue(name="mode", value="1"))
        assert (await fleet.entry.run(caller, proxy_world.WRITE)).succeeded
        read = await fleet.entry.run(caller, proxy_world.READ)
        assert read.rows == ("1",)
        assert fleet.gateway.group.statements[-1].link.values == {"mode": "1"}
        assert all(not server.pool.held for server in fleet.entry.service.servers.values())


async def test_a_forwarded_transaction_stays_on_one_connection():
    async with Fleet() as fleet:
        caller = fleet.entry.open_session(OWN)
        await fleet.entry.run(caller, requests.Begin(read_only=False))
        for statement in (proxy_world.WRITE, proxy_world.READ):
            assert (await fleet.entry.run(caller, statement)).succeeded
        other = await fleet.entry.run(fleet.entry.open_session(PRIMARY), proxy_world.WRITE)
        assert other.succeeded
        committed = await fleet.entry.run(caller, requests.Commit())
        assert committed.succeeded
        ran = fleet.gateway.group.statements
        assert ran[0].link is ran[1].link is not ran[2].link


async def test_a_gateway_that_does_not_know_a_new_database_is_skipped():
    """Guards against statements that fail while gateways start.

    Gateways that had just started rejected statements for seconds (run Solarloaf grown scale-1).
    """
    async with Fleet() as fleet:
        configuration = fleet.gateway.directory.configuration
        fleet.gateway.directory.configuration = dataclasses.replace(configuration, routes={})
        caller = fleet.entry.open_session(OWN)
        assert (await fleet.entry.run(caller, proxy_world.WRITE)).succeeded
        assert any(server.pool.held for server in fleet.entry.service.servers.values())


async def test_a_transaction_begins_at_the_next_gateway_if_one_does_not_know_its_database():
    """Guards against transactions that are aborted while a new configuration reaches the gateways,
    although another one knows the database or tenant.
    """
    async with Fleet() as fleet, Fleet() as other:
        configuration = fleet.gateway.directory.configuration
        fleet.gateway.directory.configuration = dataclasses.replace(configuration, routes={})
        other_id = ids.InstanceId("other")
        fleet.entry.directory.instances.put(
            other_id, directory.Peer(zone=ids.ZoneName("a"), address=other.address)
        )
        fleet.entry.directory.plans[fleet.entry.service.name] = forwarding.GatewayPlan(
            gateways_by_zone={ids.ZoneName("a"): (ids.InstanceId("gateway"), other_id)},
            connections=3,
        )
        for _ in range(2):
            fleet.forwarder.recent_failures.until_s.clear()
            caller = fleet.entry.open_session(OWN)
            await fleet.entry.run(caller, requests.Begin(read_only=False))
            assert (await fleet.entry.run(caller, proxy_world.WRITE)).succeeded
            assert (await fleet.entry.run(caller, requests.Commit())).succeeded


async def test_a_transaction_whose_gateway_loses_the_database_is_rolled_back_not_unknown():
    async with Fleet() as fleet:
        caller = fleet.entry.open_session(OWN)
        await fleet.entry.run(caller, requests.Begin(read_only=False))
        assert (await fleet.entry.run(caller, proxy_world.WRITE)).succeeded
        configuration = fleet.gateway.directory.configuration
        fleet.gateway.directory.configuration = dataclasses.replace(configuration, routes={})
        answer = await fleet.entry.run(caller, requests.Commit())
        assert answer.refusal is requests.Refusal.ABORTED
        assert fleet.gateway.group.acknowledged == []


async def test_an_unreachable_gateway_leaves_a_write_unknown_only_if_it_was_sent():
    async with Fleet() as fleet:
        fleet.server.close()
        answer = await fleet.entry.run(fleet.entry.open_session(PRIMARY), proxy_world.WRITE)
        assert answer.succeeded or answer.refusal is requests.Refusal.OVERLOADED


async def test_a_gateway_that_does_not_answer_leaves_a_sent_write_unknown():
    async def hold(reader, writer):
        with contextlib.suppress(EOFError):
            await reader.readexactly(1 << 20)

    fleet = Fleet()
    silent = await asyncio.start_server(hold, fleet.address.host, fleet.address.port)
    answer = await fleet.entry.run(fleet.entry.open_session(PRIMARY), proxy_world.WRITE)
    assert answer.refusal is requests.Refusal.OUTCOME_UNKNOWN
    caller = fleet.entry.open_session(OWN)
    await fleet.entry.run(caller, requests.Begin(read_only=False))
    lost = await fleet.entry.run(caller, proxy_world.WRITE)
    assert lost.refusal is requests.Refusal.ABORTED
    fleet.forwarder.client.close()
    silent.close()


async def test_a_caller_that_leaves_inside_a_forwarded_transaction_is_rolled_back():
    async with Fleet() as fleet:
        caller = fleet.entry.open_session(OWN)
        await fleet.entry.run(caller, requests.Begin(read_only=False))
        await fleet.entry.run(caller, proxy_world.WRITE)
        caller.close()
        started_s = clock.now_s()
        pool = fleet.gateway.service.servers[ids.ServerId("server-a")].pool
        while pool.busy and clock.now_s() - started_s < 2.0:
            await asyncio.sleep(0.01)
        assert pool.busy == 0
        assert fleet.gateway.group.acknowledged == []


@pytest.mark.parametrize("cut_off", [False, True])
async def test_a_forwarded_transaction_that_stays_idle_frees_its_connection(cut_off):
    """Guards against connections that idle transactions keep at a gateway for ever.

    The entry instance ends the transaction in time; once it is cut off, only the gateway can.
    """
    async with Fleet() as fleet:
        fleet.gateway.directory.features = feature_set.Features(admission=True)
        caller = fleet.entry.open_session(OWN)
        await fleet.entry.run(caller, requests.Begin(read_only=False))
        assert (await fleet.entry.run(caller, proxy_world.WRITE)).succeeded
        pool = fleet.gateway.service.servers[ids.ServerId("server-a")].pool
        idle_s = fleet.gateway.directory.transaction_idle_s
        if cut_off:
            caller.idle_timer.cancel()
            idle_s += relay_server.IDLE_SLACK_S
        await asyncio.sleep(idle_s / 2)
        assert pool.busy == 1
        await asyncio.sleep(idle_s / 2 + 0.2)
        assert pool.busy == 0
        late = await fleet.entry.run(caller, proxy_world.READ)
        assert late.refusal is requests.Refusal.ABORTED
        assert fleet.gateway.group.acknowledged == []


async def test_a_gateway_knows_when_the_operation_of_a_forwarded_statement_began():
    """Guards against transactions that a gateway takes to be younger than they are."""
    async with Fleet() as fleet:
        ages_s = []
        acquire = fleet.gateway.service.leader.pool.acquire

        async def note_due(request):
            ages_s.append(2.0 - (request.due_s - asyncio.get_running_loop().time()))
            return await acquire(request)

        fleet.gateway.service.leader.pool.acquire = note_due
        target_s = 2.0 / statement_context.TARGET_SHARE
        fleet.gateway.directory.configure(proxy_world.configuration(2, target_latency_s=target_s))
        caller = fleet.entry.open_session(OWN)
        await fleet.entry.run(caller, requests.Begin(read_only=False))
        await asyncio.sleep(0.2)
        assert (await fleet.entry.run(caller, proxy_world.WRITE)).succeeded
        assert len(ages_s) == 1 and 0.2 <= ages_s[0] < 0.3


def test_updates_of_peers_arrive_as_they_were_sent():
    primary = datagrams.PrimaryRef(service=ids.ServiceName("s"), server=ids.ServerId("i"))
    update = datagrams.PeerUpdate(
        instance=ids.InstanceId("one"), suspected_primaries=(primary,), new_primary=primary
    )
    assert datagrams.decode(datagrams.encode(update)) == update


@given(data=st.binary())
def test_datagrams_that_cannot_be_read_raise_one_error(data):
    with contextlib.suppress(errors.InvalidDatagramError):
        datagrams.decode(data)


async def test_a_slow_gateway_that_answers_other_statements_is_not_replaced():
    """Guards against reads that amplify an overload.

    Gateways answered late, and each read was sent to a second gateway, which doubled the load.
    """
    async with Fleet() as fleet:
        for server in fleet.gateway.group.servers.values():
            server.answer_delay_s = 0.25
        reads = [
            fleet.entry.run(fleet.entry.open_session(BOUNDED), proxy_world.READ) for _ in range(6)
        ]
        answers = await asyncio.gather(*reads)
        assert all(answer.succeeded for answer in answers)
        assert not fleet.forwarder.recent_failures.active(now_s=clock.now_s())


def test_a_gateway_that_stops_reports_no_failure_of_its_open_connections():
    reported = []

    async def stop_with_an_open_connection():
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: reported.append(context)
        )
        async with Fleet() as fleet:
            caller = fleet.entry.open_session(PRIMARY)
            assert (await fleet.entry.run(caller, proxy_world.WRITE)).succeeded
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(0.05)

    asyncio.run(stop_with_an_open_connection())
    assert reported == []


async def test_a_gateway_that_stops_moves_new_work_and_finishes_open_transactions():
    """Guards against transactions that a stopping gateway cut off between two statements."""
    async with Fleet() as fleet:
        inside = fleet.entry.open_session(OWN)
        await fleet.entry.run(inside, requests.Begin(read_only=False))
        assert (await fleet.entry.run(inside, proxy_world.WRITE)).succeeded
        fleet.server.drain()
        assert fleet.server.open_transactions == 1
        # No other gateway is left, so the entry instance runs new work itself.
        assert (await fleet.entry.run(fleet.entry.open_session(OWN), proxy_world.WRITE)).succeeded
        assert any(server.pool.held for server in fleet.entry.service.servers.values())
        assert (await fleet.entry.run(inside, proxy_world.READ)).succeeded
        assert (await fleet.entry.run(inside, requests.Commit())).succeeded
        assert fleet.server.open_transactions == 0


async def test_a_transaction_does_not_begin_at_a_gateway_that_stops():
    async with Fleet() as fleet:
        fleet.server.drain()
        caller = fleet.entry.open_session(OWN)
        await fleet.entry.run(caller, requests.Begin(read_only=False))
        answer = await fleet.entry.run(caller, proxy_world.WRITE)
        assert answer.refusal is requests.Refusal.OVERLOADED
        assert fleet.gateway.group.statements == []


async def test_a_transaction_that_a_stopping_gateway_rolled_back_runs_nothing_more():
    async with Fleet() as fleet:
        caller = fleet.entry.open_session(OWN)
        await fleet.entry.run(caller, requests.Begin(read_only=False))
        assert (await fleet.entry.run(caller, proxy_world.WRITE)).succeeded
        fleet.server.drain()
        fleet.server.abort_transactions()
        answer = await fleet.entry.run(caller, proxy_world.WRITE)
        assert answer.refusal is requests.Refusal.ABORTED
        await fleet.entry.run(caller, requests.Rollback())
        assert fleet.gateway.group.acknowledged == []
        assert len(fleet.gateway.group.statements) == 1


async def test_a_statement_that_runs_as_a_gateway_rolls_back_is_answered_and_is_the_last():
    """Guards against a stopping gateway that went on with a transaction whose statement was
    running, and cut its later statements (review/5).
    """
    async with Fleet() as fleet:
        caller = fleet.entry.open_session(OWN)
        await fleet.entry.run(caller, requests.Begin(read_only=False))
        fleet.gateway.group.primary.answer_delay_s = 0.2
        running = asyncio.create_task(fleet.entry.run(caller, proxy_world.WRITE))
        await asyncio.sleep(0.1)
        fleet.server.drain()
        fleet.server.abort_transactions()
        assert (await running).succeeded
        answer = await fleet.entry.run(caller, proxy_world.WRITE)
        assert answer.refusal is requests.Refusal.ABORTED
        assert len(fleet.gateway.group.statements) == 1


async def test_a_gateway_that_wakes_up_keeps_nothing_of_a_transaction_given_up_meanwhile():
    """A frozen gateway: its caller was told that the transaction is aborted; nothing may stay."""
    async with Fleet() as fleet:
        caller = fleet.entry.open_session(OWN)
        await fleet.entry.run(caller, requests.Begin(read_only=False))
        assert (await fleet.entry.run(caller, proxy_world.WRITE)).succeeded
        thawed, run = asyncio.Event(), fleet.server._run

        async def run_when_thawed(gateway_session, statement):
            await thawed.wait()
            return await run(gateway_session, statement)

        fleet.server._run = run_when_thawed
        answer = await fleet.entry.run(caller, proxy_world.WRITE)
        assert answer.refusal is requests.Refusal.ABORTED
        thawed.set()
        async with asyncio.timeout(5.0):
            while fleet.server.sessions:
                await asyncio.sleep(0.02)
        await fleet.gateway.settle()
        assert fleet.gateway.group.acknowledged == []
        assert (await fleet.entry.run(fleet.entry.open_session(OWN), proxy_world.WRITE)).succeeded
        assert len(fleet.gateway.group.acknowledged) == 1
