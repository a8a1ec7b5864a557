"""Exchanges the messages by which a statement is forwarded to a gateway, and follows the answer."""

from mustardswitch.internal import clock
from mustardswitch.peers import relay_client, relay_codec
from mustardswitch.proxy import ports, requests, statement_context

ANSWER_SLACK_S = 0.1
"""Time allowed beyond a statement's limit for the round trip to a gateway."""
AGE_DIGITS = 6
"""Decimal places of the ages in a message, which are seconds."""


def build_message(
    context: statement_context.StatementContext,
    command: requests.Plain | ports.RunPrepared | requests.Commit | requests.Rollback,
    begin: str = "",
) -> relay_codec.ForwardedStatement:
    """Build the message that forwards a statement to a gateway.

    ``begin`` is "read" or "write" with the first statement of a transaction, otherwise empty.
    """
    now_s = clock.now_s()
    routing = None
    if context.routings is not None:
        routing = context.routings.routing(context.route.database)
    commits = {
        name: relay_codec.SessionCommit(
            position=each.position, age_s=round(now_s - each.acknowledged_s, AGE_DIGITS)
        )
        for name, each in context.session.commits.items()
    }
    named = routing.service if routing is not None else context.service.name
    return relay_codec.ForwardedStatement(
        request=context.request,
        database=context.route.database,
        command=command,
        age_s=round(now_s - context.first_byte_s, AGE_DIGITS),
        operation_age_s=round(context.operation_age_s, AGE_DIGITS),
        values=context.session.values,
        session_commit=commits.pop(named, None),
        other_commits=commits,
        routing=routing,
        begin=begin,
        tenant=context.tenant,
    )


async def exchange(
    connection: relay_client.RelayConnection,
    context: statement_context.StatementContext,
    command: requests.Plain | ports.RunPrepared | requests.Commit | requests.Rollback,
    *,
    timeout_s: float,
    begin: str = "",
) -> requests.Answer:
    """Forward a statement and return its answer; raises PeerError.

    Sets the service at which the statement was run in the context, and follows the gateway's
    routing if that is newer.
    """
    message = build_message(context, command, begin)
    forwarded = await connection.execute(message, timeout_s)
    # A gateway of the build before does not tell where it has run the statement.
    named = message.routing.service if message.routing is not None else context.service.name
    context.ran_at = named if forwarded.service is None else forwarded.service
    if forwarded.routing is not None and context.routings is not None:
        context.routings.learn_routing(context.route.database, forwarded.routing)
    return forwarded.answer
