"""A list with registrations that the store no longer has is only as new as the last one without."""

from mustardswitch.internal import registration_list


def test_a_list_that_keeps_an_ended_registration_is_dated_from_its_end():
    """Guards against shares of tenants' limits that are spent by registrations which the store no
    longer has: each short outage of the store kept them for longer.
    """
    known = registration_list.RegistrationList()
    known.note_recovery(0.0)
    known.put("a", 1)
    assert known.kept_since_s == float("inf")
    known.note_outage()
    known.note_recovery(10.0)
    known.remove("a", 10.5)
    assert known.kept_since_s == 10.5
    known.note_outage()
    known.note_recovery(11.0)
    known.remove("a", 11.5)
    assert (known.kept_since_s, known.is_listed("a")) == (10.5, False)
    known.put("a", 1)
    assert known.kept_since_s == float("inf")
    known.remove("a", 12.0)
    known.expire(20.0)
    assert known.kept_since_s == float("inf")
