"""A holder dies while its promotion call is under way; the call is carried out seconds later."""

import asyncio
import signal

import standins

DATABASES = {"i-9c41d0e2": "nizwa-a", "i-5b07f3a1": "bahla-b", "i-1e88c2d4": "sur-a"}
WARM_UP_S = 8.0
DARK_S = 2.4
"""The pages' site has 7 s."""
LATE_S = 5.0
"""The pages: carried out 2 to 12 s later."""
KILLED_AFTER_S = 0.2
RESTART_S = 3.5


async def disrupt(deployment: standins.Deployment) -> bool:
    """Darken the primary, then kill the instance whose promotion call is under way."""
    group, cloud = deployment.group, deployment.cloud
    primary = group.primary
    cloud.lose_next, cloud.late_s = 1, LATE_S
    primary.go_dark()
    asyncio.get_running_loop().call_later(DARK_S, primary.come_back)
    try:
        async with asyncio.timeout(DARK_S):
            await cloud.arrived.wait()
    except TimeoutError:
        return False
    await asyncio.sleep(KILLED_AFTER_S)
    holder = deployment.instances[cloud.last_holder]
    await deployment.signal(holder, signal.SIGKILL)
    await holder.process.wait()
    await asyncio.sleep(RESTART_S)
    await deployment.start_instance(holder)
    return True


async def case(record: standins.Record) -> int:
    deployment = standins.Deployment(record, DATABASES)
    end, acknowledged = asyncio.Event(), []
    try:
        await deployment.start()
        await asyncio.sleep(WARM_UP_S)
        sessions = [
            asyncio.create_task(
                standins.write_on(
                    deployment, instance, f"w{number}", acknowledged, pause_s=0.03, end=end
                )
            )
            for number in range(2)
            for instance in deployment.instances.values()
        ]
        sessions += [
            asyncio.create_task(
                standins.read_on(deployment, instance, f"r{number}", pause_s=0.05, end=end)
            )
            for number in range(2)
            for instance in deployment.instances.values()
        ]
        await asyncio.sleep(1.0)
        if standins.trouble() and not await disrupt(deployment):
            return standins.NOT_RUN
        await asyncio.sleep(LATE_S + 2.0)
        end.set()
        await asyncio.wait(sessions, timeout=5.0)
        lost = standins.lost_commits(deployment.group, acknowledged)
        record.write(f"{len(acknowledged)} commits acknowledged, {len(lost)} of them lost: {lost}")
        return standins.BROKEN if lost else standins.HELD
    finally:
        end.set()
        await deployment.stop()


standins.run(case)
