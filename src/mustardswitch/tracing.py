"""Trace spans for each hop of a statement: caller, entry, peer, home and backend server.

The context goes over the peer stream as a W3C ``traceparent``. Without a trace file in the
settings no span is made.
"""

import collections.abc
import contextlib
import pathlib

from opentelemetry import context as trace_context
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

TRACEPARENT = "traceparent"
_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class Tracer:
    """Makes spans, or none when tracing is off."""

    def __init__(self) -> None:
        self.inner: trace.Tracer | None = None
        self.provider: sdk_trace.TracerProvider | None = None

    def write_to(self, path: pathlib.Path, *, instance: str) -> None:
        """Write spans as lines of JSON to a file."""
        resource = resources.Resource.create({"service.instance.id": instance})
        self.provider = sdk_trace.TracerProvider(resource=resource)
        exporter = export.ConsoleSpanExporter(
            out=path.open("a", encoding="utf-8"),
            formatter=lambda span: span.to_json(indent=None) + "\n",
        )
        self.provider.add_span_processor(export.BatchSpanProcessor(exporter))
        self.inner = self.provider.get_tracer("mustardswitch")

    @contextlib.contextmanager
    def span(
        self, name: str, *, parent: str = "", **attributes: str
    ) -> collections.abc.Iterator[None]:
        """Time one hop; ``parent`` is the traceparent that came with a request."""
        if self.inner is None:
            yield
            return
        context = _PROPAGATOR.extract({TRACEPARENT: parent}) if parent else None
        with self.inner.start_as_current_span(name, context=context, attributes=attributes):
            yield

    def traceparent(self) -> str:
        """Return the current span for a request to another instance."""
        if self.inner is None:
            return ""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, trace_context.get_current())
        return carrier.get(TRACEPARENT, "")

    def close(self) -> None:
        """Write what is left."""
        if self.provider is not None:
            self.provider.shutdown()


TRACER = Tracer()
