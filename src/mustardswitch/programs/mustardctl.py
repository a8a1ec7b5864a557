"""``mustardctl``: the command line of operators."""

import dataclasses
import difflib
import getpass
import json
import os
import pathlib
import ssl
import sys
import time
import typing
import uuid
from typing import Annotated

import rich.console
import rich.table
import typer

from mustardswitch.document import errors as document_errors
from mustardswitch.document import sections
from mustardswitch.etcd import store
from mustardswitch.internal import ids
from mustardswitch.operators import edits, instances
from mustardswitch.programs import command_line, explain, give_up_commits, status, version_option

EXIT_NOT_EVERYWHERE = 5
DEFAULT_WAIT_S = 10.0

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    help="Edits the document of mustardswitch and shows its state.\n\n"
    "Exit codes: 0 done, 2 rejected with the reason shown, 3 conflict with another edit, "
    "4 the store or the instance gave no answer, 5 applied but not yet in force everywhere.",
)
document_app = typer.Typer(no_args_is_help=True, help="Show, check and change the document.")
app.add_typer(document_app, name="document")
app.command()(explain.explain)
app.command()(give_up_commits.give_up_commits)
app.command()(status.status)


SectionArgument = Annotated[str, typer.Argument(help="Name of the section.")]
FileArgument = Annotated[
    pathlib.Path, typer.Argument(exists=True, dir_okay=False, help="YAML file with the text.")
]
WaitOption = Annotated[
    float, typer.Option("--wait", help="Seconds to wait until the change is in force everywhere.")
]
EditorOption = Annotated[
    str, typer.Option("--as", envvar="MUSTARDCTL_EDITOR", help="Name shown in the history.")
]


@app.callback()
def _options(version: version_option.VersionOption = False) -> None:
    """Declare the options that precede a command."""


def _open_store(address: str) -> store.Store:
    host, port = command_line.parse_address(address)
    return store.Store(host=host, port=port)


async def _read_sections(address: str) -> edits.Sections:
    client = _open_store(address)
    try:
        return await edits.DocumentStore(client=client).read_all()
    finally:
        client.close()


def _require_section(found: edits.Sections, name: str) -> sections.StoredSection:
    stored = found.get(ids.SectionName(name))
    if stored is None:
        known = ", ".join(sorted(found)) or "none"
        typer.echo(f"section {name!r} does not exist; sections: {known}", err=True)
        raise typer.Exit(command_line.EXIT_REJECTED)
    return stored


@document_app.command()
def show(
    address: command_line.StoreOption,
    section: Annotated[
        str | None, typer.Argument(help="Section; all sections when omitted.")
    ] = None,
    output: command_line.OutputOption = command_line.Output.TEXT,
) -> None:
    """Show the document or one section."""
    found = command_line.run(_read_sections(address))
    chosen = (
        [_require_section(found, section)] if section else [found[name] for name in sorted(found)]
    )
    if output is command_line.Output.JSON:
        typer.echo(json.dumps([_as_json(stored) for stored in chosen], indent=2))
        return
    for stored in chosen:
        typer.echo(f"# section {stored.name}, revision {stored.revision}, by {stored.editor}")
        typer.echo(stored.text.rstrip("\n"))


def _as_json(stored: sections.StoredSection) -> dict[str, typing.Any]:
    return {
        "section": stored.name,
        "revision": stored.revision,
        "editor": stored.editor,
        "change_id": stored.change_id,
        "text": stored.text,
    }


@document_app.command()
def check(address: command_line.StoreOption, section: SectionArgument, path: FileArgument) -> None:
    """Check a file as the new text of a section, together with all other sections."""
    found = command_line.run(_read_sections(address))
    name = ids.SectionName(section)
    try:
        edits.check_section(found, name, path.read_text(encoding="utf-8"))
    except document_errors.InvalidDocumentError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(command_line.EXIT_REJECTED) from error
    typer.echo(f"section {section} is valid")


@document_app.command()
def diff(address: command_line.StoreOption, section: SectionArgument, path: FileArgument) -> None:
    """Show what a file would change in a section."""
    found = command_line.run(_read_sections(address))
    stored = found.get(ids.SectionName(section))
    before = stored.text.splitlines(keepends=True) if stored else []
    after = path.read_text(encoding="utf-8").splitlines(keepends=True)
    console = rich.console.Console()
    for line in difflib.unified_diff(before, after, f"{section} (in force)", str(path)):
        style = {"+": "green", "-": "red", "@": "cyan"}.get(line[0])
        console.print(line.rstrip("\n"), style=style, markup=False, highlight=False)


@document_app.command()
def history(
    address: command_line.StoreOption,
    section: SectionArgument,
    output: command_line.OutputOption = command_line.Output.TEXT,
) -> None:
    """Show the latest changes of a section."""
    stored = _require_section(command_line.run(_read_sections(address)), section)
    if output is command_line.Output.JSON:
        typer.echo(json.dumps([change.model_dump() for change in stored.recent], indent=2))
        return
    for change in stored.recent:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change.at_s))
        typer.echo(f"{when}Z  {change.editor}  {change.change_id}  {change.summary}")


@document_app.command()
def apply(
    address: command_line.StoreOption,
    section: SectionArgument,
    path: FileArgument,
    base: Annotated[
        pathlib.Path | None,
        typer.Option(help="Text that the file was edited from; the current text when omitted."),
    ] = None,
    change_id: Annotated[
        str | None, typer.Option(help="Id of a change to retry after a lost answer.")
    ] = None,
    summary: Annotated[str, typer.Option(help="A line for the history.")] = "",
    editor: EditorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    files: command_line.TlsOption = None,
    output: command_line.OutputOption = command_line.Output.TEXT,
) -> None:
    """Apply a file as the new text of a section and wait until it is in force."""
    text = path.read_text(encoding="utf-8")
    base_text = base.read_text(encoding="utf-8") if base else None
    request = _EditRequest(
        section=ids.SectionName(section),
        text=text,
        base=base_text,
        change_id=change_id or uuid.uuid4().hex,
        summary=summary,
        editor=editor or getpass.getuser(),
    )
    command_line.run(
        _apply(
            address,
            request,
            _WaitOptions(seconds=wait_s, tls=command_line.tls_context(files)),
            output,
        )
    )


@document_app.command()
def edit(
    address: command_line.StoreOption,
    section: SectionArgument,
    summary: Annotated[str, typer.Option(help="A line for the history.")] = "",
    editor: EditorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    files: command_line.TlsOption = None,
) -> None:
    """Open a section in $EDITOR and apply the result."""
    stored = _require_section(command_line.run(_read_sections(address)), section)
    text = typer.edit(stored.text, extension=".yaml", editor=os.environ.get("EDITOR"))
    if text is None or text == stored.text:
        typer.echo("nothing was changed")
        return
    request = _EditRequest(
        section=stored.name,
        text=text,
        base=stored.text,
        change_id=uuid.uuid4().hex,
        summary=summary,
        editor=editor or getpass.getuser(),
    )
    command_line.run(
        _apply(
            address,
            request,
            _WaitOptions(seconds=wait_s, tls=command_line.tls_context(files)),
            command_line.Output.TEXT,
        )
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _EditRequest:
    """A requested new text of a section; ``base`` is None for an edit of the current text."""

    section: ids.SectionName
    text: str
    base: str | None
    change_id: str
    summary: str
    editor: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WaitOptions:
    """How long to wait until an edit is in force, and the TLS context for the instances."""

    seconds: float
    tls: ssl.SSLContext | None


async def _apply(
    address: str, request: _EditRequest, wait: _WaitOptions, output: command_line.Output
) -> None:
    client = _open_store(address)
    try:
        document = edits.DocumentStore(client=client)
        found = await document.read_all()
        stored = found.get(request.section)
        from_current = request.base is None or (stored is not None and request.base == stored.text)
        base_revision = stored.revision if stored and from_current else 0
        applied = await document.apply(
            edits.Edit(
                name=request.section,
                base=request.base if request.base is not None else (stored.text if stored else ""),
                base_revision=base_revision,
                text=request.text,
                change_id=request.change_id,
                editor=request.editor,
                summary=request.summary,
            )
        )
        if output is command_line.Output.TEXT:
            merged = ", merged with another edit" if applied.merged else ""
            typer.echo(f"section {request.section} is at revision {applied.revision}{merged}")
        progress = await _wait_in_force(client, request.section, applied.revision, wait, output)
    finally:
        client.close()
    _report(applied, progress, output)


async def _wait_in_force(
    client: store.Store,
    name: ids.SectionName,
    revision: int,
    wait: _WaitOptions,
    output: command_line.Output,
) -> instances.RolloutProgress:
    listed = await instances.list_instances(client)
    progress = instances.RolloutProgress(
        in_force=frozenset(), waiting=frozenset(), unreachable=frozenset()
    )
    shown = -1
    async for progress in instances.follow_revision(
        listed, name, revision, timeout_s=wait.seconds, tls=wait.tls
    ):
        if (
            output is command_line.Output.TEXT
            and sys.stdout.isatty()
            and len(progress.in_force) != shown
        ):
            shown = len(progress.in_force)
            typer.echo(f"in force on {shown} of {len(listed)} instances")
    return progress


def _report(
    applied: edits.AppliedEdit, progress: instances.RolloutProgress, output: command_line.Output
) -> None:
    everywhere = not progress.waiting and not progress.unreachable
    if output is command_line.Output.JSON:
        body = {
            "revision": applied.revision,
            "merged": applied.merged,
            "in_force": sorted(progress.in_force),
            "waiting": sorted(progress.waiting),
            "unreachable": sorted(progress.unreachable),
        }
        typer.echo(json.dumps(body, indent=2))
    elif everywhere:
        typer.echo(f"in force on all {len(progress.in_force)} instances")
    else:
        typer.echo(f"in force on {len(progress.in_force)} instances")
        if progress.waiting:
            typer.echo(f"not yet on: {', '.join(sorted(progress.waiting))}")
        if progress.unreachable:
            typer.echo(f"did not answer: {', '.join(sorted(progress.unreachable))}")
    if not everywhere:
        raise typer.Exit(EXIT_NOT_EVERYWHERE)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
