"""What the commands of ``mustardctl`` have in common."""

import asyncio
import collections.abc
import enum
import pathlib
import ssl
import typing
from typing import Annotated

import typer

from mustardswitch import settings, tls
from mustardswitch.document import errors as document_errors
from mustardswitch.etcd import errors as store_errors
from mustardswitch.operators import errors as operator_errors

EXIT_REJECTED = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4


class Output(enum.Enum):
    """How results are printed."""

    TEXT = "text"
    """For people."""
    JSON = "json"
    """For scripts."""


StoreOption = Annotated[
    str,
    typer.Option(
        "--store", envvar="MUSTARDCTL_STORE", help="IP address and port of the platform's store."
    ),
]
OutputOption = Annotated[Output, typer.Option("--output", help="Form of the result.")]
TlsOption = Annotated[
    list[pathlib.Path] | None,
    typer.Option(
        "--tls",
        envvar="MUSTARDCTL_TLS",
        help="Given three times: certificate, key and authority for connections to instances.",
    ),
]


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of an address; prints an error and exits if it has none."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit():
        typer.echo(f"address {text!r} is not HOST:PORT; write for example 10.0.0.5:2379", err=True)
        raise typer.Exit(EXIT_REJECTED)
    return host, int(port)


def tls_context(files: list[pathlib.Path] | None) -> ssl.SSLContext | None:
    """Return the context of ``--tls``; prints an error and exits if the files are unusable."""
    if not files:
        return None
    if len(files) != 3:
        typer.echo("--tls is given three times: certificate, key and authority", err=True)
        raise typer.Exit(EXIT_REJECTED)
    certificate, key, authority = files
    try:
        return tls.operator_context(
            settings.TlsFiles(certificate=certificate, key=key, authority=authority)
        )
    except tls.TlsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_REJECTED) from error


def run(work: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any]) -> typing.Any:
    """Run a command; print its errors and exit with the code of their kind."""
    try:
        return asyncio.run(work)
    except document_errors.InvalidDocumentError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_REJECTED) from error
    except document_errors.EditConflictError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_CONFLICT) from error
    except (
        document_errors.EditUnresolvedError,
        store_errors.PlatformError,
        operator_errors.OperatorError,
    ) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_UNAVAILABLE) from error
