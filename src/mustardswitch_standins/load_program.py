"""``mustardswitch-load``: load, benchmarks and experiments against the emulators."""

import asyncio
from typing import Annotated

import typer

from mustardswitch_standins import bench as bench_module
from mustardswitch_standins import control_cost, experiments, load

app = typer.Typer(add_completion=False, no_args_is_help=True)


@app.callback()
def _options() -> None:
    """Measure mustardswitch on this machine, against emulated external systems."""


@app.command()
def bench() -> None:
    """Added latency, statements per core and memory per idle caller, against direct connections."""
    asyncio.run(bench_module.run())


@app.command()
def gaps(
    kills: Annotated[int, typer.Option(help="How often the primary is killed.")] = 30,
    store_out: Annotated[
        bool, typer.Option(help="Freeze the store before the first kill.")
    ] = False,
    delays: Annotated[bool, typer.Option(help="Add Cascade's delays between zones.")] = False,
    confirmation: Annotated[str, typer.Option(help="majority or term.")] = "majority",
) -> None:
    """Time without an acknowledged write, over many kills of the primary."""
    options = experiments.GapOptions(
        kills=kills,
        store_out=store_out,
        delays=delays,
        policy={"confirmation": confirmation},
    )
    print(asyncio.run(experiments.measure_gaps(options)))


@app.command()
def share(
    seconds: Annotated[float, typer.Option(help="How long the mix runs.")] = 10.0,
    lag_ms: Annotated[float, typer.Option(help="Apply lag of the replicas.")] = 0.0,
    preference: Annotated[str, typer.Option(help="Read preference.")] = "replicas-in-region",
    linked: Annotated[bool, typer.Option(help="Count the bytes between regions.")] = False,
) -> None:
    """Share of the reads that replicas answer, under the Cascade mix of operations."""
    policy = {"read_preference": preference}
    print(
        asyncio.run(
            experiments.measure_replica_share(
                seconds=seconds, lag_ms=lag_ms, policy=policy, linked=linked
            )
        )
    )


@app.command()
def control(
    instances: Annotated[int, typer.Option(help="Entry instances to start.")] = 9,
    databases: Annotated[int, typer.Option(help="Databases in the document.")] = 9,
    seconds: Annotated[float, typer.Option(help="How long to watch them idle.")] = 10.0,
) -> None:
    """Processor time, memory and bytes of idle instances, by fleet size."""
    print(
        asyncio.run(control_cost.measure(instances=instances, databases=databases, seconds=seconds))
    )


@app.command()
def slots(
    databases: Annotated[int, typer.Option(help="Databases, each with three slots.")] = 3,
    seconds: Annotated[float, typer.Option(help="How long to watch them idle.")] = 10.0,
) -> None:
    """Processor time and memory of idle instances, by the number of groups that they control."""
    print(asyncio.run(control_cost.measure_slots(databases=databases, seconds=seconds)))


@app.command()
def sql(
    statement: Annotated[str, typer.Argument(help="The statement.")],
    port: Annotated[int, typer.Option(help="Callers' port of an instance.")],
    database: Annotated[str, typer.Option(help="Database to use.")],
) -> None:
    """Run one statement and print its rows."""
    asyncio.run(_run_sql(statement, port, database))


async def _run_sql(statement: str, port: int, database: str) -> None:
    caller = load.Caller(port=port, database=database)
    try:
        for row in await caller.run(statement):
            print("\t".join(map(str, row)))
    except load.CALL_ERRORS as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
    finally:
        caller.drop()


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
