"""Stateful test of changes of primary in which requests and orders are executed late.

The decisions of ``internal.promotion`` run against the in-memory group. Holders of the claim die or
are replaced at any step; servers start, crash, restart, lose their entries or cannot be reached.
Requests to promote, PAUSE and RESUME may be executed at any later time.
"""

from hypothesis import HealthCheck, settings, stateful
from hypothesis import strategies as st

from mustardswitch.internal import handover, ids, promotion
from mustardswitch_standins import database_group
from tests.common.change_of_primary_attempt import MAY_BE_LATE, Attempt, D, LateOrder, servers


class Changes(stateful.RuleBasedStateMachine):
    """Runs commits, faults, late executions and the steps of holders in any order."""

    hold_commits = True
    record_requests = True
    compare_ends = True
    stop_primary = True
    count_expired = True
    check_pauses = True
    resume_requested_only = True
    never_void_before_stop = True
    record_unanswered = True
    hold_for_all = True

    def __init__(self) -> None:
        super().__init__()
        self.group = database_group.Group()
        self.listed = set(self.group.servers)
        self.expired: set[ids.ServerId] = set()
        self.record: ids.ServerId | None = None
        self.held = False
        """Whether the record lets no commits pass, also to its server."""
        self.attempt: Attempt | None = None
        self.tokens = 0
        self.highest_token = 0
        self.late_requests: list[tuple[ids.ServerId, int]] = []
        self.late_orders: list[LateOrder] = []
        self.effects: list[ids.ServerId] = []
        self.written = 0
        self.stopped: ids.ServerId | None = None
        """The primary that was stopped last."""

    # What callers do

    @stateful.rule()
    def write(self) -> None:
        primary = self.group.primary
        if primary is None:
            return
        allowed = promotion.may_take_commits(primary.name, requested=self.record)
        held = self.held or (self.hold_commits and not allowed)
        if primary.up and not primary.silent and not held:
            self.written += 1
            self.group.commit(primary, f"w{self.written}")

    # What servers do

    def _known(self) -> set[ids.ServerId]:
        return self.listed | (self.expired if self.count_expired else set())

    def _is_primary(self, name: ids.ServerId) -> bool:
        return self.group.primary is not None and self.group.primary.name == name

    @stateful.rule(name=servers)
    def toggle_receiving(self, name: ids.ServerId) -> None:
        if name in self.group.servers:
            server = self.group.servers[name]
            server.not_receiving = not server.not_receiving
            self.group.catch_up(server)

    @stateful.rule(name=servers)
    def crash_or_restart(self, name: ids.ServerId) -> None:
        if name in self.group.servers:
            server = self.group.servers[name]
            server.up = not server.up
            server.paused_term = 0
            if server.up and self.group.primary is None and name == self.stopped:
                # The platform has promoted no other server.
                server.role = promotion.Role.PRIMARY
            self.group.catch_up(server)
            self._list_before_suspicion(name)

    @stateful.rule(name=servers)
    def cut_or_heal(self, name: ids.ServerId) -> None:
        """Cut a server off from the instances; the other servers still reach it."""
        if name in self.group.servers:
            self.group.servers[name].silent = not self.group.servers[name].silent
            self._list_before_suspicion(name)

    def _list_before_suspicion(self, name: ids.ServerId) -> None:
        """A started server is listed in less time than a primary takes to be suspected."""
        if self._is_primary(name):
            self.list_servers()

    @stateful.precondition(lambda self: D not in self.group.servers)
    @stateful.rule()
    def start_server(self) -> None:
        self.group.start_server(zone="d")

    @stateful.rule()
    def list_servers(self) -> None:
        self.listed = set(self.group.servers) - self.expired

    @stateful.rule(name=servers)
    def expire_entry(self, name: ids.ServerId) -> None:
        if name in self.listed and not self._is_primary(name):
            self.listed.discard(name)
            self.expired.add(name)

    # What the holder of the claim does

    @stateful.rule(leaves=st.booleans())
    def begin(self, leaves: bool) -> None:
        """Claim the service; an earlier holder has died or is stalled for good."""
        self.tokens += 1
        self.attempt = Attempt(
            token=self.tokens,
            primary=self.group.primary.name if self.group.primary else None,
            leaves=leaves,
            requested_before=self.record,
            requested=self.record,
        )

    @stateful.rule(leaves=st.booleans())
    def prepare(self, leaves: bool) -> None:
        """Begin, and decide until a promotion may be requested, or a few times."""
        self.begin(leaves)
        for _ in range(3):
            if not self.attempt.confirmed:
                self.decide(late=None)

    def _statuses(self) -> dict[ids.ServerId, promotion.ServerStatus]:
        return {
            name: self.group.status(self.group.servers[name])
            for name in self._known()
            if self.group.servers[name].up and not self.group.servers[name].silent
        }

    def _pause_others(
        self,
        statuses: dict[ids.ServerId, promotion.ServerStatus],
        spared: set[ids.ServerId],
        late: ids.ServerId | None,
    ) -> dict[ids.ServerId, promotion.ServerStatus]:
        expected = self._known() - spared
        for name in handover.servers_to_pause(
            expected=expected, statuses=statuses, term=ids.Term(self.attempt.term)
        ):
            if name == late:
                self.late_orders.append(LateOrder(server=name, term=self.attempt.term))
            elif name in statuses:
                self._execute(LateOrder(server=name, term=self.attempt.term))
                statuses[name] = self.group.status(self.group.servers[name])
        return {
            name: status
            for name, status in statuses.items()
            if name in expected and (status.paused or status.role is promotion.Role.PRIMARY)
        }

    def _decide(self, late: ids.ServerId | None) -> promotion.Choice:
        attempt, statuses = self.attempt, self._statuses()
        terms = [status.term for status in statuses.values() if not status.paused]
        terms += [status.received.term for status in statuses.values()]
        attempt.term = max([attempt.term, *(1 + term for term in terms)])
        leader = promotion.leading_server(
            statuses, known=attempt.primary, requested=attempt.requested
        )
        if leader not in (None, attempt.primary) and attempt.requested in (None, leader):
            return promotion.Choice(verdict=promotion.Verdict.ALREADY_LED)
        if leader is None:
            return self._decide_without_primary(statuses, late)
        attempt.stopped_end = None
        return self._decide_handover(statuses, leader, late)

    def _decide_without_primary(
        self, statuses: dict[ids.ServerId, promotion.ServerStatus], late: ids.ServerId | None
    ) -> promotion.Choice:
        attempt = self.attempt
        spared = {attempt.primary} - set(statuses)
        likely = attempt.requested or handover.choose_successor(replicas=statuses, leaving=set())
        if likely is None:
            return promotion.Choice(verdict=promotion.Verdict.WAIT)
        if not attempt.recorded:
            self._record(likely)
            return promotion.Choice(verdict=promotion.Verdict.WAIT)
        evidence = promotion.Evidence(
            expected=self._known() - spared,
            paused=self._pause_others(statuses, spared, late),
            stopped_end=attempt.stopped_end,
            commits_held=attempt.recorded,
            former_primary=self._former_primary(),
        )
        return promotion.choose(evidence, leaving=set(), requested=attempt.requested)

    def _former_primary(self) -> promotion.FormerPrimary:
        found, server = promotion.FormerPrimary, self.group.servers.get(self.attempt.primary)
        if server is None or not server.up:
            return found.NOT_LISTENING
        replica = not server.silent and server.role is promotion.Role.REPLICA
        return found.REPLICA if replica else found.MAY_RUN

    def _decide_handover(
        self,
        statuses: dict[ids.ServerId, promotion.ServerStatus],
        primary: ids.ServerId,
        late: ids.ServerId | None,
    ) -> promotion.Choice:
        attempt = self.attempt
        successor = handover.choose_successor(
            replicas={n: s for n, s in statuses.items() if n != primary},
            leaving=set(),
            requested=attempt.requested,
        )
        if successor is None:
            keeps = attempt.requested is not None
            verdict = promotion.Verdict.KEEP if keeps else promotion.Verdict.WAIT
            return promotion.Choice(verdict=verdict, server=primary)
        if statuses[successor].paused:
            self._execute(LateOrder(server=successor))
        replica = self.group.servers[successor]
        if self.compare_ends and replica.position < statuses[primary].received:
            return promotion.Choice(verdict=promotion.Verdict.WAIT)
        choice = handover.evaluate_handover(
            expected=self._known() - {primary},
            paused=self._pause_others(statuses, {primary, successor}, late),
            successor=successor,
            successor_status=self.group.status(replica),
            primary_leaves=attempt.leaves,
        )
        promotes = choice.verdict is promotion.Verdict.PROMOTE
        if not promotes or attempt.requested != successor or not self.stop_primary:
            return choice
        return self._stop(primary, successor, late)

    def _stop(
        self, primary: ids.ServerId, successor: ids.ServerId, late: ids.ServerId | None
    ) -> promotion.Choice:
        """Stop the primary; a late order to stop leaves the pauses to prove the choice."""
        attempt = self.attempt
        order = LateOrder(server=primary, term=attempt.term, stops=True)
        if late == primary:
            self.late_orders.append(order)
            statuses = self._statuses()
            del statuses[primary]
            return self._decide_without_primary(statuses, late)
        if not self.never_void_before_stop:
            self._receive_request(primary, attempt.token)
            if self.highest_token > attempt.token:
                return promotion.Choice(verdict=promotion.Verdict.WAIT)
        self._execute(order)
        statuses = {
            name: self.group.status(self.group.servers[name]) for name in (primary, successor)
        }
        attempt.stopped_end = statuses[primary].received
        evidence = promotion.Evidence(
            expected=self._known(),
            paused={},
            receiving=statuses,
            stopped_end=attempt.stopped_end,
            commits_held=attempt.recorded,
        )
        return promotion.choose(evidence, leaving=set(), requested=successor)

    @stateful.precondition(lambda self: self.attempt and not self.attempt.confirmed)
    @stateful.rule(late=MAY_BE_LATE)
    def decide(self, late: ids.ServerId | None) -> None:
        """Decide; a server that is chosen is recorded, and confirmed by the next decision."""
        attempt = self.attempt
        choice = self._decide(late)
        attempt.verdict = choice.verdict
        if choice.verdict is not promotion.Verdict.PROMOTE:
            return
        attempt.confirmed = choice.server == attempt.requested or not self.check_pauses
        self._record(choice.server)

    def _record(self, server: ids.ServerId) -> None:
        self.attempt.requested, self.attempt.recorded = server, True
        if self.record_requests:
            self.record = server
            self.held = self.hold_for_all and self.attempt.requested_before is not None

    @stateful.precondition(lambda self: self.attempt and self.attempt.confirmed)
    @stateful.rule(late=st.booleans())
    def request(self, late: bool) -> None:
        attempt = self.attempt
        attempt.request_sent = True
        if late:
            attempt.unanswered = True
            self.late_requests.append((attempt.requested, attempt.token))
        else:
            self._receive_request(attempt.requested, attempt.token)

    @stateful.precondition(lambda self: self.attempt and self.attempt.request_sent)
    @stateful.rule(late=MAY_BE_LATE)
    def keep_paused(self, late: ids.ServerId | None) -> None:
        if self.check_pauses:
            spared = {self.attempt.primary, self.attempt.requested}
            self._pause_others(self._statuses(), spared, late)

    @stateful.precondition(
        lambda self: self.attempt and self.attempt.verdict is promotion.Verdict.KEEP
    )
    @stateful.rule()
    def keep_primary(self) -> None:
        """Promote the present primary again."""
        primary = self.group.primary
        if primary is None or not primary.up or primary.silent:
            return
        self.held = self.hold_for_all
        self._receive_request(primary.name, self.attempt.token)
        self.attempt.kept = primary.name
        self.attempt.verdict = promotion.Verdict.WAIT

    @stateful.precondition(lambda self: self.attempt and self.attempt.kept and not self.effects)
    @stateful.rule()
    def await_kept(self) -> None:
        """End once accepted requests have taken effect."""
        kept, self.attempt.kept = self.attempt.kept, None
        if self._is_primary(kept):
            self.attempt.requested = self.attempt.requested_before = self.record = None
            self.held = False

    @stateful.precondition(lambda self: self.attempt)
    @stateful.rule(late=MAY_BE_LATE)
    def end(self, late: ids.ServerId | None) -> None:
        attempt, self.attempt = self.attempt, None
        leads = attempt.requested is not None and self._is_primary(attempt.requested)
        ended = attempt.requested_before is None or (attempt.request_sent and not self.effects)
        stays = self.record_unanswered and attempt.unanswered
        if leads and not stays and (ended or not self.hold_for_all):
            self.record, self.held = None, False
        elif not attempt.request_sent:
            self.record = attempt.requested_before
            self.held &= self.record is not None
        for name in handover.servers_to_resume(
            self._statuses(), requested=self.record if self.resume_requested_only else None
        ):
            order = LateOrder(server=name)
            if name == late:
                self.late_orders.append(order)
            else:
                self._execute(order)

    @stateful.precondition(lambda self: self.attempt)
    @stateful.rule()
    def die(self) -> None:
        self.attempt = None

    # What the platform and the servers do with requests and orders

    def _receive_request(self, server: ids.ServerId, token: int) -> None:
        if token >= self.highest_token:
            self.highest_token = token
            if self.group.servers[server].up:
                self.effects.append(server)

    @stateful.precondition(lambda self: self.late_requests)
    @stateful.rule()
    def execute_late_request(self) -> None:
        self._receive_request(*self.late_requests.pop(0))

    @stateful.precondition(lambda self: self.effects)
    @stateful.rule()
    def take_effect(self) -> None:
        self.group.promote(self.effects.pop(0))

    def _execute(self, order: LateOrder) -> None:
        server = self.group.servers[order.server]
        if order.term is None:
            server.paused_term = 0
            self.group.catch_up(server)
        elif order.stops:
            if server.up and self._is_primary(server.name):
                self.group.step_down(server, order.term)
                self.stopped = server.name
        elif server.up and not self._is_primary(server.name) and order.term > self.group.term:
            server.paused_term = max(order.term, server.paused_term)

    @stateful.precondition(lambda self: self.late_orders)
    @stateful.rule()
    def execute_late_order(self) -> None:
        self._execute(self.late_orders.pop(0))

    @stateful.invariant()
    def nothing_acknowledged_is_lost(self) -> None:
        assert self.group.lost == []


TestChanges = Changes.TestCase
TestChanges.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
