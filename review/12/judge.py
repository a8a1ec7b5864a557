"""Moves a route to another service while one instance hears of it late, and reads own writes."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "11"))

import deployment_3 as deployment
import forwarding_3 as forwarding
import platform_3 as platform

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SESSIONS = 8
WRITE_PAUSE_S = 0.2
CUT_S = 5.0


class JudgedGroup(platform.Group):
    """Notes reads on a log that lacks an earlier commit of the same session."""

    reads = {}
    broken = []

    def signed(self, request, signature):
        super().signed(request, signature)
        if request not in self.reads:
            return
        name = next(each for _, found, each, _ in reversed(self.arrivals) if found == request)
        held = {entry[1] for entry in self.databases[name].log}
        missing = [
            each for each in self.reads[request] if self.committed[each] and each not in held
        ]
        if missing:
            self.broken.append(request)
            self.record.note(
                f"STALE: {request} runs on the log of {name}, which lacks the session's own"
                f" commits {missing}, acknowledged before"
            )


async def read_own_writes(entry, stop):
    """Write now and then and read in between, in one session."""
    client = await entry.session("db-read_your_writes")
    own, written_s = [], 0.0
    while not stop.is_set():
        request = f"q{os.urandom(6).hex()}"
        if time.monotonic() > written_s + WRITE_PAUSE_S:
            written_s = time.monotonic()
            _, answer = await client.query(f"WRITE 1a{len(own)} data{len(own)}", request)
            if deployment.succeeded(answer):
                own.append(request)
        else:
            JudgedGroup.reads[request] = own[-5:]
            _, answer = await client.query("READ 1a0", request)
            await asyncio.sleep(0.02)
        if not answer[-1]:
            break
    client.close()


async def judge(record):
    fleet = forwarding.Forwarding(record, "read_your_writes", JudgedGroup)
    try:
        await fleet.start()
        entry, _ = await fleet.find_entry()
        stop = asyncio.Event()
        clients = [asyncio.create_task(read_own_writes(entry, stop)) for _ in range(SESSIONS)]
        await asyncio.sleep(3.0)
        if TROUBLE:
            fleet.cut(entry, True)
        fleet.move(7)
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            fleet.cut(entry, False)
        await asyncio.sleep(3.0)
        stop.set()
        await asyncio.wait_for(asyncio.gather(*clients), 20)
        if not fleet.groups[forwarding.NEW].arrivals:
            raise RuntimeError("no statement ran on the new service")
        return bool(JudgedGroup.broken)
    finally:
        await fleet.system.stop()


sys.exit(deployment.run(judge, HERE / "record.txt", platform.Record))
