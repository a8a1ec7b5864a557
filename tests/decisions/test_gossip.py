"""Gossip: records spread, the newest wins, and the tables converge after a network cut."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from mustardswitch.internal import gossip, ids, membership
from tests.common import builders


def _record(key, version, payload=b"x"):
    return gossip.Record(key=key, version=version, payload=payload)


class FakeFleet:
    """Record tables and memberships that exchange messages by direct calls."""

    def __init__(self, zones, per_zone, seed):
        self.rng = random.Random(seed)
        self.nodes = {}
        self.cut = set()
        for zone in range(zones):
            for number in range(per_zone):
                name = ids.InstanceId(f"z{zone}-{number}")
                own = builders.member(name, f"z{zone}")
                table = gossip.RecordTable()
                node = membership.Membership(
                    own=own, table=table, rng=random.Random(f"{seed}{name}")
                )
                self.nodes[name] = node
        listed = [builders.member(name, node.own.zone, 0) for name, node in self.nodes.items()]
        for node in self.nodes.values():
            node.add_listed(listed, frozenset())

    def round(self):
        """Let every node exchange gossip with its partners once."""
        for name, node in self.nodes.items():
            for partner in node.choose_gossip_peers():
                if frozenset({node.own.zone, partner.zone}) not in self.cut:
                    self._exchange(name, partner.instance)

    def _exchange(self, first, second):
        one, other = self.nodes[first], self.nodes[second]
        self._send(other, one.table.rumours())
        self._send(one, other.table.rumours())
        if one.table.digest() != other.table.digest():
            ours, theirs = one.table.bucket_digests(), other.table.bucket_digests()
            self._send(other, one.table.records_in_differing_buckets(theirs, start_bucket=0))
            self._send(one, other.table.records_in_differing_buckets(ours, start_bucket=0))

    def _send(self, target, records):
        changed = target.table.merge(records, fleet_size=len(self.nodes))
        for record in changed:
            if record.key.startswith(membership.MEMBER_KIND):
                target.apply_record(record, now_s=0.0)

    def versions(self, key):
        """Return the set of versions of a record that the nodes hold; 0 for none."""
        return {
            node.table.get(key).version if node.table.get(key) else 0
            for node in self.nodes.values()
        }


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 9)), max_size=30))
def test_keeps_the_highest_version_in_any_order(updates):
    table = gossip.RecordTable()
    for key, version in updates:
        table.put(_record(key, version), fleet_size=3)
    for key in {key for key, _ in updates}:
        assert table.get(key).version == max(v for k, v in updates if k == key)


@given(st.lists(st.tuples(st.sampled_from("abcdefgh"), st.integers(1, 9)), max_size=40))
def test_equal_tables_have_equal_digests_whatever_their_history(updates):
    one, other = gossip.RecordTable(), gossip.RecordTable()
    for key, version in updates:
        one.put(_record(key, version), fleet_size=3)
    for key, version in reversed(updates):
        other.put(_record(key, version), fleet_size=3)
    assert one.digest() == other.digest()


def test_bounds_the_bytes_of_a_message():
    table = gossip.RecordTable()
    for number in range(500):
        table.put(_record(f"section/{number}", 1, b"y" * 100), fleet_size=3)
    sent = table.rumours(budget_bytes=2000)
    assert 0 < sum(record.size_bytes for record in sent) <= 2000


@settings(max_examples=15, deadline=None, derandomize=True)
@given(st.integers(0, 1000), st.sampled_from([(3, 2), (3, 9), (5, 16)]))
def test_reaches_every_instance_in_a_few_rounds(seed, shape):
    fleet = FakeFleet(*shape, seed)
    for _ in range(12):
        fleet.round()
    sender = next(iter(fleet.nodes.values()))
    sender.table.put(_record("section/x", 5), fleet_size=len(fleet.nodes))
    for _ in range(12):
        fleet.round()
    assert fleet.versions("section/x") == {5}


@settings(max_examples=15, deadline=None, derandomize=True)
@given(st.integers(0, 1000))
def test_never_goes_back_when_a_cut_off_zone_returns_with_an_old_version(seed):
    fleet = FakeFleet(3, 3, seed)
    for _ in range(12):
        fleet.round()
    fleet.cut = {frozenset({"z0", "z2"}), frozenset({"z1", "z2"})}
    names = list(fleet.nodes)
    fleet.nodes[names[-1]].table.put(_record("section/x", 4), fleet_size=9)
    fleet.nodes[names[0]].table.put(_record("section/x", 5), fleet_size=9)
    for _ in range(12):
        fleet.round()
    assert fleet.versions("section/x") == {4, 5}
    fleet.cut = set()
    for _ in range(12):
        fleet.round()
    assert fleet.versions("section/x") == {5}


def _pair():
    table = gossip.RecordTable()
    node = membership.Membership(own=builders.member("me", "z"), table=table, rng=random.Random(1))
    other = membership.encode_member(builders.member("other", "z"))
    table.put(other, fleet_size=2)
    node.apply_record(other, now_s=0.0)
    return node


def test_declares_dead_only_after_a_suspicion_that_is_not_refuted():
    node = _pair()
    node.ping_failed(ids.InstanceId("other"), now_s=1.0, now_ms=1000)
    assert node.expire_suspicions(now_s=1.0, now_ms=1000) == []
    refutation = membership.encode_member(builders.member("other", "z", incarnation=2))
    node.table.put(refutation, fleet_size=2)
    node.apply_record(refutation, now_s=1.2)
    assert node.expire_suspicions(now_s=9.0, now_ms=9000) == []
    node.ping_failed(ids.InstanceId("other"), now_s=10.0, now_ms=10_000)
    assert node.expire_suspicions(now_s=12.0, now_ms=12_000) == ["other"]
    assert ids.InstanceId("other") not in {item.instance for item in node.candidates()}


def test_refutes_a_claim_about_itself():
    node = _pair()
    claim = membership.encode_member(builders.member("me", "z", incarnation=7))
    node.apply_record(claim, now_s=0.0)
    assert node.own.incarnation == 8
    assert node.table.get("member/me").version > claim.version


def test_a_leaving_instance_is_no_candidate_for_a_gateway():
    node = _pair()
    assert len(node.candidates()) == 2
    node.add_listed([], frozenset({ids.InstanceId("other")}))
    assert [item.instance for item in node.candidates()] == ["me"]
    node.announce_leaving()
    assert node.candidates() == []


def test_the_list_never_declares_an_instance_dead():
    node = _pair()
    node.add_listed([], frozenset())
    assert len(node.candidates()) == 2
