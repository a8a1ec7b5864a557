"""``mustardctl status``: shows the groups and instances as they see each other."""

import asyncio
import json
import ssl
from typing import Annotated

import rich.console
import rich.table
import typer
from google.protobuf import json_format

from mustardswitch.operators import instances
from mustardswitch.peers import peers_pb2
from mustardswitch.programs import command_line


def status(
    instance: Annotated[
        str,
        typer.Option(
            "--instance",
            envvar="MUSTARDCTL_INSTANCE",
            help="IP address and peers' port of any one instance.",
        ),
    ],
    files: command_line.TlsOption = None,
    output: command_line.OutputOption = command_line.Output.TEXT,
) -> None:
    """Show groups, terms, primaries, replica lag, connections and unreachable instances."""
    host, port = command_line.parse_address(instance)
    reply = command_line.run(_gather_status(host, port, command_line.tls_context(files)))
    if output is command_line.Output.JSON:
        body = [json_format.MessageToDict(item, preserving_proto_field_name=True) for item in reply]
        typer.echo(json.dumps(body, indent=2))
        return
    _print_status(reply)


async def _gather_status(
    host: str, port: int, context: ssl.SSLContext | None
) -> list[peers_pb2.StatusReply]:
    """Query one instance, then all others that it lists as not dead.

    Raises InstanceUnreachableError for the first one; others that do not answer are omitted.
    """
    first = await instances.read_status(host, port, tls=context)
    others = [
        (member.host, member.port)
        for member in first.members
        if member.instance != first.instance and member.state != "dead"
    ]
    answers = await asyncio.gather(
        *(instances.read_status(*other, tls=context) for other in others), return_exceptions=True
    )
    return [first, *(item for item in answers if isinstance(item, peers_pb2.StatusReply))]


def _print_status(replies: list[peers_pb2.StatusReply]) -> None:
    console = rich.console.Console()
    first = replies[0]
    answered = {reply.instance for reply in replies}
    members = rich.table.Table("instance", "zone", "state", "answers", "store")
    by_name = {reply.instance: reply for reply in replies}
    for member in sorted(first.members, key=lambda item: (item.zone, item.instance)):
        reply = by_name.get(member.instance)
        state = "leaving" if member.leaving else member.state
        reachable = "" if reply is None else ("yes" if reply.store_reachable else "no")
        members.add_row(
            member.instance,
            member.zone,
            state,
            "yes" if member.instance in answered else "no",
            reachable,
        )
    console.print(members)
    groups = rich.table.Table(
        "database", "term", "primary", "slot", "role", "position", "applied", "home", "connections"
    )
    for reply in sorted(replies, key=lambda item: item.instance):
        for group in sorted(reply.groups, key=lambda item: item.database):
            for slot in group.slots:
                groups.add_row(
                    group.database,
                    str(group.term),
                    group.primary,
                    slot.slot,
                    slot.role,
                    f"{slot.log_end.term}:{slot.log_end.offset}",
                    f"{slot.applied.term}:{slot.applied.offset}",
                    reply.instance,
                    str(group.connections),
                )
    console.print(groups)
