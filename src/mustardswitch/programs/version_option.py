"""The ``--version`` option of the command-line programs."""

from typing import Annotated

import typer

import mustardswitch


def _show_version(context: typer.Context, wanted: bool) -> None:
    if wanted:
        typer.echo(f"{context.find_root().info_name} {mustardswitch.__version__}")
        raise typer.Exit


VersionOption = Annotated[
    bool,
    typer.Option("--version", callback=_show_version, is_eager=True, help="Show the version."),
]
