"""Exchanges between the instances that share a tenant's rate limit, over the peers' port.

A request is one frame of JSON, and its answer another. An instance asks for a loan of another
one's share, or for the largest share that the other one still uses.
"""

import dataclasses
import functools
import json
import math

from mustardswitch.internal import ids
from mustardswitch.internal.tenants import handover, limits
from mustardswitch.peers import datagrams, errors, relay_client, relay_codec

REQUEST_PREFIX = b'{"limit":'
"""Distinguishes a request about limits from a forwarded statement."""
EXCHANGE_TIMEOUT_S = 0.25
"""Several round trips between regions; a later loan would be mostly over."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoanRequest:
    """Asks for a loan of a tenant's rate."""

    tenant: ids.TenantName
    borrower: ids.InstanceId
    wanted_per_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CeilingRequest:
    """Asks for the largest share of a tenant's limit that an instance still uses."""

    tenant: ids.TenantName


Request = LoanRequest | CeilingRequest
Answer = limits.Loan | handover.Ceiling | None
"""A loan, whose ``until_s`` counts from the time of the answer; None without one to give."""


def is_request(body: bytes) -> bool:
    """Return whether the body of a frame is a request about limits."""
    return body.startswith(REQUEST_PREFIX)


def encode_request(request: Request) -> bytes:
    """Encode a request as a frame."""
    return relay_codec.encode_fields({"limit": dataclasses.asdict(request)})


def decode_request(body: bytes) -> Request:
    """Decode the body of a request's frame; raises InvalidFrameError."""
    try:
        fields = json.loads(body)["limit"]
        tenant = ids.TenantName(str(fields["tenant"]))
        if "wanted_per_s" not in fields:
            return CeilingRequest(tenant=tenant)
        return LoanRequest(
            tenant=tenant,
            borrower=ids.InstanceId(str(fields["borrower"])),
            wanted_per_s=_amount(fields["wanted_per_s"]),
        )
    except relay_codec.MALFORMED as error:
        raise errors.InvalidFrameError(f"invalid request about limits: {error}") from error


@functools.singledispatch
def _fields(answer: object) -> dict[str, object]:
    raise TypeError(f"answer {answer!r} has an unknown type; register its fields")


@_fields.register
def _(answer: limits.Loan) -> dict[str, object]:
    return {"loan": dataclasses.asdict(answer)}


@_fields.register
def _(answer: handover.Ceiling) -> dict[str, object]:
    return {"ceiling": dataclasses.asdict(answer)}


@_fields.register
def _(answer: None) -> dict[str, object]:
    return {"none": True}


def encode_answer(answer: Answer) -> bytes:
    """Encode an answer as a frame."""
    return relay_codec.encode_fields(_fields(answer))


def decode_answer(body: bytes) -> Answer:
    """Decode the body of an answer's frame; raises InvalidFrameError."""
    try:
        fields = json.loads(body)
        if "loan" in fields:
            loan = {name: _amount(value) for name, value in fields["loan"].items()}
            return limits.Loan(**loan)
        if "ceiling" in fields:
            ceiling = {name: _amount(value) for name, value in fields["ceiling"].items()}
            return handover.Ceiling(**ceiling)
        return None
    except relay_codec.MALFORMED as error:
        raise errors.InvalidFrameError(f"invalid answer about limits: {error}") from error


def _amount(value: object) -> float:
    amount = float(value)
    if not math.isfinite(amount) or amount < 0:
        raise ValueError(f"{amount} is no amount; give a number from 0")
    return amount


class LimitExchange:
    """Sends requests about limits over the connections to gateways."""

    def __init__(self, *, client: relay_client.RelayClient) -> None:
        self.client = client

    def __repr__(self) -> str:
        return f"LimitExchange(client={self.client!r})"

    async def ask(self, address: datagrams.PeerAddress, request: Request) -> Answer:
        """Return the answer of an instance; raises PeerError without a valid one."""
        return await self.client.ask(
            address, encode_request(request), timeout_s=EXCHANGE_TIMEOUT_S, decode=decode_answer
        )
