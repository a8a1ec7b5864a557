"""Stateful test of the rule for promotions, over all ways to a promotion.

The decisions of ``internal.promotion`` run against ``promotion_world``, in the steps of
``promotion_attempt``. Holders of the claim die, freeze or lose it without notice; servers start,
crash, end and lose their entries; instances lose the store or start anew.
``test_promotion_rule_parts`` has a sequence for each part of the rule, and for each limit.
"""

import enum

from hypothesis import HealthCheck, settings, stateful
from hypothesis import strategies as st

from mustardswitch.internal import ids
from tests.common import promotion_attempt, promotion_parts, promotion_world

A, B, C, D = (ids.ServerId(f"server-{zone}") for zone in "abcd")
INSTANCES = 3
servers = st.sampled_from([A, B, C, D])
may_be_late = st.one_of(st.none(), st.none(), servers)
instances = st.integers(0, INSTANCES - 1)


class Limit(enum.Enum):
    """Combinations in which the whole rule loses a commit."""

    UNKNOWN = "unknown"
    """A server that is not listed yet confirms what was sent before the record of the promotion was
    read, and the primary gives no answer or has died: listed in docs/PLATFORM.md."""
    UNKNOWN_WITHOUT_STORE = "unknown_without_store"
    """The same with an instance that has lost the store: listed in docs/PLATFORM.md."""
    FORGOTTEN = "forgotten"
    """All instances have started anew, and know of no server whose entry had expired: listed in
    docs/PLATFORM.md."""
    RESUMED = "resumed"
    """As UNKNOWN, with a server whose pause a RESUME has just ended: listed in docs/PLATFORM.md."""
    RESUMED_WITHOUT_STORE = "resumed_without_store"
    """The same with an instance that has lost the store: listed in docs/PLATFORM.md."""
    RESTARTED = "restarted"
    """As RESUMED, with a paused server that crashes and returns."""
    STARTED_ANEW = "started_anew"
    """The server starts again under its id before a late or repeated request is executed."""
    LED_AGAIN = "led_again"
    """The stopped primary crashes, and leads again until the request takes effect."""
    EARLIER_REQUEST = "earlier_request"
    """A request of an earlier holder takes effect after the choice of another server."""
    STALE_PRIMARY = "stale_primary"
    """The holder has not read that the server which it takes for the primary was replaced. That one
    gives no answer and does not count; its successor was lost."""


def limit_of(loss: promotion_world.Loss, forgotten: set[ids.ServerId]) -> Limit | None:
    """Return the combination that explains a loss; None if it is another one."""
    request = loss.request
    if loss.started_anew:
        return Limit.STARTED_ANEW
    if loss.commit.term > request.term:
        return Limit.EARLIER_REQUEST
    if loss.holders & (request.known - request.expected) - {request.primary}:
        return Limit.STALE_PRIMARY
    if not request.unanswered:
        return Limit.LED_AGAIN if loss.led_again else None
    if promotion_world.PauseEnd.RESTART in loss.pause_ends:
        return Limit.RESTARTED
    if promotion_world.PauseEnd.RESUME in loss.pause_ends:
        return Limit.RESUMED_WITHOUT_STORE if loss.commit.store_lost else Limit.RESUMED
    if loss.holders & request.expected:
        return None
    unknown = (loss.holders | {request.primary}) - request.known
    if unknown & request.listed:
        return None
    if unknown <= forgotten:
        return Limit.FORGOTTEN
    return Limit.UNKNOWN_WITHOUT_STORE if loss.commit.store_lost else Limit.UNKNOWN


class Promotions(stateful.RuleBasedStateMachine):
    """Runs commits, faults, late executions and the steps of holders in any order."""

    leads_from = promotion_world.LeadsFrom.ACCEPTANCE
    parts = promotion_parts.Parts()

    def __init__(self) -> None:
        super().__init__()
        self.world = promotion_world.World(
            names=[A, B, C], instances=INSTANCES, leads_from=self.leads_from
        )
        self.attempts: dict[int, promotion_attempt.Attempt] = {}
        self.late_requests: list[promotion_world.Request] = []
        self.late_orders: list[promotion_world.Order] = []
        self.forgotten: set[ids.ServerId] = set()
        """Servers without an entry when all instances started anew."""

    def unexplained(self) -> list[promotion_world.Loss]:
        """Return the losses that no limit explains."""
        return [loss for loss in self.world.losses if limit_of(loss, self.forgotten) is None]

    def _server(
        self, name: ids.ServerId, *states: promotion_world.State
    ) -> promotion_world.Server | None:
        server = self.world.servers.get(name)
        return server if server is not None and server.state in states else None

    # Commits and replication

    @stateful.rule(instance=instances)
    def commit(self, instance: int) -> None:
        self.world.commit(self.world.instances[instance], held_by_record=self.parts.hold_commits)

    @stateful.rule(name=servers, everything=st.booleans())
    def deliver(self, name: ids.ServerId, everything: bool = True) -> None:
        if name in self.world.servers:
            self.world.deliver(name, everything=everything)

    @stateful.rule(instance=instances, name=servers)
    def commit_to(self, instance: int, name: ids.ServerId) -> None:
        """Commit, with one replica that confirms it."""
        self.commit(instance)
        self.deliver(name)

    # Servers

    @stateful.rule(name=servers)
    def toggle_receiving(self, name: ids.ServerId) -> None:
        if server := self._server(name, promotion_world.State.RUNNING):
            server.receiving = not server.receiving

    @stateful.rule(name=servers)
    def crash_or_return(self, name: ids.ServerId) -> None:
        if server := self._server(name, promotion_world.State.RUNNING):
            self.world.crash(server)
        elif server := self._server(name, promotion_world.State.DOWN):
            self.world.come_back(server)

    @stateful.rule(name=servers)
    def restart(self, name: ids.ServerId) -> None:
        """Let a running server crash and return."""
        if server := self._server(name, promotion_world.State.RUNNING):
            self.world.crash(server)
            self.world.come_back(server)

    @stateful.rule(name=servers)
    def lose_or_start_anew(self, name: ids.ServerId) -> None:
        if server := self._server(name, promotion_world.State.RUNNING, promotion_world.State.DOWN):
            self.world.lose(server)
        elif server := self._server(name, promotion_world.State.GONE):
            self.world.start_anew(server)

    @stateful.precondition(lambda self: D not in self.world.servers)
    @stateful.rule()
    def start_server(self) -> None:
        self.world.servers[D] = promotion_world.Server(name=D)

    @stateful.rule(name=servers)
    def leave(self, name: ids.ServerId) -> None:
        """Report a planned end, or end after that."""
        if server := self._server(name, promotion_world.State.RUNNING):
            if server.leaving:
                self.world.listed.pop(name, None)
                self.world.lose(server)
            else:
                server.leaving = True
                self.world.write_entry(server)

    @stateful.rule(name=servers)
    def write_entry(self, name: ids.ServerId) -> None:
        if server := self._server(name, promotion_world.State.RUNNING):
            self.world.write_entry(server)

    @stateful.rule(name=servers)
    def expire_entry(self, name: ids.ServerId) -> None:
        self.world.listed.pop(name, None)

    # Instances

    @stateful.rule(instance=instances, name=servers)
    def cut_or_heal(self, instance: int, name: ids.ServerId) -> None:
        self.world.instances[instance].unreachable ^= {name}

    @stateful.rule(instance=instances)
    def lose_or_reach_store(self, instance: int) -> None:
        known = self.world.instances[instance]
        known.reaches_store = not known.reaches_store

    @stateful.rule(instance=instances)
    def read_store(self, instance: int) -> None:
        self.world.read_store(self.world.instances[instance])

    @stateful.rule(instance=instances)
    def forget_servers_that_are_gone(self, instance: int) -> None:
        """Drop expired entries; a server that runs or returns answers within the retention.

        This is ``UNLISTED_RETENTION_S`` of ``proxy.service``.
        """
        known = self.world.instances[instance]
        known.expired -= {
            name for name in known.expired if self._server(name, promotion_world.State.GONE)
        }

    @stateful.rule()
    def restart_all_instances(self) -> None:
        self.attempts = {}
        self.forgotten = {
            name
            for name, server in self.world.servers.items()
            if server.was_listed and name not in self.world.listed
        }
        fresh = [promotion_world.Instance() for _ in self.world.instances]
        for before, instance in zip(self.world.instances, fresh, strict=True):
            instance.reaches_store = before.reaches_store
            self.world.read_store(instance)
        self.world.instances = fresh

    # Holders of the claim

    @stateful.rule(instance=instances, silent=st.booleans())
    def begin(self, instance: int, silent: bool = False) -> None:
        """Claim the service; a ``silent`` primary is not queried."""
        known = self.world.instances[instance]
        if self.world.claim is not None or instance in self.attempts or not known.reaches_store:
            return
        self.world.tokens += 1
        self.world.claim = self.world.tokens
        self.attempts[instance] = promotion_attempt.Attempt(
            world=self.world,
            instance=known,
            token=self.world.tokens,
            silent=silent,
            parts=self.parts,
        )

    @stateful.rule(instance=instances, late=may_be_late, steps=st.integers(1, 4))
    def advance(self, instance: int, late: ids.ServerId | None = None, steps: int = 1) -> None:
        for _ in range(steps if instance in self.attempts else 0):
            self.attempts[instance].advance(late)
            self._take_late_orders(instance)

    @stateful.rule(instance=instances, silent=st.booleans())
    def prepare(self, instance: int, silent: bool = False) -> None:
        """Begin, and go on until a promotion is to be requested, or for a while."""
        self.begin(instance, silent)
        self.advance_to(promotion_attempt.Step.REQUEST, instance=instance)

    def advance_to(self, step: promotion_attempt.Step, *, instance: int = 0) -> None:
        """Advance an attempt until it is at a step, or for as many steps as any needs."""
        for _ in range(20):
            if instance in self.attempts and self.attempts[instance].step is not step:
                self.advance(instance)

    def _take_late_orders(self, instance: int) -> None:
        self.late_orders += self.attempts[instance].late_orders
        self.attempts[instance].late_orders = []

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(instance=instances)
    def give_up_stopping(self, instance: int) -> None:
        if instance in self.attempts:
            self.attempts[instance].give_up_stopping()

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(instance=instances, late=st.booleans())
    def request(self, instance: int, late: bool = False) -> None:
        if instance in self.attempts:
            request = self.attempts[instance].send_request(late=late)
            self.late_requests += [request] if request is not None else []

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(instance=instances, late=may_be_late)
    def end(self, instance: int, late: ids.ServerId | None = None) -> None:
        if instance in self.attempts:
            self.attempts[instance].end(late)
            self._take_late_orders(instance)
            del self.attempts[instance]

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(instance=instances)
    def die(self, instance: int) -> None:
        self.attempts.pop(instance, None)

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(instance=instances)
    def expire_by_own_clock(self, instance: int) -> None:
        if instance in self.attempts:
            self.attempts[instance].valid = False

    @stateful.precondition(lambda self: self.world.claim is not None)
    @stateful.rule()
    def expire_claim(self) -> None:
        """End the claim in the store, of which its holder does not learn."""
        self.world.claim = None
        if not self.parts.record_outlives_claim:
            self.world.record = None

    # Late executions

    @stateful.precondition(lambda self: self.late_requests)
    @stateful.rule()
    def execute_late_request(self) -> None:
        request = self.late_requests.pop(0)
        self.world.accept(request, fenced=self.parts.fence_requests)

    @stateful.precondition(lambda self: self.late_orders)
    @stateful.rule()
    def execute_late_order(self) -> None:
        self.world.execute(self.late_orders.pop(0))

    @stateful.precondition(lambda self: self.world.accepted)
    @stateful.rule()
    def take_effect(self) -> None:
        self.world.take_effect()

    @stateful.invariant()
    def nothing_acknowledged_is_lost(self) -> None:
        assert self.unexplained() == []


class PromotionsFromEffect(Promotions):
    """The same with a server that receives commits until its promotion takes effect."""

    leads_from = promotion_world.LeadsFrom.EFFECT


TestPromotions = Promotions.TestCase
TestPromotionsFromEffect = PromotionsFromEffect.TestCase
TestPromotions.settings = TestPromotionsFromEffect.settings = settings(
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
