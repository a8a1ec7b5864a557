"""An entry of another writer, with fields missing, lies beside those of the databases."""

import asyncio
import json

import standins

DATABASES = {"i-9c41d0e2": "nizwa-a", "i-5b07f3a1": "bahla-b", "i-1e88c2d4": "sur-a"}
FOREIGN = "servers/i-74d1ab90"
WARM_UP_S = 8.0
ENDS_AFTER_S = standins.DRAIN_MS / 1000 + 3.0
"""The leaving primary ends some seconds after ``drain_ms``, as the pages allow."""
LATER_S = 15.0
"""Time of writes after the primary has ended."""


def foreign_entry() -> bytes:
    """Return an entry without ``version``, ``warmup_left_ms`` and ``seq``; nobody listens there."""
    return json.dumps(
        {
            "service": standins.SERVICE,
            "addr": f"127.0.0.1:{standins.free_port()}",
            "zone": "nizwa-a",
            "slots": 3,
            "state": "ready",
            "db_role": "replica",
        }
    ).encode()


async def case(record: standins.Record) -> int:
    deployment = standins.Deployment(record, DATABASES)
    group = deployment.group
    end, acknowledged = asyncio.Event(), []
    try:
        await deployment.start()
        await asyncio.sleep(WARM_UP_S)
        sessions = [
            asyncio.create_task(
                standins.write_on(deployment, instance, "w", acknowledged, pause_s=0.1, end=end)
            )
            for instance in deployment.instances.values()
        ]
        sessions += [
            asyncio.create_task(standins.read_on(deployment, instance, "r", pause_s=0.1, end=end))
            for instance in deployment.instances.values()
        ]
        if standins.trouble():
            record.write(f"another writer puts {FOREIGN}")
            deployment.store.put(FOREIGN, foreign_entry())
        await asyncio.sleep(5.0)
        leaving = group.primary
        record.write(f"server {leaving.name} reports that it is draining")
        leaving.draining = True
        await asyncio.sleep(0.05)
        acknowledged_s = record.now_s()
        await asyncio.sleep(ENDS_AFTER_S)
        record.write(f"server {leaving.name} ends")
        leaving.stop()
        served = len(acknowledged)
        await asyncio.sleep(LATER_S)
        end.set()
        await asyncio.wait(sessions, timeout=5.0)
        bound_s = acknowledged_s + standins.DRAIN_MS / 1000
        late = [
            (at_s, request)
            for at_s, name, request in group.arrivals
            if name == leaving.name and at_s > bound_s
        ]
        for at_s, request in late[:20]:
            record.write(f"{request} reached {leaving.name} {at_s - acknowledged_s:.3f} s after it")
        record.write(
            f"{len(late)} statements reached {leaving.name} over {standins.DRAIN_MS} ms after the"
            f" store had its report; {len(acknowledged) - served} writes were served in the"
            f" {LATER_S:.0f} s after it had ended"
        )
        return standins.BROKEN if late else standins.HELD
    finally:
        end.set()
        await deployment.stop()


standins.run(case)
