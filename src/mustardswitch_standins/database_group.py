"""An in-memory group of database servers with logs, terms, pauses and synchronous replication.

Behaves as the users' databases do: a commit is acknowledged once one replica has received it, a
paused or deaf replica receives nothing, and a promotion cuts the logs of the others back.
"""

import asyncio
import collections
import dataclasses

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, positions, promotion
from mustardswitch.proxy import ports, requests

SERVICE = ids.ServiceName("orders")


@dataclasses.dataclass(kw_only=True)
class LogEntry:
    """One commit."""

    term: int
    data: str


class FakeServer:
    """One server of the group."""

    def __init__(self, *, name: str, zone: str) -> None:
        self.name = ids.ServerId(name)
        self.zone = ids.ZoneName(zone)
        self.log: list[LogEntry] = []
        self.role = promotion.Role.REPLICA
        self.paused_term = 0
        self.up = True
        self.silent = False
        self.not_receiving = False
        self.leaving = False
        self.busy = 0
        self.slow_s = 0.0
        self.asked: list[str] = []
        self.links: list[FakeLink] = []

    @property
    def position(self) -> positions.Position:
        """The end of the log."""
        term = self.log[-1].term if self.log else 0
        return positions.Position(term=ids.Term(term), offset=ids.Offset(len(self.log)))

    def holds(self, min_position: positions.Position) -> bool:
        """Whether the log has a position."""
        if min_position.offset == 0:
            return True
        index = min_position.offset - 1
        return index < len(self.log) and self.log[index].term == min_position.term


class Group:
    """Servers of one service."""

    def __init__(self, *, zones: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.servers = {
            ids.ServerId(f"server-{zone}"): FakeServer(name=f"server-{zone}", zone=zone)
            for zone in zones
        }
        self.term = 1
        self.acknowledged: list[str] = []
        self.lost: list[str] = []
        self.ran: list[str] = []
        self.statements: list[FakeStatement] = []
        first = next(iter(self.servers.values()))
        first.role = promotion.Role.PRIMARY

    @property
    def primary(self) -> FakeServer | None:
        """The server that leads."""
        leading = [s for s in self.servers.values() if s.role is promotion.Role.PRIMARY]
        return leading[0] if leading else None

    def commit(self, server: FakeServer, data: str) -> bool:
        """Write a commit at the primary; True when it is acknowledged."""
        server.log.append(LogEntry(term=self.term, data=data))
        receivers = [replica for replica in self.servers.values() if self._receives(replica)]
        for replica in receivers:
            replica.log = list(server.log)
        if receivers:
            self.acknowledged.append(data)
        return bool(receivers)

    def _receives(self, replica: FakeServer) -> bool:
        return (
            replica.role is promotion.Role.REPLICA
            and replica.up
            and not replica.not_receiving
            and not replica.paused_term
        )

    def promote(self, name: ids.ServerId) -> bool:
        """Let a server lead the next term with the log that it has."""
        chosen = self.servers[name]
        if not chosen.up or chosen.role is promotion.Role.PRIMARY:
            return chosen.up
        held = {entry.data for entry in chosen.log}
        self.lost += [data for data in self.acknowledged if data not in held]
        self.term += 1
        for server in self.servers.values():
            server.role = promotion.Role.REPLICA
            if len(server.log) > len(chosen.log):
                server.log = list(chosen.log)
        chosen.role = promotion.Role.PRIMARY
        chosen.paused_term = 0
        return True

    def catch_up(self, replica: FakeServer) -> None:
        """Let a replica that may receive copy the primary's log."""
        primary = self.primary
        if primary is not None and primary.up and self._receives(replica):
            replica.log = list(primary.log)

    def status(self, server: FakeServer) -> promotion.ServerStatus:
        """What a server says about itself."""
        return promotion.ServerStatus(
            role=server.role,
            term=ids.Term(max(self.term, server.paused_term)),
            received=server.position,
        )

    def entries(self) -> list[ports.ServerEntry]:
        """The servers as the platform lists them."""
        return [
            ports.ServerEntry(
                server=server.name,
                service=SERVICE,
                host="127.0.0.1",
                port=1,
                zone=server.zone,
                slots=3,
                leaving=server.leaving,
                role=server.role,
                started_ms=1,
            )
            for server in self.servers.values()
        ]

    async def open_link(self, entry: ports.ServerEntry) -> "FakeLink":
        """Open a connection."""
        server = self.servers[entry.server]
        await asyncio.sleep(0)
        if server.silent:
            await asyncio.sleep(0.5)
            raise backend_errors.BackendUnreachableError(f"{server.name} is silent")
        if not server.up:
            raise backend_errors.ServerRefusedError(f"{server.name} is down")
        link = FakeLink(group=self, server=server)
        server.links.append(link)
        return link


@dataclasses.dataclass(kw_only=True)
class FakeStatement:
    """A caller's statement that ran."""

    request: str
    server: ids.ServerId
    position: positions.Position
    link: "FakeLink"


class FakeLink:
    """A connection; commands are carried out when their answer is received."""

    def __init__(self, *, group: Group, server: FakeServer) -> None:
        self.group = group
        self.server = server
        self.broken = False
        self.values: dict[str, str] = {}
        self.shapes: dict[requests.Shape, str] = {}
        self.pending: collections.deque[tuple[ports.Command, ids.RequestId | None]] = (
            collections.deque()
        )
        self.unanswered_since_s: float | None = None
        self.open_term: int | None = None
        self.read_only = False
        self.writes: list[str] = []
        self.state = requests.TransactionState.IDLE

    def close(self) -> None:
        """Close it."""
        self.broken = True

    def send(self, command: ports.Command, request: ids.RequestId | None = None) -> None:
        """Queue a command."""
        if self.broken or not self.server.up:
            self.broken = True
            raise backend_errors.NothingSentError("closed")
        self.server.asked.append(type(command).__name__)
        self.unanswered_since_s = self.unanswered_since_s or clock.now_s()
        self.pending.append((command, request))
        if isinstance(command, requests.SetValue):
            self.values[command.name] = command.value
        elif isinstance(command, ports.ResetSession):
            self.values.clear()
            self.shapes.clear()
        elif isinstance(command, ports.PrepareShape):
            self.shapes[command.shape] = "p"

    async def receive(self, timeout_s: float) -> requests.Answer:
        """Carry out the oldest command."""
        await asyncio.sleep(min(timeout_s, self.server.slow_s))
        if self.server.silent:
            await asyncio.sleep(timeout_s)
        if self.broken or not self.server.up or self.server.silent:
            self.close()
            raise backend_errors.ConnectionBrokenError("no answer")
        command, request = self.pending.popleft()
        if not self.pending:
            self.unanswered_since_s = None
        answer = self._carry_out(command, request)
        self.state = answer.state
        return answer

    def _answer(self, refusal: requests.Refusal | None = None) -> requests.Answer:
        state = requests.TransactionState.IDLE
        if self.open_term is not None:
            state = (
                requests.TransactionState.OPEN
                if refusal is None
                else (requests.TransactionState.FAILED)
            )
        return requests.Answer(
            rows=(str(len(self.server.log)),),
            signature=None if refusal else f"sig-{self.server.name}",
            refusal=refusal,
            state=state,
            position=self.server.position,
        )

    def _carry_out(self, command: ports.Command, request: ids.RequestId | None) -> requests.Answer:
        leads = self.server.role is promotion.Role.PRIMARY
        if self.server.busy and isinstance(
            command, ports.ReadAt | requests.Plain | ports.RunPrepared
        ):
            self.server.busy -= 1
            return self._answer(requests.Refusal.OVERLOADED)
        min_position = getattr(command, "min_position", None)
        if min_position is not None and not self.server.holds(min_position):
            return self._answer(requests.Refusal.BEHIND)
        if isinstance(command, ports.BeginAt):
            if not command.read_only and not leads:
                return self._answer(requests.Refusal.READ_ONLY)
            self.open_term = self.group.term
            self.read_only = command.read_only
            return self._answer()
        if self.open_term is not None and not self.read_only:
            lost = not leads or self.open_term != self.group.term
            harmless = isinstance(command, requests.Rollback) or (
                isinstance(command, requests.Commit) and not self.writes
            )
            if lost and not harmless:
                return self._answer(requests.Refusal.READ_ONLY)
        return self._run(command, request, leads)

    def _run(
        self, command: ports.Command, request: ids.RequestId | None, leads: bool
    ) -> requests.Answer:
        if isinstance(command, requests.Rollback | requests.Commit):
            writes, self.writes, self.open_term = self.writes, [], None
            if isinstance(command, requests.Commit) and writes:
                return self._commit(writes)
            return self._answer()
        access = _access(command)
        if access is None:
            return self._answer()
        if access is requests.Access.WRITE:
            if not leads:
                return self._answer(requests.Refusal.READ_ONLY)
            self._note(request)
            if self.open_term is None:
                return self._commit([str(request)])
            self.writes.append(str(request))
            return self._answer()
        self._note(request)
        return self._answer()

    def _note(self, request: ids.RequestId | None) -> None:
        self.group.ran.append(str(request))
        self.group.statements.append(
            FakeStatement(
                request=str(request),
                server=self.server.name,
                position=self.server.position,
                link=self,
            )
        )

    def _commit(self, writes: list[str]) -> requests.Answer:
        acknowledged = [self.group.commit(self.server, data) for data in writes]
        if not all(acknowledged):
            self.close()
            raise backend_errors.ConnectionBrokenError("not confirmed")
        return self._answer()

    def _check(self) -> None:
        if self.broken or not self.server.up or self.server.silent:
            self.close()
            raise backend_errors.ConnectionBrokenError("no answer")

    async def status(self, timeout_s: float) -> promotion.ServerStatus:
        """Ask the server about itself."""
        if self.server.silent:
            await asyncio.sleep(timeout_s)
        self._check()
        self.server.asked.append("status")
        return self.group.status(self.server)

    async def pause(self, term: ids.Term, timeout_s: float) -> promotion.ServerStatus:
        """Stop a replica from receiving."""
        if self.server.silent:
            await asyncio.sleep(timeout_s)
        self._check()
        if self.server.role is promotion.Role.REPLICA:
            self.server.paused_term = max(term, self.server.paused_term)
        return self.group.status(self.server)

    async def resume(self, timeout_s: float) -> None:
        """Let a replica receive again."""
        self._check()
        self.server.paused_term = 0
        self.group.catch_up(self.server)


def _access(command: ports.Command) -> requests.Access | None:
    if isinstance(command, ports.ReadAt):
        return _access(command.statement)
    if isinstance(command, ports.RunPrepared):
        return command.shape.access
    if isinstance(command, requests.Plain):
        return command.access
    return None


CLAIM_S = 7.0
"""How long a claim holds; as in the platform's adapter."""


class FakePromoter:
    """The platform's promotion call, with fencing tokens."""

    def __init__(self, *, group: Group) -> None:
        self.group = group
        self.seen = 0
        self.orders: list[tuple[ids.ServerId, int]] = []
        self.lose_answers = 0
        self.delayed: list[tuple[ids.ServerId, int]] = []
        """Orders without an answer that were not carried out yet."""
        self.executes = True
        """Whether an order whose answer is lost is carried out all the same."""

    async def promote(
        self, *, service: ids.ServiceName, server: ids.ServerId, fencing_token: int
    ) -> ports.PromotionOutcome:
        """Let a server lead unless a higher token was seen."""
        self.orders.append((server, fencing_token))
        if self.lose_answers:
            self.lose_answers -= 1
            if self.executes:
                self._carry_out(server, fencing_token)
            else:
                self.delayed.append((server, fencing_token))
            return ports.PromotionOutcome.UNKNOWN
        return self._carry_out(server, fencing_token)

    def execute_delayed(self) -> None:
        """Carry out the orders that were held back."""
        while self.delayed:
            self._carry_out(*self.delayed.pop(0))

    def _carry_out(self, server: ids.ServerId, fencing_token: int) -> ports.PromotionOutcome:
        if fencing_token < self.seen:
            return ports.PromotionOutcome.REJECTED
        self.seen = fencing_token
        done = self.group.promote(server)
        return ports.PromotionOutcome.ACCEPTED if done else ports.PromotionOutcome.REJECTED


class FakeCoordination:
    """Claims and votes in memory; ``votes`` and ``claims`` are shared with a directory."""

    def __init__(self) -> None:
        self.revision = 0
        self.held: set[ids.ServiceName] = set()
        self.votes: list[tuple[ids.ServiceName, ids.ServerId]] = []
        self.released: list[ports.Claim] = []
        self.claim_s = CLAIM_S
        self.unfinished: dict[ids.ServiceName, ports.UnfinishedChange] = {}
        """Marks of unfinished changes; may be shared with a directory."""

    async def claim(self, service: ids.ServiceName) -> ports.Claim | None:
        """Claim a service unless it is held."""
        if service in self.held:
            return None
        self.held.add(service)
        self.revision += 1
        self.unfinished[service] = ports.UnfinishedChange.PAUSED
        return ports.Claim(
            service=service,
            fencing_token=self.revision,
            expires_at_s=clock.now_s() + self.claim_s,
        )

    async def note_promotion_requested(self, claim: ports.Claim) -> None:
        """Mark an order without an answer."""
        self.unfinished[claim.service] = ports.UnfinishedChange.PROMOTION_REQUESTED

    async def release(
        self, claim: ports.Claim, *, unfinished: ports.UnfinishedChange | None = None
    ) -> None:
        """Give a claim back; one that has lapsed changes no mark."""
        self.held.discard(claim.service)
        self.released.append(claim)
        if clock.now_s() >= claim.expires_at_s:
            return
        self.unfinished.pop(claim.service, None)
        if unfinished is not None:
            self.unfinished[claim.service] = unfinished

    async def vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Note a vote."""
        self.votes.append((service, server))

    async def withdraw_vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Take a vote back."""
        self.votes.remove((service, server))
