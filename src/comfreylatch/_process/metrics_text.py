"""Text format of a metrics page."""

from __future__ import annotations

from comfreylatch._process import metrics as metrics_module


def render(page: metrics_module.MetricsPage) -> str:
    """Formats a metrics page as text, one line per metric."""
    lines = []
    for counter in page.counters:
        lines.append(
            _metric_line(counter.counter, counter.label, counter.value)
        )
    for gauge in page.gauges:
        lines.append(_metric_line(gauge.gauge, gauge.label, gauge.value))
    for latency in page.latencies:
        values = {
            "count": latency.count,
            "p50_us": latency.p50_us,
            "p99_us": latency.p99_us,
            "p999_us": latency.p999_us,
            "max_us": latency.max_us,
        }
        for suffix, value in values.items():
            name = f"{latency.latency}_latency_{suffix}"
            lines.append(_metric_line(name, latency.label, value))
    return "".join(line + "\n" for line in lines)


def _metric_line(name: str, label: str, value: int) -> str:
    plain_name = name.replace("-", "_")
    if not label:
        return f"{plain_name} {value}"
    escaped = label.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n")
    return f'{plain_name}{{label="{escaped}"}} {value}'
