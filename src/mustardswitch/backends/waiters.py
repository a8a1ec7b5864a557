"""Waits for positions: to be confirmed by a majority, or to be applied by a replica.

One query to a slot covers all statements that wait at that moment.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import time

from mustardswitch.backends import slot_control
from mustardswitch.internal import confirmations, ids, positions


class WaitOutcome(enum.Enum):
    """How a wait ended."""

    REACHED = "reached"
    """The position is confirmed, or applied."""
    SUPERSEDED = "superseded"
    """Another primary leads at a later term."""
    TIMED_OUT = "timed out"
    """The deadline passed."""


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class _Wait:
    """The wait of one statement."""

    check: collections.abc.Callable[[], WaitOutcome | None]
    future: asyncio.Future[WaitOutcome]
    held: positions.Position = positions.ORIGIN
    applied: positions.Position = positions.ORIGIN
    slot: ids.SlotId | None = None
    """The slot whose applied position is waited for."""


class PositionWaiters:
    """The statements that wait for positions of one group."""

    def __init__(
        self,
        *,
        tracker: confirmations.GroupTracker,
        query_slots: collections.abc.Callable[[], None],
    ) -> None:
        self.tracker = tracker
        self.query_slots = query_slots
        self.waits: set[_Wait] = set()

    def notify(self) -> None:
        """Check every wait again, after a new observation."""
        for wait in list(self.waits):
            outcome = wait.check()
            if outcome is not None and not wait.future.done():
                wait.future.set_result(outcome)

    def wanted_positions(self, slot: ids.SlotId) -> slot_control.WantedPositions:
        """Return the highest positions that statements wait for ``slot`` to hold and to apply."""
        held = positions.ORIGIN
        applied = positions.ORIGIN
        for wait in self.waits:
            if wait.future.done():
                continue
            if wait.slot is None and slot != self.tracker.leaders.get(wait.held.term):
                held = max(held, wait.held)
            elif wait.slot == slot:
                applied = max(applied, wait.applied)
        return slot_control.WantedPositions(held=held, applied=applied)

    async def confirmed(self, position: positions.Position, *, deadline_s: float) -> WaitOutcome:
        """Wait until a majority holds ``position`` or its term has ended.

        This and the other deadlines are in seconds of ``time.monotonic()``.
        """

        def check() -> WaitOutcome | None:
            if self.tracker.is_confirmed(position):
                return WaitOutcome.REACHED
            if self.tracker.view.term > position.term:
                return WaitOutcome.SUPERSEDED
            return None

        return await self._wait(check, deadline_s, held=position)

    async def term_held(self, term: ids.Term, *, since_s: float, deadline_s: float) -> WaitOutcome:
        """Wait until a majority, queried at or after ``since_s``, still promised ``term``."""

        def check() -> WaitOutcome | None:
            if self.tracker.promised_by_majority(term, since_s=since_s):
                return WaitOutcome.REACHED
            if self.tracker.view.term > term:
                return WaitOutcome.SUPERSEDED
            return None

        return await self._wait(check, deadline_s)

    async def applied(
        self, slot: ids.SlotId, position: positions.Position, *, deadline_s: float
    ) -> WaitOutcome:
        """Wait until ``slot`` has applied ``position``."""

        def check() -> WaitOutcome | None:
            observation = self.tracker.observations.get(slot)
            if observation is not None and observation.status.applied >= position:
                return WaitOutcome.REACHED
            return None

        return await self._wait(check, deadline_s, applied=position, slot=slot)

    async def initial_min_position(
        self, *, since_s: float, deadline_s: float
    ) -> positions.Position | None:
        """Wait until a majority, queried at or after ``since_s``, has reported its position.

        Returns the initial minimum position that follows, or None at the deadline.
        """

        def check() -> WaitOutcome | None:
            if self.tracker.initial_min_position(since_s=since_s) is not None:
                return WaitOutcome.REACHED
            return None

        await self._wait(check, deadline_s)
        return self.tracker.initial_min_position(since_s=since_s)

    async def term_confirmed(self, *, after: ids.Term, deadline_s: float) -> WaitOutcome:
        """Wait until a primary of a later term than ``after`` has a confirmed entry."""

        def check() -> WaitOutcome | None:
            term = self.tracker.view.term
            if term > after and self.tracker.confirmed_by_term.get(term):
                return WaitOutcome.REACHED
            return None

        return await self._wait(check, deadline_s)

    async def _wait(
        self,
        check: collections.abc.Callable[[], WaitOutcome | None],
        deadline_s: float,
        *,
        held: positions.Position = positions.ORIGIN,
        applied: positions.Position = positions.ORIGIN,
        slot: ids.SlotId | None = None,
    ) -> WaitOutcome:
        outcome = check()
        if outcome is not None:
            return outcome
        wait = _Wait(
            check=check,
            future=asyncio.get_running_loop().create_future(),
            held=held,
            applied=applied,
            slot=slot,
        )
        self.waits.add(wait)
        self.query_slots()
        try:
            async with asyncio.timeout(max(0.0, deadline_s - time.monotonic())):
                return await wait.future
        except TimeoutError:
            return check() or WaitOutcome.TIMED_OUT
        finally:
            self.waits.discard(wait)
