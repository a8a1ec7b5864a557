"""A former primary that the record of members names as a replica.

The record is not written when the primary changes, so its roles are those of the latest change of
the members.
"""

import asyncio
import dataclasses

from mustardswitch.internal import clock, former_primary, ids, promotion
from mustardswitch.proxy import member_records, ports
from mustardswitch_standins import database_group
from tests.common import member_world, takeovers

A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
OTHER = ids.InstanceId("two")
LIMIT_S = 2.0


async def test_a_former_primary_that_is_recorded_as_a_replica_and_runs_loses_no_commit():
    """It runs, another instance hears from it, and it executes a commit that it had received."""
    recorded = [
        dataclasses.replace(entry, role=promotion.Role.REPLICA)
        for entry in database_group.Group().entries()
    ]
    world = member_world.MemberWorld(listed=[B, C], value=member_records.encode(recorded))
    world.service.listing_s = 0.1
    # It has not answered this instance for as long as it counts.
    del world.service.unlisted[A]
    world.group.start_server(zone="d")
    world.group.servers[A].silent = True
    heard = former_primary.Report(answered_s=0.1, connected_s=0.1)
    world.coordination.hold_report = ports.HoldReport(
        complete=True, instances=frozenset({OTHER}), primary_reports={OTHER: heard}
    )
    world.promoter.effect_delay_s = 0.3
    changing = asyncio.create_task(takeovers.take_over(world, primary=None))
    ends_s = clock.now_s() + LIMIT_S
    while clock.now_s() < ends_s and not world.promoter.promotion_requests:
        await asyncio.sleep(0.01)
    world.group.commit(world.group.servers[A], "waiting")
    await asyncio.wait({changing}, timeout=0.5)
    changing.cancel()
    await asyncio.gather(changing, return_exceptions=True)
    assert world.group.lost == []
