"""An in-memory group of database servers with logs, terms, pauses and synchronous replication.

Emulates the platform's databases: a commit is acknowledged once at least one replica has received
it, a paused replica or one with ``not_receiving`` set receives nothing, and a promotion truncates
longer logs of the other servers to the new primary's log. ``replication`` has a group whose
replicas receive after a delay.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, positions, promotion
from mustardswitch.proxy import ports, requests, routes

SERVICE = ids.ServiceName("orders")
CLAIM_S = 3.0
"""Time until a claim expires, the same as in the platform's adapter."""


@dataclasses.dataclass(kw_only=True)
class LogEntry:
    """A commit with the term in which it was written."""

    term: int
    data: str


class FakeServer:
    """A server of the group, with the faults that are injected into it."""

    def __init__(self, *, name: str, zone: str) -> None:
        self.name = ids.ServerId(name)
        self.zone = ids.ZoneName(zone)
        self.log: list[LogEntry] = []
        self.role = promotion.Role.REPLICA
        self.paused_term = 0
        """Term for which replication to this replica is paused; 0 when it is not."""
        self.up = True
        self.silent = False
        """Whether the server neither answers nor refuses connections and requests."""
        self.not_receiving = False
        """Whether replicated entries don't reach this replica."""
        self.awaited_promotions = 0
        """Number of accepted promotions that have not taken effect."""
        self.led_in_term = 0
        """Last term in which it led."""
        self.leaving = False
        self.born_ms = 1
        """Unix time of its start, in milliseconds."""
        self.starts = 1
        """Number of its starts; a message sent to an earlier one is lost."""
        self.listed_from_s = 0.0
        """Monotonic time from which it is registered; it receives and confirms before."""
        self.was_listed = False
        self.registrations = 0
        """Number of times that it was registered since its start."""
        self.busy = 0
        """Number of further statements that are answered as overloaded."""
        self.answer_delay_s = 0.0
        self.order_delay_s = 0.0
        """Delay after which orders are executed, without an answer; 0: at once."""
        self.running = 0
        """Number of statements that it executes."""
        self.received_commands: list[str] = []
        self.links: list[FakeLink] = []

    @contextlib.contextmanager
    def running_statement(self) -> collections.abc.Iterator[None]:
        """Count a statement as running while the context is open."""
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1

    @property
    def position(self) -> positions.Position:
        """The end of the log."""
        term = self.log[-1].term if self.log else 0
        return positions.Position(term=ids.Term(term), offset=ids.Offset(len(self.log)))

    def holds(self, min_position: positions.Position) -> bool:
        """Return whether the log contains the entry at a position."""
        if min_position.offset == 0:
            return True
        index = min_position.offset - 1
        return index < len(self.log) and self.log[index].term == min_position.term


class Group:
    """The servers of one service; the first one starts as the primary."""

    def __init__(self, *, zones: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.servers = {
            ids.ServerId(f"server-{zone}"): FakeServer(name=f"server-{zone}", zone=zone)
            for zone in zones
        }
        self.term = 1
        self.acknowledged: list[str] = []
        self.lost: list[str] = []
        """Acknowledged commits that a promotion discarded."""
        self.holders_of_lost: dict[str, list[str]] = {}
        """Other servers with a lost commit in their logs as it was discarded."""
        self.promotes_as_of_request = False
        """Whether a server leads with what it had received when its promotion was accepted.

        It still receives and confirms commits until the effect.
        """
        self.completes_running = False
        """Whether a statement that began at a primary completes there after it has stepped down."""
        self.executed: list[str] = []
        """Request ids of the executed statements, in their order."""
        self.statements: list[FakeStatement] = []
        first = next(iter(self.servers.values()))
        first.role = promotion.Role.PRIMARY
        first.led_in_term = self.term

    @property
    def primary(self) -> FakeServer | None:
        """The current primary; None without one."""
        leading = [s for s in self.servers.values() if s.role is promotion.Role.PRIMARY]
        return leading[0] if leading else None

    def commit(self, server: FakeServer, data: str) -> bool:
        """Append a commit at the primary and replicate it; return whether a replica received it.

        A server that does not lead takes no commit.
        """
        if server.role is not promotion.Role.PRIMARY:
            return False
        return self._append(server, data)

    def _append(self, server: FakeServer, data: str) -> bool:
        server.log.append(LogEntry(term=self.term, data=data))
        replicas = [replica for replica in self.servers.values() if replica is not server]
        receivers = [replica for replica in replicas if self._receives(replica)]
        for replica in receivers:
            replica.log = list(server.log)
        if receivers:
            self.acknowledged.append(data)
        return bool(receivers)

    async def confirm(self, server: FakeServer, writes: list[str], timeout_s: float) -> bool:
        """Commit what a server has executed as the primary, from which it may have stepped down.

        Returns whether a replica has received all within the limit.
        """
        del timeout_s
        confirmed = [self._append(server, data) for data in writes]
        return all(confirmed)

    def _receives(self, replica: FakeServer) -> bool:
        return (
            replica.role is promotion.Role.REPLICA
            and replica.up
            and not replica.not_receiving
            and not replica.paused_term
        )

    def start_server(self, *, zone: str) -> FakeServer:
        """Start another replica, which has the primary's log."""
        server = FakeServer(name=f"server-{zone}", zone=zone)
        self.servers[server.name] = server
        self.catch_up(server)
        return server

    def request_promotion(self, name: ids.ServerId, delay_s: float) -> bool:
        """Accept the promotion of a running server, which takes effect after a delay.

        For a server that leads then it changes nothing. One that has stepped down since leads
        again, in the next term, and all pauses end.
        """
        server = self.servers.get(name)
        if server is None or not server.up:
            return False
        leads = server.role is promotion.Role.PRIMARY
        if not leads:
            server.awaited_promotions += 1
        end = len(server.log)
        if not self.promotes_as_of_request or server.led_in_term == self.term:
            end = None
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._take_effect, server, not leads, self.term, end)
        return True

    def _take_effect(
        self, server: FakeServer, was_awaited: bool, term: int, end: int | None
    ) -> None:
        """Promote a server whose log ended at ``end`` when this was accepted in a term.

        With None, or if it has led since, it leads with what it has now.
        """
        server.awaited_promotions -= was_awaited
        if server.name not in self.servers:
            return
        if end is not None and server.up and server.led_in_term <= term:
            del server.log[end:]
        self.promote(server.name)

    def promote(self, name: ids.ServerId) -> bool:
        """Make a server the primary of the next term with its present log.

        Returns whether the server is up; promoting the primary again changes nothing.
        """
        new_primary = self.servers[name]
        if not new_primary.up or new_primary.role is promotion.Role.PRIMARY:
            return new_primary.up
        self._note_lost(new_primary)
        self.term += 1
        for server in self.servers.values():
            server.role = promotion.Role.REPLICA
            server.paused_term = 0
            if len(server.log) > len(new_primary.log):
                server.log = list(new_primary.log)
        new_primary.role = promotion.Role.PRIMARY
        new_primary.led_in_term = self.term
        return True

    def _note_lost(self, new_primary: FakeServer) -> None:
        held = {entry.data for entry in new_primary.log}
        lost = [data for data in self.acknowledged if data not in held and data not in self.lost]
        self.lost += lost
        for data in lost:
            self.holders_of_lost[data] = [
                server.name if server.was_listed else f"{server.name} (never listed)"
                for server in self.servers.values()
                if any(entry.data == data for entry in server.log)
            ]

    def step_down(self, server: FakeServer, term: int) -> None:
        """Make the primary a replica if its term is below ``term``; no server leads then."""
        if server.role is promotion.Role.PRIMARY and term > self.term:
            server.role = promotion.Role.REPLICA

    def catch_up(self, replica: FakeServer) -> None:
        """Copy the primary's log to a replica, unless the replica can't receive."""
        primary = self.primary
        if primary is not None and primary.up and self._receives(replica):
            replica.log = list(primary.log)

    def status(self, server: FakeServer) -> promotion.ServerStatus:
        """Return a server's answer to a status query."""
        return promotion.ServerStatus(
            role=server.role,
            term=ids.Term(max(self.term, server.paused_term)),
            received=server.position,
            paused=server.paused_term > 0,
            running=server.running,
        )

    def entries(self) -> list[ports.ServerEntry]:
        """Return the servers as the platform's registrations list them."""
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
                started_ms=server.born_ms,
            )
            for server in self.servers.values()
        ]

    async def open_link(
        self, entry: ports.ServerEntry, tenant: ids.TenantName = routes.NO_TENANT
    ) -> "FakeLink":
        """Open a connection to a server that serves a tenant.

        Raises ``BackendUnreachableError`` after 0.5 s for a silent server and
        ``ServerRefusedError`` for one that is down.
        """
        server = self.servers[entry.server]
        await asyncio.sleep(0)
        if server.silent:
            await asyncio.sleep(0.5)
            raise backend_errors.BackendUnreachableError(f"{server.name} is silent")
        if not server.up:
            raise backend_errors.ServerRefusedError(f"{server.name} is down")
        link = FakeLink(group=self, server=server, tenant=tenant)
        server.links.append(link)
        return link


@dataclasses.dataclass(kw_only=True)
class FakeStatement:
    """An executed statement of a caller, with the server's position at that time."""

    request: str
    server: ids.ServerId
    position: positions.Position
    link: "FakeLink"


class FakeLink:
    """A connection to a server; each command executes when its answer is received."""

    def __init__(
        self, *, group: Group, server: FakeServer, tenant: ids.TenantName = routes.NO_TENANT
    ) -> None:
        self.group = group
        self.tenant = tenant
        self.server = server
        self.starts = server.starts
        self.broken = False
        self.values: dict[str, str] = {}
        self.shapes: dict[requests.Shape, str] = {}
        self.pending: collections.deque[tuple[ports.Command, ids.RequestId | None]] = (
            collections.deque()
        )
        self.unanswered_since_s: float | None = None
        self.open_term: int | None = None
        """Term in which the open transaction began; None without one."""
        self.read_only = False
        self.unconfirmed: list[str] = []
        """Writes of the commit that is being executed."""
        self.began_in_term: int | None = None
        """Term of the primary at which the running statement began; 0 at a replica, None: none."""
        self.writes: list[str] = []
        """Request ids of the open transaction's writes."""
        self.state = requests.TransactionState.IDLE

    def close(self) -> None:
        """Mark the connection as broken."""
        self.broken = True

    def shed(self) -> None:
        """Keep all values and shapes; they are small here."""

    def send(self, command: ports.Command, request: ids.RequestId | None = None) -> None:
        """Queue a command.

        Raises ``NothingSentError`` on a broken connection or when the server is down.
        """
        if self.broken or not self.server.up:
            self.broken = True
            raise backend_errors.NothingSentError("connection is closed")
        self.server.received_commands.append(type(command).__name__)
        self.unanswered_since_s = self.unanswered_since_s or clock.now_s()
        self.pending.append((command, request))
        if isinstance(command, requests.SetValue):
            self.values[command.name] = command.value
        elif isinstance(command, ports.ResetSession):
            self.values.clear()
            self.shapes.clear()
        elif isinstance(command, ports.PrepareShape):
            self.shapes[command.shape] = "p"

    def begin(self) -> None:
        """Let the oldest queued command, or the next one that is sent, begin to run now."""
        leads = self.server.role is promotion.Role.PRIMARY
        self.began_in_term = self.group.term if leads else 0

    async def receive(self, timeout_s: float) -> requests.Answer:
        """Execute the oldest queued command and return its answer.

        It begins now, unless it has begun already. Raises ``ConnectionBrokenError`` when the server
        is silent or down, the connection is broken, or no replica confirmed a commit.
        """
        if self.began_in_term is None:
            self.begin()
        with self.server.running_statement():
            await asyncio.sleep(min(timeout_s, self.server.answer_delay_s))
            if self.server.silent:
                await asyncio.sleep(timeout_s)
            self._check()
            command, request = self.pending.popleft()
            if not self.pending:
                self.unanswered_since_s = None
            answer = self._execute(command, request)
        self.began_in_term = None
        if self.unconfirmed:
            answer = await self._commit(timeout_s)
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

    def _execute(self, command: ports.Command, request: ids.RequestId | None) -> requests.Answer:
        is_primary = self.server.role is promotion.Role.PRIMARY or self._completes()
        if self.server.busy and isinstance(
            command, ports.ReadAt | requests.Plain | ports.RunPrepared
        ):
            self.server.busy -= 1
            return self._answer(requests.Refusal.OVERLOADED)
        min_position = getattr(command, "min_position", None)
        if min_position is not None and not self.server.holds(min_position):
            return self._answer(requests.Refusal.BEHIND)
        if isinstance(command, ports.BeginAt):
            if not command.read_only and not is_primary:
                return self._answer(requests.Refusal.READ_ONLY)
            self.open_term = self.group.term
            self.read_only = command.read_only
            return self._answer()
        if self.open_term is not None and not self.read_only:
            lost = not is_primary or self.open_term != self.group.term
            # After a change of primary, only the end of a transaction without effect succeeds.
            permitted = isinstance(command, requests.Rollback) or (
                isinstance(command, requests.Commit) and not self.writes
            )
            if lost and not permitted:
                return self._answer(requests.Refusal.READ_ONLY)
        return self._run(command, request, is_primary)

    def _completes(self) -> bool:
        return self.group.completes_running and self.began_in_term == self.group.term

    def _run(
        self, command: ports.Command, request: ids.RequestId | None, is_primary: bool
    ) -> requests.Answer:
        if isinstance(command, requests.Rollback | requests.Commit):
            writes, self.writes, self.open_term = self.writes, [], None
            if isinstance(command, requests.Commit):
                self.unconfirmed = writes
            return self._answer()
        access = _access(command)
        if access is None:
            return self._answer()
        if access is requests.Access.WRITE:
            if not is_primary:
                return self._answer(requests.Refusal.READ_ONLY)
            self._record_statement(request)
            if self.open_term is None:
                self.unconfirmed = [str(request)]
            else:
                self.writes.append(str(request))
            return self._answer()
        self._record_statement(request)
        return self._answer()

    def _record_statement(self, request: ids.RequestId | None) -> None:
        self.group.executed.append(str(request))
        self.group.statements.append(
            FakeStatement(
                request=str(request),
                server=self.server.name,
                position=self.server.position,
                link=self,
            )
        )

    async def _commit(self, timeout_s: float) -> requests.Answer:
        writes, self.unconfirmed = self.unconfirmed, []
        if not await self.group.confirm(self.server, writes, timeout_s):
            self.close()
            raise backend_errors.ConnectionBrokenError("no replica confirmed the commit")
        return self._answer()

    def _check(self) -> None:
        started_again = self.server.starts != self.starts
        if self.broken or not self.server.up or self.server.silent or started_again:
            self.close()
            raise backend_errors.ConnectionBrokenError("no answer")

    async def status(self, timeout_s: float) -> promotion.ServerStatus:
        """Query the server's role, term and position."""
        if self.server.silent:
            await asyncio.sleep(timeout_s)
        self._check()
        self.server.received_commands.append("status")
        return self.group.status(self.server)

    async def pause(self, term: ids.Term, timeout_s: float) -> promotion.ServerStatus:
        """Pause replication to this server under a term above the newest; return its status.

        Has no effect on a primary.
        """
        if self.server.silent:
            await asyncio.sleep(timeout_s)
        self._check()
        if self.server.role is promotion.Role.REPLICA and term > self.group.term:
            self.server.paused_term = max(term, self.server.paused_term)
        return self.group.status(self.server)

    async def step_down(self, term: ids.Term, timeout_s: float) -> promotion.ServerStatus:
        """Make the primary a replica if its term is lower; return its status."""
        if self.server.silent:
            await asyncio.sleep(timeout_s)
        self._check()
        self.server.received_commands.append("step_down")
        self.group.step_down(self.server, term)
        return self.group.status(self.server)

    async def resume(self, timeout_s: float) -> None:
        """Resume replication and let the replica catch up."""
        self._check()
        self.server.received_commands.append("resume")
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
