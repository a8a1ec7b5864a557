"""The first 200 characters of a line, which is what collected logs keep, tell what it is for."""

import dataclasses
import re
import time

import logbook
import pytest

from mustardswitch import build, events, metrics
from mustardswitch.internal import clock, ids, positions, promotion
from mustardswitch.peers import datagrams
from mustardswitch.proxy import (
    acknowledged,
    claimed_changes,
    directory,
    failover_watch,
    leader_changes,
    peer_updates,
    ports,
    requests,
)
from mustardswitch_standins import database_group
from tests.common import cut_lines, peer_world, proxy_world

SERVICE, FORMER, PROMOTED = cut_lines.SERVICE, cut_lines.FORMER, cut_lines.PROMOTED
HOLDER = cut_lines.HOLDER
LAST = ids.RequestId("q281473054070096-123")
A, B, C = peer_world.A, peer_world.B, peer_world.C


@pytest.fixture
def handler():
    with logbook.TestHandler() as handler:
        yield handler


def _position(offset: int, *, term: int = 12) -> positions.Position:
    return positions.Position(term=ids.Term(term), offset=ids.Offset(offset))


def _summary(handler: logbook.TestHandler) -> str:
    """Return the whole summary of the promotion that was proved."""
    (record,) = [
        each for each in handler.records if each.extra["event"] is events.Event.PROMOTION_PROVED
    ]
    return record.extra["fields"]["summary"]


# Another leader


@pytest.mark.parametrize(
    "word, code",
    [("primary_stopped", "stopped")]
    + [
        (f"all_paused/{state.value}", leader_changes.PROOF_CODES[f"all_paused/{state.value}"])
        for state in promotion.FormerPrimary
        if state.has_ended
    ],
)
def test_a_new_leader_tells_its_term_what_proved_it_and_who_promoted_it(handler, word, code):
    changes = leader_changes.LeaderChanges(service=SERVICE)
    changes.log(FORMER, term=ids.Term(122))
    changes.note_told(PROMOTED, holder=HOLDER)
    changes.note_told(PROMOTED, holder=HOLDER, summary=f"{word}; former {FORMER} answered 0.3")
    changes.log(PROMOTED, term=ids.Term(123))
    line = cut_lines.lines(handler, events.Event.LEADER_CHANGED)[-1]
    fields = cut_lines.fields(line)
    assert fields["message"] == "leader changed"
    assert (fields["service"], fields["server"]) == (SERVICE, PROMOTED)
    assert fields["from"] == f"{FORMER} 123 {code} {HOLDER}"


def test_the_first_leader_of_an_instance_tells_the_build(handler):
    leader_changes.LeaderChanges(service=SERVICE).log(PROMOTED, term=ids.Term(123))
    (line,) = cut_lines.lines(handler, events.Event.LEADER_CHANGED)
    assert cut_lines.fields(line)["from"] == "None 123 ? ?"
    assert cut_lines.fields(line)["build"] == build.build_id()


def test_what_was_told_of_one_promotion_is_not_told_of_the_next_one(handler):
    changes = leader_changes.LeaderChanges(service=SERVICE)
    changes.note_told(PROMOTED, holder=HOLDER, summary="primary_stopped; former x")
    for leader in (PROMOTED, None, PROMOTED, FORMER, PROMOTED):
        changes.log(leader, term=None)
    told = [
        cut_lines.fields(line)["from"]
        for line in cut_lines.lines(handler, events.Event.LEADER_CHANGED)
    ]
    known, unknown = f"? stopped {HOLDER}", "? ? ?"
    assert told == [
        f"None {known}",
        f"{PROMOTED} {unknown}",
        f"None {known}",
        f"{PROMOTED} {unknown}",
        f"{FORMER} {unknown}",
    ]


def test_an_announcement_tells_who_promotes_before_the_proof_is_known(handler, monkeypatch):
    world = peer_world.World(monkeypatch)
    world.announce(peer_world.promotion_of())
    world.service.note_leading(B, query_sent_at_s=world.now_s + 1, position=None)
    line = cut_lines.lines(handler, events.Event.LEADER_CHANGED)[-1]
    assert cut_lines.fields(line)["from"].split()[1:] == ["?", "?", peer_world.TWO]


def test_the_holder_tells_the_proof_once_before_the_promotion_takes_effect(handler, monkeypatch):
    world, receiver = peer_world.World(monkeypatch), peer_world.World(monkeypatch)
    proved = datagrams.ProvedPromotion(service=database_group.SERVICE, server=B, end=_position(30))
    world.report()
    world.service.promotion_summary = "all_paused/gone; former server-a connected 4.0"
    world.service.note_proved(proved, summary=world.service.promotion_summary)
    world.report()
    world.report()
    (told,) = [each for each in world.peers.sent if each.proved is not None]
    told = datagrams.decode(datagrams.encode(dataclasses.replace(told, instance=peer_world.TWO)))
    receiver.updates.receive(told)
    receiver.service.note_leading(B, query_sent_at_s=receiver.now_s + 1, position=None)
    line = cut_lines.lines(handler, events.Event.LEADER_CHANGED)[-1]
    assert cut_lines.fields(line)["from"].split()[1:] == ["?", "p:gone", peer_world.TWO]


class Linked(proxy_world.World):
    """An instance whose datagrams another one receives at once."""

    def __init__(self, name: str, other: str) -> None:
        super().__init__()
        self.other: Linked | None = None
        self.directory.instance = ids.InstanceId(name)
        self.directory.instances.entries.clear()
        for each in (name, other):
            peer = directory.Peer(zone=ids.ZoneName("a"), address=peer_world.address_of(each))
            self.directory.instances.put(ids.InstanceId(each), peer)
        self.directory.instances.note_recovery(clock.now_s() - peer_world.LIMIT_S)
        self.updates = peer_updates.PeerUpdates(directory=self.directory, peers=self)
        self.coordination.hold_commits = self._hold_commits

    def _hold_commits(self, claim, server, *, revision, recorded_at_s, stop=None):
        promoted = datagrams.RecordedPromotion(
            service=claim.service, server=server, revision=revision
        )
        order = None
        if stop is not None:
            order = datagrams.StopOrder(service=claim.service, server=stop.server, term=stop.term)
        return self.updates.hold_commits(promoted, recorded_at_s=recorded_at_s, order=order)

    def send(self, update: datagrams.PeerUpdate, addresses=None) -> None:
        """Pass an update to the other instance."""
        self.other.updates.receive(datagrams.decode(datagrams.encode(update)))


@pytest.mark.parametrize("runs, proof", [(True, "stopped"), (False, "p:ended")])
async def test_an_instance_beside_the_holder_tells_the_whole_change(handler, runs, proof):
    holder, beside = Linked("one", "two"), Linked("two", "one")
    holder.other, beside.other = beside, holder
    for world in (holder, beside):
        world.directory.refresh()
    holder.group.servers[A].up = beside.group.servers[A].up = runs
    holder.group.servers[A].leaving = runs
    holder.list_servers()
    holder.promoter.effect_delay_s = 0.2
    assert await claimed_changes.run_claimed(
        target=holder.service,
        coordination=holder.coordination,
        promoter=holder.promoter,
        primary=A,
    )
    promoted = holder.group.primary.name
    handler.records.clear()
    position = holder.group.servers[promoted].position
    beside.service.note_leading(promoted, query_sent_at_s=clock.now_s() + 1, position=position)
    (leads,) = cut_lines.lines(handler, events.Event.LEADER_CHANGED)
    (resumed,) = cut_lines.lines(handler, events.Event.COMMITS_RESUMED)
    assert cut_lines.fields(leads)["from"].split()[2:] == [proof, "one"]
    assert cut_lines.fields(resumed)["confirmed"] == "yes"
    assert beside.service.acknowledged.promoted.end == position


# Commits that a new primary lacks


def _commits(*, above: int, shown: int) -> acknowledged.AcknowledgedCommits:
    """Return what an instance knows after the former primary has acknowledged a commit."""
    commits = acknowledged.AcknowledgedCommits(service=SERVICE, registry=metrics.Registry())
    commits.note_shown(FORMER, _position(above))
    commits.note_acknowledged(
        FORMER, above=commits.shown_by(FORMER), shown=_position(shown), request=LAST
    )
    return commits


def _lost(handler: logbook.TestHandler) -> dict[str, str]:
    (line,) = cut_lines.lines(handler, events.Event.COMMITS_MISSING)
    return cut_lines.fields(line)


def test_lost_commits_tell_their_position_and_the_end_of_the_log(handler):
    commits = _commits(above=123_456, shown=123_457)
    commits.note_shown(PROMOTED, _position(123_400), term=ids.Term(13))
    commits.review(PROMOTED, clock.now_s())
    fields = _lost(handler)
    assert fields["level"] == "error"
    assert (fields["service"], fields["server"]) == (SERVICE, PROMOTED)
    assert (fields["above"], fields["end"]) == ("12:123456", "12:123400")
    assert fields["missing"] == "57"
    assert commits.registry.total("commits_missing", SERVICE) == 57


@pytest.mark.parametrize("first_seen", [123_410, 123_500])
def test_commits_are_lost_although_the_first_answer_seen_has_entries_of_the_new_term(
    handler, first_seen
):
    """Without the end at the promotion, a log that has grown beyond them hides the loss."""
    commits, now_s = _commits(above=123_456, shown=123_457), clock.now_s()
    commits.note_promoted(PROMOTED, _position(123_400), now_s=now_s)
    commits.review(FORMER, now_s + 0.1)
    commits.note_shown(PROMOTED, _position(first_seen, term=13), term=ids.Term(13))
    commits.review(PROMOTED, now_s + 1.1)
    assert (_lost(handler)["above"], _lost(handler)["end"]) == ("12:123456", "12:123400")
    assert commits.registry.total("commits_missing", SERVICE) == 57


def test_commits_are_lost_by_a_server_that_leads_again_without_them(handler):
    commits = _commits(above=30, shown=31)
    commits.forget(FORMER)
    commits.note_shown(FORMER, _position(12), term=ids.Term(13))
    commits.review(FORMER, clock.now_s())
    assert (_lost(handler)["above"], _lost(handler)["end"]) == ("12:30", "12:12")


def test_a_server_that_leads_again_with_its_log_has_lost_nothing(handler):
    commits = _commits(above=30, shown=31)
    commits.note_shown(FORMER, _position(31), term=ids.Term(13))
    commits.review(FORMER, clock.now_s())
    assert not any(cut_lines.lines(handler, each) for each in acknowledged.EVENTS.values())


def test_a_log_that_reaches_only_what_may_be_unacknowledged_is_no_error(handler):
    commits, now_s = _commits(above=30, shown=40), clock.now_s()
    commits.note_promoted(PROMOTED, _position(31), now_s=now_s)
    commits.note_shown(PROMOTED, _position(50, term=13), term=ids.Term(13))
    commits.review(PROMOTED, now_s + 1.0)
    assert cut_lines.lines(handler, events.Event.COMMITS_MISSING) == []
    assert len(cut_lines.lines(handler, events.Event.COMMITS_POSSIBLY_MISSING)) == 1


def test_the_end_of_an_earlier_promotion_is_not_taken_for_that_of_the_next_one(handler):
    commits, now_s = _commits(above=30, shown=40), clock.now_s()
    commits.note_promoted(PROMOTED, _position(20), now_s=now_s)
    commits.review(FORMER, now_s + acknowledged.PROMOTED_END_S)
    commits.note_shown(PROMOTED, _position(50, term=13), term=ids.Term(13))
    commits.review(PROMOTED, now_s + acknowledged.PROMOTED_END_S + 1.0)
    assert cut_lines.lines(handler, events.Event.COMMITS_MISSING) == []


def test_the_end_of_a_promotion_counts_until_another_server_leads(handler):
    commits, now_s = _commits(above=30, shown=40), clock.now_s()
    commits.note_promoted(PROMOTED, _position(35), now_s=now_s)
    commits.review(PROMOTED, now_s + 1.0)
    commits.review(PROMOTED, now_s + 60.0)
    assert commits.promoted is not None
    commits.review(FORMER, now_s + 60.1)
    assert commits.promoted is None


# The line of the holder


async def test_the_holder_tells_what_the_former_primary_was_and_what_it_knows(handler):
    world = proxy_world.World()
    caller = world.open_session(requests.RouteKind.PRIMARY)
    for _ in range(3):
        await world.run(caller, proxy_world.WRITE)
    world.coordination.hold_report = ports.HoldReport(complete=True, above=_position(2, term=1))
    world.group.servers[A].up = False
    assert await claimed_changes.run_claimed(
        target=world.service,
        coordination=world.coordination,
        promoter=world.promoter,
        primary=A,
    )
    (line,) = cut_lines.lines(handler, events.Event.PROMOTION_PROVED)
    assert f'"summary": "all_paused/not_listening; former {A} not_listening ' in line
    pattern = r"; held [0-9.]+s age ([0-9.]+)s above (\S+) shown ([^;]+);"
    told = re.search(pattern, _summary(handler))
    assert float(told[1]) >= failover_watch.RECENT_START_S
    assert (told[2], told[3]) == ("1:2", "1:3")


# Servers that are listed


def test_a_listed_server_tells_how_long_it_has_run(handler):
    world = proxy_world.World()
    world.group.start_server(zone="d")
    entry = world.group.entries()[-1]
    entry = dataclasses.replace(
        entry,
        server=PROMOTED,
        started_ms=int(1000 * (time.time() - 86_400)),
        revision=631,
        role=promotion.Role.REPLICA,
    )
    world.service.name = SERVICE
    world.service.apply([entry])
    fields = cut_lines.fields(cut_lines.lines(handler, events.Event.SERVER_LISTED)[-1])
    assert (fields["service"], fields["server"], fields["revision"]) == (SERVICE, PROMOTED, "631")
    assert float(fields["age_s"]) == pytest.approx(86_400, abs=5)
