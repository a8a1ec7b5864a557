"""Tests for leadership evidence, listed servers, connection shares and suspicion of a primary."""

from mustardswitch.internal import (
    gateways,
    ids,
    leadership,
    registration_list,
    suspicion,
)
from mustardswitch.internal.admission import connection_shares
from mustardswitch.internal.placement import forwarding

OLD, NEW = ids.ServerId("old"), ids.ServerId("new")


def test_the_latest_evidence_names_the_leader():
    evidence = leadership.Leadership()
    evidence.note_leading(OLD, at_s=1.0)
    evidence.note_leading(NEW, at_s=2.0)
    assert evidence.leader({OLD, NEW}) == NEW


def test_a_late_answer_of_the_former_leader_does_not_bring_it_back():
    evidence = leadership.Leadership()
    evidence.note_leading(NEW, at_s=2.0)
    evidence.note_leading(OLD, at_s=1.9)
    assert evidence.leader({OLD, NEW}) == NEW


def test_a_refusal_outweighs_earlier_evidence_only():
    evidence = leadership.Leadership()
    evidence.note_leading(OLD, at_s=1.0)
    evidence.note_not_leading(OLD, at_s=1.5)
    assert evidence.leader({OLD}) is None
    evidence.note_leading(OLD, at_s=2.0)
    assert evidence.leader({OLD}) == OLD


def test_entries_that_expired_in_an_outage_are_kept_until_the_store_has_been_back_for_a_while():
    registrations = registration_list.RegistrationList()
    registrations.put("a", 1)
    registrations.note_outage()
    registrations.remove("a", 5.0)
    registrations.note_recovery(6.0)
    assert not registrations.expire(6.0 + registration_list.REREGISTRATION_S - 0.1)
    assert "a" in registrations.entries
    assert registrations.expire(6.0 + registration_list.REREGISTRATION_S)
    assert "a" not in registrations.entries


def test_an_entry_that_comes_back_after_an_outage_stays():
    registrations = registration_list.RegistrationList()
    registrations.put("a", 1)
    registrations.note_outage()
    registrations.note_recovery(6.0)
    registrations.remove("a", 6.5)
    registrations.put("a", 2)
    assert not registrations.expire(20.0)
    assert registrations.entries == {"a": 2}


def test_an_entry_removed_while_the_store_answers_is_removed_at_once():
    registrations = registration_list.RegistrationList()
    registrations.put("a", 1)
    registrations.remove("a", 5.0)
    assert registrations.entries == {}


def test_shares_do_not_grow_when_registrations_expire_in_an_outage_of_the_store():
    shares = connection_shares.ConnectionShares(started_s=0.0)
    shares.note_instances(9, now_s=10.0)
    shares.note_instances(4, now_s=12.0)
    assert shares.share(connections=23, now_s=12.0) == 2
    assert shares.share(connections=23, now_s=12.0 + connection_shares.COUNT_RETENTION_S) == 5


def test_shares_shrink_at_once_when_instances_are_added():
    shares = connection_shares.ConnectionShares(started_s=0.0)
    shares.note_instances(4, now_s=10.0)
    shares.note_instances(20, now_s=10.1)
    assert shares.share(connections=23, now_s=10.1) == 1


def test_an_instance_that_starts_alone_assumes_others():
    shares = connection_shares.ConnectionShares(started_s=0.0)
    shares.note_instances(1, now_s=0.0)
    assert shares.share(connections=23, now_s=1.0) == 1


def test_instances_back_from_a_loss_of_power_leave_room_for_their_former_connections():
    """Reproduces the scenario Solarloaf trouble-2: a power failure while nine instances held 18 of
    23 connections to a server. The server keeps those connections for a while, so the restarted
    instances together may open only the remaining ones, with at least one gateway in each zone.
    """
    shares = connection_shares.ConnectionShares(started_s=0.0)
    shares.note_instances(9, now_s=0.2)
    candidates = [
        gateways.Candidate(
            instance=ids.InstanceId(f"{zone}-{number}"),
            zone=ids.ZoneName(zone),
            region=ids.RegionName("north"),
        )
        for zone, count in (("a", 4), ("b", 3), ("c", 2))
        for number in range(count)
    ]
    plan = forwarding.plan(
        candidates,
        service=ids.ServiceName("orders"),
        connections=shares.usable(connections=23, now_s=0.2),
        instances=shares.instances(now_s=0.2),
    )
    free = 23 - 18
    assert plan.gateway_count <= free
    assert all(plan.gateways_by_zone.values())
    assert shares.usable(connections=23, now_s=connection_shares.STALE_CONNECTION_S) == 21


def _contact(**changes):
    fields = {
        "unanswered_s": 0.0,
        "failed_probes": 1,
        "refused_connections": 0,
        "listed": True,
        "other_answered_s": 0.1,
        "stall_s": 0.0,
    }
    return suspicion.PrimaryContact(**{**fields, **changes})


def test_a_silent_primary_is_suspected():
    assert suspicion.suspects(_contact(unanswered_s=0.6))
    assert suspicion.suspects(_contact(refused_connections=2))
    assert not suspicion.suspects(_contact(unanswered_s=0.3))


def test_one_lost_answer_is_probed_and_not_taken_for_silence():
    lost = _contact(unanswered_s=3.0, failed_probes=0)
    assert suspicion.needs_probe(lost)
    assert not suspicion.suspects(lost)


def test_an_instance_that_was_stalled_suspects_no_primary():
    assert not suspicion.suspects(_contact(unanswered_s=4.0, stall_s=4.0))


def test_an_instance_that_no_server_answers_suspects_no_primary():
    assert not suspicion.suspects(_contact(unanswered_s=4.0, other_answered_s=3.0))


def test_a_single_cut_instance_of_many_changes_no_primary():
    assert not suspicion.votes_suffice(votes=1, instances=6)
    assert suspicion.votes_suffice(votes=2, instances=6)
    assert suspicion.votes_suffice(votes=1, instances=1)
