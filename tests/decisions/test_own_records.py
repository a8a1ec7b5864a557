"""Which records of an instance a restored store lacks or holds again."""

import hypothesis
from hypothesis import strategies as st

from mustardswitch.internal import ids, own_records, revisions

NAMES = st.frozensets(st.sampled_from([ids.ServiceName(name) for name in "abcd"]))
VOTES = st.frozensets(st.tuples(st.sampled_from("ab"), st.sampled_from("xy")))


def _at(era: int, number: int = 5) -> int:
    return revisions.join(era=era, number=number)


@hypothesis.given(votes=VOTES, held_votes=VOTES, claims=NAMES, held_claims=NAMES)
def test_after_its_repair_the_store_holds_what_the_instance_means(
    votes, held_votes, claims, held_claims
):
    own = own_records.OwnRecords()
    own.votes, own.claims = set(votes), set(claims)
    own.note_seen(own_records.Records(), registered=True, revision=_at(1))
    held = own_records.Records(votes=held_votes, claims=held_claims)
    _, repair = own.note_seen(held, registered=True, revision=_at(2))
    assert (held_votes - repair.withdraw) | repair.cast == votes
    assert held_claims - repair.release <= claims
    assert not own.note_seen(held, registered=True, revision=_at(2, 6))[1]


def test_nothing_is_repaired_within_an_era_or_at_the_first_reading():
    own = own_records.OwnRecords()
    held = own_records.Records(claims={ids.ServiceName("a")})
    assert own.note_seen(held, registered=True, revision=_at(3)) == (False, own_records.NOTHING)
    assert own.note_seen(held, registered=True, revision=_at(3, 9)) == (False, own_records.NOTHING)


def test_a_registration_is_lost_only_if_a_later_reading_does_not_list_it():
    own = own_records.OwnRecords()
    nothing = own_records.Records()
    assert not own.note_seen(nothing, registered=False, revision=_at(1, 4))[0]
    own.registered_revision = _at(1, 5)
    assert not own.note_seen(nothing, registered=False, revision=_at(1, 5))[0]
    assert not own.note_seen(nothing, registered=True, revision=_at(1, 6))[0]
    assert own.note_seen(nothing, registered=False, revision=_at(2, 3))[0]
