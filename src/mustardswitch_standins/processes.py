"""What the stand-in programs share: saying they are ready, and stopping on SIGTERM."""

import asyncio
import logging
import signal


async def announce_and_wait(kind: str, name: str) -> None:
    """Print ``ready``, then wait for SIGTERM or SIGINT."""
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    print(f"ready {kind} {name}", flush=True)
    await stopped.wait()
    # The codec's server reports every connection that is open at the end as a failed callback.
    loop.set_exception_handler(lambda _loop, _context: None)
