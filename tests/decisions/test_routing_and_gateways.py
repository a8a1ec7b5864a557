"""Tests for the order in which slots are tried, and for the choice of their gateways."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mustardswitch.internal import gateways, ids, outcomes, routing

LOCATIONS = [
    routing.SlotLocation(
        slot=ids.SlotId(slot),
        zone=ids.ZoneName(zone),
        region=ids.RegionName(region),
        leaving=False,
    )
    for slot, zone, region in (
        ("a", "puget-a", "puget"),
        ("b", "puget-b", "puget"),
        ("c", "willamette-a", "willamette"),
    )
]
READ = outcomes.StatementKind.READ


def _candidate_slots(kind=READ, zone="puget-a", region="puget", primary="a", replicas=True, **more):
    request = routing.RoutingRequest(
        kind=kind,
        zone=ids.ZoneName(zone),
        region=ids.RegionName(region),
        primary=primary,
        prefer_replicas=replicas,
        **more,
    )
    return routing.candidate_slots(LOCATIONS, request)


@pytest.mark.parametrize(
    "arguments, slots",
    [
        ({"zone": "puget-a"}, ["b", "a", "c"]),
        ({"zone": "puget-b"}, ["b", "a", "c"]),
        ({"zone": "willamette-a", "region": "willamette"}, ["c", "b", "a"]),
        ({"zone": "puget-a", "replicas": False}, ["a", "b", "c"]),
        ({"refused": frozenset({"b"})}, ["a", "c"]),
        ({"unreachable": frozenset({"b"})}, ["a", "c", "b"]),
        ({"kind": outcomes.StatementKind.WRITE}, ["a"]),
        ({"kind": outcomes.StatementKind.WRITE, "primary": None}, ["a", "b", "c"]),
        ({"kind": outcomes.StatementKind.BEGIN, "refused": frozenset({"a"})}, ["b", "c"]),
    ],
)
def test_orders_slots(arguments, slots):
    assert _candidate_slots(**arguments) == slots


def _candidates(count, zone="z"):
    return [
        gateways.Candidate(
            instance=ids.InstanceId(f"i{number}"),
            zone=ids.ZoneName(zone),
            region=ids.RegionName("r"),
        )
        for number in range(count)
    ]


@given(st.integers(2, 30), st.integers(0, 29))
def test_moves_only_the_slots_of_an_instance_that_leaves(count, leaving_index):
    slots = [f"slot{number}" for number in range(60)]
    candidates = _candidates(count)
    leaving = candidates[leaving_index % count].instance
    rest = [candidate for candidate in candidates if candidate.instance != leaving]
    for slot in slots:
        before = gateways.ranked(candidates, slot)[0]
        after = gateways.ranked(rest, slot)[0]
        assert after == before or before == leaving


def test_prefers_the_zone_of_the_slot_then_its_region():
    candidates = [
        *_candidates(3, zone="far"),
        gateways.Candidate(
            instance=ids.InstanceId("near"), zone=ids.ZoneName("near"), region=ids.RegionName("r")
        ),
    ]
    order = gateways.gateways_of_slot(
        candidates,
        slot=ids.SlotId("s"),
        zone=ids.ZoneName("near"),
        region=ids.RegionName("r"),
    )
    assert order[0] == "near"
    assert len(order) == 4


@given(st.integers(12, 500), st.integers(1, 7))
def test_shares_add_up_to_no_more_than_the_connections(connections, slot_count):
    share = gateways.statement_connections(connections=connections, slot_count=slot_count)
    controls = min(slot_count, 3) * slot_count
    assert share == 1 or share * slot_count + controls < connections


@pytest.mark.parametrize("key", ["\ud800", "a\udfffb"])
def test_ranks_instances_for_a_name_that_utf_8_rejects(key):
    """The failover watch of every instance ended again and again for such a service."""
    candidates = [
        gateways.Candidate(
            instance=ids.InstanceId(name), zone=ids.ZoneName("a"), region=ids.RegionName("north")
        )
        for name in ("one", "two")
    ]
    assert sorted(gateways.ranked(candidates, key)) == ["one", "two"]
