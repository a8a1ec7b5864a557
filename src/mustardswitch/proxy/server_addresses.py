"""Opens connections to servers that may have been replaced at their addresses."""

import dataclasses

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import ids
from mustardswitch.proxy import ports, server, service


async def open_link(target: service.Service, backend: server.Server) -> tuple[ports.Link, bool]:
    """Open a connection to a server, or to the one that has taken its place and is not listed.

    A server that is cut off from the store and starts again has a name that nobody knows, and
    confirms commits. The second result is whether the server itself answers. Raises a
    ``BackendError``, ``AddressReusedError`` if the place was taken by a server that is listed or of
    another service.
    """
    try:
        return await backend.opener(backend.entry), True
    except backend_errors.AddressReusedError:
        if _is_listed(target, backend.entry):
            raise
    any_server = dataclasses.replace(backend.entry, server=ids.ANY_SERVER)
    return await backend.opener(any_server), False


def _is_listed(target: service.Service, entry: ports.ServerEntry) -> bool:
    """Return whether another server is listed at the address of an entry."""
    address = entry.host, entry.port
    listed = (each.entry for each in target.servers.values() if each.server != entry.server)
    return any((each.host, each.port) == address for each in listed)
