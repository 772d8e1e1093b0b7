"""The answer to a request that was sent to an endpoint."""

from __future__ import annotations

from collections.abc import Callable
import http.client
from typing import Any
from typing import final

import logbook
import result
from urllib3 import exceptions as urllib3_exceptions
from urllib3 import response as urllib3_response

from comfreylatch._connection import connection_pool
from comfreylatch._connection import endpoint_headers
from comfreylatch._connection import exchange
from comfreylatch._connection import late_answers

MAX_ANSWER_BYTES = 64 * 1_024 * 1_024
READ_CHUNK_BYTES = 65_536
OUTCOME_NOT_RUN = "not-run"

_BODILESS_STATUSES = frozenset({204, 304})

_logger = logbook.Logger("comfreylatch.pending-answer")


class _AnswerTooLongError(Exception):
    """The answer is longer than `MAX_ANSWER_BYTES`."""


@final
class PendingAnswer:
    """An answer not yet read; call `finish` or `abandon` exactly once."""

    def __init__(
        self,
        watcher: late_answers.LateAnswerWatcher,
        lease: connection_pool.Lease,
        request: exchange.EndpointRequest,
        limits: exchange.TryLimits,
        on_ended: Callable[[], None],
    ) -> None:
        self._watcher = watcher
        self._lease = lease
        self._request = request
        self._limits = limits
        self._on_ended = on_ended

    def fileno(self) -> int:
        """File descriptor that is readable once the answer arrives."""
        return self._lease.deadline_socket.fileno()

    def finish(self) -> exchange.TryResult:
        """Reads the complete answer before the deadline of the try."""
        try:
            response = self._lease.connection.getresponse()
            outcome = self._read(response)
        except (TimeoutError, urllib3_exceptions.ReadTimeoutError) as error:
            self.abandon()
            return result.Err(
                exchange.LostAfterSend(exchange.Loss.TIMED_OUT, repr(error))
            )
        except (http.client.IncompleteRead, _AnswerTooLongError) as error:
            return self._close_after_loss(exchange.Loss.TRUNCATED, repr(error))
        except (urllib3_exceptions.HTTPError, http.client.HTTPException) as e:
            return self._close_after_loss(self._classify_loss(e), repr(e))
        except OSError as error:
            return self._close_after_loss(exchange.Loss.RESET, repr(error))
        except Exception as error:
            # A malformed answer may raise anything inside urllib3.
            _logger.exception(
                "answer-unreadable id={}", self._request.request_id
            )
            return self._close_after_loss(exchange.Loss.MALFORMED, repr(error))
        match outcome:
            case result.Err(exchange.LostAfterSend()):
                self._lease.close()
                self._watch_closed()
            case _:
                self._lease.release(reusable=not _is_closing(response))
                self._on_ended()
        return outcome

    def abandon(self) -> None:
        """Stops waiting; the watcher reports when the request has ended."""
        lease = self._lease
        if lease.deadline_socket.has_received_data:
            lease.close()
            self._watch_closed()
            return
        # The watcher owns the socket from here on and closes it.
        watched = lease.detach_socket()
        self._watcher.watch(
            watched,
            self._limits.hold_until_ms,
            _call_both(lease.mark_closed, self._on_ended),
        )

    def _close_after_loss(
        self, loss: exchange.Loss, detail: str
    ) -> exchange.TryResult:
        self._lease.close()
        self._watch_closed()
        return result.Err(exchange.LostAfterSend(loss, detail))

    def _watch_closed(self) -> None:
        self._watcher.watch(None, self._limits.hold_until_ms, self._on_ended)

    def _classify_loss(self, error: Exception) -> exchange.Loss:
        if isinstance(error, http.client.RemoteDisconnected):
            return exchange.Loss.RESET
        if self._lease.deadline_socket.at_eof:
            return exchange.Loss.TRUNCATED
        if isinstance(error, urllib3_exceptions.ProtocolError):
            return exchange.Loss.RESET
        return exchange.Loss.MALFORMED

    def _read(
        self, response: urllib3_response.HTTPResponse
    ) -> exchange.TryResult:
        headers = response.headers
        bodiless = (
            self._request.method == "HEAD"
            or response.status in _BODILESS_STATUSES
        )
        if not bodiless and not _has_length(headers):
            return result.Err(
                exchange.LostAfterSend(
                    exchange.Loss.TRUNCATED,
                    "the answer has no Content-Length and is not chunked",
                )
            )
        body = _read_body(response)
        # An answer truncated within its headers may look complete.
        if self._lease.deadline_socket.at_eof:
            return result.Err(
                exchange.LostAfterSend(
                    exchange.Loss.TRUNCATED,
                    "the connection closed within the answer",
                )
            )
        if response.status < http.client.OK:
            return result.Err(
                exchange.LostAfterSend(
                    exchange.Loss.MALFORMED,
                    f"unexpected interim status {response.status}",
                )
            )
        return self._check_answer(response, body)

    def _check_answer(
        self, response: urllib3_response.HTTPResponse, body: bytes
    ) -> exchange.TryResult:
        answered_id = response.headers.get(endpoint_headers.ID_HEADER, "")
        if answered_id != self._request.request_id:
            detail = f"the answer carries the request id {answered_id!r}"
            return result.Err(
                exchange.LostAfterSend(exchange.Loss.WRONG_ID, detail)
            )
        closing = _is_closing(response)
        if (
            response.status == http.client.SERVICE_UNAVAILABLE
            and response.headers.get(endpoint_headers.OUTCOME_HEADER)
            == OUTCOME_NOT_RUN
        ):
            return result.Err(
                exchange.DeclinedByEndpoint(
                    body[:200].decode("utf-8", "replace"), closing
                )
            )
        headers = endpoint_headers.filter_answer_headers(response.headers)
        return result.Ok(
            exchange.EndpointAnswer(response.status, headers, body, closing)
        )


def _has_length(headers: Any) -> bool:
    if "content-length" in headers:
        return True
    return "chunked" in headers.get("transfer-encoding", "").lower()


def _is_closing(response: urllib3_response.HTTPResponse) -> bool:
    return "close" in response.headers.get("connection", "").lower()


def _read_body(response: urllib3_response.HTTPResponse) -> bytes:
    remaining = response.length_remaining
    if remaining is not None:
        if remaining > MAX_ANSWER_BYTES:
            raise _AnswerTooLongError(
                f"the answer of {remaining} bytes is too long"
            )
        return response.read(decode_content=False)
    parts: list[bytes] = []
    total = 0
    while part := response.read(READ_CHUNK_BYTES, decode_content=False):
        parts.append(part)
        total += len(part)
        if total > MAX_ANSWER_BYTES:
            raise _AnswerTooLongError(
                f"the answer of over {total} bytes is too long"
            )
    return b"".join(parts)


def _call_both(
    first: Callable[[], None], second: Callable[[], None]
) -> Callable[[], None]:
    def run() -> None:
        first()
        second()

    return run
