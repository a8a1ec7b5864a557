"""A statement runs for its caller, whatever changes, and is refused otherwise."""

import asyncio
import dataclasses

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from mustardswitch.internal import transaction_callers
from mustardswitch.proxy import requests, routes, session
from tests.common import forwarding_world, proxy_world, tenant_builders

TENANTS = (tenant_builders.ACME, tenant_builders.BOLT)
KEY = tenant_builders.ACME_KEY
NOBODY = routes.NO_TENANT
DATABASE = proxy_world.DATABASES[requests.RouteKind.PRIMARY]
REFUSED, REMOVED = "refused", "removed"
"""Identities of a caller that may run nothing, and of one whose database is removed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """What a version of the configuration says of the caller."""

    holder: str = TENANTS[0]
    has_tenants: bool = True
    public: bool = True
    has_route: bool = True

    def identity(self) -> str:
        """Return the tenant for whom the caller's statements run now."""
        if not self.has_route:
            return REMOVED
        if not self.has_tenants or (not self.holder and self.public):
            return NOBODY
        return self.holder or REFUSED

    def configuration(self, version: int) -> routes.Configuration:
        """Build the version."""
        built = forwarding_world.configuration(version, public=self.public)
        if self.has_tenants:
            built = dataclasses.replace(
                built,
                tenants={name: routes.Tenant(name=name) for name in TENANTS},
                tenant_by_key={KEY: self.holder} if self.holder else {},
            )
        return built if self.has_route else dataclasses.replace(built, routes={})


class Callers(stateful.RuleBasedStateMachine):
    """One session, here or at a gateway, between changes of the configuration."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.rules = Rules()
        self.version = 3
        self.open = False
        self.began: str | None = None
        """Tenant of the open transaction's first statement."""
        self.written = 0

    @stateful.initialize(forwards=st.booleans())
    def start(self, forwards):
        self.fleet = self.runner.run(self._start(forwards))
        self.caller = session.Session(
            directory=self.fleet.entry.directory, database=DATABASE, key=KEY
        )

    async def _start(self, forwards):
        first = self.rules.configuration(self.version)
        return await forwarding_world.Fleet(first, forwards=forwards).__aenter__()

    def teardown(self):
        self.runner.run(self._close())
        self.runner.close()

    async def _close(self):
        self.caller.close()
        self.fleet.close()

    @property
    def group(self):
        return self.fleet.groups.by_service[forwarding_world.OLD]

    def _run(self, statement):
        return self.runner.run(self.fleet.entry.run(self.caller, statement))

    @stateful.rule(
        rules=st.builds(
            Rules,
            holder=st.sampled_from([*TENANTS, NOBODY]),
            has_tenants=st.sampled_from([True, True, True, False]),
            public=st.booleans(),
            has_route=st.sampled_from([True, True, True, False]),
        )
    )
    def change_the_configuration(self, rules):
        self.rules = rules
        self.version += 1
        for world in (self.fleet.entry, *self.fleet.gateways):
            self.runner.run(self._configure(world))

    async def _configure(self, world):
        world.directory.configure(self.rules.configuration(self.version))

    @stateful.precondition(lambda self: not self.open)
    @stateful.rule()
    def begin(self):
        answer = self._run(requests.Begin(read_only=False))
        refused = self.rules.identity() == REFUSED
        assert answer.succeeded != refused
        self.open, self.began = not refused, None

    @stateful.rule(reads=st.booleans())
    def run_a_statement(self, reads):
        answer = self._run(proxy_world.READ if reads else proxy_world.WRITE)
        self._judge(answer)
        if answer.succeeded:
            ran = self.group.statements[-1]
            assert ran.link.tenant == self.rules.identity()
            if self.open:
                self.began = ran.link.tenant

    @stateful.precondition(lambda self: self.open)
    @stateful.rule()
    def commit(self):
        self._judge(self._run(requests.Commit()))
        self.open = False

    @stateful.precondition(lambda self: self.open)
    @stateful.rule()
    def roll_back(self):
        assert self._run(requests.Rollback()).succeeded
        self.open = False

    def _judge(self, answer):
        identity = self.rules.identity()
        if self.open and self.began not in (None, identity):
            expected = requests.Refusal.ABORTED
        elif identity == REMOVED:
            expected = requests.Refusal.UNKNOWN_DATABASE
        elif identity == REFUSED:
            expected = requests.Refusal.ABORTED if self.open else requests.Refusal.UNAUTHORIZED
        else:
            expected = None
        assert answer.refusal is expected, answer
        if self.open and expected is not None:
            self._run(requests.Rollback())
            self.open = False


MACHINE_SETTINGS = hypothesis.settings(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)
Callers.TestCase.settings = MACHINE_SETTINGS
test_a_statement_runs_for_its_caller_or_is_refused = Callers.TestCase


def test_the_machine_fails_without_the_comparison(monkeypatch):
    """Shows that the machine finds a transaction that goes on for another caller."""
    monkeypatch.setattr(transaction_callers, "find_change", lambda began, now: None)
    settings = hypothesis.settings(
        MACHINE_SETTINGS, max_examples=200, phases=[hypothesis.Phase.generate]
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(Callers, settings=settings)
