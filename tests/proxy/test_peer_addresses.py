"""Other instances are answered where they were heard from, also once they are unregistered."""

import asyncio

from mustardswitch.internal import ids
from mustardswitch.peers import datagrams
from mustardswitch.proxy import peer_addresses
from mustardswitch_standins import fleet
from tests.common import peer_world

ANSWER_S = 2.0
"""Time for a datagram and its answer on this machine."""


async def test_a_holder_that_is_not_registered_any_more_receives_confirmations(monkeypatch):
    """Statements reached a leaving primary later than allowed: the holder of the claim was stopped
    as planned, so that its registration had ended, and instances that started after that confirmed
    the hold to nobody. The hand-over waited until they could not have sent commits.
    """
    world = peer_world.World(monkeypatch)
    received = asyncio.get_running_loop().create_future()
    holder, other = (
        datagrams.PeerDatagrams(
            addresses=list, receiver=receiver, registry=world.directory.registry
        )
        for receiver in (received.set_result, world.updates.receive)
    )
    ports_of = [(each, fleet.free_ports(1)[0]) for each in (holder, other)]
    try:
        for each, port in ports_of:
            await each.start(datagrams.PeerAddress(host="127.0.0.1", port=port))
        world.updates.peers = other
        world.service.note_recorded_promotion(peer_world.B, revision=peer_world.REVISION)
        holder.send(
            datagrams.PeerUpdate(
                instance=ids.InstanceId("stopping"), promotions=(peer_world.promotion_of(),)
            ),
            [datagrams.PeerAddress(host="127.0.0.1", port=ports_of[1][1])],
        )
        update = await asyncio.wait_for(received, ANSWER_S)
        assert [each.revision for each in update.held] == [peer_world.REVISION]
    finally:
        holder.close()
        other.close()


def test_an_address_is_forgotten_some_time_after_the_latest_datagram(monkeypatch):
    world = peer_world.World(monkeypatch)
    addresses = peer_addresses.PeerAddresses(directory=world.directory)
    heard = datagrams.PeerAddress(host="10.0.0.9", port=7)
    for instance in (peer_world.TWO, ids.InstanceId("stopping")):
        addresses.note_heard(datagrams.PeerUpdate(instance=instance, sender=heard))
    assert addresses.find(peer_world.TWO) == peer_world.address_of(peer_world.TWO)
    assert addresses.find(ids.InstanceId("stopping")) == heard
    world.now_s += peer_addresses.HEARD_S + 0.1
    addresses.expire()
    assert addresses.find(ids.InstanceId("stopping")) is None
