"""The README's first ten minutes, word for word."""

import asyncio
import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]


async def test_first_ten_minutes_work_word_for_word(tmp_path):
    (script,) = re.findall(r"```sh\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    process = await asyncio.create_subprocess_exec(
        "bash",
        "-e",
        "-c",
        script.replace(" run/", f" {tmp_path}/"),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    text = output.decode()
    assert process.returncode == 0, text
    assert "in force on all" in text
    assert "rye\noat\n" in text
