"""Where other instances can be answered, also those that are not registered any more.

An instance that stops ends its registration first and goes on for some seconds. It may hold the
claim of a change of primary, and others that start meanwhile know it from its datagrams only.
"""

from mustardswitch.internal import clock, ids
from mustardswitch.peers import datagrams
from mustardswitch.proxy import directory

HEARD_S = 10.0
"""Time for which the address of an unregistered instance is kept after its latest datagram; as long
as a change of primary is renewed."""
MAX_HEARD = 256
"""Addresses of unregistered instances that are kept."""


class PeerAddresses:
    """The addresses of other instances."""

    def __init__(self, *, directory: directory.Directory) -> None:
        self.directory = directory
        self.heard: dict[ids.InstanceId, tuple[datagrams.PeerAddress, float]] = {}
        """Where the latest datagram of an instance came from, and when (``clock.now_s``)."""

    def __repr__(self) -> str:
        return f"PeerAddresses(heard={self.heard!r})"

    def note_heard(self, update: datagrams.PeerUpdate) -> None:
        """Keep the address that an update came from."""
        if update.sender is None:
            return
        self.heard.pop(update.instance, None)
        self.heard[update.instance] = update.sender, clock.now_s()
        if len(self.heard) > MAX_HEARD:
            del self.heard[next(iter(self.heard))]

    def expire(self) -> None:
        """Forget addresses that were not heard from for ``HEARD_S``."""
        oldest_s = clock.now_s() - HEARD_S
        self.heard = {name: known for name, known in self.heard.items() if known[1] >= oldest_s}

    def find(self, instance: ids.InstanceId) -> datagrams.PeerAddress | None:
        """Return the registered address of an instance, or the one it was heard from lately."""
        peer = self.directory.instances.entries.get(instance)
        if peer is not None:
            return peer.address
        known = self.heard.get(instance)
        return None if known is None else known[0]
