"""A RESUME of one change of primary is carried out late, in the middle of the next one."""

import asyncio

import standins

DATABASES = {"i-9c41d0e2": "nizwa-a", "i-5b07f3a1": "bahla-b", "i-1e88c2d4": "sur-a"}
FIRST, SECOND = "i-9c41d0e2", "i-5b07f3a1"
"""The databases that leave, one after the other."""
WARM_UP_S = 8.0
BETWEEN_S = 4.5
LATE_S = 3.9
"""The pages: carried out 2 to 12 s later."""
SETTLED_S = 5.0


async def case(record: standins.Record) -> int:
    deployment = standins.Deployment(record, DATABASES)
    group = deployment.group
    end, acknowledged = asyncio.Event(), []

    def report_draining(name: str) -> None:
        record.write(f"server {name} reports that it is draining")
        group.databases[name].draining = True

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
        await asyncio.sleep(1.0)
        if standins.trouble():
            group.databases[FIRST].late_resumes = 1
            group.databases[FIRST].late_resume_s = LATE_S
        report_draining(FIRST)
        await asyncio.sleep(BETWEEN_S)
        if group.primary.name != SECOND:
            record.write(f"the case could not run: {group.primary.name} leads")
            return standins.NOT_RUN
        report_draining(SECOND)
        await asyncio.sleep(SETTLED_S)
        end.set()
        await asyncio.wait(sessions, timeout=5.0)
        lost = standins.lost_commits(group, acknowledged)
        record.write(f"{len(acknowledged)} commits acknowledged, {len(lost)} of them lost: {lost}")
        return standins.BROKEN if lost else standins.HELD
    finally:
        end.set()
        await deployment.stop()


standins.run(case)
