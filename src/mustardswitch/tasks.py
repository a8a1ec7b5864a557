"""Ends tasks for certain."""

import asyncio
import collections.abc

CANCEL_AGAIN_S = 0.2


async def end_all(tasks: collections.abc.Iterable[asyncio.Task]) -> None:
    """Cancel tasks until they have ended.

    One request to cancel is not enough: a task group whose child fails at the same moment, and
    client libraries that catch every exception while they connect, drop it (Python 3.11).
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_AGAIN_S)
