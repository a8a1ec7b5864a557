"""What the proxy needs of the outside: connections to servers, the store, and promotions."""

import collections.abc
import dataclasses
import enum
import typing

from mustardswitch.internal import ids, positions, promotion
from mustardswitch.proxy import requests


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BeginAt:
    """Opens a transaction on a connection, on a log that holds a position if one is given."""

    read_only: bool
    min_position: positions.Position | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadAt:
    """Runs a read on a log that holds a position."""

    statement: "requests.Plain | RunPrepared"
    min_position: positions.Position | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunPrepared:
    """Runs the statement that a connection holds for a shape."""

    shape: requests.Shape
    arguments: str

    @property
    def access(self) -> requests.Access:
        """What it does to the data."""
        return self.shape.access


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PrepareShape:
    """Prepares a shape on a connection."""

    shape: requests.Shape


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResetSession:
    """Clears the values and prepared statements of a connection."""


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

    values: dict[str, str]
    """Session values in force on it."""
    shapes: collections.abc.MutableMapping[requests.Shape, str]
    """Shapes prepared on it, and their names there."""
    unanswered_since_s: float | None
    """When the oldest command without an answer was sent (``clock.now_s``)."""

    @property
    def broken(self) -> bool:
        """Whether it failed, or the server has closed it."""

    def close(self) -> None:
        """Close it; the server rolls back what is open on it."""

    def send(self, command: Command, request: ids.RequestId | None = None) -> None:
        """Send a command; ``request`` names the caller's statement, None one of our own."""

    async def receive(self, timeout_s: float) -> requests.Answer:
        """Return the answer to the oldest unanswered command.

        Raises ``ConnectionBrokenError`` when the connection broke or the time passed; it is broken
        then.
        """

    async def status(self, timeout_s: float) -> promotion.ServerStatus:
        """Ask the server about itself; raises ``BackendError``."""

    async def pause(self, term: ids.Term, timeout_s: float) -> promotion.ServerStatus:
        """Stop a replica from receiving; raises ``BackendError``."""

    async def resume(self, timeout_s: float) -> None:
        """Let a replica receive again; raises ``BackendError``."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerEntry:
    """A backend server as the platform lists it."""

    server: ids.ServerId
    service: ids.ServiceName
    host: str
    port: int
    zone: ids.ZoneName
    slots: int
    """Statements that it runs at once."""
    leaving: bool
    role: promotion.Role
    started_ms: int
    """Time of day of its start; a later one under the same id knows nothing of before."""
    revision: int = 0
    """The store's revision of the entry."""


LinkOpener = collections.abc.Callable[[ServerEntry], collections.abc.Awaitable[Link]]
"""Opens a connection, or raises a ``BackendError``."""


class PromotionOutcome(enum.Enum):
    """How the platform answered a request to promote."""

    ACCEPTED = "accepted"
    """The server leads, or will in a moment."""
    REJECTED = "rejected"
    """A higher fencing token was used, or the server does not run."""
    LIMITED = "limited"
    """Too many calls; nothing was done."""
    UNKNOWN = "unknown"
    """No answer; the call may be carried out later."""


class Promoter(typing.Protocol):
    """Orders promotions at the platform."""

    async def promote(
        self, *, service: ids.ServiceName, server: ids.ServerId, fencing_token: int
    ) -> PromotionOutcome:
        """Order that a server leads its service."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """The right of one instance to change the primary of a service."""

    service: ids.ServiceName
    fencing_token: int
    expires_at_s: float
    """When another instance may hold it at the earliest (``clock.now_s``)."""
    lease: int = 0


class UnfinishedChange(enum.Enum):
    """What a change of primary that was begun and not ended may leave behind."""

    PAUSED = "paused"
    """Replicas that were paused."""
    PROMOTION_REQUESTED = "ordered"
    """An order without an answer besides, which may be carried out much later."""


class Coordination(typing.Protocol):
    """What instances agree on through the platform's store; calls raise ``StoreError``."""

    async def claim(self, service: ids.ServiceName) -> Claim | None:
        """Claim a service's failover; None when another instance holds it."""

    async def note_promotion_requested(self, claim: Claim) -> None:
        """Let the others know that an order under a claim has no answer."""

    async def release(self, claim: Claim, *, unfinished: UnfinishedChange | None = None) -> None:
        """Give a claim back; what it leaves behind stays known to the others."""

    async def vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Tell the other instances that this one lacks a primary."""

    async def withdraw_vote(self, service: ids.ServiceName, server: ids.ServerId) -> None:
        """Take a vote back."""
