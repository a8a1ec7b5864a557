"""Trace spans for each hop of a statement.

The spans are ``"caller"``, ``"entry"``, ``"peer"``, ``"home"`` (the gateway of the slot) and
``"backend"``. The context goes over the peer stream as a W3C ``traceparent``. Without a trace file
in the settings no span is created.
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
    """Creates spans, or none when tracing is off."""

    def __init__(self) -> None:
        self.otel_tracer: trace.Tracer | None = None
        self.provider: sdk_trace.TracerProvider | None = None

    def export_to_file(self, path: pathlib.Path, *, instance: str) -> None:
        """Append spans to a file, one JSON object per line."""
        resource = resources.Resource.create({"service.instance.id": instance})
        self.provider = sdk_trace.TracerProvider(resource=resource)
        exporter = export.ConsoleSpanExporter(
            out=path.open("a", encoding="utf-8"),
            formatter=lambda span: span.to_json(indent=None) + "\n",
        )
        self.provider.add_span_processor(export.BatchSpanProcessor(exporter))
        self.otel_tracer = self.provider.get_tracer("mustardswitch")

    @contextlib.contextmanager
    def span(
        self, name: str, *, parent: str = "", **attributes: str
    ) -> collections.abc.Iterator[None]:
        """Record one hop as a span; ``parent`` is the traceparent that came with a request."""
        if self.otel_tracer is None:
            yield
            return
        context = _PROPAGATOR.extract({TRACEPARENT: parent}) if parent else None
        with self.otel_tracer.start_as_current_span(name, context=context, attributes=attributes):
            yield

    def traceparent(self) -> str:
        """Return the traceparent of the current span, or an empty text when tracing is off."""
        if self.otel_tracer is None:
            return ""
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, trace_context.get_current())
        return carrier.get(TRACEPARENT, "")

    def close(self) -> None:
        """Write the remaining spans and stop tracing."""
        if self.provider is not None:
            self.provider.shutdown()


TRACER = Tracer()
