"""Messages about rate limits between instances, and what the entry instance does with refusals."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import change_log, clock, ids
from mustardswitch.internal.tenants import handover, limits
from mustardswitch.peers import datagrams, errors, limit_loans, relay_client, relay_codec
from mustardswitch.platform import instance, settings
from mustardswitch.proxy import coordination, requests, session_opening
from mustardswitch_standins import fleet
from tests.common import proxy_world, tenant_builders
from tests.platform import test_records_and_settings
from tests.proxy import test_forwarding

ACME = tenant_builders.ACME
amounts = st.floats(0, 1e6)
answers = st.one_of(
    st.builds(limits.Loan, rate_per_s=amounts, capacity=amounts, level=amounts, until_s=amounts),
    st.builds(handover.Ceiling, fraction=amounts, clear_in_s=amounts),
    st.none(),
)
questions = st.one_of(
    st.builds(limit_loans.LoanRequest, tenant=st.text(), borrower=st.text(), wanted_per_s=amounts),
    st.builds(limit_loans.CeilingRequest, tenant=st.text()),
)


@given(request=questions, answer=answers)
def test_messages_about_limits_arrive_as_they_were_sent(request, answer):
    body = limit_loans.encode_request(request)[relay_codec.LENGTH_BYTES :]
    assert limit_loans.is_request(body)
    assert limit_loans.decode_request(body) == request
    body = limit_loans.encode_answer(answer)[relay_codec.LENGTH_BYTES :]
    assert limit_loans.decode_answer(body) == answer


@given(body=st.one_of(st.binary(), st.binary().map(lambda rest: b'{"loan":{' + rest)))
def test_messages_that_cannot_be_read_raise_one_error(body):
    for decode in (limit_loans.decode_request, limit_loans.decode_answer):
        with contextlib.suppress(errors.InvalidFrameError):
            decode(body)


def test_a_loan_without_an_end_is_rejected():
    body = b'{"loan":{"rate_per_s":1,"capacity":1,"level":1,"until_s":Infinity}}'
    with pytest.raises(errors.InvalidFrameError):
        limit_loans.decode_answer(body)


def test_a_statement_is_no_request_about_limits():
    sent = relay_codec.ForwardedStatement(
        request=ids.RequestId("r"),
        database=ids.DatabaseName('{"limit":'),
        command=requests.Commit(),
        age_s=0.0,
        values={},
    )
    body = relay_codec.encode_forwarded(sent)[relay_codec.LENGTH_BYTES :]
    assert not limit_loans.is_request(body)


class TenantFleet(test_forwarding.Fleet):
    """An entry instance and a gateway with tenants."""

    def __init__(self, **limit):
        super().__init__()
        plans = dict(self.entry.directory.plans)
        for world in (self.gateway, self.entry):
            world.directory.configure(tenant_builders.configuration(**limit))
        self.entry.directory.plans = plans
        self.gateway.directory.limits.started_s -= 1000.0

    def open(self):
        return session_opening.open_session(
            self.entry.directory,
            proxy_world.DATABASES[requests.RouteKind.PRIMARY],
            tenant_builders.ACME_KEY,
        )

    @property
    def gateway_limits(self):
        return self.gateway.directory.limits


async def test_an_instance_borrows_over_the_peers_port():
    async with TenantFleet(rate_per_s=20.0, burst=10.0) as pair:
        lender = pair.gateway_limits
        lender.answer(limit_loans.CeilingRequest(tenant=ACME))
        known = lender.tenants[ACME].limit
        known.grant.note_cleared(clock.now_s())
        known.advance(clock.now_s())
        known.share.level = 8.0
        exchange = limit_loans.LimitExchange(client=relay_client.RelayClient())
        loan = await exchange.ask(
            pair.address,
            limit_loans.LoanRequest(tenant=ACME, borrower=ids.InstanceId("one"), wanted_per_s=15.0),
        )
        assert loan.rate_per_s == 15.0 and loan.level >= 8.0
        whole = 10.0 + limits.MIN_CAPACITY
        assert loan.capacity + known.share.capacity == pytest.approx(whole)
        assert loan.level + known.share.level <= whole
        assert 0 < loan.until_s <= handover.LOAN_S
        assert known.lent_per_s == 15.0
        ceiling = await exchange.ask(pair.address, limit_loans.CeilingRequest(tenant=ACME))
        assert ceiling.fraction == 1.0 and ceiling.clear_in_s > 0
        exchange.client.close()


async def test_an_unreachable_lender_is_one_error():
    exchange = limit_loans.LimitExchange(client=relay_client.RelayClient())
    address = datagrams.PeerAddress(host="127.0.0.1", port=fleet.free_ports(1)[0])
    with pytest.raises(errors.PeerError):
        await exchange.ask(address, limit_loans.CeilingRequest(tenant=ACME))


async def _run_until_refused(pair, caller):
    for _ in range(100):
        answer = await pair.entry.run(caller, proxy_world.WRITE)
        if not answer.succeeded:
            return answer
    raise AssertionError("no operation was refused")


async def test_the_entry_instance_refuses_until_the_gateway_has_the_next_operation():
    async with TenantFleet(rate_per_s=0.5, burst=1.0) as pair:
        caller = pair.open()
        refused = await _run_until_refused(pair, caller)
        assert refused.refusal is requests.Refusal.OVERLOADED and refused.retry_s > 0.1
        counted = pair.gateway.directory.registry.total("tenant_operations_refused", ACME)
        again = await pair.entry.run(caller, proxy_world.WRITE)
        assert again.refusal is requests.Refusal.OVERLOADED
        total = pair.gateway.directory.registry.total("tenant_operations_refused", ACME)
        assert total == counted == 1
        assert all(until_s <= clock.now_s() + 0.1 for until_s in pair.forwarder.refusals.values())


async def test_a_gateway_that_has_left_sends_what_it_may_not_run_to_the_next_one():
    async with TenantFleet(rate_per_s=0.5, burst=1.0) as pair:
        caller = pair.open()
        await _run_until_refused(pair, caller)
        pair.forwarder.refusals.clear()
        pair.gateway_limits.has_left = True
        before = len(pair.gateway.group.executed)
        # No other gateway is left, so the entry instance runs it itself.
        answer = await pair.entry.run(caller, proxy_world.WRITE)
        assert answer.refusal is not requests.Refusal.LEAVING
        assert len(pair.gateway.group.executed) - before == answer.succeeded
        assert pair.forwarder.recent_failures.active(now_s=clock.now_s())


# Leaving


class Store:
    """Notes whether the instance still spent its shares when it removed its registration."""

    era = 0
    era_since_s = 0.0

    def __init__(self):
        self.left_before_revoking = None

    async def grant_lease(self, ttl_s):
        return 7

    async def revoke_lease(self, lease):
        self.left_before_revoking = self.coordination.leaving

    async def change(self, *, expected, puts=(), deletes=()):
        return 1


async def test_an_instance_that_leaves_gives_up_its_shares_before_its_registration():
    """Guards against two homes that spend one share around a planned stop."""
    world = proxy_world.World()
    store = Store()
    store.coordination = coordination.Coordination(
        client=store,
        directory=world.directory,
        zone=ids.ZoneName("a"),
        peer_address=datagrams.PeerAddress(host="h", port=1),
    )
    await store.coordination._register()
    assert not store.coordination.leaving
    await store.coordination.leave()
    assert store.left_before_revoking


def test_no_share_is_spent_while_leaving_or_by_an_old_list(tmp_path):
    built = instance.Instance(
        config=settings.parse_settings(test_records_and_settings.SETTINGS, source=str(tmp_path))
    )
    assert built._valid_until_s() < clock.now_s()
    built.records.publish(change_log.Listing(items=(), revision=1, complete=True))
    left_s = built._valid_until_s() - clock.now_s()
    assert handover.LIST_MAX_AGE_S - 1.0 < left_s <= handover.LIST_MAX_AGE_S
    built.coordination.leaving = True
    assert built._valid_until_s() < clock.now_s()
