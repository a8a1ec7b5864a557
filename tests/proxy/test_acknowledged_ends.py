"""The holder learns above which position no instance has acknowledged a commit."""

import dataclasses

import pytest

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import acknowledged_end, commit_permission, ids, promotion
from mustardswitch.peers import told_commits
from mustardswitch.proxy import acknowledged_ends, requests
from mustardswitch_standins import database_group
from tests.common import builders, peer_world, proxy_world

ONE, TWO, THREE = peer_world.ONE, peer_world.TWO, peer_world.THREE
A, B, C = peer_world.A, peer_world.B, peer_world.C
LIMIT_S = commit_permission.HOLD_LIMIT_S


class World(peer_world.World):
    """Instance one has followed the list for long; two and three have run for long."""

    def __init__(self, monkeypatch) -> None:
        super().__init__(monkeypatch)
        self.pass_time(60.0)
        self.query(0, age_s=10.0)

    def pass_time(self, seconds: float) -> None:
        """Let time pass in which the store confirms the records."""
        ends_s = self.now_s + seconds
        while self.now_s < ends_s:
            self.now_s = min(ends_s, self.now_s + 0.1)
            self.directory.permission.note_current(self.now_s)
            self.directory.servers.note_confirmed(self.now_s, revision=10)
            self.updates.check()
        self.recorded_at_s = self.now_s

    def query(self, offset: int, *, age_s: float = 0.0) -> None:
        """Query the primary, whose log ends at an offset."""
        at_s = self.now_s - age_s
        self.service.samples.note(
            acknowledged_end.Sample(
                sent_after_s=at_s, answered_by_s=at_s, position=builders.position(1, offset)
            )
        )

    def query_later(self, offset: int) -> None:
        """Query the primary once it has dropped all that had ended before."""
        self.pass_time(acknowledged_end.DROPPED_S + 0.1)
        self.query(offset)


def told(*samples: tuple[float, int], shown: int | None = None, answered_s: float = 50.0):
    """Build what an instance tells; samples are ages and offsets."""
    return told_commits.ToldCommits(
        shown=None if shown is None else builders.position(1, shown),
        answered_s=answered_s,
        samples=tuple(
            told_commits.AgedSample(
                sent_s=age_s, answered_s=age_s, position=builders.position(1, offset)
            )
            for age_s, offset in samples
        ),
    )


@pytest.fixture
def world(monkeypatch):
    return World(monkeypatch)


def end_of(world, two=None, three=None):
    """Return the end that is proved when both other instances have confirmed."""
    world.report()
    world.confirm(TWO, told=two or told())
    world.confirm(THREE, told=three or told())
    return world.report().acknowledged_end


def test_the_end_covers_what_any_instance_has_acknowledged(world):
    world.query(5, age_s=2.0)
    assert end_of(world) == builders.position(1, 5)
    assert end_of(world, told(shown=7), told(shown=6)) == builders.position(1, 7)
    world.note_acknowledged(A, above=builders.position(1, 8))
    assert world.report().acknowledged_end == builders.position(1, 9)


def test_the_end_covers_what_the_recorded_server_has_acknowledged(world):
    world.query(5)
    world.note_acknowledged(B, above=builders.position(1, 8))
    assert end_of(world) == builders.position(1, 9)


def test_another_instances_query_covers_instances_that_ended(world):
    assert end_of(world) is None
    assert end_of(world, told((2.0, 8), (1.0, 9))) == builders.position(1, 8)


def test_the_end_is_not_known_while_an_instance_has_not_confirmed(world):
    world.query(5)
    world.report()
    world.confirm(TWO, told=told())
    assert world.report().acknowledged_end is None
    world.now_s += LIMIT_S
    late = world.report()
    assert late.complete and late.acknowledged_end is None


def test_the_end_is_not_known_while_an_instance_does_not_tell(world):
    world.query(5)
    world.report()
    world.confirm(TWO, told=told())
    world.confirm(THREE, told=None)
    report = world.report()
    assert report.complete and report.acknowledged_end is None


def test_the_end_is_not_known_while_the_holders_own_commits_are_unanswered(world):
    world.query(5)
    with world.commit_under_way(A):
        assert end_of(world) is None
    assert world.report().acknowledged_end == builders.position(1, 5)


def test_an_instance_that_is_listed_later_must_confirm_too(world):
    world.query(5)
    assert end_of(world) is not None
    world.list_instance(ids.InstanceId("four"))
    assert world.report().acknowledged_end is None


def test_a_process_that_has_started_lately_needs_later_queries(world):
    world.query(5, age_s=3.0)
    assert end_of(world, told(answered_s=2.9)) is None
    world.query(6, age_s=1.9)
    assert world.report().acknowledged_end is None
    world.query_later(7)
    assert world.report().acknowledged_end == builders.position(1, 7)


def test_a_restart_after_the_confirmation_takes_nothing_back(world):
    world.query(5, age_s=3.0)
    assert end_of(world, told(shown=7)) == builders.position(1, 7)
    world.confirm(TWO, told=told(answered_s=0.1))
    assert world.report().acknowledged_end == builders.position(1, 7)


def test_an_instance_that_was_removed_may_have_acknowledged_commits_for_a_while(world):
    world.remove_instance(THREE)
    world.pass_time(LIMIT_S - 0.1)
    world.query(5)
    world.query_later(6)
    world.report()
    world.confirm(TWO, told=told())
    assert world.report().acknowledged_end is None
    world.query_later(8)
    assert world.report().acknowledged_end == builders.position(1, 8)


def test_an_instance_that_came_and_went_between_two_checks_counts_as_removed(world):
    world.query(5)
    four = ids.InstanceId("four")
    world.list_instance(four)
    world.remove_instance(four)
    assert end_of(world) is None


@pytest.mark.parametrize(("answered_s", "end"), [(3.6, None), (4.3, builders.position(1, 7))])
def test_an_instance_that_is_listed_again_tells_of_its_own_process(world, answered_s, end):
    world.remove_instance(THREE)
    world.pass_time(0.1)
    world.list_instance(THREE)
    world.pass_time(1.0)
    world.query(5, age_s=0.6)
    world.query_later(7)
    assert end_of(world, three=told(answered_s=answered_s)) == end


def test_a_holder_that_does_not_follow_the_list_knows_of_nobody_that_was_removed(world):
    world.query(5)
    world.now_s += acknowledged_ends.MAX_GAP_S + 0.1
    world.directory.permission.note_current(world.now_s)
    world.updates.check()
    world.query_later(6)
    assert end_of(world) is None
    world.pass_time(LIMIT_S)
    world.query(7)
    world.query_later(8)
    assert world.report().acknowledged_end == builders.position(1, 8)


def test_a_holder_whose_records_are_old_knows_of_nobody_that_was_removed(world):
    world.query(5)
    for _ in range(30):
        world.now_s += 0.1
        world.updates.check()
    world.directory.permission.note_current(world.now_s)
    assert end_of(world) is None


@pytest.mark.parametrize(("late_s", "end"), [(-0.1, None), (0.1, builders.position(1, 6))])
def test_a_holder_that_has_just_started_knows_of_nobody_that_was_removed(monkeypatch, late_s, end):
    world = peer_world.World(monkeypatch)
    for offset, at_s in ((5, late_s), (6, late_s + acknowledged_end.DROPPED_S)):
        world.service.samples.note(
            acknowledged_end.Sample(
                sent_after_s=world.now_s + LIMIT_S + at_s,
                answered_by_s=world.now_s + LIMIT_S + at_s,
                position=builders.position(1, offset),
            )
        )
    world.now_s += LIMIT_S + 5.0
    world.directory.permission.note_current(world.now_s)
    world.updates.acknowledged_ends.checked_at_s = world.now_s
    assert end_of(world) == end


@pytest.mark.parametrize(("age_s", "end"), [(0.1, None), (0.0, builders.position(1, 7))])
def test_the_age_of_a_query_counts_from_when_the_instance_was_asked_first(world, age_s, end):
    """The answer may have been sent long before it arrives, and the query long before that."""
    world.remove_instance(THREE)
    world.pass_time(LIMIT_S + 0.2)
    world.report()
    world.confirm(THREE, told=told())
    asked_s = world.now_s
    limit_s = world.updates.acknowledged_ends.unheard_until_s()
    world.pass_time(2.0)
    world.confirm(TWO, told=told((asked_s - limit_s + age_s, 5)))
    world.query_later(7)
    assert world.report().acknowledged_end == end


@pytest.mark.parametrize(("answered_s", "end"), [(0.8, None), (1.0, builders.position(1, 7))])
def test_the_age_of_a_process_counts_from_the_arrival_of_its_answer(world, answered_s, end):
    world.query(5, age_s=0.5)
    world.report()
    world.pass_time(0.4)
    world.confirm(TWO, told=told(answered_s=answered_s))
    world.confirm(THREE, told=told())
    world.query_later(7)
    assert world.report().acknowledged_end == end


def test_a_late_answer_to_an_earlier_attempt_is_as_old_as_the_first_question(world):
    world.remove_instance(THREE)
    world.pass_time(LIMIT_S - 0.5)
    world.report()
    world.updates.end_hold(database_group.SERVICE)
    world.pass_time(1.0)
    world.report()
    world.confirm(TWO, told=told((0.0, 5)))
    world.query_later(7)
    assert world.report().acknowledged_end is None


def test_what_was_told_for_an_ended_change_does_not_count_for_a_later_one(world):
    world.query(5)
    assert end_of(world) is not None
    world.updates.end_hold(database_group.SERVICE)
    world.report()
    world.confirm(TWO, told=told())
    assert world.report().acknowledged_end is None


def test_an_acknowledged_commit_without_a_position_leaves_the_end_unknown(world):
    world.query(5)
    world.service.acknowledged.note_acknowledged(
        A, above=builders.position(1, 3), shown=None, request=ids.RequestId("r")
    )
    assert end_of(world) is None
    assert world.updates.acknowledged_ends.tell(world.service) is None


def test_a_commit_below_what_its_server_has_shown_before_is_told(world):
    """The server has started anew, with a shorter log, and its entry is not read yet."""
    world.service.acknowledged.note_shown(A, builders.position(1, 100))
    world.service.acknowledged.note_acknowledged(
        A,
        above=builders.position(1, 100),
        shown=builders.position(1, 6),
        request=ids.RequestId("r"),
    )
    world.announce(peer_world.promotion_of())
    assert world.peers.sent[-1].held[0].told.shown == builders.position(1, 6)


def test_commits_of_servers_that_are_gone_are_told(world):
    world.note_acknowledged(A, above=builders.position(1, 8))
    world.note_acknowledged(B, above=builders.position(2, 3))
    for server in (A, B):
        world.service.acknowledged.forget(server)
    world.service.acknowledged.review(C, world.now_s)
    world.announce(peer_world.promotion_of())
    assert world.peers.sent[-1].held[0].told.shown == builders.position(2, 4)


def test_an_instance_tells_queries_from_all_the_time_that_it_remembers(world):
    for age_s, offset in ((3.0, 5), (2.0, 6), (1.0, 7), (0.5, 8)):
        world.query(offset, age_s=age_s)
    world.announce(peer_world.promotion_of())
    found = world.peers.sent[-1].held[0].told
    assert found == told((10.0, 0), (3.0, 5), (2.0, 6), (0.5, 8), answered_s=60.0)


def test_an_instance_with_one_query_tells_it_once(world):
    world.announce(peer_world.promotion_of())
    assert world.peers.sent[-1].held[0].told == told((10.0, 0), answered_s=60.0)


@pytest.mark.parametrize("refusal", sorted(requests.MAY_HAVE_RUN, key=str) + [None], ids=str)
async def test_a_commit_whose_outcome_is_unknown_may_be_executed_later(world, monkeypatch, refusal):
    async def answer(link, timeout_s):
        if refusal is None:
            raise backend_errors.ConnectionBrokenError("closed")
        return requests.refuse(refusal, "")

    monkeypatch.setattr(database_group.FakeLink, "receive", answer)
    caller = world.open_session(requests.RouteKind.PRIMARY)
    await world.run(caller, proxy_world.WRITE)
    assert world.updates.acknowledged_ends.tell(world.service).answered_s == 0.0
    world.query(5)
    assert end_of(world) is None


async def test_a_commit_that_is_answered_but_not_passed_on_is_told(world, monkeypatch):
    monkeypatch.setattr(world.service.commits, "may_acknowledge", lambda commit: False)
    caller = world.open_session(requests.RouteKind.PRIMARY)
    await world.run(caller, proxy_world.WRITE)
    found = world.updates.acknowledged_ends.tell(world.service)
    assert found.shown == world.group.servers[A].position


def test_an_instance_without_the_service_tells_that_it_has_acknowledged_nothing(world):
    world.directory.services.clear()
    world.announce(peer_world.promotion_of())
    assert world.peers.sent[-1].held[0].told == told(answered_s=60.0)


def test_each_confirmation_of_several_is_sent_in_a_datagram_of_its_own(world):
    other = peer_world.promotion_of(service=ids.ServiceName("another"))
    world.announce(peer_world.promotion_of(), other)
    assert [len(update.held) for update in world.peers.sent] == [1, 1]


# The proof


def evidence(**changes):
    status = promotion.ServerStatus(
        role=promotion.Role.REPLICA, term=ids.Term(1), received=builders.position(1, 9)
    )
    known = promotion.Evidence(
        expected=frozenset({B, C}),
        paused={},
        receiving={B: status, C: status},
        commits_held=True,
        former_primary=promotion.FormerPrimary.NOT_LISTENING,
        acknowledged_end=builders.position(1, 9),
        recorded=B,
    )
    return dataclasses.replace(known, **changes)


def test_a_log_that_reaches_all_that_was_acknowledged_is_proved():
    assert promotion.proof(B, evidence()) is promotion.Proof.ALL_ACKNOWLEDGED
    longer = evidence(acknowledged_end=builders.position(1, 10))
    assert promotion.proof(B, longer) is None


def test_another_server_may_lack_what_the_recorded_one_has_taken_since():
    assert promotion.proof(C, evidence()) is None
    assert promotion.proof(B, evidence(recorded=None)) is None


def test_any_server_is_proved_while_the_record_lets_no_commits_pass():
    held = evidence(recorded=promotion.holding(B))
    assert promotion.proof(C, held) is promotion.Proof.ALL_ACKNOWLEDGED


def test_an_instance_that_has_told_and_is_removed_takes_nothing_back(world):
    """The primary has ended, so no later query can cover its removal from the list."""
    world.query(5, age_s=3.0)
    assert end_of(world) == builders.position(1, 5)
    world.remove_instance(THREE)
    assert world.report().acknowledged_end == builders.position(1, 5)


def test_an_instance_that_starts_after_commits_have_ended_takes_nothing_back(world):
    """It has read the record as it started, and its name was not listed before."""
    world.query(5, age_s=3.0)
    assert end_of(world) == builders.position(1, 5)
    world.now_s += 0.9
    world.directory.permission.note_current(world.now_s)
    world.updates.check()
    four = ids.InstanceId("four")
    world.list_instance(four)
    world.report()
    world.confirm(four, told=told(answered_s=0.5))
    assert world.report().acknowledged_end == builders.position(1, 5)
