"""``mustardswitch-backend``: serves one slot of an emulated database group."""

import asyncio
import pathlib
from typing import Annotated

import typer

from mustardswitch.internal import ids
from mustardswitch_standins import backend_server, processes

app = typer.Typer(add_completion=False)


@app.command()
def run(
    slot: Annotated[str, typer.Option(help="Name of the slot.")],
    port: Annotated[int, typer.Option(help="TCP port to listen on.")],
    directory: Annotated[pathlib.Path, typer.Option(help="Directory of the slot's log and state.")],
    host: Annotated[str, typer.Option(help="IP address to listen on.")] = "127.0.0.1",
    max_connections: Annotated[
        int, typer.Option(help="Connection limit, without replication.")
    ] = 25,
    connect_ms: Annotated[float, typer.Option(help="Delay of each new connection.")] = 0.0,
    receive_lag_ms: Annotated[
        float, typer.Option(help="Delay before received entries are appended.")
    ] = 0.0,
    apply_lag_ms: Annotated[float, typer.Option(help="Delay before entries are applied.")] = 0.0,
    translate: Annotated[
        list[str] | None, typer.Option(help="PORT=VIA, for links between slots.")
    ] = None,
) -> None:
    """Serve one slot until SIGTERM."""
    options = backend_server.SlotOptions(
        slot=ids.SlotId(slot),
        host=host,
        port=port,
        directory=directory,
        max_connections=max_connections,
        connect_ms=connect_ms,
        receive_lag_ms=receive_lag_ms,
        apply_lag_ms=apply_lag_ms,
        translations=tuple(_translation(text) for text in translate or ()),
    )
    asyncio.run(_serve(options))


def _translation(text: str) -> backend_server.Translation:
    port, _, via = text.partition("=")
    return backend_server.Translation(port=int(port), via=int(via))


async def _serve(options: backend_server.SlotOptions) -> None:
    await backend_server.serve(options)
    await processes.announce_and_wait("slot", options.slot)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
