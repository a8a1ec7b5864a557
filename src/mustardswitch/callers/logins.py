"""Checks callers' logins against the document (MySQL native password authentication)."""

import collections.abc

from mysql_mimic import auth

from mustardswitch.document import sections


class DocumentLogins(auth.IdentityProvider):
    """Accepts the logins that the document in force lists.

    When it lists none, every name is accepted without a password.
    """

    def __init__(self, *, document: collections.abc.Callable[[], sections.Document]) -> None:
        self.document = document

    async def get_user(self, username: str) -> auth.User | None:
        """Return the login ``username``, or None to reject it."""
        document = self.document()
        plugin = auth.NativePasswordAuthPlugin.name
        if not document.has_callers:
            return auth.User(name=username, auth_plugin=plugin)
        caller = document.find_caller(username)
        if caller is None:
            return None
        return auth.User(name=username, auth_string=caller.password_hash, auth_plugin=plugin)
