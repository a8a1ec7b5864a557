"""What serving one statement depends on."""

import asyncio
import dataclasses

from mustardswitch import connection_pool
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, ids, positions, session_sync
from mustardswitch.proxy import errors, ports, requests, routes, server, service

RETRY_DELAY_S = 0.02
"""Pause before a server that had no room is asked again; about one statement's work."""


@dataclasses.dataclass(kw_only=True, slots=True)
class SessionCommit:
    """The latest commit of a session."""

    position: positions.Position
    acknowledged_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class SessionState:
    """What a session has set, prepared and written."""

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[ids.StatementName, requests.Shape] = dataclasses.field(default_factory=dict)
    commits: dict[ids.ServiceName, SessionCommit] = dataclasses.field(default_factory=dict)

    def note_commit(
        self, committed_at: ids.ServiceName, position: positions.Position | None
    ) -> None:
        """Raise the floor of the session's reads."""
        if position is None:
            return
        known = self.commits.get(committed_at)
        if known is None or known.position < position:
            self.commits[committed_at] = SessionCommit(
                position=position, acknowledged_s=clock.now_s()
            )


@dataclasses.dataclass(kw_only=True, slots=True)
class StatementContext:
    """One statement of a session, on its way."""

    request: ids.RequestId
    session: SessionState
    route: routes.Route
    service: service.Service
    first_byte_s: float
    """When the statement's first byte was read, at the latest (``clock.now_s``)."""
    deadline_s: float
    """End of its time limit, on the event loop's clock."""

    @property
    def left_s(self) -> float:
        """Seconds left to the deadline."""
        return self.deadline_s - asyncio.get_running_loop().time()

    def use(
        self, used: server.Server, shape: requests.Shape | None, *, holds: bool
    ) -> connection_pool.ConnectionRequest:
        """Describe the statement to a server's pool.

        It has to get its connection while there is time for the answer: one that is given up costs
        the server the statement and a new connection, for nothing.
        """
        answer_s = min(
            used.current_latency_s(clock.now_s()),
            ANSWER_SHARE * self.route.statement_timeout_s,
        )

        def fitness(link: ports.Link) -> int:
            return -self.alignment(link, shape).cost

        return connection_pool.ConnectionRequest(
            caller="",
            priority=self.route.priority,
            deadline_s=self.deadline_s - answer_s,
            holds=holds,
            fitness=fitness,
        )

    def alignment(
        self, link: ports.Link, shape: requests.Shape | None
    ) -> session_sync.SyncPlan[requests.Shape]:
        """Return what a connection lacks for the session."""
        return session_sync.plan_sync(
            held_values=link.values,
            held_shapes=link.shapes,
            values=self.session.values,
            shape=shape,
        )

    async def acquire(
        self, used: server.Server, shape: requests.Shape | None, *, holds: bool = False
    ) -> ports.Link:
        """Return a connection of a server; raises NotSentError, as NoRoomError when it is full.

        A transaction ``holds`` it while its caller pauses.
        """
        try:
            return await used.pool.acquire(self.use(used, shape, holds=holds))
        except backend_errors.PoolFullError as error:
            raise errors.NoRoomError(f"server {used.server}: {error}") from error
        except backend_errors.BackendError as error:
            raise errors.NotSentError(f"server {used.server}: {error}") from error

    async def enter(
        self,
        used: server.Server,
        link: ports.Link,
        *,
        shape: requests.Shape | None,
        begin: ports.BeginAt | None = None,
    ) -> requests.Answer | None:
        """Bring a connection into the session's state, and begin a transaction on it if asked.

        Returns the answer to the beginning. The commands share one round trip. Raises NotSentError,
        after which the connection was given up, when one does not succeed for another reason than
        the beginning's.
        """
        lacking = self.alignment(link, shape)
        commands: list[ports.Command] = []
        if lacking.reset:
            commands.append(ports.ResetSession())
        commands += [
            requests.SetValue(name=name, value=value) for name, value in lacking.values.items()
        ]
        if lacking.shape is not None:
            commands.append(ports.PrepareShape(shape=lacking.shape))
        if begin is not None:
            commands.append(begin)
        answer = None
        try:
            for command in commands:
                link.send(command)
            for command in commands:
                answer = await link.receive(self.patience_s(used))
                if command is not begin and not answer.succeeded:
                    raise backend_errors.ConnectionBrokenError(
                        f"cannot set a connection up: {answer.detail}"
                    )
        except backend_errors.BackendError as error:
            used.note_failure()
            used.abandon(link)
            raise errors.NotSentError(f"server {used.server}: {error}") from error
        except BaseException:
            used.abandon(link)
            raise
        return answer if begin is not None else None

    def patience_s(self, used: server.Server) -> float:
        """Return how long an answer may take before another server is asked."""
        latency_s = used.current_latency_s(clock.now_s())
        patience_s = max(MIN_PATIENCE_S, LATENCY_MULTIPLE * latency_s)
        return max(0.001, min(self.left_s, patience_s))

    async def pause(self) -> bool:
        """Wait before another try; False when no time is left for one."""
        if self.left_s <= RETRY_DELAY_S:
            return False
        await asyncio.sleep(RETRY_DELAY_S)
        return True


ANSWER_SHARE = 0.5
"""Largest share of its time that a statement keeps for the answer; a latency may be off."""
MIN_PATIENCE_S = 0.35
"""Longest usual work of the users' reads, with the way between regions."""
LATENCY_MULTIPLE = 6.0
"""The longest work of a statement is about this multiple of the mean."""
