"""A leaving replica is cut off from the store while the lead of the primary is handed over."""

import asyncio

import standins

DATABASES = {"i-9c41d0e2": "nizwa-a", "i-5b07f3a1": "bahla-b", "i-1e88c2d4": "sur-a"}
LEAVING_REPLICA = "i-5b07f3a1"
WARM_UP_S = 8.0
CUT_AFTER_S = 0.5
CUT_S = 5.0
"""The length that the pages give."""
PRIMARY_LEAVES_AFTER_S = 4.2
"""After the cut; by then the replica's entry has expired."""
SETTLED_S = 5.0


async def case(record: standins.Record) -> int:
    deployment = standins.Deployment(record, DATABASES)
    group = deployment.group
    replica = group.databases[LEAVING_REPLICA]
    end, acknowledged = asyncio.Event(), []

    def set_reach(reaches_store: bool) -> None:
        record.write(f"server {replica.name} {'reaches' if reaches_store else 'loses'} the store")
        replica.reaches_store = reaches_store

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
            asyncio.create_task(standins.read_on(deployment, instance, "r", pause_s=0.05, end=end))
            for instance in deployment.instances.values()
        ]
        leaving = group.primary
        record.write(f"server {replica.name} reports that it is draining")
        replica.draining = True
        await asyncio.sleep(CUT_AFTER_S)
        if standins.trouble():
            set_reach(False)
            asyncio.get_running_loop().call_later(CUT_S, set_reach, True)
        await asyncio.sleep(PRIMARY_LEAVES_AFTER_S)
        record.write(f"server {leaving.name} reports that it is draining")
        leaving.draining = True
        await asyncio.sleep(SETTLED_S)
        end.set()
        await asyncio.wait(sessions, timeout=5.0)
        if group.primary is leaving:
            return standins.NOT_RUN
        lost = standins.lost_commits(group, acknowledged)
        record.write(f"{len(acknowledged)} commits acknowledged, {len(lost)} of them lost: {lost}")
        return standins.BROKEN if lost else standins.HELD
    finally:
        end.set()
        await deployment.stop()


standins.run(case)
