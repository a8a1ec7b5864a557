"""Readiness announcement and signal handling shared by the emulator programs."""

import asyncio
import logging
import signal


async def announce_and_wait(kind: str, name: str) -> None:
    """Print ``ready KIND NAME``, then wait for SIGTERM or SIGINT."""
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    print(f"ready {kind} {name}", flush=True)
    await stopped.wait()
    # mysql_mimic reports each connection that is still open at shutdown as a failed callback.
    loop.set_exception_handler(lambda _loop, _context: None)
