"""Own writes are read, and no instance goes back, whichever versions the instances have."""

import asyncio

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from mustardswitch.internal import clock, ids
from mustardswitch.peers import relay_codec, relay_server
from mustardswitch.proxy import requests, route_versions
from tests.common import forwarding_world, proxy_world

OLD, NEW = forwarding_world.OLD, forwarding_world.NEW
SERVICES = (OLD, NEW)
OWN = requests.RouteKind.READ_YOUR_WRITES
DATABASE = proxy_world.DATABASES[OWN]
GATEWAYS = 2

instances = st.integers(0, GATEWAYS)
"""The entry instance is the last one."""


class Versions(stateful.RuleBasedStateMachine):
    """A session that an instance serves through gateways, which apply versions when they can."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.issued = [forwarding_world.moved(2, OLD)]
        self.shown = [2] * (GATEWAYS + 1)
        """Each instance's latest version, at the least, whose effect a database has seen."""
        self.own: dict[str, list[str]] = {name: [] for name in SERVICES}
        """The session's commits at each service."""
        self.pinned: str | None = None
        self.open = False
        self.writes: list[str] = []
        self.requests = 0

    @stateful.initialize()
    def start(self):
        self.fleet = self.runner.run(self._start())
        self.session = self.fleet.entry.open_session(OWN)

    async def _start(self):
        return await forwarding_world.Fleet(self.issued[0], gateways=GATEWAYS).__aenter__()

    def teardown(self):
        self.runner.run(self._close())
        self.runner.close()

    async def _close(self):
        self.session.close()
        self.fleet.close()

    def _world(self, instance):
        return (*self.fleet.gateways, self.fleet.entry)[instance]

    # Versions, cuts and restarts

    @stateful.rule(service=st.sampled_from(SERVICES), timeout_s=st.sampled_from([1.0, 2.0]))
    def issue_a_version(self, service, timeout_s):
        version = self.issued[-1].version + 3
        self.issued.append(forwarding_world.moved(version, service, statement_timeout_s=timeout_s))

    @stateful.rule(instance=instances, behind=st.integers(0, 2))
    def apply_a_version(self, instance, behind):
        """Let an instance apply a version; it lacks later ones as long as it is cut off."""
        applied = self.issued[max(0, len(self.issued) - 1 - behind)]
        self.runner.run(self._configure(self._world(instance), applied))

    async def _configure(self, world, applied):
        world.directory.configure(applied)

    @stateful.precondition(lambda self: not self.open)
    @stateful.rule(instance=instances)
    def restart(self, instance):
        self.runner.run(self._restart(instance))
        self.shown[instance] = 2

    async def _restart(self, instance):
        if instance < GATEWAYS:
            forwarding_world.restart_gateway(self.fleet, instance, self.issued[-1])
            return
        self.session.close()
        forwarding_world.restart_entry(self.fleet, self.issued[-1])
        self.session = self.fleet.entry.open_session(OWN)
        self.own = {name: [] for name in SERVICES}

    @stateful.rule(numbers=st.sampled_from([(0,), (1,), (0, 1), ()]))
    def change_the_gateways(self, numbers):
        if numbers:
            self.fleet.plan_gateways(numbers)
        else:
            self.fleet.run_all_here()

    @stateful.rule(service=st.sampled_from(SERVICES), zone=st.sampled_from("bc"))
    def let_a_replica_lag(self, service, zone):
        group = self.fleet.groups.by_service[service]
        for each in "bc":
            server = group.servers[f"server-{each}"]
            server.not_receiving = each == zone
            group.catch_up(server)

    # Statements

    def _run(self, statement):
        """Run a statement, and return the instances that took part in it."""
        counts = [self._forwarded(gateway) for gateway in range(GATEWAYS)]
        self.requests += 1
        answer = self.runner.run(self._handle(ids.RequestId(f"q{self.requests}"), statement))
        assert answer.succeeded, answer
        ran = [GATEWAYS]
        for gateway, count in enumerate(counts):
            if self._forwarded(gateway) > count:
                ran.append(gateway)
        return ran

    async def _handle(self, request, statement):
        return await self.session.handle(request, statement, first_byte_s=clock.now_s())

    def _forwarded(self, gateway):
        registry = self.fleet.gateways[gateway].directory.registry
        return registry.total("statements_run_for_others")

    def _judge_versions(self, service, ran):
        """Check that a version as new as all that were shown allows where a statement ran."""
        least = max(self.shown[instance] for instance in ran)
        allowed = [
            each.version
            for each in self.issued
            if each.version >= least and each.routes[DATABASE].service == service
        ]
        assert allowed, f"{service} is the service of versions before {least} only"
        for instance in ran:
            self.shown[instance] = min(allowed)

    def _run_in_place(self, statement):
        ran = self._run(statement)
        request = f"q{self.requests}"
        service = self.fleet.groups.ran_at(request)
        if not self.open:
            self._judge_versions(service, ran)
        elif self.pinned is None:
            self._judge_versions(service, ran)
            self.pinned = service
        else:
            assert service == self.pinned
        return request, service

    @stateful.rule()
    def write(self):
        request, service = self._run_in_place(proxy_world.WRITE)
        if self.open:
            self.writes.append(request)
        else:
            self.own[service].append(request)

    @stateful.rule()
    def read(self):
        request, service = self._run_in_place(proxy_world.READ)
        group = self.fleet.groups.by_service[service]
        ran = [each for each in group.statements if each.request == request][-1]
        held = {each.data for each in group.servers[ran.server].log}
        missing = [each for each in self.own[service] if each not in held]
        assert not missing, f"{ran.server} of {service} lacks {missing}"

    @stateful.precondition(lambda self: not self.open)
    @stateful.rule()
    def begin(self):
        self._run(requests.Begin(read_only=False))
        self.open, self.pinned, self.writes = True, None, []

    @stateful.precondition(lambda self: self.open and self.pinned is not None)
    @stateful.rule()
    def commit(self):
        self._run(requests.Commit())
        self.own[self.pinned] += self.writes
        self.open = False


MACHINE_SETTINGS = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
Versions.TestCase.settings = MACHINE_SETTINGS
test_own_writes_are_read_and_no_instance_goes_back = Versions.TestCase


def _ignore_newer_routings(monkeypatch):
    monkeypatch.setattr(route_versions.LearnedRoutings, "learn", lambda *_: False)


def _do_not_name_the_service(monkeypatch):
    monkeypatch.setattr(
        relay_server._GatewaySession,
        "describe",
        lambda self, forwarded, answer: relay_codec.ForwardedAnswer(answer=answer),
    )


@pytest.mark.parametrize("switch_off", [_ignore_newer_routings, _do_not_name_the_service])
def test_the_machine_fails_without_a_part_of_the_mechanism(monkeypatch, switch_off):
    """Shows that the machine needs what instances learn, and the service that answers name."""
    switch_off(monkeypatch)
    settings = hypothesis.settings(
        MACHINE_SETTINGS, max_examples=300, phases=[hypothesis.Phase.generate]
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Versions, settings=settings)
