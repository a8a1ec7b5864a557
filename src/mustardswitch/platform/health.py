"""Serves the load balancer's readiness check, and metrics."""

import collections.abc

from mustardswitch import metrics, pages

READY_PATH = "/readiness"
METRICS_PATH = "/metrics"
IDLE_TIMEOUT_S = 30.0
"""Longer than the platform's interval between readiness checks."""


def build_server(
    *, is_ready: collections.abc.Callable[[], bool], registry: metrics.Registry
) -> pages.PageServer:
    """Build the server for the health and metrics addresses; the balancer reuses its connection.

    The balancer sends callers to this instance while ``is_ready`` returns True.
    """

    def page(path: str) -> pages.Page:
        if path == READY_PATH:
            return (200 if is_ready() else 503), ""
        if path == METRICS_PATH:
            return 200, registry.render()
        return 404, ""

    return pages.PageServer(
        page=page,
        headers=[("Content-Type", "text/plain")],
        idle_timeout_s=IDLE_TIMEOUT_S,
        registry=registry,
    )
