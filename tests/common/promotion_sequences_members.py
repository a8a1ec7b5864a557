"""Sequences of the machine for promotions with servers that lose their entries, leave or end."""

from tests.common.promotion_sequences import A, B, C, D
from tests.proxy import test_promotion_rule_machine as rule_machine


def _change_after_a_restart(machine: rule_machine.Promotions) -> None:
    """Restart all instances, let the primary crash, and change it."""
    machine.restart_all_instances()
    machine.crash_or_return(A)
    machine.change_primary(0)


def _change_beside_a_silent_server(machine: rule_machine.Promotions) -> None:
    """Cut the holder off from a replica, let the primary crash, and change it."""
    machine.cut_or_heal(0, B)
    machine.crash_or_return(A)
    machine.change_primary(0)


def _lose_entry(machine: rule_machine.Promotions) -> None:
    machine.expire_entry(B)
    machine.read_store(0)


def replica_without_an_entry_confirms_beyond_a_restart(machine: rule_machine.Promotions) -> None:
    """It is cut off from the store only; the instances that knew it have ended."""
    _lose_entry(machine)
    machine.let_retention_pass(0)
    machine.commit_to(0, B)
    _change_after_a_restart(machine)


def silent_replica_without_an_entry_confirmed(machine: rule_machine.Promotions) -> None:
    """It is cut off from the store and from the holder."""
    _lose_entry(machine)
    machine.commit_to(0, B)
    machine.restart_all_instances()
    _change_beside_a_silent_server(machine)


def ended_replica_confirmed_alone(machine: rule_machine.Promotions) -> None:
    """No other replica has its last commit when an instance finds that it has ended."""
    machine.commit_to(0, B)
    _lose_entry(machine)
    machine.crash_or_return(B)
    machine.cover(0, B)
    _change_after_a_restart(machine)


def lost_replica_confirmed_alone(machine: rule_machine.Promotions) -> None:
    """The primary will return with the commit."""
    machine.commit_to(0, B)
    machine.lose_or_start_anew(B)
    _lose_entry(machine)
    machine.let_retention_pass(0)
    _change_after_a_restart(machine)


def covered_replica_runs_again(machine: rule_machine.Promotions) -> None:
    """It gives the holder no answer."""
    _lose_entry(machine)
    machine.crash_or_return(B)
    machine.cover(0, B)
    machine.crash_or_return(B)
    machine.commit_to(0, B)
    machine.restart_all_instances()
    _change_beside_a_silent_server(machine)


def instance_that_acknowledged_tells_nothing(machine: rule_machine.Promotions) -> None:
    """It is cut off from the holder, and may send no commits any more."""
    machine.commit_to(1, B)
    machine.cut_or_heal_datagrams(1)
    machine.cut_or_heal(0, B)
    machine.crash_or_return(A)
    machine.prepare(0)
    machine.let_period_pass()
    machine.change_primary(0)


def instances_that_acknowledged_have_ended(machine: rule_machine.Promotions) -> None:
    machine.commit_to(1, B)
    machine.restart_all_instances()
    _change_beside_a_silent_server(machine)


def covered_replica_runs_and_ends_again(machine: rule_machine.Promotions) -> None:
    """It may return with the commit that it confirmed in between."""
    _lose_entry(machine)
    machine.crash_or_return(B)
    machine.cover(0, B)
    machine.crash_or_return(B)
    machine.commit_to(0, B)
    machine.crash_or_return(B)
    _change_after_a_restart(machine)


def covered_replica_was_replaced_and_runs_again(machine: rule_machine.Promotions) -> None:
    """It is cut off from the store only, and no record names it any more."""
    machine.start_server()
    machine.write_entry(D)
    _lose_entry(machine)
    machine.crash_or_return(B)
    machine.cover(0, B)
    machine.drop_covered(0)
    machine.crash_or_return(B)
    machine.commit_to(0, B)
    _change_after_a_restart(machine)


def replica_confirms_alone_and_leaves(machine: rule_machine.Promotions) -> None:
    """The primary will return with the commit."""
    machine.commit_to(0, B)
    machine.leave(B)
    machine.leave(B)
    _change_after_a_restart(machine)


def stale_primary_confirms_as_a_replica_and_ends(machine: rule_machine.Promotions) -> None:
    """Its successor starts anew, and the holder has read of neither."""
    machine.change_primary(0)
    machine.commit_to(0, A)
    machine.crash_or_return(A)
    machine.lose_or_start_anew(C)
    machine.lose_or_start_anew(C)
    machine.change_primary(0)


def answer_is_lost_and_the_confirming_replica_is_silent(machine: rule_machine.Promotions) -> None:
    machine.commit(1)
    machine.cut_or_heal(1, A)
    machine.deliver(B)
    _change_beside_a_silent_server(machine)


def primary_crashes(machine: rule_machine.Promotions) -> None:
    """All others answer."""
    machine.commit_to(0, B)
    machine.crash_or_return(A)
    machine.change_primary(0)


def primary_crashes_beside_a_covered_server(machine: rule_machine.Promotions) -> None:
    machine.commit_to(0, B)
    machine.deliver(C)
    machine.lose_or_start_anew(B)
    _lose_entry(machine)
    machine.cover(0, B)
    _change_after_a_restart(machine)


def primary_crashes_beside_a_silent_server(machine: rule_machine.Promotions) -> None:
    """All that was acknowledged is known."""
    machine.commit_to(0, B)
    machine.deliver(C)
    _change_beside_a_silent_server(machine)


def primary_runs_and_leaves(machine: rule_machine.Promotions) -> None:
    machine.commit_to(0, B)
    machine.deliver(C)
    machine.leave(A)
    machine.read_store(0)
    machine.change_primary(0)
