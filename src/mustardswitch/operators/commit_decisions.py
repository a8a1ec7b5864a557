"""Records an operator's decision to give up commits that a change of primary waits for."""

import dataclasses
import time

from mustardswitch.internal import ids, promotion
from mustardswitch.operators import errors
from mustardswitch.proxy import errors as proxy_errors
from mustardswitch.proxy import fleet_records, record_store, wait_records

DECISION_TTL_S = 600.0
"""Time after which a decision lapses if it could not be applied; the longest lease of the store."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loss:
    """What an operator asks to give up."""

    service: ids.ServiceName
    missing: frozenset[ids.ServerId]
    """Servers that need not be waited for."""
    acknowledged: bool
    """Whether the acknowledged commit that no log in reach has is given up."""


async def read_wait(
    client: record_store.RecordStore, service: ids.ServiceName
) -> wait_records.Wait:
    """Return what a service's change of primary waits for.

    Raises RefusedError without one, and InstanceUnreachableError if the store gives no answer.
    """
    return (await _read(client, service))[0]


async def _read(
    client: record_store.RecordStore, service: ids.ServiceName
) -> tuple[wait_records.Wait, int]:
    """Return a wait, and the revision of its record."""
    try:
        found = await client.read(f"{fleet_records.WAITS}{service}")
        wait = None if found is None else wait_records.decode_wait(found.value)
    except proxy_errors.StoreError as error:
        raise errors.InstanceUnreachableError(f"the store gave no answer: {error}") from error
    except proxy_errors.FleetRecordError as error:
        raise errors.RefusedError(f"the record of service {service}: {error}") from error
    current = wait is not None and wait.era == client.era
    if not current or not (wait.missing or wait.unreached):
        raise errors.RefusedError(
            f"no change of primary of service {service} waits for commits; nothing is given up"
        )
    return wait, found.revision


def check(loss: Loss, wait: wait_records.Wait) -> None:
    """Raise RefusedError unless the change waits for all that is to be given up."""
    if not loss.missing and not loss.acknowledged:
        raise errors.RefusedError("name what is given up: --missing SERVER, or --acknowledged")
    unknown = sorted(loss.missing - wait.missing)
    if unknown:
        awaited = ", ".join(sorted(wait.missing)) or "none"
        raise errors.RefusedError(
            f"the change does not wait for {', '.join(unknown)}; it waits for: {awaited}"
        )
    if loss.acknowledged and not wait.unreached:
        raise errors.RefusedError("no acknowledged commit is known that no log in reach has")


def describe(loss: Loss, wait: wait_records.Wait) -> str:
    """Return as lines for people what would be lost, and what is waited for besides."""
    former = wait.former or "unknown"
    lines = [
        f"service {loss.service}: the change from primary {former} ({wait.state.value}) has waited"
        f" for {wait.waited_s:.0f} s"
    ]
    for name in sorted(wait.missing):
        state = "no process listens" if name in wait.ended else "no answer"
        if name in loss.missing:
            lines.append(f"given up: server {name} ({state}); commits that only it has are LOST")
        else:
            lines.append(f"still waited for: server {name} ({state})")
    if loss.acknowledged:
        lines.append(
            f"given up: commits that callers were told are done, above {wait.above}, are LOST"
        )
    elif wait.unreached:
        lines.append(f"still waited for: an acknowledged commit above {wait.above}")
    if wait.state is promotion.FormerPrimary.MAY_RUN:
        lines.append(
            f"still waited for: primary {former}, which may run; no decision replaces its end"
        )
    return "\n".join(lines)


async def record(
    client: record_store.RecordStore, loss: Loss, shown: wait_records.Wait, *, operator: str
) -> wait_records.Decision:
    """Record a decision that was made on what was ``shown``.

    Raises RefusedError if the change has ended or waits for other commits by now, and
    InstanceUnreachableError if the store gives no answer; the decision may be recorded then.
    """
    if not operator or not operator.isprintable():
        raise errors.RefusedError("name the operator with --as, in printable characters")
    wait, revision = await _read(client, loss.service)
    check(loss, wait)
    if (wait.change, wait.above) != (shown.change, shown.above):
        raise errors.RefusedError("the change waits for other commits than shown; run this again")
    decision = wait_records.Decision(
        change=wait.change,
        era=wait.era,
        missing=loss.missing,
        above=wait.above,
        acknowledged=loss.acknowledged,
        operator=operator,
        at_ms=int(1000 * time.time()),
    )
    try:
        lease = await client.grant_lease(DECISION_TTL_S)
        recorded = await client.change(
            expected={f"{fleet_records.WAITS}{loss.service}": revision},
            puts=[
                record_store.Put(
                    key=f"{fleet_records.GIVEN_UP}{loss.service}",
                    value=wait_records.encode_decision(decision),
                    lease=lease,
                )
            ],
        )
    except proxy_errors.StoreError as error:
        raise errors.InstanceUnreachableError(f"the store gave no answer: {error}") from error
    if recorded is None:
        raise errors.RefusedError("the change has gone on meanwhile; run this again")
    return decision
