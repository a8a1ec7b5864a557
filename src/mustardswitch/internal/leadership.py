"""Determines which server of a service leads, from the latest evidence.

During a promotion, reports about the old and the new primary arrive late, out of order and over
different paths, and each write should still go to the right server at the first try.
"""

import collections.abc

from mustardswitch.internal import ids


class Leadership:
    """Evidence for and against each server, with the time in seconds at which it was true."""

    def __init__(self) -> None:
        self.leading_at_s: dict[ids.ServerId, float] = {}
        self.not_leading_at_s: dict[ids.ServerId, float] = {}

    def note_leading(self, server: ids.ServerId, *, at_s: float) -> None:
        """Record an answer or report that the server led at ``at_s``."""
        self.leading_at_s[server] = max(at_s, self.leading_at_s.get(server, at_s))

    def note_not_leading(self, server: ids.ServerId, *, at_s: float) -> None:
        """Record a refusal or report that the server did not lead at ``at_s``."""
        self.not_leading_at_s[server] = max(at_s, self.not_leading_at_s.get(server, at_s))

    def has_stopped(self, server: ids.ServerId) -> bool:
        """Return whether a server that led has since answered or reported that it does not."""
        stopped_at_s = self.not_leading_at_s.get(server, float("-inf"))
        return stopped_at_s > self.leading_at_s.get(server, float("-inf"))

    def forget(self, server: ids.ServerId) -> None:
        """Drop the evidence about a server that was removed."""
        self.leading_at_s.pop(server, None)
        self.not_leading_at_s.pop(server, None)

    def leader(self, present: collections.abc.Container[ids.ServerId]) -> ids.ServerId | None:
        """Return the present server with the latest evidence that it leads.

        Ignores servers with later evidence that they do not lead; None if no server is left.
        """
        leading = [
            (at_s, server)
            for server, at_s in self.leading_at_s.items()
            if server in present and self.not_leading_at_s.get(server, float("-inf")) < at_s
        ]
        return max(leading)[1] if leading else None
