"""The concurrency limit of a pool whose server may be limited after its start."""

import collections.abc

from mustardswitch.internal.admission import limits


class PacedLimit(limits.ConcurrencyLimit):
    """A ConcurrencyLimit that is also bounded by the pace of the server.

    ``bound`` returns how many connections may be handed out at once by the server's pace.
    """

    def __init__(self, *, maximum: int, bound: collections.abc.Callable[[], int]) -> None:
        super().__init__(maximum=maximum)
        self.bound = bound

    @property
    def allowed(self) -> int:
        """Number of connections that may be handed out at once; at least 1."""
        return max(1, min(super().allowed, self.bound()))
