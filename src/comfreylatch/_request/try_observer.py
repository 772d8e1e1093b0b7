"""Updates of endpoint statistics from the results of tries."""

from __future__ import annotations

from typing import final

from comfreylatch._connection import exchange
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._process.routing import endpoint_stats
from comfreylatch._process.routing import service_state
from comfreylatch._request import dependencies as dependencies_module

MIN_SERVER_ERROR_STATUS = 500


@final
class TryObserver:
    """Updates statistics, ejections and leaving endpoints after each try.

    Args:
        deps: Dependencies of request handling.
        state: Routing state of the service that is tried.
    """

    def __init__(
        self,
        deps: dependencies_module.RequestDependencies,
        state: service_state.ServiceState,
    ) -> None:
        self._deps = deps
        self._state = state

    def record_answer(
        self,
        endpoint: str,
        answer: exchange.EndpointAnswer,
        elapsed_ms: float,
    ) -> None:
        """Records a complete answer, `elapsed_ms` after the try started.

        A server error counts as a failure of the endpoint.
        """
        state = self._state
        state.hedge_quantile.add(elapsed_ms)
        self._deps.metrics.observe(
            metrics_module.Latency.TRY, int(elapsed_ms * 1_000), state.name
        )
        if answer.status >= MIN_SERVER_ERROR_STATUS:
            detail = f"status {answer.status}"
            self._record_ejection(state.stats.record_failure(endpoint, detail))
        else:
            self._record_ejection(
                state.stats.record_answer(endpoint, elapsed_ms)
            )
        self._record_leaving(endpoint, answer.closing)

    def record_failure(
        self,
        endpoint: str,
        error: exchange.EndpointError,
        elapsed_ms: float,
    ) -> None:
        """Records a try that failed `elapsed_ms` after it started.

        It counts against the endpoint only if the endpoint caused the failure.
        """
        stats = self._state.stats
        match error:
            case exchange.NotSent(exchange.SendFailure.CONNECT_REFUSED, detail):
                self._record_ejection(stats.record_failure(endpoint, detail))
                if self._deps.table.leaving.record_refused_connection(endpoint):
                    self._drain_endpoint(endpoint, "refuses connections")
            case exchange.NotSent(
                exchange.SendFailure.CONNECT_FAILED
                | exchange.SendFailure.CONNECT_TIMED_OUT,
                detail,
            ):
                self._record_ejection(stats.record_failure(endpoint, detail))
            case exchange.NotSent():
                stats.record_inconclusive(endpoint)
            case exchange.DeclinedByEndpoint(_, closing):
                self._record_ejection(
                    stats.record_failure(endpoint, "declined")
                )
                self._record_leaving(endpoint, closing)
            case exchange.LostAfterSend(loss, detail):
                self._record_loss(endpoint, loss, detail, elapsed_ms)

    def _record_loss(
        self,
        endpoint: str,
        loss: exchange.Loss,
        detail: str,
        elapsed_ms: float,
    ) -> None:
        stats = self._state.stats
        usual_ms = stats.get(endpoint).latency_ms
        # A caller's short timeout is no evidence of a slow endpoint.
        is_short_timeout = loss == exchange.Loss.TIMED_OUT and (
            elapsed_ms < usual_ms * endpoint_stats.EJECT_LATENCY_RATIO
        )
        if is_short_timeout:
            stats.record_inconclusive(endpoint)
        else:
            self._record_ejection(stats.record_failure(endpoint, detail))

    def _record_ejection(
        self, ejection: endpoint_stats.Ejection | None
    ) -> None:
        if ejection is None:
            return
        self._deps.metrics.count(
            metrics_module.Counter.EJECTIONS, ejection.endpoint
        )
        self._deps.journal.record(
            reasons.Subject.ENDPOINT,
            ejection.endpoint,
            "ejected",
            f"ejected for {ejection.wait_ms} ms: {ejection.sentence}",
        )

    def _record_leaving(self, endpoint: str, closing: bool) -> None:
        if self._deps.table.leaving.record_answer(endpoint, closing):
            self._drain_endpoint(endpoint, "closes its connections")

    def _drain_endpoint(self, endpoint: str, sentence: str) -> None:
        self._deps.table.update_usable_endpoints()
        self._deps.client.close_idle(self._state.addresses.get(endpoint, ""))
        self._deps.journal.record(
            reasons.Subject.ENDPOINT, endpoint, "leaving", sentence
        )
