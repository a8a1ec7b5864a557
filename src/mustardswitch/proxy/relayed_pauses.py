"""Pauses servers that the holder of a claim does not reach, through instances that reach them.

The holder repeats its orders while the change of primary goes on. A receiver acts on an order as it
arrives, over a connection of its own, and only while a promotion of the service is recorded. It
sends no RESUME: what stays paused when a change comes to nothing is marked as unfinished in the
store, and resumed under the next claim.
"""

import asyncio
import collections.abc

from mustardswitch import events
from mustardswitch.internal import clock, handover, ids
from mustardswitch.peers import datagrams, pauses
from mustardswitch.proxy import directory, ports, server_commands, service

REPEAT_S = 0.1
"""Interval at which orders are repeated; a round trip between regions fits twice."""
ACT_INTERVAL_S = 0.3
"""Least interval at which a receiver asks a server; all receivers ask the same one."""
MAX_ACT_INTERVAL_S = 2.4
"""Longest such interval, for a server that gives no answer."""
PAUSE_WITHIN_S = 0.3
"""Time after an order in which a server is paused; the claim may have ended if none follows."""
ORDER_TTL_S = 1.0
"""Time after which an order ends unless it is repeated, several times within this time."""
REPORT_TTL_S = 1.0
"""Time from the order for which its answer counts; a server may start anew after it."""
MAX_ORDERS = 4
"""Orders and answers in one datagram."""

Answer = collections.abc.Callable[[ids.InstanceId, datagrams.PeerUpdate], None]
"""Sends an update to one instance."""


class _Relay:
    """What this instance does for one holder about one server."""

    def __init__(self, *, target: service.Service) -> None:
        self.commands = server_commands.ServerCommands(target=target)
        self.latest: pauses.PauseOrder | None = None
        self.asked_at_s = clock.now_s()
        self.acted_at_s = float("-inf")
        self.interval_s = ACT_INTERVAL_S
        self.task: asyncio.Task[None] | None = None
        self.reported = False

    @property
    def is_due(self) -> bool:
        """Whether the server may be asked again."""
        running = self.task is not None and not self.task.done()
        return not running and clock.now_s() >= self.acted_at_s + self.interval_s


Key = tuple[ids.InstanceId, ids.ServiceName, ids.ServerId, ids.Term]


class PauseRelays:
    """Carries out the orders of other instances."""

    def __init__(self, *, directory: directory.Directory) -> None:
        self.directory = directory
        self.relays: dict[Key, _Relay] = {}

    def __repr__(self) -> str:
        return f"PauseRelays(relays={list(self.relays)!r})"

    def receive(self, update: datagrams.PeerUpdate, *, answer: Answer) -> None:
        """Pause the servers that another instance asks for, and ``answer`` with their statuses.

        Orders that arrive late are dropped. An instance without connections to the service sends
        its statements through others, and acts on none.
        """
        for order in update.pause_orders:
            self._receive(order, update.instance, answer)

    def _receive(self, order: pauses.PauseOrder, holder: ids.InstanceId, answer: Answer) -> None:
        target = self.directory.services.get(order.service)
        if target is None or not target.holds_connections or not _is_changing(target):
            return
        key = holder, order.service, order.server, order.term
        relay = self.relays.get(key)
        if relay is None:
            relay = self.relays[key] = _Relay(target=target)
        elif relay.latest is not None and order.asked_at_s <= relay.latest.asked_at_s:
            return
        relay.latest, relay.asked_at_s = order, clock.now_s()
        if relay.is_due:
            relay.acted_at_s = clock.now_s()
            relay.task = target.start(self._act(target, relay, order, holder, answer))

    async def _act(
        self,
        target: service.Service,
        relay: _Relay,
        order: pauses.PauseOrder,
        holder: ids.InstanceId,
        answer: Answer,
    ) -> None:
        name, commands = order.server, relay.commands
        statuses = await commands.query({name})
        if name not in statuses or name in commands.unnamed:
            relay.interval_s = min(MAX_ACT_INTERVAL_S, 2 * relay.interval_s)
            return
        relay.interval_s = ACT_INTERVAL_S
        due = handover.servers_to_pause(expected={name}, statuses=statuses, term=order.term)
        in_force = clock.now_s() < relay.asked_at_s + PAUSE_WITHIN_S and _is_changing(target)
        if due and not statuses[name].leads and in_force:
            statuses |= await commands.pause(due, order.term)
        status = statuses[name]
        if status.paused and not relay.reported:
            relay.reported = True
            events.log(
                events.Event.PAUSE_RELAYED,
                service=order.service,
                server=name,
                end=status.received,
                term=order.term,
            )
        report = pauses.PauseReport(order=order, status=status)
        update = datagrams.PeerUpdate(instance=self.directory.instance, pause_reports=(report,))
        answer(holder, update)

    def expire(self) -> None:
        """End what is not asked any more; must be called at short intervals."""
        oldest_s = clock.now_s() - ORDER_TTL_S
        for key in [key for key, relay in self.relays.items() if relay.asked_at_s < oldest_s]:
            relay = self.relays.pop(key)
            if relay.task is not None:
                relay.task.cancel()
            relay.commands.close()


def _is_changing(target: service.Service) -> bool:
    """Return whether commits are held back for a promotion that is known to be recorded."""
    return target.hold.since_s is not None


class RelayedPauses:
    """The orders of this instance, and what the others have answered."""

    def __init__(
        self,
        *,
        directory: directory.Directory,
        peers: datagrams.PeerDatagrams | None,
    ) -> None:
        self.directory = directory
        self.peers = peers
        self.asked_at_s: dict[ids.ServiceName, float] = {}
        self.found: dict[
            tuple[ids.ServiceName, ids.Term], dict[ids.ServerId, ports.RelayedStatus]
        ] = {}

    def __repr__(self) -> str:
        return f"RelayedPauses(found={self.found!r})"

    def ask(
        self,
        name: ids.ServiceName,
        servers: collections.abc.Set[ids.ServerId],
        term: ids.Term,
        *,
        peers: collections.abc.Iterable[directory.Peer],
    ) -> dict[ids.ServerId, ports.RelayedStatus]:
        """Have servers paused by ``peers``; return the fresh statuses of those that are paused.

        Must be called at short intervals, and only while no other instance can hold the claim.
        """
        now_s = clock.now_s()
        known = self.found.setdefault((name, term), {})
        if (
            self.peers is not None
            and servers
            and now_s >= self.asked_at_s.get(name, float("-inf")) + REPEAT_S
        ):
            self.asked_at_s[name] = now_s
            orders = [
                pauses.PauseOrder(service=name, server=each, term=term, asked_at_s=now_s)
                for each in sorted(servers)
            ]
            addresses = [peer.address for peer in peers if peer.address is not None]
            for first in range(0, len(orders), MAX_ORDERS):
                update = datagrams.PeerUpdate(
                    instance=self.directory.instance,
                    pause_orders=tuple(orders[first : first + MAX_ORDERS]),
                )
                self.peers.send(update, addresses)
        return {
            server: found
            for server, found in known.items()
            if server in servers and now_s < found.read_after_s + REPORT_TTL_S
        }

    def receive(self, update: datagrams.PeerUpdate) -> None:
        """Keep answers, unless they are older than those known, or to no order of this change.

        A server that is not paused proves nothing, whatever was read before.
        """
        for report in update.pause_reports:
            self._receive(report)

    def _receive(self, report: pauses.PauseReport) -> None:
        order, status = report.order, report.status
        known = self.found.get((order.service, order.term))
        if known is None or order.asked_at_s > clock.now_s():
            return
        before = known.get(order.server)
        if before is not None and before.read_after_s > order.asked_at_s:
            return
        if status.paused and not status.leads:
            known[order.server] = ports.RelayedStatus(status=status, read_after_s=order.asked_at_s)
        else:
            known.pop(order.server, None)

    def forget(self, name: ids.ServiceName) -> None:
        """Forget the answers about a service; a later change asks again."""
        self.asked_at_s.pop(name, None)
        for key in [key for key in self.found if key[0] == name]:
            del self.found[key]
