"""One instance that exchanges updates with two others, which a test plays."""

import contextlib

from mustardswitch.internal import clock, commit_permission, former_primary, ids, positions
from mustardswitch.peers import datagrams, told_commits
from mustardswitch.proxy import directory, peer_updates, ports
from mustardswitch_standins import database_group
from tests.common import proxy_world

ONE, TWO, THREE = (ids.InstanceId(name) for name in ("one", "two", "three"))
A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")
REVISION = 20
LIMIT_S = commit_permission.HOLD_LIMIT_S


def promotion_of(
    server: ids.ServerId = B,
    *,
    revision: int = REVISION,
    service: ids.ServiceName = database_group.SERVICE,
) -> datagrams.RecordedPromotion:
    """Build the announcement of a recorded promotion."""
    return datagrams.RecordedPromotion(service=service, server=server, revision=revision)


def address_of(instance: ids.InstanceId) -> datagrams.PeerAddress:
    """Return the address of an instance, whose host is its name."""
    return datagrams.PeerAddress(host=instance, port=1)


class Peers:
    """Keeps the updates that are sent; None as addresses stands for all instances."""

    def __init__(self) -> None:
        self.sent: list[datagrams.PeerUpdate] = []
        self.hosts: list[set[str] | None] = []

    def send(self, update: datagrams.PeerUpdate, addresses=None) -> None:
        """Keep an update, and the hosts to which it goes."""
        self.sent.append(update)
        self.hosts.append(None if addresses is None else {each.host for each in addresses})


class World(proxy_world.World):
    """Instance one, which has run for long, beside two and three; its clock stands still."""

    def __init__(self, monkeypatch) -> None:
        self.now_s = 1000.0
        monkeypatch.setattr(clock, "now_s", lambda: self.now_s)
        super().__init__()
        for name in (TWO, THREE):
            self.list_instance(name)
        self.directory.instances.note_recovery(self.now_s - LIMIT_S)
        self.directory.servers.note_confirmed(self.now_s, revision=10)
        self.directory.permission.note_current(self.now_s)
        self.peers = Peers()
        self.updates = peer_updates.PeerUpdates(directory=self.directory, peers=self.peers)
        self.recorded_at_s = self.now_s

    def list_instance(self, name: ids.InstanceId) -> None:
        """Add the registration of an instance."""
        peer = directory.Peer(zone=ids.ZoneName("b"), address=address_of(name))
        self.directory.instances.put(name, peer)

    def remove_instance(self, name: ids.InstanceId) -> None:
        """Remove the registration of an instance."""
        self.directory.instances.remove(name, self.now_s)

    def report(
        self,
        promoted: datagrams.RecordedPromotion | None = None,
        *,
        order: datagrams.StopOrder | None = None,
    ) -> ports.HoldReport:
        """Record that a promotion is announced, and return the present report."""
        return self.updates.hold_commits(
            promoted or promotion_of(), recorded_at_s=self.recorded_at_s, order=order
        )

    def tell_primary(
        self,
        instance: ids.InstanceId,
        report: former_primary.Report,
        order: datagrams.StopOrder,
    ) -> None:
        """Receive what another instance knows of a primary."""
        told = datagrams.PrimaryReport(order=order, report=report)
        self.updates.receive(datagrams.PeerUpdate(instance=instance, primary_reports=(told,)))

    def confirm(
        self,
        *names: ids.InstanceId,
        above: positions.Position | None = None,
        told: told_commits.ToldCommits | None = None,
        **changes: object,
    ) -> None:
        """Receive the confirmations of other instances."""
        promoted = promotion_of(**changes)
        for name in names:
            held = datagrams.HeldCommits(
                service=promoted.service,
                server=promoted.server,
                revision=promoted.revision,
                above=above,
                told=told,
            )
            self.updates.receive(datagrams.PeerUpdate(instance=name, held=(held,)))

    def announce(self, *promoted: datagrams.RecordedPromotion, stale: bool = False) -> None:
        """Receive the announcement of recorded promotions by another instance."""
        self.updates.receive(
            datagrams.PeerUpdate(
                instance=TWO,
                promotions=promoted,
                stale=stale,
                answers_s=self.now_s if stale else None,
            )
        )

    def note_acknowledged(self, server: ids.ServerId, *, above: positions.Position) -> None:
        """Record a commit that was acknowledged through this instance."""
        shown = positions.Position(term=above.term, offset=ids.Offset(above.offset + 1))
        self.service.acknowledged.note_acknowledged(
            server, above=above, shown=shown, request=ids.RequestId("r")
        )

    def commit_under_way(self, server: ids.ServerId = A) -> contextlib.AbstractContextManager:
        """Return a context in which a commit is not answered yet."""
        return self.service.commits.tracking(object(), server)

    async def check(self) -> None:
        """Run the regular checks at the present time."""
        self.updates.check()
