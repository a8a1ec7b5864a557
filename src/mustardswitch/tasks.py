"""Keeps tasks running, and ends them for certain."""

import asyncio
import collections.abc

from mustardswitch import events

CANCEL_AGAIN_S = 0.2
RESTART_DELAY_S = 0.5
"""Pause before a task that failed through a defect is started again."""


async def keep_running(
    name: str, work: collections.abc.Callable[[], collections.abc.Awaitable[None]]
) -> None:
    """Run a task again after a defect, so that one fault does not stop the instance."""
    while True:
        try:
            await work()
        except Exception as error:
            events.log(events.Event.TASK_FAILED, task=name, error=repr(error))
        await asyncio.sleep(RESTART_DELAY_S)


async def cancel_and_wait(tasks: collections.abc.Iterable[asyncio.Task]) -> None:
    """Cancel tasks until they have ended.

    One request to cancel is not enough: a task group whose child fails at the same moment, and
    client libraries that catch every exception while they connect, drop it (Python 3.11).
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_AGAIN_S)
