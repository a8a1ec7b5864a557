"""Counters, gauges and latency histograms of an instance, in the Prometheus text format."""

import collections
import dataclasses

from hdrh import histogram

MAX_MICROSECONDS = 60_000_000
"""Longest duration of a histogram; longer ones are recorded as this."""
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CounterKey:
    """Name of a counter or gauge, and the value of its one label."""

    name: str
    label: str


class Registry:
    """All metrics of one instance."""

    def __init__(self) -> None:
        self.counters: collections.Counter[CounterKey] = collections.Counter()
        self.histograms: dict[str, histogram.HdrHistogram] = {}
        self.gauges: dict[CounterKey, float] = {}

    def count(self, name: str, label: str = "", amount: float = 1) -> None:
        """Add ``amount`` to a counter; ``label`` is the value of its label ``kind``."""
        self.counters[CounterKey(name=name, label=label)] += amount

    def total(self, name: str, label: str = "") -> float:
        """Return the value of a counter at one label."""
        return self.counters[CounterKey(name=name, label=label)]

    def record_seconds(self, name: str, seconds: float) -> None:
        """Add one duration in seconds to a histogram."""
        recorded = self.histograms.get(name)
        if recorded is None:
            recorded = histogram.HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
            self.histograms[name] = recorded
        recorded.record_value(min(MAX_MICROSECONDS, max(1, int(seconds * 1_000_000))))

    def set_gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge, replacing its last value; ``label`` is the value of its label ``kind``."""
        self.gauges[CounterKey(name=name, label=label)] = value

    def remove_gauge(self, name: str, label: str = "") -> None:
        """Remove a gauge, for example of something that no longer exists."""
        self.gauges.pop(CounterKey(name=name, label=label), None)

    def render(self) -> str:
        """Return all metrics in the Prometheus text exposition format, version 0.0.4."""
        lines: list[str] = []
        for key, value in sorted(self.counters.items(), key=lambda item: str(item[0])):
            label = f'{{kind="{key.label}"}}' if key.label else ""
            lines.append(f"mustardswitch_{key.name}_total{label} {value}")
        for key, gauge in sorted(self.gauges.items(), key=lambda item: str(item[0])):
            label = f'{{kind="{key.label}"}}' if key.label else ""
            lines.append(f"mustardswitch_{key.name}{label} {gauge}")
        for name, recorded in sorted(self.histograms.items()):
            lines.extend(_render_histogram(name, recorded))
        return "\n".join(lines) + "\n"


def _render_histogram(name: str, recorded: histogram.HdrHistogram) -> list[str]:
    lines = [f"# TYPE mustardswitch_{name}_seconds summary"]
    for quantile in QUANTILES:
        value = recorded.get_value_at_percentile(quantile * 100) / 1_000_000
        lines.append(f'mustardswitch_{name}_seconds{{quantile="{quantile}"}} {value:.6f}')
    lines.append(f"mustardswitch_{name}_seconds_count {recorded.total_count}")
    return lines
