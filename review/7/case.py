"""The primary leaves, and the replicas crash for a few seconds at the same time."""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CRASH_AFTER_S = 0.3
"""From the acknowledged report of the primary until the replicas crash."""
DOWN_S = 7.0
"""Time for which the replicas are down."""
LEAVES_AFTER_S = 10.0
"""From the acknowledged report until the database ends; it serves until then."""
PAUSE_S = 0.1
SETTLE_S = 6.0
"""The machines are in touch after 5 s without disruption."""


async def read_on(client, port, until_s):
    """Send single reads, one after the other; opens the session again when it ends."""
    connected = False
    while time.monotonic() < until_s:
        if not connected:
            client.close()
            connected = await client.open(port, "db-primary", "u1") == "READY I -"
        elif not (await client.query("READ item"))[-1]:
            connected = False
        await asyncio.sleep(PAUSE_S)


async def run(record, folder):
    """Return the exit status."""
    platform = standins.Platform(record, folder)
    group = platform.group
    try:
        await platform.start(3)
        await asyncio.sleep(SETTLE_S)
        first = standins.Client(record, "c0")
        await first.open(platform.instances[0].front, "db-primary", "u0")
        if not standins.succeeded(await first.query("WRITE item data")):
            return 2
        leaving = "i-1"
        acked_s = group.drain(leaving)
        replicas = [name for name in group.databases if name != leaving]
        await asyncio.sleep(CRASH_AFTER_S)
        if TROUBLE:
            for name in replicas:
                group.crash(name)
        reading = [
            asyncio.create_task(
                read_on(
                    standins.Client(record, f"c{index + 1}"),
                    instance.front,
                    acked_s + LEAVES_AFTER_S,
                )
            )
            for index, instance in enumerate(platform.instances)
        ]
        await asyncio.sleep(DOWN_S)
        if TROUBLE:
            for name in replicas:
                await group.restart(name)
        await asyncio.gather(*reading)
        late = [
            (at_s - acked_s, request)
            for at_s, name, request in group.arrivals
            if name == leaving and at_s > acked_s + standins.DRAIN_S
        ]
        for after_s, request in late[:10]:
            record.note(f"{leaving} got {request} {after_s:.3f} s after its report")
        record.note(f"{len(late)} requests reached {leaving} later than {standins.DRAIN_S} s")
        return 1 if late else 0
    finally:
        await platform.stop()


def main():
    record = standins.Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = asyncio.run(asyncio.wait_for(run(record, folder), 110.0))
        except (OSError, TimeoutError) as error:
            record.note(f"the case could not run: {error!r}")
            status = 2
    record.note(f"exit status {status}")
    return status


if __name__ == "__main__":
    sys.exit(main())
