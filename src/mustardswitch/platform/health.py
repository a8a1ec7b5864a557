"""Serves the load balancer's readiness check, and metrics."""

import collections.abc

from mustardswitch import metrics, pages
from mustardswitch.proxy import explain_page

READY_PATH = "/readiness"
METRICS_PATH = "/metrics"
Explain = collections.abc.Callable[[str], pages.Page]
"""Answers the query of a request for an explanation."""
IDLE_TIMEOUT_S = 30.0
"""Longer than the platform's interval between readiness checks."""


def build_server(
    *,
    is_ready: collections.abc.Callable[[], bool],
    registry: metrics.Registry,
    explain: Explain | None = None,
) -> pages.PageServer:
    """Build the server for the health or metrics address; the balancer reuses its connection.

    The balancer sends callers to this instance while ``is_ready`` returns True. Without ``explain``
    there is no page of explanations.
    """

    def page(path: str, query: str) -> pages.Page:
        if path == READY_PATH:
            return (200 if is_ready() else 503), ""
        if path == METRICS_PATH:
            return 200, registry.render()
        if path == explain_page.PATH and explain is not None:
            return explain(query)
        return 404, ""

    return pages.PageServer(
        page=page,
        headers=[("Content-Type", "text/plain")],
        idle_timeout_s=IDLE_TIMEOUT_S,
        registry=registry,
    )
