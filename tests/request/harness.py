"""Test harness: a router with real connections to scripted endpoints."""

from __future__ import annotations

from types import TracebackType
from typing import Self

from comfreylatch._connection import endpoint_client
from comfreylatch._connection import http
from comfreylatch._ports import clock as clock_port
from comfreylatch._process import journal
from comfreylatch._process import metrics
from comfreylatch._process import reasons
from comfreylatch._process import settings
from comfreylatch._request import dependencies
from comfreylatch._request import router
from comfreylatch._version import objects
from tests import fakes
from tests import scripted_endpoint

SEED = 20_261_203
THREADS = 64


class Harness:
    """Scripted endpoints, a router and its dependencies."""

    def __init__(
        self,
        *scripts: scripted_endpoint.Script,
        slots: int = 8,
        service: objects.Service | None = None,
        guard: dependencies.DispatchGuard | None = None,
        policy: str = "least-expected",
        threads: int = THREADS,
    ) -> None:
        self.endpoints = [
            scripted_endpoint.ScriptedEndpoint(script) for script in scripts
        ]
        self.clock = clock_port.SystemClock()
        self.metrics = metrics.Metrics()
        self.journal = journal.Journal("host-1", self.clock)
        self.peers = fakes.FakePeers()
        self.slots = fakes.FakeSlots(slots)
        self.client = endpoint_client.EndpointClient(500)
        self.source = fakes.FakeSource(
            fakes.make_configuration(
                {
                    f"ex-{number}": endpoint.address
                    for number, endpoint in enumerate(self.endpoints)
                },
                service=service,
            )
        )
        self.router = router.RequestRouter(
            self.source,
            self.slots,
            self.client,
            self.peers,
            self.metrics,
            self.journal,
            self.clock,
            make_settings(policy, threads),
            SEED,
            guard,
        )

    def __enter__(self) -> Self:
        for endpoint in self.endpoints:
            endpoint.__enter__()
        self.client.__enter__()
        self.router.__enter__()
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.router.__exit__(exception_type, exception, traceback)
        self.client.__exit__(exception_type, exception, traceback)
        for endpoint in self.endpoints:
            endpoint.__exit__(exception_type, exception, traceback)

    def send_request(
        self,
        request_id: str = "",
        method: str = "POST",
        body: bytes = b"body",
        timeout_ms: int | None = None,
        caller: str = "clerk",
        target: str = "/services/skyproc/x",
    ) -> http.HttpReply:
        """Sends a caller's request; GET is idempotent, POST is not."""
        headers = {"x-caller": caller}
        if request_id:
            headers["x-request-id"] = request_id
        if timeout_ms is not None:
            headers["x-timeout-ms"] = str(timeout_ms)
        return self.router.handle(
            http.HttpRequest(
                method,
                target.partition("?")[0],
                {},
                headers,
                body,
                "127.0.0.1",
                target,
            )
        )

    def received_ids(self) -> list[str]:
        """Ids of the requests that the endpoints have received."""
        return [
            seen.request_id
            for endpoint in self.endpoints
            for seen in endpoint.seen
        ]

    def retries(self, reason: reasons.RetryReason) -> int:
        """Number of retries counted for a reason."""
        return self.metrics.value(metrics.Counter.RETRIES, reason.value)

    def refusals(self, reason: reasons.RefusalReason) -> int:
        """Number of refusals counted for a reason."""
        return self.metrics.value(metrics.Counter.REFUSALS, reason.value)


def make_settings(policy: str, threads: int) -> settings.Settings:
    """Settings of a host without listen addresses."""
    return settings.Settings(
        seat="a",
        zone=fakes.ZONE,
        caller_address="",
        operator_address="",
        peer_address="",
        platform=settings.PlatformSettings("", ""),
        threads=threads,
        routing=settings.RoutingSettings(policy=policy),
    )
