"""How long an instance sends commits after a watch of the store that has told it of no change."""

import asyncio
import contextlib
import types

import pytest

from mustardswitch.internal import change_log, clock, ids
from mustardswitch.platform import follower
from mustardswitch.proxy import directory, requests
from tests.common import peer_world, proxy_world

A, B, C = peer_world.A, peer_world.B, peer_world.C
REVISION = 10
COMPACTION_S = 1.0
"""Time for which watches hear of no change before the store drops its history and cuts them."""


class CompactingStore:
    """A store that is lost after one watch, which has heard of no change."""

    def __init__(self, holder: peer_world.World, *, answered_after_s: float) -> None:
        self.holder = holder
        self.answered_after_s = answered_after_s
        self.watches = types.SimpleNamespace(close=lambda: None)
        self.era = 0
        self.answered = False
        self.lost = asyncio.Event()

    async def list_all(self, prefix: str, *, serializable: bool = False) -> change_log.Listing:
        """Return a listing without changes."""
        return change_log.Listing(items=(), revision=REVISION, complete=not prefix)

    async def watch(self, prefix: str, *, after: int, wait_s: float) -> change_log.Listing:
        """Answer the first watch without a change, and no other one."""
        if self.answered:
            self.lost.set()
            await asyncio.Event().wait()
        self.answered = True
        self.holder.now_s += self.answered_after_s
        return change_log.Listing(items=(), revision=after)


class Watching:
    """The holder of a claim, and another instance that reads nothing after one watch."""

    def __init__(self, monkeypatch) -> None:
        self.holder = peer_world.World(monkeypatch)
        self.other = proxy_world.World()
        self.other.directory.instance = peer_world.TWO
        peer = directory.Peer(zone=ids.ZoneName("b"))
        self.other.directory.instances.put(peer_world.TWO, peer)

    async def watch(self, *, answered_after_s: float, recorded_after_s: float) -> None:
        """Answer a watch, and record a promotion meanwhile."""
        asked_at_s = self.holder.now_s
        self.holder.recorded_at_s = asked_at_s + recorded_after_s
        store = CompactingStore(self.holder, answered_after_s=answered_after_s)
        following = asyncio.create_task(
            follower.Follower(client=store, directory=self.other.directory).run()
        )
        await store.lost.wait()
        following.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await following

    async def write(self) -> requests.Answer:
        """Run a write of a caller of the other instance."""
        caller = self.other.open_session(requests.RouteKind.PRIMARY)
        return await self.other.run(caller, proxy_world.WRITE)


@pytest.fixture
def watching(monkeypatch):
    return Watching(monkeypatch)


@pytest.mark.parametrize(
    ("answered_after_s", "recorded_after_s"),
    [
        (follower.WATCH_WAIT_S, follower.WATCH_WAIT_S - COMPACTION_S),
        (0.0, 0.01),
    ],
    ids=["deaf while the store dropped its history", "answered before its time"],
)
async def test_a_watch_that_told_of_no_change_loses_no_commit(
    watching, answered_after_s, recorded_after_s
):
    """The former primary leads again after a crash, and a server that is not listed confirms."""
    await watching.watch(answered_after_s=answered_after_s, recorded_after_s=recorded_after_s)
    holder, group = watching.holder, watching.other.group
    group.servers[B].not_receiving = group.servers[C].not_receiving = True
    group.start_server(zone="d")
    holder.report()
    holder.confirm(peer_world.THREE)
    while not holder.report().complete:
        holder.now_s += 0.01
    await watching.write()
    group.promote(B)
    assert group.lost == []


async def test_commits_go_on_between_two_watches_without_a_change(watching):
    waited_s = follower.WATCH_WAIT_S
    await watching.watch(answered_after_s=waited_s, recorded_after_s=0.0)
    watching.holder.now_s += follower.MAX_BATCH_DELAY_S + follower.BATCH_DELAY_S + waited_s
    assert (await watching.write()).succeeded
    assert clock.now_s() == watching.holder.now_s
