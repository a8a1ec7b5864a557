"""A replicated group with random delays, which records promotions and acknowledged commits."""

import contextvars
import dataclasses
import random
import time

from mustardswitch.internal import ids
from mustardswitch_standins import database_group, replication
from mustardswitch_standins.full_run import figures

SAME_ZONE_S = 0.0001
SAME_REGION_S = 0.0005
OTHER_REGION_S = 0.02
"""One-way delays of the network."""


@dataclasses.dataclass(kw_only=True)
class Arrival:
    """A statement that a server has received; times are monotonic, in seconds."""

    request: str
    source_port: int
    """Port of the remote end of its connection."""
    received_s: float
    slot_s: float | None = None
    """When it has got a slot; None for one that needs none."""
    closed: bool = False
    """Whether its connection was closed by the remote end before it ran."""

    def describe(self) -> str:
        """Return the fields as they are noted with an event."""
        now_s = time.monotonic()
        slot = "-" if self.slot_s is None else f"{self.slot_s - self.received_s:.3f}"
        return (
            f"sent by {self.request} from port {self.source_port}, slot after {slot} s,"
            f" executed after {now_s - self.received_s:.3f} s, closed: {self.closed}"
        )


arrival: contextvars.ContextVar[Arrival | None] = contextvars.ContextVar("arrival", default=None)
"""The statement that the current task executes."""


@dataclasses.dataclass(kw_only=True)
class Promotion:
    """A promotion and the commits that it discarded; times in Unix seconds."""

    service: str
    server: str
    former: str
    called_s: float
    effective_s: float
    term: int
    end: int
    """Length of the promoted log."""
    rolled_back: int
    """Commits in the log of the former primary that the promoted log lacks."""
    lost: list[str]
    """Those of them that were acknowledged."""
    holders: dict[str, int]
    """Servers with lost commits in their logs and how many each has; the names tell the listing."""


class MeasuredGroup(replication.ReplicatedGroup):
    """A group whose promotions and acknowledgements are recorded."""

    def __init__(self, *, service: str, size: figures.Size, source: random.Random) -> None:
        super().__init__(zones=figures.SERVER_ZONES, link_delay_s=self._draw_delay_s)
        self.service = service
        self.size = size
        self.completes_running = size.completes_running
        self.source = source
        self.effect_source = random.Random(source.random())
        """Draws the times of the promotions' effects; two may take effect in either order."""
        self.lag_factors: dict[ids.ServerId, float] = {}
        """Factor of the replication delay of each lagging server."""
        self.undelivered_lost: set[tuple[ids.ServerId, int]] = set()
        """Primaries, with their starts, whose entries on the way were lost with them."""
        self.promotions: list[Promotion] = []
        self.calls: dict[ids.ServerId, tuple[float, list[str]]] = {}
        """Time of the last call to promote each server, and the servers that were listed then."""
        self.acknowledged_at_s: list[float] = []
        """Unix times of the acknowledgements."""
        self.leads_again = False
        """Whether the present term began with the promotion of the leader of the term before."""
        for server in list(self.servers.values()):
            self._rename(server)

    def _rename(self, server: database_group.FakeServer) -> None:
        del self.servers[server.name]
        server.name = ids.ServerId(f"i-{self.source.getrandbits(32):08x}")
        server.born_ms = int(time.time() * 1000)
        self.servers[server.name] = server

    def _draw_delay_s(self, first: str, second: str) -> float:
        if first == second:
            network_s = SAME_ZONE_S
        else:
            same = figures.REGIONS[first] == figures.REGIONS[second]
            network_s = SAME_REGION_S if same else OTHER_REGION_S
        return network_s + figures.lognormal_s(self.source, self.size.replication_s / 2, 0.6)

    def _send(self, commit, replica, delay_s: float) -> None:
        super()._send(commit, replica, delay_s * self.lag_factors.get(replica.name, 1.0))

    def _deliver(self, commit, replica: database_group.FakeServer, starts: int) -> None:
        if (commit.primary.name, commit.starts) not in self.undelivered_lost:
            super()._deliver(commit, replica, starts)

    async def confirm(
        self, server: database_group.FakeServer, writes: list[str], timeout_s: float
    ) -> bool:
        """Commit at the primary, and note what one executes that leads again."""
        if self.leads_again:
            sent = arrival.get()
            self.note(
                f"{server.name} leads again and commits {' '.join(writes)}"
                f" at {self.term}.{len(server.log) + len(writes)}"
                f"{f', {sent.describe()}' if sent is not None else ''}"
            )
        return await super().confirm(server, writes, timeout_s)

    def _acknowledge(self, commit, replica, starts: int) -> None:
        before = len(self.acknowledged)
        super()._acknowledge(commit, replica, starts)
        if len(self.acknowledged) > before:
            self.acknowledged_at_s.append(time.time())

    def start_replacement(
        self, former: database_group.FakeServer, *, listed_after_s: float = 0.0
    ) -> database_group.FakeServer:
        """Start a replica with the log of another server; see the base class."""
        server = super().start_replacement(former, listed_after_s=listed_after_s)
        self._rename(server)
        return server

    def call_promotion(self, name: ids.ServerId, listed: list[str], holder: str = "") -> bool:
        """Accept the promotion of a running server; ``listed`` are the servers listed now."""
        self.calls[name] = time.time(), listed
        self.note(f"{holder or 'somebody'} calls the promotion of {name}")
        return self.request_promotion(
            name, self.effect_source.uniform(*figures.PROMOTION_EFFECTS_S)
        )

    def promote(self, name: ids.ServerId) -> bool:
        """Promote a server and record what that discards."""
        term, former = self.term, self.leader
        logs = {
            server.name: {entry.data for entry in server.log} for server in self.servers.values()
        }
        listed_before = {server.name: server.was_listed for server in self.servers.values()}
        former_log, lost_before = list(former.log), len(self.lost)
        done = super().promote(name)
        if self.term == term:
            return done
        self.leads_again = self.leader is former
        if self.leads_again:
            self.note(f"{name} led term {term} and leads again")
        called_s, listed = self.calls.get(name, (time.time(), []))
        held = {entry.data for entry in self.leader.log}
        lost = self.lost[lost_before:]
        holders: dict[str, int] = {}
        for server, log in logs.items():
            count = sum(data in log for data in lost)
            if count:
                state = "listed" if server in listed else "not listed"
                if state == "not listed" and not listed_before[server]:
                    state = "never listed"
                holders[f"{server} ({state})"] = count
        self.promotions.append(
            Promotion(
                service=self.service,
                server=name,
                former=former.name,
                called_s=called_s,
                effective_s=time.time(),
                term=self.term,
                end=len(self.leader.log),
                rolled_back=sum(entry.data not in held for entry in former_log),
                lost=list(lost),
                holders=holders,
            )
        )
        return done
