"""Faults of the soak test around primaries that leave while no other server can lead."""

import asyncio
import time

from mustardswitch_standins import database_group, soak_entry_faults, soak_faults

LEAVES_FIRST_S = 1.0
"""Limit on the time from the report of the primary until the others are down."""
DOWN_S = (2.0, 8.0)
"""Range of the time for which the others are down."""
LINGERS_S = (0.1, 6.0)
"""Range of the time for which a leaving server serves on after its notice."""
NAMES = ("leave_alone", "leave_alone", "leave_and_linger", "roll")
"""Names of the faults; each is drawn as often as it is named."""
JUDGED = frozenset(
    {*NAMES, "kill", "kill_all", "stop", "freeze", "reset", "crash_server", "delay_promotions"}
    | {"stop_receiving", "replace_primary", "replace_replica", "start_server"}
)
"""Faults that leave the instances in touch with the store and the links whole, so that no statement
may reach a leaving server after its notice."""


class Faults(soak_entry_faults.Faults):
    """Adds the faults of this module to the others."""

    def __init__(self, **fields: object) -> None:
        super().__init__(**fields)
        self.others_back_s: list[float] = []
        """Monotonic times at which all other servers than the primary were up again."""

    async def leave_alone(self) -> None:
        """Let the primary leave, crash all others for a while, and let it serve for long."""
        server = self.group.primary
        if server is None or not server.up or server.leaving:
            return
        ending = asyncio.create_task(self._leave(server))
        await asyncio.sleep(self.random.uniform(0.0, LEAVES_FIRST_S))
        others = [each for each in self.group.servers.values() if each is not server and each.up]
        self.group.note(f"{', '.join(each.name for each in others)} crash as {server.name} leaves")
        for other in others:
            self.deployment.databases.crash(other.name)
        await asyncio.sleep(self.random.uniform(*DOWN_S))
        for other in others:
            if self._runs(other) and not other.up:
                self.group.restart(other, leads_again=True)
        self.others_back_s.append(time.monotonic())
        self.group.note(f"{', '.join(each.name for each in others)} are back")
        await ending

    async def leave_and_linger(self) -> None:
        """Let the primary leave and be replaced; it serves on for long after its notice."""
        server = self.group.primary
        if server is not None and server.up and not server.leaving:
            await self._leave(server)

    async def _leave(self, server: database_group.FakeServer) -> None:
        """Let a server leave, and end it some time after its notice.

        It stays if it alone holds acknowledged commits, or leads; its report is not taken back.
        """
        if len(self.group.servers) < soak_faults.MAX_SERVERS:
            await self._start_replacement(server)
        server.leaving = True
        self.group.note(f"{server.name} leaves")
        await asyncio.sleep(soak_faults.DRAIN_S + self.random.uniform(*LINGERS_S))
        ends_s = time.monotonic() + soak_faults.DRAIN_S
        while self._runs(server) and server is self.group.leader and time.monotonic() < ends_s:
            await asyncio.sleep(0.05)
        if server is self.group.leader or not self._runs(server):
            return
        if await self._is_expendable(server):
            self.group.note(f"{server.name} has left as a {server.role.value}")
            self.deployment.databases.end(server, says_so=True)
