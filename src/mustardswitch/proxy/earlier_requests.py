"""Awaits what the requests of an earlier holder may still do before a primary is stopped.

A promotion takes effect some time after its request, and one without an answer may be executed
later still. One that names the present primary changes nothing only while that leads: if it is
stopped meanwhile, it leads again, in the next term, and all pauses end.
"""

from mustardswitch.internal import clock, ids, promotion, server_contact
from mustardswitch.proxy import claimed_attempt, ports, server, server_commands

NOT_VOIDED = promotion.Choice(
    verdict=promotion.Verdict.WAIT, reason="requests of earlier claims may be executed"
)
LEADS_AGAIN = promotion.Choice(
    verdict=promotion.Verdict.WAIT, reason="a server leads again by an earlier request"
)


class EarlierRequests(claimed_attempt.Attempt):
    """The requests of earlier holders in an attempt to change a primary."""

    def former_server(self, primary: ids.ServerId | None) -> server.Server | None:
        """Return the primary; the last one that led if its entry is gone, None without one."""
        unlisted = self.target.former_primary
        if primary is None and unlisted is not None:
            primary = unlisted.server
        return self.target.known_servers().get(primary)

    async def void_earlier_requests(self, primary: ids.ServerId) -> ports.PromotionOutcome:
        """Make the platform reject the requests of earlier claims, and wait for earlier effects.

        Returns ACCEPTED if it does now, and REJECTED if the primary does not run, or another
        claim's token is higher. Servers are to be queried anew after that.
        """
        raise NotImplementedError

    def kept_earlier(
        self, primary: ids.ServerId | None, statuses: server_commands.Statuses
    ) -> ids.ServerId | None:
        """Return the former primary if an earlier request may make it lead again; None if not.

        That is a silent one that is recorded itself, or one that an earlier holder has kept. The
        record of that may be of a restored store, and the server replaced since: then another one
        led last, or has a longer log.
        """
        former = self.former_server(primary)
        silent = former is not None and former.server not in statuses
        if silent and former.server == promotion.recorded_server(self.earlier_request):
            return former.server
        kept = promotion.kept_primary(self.earlier_request)
        if kept is None or (former is not None and former.server != kept):
            return None
        own = statuses.get(kept)
        replaced = own is not None and any(
            each.received > own.received for each in statuses.values()
        )
        return None if replaced else kept

    async def await_earlier_effect(self, former: ids.ServerId) -> bool:
        """Wait until no earlier request makes the former primary lead again; False if one may.

        Commits are held meanwhile, also to a server that another request makes lead. Nothing waits
        in a process that has ended, and takes no commits if it starts again.
        """
        if not await self._record(promotion.holding_all(self.earlier_request)):
            return False
        self.hold_commits()
        if await self._has_ended(former):
            return True
        outcome = await self.void_earlier_requests(former)
        return outcome in (ports.PromotionOutcome.ACCEPTED, ports.PromotionOutcome.REJECTED)

    async def _has_ended(self, name: ids.ServerId) -> bool:
        """Return whether no process of a server listens now, or the server is not known."""
        asked_at_s = clock.now_s()
        await self.commands.query({name})
        backend = self.target.known_servers().get(name)
        if backend is None:
            return True
        contact = backend.contacts.latest()
        if contact is None or contact.sign is not server_contact.Sign.NOT_LISTENING:
            return False
        return contact.age_s <= clock.now_s() - asked_at_s
