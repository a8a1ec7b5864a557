"""Fetches the configuration from other instances when one of them has a newer version.

The store tells most instances of a version within a second. One that is cut off from it would serve
the databases of which it has learned nothing by its old version until it notices the cut.
"""

import asyncio
import collections.abc

from mustardswitch import events
from mustardswitch.internal import change_log
from mustardswitch.proxy import directory, record_source

DELAY_S = 0.1
"""Time in which the store usually tells of the version itself."""
RETRY_S = 0.3
TRIES = 4


class ConfigurationFetch:
    """Brings a directory up to the newest version of which it has learned.

    Only the configuration is taken over. What the directory knows of servers and promotions, and
    how current it is, goes by what the store or a relay tells in order.
    """

    def __init__(
        self,
        *,
        directory: directory.Directory,
        source: record_source.RecordSource,
        key: str,
        apply: collections.abc.Callable[[change_log.Item], None],
        applied_revision: collections.abc.Callable[[], int],
    ) -> None:
        self.directory = directory
        self.source = source
        self.key = key
        """Key of the configuration's record."""
        self.apply = apply
        """Applies a record, unless it is invalid or a later one was applied."""
        self.applied_revision = applied_revision
        """Tells up to which revision all changes have been applied."""
        self.tasks: set[asyncio.Task[None]] = set()
        """The fetch that is under way, if any."""

    def __repr__(self) -> str:
        return f"ConfigurationFetch(directory={self.directory!r}, key={self.key!r})"

    def start(self) -> None:
        """Fetch the configuration soon unless that is under way."""
        if not self.tasks:
            task = asyncio.create_task(self._run())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _run(self) -> None:
        await asyncio.sleep(DELAY_S)
        for _ in range(TRIES):
            if not self.directory.is_behind:
                return
            async for listing in self.source.fetch(self.applied_revision()):
                self._apply(listing)
                if not self.directory.is_behind:
                    return
            await asyncio.sleep(RETRY_S)

    def _apply(self, listing: change_log.Listing) -> None:
        for item in listing.items:
            if item.key != self.key:
                continue
            self.apply(item)
            events.log(
                events.Event.CONFIGURATION_FETCHED,
                version=self.directory.configuration.version,
                revision=item.revision,
            )
