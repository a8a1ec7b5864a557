"""What this instance keeps about a tenant with a rate limit, and the refusal above the limit."""

import dataclasses
import math
import typing

from mustardswitch.internal import ids
from mustardswitch.internal.tenants import limits
from mustardswitch.peers import datagrams, limit_loans
from mustardswitch.proxy import requests, routes

MAX_RETRY_S = 1.0
"""Longest time after which a caller is told to retry; homes may have changed by then."""
GAUGES = ("tenant_rate_held", "tenant_rate_lent", "tenant_rate_borrowed")
"""Gauges of each tenant, in operations per second."""


class Exchange(typing.Protocol):
    """Asks other instances."""

    async def ask(
        self, address: datagrams.PeerAddress, request: limit_loans.Request
    ) -> limit_loans.Answer:
        """Return the answer of an instance; raises PeerError without a valid one."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Tracked:
    """A tenant's limit, and what is known about its other homes."""

    limit: limits.TenantLimit
    applied: tuple[object, ...] = ()
    """Limit, role and validity that were applied last."""
    former: set[ids.InstanceId] | None = None
    """Former homes that this instance waits for; None if they are still to be found."""
    cleared_at_s: dict[ids.InstanceId, float] = dataclasses.field(default_factory=dict)
    """When each former home spends nothing more."""
    ask_at_s: dict[tuple[ids.InstanceId, type], float] = dataclasses.field(default_factory=dict)
    """When each instance may be asked each kind of question again."""
    unanswered: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    """Instances that did not answer the last question."""
    refused_at_s: float = -math.inf
    refusing: bool = False
    """Whether it is reported as refused."""


def refusal(tenant: ids.TenantName, wait_s: float) -> requests.Answer:
    """Build the refusal of an operation whose tenant may have the next one after ``wait_s``."""
    retry_s = max(0.001, min(MAX_RETRY_S, wait_s))
    answer = requests.refuse(
        requests.Refusal.OVERLOADED,
        f"the rate limit of tenant {tenant} is reached;"
        f" retry after {math.ceil(retry_s * 1000)} ms",
    )
    return dataclasses.replace(answer, retry_s=retry_s)


def limit_of(known: routes.Tenant | None) -> limits.Limit | None:
    """Return the limit of a tenant; None if it has none or is not configured."""
    if known is None or known.rate_per_s is None:
        return None
    return limits.Limit(rate_per_s=known.rate_per_s, burst=known.burst)
