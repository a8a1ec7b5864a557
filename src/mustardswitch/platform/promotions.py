"""Requests promotions from the platform."""

import json

from mustardswitch import events, http_calls
from mustardswitch.internal import ids
from mustardswitch.proxy import ports

CALL_TIMEOUT_S = 1.0
"""The platform answers within milliseconds, or slowly while it has a fault."""


class Promotions:
    """Client of the platform's promotion call."""

    def __init__(self, *, host: str, port: int, instance: ids.InstanceId) -> None:
        self.connection = http_calls.Connection(host=host, port=port)
        self.instance = instance

    def __repr__(self) -> str:
        return (
            f"Promotions(host={self.connection.host!r}, port={self.connection.port!r},"
            f" instance={self.instance!r})"
        )

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()

    async def promote(
        self, *, service: ids.ServiceName, server: ids.ServerId, fencing_token: int
    ) -> ports.PromotionOutcome:
        """Request that a server be promoted to leader of its service.

        Returns UNKNOWN when the platform does not answer; it may still execute the request.
        """
        try:
            response = await self.connection.call(
                "POST",
                "/promote",
                body=json.dumps({"service": service, "id": server}).encode(),
                headers=[
                    ("Lease-Holder", self.instance),
                    ("Fencing-Token", str(fencing_token)),
                ],
                timeout_s=CALL_TIMEOUT_S,
            )
        except http_calls.CallError as error:
            events.log(
                events.Event.PROMOTION_UNANSWERED,
                service=service,
                server=server,
                reason=str(error),
            )
            return ports.PromotionOutcome.UNKNOWN
        if 200 <= response.status < 300:
            return ports.PromotionOutcome.ACCEPTED
        if response.status == 409:
            return ports.PromotionOutcome.REJECTED
        if response.status == 429:
            return ports.PromotionOutcome.LIMITED
        return ports.PromotionOutcome.UNKNOWN
