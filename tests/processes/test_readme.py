"""Runs the shell commands of the README's first ten minutes exactly as they are written."""

import asyncio
import contextlib
import os
import pathlib
import re
import signal

TIMEOUT_S = 120.0
ROOT = pathlib.Path(__file__).parents[2]


async def test_first_ten_minutes_work_word_for_word(tmp_path):
    (script,) = re.findall(r"```sh\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    path = tmp_path / "first-ten-minutes.sh"
    path.write_text(script.replace(" run/", f" {tmp_path}/"))
    process = await asyncio.create_subprocess_exec(
        "bash",
        "-e",
        str(path),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        start_new_session=True,
    )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            output, _ = await process.communicate()
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
    text = output.decode()
    assert process.returncode == 0, text
    assert "in force on all" in text
    assert "rye\noat\n" in text
