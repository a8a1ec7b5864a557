"""Runs days of a deployment as real processes, one seed after the other, and judges them."""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import random
import shutil
import sys
import tempfile

from mustardswitch_standins.full_run import day_steps, days, figures, processes, run, verdict

RUN_TIMEOUT_S = 120.0
"""Limit on one run, in addition to the length of its day."""


def run_seed(options: argparse.Namespace, seed: int) -> verdict.Verdict:
    """Run a day, print its promotions and a summary, and return the verdict."""
    size = figures.SIZES[options.size]
    size = dataclasses.replace(
        size,
        instances=options.instances or size.instances,
        rate=options.rate or size.rate,
        runs_closed=options.runs_closed,
    )
    day = day_steps.vary(
        days.DAYS[options.day](size, **options.fields), random.Random(f"{seed} {options.day}")
    )
    with tempfile.TemporaryDirectory() as directory:
        started = run.Run(
            directory=pathlib.Path(directory),
            size=size,
            seed=seed,
            day=day,
            source=options.source,
            busy=options.busy,
            processor_share=options.processor_share,
        )
        target = None
        if options.logs is not None:
            target = options.logs / f"{options.name or options.size}-{options.day}-{seed}"
        try:
            judged = asyncio.run(asyncio.wait_for(started.run(), RUN_TIMEOUT_S + day.length_s))
        except Exception:
            if target is not None:
                shutil.copytree(directory, target, dirs_exist_ok=True)
            raise
        lines = verdict.describe(judged, from_s=started.started_s)
        if target is not None and (options.keep_all or not judged.passes):
            (pathlib.Path(directory) / "verdict.log").write_text("\n".join(lines) + "\n")
            shutil.copytree(directory, target, dirs_exist_ok=True)
    day_name = " ".join([options.day, *([json.dumps(options.fields)] if options.fields else [])])
    prefix = f"{options.size} {day_name} seed {seed} busy {options.busy}:"
    for line in lines:
        print(f"{prefix} {line}")
    counts = ", ".join(f"{count} {name}" for name, count in sorted(started.counts.items()))
    print(f"{prefix} callers: {counts}", flush=True)
    return judged


def main() -> int:
    """Run the seeds; return 1 if one lost a commit or was without writes for too long."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--day", choices=days.DAYS, default="trouble-2")
    parser.add_argument(
        "--fields", type=json.loads, default={}, help="arguments of the day, as a JSON object"
    )
    parser.add_argument("--size", choices=figures.SIZES, default="small")
    parser.add_argument("--instances", type=int, help="number of instances at the start")
    parser.add_argument("--rate", type=float, help="operations per second")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--busy", type=int, default=0, help="processes that only use the processor")
    parser.add_argument(
        "--processor-share", type=float, help="share of a processor that each instance may use"
    )
    parser.add_argument(
        "--runs-closed",
        action=argparse.BooleanOptionalAction,
        default=True,
        help="let servers run statements whose connections were closed meanwhile",
    )
    parser.add_argument("--logs", type=pathlib.Path, help="directory for logs of failed runs")
    parser.add_argument("--name", help="name of the logs' directories; default: the size")
    parser.add_argument("--keep-all", action="store_true", help="keep the logs of all runs")
    parser.add_argument(
        "--source",
        type=pathlib.Path,
        default=processes.SOURCE,
        help="source directory of the instances' code",
    )
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    verdicts = [run_seed(options, seed) for seed in seeds]
    return 0 if all(each.passes for each in verdicts) else 1


if __name__ == "__main__":
    sys.exit(main())
