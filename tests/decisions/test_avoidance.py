"""What failed a moment ago is avoided for a while."""

from mustardswitch.internal import recent_failures


def test_avoids_a_key_until_its_time_is_up_and_then_forgets_it():
    avoided = recent_failures.RecentFailures(duration_s=1.0)
    avoided.add("a", now_s=0.0)
    avoided.add("b", now_s=0.5)
    assert avoided.active(now_s=0.9) == {"a", "b"}
    assert avoided.active(now_s=1.0) == {"b"}
    assert avoided.active(now_s=9.0) == frozenset()
    assert avoided.until_s == {}
