"""Commits that a former primary takes while another server's promotion is recorded are told."""

import asyncio

import logbook
import pytest

from mustardswitch import events, metrics
from mustardswitch.internal import clock, ids, positions
from mustardswitch.proxy import commit_holds, former_commits, requests
from mustardswitch_standins import database_group
from tests.common import cut_lines, peer_world, proxy_world

SERVICE, FORMER, PROMOTED = cut_lines.SERVICE, cut_lines.FORMER, cut_lines.PROMOTED
FIRST = ids.RequestId("q281473054070096-123")
SECOND = ids.RequestId("q281473054070096-124")
A, B = peer_world.A, peer_world.B


@pytest.fixture
def handler():
    with logbook.TestHandler() as handler:
        yield handler


def _position(offset: int, *, term: int = 12) -> positions.Position:
    return positions.Position(term=ids.Term(term), offset=ids.Offset(offset))


def _taken(handler: logbook.TestHandler, event: events.Event) -> list[list[str]]:
    lines = cut_lines.lines(handler, event)
    return [cut_lines.fields(line)["taken"].split() for line in lines]


class Held:
    """Commits of an instance that holds them back for PROMOTED, on a clock of its own."""

    def __init__(self, monkeypatch) -> None:
        self.now_s = 1000.0
        monkeypatch.setattr(clock, "now_s", lambda: self.now_s)
        self.registry = metrics.Registry()
        self.hold = commit_holds.CommitHold(service=SERVICE, registry=self.registry)
        self.commits = self.hold.former_commits
        self.recorded: ids.ServerId | None = None

    def begin(self) -> None:
        """Learn of the record."""
        self.recorded = PROMOTED
        self.hold.update(requested=PROMOTED, leader=FORMER, revision=631)

    def end(self, leader: ids.ServerId = PROMOTED) -> None:
        """See a server lead, after the record was removed."""
        self.recorded = None
        self.hold.update(requested=None, leader=leader)

    def send(
        self, request: ids.RequestId = FIRST, *, server: ids.ServerId = FORMER
    ) -> former_commits.SentCommit:
        """Send a commit in term 12."""
        return self.commits.note_sent(server, request, term=ids.Term(12), recorded=self.recorded)

    def answer(
        self, sent: former_commits.SentCommit, *, term: int = 12, acknowledged: bool = True
    ) -> None:
        """Receive the answer to a commit."""
        self.commits.note_answered(
            sent, _position(30, term=term), recorded=self.recorded, acknowledged=acknowledged
        )


def test_a_commit_that_is_sent_to_a_former_primary_is_an_error_that_names_it(handler, monkeypatch):
    held = Held(monkeypatch)
    held.begin()
    held.now_s += 123.456
    held.send()
    (line,) = cut_lines.lines(handler, events.Event.COMMITS_TAKEN)
    fields = cut_lines.fields(line)
    assert fields["level"] == "error"
    assert fields["message"] == "commits held back, ran"
    assert (fields["service"], fields["server"]) == (SERVICE, FORMER)
    assert fields["taken"] == f"1 0 0 0 123.5 {FIRST}"
    assert held.registry.total("commits_at_former_primary", "sent") == 1


def test_a_commit_that_is_answered_in_a_later_term_is_an_error(handler, monkeypatch):
    held = Held(monkeypatch)
    sent = held.send()
    held.begin()
    held.now_s += 1.0
    held.answer(sent, term=13)
    assert _taken(handler, events.Event.COMMITS_TAKEN) == [["0", "1", "0", "1", "1.0", FIRST]]
    assert held.registry.total("commits_at_former_primary", "later_term") == 1


def test_a_commit_under_way_that_is_answered_is_told_at_the_end_of_the_hold(handler, monkeypatch):
    held = Held(monkeypatch)
    sent = [held.send(FIRST), held.send(SECOND)]
    held.begin()
    for each in sent:
        held.now_s += 0.5
        held.answer(each, acknowledged=each is sent[0])
    assert _taken(handler, events.Event.COMMITS_ANSWERED) == []
    held.end()
    (line,) = cut_lines.lines(handler, events.Event.COMMITS_ANSWERED)
    fields = cut_lines.fields(line)
    assert fields["message"] == "commits held back, answered"
    assert fields["taken"] == f"0 0 2 1 1.0 {FIRST}"
    assert _taken(handler, events.Event.COMMITS_TAKEN) == []
    assert held.registry.total("commits_at_former_primary", "answered") == 2


def test_the_end_of_the_log_follows(handler, monkeypatch):
    held = Held(monkeypatch)
    sent = held.send()
    held.begin()
    held.answer(sent, term=13)
    (record,) = [each for each in handler.records if each.extra["event"].value.number == 543]
    assert str(record.extra["fields"]["end"]) == "13:30"


def test_many_commits_are_told_in_one_line_at_the_first_and_one_at_the_end(handler, monkeypatch):
    held = Held(monkeypatch)
    held.begin()
    for _ in range(120):
        held.answer(held.send(), term=13)
    held.end()
    lines = _taken(handler, events.Event.COMMITS_TAKEN)
    assert lines == [
        ["1", "0", "0", "0", "0.0", FIRST],
        ["120", "120", "0", "120", "0.0", FIRST],
    ]


def test_answers_that_come_after_the_successor_leads_are_told_once(handler, monkeypatch):
    held = Held(monkeypatch)
    sent = [held.send(FIRST), held.send(SECOND)]
    held.begin()
    held.end()
    for each in sent:
        held.now_s += 0.1
        held.answer(each)
    assert _taken(handler, events.Event.COMMITS_ANSWERED) == [["0", "0", "1", "1", "0.1", FIRST]]
    assert held.registry.total("commits_at_former_primary", "answered") == 2


def test_each_change_is_told_by_itself(handler, monkeypatch):
    held = Held(monkeypatch)
    for request in (FIRST, SECOND):
        held.begin()
        held.send(request)
        held.end()
        held.hold.update(requested=None, leader=FORMER)
    lines = _taken(handler, events.Event.COMMITS_TAKEN)
    assert lines == [
        ["1", "0", "0", "0", "0.0", FIRST],
        ["1", "0", "0", "0", "0.0", SECOND],
    ]


@pytest.mark.parametrize("leader", [FORMER, PROMOTED])
def test_commits_before_and_after_a_change_are_not_told(handler, monkeypatch, leader):
    held = Held(monkeypatch)
    held.answer(held.send())
    held.begin()
    held.end(leader)
    held.answer(held.send(server=leader))
    assert _taken(handler, events.Event.COMMITS_TAKEN) == []
    assert _taken(handler, events.Event.COMMITS_ANSWERED) == []


@pytest.mark.parametrize("is_sent_before, lines", [(True, 1), (False, 0)])
def test_a_primary_that_is_kept_in_a_later_term_takes_commits_again(
    handler, monkeypatch, is_sent_before, lines
):
    held = Held(monkeypatch)
    before = held.send()
    held.begin()
    held.now_s += 1.0
    held.end(FORMER)
    held.answer(before if is_sent_before else held.send(), term=13)
    assert len(_taken(handler, events.Event.COMMITS_TAKEN)) == lines


# Through the sessions of an instance


async def _run(world: proxy_world.World, *, in_transaction: bool) -> requests.Answer:
    """Run a write, or a transaction whose COMMIT is answered after the group's delay."""
    caller = world.open_session(requests.RouteKind.PRIMARY)
    former = world.group.servers[A]
    delay_s, former.answer_delay_s = former.answer_delay_s, 0.0
    if in_transaction:
        await world.run(caller, requests.Begin(read_only=False))
        await world.run(caller, proxy_world.WRITE)
    former.answer_delay_s = delay_s
    return await world.run(caller, requests.Commit() if in_transaction else proxy_world.WRITE)


async def _begin_hold(world: proxy_world.World, *, in_transaction: bool) -> asyncio.Task:
    """Learn of a record while a commit is under way; return the task that runs the commit."""
    assert (await _run(world, in_transaction=in_transaction)).succeeded
    world.group.servers[A].answer_delay_s = 0.3
    running = asyncio.create_task(_run(world, in_transaction=in_transaction))
    await asyncio.sleep(0.1)
    world.directory.permission.note_current(clock.now_s())
    world.directory.note_recorded_promotion(database_group.SERVICE, B, revision=40)
    return running


@pytest.mark.parametrize("in_transaction", [False, True])
async def test_an_instance_tells_a_commit_under_way_that_is_answered_in_the_hold(
    handler, in_transaction
):
    world = proxy_world.World()
    assert (await (await _begin_hold(world, in_transaction=in_transaction))).succeeded
    world.directory.note_recorded_promotion(database_group.SERVICE, None, revision=41)
    ((*counts, _, request),) = _taken(handler, events.Event.COMMITS_ANSWERED)
    assert counts == ["0", "0", "1", "1"]
    assert request == world.group.statements[-1].request or in_transaction
    assert _taken(handler, events.Event.COMMITS_TAKEN) == []


async def test_an_instance_tells_a_commit_that_a_primary_executes_once_it_leads_again(handler):
    world = proxy_world.World()
    running = await _begin_hold(world, in_transaction=False)
    world.group.step_down(world.group.servers[A], 2)
    world.group.promote(A)
    assert (await running).succeeded
    (line,) = _taken(handler, events.Event.COMMITS_TAKEN)
    assert line[:4] == ["0", "1", "0", "1"]
    assert line[-1] == world.group.executed[-1]


@pytest.mark.parametrize("in_transaction", [False, True])
async def test_commits_before_and_after_a_promotion_are_not_told(handler, in_transaction):
    world = proxy_world.World()
    assert (await _run(world, in_transaction=in_transaction)).succeeded
    world.directory.note_recorded_promotion(database_group.SERVICE, B, revision=40)
    world.group.promote(B)
    world.list_servers()
    for _ in range(2):
        assert (await _run(world, in_transaction=in_transaction)).succeeded
    assert world.group.term == 2
    assert _taken(handler, events.Event.COMMITS_TAKEN) == []
    assert _taken(handler, events.Event.COMMITS_ANSWERED) == []
