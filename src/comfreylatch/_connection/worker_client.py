"""HTTP client of workers that opens a new connection for each exchange.

An error while connecting proves that no byte was sent; any later error does
not. On a pooled connection that the worker has closed in the meantime, an
exchange that was sent could look as if it was not.
"""

from __future__ import annotations

from typing import Any
from typing import final

import msgspec
import result

from comfreylatch._connection import address as address_module
from comfreylatch._ports import workers

EXCHANGE_PATH = "/exchange"
MAX_REPORT_BYTES = 4_194_304
MAX_CONNECT_TIMEOUT_MS = 500

_COMMAND_KEY_BY_CLASS: dict[type, str] = {
    workers.StartTask: "start",
    workers.StopTask: "stop",
    workers.CheckpointTask: "checkpoint",
    workers.ThrottleTask: "throttle",
    workers.ForgetTask: "forget",
}

_report_decoder = msgspec.json.Decoder(workers.WorkerReport)
_encoder = msgspec.json.Encoder()


def encode_exchange(exchange: workers.Exchange) -> bytes:
    """Encodes the body of an exchange, specified in `docs/PLATFORM.md`."""
    commands = [
        {_COMMAND_KEY_BY_CLASS[type(command)]: command}
        for command in exchange.commands
    ]
    return _encoder.encode(
        {
            "owner": exchange.owner,
            "term": exchange.term,
            "quoted_report": exchange.quoted_report,
            "lease_ms": exchange.lease_ms,
            "commands": commands,
        }
    )


def decode_report(
    body: bytes, command_count: int
) -> result.Result[workers.WorkerReport, workers.WorkerAnswerLost]:
    """Decodes a report; a malformed one counts as a lost answer."""
    try:
        report = _report_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return result.Err(
            workers.WorkerAnswerLost(f"malformed report: {error}")
        )
    if len(report.statuses) != command_count:
        detail = (
            f"the report has {len(report.statuses)} statuses "
            f"for {command_count} commands"
        )
        return result.Err(workers.WorkerAnswerLost(detail))
    return result.Ok(report)


@final
class WorkerClient:
    """Implements `workers.WorkerPort`. Thread-safe; holds no connection."""

    def exchange(
        self, address: str, exchange: workers.Exchange, timeout_ms: int
    ) -> result.Result[workers.WorkerReport, workers.WorkerError]:
        """See `workers.WorkerPort.exchange`."""
        parsed = address_module.parse(address)
        if isinstance(parsed, result.Err):
            detail = parsed.err_value.detail
            return result.Err(workers.WorkerUnreachable(detail))
        return _exchange_with(parsed.ok_value, exchange, timeout_ms)


def _exchange_with(
    address: address_module.Address, exchange: workers.Exchange, timeout_ms: int
) -> result.Result[workers.WorkerReport, workers.WorkerError]:
    from urllib3 import connection as urllib3_connection
    from urllib3 import exceptions

    connection = urllib3_connection.HTTPConnection(
        address.ip,
        address.port,
        timeout=min(timeout_ms, MAX_CONNECT_TIMEOUT_MS) / 1_000,
    )
    try:
        connection.connect()
    except (exceptions.HTTPError, OSError) as error:
        connection.close()
        return result.Err(workers.WorkerUnreachable(str(error)))
    try:
        connection.timeout = timeout_ms / 1_000
        body = encode_exchange(exchange)
        return _send(connection, body, len(exchange.commands))
    finally:
        connection.close()


def _send(
    connection: Any, body: bytes, command_count: int
) -> result.Result[workers.WorkerReport, workers.WorkerError]:
    from http import client

    from urllib3 import exceptions

    headers = {"Content-Type": "application/json", "Connection": "close"}
    try:
        connection.request(
            "POST",
            EXCHANGE_PATH,
            body=body,
            headers=headers,
            preload_content=False,
        )
        response = connection.getresponse()
        answer = response.read(MAX_REPORT_BYTES + 1)
    except (exceptions.HTTPError, client.HTTPException, OSError) as error:
        return result.Err(workers.WorkerAnswerLost(repr(error)))
    if response.status != 200 or len(answer) > MAX_REPORT_BYTES:
        detail = (
            f"unexpected answer: status {response.status}, {len(answer)} bytes"
        )
        return result.Err(workers.WorkerAnswerLost(detail))
    return decode_report(answer, command_count)
