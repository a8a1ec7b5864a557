"""Renews the registration of an instance that the store turns away, through another instance.

The store may reject some instances while it serves the others. Their registrations would end, their
tenants would get other homes, and both would change again when the store takes them back.
"""

import collections.abc
import json
import random

from mustardswitch.peers import datagrams, errors, relay_client, relay_codec

REQUEST_PREFIX = b'{"renew":'
"""Distinguishes a request for a renewal from a forwarded statement."""
EXCHANGE_TIMEOUT_S = 1.2
"""Longer than a call to the store may take."""
ASKED_INSTANCES = 2
"""Instances that are asked for one renewal; the store may turn a third of them away."""


def is_request(body: bytes) -> bool:
    """Return whether the body of a frame asks for a renewal."""
    return body.startswith(REQUEST_PREFIX)


def encode_request(lease: int) -> bytes:
    """Encode a request as a frame."""
    return relay_codec.encode_fields({"renew": lease})


def decode_request(body: bytes) -> int:
    """Decode the body of a request's frame; raises InvalidFrameError."""
    try:
        return int(json.loads(body)["renew"])
    except relay_codec.MALFORMED as error:
        raise errors.InvalidFrameError(f"invalid request for a renewal: {error}") from error


def encode_answer(renewed: bool | None) -> bytes:
    """Encode an answer as a frame; None means that the store did not answer."""
    return relay_codec.encode_fields({"renewed": renewed})


def decode_answer(body: bytes) -> bool | None:
    """Decode the body of an answer's frame; raises InvalidFrameError."""
    try:
        renewed = json.loads(body)["renewed"]
    except relay_codec.MALFORMED as error:
        raise errors.InvalidFrameError(f"invalid answer about a renewal: {error}") from error
    return renewed if isinstance(renewed, bool) else None


class LeaseRenewals:
    """Asks other instances to renew a lease; ``addresses`` returns those that may be asked."""

    def __init__(
        self,
        *,
        client: relay_client.RelayClient,
        addresses: collections.abc.Callable[[], list[datagrams.PeerAddress]],
    ) -> None:
        self.client = client
        self.addresses = addresses

    def __repr__(self) -> str:
        return f"LeaseRenewals(client={self.client!r})"

    async def renew(self, lease: int) -> bool | None:
        """Return whether the lease was renewed; None when no instance could tell."""
        known = self.addresses()
        for address in random.sample(known, min(ASKED_INSTANCES, len(known))):
            try:
                renewed = await self.client.ask(
                    address,
                    encode_request(lease),
                    timeout_s=EXCHANGE_TIMEOUT_S,
                    decode=decode_answer,
                )
            except errors.PeerError:
                continue
            if renewed is not None:
                return renewed
        return None
