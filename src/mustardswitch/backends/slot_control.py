"""Monitors one slot over a control connection: heartbeats, confirmations and group commands."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import time
import typing

from mustardswitch import events
from mustardswitch.backends import connection, errors
from mustardswitch.internal import confirmations, groups, ids, positions

ANSWER_TIMEOUT_S = 0.4
"""Seconds within which a group command, one step of a failover, must be answered."""
MAX_SILENCE_S = 1.0
"""Seconds without an answer after which a control connection is replaced: a suspicion of 0.6 s and
a slow round trip of 0.4 s. If it were replaced earlier, one late answer would cost the silence of
a whole handshake."""
SLOT_WAIT_MS = 40
"""Milliseconds for which a slot may delay its status until it has the wanted positions."""
CONNECT_TIMEOUT_S = MAX_SILENCE_S
RECONNECT_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WantedPositions:
    """Positions that statements wait for: ``held`` in the slot's log, ``applied`` to its data."""

    held: positions.Position = positions.ORIGIN
    applied: positions.Position = positions.ORIGIN

    @property
    def is_empty(self) -> bool:
        """Whether no statement waits."""
        return self.held == positions.ORIGIN and self.applied == positions.ORIGIN


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GroupAnswer:
    """A slot's answer to a fence, promote or follow command."""

    accepted: bool
    status: groups.SlotStatus


@dataclasses.dataclass(kw_only=True, slots=True)
class _Command:
    """A group command that waits to be sent, or for its answer."""

    procedure: str
    arguments: tuple[object, ...]
    answer: asyncio.Future[typing.Any]


class SlotControl:
    """Owns the control connection to one slot; queries and commands go over it one at a time."""

    def __init__(
        self,
        *,
        slot: ids.SlotId,
        endpoint: connection.Endpoint,
        on_status: collections.abc.Callable[[confirmations.Observation], None],
        on_refused: collections.abc.Callable[[], None],
        wanted: collections.abc.Callable[[], WantedPositions],
        heartbeat_s: collections.abc.Callable[[], float],
    ) -> None:
        self.slot = slot
        self.endpoint = endpoint
        self.on_status = on_status
        self.on_refused = on_refused
        self.wanted = wanted
        self.heartbeat_s = heartbeat_s
        self.commands: list[_Command] = []
        self.wake = asyncio.Event()
        self.query_requested = False
        self.reachable = False

    def query_now(self) -> None:
        """Query the status at once instead of at the next heartbeat."""
        self.query_requested = True
        self.wake.set()

    async def command(self, procedure: str, *arguments: object) -> GroupAnswer:
        """Send a group command and return its decoded answer; raises the errors of ``query``."""
        answer = await self.query(procedure, *arguments)
        return GroupAnswer(
            accepted=bool(answer["accepted"]), status=connection.decode_status(answer)
        )

    async def query(self, procedure: str, *arguments: object) -> typing.Any:
        """Send a group command and return its answer as decoded from JSON.

        Raises ``BackendUnreachableError`` when the slot is unreachable or does not answer within
        ``ANSWER_TIMEOUT_S``, and another ``BackendError`` when the slot rejects the command or the
        connection breaks.
        """
        if not self.reachable:
            raise errors.BackendUnreachableError(f"slot {self.slot} is not reachable")
        future = asyncio.get_running_loop().create_future()
        self.commands.append(_Command(procedure=procedure, arguments=arguments, answer=future))
        self.wake.set()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await future
        except TimeoutError as error:
            raise errors.BackendUnreachableError(f"slot {self.slot} did not answer") from error

    async def run(self) -> None:
        """Keep the connection open, opening it again after a failure, until cancelled."""
        while True:
            try:
                opened = await connection.connect(
                    self.endpoint, timeout_s=CONNECT_TIMEOUT_S, show_positions=False
                )
            except errors.BackendError as error:
                if isinstance(error, errors.ServerRefusedError):
                    self.on_refused()
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            events.log(events.Event.SLOT_REACHABLE, slot=self.slot)
            self.reachable = True
            try:
                await self._serve_connection(opened)
            except errors.BackendError as error:
                events.log(events.Event.SLOT_UNREACHABLE, slot=self.slot, error=error)
            finally:
                self.reachable = False
                opened.close()
                self._fail_commands()

    def _fail_commands(self) -> None:
        for command in self.commands:
            if not command.answer.done():
                command.answer.set_exception(
                    errors.BackendUnreachableError(f"slot {self.slot} became unreachable")
                )
        self.commands.clear()

    async def _serve_connection(self, opened: connection.BackendConnection) -> None:
        while True:
            self.wake.clear()
            if self.commands:
                await self._send_command(opened, self.commands.pop(0))
                continue
            wanted = self.wanted()
            self.query_requested = False
            if wanted.is_empty or self.commands:
                await self._observe(opened, "status", ())
            else:
                await self._observe(opened, "wait", _wait_arguments(wanted))
            if not self.wanted().is_empty or self.query_requested:
                continue
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), self.heartbeat_s())

    async def _observe(
        self, opened: connection.BackendConnection, procedure: str, arguments: tuple
    ) -> None:
        query_sent_at_s = time.monotonic()
        answer = await opened.call(procedure, *arguments, timeout_s=MAX_SILENCE_S)
        self._report_status(connection.decode_status(answer), query_sent_at_s)

    def _report_status(self, status: groups.SlotStatus, query_sent_at_s: float) -> None:
        self.on_status(
            confirmations.Observation(
                status=status, query_sent_at_s=query_sent_at_s, answered_at_s=time.monotonic()
            )
        )

    async def _send_command(self, opened: connection.BackendConnection, command: _Command) -> None:
        if command.answer.done():
            return
        query_sent_at_s = time.monotonic()
        try:
            answer = await opened.call(
                command.procedure, *command.arguments, timeout_s=MAX_SILENCE_S
            )
        except errors.DatabaseRejectedError as error:
            self._complete_command(command, error=error)
            return
        except errors.BackendError as error:
            self._complete_command(command, error=error)
            raise
        if "role" in answer:
            self._report_status(connection.decode_status(answer), query_sent_at_s)
        self._complete_command(command, answer=answer)

    def _complete_command(
        self,
        command: _Command,
        *,
        answer: typing.Any = None,
        error: errors.BackendError | None = None,
    ) -> None:
        if command.answer.done():
            return
        if error is not None:
            command.answer.set_exception(error)
        else:
            command.answer.set_result(answer)


def _wait_arguments(wanted: WantedPositions) -> tuple[int, ...]:
    return (
        wanted.held.term,
        wanted.held.offset,
        wanted.applied.term,
        wanted.applied.offset,
        SLOT_WAIT_MS,
    )
