"""What the lines of a hold of commits tell within the characters that collected logs keep."""

import logbook
import pytest

from mustardswitch import build, events, metrics
from mustardswitch.internal import clock, ids, promotion
from mustardswitch.proxy import claimed_changes, commit_holds, renewed_leads
from mustardswitch_standins import database_group
from tests.common import cut_lines, peer_world, proxy_world

SERVICE, FORMER, PROMOTED = cut_lines.SERVICE, cut_lines.FORMER, cut_lines.PROMOTED
HOLDER = cut_lines.HOLDER
B = peer_world.B


@pytest.fixture
def handler():
    with logbook.TestHandler() as handler:
        yield handler


# The begin of a hold


def _began(handler: logbook.TestHandler) -> dict[str, str]:
    (line,) = cut_lines.lines(handler, events.Event.COMMITS_HELD)
    fields = cut_lines.fields(line)
    assert fields["message"] == "commits held back"
    return fields


@pytest.mark.parametrize("source", [HOLDER, commit_holds.RECORDS])
@pytest.mark.parametrize("leaders", [[FORMER], [FORMER, None]])
def test_the_begin_of_a_hold_tells_the_last_leader_and_who_told_of_the_record(
    handler, leaders, source
):
    hold = commit_holds.CommitHold(service=SERVICE, registry=metrics.Registry())
    for leader in leaders:
        hold.update(requested=None, leader=leader)
    hold.note_source(PROMOTED, source)
    hold.update(requested=PROMOTED, leader=leaders[-1], revision=631)
    fields = _began(handler)
    assert (fields["service"], fields["server"]) == (SERVICE, PROMOTED)
    assert (fields["leader"], fields["by"]) == (FORMER, source)


def test_a_hold_that_another_instance_has_announced_names_it(handler, monkeypatch):
    peer_world.World(monkeypatch).announce(peer_world.promotion_of())
    assert _began(handler)["by"] == peer_world.TWO


def test_a_hold_that_was_read_from_the_store_says_so(handler, monkeypatch):
    world = peer_world.World(monkeypatch)
    world.directory.note_recorded_promotion(database_group.SERVICE, B, revision=20)
    assert _began(handler)["by"] == commit_holds.RECORDS


def test_a_hold_that_the_holder_announces_says_so(handler, monkeypatch):
    peer_world.World(monkeypatch).report()
    assert _began(handler)["by"] == commit_holds.OWN


async def test_a_hold_that_the_holder_begins_with_its_record_says_so(handler):
    world = proxy_world.World()
    world.group.servers[peer_world.A].up = False
    assert await claimed_changes.run_claimed(
        target=world.service,
        coordination=world.coordination,
        promoter=world.promoter,
        primary=peer_world.A,
    )
    assert _began(handler)["by"] == commit_holds.OWN


# The end of a hold


def _ended_hold(handler: logbook.TestHandler, monkeypatch, confirmation) -> dict[str, str]:
    now_s = clock.now_s()
    hold = commit_holds.CommitHold(service=SERVICE, registry=metrics.Registry())
    hold.update(requested=PROMOTED, leader=FORMER, revision=631)
    hold.note_asked(631, confirmation)
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 12.345)
    hold.update(requested=PROMOTED, leader=PROMOTED)
    (line,) = cut_lines.lines(handler, events.Event.COMMITS_RESUMED)
    return cut_lines.fields(line)


@pytest.mark.parametrize("confirmation", commit_holds.Confirmation)
def test_the_end_of_a_hold_tells_its_length_and_the_confirmation(
    handler, monkeypatch, confirmation
):
    fields = _ended_hold(handler, monkeypatch, confirmation)
    assert fields["message"] == "commits no longer held back"
    assert (fields["service"], fields["server"]) == (SERVICE, PROMOTED)
    assert fields["confirmed"] == confirmation.value
    assert float(fields["held_s"]) == pytest.approx(12.345, abs=0.02)
    assert handler.records[-1].extra["fields"]["build"] == build.build_id()


def _confirmed(handler: logbook.TestHandler, world: peer_world.World) -> str:
    world.directory.note_recorded_promotion(database_group.SERVICE, None, revision=99)
    world.directory.servers.note_confirmed(world.now_s, revision=99)
    world.service.note_leading(B, query_sent_at_s=world.now_s + 1, position=None)
    (line,) = cut_lines.lines(handler, events.Event.COMMITS_RESUMED)
    return cut_lines.fields(line)["confirmed"]


def test_an_instance_that_confirms_a_hold_says_so_when_it_ends(handler, monkeypatch):
    world = peer_world.World(monkeypatch)
    world.announce(peer_world.promotion_of())
    assert _confirmed(handler, world) == "yes"


def test_a_hold_that_was_only_read_from_the_store_was_not_confirmed(handler, monkeypatch):
    world = peer_world.World(monkeypatch)
    world.directory.note_recorded_promotion(database_group.SERVICE, B, revision=20)
    assert _confirmed(handler, world) == "no"


def test_a_hold_that_an_instance_without_the_store_has_told_was_not_confirmed(handler, monkeypatch):
    world = peer_world.World(monkeypatch)
    world.announce(peer_world.promotion_of(), stale=True)
    assert _confirmed(handler, world) == "no"


def test_a_confirmation_for_an_earlier_record_does_not_count(handler, monkeypatch):
    world = peer_world.World(monkeypatch)
    world.announce(peer_world.promotion_of())
    monkeypatch.setattr(world.service.commits, "is_clear_for", lambda promoted: False)
    world.announce(peer_world.promotion_of(revision=peer_world.REVISION + 1))
    assert _confirmed(handler, world) == "no"


def test_the_holder_says_that_it_is_the_one(handler, monkeypatch):
    world = peer_world.World(monkeypatch)
    world.report()
    assert _confirmed(handler, world) == "self"


# A former primary that leads again


def _hold() -> commit_holds.CommitHold:
    hold = commit_holds.CommitHold(service=SERVICE, registry=metrics.Registry())
    hold.update(requested=None, leader=FORMER, term=ids.Term(122))
    hold.update(requested=PROMOTED, leader=FORMER, term=ids.Term(122), revision=631)
    return hold


def _terms(handler: logbook.TestHandler) -> list[str]:
    lines = cut_lines.lines(handler, events.Event.FORMER_LEADS_AGAIN)
    return [cut_lines.fields(line)["terms"] for line in lines]


def test_a_former_primary_that_leads_again_tells_both_terms_and_the_time_since_the_hold_began(
    handler, monkeypatch
):
    now_s = clock.now_s()
    hold = _hold()
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 12.345)
    hold.update(requested=PROMOTED, leader=None)
    hold.update(requested=PROMOTED, leader=FORMER, term=ids.Term(123))
    (line,) = cut_lines.lines(handler, events.Event.FORMER_LEADS_AGAIN)
    fields = cut_lines.fields(line)
    assert fields["level"] == "warning"
    assert fields["message"] == "leader changed back"
    assert (fields["service"], fields["server"]) == (SERVICE, FORMER)
    assert fields["terms"] == "122 123"
    assert float(fields["after_s"]) == pytest.approx(12.345, abs=0.02)
    assert hold.registry.total("former_primary_leads_again", SERVICE) == 1


@pytest.mark.parametrize("confirmation", commit_holds.Confirmation)
def test_the_end_of_a_hold_tells_that_a_former_primary_led_meanwhile(
    handler, monkeypatch, confirmation
):
    now_s = clock.now_s()
    hold = _hold()
    hold.note_asked(631, confirmation)
    hold.update(requested=PROMOTED, leader=FORMER, term=ids.Term(123))
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 123.456)
    hold.update(requested=PROMOTED, leader=PROMOTED, term=ids.Term(124))
    (line,) = cut_lines.lines(handler, events.Event.COMMITS_RESUMED)
    fields = cut_lines.fields(line)
    assert fields["confirmed"] == f"{confirmation.value} again"
    assert float(fields["held_s"]) == pytest.approx(123.456, abs=0.02)


def test_a_former_primary_that_leads_on_in_its_term_does_not_lead_again(handler):
    hold = _hold()
    hold.update(requested=PROMOTED, leader=FORMER, term=ids.Term(122))
    hold.update(requested=PROMOTED, leader=FORMER)
    hold.update(requested=PROMOTED, leader=PROMOTED, term=ids.Term(123))
    assert _terms(handler) == []
    (line,) = cut_lines.lines(handler, events.Event.COMMITS_RESUMED)
    assert cut_lines.fields(line)["confirmed"] == "no"


def test_a_later_term_is_told_once_it_is_known(handler):
    hold = _hold()
    hold.update(requested=PROMOTED, leader=None)
    for term in (None, None, ids.Term(123), ids.Term(123), None):
        hold.update(requested=PROMOTED, leader=FORMER, term=term)
    assert _terms(handler) == ["122 ?", "122 123"]
    assert hold.registry.total("former_primary_leads_again", SERVICE) == 1


def test_the_lines_about_a_former_primary_are_bounded(handler):
    hold = _hold()
    for term in range(123, 140):
        hold.update(requested=PROMOTED, leader=FORMER, term=ids.Term(term))
    assert len(_terms(handler)) == renewed_leads.MAX_LINES


def test_an_instance_sees_the_former_primary_lead_again_by_its_status(handler, monkeypatch):
    world = peer_world.World(monkeypatch)
    former = world.group.primary
    for term in (1, 2):
        status = promotion.ServerStatus(
            role=promotion.Role.PRIMARY, term=ids.Term(term), received=former.position
        )
        world.now_s += 1.0
        world.service._note_status(world.service.servers[former.name], status, world.now_s)
        world.announce(peer_world.promotion_of())
    assert _terms(handler) == ["1 2"]
