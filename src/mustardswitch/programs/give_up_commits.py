"""``mustardctl give-up-commits``: lets a change of primary go on without commits out of reach."""

import asyncio
import getpass
from typing import Annotated

import typer

from mustardswitch.internal import ids
from mustardswitch.operators import commit_decisions, errors
from mustardswitch.platform import store
from mustardswitch.programs import command_line


def give_up_commits(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    address: command_line.StoreOption,
    missing: Annotated[
        list[str] | None,
        typer.Option("--missing", help="Server that need not be waited for; may be repeated."),
    ] = None,
    acknowledged: Annotated[
        bool,
        typer.Option(
            "--acknowledged", help="Give up acknowledged commits that no server in reach has."
        ),
    ] = False,
    yes: Annotated[bool, typer.Option("--yes", help="Do not ask for confirmation.")] = False,
    operator: Annotated[
        str, typer.Option("--as", envvar="MUSTARDCTL_EDITOR", help="Name shown in the log.")
    ] = "",
) -> None:
    """Let the change of primary that waits go on, and LOSE commits that it waits for.

    It holds for this change only. Event 541 names what is waited for, event 536 what was given up.
    """
    host, port = command_line.parse_address(address)
    loss = commit_decisions.Loss(
        service=ids.ServiceName(service),
        missing=frozenset(map(ids.ServerId, missing or ())),
        acknowledged=acknowledged,
    )
    try:
        asyncio.run(_give_up(host, port, loss, yes=yes, operator=operator or getpass.getuser()))
    except errors.RefusedError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(command_line.EXIT_REJECTED) from error
    except errors.OperatorError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(command_line.EXIT_UNAVAILABLE) from error


async def _give_up(
    host: str, port: int, loss: commit_decisions.Loss, *, yes: bool, operator: str
) -> None:
    client = store.Store(host=host, port=port)
    try:
        wait = await commit_decisions.read_wait(client, loss.service)
        commit_decisions.check(loss, wait)
        typer.echo(commit_decisions.describe(loss, wait))
        if not yes:
            typer.confirm("Lose these commits?", abort=True)
        await commit_decisions.record(client, loss, wait, operator=operator)
    finally:
        client.close()
    typer.echo("recorded; the change goes on within seconds, see event 536")
