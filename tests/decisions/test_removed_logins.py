"""A login that was removed from the document runs nothing more on its open connections."""

import types

import pytest

from mustardswitch import metrics
from mustardswitch.callers import errors, session
from mustardswitch.instance import router
from mustardswitch.internal import ids, outcomes, statements

SLOT = ids.SlotId("slot-1")


class Document:
    """Logins by name."""

    databases: dict = {}

    def __init__(self, *names: str) -> None:
        self.names = set(names)

    @property
    def has_callers(self) -> bool:
        return bool(self.names)

    def find_caller(self, name: str) -> str | None:
        return name if name in self.names else None


class Router:
    """Records what would be sent to a gateway."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self.sent: list[str] = []

    async def execute_in_transaction(self, gateway, statement):
        self.sent.append(statement.sql)
        return outcomes.StatementReply(outcome=outcomes.Outcome.RAN)


def _session(document: Document, *, in_transaction: bool = False) -> session.CallerSession:
    entry = types.SimpleNamespace(router=Router(document), registry=metrics.Registry())
    opened = session.CallerSession(
        entry=entry, token_codec=None, classifier=statements.StatementClassifier()
    )
    opened.username = "shop"
    opened.connection = types.SimpleNamespace(status_flags=None)
    opened.completion = types.SimpleNamespace()
    if in_transaction:
        opened.transaction = session.SessionTransaction(
            transaction_id=ids.TransactionId("t"),
            database=ids.DatabaseName("orders"),
            gateway=router.TransactionGateway(
                instance=ids.InstanceId("one"), generation=0, slot=SLOT
            ),
        )
    return opened


@pytest.mark.parametrize("sql", ["COMMIT", "UPDATE loaves SET name = 'oat'", "SELECT 1"])
async def test_the_transaction_of_a_removed_login_is_rolled_back(sql):
    """Guards against a transaction that goes on for a login that was taken away."""
    caller = _session(Document("shop", "admin"), in_transaction=True)
    caller.entry.router.document = Document("admin")
    with pytest.raises(errors.CallerError) as raised:
        await caller.handle_query(sql, {})
    assert raised.value.code == errors.CallerErrorCode.NOT_RUN_TRANSACTION_LOST
    assert caller.entry.router.sent == ["ROLLBACK"]
    assert caller.transaction is None
    with pytest.raises(errors.CallerError) as raised:
        await caller.handle_query(sql, {})
    assert raised.value.code == errors.CallerErrorCode.NOT_RUN_REFUSED
    assert caller.entry.router.sent == ["ROLLBACK"]


@pytest.mark.parametrize("document", [Document("shop"), Document()], ids=["listed", "no logins"])
async def test_a_login_that_is_listed_or_needs_not_be_goes_on(document):
    caller = _session(document, in_transaction=True)
    await caller.handle_query("COMMIT", {})
    assert caller.entry.router.sent == ["COMMIT"]
