"""Three instances in front of one in-memory group, of which some do not reach some servers."""

import asyncio

from mustardswitch.internal import ids
from mustardswitch.peers import datagrams
from mustardswitch.proxy import directory, peer_updates
from mustardswitch_standins import database_group
from tests.common import peer_world, proxy_world

ONE, TWO, THREE = peer_world.ONE, peer_world.TWO, peer_world.THREE
A, B, C = peer_world.A, peer_world.B, peer_world.C


class Network:
    """Delivers datagrams between instances, apart from those that are lost."""

    def __init__(self) -> None:
        self.updates: dict[str, peer_updates.PeerUpdates] = {}
        self.lost_to: set[str] = set()
        self.sent: list[datagrams.PeerUpdate] = []

    def send(self, update: datagrams.PeerUpdate, addresses=()) -> None:
        """Deliver an update to the instances that are named as hosts."""
        self.sent.append(update)
        data = datagrams.encode(update)
        for host in [each.host for each in addresses if each.host not in self.lost_to]:
            receive = self.updates[host].receive
            asyncio.get_running_loop().call_soon(receive, datagrams.decode(data))


class Worlds:
    """Instance one changes the primary; the others know its record, and check regularly."""

    def __init__(self) -> None:
        self.network = Network()
        self.group = database_group.Group()
        self.worlds = {name: proxy_world.World(group=self.group) for name in (ONE, TWO, THREE)}
        for name, world in self.worlds.items():
            world.directory.instance = name
            for other in self.worlds:
                peer = directory.Peer(zone=ids.ZoneName("a"), address=peer_world.address_of(other))
                world.directory.instances.put(other, peer)
            self.network.updates[name] = peer_updates.PeerUpdates(
                directory=world.directory, peers=self.network
            )
            self.network.updates[name].note_instances()
            if name != ONE:
                world.directory.note_recorded_promotion(database_group.SERVICE, B, revision=5)
        self.holder = self.worlds[ONE]
        self.holder.coordination.relay_pauses = self._relay_pauses

    def _relay_pauses(self, claim, servers, *, term):
        return self.network.updates[ONE].relay_pauses(claim.service, servers, term)

    def cut(self, instance: ids.InstanceId, server: ids.ServerId) -> None:
        """Let an instance not reach a server."""

        async def open_link(entry, *arguments):
            await asyncio.sleep(0.02)
            raise TimeoutError

        self.worlds[instance].service.servers[server].opener = open_link

    def commit_at(self, *receiving: ids.ServerId) -> None:
        """Let some replicas confirm a commit, and the primary crash."""
        for name in {B, C} - set(receiving):
            self.group.servers[name].not_receiving = True
        assert self.group.commit(self.group.servers[A], "confirmed")
        self.group.servers[A].up = False
