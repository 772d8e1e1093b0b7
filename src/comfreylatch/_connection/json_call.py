"""HTTP calls with JSON bodies and bounded duration to platform services."""

from __future__ import annotations

from collections.abc import Mapping
import socket
import time
from typing import Any

import attrs
import result
import urllib3

MAX_ANSWER_BYTES = 64 * 1_024 * 1_024
READ_CHUNK_BYTES = 65_536
POOL_CONNECTIONS = 4
# A peer that disappears without a reset is detected after this time, because
# data or keepalive probes remain unacknowledged.
TCP_USER_TIMEOUT_MS = 2_000
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Connecting takes one round trip; if it takes longer, a packet was lost or the
# path is down, and a new attempt succeeds sooner than a retransmitted SYN.
CONNECT_TIMEOUT_MS = 700
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)
JSON_HEADERS = {"Content-Type": "application/json"}


@attrs.frozen
class Answer:
    """Status and body of a complete answer."""

    status: int
    body: bytes


@attrs.frozen
class NotSent:
    """No connection could be opened, so no byte of the call was sent."""

    detail: str


@attrs.frozen
class AnswerLost:
    """The call was sent, but no complete answer arrived in time."""

    detail: str


CallError = NotSent | AnswerLost


def open_pool(
    address: str, connections: int = POOL_CONNECTIONS
) -> urllib3.HTTPConnectionPool:
    """Creates a connection pool for `IP:port` that never retries."""
    host, _, port = address.rpartition(":")
    return urllib3.HTTPConnectionPool(
        host,
        int(port),
        maxsize=connections,
        block=False,
        retries=False,
        socket_options=SOCKET_OPTIONS,
    )


def call(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    target: str,
    body: bytes | None,
    timeout_ms: int,
    headers: Mapping[str, str] = JSON_HEADERS,
    read_timeout_ms: int | None = None,
) -> result.Result[Answer, CallError]:
    """Makes a call and reads its complete answer within `timeout_ms`.

    `read_timeout_ms` is the timeout of a single read; None leaves only
    `timeout_ms`. It lets `timeout_ms` be long enough for a large answer over a
    slow link, while an unresponsive peer is detected sooner.

    Only a failure to connect is `NotSent`. A broken pooled connection is
    `AnswerLost`, because the peer may have read the call.
    """
    deadline = time.monotonic() + timeout_ms / 1_000
    try:
        response = pool.urlopen(
            method,
            target,
            body=body,
            headers=None if body is None else headers,
            timeout=urllib3.Timeout(
                total=timeout_ms / 1_000,
                connect=min(timeout_ms, CONNECT_TIMEOUT_MS) / 1_000,
                read=None
                if read_timeout_ms is None
                else read_timeout_ms / 1_000,
            ),
            preload_content=False,
            redirect=False,
            retries=False,
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        return result.Err(NotSent(str(error)))
    except (urllib3.exceptions.HTTPError, OSError) as error:
        return result.Err(AnswerLost(str(error)))
    return _read_answer(response, deadline)


def _read_answer(
    response: Any, deadline: float
) -> result.Result[Answer, CallError]:
    body = bytearray()
    try:
        while chunk := response.read1(READ_CHUNK_BYTES):
            body += chunk
            if len(body) > MAX_ANSWER_BYTES or time.monotonic() > deadline:
                response.close()
                return result.Err(
                    AnswerLost("the answer is too long or arrived too slowly")
                )
    except (urllib3.exceptions.HTTPError, OSError) as error:
        response.close()
        return result.Err(AnswerLost(str(error)))
    response.release_conn()
    return result.Ok(Answer(response.status, bytes(body)))
