"""A stopping instance cuts statements of transactions that it could have ended before."""

import asyncio
import dataclasses
import math
import random
import signal

import standins

DATABASES = {"i-9c41d0e2": "nizwa-a", "i-5b07f3a1": "bahla-b", "i-1e88c2d4": "sur-a"}
GAP_S = 2.5
RETRY_S = 0.3
WARM_UP_S = 24.0
WORK_S = 0.04
WORK_SPREAD = 0.7
MAX_WORK_S = 0.3
"""The work of the site's ``stitch-queue``: mean, spread of its logarithm, and limit."""
START_SPREAD_S = 4.0
CLIENTS = 5
"""Sessions at each instance."""
STATEMENTS = 12
"""The pages: a transaction of up to 12 statements with pauses between them."""
PAUSES_S = (0.0, 0.04)
TIMEOUT_S = 2.0
LOSS_SLACK_S = 0.2


@dataclasses.dataclass(kw_only=True)
class Cut:
    """A statement whose connection ended without an answer."""

    request: str
    sent_s: float
    ended_s: float


def draw_work_s() -> float:
    """Draw the work of one statement."""
    drawn_s = random.lognormvariate(math.log(WORK_S) - WORK_SPREAD**2 / 2, WORK_SPREAD)
    return min(MAX_WORK_S, drawn_s)


async def run_transactions(
    deployment: standins.Deployment,
    instance: standins.Instance,
    name: str,
    cuts: list[Cut],
    end: asyncio.Event,
) -> None:
    """Run transaction after transaction over an instance; none is begun while it stops."""
    record = deployment.record
    await asyncio.sleep(random.uniform(0.0, START_SPREAD_S))
    while not end.is_set():
        if instance.stopping:
            await asyncio.sleep(0.1)
            continue
        client = standins.Client(record, f"{name}-{random.randrange(1 << 30):08x}")
        if not await client.open(instance, "db-bounded_staleness"):
            await asyncio.sleep(0.1)
            continue
        open_session = True
        while open_session and not end.is_set():
            texts = ["BEGIN"]
            texts += [f"READ item-{number}" for number in range(STATEMENTS - 2)]
            texts += ["COMMIT"]
            for text in texts:
                sent_s = record.now_s()
                request, lines = await client.query(text)
                if not lines:
                    cuts.append(Cut(request=request, sent_s=sent_s, ended_s=record.now_s()))
                open_session = bool(lines) and not any(line.startswith("ERROR") for line in lines)
                if not open_session:
                    await asyncio.sleep(RETRY_S)
                    break
                await asyncio.sleep(random.uniform(*PAUSES_S))
        client.close()


def breaks_rule(cut: Cut, *, stopped_s: float, passed_on: set[str]) -> bool:
    """Whether a cut statement counts: the excuses of the rule LOST do not hold for it.

    The databases broke nothing off. One that was at work in the last sixth of the grace on a
    statement of the first 3 s is excused, and so is one that reached its route's time limit.
    """
    if not stopped_s <= cut.ended_s <= stopped_s + standins.GRACE_S + 1.0:
        return False
    if cut.request not in passed_on and cut.ended_s - cut.sent_s <= LOSS_SLACK_S:
        return False
    last_sixth_s = stopped_s + standins.GRACE_S * 5 / 6
    excused = cut.sent_s <= stopped_s + 3.0 and cut.ended_s >= last_sixth_s
    return not excused and cut.ended_s - cut.sent_s < TIMEOUT_S


async def stop_and_start(deployment: standins.Deployment, instance: standins.Instance) -> None:
    """Stop an instance as the platform does and start it again; without trouble only wait."""
    if standins.trouble():
        await deployment.signal(instance, signal.SIGTERM)
        try:
            async with asyncio.timeout(standins.GRACE_S):
                await instance.process.wait()
        except TimeoutError:
            await deployment.signal(instance, signal.SIGKILL)
            await instance.process.wait()
        deployment.record.write(f"instance {instance.name} ends with {instance.process.returncode}")
        await deployment.start_instance(instance)
        while not await instance.ready():
            await asyncio.sleep(0.05)
        instance.stopping = False
    else:
        await asyncio.sleep(standins.GRACE_S)
    await asyncio.sleep(GAP_S)


async def case(record: standins.Record) -> int:
    deployment = standins.Deployment(record, DATABASES)
    end, cuts = asyncio.Event(), []
    try:
        await deployment.start()
        await asyncio.sleep(WARM_UP_S)
        for database in deployment.group.databases.values():
            database.draw_work_s = draw_work_s
        sessions = [
            asyncio.create_task(
                run_transactions(deployment, instance, f"{instance.name}-{number}", cuts, end)
            )
            for number in range(CLIENTS)
            for instance in deployment.instances.values()
        ]
        await asyncio.sleep(START_SPREAD_S + 2.0)
        stops: dict[str, float] = {}
        for name, instance in deployment.instances.items():
            stops[name] = record.now_s()
            await stop_and_start(deployment, instance)
        end.set()
        await asyncio.wait(sessions, timeout=5.0)
        passed_on = {request for _, _, request in deployment.group.arrivals}
        counted = 0
        for name, stopped_s in stops.items():
            own = [cut for cut in cuts if cut.request.startswith(f"{name}-")]
            for cut in own:
                if not breaks_rule(cut, stopped_s=stopped_s, passed_on=passed_on):
                    continue
                counted += 1
                record.write(
                    f"cut: {cut.request}, sent {cut.sent_s - stopped_s:.3f} s after SIGTERM,"
                    f" passed on to a database: {cut.request in passed_on},"
                    f" connection ended {cut.ended_s - stopped_s:.3f} s after SIGTERM"
                )
        record.write(f"{len(cuts)} statements without answer, {counted} break the rule")
        return standins.BROKEN if counted else standins.HELD
    finally:
        end.set()
        await deployment.stop()


standins.run(case)
