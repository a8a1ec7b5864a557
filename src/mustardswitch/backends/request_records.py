"""Records of request ids, kept in the database itself and written in the write's own transaction.

A retry finds the record of the first attempt, through any instance and after any failover. The
primary key lets only one of two concurrent attempts insert its record. A withdrawn record keeps a
COMMIT whose answer was lost from taking effect later, unless it has taken effect already.
"""

import dataclasses
import time

from mustardswitch.backends import connection, errors
from mustardswitch.internal import ids, outcomes

TABLE = "mustardswitch_requests"
CREATE_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (request_id VARCHAR(64) PRIMARY KEY, "
    "state VARCHAR(16) NOT NULL, affected_rows BIGINT NOT NULL, "
    "last_insert_id BIGINT NOT NULL, created_s BIGINT NOT NULL)"
)
DONE = "done"
WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownRequest:
    """The record of an earlier attempt: withdrawn, or completed with ``result``."""

    withdrawn: bool
    result: outcomes.Result


async def ensure_table(used: connection.BackendConnection, *, timeout_s: float) -> None:
    """Create the table of request records if it is missing."""
    await used.execute(CREATE_TABLE, timeout_s=timeout_s)


async def record(
    used: connection.BackendConnection, request_id: ids.RequestId, *, timeout_s: float
) -> KnownRequest | None:
    """Record a request id in the open transaction, or return the record of an earlier attempt."""
    try:
        await used.execute(_insert_statement(request_id, DONE), timeout_s=timeout_s)
        return None
    except errors.DatabaseRejectedError as error:
        if error.code != connection.DUPLICATE_KEY_CODE:
            raise
    if await _reuse_withdrawn(used, request_id, timeout_s=timeout_s):
        return None
    return await find(used, request_id, timeout_s=timeout_s)


async def _reuse_withdrawn(
    used: connection.BackendConnection, request_id: ids.RequestId, *, timeout_s: float
) -> bool:
    """Reuse a withdrawn record; of two concurrent attempts only one finds it withdrawn."""
    updated = await used.execute(
        f"UPDATE {TABLE} SET state = '{DONE}' "
        f"WHERE request_id = '{request_id}' AND state = '{WITHDRAWN}'",
        timeout_s=timeout_s,
    )
    return updated.result.affected_rows == 1


async def complete(
    used: connection.BackendConnection,
    request_id: ids.RequestId,
    result: outcomes.Result,
    *,
    timeout_s: float,
) -> None:
    """Add the result to a record, in the transaction that inserted it."""
    await used.execute(
        f"UPDATE {TABLE} SET affected_rows = {result.affected_rows}, "
        f"last_insert_id = {result.last_insert_id} WHERE request_id = '{request_id}'",
        timeout_s=timeout_s,
    )


async def find(
    used: connection.BackendConnection, request_id: ids.RequestId, *, timeout_s: float
) -> KnownRequest | None:
    """Return the record of a request id, or None when it has none."""
    answer = await used.execute(
        f"SELECT state, affected_rows, last_insert_id FROM {TABLE} "
        f"WHERE request_id = '{request_id}'",
        timeout_s=timeout_s,
    )
    if not answer.result.rows:
        return None
    state, affected_rows, last_insert_id = answer.result.rows[0]
    return KnownRequest(
        withdrawn=state == WITHDRAWN.encode(),
        result=outcomes.Result(
            affected_rows=int(affected_rows or 0), last_insert_id=int(last_insert_id or 0)
        ),
    )


def withdraw_statement(request_id: ids.RequestId) -> str:
    """Return the INSERT that withdraws a request whose COMMIT got no answer.

    It fails with ``DUPLICATE_KEY_CODE`` if a record exists: the COMMIT took effect, or the request
    was withdrawn before.
    """
    return _insert_statement(request_id, WITHDRAWN)


def prune_statement(*, created_before_s: int) -> str:
    """Return the DELETE of records created before a wall-clock time, in Unix seconds."""
    return f"DELETE FROM {TABLE} WHERE created_s < {created_before_s}"


def _insert_statement(request_id: ids.RequestId, state: str) -> str:
    return (
        f"INSERT INTO {TABLE} (request_id, state, affected_rows, last_insert_id, created_s) "
        f"VALUES ('{request_id}', '{state}', 0, 0, {int(time.time())})"
    )
