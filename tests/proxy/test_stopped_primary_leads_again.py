"""A promotion of the present primary makes it lead again if it is stopped before the effect."""

import asyncio
import dataclasses

import pytest

from mustardswitch.internal import clock, promotion
from mustardswitch.proxy import errors, ports, successor_choice, takeover
from mustardswitch_standins import database_group
from tests.common import proxy_world, takeovers

A, B, C = takeovers.A, takeovers.B, takeovers.C
EFFECT_S = 0.3
LIMIT_S = 10.0


@pytest.fixture
def world(monkeypatch):
    """A leaving primary, and promotions that take some time to be effective."""
    monkeypatch.setattr(takeover, "PROMOTION_DELAY_S", EFFECT_S + 0.1)
    built = proxy_world.World()
    built.share_marks()
    built.group.promotes_as_of_request = True
    built.group.commit(built.group.primary, "old")
    built.promoter.effect_delay_s = EFFECT_S
    leave(built, A)
    return built


def leave(world, name):
    """Let a server report that it leaves."""
    world.group.servers[name].leaving = True
    world.list_servers()


def record_earlier_request(world, server):
    """Leave what a holder leaves that has died after it requested a promotion."""
    world.coordination.promotions[database_group.SERVICE] = server
    world.coordination.unfinished[database_group.SERVICE] = (
        ports.UnfinishedChange.PROMOTION_REQUESTED
    )


def watch_leads(world, on_lead=lambda server: None):
    """Return a list of the servers that begin to lead, which grows; ``on_lead`` is called first."""
    leads = []
    promote = world.group.promote

    def note_and_promote(name):
        term = world.group.term
        done = promote(name)
        if world.group.term != term:
            leads.append(name)
            on_lead(world.group.servers[name])
        return done

    world.group.promote = note_and_promote
    return leads


async def test_a_commit_that_waited_in_a_stopped_primary_is_not_lost_as_it_leads_again(world):
    """The holder had promoted the primary, which changed nothing, and then stopped it."""

    def run_what_waited(server):
        if server.name == A:
            world.group.commit(server, "waited")

    watch_leads(world, run_what_waited)
    assert await takeovers.take_over(world)
    assert world.group.lost == []


async def test_a_planned_change_makes_only_its_successor_lead(world):
    leads = watch_leads(world)
    assert await takeovers.take_over(world)
    await asyncio.sleep(2 * EFFECT_S)
    assert leads == [world.group.primary.name] and leads != [A]


async def test_other_replicas_stay_paused_until_the_successor_leads(world):
    changing = asyncio.create_task(takeovers.take_over(world))
    while not takeovers.requested_successors(world):
        await asyncio.sleep(0.005)
    (successor,) = takeovers.requested_successors(world)
    (other,) = {B, C} - {successor}
    while world.group.primary is None or world.group.primary.name != successor:
        assert world.group.servers[other].paused_term
        await asyncio.sleep(0.005)
    assert await changing


def commit_if_allowed(world):
    """Return a callback that commits at each server that begins to lead, if instances may."""

    def commit(server):
        world.group.servers[A].not_receiving = True
        if world.service.may_commit(world.service.servers[server.name]):
            world.group.commit(server, f"at {server.name}")

    return commit


async def test_commits_at_the_recorded_server_are_not_rolled_back(world):
    """The holder promoted the present primary, and the earlier request took effect before that."""
    record_earlier_request(world, B)
    world.service.note_recorded_promotion(B)
    leads = watch_leads(world, commit_if_allowed(world))
    assert world.group.request_promotion(B, EFFECT_S / 2)
    assert await takeovers.take_over(world)
    await asyncio.sleep(2 * EFFECT_S)
    assert leads == [B] and world.group.lost == []
    # The earlier request may be effective after that of this holder.
    assert world.coordination.promotions == {database_group.SERVICE: B}


async def test_a_kept_primary_does_not_roll_back_commits_of_the_recorded_server(world):
    """The recorded server gives the holder no answer, and leads by its earlier request."""
    record_earlier_request(world, B)
    world.service.note_recorded_promotion(B)
    watch_leads(world, commit_if_allowed(world))
    world.group.servers[B].silent = True
    settling = asyncio.create_task(takeovers.take_over(world))
    while not world.promoter.promotion_requests:
        await asyncio.sleep(0.005)
    # It was accepted before, and takes effect first.
    assert world.group.request_promotion(B, EFFECT_S / 2)
    await settling
    await asyncio.sleep(2 * EFFECT_S)
    assert world.group.lost == []


async def test_an_earlier_promotion_of_a_primary_that_answers_only_orders_is_awaited(world):
    """The holder does not reach the primary, which another order stops; it led again then."""

    def run_what_waited(server):
        if server.name == A:
            world.group.commit(server, "waited")

    record_earlier_request(world, promotion.keeping(A))
    watch_leads(world, run_what_waited)
    assert world.group.request_promotion(A, EFFECT_S)
    assert await takeovers.take_over(world, silent=True)
    await asyncio.sleep(2 * EFFECT_S)
    assert world.group.lost == []


async def test_no_commits_are_made_until_another_server_than_the_recorded_one_surely_leads(world):
    """The earlier request may take effect after that of the server that was chosen instead."""
    record_earlier_request(world, B)
    world.service.note_recorded_promotion(B)
    world.group.servers[A].up = False
    del world.group.servers[B]
    takeovers.expire_entry(world, B)
    world.service.unlisted.clear()
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    while world.group.primary is None or world.group.primary.name != C:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.05)
    assert not changing.done() and not world.service.may_commit(world.service.servers[C])
    assert await changing
    assert world.coordination.promotions == {}


async def test_no_commits_are_made_until_a_kept_primary_has_settled_earlier_requests(world):
    record_earlier_request(world, B)
    world.group.servers[B].silent = True
    world.promoter.lose_answers, world.promoter.executes = 1, False
    assert not await takeovers.take_over(world)
    # The next holder voids the call without an answer, whose server leads.
    assert world.group.primary.name == A
    assert world.coordination.promotions[database_group.SERVICE] == A
    assert not await takeovers.take_over(world)
    assert world.coordination.promotions == {}


async def test_a_former_primary_that_leads_does_not_end_the_record_of_an_earlier_request(world):
    """Commits went on at it, and the earlier request promoted a server without them."""
    record_earlier_request(world, B)
    world.group.step_down(world.group.servers[A], 2)
    world.list_servers()
    changing = asyncio.create_task(takeovers.take_over(world))
    await asyncio.sleep(0.02)
    world.group.promote(A)
    await changing
    assert world.group.primary.name != A or (
        world.coordination.promotions.get(database_group.SERVICE) == B
    )


async def change_to(world, expected):
    """Run a change of primary until a server leads."""
    assert await takeovers.take_over(world, world.group.primary.name)
    assert world.group.primary.name == expected


async def test_an_unanswered_request_does_not_make_its_server_lead_again_after_a_later_change(
    world,
):
    """The promotion is repeated, and the first request is executed during the next change."""
    world.promoter.lose_answers, world.promoter.executes = 1, False
    assert await takeovers.take_over(world)
    first = world.group.primary.name
    assert world.coordination.promotions[database_group.SERVICE] == first
    takeovers_left = [first, *({B, C} - {first})]
    # The next holder voids it while the server leads.
    assert not await takeovers.take_over(world, first)
    assert database_group.SERVICE not in world.coordination.promotions
    leads = watch_leads(world)
    leave(world, first)
    changing = asyncio.create_task(takeovers.take_over(world, first))
    while world.group.primary is not None:
        await asyncio.sleep(0.005)
    world.promoter.execute_delayed()
    assert await changing
    await asyncio.sleep(2 * EFFECT_S)
    assert leads == [takeovers_left[1]]


async def test_a_leader_whose_own_request_is_settled_keeps_taking_commits(world):
    record_earlier_request(world, A)
    settling = asyncio.create_task(takeovers.take_over(world))
    await asyncio.sleep(0.1)
    while not settling.done():
        assert not any(each.paused_term for each in world.group.servers.values())
        assert world.service.may_commit(world.service.servers[A])
        await asyncio.sleep(0.01)
    assert database_group.SERVICE not in world.coordination.promotions


async def test_the_end_of_a_primary_is_read_after_all_instances_have_confirmed_the_hold(
    monkeypatch, world
):
    """A commit that was under way may be appended until its instance has confirmed."""
    started_s = clock.now_s()

    def hold_commits(*args, **kwargs):
        complete = clock.now_s() > started_s + 0.2
        if complete and "late" not in [entry.data for entry in world.group.servers[A].log]:
            late = database_group.LogEntry(term=1, data="late")
            world.group.servers[A].log.append(late)
            world.group.acknowledged.append("late")
        return dataclasses.replace(world.coordination.hold_report, complete=complete)

    monkeypatch.setattr(world.coordination, "hold_commits", hold_commits)
    await takeovers.take_over(world)
    assert world.group.lost == []


async def test_a_primary_that_crashes_after_its_stop_and_returns_before_the_hold_is_stopped_again(
    monkeypatch, world
):
    """Its end was not read again, and commits went on beyond it until the hold was confirmed."""
    complete = False

    def hold_commits(*args, **kwargs):
        return dataclasses.replace(world.coordination.hold_report, complete=complete)

    monkeypatch.setattr(world.coordination, "hold_commits", hold_commits)
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    await asyncio.sleep(0.2)
    former = world.group.servers[A]
    former.starts += 1
    former.role = promotion.Role.PRIMARY
    # A server that nobody knows yet has confirmed it.
    former.log.append(database_group.LogEntry(term=1, data="later"))
    world.group.acknowledged.append("later")
    complete = True
    await changing
    assert world.group.lost == []


async def test_an_end_that_was_read_before_the_hold_proves_nothing_if_the_primary_is_silent_then(
    monkeypatch, world
):
    started_s = clock.now_s()

    def hold_commits(*args, **kwargs):
        former = world.group.servers[A]
        complete = clock.now_s() > started_s + 0.3
        if complete and not former.silent:
            former.log.append(database_group.LogEntry(term=1, data="late"))
            world.group.acknowledged.append("late")
            former.silent = True
        return dataclasses.replace(world.coordination.hold_report, complete=complete)

    monkeypatch.setattr(world.coordination, "hold_commits", hold_commits)
    changing = asyncio.create_task(takeovers.take_over(world))
    while not world.group.servers[A].silent:
        await asyncio.sleep(0.01)
    await asyncio.sleep(successor_choice.HANDOVER_TIMEOUT_S)
    assert takeovers.requested_successors(world) == []
    changing.cancel()
    await asyncio.gather(changing, return_exceptions=True)


async def test_a_candidate_that_was_recorded_beside_an_earlier_request_is_proved_like_any_other(
    monkeypatch, world
):
    """The next holder took it for a primary that is kept, and promoted it at once."""
    record_earlier_request(world, promotion.keeping(A))
    world.group.servers[B].not_receiving = True
    world.group.commit(world.group.servers[A], "only at C")
    world.group.servers[A].silent = world.group.servers[C].silent = True
    release = world.coordination.release

    async def die(claim, **changes):
        world.coordination.claimed.discard(claim.service)
        raise errors.StoreError("the holder was killed")

    monkeypatch.setattr(world.coordination, "release", die)
    world.coordination.hold_report = ports.HoldReport(complete=False)
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    while world.coordination.promotions[database_group.SERVICE] != promotion.holding(B):
        await asyncio.sleep(0.005)
    changing.cancel()
    await asyncio.gather(changing, return_exceptions=True)
    monkeypatch.setattr(world.coordination, "release", release)
    world.group.servers[C].silent = False
    await takeovers.take_over(world, silent=True)
    assert takeovers.requested_successors(world)[:1] in ([], [C])
    assert world.group.lost == []


async def test_a_primary_is_not_kept_before_it_is_seen_to_lead_while_commits_are_held(
    monkeypatch, world
):
    """The recorded server led unnoticed, and the next holder promoted the former primary."""
    record_earlier_request(world, B)
    world.group.servers[B].silent = True
    world.coordination.hold_report = ports.HoldReport(complete=False)
    keeping = asyncio.create_task(takeovers.take_over(world))
    while world.coordination.promotions[database_group.SERVICE] == B:
        await asyncio.sleep(0.005)
    recorded = world.coordination.promotions[database_group.SERVICE]
    assert promotion.kept_primary(recorded) is None and promotion.lets_no_commits_pass(recorded)
    assert world.promoter.promotion_requests == []
    world.coordination.hold_report = ports.HoldReport(complete=True)
    while not world.promoter.promotion_requests:
        await asyncio.sleep(0.005)
    assert world.coordination.promotions[database_group.SERVICE] == promotion.keeping(A)
    await keeping


async def fail_over(world, former):
    """Crash a primary, and change it until another server leads, for a limited time."""
    world.group.servers[former].up = False
    world.group.servers[former].role = promotion.Role.REPLICA
    started_s = clock.now_s()
    while world.group.primary is None and clock.now_s() < started_s + LIMIT_S:
        await takeovers.take_over(world, former, silent=True)
        await asyncio.sleep(0.1)


async def test_a_platform_that_answers_too_late_does_not_keep_a_service_without_a_primary():
    """Each attempt first promoted the crashed primary, to void what had made it lead."""
    world = proxy_world.World()
    world.share_marks()
    world.group.commit(world.group.primary, "old")
    world.promoter.lose_answers = 10**6
    await fail_over(world, A)
    assert world.group.primary is not None
    world.group.servers[A].up = True
    world.group.catch_up(world.group.servers[A])
    world.list_servers()
    await fail_over(world, world.group.primary.name)
    assert world.group.primary is not None and world.group.lost == []


@pytest.mark.parametrize("answers", [True, False])
async def test_a_kept_primary_of_a_restored_record_is_not_promoted_after_it_was_replaced(answers):
    world = proxy_world.World()
    world.group.promote(C)
    world.list_servers()
    world.group.servers[A].not_receiving = True
    world.group.commit(world.group.primary, "later")
    world.group.servers[C].up = False
    world.group.servers[A].silent = not answers
    record_earlier_request(world, promotion.keeping(A))
    await takeovers.take_over(world, C, silent=True)
    assert A not in [server for server, _ in world.promoter.promotion_requests]
    assert world.group.lost == []


async def test_a_stopped_primary_that_crashes_does_not_count_as_promoted_by_its_former_term(
    monkeypatch, world
):
    """It is promoted itself, as its successor lacks its end, and leads again as it is back."""
    former = world.group.servers[A]
    step_down = database_group.FakeLink.step_down

    async def append_and_step_down(link, term, timeout_s):
        if former.position.offset == 1:
            former.log.append(database_group.LogEntry(term=1, data="last"))
        return await step_down(link, term, timeout_s)

    monkeypatch.setattr(database_group.FakeLink, "step_down", append_and_step_down)
    changing = asyncio.create_task(takeovers.take_over(world))
    while (A, 1) not in world.promoter.promotion_requests:
        await asyncio.sleep(0.005)
    former.role, former.paused_term = promotion.Role.PRIMARY, 0
    await asyncio.sleep(EFFECT_S / 2)
    assert not changing.done()
    former.role = promotion.Role.REPLICA
    await changing
    assert world.group.term == 2 and world.group.primary is former


async def test_the_time_of_a_hold_begins_anew_after_a_record_that_let_commits_pass(
    monkeypatch, world
):
    record_earlier_request(world, B)
    world.group.servers[A].up = False
    times_s = {}

    def hold_commits(claim, server, *, recorded_at_s, **changes):
        times_s.setdefault(server, recorded_at_s)
        return world.coordination.hold_report

    monkeypatch.setattr(world.coordination, "hold_commits", hold_commits)
    world.group.servers[B].silent = True
    changing = asyncio.create_task(takeovers.take_over(world, silent=True))
    while B not in times_s:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.1)
    del world.group.servers[B]
    takeovers.expire_entry(world, B)
    world.service.unlisted.clear()
    await changing
    assert times_s[promotion.holding(C)] >= times_s[B] + 0.1
