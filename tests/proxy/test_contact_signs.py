"""What an error shows about the process of a server."""

import pytest

from mustardswitch.backends import errors
from mustardswitch.internal import clock, server_contact
from mustardswitch.proxy import contact_signs

Sign = server_contact.Sign


@pytest.mark.parametrize(
    ("error", "sign"),
    [
        (errors.BackendError("BUSY"), Sign.REFUSED),
        (errors.ConnectionLimitError("full"), Sign.REFUSED),
        (errors.SessionUnansweredError("late"), Sign.CONNECTED),
        (errors.ServerRefusedError("down"), Sign.NOT_LISTENING),
        (errors.AddressReusedError("another"), Sign.NOT_LISTENING),
        (errors.BackendUnreachableError("silent"), Sign.UNREACHABLE),
        (errors.ConnectionBrokenError("late"), None),
        (errors.NothingSentError("closed"), None),
        (errors.PoolFullError("full"), None),
        (errors.PoolUnreachableError("closed"), None),
        (TimeoutError(), None),
        (OSError(), None),
    ],
    ids=repr,
)
def test_an_error_is_recorded_as_what_it_shows(error, sign):
    contacts = server_contact.ContactLog()
    contact_signs.note_error(contacts, error)
    assert list(contacts.at_s) == ([] if sign is None else [sign])


def test_signs_have_ages_from_the_start_of_the_log_and_an_unreachable_server_shows_nothing(
    monkeypatch,
):
    now_s = 10.0
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    contacts, life = server_contact.ContactLog(), (Sign.ANSWERED, Sign.REFUSED, Sign.CONNECTED)
    assert contacts.latest() is None and contacts.age_s(*life) == 0.0
    now_s += 2.0
    contacts.note(Sign.UNREACHABLE)
    assert contacts.latest() is None and contacts.age_s(*life) == 2.0
    for sign in (Sign.ANSWERED, Sign.REFUSED, Sign.CONNECTED, Sign.NOT_LISTENING):
        now_s += 1.0
        contacts.note(sign)
        assert contacts.latest() == server_contact.Contact(sign=sign, age_s=0.0)
        assert contacts.age_s(sign) == 0.0
    assert contacts.age_s(*life) == contacts.age_s(Sign.CONNECTED) == 1.0
    assert contacts.age_s(Sign.ANSWERED) == 3.0
    now_s += 1.0
    contacts.note(Sign.UNREACHABLE)
    assert str(contacts.latest()) == "not_listening 1.0s ago"


@pytest.mark.parametrize(
    "error", [errors.ServerRefusedError("down"), errors.AddressReusedError("another")], ids=repr
)
def test_that_no_process_listens_is_known_as_of_the_beginning_of_the_attempt(monkeypatch, error):
    """An instance that is suspended reads an old answer, and the server may be back since."""
    now_s = 10.0
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    contacts = server_contact.ContactLog()
    contact_signs.note_error(contacts, error, since_s=7.0)
    assert contacts.at_s == {Sign.NOT_LISTENING: 7.0}
    contact_signs.note_error(contacts, error, since_s=6.0)
    assert contacts.at_s == {Sign.NOT_LISTENING: 7.0}
    contact_signs.note_error(contacts, errors.SessionUnansweredError("late"), since_s=7.0)
    assert contacts.at_s[Sign.CONNECTED] == 10.0


def test_a_connection_that_waits_for_an_answer_is_a_contact(monkeypatch):
    now_s = 10.0
    monkeypatch.setattr(clock, "now_s", lambda: now_s)
    contacts = server_contact.ContactLog()
    contacts.unanswered += 1
    now_s += 5.0
    assert contacts.age_s(Sign.CONNECTED) == contacts.age_s(Sign.ANSWERED, Sign.CONNECTED) == 0.0
    assert contacts.age_s(Sign.ANSWERED) == 5.0
    assert str(contacts.latest()) == "connected 0.0s ago"
