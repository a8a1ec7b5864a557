"""Puts an instance on the platform together, and takes it apart on SIGTERM."""

import asyncio
import signal

from mustardswitch import events, metrics, tasks
from mustardswitch.internal import ids
from mustardswitch.peers import datagrams, relay_client, relay_server
from mustardswitch.platform import (
    backends,
    callers,
    coordination,
    errors,
    follower,
    health,
    promotions,
    settings,
    store,
)
from mustardswitch.proxy import directory, failover_watch, forwarded, service, session
from mustardswitch.proxy import errors as proxy_errors

ROTATION_S = 2.2
"""Time after which the balancer, which asks every second and goes by two answers, sends no more
callers."""
LAST_SHARE = 1.6
"""End of the last statements, in halves of the grace; the rest is left for the end itself."""
POLL_S = 0.05
"""How often the end of forwarded statements is looked for."""


class Instance:
    """All tasks of one process."""

    def __init__(self, *, chosen: settings.Settings) -> None:
        self.chosen = chosen
        self.registry = metrics.Registry()
        self.client = store.Store(host=chosen.store.host, port=chosen.store.port)
        self.promotions = promotions.Promotions(
            host=chosen.promotions.host, port=chosen.promotions.port, instance=chosen.instance
        )
        self.relays = relay_client.RelayClient()
        self.directory = directory.Directory(
            instance=chosen.instance,
            location=service.Location(zone=chosen.zone, regions=chosen.regions),
            opener=backends.open_link,
            registry=self.registry,
            forwarder=forwarded.Forwarder(client=self.relays),
        )
        self.relay_server = relay_server.RelayServer(
            directory=self.directory, registry=self.registry
        )
        self.follower = follower.Follower(client=self.client, directory=self.directory)
        peer_address = datagrams.PeerAddress(host=chosen.peers.host, port=chosen.peers.port)
        self.coordination = coordination.Coordination(
            client=self.client,
            instance=chosen.instance,
            zone=chosen.zone,
            peers=peer_address,
            doubt=self.follower.doubt,
        )
        self.peers = datagrams.PeerDatagrams(
            addresses=self.directory.peer_addresses,
            receiver=self.directory.receive_update,
            registry=self.registry,
        )
        self.watch = failover_watch.FailoverWatch(
            directory=self.directory,
            coordination=self.coordination,
            promoter=self.promotions,
            peers=self.peers,
        )
        self.callers = callers.CallerServer(opener=self._open_session, registry=self.registry)
        self.health = health.build_server(is_ready=self._is_ready, registry=self.registry)
        self.stopping = asyncio.Event()
        self.accepting = False
        self.tasks: list[asyncio.Task[None]] = []

    def __repr__(self) -> str:
        return f"Instance(chosen={self.chosen!r})"

    def _open_session(self, database: ids.DatabaseName) -> session.Session | None:
        if self.directory.route(database) is None:
            return None
        return session.Session(directory=self.directory, database=database)

    def _is_ready(self) -> bool:
        return self.accepting and not self.stopping.is_set()

    async def run(self) -> None:
        """Serve until SIGTERM, then let callers go."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.health.start(self.chosen.health.host, self.chosen.health.port)
        if self.chosen.metrics is not None:
            await self.health.start(self.chosen.metrics.host, self.chosen.metrics.port)
        await self.peers.start(self.coordination.peers)
        for name, work in (
            ("follower", self.follower.run),
            ("registration", self.coordination.run),
            ("failover watch", self.watch.run),
        ):
            self.tasks.append(asyncio.create_task(tasks.keep_running(name, work)))
        await self._start_accepting()
        await self.stopping.wait()
        await self._stop()

    async def _start_accepting(self) -> None:
        loaded = asyncio.create_task(self.follower.loaded.wait())
        stopping = asyncio.create_task(self.stopping.wait())
        await asyncio.wait({loaded, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if loaded.done():
            await self.relay_server.start(self.coordination.peers)
            await self.callers.start(self.chosen.callers.host, self.chosen.callers.port)
            self.accepting = True
            events.log(
                events.Event.STARTED,
                instance=self.chosen.instance,
                callers=self.chosen.callers,
                version=self.directory.configuration.version,
            )
        await tasks.cancel_and_wait([loaded, stopping])

    def _reload(self) -> None:
        try:
            fresh = settings.load_settings(settings.settings_path())
        except errors.SettingsError as error:
            events.log(events.Event.SETTINGS_REJECTED, reason=str(error))
            return
        self.chosen = fresh
        events.log(events.Event.SETTINGS_RELOADED, stop_grace_s=fresh.stop_grace_s)

    async def _stop(self) -> None:
        """Leave the balancer's rotation, then let callers go as their work ends."""
        events.log(
            events.Event.DRAINING,
            instance=self.chosen.instance,
            callers=len(self.callers.connections),
        )
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        half_s = self.chosen.stop_grace_s / 2
        await self._leave()
        await asyncio.sleep(min(ROTATION_S, half_s))
        self.callers.drain()
        await self.callers.wait_until_empty(began_s + half_s - loop.time())
        self.callers.end_transactions()
        await self.callers.wait_until_empty(began_s + LAST_SHARE * half_s - loop.time())
        self.callers.close()
        while self.relay_server.running and loop.time() < began_s + LAST_SHARE * half_s:
            await asyncio.sleep(POLL_S)
        events.log(
            events.Event.STOPPED,
            instance=self.chosen.instance,
            callers=len(self.callers.connections),
        )
        await tasks.cancel_and_wait(self.tasks)

    async def _leave(self) -> None:
        """Let the other instances forward elsewhere and share this one's connections."""
        try:
            await self.coordination.leave()
        except proxy_errors.StoreError as error:
            events.log(events.Event.STORE_CALL_FAILED, call="leave", reason=str(error))
