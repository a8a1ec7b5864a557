"""Runs the shell commands of the README's first ten minutes exactly as they are written."""

import asyncio
import contextlib
import os
import pathlib
import re
import signal

from mustardswitch_standins import fleet

TIMEOUT_S = 120.0
ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = "docs/examples/local"
PORT = re.compile(r"\b98\d\d\b")


def _with_free_ports(texts):
    """Replace the ports of the 98xx range by free ones, so that two runs do not collide."""
    used = sorted({port for text in texts for port in PORT.findall(text)})
    free = dict(zip(used, map(str, fleet.free_ports(len(used))), strict=True))
    return [PORT.sub(lambda match: free[match[0]], text) for text in texts]


async def test_first_ten_minutes_work_word_for_word(tmp_path):
    (script,) = re.findall(r"```sh\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    names = [example.name for example in (ROOT / EXAMPLES).iterdir()]
    script = script.replace(" run/", f" {tmp_path}/").replace(f" {EXAMPLES}/", f" {tmp_path}/")
    texts = [script, *((ROOT / EXAMPLES / name).read_text() for name in names)]
    path = tmp_path / "first-ten-minutes.sh"
    for name, text in zip([path.name, *names], _with_free_ports(texts), strict=True):
        (tmp_path / name).write_text(text)
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
