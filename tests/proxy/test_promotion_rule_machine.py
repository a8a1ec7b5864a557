"""Stateful test of the rule for promotions, over all ways to a promotion.

The decisions of ``internal.promotion`` run against ``promotion_world``, in the steps of
``promotion_attempt``. Holders of the claim die, freeze or lose it without notice; servers start,
crash, end and lose their entries; instances lose the store or start anew.
``test_promotion_rule_parts`` has a sequence for each part of the rule, and for each limit.
"""

from hypothesis import HealthCheck, settings, stateful
from hypothesis import strategies as st

from mustardswitch.internal import ids
from tests.common import (
    promotion_attempt,
    promotion_instances,
    promotion_limits,
    promotion_members,
    promotion_parts,
    promotion_servers,
    promotion_world,
)

A, B, C, D = (ids.ServerId(f"server-{zone}") for zone in "abcd")
INSTANCES = 3
SERVERS = 3
"""The recorded number of the service's servers."""
servers = st.sampled_from([A, B, C, D])
may_be_late = st.one_of(st.none(), st.none(), servers)
instances = st.integers(0, INSTANCES - 1)


class Promotions(stateful.RuleBasedStateMachine):
    """Runs commits, faults, late executions and the steps of holders in any order."""

    leads_from = promotion_servers.LeadsFrom.ACCEPTANCE
    parts = promotion_parts.Parts()

    def __init__(self) -> None:
        super().__init__()
        self.world = promotion_world.World(
            names=[A, B, C], instances=INSTANCES, leads_from=self.leads_from
        )
        self.attempts: dict[int, promotion_attempt.Attempt] = {}
        self.late_requests: list[promotion_servers.Request] = []
        self.late_orders: list[promotion_servers.Order] = []

    def unexplained(self) -> list[promotion_servers.Loss]:
        """Return the losses that no limit explains."""
        return [loss for loss in self.world.losses if promotion_limits.limit_of(loss) is None]

    def _server(
        self, name: ids.ServerId, *states: promotion_servers.State
    ) -> promotion_servers.Server | None:
        server = self.world.servers.get(name)
        return server if server is not None and server.state in states else None

    # Commits and replication

    @stateful.rule(instance=instances, late=st.booleans())
    def commit(self, instance: int, late: bool = False) -> None:
        self.world.commit(
            self.world.instances[instance],
            held_by_record=self.parts.hold_commits,
            need_permission=self.parts.need_permission,
            late=late,
        )

    @stateful.precondition(lambda self: self.world.waiting)
    @stateful.rule()
    def execute_waiting_commit(self) -> None:
        self.world.execute_waiting_commit()

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
        if server := self._server(name, promotion_servers.State.RUNNING):
            server.receiving = not server.receiving

    @stateful.rule(name=servers)
    def crash_or_return(self, name: ids.ServerId) -> None:
        if server := self._server(name, promotion_servers.State.RUNNING):
            self.world.crash(server)
        elif server := self._server(name, promotion_servers.State.DOWN):
            self.world.come_back(server)

    @stateful.rule(name=servers)
    def restart(self, name: ids.ServerId) -> None:
        """Let a running server crash and return."""
        if server := self._server(name, promotion_servers.State.RUNNING):
            self.world.crash(server)
            self.world.come_back(server)

    @stateful.rule(name=servers)
    def lose_or_start_anew(self, name: ids.ServerId) -> None:
        if server := self._server(
            name, promotion_servers.State.RUNNING, promotion_servers.State.DOWN
        ):
            self.world.lose(server)
        elif server := self._server(name, promotion_servers.State.GONE):
            self.world.start_anew(server)

    @stateful.precondition(lambda self: D not in self.world.servers)
    @stateful.rule()
    def start_server(self) -> None:
        self.world.servers[D] = promotion_servers.Server(name=D)

    @stateful.rule(name=servers)
    def leave(self, name: ids.ServerId) -> None:
        """Report a planned end, or end after that."""
        if server := self._server(name, promotion_servers.State.RUNNING):
            if server.leaving:
                self.world.listed.pop(name, None)
                self.world.members.drop(name)
                self.world.left.add(name)
                self.world.lose(server)
            else:
                server.leaving = True
                self.world.write_entry(server)

    @stateful.rule(name=servers)
    def write_entry(self, name: ids.ServerId) -> None:
        if server := self._server(name, promotion_servers.State.RUNNING):
            self.world.write_entry(server)

    @stateful.rule(name=servers)
    def expire_entry(self, name: ids.ServerId) -> None:
        self.world.listed.pop(name, None)

    # Instances

    @stateful.rule(instance=instances, name=servers)
    def cut_or_heal(self, instance: int, name: ids.ServerId) -> None:
        """Cut an instance from a server; answers that wait arrive when it reaches it again."""
        known = self.world.instances[instance]
        known.unreachable ^= {name}
        for commit in [each for each in known.under_way if each.confirmed]:
            self.world.answer(known, commit)

    @stateful.rule(instance=instances)
    def read(self, instance: int) -> None:
        """Let the primary show its position with the answer to a read."""
        leader, known = self.world.leader(), self.world.instances[instance]
        if leader is not None and leader.name not in known.unreachable:
            known.shown[leader.name] = leader.position

    @stateful.rule(instance=instances)
    def cut_or_heal_datagrams(self, instance: int) -> None:
        self.world.instances[instance].reaches_instances ^= True

    @stateful.rule()
    def let_period_pass(self) -> None:
        """Let ``commit_permission.HOLD_LIMIT_S`` pass."""
        self.world.let_period_pass()

    @stateful.rule(instance=instances)
    def lose_or_reach_store(self, instance: int) -> None:
        known = self.world.instances[instance]
        known.reaches_store = not known.reaches_store

    @stateful.rule(instance=instances)
    def read_store(self, instance: int) -> None:
        self.world.read_store(self.world.instances[instance])

    @stateful.rule(instance=instances, name=servers)
    def cover(self, instance: int, name: ids.ServerId) -> None:
        known = self.world.instances[instance]
        promotion_members.cover(self.world, known, name, compare_end=self.parts.cover_by_end)

    @stateful.rule(instance=instances)
    def drop_covered(self, instance: int) -> None:
        known = self.world.instances[instance]
        promotion_members.drop_covered(self.world, known, servers=SERVERS)

    @stateful.precondition(lambda self: not self.parts.keep_members)
    @stateful.rule(instance=instances)
    def let_retention_pass(self, instance: int) -> None:
        """Drop servers without an entry from the record after some time, running or not."""
        known = self.world.instances[instance]
        for name in set() if self.parts.keep_members else known.expired:
            self.world.members.drop(name)

    @stateful.rule()
    def restart_all_instances(self) -> None:
        self.attempts = {}
        fresh = [promotion_instances.Instance() for _ in self.world.instances]
        for before, instance in zip(self.world.instances, fresh, strict=True):
            instance.reaches_store, instance.knows_all = before.reaches_store, False
            self.world.start_instance(instance, durable_list=self.parts.durable_list)
        self.world.instances = fresh

    # Holders of the claim

    @stateful.rule(instance=instances, silent=st.booleans(), stop_answered=st.booleans())
    def begin(self, instance: int, silent: bool = False, stop_answered: bool = False) -> None:
        """Claim the service; a ``silent`` primary is not queried, but may answer orders."""
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
            stop_answered=stop_answered,
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

    @stateful.rule(instance=instances, name=servers)
    def prepare_without(self, instance: int, name: ids.ServerId) -> None:
        """Prepare a promotion, with a server cut off from the holder."""
        self.world.instances[instance].unreachable |= {name}
        self.prepare(instance, silent=True)

    @stateful.rule(instance=instances)
    def change_primary(self, instance: int) -> None:
        """Change the primary, while nothing else happens."""
        self.prepare(instance)
        self.request(instance)
        while self.world.accepted:
            self.world.take_effect()
        self.end(instance)

    @stateful.rule(instance=instances, sender=instances, late=st.booleans())
    def request_beside_a_waiting_commit(
        self, instance: int, sender: int, late: bool = False
    ) -> None:
        self.commit(sender, late=True)
        self.prepare(instance)
        self.request(instance, late)

    @stateful.precondition(lambda self: self.world.waiting)
    @stateful.rule(name=servers)
    def execute_waiting_commit_at(self, name: ids.ServerId) -> None:
        """Execute the oldest commit that waits, with one replica that confirms it."""
        self.execute_waiting_commit()
        self.deliver(name)

    def advance_to(self, step: promotion_attempt.Step, *, instance: int = 0) -> None:
        """Advance an attempt until it is at a step, or for as many steps as any needs."""
        for _ in range(20):
            if instance in self.attempts and self.attempts[instance].step is not step:
                self.advance(instance)

    def _take_late_orders(self, instance: int) -> None:
        self.late_orders += self.attempts[instance].late_orders
        self.attempts[instance].late_orders = []
        self.late_requests += self.attempts[instance].late_requests
        self.attempts[instance].late_requests = []

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
    @stateful.rule(newest=st.booleans())
    def take_effect(self, newest: bool = False) -> None:
        self.world.take_effect(newest=newest)

    @stateful.precondition(lambda self: self.world.accepted)
    @stateful.rule(name=servers)
    def take_effect_and_execute(self, name: ids.ServerId) -> None:
        """Let a promotion take effect, and servers execute what waits, which one confirms."""
        self.take_effect()
        while self.world.waiting:
            self.execute_waiting_commit_at(name)

    @stateful.invariant()
    def nothing_acknowledged_is_lost(self) -> None:
        assert self.unexplained() == []


class PromotionsFromEffect(Promotions):
    """The same with a server that receives commits until its promotion takes effect."""

    leads_from = promotion_servers.LeadsFrom.EFFECT


TestPromotions = Promotions.TestCase
TestPromotionsFromEffect = PromotionsFromEffect.TestCase
TestPromotions.settings = TestPromotionsFromEffect.settings = settings(
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
