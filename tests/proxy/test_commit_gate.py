"""Commits are held back, and given up, when another server may have been promoted."""

import asyncio
import contextlib
import types

import pytest

from mustardswitch.internal import clock, commit_permission, ids, revisions
from mustardswitch.peers import datagrams
from mustardswitch.proxy import commit_gate, directory, requests
from mustardswitch_standins import database_group
from tests.common import proxy_world

PRIMARY, BOUNDED, OWN = requests.RouteKind
A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
PERMISSION_S, ABANDON_S = commit_permission.PERMISSION_S, commit_permission.ABANDON_S
FAR_S = 60.0
"""Statement timeout that no test reaches."""


def promotion_of(server: ids.ServerId, *, revision: int) -> datagrams.RecordedPromotion:
    """Build the announcement of a promotion."""
    return datagrams.RecordedPromotion(
        service=database_group.SERVICE, server=server, revision=revision
    )


class Link:
    """A connection that is only closed."""

    def __init__(self) -> None:
        self.closed = False

    def close(self) -> None:
        self.closed = True


class Gate:
    """A gate with records at revision 10 and a clock that stands still."""

    def __init__(self, monkeypatch) -> None:
        self.now_s = 100.0
        monkeypatch.setattr(clock, "now_s", lambda: self.now_s)
        self.records = types.SimpleNamespace(revision=10, outage=False)
        self.permitted = True
        permission = commit_permission.CommitPermission()
        permission.note_current(self.now_s - commit_permission.PERMISSION_S)
        self.gate = commit_gate.CommitGate(
            records=self.records,
            permission=permission,
            permitted=lambda: self.permitted,
        )

    def allowed(self, *, requested=None):
        self.gate.note_requested(requested)
        return {server for server in (A, B, C) if self.gate.allows(server)}


@pytest.fixture
def held(monkeypatch):
    return Gate(monkeypatch)


def test_an_announced_promotion_holds_commits_to_other_servers(held):
    held.gate.note_announced(promotion_of(B, revision=11))
    assert held.allowed() == {B}


def test_records_as_new_as_an_announcement_decide_instead_of_it(held):
    held.gate.note_announced(promotion_of(B, revision=12))
    held.records.revision = 11
    assert held.allowed() == {B}
    held.records.revision = 12
    assert held.allowed() == {A, B, C}
    assert held.allowed(requested=C) == {C}


def test_an_announcement_that_the_records_include_holds_nothing(held):
    held.gate.note_announced(promotion_of(B, revision=10))
    assert held.allowed() == {A, B, C}


def test_an_older_announcement_does_not_replace_a_newer_one(held):
    held.gate.note_announced(promotion_of(B, revision=12))
    held.gate.note_announced(promotion_of(C, revision=11))
    assert held.allowed() == {B}
    held.gate.note_announced(promotion_of(C, revision=13))
    assert held.allowed() == {C}


def test_different_servers_in_the_records_and_in_an_announcement_allow_no_commits(held):
    held.gate.note_announced(promotion_of(B, revision=11))
    assert held.allowed(requested=C) == set()


def test_an_announced_promotion_that_a_restored_store_has_lost_is_held_until_its_claim_ends(held):
    """The holder relies on the confirmation, and does not know of the restore."""
    held.gate.note_announced(promotion_of(B, revision=11))
    held.gate.note_restored()
    held.records.revision = revisions.join(era=1, number=5)
    assert held.allowed() == {B}
    held.now_s += PERMISSION_S
    assert held.allowed() == {A, B, C}


def test_without_permission_no_server_takes_commits(held):
    held.permitted = False
    assert held.allowed() == set()


def test_commits_under_way_to_another_server_are_given_up_after_their_time(held):
    links = {server: Link() for server in (A, B)}
    with held.gate.tracking(links[A], A), held.gate.tracking(links[B], B):
        held.gate.note_announced(promotion_of(B, revision=11))
        assert not held.gate.is_clear_for(B)
        assert held.gate.abandon() == 0
        held.now_s += ABANDON_S - 0.01
        assert held.gate.abandon() == 0
        held.now_s += 0.01
        assert held.gate.abandon() == 1
        assert links[A].closed and not links[B].closed
    assert held.gate.is_clear_for(B)


def test_all_commits_under_way_are_given_up_when_the_permission_has_ended(held):
    links = [Link(), Link()]
    with held.gate.tracking(links[0], A), held.gate.tracking(links[1], B):
        held.permitted = False
        held.gate.abandon()
        held.now_s += ABANDON_S
        assert held.gate.abandon() == 2
    assert all(link.closed for link in links)


def test_commits_go_on_when_the_permission_returns_in_time(held):
    link = Link()
    with held.gate.tracking(link, A):
        held.permitted = False
        held.gate.abandon()
        held.now_s += ABANDON_S - 0.01
        held.gate.permission.note_current(held.now_s - commit_permission.PERMISSION_S)
        held.permitted = True
        held.gate.abandon()
        held.permitted = False
        held.now_s += 0.01
        assert held.gate.abandon() == 0
    assert not link.closed


def test_statements_that_commit_nothing_are_not_given_up(held):
    link = Link()
    with held.gate.tracking(link, A, counts=False):
        held.permitted = False
        held.gate.abandon()
        held.now_s += ABANDON_S
        assert held.gate.abandon() == 0
        assert held.gate.is_clear_for(B)


def test_a_failed_commit_is_not_under_way_any_more(held):
    with contextlib.suppress(OSError), held.gate.tracking(Link(), A):
        raise OSError
    assert held.gate.is_clear_for(B)


class World(proxy_world.World):
    """An instance beside another one that may hear from the store, and a clock that can be set."""

    def __init__(self, monkeypatch) -> None:
        self.passed_s = 0.0
        real_now_s = clock.now_s
        monkeypatch.setattr(clock, "now_s", lambda: real_now_s() + self.passed_s)
        super().__init__(statement_timeout_s=FAR_S)
        other = directory.Peer(zone=ids.ZoneName("b"))
        self.directory.instances.put(ids.InstanceId("two"), other)
        self.read_records()

    def read_records(self) -> None:
        self.directory.permission.note_current(clock.now_s())

    def end_permission(self, *, ago_s: float = 0.0) -> None:
        """Let the time pass until a while after the end of the permission."""
        as_of_s = self.directory.permission.as_of_s
        self.passed_s += as_of_s + PERMISSION_S + ago_s - clock.now_s()

    async def begin_commit(self, kind: str, *, answer_delay_s: float) -> asyncio.Task:
        """Start a single write, or the COMMIT of one, which is answered after a delay."""
        caller, statement = self.open_session(PRIMARY), proxy_world.WRITE
        if kind == "COMMIT":
            assert (await self.run(caller, requests.Begin(read_only=False))).succeeded
            assert (await self.run(caller, statement)).succeeded
            statement = requests.Commit()
        self.group.servers[A].answer_delay_s = answer_delay_s
        running = asyncio.create_task(self.run(caller, statement))
        async with asyncio.timeout(5.0):
            while not self.service.commits.under_way:
                await asyncio.sleep(0)
        return running

    def abandon(self) -> int:
        """Check for commits to abandon, and again when they have had their time."""
        self.service.commits.abandon()
        self.passed_s += ABANDON_S
        return self.service.commits.abandon()


@pytest.fixture
def world(monkeypatch):
    return World(monkeypatch)


both_kinds = pytest.mark.parametrize("kind", ["write", "COMMIT"])


@both_kinds
async def test_callers_of_commits_that_are_given_up_learn_that_the_outcome_is_unknown(world, kind):
    running = await world.begin_commit(kind, answer_delay_s=0.2)
    world.service.note_announced_promotion(promotion_of(B, revision=1))
    assert world.abandon() == 1
    assert (await running).refusal is requests.Refusal.OUTCOME_UNKNOWN


@both_kinds
async def test_commits_that_no_record_permits_any_more_have_an_unknown_outcome(world, kind):
    running = await world.begin_commit(kind, answer_delay_s=0.2)
    world.end_permission()
    assert world.abandon() == 1
    assert (await running).refusal is requests.Refusal.OUTCOME_UNKNOWN


@both_kinds
async def test_an_answer_that_comes_long_after_the_permission_is_not_success(world, kind):
    """The instance may have been suspended, so that it has not abandoned the commit itself."""
    running = await world.begin_commit(kind, answer_delay_s=0.1)
    world.end_permission(ago_s=ABANDON_S)
    assert (await running).refusal is requests.Refusal.OUTCOME_UNKNOWN
    assert world.service.acknowledged.latest == {}


@both_kinds
async def test_an_answer_that_comes_shortly_after_the_permission_is_success(world, kind):
    running = await world.begin_commit(kind, answer_delay_s=0.05)
    world.end_permission(ago_s=-0.01)
    assert (await running).succeeded


@both_kinds
async def test_an_answer_is_not_success_when_the_permission_returned_after_its_end(world, kind):
    """While the instance was suspended, another server may have been promoted and recorded."""
    running = await world.begin_commit(kind, answer_delay_s=0.1)
    world.end_permission(ago_s=commit_permission.HOLD_LIMIT_S)
    world.read_records()
    world.directory.note_recorded_promotion(database_group.SERVICE, B, revision=1)
    assert (await running).refusal is requests.Refusal.OUTCOME_UNKNOWN


@both_kinds
async def test_commits_under_way_are_given_up_when_the_records_tell_of_a_promotion(world, kind):
    """A promotion is complete after the hold limit, whether or not this instance confirms it."""
    running = await world.begin_commit(kind, answer_delay_s=0.2)
    world.directory.note_recorded_promotion(database_group.SERVICE, B, revision=1)
    world.passed_s += commit_permission.PERMISSION_S
    world.read_records()
    assert world.abandon() == 1
    assert (await running).refusal is requests.Refusal.OUTCOME_UNKNOWN


async def test_a_write_of_an_instance_that_is_cut_off_is_refused_at_once_as_not_run(world):
    world.end_permission()
    world.directory.servers.note_outage()
    async with asyncio.timeout(5.0):
        answer = await world.run(world.open_session(PRIMARY), proxy_world.WRITE)
    assert answer.refusal is requests.Refusal.OVERLOADED
    assert world.group.executed == []


async def test_a_transaction_of_an_instance_that_is_cut_off_is_refused_at_once(world):
    world.end_permission()
    world.directory.servers.note_outage()
    caller = world.open_session(PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    async with asyncio.timeout(5.0):
        answer = await world.run(caller, proxy_world.WRITE)
    assert answer.refusal is requests.Refusal.OVERLOADED
    assert world.group.executed == []


async def test_a_write_that_waits_for_fresh_records_runs_when_they_come(world):
    world.end_permission()
    running = asyncio.create_task(world.run(world.open_session(PRIMARY), proxy_world.WRITE))
    await asyncio.sleep(0.1)
    assert not running.done() and world.group.executed == []
    world.read_records()
    async with asyncio.timeout(5.0):
        assert (await running).succeeded
    assert world.group.executed == ["r1"]


async def test_a_write_that_waits_runs_when_all_other_instances_are_stale(world):
    world.end_permission()
    running = asyncio.create_task(world.run(world.open_session(PRIMARY), proxy_world.WRITE))
    await asyncio.sleep(0.1)
    assert not running.done()
    world.directory.permission.note_stale_peer(ids.InstanceId("two"), clock.now_s())
    async with asyncio.timeout(5.0):
        assert (await running).succeeded


async def test_a_commit_that_is_not_permitted_is_not_sent(world):
    caller = world.open_session(PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    await world.run(caller, proxy_world.WRITE)
    world.end_permission()
    answer = await world.run(caller, requests.Commit())
    assert answer.refusal is requests.Refusal.ABORTED
    assert world.group.acknowledged == []


@pytest.mark.parametrize("kind", [PRIMARY, BOUNDED, OWN])
async def test_reads_go_on_while_no_commits_are_permitted(world, kind):
    world.end_permission()
    world.directory.servers.note_outage()
    async with asyncio.timeout(5.0):
        assert (await world.run(world.open_session(kind), proxy_world.READ)).succeeded


@pytest.mark.parametrize("kind", [PRIMARY, BOUNDED, OWN])
async def test_reads_go_on_while_an_announced_promotion_holds_commits(world, kind):
    world.service.note_announced_promotion(promotion_of(B, revision=1))
    async with asyncio.timeout(5.0):
        assert (await world.run(world.open_session(kind), proxy_world.READ)).succeeded
