"""Encodes metrics in the Prometheus text format, version 0.0.4."""

from collections.abc import Iterable, Mapping

from gypsumpost_daemon.callers.caller_response import CallerResponse
from gypsumpost_daemon.telemetry.counter import Counter
from gypsumpost_daemon.telemetry.gauge import Gauge
from gypsumpost_daemon.telemetry.gauge_family import GaugeFamily
from gypsumpost_daemon.telemetry.metrics import Metric, Metrics

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
QUANTILES = (0.5, 0.95, 0.99)


def encode_metrics(metrics: Iterable[Metric]) -> bytes:
    """Return metrics in the Prometheus text format.

    :param metrics: the metrics.
    """
    return "".join(map(_encode_metric, metrics)).encode()


def create_metrics_response(metrics: Metrics) -> CallerResponse:
    """Return the response to a scrape.

    :param metrics: metrics of the daemon.
    """
    body = encode_metrics(metrics.list_all())
    return CallerResponse(status=200, headers={"content-type": CONTENT_TYPE}, body=body)


def _encode_metric(metric: Metric) -> str:
    if isinstance(metric, Counter):
        kind = "counter"
        samples = [
            _encode_sample(metric.name, dict(zip(metric.labels, labels, strict=True)), value)
            for labels, value in sorted(metric.values.items())
        ]
    elif isinstance(metric, GaugeFamily):
        kind = "gauge"
        samples = [
            _encode_sample(metric.name, dict(zip(metric.labels, labels, strict=True)), value)
            for labels, value in sorted(metric.read().items())
        ]
    elif isinstance(metric, Gauge):
        kind, samples = "gauge", [_encode_sample(metric.name, {}, metric.read())]
    else:
        kind = "summary"
        samples = [
            _encode_sample(
                metric.name, {"quantile": str(quantile)}, metric.compute_percentile(100 * quantile)
            )
            for quantile in QUANTILES
            if metric.count
        ]
        samples.append(_encode_sample(f"{metric.name}_sum", {}, metric.total_seconds))
        samples.append(_encode_sample(f"{metric.name}_count", {}, metric.count))
    head = f"# HELP {metric.name} {_escape(metric.help)}\n# TYPE {metric.name} {kind}\n"
    return head + "".join(samples)


def _encode_sample(name: str, labels: Mapping[str, str], value: float) -> str:
    pairs = ",".join(f'{label}="{_escape(text, quote=True)}"' for label, text in labels.items())
    series = f"{name}{{{pairs}}}" if pairs else name
    return f"{series} {value:.15g}\n"


def _escape(text: str, quote: bool = False) -> str:
    escaped = text.replace("\\", "\\\\").replace("\n", "\\n")
    return escaped.replace('"', '\\"') if quote else escaped
