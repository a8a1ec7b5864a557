"""An instance that starts while entries have expired, and reads the record of members."""

import collections.abc

from mustardswitch.internal import change_log, ids
from mustardswitch.proxy import fleet_records, member_records
from mustardswitch_standins import database_group
from tests.common import proxy_world

KEY = f"{fleet_records.MEMBERS}{database_group.SERVICE}"


class MemberWorld(proxy_world.World):
    """One instance whose first listing has some servers only; the record names all of them."""

    def __init__(
        self,
        *,
        listed: collections.abc.Iterable[ids.ServerId],
        value: bytes | None = None,
        group: database_group.Group | None = None,
    ) -> None:
        self.listed = set(listed)
        self.value = value
        """The record, if it does not name all servers."""
        self.recorded = False
        super().__init__(group=group)

    def list_servers(self) -> None:
        """List the servers in ``listed``; the first time, read the record of all, too."""
        if not self.recorded:
            self.recorded = True
            self.record(self.value or member_records.encode(self.group.entries()))
        for name in set(self.directory.servers.entries) - self.listed:
            del self.directory.servers.entries[name]
        for entry in self.group.entries():
            if entry.server in self.listed:
                self.directory.servers.put(entry.server, entry)
        self.directory.refresh()

    def record(self, value: bytes | None, *, revision: int = 5) -> None:
        """Let the directory read a record of the members."""
        item = change_log.Item(key=KEY, value=value, revision=revision)
        fleet_records.apply(self.directory, item)


def note_recorded(world: proxy_world.World, *, revision: int = 5) -> None:
    """Let the store hold the record of members that an instance would write now."""
    counted = member_records.counted_entries(world.service)
    written = member_records.MemberRecord(
        entries=tuple(counted),
        covered=member_records.covered_members(world.service, counted),
        revision=revision,
    )
    world.directory.members.note_written(world.service.name, written)
