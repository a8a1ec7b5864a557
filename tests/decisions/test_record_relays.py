"""Which instances follow the store, and what the others learn from them."""

import dataclasses
import math

import hypothesis
import pytest
from hypothesis import strategies as st

from mustardswitch.internal import change_log, gateways, record_relays, revisions
from mustardswitch.peers import errors, record_codec, relay_codec
from tests.common import builders


@pytest.mark.parametrize("zone_instances", [4, 12, 33, 173])
def test_a_zone_has_enough_relays_for_its_followers(zone_instances):
    candidates = builders.candidates(zones=1, per_zone=zone_instances)
    chosen = record_relays.relays_in_zone(candidates, candidates[0].zone)
    followers = zone_instances - len(chosen)
    assert len(chosen) >= record_relays.MIN_RELAYS
    assert math.ceil(followers / len(chosen)) <= record_relays.FOLLOWERS_PER_RELAY


def test_a_fleet_of_1036_instances_has_few_store_followers():
    candidates = builders.candidates(zones=6, per_zone=173)
    store_followers = sum(
        len(record_relays.relays_in_zone(candidates, zone))
        for zone in {candidate.zone for candidate in candidates}
    )
    assert store_followers <= 1036 / record_relays.FOLLOWERS_PER_RELAY + 6


def test_every_instance_of_a_small_zone_follows_the_store():
    candidates = builders.candidates(zones=3, per_zone=3)
    assert not record_relays.relays_in_zone(candidates, candidates[0].zone)
    for candidate in candidates:
        assert not record_relays.relay_order(
            candidates, instance=candidate.instance, zone=candidate.zone, avoided=()
        )


def test_followers_spread_over_relays_and_pass_over_avoided_ones():
    candidates = builders.candidates(zones=1, per_zone=40)
    zone = candidates[0].zone
    chosen = record_relays.relays_in_zone(candidates, zone)
    first = {}
    for candidate in candidates:
        order = record_relays.relay_order(
            candidates, instance=candidate.instance, zone=zone, avoided=()
        )
        assert bool(order) == (candidate.instance not in chosen)
        if order:
            first.setdefault(order[0], []).append(candidate.instance)
            without = record_relays.relay_order(
                candidates, instance=candidate.instance, zone=zone, avoided={order[0]}
            )
            assert without == order[1:]
    assert set(first) == set(chosen)


def test_the_loss_of_a_relay_moves_only_its_followers():
    candidates = builders.candidates(zones=1, per_zone=20)
    zone = candidates[0].zone
    lost = record_relays.relays_in_zone(candidates, zone)[0]
    remaining = [each for each in candidates if each.instance != lost]
    for candidate in remaining:
        before = record_relays.relay_order(
            candidates, instance=candidate.instance, zone=zone, avoided=()
        )
        after = record_relays.relay_order(
            remaining, instance=candidate.instance, zone=zone, avoided=()
        )
        if before and after and before[0] != lost:
            assert after[0] == before[0] or after[0] not in before


def test_a_relay_that_lost_the_store_or_lags_is_left():
    assert record_relays.is_current(available=True, age_s=record_relays.MAX_AGE_S)
    assert not record_relays.is_current(available=True, age_s=record_relays.MAX_AGE_S + 0.1)
    assert not record_relays.is_current(available=False, age_s=0.0)


CHANGES = st.lists(st.tuples(st.sampled_from("abcde"), st.booleans()), min_size=1, max_size=30)


@hypothesis.given(changes=CHANGES, seen=st.integers(0, 30), max_removed_keys=st.integers(1, 6))
def test_a_follower_ends_with_the_keys_of_the_store(changes, seen, max_removed_keys):
    """The follower read the store after ``seen`` changes, and continues from the log."""
    log = change_log.ChangeLog(max_removed_keys=max_removed_keys)
    log.record(change_log.Listing(items=(), revision=0, complete=True))
    store: dict[str, int] = {}
    follower: dict[str, int] = {}
    position = None
    for revision, (key, written) in enumerate(changes, start=1):
        if revision - 1 == seen:
            follower, position = dict(store), revision - 1
        if written:
            store[key] = revision
        else:
            store.pop(key, None)
        item = change_log.Item(key=key, value=b"x" if written else None, revision=revision)
        log.record(change_log.Listing(items=(item,), revision=revision))
    answer = log.since(position)
    if answer.complete:
        follower = {}
    for item in answer.items:
        if item.value is None:
            follower.pop(item.key, None)
        else:
            follower[item.key] = item.revision
    assert follower == store
    assert answer.revision == len(changes)


def test_a_removed_key_is_not_brought_back_by_an_older_change():
    log = change_log.ChangeLog()
    removal = change_log.Item(key="k", value=None, revision=7)
    log.record(change_log.Listing(items=(removal,), revision=7))
    late = change_log.Item(key="k", value=b"old", revision=5)
    log.record(change_log.Listing(items=(late,), revision=7))
    assert log.items == {}


@hypothesis.given(
    items=st.lists(
        st.builds(
            change_log.Item,
            key=st.text(max_size=20),
            value=st.none() | st.binary(max_size=200),
            revision=st.integers(0, 2**revisions.NUMBER_BITS - 1),
        )
    ),
    era=st.integers(0, 2**20),
)
def test_records_are_read_back_as_written(items, era):
    sent = tuple(
        dataclasses.replace(item, revision=revisions.join(era=era, number=item.revision))
        for item in items
    )
    frame = record_codec.encode_items(sent)
    assert record_codec.decode_items(frame[relay_codec.LENGTH_BYTES :], era=era) == sent
    header = record_codec.RecordHeader(
        available=True,
        age_s=0.5,
        as_of_age_s=2.5,
        revision=revisions.join(era=era, number=len(items)),
        complete=True,
    )
    frame = record_codec.encode_header(header)
    assert record_codec.decode_header(frame[relay_codec.LENGTH_BYTES :]) == header
    request = record_codec.RecordRequest(after=header.revision, wait_s=0.5)
    frame = record_codec.encode_request(request)
    assert record_codec.decode_request(frame[relay_codec.LENGTH_BYTES :]) == request


def test_an_answer_of_an_earlier_build_is_of_the_era_of_its_request():
    body = b'{"available":true,"age_s":0.1,"revision":7,"complete":false}'
    header = record_codec.decode_header(body, default_era=3)
    assert header.revision == revisions.join(era=3, number=7)


@hypothesis.given(body=st.binary(max_size=300))
def test_malformed_records_raise_only_their_own_error(body):
    for decode in (
        record_codec.decode_items,
        record_codec.decode_header,
        record_codec.decode_request,
        relay_codec.decode_forwarded,
        relay_codec.decode_answer,
    ):
        try:
            decode(body)
        except errors.InvalidFrameError:
            continue


@pytest.mark.parametrize("text", ["1e999", "[]", "[[]]", "[1]", '{"records":1}', "[" * 100_000])
def test_valid_json_of_another_shape_is_rejected(text):
    for decode in (record_codec.decode_header, record_codec.decode_request):
        with pytest.raises(errors.InvalidFrameError):
            decode(text.encode())


@pytest.mark.parametrize("seconds", ["NaN", "Infinity", "-1", "1e999"])
def test_a_duration_that_would_upset_timers_is_rejected(seconds):
    """A timer that is not a number leaves the event loop's timers out of order."""
    request = f'{{"records":{{"after":1,"wait_s":{seconds}}}}}'.encode()
    with pytest.raises(errors.InvalidFrameError):
        record_codec.decode_request(request)
    statement = (
        f'{{"request":"r","database":"d","command":["commit"],"age_s":{seconds},"values":{{}},'
        '"own":null,"begin":""}'
    ).encode()
    with pytest.raises(errors.InvalidFrameError):
        relay_codec.decode_forwarded(statement)


def test_a_compressed_body_of_unbounded_size_is_rejected(monkeypatch):
    monkeypatch.setattr(record_codec, "MAX_ITEMS_BYTES", 1000)
    frame = record_codec.encode_items((change_log.Item(key="k", value=b"x" * 5000, revision=1),))
    with pytest.raises(errors.InvalidFrameError):
        record_codec.decode_items(frame[relay_codec.LENGTH_BYTES :])


def test_a_ranking_depends_only_on_its_candidates():
    candidates = builders.candidates(zones=1, per_zone=10)
    assert gateways.ranked(candidates, "k") == gateways.ranked(reversed(candidates), "k")
