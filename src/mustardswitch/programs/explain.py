"""``mustardctl explain``: shows where a statement would go now, without sending it."""

import asyncio
import json
from typing import Annotated

import typer

from mustardswitch.operators import errors, explanations
from mustardswitch.programs import command_line
from mustardswitch.proxy import explanation


def explain(
    instance: Annotated[
        str,
        typer.Option(
            "--instance",
            envvar="MUSTARDCTL_METRICS",
            help="IP address and metrics port of the instance that is asked.",
        ),
    ],
    database: Annotated[str, typer.Option("--database", help="Name of the database.")],
    tenant: Annotated[
        str, typer.Option("--tenant", help="Name of the tenant, not its key; empty for none.")
    ] = "",
    kind: Annotated[
        explanation.Kind, typer.Option("--kind", help="Kind of the statement.")
    ] = explanation.Kind.READ,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")] = False,
) -> None:
    """Show where a statement would go now and why, without sending it."""
    host, port = command_line.parse_address(instance)
    try:
        found = asyncio.run(
            explanations.fetch(host, port, database=database, tenant=tenant, kind=kind.value)
        )
    except errors.RefusedError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(command_line.EXIT_REJECTED) from error
    except errors.OperatorError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(command_line.EXIT_UNAVAILABLE) from error
    typer.echo(json.dumps(found, indent=2) if as_json else explanations.render(found))
