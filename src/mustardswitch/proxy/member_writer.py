"""Writes the records of the services' members, and of their numbers, to the store."""

import asyncio
import collections.abc
import functools
import itertools

from mustardswitch import events
from mustardswitch.internal import clock, ids, members, unlisted_servers
from mustardswitch.proxy import (
    connected_instances,
    directory,
    errors,
    fleet_records,
    member_records,
    record_store,
    service,
    unlisted,
)

CHECK_S = 0.1
"""Interval between checks, each of which writes at most one record, and some sizes."""
MAX_SIZES = 16
"""Sizes in one call; each is a condition and a key to write, and the store takes 32 of both."""
ALL_SERVICES = ids.ServiceName("")
"""Stands for all services, whose sizes one instance writes together."""


class MemberWriter:
    """Compares the members of all services with their records, and writes those that differ."""

    def __init__(self, *, client: record_store.RecordStore, directory: directory.Directory) -> None:
        self.client = client
        self.directory = directory
        self.schedule = members.WriteSchedule()
        self.size_schedule = members.WriteSchedule()

    def __repr__(self) -> str:
        return f"MemberWriter(client={self.client!r}, directory={self.directory!r})"

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self.check()
            await self.check_sizes()
            await asyncio.sleep(CHECK_S)

    async def check(self) -> None:
        """Write the record of one service whose record is due."""
        now_s = clock.now_s()
        if self.directory.servers.outage:
            return
        for name, target in self.directory.services.items():
            book = self.directory.members
            if book.seeded.get(name) != book.record(name).revision:
                # It may name a server without an entry.
                book.seed(target)
            if not self._differs(target, now_s):
                self.schedule.note_equal(name)
            elif self.schedule.is_due(
                name,
                revision=self.directory.members.record(name).revision,
                rank=functools.partial(self._rank, name),
                now_s=now_s,
            ):
                await self._write(target)
                return

    async def check_sizes(self) -> None:
        """Write the sizes of services that have more servers than recorded, in one call."""
        now_s, servers = clock.now_s(), self.directory.servers
        complete_s = unlisted_servers.complete_s(self.directory.listing_s)
        if servers.outage or servers.is_recent(now_s, complete_s):
            return
        book, due = self.directory.members, {}
        for name, target in self.directory.services.items():
            if target.server_count.listed_at_most > book.size(name).servers:
                due[name] = target.server_count.listed_at_most
        if not due:
            self.size_schedule.note_equal(ALL_SERVICES)
        elif self.size_schedule.is_due(
            ALL_SERVICES,
            revision=max(book.size(name).revision for name in due),
            rank=functools.partial(self._rank, ALL_SERVICES),
            now_s=now_s,
        ):
            await self._write_sizes(dict(itertools.islice(due.items(), MAX_SIZES)))

    async def _write_sizes(self, sizes: collections.abc.Mapping[ids.ServiceName, int]) -> None:
        book = self.directory.members
        keys = {name: f"{fleet_records.SIZES}{name}" for name in sizes}
        puts = [
            record_store.Put(key=keys[name], value=member_records.encode_size(servers))
            for name, servers in sizes.items()
        ]
        expected = {key: book.size(name).revision for name, key in keys.items()}
        revision = await self._change("sizes", expected, puts)
        if revision is None:
            self.size_schedule.note_failed(ALL_SERVICES, now_s=clock.now_s())
            return
        for name, servers in sizes.items():
            written = member_records.SizeRecord(servers=servers, revision=revision)
            book.sizes[name] = written

    def _differs(self, target: service.Service, now_s: float) -> bool:
        counted = member_records.counted_entries(target)
        record = self.directory.members.record(target.name)
        listed = member_records.primaries(each.entry for each in target.servers.values())
        covered = member_records.covered_members(target, counted)
        if record.entries and not member_records.forgotten_members(target, counted, record) <= (
            record.forgotten
        ):
            return True
        if record.entries and (not record.is_durable or record.covered != covered):
            return True
        if record.entries and listed and listed != member_records.primaries(record.entries):
            return True
        return members.needs_write(
            record.members,
            frozenset(unlisted.member_of(entry) for entry in counted),
            any_listed=bool(target.servers),
            complete=self.directory.servers.is_complete(now_s),
        )

    def _rank(self, name: ids.ServiceName) -> int | None:
        # Those that hold connections find out which servers are covered.
        return connected_instances.rank(self.directory, name)

    async def _write(self, target: service.Service) -> None:
        """Replace the record that this instance knows; another one's write is applied first."""
        name, book = target.name, self.directory.members
        key = f"{fleet_records.MEMBERS}{name}"
        entries = member_records.counted_entries(target)
        covered = member_records.covered_members(target, entries)
        forgotten = member_records.forgotten_members(target, entries, book.record(name))
        value = member_records.encode(entries, covered=covered, forgotten=forgotten)
        put = record_store.Put(key=key, value=value)
        revision = await self._change("members", {key: book.record(name).revision}, [put])
        if revision is None:
            self.schedule.note_failed(name, now_s=clock.now_s())
        else:
            written = member_records.MemberRecord(
                entries=tuple(entries), covered=covered, forgotten=forgotten, revision=revision
            )
            book.note_written(name, written)

    async def _change(
        self,
        call: str,
        expected: collections.abc.Mapping[str, int],
        puts: collections.abc.Sequence[record_store.Put],
    ) -> int | None:
        """Write to the store; None if it failed, which is logged, or another has written."""
        try:
            return await self.client.change(expected=expected, puts=puts)
        except errors.StoreError as error:
            events.log(events.Event.STORE_CALL_FAILED, call=call, reason=str(error))
            return None
