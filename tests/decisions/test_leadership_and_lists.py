"""Who leads, which servers are listed, and how connections are shared."""

from mustardswitch.internal import (
    connection_shares,
    forwarding,
    gateways,
    ids,
    leadership,
    registration_list,
    suspicion,
)

OLD, NEW = ids.ServerId("old"), ids.ServerId("new")


def test_the_latest_evidence_names_the_leader():
    known = leadership.Leadership()
    known.note_leading(OLD, at_s=1.0)
    known.note_leading(NEW, at_s=2.0)
    assert known.leader({OLD, NEW}) == NEW


def test_a_late_answer_of_the_former_leader_does_not_bring_it_back():
    known = leadership.Leadership()
    known.note_leading(NEW, at_s=2.0)
    known.note_leading(OLD, at_s=1.9)
    assert known.leader({OLD, NEW}) == NEW


def test_a_refusal_outweighs_earlier_evidence_only():
    known = leadership.Leadership()
    known.note_leading(OLD, at_s=1.0)
    known.note_not_leading(OLD, at_s=1.5)
    assert known.leader({OLD}) is None
    known.note_leading(OLD, at_s=2.0)
    assert known.leader({OLD}) == OLD


def test_entries_that_lapsed_in_an_outage_are_kept_until_the_store_is_back_for_a_while():
    listed = registration_list.RegistrationList()
    listed.put("a", 1)
    listed.note_outage()
    listed.remove("a", 5.0)
    listed.note_recovery(6.0)
    assert not listed.expire(6.0 + registration_list.REREGISTRATION_S - 0.1)
    assert "a" in listed.entries
    assert listed.expire(6.0 + registration_list.REREGISTRATION_S)
    assert "a" not in listed.entries


def test_an_entry_that_comes_back_after_an_outage_stays():
    listed = registration_list.RegistrationList()
    listed.put("a", 1)
    listed.note_outage()
    listed.note_recovery(6.0)
    listed.remove("a", 6.5)
    listed.put("a", 2)
    assert not listed.expire(20.0)
    assert listed.entries == {"a": 2}


def test_an_entry_removed_while_the_store_is_well_is_gone_at_once():
    listed = registration_list.RegistrationList()
    listed.put("a", 1)
    listed.remove("a", 5.0)
    assert listed.entries == {}


def test_shares_do_not_grow_when_registrations_lapse_with_the_store():
    shares = connection_shares.ConnectionShares(started_s=0.0)
    shares.note_instances(9, now_s=10.0)
    shares.note_instances(4, now_s=12.0)
    assert shares.share(connections=23, now_s=12.0) == 2
    assert shares.share(connections=23, now_s=12.0 + connection_shares.MEMORY_S) == 5


def test_shares_shrink_at_once_when_instances_come():
    shares = connection_shares.ConnectionShares(started_s=0.0)
    shares.note_instances(4, now_s=10.0)
    shares.note_instances(20, now_s=10.1)
    assert shares.share(connections=23, now_s=10.1) == 1


def test_an_instance_that_starts_alone_assumes_others():
    shares = connection_shares.ConnectionShares(started_s=0.0)
    shares.note_instances(1, now_s=0.0)
    assert shares.share(connections=23, now_s=1.0) == 1


def test_instances_back_from_a_loss_of_power_leave_room_for_their_former_connections():
    """Replays Solarloaf trouble-2: nine instances held 18 of 23 connections as the power went."""
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
    assert shares.usable(connections=23, now_s=connection_shares.LINGER_S) == 21


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


def test_an_instance_that_was_held_up_suspects_nobody():
    assert not suspicion.suspects(_contact(unanswered_s=4.0, stall_s=4.0))


def test_an_instance_that_hears_no_server_suspects_nobody():
    assert not suspicion.suspects(_contact(unanswered_s=4.0, other_answered_s=3.0))


def test_a_single_cut_instance_of_many_changes_no_primary():
    assert not suspicion.votes_suffice(votes=1, instances=6)
    assert suspicion.votes_suffice(votes=2, instances=6)
    assert suspicion.votes_suffice(votes=1, instances=1)
