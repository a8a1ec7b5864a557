"""The judge of full runs, and a small run of real processes."""

import asyncio
import dataclasses
import random
import time

import pytest

from mustardswitch_standins import database_group, line_protocol_databases
from mustardswitch_standins.full_run import (
    busy_databases,
    day_steps,
    figures,
    measured_group,
    processes,
    run,
    verdict,
)

SEED = 7


@pytest.fixture
def group(monkeypatch):
    monkeypatch.setattr(figures, "PROMOTION_EFFECTS_S", (0.0, 0.0))
    return measured_group.MeasuredGroup(
        service="service-0", size=figures.SIZES["small"], source=random.Random(SEED)
    )


def report(group):
    return {
        "promotions": [vars(promotion) for promotion in group.promotions],
        "acknowledged_at_s": group.acknowledged_at_s,
    }


async def promote_a_replica_that_missed(group, writes):
    """Let one replica miss acknowledged writes, and promote it; return it and the other one."""
    behind, other = [each for each in group.servers.values() if each is not group.leader]
    behind.not_receiving = True
    for data in writes:
        assert await group.confirm(group.leader, [data], 5.0)
    assert group.call_promotion(behind.name, [behind.name])
    group.promote(behind.name)
    return behind, other


async def test_the_judge_reports_an_acknowledged_commit_that_the_promoted_log_lacks(group):
    former = group.leader
    started_s = time.time()
    behind, other = await promote_a_replica_that_missed(group, ["w1", "w2"])
    judged = verdict.judge(
        {"service-0": report(group)}, from_s=started_s, until_s=time.time(), written={"w2", "w3"}
    )
    (promotion,) = judged.promotions
    assert (judged.lost, judged.rolled_back, judged.passes) == (2, 2, False)
    assert (promotion.server, promotion.former) == (behind.name, former.name)
    assert promotion.lost == ["w1", "w2"]
    assert promotion.holders == {
        f"{former.name} (never listed)": 2,
        f"{other.name} (never listed)": 2,
    }
    line, _, summary = verdict.describe(judged, from_s=started_s)
    assert "2 LOST, w1 to w2" in line
    assert summary.startswith("1 promotions, 2 commits lost (1 answered to callers)")


async def test_the_judge_tells_which_holders_were_listed_at_the_call(group):
    former = group.leader
    former.was_listed = True
    behind, other = [each for each in group.servers.values() if each is not former]
    behind.not_receiving = True
    assert await group.confirm(former, ["w1"], 5.0)
    group.call_promotion(behind.name, [behind.name, other.name])
    group.promote(behind.name)
    assert group.promotions[0].holders == {
        f"{former.name} (not listed)": 1,
        f"{other.name} (listed)": 1,
    }


async def test_the_time_of_the_effect_of_each_promotion_is_drawn(monkeypatch):
    groups = [
        measured_group.MeasuredGroup(
            service="service-0", size=figures.SIZES["small"], source=random.Random(SEED)
        )
        for _ in range(2)
    ]
    drawn: list[list[float]] = [[], []]
    for group, delays_s in zip(groups, drawn, strict=True):
        monkeypatch.setattr(
            group, "request_promotion", lambda name, delay_s, to=delays_s: to.append(delay_s)
        )
        for _ in range(50):
            group.call_promotion(group.leader.name, [])
    first, second = drawn
    assert first == second
    assert 0.2 <= min(first) < 0.3 and 0.9 < max(first) <= 1.0


async def test_the_later_of_two_calls_may_take_effect_first(group, monkeypatch):
    times_s = iter([0.2, 0.05])
    monkeypatch.setattr(group.effect_source, "uniform", lambda *limits: next(times_s))
    replicas = [each.name for each in group.servers.values() if each is not group.leader]
    for name in replicas:
        assert group.call_promotion(name, [])
    await asyncio.sleep(0.4)
    assert [each.server for each in group.promotions] == replicas[::-1]


def test_the_judge_reports_the_longest_time_without_an_acknowledged_write():
    reports = {
        "service-0": {"promotions": [], "acknowledged_at_s": [101.0, 102.0, 114.0]},
        "service-1": {"promotions": [], "acknowledged_at_s": [105.0, 110.0]},
    }
    judged = verdict.judge(reports, from_s=100.0, until_s=115.0)
    assert judged.gap == verdict.Gap(service="service-0", starts_s=102.0, length_s=12.0)
    assert not judged.passes
    line, _ = verdict.describe(judged, from_s=100.0)
    assert line.endswith("in s: service-0 12.0, service-1 5.0")


async def test_a_server_with_a_full_queue_refuses_statements_and_orders():
    size = figures.SIZES["small"]
    group = measured_group.MeasuredGroup(service="service-0", size=size, source=random.Random(SEED))
    databases = busy_databases.BusyDatabases(group=group, size=size, source=random.Random(SEED))
    slots = busy_databases.Slots(size=size)
    for _ in range(size.slots):
        await slots.free.acquire()
    slots.waiting = size.queue
    databases.slots[group.leader.name] = slots
    link = database_group.FakeLink(group=group, server=group.leader)
    for text in ("READ x", "WRITE x y", "STATUS", "PAUSE 5", "STEPDOWN 5"):
        incoming = line_protocol_databases.Incoming(reader=asyncio.StreamReader())
        answer = await databases._answer_in_slot(group.leader, link, {}, "-", text, incoming)
        assert answer.startswith(b"ERROR BUSY")
    assert group.leader is group.primary


@pytest.mark.parametrize(
    "completes_running, completes_queued, written",
    [(True, True, ["w1", "w2"]), (True, False, ["w1"]), (False, False, [])],
)
async def test_a_stopped_primary_completes_what_occupies_a_slot_and_what_waits_if_set(
    completes_running, completes_queued, written
):
    """One write runs and another waits as the primary steps down; a third comes later."""
    size = dataclasses.replace(
        figures.SIZES["small"],
        slots=1,
        completes_running=completes_running,
        completes_queued=completes_queued,
    )
    group = measured_group.MeasuredGroup(service="service-0", size=size, source=random.Random(SEED))
    databases = busy_databases.BusyDatabases(group=group, size=size, source=random.Random(SEED))
    databases._draw_work_s = lambda text: 0.05
    primary = group.leader
    databases.slots[primary.name] = busy_databases.Slots(size=size)

    async def write(request):
        link = database_group.FakeLink(group=group, server=primary)
        incoming = line_protocol_databases.Incoming(reader=asyncio.StreamReader())
        return await databases._answer_in_slot(
            primary, link, {}, request, "WRITE item data", incoming
        )

    writing = [asyncio.create_task(write(request)) for request in ("w1", "w2")]
    await asyncio.sleep(0.02)
    group.step_down(primary, 2)
    answers = [*await asyncio.gather(*writing), await write("w3")]
    assert [each.data for each in primary.log] == group.acknowledged == written
    refused = [b"ERROR READONLY" in answer for answer in answers]
    assert refused == [request not in written for request in ("w1", "w2", "w3")]


def test_servers_of_a_full_run_complete_what_occupies_a_slot_and_what_was_closed():
    assert all(size.completes_running and size.runs_closed for size in figures.SIZES.values())


async def test_a_small_release_day_runs_and_loses_no_commit(tmp_path):
    size = figures.SIZES["small"]
    size = dataclasses.replace(size, instances=3, services=1, rate=60.0)
    day = day_steps.Day(
        steps=[day_steps.Step(at_s=2.0, name="release", fields={"services": 1})], length_s=9.0
    )
    started = run.Run(
        directory=tmp_path,
        size=size,
        seed=SEED,
        day=day,
        source=processes.SOURCE,
        busy=0,
    )
    judged = await started.run()
    assert started.counts["done"] > 0
    assert judged.acknowledged > 0
    assert len(judged.promotions) >= 1
    assert judged.lost == 0
    assert started.written
