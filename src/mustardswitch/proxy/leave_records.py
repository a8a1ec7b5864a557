"""Records in the store that a leaving primary still gets new work, and reads them.

An instance that starts during a notice cannot tell when it began, and if all instances start anew
none of them can. Instances have no clock in common, but the store ends leases: a record that is
bound to a lease is there only while the lease lasts. So as long as it is read, new work may be sent
for the time that it states, from the question on.
"""

import asyncio

from mustardswitch import events
from mustardswitch.internal import clock, ids, leave_notices, members
from mustardswitch.proxy import (
    connected_instances,
    directory,
    errors,
    fleet_records,
    record_store,
    server,
    service,
    unlisted,
)

CHECK_S = 0.1
"""Interval between checks."""
SETTLE_S = 0.2
"""Time from the reading of an announcement until it is recorded, in which others tell theirs."""
WRITERS = 2
"""Instances that record an announcement, unless another one has."""
RANK_DELAY_S = 0.3
"""Delay per rank before an instance writes."""
READ_INTERVAL_S = 0.25
"""Interval at which a record is read; several times within ``leave_notices.RECORDED_LEFT_S``."""
MAX_KEY_BYTES = 200
"""Longest key that the store takes."""


class LeaveRecords:
    """The records of leaving primaries, as one instance writes and reads them."""

    def __init__(self, *, client: record_store.RecordStore, directory: directory.Directory) -> None:
        self.client = client
        self.directory = directory
        self.attempted: set[members.Member] = set()
        """Servers whose records this instance has written, or has tried to."""
        self.read_at_s: dict[members.Member, float] = {}
        """When the record of each server was read last (``clock.now_s``)."""

    def __repr__(self) -> str:
        return f"LeaveRecords(directory={self.directory!r})"

    async def run(self) -> None:
        """Write and read until cancelled."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_S)

    async def check(self) -> None:
        """Write and read the records that are due; call at short intervals."""
        if self.directory.servers.outage:
            return
        for target in list(self.directory.services.values()):
            leader = target.leader
            if not target.leave_notices.notices or leader is None or not leader.entry.leaving:
                continue
            member = unlisted.member_of(leader.entry)
            try:
                if target.leave_notices.needs_record(member, clock.now_s()):
                    await self._read(target, member)
                elif self._is_due(target, member):
                    self.attempted.add(member)
                    await self._write(target, leader, member)
            except errors.StoreError as error:
                events.log(events.Event.STORE_CALL_FAILED, call="leave record", reason=str(error))
        self._forget_old()

    def _forget_old(self) -> None:
        known = set().union(
            *(target.leave_notices.notices for target in self.directory.services.values())
        )
        self.attempted &= known
        self.read_at_s = {each: at_s for each, at_s in self.read_at_s.items() if each in known}

    def _is_due(self, target: service.Service, member: members.Member) -> bool:
        rank = connected_instances.rank(self.directory, target.name)
        if member in self.attempted or rank is None or rank >= WRITERS:
            return False
        notice = target.leave_notices.notices[member]
        return clock.now_s() >= notice.read_at_s + SETTLE_S + rank * RANK_DELAY_S

    async def _write(
        self, target: service.Service, leader: server.Server, member: members.Member
    ) -> None:
        """Record an announcement for as long as new work may be sent; raises StoreError."""
        key = _key_of(leader.server)
        ends_s = target.work_ends_s(leader)
        lease_s = leave_notices.lease_s(ends_s - clock.now_s())
        if lease_s is None or len(key.encode()) > MAX_KEY_BYTES:
            return
        lease = await self.client.grant_lease(lease_s, exact=True)
        # The lease may have begun at any time until now.
        left_s = ends_s - (clock.now_s() + lease_s)
        if left_s <= 0:
            await self.client.revoke_lease(lease)
            return
        put = record_store.Put(key=key, value=f"{member[1]} {left_s:.3f}".encode(), lease=lease)
        if await self.client.change(expected={key: 0}, puts=[put]) is None:
            await self.client.revoke_lease(lease)
            return
        events.log(
            events.Event.NOTICE_RECORDED,
            service=target.name,
            server=leader.server,
            lease_s=round(lease_s, 3),
            left_s=round(left_s, 3),
        )

    async def _read(self, target: service.Service, member: members.Member) -> None:
        """Note what the record of a server tells, if it is due; raises StoreError."""
        asked_at_s = clock.now_s()
        if asked_at_s < self.read_at_s.get(member, float("-inf")) + READ_INTERVAL_S:
            return
        self.read_at_s[member] = asked_at_s
        found = await self.client.read(_key_of(member[0]))
        if found is None:
            return
        started_ms, left_s = _decode(found.value)
        if started_ms == member[1]:
            target.leave_notices.note_recorded(member, left_s, asked_at_s=asked_at_s)


def _key_of(name: ids.ServerId) -> str:
    return f"{fleet_records.LEAVING}{name}"


def _decode(value: bytes) -> tuple[int, float]:
    """Return the start of the server and the seconds; no time for a record that is odd."""
    started, _, left = value.decode("ascii", "replace").partition(" ")
    try:
        left_s = float(left)
    except ValueError:
        return 0, 0.0
    if not started.isdecimal() or not 0 < left_s <= leave_notices.RECORDED_LEFT_S:
        return 0, 0.0
    return int(started), left_s
