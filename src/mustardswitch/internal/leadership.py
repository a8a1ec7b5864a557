"""Which server of a service leads, by the latest evidence.

Answers the load pattern of writes during a promotion: reports of the old and the new primary
arrive late, out of order and over different ways, and each write should go to the right one at the
first try.
"""

import collections.abc

from mustardswitch.internal import ids


class Leadership:
    """Evidence for and against each server, by the time at which it was true."""

    def __init__(self) -> None:
        self.leading_since_s: dict[ids.ServerId, float] = {}
        self.refused_at_s: dict[ids.ServerId, float] = {}

    def note_leading(self, server: ids.ServerId, *, at_s: float) -> None:
        """Take an answer or report into account by which the server led at ``at_s``."""
        self.leading_since_s[server] = max(at_s, self.leading_since_s.get(server, at_s))

    def note_not_leading(self, server: ids.ServerId, *, at_s: float) -> None:
        """Take a refusal or report into account by which the server did not lead at ``at_s``."""
        self.refused_at_s[server] = max(at_s, self.refused_at_s.get(server, at_s))

    def forget(self, server: ids.ServerId) -> None:
        """Drop what was known of a server that is gone."""
        self.leading_since_s.pop(server, None)
        self.refused_at_s.pop(server, None)

    def leader(self, present: collections.abc.Container[ids.ServerId]) -> ids.ServerId | None:
        """Return the present server with the latest evidence for it and none later against it."""
        known = [
            (at_s, server)
            for server, at_s in self.leading_since_s.items()
            if server in present and self.refused_at_s.get(server, float("-inf")) < at_s
        ]
        return max(known)[1] if known else None
