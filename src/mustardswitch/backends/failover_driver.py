"""Executes the commands of one group's failover state machine."""

import asyncio
import collections.abc
import functools
import time
import typing

from mustardswitch import events
from mustardswitch.backends import errors, slot_control
from mustardswitch.internal import confirmations, failover, groups, ids

ATTEMPT_TICK_S = 0.05
"""Seconds between ticks during a failover attempt."""
WATCHING_TICK_S = 0.1
"""Seconds between ticks while no failover attempt is under way."""


class FailoverEnvironment(typing.Protocol):
    """The operations outside of a group that its failover needs."""

    async def primary_reached_by_peers(self, database: ids.DatabaseName, term: ids.Term) -> bool:
        """Return whether another gateway of the group reaches the primary at ``term`` or later."""

    async def claim_lease(self, database: ids.DatabaseName) -> failover.LeaseAnswer:
        """Claim the group's failover lease in the store."""

    async def release_lease(self, database: ids.DatabaseName) -> None:
        """Release the group's failover lease."""

    def publish_view(self, view: groups.GroupView) -> None:
        """Send the primary and its term to the store and to the peers."""


class FailoverDriver:
    """Passes events to the failover state machine of one group and executes its commands."""

    def __init__(
        self,
        *,
        machine: failover.FailoverMachine,
        tracker: confirmations.GroupTracker,
        controls: collections.abc.Mapping[ids.SlotId, slot_control.SlotControl],
        environment: FailoverEnvironment,
        proposer: ids.InstanceId,
        allow_writes: collections.abc.Callable[[bool], None],
    ) -> None:
        self.machine = machine
        self.tracker = tracker
        self.controls = controls
        self.environment = environment
        self.proposer = proposer
        self.allow_writes = allow_writes
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send ticks to the state machine until cancelled."""
        try:
            while True:
                self.handle(failover.Tick())
                watching = self.machine.phase is failover.Phase.WATCHING
                await asyncio.sleep(WATCHING_TICK_S if watching else ATTEMPT_TICK_S)
        finally:
            for task in self.tasks:
                task.cancel()

    def handle(self, event: failover.Event) -> None:
        """Pass one event to the state machine and execute the commands that it returns."""
        for command in self.machine.handle(event, now_s=time.monotonic()):
            _execute(command, self)

    def start_task(self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Execute a command that waits for an answer, in a task of its own."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def query_peers(self) -> None:
        """Ask the other gateways whether they reach the primary."""
        reached = await self.environment.primary_reached_by_peers(
            self.tracker.database, self.tracker.view.term
        )
        self.handle(failover.PeersAnswered(primary_reached=reached))

    async def claim_lease(self) -> None:
        """Claim the failover lease."""
        answer = await self.environment.claim_lease(self.tracker.database)
        self.handle(failover.LeaseAnswered(answer=answer))

    async def fence(self, slot: ids.SlotId, term: ids.Term) -> None:
        """Request one slot to promise ``term``; without an answer, pass no event on."""
        try:
            answer = await self.controls[slot].command("fence", term, self.proposer)
        except errors.BackendError:
            return
        self.handle(
            failover.FenceAnswered(term=term, accepted=answer.accepted, status=answer.status)
        )

    async def promote(self, slot: ids.SlotId, term: ids.Term) -> None:
        """Request one slot to lead at ``term``; without an answer, pass no event on."""
        try:
            answer = await self.controls[slot].command("promote", term, self.proposer)
        except errors.BackendError:
            return
        self.handle(
            failover.PromoteAnswered(term=term, accepted=answer.accepted, status=answer.status)
        )

    async def follow(self, slot: ids.SlotId, primary: ids.SlotId, term: ids.Term) -> None:
        """Make one slot follow the primary; after a failure, a later tick repeats the command."""
        endpoint = self.controls[primary].endpoint
        try:
            await self.controls[slot].command("follow", primary, endpoint.host, endpoint.port, term)
        except errors.BackendError:
            return


@functools.singledispatch
def _execute(command: failover.Command, driver: FailoverDriver) -> None:
    raise TypeError(f"unknown failover command: {command!r}")


@_execute.register
def _(command: failover.QueryPeers, driver: FailoverDriver) -> None:
    driver.start_task(driver.query_peers())


@_execute.register
def _(command: failover.ClaimLease, driver: FailoverDriver) -> None:
    driver.start_task(driver.claim_lease())


@_execute.register
def _(command: failover.ReleaseLease, driver: FailoverDriver) -> None:
    driver.start_task(driver.environment.release_lease(driver.tracker.database))


@_execute.register
def _(command: failover.FenceSlots, driver: FailoverDriver) -> None:
    events.log(events.Event.FAILOVER_STARTED, database=driver.tracker.database, term=command.term)
    for slot in driver.controls:
        driver.start_task(driver.fence(slot, command.term))


@_execute.register
def _(command: failover.PromoteSlot, driver: FailoverDriver) -> None:
    driver.start_task(driver.promote(command.slot, command.term))


@_execute.register
def _(command: failover.FollowPrimary, driver: FailoverDriver) -> None:
    driver.start_task(driver.follow(command.slot, command.primary, command.term))


@_execute.register
def _(command: failover.PublishView, driver: FailoverDriver) -> None:
    events.log(
        events.Event.PRIMARY_PROMOTED,
        database=command.view.database,
        slot=command.view.primary,
        term=command.view.term,
    )
    driver.environment.publish_view(command.view)


@_execute.register
def _(command: failover.StopWrites, driver: FailoverDriver) -> None:
    driver.allow_writes(False)


@_execute.register
def _(command: failover.AllowWrites, driver: FailoverDriver) -> None:
    driver.allow_writes(True)
