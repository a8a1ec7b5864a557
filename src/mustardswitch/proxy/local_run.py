"""Runs one statement outside of a transaction over this instance's own connections."""

from mustardswitch.proxy import ports, reading, requests, statement_context, writing


async def run_locally(
    context: statement_context.StatementContext, statement: requests.Plain | ports.RunPrepared
) -> requests.Answer:
    """Run a read or write and return its answer."""
    refused = context.refuse_above_limit()
    if refused is not None:
        return refused
    if statement.access is requests.Access.WRITE:
        return await writing.run_write(context, statement)
    return await reading.ReadRun(context).run(statement)
