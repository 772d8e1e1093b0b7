"""What each try teaches about its endpoint."""

from __future__ import annotations

from typing import final

from comfreylatch._connection import exchange
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._process.routing import endpoint_stats
from comfreylatch._process.routing import service_state
from comfreylatch._request import dependencies as dependencies_module

SERVER_ERROR = 500


@final
class Observer:
    """Turns ends of tries into statistics, ejections and leaving marks."""

    def __init__(
        self,
        parts: dependencies_module.Parts,
        state: service_state.ServiceState,
    ) -> None:
        self._parts = parts
        self._state = state

    def answered(
        self,
        endpoint: str,
        answer: exchange.EndpointAnswer,
        elapsed_ms: float,
    ) -> None:
        """Learns from a whole answer."""
        state = self._state
        state.hedge_quantile.add(elapsed_ms)
        self._parts.metrics.observe(
            metrics_module.Latency.TRY, int(elapsed_ms * 1_000), state.name
        )
        if answer.status >= SERVER_ERROR:
            detail = f"status {answer.status}"
            self._note_ejection(state.stats.failed(endpoint, detail))
        else:
            self._note_ejection(state.stats.answered(endpoint, elapsed_ms))
        self._note_leaving(endpoint, answer.closing)

    def failed(
        self,
        endpoint: str,
        error: exchange.EndpointError,
        elapsed_ms: float,
    ) -> None:
        """Learns from a failed try, if it says something of the endpoint."""
        stats = self._state.stats
        match error:
            case exchange.NotSent(exchange.SendFailure.CONNECT_REFUSED, detail):
                self._note_ejection(stats.failed(endpoint, detail))
                if self._parts.table.leaving.refused_connection(endpoint):
                    self._drain_endpoint(endpoint, "refuses connections")
            case exchange.NotSent(
                exchange.SendFailure.CONNECT_FAILED
                | exchange.SendFailure.CONNECT_TIMED_OUT,
                detail,
            ):
                self._note_ejection(stats.failed(endpoint, detail))
            case exchange.NotSent():
                stats.skipped(endpoint)
            case exchange.DeclinedByEndpoint(_, closing):
                self._note_ejection(stats.failed(endpoint, "declined"))
                self._note_leaving(endpoint, closing)
            case exchange.LostAfterSend(loss, detail):
                self._note_loss(endpoint, loss, detail, elapsed_ms)

    def _note_loss(
        self,
        endpoint: str,
        loss: exchange.Loss,
        detail: str,
        elapsed_ms: float,
    ) -> None:
        stats = self._state.stats
        usual_ms = stats.get(endpoint).latency_ms
        # A caller in a hurry says nothing of the endpoint.
        is_hurry = loss == exchange.Loss.TIMED_OUT and (
            elapsed_ms < usual_ms * endpoint_stats.EJECT_SLOWNESS
        )
        if is_hurry:
            stats.skipped(endpoint)
        else:
            self._note_ejection(stats.failed(endpoint, detail))

    def _note_ejection(self, ejection: endpoint_stats.Ejection | None) -> None:
        if ejection is None:
            return
        self._parts.metrics.count(
            metrics_module.Counter.EJECTIONS, ejection.endpoint
        )
        self._parts.journal.record(
            reasons.Subject.ENDPOINT,
            ejection.endpoint,
            "ejected",
            f"ejected for {ejection.wait_ms} ms: {ejection.sentence}",
        )

    def _note_leaving(self, endpoint: str, closing: bool) -> None:
        if self._parts.table.leaving.answered(endpoint, closing):
            self._drain_endpoint(endpoint, "closes its connections")

    def _drain_endpoint(self, endpoint: str, sentence: str) -> None:
        self._parts.table.leaving_changed()
        self._parts.client.close_idle(self._state.addresses.get(endpoint, ""))
        self._parts.journal.record(
            reasons.Subject.ENDPOINT, endpoint, "leaving", sentence
        )
