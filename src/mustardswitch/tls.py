"""TLS contexts for callers, peers and backend servers, with keys that can be replaced in place.

Peers authenticate each other: both sides must show a certificate of the peers' authority.
Replacing the files and sending SIGHUP loads the new keys for new connections; the contexts stay
the same objects, so that servers need no restart.
"""

import dataclasses
import ssl

from mustardswitch import settings


class TlsError(Exception):
    """Raised when a certificate, key or authority file cannot be used."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TlsContexts:
    """The contexts made from the settings; None speaks without TLS."""

    callers_server: ssl.SSLContext | None = None
    peers_server: ssl.SSLContext | None = None
    peers_client: ssl.SSLContext | None = None
    backends_client: ssl.SSLContext | None = None


def load(config: settings.Tls) -> TlsContexts:
    """Make the contexts; raises TlsError that names the file."""
    contexts = TlsContexts(
        callers_server=_server() if config.callers else None,
        peers_server=_server() if config.peers else None,
        peers_client=peers_client() if config.peers else None,
        backends_client=ssl.create_default_context() if config.backends else None,
    )
    reload(contexts, config)
    return contexts


def reload(contexts: TlsContexts, config: settings.Tls) -> None:
    """Read the files again into the same contexts."""
    _install(contexts.callers_server, config.callers, require_peer=False)
    _install(contexts.peers_server, config.peers, require_peer=True)
    _install(contexts.peers_client, config.peers, require_peer=True)
    _install(contexts.backends_client, config.backends, require_peer=True)


def _server() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def peers_client() -> ssl.SSLContext:
    """Make a client context for the peers' port.

    Instances are reached by IP numbers and replaced at any time, so the authority and not the
    host name proves a peer.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    return context


def _install(
    context: ssl.SSLContext | None, files: settings.TlsFiles | None, *, require_peer: bool
) -> None:
    if context is None or files is None:
        return
    context.check_hostname = False
    try:
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(
            f"TLS files {files.certificate}, {files.key}, {files.authority}: {error}; "
            "check that they exist and belong together"
        ) from error
    if require_peer:
        context.verify_mode = ssl.CERT_REQUIRED


def operator_context(files: settings.TlsFiles) -> ssl.SSLContext:
    """Make the context with which the command line reaches instances."""
    context = peers_client()
    _install(context, files, require_peer=True)
    return context
