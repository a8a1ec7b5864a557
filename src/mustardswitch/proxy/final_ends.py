"""Records the ends of logs that were read after commits had ended, for the next holder of a claim.

No log grows between the end of commits and the next promotion, so a paused server whose end is
recorded need not answer again. The record ends before a promotion is requested: the holder may die
while its request takes effect, and the new primary's replicas receive commits at once.
"""

import collections.abc

from mustardswitch import events
from mustardswitch.internal import ids, positions, promotion, revisions
from mustardswitch.proxy import errors, ports, service


class FinalEnds:
    """The final ends that a holder and earlier ones have read in one change of primary."""

    def __init__(self, *, target: service.Service, coordination: ports.Coordination) -> None:
        self.target = target
        self.coordination = coordination
        self.known: frozenset[ports.FinalEnd] = frozenset()
        """Ends that were read or taken over from earlier holders."""
        self.allowed = False
        """Whether no promotion can take effect unless this holder requests it."""
        self.may_be_recorded = False
        """Whether the store may hold a record of this change."""

    def __repr__(self) -> str:
        return f"FinalEnds(target={self.target!r}, known={self.known!r})"

    def take_over(self, recorded: frozenset[ports.FinalEnd], *, requested: bool) -> None:
        """Begin with what earlier holders have recorded.

        ``requested`` is whether the promotion of a server is recorded. Its request may have been
        sent unless final ends are recorded as well.
        """
        self.known = recorded
        self.may_be_recorded = bool(recorded)
        self.allowed = not requested or bool(recorded)

    def clear(self) -> None:
        """Forget all ends, and record none from now on; logs may grow."""
        self.known = frozenset()
        self.allowed = False

    def of_others(
        self, answering: collections.abc.Set[ids.ServerId]
    ) -> dict[ids.ServerId, positions.Position]:
        """Return the ends of servers that are not ``answering`` and have not started anew."""
        listed = self.target.known_servers()
        return {
            each.server: each.end
            for each in self.known
            if each.server not in answering
            and (
                each.server not in listed or listed[each.server].entry.started_ms == each.started_ms
            )
        }

    async def add(
        self,
        claim: ports.Claim,
        paused: collections.abc.Mapping[ids.ServerId, promotion.ServerStatus],
        *,
        revision: revisions.Revision,
        primary_end: positions.Position | None,
    ) -> None:
        """Record the ends of paused servers, all read after commits had ended.

        ``revision`` is that of the promotion's record. A server below the ``primary_end`` of a
        stopped primary is left out: if its pause ends, it receives the rest of that log.
        """
        if not self.allowed:
            return
        listed = self.target.known_servers()
        found = {
            name: ports.FinalEnd(
                server=name, started_ms=listed[name].entry.started_ms, end=status.received
            )
            for name, status in paused.items()
            if name in listed
            and status.paused
            and not status.leads
            and (primary_end is None or status.received >= primary_end)
        }
        kept = {each for each in self.known if each.server not in paused}
        known = frozenset(kept | set(found.values()))
        if known != self.known:
            self.known = known
            await self.write(claim, revision)

    async def write(self, claim: ports.Claim, revision: revisions.Revision) -> None:
        """Write the known ends beside a promotion's record, whose writing has removed them."""
        if not self.known and not self.may_be_recorded:
            return
        # Set before the call, which may be executed although its answer is lost.
        self.may_be_recorded = True
        try:
            await self.coordination.record_final_ends(claim, self.known, revision=revision)
        except errors.StoreError as error:
            # Only the next holder needs it, if this one dies.
            events.log(events.Event.CLAIM_FAILED, service=self.target.name, reason=str(error))
