"""``mustardswitch-platform``: serves the emulated key-value store of the platform."""

import asyncio
from typing import Annotated

import typer

from mustardswitch_standins import platform_store, processes

app = typer.Typer(add_completion=False)


@app.command()
def run(
    port: Annotated[int, typer.Option(help="TCP port to listen on.")],
    host: Annotated[str, typer.Option(help="IP address to listen on.")] = "127.0.0.1",
) -> None:
    """Serve the store until SIGTERM."""
    asyncio.run(_serve(host, port))


async def _serve(host: str, port: int) -> None:
    async with platform_store.serving(host=host, port=port):
        await processes.announce_and_wait("platform", f"{host}:{port}")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
