"""Changes of primary: no acknowledged commit is lost, and the service recovers."""

import asyncio
import dataclasses

import pytest

from mustardswitch.internal import clock, ids, promotion, registration_list
from mustardswitch.proxy import (
    claimed_attempt,
    claimed_changes,
    directory,
    end_of_commits,
    errors,
    failover_watch,
    ports,
    requests,
    server_list,
    successor_choice,
    takeover,
    unlisted,
)
from mustardswitch_standins import database_group
from tests.common import proxy_world, takeovers

A, B, C, D = (ids.ServerId(f"server-{zone}") for zone in "abcd")
PRIMARY = requests.RouteKind.PRIMARY
DRAIN_S = 7.0
"""Time for which the users' leaving servers go on serving."""


async def test_the_replica_with_the_longest_log_takes_over():
    world = proxy_world.World()
    world.group.servers[B].not_receiving = True
    world.group.commit(world.group.primary, "x")
    world.group.servers[A].up = False
    assert await takeovers.take_over(world)
    assert world.group.primary.name == C
    assert world.group.lost == []
    assert not world.group.servers[B].paused_term


async def test_no_server_is_promoted_while_a_replica_has_not_answered(monkeypatch):
    monkeypatch.setattr(end_of_commits, "PAUSE_TIMEOUT_S", 0.1)
    world = proxy_world.World()
    world.group.servers[B].not_receiving = True
    world.group.commit(world.group.primary, "x")
    world.group.servers[A].up = False
    world.group.servers[C].up = False
    assert not await takeovers.take_over(world)
    assert world.promoter.promotion_requests == []
    assert not world.group.servers[B].paused_term
    assert world.coordination.claimed == set()


def _commit_on_primary_and_c(world):
    world.group.servers[B].not_receiving = True
    world.group.commit(world.group.primary, "x")
    world.group.servers[A].up = False


async def test_no_server_is_promoted_while_a_replica_whose_entry_expired_may_hold_more(monkeypatch):
    """Reproduces Himshilp grown trouble-1: a full link between regions kept the heartbeats of the
    primary and of the only replica with the last commits from the store. Both entries expired, and
    the remaining replica was promoted without these commits.
    """
    monkeypatch.setattr(end_of_commits, "PAUSE_TIMEOUT_S", 0.1)
    world = proxy_world.World()
    # Only the server whose entry expired is waited for.
    world.service.listing_s = 0.0
    _commit_on_primary_and_c(world)
    world.group.servers[C].up = False
    takeovers.expire_entry(world, C)
    assert not await takeovers.take_over(world)
    assert world.promoter.promotion_requests == []


@pytest.mark.parametrize("fails", [False, True])
async def test_a_server_that_the_watch_has_not_reported_counts_when_the_primary_gives_no_answer(
    monkeypatch, fails
):
    """The watch of the claim's holder may be seconds behind the store."""
    monkeypatch.setattr(end_of_commits, "PAUSE_TIMEOUT_S", 0.1)
    world = proxy_world.World()
    world.group.servers[B].not_receiving = world.group.servers[C].not_receiving = True
    started = world.group.start_server(zone="d")
    assert world.group.commit(world.group.primary, "x")
    takeovers.cut_off(world)

    async def refresh_servers():
        if fails:
            raise errors.StoreError("no response in time")
        takeovers.expire_entry(world, A)

    monkeypatch.setattr(world.coordination, "refresh_servers", refresh_servers)
    assert await takeovers.take_over(world, silent=True) is not fails
    assert world.group.primary.name == (A if fails else started.name)
    assert world.group.lost == []


async def test_a_replica_whose_entry_expired_takes_over_if_it_answers():
    world = proxy_world.World()
    _commit_on_primary_and_c(world)
    takeovers.expire_entry(world, C)
    await takeovers.take_over(world)
    assert world.group.primary.name == C
    assert world.group.lost == []


@pytest.mark.parametrize("silent", [False, True], ids=["ended", "silent"])
async def test_a_replica_that_stays_unlisted_is_not_taken_as_gone(monkeypatch, silent):
    """It may run, or have ended with commits that only the primary has besides."""
    monkeypatch.setattr(unlisted, "RECENT_S", 0.0)
    monkeypatch.setattr(end_of_commits, "PAUSE_TIMEOUT_S", 0.1)
    world = proxy_world.World()
    world.group.servers[A].up = False
    world.group.servers[C].up, world.group.servers[C].silent = silent, silent
    takeovers.expire_entry(world, C)
    assert not await takeovers.take_over(world)
    assert world.promoter.promotion_requests == []


async def test_a_replica_that_left_as_announced_is_not_waited_for():
    world = proxy_world.World()
    world.group.servers[C].leaving = True
    world.list_servers()
    world.group.servers[A].up = world.group.servers[C].up = False
    takeovers.expire_entry(world, C)
    assert await takeovers.take_over(world)
    assert world.group.primary.name == B


async def test_a_leaving_replica_whose_entry_expired_is_paused_in_a_handover():
    """Reproduces review/3: it confirmed commits that the successor had not received yet."""
    world = proxy_world.World()
    world.group.servers[B].leaving = True
    world.list_servers()
    takeovers.lose_entry(world, B, silent_s=server_list.EXPIRY_SILENCE_S)
    world.service.servers[A].entry = dataclasses.replace(
        world.service.servers[A].entry, leaving=True
    )
    world.promoter.effect_delay_s = 0.4
    changing = asyncio.create_task(takeovers.take_over(world))
    while not world.promoter.promotion_requests:
        await asyncio.sleep(0.01)
    world.group.servers[C].not_receiving = True
    world.group.commit(world.group.servers[A], "x")
    assert await changing
    assert world.group.lost == []


async def test_a_replica_cut_off_from_the_store_for_long_counts(monkeypatch):
    """A cut may last longer than a hand-over waits for a replica that does not answer."""
    monkeypatch.setattr(unlisted, "RECENT_S", 0.05)
    world = proxy_world.World()
    _commit_on_primary_and_c(world)
    takeovers.lose_entry(world, C, silent_s=10.0)
    await asyncio.sleep(0.1)
    assert C not in world.service.servers_with_commits()
    assert C in world.service.possible_holders()
    monkeypatch.setattr(unlisted, "RECENT_S", 6.0)
    world.service.unlisted[C] = dataclasses.replace(
        world.service.unlisted[C], since_s=clock.now_s() - 20.0
    )
    assert await takeovers.take_over(world)
    assert world.group.primary.name == C
    assert world.group.lost == []


async def test_a_former_primary_that_lost_the_store_with_its_lead_counts_as_a_replica():
    world = proxy_world.World()
    world.service.note_leading(B, query_sent_at_s=clock.now_s() + 0.1, position=None)
    takeovers.lose_entry(world, A, silent_s=10.0)
    assert A in world.service.servers_with_commits()


async def test_an_instance_that_just_started_lets_others_change_the_primary_first():
    """It does not know of replicas whose entries expired before its start."""
    world = proxy_world.World()
    world.directory.servers.first_read_at_s = clock.now_s() - registration_list.REREGISTRATION_S
    world.group.servers[A].leaving = True
    world.list_servers()
    started_s = clock.now_s()
    await takeovers.watch_until(world, lambda: takeovers.another_leads(world))
    assert clock.now_s() - started_s >= failover_watch.RECENT_START_DELAY_S


async def test_a_leaving_primary_hands_over_without_losing_a_commit():
    world = proxy_world.World()
    world.group.servers[A].leaving = True
    world.list_servers()
    world.group.commit(world.group.primary, "x")
    assert await takeovers.take_over(world)
    assert world.group.primary.name in (B, C)
    assert world.group.lost == []


async def test_a_leaving_primary_does_not_wait_for_a_replica_that_gives_no_answer():
    """Statements reached a leaving primary later than allowed: a replica was lost as it began to
    leave, and every promotion waited until the replica's entry had expired and 6 s more.
    """
    world = proxy_world.World()
    world.group.commit(world.group.primary, "x")
    world.group.servers[C].silent = True
    world.group.servers[A].leaving = True
    world.list_servers()
    started_s = clock.now_s()
    assert await takeovers.take_over(world)
    assert world.group.primary.name == B and world.group.lost == []
    assert clock.now_s() - started_s < DRAIN_S


@pytest.mark.parametrize("silent", [True, False])
async def test_a_leaving_primary_is_kept_while_only_another_server_has_its_last_commits(
    monkeypatch, silent
):
    """The other server gives no answer, or has just started and is not known yet."""
    monkeypatch.setattr(successor_choice, "HANDOVER_TIMEOUT_S", 0.3)
    monkeypatch.setattr(end_of_commits, "SUCCESSOR_LAG_S", 1.0)
    world = proxy_world.World()
    world.group.servers[A].leaving = True
    world.list_servers()
    world.group.servers[B].not_receiving = True
    if not silent:
        world.group.servers[C].not_receiving = True
        world.group.start_server(zone="d")
    assert world.group.commit(world.group.primary, "x")
    world.group.servers[C].silent = silent
    assert not await takeovers.take_over(world)
    assert world.group.lost == [] and world.promoter.promotion_requests == []


async def test_a_handover_waits_until_the_successor_has_the_paused_logs(monkeypatch):
    monkeypatch.setattr(successor_choice, "HANDOVER_TIMEOUT_S", 1.0)
    world = proxy_world.World()
    world.group.servers[B].not_receiving = world.group.servers[C].not_receiving = False
    world.group.commit(world.group.primary, "x")
    world.group.servers[B].log.clear()
    world.group.servers[C].log.clear()
    world.group.servers[B].not_receiving = True
    world.group.commit(world.group.primary, "y")
    world.group.servers[C].not_receiving = True
    assert await takeovers.take_over(world)
    assert world.group.primary.name == C
    assert world.group.lost == []


async def test_a_promotion_request_without_an_answer_is_repeated_for_the_same_server():
    world = proxy_world.World()
    world.group.servers[A].up = False
    world.promoter.lose_answers = 2
    assert await takeovers.take_over(world)
    assert {server for server, _ in world.promoter.promotion_requests} == {world.group.primary.name}


async def test_a_holder_with_a_lower_token_changes_nothing():
    world = proxy_world.World()
    world.group.servers[A].up = False
    world.promoter.highest_token = 99
    assert not await takeovers.take_over(world)
    assert world.group.primary.name == A


async def test_replicas_left_paused_are_resumed_although_another_server_already_leads():
    world = proxy_world.World()
    world.group.promote(C)
    world.group.servers[B].paused_term = 7
    assert await takeovers.take_over(world)
    assert not world.group.servers[B].paused_term


async def test_a_successor_left_paused_takes_over_from_a_leaving_primary(monkeypatch):
    monkeypatch.setattr(successor_choice, "HANDOVER_TIMEOUT_S", 0.5)
    world = proxy_world.World()
    world.group.servers[A].leaving = True
    world.list_servers()
    for replica in (B, C):
        world.group.servers[replica].paused_term = 7
    world.group.servers[B].log.append(database_group.LogEntry(term=1, data="sent by A"))
    world.group.servers[A].log.append(database_group.LogEntry(term=1, data="sent by A"))
    assert await takeovers.take_over(world)
    assert world.group.lost == []


async def test_a_holder_whose_claim_has_expired_neither_promotes_nor_resumes():
    world = proxy_world.World()
    world.group.servers[A].up = False
    world.coordination.claim_s = 0.0
    world.group.servers[B].paused_term = 7
    assert not await takeovers.take_over(world)
    assert world.promoter.promotion_requests == []
    assert world.group.servers[B].paused_term == 7


async def test_a_holder_whose_claim_expires_while_it_records_stops_no_primary(monkeypatch):
    world = proxy_world.World()
    world.group.servers[A].leaving = True
    world.list_servers()
    world.coordination.claim_s = 0.8
    record = world.coordination.record_promotion

    async def record_slowly(claim, server):
        recorded = await record(claim, server)
        await asyncio.sleep(0.5)
        return recorded

    monkeypatch.setattr(world.coordination, "record_promotion", record_slowly)
    assert not await takeovers.take_over(world)
    assert "step_down" not in world.group.servers[A].received_commands
    assert world.group.primary.name == A and world.promoter.promotion_requests == []


async def test_a_holder_delayed_past_its_claim_leaves_the_replicas_to_the_next_holder():
    world = proxy_world.World()
    world.group.servers[A].up = False
    world.coordination.claim_s = 0.8
    world.promoter.lose_answers = 99
    world.promoter.executes = False
    assert not await takeovers.take_over(world)
    assert world.group.servers[B].paused_term and world.group.servers[C].paused_term
    world.coordination.claim_s = database_group.CLAIM_S
    world.promoter.lose_answers = 0
    world.promoter.executes = True
    assert await takeovers.take_over(world)
    assert not world.group.servers[B].paused_term and not world.group.servers[C].paused_term


async def test_a_promotion_request_that_is_executed_late_loses_no_commit(monkeypatch):
    """Guards against a late promotion of a replica without the latest commits.

    The primary was cut off, a promotion request got no answer, and the cut ended.
    """
    monkeypatch.setattr(takeover, "RENEWAL_LIMIT_S", 0.0)
    world = proxy_world.World()
    world.directory.unfinished = world.coordination.unfinished
    takeovers.cut_off(world)
    world.coordination.claim_s = 1.6
    world.promoter.lose_answers, world.promoter.executes = 99, False
    assert not await takeovers.take_over(world)
    requested = world.promoter.delayed[0][0]
    world.group.servers[A].silent = False
    world.list_servers()
    world.promoter.lose_answers = 0
    world.coordination.claim_s = database_group.CLAIM_S
    await takeovers.watch_until(world, lambda: not world.coordination.unfinished)
    world.group.servers[requested].not_receiving = True
    world.group.commit(world.group.primary, "x")
    world.promoter.execute_delayed()
    assert world.group.lost == []


@pytest.mark.parametrize("recovers", [True, False])
async def test_a_request_of_a_holder_that_died_in_its_call_loses_no_commit_when_executed_late(
    recovers,
):
    """Reproduces review/1: the next holder took the replicas for merely paused and resumed them,
    and the request was executed when the other replica alone held the latest commits.
    """
    world = proxy_world.World()
    world.share_marks()
    takeovers.cut_off(world)
    world.promoter.hang_requests = True
    dying = asyncio.create_task(takeovers.take_over(world))
    while not world.promoter.delayed:
        await asyncio.sleep(0.01)
    requested = world.promoter.delayed[0][0]
    world.group.servers[A].silent = not recovers
    if recovers:
        world.list_servers()
    world.promoter.hang_requests = False
    world.coordination.claimed.clear()
    if recovers:
        await takeovers.watch_until(world, lambda: not world.coordination.unfinished)
    else:
        assert await claimed_changes.run_claimed(
            target=world.service,
            coordination=world.coordination,
            promoter=world.promoter,
            primary=A,
            silent=True,
        )
    world.group.servers[requested].not_receiving = True
    world.group.commit(world.group.primary, "x")
    world.promoter.execute_delayed()
    assert world.group.lost == []
    dying.cancel()
    await asyncio.gather(dying, return_exceptions=True)


async def test_a_claim_keeps_the_record_of_an_earlier_promotion_until_it_is_settled(monkeypatch):
    """A second holder that dies right after its claim must not hide the first one's request."""
    monkeypatch.setattr(end_of_commits, "PAUSE_TIMEOUT_S", 0.1)
    world = proxy_world.World()
    world.share_marks()
    world.coordination.promotions[database_group.SERVICE] = B
    world.group.servers[A].up = world.group.servers[C].up = False
    world.group.servers[B].paused_term = world.group.servers[C].paused_term = 7
    assert not await takeovers.take_over(world)
    assert world.coordination.promotions == {database_group.SERVICE: B}
    assert world.group.servers[C].paused_term


async def test_a_primary_is_kept_when_the_server_of_an_earlier_request_does_not_answer(
    monkeypatch,
):
    """The primary, promoted again under a higher token, voids the request."""
    monkeypatch.setattr(takeover, "PROMOTION_DELAY_S", 0.1)
    world = proxy_world.World()
    world.share_marks()
    world.coordination.promotions[database_group.SERVICE] = C
    world.promoter.delayed.append((C, 0))
    world.group.servers[B].paused_term = 7
    world.group.servers[C].silent = True
    assert not await takeovers.take_over(world)
    assert world.coordination.promotions == {} and not world.group.servers[B].paused_term
    world.group.commit(world.group.primary, "x")
    world.promoter.execute_delayed()
    assert world.group.primary.name == A and world.group.lost == []


async def test_no_server_is_resumed_after_a_promotion_that_ended_its_pause(monkeypatch):
    """Reproduces review/4: a RESUME after a finished change, which was not needed, stayed
    unanswered, was executed seconds later and ended a pause of the next change.
    """
    world = proxy_world.World()
    changing, successor = await takeovers.hand_over_slowly(world)
    leads = takeover.Takeover._leads

    async def note_leading_late(attempt, server, **conditions):
        await asyncio.sleep(0.2)
        return await leads(attempt, server, **conditions)

    monkeypatch.setattr(takeover.Takeover, "_leads", note_leading_late)
    assert await changing
    for server in world.group.servers.values():
        assert "resume" not in server.received_commands


async def _commit_ahead_of(world: proxy_world.World, successor: ids.ServerId) -> None:
    """Commit what the successor has not received by the time at which it leads."""
    await asyncio.sleep(0.3)
    world.group.servers[successor].not_receiving = True
    assert not world.group.commit(world.group.servers[A], "x")


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("event", ["resumed late", "restarted"])
async def test_a_pause_that_ends_before_the_promotion_takes_effect_is_repeated(event, silent):
    """Reproduces review/4: the resumed replica confirmed commits before the successor had them."""
    world = proxy_world.World()
    changing, successor = await takeovers.hand_over_slowly(world, silent=silent)
    paused = next(name for name in (B, C) if name != successor)
    assert world.group.servers[paused].paused_term
    world.group.servers[paused].paused_term = 0
    if event == "restarted":
        for link in world.group.servers[paused].links:
            link.broken = True
    await _commit_ahead_of(world, successor)
    assert await changing
    assert world.group.lost == []


@pytest.mark.parametrize("silent", [False, True])
async def test_a_pause_that_ended_before_the_request_is_noticed(monkeypatch, silent):
    """A decision rests on a pause that a late RESUME ends while the promotion is recorded."""
    monkeypatch.setattr(claimed_attempt, "POLL_S", 0.2)
    world = proxy_world.World()
    world.group.servers[A].leaving = not silent
    world.list_servers()
    if silent:
        takeovers.cut_off(world)
    record = world.coordination.record_promotion

    async def record_and_resume(claim, server):
        for replica in (B, C):
            world.group.servers[replica].paused_term = 0
        return await record(claim, server)

    monkeypatch.setattr(world.coordination, "record_promotion", record_and_resume)
    promote = world.promoter.promote

    async def promote_after_commit(**request):
        if request["server"] != A:
            world.group.servers[request["server"]].not_receiving = True
            assert not world.group.commit(world.group.servers[A], "x")
        return await promote(**request)

    monkeypatch.setattr(world.promoter, "promote", promote_after_commit)
    assert await takeovers.take_over(world, silent=silent)
    assert world.group.lost == []


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("listed", [True, False])
async def test_a_server_that_starts_before_a_promotion_takes_effect_confirms_no_commit(
    listed, silent
):
    """Reproduces review/2 and the lost commits of Qafaz grown: a new replica confirmed commits
    that the successor had not received. Its entry may not even be known by then.
    """
    world = proxy_world.World()
    caller = world.open_session(PRIMARY)
    await world.run(caller, proxy_world.WRITE)
    changing, successor = await takeovers.hand_over_slowly(world, silent=silent)
    world.group.start_server(zone="d")
    if listed:
        world.list_servers()
    world.group.servers[successor].not_receiving = True
    writing = asyncio.create_task(world.run(caller, proxy_world.WRITE))
    await asyncio.sleep(0.3)
    if listed or not silent:
        # Also what an instance sends that has lost the store is confirmed by no one.
        assert not world.group.commit(world.group.servers[A], "x")
    assert await changing
    assert world.group.lost == []
    assert (await writing).succeeded
    assert world.group.statements[-1].server == successor


async def test_a_primary_takes_no_commits_from_the_comparison_with_its_successor_on():
    """Commits of instances that had not read the record were confirmed by a server that was not
    listed; the successor led with what it had received when its promotion was requested.
    """
    world = proxy_world.World()
    world.group.start_server(zone="d")
    record = world.coordination.record_promotion

    async def record_before_a_commit(claim, server):
        recorded = await record(claim, server)
        world.group.commit(world.group.servers[A], "x")
        return recorded

    world.coordination.record_promotion = record_before_a_commit
    changing, successor = await takeovers.hand_over_slowly(world)
    world.group.servers[successor].not_receiving = True
    assert not world.group.commit(world.group.servers[A], "y")
    assert await changing
    assert world.group.primary.name == successor and world.group.lost == []


async def test_commits_are_held_back_before_replicas_are_paused_in_a_failover(monkeypatch):
    """A primary that gives the holder no answer led for other instances; once the known replicas
    were paused, only a server that was not listed yet confirmed what they committed.
    """
    world = proxy_world.World()
    world.group.start_server(zone="d")
    takeovers.cut_off(world)
    record = world.coordination.record_promotion

    async def record_after_a_commit(claim, server):
        assert world.group.commit(world.group.servers[A], "x")
        return await record(claim, server)

    monkeypatch.setattr(world.coordination, "record_promotion", record_after_a_commit)
    assert await takeovers.take_over(world, silent=True)
    assert world.group.primary.name in (B, C) and world.group.lost == []


async def test_a_stopped_primary_is_promoted_again_when_its_successor_lacks_its_end():
    """What the successor lacks may have been confirmed by a server that is not known."""
    world = proxy_world.World()
    world.group.servers[A].leaving = True
    world.list_servers()
    world.group.start_server(zone="d")
    step_down = world.group.step_down

    def commit_and_step_down(server, term):
        world.group.servers[B].not_receiving = world.group.servers[C].not_receiving = True
        world.group.commit(server, "x")
        step_down(server, term)

    world.group.step_down = commit_and_step_down
    assert await takeovers.take_over(world)
    assert world.group.primary.name == A and world.group.term == 2
    assert world.group.acknowledged == ["x"] and world.group.lost == []
    assert world.coordination.promotions == {}


async def test_a_stopped_primary_that_leads_again_after_a_crash_is_stopped_again():
    world = proxy_world.World()
    changing, _ = await takeovers.hand_over_slowly(world)
    world.group.servers[A].role = promotion.Role.PRIMARY
    while world.group.servers[A].role is promotion.Role.PRIMARY:
        await asyncio.sleep(0.01)
    assert world.promoter.promotion_requests and world.group.primary is None
    assert await changing


async def test_a_server_that_starts_while_a_change_is_decided_is_paused():
    """The servers that may confirm commits were read once, at the start of the decision."""
    world = proxy_world.World()
    world.group.servers[A].up = False
    world.group.servers[C].silent = True
    changing = asyncio.create_task(takeovers.take_over(world))
    await asyncio.sleep(0.1)
    started = world.group.start_server(zone="d")
    world.list_servers()
    while not changing.done() and not started.paused_term:
        await asyncio.sleep(0.01)
    assert started.paused_term
    await changing


async def test_a_server_that_may_be_paused_and_does_not_answer_is_resumed_when_it_does():
    world = proxy_world.World()
    world.share_marks()
    world.group.servers[B].paused_term = 7
    world.group.servers[B].silent = True
    world.directory.unfinished[database_group.SERVICE] = ports.UnfinishedChange.PAUSED

    async def answer_again():
        await asyncio.sleep(1.2)
        world.group.servers[B].silent = False

    answering = asyncio.create_task(answer_again())
    await takeovers.watch_until(world, lambda: not world.group.servers[B].paused_term, limit_s=8.0)
    await answering


async def test_an_unanswered_promotion_request_stays_recorded_while_no_leader_is_known():
    world = proxy_world.World()
    world.directory.unfinished = world.coordination.unfinished
    world.coordination.unfinished[database_group.SERVICE] = (
        ports.UnfinishedChange.PROMOTION_REQUESTED
    )
    world.service.leadership.forget(A)
    await claimed_changes.clean_up(
        target=world.service,
        coordination=world.coordination,
        promoter=world.promoter,
        unfinished=ports.UnfinishedChange.PROMOTION_REQUESTED,
    )
    assert (
        world.coordination.unfinished[database_group.SERVICE]
        is ports.UnfinishedChange.PROMOTION_REQUESTED
    )


async def test_an_answered_promotion_request_leaves_no_unfinished_change():
    world = proxy_world.World()
    world.group.servers[A].up = False
    assert await takeovers.take_over(world)
    assert world.coordination.unfinished == {}


async def test_a_service_claimed_by_another_instance_is_left_alone():
    world = proxy_world.World()
    world.coordination.claimed.add(database_group.SERVICE)
    assert not await takeovers.take_over(world)
    assert world.promoter.promotion_requests == []


async def test_a_primary_found_to_lead_already_is_kept():
    world = proxy_world.World()
    world.group.promote(B)
    assert await takeovers.take_over(world)
    assert world.promoter.promotion_requests == []
    assert world.service.leader.server == B


async def test_a_primary_that_is_no_longer_listed_is_replaced():
    world = proxy_world.World()
    world.group.servers[A].up = False
    listed = {entry.server: entry for entry in world.group.entries() if entry.server != A}
    world.directory.servers.replace(listed, clock.now_s())
    world.directory.refresh()
    await takeovers.watch_until(world, lambda: takeovers.another_leads(world))
    assert world.group.lost == []


async def test_an_instance_that_just_started_waits_until_all_servers_are_listed():
    """Guards against a change of primary while the list of servers is incomplete.

    After an outage of the store only one replica was listed. It was promoted while the primary and
    the other replica went on with commits (run Solarloaf grown, hunt-e691-3).
    """
    world = proxy_world.World()
    world.directory.servers = registration_list.RegistrationList()
    world.directory.servers.note_recovery(clock.now_s())
    entries = {entry.server: entry for entry in world.group.entries()}
    world.directory.servers.replace({B: entries[B]}, clock.now_s())
    world.directory.refresh()
    watching = asyncio.create_task(world.watch.run())
    await asyncio.sleep(1.2)
    world.group.servers[B].not_receiving = True
    world.group.commit(world.group.primary, "x")
    world.list_servers()
    await asyncio.sleep(0.5)
    watching.cancel()
    await asyncio.gather(watching, return_exceptions=True)
    assert world.promoter.promotion_requests == []
    assert world.group.lost == []


async def test_a_leaving_primary_is_replaced_by_the_watch():
    world = proxy_world.World()
    world.group.servers[A].leaving = True
    world.list_servers()
    await takeovers.watch_until(world, lambda: takeovers.another_leads(world))


async def test_a_crashed_primary_is_voted_for_and_replaced_when_votes_suffice():
    world = proxy_world.World()
    caller = world.open_session(PRIMARY)
    await world.run(caller, proxy_world.WRITE)
    world.group.servers[A].up = False

    async def cast_votes():
        while not world.coordination.votes:
            await world.run(caller, proxy_world.WRITE)
        world.directory.votes.add(
            directory.Vote(
                service=database_group.SERVICE, server=A, instance=world.directory.instance
            )
        )

    casting = asyncio.create_task(cast_votes())
    await takeovers.watch_until(world, lambda: takeovers.another_leads(world), limit_s=8.0)
    await casting
    assert world.group.lost == []


async def test_replicas_left_paused_by_a_dead_instance_are_resumed():
    world = proxy_world.World()
    world.group.servers[B].paused_term = 7
    world.directory.unfinished[database_group.SERVICE] = ports.UnfinishedChange.PAUSED
    await takeovers.watch_until(world, lambda: not world.group.servers[B].paused_term)


async def test_a_healthy_primary_is_left_alone():
    world = proxy_world.World()
    watching = asyncio.create_task(world.watch.run())
    caller = world.open_session(PRIMARY)
    for _ in range(20):
        await world.run(caller, proxy_world.WRITE)
        await asyncio.sleep(0.02)
    watching.cancel()
    await asyncio.gather(watching, return_exceptions=True)
    assert world.promoter.promotion_requests == []
    assert world.coordination.votes == []


def _status(offset: int, role: promotion.Role = promotion.Role.REPLICA):
    group = database_group.Group()
    server = group.servers[B]
    server.log = [database_group.LogEntry(term=1, data=str(n)) for n in range(offset)]
    server.role = role
    return group.status(server)


def _evidence(**fields: object) -> promotion.Evidence:
    """Build evidence in which commits have ended."""
    return promotion.Evidence(
        commits_held=True, former_primary=promotion.FormerPrimary.NOT_LISTENING, **fields
    )


@pytest.mark.parametrize("offsets, chosen", [((3, 5), C), ((5, 3), B), ((5, 5), B)])
def test_the_highest_paused_log_is_chosen(offsets, chosen):
    paused = {B: _status(offsets[0]), C: _status(offsets[1])}
    choice = promotion.choose(_evidence(expected={B, C}, paused=paused), leaving=set())
    assert choice.server == chosen


def test_a_leaving_replica_is_chosen_only_when_its_log_alone_is_the_highest():
    paused = {B: _status(5), C: _status(5)}
    choice = promotion.choose(_evidence(expected={B, C}, paused=paused), leaving={B})
    assert choice.server == C
    paused = {B: _status(5), C: _status(3)}
    choice = promotion.choose(_evidence(expected={B, C}, paused=paused), leaving={B})
    assert choice.server == B


@pytest.mark.parametrize(
    ("requested", "may_be_sent", "chosen"),
    [(B, True, B), (B, False, C), (D, True, D), (D, False, D), (None, False, C)],
)
def test_a_recorded_server_that_leaves_is_preferred_only_if_its_request_may_have_been_sent(
    requested, may_be_sent, chosen
):
    paused = {B: _status(5), C: _status(5), D: _status(5)}
    choice = promotion.choose(
        _evidence(expected={B, C, D}, paused=paused),
        leaving={B},
        requested=requested,
        may_be_sent=may_be_sent,
    )
    assert choice.server == chosen


def test_a_recorded_server_that_leaves_is_chosen_among_others_that_leave():
    paused = {B: _status(5), C: _status(5)}
    evidence = _evidence(expected={B, C}, paused=paused)
    choice = promotion.choose(evidence, leaving={B, C}, requested=C, may_be_sent=False)
    assert choice.server == C


async def test_an_unreachable_primary_is_suspected_although_its_connections_are_abandoned():
    world = proxy_world.World()
    caller = world.open_session(PRIMARY)
    other = world.open_session(requests.RouteKind.BOUNDED_STALENESS)
    await world.run(caller, proxy_world.WRITE)
    world.group.servers[A].silent = True
    watching = asyncio.create_task(world.watch.run())
    started_s = clock.now_s()
    while not world.coordination.votes and clock.now_s() - started_s < 3.0:
        await asyncio.gather(
            world.run(world.open_session(PRIMARY), proxy_world.READ),
            world.run(other, proxy_world.READ),
        )
    elapsed_s = clock.now_s() - started_s
    watching.cancel()
    await asyncio.gather(watching, return_exceptions=True)
    assert world.coordination.votes == [(database_group.SERVICE, A)]
    assert elapsed_s < 2.5


async def test_a_change_that_takes_longer_than_a_claim_lasts_is_finished(monkeypatch):
    """Claims last for a short time, so that those of a dead holder, or those that a restored store
    has lost, keep the others waiting for seconds only.
    """
    monkeypatch.setattr(takeover, "CLAIM_RENEWAL_S", 0.1)
    world = proxy_world.World()
    world.coordination.claim_s = claimed_attempt.CLAIM_MARGIN_S + 0.4
    promote = world.promoter.promote

    async def promote_slowly(**request):
        await asyncio.sleep(1.0)
        return await promote(**request)

    monkeypatch.setattr(world.promoter, "promote", promote_slowly)
    world.group.servers[A].up = False
    assert await takeovers.take_over(world)


async def test_a_holder_whose_claim_the_store_has_lost_stops(monkeypatch):
    monkeypatch.setattr(takeover, "CLAIM_RENEWAL_S", 0.05)
    world = proxy_world.World()

    async def lose(claim):
        return None

    monkeypatch.setattr(world.coordination, "renew", lose)
    monkeypatch.setattr(takeover.Takeover, "_decide_once", _decide_late)
    world.group.servers[A].up = False
    assert not await takeovers.take_over(world)
    assert world.promoter.promotion_requests == []


async def _decide_late(attempt, primary, silent):
    await asyncio.sleep(0.3)
    return promotion.Choice(verdict=promotion.Verdict.PROMOTE, server=B, reason="late")


async def test_commits_go_on_when_the_store_lost_the_record_of_a_promotion():
    """A store restored from a copy never tells the holder that its record is gone."""
    world = proxy_world.World()
    world.service.note_recorded_promotion(B)
    writing = asyncio.create_task(world.run(world.open_session(PRIMARY), proxy_world.WRITE))
    watching = asyncio.create_task(world.watch.run())
    assert (await writing).succeeded
    watching.cancel()
    await asyncio.gather(watching, return_exceptions=True)


async def test_a_settled_request_that_an_instance_still_knows_changes_no_primary():
    world = proxy_world.World()
    world.service.note_recorded_promotion(B)
    await claimed_changes.clean_up(
        target=world.service,
        coordination=world.coordination,
        promoter=world.promoter,
        unfinished=ports.UnfinishedChange.PROMOTION_REQUESTED,
    )
    assert world.promoter.promotion_requests == [] and world.coordination.unfinished == {}


async def test_only_some_instances_resume_servers_that_may_be_paused():
    """Each attempt is a few calls to the store; with hundreds of instances they would fill it."""
    world = proxy_world.World()
    name, others = database_group.SERVICE, 0
    while world.watch._rank(name) < failover_watch.RESUMING_INSTANCES:
        others += 1
        peer = directory.Peer(zone=ids.ZoneName("a"))
        world.directory.instances.put(ids.InstanceId(f"other-{others}"), peer)
    world.directory.unfinished[name] = ports.UnfinishedChange.PAUSED
    watching = asyncio.create_task(world.watch.run())
    await asyncio.sleep(failover_watch.RANK_DELAY_S * (others + 1) + 0.3)
    watching.cancel()
    await asyncio.gather(watching, return_exceptions=True)
    assert world.coordination.revision == 0
