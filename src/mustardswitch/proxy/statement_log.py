"""Counts and logs the statements of callers."""

from mustardswitch import events, metrics
from mustardswitch.internal import clock, ids
from mustardswitch.proxy import requests

SLOW_S = 0.5
"""Latency above which a success is logged; near the users' strictest latency target, 0.6 s."""


def record(
    registry: metrics.Registry,
    database: ids.DatabaseName,
    request: ids.RequestId,
    statement: requests.Statement,
    answer: requests.Answer,
    *,
    first_byte_s: float,
) -> None:
    """Count a statement whose first byte was read at ``first_byte_s``, and log it if necessary."""
    elapsed_s = clock.now_s() - first_byte_s
    outcome = answer.refusal.value if answer.refusal is not None else "ran"
    registry.count("statements", outcome)
    if answer.signature is not None:
        registry.record_seconds("statement", elapsed_s)
    if answer.refusal is not None:
        events.log(
            events.Event.STATEMENT_REFUSED,
            request=request,
            database=database,
            statement=type(statement).__name__.lower(),
            outcome=outcome,
            reason=answer.detail,
            elapsed_s=round(elapsed_s, 4),
        )
    elif elapsed_s > SLOW_S:
        events.log(
            events.Event.STATEMENT_SLOW,
            request=request,
            database=database,
            statement=type(statement).__name__.lower(),
            elapsed_s=round(elapsed_s, 4),
            position=answer.position,
        )
