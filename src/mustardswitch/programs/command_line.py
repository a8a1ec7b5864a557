"""What the commands of ``mustardctl`` have in common."""

import typer

EXIT_REJECTED = 2
EXIT_UNAVAILABLE = 4


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of an address; prints an error and exits if it has none."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit():
        typer.echo(f"address {text!r} is not HOST:PORT; write for example 10.0.0.5:2379", err=True)
        raise typer.Exit(EXIT_REJECTED)
    return host, int(port)
