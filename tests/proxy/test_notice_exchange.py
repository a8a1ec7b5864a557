"""Instances tell each other when a server can have announced that it leaves.

Guards against an instance that starts during a notice: it finds a leaving server and no time.
"""

import pytest

from mustardswitch.internal import ids, leave_notices
from mustardswitch.peers import datagrams, leave_questions
from mustardswitch.proxy import notice_exchange
from mustardswitch_standins import database_group
from tests.common import peer_world

A, TWO = peer_world.A, peer_world.TWO
DRAIN_S = 7.0


@pytest.fixture
def world(monkeypatch):
    found = peer_world.World(monkeypatch)
    found.directory.drain.drain_s = DRAIN_S
    return found


def _leave(world, *, known: bool) -> None:
    """Let the primary announce that it leaves; its time is ``known`` if it was listed before."""
    if not known:
        del world.directory.services[database_group.SERVICE]
        world.directory.permission.as_of_s = float("-inf")
    world.group.servers[A].leaving = True
    world.list_servers()


def _sent(world, field: str) -> list:
    return [each for update in world.peers.sent for each in getattr(update, field)]


def _tell(world, question: leave_questions.LeaveQuestion, age_s: float) -> None:
    told = leave_questions.LeaveAnswer(question=question, age_s=age_s)
    world.updates.receive(datagrams.PeerUpdate(instance=TWO, leave_told=(told,)))


def _accepts(world) -> bool:
    return world.service.accepts_new_work(world.service.servers[A])


def test_an_instance_that_starts_during_a_notice_asks_and_sends_work_once_it_is_told(world):
    _leave(world, known=False)
    assert not _accepts(world)
    world.updates.check()
    (question,) = _sent(world, "leave_asked")
    assert (question.server, question.asked_at_s) == (A, world.now_s)
    world.now_s += 0.1
    _tell(world, question, 3.0)
    assert _accepts(world)
    ends_s = question.asked_at_s - 3.0 + DRAIN_S - leave_notices.TRANSIT_S
    assert world.service.work_ends_s(world.service.servers[A]) == pytest.approx(ends_s)


def test_an_answer_counts_as_of_its_question_however_late_it_comes(world):
    _leave(world, known=False)
    world.updates.check()
    (question,) = _sent(world, "leave_asked")
    world.now_s += 2.0
    _tell(world, question, 5.0)
    assert not _accepts(world)


def test_an_answer_to_a_question_of_a_later_time_is_ignored(world):
    _leave(world, known=False)
    world.updates.check()
    (question,) = _sent(world, "leave_asked")
    later = leave_questions.LeaveQuestion(
        service=question.service,
        server=question.server,
        started_ms=question.started_ms,
        asked_at_s=world.now_s + 10.0,
    )
    _tell(world, later, 0.0)
    assert not _accepts(world)


def test_a_question_is_repeated_while_it_is_not_answered_and_for_a_while_only(world):
    _leave(world, known=False)
    for _ in range(200):
        world.updates.check()
        world.now_s += 0.1
    count = len(_sent(world, "leave_asked"))
    assert 5 <= count <= leave_notices.CHANGE_WAIT_S / notice_exchange.ASK_INTERVAL_S + 1


def test_an_instance_that_knows_a_time_asks_for_a_later_one_for_a_short_time(world):
    _leave(world, known=True)
    for _ in range(200):
        world.updates.check()
        world.now_s += 0.1
    assert 1 <= len(_sent(world, "leave_asked")) <= 4


def test_an_instance_answers_what_it_knows_and_nothing_else(world):
    asked = leave_questions.LeaveQuestion(
        service=database_group.SERVICE, server=A, started_ms=0, asked_at_s=5.0
    )
    other = leave_questions.LeaveQuestion(
        service=ids.ServiceName("another"), server=A, started_ms=0, asked_at_s=5.0
    )
    question = datagrams.PeerUpdate(instance=TWO, leave_asked=(asked, other))
    world.updates.receive(question)
    assert _sent(world, "leave_told") == []
    _leave(world, known=True)
    (member,) = world.service.leave_notices.notices
    known = datagrams.PeerUpdate(
        instance=TWO,
        leave_asked=(
            leave_questions.LeaveQuestion(
                service=database_group.SERVICE, server=A, started_ms=member[1], asked_at_s=5.0
            ),
        ),
    )
    world.now_s += 2.0
    world.updates.receive(known)
    (told,) = _sent(world, "leave_told")
    notice = world.service.leave_notices.notices[member]
    assert told.age_s == pytest.approx(world.now_s - notice.not_before_s)
    assert world.peers.hosts[-1] == {"two"}


def test_an_instance_that_does_not_know_the_time_tells_nothing(world):
    _leave(world, known=False)
    (member,) = world.service.leave_notices.notices
    asked = leave_questions.LeaveQuestion(
        service=database_group.SERVICE, server=A, started_ms=member[1], asked_at_s=5.0
    )
    world.updates.receive(datagrams.PeerUpdate(instance=TWO, leave_asked=(asked,)))
    assert _sent(world, "leave_told") == []
