"""Takes a client's key away while a transaction of it is open, and looks what still runs."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "11"))

import deployment_3 as deployment
import platform_3 as platform

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY, OTHER_KEY, TENANT = "k27gxprymh2rrytapjsu", "jqurtyiikdrbn4ryrbbk", "bode960"
REVOKE_MS, CONFIG_APPLY_MS = 5000, 6000
PAUSE_S = 2.4
STATEMENTS = 8


def configure(version, keys):
    tenants = [{"name": TENANT, "api_keys": keys, "priority": 1, "rate_per_s": 115, "burst": 115}]
    return deployment.configuration(
        "kafi81c", ["primary"], version=version, public=True, tenants=tenants
    )


async def judge(record):
    group = platform.Group("kafi81c", record)
    store = platform.Store(record, group.promote)
    system = deployment.Deployment(record, group, store, contracts=deployment.TENANTS)
    try:
        await system.start(configure(3, [KEY, OTHER_KEY]))
        client = await system.instances[0].session("db-primary", KEY)
        await client.query("BEGIN")
        _, answer = await client.query("READ 1a0")
        if not deployment.succeeded(answer):
            raise RuntimeError("the first statement was not served")
        if TROUBLE:
            store.put_json("op/config", configure(7, [OTHER_KEY]))
            revoked_s = time.monotonic()
            record.note("operator: version 7 is acknowledged; the key is taken away")
        else:
            store.put_json("op/config", configure(7, [KEY, OTHER_KEY]))
            revoked_s = float("inf")
        sent = {}
        for number in range(STATEMENTS):
            await asyncio.sleep(PAUSE_S)
            at_s = time.monotonic()
            request, answer = await client.query(f"WRITE 1a{number} data{number}")
            sent[request] = at_s
            if not answer[-1].startswith("READY T"):
                break
        at_s = time.monotonic()
        request, answer = await client.query("COMMIT")
        sent[request] = at_s
        if not TROUBLE and not deployment.succeeded(answer):
            raise RuntimeError("the transaction was not served")
        limit_s = max(REVOKE_MS, CONFIG_APPLY_MS) / 1000
        foreign = [
            (request, who, round(sent[request] - revoked_s, 2))
            for _, request, _, who in group.arrivals
            if request in sent and sent[request] > revoked_s + limit_s and who == TENANT
        ]
        for request, who, late_s in foreign:
            record.note(
                f"UNASKED, CONFIG: {request}, sent {late_s} s after the key was taken away,"
                f" ran for tenant {who}"
            )
        return bool(foreign)
    finally:
        await system.stop()


sys.exit(deployment.run(judge, HERE / "record.txt", platform.Record))
