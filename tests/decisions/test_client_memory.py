"""What is held for clients, and which connection is closed when it is too much."""

import pytest

from mustardswitch.internal.admission import descriptors, memory


def _victims(held, limit_bytes, in_transaction=()):
    budget = memory.Budget(limit_bytes=limit_bytes)
    for key, held_bytes in held.items():
        budget.hold(key, held_bytes)
    return budget.victims(lambda key: key in in_transaction)


def test_the_connection_that_holds_most_is_closed_first():
    assert _victims({"a": 300_000, "b": 900_000, "c": 500_000}, 1_600_000) == ["b"]


def test_open_transactions_and_ordinary_connections_are_closed_last():
    held = {"tx": 900_000, "large": 100_000, "small": 60_000, "small tx": 61_000}
    assert _victims(held, 1, in_transaction={"tx", "small tx"}) == [
        "large",
        "tx",
        "small",
        "small tx",
    ]


def test_nothing_is_closed_at_the_limit():
    assert _victims({"a": 500_000, "b": 500_000}, 1_000_000) == []


def test_what_is_dropped_or_held_again_is_counted_once():
    budget = memory.Budget(limit_bytes=100)
    budget.hold("a", 70)
    budget.hold("a", 60)
    budget.hold("b", 30)
    budget.drop("b")
    budget.drop("b")
    assert budget.total_bytes == 60
    assert budget.has_room(40) and not budget.has_room(41)


def test_a_statement_larger_than_the_budget_runs_alone():
    """Guards against instances so small that a legal statement is never served."""
    assert memory.Budget(limit_bytes=1).has_room(memory.statement_bytes(b"\xff" * (1 << 20)))


@pytest.mark.parametrize("memory_mb", [50, 100, 200, 512, 4000])
def test_the_shares_leave_the_process_what_it_needs(memory_mb):
    shares = memory.divide(memory_mb * memory.MB)
    clients = shares.held + shares.served + shares.peers
    assert clients <= max(memory_mb * memory.MB - memory.OWN_BYTES, 0.4 * memory_mb * memory.MB)


def test_the_smallest_instance_holds_2000_sessions_and_a_large_message_of_some():
    shares = memory.divide(200 * memory.MB)
    assert shares.held > 2000 * memory.CONNECTION_BYTES + 8 * (1 << 20)
    assert memory.connections_allowed(shares.held) > 2000
    assert descriptors.callers_allowed(max_fds=4300, others=1000) > 2000


def test_few_descriptors_still_accept_some_connections():
    assert descriptors.callers_allowed(max_fds=20, others=100) == descriptors.MIN_CONNECTIONS
    assert descriptors.peers_allowed(8) == descriptors.MIN_CONNECTIONS
