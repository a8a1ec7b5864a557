"""Faults of the soak test around servers that lose their entries and go on confirming commits."""

import asyncio
import signal
import time

from mustardswitch_standins import platform_deployment, soak_faults

WITHOUT_ENTRY_S = (2.0, 9.0)
"""Range of the time for which a server has no entry."""
ALONE_S = (11.0, 15.0)
"""Range of the time for which a server has no entry until it alone confirms."""
DARK_BESIDE_IT_S = 9.0
"""Time for which the primary is dark after that."""
DEAF_BESIDE_IT_S = 2.0
"""Time from its beginning until the other replicas receive again."""
DEAF_S = (1.0, 5.0)
"""Range of the time for which a replica receives nothing."""
DARK_S = (1.0, 7.0)
"""Range of the time for which a primary neither answers nor receives anything."""
SLOW_STORE_S = (1.0, 4.0)
SLOW_CALL_S = (0.1, 0.35)
"""Ranges of the time for which the store is slow, and of the one-way delay of its calls."""
ROLL_GAP_S = (0.1, 0.8)
"""Range of the interval between the restarts of two instances."""
NAMES = ("lose_entry", "lose_entry", "deaf", "go_dark", "roll", "slow_store", "confirm_alone")
"""Names of the faults; each is drawn as often as it is named."""


class Faults(soak_faults.Faults):
    """Adds the faults of this module to the others."""

    async def lose_entry(self) -> None:
        """Cut a server off from the store, but not from the instances nor from other servers."""
        server = self._pick_server()
        if server.leaving or not server.up or not server.was_listed:
            return
        back_s = (
            time.monotonic() + soak_faults.ENTRY_EXPIRY_S + self.random.uniform(*WITHOUT_ENTRY_S)
        )
        server.listed_from_s = max(server.listed_from_s, back_s)
        self.group.note(f"{server.name} is cut off from the store")
        await asyncio.sleep(soak_faults.ENTRY_EXPIRY_S)
        self.deployment.store.delete(f"servers/{server.name}")
        await asyncio.sleep(max(0.0, back_s - time.monotonic()))

    async def confirm_alone(self) -> None:
        """Let a server without an entry alone confirm; the primary goes dark after that.

        All instances may restart in between. The server is a replica, or the primary, which is
        replaced as its entry is missing. Nothing happens if another one has no entry already.
        """
        server = self._pick_server()
        now_s = time.monotonic()
        unlisted = any(now_s < each.listed_from_s for each in self.group.servers.values())
        if unlisted or server.leaving or not server.up or not server.was_listed:
            return
        alone_s = self.random.uniform(*ALONE_S)
        restart = self.random.choice([self.kill_all, self.roll, None])
        restart_after_s = self.random.uniform(0.7 * alone_s, alone_s - 1.0)
        server.listed_from_s = now_s + alone_s + DARK_BESIDE_IT_S + 3.0
        self.group.note(f"{server.name} is cut off from the store for long")
        await asyncio.sleep(soak_faults.ENTRY_EXPIRY_S)
        self.deployment.store.delete(f"servers/{server.name}")
        await asyncio.sleep(restart_after_s - soak_faults.ENTRY_EXPIRY_S)
        restarting = asyncio.create_task(restart()) if restart is not None else None
        await asyncio.sleep(alone_s - restart_after_s)
        others = [
            each for each in self.group.servers.values() if each not in (server, self.group.leader)
        ]
        self.group.note(f"{', '.join(each.name for each in others)} are deaf")
        for other in others:
            other.not_receiving = True
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        ends = [restarting] if restarting is not None else []
        if server is not self.group.leader:
            ends.append(asyncio.create_task(self.go_dark(DARK_BESIDE_IT_S)))
            await asyncio.sleep(DEAF_BESIDE_IT_S)
        for other in others:
            other.not_receiving = False
            self.group.catch_up(other)
        await asyncio.gather(*ends)

    async def deaf(self) -> None:
        """Let one replica with an entry receive nothing for a while."""
        now_s = time.monotonic()
        servers = list(self.group.servers.values())
        listed = [
            each
            for each in servers
            if each is not self.group.leader and each.was_listed and now_s >= each.listed_from_s
        ]
        if not listed:
            return
        server = self.random.choice(listed)
        self.group.note(f"{server.name} is deaf")
        server.not_receiving = True
        await asyncio.sleep(self.random.uniform(*DEAF_S))
        server.not_receiving = False
        self.group.catch_up(server)

    async def go_dark(self, for_s: float | None = None) -> None:
        """Let the primary answer nothing for a while; it comes back with its log."""
        server = self.group.leader
        links = self.deployment.links
        if not server.up:
            return
        self.group.note(f"{server.name} is dark")
        server.up = False
        links.cut_both(platform_deployment.INSTANCES, server.name)
        await asyncio.sleep(self.random.uniform(*DARK_S) if for_s is None else for_s)
        for direction in (
            links.rule(platform_deployment.INSTANCES, server.name),
            links.rule(server.name, platform_deployment.INSTANCES),
        ):
            direction.cut = False
        if self._runs(server):
            self.deployment.databases.abort_connections(server.name)
            self.group.restart(server, leads_again=True)
            self.group.note(f"{server.name} is back as a {server.role.value}")

    async def roll(self) -> None:
        """Stop all instances in turn, and start each again."""
        restarts = []
        for name in list(self.instances):
            restarts.append(asyncio.create_task(self._restart(name, signal.SIGTERM)))
            await asyncio.sleep(self.random.uniform(*ROLL_GAP_S))
        await asyncio.gather(*restarts)

    async def slow_store(self) -> None:
        """Delay all calls to the store for a while."""
        delay_s = self.random.uniform(*SLOW_CALL_S)
        links = self.deployment.links
        rules = [links.rule(name, platform_deployment.STORE) for name in self.instances]
        for rule in rules:
            rule.delay_s = delay_s
        await asyncio.sleep(self.random.uniform(*SLOW_STORE_S))
        for rule in rules:
            rule.delay_s = 0.0
