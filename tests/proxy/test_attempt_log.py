"""What an attempt to change a primary tells of its requests, and of changes against its orders."""

import logbook
import pytest

from mustardswitch import events, metrics
from mustardswitch.internal import clock, ids, positions, promotion
from mustardswitch.proxy import attempt_log, claimed_changes, ports, takeover
from mustardswitch_standins import database_group
from tests.common import cut_lines, peer_world, proxy_world

SERVICE, FORMER, PROMOTED = cut_lines.SERVICE, cut_lines.FORMER, cut_lines.PROMOTED
OTHER = ids.ServerId("i-5a3ceaa8")
REPLICA, PRIMARY = promotion.Role.REPLICA, promotion.Role.PRIMARY
END = 1_234_567
A, B, C = peer_world.A, peer_world.B, peer_world.C


@pytest.fixture
def handler():
    with logbook.TestHandler() as handler:
        yield handler


def _position(offset: int, *, term: int = 122) -> positions.Position:
    return positions.Position(term=ids.Term(term), offset=ids.Offset(offset))


def _status(
    *,
    term: int = 123,
    role: promotion.Role = REPLICA,
    paused: bool = False,
    end: positions.Position | None = None,
) -> promotion.ServerStatus:
    return promotion.ServerStatus(
        role=role, term=ids.Term(term), received=end or _position(END), paused=paused
    )


def _fields(handler: logbook.TestHandler, event: events.Event) -> list[dict[str, str]]:
    return [cut_lines.fields(line) for line in cut_lines.lines(handler, event)]


class Attempt:
    """The log of an attempt on a clock of its own; the record is written as it begins."""

    def __init__(self, monkeypatch) -> None:
        self.now_s = self.recorded_at_s = 1000.0
        monkeypatch.setattr(clock, "now_s", lambda: self.now_s)
        self.registry = metrics.Registry()
        self.log = attempt_log.AttemptLog(service=SERVICE, registry=self.registry)

    def finish(self) -> None:
        """End the attempt."""
        self.log.finish(recorded_at_s=self.recorded_at_s)


# The end of the stopped primary


def _grown(attempt: Attempt, **changes: object) -> None:
    """Stop the former primary, request a promotion, and find another status 12.3 s later."""
    attempt.log.note_stopped(FORMER, _position(END))
    attempt.log.note_request(PROMOTED)
    attempt.now_s += 12.3
    attempt.log.note_status(FORMER, _status(**changes))


@pytest.mark.parametrize(
    "role, end, told",
    [
        (REPLICA, _position(END + 1), "122:1234567 122:1234568 12.3"),
        (PRIMARY, _position(END + 1), "122:1234567 122:1234568 12.3 leads"),
        (PRIMARY, _position(END + 1, term=123), "122:1234567 123:1234568 12.3 leads"),
    ],
)
def test_a_stopped_primary_whose_log_grows_is_told_at_once(handler, monkeypatch, role, end, told):
    attempt = Attempt(monkeypatch)
    _grown(attempt, role=role, end=end)
    (fields,) = _fields(handler, events.Event.STOPPED_GREW)
    assert (fields["level"], fields["message"]) == ("warning", "commits held back, grew")
    assert (fields["service"], fields["server"], fields["end"]) == (SERVICE, FORMER, told)
    assert attempt.registry.total("stopped_primary_grew", SERVICE) == 1


def test_a_stopped_primary_whose_end_is_read_again_is_told_only_if_it_grew(handler, monkeypatch):
    attempt = Attempt(monkeypatch)
    for offset in (END, END, END + 1, END + 1):
        attempt.log.note_stopped(FORMER, _position(offset))
        attempt.log.note_status(FORMER, _status(end=_position(offset)))
    (fields,) = _fields(handler, events.Event.STOPPED_GREW)
    assert fields["end"].split()[:2] == ["122:1234567", "122:1234568"]


@pytest.mark.parametrize("led_term, lines", [(123, 0), (124, 1), (None, 1)])
def test_entries_of_the_promoted_server_are_no_growth(handler, monkeypatch, led_term, lines):
    attempt = Attempt(monkeypatch)
    _grown(attempt, end=_position(END + 5, term=123))
    assert _fields(handler, events.Event.STOPPED_GREW) == []
    if led_term is not None:
        attempt.log.note_led(ids.Term(led_term))
    attempt.finish()
    assert len(_fields(handler, events.Event.STOPPED_GREW)) == lines


def test_lines_about_growth_are_bounded_and_all_are_counted(handler, monkeypatch):
    attempt = Attempt(monkeypatch)
    for offset in range(END, END + 21):
        attempt.log.note_stopped(FORMER, _position(offset))
    assert len(_fields(handler, events.Event.STOPPED_GREW)) == attempt_log.MAX_LINES
    assert attempt.registry.total("stopped_primary_grew", SERVICE) == 20


# Pauses


def _found_unpaused(attempt: Attempt, *, term: int = 123) -> None:
    attempt.log.note_request(PROMOTED)
    attempt.log.note_status(OTHER, _status(paused=True, term=122))
    attempt.now_s += 123.4
    attempt.log.note_status(OTHER, _status(term=term))


@pytest.mark.parametrize("led_term", [124, None])
def test_a_replica_whose_pause_has_ended_before_the_promotion_is_told(
    handler, monkeypatch, led_term
):
    attempt = Attempt(monkeypatch)
    _found_unpaused(attempt)
    if led_term is not None:
        attempt.log.note_led(ids.Term(led_term))
    attempt.finish()
    (fields,) = _fields(handler, events.Event.PAUSE_LOST)
    assert (fields["level"], fields["message"]) == ("warning", "commits held back, unpaused")
    assert (fields["service"], fields["server"]) == (SERVICE, OTHER)
    assert fields["pause"] == f"122 123 123.4 {PROMOTED}"
    assert attempt.registry.total("pauses_lost", SERVICE) == 1


def test_a_pause_that_the_promotion_has_ended_is_not_told(handler, monkeypatch):
    attempt = Attempt(monkeypatch)
    _found_unpaused(attempt)
    attempt.log.note_led(ids.Term(123))
    attempt.finish()
    assert _fields(handler, events.Event.PAUSE_LOST) == []


def test_a_pause_that_the_holder_has_ended_is_not_told(handler, monkeypatch):
    attempt = Attempt(monkeypatch)
    attempt.log.note_status(OTHER, _status(paused=True))
    attempt.log.note_resumed(OTHER)
    attempt.log.note_status(OTHER, _status())
    attempt.finish()
    assert _fields(handler, events.Event.PAUSE_LOST) == []


def test_lines_about_pauses_are_bounded_and_all_are_counted(handler, monkeypatch):
    attempt = Attempt(monkeypatch)
    for _ in range(20):
        _found_unpaused(attempt)
    attempt.finish()
    assert len(_fields(handler, events.Event.PAUSE_LOST)) == attempt_log.MAX_LINES
    assert attempt.registry.total("pauses_lost", SERVICE) == 20


# Requests


def test_the_end_of_an_attempt_tells_its_requests_and_when_they_were_sent(handler, monkeypatch):
    attempt = Attempt(monkeypatch)
    attempt.now_s += 0.12
    attempt.log.note_request(FORMER, void=True)
    attempt.now_s += 0.2
    attempt.log.note_request(PROMOTED)
    attempt.log.note_request(PROMOTED)
    attempt.now_s += 1.0
    attempt.log.note_led(ids.Term(123))
    attempt.finish()
    (fields,) = _fields(handler, events.Event.PROMOTIONS_REQUESTED)
    assert fields["message"] == "takeover started, ended"
    assert fields["service"] == SERVICE
    assert fields["requests"] == f"3 0.12 {FORMER} void 0.32 {PROMOTED} x2 1.32 led"
    assert attempt.registry.total("promotion_calls", "void") == 1
    assert attempt.registry.total("promotion_calls", "promote") == 2


def test_an_attempt_without_a_request_tells_none(handler, monkeypatch):
    Attempt(monkeypatch).finish()
    assert _fields(handler, events.Event.PROMOTIONS_REQUESTED) == []


# With servers


async def _begin(world: proxy_world.World) -> takeover.Takeover:
    return takeover.Takeover(
        target=world.service,
        claim=await world.coordination.claim(database_group.SERVICE),
        coordination=world.coordination,
        promoter=world.promoter,
    )


@pytest.mark.parametrize("outcome", ports.PromotionOutcome)
def test_the_answer_to_a_promotion_of_the_present_primary_is_told(handler, monkeypatch, outcome):
    Attempt(monkeypatch).log.note_void(FORMER, token=1 << 50, outcome=outcome.value)
    (fields,) = _fields(handler, events.Event.PRESENT_PROMOTED)
    assert (fields["service"], fields["server"]) == (SERVICE, FORMER)
    assert fields["outcome"] == outcome.value


async def test_a_promotion_of_the_present_primary_is_told(handler):
    world = proxy_world.World()
    attempt = await _begin(world)
    assert await attempt.void_earlier_requests(A)
    (fields,) = _fields(handler, events.Event.PRESENT_PROMOTED)
    assert fields["message"] == "takeover started, primary promoted"
    assert (fields["service"], fields["server"]) == (database_group.SERVICE, A)
    assert fields["outcome"] == "accepted"


async def test_an_attempt_tells_its_requests_at_its_end(handler):
    world = proxy_world.World()
    world.group.servers[A].up = False
    assert await claimed_changes.run_claimed(
        target=world.service,
        coordination=world.coordination,
        promoter=world.promoter,
        primary=A,
    )
    (fields,) = _fields(handler, events.Event.PROMOTIONS_REQUESTED)
    count, _, server, *rest = fields["requests"].split()
    assert (count, server, rest[-1]) == ("1", world.group.primary.name, "led")


async def test_an_attempt_finds_what_a_stopped_primary_has_taken_and_a_pause_that_ended(handler):
    world = proxy_world.World()
    attempt = await _begin(world)
    term = ids.Term(2)
    await attempt.commands.pause({C}, term)
    await attempt.commands.step_down({A}, term)
    attempt.note_end(A, world.group.servers[A].position)
    world.group.promote(A)
    world.group.commit(world.group.primary, "late")
    await attempt.commands.query({A, B, C})
    attempt.commands.log.finish(recorded_at_s=None)
    (grew,) = _fields(handler, events.Event.STOPPED_GREW)
    assert (grew["server"], grew["end"].split()[:2]) == (A, ["0:0", "2:1"])
    assert grew["end"].endswith("leads")
    (lost,) = _fields(handler, events.Event.PAUSE_LOST)
    assert (lost["server"], lost["pause"]) == (C, "2 2 ? ?")


async def test_a_server_that_the_attempt_has_resumed_has_lost_no_pause(handler):
    world = proxy_world.World()
    attempt = await _begin(world)
    await attempt.commands.pause({C}, ids.Term(2))
    await attempt.commands.resume({C})
    await attempt.commands.query({C})
    attempt.commands.log.finish(recorded_at_s=None)
    assert _fields(handler, events.Event.PAUSE_LOST) == []
