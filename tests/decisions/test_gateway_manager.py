"""The gateways of an instance while they are released to other instances."""

import asyncio

import pytest

from mustardswitch import metrics
from mustardswitch.backends import transactions
from mustardswitch.document import sections
from mustardswitch.instance import gateway_manager
from mustardswitch.internal import ids, outcomes
from tests.common import builders

OWNER = transactions.LOCAL_OWNER
OPEN = ids.TransactionId("open")


class StubGateway:
    """A gateway at which one transaction is open until it is committed."""

    def __init__(self) -> None:
        self.open_transactions = transactions.OpenTransactions()
        self.open_transactions.add(
            transactions.OpenTransaction(
                transaction=OPEN,
                owner=OWNER,
                pool=None,
                used=None,
                term=ids.Term(1),
                last_used_s=0.0,
            )
        )
        self.ran = []
        self.closed = False
        self.rolled_back = []

    @property
    def is_idle(self):
        return not self.open_transactions.by_id

    async def execute(self, request, *, owner):
        self.ran.append(request.kind)
        if request.kind is outcomes.StatementKind.COMMIT:
            self.open_transactions.by_id.clear()
        return outcomes.StatementReply(outcome=outcomes.Outcome.RAN)

    def roll_back_owner(self, owner):
        self.rolled_back.append(owner)
        self.open_transactions.by_id.clear()

    async def close(self):
        self.closed = True


@pytest.fixture
async def released():
    """A manager that has released its only gateway, and the gateway."""
    manager = gateway_manager.GatewayManager(
        instance=ids.InstanceId("i"),
        login=None,
        environment=None,
        on_view=lambda view: None,
        registry=metrics.Registry(),
    )
    gateway = StubGateway()
    manager.gateways[builders.DATABASE] = gateway
    await manager.reconcile(sections.Document(sections={}), [], {})
    assert manager.gateways == {}
    yield manager, gateway
    await manager.close()


def _request(kind, transaction=OPEN):
    return outcomes.StatementRequest(
        database=builders.DATABASE,
        slot=builders.SLOTS[0],
        sql="",
        kind=kind,
        deadline_s=1.0,
        transaction=transaction,
    )


async def test_open_transaction_runs_on_after_its_gateway_is_released(released):
    manager, gateway = released
    for kind in (outcomes.StatementKind.WRITE, outcomes.StatementKind.COMMIT):
        reply = await manager.execute(_request(kind), owner=OWNER)
        assert reply.outcome is outcomes.Outcome.RAN
    assert gateway.ran == [outcomes.StatementKind.WRITE, outcomes.StatementKind.COMMIT]


async def test_is_not_idle_while_a_released_gateway_has_an_open_transaction(released):
    manager, gateway = released
    assert not manager.is_idle
    await manager.execute(_request(outcomes.StatementKind.COMMIT), owner=OWNER)
    assert manager.is_idle
    async with asyncio.timeout(2.0):
        while not gateway.closed:
            await asyncio.sleep(0.01)


async def test_rolls_back_at_a_released_gateway_when_the_owner_disconnects(released):
    manager, gateway = released
    owner = transactions.TransactionOwner(name="peer")
    manager.peer_disconnected(owner)
    assert gateway.rolled_back == [owner]


async def test_closes_released_gateways(released):
    manager, gateway = released
    await manager.close()
    assert gateway.closed


async def test_statement_of_an_unknown_transaction_is_rejected_as_rolled_back(released):
    manager, _ = released
    request = _request(outcomes.StatementKind.WRITE, ids.TransactionId("other"))
    reply = await manager.execute(request, owner=OWNER)
    assert reply.reason is outcomes.Reason.TRANSACTION_LOST


async def test_released_gateway_starts_no_new_work(released):
    manager, gateway = released
    reply = await manager.execute(_request(outcomes.StatementKind.WRITE, None), owner=OWNER)
    assert reply.reason is outcomes.Reason.UNREACHABLE
    assert gateway.ran == []
