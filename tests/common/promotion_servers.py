"""Servers, commits, orders and requests of ``promotion_world``."""

import dataclasses
import enum

from mustardswitch.internal import ids, positions, promotion


class State(enum.Enum):
    """State of a server's process."""

    RUNNING = "running"
    DOWN = "down"
    """It returns with its log, as primary if no other server was promoted."""
    GONE = "gone"
    """It has ended, and its log with it; another may start under its id."""


class LeadsFrom(enum.Enum):
    """Moment up to which a server that is promoted receives commits."""

    ACCEPTANCE = "acceptance"
    EFFECT = "effect"


class OrderKind(enum.Enum):
    """Orders to a server."""

    PAUSE = "pause"
    RESUME = "resume"
    STEP_DOWN = "step_down"


class PauseEnd(enum.Enum):
    """What ended a pause of a server."""

    RESUME = "resume"
    RESTART = "restart"


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class Commit:
    """A commit in the log of one or more servers."""

    number: int
    term: int
    store_lost: bool
    """Whether the instance that made it had lost the store."""
    server: ids.ServerId
    """The server that it was sent to."""
    waiting: bool = True
    """Whether the primary still waits for a confirmation."""
    confirmed: bool = False
    """Whether the primary has answered it with success."""
    acknowledged: bool = False
    """Whether an instance has passed that answer on to its caller."""
    confirmed_by: ids.ServerId | None = None
    """The first replica that has received it."""
    confirmed_covered: bool = False
    """Whether that replica was covered before by the records of any instance."""
    acknowledged_as: int | None = None
    """Number of commits that a replica had confirmed before it; None until one has."""


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class Server:
    """A database server."""

    name: ids.ServerId
    role: promotion.Role = promotion.Role.REPLICA
    state: State = State.RUNNING
    log: list[Commit] = dataclasses.field(default_factory=list)
    paused_term: int = 0
    receiving: bool = True
    leaving: bool = False
    was_listed: bool = False
    starts: int = 1
    """Number of starts without a log."""

    @property
    def runs(self) -> bool:
        """Whether the process runs."""
        return self.state is State.RUNNING

    @property
    def leads(self) -> bool:
        """Whether it accepts commits."""
        return self.runs and self.role is promotion.Role.PRIMARY

    @property
    def position(self) -> positions.Position:
        """The end of the log."""
        term = self.log[-1].term if self.log else 0
        return positions.Position(term=ids.Term(term), offset=ids.Offset(len(self.log)))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """An order to a server."""

    kind: OrderKind
    server: ids.ServerId
    term: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request to promote a server, with what its sender knew."""

    server: ids.ServerId
    token: int
    starts: int = 0
    """``Server.starts`` when the choice was made."""
    proof: promotion.Proof | None = None
    expected: frozenset[ids.ServerId] = frozenset()
    """Servers that counted when the choice was made."""
    known: frozenset[ids.ServerId] = frozenset()
    """Those, and a server that was taken for a primary without an answer."""
    listed: frozenset[ids.ServerId] = frozenset()
    """Servers that were in the store's list when the sender read it."""
    term: int = 0
    """The newest term then."""
    pause_ends: int = 0
    """Number of pauses that had ended when the servers were queried."""
    unanswered: bool = False
    """Whether the choice was made without an answer of the primary."""
    primary: ids.ServerId | None = None
    """The server that led last when the choice was made."""
    acknowledged: int = 0
    """Number of commits that were acknowledged when the choice was made."""
    replaced_before: bool = False
    """Whether the end that proved the choice is of a server that was replaced before."""
    left: frozenset[ids.ServerId] = frozenset()
    """Servers that had left as they had announced."""
    ever_listed: frozenset[ids.ServerId] = frozenset()
    """Servers that have had an entry at any time before the choice."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """An acknowledged commit that a promotion discarded."""

    commit: Commit
    request: Request
    holders: frozenset[ids.ServerId]
    pause_ends: frozenset[PauseEnd]
    """What ended pauses of those holders that the sender of the request knew."""
    started_anew: bool
    """Whether the promoted server had started again, with an empty log, since it was chosen."""
