"""What the events and metrics of a change of primary tell."""

import asyncio

import logbook
import pytest

from mustardswitch import events, metrics
from mustardswitch.internal import change_log, clock, ids, positions, promotion, registration_list
from mustardswitch.peers import datagrams
from mustardswitch.proxy import (
    acknowledged,
    claimed_changes,
    commit_holds,
    record_source,
    requests,
    takeover_report,
)
from mustardswitch_standins import database_group
from tests.common import proxy_world

A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
SERVICE = database_group.SERVICE
LAST = ids.RequestId("last")


class Log:
    """The events that were logged, with their fields as text."""

    def __init__(self, handler: logbook.TestHandler) -> None:
        self.handler = handler

    def fields(self, event: events.Event) -> list[dict[str, str]]:
        """Return the fields of each line of an event."""
        return [
            {name: str(value) for name, value in record.extra["fields"].items()}
            for record in self.handler.records
            if record.extra["event"] is event
        ]


@pytest.fixture
def log():
    with logbook.TestHandler() as handler:
        yield Log(handler)


def _position(offset: int, *, term: int = 1) -> positions.Position:
    return positions.Position(term=ids.Term(term), offset=ids.Offset(offset))


async def _take_over(world: proxy_world.World, primary: ids.ServerId | None = A) -> bool:
    return await claimed_changes.run_claimed(
        target=world.service,
        coordination=world.coordination,
        promoter=world.promoter,
        primary=primary,
    )


# The holder of the claim


async def test_a_takeover_names_the_servers_that_it_counts_and_the_age_of_their_list(log):
    world = proxy_world.World()
    world.directory.servers.replace(
        {entry.server: entry for entry in world.group.entries() if entry.server != C},
        clock.now_s(),
    )
    world.directory.refresh()
    world.directory.servers.note_confirmed(clock.now_s() - 2.0, revision=17)
    world.group.servers[A].up = False
    await _take_over(world)
    (started,) = log.fields(events.Event.TAKEOVER_STARTED)
    assert (started["listed"], started["expired"]) == (f"{A}, {B}", C)
    assert started["list_revision"] == "17"
    assert 2.0 <= float(started["list_age_s"]) < 3.0


async def test_a_promotion_request_tells_each_answer_and_the_ends_of_both_logs(log):
    world = proxy_world.World()
    world.group.servers[B].not_receiving = True
    world.group.commit(world.group.primary, "x")
    world.group.servers[A].leaving = True
    world.list_servers()
    assert await _take_over(world)
    (ordered,) = log.fields(events.Event.PROMOTION_ORDERED)
    assert (ordered["end"], ordered["primary"], ordered["primary_end"]) == ("1:1", A, "1:1")
    answers = {each.partition("=")[0]: each for each in ordered["answers"].split(", ")}
    assert answers[A].startswith(f"{A}=replica/1/1:1/unpaused/")
    assert answers[B].startswith(f"{B}=replica/2/0:0/paused/")
    assert ordered["unanswered"] == ""


async def test_a_takeover_that_promotes_nobody_tells_who_gave_no_answer(log, monkeypatch):
    monkeypatch.setattr("mustardswitch.proxy.end_of_commits.PAUSE_TIMEOUT_S", 0.1)
    world = proxy_world.World()
    world.group.servers[A].up = world.group.servers[C].up = False
    assert not await _take_over(world)
    (ended,) = log.fields(events.Event.TAKEOVER_ENDED)
    assert ended["unanswered"] == f"{A}, {C}"
    assert ended["answers"].startswith(f"{B}=replica/")
    assert ended["first_end"] == "None"


async def test_a_takeover_tells_where_the_log_ended_with_which_the_new_primary_began(log):
    world = proxy_world.World()
    world.group.commit(world.group.primary, "x")
    world.group.servers[A].up = False
    assert await _take_over(world)
    (ended,) = log.fields(events.Event.TAKEOVER_ENDED)
    assert (ended["first_end"], ended["first_term"]) == ("1:1", "2")


@pytest.mark.parametrize("silent, kind", [(False, "primary_answered"), (True, "primary_silent")])
async def test_promotions_are_counted_by_whether_the_primary_answered(silent, kind):
    world = proxy_world.World()
    world.group.servers[A].up = not silent
    assert await _take_over(world)
    assert world.directory.registry.total("promotions_requested", kind) == 1


async def test_a_promotion_beside_an_unpaused_server_is_counted_as_such():
    world = proxy_world.World()
    world.group.servers[C].silent = True
    world.group.servers[A].leaving = True
    world.list_servers()
    assert await _take_over(world)
    kind = "primary_answered_not_all_paused"
    assert world.directory.registry.total("promotions_requested", kind) == 1


async def test_the_age_of_the_list_counts_from_the_answer_of_the_store():
    world = proxy_world.World()
    source = record_source.RecordSource(directory=world.directory)
    listing = change_log.Listing(items=(), revision=9)
    source.feed.publish(listing, confirmed_at_s=clock.now_s() - 1.5)
    source.note_recovery(clock.now_s())
    assert world.directory.servers.age_s(clock.now_s()) >= 1.5
    assert world.directory.servers.revision == 9


# Commits that are held back


async def test_a_hold_tells_the_revision_of_the_record_and_how_many_writes_waited(log):
    world = proxy_world.World()
    caller = world.open_session(requests.RouteKind.PRIMARY)
    await world.run(caller, proxy_world.WRITE)
    world.directory.note_recorded_promotion(SERVICE, B, revision=40)
    writing = asyncio.create_task(world.run(caller, proxy_world.WRITE))
    await asyncio.sleep(0.1)
    world.directory.note_recorded_promotion(SERVICE, None, revision=41)
    assert (await writing).succeeded
    (held,) = log.fields(events.Event.COMMITS_HELD)
    assert (held["server"], held["leader"], held["revision"]) == (B, A, "40")
    (resumed,) = log.fields(events.Event.COMMITS_RESUMED)
    assert (resumed["waited"], resumed["aborted"]) == ("1", "0")
    assert 0.1 <= float(resumed["held_s"]) < 1.0


async def test_a_hold_tells_how_many_transactions_were_aborted(log):
    world = proxy_world.World()
    caller = world.open_session(requests.RouteKind.PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    await world.run(caller, proxy_world.WRITE)
    world.directory.note_recorded_promotion(SERVICE, B, revision=40)
    answer = await world.run(caller, requests.Commit())
    assert answer.refusal is requests.Refusal.ABORTED
    world.directory.note_recorded_promotion(SERVICE, None, revision=41)
    assert log.fields(events.Event.COMMITS_RESUMED)[0]["aborted"] == "1"


def _hold(registry: metrics.Registry) -> commit_holds.CommitHold:
    registrations = registration_list.RegistrationList()
    return commit_holds.CommitHold(service=SERVICE, registry=registry, registrations=registrations)


def test_a_hold_tells_whether_the_store_was_lost_meanwhile(log):
    hold = _hold(metrics.Registry())
    hold.update(requested=B, leader=A, revision=40)
    hold.registrations.note_outage()
    hold.registrations.note_recovery(clock.now_s())
    hold.update(requested=B, leader=B)
    assert log.fields(events.Event.COMMITS_HELD)[0]["store_lost"] == "False"
    assert log.fields(events.Event.COMMITS_RESUMED)[0]["store_lost"] == "True"


def test_the_seconds_of_a_hold_are_counted_and_a_gauge_shows_it(monkeypatch):
    registry = metrics.Registry()
    hold = _hold(registry)
    now_s = clock.now_s()
    hold.update(requested=B, leader=A)
    assert 'mustardswitch_commits_held{kind="orders"} 1' in registry.render()
    monkeypatch.setattr(clock, "now_s", lambda: now_s + 1.5)
    hold.update(requested=B, leader=B)
    assert registry.total("commits_held_seconds", SERVICE) == pytest.approx(1.5, abs=0.1)
    assert "mustardswitch_commits_held{" not in registry.render()


# Commits acknowledged before a change


def _status(end: positions.Position, *, term: int) -> promotion.ServerStatus:
    return promotion.ServerStatus(role=promotion.Role.PRIMARY, term=ids.Term(term), received=end)


def _commits(*, above: int, shown: int) -> acknowledged.AcknowledgedCommits:
    """Return what an instance knows after A has acknowledged a commit in term 1."""
    commits = acknowledged.AcknowledgedCommits(service=SERVICE, registry=metrics.Registry())
    commits.note_shown(A, _position(above))
    commits.note_acknowledged(A, above=commits.shown_by(A), shown=_position(shown), request=LAST)
    return commits


async def test_a_change_names_the_last_commit_that_was_acknowledged_before_it(log):
    world = proxy_world.World()
    caller = world.open_session(requests.RouteKind.PRIMARY)
    for _ in range(3):
        await world.run(caller, proxy_world.WRITE)
    world.group.servers[A].up = False
    assert await _take_over(world)
    leader = world.group.primary.name
    world.service.acknowledged.review(leader, clock.now_s())
    (before,) = log.fields(events.Event.COMMITS_BEFORE_CHANGE)
    assert (before["before"], before["above"], before["shown"]) == (A, "1:2", "1:3")
    assert before["request"] == "r3"
    assert (before["server"], before["end"], before["comparison"]) == (leader, "1:3", "held")
    assert log.fields(events.Event.COMMITS_MISSING) == []


async def test_the_commits_of_transactions_count_as_acknowledged(log):
    world = proxy_world.World()
    caller = world.open_session(requests.RouteKind.PRIMARY)
    await world.run(caller, requests.Begin(read_only=False))
    await world.run(caller, proxy_world.WRITE)
    assert (await world.run(caller, requests.Commit())).succeeded
    assert world.service.acknowledged.latest[A].shown == _position(1)


async def test_a_new_primary_without_an_acknowledged_commit_is_an_error(log):
    """The incident: a server that is not listed confirms the last commits."""
    world = proxy_world.World()
    caller = world.open_session(requests.RouteKind.PRIMARY)
    await world.run(caller, proxy_world.WRITE)
    world.group.start_server(zone="d")
    world.group.servers[B].not_receiving = world.group.servers[C].not_receiving = True
    for _ in range(3):
        assert (await world.run(caller, proxy_world.WRITE)).succeeded
    world.group.servers[A].up = False
    assert await _take_over(world)
    assert len(world.group.lost) == 3
    world.service.acknowledged.review(world.group.primary.name, clock.now_s())
    (missing,) = log.fields(events.Event.COMMITS_MISSING)
    assert (missing["service"], missing["before"]) == (SERVICE, A)
    assert (missing["server"], missing["end"]) == (world.group.primary.name, "1:1")
    assert (missing["above"], missing["shown"], missing["missing"]) == ("1:3", "1:4", "3")
    assert world.directory.registry.total("commits_missing", SERVICE) == 3


def test_a_shorter_log_with_entries_of_the_new_term_is_a_warning(log):
    commits = _commits(above=30, shown=31)
    commits.note_shown(B, _position(28, term=2))
    commits.review(B, clock.now_s())
    (missing,) = log.fields(events.Event.COMMITS_MISSING_BY_OFFSET)
    assert (missing["end"], missing["missing"]) == ("2:28", "3")
    assert commits.registry.total("commits_missing_by_offset", SERVICE) == 3


def test_a_log_that_may_lack_only_commits_of_others_is_no_alarm(log):
    commits = _commits(above=30, shown=40)
    commits.note_status(B, _status(_position(31), term=2))
    commits.review(B, clock.now_s())
    assert log.fields(events.Event.COMMITS_MISSING) == []
    assert len(log.fields(events.Event.COMMITS_POSSIBLY_MISSING)) == 1
    assert events.Event.COMMITS_POSSIBLY_MISSING.value.level == logbook.INFO


@pytest.mark.parametrize("term, end", [(1, _position(12)), (2, _position(40, term=2))])
def test_a_former_primary_and_a_longer_log_are_not_reported_as_losses(log, term, end):
    commits = _commits(above=30, shown=40)
    commits.note_status(B, _status(end, term=term))
    commits.review(B, clock.now_s())
    assert len(log.fields(events.Event.COMMITS_BEFORE_CHANGE)) == 1
    assert not any(log.fields(each) for each in acknowledged.EVENTS.values())


def test_commits_that_the_new_primary_takes_do_not_hide_the_change(log):
    commits = _commits(above=30, shown=31)
    commits.note_status(B, _status(_position(28), term=2))
    commits.note_acknowledged(B, above=_position(28), shown=_position(29, term=2), request=LAST)
    commits.review(B, clock.now_s())
    assert len(log.fields(events.Event.COMMITS_MISSING)) == 1


def test_a_change_is_reported_again_at_most_once_a_second_while_late_answers_come(log):
    commits = _commits(above=30, shown=31)
    commits.note_status(B, _status(_position(90), term=2))
    now_s = clock.now_s()
    for step in range(25):
        commits.note_acknowledged(A, above=_position(31), shown=_position(32 + step), request=LAST)
        commits.review(B, now_s + 0.1 * step)
    lines = log.fields(events.Event.COMMITS_BEFORE_CHANGE)
    assert [line["shown"] for line in lines] == ["1:32", "1:42", "1:52"]


async def test_the_watch_reports_a_change_of_primary(log):
    world = proxy_world.World()
    caller = world.open_session(requests.RouteKind.PRIMARY)
    await world.run(caller, proxy_world.WRITE)
    world.group.servers[A].leaving = True
    world.list_servers()
    watching = asyncio.create_task(world.watch.run())
    try:
        async with asyncio.timeout(5.0):
            while not log.fields(events.Event.COMMITS_BEFORE_CHANGE):
                await asyncio.sleep(0.02)
    finally:
        watching.cancel()


async def test_one_short_line_tells_what_proved_a_promotion(log):
    world = proxy_world.World()
    world.group.servers[A].leaving = True
    world.list_servers()
    assert await _take_over(world)
    [proved] = log.fields(events.Event.PROMOTION_PROVED)
    successor = world.group.primary.name
    assert proved["summary"].startswith(f"primary_stopped; former {A} answered 0.")
    assert f"; {successor}; " in proved["summary"]
    assert all(f"{name}=" in proved["summary"] for name in (A, B, C))
    assert len(proved["summary"]) <= takeover_report.MAX_SUMMARY


async def test_a_line_cut_at_200_characters_tells_the_proof_and_the_former_primary(log):
    """Collected lines were cut right before the word that tells the hypotheses apart."""
    world = proxy_world.World()
    world.group.servers[A].leaving = True
    world.list_servers()
    assert await _take_over(world)
    told = datagrams.PeerUpdate(
        instance=ids.InstanceId("two"),
        new_primary=datagrams.PrimaryRef(service=SERVICE, server=world.group.primary.name),
        summary=world.service.promotion_summary,
    )
    world.directory.receive_update(told)
    proving = (events.Event.PROMOTION_PROVED, events.Event.PROMOTION_TOLD)
    records = [each for each in log.handler.records if each.extra["event"] in proving]
    lines = [events.format_record(record, None)[:200] for record in records]
    assert len(lines) == len(proving)
    for line in lines:
        assert "primary_stopped" in line[:150] and f"former {A} answered" in line
