"""Tells what an error of the backend layer shows about the process of a server."""

import functools

from mustardswitch.backends import errors
from mustardswitch.internal import server_contact


@functools.singledispatch
def sign_of(error: BaseException) -> server_contact.Sign | None:
    """Return what an error shows about a server; None if it shows nothing."""
    del error
    return None


@sign_of.register
def _(error: errors.BackendError) -> server_contact.Sign | None:
    # The base class itself is raised for answers that refuse a query.
    return server_contact.Sign.REFUSED if type(error) is errors.BackendError else None


@sign_of.register(errors.AddressReusedError)
@sign_of.register
def _(error: errors.ServerRefusedError) -> server_contact.Sign:
    del error
    return server_contact.Sign.NOT_LISTENING


@sign_of.register
def _(error: errors.BackendUnreachableError) -> server_contact.Sign:
    del error
    return server_contact.Sign.UNREACHABLE


@sign_of.register
def _(error: errors.ConnectionLimitError) -> server_contact.Sign:
    del error
    return server_contact.Sign.REFUSED


@sign_of.register
def _(error: errors.SessionUnansweredError) -> server_contact.Sign:
    del error
    return server_contact.Sign.CONNECTED


def note_error(
    contacts: server_contact.ContactLog, error: BaseException, *, since_s: float | None = None
) -> server_contact.Sign | None:
    """Record what an error shows about a server, and return it; None if it shows nothing.

    ``since_s`` is when the attempt began (``clock.now_s``). That no process of the server listens
    is recorded as of then: the answer may have waited, and the server may be back since.
    """
    sign = sign_of(error)
    if sign is not None:
        contacts.note(sign, since_s if sign is server_contact.Sign.NOT_LISTENING else None)
    return sign
