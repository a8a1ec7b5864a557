"""Messages that name routings, also beside instances of the build before."""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import clock, ids, positions
from mustardswitch.peers import errors, relay_codec
from mustardswitch.proxy import forwarded_messages, requests, route_versions
from tests.common import forwarding_world, proxy_world

OLD, NEW = forwarding_world.OLD, forwarding_world.NEW
OWN = requests.RouteKind.READ_YOUR_WRITES
WRITE, READ = proxy_world.WRITE, proxy_world.READ
BEGIN, COMMIT = requests.Begin(read_only=False), requests.Commit()
DATABASE = proxy_world.DATABASES[OWN]

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
        "routing": forwarding_world.routing(7),
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
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        caller = forwarding_world.Caller(fleet)
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
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        forwarding_world.let_lag(fleet, OLD, "b")
        caller = forwarding_world.Caller(fleet)
        for number in range(1, 4):
            await caller.run(WRITE)
            assert (await caller.run(READ)).rows == (str(number),)
        await caller.run(BEGIN, WRITE, READ, COMMIT)
        assert caller.commits() == {OLD: 4}


@pytest.mark.parametrize("former", ["forwards", "answers"])
async def test_statements_run_beside_the_build_before_while_versions_differ(monkeypatch, former):
    """A gateway goes by its own version if the statement names none, as the build before does."""
    getattr(FormerBuild(monkeypatch), former)()
    async with forwarding_world.Fleet(forwarding_world.moved(2, OLD)) as fleet:
        fleet.gateways[0].directory.configure(forwarding_world.moved(3))
        caller = forwarding_world.Caller(fleet)
        await caller.run(WRITE, READ, BEGIN, WRITE, COMMIT)
        assert len(fleet.groups.by_service[NEW].acknowledged) == 2
