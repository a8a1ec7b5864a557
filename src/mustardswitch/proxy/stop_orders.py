"""Orders a primary that is to be replaced to stop, and tells what this instance hears of it.

The holder of a claim may not reach the primary, or get no session, since the connections of the
instances take all its room. So every instance that holds connections to it sends the order. An
order is not given up while the change goes on: a primary that executes late answers late. A second
one is sent meanwhile, since single connections go silent for good.
"""

import asyncio
import dataclasses

from mustardswitch import events, tasks
from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock, former_primary, ids, server_contact
from mustardswitch.peers import datagrams
from mustardswitch.proxy import contact_signs, ports, server, service

ANSWER_TIMEOUT_S = 10.0
"""Time for each answer; as long as a claim is renewed."""
FOLLOWING_ORDER_S = 0.7
"""Time after which another order is sent while one is unanswered."""
MAX_ORDERS = 2
"""Orders that are unanswered at a time."""
RETRY_S = 0.2
"""Pause after an order that was refused, or could not be sent."""
ORDER_TTL_S = 1.0
"""Time after which an order of another instance ends unless it is repeated, several times within
this time."""


def report_contacts(backend: server.Server) -> former_primary.Report:
    """Return what this instance has heard of a server."""
    contacts, sign = backend.contacts, server_contact.Sign
    answered_s = contacts.age_s(sign.ANSWERED, sign.REFUSED)
    refused = sign.NOT_LISTENING in contacts.at_s
    return former_primary.Report(
        answered_s=answered_s,
        connected_s=min(answered_s, contacts.age_s(sign.CONNECTED)),
        refused_s=contacts.age_s(sign.NOT_LISTENING) if refused else former_primary.NEVER_S,
    )


class StopOrder:
    """This instance's order to one primary under one term; ``run`` until it is carried out."""

    def __init__(self, *, target: service.Service, backend: server.Server, term: ids.Term) -> None:
        self.target = target
        self.first_backend = backend
        self.term = term
        self.led_newest = False
        """Whether the primary has answered under this order that it leads the newest term."""
        self.result = former_primary.Report()
        self.connected = 0
        """Connections that are open and wait for an answer."""

    def __repr__(self) -> str:
        return f"StopOrder(target={self.target!r}, backend={self.backend!r}, term={self.term!r})"

    @property
    def backend(self) -> server.Server:
        """The server, which is another object once it was removed and listed again."""
        name = self.first_backend.server
        return self.target.known_servers().get(name, self.first_backend)

    def report(self) -> former_primary.Report:
        """Return what this instance knows of the primary now."""
        report = report_contacts(self.backend)
        if self.connected:
            report = dataclasses.replace(report, connected_s=0.0)
        return dataclasses.replace(report, order=self.result.order, end=self.result.end)

    @property
    def is_pending(self) -> bool:
        """Whether the primary has not answered as a replica yet."""
        return self.result.order is former_primary.Order.PENDING

    async def run(self) -> None:
        """Send orders until the primary answers as a replica, or the task is cancelled."""
        sent: set[asyncio.Task[None]] = set()
        try:
            while self.is_pending:
                if len(sent) < MAX_ORDERS:
                    sent.add(asyncio.create_task(self._send()))
                done, sent = await asyncio.wait(
                    sent, timeout=FOLLOWING_ORDER_S, return_when=asyncio.FIRST_COMPLETED
                )
                for each in done:
                    each.result()
        finally:
            await tasks.cancel_and_wait(list(sent))

    async def _send(self) -> None:
        """Send one order over a connection of its own, and wait for its answer."""
        # Connections that nobody uses take the room of the order's session.
        self.backend.pool.close_idle()
        contacts, since_s = self.backend.contacts, clock.now_s()
        link: ports.Link | None = None
        connected = failed = False
        sign: server_contact.Sign | None = None

        def note_connected() -> None:
            nonlocal connected
            connected = True
            self.connected += 1
            contacts.unanswered += 1

        try:
            link = await self.target.order_opener(self.backend.entry, note_connected)
            await self._order_over(link)
        except (backend_errors.BackendError, TimeoutError) as error:
            failed = True
            sign = contact_signs.note_error(self.backend.contacts, error, since_s=since_s)
            events.log(
                events.Event.STOP_UNANSWERED,
                server=self.backend.server,
                reason=str(error) or type(error).__name__,
                service=self.target.name,
                term=self.term,
            )
        finally:
            if connected:
                self.connected -= 1
                contacts.unanswered -= 1
                if sign is not server_contact.Sign.NOT_LISTENING:
                    self.backend.contacts.note(server_contact.Sign.CONNECTED)
            if link is not None:
                link.close()
        if failed:
            await asyncio.sleep(RETRY_S)

    async def _order_over(self, link: ports.Link) -> None:
        before = await link.status(ANSWER_TIMEOUT_S)
        self.backend.contacts.note(server_contact.Sign.ANSWERED)
        if before.leads:
            if before.term >= self.term:
                # It was promoted since; this order is outdated.
                await asyncio.sleep(RETRY_S)
                return
            self.led_newest = self.led_newest or before.term >= self.term - 1
            await link.step_down(self.term, ANSWER_TIMEOUT_S)
            self.backend.contacts.note(server_contact.Sign.ANSWERED)
        # A commit that was under way may have been appended until it had stopped.
        after = await link.status(ANSWER_TIMEOUT_S)
        if after.leads:
            await asyncio.sleep(RETRY_S)
            return
        # In the term of the order, another server was promoted since.
        stopped = self.led_newest and after.term < self.term
        order = former_primary.Order.STOPPED if stopped else former_primary.Order.REPLICA
        self._settle(order, after.received)

    def _settle(self, order: former_primary.Order, end: object) -> None:
        if self.is_pending:
            self.result = former_primary.Report(order=order, end=end)
            events.log(
                events.Event.STOP_ORDERED,
                server=self.backend.server,
                result=order.value,
                end=end,
                service=self.target.name,
                term=self.term,
            )


Asked = tuple[int, datagrams.StopOrder]
"""The revision of the record for which a holder asks for an order, and the order. What the primary
has answered for an earlier record may not hold any more."""


class StopOrders:
    """The orders that this instance sends for others that hold claims."""

    def __init__(self) -> None:
        self.running: dict[Asked, tuple[StopOrder, asyncio.Task[None]]] = {}
        self.asked_at_s: dict[Asked, float] = {}

    def __repr__(self) -> str:
        return f"StopOrders(running={list(self.running)!r})"

    def receive(
        self,
        order: datagrams.StopOrder,
        target: service.Service | None,
        *,
        revision: int,
    ) -> datagrams.PrimaryReport | None:
        """Send an order, unless that is being done, and return what is known of the primary.

        ``revision`` is that of the record for which it is asked. An instance without connections
        to the service sends its statements through others, and sends no order. Returns None if
        nothing is known of the primary.
        """
        backend = target.known_servers().get(order.server) if target is not None else None
        if backend is None:
            return None
        if not target.holds_connections:
            return datagrams.PrimaryReport(order=order, report=report_contacts(backend))
        asked = revision, order
        self.asked_at_s[asked] = clock.now_s()
        if asked not in self.running:
            sending = StopOrder(target=target, backend=backend, term=order.term)
            self.running[asked] = sending, target.start(sending.run())
        return datagrams.PrimaryReport(order=order, report=self.running[asked][0].report())

    def expire(self) -> None:
        """End the orders that are not repeated any more; must be called at short intervals."""
        oldest_s = clock.now_s() - ORDER_TTL_S
        for asked in [each for each, at_s in self.asked_at_s.items() if at_s < oldest_s]:
            del self.asked_at_s[asked]
            self.running.pop(asked)[1].cancel()
