"""Opens the sessions of callers."""

import collections.abc

from mustardswitch.internal import ids
from mustardswitch.proxy import errors, requests, session, session_directory

SessionOpener = collections.abc.Callable[
    [ids.DatabaseName, ids.CallerKey], session.Session | requests.Answer
]
"""Opens a session of a database for a key, or returns the refusal."""


def open_session(
    directory: session_directory.Directory, database: ids.DatabaseName, key: ids.CallerKey
) -> session.Session | requests.Answer:
    """Open a session, or return the refusal of an unknown database or key."""
    route = directory.route(database)
    if route is None:
        return requests.refuse(
            requests.Refusal.UNKNOWN_DATABASE, f"no database is named {database}"
        )
    try:
        directory.identify(key, route)
    except errors.UnknownKeyError as error:
        return requests.refuse(requests.Refusal.UNAUTHORIZED, str(error))
    return session.Session(directory=directory, database=database, key=key)
