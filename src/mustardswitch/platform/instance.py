"""Builds and runs an instance on the platform, and shuts it down on SIGTERM."""

import asyncio
import functools
import signal

from mustardswitch import build, events, metrics, tasks
from mustardswitch.clients import caller_limits
from mustardswitch.internal import ids, leave_notices
from mustardswitch.internal.admission import memory
from mustardswitch.internal.tenants import handover
from mustardswitch.peers import (
    datagrams,
    frame_limits,
    lease_renewals,
    limit_loans,
    relay_client,
    relay_server,
)
from mustardswitch.platform import (
    backends,
    callers,
    errors,
    follower,
    health,
    promotions,
    records,
    settings,
    store,
)
from mustardswitch.proxy import (
    configuration_fetch,
    coordination,
    coverage,
    directory,
    explain_page,
    failover_watch,
    fleet_records,
    forwarded,
    leave_records,
    member_writer,
    peer_updates,
    record_source,
    requests,
    server_list,
    session,
    session_opening,
)
from mustardswitch.proxy import errors as proxy_errors

BALANCER_REMOVAL_S = 2.2
"""Time within which the balancer stops sending callers: it checks readiness every second and acts
on two answers."""
LAST_STATEMENT_HALVES = 1.7
"""Deadline of the last statements after the request to stop, in halves of ``stop_grace_s``. Until
the last sixth of the grace a server's answer is waited for; the rest is for the shutdown itself."""
FORWARDED_POLL_S = 0.05
"""Interval of the check whether all forwarded statements, or changes of primary, have ended."""


class Instance:
    """All components and tasks of one process."""

    def __init__(self, *, config: settings.Settings) -> None:
        self.config = config
        self.registry = metrics.Registry()
        self.client = store.Store(host=config.store.host, port=config.store.port)
        self.promotions = promotions.Promotions(
            host=config.promotions.host, port=config.promotions.port, instance=config.instance
        )
        self.relays = relay_client.RelayClient()
        self.directory = directory.Directory(
            instance=config.instance,
            location=server_list.Location(zone=config.zone, regions=config.regions),
            opener=backends.open_link,
            order_opener=backends.open_for_order,
            registry=self.registry,
            forwarder=forwarded.Forwarder(client=self.relays),
            features=config.features,
            listing_s=config.listing_s,
            drain=leave_notices.DrainSettings(drain_s=config.drain_s),
        )
        self.records = record_source.RecordSource(directory=self.directory)
        self.relay_server = relay_server.RelayServer(
            directory=self.directory,
            registry=self.registry,
            feed=self.records.feed,
            limits=frame_limits.FrameLimits(
                registry=self.registry,
                limit_bytes=memory.divide(config.limits.memory_mb * memory.MB).peers,
                max_fds=caller_limits.allowed_descriptors(config.limits.max_fds),
            ),
            renew_lease=self.client.renew_lease,
        )
        self.follower = follower.Follower(
            client=self.client, directory=self.directory, record_relays=self.records
        )
        self.fetch = configuration_fetch.ConfigurationFetch(
            directory=self.directory,
            source=self.records,
            key=records.CONFIGURATION_KEY,
            apply=self.follower.apply,
            applied_revision=lambda: self.follower.applied_revision,
        )
        self.directory.on_behind = self.fetch.start
        self.updates = peer_updates.PeerUpdates(directory=self.directory)
        self.coordination = coordination.Coordination(
            client=self.client,
            directory=self.directory,
            zone=config.zone,
            peer_address=datagrams.PeerAddress(host=config.peers.host, port=config.peers.port),
            list_servers=functools.partial(self.client.list_all, records.SERVERS_PREFIX),
            list_instances=functools.partial(self.client.list_all, fleet_records.INSTANCES),
            updates=self.updates,
            apply_item=self.follower.apply,
            on_call_failed=self.follower.interrupt_watch,
            renew_through_peer=lease_renewals.LeaseRenewals(
                client=self.relays, addresses=self.directory.peer_addresses
            ).renew,
        )
        self.follower.on_applied = self.coordination.note_seen
        self.members = member_writer.MemberWriter(client=self.client, directory=self.directory)
        self.leave_records = leave_records.LeaveRecords(
            client=self.client, directory=self.directory
        )
        self.coverage = coverage.Coverage(directory=self.directory)
        self.directory.limits.valid_until = self._valid_until_s
        self.directory.limits.exchange = limit_loans.LimitExchange(client=self.relays)
        self.peers = datagrams.PeerDatagrams(
            addresses=self.directory.peer_addresses,
            receiver=self.updates.receive,
            registry=self.registry,
        )
        self.updates.peers = self.peers
        self.watch = failover_watch.FailoverWatch(
            directory=self.directory,
            coordination=self.coordination,
            promoter=self.promotions,
            peers=self.peers,
            updates=self.updates,
        )
        self.callers = callers.CallerServer(
            opener=self._open_session, registry=self.registry, limits=self._build_limits()
        )
        explain = functools.partial(explain_page.answer, self.directory)
        self.health = health.build_server(
            is_ready=self._is_ready,
            registry=self.registry,
            explain=explain if config.metrics is None else None,
        )
        self.metrics = health.build_server(
            is_ready=self._is_ready, registry=self.registry, explain=explain
        )
        """Pages of the metrics address, in addition to those of the health address."""
        self.stopping = asyncio.Event()
        self.accepting = False
        self.tasks: list[asyncio.Task[None]] = []

    def __repr__(self) -> str:
        return f"Instance(config={self.config!r})"

    def _open_session(
        self, database: ids.DatabaseName, key: ids.CallerKey
    ) -> session.Session | requests.Answer:
        return session_opening.open_session(self.directory, database, key)

    def _valid_until_s(self) -> float:
        """Return until when shares of tenants' limits may be spent by the list of instances."""
        if self.coordination.leaving:
            return float("-inf")
        as_of_s = min(self.records.feed.as_of_s, self.directory.instances.kept_since_s)
        return as_of_s + handover.LIST_MAX_AGE_S

    def _build_limits(self) -> caller_limits.CallerLimits:
        return caller_limits.CallerLimits(
            shares=memory.divide(self.config.limits.memory_mb * memory.MB),
            max_fds=caller_limits.allowed_descriptors(self.config.limits.max_fds),
            registry=self.registry,
        )

    def _is_ready(self) -> bool:
        return self.accepting and not self.stopping.is_set()

    async def run(self) -> None:
        """Serve until SIGTERM, then drain callers; SIGHUP reloads the settings file."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.health.start(self.config.health.host, self.config.health.port)
        if self.config.metrics is not None:
            await self.metrics.start(self.config.metrics.host, self.config.metrics.port)
        await self.peers.start(self.coordination.peer_address)
        for name, work in (
            ("follower", self.follower.run),
            ("registration", self.coordination.run),
            ("failover watch", self.watch.run),
            ("members", self.members.run),
            ("coverage", self.coverage.run),
            ("leave records", self.leave_records.run),
            ("tenant limits", self.directory.limits.run),
            ("peer limits", self.relay_server.limits.run),
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
            await self.relay_server.start(self.coordination.peer_address)
            await self.callers.start(self.config.callers.host, self.config.callers.port)
            self.accepting = True
            events.log(
                events.Event.STARTED,
                instance=self.config.instance,
                build=build.build_id(),
                callers=self.config.callers,
                version=self.directory.configuration.version,
            )
        await tasks.cancel_and_wait([loaded, stopping])

    def _reload(self) -> None:
        try:
            reloaded = settings.load_settings(settings.settings_path())
        except errors.SettingsError as error:
            events.log(events.Event.SETTINGS_REJECTED, reason=str(error))
            return
        self.config = reloaded
        self.directory.drain.drain_s = reloaded.drain_s
        events.log(events.Event.SETTINGS_RELOADED, stop_grace_s=reloaded.stop_grace_s)

    async def _stop(self) -> None:
        """Leave the balancer's rotation, then disconnect callers as their work ends."""
        events.log(
            events.Event.DRAINING,
            instance=self.config.instance,
            callers=len(self.callers.connections),
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        half_s = self.config.stop_grace_s / 2
        await self._leave()
        await asyncio.sleep(min(BALANCER_REMOVAL_S, half_s))
        self.callers.drain()
        self.relay_server.drain()
        await self.callers.wait_until_empty(started_s + half_s - loop.time())
        while self.relay_server.open_transactions and loop.time() < started_s + half_s:
            await asyncio.sleep(FORWARDED_POLL_S)
        self.callers.abort_transactions()
        self.relay_server.abort_transactions()
        await self.callers.wait_until_empty(
            started_s + LAST_STATEMENT_HALVES * half_s - loop.time()
        )
        await self.callers.end()
        while (
            self.relay_server.running and loop.time() < started_s + LAST_STATEMENT_HALVES * half_s
        ):
            await asyncio.sleep(FORWARDED_POLL_S)
        while self.watch.is_changing and loop.time() < started_s + LAST_STATEMENT_HALVES * half_s:
            await asyncio.sleep(FORWARDED_POLL_S)
        events.log(
            events.Event.STOPPED,
            instance=self.config.instance,
            callers=len(self.callers.connections),
        )
        await tasks.cancel_and_wait([*self.tasks, *self.directory.limits.asking, *self.fetch.tasks])
        await self._end_background_work()
        self._close()

    async def _end_background_work(self) -> None:
        """Cancel what services run, and wait: a change of primary still releases its claim."""
        running = [task for target in self.directory.services.values() for task in target.tasks]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _close(self) -> None:
        """Close the connections that are still open; a closed event loop cannot close them."""
        for server in (self.health, self.metrics, self.relay_server, self.peers):
            server.close()
        for target in self.directory.services.values():
            target.close()
        for client in (self.relays, self.records, self.client, self.promotions):
            client.close()

    async def _leave(self) -> None:
        """Make the other instances forward elsewhere and share this one's connections."""
        self.directory.limits.has_left = True
        try:
            await self.coordination.leave()
        except proxy_errors.StoreError as error:
            events.log(events.Event.STORE_CALL_FAILED, call="leave", reason=str(error))
