"""A change of primary that may lose acknowledged commits waits until an operator gives them up."""

import asyncio
import dataclasses

import logbook
import pytest

from mustardswitch import events
from mustardswitch.internal import clock, ids, positions, promotion, server_contact
from mustardswitch.proxy import change_waits, end_of_commits, errors, ports, wait_records
from mustardswitch_standins import database_group
from tests.common import cut_lines, proxy_world, takeovers

A, B, C = takeovers.A, takeovers.B, takeovers.C
SERVICE = database_group.SERVICE
LONG_S = 3600.0


@pytest.fixture
def handler():
    with logbook.TestHandler() as handler:
        yield handler


@pytest.fixture(autouse=True)
def reports_at_short_intervals(monkeypatch):
    monkeypatch.setattr(change_waits, "REPORT_INTERVAL_S", 0.1)
    monkeypatch.setattr(end_of_commits, "PAUSE_TIMEOUT_S", 0.2)


def at(offset: int) -> positions.Position:
    """Build a position of the first term."""
    return positions.Position(term=ids.Term(1), offset=ids.Offset(offset))


def _missing_server() -> proxy_world.World:
    """Return a world whose primary and only confirming replica have ended; both may return."""
    world = proxy_world.World()
    world.group.servers[B].not_receiving = True
    assert world.group.commit(world.group.primary, "confirmed by a server that has ended")
    world.group.servers[C].up = False
    world.group.servers[A].up = False
    return world


def _commit_out_of_reach() -> proxy_world.World:
    """Return a world in which no known server has an acknowledged commit."""
    world = proxy_world.World()
    world.coordination.hold_report = ports.HoldReport(complete=True, above=at(1000))
    world.group.servers[A].up = False
    return world


async def _attempt(world: proxy_world.World, attempts: int = 2) -> bool:
    """Let a holder try to change the primary; returns whether another server leads."""
    for _ in range(attempts):
        changing = asyncio.create_task(takeovers.take_over(world, silent=True))
        await asyncio.wait({changing}, timeout=1.5)
        changing.cancel()
        (done,) = await asyncio.gather(changing, return_exceptions=True)
        if done is True:
            return True
    return False


def _decide(world: proxy_world.World, **changes: object) -> wait_records.Decision:
    """Record the decision to give up all that the change waits for."""
    wait = world.coordination.waits[SERVICE]
    decision = wait_records.Decision(
        change=wait.change,
        era=wait.era,
        missing=wait.missing,
        above=wait.above,
        acknowledged=wait.unreached,
        operator="kim",
        at_ms=1_796_570_000_000,
    )
    decision = dataclasses.replace(decision, **changes)
    world.coordination.decisions[SERVICE] = decision
    return decision


# What is told


def _waits(handler: logbook.TestHandler) -> list[dict[str, str]]:
    lines = cut_lines.lines(handler, events.Event.CHANGE_WAITS)
    return [cut_lines.fields(line) for line in lines]


def _given_up(handler: logbook.TestHandler) -> list[dict[str, str]]:
    lines = cut_lines.lines(handler, events.Event.ACKNOWLEDGED_IGNORED)
    return [cut_lines.fields(line) for line in lines]


def _gauge(world: proxy_world.World, name: str) -> str | None:
    """Return what the metrics show of a gauge of the service."""
    prefix = f'mustardswitch_{name}{{kind="{SERVICE}"}} '
    lines = world.directory.registry.render().splitlines()
    return next((line.removeprefix(prefix) for line in lines if line.startswith(prefix)), None)


async def test_a_wait_for_a_server_names_it(handler):
    world = _missing_server()
    assert not await _attempt(world)
    fields = _waits(handler)[-1]
    assert fields["message"] == "commits held back, waits"
    assert fields["missing"] == f"{C}(end)"
    assert float(_gauge(world, change_waits.WAITED_GAUGE)) > 0.0
    assert _gauge(world, change_waits.MISSING_GAUGE) == "1"


async def test_a_wait_for_an_acknowledged_commit_tells_its_position(handler):
    world = _commit_out_of_reach()
    assert not await _attempt(world)
    assert _waits(handler)[-1]["above"] == "1:1000"
    assert _gauge(world, change_waits.MISSING_GAUGE) == "0"


async def test_a_wait_tells_the_command_of_an_operator(handler):
    assert not await _attempt(_missing_server())
    record = [each for each in handler.records if "decide" in (each.extra["fields"] or {})][-1]
    told = record.extra["fields"]["decide"]
    assert told == f"mustardctl give-up-commits {SERVICE} --missing {C}"


async def test_what_is_missing_and_out_of_reach_stands_in_a_cut_line(handler):
    world = proxy_world.World()
    world.service.name = cut_lines.SERVICE
    waits = change_waits.ChangeWait(target=world.service, coordination=world.coordination)
    names = {cut_lines.FORMER, cut_lines.PROMOTED}
    backends = dict(zip(sorted(names), world.service.servers.values(), strict=False))
    for backend in backends.values():
        backend.contacts.note(server_contact.Sign.NOT_LISTENING)
    world.service.known_servers = lambda: backends
    above = positions.Position(term=ids.Term(12), offset=ids.Offset(123_456))
    evidence = promotion.Evidence(expected=names, paused={}, commits_held=True)
    waits.reported_at_s -= change_waits.REPORT_INTERVAL_S
    await waits.review(
        ports.Claim(service=cut_lines.SERVICE, fencing_token=631, expires_at_s=clock.now_s() + 3),
        promotion.Choice(verdict=promotion.Verdict.WAIT, reason="no answer"),
        evidence,
        ports.HoldReport(complete=True, above=above),
        former=cut_lines.FORMER,
        silent_s=1.0,
    )
    (fields,) = _waits(handler)
    assert fields["missing"] == f"{cut_lines.FORMER}(end) {cut_lines.PROMOTED}(end)"
    assert fields["above"] == "12:123456"


@pytest.mark.parametrize("end, missing", [(10, set()), (11, {C})])
async def test_a_covered_server_is_missing_while_no_log_in_reach_has_what_it_may_have(end, missing):
    world = proxy_world.World()
    waits = change_waits.ChangeWait(target=world.service, coordination=world.coordination)
    status = promotion.ServerStatus(
        role=promotion.Role.REPLICA, term=ids.Term(1), received=at(10), paused=True
    )
    evidence = promotion.Evidence(
        expected={B, C}, paused={B: status}, covered={C: at(end)}, commits_held=True
    )
    await waits.review(
        ports.Claim(service=SERVICE, fencing_token=1, expires_at_s=clock.now_s() + 3),
        promotion.Choice(verdict=promotion.Verdict.WAIT),
        evidence,
        ports.HoldReport(complete=True),
        former=A,
        silent_s=1.0,
    )
    assert (set() if waits.wait is None else waits.wait.missing) == missing


async def test_another_reason_to_wait_stands_in_a_cut_line(handler):
    world = proxy_world.World()
    world.coordination.hold_report = ports.HoldReport(complete=False)
    world.group.servers[A].up = False
    assert not await _attempt(world, 1)
    line = cut_lines.lines(handler, events.Event.CHANGE_WAITS)[-1]
    assert f'"service": "{SERVICE}", "reason": "' in line
    assert "instances may send commits" in line


async def test_the_gauges_of_a_wait_end_with_it(handler):
    world = _missing_server()
    assert not await _attempt(world)
    world.group.servers[C].up = True
    assert await _attempt(world)
    assert _gauge(world, change_waits.WAITED_GAUGE) is None
    assert world.coordination.waits == {}
    assert world.group.lost == []


@pytest.mark.parametrize("stops", [True, False])
async def test_promotions_are_counted_by_what_proved_them(stops):
    world = proxy_world.World()
    world.group.servers[A].leaving = stops
    world.group.servers[A].up = stops
    world.list_servers()
    assert await takeovers.take_over(world)
    proof = promotion.Proof.PRIMARY_STOPPED if stops else promotion.Proof.ALL_PAUSED
    assert world.directory.registry.total("promotions_proved", proof.value) == 1


# What an operator gives up


async def test_a_server_that_an_operator_gives_up_is_not_waited_for(handler):
    world = _missing_server()
    assert not await _attempt(world)
    _decide(world)
    assert await _attempt(world)
    assert world.group.primary is world.group.servers[B]
    (told,) = _given_up(handler)
    assert told["message"] == "commits lost, given up"
    assert (told["missing"], told["by"]) == (C, "kim")
    assert world.directory.registry.total("commits_given_up", SERVICE) == 1
    assert world.coordination.decisions == {}


async def test_an_acknowledged_commit_that_an_operator_gives_up_is_not_waited_for(handler):
    world = _commit_out_of_reach()
    assert not await _attempt(world)
    _decide(world)
    assert await _attempt(world)
    (told,) = _given_up(handler)
    assert (told["missing"], told["above"]) == ("", "1:1000")


async def test_a_decision_counts_while_the_attempt_goes_on(handler):
    world = _commit_out_of_reach()
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    while SERVICE not in world.coordination.waits:
        await asyncio.sleep(0.02)
    _decide(world)
    assert await changing
    assert len(_given_up(handler)) == 1


async def test_the_next_holder_applies_a_decision(handler):
    world = _missing_server()
    assert not await _attempt(world)
    _decide(world)
    world.coordination.revision += 10
    assert await _attempt(world)


async def test_a_holder_that_cannot_read_the_earlier_wait_does_not_begin_another_one(monkeypatch):
    world = _missing_server()
    assert not await _attempt(world)
    recorded = world.coordination.waits[SERVICE]

    async def fail(service: ids.ServiceName) -> None:
        raise errors.StoreError("slow")

    with monkeypatch.context() as failing:
        failing.setattr(world.coordination, "recorded_wait", fail)
        assert not await _attempt(world)
    assert world.coordination.waits[SERVICE] == recorded
    _decide(world)
    assert await _attempt(world)


async def test_a_server_that_answers_counts_although_it_is_given_up(handler):
    world = _missing_server()
    assert not await _attempt(world)
    _decide(world)
    world.group.servers[C].up = True
    assert await _attempt(world)
    assert world.group.primary is world.group.servers[C]
    assert (world.group.lost, _given_up(handler)) == ([], [])


@pytest.mark.parametrize(
    "changes",
    [
        {"change": 1_000_000},
        {"era": 7},
        {"missing": frozenset({B})},
        {"missing": frozenset()},
    ],
    ids=["another change", "another era", "another server", "nothing"],
)
async def test_a_decision_for_something_else_gives_up_no_server(handler, changes):
    world = _missing_server()
    assert not await _attempt(world)
    _decide(world, **changes)
    assert not await _attempt(world)
    assert world.promoter.promotion_requests == []


@pytest.mark.parametrize(
    "changes",
    [
        {"change": 1_000_000},
        {"era": 7},
        {"acknowledged": False},
        {"above": at(999)},
        {"above": None},
    ],
    ids=["another change", "another era", "servers only", "less was known", "none was known"],
)
async def test_a_decision_for_something_else_gives_up_no_acknowledged_commit(handler, changes):
    world = _commit_out_of_reach()
    assert not await _attempt(world)
    _decide(world, **changes)
    assert not await _attempt(world)
    assert world.promoter.promotion_requests == []


async def test_commits_acknowledged_after_a_decision_are_not_given_up_with_a_server(handler):
    """The primary led again in between, and the given-up server has confirmed more."""
    world = _missing_server()
    assert not await _attempt(world)
    _decide(world)
    world.coordination.hold_report = ports.HoldReport(complete=True, above=at(0))
    assert not await _attempt(world)
    assert world.promoter.promotion_requests == []


async def test_a_decision_is_void_for_the_change_of_a_later_primary(handler):
    world = _missing_server()
    assert not await _attempt(world)
    decision = _decide(world)
    wait = world.coordination.waits[SERVICE]
    assert await _attempt(world)
    # The records of the change before could not be removed.
    world.coordination.waits[SERVICE] = wait
    world.coordination.decisions[SERVICE] = decision
    requests = list(world.promoter.promotion_requests)
    world.group.servers[A].up = True
    world.list_servers()
    await world.service.find_leader()
    world.group.servers[B].up = False
    changing = asyncio.create_task(takeovers.take_over(world, B, silent=True))
    await asyncio.wait({changing}, timeout=1.5)
    changing.cancel()
    await asyncio.gather(changing, return_exceptions=True)
    assert world.promoter.promotion_requests == requests
    assert world.coordination.waits[SERVICE].change != wait.change


async def test_a_decision_without_a_wait_changes_nothing(handler):
    world = proxy_world.World()
    world.coordination.decisions[SERVICE] = wait_records.Decision(
        change=1,
        era=0,
        missing=frozenset({B, C}),
        above=at(1000),
        acknowledged=True,
        operator="kim",
        at_ms=0,
    )
    world.group.servers[B].not_receiving = True
    assert world.group.commit(world.group.primary, "confirmed by one")
    world.group.servers[A].up = False
    assert await _attempt(world)
    assert (world.group.lost, _given_up(handler)) == ([], [])


@pytest.mark.parametrize("build", [_missing_server, _commit_out_of_reach])
async def test_no_time_gives_up_what_an_operator_does_not(monkeypatch, build):
    world = build()
    assert not await _attempt(world)
    now_s = clock.now_s
    monkeypatch.setattr(clock, "now_s", lambda: now_s() + LONG_S)
    assert not await _attempt(world)
    assert world.promoter.promotion_requests == []
    assert world.coordination.waits[SERVICE].waited_s < LONG_S
