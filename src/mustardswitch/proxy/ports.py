"""Interfaces that the proxy depends on: connections to servers, coordination, and promotions."""

import collections.abc
import dataclasses
import enum
import typing

from mustardswitch.internal import former_primary, ids, positions, promotion, revisions
from mustardswitch.proxy import requests, routes, wait_records


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BeginAt:
    """Opens a transaction; with a minimum position only if the server's log holds it."""

    read_only: bool
    min_position: positions.Position | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadAt:
    """Runs a read; with a minimum position only if the server's log holds it."""

    statement: "requests.Plain | RunPrepared"
    min_position: positions.Position | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunPrepared:
    """Runs the statement that was prepared for a shape on the connection."""

    shape: requests.Shape
    arguments: str

    @property
    def access(self) -> requests.Access:
        """What the statement does to the data."""
        return self.shape.access


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrepareShape:
    """Prepares a statement for a shape on a connection."""

    shape: requests.Shape


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResetSession:
    """Clears the session values and prepared statements of a connection."""


Command = (
    BeginAt
    | ReadAt
    | RunPrepared
    | PrepareShape
    | ResetSession
    | requests.Plain
    | requests.SetValue
    | requests.Commit
    | requests.Rollback
)


class Link(typing.Protocol):
    """A connection to a backend server; one task uses it at a time."""

    tenant: ids.TenantName
    """The tenant that the server was told when the connection was opened."""

    values: dict[str, str]
    """Session values that are set on the connection."""
    shapes: collections.abc.MutableMapping[requests.Shape, str]
    """Shapes prepared on the connection, and the names of their statements there."""
    unanswered_since_s: float | None
    """When the oldest unanswered command was sent (``clock.now_s``); None without one."""

    @property
    def broken(self) -> bool:
        """Whether the connection failed, or the server has closed it."""

    def close(self) -> None:
        """Close the connection; the server rolls back an open transaction."""

    def send(self, command: Command, request: ids.RequestId | None = None) -> None:
        """Send a command; raises ``NothingSentError`` when the connection is closed.

        ``request`` identifies the caller's statement; None for commands of the proxy itself.
        """

    async def receive(self, timeout_s: float) -> requests.Answer:
        """Return the answer to the oldest unanswered command.

        Raises ``ConnectionBrokenError`` when the connection failed or the timeout passed; the
        connection cannot be used after that.
        """

    def shed(self) -> None:
        """Drop large values and shapes of the last session; called when nobody uses it."""

    async def status(self, timeout_s: float) -> promotion.ServerStatus:
        """Query the server's role, term and log; raises ``BackendError``."""

    async def pause(self, term: ids.Term, timeout_s: float) -> promotion.ServerStatus:
        """Stop a replica from receiving commits, and return its status.

        Raises ``BackendError``.
        """

    async def step_down(self, term: ids.Term, timeout_s: float) -> promotion.ServerStatus:
        """Make a primary of a lower term a replica, and return its status.

        It takes no commits from then on. Raises ``BackendError``.
        """

    async def resume(self, timeout_s: float) -> None:
        """Let a paused replica receive commits again; raises ``BackendError``."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerEntry:
    """A backend server as the platform lists it."""

    server: ids.ServerId
    service: ids.ServiceName
    host: str
    port: int
    zone: ids.ZoneName
    slots: int
    """Statements that the server runs concurrently."""
    leaving: bool
    role: promotion.Role
    started_ms: int
    """Time of day at which the server started, in milliseconds; a server that started later under
    the same id has none of the former one's state."""
    revision: int = 0
    """The store's revision of the entry."""
    warmup_left_ms: float = 0.0
    """Milliseconds for which the server expected to be slow when it wrote the entry."""
    sequence: int | None = None
    """Number of the entry among those that the server wrote since its start; None if unknown."""

    def is_older_than(self, other: "ServerEntry", *, restored: bool) -> bool:
        """Return whether the server wrote this entry before the other one.

        Only in a ``restored`` store does an earlier start mean that; otherwise the server's time
        of day was set back.
        """
        if self.started_ms != other.started_ms:
            return restored and self.started_ms < other.started_ms
        numbered = self.sequence is not None and other.sequence is not None
        return numbered and self.sequence < other.sequence


class LinkOpener(typing.Protocol):
    """Opens connections to servers."""

    def __call__(
        self, entry: ServerEntry, tenant: ids.TenantName = routes.NO_TENANT
    ) -> collections.abc.Awaitable[Link]:
        """Open a connection that serves a tenant, or raise a ``BackendError``."""


class OrderOpener(typing.Protocol):
    """Opens connections for orders to servers that may be slow."""

    def __call__(
        self, entry: ServerEntry, on_connected: collections.abc.Callable[[], None]
    ) -> collections.abc.Awaitable[Link]:
        """Open a connection, or raise a ``BackendError``.

        ``on_connected`` is called once the server's machine has accepted the connection, before
        the server itself has answered.
        """


class PromotionOutcome(enum.Enum):
    """The platform's answer to a promotion request."""

    ACCEPTED = "accepted"
    """The server leads, or will shortly."""
    REJECTED = "rejected"
    """A higher fencing token was used, or the server is not running."""
    LIMITED = "limited"
    """The rate limit of calls was exceeded; nothing was done."""
    UNKNOWN = "unknown"
    """No answer; the request may be executed later."""


class Promoter(typing.Protocol):
    """Requests promotions from the platform."""

    async def promote(
        self, *, service: ids.ServiceName, server: ids.ServerId, fencing_token: int
    ) -> PromotionOutcome:
        """Request that a server become the primary of its service."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """One instance's exclusive right to change the primary of a service, until it expires."""

    service: ids.ServiceName
    fencing_token: int
    expires_at_s: float
    """Earliest time at which another instance may hold the claim (``clock.now_s``)."""
    lease: int = 0
    """The store's lease that the claim is bound to; 0 without one."""
    era_revision: int = 0
    """Revision of the record that allows claims in the store's era; 0 without one."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HoldReport:
    """What is known about the hold of commits for a recorded promotion."""

    complete: bool
    """Whether no instance sends commits to another server, and none it has sent is unanswered."""
    unconfirmed: frozenset[ids.InstanceId] = frozenset()
    """Instances that have not confirmed it."""
    above: positions.Position | None = None
    """A position below a commit that an instance has acknowledged; None without one."""
    acknowledged_end: positions.Position | None = None
    """A position that no acknowledged commit is above, apart from those that the recorded server
    has taken since the record; None if none is known."""
    instances: frozenset[ids.InstanceId] = frozenset()
    """The other instances that may have sent commits."""
    unregistered: frozenset[ids.InstanceId] = frozenset()
    """Those of them that are not registered any more."""
    primary_reports: collections.abc.Mapping[ids.InstanceId, former_primary.Report] = (
        dataclasses.field(default_factory=dict)
    )
    """What those that were asked to stop the primary have heard of it, as of now."""

    @property
    def all_report(self) -> bool:
        """Whether all instances have confirmed it and report what they have heard."""
        return self.instances <= self.primary_reports.keys() and not self.unconfirmed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedStatus:
    """The status of a server that another instance has read."""

    status: promotion.ServerStatus
    read_after_s: float
    """A time before it was read (``clock.now_s``)."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopRequest:
    """A primary that all instances are to order to stop, and the term of the order."""

    server: ids.ServerId
    term: ids.Term


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoppedPrimary:
    """A primary that was stopped in a change that may not be complete."""

    server: ids.ServerId
    end: positions.Position
    """End of its log, read after it had stopped."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FinalEnd:
    """The end of a paused server's log, read after commits had ended."""

    server: ids.ServerId
    started_ms: int
    """When the server started, in milliseconds; see ``ServerEntry``."""
    end: positions.Position


class UnfinishedChange(enum.Enum):
    """The state in which a change of primary that was not completed left its service."""

    PAUSED = "paused"
    """Replicas may still be paused."""
    PROMOTION_REQUESTED = "ordered"
    """In addition, a promotion may have been requested, and may be executed much later."""


class Coordination(typing.Protocol):
    """Claims and votes shared through the platform's store; calls raise ``StoreError``."""

    async def claim(self, service: ids.ServiceName) -> Claim | None:
        """Claim the change of a service's primary; None when another instance holds the claim."""

    async def renew(self, claim: Claim) -> Claim | None:
        """Return a claim with a later expiry; None when it is lost."""

    async def refresh_servers(self) -> None:
        """Bring the list of servers up to the store's present one; the watch may be behind."""

    async def refresh_members(self, service: ids.ServiceName) -> None:
        """Bring the record of a service's members up to the store's present one."""

    async def refresh_instances(self) -> None:
        """Bring the list of instances up to the store's present one."""

    async def record_promotion(
        self, claim: Claim, server: ids.ServerId
    ) -> revisions.Revision | None:
        """Record the server whose promotion will be requested under a claim.

        Returns the revision of the record. Returns None when the claim is lost; no promotion may
        be requested then. Final ends that are recorded are removed.
        """

    def hold_commits(
        self,
        claim: Claim,
        server: ids.ServerId,
        *,
        revision: revisions.Revision,
        recorded_at_s: float,
        stop: StopRequest | None = None,
    ) -> HoldReport:
        """Ask all instances to hold commits back, and return which of them have confirmed that.

        Must be called at short intervals. ``revision`` and ``recorded_at_s`` are those of the
        record of the server's promotion. With ``stop`` the instances also order a primary to stop.
        """

    def relay_pauses(
        self,
        claim: Claim,
        servers: collections.abc.Set[ids.ServerId],
        *,
        term: ids.Term,
    ) -> collections.abc.Mapping[ids.ServerId, RelayedStatus]:
        """Have other instances pause servers under a term, and return what they have read lately.

        Must be called at short intervals. Only paused servers are returned.
        """

    async def recorded_promotion(self, service: ids.ServiceName) -> ids.ServerId | None:
        """Return the server whose recorded promotion may still take effect; None without one."""

    async def record_end(self, claim: Claim, stopped: StoppedPrimary) -> None:
        """Record the end of a stopped primary."""

    async def recorded_end(self, service: ids.ServiceName) -> StoppedPrimary | None:
        """Return the primary that a holder has stopped in a change which is not complete."""

    async def record_final_ends(
        self,
        claim: Claim,
        ends: collections.abc.Set[FinalEnd],
        *,
        revision: revisions.Revision,
    ) -> None:
        """Record final ends, unless the promotion's record has another revision by now."""

    async def recorded_final_ends(self, service: ids.ServiceName) -> frozenset[FinalEnd]:
        """Return the final ends recorded since the promotion's record was written.

        No promotion was requested since then.
        """

    async def record_wait(self, claim: Claim, wait: wait_records.Wait) -> None:
        """Record what a change of primary waits for; it is to be repeated every few seconds."""

    async def recorded_wait(self, service: ids.ServiceName) -> wait_records.Wait | None:
        """Return what a change of primary waited for a moment ago; None without one."""

    async def given_up(self, service: ids.ServiceName) -> wait_records.Decision | None:
        """Return what an operator gives up for a change of primary; None without a decision."""

    async def release(
        self,
        claim: Claim,
        *,
        unfinished: UnfinishedChange | None = None,
        promoted: ids.ServerId | None = None,
        stopped: StoppedPrimary | None = None,
        complete: bool = False,
    ) -> None:
        """Release a claim; an unfinished change stays recorded for the other instances.

        Once it is ``complete``, the records of a wait and of an operator's decision are removed.

        ``promoted`` is the server whose promotion may still take effect, and ``stopped`` a primary
        that was stopped and not replaced; their records stay. The final ends stay with the former.
        """

    async def vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Announce to the other instances that this one cannot reach a primary."""

    async def withdraw_vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Withdraw a vote."""
