"""HTTP pages of an entry instance: ``/ready``, ``/live`` and ``/metrics``."""

import collections.abc

from mustardswitch import metrics, pages

REQUEST_TIMEOUT_S = 5.0
"""Seconds for a request and its response."""


def build_server(
    *, is_ready: collections.abc.Callable[[], bool], registry: metrics.Registry
) -> pages.PageServer:
    """Build the server, which closes each connection after one response."""

    def page(path: str, query: str) -> pages.Page:
        if path == "/live":
            return 200, "live\n"
        if path == "/ready":
            return (200, "ready\n") if is_ready() else (503, "not ready\n")
        if path == "/metrics":
            return 200, registry.render()
        return 404, "pages are /ready, /live and /metrics\n"

    return pages.PageServer(
        page=page,
        headers=[("Content-Type", "text/plain; version=0.0.4"), ("Connection", "close")],
        idle_timeout_s=REQUEST_TIMEOUT_S,
        registry=registry,
    )
