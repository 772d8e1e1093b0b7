"""A client for the caller and operator interfaces of entry hosts."""

from __future__ import annotations

from collections.abc import Mapping
import time
from typing import Any

import attrs
import msgspec
import urllib3

OPERATOR_TIMEOUT_S = 20.0
CONNECT_TIMEOUT_S = 2.0
# Time that a caller waits for the answer beyond its own deadline.
ANSWER_MARGIN_S = 2.0
POOL_SIZE = 128


@attrs.frozen
class Answer:
    """An answer, or the reason why there is none.

    Attributes:
        status: HTTP status; 0 when the connection failed.
        outcome: `X-Outcome`; `lost` when the connection broke after the
            request was sent, `unreachable` when none could be made.
        reason: `X-Reason`, or the text of the error.
        elapsed_ms: Time from sending the request to the complete answer.
    """

    status: int
    outcome: str
    reason: str
    request_id: str
    body: bytes
    headers: Mapping[str, str]
    elapsed_ms: float

    def json(self) -> Any:
        """Decodes the body."""
        return msgspec.json.decode(self.body)

    @property
    def retry_after_ms(self) -> int:
        """Value of `X-Retry-After-Ms`; 0 when absent."""
        return int(self.headers.get("X-Retry-After-Ms", "0"))


class Client:
    """A connection pool to entry hosts. Thread-safe; does not retry."""

    def __init__(self, pool_size: int = POOL_SIZE) -> None:
        self._pool = urllib3.PoolManager(
            num_pools=POOL_SIZE, maxsize=pool_size, retries=False
        )

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.clear()

    def call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = OPERATOR_TIMEOUT_S,
    ) -> Answer:
        """Makes one HTTP call; failures are returned as answers."""
        started_s = time.monotonic()
        try:
            response = self._pool.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=timeout_s
                ),
            )
        except urllib3.exceptions.NewConnectionError as error:
            return _failure("unreachable", error, started_s)
        except urllib3.exceptions.ConnectTimeoutError as error:
            return _failure("unreachable", error, started_s)
        except urllib3.exceptions.HTTPError as error:
            return _failure("lost", error, started_s)
        if not _has_body_length(response.headers):
            # urllib3 takes a connection closed within the headers as their end.
            return _failure(
                "lost",
                EOFError("connection closed within the headers"),
                started_s,
            )
        return Answer(
            status=response.status,
            outcome=response.headers.get("X-Outcome", ""),
            reason=response.headers.get("X-Reason", ""),
            request_id=response.headers.get("X-Request-Id", ""),
            body=response.data,
            headers=response.headers,
            elapsed_ms=(time.monotonic() - started_s) * 1_000,
        )

    def request(
        self,
        address: str,
        service: str,
        request_id: str,
        body: bytes = b"",
        *,
        path: str = "/",
        idempotent: bool = False,
        timeout_ms: int = 2_000,
        work_ms: float | None = None,
        caller: str = "",
    ) -> Answer:
        """Sends a caller's request to a service through one entry host."""
        headers = {
            "X-Request-Id": request_id,
            "X-Idempotent": "true" if idempotent else "false",
            "X-Timeout-Ms": str(timeout_ms),
        }
        if work_ms is not None:
            headers["X-Work-Ms"] = f"{work_ms:.3f}"
        if caller:
            headers["X-Caller"] = caller
        return self.call(
            "POST",
            f"http://{address}/services/{service}{path}",
            body,
            headers,
            timeout_ms / 1_000 + ANSWER_MARGIN_S,
        )

    def post_json(self, address: str, path: str, value: Any) -> Answer:
        """Sends an operator's POST request."""
        return self.call(
            "POST",
            f"http://{address}{path}",
            msgspec.json.encode(value),
            {"Content-Type": "application/json"},
        )

    def get(self, address: str, path: str) -> Answer:
        """Sends an operator's GET request."""
        return self.call("GET", f"http://{address}{path}")

    def delete(self, address: str, path: str) -> Answer:
        """Sends an operator's DELETE request."""
        return self.call("DELETE", f"http://{address}{path}")


def _has_body_length(headers: Mapping[str, str]) -> bool:
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def _failure(outcome: str, error: Exception, started_s: float) -> Answer:
    return Answer(
        status=0,
        outcome=outcome,
        reason=repr(error),
        request_id="",
        body=b"",
        headers={},
        elapsed_ms=(time.monotonic() - started_s) * 1_000,
    )
