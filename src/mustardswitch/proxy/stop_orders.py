"""Orders a primary that is to be replaced to stop, and tells what this instance hears of it.

The holder of a claim may not reach the primary, or get no session, since the connections of the
instances take all its room. So every instance that holds connections to it sends the order. An
order is not given up while the change goes on: a primary that executes late answers late. A second
one is sent meanwhile, since single connections go silent for good.
"""

import asyncio

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
RETRY_S = 0.1
"""Pause after an order that was refused, or could not be sent."""
ORDER_TTL_S = 1.0
"""Time after which an order of another instance ends unless it is repeated, several times within
this time."""


class StopOrder:
    """This instance's order to one primary under one term; ``run`` until it is carried out."""

    def __init__(self, *, target: service.Service, backend: server.Server, term: ids.Term) -> None:
        self.target = target
        self.backend = backend
        self.term = term
        self.result = former_primary.Report()

    def __repr__(self) -> str:
        return f"StopOrder(target={self.target!r}, backend={self.backend!r}, term={self.term!r})"

    def report(self) -> former_primary.Report:
        """Return what this instance knows of the primary now."""
        now_s, at_s = clock.now_s(), self.backend.contacts.at_s
        ages = {sign: now_s - seen_s for sign, seen_s in at_s.items()}
        never_s = former_primary.NEVER_S
        answered_s = min(
            ages.get(server_contact.Sign.ANSWERED, never_s),
            ages.get(server_contact.Sign.REFUSED, never_s),
        )
        return former_primary.Report(
            order=self.result.order,
            end=self.result.end,
            answered_s=answered_s,
            connected_s=min(answered_s, ages.get(server_contact.Sign.CONNECTED, never_s)),
            refused_s=ages.get(server_contact.Sign.NOT_LISTENING, never_s),
        )

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
                _, sent = await asyncio.wait(
                    sent, timeout=FOLLOWING_ORDER_S, return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            await tasks.cancel_and_wait(list(sent))

    async def _send(self) -> None:
        """Send one order over a connection of its own, and wait for its answer."""
        # Connections that nobody uses take the room of the order's session.
        self.backend.pool.trim(idle_s=0.0)
        link: ports.Link | None = None
        try:
            link = await self.target.order_opener(self.backend.entry)
            await self._order_over(link)
        except (backend_errors.BackendError, TimeoutError) as error:
            contact_signs.note_error(self.backend.contacts, error)
            events.log(
                events.Event.STOP_UNANSWERED,
                server=self.backend.server,
                reason=str(error) or type(error).__name__,
                service=self.target.name,
                term=self.term,
            )
            await asyncio.sleep(RETRY_S)
        finally:
            if link is not None:
                link.close()

    async def _order_over(self, link: ports.Link) -> None:
        self.backend.contacts.note(server_contact.Sign.CONNECTED)
        before = await link.status(ANSWER_TIMEOUT_S)
        self.backend.contacts.note(server_contact.Sign.ANSWERED)
        if not before.leads:
            self._settle(former_primary.Order.REPLICA, before.received)
            return
        if before.term >= self.term:
            # It was promoted since; this order is outdated.
            await asyncio.sleep(RETRY_S)
            return
        stopped = await link.step_down(self.term, ANSWER_TIMEOUT_S)
        self.backend.contacts.note(server_contact.Sign.ANSWERED)
        if not stopped.leads:
            # A commit that was under way may have been appended until it had stopped.
            after = await link.status(ANSWER_TIMEOUT_S)
            led_newest = before.term >= self.term - 1 and not after.leads
            order = former_primary.Order.STOPPED if led_newest else former_primary.Order.REPLICA
            self._settle(order, max(stopped.received, after.received))

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


class StopOrders:
    """The orders that this instance sends for others that hold claims."""

    def __init__(self) -> None:
        self.running: dict[datagrams.StopOrder, tuple[StopOrder, asyncio.Task[None]]] = {}
        self.asked_at_s: dict[datagrams.StopOrder, float] = {}

    def __repr__(self) -> str:
        return f"StopOrders(running={list(self.running)!r})"

    def receive(
        self, order: datagrams.StopOrder, target: service.Service | None
    ) -> datagrams.PrimaryReport:
        """Send an order, unless that is being done, and return what is known of the primary.

        An instance without connections to the service sends its statements through others, and has
        nothing to report.
        """
        backend = target.known_servers().get(order.server) if target is not None else None
        if backend is None or not target.holds_connections:
            return datagrams.PrimaryReport(order=order, report=former_primary.Report())
        self.asked_at_s[order] = clock.now_s()
        if order not in self.running:
            sending = StopOrder(target=target, backend=backend, term=order.term)
            self.running[order] = sending, target.start(sending.run())
        return datagrams.PrimaryReport(order=order, report=self.running[order][0].report())

    def expire(self) -> None:
        """End the orders that are not repeated any more; must be called at short intervals."""
        oldest_s = clock.now_s() - ORDER_TTL_S
        for order in [each for each, at_s in self.asked_at_s.items() if at_s < oldest_s]:
            del self.asked_at_s[order]
            self.running.pop(order)[1].cancel()
