"""HTTP client of the platform's log, specified in `docs/PLATFORM.md`."""

from __future__ import annotations

from collections.abc import Sequence
import http
import types
from typing import final
import urllib.parse

import attrs
import msgspec
import result

from comfreylatch._connection import json_call
from comfreylatch._ports import log as log_port


@attrs.frozen
class _AppendBody:
    records: list[str]


@attrs.frozen
class _AppendAnswer:
    offset: int


@attrs.frozen
class _ReadRecord:
    offset: int
    payload: str


@attrs.frozen
class _ReadAnswer:
    first: int
    next: int
    records: list[_ReadRecord]


@attrs.frozen
class _ExpiredAnswer:
    first: int


# Statuses with which a server states that it did not process the request.
_REJECTED_STATUSES = frozenset(
    {
        http.HTTPStatus.BAD_REQUEST,
        http.HTTPStatus.NOT_FOUND,
        http.HTTPStatus.METHOD_NOT_ALLOWED,
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@final
class LogClient:
    """Implements `LogPort` over pooled connections. Thread-safe.

    Calls time out after `timeout_ms`; a read adds its `wait_ms` to that.
    """

    def __init__(self, address: str, timeout_ms: int) -> None:
        self._timeout_ms = timeout_ms
        self._pool = json_call.open_pool(address)

    def __enter__(self) -> LogClient:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._pool.close()

    def append(
        self, stream: str, payloads: Sequence[bytes]
    ) -> result.Result[int, log_port.AppendError]:
        """See `LogPort.append`; payloads must be UTF-8 text."""
        texts = [payload.decode("utf-8") for payload in payloads]
        body = msgspec.json.encode(_AppendBody(texts))
        match self._call("POST", _target(stream), body, self._timeout_ms):
            case result.Ok(answer):
                return _append_result(answer)
            case result.Err(json_call.NotSent(detail)):
                return result.Err(log_port.LogUnavailable(detail))
            case result.Err(json_call.AnswerLost(detail)):
                return result.Err(log_port.LogAnswerLost(detail))

    def read(
        self, stream: str, offset: int, max_entries: int, wait_ms: int
    ) -> result.Result[log_port.LogBatch, log_port.ReadError]:
        """See `LogPort.read`; a lost answer is `LogUnavailable` too."""
        query = f"?from={offset}&max={max_entries}&wait_ms={wait_ms}"
        target = _target(stream) + query
        match self._call("GET", target, None, self._timeout_ms + wait_ms):
            case result.Ok(answer):
                return _read_result(answer)
            case result.Err(error):
                return result.Err(log_port.LogUnavailable(error.detail))

    def _call(
        self, method: str, target: str, body: bytes | None, timeout_ms: int
    ) -> result.Result[json_call.Answer, json_call.CallError]:
        return json_call.call(self._pool, method, target, body, timeout_ms)


def _target(stream: str) -> str:
    return f"/streams/{urllib.parse.quote(stream, safe='')}/records"


def _append_result(
    answer: json_call.Answer,
) -> result.Result[int, log_port.AppendError]:
    if answer.status in _REJECTED_STATUSES:
        return result.Err(log_port.LogUnavailable(f"status {answer.status}"))
    if answer.status != http.HTTPStatus.OK:
        return result.Err(log_port.LogAnswerLost(f"status {answer.status}"))
    try:
        decoded = msgspec.json.decode(answer.body, type=_AppendAnswer)
    except msgspec.MsgspecError as error:
        return result.Err(log_port.LogAnswerLost(f"malformed answer: {error}"))
    return result.Ok(decoded.offset)


def _read_result(
    answer: json_call.Answer,
) -> result.Result[log_port.LogBatch, log_port.ReadError]:
    try:
        if answer.status == http.HTTPStatus.GONE:
            expired = msgspec.json.decode(answer.body, type=_ExpiredAnswer)
            return result.Err(log_port.LogExpired(expired.first))
        if answer.status != http.HTTPStatus.OK:
            return result.Err(
                log_port.LogUnavailable(f"status {answer.status}")
            )
        decoded = msgspec.json.decode(answer.body, type=_ReadAnswer)
    except msgspec.MsgspecError as error:
        return result.Err(log_port.LogUnavailable(f"malformed answer: {error}"))
    entries = tuple(
        log_port.LogEntry(record.offset, record.payload.encode("utf-8"))
        for record in decoded.records
    )
    return result.Ok(log_port.LogBatch(entries, decoded.first, decoded.next))
